/// Placement of the requests of one shard of a service by the instance that
/// owns it: which server runs a request, in which order requests wait, and
/// which are refused. The owner sees every running request of the shard, so it
/// detects a server that stops answering after a few requests of the whole
/// fleet.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <medlarbarrow/core/crash_records.hpp>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/core/repeat_budget.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/server_holds.hpp>
#include <medlarbarrow/core/server_notice.hpp>
#include <medlarbarrow/core/trial_pace.hpp>
#include <medlarbarrow/core/work_spread.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace medlarbarrow::core
{

/// Identifies the grant of a server to one request of one entry instance.
struct grant_id
{
    std::uint64_t instance = 0; ///< from the address and start of the instance
    std::uint64_t number = 0;   ///< rises within the instance

    auto operator<=>(const grant_id&) const = default;
};

/// Asks the owner of the service for a server.
struct place_request
{
    grant_id grant;
    std::string data_centre;     ///< of the entry instance
    std::uint32_t work_kind = 0; ///< requests of equal value take similar time
    bool repeatable = false;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    bool repeat = false;    ///< the request has been sent to a server before
    duration time_to_objective{}; ///< time left until the answer loses value
    duration time_to_deadline{};  ///< time left until the answer has no value
    /// Servers that must not be chosen.
    std::vector<std::string> excluded_servers;
    std::uint64_t content_digest = 0; ///< digest of the request
    /// The caller has not sent the whole body yet, so the server may have to
    /// wait for the rest of it.
    bool body_arriving = false;
};

/// The request is granted this server.
struct placed
{
    std::string server;
    duration typical_duration{}; ///< expected duration of this kind of work
    duration
        overdue_after{}; ///< a longer duration raises suspicion of the server
};

/// The request waits; tick() returns its answer later.
struct queued
{
};

/// The request must not run.
struct place_refused
{
    result_code code = result_code::queue_full;
    duration retry_after{};
};

using place_answer = std::variant<placed, queued, place_refused>;

/// The answer to a request that was queued.
struct deferred_answer
{
    grant_id grant;
    place_answer answer;
};

/// How a granted send ended.
enum class send_outcome : std::uint8_t
{
    succeeded,
    failed,          ///< the server answered with an error
    connection_lost, ///< the connection ended without an answer
    timed_out,       ///< no answer in the time allowed
    shed,            ///< the server said that it did not run the request
    unreachable,     ///< the entry instance could not connect to the server
    cancelled        ///< the caller left, or another send was answered first
};

/// A change of a server between trusted and suspected, for the log.
struct placement_event
{
    std::string server;
    std::string change; ///< suspected or trusted
    std::string reason;
    double suspicion = 0.0; ///< suspicion after the change
};

/// The end of a granted send, as the entry instance reports it.
struct send_end
{
    grant_id grant;
    send_outcome outcome = send_outcome::cancelled;
    duration latency{}; ///< zero if there was no answer
    /// Age of the connection if the server was seen to live at the end: it sent
    /// the whole answer, or was still sending bytes that are none. Zero
    /// otherwise.
    duration connection_age{};
    duration age{}; ///< time since the send ended

    /// Whether the request may have crashed the server: the server has ended
    /// the connection.
    bool may_be_crash() const noexcept
    {
        return this->outcome == send_outcome::connection_lost &&
               this->connection_age <= duration(0);
    }
};

/// Grants the servers of one shard to requests. Each request gets the server
/// of lowest cost that has a free slot; without one it waits, ordered by rank
/// and objective, or is refused if it could not finish in time. Failed and
/// overdue sends raise the suspicion of a server. A suspected server gets only
/// probes, and requests that have waited long and find no other slot, unless
/// too few servers are trusted: the floor share of the servers stays eligible,
/// the least suspected ones first. While sends fail, a server that has been
/// without work gets the next request that suits, so that a server that works
/// again is not left idle until its suspicion has decayed. Servers that become
/// suspected at the same time are taken for victims of one fault, which may be
/// short: while sends fail, they get trial requests at a common pace.
/// Requests whose bodies are still arriving hold at most half of the slots of
/// the trusted servers together, and at most half of those of each server; at
/// least one in both cases. Callers may never send the rest of such bodies, and
/// the other requests must find a slot meanwhile. Answers that callers don't
/// read have to end while they and such bodies hold more than that and another
/// request finds no slot.
class placement
{
public:
    /// The owners of several shards on one instance share the crash records.
    placement(retry_limits configured_limits,
              std::uint64_t seed,
              std::shared_ptr<crash_records> known_crashes =
                  std::make_shared<crash_records>());

    /// Replaces the retry budget.
    void set_limits(const retry_limits& new_limits);

    /// Replaces the smallest share of the servers that stay eligible.
    void set_floor_share(double share);

    /// Replaces the usable servers of the shard.
    void set_servers(const std::vector<const announced_server*>& usable,
                     time_point now);

    /// Asks for a server. A call that is repeated with the same grant gets the
    /// same server and takes no second slot.
    place_answer request(const place_request& request, time_point now);

    /// Records the end of a send and frees its slot.
    void on_send_ended(const send_end& end, time_point now);

    /// The same for an end at this moment, of whose connection nothing is
    /// known.
    void on_send_ended(const grant_id& grant,
                       send_outcome outcome,
                       duration latency,
                       time_point now)
    {
        this->on_send_ended(send_end{grant, outcome, latency, {}, {}}, now);
    }

    /// Records that a server has turned an instance away. Until the stated time
    /// has passed, no request of the instance gets that server.
    void
    hold(std::uint64_t instance, const server_notice& notice, time_point now);

    /// Records that the answer to a running request is passed on to the caller
    /// as it comes. A long duration then tells nothing about the server, and
    /// the grant holds its slot also beyond the deadline, while reports come.
    /// `unread`: the caller has stopped reading, so that the server waits.
    /// Returns whether the send has to end: other requests find no slot, and
    /// the answer is one of those that have been unread for longest among the
    /// requests beyond half of the slots that wait for their callers.
    bool record_stream(const grant_id& grant, bool unread, time_point now);

    /// Gives up a request that waits or a grant that was not used.
    void cancel(const grant_id& grant, time_point now);

    /// Answers to waiting requests that are due; call after each change and
    /// at least every 50 ms.
    std::vector<deferred_answer> tick(time_point now);

    std::vector<placement_event> take_events();

    /// Crashes seen here since the last call. Owners of other shards of the
    /// service get them, so that they count those of the whole fleet.
    std::vector<crash_event> take_crashes();

    /// Records a crash that another owner has seen.
    void record_crash(const crash_event& crash, time_point now)
    {
        this->crashes->record(crash, now);
    }

    /// Running and waiting requests per slot of the trusted servers.
    double load(time_point now) const;

    /// How the work is spread over the servers, for the log and metrics.
    work_spread spread(time_point now) const;

    /// Whether too few servers got work while sends failed, although there were
    /// requests enough for all servers.
    bool is_below_floor(const work_spread& spread) const;

    std::size_t waiting() const noexcept
    {
        return this->queue.size();
    }

    std::size_t running() const noexcept
    {
        return this->grants.size();
    }

private:
    struct server_state
    {
        announced_server announced;
        std::uint32_t running = 0;
        std::uint32_t arriving_bodies = 0; ///< of the running requests
        double suspicion = 0.0;            ///< 1 and more: suspected
        time_point suspicion_updated{};
        time_point last_probe{}; ///< last probe while suspected
        time_point last_success{};
        time_point last_failure{};
        std::uint32_t failures_in_row = 0;
        /// Last grant of a request, or when the server was added.
        time_point last_work{};
        bool has_had_work = false;
        bool suspected = false;
        time_point suspected_at{}; ///< when it last became suspected
        /// Suspected, and became so at the same time as many others.
        bool failed_together = false;
        std::uint32_t failed_trials = 0; ///< in a row
        std::map<std::uint64_t, time_point> last_send_by_instance;
    };

    /// A request that was granted a server and has not ended.
    struct active_grant
    {
        std::string server;
        place_request request;
        time_point granted_at{};
        time_point overdue_at{};
        time_point expires_at{}; ///< then counts as cancelled
        bool overdue = false;    ///< it has raised its server's suspicion
        bool trial = false;      ///< of a server that failed with others
        bool streaming = false;  ///< its answer is passed on as it comes
        /// Since when the caller has not read the answer, and until when the
        /// last report of that holds.
        time_point unread_since{};
        time_point unread_until{};

        bool is_unread(time_point now) const noexcept
        {
            return now < this->unread_until;
        }
    };

    struct queued_request
    {
        place_request request;
        time_point queued_at{};
        time_point objective_at{};
        time_point deadline{};
    };

    /// Duration of one kind of work, from its successes.
    struct work_time
    {
        double mean = 0.0;      ///< seconds
        double deviation = 0.0; ///< seconds, mean absolute
        std::uint32_t samples = 0;
    };

    /// Counts of a short time, for the shares of the last two seconds.
    struct recent_counts
    {
        std::int64_t period = 0; ///< number of the counted time
        std::size_t requests = 0;
        std::size_t repeatable_requests = 0;
        std::size_t results = 0; ///< ended or overdue sends
        std::size_t failures = 0;
    };

    recent_counts& counts_at(time_point now);
    recent_counts count_recent(time_point now) const;
    void count_request(const place_request& request, time_point now);
    void count_result(bool failed, time_point now);
    std::optional<place_answer> place_now(const place_request& request,
                                          time_point now);
    place_answer decide(const place_request& request, time_point now);

    std::uint32_t capacity_of(const server_state& server, time_point now) const;
    void decay_suspicion(server_state& server, time_point now) const;
    void raise_suspicion(const active_grant& failed,
                         double amount,
                         const char* reason,
                         time_point now);
    void lower_suspicion(server_state& server, double factor, time_point now);
    duration typical_duration(const place_request& request) const;
    duration overdue_after(const place_request& request) const;
    /// State of all servers at one time, for the choice of servers.
    struct overview
    {
        /// Suspected servers of at most this suspicion are eligible, as too few
        /// are trusted.
        double eligible_suspicion = 0.0;
        bool has_repeatable_work = false; ///< there were such requests lately
        std::map<std::string_view, double> slowness; ///< by server
        std::uint32_t free_places = 0;
        std::uint32_t free_places_after_long_wait = 0;
    };

    bool is_excluded_for(const server_state& server,
                         const place_request& request,
                         time_point now) const;
    std::optional<place_refused>
    refusal_if_turned_away(const place_request& request, time_point now) const;
    overview make_overview(time_point now);
    void count_free_places(overview& servers, time_point now) const;
    double eligible_suspicion() const;
    bool is_eligible(const server_state& server,
                     const overview& servers_now,
                     bool waited_long) const;
    std::uint32_t request_limit(const server_state& server,
                                bool waited_long,
                                time_point now) const;
    std::map<std::string_view, double> slowness_by_server(time_point now) const;
    std::uint32_t count_arriving_bodies() const;
    bool must_wait_for_slot(const place_request& request, time_point now) const;
    bool has_request_ahead(const place_request& request) const;
    bool is_among_longest_unread(const grant_id& grant,
                                 const overview& servers_now,
                                 time_point now) const;
    double cost_of(const server_state& server,
                   const place_request& request,
                   double slowness,
                   time_point now) const;
    server_state* choose_server(const place_request& request,
                                bool waited_long,
                                const overview& servers_now,
                                time_point now);
    server_state* server_due_for_probe(const place_request& request,
                                       time_point now);
    server_state* server_due_for_work(const place_request& request,
                                      const overview& servers_now,
                                      time_point now);
    bool needs_spread(time_point now) const;
    bool is_short_of_work(time_point now) const;
    bool is_due_for_work(const server_state& server,
                         const place_request& request,
                         const overview& servers_now,
                         time_point now) const;
    void find_joint_failure(time_point now);
    bool is_due_for_trial(const server_state& server,
                          const place_request& request,
                          const overview& servers_now,
                          time_point now) const;
    server_state* server_due_for_trial(const place_request& request,
                                       const overview& servers_now,
                                       time_point now);
    bool has_idle_server_due(const overview& servers_now, time_point now) const;
    std::optional<place_answer>
    place_on_idle_server(const place_request& request,
                         const overview& servers_now,
                         time_point now);
    void count_trial(const active_grant& ended, bool succeeded);
    place_answer
    grant(const place_request& request, server_state& server, time_point now);
    place_answer try_again(const place_request& request,
                           server_state& server,
                           time_point now);
    place_refused make_refusal(result_code code, time_point now) const;
    duration
    expected_wait(std::uint32_t rank, bool body_arriving, time_point now) const;
    void check_active_grants(time_point now);
    std::optional<place_refused>
    refusal_if_blocked(const place_request& request, time_point now) const;
    void record_evidence(const active_grant& ended,
                         const send_end& end,
                         time_point now);
    void sort_queue(time_point now);

    repeat_budget repeats;
    double floor_share = default_floor_share;
    std::deque<recent_counts> recent; ///< newest last
    trial_pace trials;
    std::mt19937_64 random;
    std::map<std::string, server_state> servers;
    std::map<grant_id, active_grant> grants;
    /// Servers that turned instances away, by instance. Instances without a
    /// hold have no entry.
    std::map<std::uint64_t, server_holds> holds;
    std::vector<queued_request> queue;
    /// Last time when a request could not be placed at once.
    time_point lacked_slot_at{};
    std::unordered_map<std::uint32_t, work_time> work_times;
    std::shared_ptr<crash_records> crashes;
    std::vector<crash_event> new_crashes;
    std::vector<placement_event> events;
};

} // namespace medlarbarrow::core
