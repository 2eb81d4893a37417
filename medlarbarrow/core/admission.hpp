/// Admission of requests to the servers of one service by one instance: a
/// concurrency limit that follows what the servers complete, and a bounded
/// queue that is fair among client accounts.
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

/// Concurrency limit from completions: additive increase while latency stays
/// near its floor and the limit is used, multiplicative decrease otherwise.
class concurrency_limit
{
public:
    /// `slots` of all usable servers, shared by `instances`.
    void set_capacity(std::uint32_t slots, std::size_t instances);

    /// Requests that may run at once; at least 1.
    std::uint32_t value() const;

    /// Notes the end of an attempt; `running` counts it still.
    void completed(work_outcome outcome,
                   duration latency,
                   std::uint32_t running,
                   time_point now);

    /// Mean latency of recent successes; zero before the first.
    duration mean_latency() const;

private:
    void close_window(time_point now);

    double limit = 2.0;
    double least = 1.0;
    double greatest = 2.0;
    bool started = false;
    double mean = 0.0;  ///< seconds, exponential average
    double floor = 0.0; ///< seconds, follows low window means
    std::uint32_t samples = 0;
    std::uint32_t overloads = 0;
    std::uint32_t peak_running = 0;
    double latency_sum = 0.0;
    time_point window_start{};
};

/// A request that waits for its turn; the id is the node's request_id.
struct waiting_request
{
    std::uint64_t id = 0;
    std::string account; ///< empty on public routes
    route_priority priority = route_priority::normal;
    time_point deadline{};
    /// Share of the account relative to others: its rate, so that an account
    /// inside its rate isn't refused because another exceeds its own.
    double weight = 1.0;
};

/// Answer to push(): `ok`, queue_full or deadline_unreachable.
struct push_result
{
    result_code code = result_code::ok;
    /// A request of the account with the most waiting requests for its weight
    /// that had to make room; refuse it with queue_full.
    std::optional<std::uint64_t> evicted;
};

struct popped_requests
{
    std::vector<std::uint64_t> start;   ///< count as running from now on
    std::vector<std::uint64_t> expired; ///< refuse: deadline_unreachable
};

/// The queue of one service. Accounts are served in start-time fair order: over
/// any period in which the same accounts wait, each of equal weight gets at
/// most its equal share plus one request. Within an account, and among accounts
/// that have not been served since they came, the higher route priority goes
/// first.
class admission_queue
{
public:
    explicit admission_queue(std::size_t capacity = 256);

    void set_capacity(std::uint32_t slots, std::size_t instances);

    /// Puts a request into the queue, or refuses it when it cannot start in
    /// time. Call pop_ready() afterwards.
    push_result push(const waiting_request& request, time_point now);

    /// Requests that may start now, and those that cannot make it any more.
    popped_requests pop_ready(time_point now);

    /// Takes a waiting request out; false when it does not wait here.
    bool cancel(std::uint64_t id);

    /// Ends a request that pop_ready() has started. Every started request
    /// ends here once, also when it never reached a server (abandoned).
    void completed(work_outcome outcome, duration latency, time_point now);

    /// Notes an attempt of a running request that is retried; it still runs.
    void attempt_ended(work_outcome outcome, duration latency, time_point now);

    std::size_t waiting() const;
    std::uint32_t running() const;
    std::uint32_t limit() const;

    /// Expected wait of a new request of the account; for Retry-After.
    duration expected_wait(const std::string& account,
                           double weight = 1.0) const;

private:
    struct account_queue
    {
        std::map<route_priority, std::deque<waiting_request>> classes;
        std::size_t size = 0;
        double weight = 1.0;
        double next_start = 0.0;       ///< virtual start of its next request
        std::uint64_t last_served = 0; ///< 0: not since it came
    };

    using account_map = std::map<std::string, account_queue>;

    static const waiting_request& head(const account_queue& queue);
    static bool goes_before(const account_queue& left,
                            const account_queue& right);
    account_map::iterator next_account();
    std::string longest_account(const waiting_request& arriving) const;
    std::optional<std::uint64_t> evict_for(const waiting_request& arriving);
    void erase_request(account_queue& queue,
                       std::deque<waiting_request>& within,
                       const std::deque<waiting_request>::iterator& at);
    void expire(time_point now, std::vector<std::uint64_t>& expired);
    void forget_idle_accounts();

    std::size_t capacity = 256;
    concurrency_limit limits;
    std::map<std::string, account_queue> accounts;
    std::unordered_map<std::uint64_t, std::string> account_of;
    std::uint32_t running_count = 0;
    std::uint64_t services = 0;
    double virtual_time = 0.0; ///< start of the newest request started
};

} // namespace medlarbarrow::core
