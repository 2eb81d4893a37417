/// A model of a service whose servers fail, in simulated time, that plays
/// production's placement and counts how many sound servers get work.
#pragma once

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/core/shards.hpp>
#include <memory>
#include <queue>
#include <random>
#include <set>

namespace medlarbarrow::tests
{

using namespace std::chrono_literals;
using core::duration;
using core::time_point;

constexpr time_point start{1000s};
/// The contract counts work and failures in spans of this length.
constexpr duration span = 2s;
/// A server that has failed by itself is sound again after this time.
constexpr duration recovery = 2s;
constexpr double floor_share = 0.7;
/// Requests that must have ended in a span for its shares to mean anything.
constexpr std::size_t min_requests = 10;

/// One kind of request.
struct kind
{
    double share = 1.0;
    bool repeatable = false;
    duration median{};
    duration objective{};
    duration deadline{};
};

inline const kind short_read{0.45, true, 48ms, 150ms, 1200ms};
inline const kind order{0.40, false, 84ms, 250ms, 2000ms};
inline const kind long_read{0.15, true, 160ms, 500ms, 2000ms};

/// A service under load whose servers fail.
struct scenario
{
    std::size_t servers = 64;
    std::uint32_t slots = 2;
    std::uint32_t instances = 115;
    std::uint32_t data_centres = 4;
    double requests_per_second = 138.0;
    std::vector<kind> kinds{short_read, order, long_read};
    /// Share of the servers that fail by themselves at any time.
    double failing = 0.3;
    /// Share of the servers that are disturbed from outside all the time: they
    /// fail a share of their requests, are slow or cannot be reached by some
    /// instances.
    double disturbed = 0.5;
    double disturbed_failures = 0.4;
    /// Servers fail by themselves in blocks, one after the other.
    bool in_blocks = false;
    /// Length of a disturbance from outside and of the pause after it, the same
    /// for all servers; 0: they last for the whole run.
    duration disturbance{};
    duration disturbance_pause{};
    /// Kind of the disturbance; none: different kinds.
    int outside_kind = -1;
    /// Number of servers that end all connections at once, again and again,
    /// and are sound between.
    std::size_t struck = 0;
    duration strike{};
    duration strike_interval = 12s;
    /// After each such fault the other servers fail a share of their requests
    /// for this time.
    duration aftermath = 6s;
    /// One owner for each shard, as in production; false: one for all servers.
    bool sharded = true;
    /// All instances are in the first data centre.
    bool one_centre = false;
    /// Failing servers say that they did not run the request.
    bool sheds = false;
    /// Share of the instances that decide alone.
    double alone = 0.0;
    duration length = 60s;
    std::uint64_t seed = 1;
};

/// What the spans of a run have shown.
struct floor_report
{
    std::size_t spans = 0;
    std::size_t below_floor = 0; ///< whatever was not served
    /// While at least 5 in 100 requests were not served.
    std::size_t below_while_failing = 0;
    std::size_t violations = 0; ///< while many requests were not served
    double worst_share = 1.0;
    std::string worst;
    std::size_t requests = 0;
    std::size_t not_served = 0;
    std::size_t unsafe_not_served = 0;
    std::size_t sends = 0;
    std::size_t late = 0;
};

enum class fault
{
    none,
    hang,
    error,
    reset,
    flaky, ///< from outside: fails a share of its requests
    slow,  ///< from outside
    cut    ///< from outside: a third of the instances cannot reach it
};

/// A period in which a server fails by itself.
struct fault_period
{
    time_point begin;
    time_point end;
    fault what = fault::none;
};

struct model_server
{
    core::announced_server announced;
    fault outside = fault::none;
    std::vector<fault_period> periods;
    std::vector<fault_period> disturbances;
    std::vector<time_point> arrivals;

