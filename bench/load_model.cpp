#include <algorithm>
#include <bench/load_model.hpp>
#include <cmath>
#include <deque>
#include <functional>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/request_flow.hpp>
#include <memory>
#include <queue>
#include <random>

namespace medlarbarrow::bench
{

namespace
{

using core::duration;
using core::time_point;
using std::chrono::milliseconds;

/// How often an owner checks its waiting and its overdue requests.
constexpr milliseconds tick_period{50};
/// An instance calls the next owner after owner_timeout without an answer, and
/// does not call the silent one during silent_owner_period.
constexpr milliseconds owner_timeout{120};
constexpr milliseconds silent_owner_period{5000};
/// Time after which a failing server answers with an error.
constexpr milliseconds failure_latency{5};
/// How often a caller retries a refused request at most.
constexpr std::uint32_t max_caller_retries = 3;
/// The usual owner of a service, and the one called when that is silent.
constexpr std::size_t owners_per_service = 2;
/// Servers of a service that each instance uses with
/// placement_mode::server_subset.
constexpr std::size_t subset_size = 4;

/// Event queue: calls functions in the order of their times, and those with
/// equal times in the order in which they were scheduled.
class timeline
{
public:
    time_point now() const
    {
        return this->current_time;
    }

    void schedule_at(time_point time, std::function<void()> action)
    {
        this->events.push({std::max(time, this->current_time),
                           this->event_count++, std::move(action)});
    }

    void schedule_after(duration delay, std::function<void()> action)
    {
        this->schedule_at(this->current_time + delay, std::move(action));
    }

    void run_until(time_point limit)
    {
        while (!this->events.empty() && this->events.top().time <= limit)
        {
            // top() returns a const reference, from which nothing can be moved.
            event next_event =
                std::move(const_cast<event&>(this->events.top()));
            this->events.pop();
            this->current_time = next_event.time;
            next_event.action();
        }
    }

private:
    struct event
    {
        time_point time;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator>(const event& other) const
        {
            return std::tie(this->time, this->sequence) >
                   std::tie(other.time, other.sequence);
        }
    };

    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t event_count = 0;
    // Not zero, because several decisions take a zero time for "never".
    time_point current_time{std::chrono::hours(1)};
};

/// One execution of a request at a server.
struct job
{
    bool cancelled = false;
    std::function<void()> on_accepted; ///< called when it runs or is queued
    std::function<void(core::send_result)> on_ended;
    duration service_time{};
    bool hangs = false;
    bool fails = false;
    time_point started{};
};

/// A server with slots and a queue of jobs.
struct model_server
{
    std::string name;
    std::uint32_t data_centre = 0;
    std::vector<std::shared_ptr<job>> running;
    std::deque<std::shared_ptr<job>> waiting;
};

/// An instance that places requests of a service.
struct model_owner
{
    std::uint32_t instance = 0;
    std::unique_ptr<core::placement> placement;
    std::map<core::grant_id, std::function<void(const core::place_answer&)>>
        pending_answers; ///< callbacks of requests without an answer
    bool ticking = false;
};

struct model_service
{
    const service_kind* kind = nullptr;
    std::size_t first_report = 0; ///< index of the report of its first kind
    std::string name;
    std::vector<model_server> servers;
    std::vector<core::announced_server> announced_servers;
    std::vector<model_owner> owners;
};

struct model_request
{
    const work_kind* kind = nullptr;
    std::size_t report = 0;
    std::uint32_t service = 0;
    std::uint32_t instance = 0;
    std::uint64_t number = 0;
    time_point arrived_at{}; ///< time of the caller's first try
    std::optional<core::request_flow> flow;
    struct attempt
    {
        std::optional<core::grant_id> grant;
        std::size_t owner = 0;
        std::shared_ptr<job> sent_job;
        time_point sent_at{};
        std::size_t server = 0;
        std::optional<core::send_result> result;
    };
    std::vector<attempt> attempts;
    std::uint64_t tries = 0; ///< of the caller
    std::uint32_t caller_retries = 0;
    std::uint32_t executions = 0; ///< accepted sends
};

using request_ptr = std::shared_ptr<model_request>;

/// The simulation of one experiment.
class load_model
{
public:
    explicit load_model(const experiment& initial)
        : parameters(initial), random(initial.seed)
    {
        this->report.seconds.resize(
            static_cast<std::size_t>((initial.length.count() + 999) / 1000));
        this->start = this->clock.now();
        for (const service_kind& kind : initial.services)
        {
            const std::size_t first = this->report.kinds.size();
            for (const work_kind& work : kind.work)
            {
                this->report.kinds.emplace_back().name =
                    kind.name + "/" + work.name;
            }
            for (std::uint32_t copy = 0; copy < kind.copies; ++copy)
            {
                this->add_service(kind, copy, first);
            }
        }
        this->silent_until.resize(this->services.size());
    }

