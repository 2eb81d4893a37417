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

// Converts arrays of objects to an object with their names (digests for keys)
// as members and sorts arrays of strings, so that a comparison does not depend
// on their order. An empty array becomes an empty object.
json index_by_name(const json& value)
{
    if (value.is_object())
    {
        json target = json::object();
        for (const auto& [member, member_value] : value.items())
        {
            target[member] = index_by_name(member_value);
        }
        return target;
    }
    if (!value.is_array())
    {
        return value;
    }
    if (value.empty() || !value.front().is_object())
    {
        json sorted = value;
        std::sort(sorted.begin(), sorted.end());
        return value.empty() ? json::object() : sorted;
    }
    json target = json::object();
    for (const json& item : value)
    {
        json members = index_by_name(item);
        const char* name_member = members.contains("name") ? "name" : "sha256";
        const std::string name = members[name_member].get<std::string>();
        members.erase(name_member);
        target[name] = std::move(members);
    }
    return target;
}

// Adds a row to `changes`; a null value is absent from that document.
void add_change(ordered_json& changes,
                const std::string& path,
                const json* older,
                const json* newer)
{
    const auto format_value = [](const json* value)
    {
        return value == nullptr || value->is_object() ? "" : value->dump();
    };
    const char* change = "changed";
    if (older == nullptr)
    {
        change = "added";
    }
    else if (newer == nullptr)
    {
        change = "removed";
    }
    changes.push_back({{"path", path},
                       {"change", change},
                       {"old", format_value(older)},
                       {"new", format_value(newer)}});
}

