#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/placement.hpp>
#include <tuple>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using real_seconds = std::chrono::duration<double>;

/// A server is suspected, and mostly gets only probes, from this suspicion on
/// until its suspicion falls below half of it.
constexpr double suspicion_threshold = 1.0;
constexpr double max_suspicion = 3.0;
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

/// Requests, failures and servers in use are counted over this time, in periods
/// of `count_period`.
constexpr seconds spread_time{2};
constexpr milliseconds count_period{100};

/// Sends count as failing from this share of failures on. It is below the tenth
/// from which the floor share is demanded, because each shard sees only a part
/// of the failures of its service.
constexpr double min_failure_share = 0.07;

/// While sends fail, a server that has been without work for such a time is due
/// for work. Each time leaves the rest of `spread_time` for a request that
/// suits. Unrepeatable requests come later, because a failure of theirs cannot
/// be made good.
constexpr milliseconds idle_before_work{1200};
constexpr milliseconds idle_before_unrepeatable_work{1700};
/// Time since its last failure after which a server is due. A suspected server
/// waits longer: faults last some seconds, so that an earlier request would
/// often be lost.
constexpr milliseconds min_failure_age{1000};
constexpr milliseconds min_failure_age_if_suspected{2500};

/// Servers have failed together if at least this share of all servers, and this
/// number of them, became suspected within such a time.
constexpr double joint_failure_share = 0.25;
constexpr std::size_t min_joint_failures = 3;
constexpr milliseconds joint_failure_time{1000};

/// The part of the servers above the floor share that may stay without work
/// while sends fail. The floor counts only servers that work, which are not
/// known here, so that the share of all servers in use has to be higher.
constexpr double idle_part_above_floor = 1.0 / 3;

/// Share of its slots that a server uses while it warms up.
constexpr double warm_up_capacity_share = 0.67;

/// Terms of a server's cost, in units of the load of a full server.
constexpr double remote_data_centre_cost = 0.35;
constexpr double open_connection_gain = 0.15;
constexpr double suspicion_cost = 0.4; ///< per unit of suspicion
constexpr double max_random_cost = 0.05;
/// Added while a server runs a request that takes longer than its kind of work
/// usually does: the server may have begun to hang.
constexpr double slow_request_cost = 0.6;
constexpr double slow_request_ratio = 1.3; ///< times the typical duration
/// A server without a success for `stale_success_age` costs more for requests
/// that may be sent only once. It costs less for repeatable requests, whose
/// success shows that the server works. Both effects grow linearly up to that
/// age.
constexpr double stale_success_cost = 0.3;
constexpr double stale_success_gain = 0.1;
constexpr real_seconds stale_success_age{2.0};

/// Time since an instance's last send to a server in which its idle connection
/// counts as open.
constexpr seconds open_connection_age{8};

/// A request that has spent this share of its objective in the queue may run
/// on a server beyond its slots.
constexpr double long_wait_share = 0.35;
constexpr std::uint32_t long_wait_extra_slots = 1;

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

/// Number of different servers that a request must crash before it is blocked.
constexpr std::size_t crash_limit = 3;
/// Time after its last crash or trial in which a request stays blocked. Then
/// one is tried again, since only a success lifts the block for good.
constexpr seconds crash_block_time{60};
/// Age from which crashes no longer count.
constexpr seconds crash_record_lifetime{300};
/// From this number of crash records on, those whose last crash is older than
/// `crash_block_time` are dropped.
constexpr std::size_t max_crash_records = 1024;

constexpr milliseconds min_retry_after{100};

/// Instances whose holds are kept. Above the number of instances of the largest
/// fleet; further ones keep to their holds themselves.
constexpr std::size_t max_held_instances = 2048;

double in_seconds(duration value)
{
    return std::chrono::duration_cast<real_seconds>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(real_seconds(value));
}

bool too_many_fail(std::size_t failures, std::size_t results)
{
    return failures > 0 && static_cast<double>(failures) >=
                               min_failure_share * static_cast<double>(results);
}

