#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/node_state.hpp>
#include <medlarbarrow/core/overloaded.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Nonces of a later run exceed those of every earlier run.
constexpr unsigned incarnation_shift = 20;

/// Blocked requests are announced to all instances this often, and at most
/// this many at once.
constexpr duration announcement_period = std::chrono::seconds(2);
constexpr std::size_t announced_blocks = 16;

constexpr duration capacity_update_period = std::chrono::milliseconds(500);

std::shared_ptr<const account_limits> limits_of(const document& source)
{
    auto limits = std::make_shared<account_limits>();
    for (const client_account& account : source.accounts)
    {
        (*limits)[account.name] = {account.rate_per_second, account.burst};
    }
    return limits;
}

} // namespace

node::state::state(node_settings initial, time_point started)
    : settings(std::move(initial)), owners(settings.self, started),
      tokens(settings.self),
      blocks(settings.self.incarnation << incarnation_shift),
      observations(settings.self.incarnation << incarnation_shift),
      servers(settings.self.name, settings.data_centre, settings.region),
      random(settings.random_seed),
      last_nonce(settings.self.incarnation << incarnation_shift)
{
}

// Messages to this instance itself take no link.
void node::state::deliver_local(outbox& out, instant now)
{
    for (;;)
    {
        const auto local =
            std::find_if(out.begin(), out.end(),
                         [this](const outgoing& item)
                         {
                             return item.to == this->settings.self.name;
                         });
        if (local == out.end())
        {
            return;
        }
        const message incoming = std::move(local->message);
        out.erase(local);
        this->receive(this->settings.self, incoming, now, out);
    }
}

void node::state::receive(const instance_id& from,
                          const message& incoming,
                          instant now,
                          outbox& out)
{
    const auto add = [&out](outbox&& more)
    {
        std::move(more.begin(), more.end(), std::back_inserter(out));
    };
    std::visit(
        overloaded{
            [&](const delegation_request& item)
            {
                add(this->owners.receive(from, item, now.monotonic));
            },
            [&](const delegation& item)
            {
                this->owners.receive(from, item, now.monotonic);
            },
            [&](const delegation_release& item)
            {
                this->owners.receive(from, item, now.monotonic);
            },
            [&](const token_request& item)
            {
                add(this->limits.receive(from, item, this->owners,
                                         now.monotonic));
            },
            [&](const token_grant& item)
            {
                this->tokens.receive(item, now.monotonic);
            },
            [&](const order_claim& item)
            {
                out.push_back({from.name, this->orders.claim(
                                              from, item, this->owners, now)});
            },
            [&](const order_verdict& item)
            {
                for (auto& [id, request] : this->requests)
                {
                    if (request.claim.nonce == item.nonce &&
                        request.claim.identity == item.identity &&
                        request.phase == request_phase::claim)
                    {
                        request.claim.verdict = item;
                    }
                }
            },
            [&](const order_result& item)
            {
                this->orders.finish(from, item);
            },
            [&](const order_handover& item)
            {
                this->orders.adopt(from, item, now);
            },
            [&](const observation_report& item)
            {
                const auto found = this->detectors.find(item.service);
                if (found == this->detectors.end())
                {
                    return;
                }
                const auto verdict =
                    found->second->receive(from.name, item, now.monotonic);
                if (verdict)
                {
                    out.push_back({from.name, *verdict});
                }
            },
            [&](const service_verdict& item)
            {
                auto blocked = this->observations.receive(item, now.monotonic);
                if (blocked)
                {
                    this->servers.set_blocks(item.service, std::move(*blocked),
                                             now.monotonic);
                }
            },
            [&](const crash_report& item)
            {
                add(this->crashes.receive(from, item, this->owners,
                                          now.monotonic));
            },
            [&](const crash_verdict& item)
            {
                const auto permitted =
                    this->blocks.receive(item, now.monotonic);
                for (auto& [id, request] : this->requests)
                {
                    if (permitted && request.content == item.request)
                    {
                        request.crash_permitted = permitted;
                    }
                }
            },
            // Membership and configuration stay with the control thread.
            [](const hello&) {}, [](const document_pull&) {},
            [](const document_part&) {}, [](const list_copy&) {}},
        incoming);
}

