#include <algorithm>
#include <map>
#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <medlarbarrow/core/routes.hpp>
#include <unordered_map>

namespace medlarbarrow::core
{

namespace
{

/// A request in progress.
struct request_state
{
    request_facts facts;
    /// Keeps the document alive that `matched` points into.
    std::shared_ptr<const document> source;
    const route* matched = nullptr;
    std::string account;
    time_point deadline{};
    std::optional<step_refuse> refusal;
    std::optional<attempt_result> newest_result;
    std::uint32_t attempts = 0;
};

} // namespace

struct node::state
{
    state(node_settings initial, time_point started)
        : settings(std::move(initial)), owners(settings.self, started)
    {
    }

    step_refuse refuse(result_code code) const;
    std::optional<step_refuse> check_access(request_state& request) const;
    step choose_server(request_state& request);
    step after_attempt(const request_state& request) const;

    node_settings settings;
    ownership owners;
    std::shared_ptr<const document> in_force;
    std::optional<route_table> routes;
    std::optional<account_index> accounts;
    std::uint64_t list_version = 0;
    std::unordered_map<std::string, std::uint64_t> incarnations;
    std::unordered_map<request_id, request_state> requests;
    std::map<std::string, std::size_t> next_server;
    request_id last_request = 0;
    bool stopping = false;
};

step_refuse node::state::refuse(result_code code) const
{
    return {code, false, std::chrono::milliseconds(0)};
}

// Finds the route and checks the key; called for each request, also on a
// connection that is already open, so that a withdrawn key stops at once.
std::optional<step_refuse>
node::state::check_access(request_state& request) const
{
    const request_facts& facts = request.facts;
    request.source = this->in_force;
    request.matched = this->routes->match(facts.method, facts.host, facts.path);
    if (request.matched == nullptr)
    {
        return this->refuse(result_code::no_route);
    }
    if (request.matched->access == route_access::open)
    {
        return std::nullopt;
    }
    if (!facts.key)
    {
        return this->refuse(result_code::key_missing);
    }
    const account_index::match found = this->accounts->find(*facts.key);
    if (found.account == nullptr)
    {
        return this->refuse(result_code::key_unknown);
    }
    if (found.withdrawn)
    {
        return this->refuse(result_code::key_withdrawn);
    }
    const std::vector<std::string>& allowed = request.matched->accounts;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                      found.account->name) == allowed.end())
    {
        return this->refuse(result_code::account_not_allowed);
    }
    request.account = found.account->name;
    return std::nullopt;
}

step node::state::choose_server(request_state& request)
{
    for (const service& item : this->in_force->services)
    {
        if (item.name != request.matched->service || item.servers.empty())
        {
            continue;
        }
        const std::size_t index =
            this->next_server[item.name]++ % item.servers.size();
        ++request.attempts;
        return step_send{item.name,
                         item.servers[index],
                         "",
                         !request.matched->repeatable,
                         !request.matched->repeatable,
                         request.deadline,
                         request.attempts};
    }
    return this->refuse(result_code::no_healthy_server);
}

step node::state::after_attempt(const request_state& request) const
{
    switch (request.newest_result->end)
    {
    case attempt_end::answered:
    case attempt_end::answered_partly:
    case attempt_end::caller_gone:
        return step_done{};
    case attempt_end::not_sent:
        return this->refuse(result_code::server_connect_failed);
    case attempt_end::refused_not_run:
        return this->refuse(result_code::server_shed);
    case attempt_end::closed_early:
        return step_refuse{result_code::server_closed_early, true, {}};
    case attempt_end::timed_out:
        return step_refuse{result_code::server_timeout, true, {}};
    }
    return step_done{};
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
                                     instant)
{
    state& current = *this->self;
    if (current.in_force && next->version <= current.in_force->version)
    {
        return make_error_code(result_code::document_older);
    }
    current.in_force = std::move(next);
    current.routes.emplace(current.in_force);
    current.accounts.emplace(current.in_force);
    current.owners.set_max_instances(current.in_force->fleet.max_instances);
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
    std::vector<std::string> live;
    for (const listed_instance& item : next.instances)
    {
        if (!item.leaving)
        {
            live.push_back(item.name);
        }
    }
    current.owners.set_members(live, now.monotonic);
    return {};
}

result<outbox> node::receive(const instance_id& from, const message&, instant)
{
    state& current = *this->self;
    std::uint64_t& newest = current.incarnations[from.name];
    if (from.incarnation < newest)
    {
        return make_error_code(result_code::peer_older_incarnation);
    }
    newest = from.incarnation;
    return outbox{};
}

outbox node::tick(instant now)
{
    return this->self->owners.tick(now.monotonic);
}

request_id node::begin(const request_facts& facts, instant now)
{
    state& current = *this->self;
    request_state request;
    request.facts = facts;
    if (current.stopping)
    {
        request.refusal = current.refuse(result_code::shutting_down);
    }
    else if (!current.in_force)
    {
        request.refusal = current.refuse(result_code::not_ready);
    }
    else
    {
        request.refusal = current.check_access(request);
    }
    if (request.matched != nullptr)
    {
        const auto limit = request.matched->deadline;
        request.deadline =
            now.monotonic +
            std::min(limit, facts.caller_deadline.value_or(limit));
    }
    const request_id id = ++current.last_request;
    current.requests.emplace(id, std::move(request));
    return id;
}

step node::next(request_id request, instant, outbox&)
{
    state& current = *this->self;
    const auto found = current.requests.find(request);
    if (found == current.requests.end())
    {
        return step_done{};
    }
    step following = step_done{};
    if (found->second.refusal)
    {
        following = *found->second.refusal;
    }
    else if (found->second.newest_result)
    {
        following = current.after_attempt(found->second);
    }
    else
    {
        following = current.choose_server(found->second);
    }
    if (!std::holds_alternative<step_send>(following) &&
        !std::holds_alternative<step_wait>(following))
    {
        current.requests.erase(found);
    }
    return following;
}

void node::finished(request_id request,
                    const attempt_result& outcome,
                    instant,
                    outbox&)
{
    const auto found = this->self->requests.find(request);
    if (found != this->self->requests.end())
    {
        found->second.newest_result = outcome;
    }
}

void node::abandon(request_id request, instant, outbox&)
{
    this->self->requests.erase(request);
}

outbox node::shut_down(instant now)
{
    this->self->stopping = true;
    return this->self->owners.release_all(now.monotonic);
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

bool node::ready(time_point) const
{
    return this->self->in_force != nullptr && !this->self->stopping;
}

node_view node::view(time_point now) const
{
    node_view view;
    const state& current = *this->self;
    view.document_version = current.in_force ? current.in_force->version : 0;
    view.list_version = current.list_version;
    view.ready = this->ready(now);
    view.live_instances = current.owners.member_count();
    view.running_requests = current.requests.size();
    return view;
}

} // namespace medlarbarrow::core
