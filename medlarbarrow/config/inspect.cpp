#include <algorithm>
#include <fmt/format.h>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/edit.hpp>
#include <medlarbarrow/config/inspect.hpp>
#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/routes.hpp>
#include <medlarbarrow/core/routing.hpp>

namespace medlarbarrow::config
{

namespace
{

using core::result_code;
using nlohmann::json;
using nlohmann::ordered_json;

// Turns arrays of named objects into objects, so that a comparison does not
// depend on their order; arrays of texts are sorted.
json by_name(const json& source)
{
    if (source.is_object())
    {
        json target = json::object();
        for (const auto& [member, value] : source.items())
        {
            target[member] = by_name(value);
        }
        return target;
    }
    if (!source.is_array())
    {
        return source;
    }
    if (source.empty() || !source.front().is_object())
    {
        json sorted = source;
        std::sort(sorted.begin(), sorted.end());
        return source.empty() ? json::object() : sorted;
    }
    json target = json::object();
    for (const json& item : source)
    {
        json members = by_name(item);
        const char* identity = members.contains("name") ? "name" : "sha256";
        const std::string name = members[identity].get<std::string>();
        members.erase(identity);
        target[name] = std::move(members);
    }
    return target;
}

void add_change(ordered_json& changes,
                const std::string& path,
                const json* older,
                const json* newer)
{
    const auto shown = [](const json* value)
    {
        return value == nullptr || value->is_object() ? "" : value->dump();
    };
    const char* kind = "changed";
    if (older == nullptr)
    {
        kind = "added";
    }
    else if (newer == nullptr)
    {
        kind = "removed";
    }
    changes.push_back({{"path", path},
                       {"change", kind},
                       {"old", shown(older)},
                       {"new", shown(newer)}});
}

// An object that is only on one side gives one line, not one for each member.
void compare(ordered_json& changes,
             const std::string& path,
             const json& older,
             const json& newer)
{
    for (const auto& [member, value] : older.items())
    {
        const std::string inner = fmt::format("{}/{}", path, member);
        const auto other = newer.find(member);
        if (other == newer.end())
        {
            add_change(changes, inner, &value, nullptr);
        }
        else if (value.is_object() && other->is_object())
        {
            compare(changes, inner, value, *other);
        }
        else if (value != *other)
        {
            add_change(changes, inner, &value, &*other);
        }
    }
    for (const auto& [member, value] : newer.items())
    {
        if (!older.contains(member))
        {
            add_change(changes, fmt::format("{}/{}", path, member), nullptr,
                       &value);
        }
    }
}

ordered_json notes_on(const core::document& older, const core::document& newer)
{
    ordered_json notes = ordered_json::array();
    if (newer.version <= older.version)
    {
        notes.push_back("the version does not rise: instances that hold the "
                        "older document refuse this one");
    }
    if (newer.fleet.max_instances < older.fleet.max_instances)
    {
        notes.push_back("max_instances falls: publish only after the instances "
                        "beyond it have stopped");
    }
    if (newer.fleet.max_instances > older.fleet.max_instances)
    {
        notes.push_back("max_instances rises: publish before instances are "
                        "added");
    }
    return notes;
}

/// Builds the answer to one question step by step.
class explanation
{
public:
    explanation(const core::document& subject, const request_question& request)
        : source(std::make_shared<const core::document>(subject)),
          question(request)
    {
    }

    ordered_json run()
    {
        const core::route_table table(this->source);
        const core::route* route = table.match(
            this->question.method, this->question.host, this->question.path);
        if (route == nullptr)
        {
            this->refuse(result_code::no_route);
            return this->answer;
        }
        this->describe_route(*route);
        const bool keyed = route->access == core::route_access::keyed;
        if (!keyed || this->admit_account(*route))
        {
            this->describe_service(*route);
        }
        if (!this->answer.contains("refused"))
        {
            this->answer["refused"] = false;
        }
        return this->answer;
    }

private:
    void refuse(result_code code)
    {
        this->answer["refused"] = true;
        this->answer["outcome"] = "not-run";
        this->answer["code"] = static_cast<int>(code);
        this->answer["code_name"] = core::name_of(code);
        this->answer["reason"] = make_error_code(code).message();
    }

    void describe_route(const core::route& route)
    {
        this->answer["version"] = this->source->version;
        this->answer["route"] = route.name;
        this->answer["access"] =
            route.access == core::route_access::open ? "open" : "keyed";
        this->answer["repeatable"] = route.repeatable;
        if (!route.repeatable)
        {
            this->answer["order"] = "needs an Idempotency-Key header with a "
                                    "UUID version 7; runs at most once";
        }
        this->answer["deadline_ms"] = route.deadline.count();
        this->answer["max_body_bytes"] = route.max_body_bytes;
    }