// A detector lives as long as this instance has the majority of its service's
// bucket.
void node::state::update_detectors(time_point now)
{
    for (const service& item : this->in_force->services)
    {
        const auto since =
            this->owners.majority_since(bucket_of(item.name), now);
        const auto found = this->detectors.find(item.name);
        if (!since)
        {
            if (found != this->detectors.end())
            {
                this->detectors.erase(found);
            }
            continue;
        }
        if (found == this->detectors.end())
        {
            auto made = std::make_unique<detector>(item.name, *since);
            made->set_service(item, now);
            this->detectors.emplace(item.name, std::move(made));
            continue;
        }
        std::vector<detection_event> decided = found->second->tick(now);
        std::move(decided.begin(), decided.end(),
                  std::back_inserter(this->events));
    }
}

void node::state::update_capacities(time_point now)
{
    if (now < this->next_capacity_update)
    {
        return;
    }
    this->next_capacity_update = now + capacity_update_period;
    const std::size_t instances = std::max<std::size_t>(this->live.size(), 1);
    for (const service& item : this->in_force->services)
    {
        const std::uint32_t slots = this->servers.usable_slots(item.name, now);
        this->queue_of(item.name).set_capacity(slots, instances);
    }
}

// Blocks of crashing requests reach instances that have not met the request.
void node::state::announce_blocks(time_point now, outbox& out)
{
    if (now < this->next_announcement)
    {
        return;
    }
    this->next_announcement = now + announcement_period;
    for (const crash_verdict& verdict :
         this->crashes.blocked(announced_blocks, now))
    {
        for (const std::string& peer : this->live)
        {
            out.push_back({peer, verdict});
        }
    }
}

result<node> node::create(node_settings settings, time_point started)
{
    if (settings.self.name.empty() || settings.data_centre.empty())
    {
        return make_error_code(result_code::settings_invalid);
    }
    return node(std::make_unique<state>(std::move(settings), started));
}

node::node(std::unique_ptr<state> initial) : self(std::move(initial)) {}

node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

std::error_code node::apply_document(std::shared_ptr<const document> next,
                                     instant now)
{
    state& current = *this->self;
    if (current.in_force && next->version <= current.in_force->version)
    {
        return make_error_code(result_code::document_older);
    }
    current.in_force = std::move(next);
    const document& source = *current.in_force;
    current.routes.emplace(current.in_force);
    current.accounts.emplace(current.in_force);
    current.owners.set_max_instances(source.fleet.max_instances);
    const auto limits = limits_of(source);
    current.limits.set_limits(limits);
    current.tokens.set_limits(limits);
    current.orders.set_policy(source.fleet);
    current.servers.apply(source, now.monotonic);
    for (const service& item : source.services)
    {
        current.budgets[item.name].set_fraction(source.fleet.retry_fraction);
        const auto found = current.detectors.find(item.name);
        if (found != current.detectors.end())
        {
            found->second->set_service(item, now.monotonic);
        }
    }
    current.next_capacity_update = {};
    current.update_capacities(now.monotonic);
    return {};
}

std::error_code node::apply_list(const instance_list& next, instant now)
{
    state& current = *this->self;
    if (next.version <= current.list_version)
    {
        return make_error_code(result_code::list_older);
    }
    if (next.instances.empty())
    {
        return make_error_code(result_code::list_empty);
    }
    current.list_version = next.version;
    current.live.clear();
    for (const listed_instance& item : next.instances)
    {
        if (!item.leaving)
        {
            current.live.push_back(item.name);
        }
    }
    current.owners.set_members(current.live, now.monotonic);
    current.servers.set_instances(current.live.size());
    return {};
}

result<outbox>
node::receive(const instance_id& from, const message& incoming, instant now)
{
    state& current = *this->self;
    std::uint64_t& newest = current.incarnations[from.name];
    if (from.incarnation < newest)
    {
        return make_error_code(result_code::peer_older_incarnation);
    }
    newest = from.incarnation;
    outbox out;
    current.owners.heard_from(from, now.monotonic);
    current.receive(from, incoming, now, out);
    current.deliver_local(out, now);
    return out;
}

outbox node::tick(instant now)
{
    state& current = *this->self;
    outbox out = current.owners.tick(now.monotonic);
    if (!current.in_force)
    {
        return out;
    }
    for (outgoing& item : current.tokens.tick(current.owners, now.monotonic))
    {
        out.push_back(std::move(item));
    }
    current.limits.tick(current.owners, now.monotonic);
    current.orders.tick(current.owners, now);
    current.crashes.tick(current.owners, now.monotonic);
    current.blocks.tick(now.monotonic);
    current.update_detectors(now.monotonic);
    current.update_capacities(now.monotonic);
    current.announce_blocks(now.monotonic, out);
    for (observation_report& report :
         current.observations.due_reports(now.monotonic))
    {
        const std::string& owner =
            current.owners.owner_of(bucket_of(report.service));
        if (!owner.empty())
        {
            out.push_back({owner, std::move(report)});
        }
    }
    for (auto& [service, queue] : current.queues)
    {
        current.start_ready(service, now.monotonic);
    }
    current.deliver_local(out, now);
    return out;
}

