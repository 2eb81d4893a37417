#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/admission.hpp>
#include <utility>

namespace medlarbarrow::core
{

namespace
{

/// Weight of a new latency in the average.
constexpr double sample_weight = 0.1;

/// A window of samples is judged after this time and number of completions.
constexpr duration window_length = std::chrono::milliseconds(100);
constexpr std::uint32_t window_samples = 8;

/// The latency floor falls fast and rises slowly, so that a queue at the
/// servers isn't taken for their normal latency.
constexpr double floor_fall_weight = 0.3;
constexpr double floor_rise_weight = 0.002;

/// Window mean over floor up to which the limit may grow, and from which it
/// shrinks. Means of 8 exponential times scatter by a third around their
/// expectation, and the floor sits below it.
constexpr double growth_ratio = 1.8;
constexpr double shrink_ratio = 2.5;

/// Part of sheds and timeouts in a window that counts as overload.
constexpr double overload_fraction = 0.1;

constexpr double growth = 0.5;
constexpr double latency_shrink = 0.9;
constexpr double overload_shrink = 0.8;

/// Smallest weight of an account, so that every account is served.
constexpr double least_weight = 1e-3;

/// First limit, in fair shares of the slots.
constexpr double first_shares = 2.0;

/// Room above the fair share, in standard deviations of random arrivals.
constexpr double least_deviations = 0.5;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

} // namespace

// Always allowed are the fair share of the slots and the deviation that random
// arrivals need: at the share itself, an instance queues requests while slots
// are free elsewhere.
void concurrency_limit::set_capacity(std::uint32_t slots, std::size_t instances)
{
    const double all = std::max(1U, slots);
    const double share =
        all / static_cast<double>(std::max<std::size_t>(1, instances));
    this->greatest = all;
    this->least =
        std::min(all, std::ceil(share + least_deviations * std::sqrt(share)));
    if (!this->started)
    {
        this->limit = std::max(2.0, first_shares * share);
        this->started = true;
    }
    this->limit = std::clamp(this->limit, this->least, this->greatest);
}

std::uint32_t concurrency_limit::value() const
{
    return std::max(1U, static_cast<std::uint32_t>(this->limit));
}

void concurrency_limit::completed(work_outcome outcome,
                                  duration latency,
                                  std::uint32_t running,
                                  time_point now)
{
    this->peak_running = std::max(this->peak_running, running);
    switch (outcome)
    {
    case work_outcome::succeeded:
    {
        const double taken = seconds(latency);
        const double weight = this->mean > 0.0 ? sample_weight : 1.0;
        this->mean += weight * (taken - this->mean);
        this->latency_sum += taken;
        ++this->samples;
        break;
    }
    case work_outcome::shed:
    case work_outcome::timed_out:
        ++this->overloads;
        break;
    case work_outcome::failed:
    case work_outcome::abandoned:
        break;
    }
    if (now - this->window_start >= window_length &&
        this->samples + this->overloads >= window_samples)
    {
        this->close_window(now);
    }
}

duration concurrency_limit::mean_latency() const
{
    return from_seconds(this->mean);
}

// Judges the completions of one window and starts the next.
void concurrency_limit::close_window(time_point now)
{
    const double all = this->samples + this->overloads;
    const double window_mean =
        this->samples > 0 ? this->latency_sum / this->samples : this->floor;
    if (this->floor <= 0.0)
    {
        this->floor = window_mean;
    }
    const double weight =
        window_mean < this->floor ? floor_fall_weight : floor_rise_weight;
    this->floor += weight * (window_mean - this->floor);
    if (this->overloads > overload_fraction * all)
    {
        this->limit *= overload_shrink;
    }
    else if (window_mean > shrink_ratio * this->floor)
    {
        this->limit *= latency_shrink;
    }
    else if (window_mean < growth_ratio * this->floor &&
             this->peak_running >= this->value())
    {
        this->limit += growth;
    }
    this->limit = std::clamp(this->limit, this->least, this->greatest);
    this->samples = 0;
    this->overloads = 0;
    this->peak_running = 0;
    this->latency_sum = 0.0;
    this->window_start = now;
}

admission_queue::admission_queue(std::size_t greatest_waiting)
    : capacity(greatest_waiting)
{
}

void admission_queue::set_capacity(std::uint32_t slots, std::size_t instances)
{
    this->limits.set_capacity(slots, instances);
}

push_result admission_queue::push(const waiting_request& request,
                                  time_point now)
{
    const duration needed =
        this->expected_wait(request.account, request.weight) +
        this->limits.mean_latency();
    if (now + needed > request.deadline)
    {
        return {result_code::deadline_unreachable, std::nullopt};
    }
    push_result answer;
    if (this->waiting() >= this->capacity)
    {
        answer.evicted = this->evict_for(request);
        if (!answer.evicted)
        {
            return {result_code::queue_full, std::nullopt};
        }
    }
    account_queue& queue = this->accounts[request.account];
    if (queue.size == 0)
    {
        queue.next_start = std::max(queue.next_start, this->virtual_time);
    }
    queue.weight = std::max(least_weight, request.weight);
    queue.classes[request.priority].push_back(request);
    ++queue.size;
    this->account_of[request.id] = request.account;
    return answer;
}

popped_requests admission_queue::pop_ready(time_point now)
{
    popped_requests popped;
    this->expire(now, popped.expired);
    while (this->waiting() > 0 && this->running_count < this->limit())
    {
        account_queue& queue = this->next_account()->second;
        const auto within = std::prev(queue.classes.end());
        popped.start.push_back(within->second.front().id);
        this->virtual_time = queue.next_start;
        queue.next_start += 1.0 / queue.weight;
        queue.last_served = ++this->services;
        ++this->running_count;
        this->erase_request(queue, within->second, within->second.begin());
    }
    this->forget_idle_accounts();
    return popped;
}

bool admission_queue::cancel(std::uint64_t id)
{
    const auto at = this->account_of.find(id);
    if (at == this->account_of.end())
    {
        return false;
    }
    account_queue& queue = this->accounts.at(at->second);
    for (auto& [priority, within] : queue.classes)
    {
        const auto found = std::find_if(within.begin(), within.end(),
                                        [id](const waiting_request& request)
                                        {
                                            return request.id == id;
                                        });
        if (found != within.end())
        {
            this->erase_request(queue, within, found);
            break;
        }
    }
    this->forget_idle_accounts();
    return true;
}

void admission_queue::completed(work_outcome outcome,
                                duration latency,
                                time_point now)
{
    this->attempt_ended(outcome, latency, now);
    this->running_count -= this->running_count > 0 ? 1U : 0U;
}

void admission_queue::attempt_ended(work_outcome outcome,
                                    duration latency,
                                    time_point now)
{
    this->limits.completed(outcome, latency, this->running_count, now);
}

std::size_t admission_queue::waiting() const
{
    return this->account_of.size();
}

std::uint32_t admission_queue::running() const
{
    return this->running_count;
}

std::uint32_t admission_queue::limit() const
{
    return this->limits.value();
}

// Under fair service a request waits for those of its own account and for as
// many of each other account, in proportion to the weights. One request leaves
// per mean latency and slot.
duration admission_queue::expected_wait(const std::string& account,
                                        double weight) const
{
    const auto own = this->accounts.find(account);
    const double own_size =
        own != this->accounts.end() ? static_cast<double>(own->second.size) : 0;
    const double own_weight = std::max(least_weight, weight);
    double ahead = own_size;
    for (const auto& [name, queue] : this->accounts)
    {
        const double turns = (own_size + 1.0) * queue.weight / own_weight;
        const auto size = static_cast<double>(queue.size);
        ahead += name == account ? 0.0 : std::min(size, std::ceil(turns));
    }
    const double slots = this->limit();
    const double free = std::max(0.0, slots - this->running_count);
    if (ahead < free)
    {
        return duration::zero();
    }
    const double turns = ahead + 1.0 - free;
    return from_seconds(turns * seconds(this->limits.mean_latency()) / slots);
}

// The request that its account sends next; classes hold no empty queue.
const waiting_request& admission_queue::head(const account_queue& queue)
{
    return std::prev(queue.classes.end())->second.front();
}

// Earliest virtual start first. Among equals the account whose last service is
// longest ago goes first: if priority decided here, an account could be served
// last in one round and first in the next.
bool admission_queue::goes_before(const account_queue& left,
                                  const account_queue& right)
{
    if (left.next_start != right.next_start)
    {
        return left.next_start < right.next_start;
    }
    if (left.last_served != right.last_served)
    {
        return left.last_served < right.last_served;
    }
    const waiting_request& first = head(left);
    const waiting_request& second = head(right);
    if (first.priority != second.priority)
    {
        return first.priority > second.priority;
    }
    return first.deadline < second.deadline;
}

admission_queue::account_map::iterator admission_queue::next_account()
{
    auto best = this->accounts.end();
    for (auto at = this->accounts.begin(); at != this->accounts.end(); ++at)
    {
        const bool waits = at->second.size > 0;
        if (waits && (best == this->accounts.end() ||
                      goes_before(at->second, best->second)))
        {
            best = at;
        }
    }
    return best;
}

// Longest in proportion to the weight. The arriving request counts as waiting
// for its own account.
std::string
admission_queue::longest_account(const waiting_request& arriving) const
{
    const auto own = this->accounts.find(arriving.account);
    const std::size_t own_size =
        1 + (own != this->accounts.end() ? own->second.size : 0);
    double longest =
        static_cast<double>(own_size) / std::max(least_weight, arriving.weight);
    std::string found = arriving.account;
    for (const auto& [name, queue] : this->accounts)
    {
        const double length = static_cast<double>(queue.size) / queue.weight;
        if (name != arriving.account && length > longest)
        {
            longest = length;
            found = name;
        }
    }
    return found;
}

// Makes room at the cost of the account with the longest backlog: its
// newest one of the lowest priority goes. nullopt: the arriving one goes.
std::optional<std::uint64_t>
admission_queue::evict_for(const waiting_request& arriving)
{
    const std::string victim = this->longest_account(arriving);
    const auto at = this->accounts.find(victim);
    if (at == this->accounts.end() || at->second.size == 0)
    {
        return std::nullopt;
    }
    const auto lowest = at->second.classes.begin();
    if (victim == arriving.account && lowest->first >= arriving.priority)
    {
        return std::nullopt;
    }
    const std::uint64_t evicted = lowest->second.back().id;
    this->erase_request(at->second, lowest->second,
                        std::prev(lowest->second.end()));
    return evicted;
}

void admission_queue::erase_request(
    account_queue& queue,
    std::deque<waiting_request>& within,
    const std::deque<waiting_request>::iterator& at)
{
    const route_priority priority = at->priority;
    this->account_of.erase(at->id);
    within.erase(at);
    --queue.size;
    if (within.empty())
    {
        queue.classes.erase(priority);
    }
}

// Takes out the requests that could no longer finish in a typical time.
void admission_queue::expire(time_point now,
                             std::vector<std::uint64_t>& expired)
{
    const time_point latest = now + this->limits.mean_latency() / 2;
    for (const auto& [name, queue] : this->accounts)
    {
        for (const auto& [priority, within] : queue.classes)
        {
            for (const waiting_request& request : within)
            {
                if (request.deadline < latest)
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

// An account without requests is remembered while it is ahead of the others,
// so that it can't gain by leaving and coming back.
void admission_queue::forget_idle_accounts()
{
    std::erase_if(this->accounts,
                  [this](const auto& each)
                  {
                      return each.second.size == 0 &&
                             each.second.next_start <= this->virtual_time;
                  });
}

} // namespace medlarbarrow::core