    const core::client_account* find_account()
    {
        if (!this->question.account.empty())
        {
            const auto& accounts = this->source->accounts;
            const auto found =
                std::find_if(accounts.begin(), accounts.end(),
                             [this](const core::client_account& item)
                             {
                                 return item.name == this->question.account;
                             });
            if (found == accounts.end())
            {
                this->refuse(result_code::key_unknown);
                return nullptr;
            }
            return &*found;
        }
        if (!this->question.key)
        {
            this->refuse(result_code::key_missing);
            return nullptr;
        }
        const core::account_index index(this->source);
        const auto match = index.find(*this->question.key);
        if (match.account == nullptr || match.withdrawn)
        {
            this->refuse(match.account == nullptr ? result_code::key_unknown
                                                  : result_code::key_withdrawn);
            return nullptr;
        }
        return match.account;
    }

    bool admit_account(const core::route& route)
    {
        const core::client_account* account = this->find_account();
        if (account == nullptr)
        {
            return false;
        }
        this->answer["account"] = account->name;
        this->answer["rate_per_second"] = account->rate_per_second;
        this->answer["burst"] = account->burst;
        const bool allowed =
            route.accounts.empty() ||
            std::find(route.accounts.begin(), route.accounts.end(),
                      account->name) != route.accounts.end();
        if (!allowed)
        {
            this->refuse(result_code::account_not_allowed);
            return false;
        }
        if (account->rate_per_second <= 0.0)
        {
            this->refuse(result_code::rate_exceeded);
            return false;
        }
        return true;
    }

    void describe_service(const core::route& route)
    {
        this->answer["service"] = route.service;
        ordered_json servers = ordered_json::array();
        bool any = false;
        for (const core::service& service : this->source->services)
        {
            if (service.name != route.service)
            {
                continue;
            }
            this->answer["healthy_floor"] = service.policy.healthy_floor;
            for (const core::backend_server& server : service.servers)
            {
                const bool candidate = core::takes_new_work(server.command);
                any = any || candidate;
                servers.push_back(
                    {{"server", server.name},
                     {"data_centre", server.data_centre},
                     {"endpoint",
                      fmt::format("{}:{}", server.address, server.port)},
                     {"slots", server.slots},
                     {"order", name_of(server.command)},
                     {"candidate", candidate}});
            }
        }
        if (!any)
        {
            this->refuse(result_code::no_healthy_server);
        }
        this->answer["servers"] = servers;
    }

    std::shared_ptr<const core::document> source;
    const request_question& question;
    ordered_json answer = ordered_json::object();
};

const char* name_of_priority(core::route_priority priority)
{
    switch (priority)
    {
    case core::route_priority::low:
        return "low";
    case core::route_priority::normal:
        return "normal";
    case core::route_priority::high:
        return "high";
    }
    return "normal";
}

} // namespace

ordered_json compare_documents(const core::document& older,
                               const core::document& newer)
{
    json before = by_name(json::parse(format_document(older)));
    json after = by_name(json::parse(format_document(newer)));
    before.erase("version");
    after.erase("version");
    ordered_json changes = ordered_json::array();
    compare(changes, "", before, after);
    const bool equal = changes.empty();
    return {{"equal", equal},
            {"old_version", older.version},
            {"new_version", newer.version},
            {"changes", std::move(changes)},
            {"notes", notes_on(older, newer)}};
}

ordered_json explain_request(const core::document& source,
                             const request_question& question)
{
    return explanation(source, question).run();
}

ordered_json list_routes(const core::document& source)
{
    ordered_json rows = ordered_json::array();
    for (const core::route& item : source.routes)
    {
        rows.push_back(
            {{"name", item.name},
             {"host", item.host},
             {"path_prefix", item.path_prefix},
             {"methods", item.methods},
             {"service", item.service},
             {"access",
              item.access == core::route_access::open ? "open" : "keyed"},
             {"repeatable", item.repeatable},
             {"priority", name_of_priority(item.priority)},
             {"deadline_ms", item.deadline.count()},
             {"accounts", item.accounts}});
    }
    return rows;
}

ordered_json list_accounts(const core::document& source)
{
    ordered_json rows = ordered_json::array();
    for (const core::client_account& item : source.accounts)
    {
        const auto withdrawn = std::count_if(item.keys.begin(), item.keys.end(),
                                             [](const core::account_key& key)
                                             {
                                                 return key.withdrawn;
                                             });
        rows.push_back({{"name", item.name},
                        {"rate_per_second", item.rate_per_second},
                        {"burst", item.burst},
                        {"keys", item.keys.size()},
                        {"withdrawn_keys", withdrawn}});
    }
    return rows;
}

ordered_json list_servers(const core::document& source)
{
    ordered_json rows = ordered_json::array();
    for (const core::service& service : source.services)
    {
        for (const core::backend_server& item : service.servers)
        {
            rows.push_back({{"service", service.name},
                            {"server", item.name},
                            {"data_centre", item.data_centre},
                            {"address", item.address},
                            {"port", item.port},
                            {"slots", item.slots},
                            {"connections", item.connections},
                            {"order", name_of(item.command)}});
        }
    }
    return rows;
}

} // namespace medlarbarrow::config
