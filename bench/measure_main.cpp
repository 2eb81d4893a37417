/// Compares routing, detection and admission with simple baselines. Simulates
/// several instances that run the decision logic in simulated time, servers
/// with slots and random service times, and messages with a fixed delay.
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
constexpr core::time_point warm_up_ends{105s};
constexpr core::time_point fault_start{110s};
constexpr core::time_point fault_end{130s};
constexpr core::time_point run_end{140s};
constexpr core::duration peer_delay = 1400us;
constexpr core::duration server_delay = 300us;
constexpr core::duration request_deadline = 2s;
constexpr core::duration mean_service_time = 25ms;
constexpr core::duration flap_period = 4s;
constexpr core::duration baseline_ejection_time = 30s;
constexpr int baseline_error_limit = 5;
constexpr double slow_factor = 30.0;
constexpr double service_slow_factor = 5.0;
constexpr double normal_load = 0.6;
constexpr double overload_load = 0.85;
constexpr double noisy_factor = 5.0;
constexpr std::size_t noisy_account = 3;
constexpr std::size_t bad_server = 5;
/// This instance is in the data centre of the bad server and therefore uses
/// that server most.
constexpr std::size_t cut_instance = 5;
/// Waiting requests that a server accepts per slot before it sheds load.
constexpr std::size_t server_queue_per_slot = 2;
constexpr std::size_t queue_capacity = 256;
const std::vector<double> account_weights{0.30, 0.20, 0.15, 0.10,
                                          0.10, 0.05, 0.05, 0.05};

/// Sizes and detection policy of a deployment.
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

/// Fault or load between fault_start and fault_end.
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

/// A policy: the product's decisions, or baselines in place of some of them.
struct variant
{
    std::string name;
    bool round_robin = false;    ///< in place of routing by load
    bool error_counting = false; ///< in place of the detector of the owner
    bool fifo = false;           ///< in place of the fair queue
};

/// Outcomes of the requests of one client account.
struct outcome_counts
{
    std::vector<double> latencies; ///< of the answered requests, in seconds
    std::size_t sent = 0;
    std::size_t failed = 0;  ///< after an attempt
    std::size_t refused = 0; ///< before any attempt
};

/// Results of one simulation.
struct results
{
    std::vector<outcome_counts> accounts;
    std::optional<double> detection_seconds;
    /// Pairs (instance, server) that were wrongly out of use, path cuts
    /// included.
    std::size_t false_ejections = 0;
    /// Most servers that were out of use at any instance at the same time.
    std::size_t max_out_of_service = 0;
    std::size_t retries = 0;
};

/// Baseline for the fair queue: first in, first out, with the same concurrency
/// limit and capacity.
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

/// Simulation of one deployment, scenario and policy.
class measurement
{
public:
    measurement(const deployment& simulated_deployment,
                scenario scenario_kind,
                const variant& simulated_policy,
                std::uint64_t seed,
                bool print_detection_events)
        : simulated(simulated_deployment), kind(scenario_kind),
          policy(simulated_policy), prints_events(print_detection_events),
          random(seed), owner(simulated_deployment.service, start - 1min),
          servers(simulated_deployment.servers)
    {
        this->result.accounts.resize(account_weights.size());
        this->build_document();
        this->owner.set_service(this->document.services[0], start);
        for (std::size_t index = 0; index < simulated_deployment.instances;
             ++index)
        {
            this->add_instance(index);
        }
    }

    results run()
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
        while (!this->events.empty() && this->events.top().at < run_end)
        {
            const event next_event = this->events.top();
            this->events.pop();
            this->now = next_event.at;
            next_event.action();
        }
        return this->result;
    }

