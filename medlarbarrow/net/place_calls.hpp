/// Calls of one instance to the owners of shards: asks them for servers and
/// tells them how the sends ended. A call may be lost, so it is repeated. An
/// owner that does not answer is passed over, and if no owner answers, this
/// instance decides alone.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/net/service_owners.hpp>
#include <optional>

namespace medlarbarrow::net
{

struct place_call_counters
{
    std::uint64_t calls_repeated = 0;
    std::uint64_t owners_passed_over = 0;
    std::uint64_t local_decisions = 0; ///< decided here as no owner answered
    std::uint64_t second_shards_asked = 0; ///< as the first had no free slot
};

class place_calls
{
public:
    using place_handler = std::function<void(const core::place_answer&)>;
    using message_sender = std::function<void(core::instance_address recipient,
                                              const core::fleet_message&)>;

    /// Parts of the instance that the calls use. They must outlive this object.
    struct environment
    {
        boost::asio::io_context& io;
        core::membership& members;
        core::shard_directory& shards;
        service_owners& owned;
        core::instance_address own_address = 0;
        std::uint64_t instance_id = 0; ///< of this instance's grants
        message_sender send;
        /// Called when a send has ended without an answer.
        std::function<void(const core::shard_id&,
                           const core::crash_event&,
                           core::instance_address granted_by)>
            on_lost_send;
    };

    explicit place_calls(environment parts);

    /// Asks for a server. Sets `request.grant` and returns it. The handler is
    /// called once, possibly before place() returns, with `placed` or
    /// `place_refused`, unless the grant is withdrawn before.
    core::grant_id place(const std::string& service,
                         core::place_request request,
                         place_handler handler);

    /// Withdraws a place request that has not been answered yet.
    void withdraw(const core::grant_id& grant);

    /// Reports to the owner how the send of a grant ended, and what the server
    /// stated about itself.
    void report_send_end(const core::send_end& end,
                         const core::server_notice& notice = {});

    /// Tells the owner that the answer is passed on to the caller as it comes,
    /// and whether the caller has stopped reading. Calls `end_send`, possibly
    /// before it returns, if the send has to end.
    void report_stream(const core::grant_id& grant,
                       bool unread,
                       std::function<void()> end_send);

    void on_reply(core::instance_address sender,
                  const core::place_reply& message);
    void on_reply(core::instance_address sender,
                  const core::done_reply& message);
    void on_reply(core::instance_address sender,
                  const core::stream_reply& message);

    /// Takes the answer of this instance itself to a request that had to wait.
    void on_own_answer(const core::grant_id& grant,
                       const core::shard_id& shard,
                       const core::place_answer& answer);

    /// Ends all calls without an answer.
    void close();

    const place_call_counters& counters() const noexcept
    {
        return this->counts;
    }

private:
    /// A shard and the instance that is asked as its owner.
    struct target
    {
        core::shard_id shard;
        core::instance_address owner = 0;

        bool operator==(const target&) const = default;
    };

    /// A place request that waits for its answer.
    struct call_state
    {
        core::place_request request;
        place_handler handler;
        core::time_point requested_at{};
        std::vector<target> targets;
        std::size_t index = 0; ///< of the target that is asked
        /// Calls to that target since its last answer.
        unsigned unanswered_calls = 0;
        /// Another target, asked while the request waits at the first one.
        std::optional<target> second;
        bool asked_second = false;
        std::unique_ptr<boost::asio::steady_timer> timer;
        std::unique_ptr<boost::asio::steady_timer> second_timer;
    };

    /// A grant whose send has not ended yet.
    struct open_grant
    {
        core::shard_id shard;
        core::instance_address owner = 0;
        std::string server;
        std::uint64_t content_digest = 0;
        /// Of the last report of its answer.
        std::function<void()> end_send{};
    };

    /// The end of a send that its owner has not acknowledged yet.
    struct done_state
    {
        core::done_call message;
        core::instance_address owner = 0;
        core::time_point reported_at{};
        unsigned unanswered_calls = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    /// Grant number, shard number and owner of a reported end. A grant may be
    /// withdrawn at one owner and end at another.
    using done_key =
        std::tuple<std::uint64_t, std::uint32_t, core::instance_address>;

    std::vector<target> choose_targets(const std::string& service);
    core::place_request remaining_request(const call_state& call) const;
    void ask_current(std::uint64_t number);
    void ask_owner(std::uint64_t number, call_state& call);
    void decide_alone(std::uint64_t number, call_state& call);
    void on_timeout(std::uint64_t number);
    void on_answer(std::uint64_t number,
                   const target& from,
                   const core::place_answer& answer);
    void on_first_answer(std::uint64_t number,
                         call_state& call,
                         const core::place_answer& answer);
    bool may_ask_another(const call_state& call) const;
    void ask_second(std::uint64_t number, call_state& call);
    void drop_second(std::uint64_t number);
    void finish(std::uint64_t number,
                const target& from,
                const core::place_answer& answer);
    void release(std::uint64_t number, const target& at);
    void report(const core::done_call& message, core::instance_address owner);
    void send_done(const done_key& key);

    environment parts;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, call_state> calls;
    std::map<std::uint64_t, open_grant> grants;
    std::map<done_key, done_state> done_calls;
    place_call_counters counts;
};

} // namespace medlarbarrow::net