    bool is_disturbed(time_point begin, time_point end) const
    {
        return std::any_of(this->disturbances.begin(), this->disturbances.end(),
                           [&](const fault_period& period)
                           {
                               return period.begin < end && period.end > begin;
                           });
    }

    fault fault_at(time_point time) const
    {
        for (const fault_period& period : this->periods)
        {
            if (time >= period.begin && time < period.end)
            {
                return period.what;
            }
        }
        for (const fault_period& period : this->disturbances)
        {
            if (time >= period.begin && time < period.end)
            {
                return period.what;
            }
        }
        return fault::none;
    }

    /// Whether the server is sound throughout the time.
    bool is_sound(time_point begin, time_point end) const
    {
        return !this->is_disturbed(begin, end) &&
               std::none_of(this->periods.begin(), this->periods.end(),
                            [&](const fault_period& period)
                            {
                                return period.begin < end &&
                                       period.end + recovery > begin;
                            });
    }

    bool has_work(time_point begin, time_point end) const
    {
        const auto first = std::lower_bound(this->arrivals.begin(),
                                            this->arrivals.end(), begin);
        return first != this->arrivals.end() && *first < end;
    }
};

/// A caller's request.
struct model_request
{
    struct attempt
    {
        core::grant_id grant;
        std::size_t owner = 0;
        std::string server;
        time_point sent_at{};
        bool open = false; ///< granted or asked for, and not ended
    };

    std::size_t kind = 0;
    std::uint32_t instance = 0;
    time_point arrived_at{};
    std::optional<core::request_flow> flow;
    std::vector<attempt> attempts;
    bool ended = false;
};

using request_ptr = std::shared_ptr<model_request>;

/// Plays a scenario against the production decisions in simulated time.
class floor_model
{
public:
    explicit floor_model(const scenario& played)
        : parameters(played), random(played.seed)
    {
        this->add_servers();
        this->add_owners();
    }

    floor_report run()
    {
        this->schedule_arrival();
        this->schedule_tick();
        const time_point end = start + this->parameters.length;
        while (!this->events.empty() && this->events.top().time <= end)
        {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.time;
            next.action();
        }
        this->measure();
        return this->report;
    }

private:
    struct event
    {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(this->time, this->sequence) >
                   std::tie(other.time, other.sequence);
        }
    };

    struct request_end
    {
        time_point time;
        bool served;
    };

    double uniform()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    void after(duration delay, std::function<void()> action)
    {
        this->events.push(
            {this->now + delay, ++this->sequence, std::move(action)});
    }

    void add_servers()
    {
        for (std::size_t index = 0; index < this->parameters.servers; ++index)
        {
            model_server server;
            server.announced.server.name = "s" + std::to_string(index);
            server.announced.server.slots = this->parameters.slots;
            server.announced.server.data_centre =
                std::to_string(index % this->parameters.data_centres);
            server.announced.service = "dispatch";
            server.announced.started = 1;
            if (this->uniform() < this->parameters.disturbed)
            {
                constexpr fault outside[] = {fault::flaky, fault::slow,
                                             fault::cut};
                server.outside = this->parameters.outside_kind < 0
                                     ? outside[this->random() % 3]
                                     : outside[this->parameters.outside_kind];
                const duration length =
                    this->parameters.disturbance > duration(0)
                        ? this->parameters.disturbance
                        : this->parameters.length;
                for (time_point time = start;
                     time < start + this->parameters.length;
                     time += length + this->parameters.disturbance_pause)
                {
                    server.disturbances.push_back(
                        {time, time + length, server.outside});
                }
            }
            this->add_strikes(server, index);
            if (this->parameters.in_blocks)
            {
                this->add_blocks(server, index);
            }
            else
            {
                this->add_periods(server);
            }
            this->servers.emplace(server.announced.server.name,
                                  std::move(server));
        }
    }