    load_report run()
    {
        this->schedule_arrival();
        const duration tail = std::chrono::seconds(120);
        this->clock.run_until(this->start + this->parameters.length + tail);
        for (kind_report& kind : this->report.kinds)
        {
            std::sort(kind.latencies_ms.begin(), kind.latencies_ms.end());
        }
        return std::move(this->report);
    }

private:
    void add_service(const service_kind& kind,
                     std::uint32_t copy,
                     std::size_t first_report);
    std::size_t owner_count() const;
    void schedule_arrival();
    double current_rate() const;
    bool is_affected(const fault& fault,
                     std::uint32_t service,
                     std::size_t server,
                     time_point time) const;
    const fault* active_fault(std::uint32_t service,
                              std::size_t server,
                              fault_kind kind) const;
    bool has_stopped_since(std::uint32_t service,
                           std::size_t server,
                           time_point since) const;
    bool is_owner_silent() const;
    duration link_delay(std::uint32_t from, std::uint32_t to) const;
    std::uint32_t data_centre_of(std::uint32_t instance) const;

    template <class Item>
    std::size_t pick_by_share(const std::vector<Item>& items);
    std::uint32_t pick_service();
    void arrive();
    void start_try(const request_ptr& request);
    void run_actions(const request_ptr& request);
    void place(const request_ptr& request, const core::action_place& action);
    void call_owner(const request_ptr& request,
                    const core::place_request& call,
                    std::size_t number,
                    std::size_t owner);
    void deliver_deferred_answers(model_service& service, std::size_t owner);
    void schedule_tick(std::uint32_t service, std::size_t owner);
    void send(const request_ptr& request, const core::action_send& action);
    void finish_send(const request_ptr& request,
                     std::size_t number,
                     core::send_result end);
    void cancel(const request_ptr& request, std::size_t number);
    void cancel_all(const request_ptr& request);
    void report_to_owner(const request_ptr& request,
                         std::size_t number,
                         core::send_outcome outcome);
    void receive_job(std::uint32_t service,
                     std::size_t server,
                     const std::shared_ptr<job>& job);
    void start_job(std::uint32_t service,
                   std::size_t server,
                   const std::shared_ptr<job>& job);
    void
    remove_job(std::uint32_t service, std::size_t server, const job* finished);
    void deliver_answer(const request_ptr& request, std::size_t number);
    void handle_refusal(const request_ptr& request,
                        const core::action_refuse& action);
    void record_outcome(const request_ptr& request,
                        std::uint64_t second_report::*field);

