/// Measures routing, detection and admission against simple baselines. Drives
/// the decision logic of several instances with fake time, servers that are
/// slots with service times, and messages with a fixed delay.
#include <algorithm>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <medlarbarrow/core/admission.hpp>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/retries.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <memory>
#include <numeric>
#include <queue>
#include <random>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{100s};
constexpr core::time_point warm{105s};
constexpr core::time_point fault_begins{110s};
constexpr core::time_point fault_ends{130s};
constexpr core::time_point run_ends{140s};
constexpr core::duration peer_delay = 1400us;
constexpr core::duration server_delay = 300us;
constexpr core::duration request_deadline = 2s;
constexpr core::duration mean_service_time = 25ms;
constexpr core::duration flap_period = 4s;
constexpr core::duration counted_ejection = 30s;
constexpr int counted_errors = 5;
constexpr double slow_factor = 30.0;
constexpr double service_slow_factor = 5.0;
constexpr double usual_load = 0.6;
constexpr double overload_base = 0.85;
constexpr double noisy_factor = 5.0;
constexpr std::size_t noisy_account = 3;
constexpr std::size_t bad_server = 5;
/// In the data centre of the bad server, which it therefore uses most.
constexpr std::size_t cut_instance = 5;
/// Waiting requests a server accepts per slot before it sheds.
constexpr std::size_t server_queue_per_slot = 2;
constexpr std::size_t queue_capacity = 256;
const std::vector<double> account_weights{0.30, 0.20, 0.15, 0.10,
                                          0.10, 0.05, 0.05, 0.05};

struct deployment
{
    std::string name;
    std::string service;
    std::size_t servers;
    std::uint32_t slots;
    std::size_t instances;
    double detection_weight;
    double false_ejection_weight;
};

enum class scenario
{
    steady,
    gray_fails,
    gray_slow,
    flapping,
    path_cut,
    service_slow,
    service_fails,
    overload
};

struct variant
{
    std::string name;
    bool round_robin = false;
    bool error_counting = false;
    bool fifo = false;
};

struct outcome_counts
{
    std::vector<double> latencies; ///< seconds, of the served
    std::size_t sent = 0;
    std::size_t failed = 0;  ///< after an attempt
    std::size_t refused = 0; ///< before any attempt
};

struct figures
{
    std::vector<outcome_counts> accounts;
    std::optional<double> detection_seconds;
    std::size_t false_ejections = 0;    ///< (instance, server) pairs, and cuts
    std::size_t max_out_of_service = 0; ///< servers, over the union
    std::size_t retries = 0;
};

/// First in, first out, with the same limit and capacity as the fair queue.
class fifo_queue
{
public:
    void set_capacity(std::uint32_t slots, std::size_t instances)
    {
        this->limits.set_capacity(slots, instances);
    }

    bool push(std::uint64_t id)
    {
        if (this->ids.size() >= queue_capacity)
        {
            return false;
        }
        this->ids.push_back(id);
        return true;
    }

    std::vector<std::uint64_t> pop_ready()
    {
        std::vector<std::uint64_t> ready;
        while (!this->ids.empty() && this->running < this->limits.value())
        {
            ready.push_back(this->ids.front());
            this->ids.pop_front();
            ++this->running;
        }
        return ready;
    }

    void attempt_ended(core::attempt_outcome outcome,
                       core::duration latency,
                       core::time_point now)
    {
        this->limits.completed(outcome, latency, this->running, now);
    }

    void release()
    {
        --this->running;
    }

private:
    core::concurrency_limit limits;
    std::deque<std::uint64_t> ids;
    std::uint32_t running = 0;
};

class measurement
{
public:
    measurement(const deployment& at,
                scenario what,
                const variant& how,
                std::uint64_t seed,
                bool events_too)
        : place(at), kind(what), chosen(how), shows_events(events_too),
          random(seed), owner(at.service, start - 1min), servers(at.servers)
    {
        this->result.accounts.resize(account_weights.size());
        this->build_document();
        this->owner.set_service(this->document.services[0], start);
        for (std::size_t index = 0; index < at.instances; ++index)
        {
            this->add_instance(index);
        }
    }