private:
    struct event
    {
        core::time_point at;
        std::uint64_t sequence = 0;
        std::function<void()> action;

        bool operator<(const event& other) const
        {
            return std::tie(this->at, this->sequence) >
                   std::tie(other.at, other.sequence);
        }
    };

    /// A request between its arrival and its outcome.
    struct request
    {
        std::size_t account = 0;
        std::size_t instance = 0;
        core::time_point arrived_at;
        core::time_point deadline;
        std::uint32_t attempt = 0;
        std::vector<std::string> tried_servers;
        std::size_t server = 0;
        core::time_point sent;
        bool ended = false; ///< the current attempt has ended
    };

    /// Slots of a server, and the work that waits for one.
    struct server
    {
        std::size_t busy = 0;
        std::deque<std::function<void()>> waiting;
    };

    /// Decision logic and baselines of one instance.
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
        /// Baseline detector: consecutive errors by server, and its ejections.
        std::map<std::size_t, int> consecutive_errors;
        std::map<std::string, core::server_block> baseline_blocks;
        std::set<std::string> unused_servers; ///< that are not healthy here
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
        service.name = this->simulated.service;
        service.policy.detection_weight = this->simulated.detection_weight;
        service.policy.false_ejection_weight =
            this->simulated.false_ejection_weight;
        service.policy.healthy_floor = 0.7;
        for (std::size_t index = 0; index < this->simulated.servers; ++index)
        {
            core::backend_server server;
            server.name = server_name(index);
            server.data_centre = this->document.data_centres[index % 3].name;
            server.slots = this->simulated.slots;
            server.connections = 350;
            service.servers.push_back(server);
        }
        this->document.services.push_back(service);
    }

    void add_instance(std::size_t index)
    {
        auto added = std::make_unique<instance>(
            fmt::format("entry-{}", index),
            this->document.data_centres[index % 3].name);
        core::document document = this->document;
        if (this->policy.error_counting)
        {
            document.services[0].policy.healthy_floor = 0.0;
        }
        added->table.set_instance_count(this->simulated.instances);
        added->table.apply(document, start);
        const auto slots = static_cast<std::uint32_t>(this->simulated.servers) *
                           this->simulated.slots;
        added->fair.set_capacity(slots, this->simulated.instances);
        added->fifo.set_capacity(slots, this->simulated.instances);
        this->instances.push_back(std::move(added));
    }

    void schedule_after(core::duration delay, std::function<void()> action)
    {
        this->events.push(
            {this->now + delay, ++this->last_sequence, std::move(action)});
    }

    core::duration exponential(core::duration mean)
    {
        std::exponential_distribution<double> distribution(1.0);
        return core::duration(static_cast<core::duration::rep>(
            distribution(this->random) * static_cast<double>(mean.count())));
    }

    bool is_fault_active() const
    {
        return this->now >= fault_start && this->now < fault_end;
    }

    /// Whether this server has a fault now.
    bool is_bad(std::size_t server) const
    {
        if (server != bad_server || !this->is_fault_active())
        {
            return false;
        }
        const bool is_off_phase =
            (this->now - fault_start) / flap_period % 2 == 1;
        return this->kind == scenario::gray_fails ||
               this->kind == scenario::gray_slow ||
               (this->kind == scenario::flapping && !is_off_phase);
    }

    double account_rate(std::size_t account) const
    {
        const double capacity =
            static_cast<double>(this->simulated.servers) *
            this->simulated.slots /
            std::chrono::duration<double>(mean_service_time).count();
        const bool overload = this->kind == scenario::overload;
        const double load = overload ? overload_load : normal_load;
        const bool noisy =
            overload && account == noisy_account && this->is_fault_active();
        return capacity * load * account_weights[account] *
               (noisy ? noisy_factor : 1.0);
    }

    void schedule_arrival(std::size_t account)
    {
        const auto mean = core::duration(static_cast<core::duration::rep>(
            1e6 / this->account_rate(account)));
        this->schedule_after(this->exponential(mean),
                             [this, account]
                             {
                                 this->arrive(account);
                                 this->schedule_arrival(account);
                             });
    }

    void arrive(std::size_t account)
    {
        request arrived;
        arrived.account = account;
        arrived.instance = this->random() % this->instances.size();
        arrived.arrived_at = this->now;
        arrived.deadline = this->now + request_deadline;
        const std::uint64_t id = ++this->last_request;
        this->requests[id] = arrived;
        if (this->now >= warm_up_ends)
        {
            ++this->result.accounts[account].sent;
        }
        instance& entry = *this->instances[arrived.instance];
        if (this->policy.fifo)
        {
            if (!entry.fifo.push(id))
            {
                this->end_refused(id);
            }
        }
        else
        {
            const auto pushed = entry.fair.push(
                {id, std::to_string(account), core::route_priority::normal,
                 arrived.deadline, account_weights[account]},
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
        this->send_ready(arrived.instance);
    }

    void send_ready(std::size_t index)
    {
        instance& entry = *this->instances[index];
        if (this->policy.fifo)
        {
            for (const std::uint64_t id : entry.fifo.pop_ready())
            {
                this->send(id);
            }
            return;
        }
        const auto batch = entry.fair.pop_ready(this->now);
        for (const std::uint64_t id : batch.expired)
        {
            this->end_refused(id);
        }
        for (const std::uint64_t id : batch.ready)
        {
            this->send(id);
        }
    }

    std::optional<std::string> choose_server(instance& entry,
                                             const request& current)
    {
        if (!this->policy.round_robin)
        {
            const auto picked = entry.table.choose(this->simulated.service,
                                                   current.tried_servers,
                                                   this->random, this->now);
            return picked ? std::optional(picked->server.name) : std::nullopt;
        }
        for (std::size_t step = 0; step < this->simulated.servers; ++step)
        {
            entry.next_server =
                (entry.next_server + 1) % this->simulated.servers;
            const std::string name = server_name(entry.next_server);
            const bool was_tried =
                std::find(current.tried_servers.begin(),
                          current.tried_servers.end(),
                          name) != current.tried_servers.end();
            if (!was_tried && !entry.unused_servers.contains(name))
            {
                return name;
            }
        }
        return std::nullopt;
    }

    void send(std::uint64_t id)
    {
        request& current = this->requests[id];
        instance& entry = *this->instances[current.instance];
        const auto name = this->choose_server(entry, current);
        if (current.deadline <= this->now || !name)
        {
            this->release(entry, core::attempt_outcome::abandoned, 0us);
            current.attempt == 0 ? this->end_refused(id) : this->end_failed(id);
            return;
        }
        ++current.attempt;
        current.server = static_cast<std::size_t>(std::stoul(name->substr(1)));
        current.tried_servers.push_back(*name);
        current.sent = this->now;
        current.ended = false;
        if (current.attempt == 1)
        {
            entry.budget.add_first_attempt(this->now);
        }
        entry.table.attempt_started(this->simulated.service, *name);
        const std::uint32_t attempt = current.attempt;
        this->schedule_after(current.deadline - this->now,
                             [this, id, attempt]
                             {
                                 this->end_attempt(
                                     id, attempt, core::attempt_end::timed_out);
                             });
        const bool is_cut = this->kind == scenario::path_cut &&
                            current.instance == cut_instance &&
                            current.server == bad_server &&
                            this->is_fault_active();
        if (!is_cut)
        {
            const core::duration delay = this->link_delay(current);
            this->schedule_after(
                delay,
                [this, id, attempt, delay, server = current.server]
                {
                    this->run_at_server(id, attempt, delay, server);
                });
        }
    }

    core::duration link_delay(const request& current) const
    {
        const bool same_data_centre =
            current.instance % 3 == current.server % 3;
        return same_data_centre ? server_delay : server_delay + peer_delay;
    }

    void run_at_server(std::uint64_t id,
                       std::uint32_t attempt,
                       core::duration delay,
                       std::size_t server_index)
    {
        server& target = this->servers[server_index];
        const bool refuses =
            this->is_bad(server_index) && this->kind != scenario::gray_slow;
        const bool fails_by_service = this->kind == scenario::service_fails &&
                                      this->is_fault_active() &&
                                      this->random() % 2 == 0;
        const bool is_full = target.busy >= this->simulated.slots &&
                             target.waiting.size() >=
                                 server_queue_per_slot * this->simulated.slots;
        if (refuses || fails_by_service || is_full)
        {
            const auto end = refuses || fails_by_service
                                 ? core::attempt_end::not_sent
                                 : core::attempt_end::refused_not_run;
            this->schedule_after(delay,
                                 [this, id, attempt, end]
                                 {
                                     this->end_attempt(id, attempt, end);
                                 });
            return;
        }
        const auto work = [this, id, attempt, delay, server_index]
        {
            this->schedule_after(this->service_time(server_index),
                                 [this, id, attempt, delay, server_index]
                                 {
                                     this->schedule_after(
                                         delay,
                                         [this, id, attempt]
                                         {
                                             this->end_attempt(
                                                 id, attempt,
                                                 core::attempt_end::answered);
                                         });
                                     this->free_slot(server_index);
                                 });
        };
        if (target.busy >= this->simulated.slots)
        {
            target.waiting.emplace_back(work);
            return;
        }
        ++target.busy;
        work();
    }

    core::duration service_time(std::size_t server)
    {
        double factor = 1.0;
        if (this->is_bad(server) && this->kind == scenario::gray_slow)
        {
            factor = slow_factor;
        }
        if (this->kind == scenario::service_slow && this->is_fault_active())
        {
            factor = service_slow_factor;
        }
        return this->exponential(std::chrono::duration_cast<core::duration>(
            mean_service_time * factor));
    }

    void free_slot(std::size_t server)
    {
        auto& target = this->servers[server];
        if (target.waiting.empty())
        {
            --target.busy;
            return;
        }
        const auto work = target.waiting.front();
        target.waiting.pop_front();
        work();
    }

    core::attempt_outcome outcome_of(core::attempt_end end,
                                     const instance& entry,
                                     const request& current) const
    {
        switch (end)
        {
        case core::attempt_end::answered:
            return core::attempt_outcome::succeeded;
        case core::attempt_end::refused_not_run:
            return core::attempt_outcome::shed;
        case core::attempt_end::timed_out:
            return core::classify_timeout(
                this->now - current.sent,
                entry.table.typical_latency(this->simulated.service));
        default:
            return core::attempt_outcome::failed;
        }
    }

    void
    end_attempt(std::uint64_t id, std::uint32_t attempt, core::attempt_end end)
    {
        const auto request_entry = this->requests.find(id);
        if (request_entry == this->requests.end() ||
            request_entry->second.ended ||
            request_entry->second.attempt != attempt)
        {
            return;
        }
        request& current = request_entry->second;
        instance& entry = *this->instances[current.instance];
        const core::duration latency = this->now - current.sent;
        const core::attempt_outcome outcome = outcome_of(end, entry, current);
        const std::string name = server_name(current.server);
        current.ended = true;
        entry.table.attempt_finished(this->simulated.service, name, outcome,
                                     latency, this->now);
        entry.log.record_outcome(this->simulated.service, name, outcome,
                                 latency);
        this->count_errors(current.instance, current.server, outcome);
        if (end == core::attempt_end::answered)
        {
            this->end_served(id);
            this->release(entry, outcome, latency);
            return;
        }
        core::retry_context context;
        context.repeatable = true;
        context.end = end;
        context.attempt = current.attempt;
        context.deadline = current.deadline;
        context.typical_latency =
            entry.table.typical_latency(this->simulated.service);
        const std::size_t index = current.instance;
        if (core::decide_retry(context, entry.budget, this->now) ==
            core::retry_decision::retry)
        {
            ++this->result.retries;
            this->record_attempt(entry, outcome, latency);
            this->send(id);
            return;
        }
        this->end_failed(id);
        this->release(entry, outcome, latency);
        this->send_ready(index);
    }

    void record_attempt(instance& entry,
                        core::attempt_outcome outcome,
                        core::duration latency)
    {
        entry.fifo.attempt_ended(outcome, latency, this->now);
        entry.fair.attempt_ended(outcome, latency, this->now);
    }

    void release(instance& entry,
                 core::attempt_outcome outcome,
                 core::duration latency)
    {
        if (this->policy.fifo)
        {
            entry.fifo.attempt_ended(outcome, latency, this->now);
            entry.fifo.release();
            return;
        }
        entry.fair.completed(outcome, latency, this->now);
    }

    void end_served(std::uint64_t id)
    {
        const request& current = this->requests[id];
        const std::size_t index = current.instance;
        if (current.arrived_at >= warm_up_ends)
        {
            this->result.accounts[current.account].latencies.push_back(
                std::chrono::duration<double>(this->now - current.arrived_at)
                    .count());
        }
        this->requests.erase(id);
        this->schedule_after(0us,
                             [this, index]
                             {
                                 this->send_ready(index);
                             });
    }

    void end_failed(std::uint64_t id)
    {
        const request& current = this->requests[id];
        this->result.accounts[current.account].failed +=
            current.arrived_at >= warm_up_ends;
        this->requests.erase(id);
    }

    void end_refused(std::uint64_t id)
    {
        const request& current = this->requests[id];
        this->result.accounts[current.account].refused +=
            current.arrived_at >= warm_up_ends;
        this->requests.erase(id);
    }

    /// Baseline detector: ejects a server from this instance for a fixed time
    /// after several consecutive errors. Shed requests do not count as errors.
    void count_errors(std::size_t index,
                      std::size_t server,
                      core::attempt_outcome outcome)
    {
        instance& entry = *this->instances[index];
        if (!this->policy.error_counting ||
            outcome == core::attempt_outcome::shed)
        {
            return;
        }
        int& errors = entry.consecutive_errors[server];
        errors = outcome == core::attempt_outcome::succeeded ? 0 : errors + 1;
        if (errors < baseline_error_limit)
        {
            return;
        }
        errors = 0;
        const std::string name = server_name(server);
        entry.baseline_blocks[name] = {name,
                                       core::server_state::ejected,
                                       this->now + baseline_ejection_time,
                                       {}};
        std::vector<core::server_block> blocks;
        for (const auto& [blocked, block] : entry.baseline_blocks)
        {
            if (block.until > this->now)
            {
                blocks.push_back(block);
            }
        }
        entry.table.set_blocks(this->simulated.service, blocks, this->now);
        this->update_unused_servers(index);
    }

    /// Compares the servers that the instance does not use with the previous
    /// ones. Counts false ejections and determines the detection time.
    void update_unused_servers(std::size_t index)
    {
        instance& entry = *this->instances[index];
        std::set<std::string> unused_servers;
        for (const core::server_view& view : entry.table.view(this->now))
        {
            if (view.state != "healthy")
            {
                unused_servers.insert(view.server);
            }
            const bool is_rightful = view.server == server_name(bad_server) &&
                                     this->is_ejection_justified(index);
            if (view.state != "healthy" && !is_rightful &&
                !entry.unused_servers.contains(view.server))
            {
                ++this->result.false_ejections;
            }
        }
        entry.unused_servers = std::move(unused_servers);
        this->update_fleet_view();
    }

    /// Whether an ejection of the bad server by this instance is justified: the
    /// server has a fault that concerns the instance, or had one before.
    bool is_ejection_justified(std::size_t index) const
    {
        switch (this->kind)
        {
        case scenario::gray_fails:
        case scenario::gray_slow:
        case scenario::flapping:
            return this->now >= fault_start;
        case scenario::path_cut:
            return index == cut_instance && this->now >= fault_start;
        default:
            return false;
        }
    }

    void update_fleet_view()
    {
        std::set<std::string> unused_anywhere;
        std::size_t detected_count = 0;
        std::size_t affected_count = 0;
        for (std::size_t index = 0; index < this->instances.size(); ++index)
        {
            const instance& entry = *this->instances[index];
            unused_anywhere.insert(entry.unused_servers.begin(),
                                   entry.unused_servers.end());
            const bool is_affected = this->is_ejection_justified(index);
            affected_count += is_affected;
            detected_count += is_affected && entry.unused_servers.contains(
                                                 server_name(bad_server));
        }
        this->result.max_out_of_service =
            std::max(this->result.max_out_of_service, unused_anywhere.size());
        if (affected_count > 0 && this->is_fault_active() &&
            !this->result.detection_seconds &&
            10 * detected_count >= 9 * affected_count)
        {
            this->result.detection_seconds =
                std::chrono::duration<double>(this->now - fault_start).count();
        }
    }

    void tick_instance(std::size_t index)
    {
        instance& entry = *this->instances[index];
        if (!this->policy.error_counting)
        {
            for (const auto& report : entry.log.due_reports(this->now))
            {
                this->schedule_after(peer_delay,
                                     [this, index, report]
                                     {
                                         this->receive_report(index, report);
                                     });
            }
        }
        this->update_unused_servers(index);
        this->send_ready(index);
        const auto jitter = std::chrono::milliseconds(this->random() % 10);
        this->schedule_after(45ms + jitter,
                             [this, index]
                             {
                                 this->tick_instance(index);
                             });
    }

    void receive_report(std::size_t index,
                        const core::observation_report& report)
    {
        const auto verdict = this->owner.handle_report(
            fmt::format("entry-{}", index), report, this->now);
        if (!verdict)
        {
            return;
        }
        this->schedule_after(
            peer_delay,
            [this, index, verdict = *verdict]
            {
                instance& entry = *this->instances[index];
                if (auto blocks = entry.log.apply_verdict(verdict, this->now))
                {
                    entry.table.set_blocks(this->simulated.service, *blocks,
                                           this->now);
                    this->update_unused_servers(index);
                }
            });
    }

    void tick_owner()
    {
        for (const core::detection_event& event : this->owner.tick(this->now))
        {
            if (this->prints_events)
            {
                fmt::print(
                    "t={:.2f}s event={} server={} reporter={} reason=\"{}\"\n",
                    std::chrono::duration<double>(this->now - start).count(),
                    static_cast<int>(event.kind), event.server, event.reporter,
                    event.reason);
            }
        }
        this->schedule_after(50ms,
                             [this]
                             {
                                 this->tick_owner();
                             });
    }

    deployment simulated;
    scenario kind;
    variant policy;
    bool prints_events;
    std::mt19937_64 random;
    core::document document;
    core::detector owner;
    std::vector<server> servers;
    std::vector<std::unique_ptr<instance>> instances;
    std::map<std::uint64_t, request> requests;
    std::uint64_t last_request = 0;
    std::priority_queue<event> events;
    std::uint64_t last_sequence = 0;
    core::time_point now = start;
    results result;
};

double percentile_99(std::vector<double> values)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto position =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() * 99 / 100);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

