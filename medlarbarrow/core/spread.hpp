/// Who watches the platform, and how documents and lists reach all instances.
///
/// Two instances of each data centre watch the platform. An instance that has
/// accepted a newer version announces it with `hello` along two relay trees,
/// whose order depends on the version, so that no instance relays more than
/// others over time. Whoever hears of a newer document pulls it from one peer;
/// a list is sent to whoever states an older one. Heartbeats to a few peers
/// repair what the trees lost.
#pragma once

#include <deque>
#include <map>
#include <medlarbarrow/core/list_text.hpp>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// Name in outgoing::to that means every seed.
inline const std::string to_seeds;

/// A document as the platform published it.
struct document_copy
{
    std::uint64_t version = 0;
    std::vector<std::string> values; ///< values[0] is the index
};

struct spread_settings
{
    instance_id self;
    std::string data_centre;
    std::uint64_t random_seed = 1;
};

class spread
{
public:
    spread(spread_settings settings, time_point started);

    /// Takes a document that the caller has checked, from the platform or
    /// from take_document(), and announces it. Error: document_older.
    std::error_code accept_document(std::shared_ptr<const document_copy> next,
                                    time_point now,
                                    outbox& out);

    /// The document of take_document() did not pass the caller's check; it is
    /// pulled again in full.
    void reject_document(time_point now);

    /// Takes a list of the platform and announces it; the caller puts it in
    /// force before it sends `out`. Errors: list_older, list_empty.
    std::error_code
    accept_list(const instance_list& next, time_point now, outbox& out);

    outbox receive(const instance_id& from, const hello& news, time_point now);
    outbox
    receive(const instance_id& from, const document_pull& pull, time_point now);
    outbox
    receive(const instance_id& from, const document_part& part, time_point now);
    outbox
    receive(const instance_id& from, const list_copy& copy, time_point now);

    /// Due heartbeats, transfers and repeated pulls; call every 50 ms.
    outbox tick(time_point now);

    /// A complete document from a peer. The caller checks it and answers with
    /// accept_document() or reject_document().
    std::shared_ptr<const document_copy> take_document();

    /// A list that came from a peer and is in force here now.
    std::optional<instance_list> take_list();

    /// True while this instance is to watch the platform.
    bool should_watch(time_point now) const;

    /// States in every hello that this instance is leaving.
    void set_leaving();

    std::uint64_t document_version() const;
    std::uint64_t list_version() const;

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        time_point heard{};
        std::uint64_t document_version = 0;
        bool leaving = false;
        time_point avoided_until{}; ///< did not answer a pull
        time_point next_reply{};    ///< earliest hello in reply to a hello
        time_point next_list{};     ///< earliest next list_copy
    };

    /// A document that is being received.
    struct document_receipt
    {
        std::string from;
        std::uint64_t have_version = 0;
        time_point deadline{};
        std::uint64_t version = 0;
        std::vector<std::optional<std::string>> values;
        std::size_t missing = 0;
        std::size_t bytes = 0;
    };

    /// A document that is being sent, some values with each tick.
    struct transfer
    {
        std::string to;
        std::shared_ptr<const document_copy> document;
        std::vector<digest> known; ///< values of the receiver, by position
        std::size_t next = 0;
    };

    hello make_hello() const;
    void say_hello(const std::string& to, outbox& out) const;
    peer_state* note(const instance_id& from, time_point now);
    bool is_silent(const std::string& name,
                   time_point neighbour_since,
                   time_point now) const;
    void compare_documents(const instance_id& from,
                           peer_state& peer,
                           const hello& news,
                           time_point now,
                           outbox& out);
    void compare_lists(const instance_id& from,
                       peer_state& peer,
                       const hello& news,
                       time_point now,
                       outbox& out);
    void put_list_in_force(instance_list next, time_point now);
    void forget_old_peers(time_point now);
    void heartbeat(time_point now, outbox& out);
    void choose_neighbours(time_point now);
    void choose_gossip(time_point now);
    void announce(std::uint64_t version,
                  std::uint64_t kind,
                  time_point now,
                  outbox& out) const;
    void start_pull(const std::string& from, time_point now, outbox& out);
    void pull_from_any(time_point now, outbox& out);
    bool store_value(const document_part& part);
    void finish_receipt();
    void begin_version(const document_part& part);
    void fail_receipt(time_point now);
    void avoid(const std::string& name, time_point now);
    void send_transfers(std::size_t budget, outbox& out);
    bool take_serving_turn(time_point now);
    std::uint64_t random_below(std::uint64_t bound);

    spread_settings settings;
    time_point started;
    std::minstd_rand random;
    bool leaving = false;

    std::shared_ptr<const document_copy> document;
    std::map<std::uint64_t, std::vector<digest>> value_digests; ///< by version
    std::shared_ptr<const document_copy> arrived; ///< waits for the check
    std::string arrived_from;
    bool checking = false;
    bool pull_in_full = false;
    std::optional<document_receipt> receipt;
    std::deque<transfer> transfers;

    instance_list list;
    list_history history;
    bool list_in_full = false;
    std::optional<instance_list> arrived_list;
    /// With the next tick, when the caller knows the new addresses.
    bool list_announcement_due = false;

    std::map<std::string, peer_state> peers;
    std::vector<std::string> live; ///< listed, not leaving, not itself
    /// Next in the data centre's order, and since when each is a neighbour.
    std::map<std::string, time_point> predecessors;
    std::vector<std::string> successors;
    std::vector<std::string> gossip;
    std::uint64_t newest_heard = 0; ///< document version of any peer
    time_point last_heard{};
    time_point next_list_request{};
    time_point next_heartbeat{};
    time_point next_gossip_choice{};
    time_point serving_window{};
    unsigned served_in_window = 0;
};

} // namespace medlarbarrow::core