    const experiment& parameters;
    std::mt19937_64 random;
    timeline clock;
    time_point start;
    std::vector<model_service> services;
    /// By service: until this time, instances call the second owner directly.
    std::vector<time_point> silent_until;
    std::uint64_t last_number = 0;
    load_report report;
};

std::size_t load_model::owner_count() const
{
    return this->parameters.placement == placement_mode::owner
               ? owners_per_service
               : this->parameters.instances;
}

std::uint32_t load_model::data_centre_of(std::uint32_t instance) const
{
    return instance % this->parameters.data_centres;
}

duration load_model::link_delay(std::uint32_t from, std::uint32_t to) const
{
    return from == to ? this->parameters.near_link_delay
                      : this->parameters.far_link_delay;
}

void load_model::add_service(const service_kind& kind,
                             std::uint32_t copy,
                             std::size_t first_report)
{
    model_service service;
    service.kind = &kind;
    service.first_report = first_report;
    service.name = kind.name + "-" + std::to_string(copy);
    for (std::uint32_t count = 0; count < kind.servers; ++count)
    {
        model_server server;
        server.name = service.name + "-" + std::to_string(count);
        server.data_centre = (copy + count) % this->parameters.data_centres;
        core::announced_server announced;
        announced.service = service.name;
        announced.started = 1;
        announced.server.name = server.name;
        announced.server.data_centre = std::to_string(server.data_centre);
        announced.server.slots = kind.slots;
        service.announced_servers.push_back(announced);
        service.servers.push_back(std::move(server));
    }
    const std::size_t count = this->owner_count();
    for (std::size_t owner = 0; owner < count; ++owner)
    {
        model_owner new_owner;
        new_owner.instance = static_cast<std::uint32_t>(
            this->parameters.placement == placement_mode::owner
                ? core::hash_text(service.name, owner) %
                      this->parameters.instances
                : owner);
        new_owner.placement = std::make_unique<core::placement>(
            core::retry_limits{}, this->random());
        std::vector<const core::announced_server*> usable;
        for (std::size_t server = 0; server < service.announced_servers.size();
             ++server)
        {
            const std::size_t first = owner * kind.servers / count;
            const std::size_t distance =
                (server + kind.servers - first) % kind.servers;
            const bool is_usable =
                this->parameters.placement != placement_mode::server_subset ||
                distance < subset_size;
            if (is_usable)
            {
                usable.push_back(&service.announced_servers[server]);
            }
        }
        new_owner.placement->set_servers(usable, this->clock.now());
        service.owners.push_back(std::move(new_owner));
    }
    this->services.push_back(std::move(service));
}

double load_model::current_rate() const
{
    const duration elapsed = this->clock.now() - this->start;
    const duration length = this->parameters.length;
    const bool is_middle_third =
        elapsed >= length / 3 && elapsed < 2 * length / 3;
    return this->parameters.requests_per_second *
           (is_middle_third ? this->parameters.peak_factor : 1.0);
}

void load_model::schedule_arrival()
{
    std::exponential_distribution<double> arrival_interval(
        this->current_rate());
    const std::chrono::duration<double> delay(arrival_interval(this->random));
    this->clock.schedule_after(std::chrono::duration_cast<duration>(delay),
                               [this]
                               {
                                   if (this->clock.now() <
                                       this->start + this->parameters.length)
                                   {
                                       this->arrive();
                                       this->schedule_arrival();
                                   }
                               });
}

// Whether the fault affects this server at that time.
bool load_model::is_affected(const fault& fault,
                             std::uint32_t service,
                             std::size_t server,
                             time_point time) const
{
    const duration elapsed = time - this->start;
    if (elapsed < fault.begin || elapsed >= fault.end)
    {
        return false;
    }
    const std::size_t server_count = this->services[service].servers.size();
    const auto affected_count = static_cast<std::size_t>(
        std::ceil(fault.server_fraction * static_cast<double>(server_count)));
    const std::size_t moves_done =
        fault.move_interval.count() == 0
            ? 0
            : static_cast<std::size_t>((elapsed - fault.begin) /
                                       fault.move_interval);
    return (server + server_count -
            moves_done * affected_count % server_count) %
               server_count <
           affected_count;
}

const fault* load_model::active_fault(std::uint32_t service,
                                      std::size_t server,
                                      fault_kind kind) const
{
    for (const fault& fault : this->parameters.faults)
    {
        if (fault.kind == kind &&
            this->is_affected(fault, service, server, this->clock.now()))
        {
            return &fault;
        }
    }
    return nullptr;
}

// Whether the server has stopped since then and lost the jobs that ran on it.
bool load_model::has_stopped_since(std::uint32_t service,
                                   std::size_t server,
                                   time_point since) const
{
    return std::any_of(
        this->parameters.faults.begin(), this->parameters.faults.end(),
        [&](const fault& fault)
        {
            return fault.kind == fault_kind::stop &&
                   !this->is_affected(fault, service, server, since) &&
                   (this->is_affected(fault, service, server,
                                      this->clock.now()) ||
                    (this->start + fault.begin > since &&
                     this->start + fault.end <= this->clock.now()));
        });
}

bool load_model::is_owner_silent() const
{
    const duration elapsed = this->clock.now() - this->start;
    return std::any_of(this->parameters.faults.begin(),
                       this->parameters.faults.end(),
                       [elapsed](const fault& fault)
                       {
                           return fault.kind == fault_kind::owner &&
                                  elapsed >= fault.begin && elapsed < fault.end;
                       });
}

// Picks the index of a random item with the probability given by its share.
template <class Item>
std::size_t load_model::pick_by_share(const std::vector<Item>& items)
{
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    double remaining = uniform(this->random);
    std::size_t index = 0;
    while (index + 1 < items.size() && remaining >= items[index].share)
    {
        remaining -= items[index].share;
        ++index;
    }
    return index;
}

std::uint32_t load_model::pick_service()
{
    const std::size_t kind = this->pick_by_share(this->parameters.services);
    std::uint32_t first = 0;
    for (std::size_t index = 0; index < kind; ++index)
    {
        first += this->parameters.services[index].copies;
    }
    return first + static_cast<std::uint32_t>(
                       this->random() % this->parameters.services[kind].copies);
}

void load_model::arrive()
{
    const auto request = std::make_shared<model_request>();
    request->service = this->pick_service();
    const model_service& service = this->services[request->service];
    const std::size_t work = this->pick_by_share(service.kind->work);
    request->kind = &service.kind->work[work];
    request->report = service.first_report + work;
    request->instance =
        static_cast<std::uint32_t>(this->random() % this->parameters.instances);
    request->number = ++this->last_number;
    request->arrived_at = this->clock.now();
    ++this->report.kinds[request->report].requests;
    this->start_try(request);
}

// Starts a try of the caller: its first one, or a retry after a refusal.
void load_model::start_try(const request_ptr& request)
{
    core::flow_terms terms;
    terms.repeatable = request->kind->repeatable;
    terms.objective_at = request->arrived_at + request->kind->objective;
    terms.deadline = request->arrived_at + request->kind->deadline;
    request->attempts.clear();
    ++request->tries;
    request->flow.emplace(terms);
    this->run_actions(request);
}

void load_model::run_actions(const request_ptr& request)
{
    while (request->flow && !request->flow->is_over())
    {
        const core::flow_action action = request->flow->next(this->clock.now());
        if (const auto* place = std::get_if<core::action_place>(&action))
        {
            this->place(request, *place);
        }
        else if (const auto* send = std::get_if<core::action_send>(&action))
        {
            this->send(request, *send);
        }
        else if (const auto* cancel = std::get_if<core::action_cancel>(&action))
        {
            this->cancel(request, cancel->number);
        }
        else if (const auto* answer = std::get_if<core::action_answer>(&action))
        {
            this->deliver_answer(request, answer->number);
        }
        else if (const auto* refuse = std::get_if<core::action_refuse>(&action))
        {
            this->handle_refusal(request, *refuse);
            return;
        }
        else if (const auto* wait = std::get_if<core::action_wait>(&action))
        {
            this->clock.schedule_at(wait->until,
                                    [this, request, tries = request->tries]
                                    {
                                        if (request->tries == tries)
                                        {
                                            this->run_actions(request);
                                        }
                                    });
            return;
        }
    }
}

void load_model::place(const request_ptr& request,
                       const core::action_place& action)
{
    const time_point now = this->clock.now();
    request->attempts.resize(
        std::max(request->attempts.size(), action.number + 1));
    model_request::attempt& attempt = request->attempts[action.number];
    core::place_request call;
    call.grant = {request->instance + 1U, ++this->last_number};
    call.data_centre = std::to_string(this->data_centre_of(request->instance));
    call.work_kind = static_cast<std::uint32_t>(request->report + 1);
    call.repeatable = request->kind->repeatable;
    call.rank = request->kind->rank;
    call.repeat = action.repeat;
    call.time_to_objective = std::max<duration>(
        request->arrived_at + request->kind->objective - now, duration(0));
    call.time_to_deadline = std::max<duration>(
        request->arrived_at + request->kind->deadline - now, duration(0));
    call.excluded_servers = action.excluded_servers;
    call.content_digest = request->number;
    attempt.grant = call.grant;
    this->report.repeated_sends += action.repeat ? 1 : 0;
    std::size_t owner = request->instance;
    if (this->parameters.placement == placement_mode::owner)
    {
        owner = this->silent_until[request->service] > now ? 1 : 0;
    }
    this->call_owner(request, call, action.number, owner);
}

// Sends the call to the owner and delivers its answer. If the owner is silent,
// the second one is called after owner_timeout.
void load_model::call_owner(const request_ptr& request,
                            const core::place_request& call,
                            std::size_t number,
                            std::size_t owner)
{
    request->attempts[number].owner = owner;
    model_service& service = this->services[request->service];
    const std::uint32_t owner_instance = service.owners[owner].instance;
    const bool is_local = owner_instance == request->instance;
    const duration delay =
        is_local ? duration(0)
                 : this->link_delay(this->data_centre_of(request->instance),
                                    this->data_centre_of(owner_instance));
    this->report.owner_messages += is_local ? 0 : 2;
    if (owner == 0 && this->parameters.placement == placement_mode::owner &&
        this->is_owner_silent())
    {
        this->clock.schedule_after(
            owner_timeout,
            [this, request, call, number, tries = request->tries]
            {
                this->silent_until[request->service] =
                    this->clock.now() + silent_owner_period;
                if (request->tries == tries && request->flow)
                {
                    this->call_owner(request, call, number, 1);
                }
            });
        return;
    }
    const auto on_answer = [this, request, number, tries = request->tries,
                            delay](const core::place_answer& answer)
    {
        this->clock.schedule_after(
            delay,
            [this, request, number, tries, answer]
            {
                if (request->tries == tries && request->flow)
                {
                    request->flow->on_placed(number, answer, this->clock.now());
                    this->run_actions(request);
                }
            });
    };
    this->clock.schedule_after(
        delay,
        [this, request, call, owner, on_answer]
        {
            model_owner& owner_state =
                this->services[request->service].owners[owner];
            const core::place_answer answer =
                owner_state.placement->request(call, this->clock.now());
            if (std::holds_alternative<core::queued>(answer))
            {
                owner_state.pending_answers[call.grant] = on_answer;
            }
            on_answer(answer);
            this->schedule_tick(request->service, owner);
        });
}

void load_model::deliver_deferred_answers(model_service& service,
                                          std::size_t owner)
{
    model_owner& owner_state = service.owners[owner];
    for (const core::deferred_answer& deferred :
         owner_state.placement->tick(this->clock.now()))
    {
        const auto pending = owner_state.pending_answers.find(deferred.grant);
        if (pending != owner_state.pending_answers.end())
        {
            const auto on_answer = std::move(pending->second);
            owner_state.pending_answers.erase(pending);
            on_answer(deferred.answer);
        }
    }
}

// Calls tick() at intervals as long as requests wait or run.
void load_model::schedule_tick(std::uint32_t service, std::size_t owner)
{
    model_owner& owner_state = this->services[service].owners[owner];
    if (owner_state.ticking || (owner_state.placement->waiting() == 0 &&
                                owner_state.placement->running() == 0))
    {
        return;
    }
    owner_state.ticking = true;
    this->clock.schedule_after(
        tick_period,
        [this, service, owner]
        {
            this->services[service].owners[owner].ticking = false;
            this->deliver_deferred_answers(this->services[service], owner);
            this->schedule_tick(service, owner);
        });
}

void load_model::report_to_owner(const request_ptr& request,
                                 std::size_t number,
                                 core::send_outcome outcome)
{
    model_request::attempt& attempt = request->attempts[number];
    if (!attempt.grant)
    {
        return;
    }
    const duration latency = this->clock.now() - attempt.sent_at;
    const std::uint32_t owner_instance =
        this->services[request->service].owners[attempt.owner].instance;
    const bool is_local = owner_instance == request->instance;
    const duration delay =
        is_local ? duration(0)
                 : this->link_delay(this->data_centre_of(request->instance),
                                    this->data_centre_of(owner_instance));
    this->report.owner_messages += is_local ? 0 : 1;
    this->clock.schedule_after(
        delay,
        [this, service = request->service, owner = attempt.owner,
         grant = *attempt.grant, outcome, latency]
        {
            model_owner& owner_state = this->services[service].owners[owner];
            owner_state.pending_answers.erase(grant);
            if (outcome == core::send_outcome::cancelled)
            {
                owner_state.placement->cancel(grant, this->clock.now());
            }
            else
            {
                owner_state.placement->on_send_ended(grant, outcome, latency,
                                                     this->clock.now());
            }
            this->deliver_deferred_answers(this->services[service], owner);
        });
    attempt.grant.reset();
}

void load_model::send(const request_ptr& request,
                      const core::action_send& action)
{
    model_request::attempt& attempt = request->attempts[action.number];
    const model_service& service = this->services[request->service];
    while (service.servers[attempt.server].name != action.server)
    {
        ++attempt.server;
    }
    attempt.sent_at = this->clock.now();
    ++this->report.sends;
    const duration delay =
        this->link_delay(this->data_centre_of(request->instance),
                         service.servers[attempt.server].data_centre);
    std::lognormal_distribution<double> duration_factor(
        0.0, request->kind->duration_deviation);
    const auto new_job = std::make_shared<job>();
    new_job->service_time = std::chrono::duration_cast<duration>(
        request->kind->median_duration * duration_factor(this->random));
    new_job->on_accepted = [this, request]
    {
        ++request->executions;
        ++this->report.accepted_sends;
    };
    new_job->on_ended =
        [this, request, delay, number = action.number, tries = request->tries,
         weak_job = std::weak_ptr<job>(new_job)](core::send_result result)
    {
        this->clock.schedule_after(
            delay,
            [this, request, number, tries, weak_job, result]
            {
                const auto live_job = weak_job.lock();
                if (request->tries == tries && live_job && !live_job->cancelled)
                {
                    this->finish_send(request, number, result);
                }
            });
    };
    attempt.sent_job = new_job;
    this->clock.schedule_after(delay,
                               [this, request, server = attempt.server, new_job]
                               {
                                   if (!new_job->cancelled)
                                   {
                                       this->receive_job(request->service,
                                                         server, new_job);
                                   }
                               });
}

void load_model::receive_job(std::uint32_t service,
                             std::size_t server,
                             const std::shared_ptr<job>& job)
{
    model_server& server_state = this->services[service].servers[server];
    if (this->active_fault(service, server, fault_kind::stop) != nullptr)
    {
        job->on_ended(core::send_result::not_sent);
        return;
    }
    std::uniform_real_distribution<double> uniform(0.0, 1.0);
    if (const fault* hang =
            this->active_fault(service, server, fault_kind::hang))
    {
        job->hangs = uniform(this->random) < hang->request_fraction;
    }
    if (const fault* fail =
            this->active_fault(service, server, fault_kind::fail))
    {
        job->fails = uniform(this->random) < fail->request_fraction;
    }
    if (const fault* slow =
            this->active_fault(service, server, fault_kind::slow))
    {
        job->service_time = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(job->service_time) *
            (uniform(this->random) < slow->request_fraction ? slow->slowdown
                                                            : 1.0));
    }
    const service_kind& kind = *this->services[service].kind;
    if (server_state.running.size() >= kind.slots &&
        server_state.waiting.size() >= kind.queue)
    {
        job->on_ended(core::send_result::not_run);
        return;
    }
    job->on_accepted();
    this->report.max_at_one_server = std::max<std::uint64_t>(
        this->report.max_at_one_server,
        server_state.running.size() + server_state.waiting.size() + 1);
    if (server_state.running.size() < kind.slots)
    {
        this->start_job(service, server, job);
    }
    else
    {
        server_state.waiting.push_back(job);
    }
}

void load_model::start_job(std::uint32_t service,
                           std::size_t server,
                           const std::shared_ptr<job>& job)
{
    this->services[service].servers[server].running.push_back(job);
    job->started = this->clock.now();
    if (job->hangs)
    {
        return;
    }
    this->clock.schedule_after(
        job->fails ? duration(failure_latency) : job->service_time,
        [this, service, server, job]
        {
            if (job->cancelled)
            {
                return;
            }
            core::send_result result = core::send_result::answered;
            if (job->fails)
            {
                result = core::send_result::failed;
            }
            if (this->has_stopped_since(service, server, job->started))
            {
                result = core::send_result::lost;
            }
            job->on_ended(result);
            this->remove_job(service, server, job.get());
        });
}

void load_model::remove_job(std::uint32_t service,
                            std::size_t server,
                            const job* finished)
{
    model_server& server_state = this->services[service].servers[server];
    const auto is_finished = [finished](const std::shared_ptr<job>& job)
    {
        return job.get() == finished;
    };
    std::erase_if(server_state.waiting, is_finished);
    std::erase_if(server_state.running, is_finished);
    while (server_state.running.size() < this->services[service].kind->slots &&
           !server_state.waiting.empty())
    {
        const std::shared_ptr<job> next_job = server_state.waiting.front();
        server_state.waiting.pop_front();
        this->start_job(service, server, next_job);
    }
}

void load_model::finish_send(const request_ptr& request,
                             std::size_t number,
                             core::send_result result)
{
    core::send_outcome outcome = core::send_outcome::succeeded;
    switch (result)
    {
    case core::send_result::answered:
        break;
    case core::send_result::failed:
        outcome = core::send_outcome::failed;
        break;
    case core::send_result::not_run:
        outcome = core::send_outcome::shed;
        break;
    case core::send_result::not_sent:
        outcome = core::send_outcome::unreachable;
        break;
    case core::send_result::lost:
        outcome = core::send_outcome::connection_lost;
        break;
    }
    this->report_to_owner(request, number, outcome);
    request->attempts[number].sent_job.reset();
    request->attempts[number].result = result;
    request->flow->on_send_ended(number, result, this->clock.now());
    this->run_actions(request);
}

void load_model::cancel(const request_ptr& request, std::size_t number)
{
    model_request::attempt& attempt = request->attempts[number];
    if (attempt.sent_job)
    {
        const std::shared_ptr<job> job = std::move(attempt.sent_job);
        job->cancelled = true;
        this->clock.schedule_after(
            this->parameters.near_link_delay,
            [this, service = request->service, server = attempt.server, job]
            {
                this->remove_job(service, server, job.get());
            });
    }
    this->report_to_owner(request, number, core::send_outcome::cancelled);
}

void load_model::cancel_all(const request_ptr& request)
{
    for (std::size_t number = 0; number < request->attempts.size(); ++number)
    {
        this->cancel(request, number);
    }
}

// Delivers the server's answer, which may be an error, to the caller.
void load_model::deliver_answer(const request_ptr& request, std::size_t number)
{
    if (request->attempts[number].result != core::send_result::answered)
    {
        this->record_outcome(request, &second_report::failed);
        return;
    }
    const duration latency = this->clock.now() - request->arrived_at;
    this->report.kinds[request->report].latencies_ms.push_back(
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(latency).count()));
    this->record_outcome(request, latency <= request->kind->objective
                                      ? &second_report::in_objective
                                      : &second_report::late);
}