    figures run()
    {
        this->now = start;
        for (std::size_t account = 0; account < account_weights.size();
             ++account)
        {
            this->schedule_arrival(account);
        }
        for (std::size_t index = 0; index < this->instances.size(); ++index)
        {
            this->tick_instance(index);
        }
        this->tick_owner();
        while (!this->events.empty() && this->events.top().at < run_ends)
        {
            const event next = this->events.top();
            this->events.pop();
            this->now = next.at;
            next.action();
        }
        return this->result;
    }

private:
    struct event
    {
        core::time_point at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(this->at, this->order) >
                   std::tie(other.at, other.order);
        }
    };

    struct request
    {
        std::size_t account = 0;
        std::size_t instance = 0;
        core::time_point arrived;
        core::time_point deadline;
        std::uint32_t attempt = 0;
        std::vector<std::string> tried;
        std::size_t server = 0;
        core::time_point sent;
        bool ended = false; ///< of the current attempt
    };

    struct server
    {
        std::size_t busy = 0;
        std::deque<std::function<void()>> waiting;
    };

    struct instance
    {
        instance(const std::string& name, const std::string& centre)
            : table(name, centre, "region"), log(0), fair(queue_capacity)
        {
        }

        core::server_table table;
        core::observation_log log;
        core::admission_queue fair;
        fifo_queue fifo;
        core::retry_budget budget{0.1};
        std::size_t next_server = 0;
        std::map<std::size_t, int> errors_in_row;
        std::map<std::string, core::server_block> counted;
        std::set<std::string> out;
    };

    static std::string server_name(std::size_t index)
    {
        return fmt::format("s{:02}", index);
    }

    void build_document()
    {
        this->document.data_centres = {
            {"a", "region"}, {"b", "region"}, {"c", "region"}};
        core::service service;
        service.name = this->place.service;
        service.policy.detection_weight = this->place.detection_weight;
        service.policy.false_ejection_weight =
            this->place.false_ejection_weight;
        service.policy.healthy_floor = 0.7;
        for (std::size_t index = 0; index < this->place.servers; ++index)
        {
            core::backend_server made;
            made.name = server_name(index);
            made.data_centre = this->document.data_centres[index % 3].name;
            made.slots = this->place.slots;
            made.connections = 350;
            service.servers.push_back(made);
        }
        this->document.services.push_back(service);
    }

    void add_instance(std::size_t index)
    {
        auto made = std::make_unique<instance>(
            fmt::format("entry-{}", index),
            this->document.data_centres[index % 3].name);
        core::document own = this->document;
        if (this->chosen.error_counting)
        {
            own.services[0].policy.healthy_floor = 0.0;
        }
        made->table.set_instance_count(this->place.instances);
        made->table.apply(own, start);
        const auto slots =
            static_cast<std::uint32_t>(this->place.servers) * this->place.slots;
        made->fair.set_capacity(slots, this->place.instances);
        made->fifo.set_capacity(slots, this->place.instances);
        this->instances.push_back(std::move(made));
    }

    void after(core::duration delay, std::function<void()> action)
    {
        this->events.push(
            {this->now + delay, ++this->last_order, std::move(action)});
    }

    core::duration exponential(core::duration mean)
    {
        std::exponential_distribution<double> draw(1.0);
        return core::duration(static_cast<core::duration::rep>(
            draw(this->random) * static_cast<double>(mean.count())));
    }

    bool faulty_now() const
    {
        return this->now >= fault_begins && this->now < fault_ends;
    }

    /// The bad server is bad at this moment.
    bool is_bad(std::size_t server) const
    {
        if (server != bad_server || !this->faulty_now())
        {
            return false;
        }
        const bool off_phase =
            (this->now - fault_begins) / flap_period % 2 == 1;
        return this->kind == scenario::gray_fails ||
               this->kind == scenario::gray_slow ||
               (this->kind == scenario::flapping && !off_phase);
    }

    double account_rate(std::size_t account) const
    {
        const double capacity =
            static_cast<double>(this->place.servers) * this->place.slots /
            std::chrono::duration<double>(mean_service_time).count();
        const bool overload = this->kind == scenario::overload;
        const double load = overload ? overload_base : usual_load;
        const bool noisy =
            overload && account == noisy_account && this->faulty_now();
        return capacity * load * account_weights[account] *
               (noisy ? noisy_factor : 1.0);
    }

    void schedule_arrival(std::size_t account)
    {
        const auto mean = core::duration(static_cast<core::duration::rep>(
            1e6 / this->account_rate(account)));
        this->after(this->exponential(mean),
                    [this, account]
                    {
                        this->arrive(account);
                        this->schedule_arrival(account);
                    });
    }

    void arrive(std::size_t account)
    {
        request made;
        made.account = account;
        made.instance = this->random() % this->instances.size();
        made.arrived = this->now;
        made.deadline = this->now + request_deadline;
        const std::uint64_t id = ++this->last_request;
        this->requests[id] = made;
        if (this->now >= warm)
        {
            ++this->result.accounts[account].sent;
        }
        instance& at = *this->instances[made.instance];
        if (this->chosen.fifo)
        {
            if (!at.fifo.push(id))
            {
                this->end_refused(id);
            }
        }
        else
        {
            const auto pushed = at.fair.push(
                {id, std::to_string(account), core::route_priority::normal,
                 made.deadline, account_weights[account]},
                this->now);
            if (pushed.code != core::result_code::ok)
            {
                this->end_refused(id);
            }
            if (pushed.evicted)
            {
                this->end_refused(*pushed.evicted);
            }
        }
        this->pop(made.instance);
    }

    void pop(std::size_t index)
    {
        instance& at = *this->instances[index];
        if (this->chosen.fifo)
        {
            for (const std::uint64_t id : at.fifo.pop_ready())
            {
                this->send(id);
            }
            return;
        }
        const auto popped = at.fair.pop_ready(this->now);
        for (const std::uint64_t id : popped.expired)
        {
            this->end_refused(id);
        }
        for (const std::uint64_t id : popped.ready)
        {
            this->send(id);
        }
    }

    std::optional<std::string> choose(instance& at, const request& of)
    {
        if (!this->chosen.round_robin)
        {
            const auto picked = at.table.choose(this->place.service, of.tried,
                                                this->random, this->now);
            return picked ? std::optional(picked->server.name) : std::nullopt;
        }
        for (std::size_t step = 0; step < this->place.servers; ++step)
        {
            at.next_server = (at.next_server + 1) % this->place.servers;
            const std::string name = server_name(at.next_server);
            const bool tried = std::find(of.tried.begin(), of.tried.end(),
                                         name) != of.tried.end();
            if (!tried && !at.out.contains(name))
            {
                return name;
            }
        }
        return std::nullopt;
    }

    void send(std::uint64_t id)
    {
        request& of = this->requests[id];
        instance& at = *this->instances[of.instance];
        const auto name = this->choose(at, of);
        if (of.deadline <= this->now || !name)
        {
            this->release(at, core::attempt_outcome::abandoned, 0us);
            of.attempt == 0 ? this->end_refused(id) : this->end_failed(id);
            return;
        }
        ++of.attempt;
        of.server = static_cast<std::size_t>(std::stoul(name->substr(1)));
        of.tried.push_back(*name);
        of.sent = this->now;
        of.ended = false;
        if (of.attempt == 1)
        {
            at.budget.add_first_attempt(this->now);
        }
        at.table.attempt_started(this->place.service, *name);
        const std::uint32_t attempt = of.attempt;
        this->after(of.deadline - this->now,
                    [this, id, attempt]
                    {
                        this->end_attempt(id, attempt,
                                          core::attempt_end::timed_out);
                    });
        const bool cut = this->kind == scenario::path_cut &&
                         of.instance == cut_instance &&
                         of.server == bad_server && this->faulty_now();
        if (!cut)
        {
            const core::duration way = this->way(of);
            this->after(way,
                        [this, id, attempt, way, to = of.server]
                        {
                            this->run_at_server(id, attempt, way, to);
                        });
        }
    }

    core::duration way(const request& of) const
    {
        const bool near = of.instance % 3 == of.server % 3;
        return near ? server_delay : server_delay + peer_delay;
    }

    void run_at_server(std::uint64_t id,
                       std::uint32_t attempt,
                       core::duration way,
                       std::size_t to)
    {
        server& at = this->servers[to];
        const bool refuses =
            this->is_bad(to) && this->kind != scenario::gray_slow;
        const bool all_fail = this->kind == scenario::service_fails &&
                              this->faulty_now() && this->random() % 2 == 0;
        const bool full =
            at.busy >= this->place.slots &&
            at.waiting.size() >= server_queue_per_slot * this->place.slots;
        if (refuses || all_fail || full)
        {
            const auto end = refuses || all_fail
                                 ? core::attempt_end::not_sent
                                 : core::attempt_end::refused_not_run;
            this->after(way,
                        [this, id, attempt, end]
                        {
                            this->end_attempt(id, attempt, end);
                        });
            return;
        }
        const auto work = [this, id, attempt, way, to]
        {
            this->after(this->service_time(to),
                        [this, id, attempt, way, to]
                        {
                            this->after(way,
                                        [this, id, attempt]
                                        {
                                            this->end_attempt(
                                                id, attempt,
                                                core::attempt_end::answered);
                                        });
                            this->free_slot(to);
                        });
        };
        if (at.busy >= this->place.slots)
        {
            at.waiting.emplace_back(work);
            return;
        }
        ++at.busy;
        work();
    }

    core::duration service_time(std::size_t server)
    {
        double factor = 1.0;
        if (this->is_bad(server) && this->kind == scenario::gray_slow)
        {
            factor = slow_factor;
        }
        if (this->kind == scenario::service_slow && this->faulty_now())
        {
            factor = service_slow_factor;
        }
        return this->exponential(std::chrono::duration_cast<core::duration>(
            mean_service_time * factor));
    }

    void free_slot(std::size_t server)
    {
        auto& at = this->servers[server];
        if (at.waiting.empty())
        {
            --at.busy;
            return;
        }
        const auto work = at.waiting.front();
        at.waiting.pop_front();
        work();
    }

    core::attempt_outcome outcome_of(core::attempt_end end,
                                     const instance& at,
                                     const request& of) const
    {
        switch (end)
        {
        case core::attempt_end::answered:
            return core::attempt_outcome::succeeded;
        case core::attempt_end::refused_not_run:
            return core::attempt_outcome::shed;
        case core::attempt_end::timed_out:
            return core::classify_timeout(
                this->now - of.sent,
                at.table.typical_latency(this->place.service));
        default:
            return core::attempt_outcome::failed;
        }
    }

    void
    end_attempt(std::uint64_t id, std::uint32_t attempt, core::attempt_end end)
    {
        const auto found = this->requests.find(id);
        if (found == this->requests.end() || found->second.ended ||
            found->second.attempt != attempt)
        {
            return;
        }
        request& of = found->second;
        instance& at = *this->instances[of.instance];
        const core::duration latency = this->now - of.sent;
        const core::attempt_outcome outcome = outcome_of(end, at, of);
        const std::string name = server_name(of.server);
        of.ended = true;
        at.table.attempt_finished(this->place.service, name, outcome, latency,
                                  this->now);
        at.log.record_outcome(this->place.service, name, outcome, latency);
        this->count_errors(of.instance, of.server, outcome);
        if (end == core::attempt_end::answered)
        {
            this->end_served(id);
            this->release(at, outcome, latency);
            return;
        }
        core::retry_context facts;
        facts.repeatable = true;
        facts.end = end;
        facts.attempt = of.attempt;
        facts.deadline = of.deadline;
        facts.typical_latency = at.table.typical_latency(this->place.service);
        const std::size_t index = of.instance;
        if (core::decide_retry(facts, at.budget, this->now) ==
            core::retry_decision::retry)
        {
            ++this->result.retries;
            this->note_attempt(at, outcome, latency);
            this->send(id);
            return;
        }
        this->end_failed(id);
        this->release(at, outcome, latency);
        this->pop(index);
    }

    void note_attempt(instance& at,
                      core::attempt_outcome outcome,
                      core::duration latency)
    {
        at.fifo.attempt_ended(outcome, latency, this->now);
        at.fair.attempt_ended(outcome, latency, this->now);
    }

    void
    release(instance& at, core::attempt_outcome outcome, core::duration latency)
    {
        if (this->chosen.fifo)
        {
            at.fifo.attempt_ended(outcome, latency, this->now);
            at.fifo.release();
            return;
        }
        at.fair.completed(outcome, latency, this->now);
    }

    void end_served(std::uint64_t id)
    {
        const request& of = this->requests[id];
        const std::size_t index = of.instance;
        if (of.arrived >= warm)
        {
            this->result.accounts[of.account].latencies.push_back(
                std::chrono::duration<double>(this->now - of.arrived).count());
        }
        this->requests.erase(id);
        this->after(0us,
                    [this, index]
                    {
                        this->pop(index);
                    });
    }

    void end_failed(std::uint64_t id)
    {
        const request& of = this->requests[id];
        this->result.accounts[of.account].failed += of.arrived >= warm;
        this->requests.erase(id);
    }

    void end_refused(std::uint64_t id)
    {
        const request& of = this->requests[id];
        this->result.accounts[of.account].refused += of.arrived >= warm;
        this->requests.erase(id);
    }

    /// The baseline detector of each instance.
    void count_errors(std::size_t index,
                      std::size_t server,
                      core::attempt_outcome outcome)
    {
        instance& at = *this->instances[index];
        if (!this->chosen.error_counting ||
            outcome == core::attempt_outcome::shed)
        {
            return;
        }
        int& errors = at.errors_in_row[server];
        errors = outcome == core::attempt_outcome::succeeded ? 0 : errors + 1;
        if (errors < counted_errors)
        {
            return;
        }
        errors = 0;
        const std::string name = server_name(server);
        at.counted[name] = {name,
                            core::server_state::ejected,
                            this->now + counted_ejection,
                            {}};
        std::vector<core::server_block> blocks;
        for (const auto& [blocked, block] : at.counted)
        {
            if (block.until > this->now)
            {
                blocks.push_back(block);
            }
        }
        at.table.set_blocks(this->place.service, blocks, this->now);
        this->update_out(index);
    }

    /// Compares what the instance uses with before, and counts wrong
    /// ejections and the detection time.
    void update_out(std::size_t index)
    {
        instance& at = *this->instances[index];
        std::set<std::string> out;
        for (const core::server_view& shown : at.table.view(this->now))
        {
            if (shown.state != "healthy")
            {
                out.insert(shown.server);
            }
            const bool rightly = shown.server == server_name(bad_server) &&
                                 this->is_fault_of(index);
            if (shown.state != "healthy" && !rightly &&
                !at.out.contains(shown.server))
            {
                ++this->result.false_ejections;
            }
        }
        at.out = std::move(out);
        this->update_union();
    }

    /// The bad server is bad in this run, for this instance, or was so lately.
    bool is_fault_of(std::size_t index) const
    {
        switch (this->kind)
        {
        case scenario::gray_fails:
        case scenario::gray_slow:
        case scenario::flapping:
            return this->now >= fault_begins;
        case scenario::path_cut:
            return index == cut_instance && this->now >= fault_begins;
        default:
            return false;
        }
    }

    void update_union()
    {
        std::set<std::string> out;
        std::size_t blocking = 0;
        std::size_t concerned = 0;
        for (std::size_t index = 0; index < this->instances.size(); ++index)
        {
            const instance& at = *this->instances[index];
            out.insert(at.out.begin(), at.out.end());
            const bool concerns = this->is_fault_of(index);
            concerned += concerns;
            blocking += concerns && at.out.contains(server_name(bad_server));
        }
        this->result.max_out_of_service =
            std::max(this->result.max_out_of_service, out.size());
        if (concerned > 0 && this->faulty_now() &&
            !this->result.detection_seconds && 10 * blocking >= 9 * concerned)
        {
            this->result.detection_seconds =
                std::chrono::duration<double>(this->now - fault_begins).count();
        }
    }

    void tick_instance(std::size_t index)
    {
        instance& at = *this->instances[index];
        if (!this->chosen.error_counting)
        {
            for (const auto& report : at.log.due_reports(this->now))
            {
                this->after(peer_delay,
                            [this, index, report]
                            {
                                this->report_arrives(index, report);
                            });
            }
        }
        this->update_out(index);
        this->pop(index);
        const auto jitter = std::chrono::milliseconds(this->random() % 10);
        this->after(45ms + jitter,
                    [this, index]
                    {
                        this->tick_instance(index);
                    });
    }

    void report_arrives(std::size_t index,
                        const core::observation_report& report)
    {
        const auto verdict = this->owner.handle_report(
            fmt::format("entry-{}", index), report, this->now);
        if (!verdict)
        {
            return;
        }
        this->after(peer_delay,
                    [this, index, verdict = *verdict]
                    {
                        instance& at = *this->instances[index];
                        if (auto blocks =
                                at.log.apply_verdict(verdict, this->now))
                        {
                            at.table.set_blocks(this->place.service, *blocks,
                                                this->now);
                            this->update_out(index);
                        }
                    });
    }

    void tick_owner()
    {
        for (const core::detection_event& event : this->owner.tick(this->now))
        {
            if (this->shows_events)
            {
                fmt::print(
                    "t={:.2f}s event={} server={} reporter={} reason=\"{}\"\n",
                    std::chrono::duration<double>(this->now - start).count(),
                    static_cast<int>(event.kind), event.server, event.reporter,
                    event.reason);
            }
        }
        this->after(50ms,
                    [this]
                    {
                        this->tick_owner();
                    });
    }

    deployment place;
    scenario kind;
    variant chosen;
    bool shows_events;
    std::mt19937_64 random;
    core::document document;
    core::detector owner;
    std::vector<server> servers;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<std::uint64_t, request> requests;
    std::uint64_t last_request = 0;
    std::priority_queue<event> events;
    std::uint64_t last_order = 0;
    core::time_point now = start;
    figures result;
};

