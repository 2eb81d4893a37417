#include <algorithm>
#include <cmath>
#include <functional>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/placement_common.hpp>
#include <tuple>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A server is suspected, and mostly gets only probes, from this suspicion on
/// until its suspicion falls below half of it.
constexpr double suspicion_threshold = 1.0;
constexpr real_seconds suspicion_half_life{2.0};

/// Suspicion that each outcome of a send adds.
constexpr double overdue_suspicion = 1.3;
constexpr double broke_off_suspicion = 1.1;
/// Below the threshold: healthy servers fail some requests too, so that a
/// single failure means little.
constexpr double failed_suspicion = 0.6;
constexpr double shed_suspicion = 0.3;
constexpr double unreachable_suspicion = 0.45;
/// A success multiplies the suspicion by this.
constexpr double success_factor = 0.45;

/// Shortest time between two probes of a suspected server.
constexpr milliseconds probe_interval{600};

/// Share of its slots that a server uses while it warms up.
constexpr double warm_up_capacity_share = 0.67;

/// A request that runs longer than this is slow.
constexpr double slow_request_ratio = 1.3; ///< times the typical duration

/// A request that has spent this share of its objective in the queue may run
/// on a server beyond its slots.
constexpr double long_wait_share = 0.35;
/// Time after a request's deadline at which its grant expires, if the entry
/// instance has not reported the end of the send.
constexpr milliseconds grant_expiry_margin{300};

/// Successes needed before the durations measured for a kind of work are used.
constexpr std::uint32_t min_samples = 8;
/// Smallest weight of a new sample in the averages of a kind of work; the first
/// samples weigh more.
constexpr double min_sample_weight = 0.05;
/// Mean absolute deviations above the mean at which a request is overdue.
constexpr double overdue_deviations = 4.0;
constexpr milliseconds min_overdue_after{60};

constexpr milliseconds min_retry_after{100};

/// Instances whose holds are kept. Above the number of instances of the largest
/// fleet; further ones keep to their holds themselves.
constexpr std::size_t max_held_instances = 2048;

} // namespace

placement::placement(retry_limits configured_limits,
                     std::uint64_t seed,
                     std::shared_ptr<crash_records> known_crashes)
    : repeats(configured_limits), random(seed),
      crashes(std::move(known_crashes))
{
}

void placement::set_limits(const retry_limits& new_limits)
{
    this->repeats.set_limits(new_limits);
}

void placement::set_floor_share(double share)
{
    this->floor_share = share;
}

// Keeps the state of servers that remain. A server that has been restarted
// begins with a new state.
void placement::set_servers(const std::vector<const announced_server*>& usable,
                            time_point now)
{
    std::map<std::string, server_state> updated;
    for (const announced_server* announced : usable)
    {
        const auto previous = this->servers.find(announced->server.name);
        server_state state;
        if (previous != this->servers.end() &&
            previous->second.announced.started == announced->started)
        {
            state = std::move(previous->second);
        }
        else
        {
            state.suspicion_updated = now;
            state.last_work = now;
        }
        state.announced = *announced;
        updated.emplace(announced->server.name, std::move(state));
    }
    this->servers = std::move(updated);
}

std::uint32_t placement::capacity_of(const server_state& server,
                                     time_point now) const
{
    const std::uint32_t slots =
        std::max<std::uint32_t>(server.announced.server.slots, 1);
    if (now >= server.announced.warmed_up_at)
    {
        return slots;
    }
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(slots * warm_up_capacity_share));
}

// Suspicion decays with time, so that a server that has recovered gets work
// again even if no request is repeatable and could probe it.
void placement::decay_suspicion(server_state& server, time_point now) const
{
    const double elapsed = in_seconds(now - server.suspicion_updated);
    server.suspicion *= std::exp2(-elapsed / suspicion_half_life.count());
    server.suspicion_updated = now;
    server.suspected =
        server.suspected && server.suspicion >= suspicion_threshold / 2;
    server.failed_together = server.failed_together && server.suspected;
}

// Failures of requests that ran at the same time count as one in a row.
void placement::raise_suspicion(const active_grant& failed,
                                double amount,
                                const char* reason,
                                time_point now)
{
    const auto position = this->servers.find(failed.server);
    if (position == this->servers.end())
    {
        return;
    }
    server_state& server = position->second;
    this->decay_suspicion(server, now);
    server.suspicion = std::min(server.suspicion + amount, max_suspicion);
    if (amount > 0.0)
    {
        server.failures_in_row += failed.granted_at > server.last_failure;
        server.last_failure = now;
    }
    if (!server.suspected && server.suspicion >= suspicion_threshold)
    {
        server.suspected = true;
        server.suspected_at = now;
        server.failed_trials = 0;
        this->find_joint_failure(now);
        this->events.push_back(
            {failed.server, "suspected", reason, server.suspicion});
    }
}

