#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/admission.hpp>
#include <utility>

namespace medlarbarrow::core
{

namespace
{

/// Weight of a new latency in the exponential average.
constexpr double sample_weight = 0.1;

/// A window of completions is evaluated after at least this time and number of
/// successes and overloads.
constexpr duration window_length = std::chrono::milliseconds(100);
constexpr std::uint32_t min_window_completions = 8;

/// The latency floor falls fast and rises slowly, so that queueing at the
/// servers isn't mistaken for their normal latency.
constexpr double floor_fall_weight = 0.3;
constexpr double floor_rise_weight = 0.002;

/// Ratio of the window's mean latency to the floor below which the limit may
/// grow, and above which it shrinks. The mean of 8 exponentially distributed
/// latencies deviates by about a third from its expectation, and the floor lies
/// below the expectation.
constexpr double growth_ratio = 1.8;
constexpr double shrink_ratio = 2.5;

/// A window with a larger share of sheds and timeouts counts as overloaded.
constexpr double overload_fraction = 0.1;

/// Added to the limit, or multiplied with it, at the end of a window.
constexpr double growth_step = 0.5;
constexpr double latency_shrink_factor = 0.9;
constexpr double overload_shrink_factor = 0.8;

/// Smallest weight of an account, so that every account is served.
constexpr double min_account_weight = 1e-3;

/// Initial limit, in fair shares of the slots.
constexpr double initial_shares = 2.0;

/// The limit never falls below the fair share plus this many standard
/// deviations of random arrivals, or below all slots if these are fewer.
constexpr double min_limit_deviations = 0.5;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

/// Part of the running requests whose bodies may still be arriving: one in so
/// many.
constexpr std::uint32_t arriving_slots_divisor = 2;

/// Name of the queue of an account's requests, or of those whose bodies are
/// still arriving. Names of accounts have no line break.
std::string queue_name(const std::string& account, bool body_arriving)
{
    return body_arriving ? account + "\nbody arriving" : account;
}

} // namespace

// The lower bound of the limit is the fair share of the slots plus a margin for
// random arrivals. With the share alone, an instance would queue requests while
// slots that other instances don't use are free.
void concurrency_limit::set_capacity(std::uint32_t slots, std::size_t instances)
{
    const double all_slots = std::max(1U, slots);
    const double share =
        all_slots / static_cast<double>(std::max<std::size_t>(1, instances));
    this->max_limit = all_slots;
    this->min_limit = std::min(
        all_slots, std::ceil(share + min_limit_deviations * std::sqrt(share)));
    if (!this->initialized)
    {
        this->limit = std::max(2.0, initial_shares * share);
        this->initialized = true;
    }
    this->limit = std::clamp(this->limit, this->min_limit, this->max_limit);
}

std::uint32_t concurrency_limit::value() const
{
    return std::max(1U, static_cast<std::uint32_t>(this->limit));
}

void concurrency_limit::completed(attempt_outcome outcome,
                                  duration latency,
                                  std::uint32_t running,
                                  time_point now)
{
    this->peak_running = std::max(this->peak_running, running);
    switch (outcome)
    {
    case attempt_outcome::succeeded:
    {
        const double latency_seconds = seconds(latency);
        const double weight = this->mean_seconds > 0.0 ? sample_weight : 1.0;
        this->mean_seconds += weight * (latency_seconds - this->mean_seconds);
        this->latency_sum += latency_seconds;
        ++this->successes;
        break;
    }
    case attempt_outcome::shed:
    case attempt_outcome::timed_out:
        ++this->overloads;
        break;
    case attempt_outcome::failed:
    case attempt_outcome::abandoned:
        break;
    }
    if (now - this->window_start >= window_length &&
        this->successes + this->overloads >= min_window_completions)
    {
        this->close_window(now);
    }
}

duration concurrency_limit::mean_latency() const
{
    return from_seconds(this->mean_seconds);
}

// Adapts the limit to the completions of one window and starts the next.
void concurrency_limit::close_window(time_point now)
{
    const double completions = this->successes + this->overloads;
    const double window_mean = this->successes > 0
                                   ? this->latency_sum / this->successes
                                   : this->latency_floor;
    if (this->latency_floor <= 0.0)
    {
        this->latency_floor = window_mean;
    }
    const double weight = window_mean < this->latency_floor ? floor_fall_weight
                                                            : floor_rise_weight;
    this->latency_floor += weight * (window_mean - this->latency_floor);
    if (this->overloads > overload_fraction * completions)
    {
        this->limit *= overload_shrink_factor;
    }
    else if (window_mean > shrink_ratio * this->latency_floor)
    {
        this->limit *= latency_shrink_factor;
    }
    else if (window_mean < growth_ratio * this->latency_floor &&
             this->peak_running >= this->value())
    {
        this->limit += growth_step;
    }
    this->limit = std::clamp(this->limit, this->min_limit, this->max_limit);
    this->successes = 0;
    this->overloads = 0;
    this->peak_running = 0;
    this->latency_sum = 0.0;
    this->window_start = now;
}

admission_queue::admission_queue(std::size_t max_waiting)
    : capacity(max_waiting)
{
}

void admission_queue::set_capacity(std::uint32_t slots, std::size_t instances)
{
    this->concurrency.set_capacity(slots, instances);
}

push_result admission_queue::push(const waiting_request& request,
                                  time_point now)
{
    const duration needed = this->expected_wait(request.account, request.weight,
                                                request.body_arriving) +
                            this->concurrency.mean_latency();
    if (now + needed > request.deadline)
    {
        return {result_code::deadline_unreachable, std::nullopt};
    }
    push_result answer;
    if (this->waiting() >= this->capacity)
    {
        answer.evicted = this->make_room_for(request);
        if (!answer.evicted)
        {
            return {result_code::queue_full, std::nullopt};
        }
    }
    const std::string name = queue_name(request.account, request.body_arriving);
    account_queue& queue = this->accounts[name];
    queue.bodies_arriving = request.body_arriving;
    if (queue.size == 0)
    {
        queue.virtual_start = std::max(queue.virtual_start, this->virtual_time);
    }
    queue.weight = std::max(min_account_weight, request.weight);
    queue.by_priority[request.priority].push_back(request);
    ++queue.size;
    this->account_by_request[request.id] = name;
    return answer;
}

popped_requests admission_queue::pop_ready(time_point now)
{
    popped_requests popped;
    this->expire(now, popped.expired);
    while (this->waiting() > 0 && this->running_count < this->limit())
    {
        const auto next = this->next_account_to_serve();
        if (next == this->accounts.end())
        {
            break;
        }
        account_queue& queue = next->second;
        // Arriving bodies may have waited while others were served.
        queue.virtual_start = std::max(queue.virtual_start, this->virtual_time);
        this->running_arriving += queue.bodies_arriving ? 1U : 0U;
        const auto requests = std::prev(queue.by_priority.end());
        popped.ready.push_back(requests->second.front().id);
        this->virtual_time = queue.virtual_start;
        queue.virtual_start += 1.0 / queue.weight;
        queue.last_service = ++this->service_count;
        ++this->running_count;
        this->erase_request(queue, requests->second, requests->second.begin());
    }
    this->forget_idle_accounts();
    return popped;
}

bool admission_queue::cancel(std::uint64_t id)
{
    const auto account = this->account_by_request.find(id);
    if (account == this->account_by_request.end())
    {
        return false;
    }
    account_queue& queue = this->accounts.at(account->second);
    for (auto& [priority, requests] : queue.by_priority)
    {
        const auto position = std::find_if(requests.begin(), requests.end(),
                                           [id](const waiting_request& request)
                                           {
                                               return request.id == id;
                                           });
        if (position != requests.end())
        {
            this->erase_request(queue, requests, position);
            break;
        }
    }
    this->forget_idle_accounts();
    return true;
}

void admission_queue::completed(attempt_outcome outcome,
                                duration latency,
                                time_point now,
                                bool body_arriving)
{
    this->attempt_ended(outcome, latency, now);
    this->running_count -= this->running_count > 0 ? 1U : 0U;
    this->running_arriving -=
        body_arriving && this->running_arriving > 0 ? 1U : 0U;
}

void admission_queue::attempt_ended(attempt_outcome outcome,
                                    duration latency,
                                    time_point now)
{
    this->concurrency.completed(outcome, latency, this->running_count, now);
}

std::size_t admission_queue::waiting() const
{
    return this->account_by_request.size();
}

std::uint32_t admission_queue::running() const
{
    return this->running_count;
}

std::uint32_t admission_queue::limit() const
{
    return this->concurrency.value();
}

// Under fair service a request waits for the earlier ones of its own account
// and for as many of each other account, in proportion to the weights. Each
// slot completes one request per mean latency. Requests whose bodies are still
// arriving are not ahead of others.
duration admission_queue::expected_wait(const std::string& account,
                                        double weight,
                                        bool body_arriving) const
{
    const std::string own_name = queue_name(account, body_arriving);
    const auto own = this->accounts.find(own_name);
    const double own_size =
        own != this->accounts.end() ? static_cast<double>(own->second.size) : 0;
    const double own_weight = std::max(min_account_weight, weight);
    double ahead = own_size;
    for (const auto& [name, queue] : this->accounts)
    {
        const double served_before =
            (own_size + 1.0) * queue.weight / own_weight;
        const auto size = static_cast<double>(queue.size);
        const bool is_ahead =
            name != own_name && (body_arriving || !queue.bodies_arriving);
        ahead += is_ahead ? std::min(size, std::ceil(served_before)) : 0.0;
    }
    const double slots = this->limit();
    const double free_slots = std::max(0.0, slots - this->running_count);
    if (ahead < free_slots)
    {
        return duration::zero();
    }
    const double completions = ahead + 1.0 - free_slots;
    return from_seconds(completions *
                        seconds(this->concurrency.mean_latency()) / slots);
}

// The request that its account starts next. The map holds no empty deque, so
// its last one has the highest waiting priority.
const waiting_request&
admission_queue::first_request(const account_queue& queue)
{
    return std::prev(queue.by_priority.end())->second.front();
}

// The account with the earliest virtual start goes first. Among equals it is
// the account that was last served longest ago: if priority decided between
// them, an account could be served last in one round and first in the next.
bool admission_queue::is_served_before(const account_queue& left,
                                       const account_queue& right)
{
    if (left.virtual_start != right.virtual_start)
    {
        return left.virtual_start < right.virtual_start;
    }
    if (left.last_service != right.last_service)
    {
        return left.last_service < right.last_service;
    }
    const waiting_request& left_request = first_request(left);
    const waiting_request& right_request = first_request(right);
    if (left_request.priority != right_request.priority)
    {
        return left_request.priority > right_request.priority;
    }
    return left_request.deadline < right_request.deadline;
}

// Whether a request of this queue may start while others may.
bool admission_queue::has_slot_for(const account_queue& queue) const
{
    return !queue.bodies_arriving ||
           this->running_arriving <
               std::max(this->limit() / arriving_slots_divisor, 1U);
}

// The end if no waiting request may start.
admission_queue::account_map::iterator admission_queue::next_account_to_serve()
{
    auto first = this->accounts.end();
    for (auto account = this->accounts.begin(); account != this->accounts.end();
         ++account)
    {
        const bool has_requests =
            account->second.size > 0 && this->has_slot_for(account->second);
        if (has_requests && (first == this->accounts.end() ||
                             is_served_before(account->second, first->second)))
        {
            first = account;
        }
    }
    return first;
}

// Returns the account with the most waiting requests in proportion to its
// weight. The arriving request counts as waiting for its own account.
std::string admission_queue::account_with_longest_backlog(
    const waiting_request& arriving) const
{
    const std::string own_name =
        queue_name(arriving.account, arriving.body_arriving);
    const auto own = this->accounts.find(own_name);
    const std::size_t own_size =
        1 + (own != this->accounts.end() ? own->second.size : 0);
    double longest = static_cast<double>(own_size) /
                     std::max(min_account_weight, arriving.weight);
    std::string longest_account = own_name;
    for (const auto& [name, queue] : this->accounts)
    {
        const double length = static_cast<double>(queue.size) / queue.weight;
        if (name != own_name && length > longest)
        {
            longest = length;
            longest_account = name;
        }
    }
    return longest_account;
}

// Makes room in a full queue: removes the newest request of the lowest priority
// of the account with the longest backlog. Returns nullopt if the arriving
// request must be refused instead.
std::optional<std::uint64_t>
admission_queue::make_room_for(const waiting_request& arriving)
{
    const std::string victim = this->account_with_longest_backlog(arriving);
    const auto account = this->accounts.find(victim);
    if (account == this->accounts.end() || account->second.size == 0)
    {
        return std::nullopt;
    }
    const auto lowest = account->second.by_priority.begin();
    const bool is_own =
        victim == queue_name(arriving.account, arriving.body_arriving);
    if (is_own && lowest->first >= arriving.priority)
    {
        return std::nullopt;
    }
    const std::uint64_t evicted = lowest->second.back().id;
    this->erase_request(account->second, lowest->second,
                        std::prev(lowest->second.end()));
    return evicted;
}

void admission_queue::erase_request(
    account_queue& queue,
    std::deque<waiting_request>& requests,
    const std::deque<waiting_request>::iterator& position)
{
    const route_priority priority = position->priority;
    this->account_by_request.erase(position->id);
    requests.erase(position);
    --queue.size;
    if (requests.empty())
    {
        queue.by_priority.erase(priority);
    }
}

// Removes the requests whose deadline is less than half a mean latency away, as
// they could hardly finish in time.
void admission_queue::expire(time_point now,
                             std::vector<std::uint64_t>& expired)
{
    const time_point earliest_deadline =
        now + this->concurrency.mean_latency() / 2;
    for (const auto& [name, queue] : this->accounts)
    {
        for (const auto& [priority, requests] : queue.by_priority)
        {
            for (const waiting_request& request : requests)
            {
                if (request.deadline < earliest_deadline)
                {
                    expired.push_back(request.id);
                }
            }
        }
    }
    for (const std::uint64_t id : expired)
    {
        this->cancel(id);
    }
}

// An account without requests is kept while its virtual start is ahead of the
// virtual time, so that it can't gain service by leaving and coming back.
void admission_queue::forget_idle_accounts()
{
    std::erase_if(this->accounts,
                  [this](const auto& account)
                  {
                      return account.second.size == 0 &&
                             account.second.virtual_start <= this->virtual_time;
                  });
}

} // namespace medlarbarrow::core