    // The first servers are struck; the others fail for a while afterwards.
    void add_strikes(model_server& server, std::size_t index)
    {
        if (this->parameters.struck == 0)
        {
            return;
        }
        for (time_point time = start + 5s;
             time < start + this->parameters.length;
             time += this->parameters.strike_interval)
        {
            const time_point strike_end = time + this->parameters.strike;
            if (index < this->parameters.struck)
            {
                server.disturbances.push_back({time, strike_end, fault::reset});
                continue;
            }
            server.disturbances.push_back(
                {strike_end, strike_end + this->parameters.aftermath,
                 fault::flaky});
        }
    }

    void add_blocks(model_server& server, std::size_t index)
    {
        const auto blocks =
            static_cast<std::size_t>(std::round(1 / this->parameters.failing));
        std::size_t block = 0;
        for (time_point time = start; time < start + this->parameters.length;
             time += 4s, ++block)
        {
            constexpr fault kinds[] = {fault::hang, fault::error, fault::reset};
            if (index % blocks == block % blocks)
            {
                server.periods.push_back(
                    {time, time + 4s, kinds[block / blocks % 3]});
            }
        }
    }

    // Failures of 2 to 5 s, with pauses that give the wanted share.
    void add_periods(model_server& server)
    {
        if (this->parameters.failing <= 0.0)
        {
            return;
        }
        const double pause =
            3.5 * (1 - this->parameters.failing) / this->parameters.failing;
        const auto seconds = [](double value)
        {
            return std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(value));
        };
        time_point time = start + seconds(pause * this->uniform());
        while (time < start + this->parameters.length)
        {
            constexpr fault kinds[] = {fault::hang, fault::error, fault::reset};
            const time_point end = time + seconds(2 + 3 * this->uniform());
            server.periods.push_back({time, end, kinds[this->random() % 3]});
            time = end + seconds(pause * (0.5 + this->uniform()));
        }
    }

    void add_owner(const std::vector<const core::announced_server*>& usable)
    {
        this->owners.push_back(std::make_unique<core::placement>(
            core::retry_limits{}, this->random()));
        this->owners.back()->set_servers(usable, start);
    }

    // Owners of the shards first, then one for each instance that decides
    // alone and each shard.
    void add_owners()
    {
        const std::uint32_t count =
            this->parameters.sharded
                ? core::shard_count(this->parameters.servers)
                : 1;
        this->shards.resize(count);
        for (const auto& [name, server] : this->servers)
        {
            this->shards[core::shard_of(name, count)].push_back(
                &server.announced);
        }
        this->alone_instances = static_cast<std::uint32_t>(
            this->parameters.alone * this->parameters.instances);
        for (std::uint32_t owner = 0; owner <= this->alone_instances; ++owner)
        {
            for (const auto& shard : this->shards)
            {
                this->add_owner(shard);
            }
        }
        this->pending.resize(this->owners.size());
    }

    std::size_t pick_owner(std::uint32_t instance)
    {
        std::vector<double> weights;
        for (const auto& shard : this->shards)
        {
            weights.push_back(static_cast<double>(shard.size()));
        }
        const std::size_t shard = std::discrete_distribution<std::size_t>(
            weights.begin(), weights.end())(this->random);
        const std::size_t group =
            instance < this->alone_instances ? instance + 1 : 0;
        return group * this->shards.size() + shard;
    }

    void schedule_arrival()
    {
        std::exponential_distribution<double> interval(
            this->parameters.requests_per_second);
        this->after(std::chrono::duration_cast<duration>(
                        std::chrono::duration<double>(interval(this->random))),
                    [this]
                    {
                        this->arrive();
                        this->schedule_arrival();
                    });
    }

    void schedule_tick()
    {
        this->after(25ms,
                    [this]
                    {
                        for (std::size_t owner = 0; owner < this->owners.size();
                             ++owner)
                        {
                            this->deliver(owner);
                        }
                        this->schedule_tick();
                    });
    }

    void arrive()
    {
        const auto request = std::make_shared<model_request>();
        double draw = this->uniform();
        while (request->kind + 1 < this->parameters.kinds.size() &&
               draw >= this->parameters.kinds[request->kind].share)
        {
            draw -= this->parameters.kinds[request->kind].share;
            ++request->kind;
        }
        request->instance = static_cast<std::uint32_t>(
            this->random() % this->parameters.instances);
        request->arrived_at = this->now;
        core::flow_terms terms;
        const kind& work = this->parameters.kinds[request->kind];
        terms.repeatable = work.repeatable;
        terms.objective_at = this->now + work.objective;
        terms.deadline = this->now + work.deadline;
        request->flow.emplace(terms);
        this->advance(request);
    }

    // Does what the flow of the request says until it waits or is over.
    void advance(const request_ptr& request)
    {
        while (!request->ended)
        {
            const core::flow_action action = request->flow->next(this->now);
            if (const auto* wait = std::get_if<core::action_wait>(&action))
            {
                this->after(wait->until - this->now,
                            [this, request]
                            {
                                this->advance(request);
                            });
                return;
            }
            if (const auto* place = std::get_if<core::action_place>(&action))
            {
                this->place(request, *place);
            }
            else if (const auto* send = std::get_if<core::action_send>(&action))
            {
                this->send(request, send->number);
            }
            else if (const auto* cancel =
                         std::get_if<core::action_cancel>(&action))
            {
                this->release(request, cancel->number,
                              core::send_outcome::cancelled);
            }
            else
            {
                this->end(request, action);
            }
        }
    }

    void end(const request_ptr& request, const core::flow_action& action)
    {
        const auto* answer = std::get_if<core::action_answer>(&action);
        const bool served =
            answer != nullptr &&
            this->answered.contains({request.get(), answer->number});
        const bool past_deadline =
            this->now >= request->arrived_at +
                             this->parameters.kinds[request->kind].deadline;
        for (std::size_t number = 0; number < request->attempts.size();
             ++number)
        {
            this->answered.erase({request.get(), number});
            this->release(request, number,
                          past_deadline ? core::send_outcome::timed_out
                                        : core::send_outcome::cancelled);
        }
        request->ended = true;
        this->ends.push_back({this->now, served});
        ++this->report.requests;
        this->report.not_served += served ? 0 : 1;
        this->report.late +=
            served && this->now >
                          request->arrived_at +
                              this->parameters.kinds[request->kind].objective
                ? 1
                : 0;
        this->report.unsafe_not_served +=
            served || this->parameters.kinds[request->kind].repeatable ? 0 : 1;
    }

    void place(const request_ptr& request, const core::action_place& action)
    {
        const kind& work = this->parameters.kinds[request->kind];
        core::place_request call;
        call.grant = {request->instance + 1U, ++this->last_number};
        call.data_centre = this->parameters.one_centre
                               ? "0"
                               : std::to_string(request->instance %
                                                this->parameters.data_centres);
        call.work_kind = static_cast<std::uint32_t>(request->kind + 1);
        call.repeatable = work.repeatable;
        call.repeat = action.repeat;
        call.time_to_objective = std::max<duration>(
            request->arrived_at + work.objective - this->now, duration(0));
        call.time_to_deadline = std::max<duration>(
            request->arrived_at + work.deadline - this->now, duration(0));
        call.excluded_servers = action.excluded_servers;
        call.content_digest = this->last_number;
        model_request::attempt attempt;
        attempt.grant = call.grant;
        attempt.owner = this->pick_owner(request->instance);
        attempt.open = true;
        request->attempts.resize(
            std::max(request->attempts.size(), action.number + 1));
        request->attempts[action.number] = attempt;
        const auto answer =
            this->owners[attempt.owner]->request(call, this->now);
        if (std::holds_alternative<core::queued>(answer))
        {
            this->pending[attempt.owner][call.grant] = {request, action.number};
            return;
        }
        this->on_placed(request, action.number, answer);
    }

    void on_placed(const request_ptr& request,
                   std::size_t number,
                   const core::place_answer& answer)
    {
        if (const auto* placed = std::get_if<core::placed>(&answer))
        {
            request->attempts[number].server = placed->server;
        }
        request->flow->on_placed(number, answer, this->now);
    }

    void deliver(std::size_t owner)
    {
        for (const core::deferred_answer& deferred :
             this->owners[owner]->tick(this->now))
        {
            const auto waiting = this->pending[owner].find(deferred.grant);
            if (waiting != this->pending[owner].end())
            {
                const auto [request, number] = waiting->second;
                this->pending[owner].erase(waiting);
                this->on_placed(request, number, deferred.answer);
                this->advance(request);
            }
        }
    }

    void release(const request_ptr& request,
                 std::size_t number,
                 core::send_outcome outcome)
    {
        model_request::attempt& attempt = request->attempts[number];
        if (!attempt.open)
        {
            return;
        }
        attempt.open = false;
        this->pending[attempt.owner].erase(attempt.grant);
        core::placement& owner = *this->owners[attempt.owner];
        if (outcome == core::send_outcome::cancelled)
        {
            owner.cancel(attempt.grant, this->now);
            return;
        }
        owner.on_send_ended(attempt.grant, outcome, this->now - attempt.sent_at,
                            this->now);
    }

    void send(const request_ptr& request, std::size_t number)
    {
        model_request::attempt& attempt = request->attempts[number];
        attempt.sent_at = this->now;
        ++this->report.sends;
        model_server& server = this->servers.at(attempt.server);
        fault met = server.fault_at(this->now);
        if (met == fault::cut && request->instance % 3 == 0)
        {
            this->finish_send(request, number, 1ms, core::send_result::not_sent,
                              core::send_outcome::unreachable);
            return;
        }
        server.arrivals.push_back(this->now);
        if (met == fault::hang)
        {
            return;
        }
        if (met == fault::flaky &&
            this->uniform() < this->parameters.disturbed_failures)
        {
            met = fault::error;
        }
        if (met == fault::error && this->parameters.sheds)
        {
            this->finish_send(request, number, 5ms, core::send_result::not_run,
                              core::send_outcome::shed);
            return;
        }
        if (met == fault::error)
        {
            this->finish_send(request, number, 5ms, core::send_result::failed,
                              core::send_outcome::failed);
            return;
        }
        if (met == fault::reset)
        {
            this->finish_send(request, number, 5ms, core::send_result::lost,
                              core::send_outcome::connection_lost);
            return;
        }
        std::lognormal_distribution<double> spread(0.0, 0.5);
        const double factor =
            spread(this->random) * (met == fault::slow ? 4.0 : 1.0);
        const kind& work = this->parameters.kinds[request->kind];
        this->finish_send(
            request, number,
            std::chrono::duration_cast<duration>(work.median * factor),
            core::send_result::answered, core::send_outcome::succeeded);
    }

    void finish_send(const request_ptr& request,
                     std::size_t number,
                     duration delay,
                     core::send_result result,
                     core::send_outcome outcome)
    {
        this->after(delay,
                    [this, request, number, result, outcome]
                    {
                        if (request->ended || !request->attempts[number].open)
                        {
                            return;
                        }
                        if (result == core::send_result::answered)
                        {
                            this->answered.insert({request.get(), number});
                        }
                        this->release(request, number, outcome);
                        request->flow->on_send_ended(number, result, this->now);
                        this->advance(request);
                    });
    }

    // Looks at a span every 100 ms, after the first seconds, in which nothing
    // has been measured yet.
    void measure()
    {
        std::sort(this->ends.begin(), this->ends.end(),
                  [](const request_end& left, const request_end& right)
                  {
                      return left.time < right.time;
                  });
        for (time_point begin = start + 5s;
             begin + span < start + this->parameters.length; begin += 100ms)
        {
            this->measure_span(begin, begin + span);
        }
    }

    void measure_span(time_point begin, time_point end)
    {
        std::size_t sound = 0;
        std::size_t with_work = 0;
        for (const auto& [name, server] : this->servers)
        {
            if (server.is_sound(begin, end))
            {
                ++sound;
                with_work += server.has_work(begin, end) ? 1 : 0;
            }
        }
        std::size_t requests = 0;
        std::size_t not_served = 0;
        const auto is_earlier =
            [](const request_end& ended, const time_point& time)
        {
            return ended.time < time;
        };
        for (auto ended = std::lower_bound(this->ends.begin(), this->ends.end(),
                                           begin, is_earlier);
             ended != this->ends.end() && ended->time < end; ++ended)
        {
            ++requests;
            not_served += ended->served ? 0 : 1;
        }
        if (sound < 3 || requests < min_requests)
        {
            return;
        }
        ++this->report.spans;
        const double share =
            static_cast<double>(with_work) / static_cast<double>(sound);
        const double failed =
            static_cast<double>(not_served) / static_cast<double>(requests);
        const bool is_below = with_work > 0 && share < floor_share;
        this->report.below_floor += is_below ? 1 : 0;
        this->report.below_while_failing += is_below && failed >= 0.05 ? 1 : 0;
        this->report.violations +=
            is_below && failed > 0.1 && failed < 0.5 ? 1 : 0;
        if (share < this->report.worst_share)
        {
            this->report.worst_share = share;
            this->report.worst =
                std::to_string(sound - with_work) + " of " +
                std::to_string(sound) + " sound servers got nothing, " +
                std::to_string(not_served) + " of " + std::to_string(requests) +
                " requests were not served";
        }
    }

    scenario parameters;
    std::mt19937_64 random;
    time_point now = start;
    std::priority_queue<event> events;
    std::uint64_t sequence = 0;
    std::uint64_t last_number = 0;
    std::map<std::string, model_server> servers;
    std::vector<std::vector<const core::announced_server*>> shards;
    std::uint32_t alone_instances = 0;
    std::vector<std::unique_ptr<core::placement>> owners;
    std::vector<std::map<core::grant_id, std::pair<request_ptr, std::size_t>>>
        pending;
    std::set<std::pair<const model_request*, std::size_t>> answered;
    std::vector<request_end> ends;
    floor_report report;
};

