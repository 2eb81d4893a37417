/// Admission of requests to the servers of one service by one instance: a
/// concurrency limit that adapts to the completions of the servers, and a
/// bounded queue that is fair among client accounts.
#pragma once

#include <deque>
#include <map>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Concurrency limit that adapts to completions. It increases additively while
/// latency stays near its floor and the limit is fully used. It decreases
/// multiplicatively when latency is far above the floor or when too many
/// requests are shed or time out.
class concurrency_limit
{
public:
    /// Sets the bounds of the limit; `slots` is the total of all usable
    /// servers, which `instances` share.
    void set_capacity(std::uint32_t slots, std::size_t instances);

    /// Requests that may run at once; at least 1.
    std::uint32_t value() const;

    /// Records the end of an attempt; `running` still includes it.
    void completed(attempt_outcome outcome,
                   duration latency,
                   std::uint32_t running,
                   time_point now);

    /// Exponential average of the latency of successes; zero before the first.
    duration mean_latency() const;

private:
    void close_window(time_point now);

    double limit = 2.0;
    double min_limit = 1.0;
    double max_limit = 2.0;
    bool initialized = false;
    double mean_seconds = 0.0;  ///< exponential average of latencies
    double latency_floor = 0.0; ///< seconds, follows low window means
    std::uint32_t successes = 0;
    std::uint32_t overloads = 0;
    std::uint32_t peak_running = 0;
    double latency_sum = 0.0;
    time_point window_start{};
};

/// A request that waits to start; the id is the node's request_id.
struct waiting_request
{
    std::uint64_t id = 0;
    std::string account; ///< empty on public routes
    route_priority priority = route_priority::normal;
    time_point deadline{};
    /// Share of the account relative to others. It is the account's rate, so
    /// that an account within its rate isn't refused because another account
    /// exceeds its own.
    double weight = 1.0;
    /// The caller has not sent the whole body yet, so a server may have to wait
    /// for the rest of it.
    bool body_arriving = false;
};

/// Answer to push(): `ok`, queue_full or deadline_unreachable.
struct push_result
{
    result_code code = result_code::ok;
    /// A request that was removed to make room, of the account with the most
    /// waiting requests in proportion to its weight; refuse it with queue_full.
    std::optional<std::uint64_t> evicted;
};

/// The requests that leave the queue.
struct popped_requests
{
    std::vector<std::uint64_t> ready;   ///< count as running from now on
    std::vector<std::uint64_t> expired; ///< refuse: deadline_unreachable
};

/// The queue of one service. Accounts are served in start-time fair order: over
/// any period in which the same accounts wait, each of equal weight gets at
/// most its equal share plus one request. Within an account, and among accounts
/// that have not been served since they entered the queue, the higher route
/// priority goes first. Requests whose bodies are still arriving wait and are
/// served as if each account had a second one for them. At most half of the
/// running requests, and at least one, may be such ones: callers may never send
/// the rest of their bodies.
class admission_queue
{
public:
    explicit admission_queue(std::size_t max_waiting = 256);

    /// Passes the slots of all usable servers and the number of instances that
    /// share them to the concurrency limit; the queue's capacity stays.
    void set_capacity(std::uint32_t slots, std::size_t instances);

    /// Queues a request, or refuses it when it cannot finish before its
    /// deadline. Call pop_ready() afterwards.
    push_result push(const waiting_request& request, time_point now);

    /// Returns the requests that may start now, and those that can no longer
    /// finish before their deadline.
    popped_requests pop_ready(time_point now);

    /// Removes a waiting request; false when it is not in the queue.
    bool cancel(std::uint64_t id);

    /// Ends a request that pop_ready() has started. Call it once for every
    /// started request, even if it never reached a server (abandoned).
    /// `body_arriving` as in its waiting_request.
    void completed(attempt_outcome outcome,
                   duration latency,
                   time_point now,
                   bool body_arriving = false);

    /// Records the end of an attempt of a request that is retried; the request
    /// stays running.
    void
    attempt_ended(attempt_outcome outcome, duration latency, time_point now);

    std::size_t waiting() const;
    std::uint32_t running() const;
    std::uint32_t limit() const;

    /// Estimated wait of a new request of the account; for Retry-After.
    duration expected_wait(const std::string& account,
                           double weight = 1.0,
                           bool body_arriving = false) const;

private:
    /// The waiting requests of one account and its state in fair queueing.
    struct account_queue
    {
        std::map<route_priority, std::deque<waiting_request>> by_priority;
        std::size_t size = 0;
        double weight = 1.0;
        double virtual_start = 0.0;     ///< virtual start of its next request
        std::uint64_t last_service = 0; ///< 0: none since it entered
        bool bodies_arriving = false;   ///< of all its requests
    };

    using account_map = std::map<std::string, account_queue>;

    static const waiting_request& first_request(const account_queue& queue);
    static bool is_served_before(const account_queue& left,
                                 const account_queue& right);
    bool has_slot_for(const account_queue& queue) const;
    account_map::iterator next_account_to_serve();
    std::string
    account_with_longest_backlog(const waiting_request& arriving) const;
    std::optional<std::uint64_t> make_room_for(const waiting_request& arriving);
    void erase_request(account_queue& queue,
                       std::deque<waiting_request>& requests,
                       const std::deque<waiting_request>::iterator& position);
    void expire(time_point now, std::vector<std::uint64_t>& expired);
    void forget_idle_accounts();

    std::size_t capacity = 256;
    concurrency_limit concurrency;
    std::map<std::string, account_queue> accounts;
    std::unordered_map<std::uint64_t, std::string> account_by_request;
    std::uint32_t running_count = 0;
    std::uint32_t running_arriving = 0; ///< of them, with arriving bodies
    std::uint64_t service_count = 0;    ///< requests started so far
    double virtual_time = 0.0; ///< virtual start of the request started last
};

} // namespace medlarbarrow::core