bool contains_name(const std::vector<std::string>& names,
                   const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

placement::placement(retry_limits configured_limits, std::uint64_t seed)
    : repeats(configured_limits), random(seed)
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

void placement::raise_suspicion(const std::string& name,
                                double amount,
                                const char* reason,
                                time_point now)
{
    const auto position = this->servers.find(name);
    if (position == this->servers.end())
    {
        return;
    }
    server_state& server = position->second;
    this->decay_suspicion(server, now);
    server.suspicion = std::min(server.suspicion + amount, max_suspicion);
    if (amount > 0.0)
    {
        server.last_failure = now;
    }
    if (!server.suspected && server.suspicion >= suspicion_threshold)
    {
        server.suspected = true;
        server.suspected_at = now;
        server.failed_trials = 0;
        this->find_joint_failure(now);
        this->events.push_back({name, "suspected", reason, server.suspicion});
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
// is overdue and after. Servers without a slow request are left out.
std::map<std::string_view, double>
placement::slowness_by_server(time_point now) const
{
    std::map<std::string_view, double> slowness;
    for (const auto& [id, active] : this->grants)
    {
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

// The server of lowest cost gets the request. The cost rises with the server's
// load, distance and suspicion and with a slow running request.
double placement::cost_of(const server_state& server,
                          const place_request& request,
                          double slowness,
                          time_point now) const
{
    double cost =
        static_cast<double>(server.running) / this->capacity_of(server, now);
    if (server.announced.server.data_centre != request.data_centre)
    {
        cost += remote_data_centre_cost;
    }
    cost += suspicion_cost * server.suspicion;
    cost += server.suspected ? max_suspicion : 0.0;
    cost += slow_request_cost * slowness;
    const auto last_send =
        server.last_send_by_instance.find(request.grant.instance);
    if (last_send != server.last_send_by_instance.end() &&
        now - last_send->second < open_connection_age)
    {
        cost -= open_connection_gain;
    }
    const double staleness = std::min(
        in_seconds(now - server.last_success) / stale_success_age.count(), 1.0);
    cost += request.repeatable ? -stale_success_gain * staleness
                               : stale_success_cost * staleness;
    return cost;
}

// Suspicion up to which suspected servers are eligible, so that the floor share
// of all servers is: the least suspected ones stay in use. 0 if enough servers
// are trusted.
double placement::eligible_suspicion() const
{
    std::vector<double> suspicions;
    for (const auto& [name, server] : this->servers)
    {
        if (server.suspected)
        {
            suspicions.push_back(server.suspicion);
        }
    }
    const auto needed = static_cast<std::size_t>(std::ceil(
        this->floor_share * static_cast<double>(this->servers.size())));
    const std::size_t trusted = this->servers.size() - suspicions.size();
    if (trusted >= needed)
    {
        return 0.0;
    }
    const auto last =
        suspicions.begin() + static_cast<std::ptrdiff_t>(needed - trusted) - 1;
    std::nth_element(suspicions.begin(), last, suspicions.end());
    return *last;
}

bool placement::is_eligible(const server_state& server,
                            const overview& servers_now,
                            bool waited_long) const
{
    return !server.suspected || waited_long ||
           server.suspicion <= servers_now.eligible_suspicion;
}

// Requests that the server may run at once. A request that has waited long also
// takes a place beyond the slots of a trusted server.
std::uint32_t placement::request_limit(const server_state& server,
                                       bool waited_long,
                                       time_point now) const
{
    return this->capacity_of(server, now) +
           (waited_long && !server.suspected ? long_wait_extra_slots : 0);
}

void placement::count_free_places(overview& servers_now, time_point now) const
{
    servers_now.free_places = 0;
    servers_now.free_places_after_long_wait = 0;
    for (const auto& [name, server] : this->servers)
    {
        for (const bool waited_long : {false, true})
        {
            const std::uint32_t limit =
                this->request_limit(server, waited_long, now);
            if (server.running < limit &&
                this->is_eligible(server, servers_now, waited_long))
            {
                (waited_long ? servers_now.free_places_after_long_wait
                             : servers_now.free_places) +=
                    limit - server.running;
            }
        }
    }
}

placement::overview placement::make_overview(time_point now)
{
    for (auto& [name, server] : this->servers)
    {
        this->decay_suspicion(server, now);
    }
    overview servers_now;
    servers_now.eligible_suspicion = this->eligible_suspicion();
    servers_now.has_repeatable_work =
        this->count_recent(now).repeatable_requests > 0;
    servers_now.slowness = this->slowness_by_server(now);
    this->count_free_places(servers_now, now);
    return servers_now;
}

void placement::hold(std::uint64_t instance,
                     const server_statement& stated,
                     time_point now)
{
    if (stated.retry_after <= duration(0))
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
        this->holds[instance].hold(stated.server, stated.started,
                                   stated.retry_after, now);
    }
}

// Whether the server must not be chosen for this request: the request excludes
// it, or it has turned the request's instance away.
bool placement::is_closed_to(const server_state& server,
                             const place_request& request,
                             time_point now) const
{
    const std::string& name = server.announced.server.name;
    const auto held = this->holds.find(request.grant.instance);
    return contains_name(request.excluded_servers, name) ||
           (held != this->holds.end() &&
            held->second.remaining(name, server.announced.started, now) >
                duration(0));
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

// Returns the server of lowest cost that has a free slot, or nullptr. A request
// that has waited long also takes a suspected server, or a place beyond the
// slots of a trusted one. A small random cost spreads requests over servers
// that are otherwise equal.
placement::server_state* placement::choose_server(const place_request& request,
                                                  bool waited_long,
                                                  const overview& servers_now,
                                                  time_point now)
{
    const std::uint32_t free_places =
        waited_long ? servers_now.free_places_after_long_wait
                    : servers_now.free_places;
    if (free_places == 0)
    {
        return nullptr;
    }
    std::uniform_real_distribution<double> noise(0.0, max_random_cost);
    server_state* best = nullptr;
    double lowest_cost = 0.0;
    for (auto& [name, server] : this->servers)
    {
        if (server.running >= this->request_limit(server, waited_long, now) ||
            !this->is_eligible(server, servers_now, waited_long) ||
            this->is_closed_to(server, request, now) ||
            this->is_awaited(server, servers_now, now))
        {
            continue;
        }
        const auto slow = servers_now.slowness.find(name);
        const double cost =
            this->cost_of(
                server, request,
                slow == servers_now.slowness.end() ? 0.0 : slow->second, now) +
            noise(this->random);
        if (best == nullptr || cost < lowest_cost)
        {
            best = &server;
            lowest_cost = cost;
        }
    }
    return best;
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
    if (!request.repeatable || request.repeat || !this->repeats.has_room(now) ||
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
            !this->is_closed_to(server, request, now) &&
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

// Whether sends fail while there are requests enough for all servers. Servers
// without work then get some, because the servers in use may be the wrong ones.
bool placement::needs_spread(time_point now) const
{
    const recent_counts counts = this->count_recent(now);
    return counts.requests >= this->servers.size() &&
           too_many_fail(counts.failures, counts.results);
}

// Whether so many servers are without work that the floor share of the servers
// that work may be missed.
bool placement::is_short_of_work(time_point now) const
{
    if (!this->needs_spread(now))
    {
        return false;
    }
    const double wanted_share =
        1.0 - idle_part_above_floor * (1.0 - this->floor_share);
    const work_spread current = this->spread(now);
    return static_cast<double>(current.with_work) <
           wanted_share * static_cast<double>(current.servers);
}

// Whether the server should get the request because it has been without work. A
// request that may not be repeated goes to a suspected server only if the shard
// has no repeatable work and the floor share cannot be kept without the server.
bool placement::is_due_for_work(const server_state& server,
                                const place_request& request,
                                const overview& servers_now,
                                time_point now) const
{
    const bool goes_first =
        request.repeatable || !servers_now.has_repeatable_work;
    const duration min_idle =
        goes_first ? idle_before_work : idle_before_unrepeatable_work;
    if (now - server.last_work < min_idle ||
        now - server.last_failure <
            (server.suspected ? min_failure_age_if_suspected : min_failure_age))
    {
        return false;
    }
    if (!server.suspected)
    {
        return server.running < this->capacity_of(server, now);
    }
    return server.running == 0 &&
           (request.repeatable ||
            (goes_first && this->is_eligible(server, servers_now, false)));
}

// Returns the server that has been without work longest among those that are
// due for work, or nullptr.
placement::server_state* placement::server_due_for_work(
    const place_request& request, const overview& servers_now, time_point now)
{
    if (!this->is_short_of_work(now))
    {
        return nullptr;
    }
    server_state* longest_idle = nullptr;
    for (auto& [name, server] : this->servers)
    {
        if (this->is_due_for_work(server, request, servers_now, now) &&
            !this->is_closed_to(server, request, now) &&
            (longest_idle == nullptr ||
             server.last_work < longest_idle->last_work))
        {
            longest_idle = &server;
        }
    }
    return longest_idle;
}

// Marks the servers that have become suspected lately if they are many. Their
// trials keep their pace if others still wait for theirs.
void placement::find_joint_failure(time_point now)
{
    std::vector<server_state*> failed;
    bool are_trials_running = false;
    for (auto& [name, server] : this->servers)
    {
        are_trials_running = are_trials_running || server.failed_together;
        if (server.suspected && now - server.suspected_at < joint_failure_time)
        {
            failed.push_back(&server);
        }
    }
    if (failed.size() < min_joint_failures ||
        static_cast<double>(failed.size()) <
            joint_failure_share * static_cast<double>(this->servers.size()))
    {
        return;
    }
    if (!are_trials_running)
    {
        this->trials.restart(now);
    }
    for (server_state* server : failed)
    {
        server->failed_together = true;
    }
}

// Whether the request may show that a server that has failed together with
// others works again. Requests that may not be repeated serve only if the shard
// has no others.
bool placement::is_due_for_trial(const server_state& server,
                                 const place_request& request,
                                 const overview& servers_now,
                                 time_point now) const
{
    return server.failed_together && server.running == 0 &&
           (request.repeatable || !servers_now.has_repeatable_work) &&
           now - server.last_failure >= trial_delay(server.failed_trials);
}

// Returns the server that has been without work longest among those that are
// due for a trial, or nullptr.
placement::server_state* placement::server_due_for_trial(
    const place_request& request, const overview& servers_now, time_point now)
{
    if (!this->trials.is_due(now) || !this->needs_spread(now))
    {
        return nullptr;
    }
    server_state* longest_idle = nullptr;
    for (auto& [name, server] : this->servers)
    {
        if (this->is_due_for_trial(server, request, servers_now, now) &&
            !this->is_closed_to(server, request, now) &&
            (longest_idle == nullptr ||
             server.last_work < longest_idle->last_work))
        {
            longest_idle = &server;
        }
    }
    return longest_idle;
}

// Records the end of a trial. Other requests to the server, which are many
// while it counts towards the floor share, don't extend its delay.
void placement::count_trial(const active_grant& ended, bool succeeded)
{
    const auto server = this->servers.find(ended.server);
    if (!ended.trial || server == this->servers.end())
    {
        return;
    }
    std::uint32_t& failed_trials = server->second.failed_trials;
    failed_trials = succeeded ? 0 : failed_trials + 1;
    this->trials.on_ended(succeeded);
}

// Grants a server that has failed together with others a trial request.
place_answer placement::try_again(const place_request& request,
                                  server_state& server,
                                  time_point now)
{
    this->trials.on_started(now);
    place_answer answer = this->grant(request, server, now);
    this->grants[request.grant].trial = true;
    return answer;
}

// While sends fail, places the request on a server that is due for a trial or
// for work.
std::optional<place_answer> placement::place_on_idle_server(
    const place_request& request, const overview& servers_now, time_point now)
{
    if (request.repeat)
    {
        return std::nullopt;
    }
    if (server_state* server =
            this->server_due_for_trial(request, servers_now, now))
    {
        return this->try_again(request, *server, now);
    }
    if (server_state* server =
            this->server_due_for_work(request, servers_now, now))
    {
        return this->grant(request, *server, now);
    }
    return std::nullopt;
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
    server.last_work = now;
    server.has_had_work = true;
    server.last_send_by_instance[request.grant.instance] = now;
    if (request.repeat)
    {
        this->repeats.count_repeat(now);
    }
    const auto crash = this->crashes.find(request.content_digest);
    if (crash != this->crashes.end())
    {
        crash->second.last_trial = now;
    }
    placed answer{active.server, this->typical_duration(request), overdue};
    this->grants[request.grant] = std::move(active);
    return answer;
}

// Estimated wait of a request of this rank: the typical durations of the
// requests that wait ahead of it, divided by the slots of all trusted servers.
duration placement::expected_wait(std::uint32_t rank, time_point now) const
{
    double work_ahead = 0.0;
    for (const queued_request& waiting : this->queue)
    {
        if (waiting.request.rank <= rank)
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
    const duration wait =
        this->expected_wait(std::numeric_limits<std::uint32_t>::max(), now);
    return {code, std::max<duration>(2 * wait, min_retry_after)};
}

// Whether requests of this digest have crashed so many servers that they are
// blocked. The block ends after a while for one request, whose grant renews it.
bool placement::is_crashing(std::uint64_t content, time_point now) const
{
    const auto record = this->crashes.find(content);
    return record != this->crashes.end() &&
           record->second.servers.size() >= crash_limit &&
           now - std::max(record->second.last_crash,
                          record->second.last_trial) <
               crash_block_time;
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

// Decides about a request that is neither running nor waiting.
place_answer placement::decide(const place_request& request, time_point now)
{
    if (this->is_crashing(request.content_digest, now))
    {
        return place_refused{result_code::request_blocked, {}};
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
    if (server_state* server = this->server_due_for_probe(request, now))
    {
        return this->grant(request, *server, now);
    }
    if (const auto placed =
            this->place_on_idle_server(request, this->make_overview(now), now))
    {
        return *placed;
    }
    const queued_request arrived{request, now, now + request.time_to_objective,
                                 now + request.time_to_deadline};
    if (server_state* server = this->choose_past_queue(arrived, now))
    {
        return this->grant(request, *server, now);
    }
    const duration wait = this->expected_wait(request.rank, now);
    if (wait + this->typical_duration(request) >
        std::min(request.time_to_objective, request.time_to_deadline))
    {
        return this->make_refusal(result_code::deadline_unreachable, now);
    }
    this->queue.push_back(arrived);
    return queued{};
}

// Adds the server to the crash record of the request's digest. Old records are
// dropped once there are many.
void placement::record_crash(const crash_event& crash, time_point now)
{
    if (crash.content_digest == 0)
    {
        return;
    }
    if (this->crashes.size() >= max_crash_records)
    {
        std::erase_if(this->crashes,
                      [now](const auto& entry)
                      {
                          return now - entry.second.last_crash >
                                 crash_block_time;
                      });
    }
    crash_record& record = this->crashes[crash.content_digest];
    if (now - record.last_crash > crash_record_lifetime)
    {
        record.servers.clear();
    }
    record.last_crash = now;
    if (!contains_name(record.servers, crash.server))
    {
        record.servers.push_back(crash.server);
    }
}

std::vector<crash_event> placement::take_crashes()
{
    return std::exchange(this->new_crashes, {});
}

void placement::on_send_ended(const grant_id& id,
                              send_outcome outcome,
                              duration latency,
                              time_point now)
{
    const auto active = this->grants.find(id);
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
    }
    // An overdue send has been counted when it became overdue.
    if (outcome != send_outcome::cancelled && !ended.overdue)
    {
        const bool succeeded = outcome == send_outcome::succeeded;
        this->count_result(!succeeded, now);
        this->count_trial(ended, succeeded);
    }
    switch (outcome)
    {
    case send_outcome::succeeded:
    {
        work_time& measured = this->work_times[ended.request.work_kind];
        const double sample = in_seconds(latency);
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
            this->lower_suspicion(server->second, success_factor, now);
        }
        this->crashes.erase(ended.request.content_digest);
        break;
    }
    case send_outcome::failed:
        this->raise_suspicion(ended.server, failed_suspicion, "error answers",
                              now);
        break;
    case send_outcome::connection_lost:
        this->new_crashes.push_back(
            {ended.request.content_digest, ended.server});
        this->record_crash(this->new_crashes.back(), now);
        this->raise_suspicion(ended.server, broke_off_suspicion,
                              "connection ended", now);
        break;
    case send_outcome::timed_out:
        this->raise_suspicion(ended.server,
                              ended.overdue ? 0.0 : overdue_suspicion,
                              "no answer in time", now);
        break;
    case send_outcome::shed:
        this->raise_suspicion(ended.server, shed_suspicion, "request shed",
                              now);
        break;
    case send_outcome::unreachable:
        this->raise_suspicion(ended.server, unreachable_suspicion,
                              "no connection", now);
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
    this->on_send_ended(id, send_outcome::cancelled, {}, now);
}

// A request that runs far longer than its kind of work usually does raises the
// suspicion of its server while it still runs: further requests would be lost
// to the server until it ends. Grants that have expired are cancelled.
void placement::check_active_grants(time_point now)
{
    std::vector<grant_id> expired;
    for (auto& [id, active] : this->grants)
    {
        if (!active.overdue && now >= active.overdue_at)
        {
            active.overdue = true;
            this->count_result(true, now);
            this->count_trial(active, false);
            this->raise_suspicion(active.server, overdue_suspicion,
                                  "answer overdue", now);
        }
        if (now >= active.expires_at)
        {
            expired.push_back(id);
        }
    }
    for (const grant_id& id : expired)
    {
        this->on_send_ended(id, send_outcome::cancelled, {}, now);
    }
}

// Requests that can no longer be answered within their objective go last.
// Within each of the two groups the most urgent rank goes first, then the
// earliest objective.
bool placement::goes_before(const queued_request& left,
                            const queued_request& right,
                            time_point now) const
{
    const auto place_in_order = [this, now](const queued_request& waiting)
    {
        const bool misses_objective =
            waiting.objective_at <
            now + this->typical_duration(waiting.request);
        return std::tuple(misses_objective, waiting.request.rank,
                          waiting.objective_at);
    };
    return place_in_order(left) < place_in_order(right);
}

void placement::sort_queue(time_point now)
{
    std::stable_sort(
        this->queue.begin(), this->queue.end(),
        [this, now](const queued_request& left, const queued_request& right)
        {
            return this->goes_before(left, right, now);
        });
}

// Whether a request that goes before the one that is being placed may use the
// server.
bool placement::is_awaited(const server_state& server,
                           const overview& servers_now,
                           time_point now) const
{
    return std::any_of(servers_now.ahead.begin(), servers_now.ahead.end(),
                       [&](const place_request* waiting)
                       {
                           return !this->is_closed_to(server, *waiting, now);
                       });
}

// Chooses a server for a request that has just arrived. It leaves the servers
// to the waiting requests that go before it and may use them, but does not wait
// behind requests that may not.
placement::server_state*
placement::choose_past_queue(const queued_request& arrived, time_point now)
{
    overview servers_now = this->make_overview(now);
    for (const queued_request& waiting : this->queue)
    {
        if (!this->goes_before(arrived, waiting, now))
        {
            servers_now.ahead.push_back(&waiting.request);
        }
    }
    return this->choose_server(arrived.request, false, servers_now, now);
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
        if (this->is_crashing(request.content_digest, now))
        {
            answers.push_back(
                {request.grant,
                 place_refused{result_code::request_blocked, {}}});
            continue;
        }
        if (const auto refusal = this->refusal_if_turned_away(request, now))
        {
            answers.push_back({request.grant, *refusal});
            continue;
        }
        if (const auto placed =
                this->place_on_idle_server(request, servers_now, now))
        {
            answers.push_back({request.grant, *placed});
            this->count_free_places(servers_now, now);
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

// Returns the counts of the current period and drops old ones.
placement::recent_counts& placement::counts_at(time_point now)
{
    const std::int64_t period = now.time_since_epoch() / count_period;
    while (!this->recent.empty() &&
           this->recent.front().period <= period - spread_time / count_period)
    {
        this->recent.pop_front();
    }
    if (this->recent.empty() || this->recent.back().period != period)
    {
        this->recent.emplace_back().period = period;
    }
    return this->recent.back();
}

// Sums of the counts of the last `spread_time`.
placement::recent_counts placement::count_recent(time_point now) const
{
    const std::int64_t period = now.time_since_epoch() / count_period;
    recent_counts sum;
    for (const recent_counts& counts : this->recent)
    {
        if (counts.period > period - spread_time / count_period)
        {
            sum.requests += counts.requests;
            sum.repeatable_requests += counts.repeatable_requests;
            sum.results += counts.results;
            sum.failures += counts.failures;
        }
    }
    return sum;
}

void placement::count_request(const place_request& request, time_point now)
{
    recent_counts& counts = this->counts_at(now);
    ++counts.requests;
    counts.repeatable_requests += request.repeatable ? 1 : 0;
}

void placement::count_result(bool failed, time_point now)
{
    recent_counts& counts = this->counts_at(now);
    ++counts.results;
    counts.failures += failed ? 1 : 0;
}

work_spread placement::spread(time_point now) const
{
    const recent_counts counts = this->count_recent(now);
    work_spread spread;
    spread.servers = this->servers.size();
    spread.requests = counts.requests;
    spread.results = counts.results;
    spread.failures = counts.failures;
    for (const auto& [name, server] : this->servers)
    {
        spread.suspected += server.suspected ? 1 : 0;
        spread.with_work +=
            server.has_had_work && now - server.last_work < spread_time ? 1 : 0;
    }
    return spread;
}

bool placement::is_below_floor(const work_spread& spread) const
{
    return spread.requests >= spread.servers &&
           too_many_fail(spread.failures, spread.results) &&
           static_cast<double>(spread.with_work) <
               this->floor_share * static_cast<double>(spread.servers);
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
