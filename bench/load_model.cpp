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

/// How often a placing instance looks at what waits and what is overdue.
constexpr milliseconds tick_period{50};
/// An instance asks the next owner after this long without an answer, and keeps
/// away from the silent one for the longer time.
constexpr milliseconds owner_timeout{120};
constexpr milliseconds silence_kept{5000};
/// An error of a failing server takes this long.
constexpr milliseconds failing_time{5};
/// A caller comes back at most this often.
constexpr std::uint32_t most_returns = 3;
/// The usual owner of a service and the one asked when it is silent.
constexpr std::size_t owners_per_service = 2;
/// Servers of a service that an instance uses when each has a share.
constexpr std::size_t share_servers = 4;

/// Calls functions in the order of their times; equal times in the order in
/// which they were added.
class timeline
{
public:
    time_point now() const
    {
        return this->current;
    }

    void at(time_point when, std::function<void()> run)
    {
        this->events.push(
            {std::max(when, this->current), this->added++, std::move(run)});
    }

    void after(duration delay, std::function<void()> run)
    {
        this->at(this->current + delay, std::move(run));
    }

    void run_until(time_point end)
    {
        while (!this->events.empty() && this->events.top().when <= end)
        {
            // The queue gives its elements out as constants only.
            event next = std::move(const_cast<event&>(this->events.top()));
            this->events.pop();
            this->current = next.when;
            next.run();
        }
    }

private:
    struct event
    {
        time_point when;
        std::uint64_t order;
        std::function<void()> run;

        bool operator>(const event& other) const
        {
            return std::tie(this->when, this->order) >
                   std::tie(other.when, other.order);
        }
    };

    std::priority_queue<event, std::vector<event>, std::greater<>> events;
    std::uint64_t added = 0;
    // Not zero: several decisions take that for "never".
    time_point current{std::chrono::hours(1)};
};

/// One execution at a server.
struct job
{
    bool cancelled = false;
    std::function<void()> taken; ///< runs or waits at the server
    std::function<void(core::send_result)> ended;
    duration takes{};
    bool hangs = false;
    bool fails = false;
    time_point started{};
};

/// A server with slots and a queue.
struct model_server
{
    std::string name;
    std::uint32_t data_centre = 0;
    std::vector<std::shared_ptr<job>> running;
    std::deque<std::shared_ptr<job>> waiting;
};

/// One placing instance of a service.
struct model_owner
{
    std::uint32_t instance = 0;
    std::unique_ptr<core::placement> decisions;
    std::map<core::grant_id, std::function<void(const core::place_answer&)>>
        waiting;
    bool ticking = false;
};

struct model_service
{
    const service_kind* kind = nullptr;
    std::size_t first_report = 0; ///< of its kinds of work
    std::string name;
    std::vector<model_server> servers;
    std::vector<core::announced_server> announced;
    std::vector<model_owner> owners;
};

struct model_request
{
    const work_kind* kind = nullptr;
    std::size_t report = 0;
    std::uint32_t service = 0;
    std::uint32_t instance = 0;
    std::uint64_t number = 0;
    time_point began{}; ///< of the caller's first try
    std::optional<core::request_flow> flow;
    struct attempt
    {
        std::optional<core::grant_id> grant;
        std::size_t owner = 0;
        std::shared_ptr<job> sent;
        time_point sent_at{};
        std::size_t server = 0;
        std::optional<core::send_result> end;
    };
    std::vector<attempt> attempts;
    std::uint64_t serial = 0; ///< tries of the caller
    std::uint32_t returns = 0;
    std::uint32_t executions = 0; ///< servers that took it
};

using request_ptr = std::shared_ptr<model_request>;