double percentile_99(std::vector<double> values)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto at =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

void print_row(const std::string& scenario_name,
               const variant& how,
               const figures& got,
               bool has_noisy)
{
    double worst_latency = 0.0;
    double worst_refusal = 0.0;
    std::size_t sent = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < got.accounts.size(); ++index)
    {
        const outcome_counts& account = got.accounts[index];
        if (has_noisy && index == noisy_account)
        {
            continue;
        }
        worst_latency =
            std::max(worst_latency, percentile_99(account.latencies));
        const auto lost = static_cast<double>(account.failed + account.refused);
        worst_refusal =
            std::max(worst_refusal,
                     lost / std::max(1.0, static_cast<double>(account.sent)));
        sent += account.sent;
        failed += account.failed;
        refused += account.refused;
    }
    const std::string detection =
        got.detection_seconds ? fmt::format("{:.2f}", *got.detection_seconds)
                              : "-";
    const double all = std::max(1.0, static_cast<double>(sent));
    fmt::print("| {} | {} | {} | {} | {} | {:.0f} | {:.2f} | {:.2f} | {:.2f} "
               "| {} |\n",
               scenario_name, how.name, detection, got.false_ejections,
               got.max_out_of_service, 1e3 * worst_latency, 1e2 * worst_refusal,
               1e2 * static_cast<double>(refused) / all,
               1e2 * static_cast<double>(failed) / all, got.retries);
    std::fflush(stdout);
}