// Called after a success. A server that becomes trusted by decay alone logs no
// event.
void placement::lower_suspicion(server_state& server,
                                double factor,
                                time_point now)
{
    this->decay_suspicion(server, now);
    server.suspicion *= factor;
    if (server.suspected && server.suspicion < suspicion_threshold / 2)
    {
        server.suspected = false;
        server.failed_together = false;
        this->events.push_back({server.announced.server.name, "trusted",
                                "answers", server.suspicion});
    }
}

// Mean duration of the request's kind of work, or a quarter of the objective
// while there are too few samples.
duration placement::typical_duration(const place_request& request) const
{
    const auto measured = this->work_times.find(request.work_kind);
    if (measured == this->work_times.end() ||
        measured->second.samples < min_samples)
    {
        return request.time_to_objective / 4;
    }
    return from_seconds(measured->second.mean);
}

// Running time after which a request raises the suspicion of its server.
duration placement::overdue_after(const place_request& request) const
{
    const auto measured = this->work_times.find(request.work_kind);
    if (measured == this->work_times.end() ||
        measured->second.samples < min_samples)
    {
        return std::max<duration>(request.time_to_objective * 6 / 10,
                                  min_overdue_after);
    }
    const work_time& work = measured->second;
    const double limit = std::max(
        work.mean + overdue_deviations * work.deviation, 2 * work.mean);
    return std::max<duration>(from_seconds(limit), min_overdue_after);
}

// How far the slowest running request of each server is past the typical
// duration of its work, from 0.3 at `slow_request_ratio` to 1 shortly before it
// is overdue and after. Servers without a slow request are left out. A request
// whose body was still arriving may be slow because of its caller.
std::map<std::string_view, double>
placement::slowness_by_server(time_point now) const
{
    std::map<std::string_view, double> slowness;
    for (const auto& [id, active] : this->grants)
    {
        if (active.request.body_arriving)
        {
            continue;
        }
        const double slow_after =
            slow_request_ratio *
            in_seconds(this->typical_duration(active.request));
        const double elapsed = in_seconds(now - active.granted_at);
        if (elapsed > slow_after)
        {
            const double overdue_after =
                in_seconds(active.overdue_at - active.granted_at);
            const double progress = (elapsed - slow_after) /
                                    std::max(overdue_after - slow_after, 0.001);
            double& slowest = slowness[active.server];
            slowest = std::max(slowest, std::min(progress + 0.3, 1.0));
        }
    }
    return slowness;
}

void placement::hold(std::uint64_t instance,
                     const server_notice& notice,
                     time_point now)
{
    if (notice.retry_after <= duration(0))
    {
        return;
    }
    for (auto& [held_instance, server_holds] : this->holds)
    {
        server_holds.drop_ended(now);
    }
    std::erase_if(this->holds,
                  [](const auto& instance_holds)
                  {
                      return instance_holds.second.size() == 0;
                  });
    if (this->holds.contains(instance) ||
        this->holds.size() < max_held_instances)
    {
        this->holds[instance].hold(notice.server, notice.started,
                                   notice.retry_after, now);
    }
}

// If all servers have turned the instance away, waiting is of no use: returns a
// refusal with the time until the first of them wants work again.
std::optional<place_refused>
placement::refusal_if_turned_away(const place_request& request,
                                  time_point now) const
{
    const auto held = this->holds.find(request.grant.instance);
    if (held == this->holds.end() || this->servers.empty())
    {
        return std::nullopt;
    }
    duration shortest = max_hold;
    for (const auto& [name, server] : this->servers)
    {
        shortest = std::min(shortest, held->second.remaining(
                                          name, server.announced.started, now));
    }
    if (shortest <= duration(0))
    {
        return std::nullopt;
    }
    return place_refused{result_code::no_healthy_server,
                         std::chrono::ceil<milliseconds>(shortest)};
}