// Refuses the request. The caller retries at the time that the refusal names if
// the request cannot have run, its deadline allows it and it has retries left.
void load_model::handle_refusal(const request_ptr& request,
                                const core::action_refuse& action)
{
    this->cancel_all(request);
    const time_point deadline = request->arrived_at + request->kind->deadline;
    const time_point retry_at =
        this->clock.now() + this->link_delay(0, 0) + action.retry_after;
    if (!action.outcome_unknown && action.retry_after > duration(0) &&
        retry_at < deadline && request->caller_retries < max_caller_retries)
    {
        ++request->caller_retries;
        ++this->report.caller_retries;
        request->flow.reset();
        this->clock.schedule_at(retry_at,
                                [this, request]
                                {
                                    this->start_try(request);
                                });
        return;
    }
    this->record_outcome(request, action.outcome_unknown
                                      ? &second_report::failed
                                      : &second_report::refused);
}

void load_model::record_outcome(const request_ptr& request,
                                std::uint64_t second_report::*field)
{
    this->cancel_all(request);
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(request->arrived_at -
                                                         this->start)
            .count());
    second_report& second_outcomes = this->report.seconds[second];
    ++second_outcomes.requests;
    ++(second_outcomes.*field);
    kind_report& kind = this->report.kinds[request->report];
    kind.in_objective += field == &second_report::in_objective ? 1 : 0;
    kind.late += field == &second_report::late ? 1 : 0;
    kind.refused += field == &second_report::refused ? 1 : 0;
    kind.failed += field == &second_report::failed ? 1 : 0;
    if (!request->kind->repeatable && request->executions > 1)
    {
        ++this->report.ran_twice;
    }
}

} // namespace

load_report run_load(const experiment& experiment)
{
    load_model model(experiment);
    return model.run();
}

} // namespace medlarbarrow::bench
