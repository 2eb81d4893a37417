#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/placement.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// How servers without work get some while sends fail. The floor counts the
// sound servers that got work in any `spread_time`, so every time here is
// shorter than that where it can be.
//
// `needs_spread` holds while sends fail and there are requests enough for all
// servers. It switches everything below on, and early probes off.
//
// `server_due_for_trial` serves servers that have failed together. They are
// taken for victims of one fault, which may be over soon: single requests find
// that out, at the pace and after the delays of `trial_pace`.
//
// `is_short_of_work` holds while there are several requests for each server, or
// while so many servers had no work for 2 s that the floor share may be missed.
// Only then do other servers get work out of turn.
//
// `is_due_for_work` says which: those without work for 1.2 s, for requests that
// may not be repeated 1.7 s, so that repeatable ones come first and some of the
// 2 s is left for a request that suits. The last failure must be 1 s ago, as a
// server that failed alone probably fails still; 2.5 s if it has failed again
// after that, since a lone fault lasts some seconds and a server that has
// failed by itself has 2 s to recover before the floor counts it.

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
/// that has failed again since then waits longer: faults last some seconds, so
/// that an earlier request would often be lost.
constexpr milliseconds min_failure_age{1000};
constexpr milliseconds min_age_of_repeated_failure{2500};

/// Servers have failed together if at least this share of all servers, and this
/// number of them, became suspected within such a time.
constexpr double joint_failure_share = 0.25;
constexpr std::size_t min_joint_failures = 3;
constexpr milliseconds joint_failure_time{1000};

/// The part of the servers above the floor share that may stay without work
/// while sends fail. The floor counts only servers that work, which are not
/// known here, so that the share of all servers in use has to be higher.
constexpr double idle_part_above_floor = 1.0 / 3;
/// Requests for each server in `spread_time` from which on no server may stay
/// without work while sends fail: if few servers work, they may be the idle
/// ones. With fewer requests, each one sent to an idle server costs too much.
constexpr std::size_t many_requests_per_server = 4;

bool too_many_fail(std::size_t failures, std::size_t results)
{
    return failures > 0 && static_cast<double>(failures) >=
                               min_failure_share * static_cast<double>(results);
}

} // namespace

// Whether sends fail while there are requests enough for all servers. Servers
// without work then get some, because the servers in use may be the wrong ones.
bool placement::needs_spread(time_point now) const
{
    const recent_counts counts = this->count_recent(now);
    return counts.requests >= this->servers.size() &&
           too_many_fail(counts.failures, counts.results);
}

// Whether idle servers are to get work: there are requests enough for all, or
// so many servers are without work that the floor share of those that work may
// be missed.
bool placement::is_short_of_work(time_point now) const
{
    if (!this->needs_spread(now))
    {
        return false;
    }
    const work_spread current = this->spread(now);
    if (current.requests >= many_requests_per_server * current.servers)
    {
        return true;
    }
    const double wanted_share =
        1.0 - idle_part_above_floor * (1.0 - this->floor_share);
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
    const bool keeps_failing = server.suspected && server.failures_in_row > 1;
    if (now - server.last_work < min_idle ||
        now - server.last_failure <
            (keeps_failing ? min_age_of_repeated_failure : min_failure_age))
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
            !this->is_excluded_for(server, request, now) &&
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
            !this->is_excluded_for(server, request, now) &&
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

// Whether any request might go to a server that is due for a trial or for work.
// Spares a long queue the search for each of its requests.
bool placement::has_idle_server_due(const overview& servers_now,
                                    time_point now) const
{
    const bool tries = this->trials.is_due(now) && this->needs_spread(now);
    const bool gives_work = this->is_short_of_work(now);
    place_request most_suitable;
    most_suitable.repeatable = true;
    return (tries || gives_work) &&
           std::any_of(this->servers.begin(), this->servers.end(),
                       [&](const auto& named_server)
                       {
                           const server_state& server = named_server.second;
                           return (tries &&
                                   this->is_due_for_trial(server, most_suitable,
                                                          servers_now, now)) ||
                                  (gives_work &&
                                   this->is_due_for_work(server, most_suitable,
                                                         servers_now, now));
                       });
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

} // namespace medlarbarrow::core