// Adds the differences of two objects. An object that only one side contains is
// one change, not one for each of its members.
void compare(ordered_json& changes,
             const std::string& path,
             const json& older,
             const json& newer)
{
    for (const auto& [member, value] : older.items())
    {
        const std::string member_path = fmt::format("{}/{}", path, member);
        const auto newer_value = newer.find(member);
        if (newer_value == newer.end())
        {
            add_change(changes, member_path, &value, nullptr);
        }
        else if (value.is_object() && newer_value->is_object())
        {
            compare(changes, member_path, value, *newer_value);
        }
        else if (value != *newer_value)
        {
            add_change(changes, member_path, &value, &*newer_value);
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

// Warnings about the order in which versions and instances may change.
ordered_json publication_notes(const core::document& older,
                               const core::document& newer)
{
    ordered_json notes = ordered_json::array();
    if (newer.version <= older.version)
    {
        notes.push_back(
            "the version does not increase: instances that have the "
            "older document reject this one");
    }
    if (newer.fleet.max_instances < older.fleet.max_instances)
    {
        notes.push_back(
            "max_instances decreases: publish only after the surplus "
            "instances have stopped");
    }
    if (newer.fleet.max_instances > older.fleet.max_instances)
    {
        notes.push_back("max_instances increases: publish before instances are "
                        "added");
    }
    return notes;
}

/// Builds the explanation of one request by the steps of an instance: route,
/// account, servers.
class explanation
{
public:
    explanation(const core::document& explained_document,
                const request_description& described_request)
        : document(std::make_shared<const core::document>(explained_document)),
          request(described_request)
    {
    }

    ordered_json run()
    {
        const core::route_table table(this->document);
        const core::route* route = table.match(
            this->request.method, this->request.host, this->request.path);
        if (route == nullptr)
        {
            this->refuse(result_code::no_route);
            return this->result;
        }
        this->describe_route(*route);
        const bool keyed = route->access == core::route_access::keyed;
        if (!keyed || this->check_account(*route))
        {
            this->describe_service(*route);
        }
        if (!this->result.contains("refused"))
        {
            this->result["refused"] = false;
        }
        return this->result;
    }

private:
    void refuse(result_code code)
    {
        this->result["refused"] = true;
        this->result["outcome"] = "not-run";
        this->result["code"] = static_cast<int>(code);
        this->result["code_name"] = core::name_of(code);
        this->result["reason"] = make_error_code(code).message();
    }

    void describe_route(const core::route& route)
    {
        this->result["version"] = this->document->version;
        this->result["route"] = route.name;
        this->result["access"] =
            route.access == core::route_access::open ? "open" : "keyed";
        this->result["repeatable"] = route.repeatable;
        if (!route.repeatable)
        {
            this->result["order"] = "requires an Idempotency-Key header with a "
                                    "UUID version 7; runs at most once";
        }
        this->result["deadline_ms"] = route.deadline.count();
        this->result["max_body_bytes"] = route.max_body_bytes;
    }

    // Account of the request; null if the request is refused.
    const core::client_account* find_account()
    {
        if (!this->request.account.empty())
        {
            const auto& accounts = this->document->accounts;
            const auto position =
                std::find_if(accounts.begin(), accounts.end(),
                             [this](const core::client_account& account)
                             {
                                 return account.name == this->request.account;
                             });
            if (position == accounts.end())
            {
                this->refuse(result_code::key_unknown);
                return nullptr;
            }
            return &*position;
        }
        if (!this->request.key)
        {
            this->refuse(result_code::key_missing);
            return nullptr;
        }
        const core::account_index index(this->document);
        const auto found_key = index.find(*this->request.key);
        if (found_key.account == nullptr || found_key.withdrawn)
        {
            this->refuse(found_key.account == nullptr
                             ? result_code::key_unknown
                             : result_code::key_withdrawn);
            return nullptr;
        }
        return found_key.account;
    }

    // False if the account or its limits refuse the request.
    bool check_account(const core::route& route)
    {
        const core::client_account* account = this->find_account();
        if (account == nullptr)
        {
            return false;
        }
        this->result["account"] = account->name;
        this->result["rate_per_second"] = account->rate_per_second;
        this->result["burst"] = account->burst;
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
        this->result["service"] = route.service;
        ordered_json servers = ordered_json::array();
        bool has_candidate = false;
        for (const core::service& service : this->document->services)
        {
            if (service.name != route.service)
            {
                continue;
            }
            this->result["healthy_floor"] = service.policy.healthy_floor;
            for (const core::backend_server& server : service.servers)
            {
                const bool candidate = core::takes_new_work(server.command);
                has_candidate = has_candidate || candidate;
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
        if (!has_candidate)
        {
            this->refuse(result_code::no_healthy_server);
        }
        this->result["servers"] = servers;
    }

    std::shared_ptr<const core::document> document;
    const request_description& request;
    ordered_json result = ordered_json::object();
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
    json before = index_by_name(json::parse(format_document(older)));
    json after = index_by_name(json::parse(format_document(newer)));
    before.erase("version");
    after.erase("version");
    ordered_json changes = ordered_json::array();
    compare(changes, "", before, after);
    const bool equal = changes.empty();
    return {{"equal", equal},
            {"old_version", older.version},
            {"new_version", newer.version},
            {"changes", std::move(changes)},
            {"notes", publication_notes(older, newer)}};
}

ordered_json explain_request(const core::document& document,
                             const request_description& request)
{
    return explanation(document, request).run();
}

ordered_json list_routes(const core::document& document)
{
    ordered_json rows = ordered_json::array();
    for (const core::route& route : document.routes)
    {
        rows.push_back(
            {{"name", route.name},
             {"host", route.host},
             {"path_prefix", route.path_prefix},
             {"methods", route.methods},
             {"service", route.service},
             {"access",
              route.access == core::route_access::open ? "open" : "keyed"},
             {"repeatable", route.repeatable},
             {"priority", name_of_priority(route.priority)},
             {"deadline_ms", route.deadline.count()},
             {"accounts", route.accounts}});
    }
    return rows;
}

ordered_json list_accounts(const core::document& document)
{
    ordered_json rows = ordered_json::array();
    for (const core::client_account& account : document.accounts)
    {
        const auto withdrawn =
            std::count_if(account.keys.begin(), account.keys.end(),
                          [](const core::account_key& key)
                          {
                              return key.withdrawn;
                          });
        rows.push_back({{"name", account.name},
                        {"rate_per_second", account.rate_per_second},
                        {"burst", account.burst},
                        {"keys", account.keys.size()},
                        {"withdrawn_keys", withdrawn}});
    }
    return rows;
}

ordered_json list_servers(const core::document& document)
{
    ordered_json rows = ordered_json::array();
    for (const core::service& service : document.services)
    {
        for (const core::backend_server& server : service.servers)
        {
            rows.push_back({{"service", service.name},
                            {"server", server.name},
                            {"data_centre", server.data_centre},
                            {"address", server.address},
                            {"port", server.port},
                            {"slots", server.slots},
                            {"connections", server.connections},
                            {"order", name_of(server.command)}});
        }
    }
    return rows;
}

} // namespace medlarbarrow::config