class load_model
{
public:
    explicit load_model(const experiment& given)
        : chosen(given), random(given.seed)
    {
        this->made.seconds.resize(
            static_cast<std::size_t>((given.length.count() + 999) / 1000));
        this->start = this->clock.now();
        for (const service_kind& kind : given.services)
        {
            const std::size_t first = this->made.kinds.size();
            for (const work_kind& work : kind.work)
            {
                this->made.kinds.emplace_back().name =
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
        this->plan_arrival();
        const duration tail = std::chrono::seconds(120);
        this->clock.run_until(this->start + this->chosen.length + tail);
        for (kind_report& kind : this->made.kinds)
        {
            std::sort(kind.milliseconds.begin(), kind.milliseconds.end());
        }
        return std::move(this->made);
    }

private:
    void add_service(const service_kind& kind,
                     std::uint32_t copy,
                     std::size_t first_report);
    std::size_t owner_count() const;
    void plan_arrival();
    double rate_now() const;
    bool concerns(const trouble& item,
                  std::uint32_t service,
                  std::size_t server,
                  time_point at) const;
    const trouble* trouble_at(std::uint32_t service,
                              std::size_t server,
                              trouble_kind kind) const;
    bool has_stopped(std::uint32_t service,
                     std::size_t server,
                     time_point since) const;
    bool is_owner_silent() const;
    duration link(std::uint32_t from, std::uint32_t to) const;
    std::uint32_t centre_of(std::uint32_t instance) const;

    template <class Item>
    std::size_t any_by_share(const std::vector<Item>& items);
    std::uint32_t any_service();
    void arrive();
    void begin(const request_ptr& request);
    void follow(const request_ptr& request);
    void place(const request_ptr& request, const core::action_place& action);
    void ask_owner(const request_ptr& request,
                   const core::place_request& asked,
                   std::size_t number,
                   std::size_t owner);
    void answer_waiting(model_service& service, std::size_t owner);
    void keep_ticking(std::uint32_t service, std::size_t owner);
    void send(const request_ptr& request, const core::action_send& action);
    void on_sent(const request_ptr& request,
                 std::size_t number,
                 core::send_result end);
    void cancel(const request_ptr& request, std::size_t number);
    void cancel_all(const request_ptr& request);
    void tell_owner(const request_ptr& request,
                    std::size_t number,
                    core::send_outcome outcome);
    void receive(std::uint32_t service,
                 std::size_t server,
                 const std::shared_ptr<job>& item);
    void start_job(std::uint32_t service,
                   std::size_t server,
                   const std::shared_ptr<job>& item);
    void leave(std::uint32_t service, std::size_t server, const job* finished);
    void answer(const request_ptr& request, std::size_t number);
    void refuse(const request_ptr& request, const core::action_refuse& action);
    void conclude(const request_ptr& request,
                  std::uint64_t second_report::*field);

    const experiment& chosen;
    std::mt19937_64 random;
    timeline clock;
    time_point start;
    std::vector<model_service> services;
    /// By service: instances keep away from the first owner until then.
    std::vector<time_point> silent_until;
    std::uint64_t numbers = 0;
    load_report made;
};

std::size_t load_model::owner_count() const
{
    return this->chosen.decided_by == placing::owner ? owners_per_service
                                                     : this->chosen.instances;
}

std::uint32_t load_model::centre_of(std::uint32_t instance) const
{
    return instance % this->chosen.data_centres;
}

duration load_model::link(std::uint32_t from, std::uint32_t to) const
{
    return from == to ? this->chosen.near_link : this->chosen.far_link;
}

void load_model::add_service(const service_kind& kind,
                             std::uint32_t copy,
                             std::size_t first_report)
{
    model_service made_service;
    made_service.kind = &kind;
    made_service.first_report = first_report;
    made_service.name = kind.name + "-" + std::to_string(copy);
    for (std::uint32_t count = 0; count < kind.servers; ++count)
    {
        model_server server;
        server.name = made_service.name + "-" + std::to_string(count);
        server.data_centre = (copy + count) % this->chosen.data_centres;
        core::announced_server known;
        known.service = made_service.name;
        known.started = 1;
        known.server.name = server.name;
        known.server.data_centre = std::to_string(server.data_centre);
        known.server.slots = kind.slots;
        made_service.announced.push_back(known);
        made_service.servers.push_back(std::move(server));
    }
    const std::size_t count = this->owner_count();
    for (std::size_t owner = 0; owner < count; ++owner)
    {
        model_owner added;
        added.instance = static_cast<std::uint32_t>(
            this->chosen.decided_by == placing::owner
                ? core::hash_text(made_service.name, owner) %
                      this->chosen.instances
                : owner);
        added.decisions = std::make_unique<core::placement>(
            core::retry_limits{}, this->random());
        std::vector<const core::announced_server*> usable;
        for (std::size_t server = 0; server < made_service.announced.size();
             ++server)
        {
            const std::size_t first = owner * kind.servers / count;
            const std::size_t from_first =
                (server + kind.servers - first) % kind.servers;
            const bool mine = this->chosen.decided_by != placing::share ||
                              from_first < share_servers;
            if (mine)
            {
                usable.push_back(&made_service.announced[server]);
            }
        }
        added.decisions->set_servers(usable, this->clock.now());
        made_service.owners.push_back(std::move(added));
    }
    this->services.push_back(std::move(made_service));
}

double load_model::rate_now() const
{
    const duration passed = this->clock.now() - this->start;
    const duration length = this->chosen.length;
    const bool middle = passed >= length / 3 && passed < 2 * length / 3;
    return this->chosen.requests_per_second *
           (middle ? this->chosen.peak : 1.0);
}

void load_model::plan_arrival()
{
    std::exponential_distribution<double> gap(this->rate_now());
    const std::chrono::duration<double> wait(gap(this->random));
    this->clock.after(std::chrono::duration_cast<duration>(wait),
                      [this]
                      {
                          if (this->clock.now() <
                              this->start + this->chosen.length)
                          {
                              this->arrive();
                              this->plan_arrival();
                          }
                      });
}

// Whether the trouble is at this server at that time.
bool load_model::concerns(const trouble& item,
                          std::uint32_t service,
                          std::size_t server,
                          time_point at) const
{
    const duration passed = at - this->start;
    if (passed < item.from || passed >= item.until)
    {
        return false;
    }
    const std::size_t all = this->services[service].servers.size();
    const auto hit = static_cast<std::size_t>(
        std::ceil(item.servers * static_cast<double>(all)));
    const std::size_t moves =
        item.moves.count() == 0
            ? 0
            : static_cast<std::size_t>((passed - item.from) / item.moves);
    return (server + all - moves * hit % all) % all < hit;
}

const trouble* load_model::trouble_at(std::uint32_t service,
                                      std::size_t server,
                                      trouble_kind kind) const
{
    for (const trouble& item : this->chosen.troubles)
    {
        if (item.kind == kind &&
            this->concerns(item, service, server, this->clock.now()))
        {
            return &item;
        }
    }
    return nullptr;
}

// Whether the server has stopped since then, and lost what it ran.
bool load_model::has_stopped(std::uint32_t service,
                             std::size_t server,
                             time_point since) const
{
    return std::any_of(
        this->chosen.troubles.begin(), this->chosen.troubles.end(),
        [&](const trouble& item)
        {
            return item.kind == trouble_kind::stop &&
                   !this->concerns(item, service, server, since) &&
                   (this->concerns(item, service, server, this->clock.now()) ||
                    (this->start + item.from > since &&
                     this->start + item.until <= this->clock.now()));
        });
}

bool load_model::is_owner_silent() const
{
    const duration passed = this->clock.now() - this->start;
    return std::any_of(this->chosen.troubles.begin(),
                       this->chosen.troubles.end(),
                       [passed](const trouble& item)
                       {
                           return item.kind == trouble_kind::owner &&
                                  passed >= item.from && passed < item.until;
                       });
}

// The index of one of them, each as often as its share says.
template <class Item>
std::size_t load_model::any_by_share(const std::vector<Item>& items)
{
    std::uniform_real_distribution<double> any(0.0, 1.0);
    double left = any(this->random);
    std::size_t index = 0;
    while (index + 1 < items.size() && left >= items[index].share)
    {
        left -= items[index].share;
        ++index;
    }
    return index;
}

std::uint32_t load_model::any_service()
{
    const std::size_t kind = this->any_by_share(this->chosen.services);
    std::uint32_t first = 0;
    for (std::size_t index = 0; index < kind; ++index)
    {
        first += this->chosen.services[index].copies;
    }
    return first + static_cast<std::uint32_t>(
                       this->random() % this->chosen.services[kind].copies);
}

void load_model::arrive()
{
    const auto request = std::make_shared<model_request>();
    request->service = this->any_service();
    const model_service& service = this->services[request->service];
    const std::size_t work = this->any_by_share(service.kind->work);
    request->kind = &service.kind->work[work];
    request->report = service.first_report + work;
    request->instance =
        static_cast<std::uint32_t>(this->random() % this->chosen.instances);
    request->number = ++this->numbers;
    request->began = this->clock.now();
    ++this->made.kinds[request->report].requests;
    this->begin(request);
}

// One try of the caller; several when it was told to come back.
void load_model::begin(const request_ptr& request)
{
    core::flow_terms terms;
    terms.repeatable = request->kind->repeatable;
    terms.objective_at = request->began + request->kind->objective;
    terms.deadline = request->began + request->kind->deadline;
    request->attempts.clear();
    ++request->serial;
    request->flow.emplace(terms);
    this->follow(request);
}

void load_model::follow(const request_ptr& request)
{
    while (request->flow && !request->flow->is_over())
    {
        const core::flow_action action = request->flow->next(this->clock.now());
        if (const auto* asked = std::get_if<core::action_place>(&action))
        {
            this->place(request, *asked);
        }
        else if (const auto* begun = std::get_if<core::action_send>(&action))
        {
            this->send(request, *begun);
        }
        else if (const auto* ended = std::get_if<core::action_cancel>(&action))
        {
            this->cancel(request, ended->number);
        }
        else if (const auto* got = std::get_if<core::action_answer>(&action))
        {
            this->answer(request, got->number);
        }
        else if (const auto* no = std::get_if<core::action_refuse>(&action))
        {
            this->refuse(request, *no);
            return;
        }
        else if (const auto* wait = std::get_if<core::action_wait>(&action))
        {
            this->clock.at(wait->until,
                           [this, request, serial = request->serial]
                           {
                               if (request->serial == serial)
                               {
                                   this->follow(request);
                               }
                           });
            return;
        }
    }
}

void load_model::place(const request_ptr& request,
                       const core::action_place& action)
{
    const time_point at = this->clock.now();
    request->attempts.resize(
        std::max(request->attempts.size(), action.number + 1));
    model_request::attempt& item = request->attempts[action.number];
    core::place_request asked;
    asked.grant = {request->instance + 1U, ++this->numbers};
    asked.data_centre = std::to_string(this->centre_of(request->instance));
    asked.work_kind = static_cast<std::uint32_t>(request->report + 1);
    asked.repeatable = request->kind->repeatable;
    asked.rank = request->kind->rank;
    asked.repeat = action.repeat;
    asked.time_to_objective = std::max<duration>(
        request->began + request->kind->objective - at, duration(0));
    asked.time_to_deadline = std::max<duration>(
        request->began + request->kind->deadline - at, duration(0));
    asked.excluded_servers = action.excluded_servers;
    asked.content_digest = request->number;
    item.grant = asked.grant;
    this->made.second_sends += action.repeat ? 1 : 0;
    std::size_t owner = request->instance;
    if (this->chosen.decided_by == placing::owner)
    {
        owner = this->silent_until[request->service] > at ? 1 : 0;
    }
    this->ask_owner(request, asked, action.number, owner);
}

// Brings the call to the owner and its answer back. A silent owner costs the
// caller's patience; the second is asked then.
void load_model::ask_owner(const request_ptr& request,
                           const core::place_request& asked,
                           std::size_t number,
                           std::size_t owner)
{
    request->attempts[number].owner = owner;
    model_service& service = this->services[request->service];
    const std::uint32_t there = service.owners[owner].instance;
    const bool itself = there == request->instance;
    const duration way = itself ? duration(0)
                                : this->link(this->centre_of(request->instance),
                                             this->centre_of(there));
    this->made.owner_messages += itself ? 0 : 2;
    if (owner == 0 && this->chosen.decided_by == placing::owner &&
        this->is_owner_silent())
    {
        this->clock.after(
            owner_timeout,
            [this, request, asked, number, serial = request->serial]
            {
                this->silent_until[request->service] =
                    this->clock.now() + silence_kept;
                if (request->serial == serial && request->flow)
                {
                    this->ask_owner(request, asked, number, 1);
                }
            });
        return;
    }
    const auto on_answer = [this, request, number, serial = request->serial,
                            way](const core::place_answer& answer)
    {
        this->clock.after(way,
                          [this, request, number, serial, answer]
                          {
                              if (request->serial == serial && request->flow)
                              {
                                  request->flow->on_placed(number, answer,
                                                           this->clock.now());
                                  this->follow(request);
                              }
                          });
    };
    this->clock.after(way,
                      [this, request, asked, owner, on_answer]
                      {
                          model_owner& at =
                              this->services[request->service].owners[owner];
                          const core::place_answer answer =
                              at.decisions->request(asked, this->clock.now());
                          if (std::holds_alternative<core::queued>(answer))
                          {
                              at.waiting[asked.grant] = on_answer;
                          }
                          on_answer(answer);
                          this->keep_ticking(request->service, owner);
                      });
}

void load_model::answer_waiting(model_service& service, std::size_t owner)
{
    model_owner& at = service.owners[owner];
    for (const core::deferred_answer& late :
         at.decisions->tick(this->clock.now()))
    {
        const auto found = at.waiting.find(late.grant);
        if (found != at.waiting.end())
        {
            const auto answer = std::move(found->second);
            at.waiting.erase(found);
            answer(late.answer);
        }
    }
}

// Ticks while there is something to look at.
void load_model::keep_ticking(std::uint32_t service, std::size_t owner)
{
    model_owner& at = this->services[service].owners[owner];
    if (at.ticking ||
        (at.decisions->waiting() == 0 && at.decisions->running() == 0))
    {
        return;
    }
    at.ticking = true;
    this->clock.after(tick_period,
                      [this, service, owner]
                      {
                          this->services[service].owners[owner].ticking = false;
                          this->answer_waiting(this->services[service], owner);
                          this->keep_ticking(service, owner);
                      });
}

void load_model::tell_owner(const request_ptr& request,
                            std::size_t number,
                            core::send_outcome outcome)
{
    model_request::attempt& item = request->attempts[number];
    if (!item.grant)
    {
        return;
    }
    const duration took = this->clock.now() - item.sent_at;
    const std::uint32_t there =
        this->services[request->service].owners[item.owner].instance;
    const bool itself = there == request->instance;
    const duration way = itself ? duration(0)
                                : this->link(this->centre_of(request->instance),
                                             this->centre_of(there));
    this->made.owner_messages += itself ? 0 : 1;
    this->clock.after(way,
                      [this, service = request->service, owner = item.owner,
                       grant = *item.grant, outcome, took]
                      {
                          model_owner& at =
                              this->services[service].owners[owner];
                          at.waiting.erase(grant);
                          if (outcome == core::send_outcome::cancelled)
                          {
                              at.decisions->cancel(grant, this->clock.now());
                          }
                          else
                          {
                              at.decisions->on_send_ended(grant, outcome, took,
                                                          this->clock.now());
                          }
                          this->answer_waiting(this->services[service], owner);
                      });
    item.grant.reset();
}

void load_model::send(const request_ptr& request,
                      const core::action_send& action)
{
    model_request::attempt& item = request->attempts[action.number];
    const model_service& service = this->services[request->service];
    while (service.servers[item.server].name != action.server)
    {
        ++item.server;
    }
    item.sent_at = this->clock.now();
    ++this->made.sends;
    const duration way = this->link(this->centre_of(request->instance),
                                    service.servers[item.server].data_centre);
    std::lognormal_distribution<double> varied(0.0, request->kind->spread);
    const auto placed = std::make_shared<job>();
    placed->takes = std::chrono::duration_cast<duration>(request->kind->median *
                                                         varied(this->random));
    placed->taken = [this, request]
    {
        ++request->executions;
        ++this->made.taken;
    };
    placed->ended = [this, request, way, number = action.number,
                     serial = request->serial,
                     sent = std::weak_ptr<job>(placed)](core::send_result end)
    {
        this->clock.after(way,
                          [this, request, number, serial, sent, end]
                          {
                              const auto own = sent.lock();
                              if (request->serial == serial && own &&
                                  !own->cancelled)
                              {
                                  this->on_sent(request, number, end);
                              }
                          });
    };
    item.sent = placed;
    this->clock.after(way,
                      [this, request, server = item.server, placed]
                      {
                          if (!placed->cancelled)
                          {
                              this->receive(request->service, server, placed);
                          }
                      });
}

void load_model::receive(std::uint32_t service,
                         std::size_t server,
                         const std::shared_ptr<job>& item)
{
    model_server& at = this->services[service].servers[server];
    if (this->trouble_at(service, server, trouble_kind::stop) != nullptr)
    {
        item->ended(core::send_result::not_sent);
        return;
    }
    std::uniform_real_distribution<double> any(0.0, 1.0);
    if (const trouble* hang =
            this->trouble_at(service, server, trouble_kind::hang))
    {
        item->hangs = any(this->random) < hang->share;
    }
    if (const trouble* fail =
            this->trouble_at(service, server, trouble_kind::fail))
    {
        item->fails = any(this->random) < fail->share;
    }
    if (const trouble* slow =
            this->trouble_at(service, server, trouble_kind::slow))
    {
        item->takes = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(item->takes) *
            (any(this->random) < slow->share ? slow->factor : 1.0));
    }
    const service_kind& kind = *this->services[service].kind;
    if (at.running.size() >= kind.slots && at.waiting.size() >= kind.queue)
    {
        item->ended(core::send_result::not_run);
        return;
    }
    item->taken();
    this->made.most_running = std::max<std::uint64_t>(
        this->made.most_running, at.running.size() + at.waiting.size() + 1);
    if (at.running.size() < kind.slots)
    {
        this->start_job(service, server, item);
    }
    else
    {
        at.waiting.push_back(item);
    }
}

void load_model::start_job(std::uint32_t service,
                           std::size_t server,
                           const std::shared_ptr<job>& item)
{
    this->services[service].servers[server].running.push_back(item);
    item->started = this->clock.now();
    if (item->hangs)
    {
        return;
    }
    this->clock.after(item->fails ? duration(failing_time) : item->takes,
                      [this, service, server, item]
                      {
                          if (item->cancelled)
                          {
                              return;
                          }
                          core::send_result end = core::send_result::answered;
                          if (item->fails)
                          {
                              end = core::send_result::failed;
                          }
                          if (this->has_stopped(service, server, item->started))
                          {
                              end = core::send_result::lost;
                          }
                          item->ended(end);
                          this->leave(service, server, item.get());
                      });
}

void load_model::leave(std::uint32_t service,
                       std::size_t server,
                       const job* finished)
{
    model_server& at = this->services[service].servers[server];
    const auto is_it = [finished](const std::shared_ptr<job>& item)
    {
        return item.get() == finished;
    };
    std::erase_if(at.waiting, is_it);
    std::erase_if(at.running, is_it);
    while (at.running.size() < this->services[service].kind->slots &&
           !at.waiting.empty())
    {
        const std::shared_ptr<job> next = at.waiting.front();
        at.waiting.pop_front();
        this->start_job(service, server, next);
    }
}

void load_model::on_sent(const request_ptr& request,
                         std::size_t number,
                         core::send_result end)
{
    core::send_outcome outcome = core::send_outcome::succeeded;
    switch (end)
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
    this->tell_owner(request, number, outcome);
    request->attempts[number].sent.reset();
    request->attempts[number].end = end;
    request->flow->on_send_ended(number, end, this->clock.now());
    this->follow(request);
}

void load_model::cancel(const request_ptr& request, std::size_t number)
{
    model_request::attempt& item = request->attempts[number];
    if (item.sent)
    {
        const std::shared_ptr<job> sent = std::move(item.sent);
        sent->cancelled = true;
        this->clock.after(
            this->chosen.near_link,
            [this, service = request->service, server = item.server, sent]
            {
                this->leave(service, server, sent.get());
            });
    }
    this->tell_owner(request, number, core::send_outcome::cancelled);
}

void load_model::cancel_all(const request_ptr& request)
{
    for (std::size_t number = 0; number < request->attempts.size(); ++number)
    {
        this->cancel(request, number);
    }
}

// Brings the server's answer, which may be an error, to the caller.
void load_model::answer(const request_ptr& request, std::size_t number)
{
    if (request->attempts[number].end != core::send_result::answered)
    {
        this->conclude(request, &second_report::failed);
        return;
    }
    const duration took = this->clock.now() - request->began;
    this->made.kinds[request->report].milliseconds.push_back(
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(took).count()));
    this->conclude(request, took <= request->kind->objective
                                ? &second_report::in_objective
                                : &second_report::late);
}

