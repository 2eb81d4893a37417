#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/core/shards.hpp>
#include <memory>
#include <queue>
#include <random>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

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

const kind short_read{0.45, true, 48ms, 150ms, 1200ms};
const kind order{0.40, false, 84ms, 250ms, 2000ms};
const kind long_read{0.15, true, 160ms, 500ms, 2000ms};

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
floor_report play(scenario played, std::uint64_t seeds = 3)
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

std::string describe(const floor_report& report)
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

// The load that the users' sites have, with servers that fail in blocks and
// disturbances that end for half of the servers at once.
scenario troubled_service(double requests_per_second = 138.0)
{
    scenario played;
    played.requests_per_second = requests_per_second;
    played.disturbance = 5s;
    played.disturbance_pause = 4s;
    played.disturbed_failures = 0.7;
    played.in_blocks = true;
    played.length = 40s;
    return played;
}

std::vector<kind> with_long_objectives()
{
    std::vector<kind> kinds{short_read, order, long_read};
    for (kind& work : kinds)
    {
        work.objective = 1500ms;
        work.deadline = 3000ms;
    }
    return kinds;
}

} // namespace

// Guards against sound servers that stay without work since no request may
// probe them: the repeatable requests of this service are too short of time to
// be sent a second time.
TEST(a_service_with_short_objectives, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.outside_kind = 1;
    const floor_report report = play(played);
    EXPECT_EQ(report.below_floor, 0U) << describe(report);
    EXPECT_LT(report.not_served * 100, report.requests * 8) << describe(report);
}

// Guards against sound servers that stay without work while others are idle:
// past failures and the lack of recent successes make them cost more than any
// idle server.
TEST(a_service_without_repeatable_work, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.kinds = {order};
    played.kinds.front().share = 1.0;
    const floor_report report = play(played);
    EXPECT_EQ(report.violations, 0U) << describe(report);
    EXPECT_LE(report.below_floor, report.spans / 100) << describe(report);
}

// Guards against probes that stop when the retry budget is used up, and against
// probes that go to the first suspected servers by name.
TEST(a_service_with_long_objectives, gives_its_sound_servers_work)
{
    scenario played = troubled_service(70.0);
    played.kinds = with_long_objectives();
    const floor_report report = play(played);
    EXPECT_EQ(report.below_floor, 0U) << describe(report);
    EXPECT_LT(report.not_served * 100, report.requests * 11)
        << describe(report);
}

// Guards against a floor that only a single owner of all servers keeps, or only
// owners that see all requests of their shard.
TEST(a_service_with_several_owners, gives_its_sound_servers_work)
{
    for (const double alone : {0.0, 0.3})
    {
        for (const bool sharded : {false, true})
        {
            scenario played = troubled_service(70.0);
            played.sharded = sharded;
            played.alone = alone;
            const floor_report report = play(played);
            EXPECT_EQ(report.violations, 0U)
                << "alone " << alone << ": " << describe(report);
            EXPECT_LE(report.below_floor, report.spans / 100)
                << "alone " << alone << ": " << describe(report);
        }
    }
}

// Guards against a floor that holds for some faults only: servers that fail a
// share of their requests, are slow, cannot be reached by some instances or
// turn requests away.
TEST(a_service_with_any_fault, gives_its_sound_servers_work)
{
    for (const int outside : {0, 1, 2})
    {
        scenario played = troubled_service();
        played.outside_kind = outside;
        played.sheds = outside == 0;
        const floor_report report = play(played);
        EXPECT_EQ(report.violations, 0U)
            << "fault " << outside << ": " << describe(report);
    }
}

// Guards against servers of other data centres that stay without work, since a
// near server with a free slot always costs less.
TEST(a_service_called_from_one_data_centre, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.one_centre = true;
    const floor_report report = play(played);
    EXPECT_EQ(report.violations, 0U) << describe(report);
}

// A service of which several servers end all connections at once for a short
// time, while the others then fail for some seconds.
scenario struck_service(std::size_t servers,
                        std::size_t struck,
                        duration strike,
                        double failures)
{
    scenario played;
    played.servers = servers;
    played.requests_per_second = 7.0 * static_cast<double>(servers);
    played.failing = 0.0;
    played.disturbed = 0.0;
    played.disturbed_failures = failures;
    played.struck = struck;
    played.strike = strike;
    played.length = 41s;
    return played;
}