void print_row(const std::string& scenario_name,
               const variant& variant,
               const results& results,
               bool has_noisy_account)
{
    double worst_latency = 0.0;
    double worst_refusal = 0.0;
    std::size_t sent = 0;
    std::size_t failed = 0;
    std::size_t refused = 0;
    for (std::size_t index = 0; index < results.accounts.size(); ++index)
    {
        const outcome_counts& account = results.accounts[index];
        if (has_noisy_account && index == noisy_account)
        {
            continue;
        }
        worst_latency =
            std::max(worst_latency, percentile_99(account.latencies));
        const auto unserved =
            static_cast<double>(account.failed + account.refused);
        worst_refusal = std::max(
            worst_refusal,
            unserved / std::max(1.0, static_cast<double>(account.sent)));
        sent += account.sent;
        failed += account.failed;
        refused += account.refused;
    }
    const std::string detection =
        results.detection_seconds
            ? fmt::format("{:.2f}", *results.detection_seconds)
            : "-";
    const double total_sent = std::max(1.0, static_cast<double>(sent));
    fmt::print("| {} | {} | {} | {} | {} | {:.0f} | {:.2f} | {:.2f} | {:.2f} "
               "| {} |\n",
               scenario_name, variant.name, detection, results.false_ejections,
               results.max_out_of_service, 1e3 * worst_latency,
               1e2 * worst_refusal,
               1e2 * static_cast<double>(refused) / total_sent,
               1e2 * static_cast<double>(failed) / total_sent, results.retries);
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
                             "Compares routing, detection and admission with "
                             "baselines");
    options.add_options()("seed", "Seed of the random numbers",
                          cxxopts::value<std::uint64_t>()->default_value("1"))(
        "policy",
        "Policy to simulate besides chosen: round-robin, error-counting, fifo, "
        "all-baselines or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "scenario", "Scenario to simulate, or all",
        cxxopts::value<std::string>()->default_value("all"))(
        "events", "Also print the owner's decisions")("help", "usage");
    const auto parsed_options = options.parse(argc, argv);
    if (parsed_options.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return 0;
    }
    const auto seed = parsed_options["seed"].as<std::uint64_t>();
    const auto policy = parsed_options["policy"].as<std::string>();
    const auto requested_scenario =
        parsed_options["scenario"].as<std::string>();
    for (const deployment& deployment : deployments)
    {
        fmt::print("\n{}: {}, {} servers x {} slots, {} instances, seed {}\n\n",
                   deployment.name, deployment.service, deployment.servers,
                   deployment.slots, deployment.instances, seed);
        fmt::print("| scenario | policy | detection s | false ejections | most "
                   "out | worst p99 ms | worst lost % | refused % | failed % | "
                   "retries |\n|---|---|---|---|---|---|---|---|---|---|\n");
        for (const auto& [name, kind] : scenarios)
        {
            for (const variant& variant : variants)
            {
                const bool is_selected = policy == "all" ||
                                         variant.name == policy ||
                                         variant.name == "chosen";
                if (is_selected &&
                    (requested_scenario == "all" || requested_scenario == name))
                {
                    measurement simulation(deployment, kind, variant, seed,
                                           parsed_options.count("events") != 0);
                    print_row(name, variant, simulation.run(),
                              kind == scenario::overload);
                }
            }
        }
    }
    return 0;
}