const std::vector<std::pair<std::string, scenario>> scenarios{
    {"steady", scenario::steady},
    {"gray, fails", scenario::gray_fails},
    {"gray, 30x slow", scenario::gray_slow},
    {"flapping", scenario::flapping},
    {"path cut", scenario::path_cut},
    {"service slow", scenario::service_slow},
    {"service fails", scenario::service_fails},
    {"overload", scenario::overload}};

const std::vector<variant> variants{{"chosen"},
                                    {"round-robin", true},
                                    {"error-counting", false, true},
                                    {"fifo", false, false, true},
                                    {"all-baselines", true, true, true}};

const std::vector<deployment> deployments{
    {"luoi-xanh", "specbook", 25, 3, 40, 1.0, 2.0},
    {"reefwater", "logbook", 20, 2, 32, 2.0, 1.0}};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("measure",
                             "Measures routing, detection and admission");
    options.add_options()("seed", "seed of all randomness",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "policy",
        "chosen, round-robin, error-counting, fifo, all-baselines or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "scenario", "name of a scenario, or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "events", "also print the decisions of the home")("help", "usage");
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return 0;
    }
    const auto seed = parsed["seed"].as<std::uint64_t>();
    const auto policy = parsed["policy"].as<std::string>();
    const auto wanted = parsed["scenario"].as<std::string>();
    for (const deployment& at : deployments)
    {
        fmt::print("\n{}: {}, {} servers x {} slots, {} instances, seed {}\n\n",
                   at.name, at.service, at.servers, at.slots, at.instances,
                   seed);
        fmt::print("| scenario | policy | detection s | false ejections | most "
                   "out | worst p99 ms | worst lost % | refused % | failed % | "
                   "retries |\n|---|---|---|---|---|---|---|---|---|---|\n");
        for (const auto& [name, kind] : scenarios)
        {
            for (const variant& how : variants)
            {
                const bool runs = policy == "all" || how.name == policy ||
                                  how.name == "chosen";
                if (runs && (wanted == "all" || wanted == name))
                {
                    measurement run(at, kind, how, seed,
                                    parsed.count("events") != 0);
                    print_row(name, how, run.run(), kind == scenario::overload);
                }
            }
        }
    }
    return 0;
}