// Guards against servers that recover together after a short fault and stay
// without work until their suspicion has decayed, while the others are
// overloaded and fail.
TEST(a_service_after_a_short_fault_of_many_servers, gives_them_work_soon)
{
    struct hit
    {
        std::size_t servers;
        std::size_t struck;
    };
    for (const hit& affected : {hit{18, 12}, hit{18, 6}, hit{64, 24}})
    {
        for (const duration strike :
             std::initializer_list<duration>{300ms, 500ms, 800ms, 2s})
        {
            for (const double failures : {0.3, 0.5})
            {
                for (const bool repeatable : {true, false})
                {
                    scenario played = struck_service(
                        affected.servers, affected.struck, strike, failures);
                    if (!repeatable)
                    {
                        played.kinds = {order};
                        played.kinds.front().share = 1.0;
                    }
                    const floor_report report = play(played);
                    const std::string label = fmt::format(
                        "{} of {} servers for {} ms, then {} of the sends to "
                        "the others fail, {}: ",
                        affected.struck, affected.servers, strike / 1ms,
                        failures, repeatable ? "mixed work" : "orders");
                    EXPECT_EQ(report.violations, 0U)
                        << label << describe(report);
                    EXPECT_LE(report.below_while_failing, report.spans / 200)
                        << label << describe(report);
                }
            }
        }
    }
}

/// An owner of servers that run requests of one instance.
class an_owner_with_failing_sends : public testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            core::announced_server server;
            server.server.name = "s" + std::to_string(index);
            server.server.slots = 2;
            server.server.data_centre = index % 2 == 0 ? "near" : "far";
            server.service = "dispatch";
            server.started = 1;
            this->servers.push_back(server);
        }
        std::vector<const core::announced_server*> usable;
        for (const core::announced_server& server : this->servers)
        {
            usable.push_back(&server);
        }
        this->owner.set_servers(usable, this->now);
    }

    core::place_request request(bool repeatable)
    {
        core::place_request request;
        request.grant = {1, ++this->number};
        request.data_centre = "near";
        request.work_kind = repeatable ? 1 : 2;
        request.repeatable = repeatable;
        request.time_to_objective = 100ms;
        request.time_to_deadline = 1000ms;
        return request;
    }

    /// Runs one request of 48 ms on the server that the owner chooses. Returns
    /// the server; empty if there is none.
    std::string run(bool repeatable, const std::set<std::string>& excluded = {})
    {
        core::place_request asked = this->request(repeatable);
        asked.excluded_servers.assign(excluded.begin(), excluded.end());
        const core::place_answer answer = this->owner.request(asked, this->now);
        const auto* placed = std::get_if<core::placed>(&answer);
        if (placed == nullptr)
        {
            this->owner.cancel(asked.grant, this->now);
            return "";
        }
        const bool fails = this->failing.contains(placed->server) ||
                           (this->other_failures && this->number % 8 == 0);
        this->owner.on_send_ended(asked.grant,
                                  fails ? core::send_outcome::failed
                                        : core::send_outcome::succeeded,
                                  48ms, this->now);
        return placed->server;
    }

    /// Runs requests every 20 ms. Returns how many each server got.
    std::map<std::string, std::size_t> run_for(duration time,
                                               double repeatable_share)
    {
        std::map<std::string, std::size_t> counts;
        std::size_t repeatable = 0;
        std::size_t asked = 0;
        for (const time_point end = this->now + time; this->now < end;
             this->now += 20ms)
        {
            ++asked;
            const bool is_repeatable =
                static_cast<double>(repeatable) <
                repeatable_share * static_cast<double>(asked);
            repeatable += is_repeatable ? 1 : 0;
            ++counts[this->run(is_repeatable)];
        }
        return counts;
    }

    /// Fills all slots, loses the requests of these servers, which makes them
    /// suspected for more than four seconds, and completes the others.
    void lose_requests_of(const std::set<std::string>& names)
    {
        std::vector<std::pair<core::grant_id, std::string>> sent;
        for (std::size_t index = 0; index < server_count * 2; ++index)
        {
            const core::place_request asked = this->request(index % 2 == 0);
            const core::place_answer answer =
                this->owner.request(asked, this->now);
            const auto* placed = std::get_if<core::placed>(&answer);
            ASSERT_NE(placed, nullptr);
            sent.emplace_back(asked.grant, placed->server);
        }
        for (const auto& [grant, server] : sent)
        {
            this->owner.on_send_ended(grant,
                                      names.contains(server)
                                          ? core::send_outcome::connection_lost
                                          : core::send_outcome::succeeded,
                                      48ms, this->now);
        }
        ASSERT_EQ(this->owner.spread(this->now).suspected, names.size());
    }

    /// Servers that fail and then work again, fewer than the floor lets out.
    inline static const std::set<std::string> recovered{"s0", "s1", "s2", "s3"};
    static constexpr std::size_t server_count = 20;
    time_point now = start;
    std::vector<core::announced_server> servers;
    std::set<std::string> failing;
    bool other_failures = false; ///< every eighth request fails anywhere
    core::placement owner{core::retry_limits{}, 7};
    std::uint64_t number = 0;
};

