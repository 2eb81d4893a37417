/// Distribution of documents and instance lists from the platform to all
/// instances.
///
/// Two instances of each data centre watch the platform. An instance that has
/// accepted a newer version announces it with `hello` along two relay trees.
/// The order of the trees depends on the version, so that over time no instance
/// relays more than others. An instance that learns of a newer document pulls
/// it from one peer. A list is sent to each peer that states an older version.
/// Heartbeats to a few peers make up for announcements that were lost.
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

/// Value of outgoing::to that addresses every seed.
inline const std::string to_seeds;

/// A document as the platform published it.
struct raw_document
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

/// Watches, announces, requests and transfers documents and lists for one
/// instance.
class spread
{
public:
    spread(spread_settings settings, time_point started);

    /// Accepts a document from the platform or from take_document() that the
    /// calling code has checked, and announces it. Error: document_older.
    std::error_code accept_document(std::shared_ptr<const raw_document> newer,
                                    time_point now,
                                    outbox& out);

    /// Discards the document of take_document() because it failed the check of
    /// the calling code; it is pulled again in full.
    void reject_document(time_point now);

    /// Accepts a list from the platform and announces it. The calling code must
    /// apply the list before it sends `out`. Errors: list_older, list_empty.
    std::error_code
    accept_list(const instance_list& newer, time_point now, outbox& out);

    outbox
    receive(const instance_id& from, const hello& greeting, time_point now);
    outbox
    receive(const instance_id& from, const document_pull& pull, time_point now);
    outbox
    receive(const instance_id& from, const document_part& part, time_point now);
    outbox
    receive(const instance_id& from, const list_copy& copy, time_point now);

    /// Sends due heartbeats, transfers and repeated pulls; call every 50 ms.
    outbox tick(time_point now);

    /// Returns and clears a complete document received from a peer; null if
    /// there is none. The calling code checks it and then calls
    /// accept_document() or reject_document().
    std::shared_ptr<const raw_document> take_document();

    /// Returns and clears the list last received from a peer, which is already
    /// in use here.
    std::optional<instance_list> take_list();

    /// True while this instance must watch the platform.
    bool should_watch(time_point now) const;

    /// Makes every further hello state that this instance is leaving.
    void set_leaving();

    std::uint64_t document_version() const;
    std::uint64_t list_version() const;

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        time_point last_heard{};
        std::uint64_t document_version = 0;
        bool leaving = false;
        time_point avoided_until{}; ///< after a failed pull from it
        time_point next_reply{};    ///< earliest hello in reply to a hello
        time_point next_list{};     ///< earliest next list_copy to it
    };

    /// A document that is being pulled from a peer.
    struct document_download
    {
        std::string from;
        std::uint64_t held_version = 0;
        time_point deadline{};
        std::uint64_t version = 0;
        std::vector<std::optional<std::string>> values;
        std::size_t missing = 0;
        std::size_t bytes = 0;
    };

    /// A document that is being sent to a peer, some values with each tick.
    struct transfer
    {
        std::string to;
        std::shared_ptr<const raw_document> document;
        std::vector<digest> receiver_digests; ///< of its values, by index
        std::size_t next_index = 0;
    };

    hello make_hello() const;
    void send_hello(const std::string& to, outbox& out) const;
    peer_state* record_message(const instance_id& from, time_point now);
    bool is_silent(const std::string& name,
                   time_point neighbour_since,
                   time_point now) const;
    void compare_documents(const instance_id& from,
                           peer_state& peer,
                           const hello& greeting,
                           time_point now,
                           outbox& out);
    void compare_lists(const instance_id& from,
                       peer_state& peer,
                       const hello& greeting,
                       time_point now,
                       outbox& out);
    void apply_list(instance_list newer, time_point now);
    void remove_expired_peers(time_point now);
    void send_heartbeats(time_point now, outbox& out);
    void choose_neighbours(time_point now);
    void choose_gossip_peers(time_point now);
    void announce(std::uint64_t version,
                  std::uint64_t kind,
                  time_point now,
                  outbox& out) const;
    void start_pull(const std::string& from, time_point now, outbox& out);
    void pull_from_random_peer(time_point now, outbox& out);
    bool store_value(const document_part& part);
    void finish_download();
    void start_version(const document_part& part);
    void abort_download(time_point now);
    void avoid(const std::string& name, time_point now);
    void send_transfers(std::size_t budget, outbox& out);
    bool acquire_serving_slot(time_point now);
    std::uint64_t random_below(std::uint64_t bound);

    spread_settings settings;
    time_point started;
    std::minstd_rand random;
    bool leaving = false;

    std::shared_ptr<const raw_document> document;
    std::map<std::uint64_t, std::vector<digest>> value_digests; ///< by version
    /// A complete document from a peer that is not yet checked.
    std::shared_ptr<const raw_document> unchecked_document;
    std::string unchecked_from;
    bool awaiting_check = false;
    bool full_pull_needed = false;
    std::optional<document_download> download;
    std::deque<transfer> transfers;

    instance_list list;
    list_history history;
    bool full_list_needed = false;
    std::optional<instance_list> received_list;
    /// Announce the list with the next tick, when the calling code knows the
    /// new addresses.
    bool list_announcement_due = false;

    std::map<std::string, peer_state> peers;
    /// Listed instances that are not leaving, without this one.
    std::vector<std::string> live_instances;
    /// Neighbours before this instance in the order of its data centre, with
    /// the time since which each has been one.
    std::map<std::string, time_point> predecessors;
    /// Neighbours after this instance; they get its heartbeats.
    std::vector<std::string> successors;
    /// Random peers that also get heartbeats.
    std::vector<std::string> gossip_peers;
    /// Newest document version that any peer has stated.
    std::uint64_t newest_peer_version = 0;
    time_point last_heard{};
    time_point next_list_request{};
    time_point next_heartbeat{};
    time_point next_gossip_choice{};
    time_point serving_window_start{};
    unsigned served_in_window = 0;
};

} // namespace medlarbarrow::core