// Returns the suspected server that has been without work longest among those
// that should be probed with this request, or nullptr. Only a request that can
// still be sent to another server within its objective serves as a probe. While
// sends fail and slots are free, there are no such probes: each one that fails
// takes a repeat from a request that needs it, and servers get work when they
// are due for it.
placement::server_state*
placement::server_due_for_probe(const place_request& request, time_point now)
{
    if (!request.repeatable || request.repeat || request.body_arriving ||
        !this->repeats.has_room(now) ||
        request.time_to_objective <
            this->overdue_after(request) + this->typical_duration(request) ||
        (this->queue.empty() && this->needs_spread(now)))
    {
        return nullptr;
    }
    server_state* longest_idle = nullptr;
    for (auto& [name, server] : this->servers)
    {
        if (server.suspected && server.running == 0 &&
            now - server.last_probe >= probe_interval &&
            !this->is_excluded_for(server, request, now) &&
            (longest_idle == nullptr ||
             server.last_work < longest_idle->last_work))
        {
            longest_idle = &server;
        }
    }
    if (longest_idle != nullptr)
    {
        longest_idle->last_probe = now;
    }
    return longest_idle;
}

// Takes a slot of the server for the request. On a server that is warming up,
// the request becomes overdue only after twice the usual time.
place_answer placement::grant(const place_request& request,
                              server_state& server,
                              time_point now)
{
    const duration overdue = this->overdue_after(request);
    active_grant active;
    active.server = server.announced.server.name;
    active.request = request;
    active.granted_at = now;
    active.overdue_at = now + overdue;
    if (now < server.announced.warmed_up_at)
    {
        active.overdue_at += overdue;
    }
    active.expires_at = now + request.time_to_deadline + grant_expiry_margin;
    ++server.running;
    server.arriving_bodies += request.body_arriving ? 1 : 0;
    server.last_work = now;
    server.has_had_work = true;
    server.last_send_by_instance[request.grant.instance] = now;
    if (request.repeat)
    {
        this->repeats.count_repeat(now);
    }
    this->crashes->record_trial(request.content_digest, now);
    placed answer{active.server, this->typical_duration(request), overdue};
    this->grants[request.grant] = std::move(active);
    return answer;
}

// Estimated wait of a request of this rank: the typical durations of the
// requests that wait ahead of it, divided by the slots of all trusted servers.
// Requests whose bodies are still arriving are not ahead of others.
duration placement::expected_wait(std::uint32_t rank,
                                  bool body_arriving,
                                  time_point now) const
{
    double work_ahead = 0.0;
    for (const queued_request& waiting : this->queue)
    {
        if (waiting.request.rank <= rank &&
            (body_arriving || !waiting.request.body_arriving))
        {
            work_ahead += in_seconds(this->typical_duration(waiting.request));
        }
    }
    double capacity = 0.0;
    for (const auto& [name, server] : this->servers)
    {
        capacity += server.suspected ? 0.0 : this->capacity_of(server, now);
    }
    return from_seconds(work_ahead / std::max(capacity, 1.0));
}

// Refuses with a Retry-After of twice the estimated wait of the whole queue.
place_refused placement::make_refusal(result_code code, time_point now) const
{
    const duration wait = this->expected_wait(
        std::numeric_limits<std::uint32_t>::max(), true, now);
    return {code, std::max<duration>(2 * wait, min_retry_after)};
}

// While the block is not settled, the caller is told when to come back.
std::optional<place_refused>
placement::refusal_if_blocked(const place_request& request,
                              time_point now) const
{
    const request_block block =
        this->crashes->block_of(request.content_digest, now);
    if (!block.in_force)
    {
        return std::nullopt;
    }
    return place_refused{result_code::request_blocked, block.unsettled_for};
}

place_answer placement::request(const place_request& request, time_point now)
{
    const auto existing = this->grants.find(request.grant);
    if (existing != this->grants.end())
    {
        return placed{existing->second.server, this->typical_duration(request),
                      this->overdue_after(request)};
    }
    for (const queued_request& waiting : this->queue)
    {
        if (waiting.request.grant == request.grant)
        {
            return queued{};
        }
    }
    if (!request.repeat)
    {
        this->repeats.count_request(now);
        this->count_request(request, now);
    }
    return this->decide(request, now);
}

// Places the request if a server can take it at once.
std::optional<place_answer> placement::place_now(const place_request& request,
                                                 time_point now)
{
    if (server_state* server = this->server_due_for_probe(request, now))
    {
        return this->grant(request, *server, now);
    }
    const overview servers_now = this->make_overview(now);
    if (auto placed = this->place_on_idle_server(request, servers_now, now))
    {
        return placed;
    }
    // Waiting requests go first.
    if (this->has_request_ahead(request))
    {
        return std::nullopt;
    }
    if (server_state* server =
            this->choose_server(request, false, servers_now, now))
    {
        return this->grant(request, *server, now);
    }
    return std::nullopt;
}