// Guards against requests that leave their data centre although all servers
// work.
TEST_F(an_owner_with_failing_sends, leaves_far_servers_idle_while_none_fails)
{
    const auto counts = this->run_for(6s, 0.5);
    for (const auto& [server, count] : counts)
    {
        EXPECT_NE(std::stoul(server.substr(1)) % 2, 1U) << server;
    }
    EXPECT_FALSE(this->owner.is_below_floor(this->owner.spread(this->now)));
}

// Guards against a server that works again and waits for its suspicion to
// decay, while no request leaves time for a second send.
TEST_F(an_owner_with_failing_sends, gives_work_to_servers_that_work_again)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    const auto counts = this->run_for(3500ms, 0.5);
    // One in ten servers may stay without work, which here are two.
    EXPECT_GE(std::count_if(recovered.begin(), recovered.end(),
                            [&counts](const std::string& server)
                            {
                                return counts.contains(server);
                            }),
              2);
    EXPECT_GE(this->owner.spread(this->now).with_work, 18U);
}

// Guards against a part of the servers that may stay without work although
// there are many requests for each: if few servers are sound, they may be that
// part.
TEST_F(an_owner_with_failing_sends, gives_all_servers_work_if_requests_are_many)
{
    this->other_failures = true;
    this->run_for(3s, 0.5);
    for (std::size_t round = 0; round < 10; ++round)
    {
        auto counts = this->run_for(span, 0.5);
        counts.erase("");
        EXPECT_EQ(counts.size(), server_count) << "round " << round;
    }
}

// Guards against sound servers that stay without work for 2 s after a short
// fault, or after one answer that was late by chance. The requests that ran at
// the same time count as one failure.
TEST_F(an_owner_with_failing_sends, tries_a_server_again_soon_after_one_failure)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    const auto counts = this->run_for(span, 0.5);
    for (const std::string& server : recovered)
    {
        EXPECT_TRUE(counts.contains(server)) << server;
    }
}

// Guards against requests that are lost at servers that keep failing.
TEST_F(an_owner_with_failing_sends, seldom_tries_servers_that_keep_failing)
{
    this->lose_requests_of(recovered);
    this->failing = recovered;
    this->other_failures = true;
    auto counts = this->run_for(10s, 0.5);
    for (const std::string& server : recovered)
    {
        // After 1 s, then every 2.5 s.
        EXPECT_LE(counts[server], 4U) << server;
    }
}

// Guards against requests that wait for a full server while another one, whose
// fault is over, is due for work.
TEST_F(an_owner_with_failing_sends, gives_waiting_requests_to_servers_due)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    this->run_for(1150ms, 0.5);
    core::place_answer answer = core::queued{};
    core::place_request asked;
    do
    {
        asked = this->request(true);
        asked.time_to_objective = 800ms;
        answer = this->owner.request(asked, this->now);
    } while (std::holds_alternative<core::placed>(answer));
    ASSERT_TRUE(std::holds_alternative<core::queued>(answer));
    this->now += 60ms;
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 1U);
    const auto* placed = std::get_if<core::placed>(&answers.front().answer);
    ASSERT_NE(placed, nullptr);
    EXPECT_TRUE(recovered.contains(placed->server)) << placed->server;
}

