#include <algorithm>
#include <fmt/format.h>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/edit.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/routing.hpp>

namespace medlarbarrow::config
{

namespace
{

// Reports why a change is not possible.
problems make_problem(std::string message)
{
    return {make_error_code(core::result_code::document_invalid),
            {{"", std::move(message)}}};
}

template <class Item>
Item* find_named(std::vector<Item>& items, std::string_view name)
{
    const auto position = std::find_if(items.begin(), items.end(),
                                       [name](const Item& item)
                                       {
                                           return item.name == name;
                                       });
    return position == items.end() ? nullptr : &*position;
}

// Validates the changed document by parsing its text.
checked<core::document> next_version(core::document document)
{
    ++document.version;
    return parse_document(format_document(document));
}

} // namespace

std::string_view name_of(core::operator_command command)
{
    switch (command)
    {
    case core::operator_command::none:
        return "none";
    case core::operator_command::drain:
        return "drain";
    case core::operator_command::eject:
        return "eject";
    case core::operator_command::hold:
        return "hold";
    case core::operator_command::readmit:
        return "readmit";
    }
    return "none";
}

checked<core::document> with_operator_command(core::document document,
                                              std::string_view service,
                                              std::string_view server,
                                              core::operator_command command)
{
    core::service* parent = find_named(document.services, service);
    core::backend_server* changed_server =
        parent == nullptr ? nullptr : find_named(parent->servers, server);
    if (changed_server == nullptr)
    {
        return make_problem(
            fmt::format("there is no server {}/{}", service, server));
    }
    const bool is_removal = command == core::operator_command::none;
    if (is_removal && changed_server->command == command)
    {
        return make_problem("the server has no operator command");
    }
    if (is_removal && !core::takes_new_work(changed_server->command) &&
        changed_server->command != core::operator_command::drain)
    {
        return make_problem(
            fmt::format("the operator command of the server is {}; "
                        "only readmit ends it",
                        name_of(changed_server->command)));
    }
    changed_server->command = command;
    return next_version(std::move(document));
}

checked<core::document> with_key_withdrawn(core::document document,
                                           std::string_view account,
                                           const core::key_digest& digest)
{
    core::client_account* changed_account =
        find_named(document.accounts, account);
    if (changed_account == nullptr)
    {
        return make_problem(fmt::format("there is no account {}", account));
    }
    const auto key =
        std::find_if(changed_account->keys.begin(), changed_account->keys.end(),
                     [&digest](const core::account_key& account_key)
                     {
                         return account_key.digest == digest;
                     });
    if (key == changed_account->keys.end())
    {
        return make_problem(
            fmt::format("account {} has no key with this digest", account));
    }
    if (key->withdrawn)
    {
        return make_problem("the key is already withdrawn");
    }
    key->withdrawn = true;
    return next_version(std::move(document));
}

checked<core::document> with_rate(core::document document,
                                  std::string_view account,
                                  double rate_per_second,
                                  std::optional<double> burst)
{
    core::client_account* changed_account =
        find_named(document.accounts, account);
    if (changed_account == nullptr)
    {
        return make_problem(fmt::format("there is no account {}", account));
    }
    changed_account->rate_per_second = rate_per_second;
    changed_account->burst = burst.value_or(changed_account->burst);
    return next_version(std::move(document));
}

std::string floor_warning(const core::document& document,
                          std::string_view service)
{
    for (const core::service& candidate : document.services)
    {
        if (candidate.name != service)
        {
            continue;
        }
        const auto remaining = static_cast<std::size_t>(
            std::count_if(candidate.servers.begin(), candidate.servers.end(),
                          [](const core::backend_server& server)
                          {
                              return core::takes_new_work(server.command);
                          }));
        const double floor = candidate.policy.healthy_floor *
                             static_cast<double>(candidate.servers.size());
        if (static_cast<double>(remaining) < floor)
        {
            return fmt::format("{} of {} servers of {} remain in service, "
                               "below its healthy_floor of {}",
                               remaining, candidate.servers.size(), service,
                               candidate.policy.healthy_floor);
        }
    }
    return {};
}

} // namespace medlarbarrow::config