// Decides about a request that is neither running nor waiting.
place_answer placement::decide(const place_request& request, time_point now)
{
    if (const auto refusal = this->refusal_if_blocked(request, now))
    {
        return *refusal;
    }
    if (this->servers.empty())
    {
        return this->make_refusal(result_code::no_healthy_server, now);
    }
    if (const auto refusal = this->refusal_if_turned_away(request, now))
    {
        return *refusal;
    }
    if (request.repeat && !this->repeats.has_room(now))
    {
        return this->make_refusal(result_code::server_shed, now);
    }
    if (!this->must_wait_for_slot(request, now))
    {
        if (const auto placed = this->place_now(request, now))
        {
            return *placed;
        }
    }
    this->lacked_slot_at = now;
    const duration wait =
        this->expected_wait(request.rank, request.body_arriving, now);
    if (wait + this->typical_duration(request) >
        std::min(request.time_to_objective, request.time_to_deadline))
    {
        return this->make_refusal(result_code::deadline_unreachable, now);
    }
    this->queue.push_back({request, now, now + request.time_to_objective,
                           now + request.time_to_deadline});
    return queued{};
}

// Records what the end of a send shows about the server and the request.
void placement::record_evidence(const active_grant& ended,
                                const send_end& end,
                                time_point now)
{
    const time_point ended_at = now - end.age;
    if (end.connection_age > duration(0))
    {
        this->crashes->record_life_sign(
            {ended.server, ended_at - end.connection_age, ended_at});
    }
    if (end.outcome == send_outcome::succeeded)
    {
        this->crashes->record_success(ended.request.content_digest, ended_at);
    }
    if (end.may_be_crash())
    {
        this->new_crashes.push_back(
            {ended.request.content_digest, ended.server, end.age});
        this->crashes->record(this->new_crashes.back(), now);
    }
}

std::vector<crash_event> placement::take_crashes()
{
    return std::exchange(this->new_crashes, {});
}

void placement::on_send_ended(const send_end& end, time_point now)
{
    const send_outcome outcome = end.outcome;
    const auto active = this->grants.find(end.grant);
    if (active == this->grants.end())
    {
        return;
    }
    const active_grant ended = std::move(active->second);
    this->grants.erase(active);
    const auto server = this->servers.find(ended.server);
    if (server != this->servers.end() && server->second.running > 0)
    {
        --server->second.running;
        const bool was_arriving =
            ended.request.body_arriving && server->second.arriving_bodies > 0;
        server->second.arriving_bodies -= was_arriving ? 1 : 0;
    }
    // An overdue send has been counted when it became overdue.
    if (outcome != send_outcome::cancelled && !ended.overdue)
    {
        const bool succeeded = outcome == send_outcome::succeeded;
        this->count_result(!succeeded, now);
        this->count_trial(ended, succeeded);
    }
    this->record_evidence(ended, end, now);
    switch (outcome)
    {
    case send_outcome::succeeded:
    {
        work_time& measured = this->work_times[ended.request.work_kind];
        const double sample = in_seconds(end.latency);
        const double weight =
            std::max(min_sample_weight, 1.0 / (measured.samples + 1));
        measured.deviation +=
            weight * (std::abs(sample - measured.mean) - measured.deviation);
        if (measured.samples == 0)
        {
            measured.deviation = sample / 2;
        }
        measured.mean += weight * (sample - measured.mean);
        ++measured.samples;
        if (server != this->servers.end())
        {
            server->second.last_success = now;
            server->second.failures_in_row = 0;
            this->lower_suspicion(server->second, success_factor, now);
        }
        break;
    }
    case send_outcome::failed:
        this->raise_suspicion(ended, failed_suspicion, "error answers", now);
        break;
    case send_outcome::connection_lost:
        this->raise_suspicion(ended, broke_off_suspicion, "connection ended",
                              now);
        break;
    case send_outcome::timed_out:
        this->raise_suspicion(ended, ended.overdue ? 0.0 : overdue_suspicion,
                              "no answer in time", now);
        break;
    case send_outcome::shed:
        this->raise_suspicion(ended, shed_suspicion, "request shed", now);
        break;
    case send_outcome::unreachable:
        this->raise_suspicion(ended, unreachable_suspicion, "no connection",
                              now);
        break;
    case send_outcome::cancelled:
        break;
    }
}