// Guards against trials that cost many requests while the servers that have
// failed together keep failing.
TEST_F(an_owner_with_failing_sends, tries_servers_that_keep_failing_rarely)
{
    for (std::size_t index = 0; index < 6; ++index)
    {
        this->failing.insert("s" + std::to_string(index));
    }
    this->lose_requests_of(this->failing);
    this->other_failures = true;
    const auto counts = this->run_for(10s, 0.5);
    std::size_t lost = 0;
    for (const std::string& server : this->failing)
    {
        const auto count = counts.find(server);
        lost += count == counts.end() ? 0 : count->second;
    }
    // Each server is tried once in 1.7 s.
    EXPECT_LE(lost, 6U * 6U);
    EXPECT_GE(lost, 6U);
}

// Guards against unrepeatable requests that are lost at suspected servers,
// although repeatable ones could have been sent there.
TEST_F(an_owner_with_failing_sends,
       sends_no_unrepeatable_request_to_a_suspected_server)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    for (const time_point end = this->now + 3500ms; this->now < end;
         this->now += 20ms)
    {
        this->run(true, recovered);
        const std::string server = this->run(false, {});
        EXPECT_FALSE(recovered.contains(server)) << server;
    }
}

// Guards against an incident whose cause cannot be told, because nothing says
// how many servers got work, were suspected and failed.
TEST_F(an_owner_with_failing_sends, tells_how_work_is_spread)
{
    this->failing = {this->run(true)};
    this->run_for(1s, 0.5);
    const core::work_spread spread = this->owner.spread(this->now);
    EXPECT_EQ(spread.servers, server_count);
    EXPECT_EQ(spread.requests, 51U);
    EXPECT_EQ(spread.results, 51U);
    EXPECT_GE(spread.failures, 2U);
    EXPECT_EQ(spread.suspected, 1U);
    EXPECT_LE(spread.with_work, server_count / 2);
    const core::work_spread later = this->owner.spread(this->now + 3s);
    EXPECT_EQ(later.with_work, 0U);
    EXPECT_EQ(later.requests, 0U);
}

// Guards against a missed floor that is reported although sends do not fail or
// requests are too few for all servers.
TEST_F(an_owner_with_failing_sends, reports_a_missed_floor_only_then)
{
    core::work_spread spread;
    spread.servers = 20;
    spread.with_work = 13;
    spread.requests = 100;
    spread.results = 100;
    spread.failures = 15;
    EXPECT_TRUE(this->owner.is_below_floor(spread));
    spread.with_work = 14;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
    spread.with_work = 13;
    spread.failures = 3;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
    spread.failures = 15;
    spread.requests = 19;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
}

// Guards against a setting that is read and then not used.
TEST_F(an_owner_with_failing_sends, keeps_the_floor_share_of_the_settings)
{
    core::work_spread spread;
    spread.servers = 20;
    spread.with_work = 13;
    spread.requests = 100;
    spread.results = 100;
    spread.failures = 15;
    this->owner.set_floor_share(0.6);
    EXPECT_FALSE(this->owner.is_below_floor(spread));
}

// Guards against suspicion that excludes more servers than the floor allows
// while the others are full.
TEST_F(an_owner_with_failing_sends, keeps_the_least_suspected_servers_in_use)
{
    for (std::size_t index = 0; index < 12; ++index)
    {
        this->failing.insert("s" + std::to_string(index));
    }
    // Each request stays at its server, so that all get some; those of failing
    // servers are lost.
    std::map<std::string, std::size_t> granted;
    std::vector<std::pair<core::place_request, std::string>> sent;
    for (std::size_t index = 0; index < server_count * 2; ++index)
    {
        const core::place_request asked = this->request(false);
        const core::place_answer answer = this->owner.request(asked, this->now);
        const auto* placed = std::get_if<core::placed>(&answer);
        ASSERT_NE(placed, nullptr);
        sent.emplace_back(asked, placed->server);
    }
    for (const auto& [asked, server] : sent)
    {
        this->owner.on_send_ended(asked.grant,
                                  this->failing.contains(server)
                                      ? core::send_outcome::connection_lost
                                      : core::send_outcome::succeeded,
                                  48ms, this->now);
    }
    EXPECT_EQ(this->owner.spread(this->now).suspected, 12U);
    std::set<std::string> used;
    for (std::size_t index = 0; index < server_count * 2; ++index)
    {
        const core::place_answer answer =
            this->owner.request(this->request(false), this->now);
        if (const auto* placed = std::get_if<core::placed>(&answer))
        {
            used.insert(placed->server);
        }
    }
    EXPECT_GE(used.size(), 14U);
}