/// Plays the scenario with several seeds and adds up what their spans show.
inline floor_report play(scenario played, std::uint64_t seeds = 3)
{
    floor_report sum;
    for (played.seed = 1; played.seed <= seeds; ++played.seed)
    {
        const floor_report report = floor_model(played).run();
        sum.spans += report.spans;
        sum.below_floor += report.below_floor;
        sum.below_while_failing += report.below_while_failing;
        sum.violations += report.violations;
        sum.requests += report.requests;
        sum.not_served += report.not_served;
        sum.unsafe_not_served += report.unsafe_not_served;
        sum.late += report.late;
        sum.sends += report.sends;
        if (report.worst_share < sum.worst_share)
        {
            sum.worst_share = report.worst_share;
            sum.worst = report.worst;
        }
    }
    return sum;
}

inline std::string describe(const floor_report& report)
{
    const auto percent = [&report](std::size_t count)
    {
        return fmt::format("{:.2f}", 100.0 * static_cast<double>(count) /
                                         static_cast<double>(report.requests));
    };
    return fmt::format(
        "of {} spans {} below the floor, {} of them while some and {} while "
        "many requests were not served; worst: {}; in 100 requests: {} not "
        "served, {} of them not "
        "repeatable, {} late; {} requests, {} sends",
        report.spans, report.below_floor, report.below_while_failing,
        report.violations, report.worst, percent(report.not_served),
        percent(report.unsafe_not_served), percent(report.late),
        report.requests, report.sends);
}

} // namespace medlarbarrow::tests
