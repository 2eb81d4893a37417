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

problems refusal(std::string message)
{
    return {make_error_code(core::result_code::document_invalid),
            {{"", std::move(message)}}};
}

template <class Item>
Item* find_named(std::vector<Item>& items, std::string_view name)
{
    const auto found = std::find_if(items.begin(), items.end(),
                                    [name](const Item& item)
                                    {
                                        return item.name == name;
                                    });
    return found == items.end() ? nullptr : &*found;
}

checked<core::document> next_version(core::document source)
{
    ++source.version;
    return parse_document(format_document(source));
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

checked<core::document> with_order(core::document source,
                                   std::string_view service,
                                   std::string_view server,
                                   core::operator_command command)
{
    core::service* owner = find_named(source.services, service);
    core::backend_server* target =
        owner == nullptr ? nullptr : find_named(owner->servers, server);
    if (target == nullptr)
    {
        return refusal(
            fmt::format("there is no server {}/{}", service, server));
    }
    const bool removes = command == core::operator_command::none;
    if (removes && target->command == command)
    {
        return refusal("the server has no order");
    }
    if (removes && !core::takes_new_work(target->command) &&
        target->command != core::operator_command::drain)
    {
        return refusal(fmt::format("the order of the server is {}; readmit "
                                   "ends it",
                                   name_of(target->command)));
    }
    target->command = command;
    return next_version(std::move(source));
}

checked<core::document> with_key_withdrawn(core::document source,
                                           std::string_view account,
                                           const core::key_digest& digest)
{
    core::client_account* owner = find_named(source.accounts, account);
    if (owner == nullptr)
    {
        return refusal(fmt::format("there is no account {}", account));
    }
    const auto key = std::find_if(owner->keys.begin(), owner->keys.end(),
                                  [&digest](const core::account_key& item)
                                  {
                                      return item.digest == digest;
                                  });
    if (key == owner->keys.end())
    {
        return refusal(
            fmt::format("account {} has no key with this digest", account));
    }
    if (key->withdrawn)
    {
        return refusal("the key is withdrawn already");
    }
    key->withdrawn = true;
    return next_version(std::move(source));
}

checked<core::document> with_rate(core::document source,
                                  std::string_view account,
                                  double rate_per_second,
                                  std::optional<double> burst)
{
    core::client_account* target = find_named(source.accounts, account);
    if (target == nullptr)
    {
        return refusal(fmt::format("there is no account {}", account));
    }
    target->rate_per_second = rate_per_second;
    target->burst = burst.value_or(target->burst);
    return next_version(std::move(source));
}

std::string floor_warning(const core::document& source,
                          std::string_view service)
{
    for (const core::service& item : source.services)
    {
        if (item.name != service)
        {
            continue;
        }
        const auto in_service = static_cast<std::size_t>(
            std::count_if(item.servers.begin(), item.servers.end(),
                          [](const core::backend_server& server)
                          {
                              return core::takes_new_work(server.command);
                          }));
        const double floor = item.policy.healthy_floor *
                             static_cast<double>(item.servers.size());
        if (static_cast<double>(in_service) < floor)
        {
            return fmt::format("{} of {} servers of {} stay in service, below "
                               "its healthy_floor of {}",
                               in_service, item.servers.size(), service,
                               item.policy.healthy_floor);
        }
    }
    return {};
}

} // namespace medlarbarrow::config
