#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/node_state.hpp>
#include <medlarbarrow/core/overloaded.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Nonces start at the incarnation shifted left by this many bits, so that they
/// exceed those of every earlier process of the instance.
constexpr unsigned incarnation_shift = 20;

/// Period at which blocked requests are announced to all instances, and the
/// most requests announced at once.
constexpr duration announcement_period = std::chrono::seconds(2);
constexpr std::size_t max_announced_blocks = 16;

constexpr duration capacity_update_period = std::chrono::milliseconds(500);

std::shared_ptr<const account_limits> limits_of(const document& settings)
{
    auto limits = std::make_shared<account_limits>();
    for (const client_account& account : settings.accounts)
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

// Handles the messages that this instance addresses to itself without sending
// them over a link.
void node::state::deliver_local(outbox& out, instant now)
{
    for (;;)
    {
        const auto local =
            std::find_if(out.begin(), out.end(),
                         [this](const outgoing& queued)
                         {
                             return queued.to == this->settings.self.name;
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
    const auto append = [&out](outbox&& messages)
    {
        std::move(messages.begin(), messages.end(), std::back_inserter(out));
    };
    std::visit(
        overloaded{
            [&](const delegation_request& payload)
            {
                append(this->owners.receive(from, payload, now.monotonic));
            },
            [&](const delegation& payload)
            {
                this->owners.receive(from, payload, now.monotonic);
            },
            [&](const delegation_release& payload)
            {
                this->owners.receive(from, payload, now.monotonic);
            },
            [&](const token_request& payload)
            {
                append(this->limits.receive(from, payload, this->owners,
                                            now.monotonic));
            },
            [&](const token_grant& payload)
            {
                this->tokens.receive(payload, now.monotonic);
            },
            [&](const order_claim& payload)
            {
                out.push_back(
                    {from.name,
                     this->orders.claim(from, payload, this->owners, now)});
            },
            [&](const order_verdict& payload)
            {
                for (auto& [id, request] : this->requests)
                {
                    if (request.claim.nonce == payload.nonce &&
                        request.claim.identity == payload.identity &&
                        request.phase == request_phase::claim)
                    {
                        request.claim.verdict = payload;
                    }
                }
            },
            [&](const order_result& payload)
            {
                this->orders.record_outcome(from, payload);
            },
            [&](const order_handover& payload)
            {
                this->orders.receive_handover(from, payload, now);
            },
            [&](const observation_report& payload)
            {
                const auto it = this->detectors.find(payload.service);
                if (it == this->detectors.end())
                {
                    return;
                }
                const auto verdict = it->second->handle_report(
                    from.name, payload, now.monotonic);
                if (verdict)
                {
                    out.push_back({from.name, *verdict});
                }
            },
            [&](const service_verdict& payload)
            {
                auto blocked =
                    this->observations.apply_verdict(payload, now.monotonic);
                if (blocked)
                {
                    this->servers.set_blocks(
                        payload.service, std::move(*blocked), now.monotonic);
                }
            },
            [&](const crash_report& payload)
            {
                append(this->crashes.receive(from, payload, this->owners,
                                             now.monotonic));
            },
            [&](const crash_verdict& payload)
            {
                const auto permitted =
                    this->blocks.receive(payload, now.monotonic);
                for (auto& [id, request] : this->requests)
                {
                    if (permitted && request.content == payload.request)
                    {
                        request.crash_retry_allowed = permitted;
                    }
                }
            },
            // The control thread handles membership and configuration.
            [](const hello&) {}, [](const document_pull&) {},
            [](const document_part&) {}, [](const list_copy&) {}},
        incoming);
}

// Keeps a failure detector for each service whose bucket this instance holds
// the majority of, and collects the events of the detectors.
void node::state::update_detectors(time_point now)
{
    for (const service& service_settings : this->active_document->services)
    {
        const auto since =
            this->owners.majority_since(bucket_of(service_settings.name), now);
        const auto it = this->detectors.find(service_settings.name);
        if (!since)
        {
            if (it != this->detectors.end())
            {
                this->detectors.erase(it);
            }
            continue;
        }
        if (it == this->detectors.end())
        {
            auto created =
                std::make_unique<detector>(service_settings.name, *since);
            created->set_service(service_settings, now);
            this->detectors.emplace(service_settings.name, std::move(created));
            continue;
        }
        std::vector<detection_event> new_events = it->second->tick(now);
        std::move(new_events.begin(), new_events.end(),
                  std::back_inserter(this->detection_events));
    }
}

// Sets the capacity of each admission queue from the slots of usable servers.
void node::state::update_capacities(time_point now)
{
    if (now < this->next_capacity_update)
    {
        return;
    }
    this->next_capacity_update = now + capacity_update_period;
    const std::size_t instances =
        std::max<std::size_t>(this->live_instances.size(), 1);
    for (const service& service_settings : this->active_document->services)
    {
        const std::uint32_t slots =
            this->servers.usable_slots(service_settings.name, now);
        this->queue_of(service_settings.name).set_capacity(slots, instances);
    }
}

// Announces the requests blocked for crashing servers, so that instances which
// have not received such a request block it too.
void node::state::announce_blocks(time_point now, outbox& out)
{
    if (now < this->next_announcement)
    {
        return;
    }
    this->next_announcement = now + announcement_period;
    for (const crash_verdict& verdict :
         this->crashes.active_blocks(max_announced_blocks, now))
    {
        for (const std::string& peer : this->live_instances)
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

node::node(std::unique_ptr<state> initial) : impl(std::move(initial)) {}

node::node(node&&) noexcept = default;
node& node::operator=(node&&) noexcept = default;
node::~node() = default;

std::error_code node::apply_document(std::shared_ptr<const document> newer,
                                     instant now)
{
    state& current = *this->impl;
    if (current.active_document &&
        newer->version <= current.active_document->version)
    {
        return make_error_code(result_code::document_older);
    }
    current.active_document = std::move(newer);
    const document& new_settings = *current.active_document;
    current.routes.emplace(current.active_document);
    current.accounts.emplace(current.active_document);
    current.owners.set_max_instances(new_settings.fleet.max_instances);
    const auto limits = limits_of(new_settings);
    current.limits.set_limits(limits);
    current.tokens.set_limits(limits);
    current.orders.set_policy(new_settings.fleet);
    current.servers.apply(new_settings, now.monotonic);
    for (const service& service_settings : new_settings.services)
    {
        current.retry_budgets[service_settings.name].set_fraction(
            new_settings.fleet.retry_fraction);
        const auto it = current.detectors.find(service_settings.name);
        if (it != current.detectors.end())
        {
            it->second->set_service(service_settings, now.monotonic);
        }
    }
    current.next_capacity_update = {};
    current.update_capacities(now.monotonic);
    return {};
}

std::error_code node::apply_list(const instance_list& newer, instant now)
{
    state& current = *this->impl;
    if (newer.version <= current.list_version)
    {
        return make_error_code(result_code::list_older);
    }
    if (newer.instances.empty())
    {
        return make_error_code(result_code::list_empty);
    }
    current.list_version = newer.version;
    current.live_instances.clear();
    for (const listed_instance& listed : newer.instances)
    {
        if (!listed.leaving)
        {
            current.live_instances.push_back(listed.name);
        }
    }
    current.owners.set_live_instances(current.live_instances, now.monotonic);
    current.servers.set_instance_count(current.live_instances.size());
    return {};
}

result<outbox>
node::receive(const instance_id& from, const message& incoming, instant now)
{
    state& current = *this->impl;
    std::uint64_t& newest_incarnation = current.incarnations[from.name];
    if (from.incarnation < newest_incarnation)
    {
        return make_error_code(result_code::peer_older_incarnation);
    }
    newest_incarnation = from.incarnation;
    outbox out;
    current.owners.record_message_from(from, now.monotonic);
    current.receive(from, incoming, now, out);
    current.deliver_local(out, now);
    return out;
}

outbox node::tick(instant now)
{
    state& current = *this->impl;
    outbox out = current.owners.tick(now.monotonic);
    if (!current.active_document)
    {
        return out;
    }
    for (outgoing& outgoing_message :
         current.tokens.tick(current.owners, now.monotonic))
    {
        out.push_back(std::move(outgoing_message));
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
        current.dispatch_queue(service, now.monotonic);
    }
    current.deliver_local(out, now);
    return out;
}

request_id node::begin_request(const request_facts& facts, instant now)
{
    state& current = *this->impl;
    request_state request;
    request.facts = facts;
    current.begin(request, now);
    const request_id id = ++current.last_request;
    current.requests.emplace(id, std::move(request));
    return id;
}

// A claim or report that this instance itself owns is answered within this
// call, so the request is advanced again while local messages are delivered.
step node::next_step(request_id request, instant now, outbox& out)
{
    state& current = *this->impl;
    for (;;)
    {
        const auto it = current.requests.find(request);
        if (it == current.requests.end())
        {
            return step_done{};
        }
        step next_step = current.advance(request, it->second, now, out);
        const std::size_t messages_before = out.size();
        const bool is_waiting = std::holds_alternative<step_wait>(next_step);
        if (is_waiting)
        {
            current.deliver_local(out, now);
            if (out.size() != messages_before)
            {
                continue;
            }
            return next_step;
        }
        if (!std::holds_alternative<step_send>(next_step))
        {
            current.release_resources(request, it->second, now, out);
            current.requests.erase(request);
        }
        current.deliver_local(out, now);
        return next_step;
    }
}

void node::attempt_finished(request_id request,
                            const attempt_result& outcome,
                            instant now,
                            outbox& out)
{
    state& current = *this->impl;
    const auto it = current.requests.find(request);
    if (it == current.requests.end() ||
        it->second.phase != request_phase::running)
    {
        return;
    }
    current.record_attempt(it->second, outcome, now, out);
    current.deliver_local(out, now);
}

void node::abandon(request_id request, instant now, outbox& out)
{
    state& current = *this->impl;
    const auto it = current.requests.find(request);
    if (it == current.requests.end())
    {
        return;
    }
    current.release_resources(request, it->second, now, out);
    current.requests.erase(request);
    current.deliver_local(out, now);
}

// Hands the order records over before it releases the delegations, so that the
// next owner has them when its majority begins.
outbox node::shut_down(instant now)
{
    state& current = *this->impl;
    current.stopping = true;
    outbox out;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const std::string successor = current.owners.successor_of(bucket);
        if (successor.empty())
        {
            continue;
        }
        for (order_handover& handover :
             current.orders.hand_over(bucket, current.owners, now))
        {
            out.push_back({successor, std::move(handover)});
        }
    }
    for (outgoing& outgoing_message : current.owners.release_all(now.monotonic))
    {
        out.push_back(std::move(outgoing_message));
    }
    return out;
}

std::string node::account_of(request_id request) const
{
    const auto it = this->impl->requests.find(request);
    return it == this->impl->requests.end() ? "" : it->second.account;
}

std::string node::route_of(request_id request) const
{
    const auto it = this->impl->requests.find(request);
    const bool has_route =
        it != this->impl->requests.end() && it->second.matched_route != nullptr;
    return has_route ? it->second.matched_route->name : "";
}

bool node::ready(time_point now) const
{
    const state& current = *this->impl;
    const std::string& name = current.settings.self.name;
    const bool listed =
        std::find(current.live_instances.begin(), current.live_instances.end(),
                  name) != current.live_instances.end();
    return current.active_document != nullptr && listed && !current.stopping &&
           !current.observations.is_cut_off(now);
}

node_view node::view(time_point now) const
{
    const state& current = *this->impl;
    node_view view;
    view.document_version =
        current.active_document ? current.active_document->version : 0;
    view.list_version = current.list_version;
    view.ready = this->ready(now);
    view.live_instances = current.live_instances.size();
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
    return std::exchange(this->impl->detection_events, {});
}

} // namespace medlarbarrow::core