// A caller that has time comes back when it was told to.
void load_model::refuse(const request_ptr& request,
                        const core::action_refuse& action)
{
    this->cancel_all(request);
    const time_point ends = request->began + request->kind->deadline;
    const time_point back =
        this->clock.now() + this->link(0, 0) + action.retry_after;
    if (!action.outcome_unknown && action.retry_after > duration(0) &&
        back < ends && request->returns < most_returns)
    {
        ++request->returns;
        ++this->made.returns;
        request->flow.reset();
        this->clock.at(back,
                       [this, request]
                       {
                           this->begin(request);
                       });
        return;
    }
    this->conclude(request, action.outcome_unknown ? &second_report::failed
                                                   : &second_report::refused);
}

void load_model::conclude(const request_ptr& request,
                          std::uint64_t second_report::*field)
{
    this->cancel_all(request);
    const auto second = static_cast<std::size_t>(
        std::chrono::duration_cast<std::chrono::seconds>(request->began -
                                                         this->start)
            .count());
    second_report& row = this->made.seconds[second];
    ++row.requests;
    ++(row.*field);
    kind_report& kind = this->made.kinds[request->report];
    kind.in_objective += field == &second_report::in_objective ? 1 : 0;
    kind.late += field == &second_report::late ? 1 : 0;
    kind.refused += field == &second_report::refused ? 1 : 0;
    kind.failed += field == &second_report::failed ? 1 : 0;
    if (!request->kind->repeatable && request->executions > 1)
    {
        ++this->made.ran_twice;
    }
}

} // namespace

load_report run_load(const experiment& chosen)
{
    load_model model(chosen);
    return model.run();
}

} // namespace medlarbarrow::bench