void placement::cancel(const grant_id& id, time_point now)
{
    std::erase_if(this->queue,
                  [&id](const queued_request& waiting)
                  {
                      return waiting.request.grant == id;
                  });
    this->on_send_ended(send_end{id}, now);
}

// A request that runs far longer than its kind of work usually does raises the
// suspicion of its server while it still runs: further requests would be lost
// to the server until it ends. One whose body was still arriving, or whose
// answer has begun and is passed on as it comes, may run long because of its
// caller, and raises none.
// Grants that have expired are cancelled.
void placement::check_active_grants(time_point now)
{
    std::vector<grant_id> expired;
    for (auto& [id, active] : this->grants)
    {
        const bool waits_for_caller =
            active.request.body_arriving || active.streaming;
        if (!active.overdue && !waits_for_caller && now >= active.overdue_at)
        {
            active.overdue = true;
            this->count_result(true, now);
            this->count_trial(active, false);
            this->raise_suspicion(active, overdue_suspicion, "answer overdue",
                                  now);
        }
        if (now >= active.expires_at)
        {
            expired.push_back(id);
        }
    }
    for (const grant_id& id : expired)
    {
        this->on_send_ended(send_end{id}, now);
    }
}

// Requests that can no longer be answered within their objective go last.
// Within each of the two groups the most urgent rank goes first, then the
// earliest objective.
void placement::sort_queue(time_point now)
{
    const auto misses_objective = [this, now](const queued_request& waiting)
    {
        return waiting.objective_at <
               now + this->typical_duration(waiting.request);
    };
    const auto first_late = std::stable_partition(
        this->queue.begin(), this->queue.end(), std::not_fn(misses_objective));
    const auto is_more_urgent =
        [](const queued_request& left, const queued_request& right)
    {
        return std::tie(left.request.rank, left.objective_at) <
               std::tie(right.request.rank, right.objective_at);
    };
    std::stable_sort(this->queue.begin(), first_late, is_more_urgent);
    std::stable_sort(first_late, this->queue.end(), is_more_urgent);
}

std::vector<deferred_answer> placement::tick(time_point now)
{
    this->check_active_grants(now);
    std::vector<deferred_answer> answers;
    if (this->queue.empty())
    {
        return answers;
    }
    this->sort_queue(now);
    overview servers_now = this->make_overview(now);
    bool is_idle_server_due = this->has_idle_server_due(servers_now, now);
    std::vector<queued_request> remaining;
    for (queued_request& waiting : this->queue)
    {
        const duration waited = now - waiting.queued_at;
        const duration objective = waiting.request.time_to_objective;
        const bool waited_long =
            in_seconds(waited) > long_wait_share * in_seconds(objective);
        place_request request = waiting.request;
        request.time_to_deadline = waiting.deadline - now;
        request.time_to_objective =
            std::max(waiting.objective_at - now, duration(0));
        if (request.time_to_deadline <=
            this->typical_duration(waiting.request) / 2)
        {
            answers.push_back(
                {request.grant,
                 this->make_refusal(result_code::deadline_unreachable, now)});
            continue;
        }
        if (const auto refusal = this->refusal_if_blocked(request, now))
        {
            answers.push_back({request.grant, *refusal});
            continue;
        }
        if (const auto refusal = this->refusal_if_turned_away(request, now))
        {
            answers.push_back({request.grant, *refusal});
            continue;
        }
        if (this->must_wait_for_slot(request, now))
        {
            remaining.push_back(std::move(waiting));
            continue;
        }
        const auto placed =
            is_idle_server_due
                ? this->place_on_idle_server(request, servers_now, now)
                : std::nullopt;
        if (placed)
        {
            answers.push_back({request.grant, *placed});
            this->count_free_places(servers_now, now);
            is_idle_server_due = this->has_idle_server_due(servers_now, now);
            continue;
        }
        if (server_state* server =
                this->choose_server(request, waited_long, servers_now, now))
        {
            answers.push_back(
                {request.grant, this->grant(request, *server, now)});
            this->count_free_places(servers_now, now);
            continue;
        }
        remaining.push_back(std::move(waiting));
    }
    this->queue = std::move(remaining);
    return answers;
}

double placement::load(time_point now) const
{
    double slots = 0.0;
    for (const auto& [name, server] : this->servers)
    {
        slots += server.suspected ? 0.0 : this->capacity_of(server, now);
    }
    return static_cast<double>(this->running() + this->waiting()) /
           std::max(slots, 1.0);
}

std::vector<placement_event> placement::take_events()
{
    return std::exchange(this->events, {});
}

} // namespace medlarbarrow::core