request_id node::begin(const request_facts& facts, instant now)
{
    state& current = *this->self;
    request_state request;
    request.facts = facts;
    current.begin(request, now);
    const request_id id = ++current.last_request;
    current.requests.emplace(id, std::move(request));
    return id;
}

// A claim or report whose owner is this instance is answered within the call,
// so the request advances again as long as local messages were delivered.
step node::next(request_id request, instant now, outbox& out)
{
    state& current = *this->self;
    for (;;)
    {
        const auto found = current.requests.find(request);
        if (found == current.requests.end())
        {
            return step_done{};
        }
        step following = current.advance(request, found->second, now, out);
        const std::size_t before = out.size();
        const bool waits = std::holds_alternative<step_wait>(following);
        if (waits)
        {
            current.deliver_local(out, now);
            if (out.size() != before)
            {
                continue;
            }
            return following;
        }
        if (!std::holds_alternative<step_send>(following))
        {
            current.leave(request, found->second, now, out);
            current.requests.erase(request);
        }
        current.deliver_local(out, now);
        return following;
    }
}

void node::finished(request_id request,
                    const attempt_result& outcome,
                    instant now,
                    outbox& out)
{
    state& current = *this->self;
    const auto found = current.requests.find(request);
    if (found == current.requests.end() ||
        found->second.phase != request_phase::running)
    {
        return;
    }
    current.attempt_finished(found->second, outcome, now, out);
    current.deliver_local(out, now);
}

void node::abandon(request_id request, instant now, outbox& out)
{
    state& current = *this->self;
    const auto found = current.requests.find(request);
    if (found == current.requests.end())
    {
        return;
    }
    current.leave(request, found->second, now, out);
    current.requests.erase(request);
    current.deliver_local(out, now);
}

// Hands the order records over before the delegations are released, so that
// the next owner knows them when its majority begins.
outbox node::shut_down(instant now)
{
    state& current = *this->self;
    current.stopping = true;
    outbox out;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const std::string successor = current.owners.successor_of(bucket);
        if (successor.empty())
        {
            continue;
        }
        for (order_handover& part :
             current.orders.hand_over(bucket, current.owners, now))
        {
            out.push_back({successor, std::move(part)});
        }
    }
    for (outgoing& item : current.owners.release_all(now.monotonic))
    {
        out.push_back(std::move(item));
    }
    return out;
}

std::string node::account_of(request_id request) const
{
    const auto found = this->self->requests.find(request);
    return found == this->self->requests.end() ? "" : found->second.account;
}

std::string node::route_of(request_id request) const
{
    const auto found = this->self->requests.find(request);
    const bool known =
        found != this->self->requests.end() && found->second.matched != nullptr;
    return known ? found->second.matched->name : "";
}

bool node::ready(time_point now) const
{
    const state& current = *this->self;
    const std::string& name = current.settings.self.name;
    const bool listed = std::find(current.live.begin(), current.live.end(),
                                  name) != current.live.end();
    return current.in_force != nullptr && listed && !current.stopping &&
           !current.observations.reporter_cut(now);
}

node_view node::view(time_point now) const
{
    const state& current = *this->self;
    node_view view;
    view.document_version = current.in_force ? current.in_force->version : 0;
    view.list_version = current.list_version;
    view.ready = this->ready(now);
    view.live_instances = current.live.size();
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        view.owned_buckets += current.owners.delegations(bucket, now) != 0;
        view.majority_buckets += current.owners.has_majority(bucket, now);
    }
    view.active_accounts = current.tokens.active_accounts();
    view.order_records = current.orders.records();
    for (const auto& [service, queue] : current.queues)
    {
        view.waiting_requests += queue.waiting();
        view.running_requests += queue.running();
    }
    view.servers = current.servers.view(now);
    return view;
}

std::vector<detection_event> node::take_detection_events()
{
    return std::exchange(this->self->events, {});
}

} // namespace medlarbarrow::core
