#include <medlarbarrow/core/registry.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Live servers announce themselves again within two seconds after the source
/// is reachable again.
constexpr duration lapse_grace_period = std::chrono::milliseconds(2300);

} // namespace

void server_registry::put(const announced_server& announced)
{
    const auto it = this->entries.find(announced.server.name);
    if (it != this->entries.end() &&
        announced.started < it->second.announced.started)
    {
        return;
    }
    this->entries[announced.server.name] = {announced, std::nullopt};
    ++this->change_count;
}

void server_registry::remove(const std::string& name,
                             removal_kind kind,
                             time_point now)
{
    const auto it = this->entries.find(name);
    if (it == this->entries.end())
    {
        return;
    }
    // A server that was leaving does not announce itself again.
    if (kind == removal_kind::lapsed && !it->second.announced.leaving)
    {
        if (!it->second.removal_time)
        {
            it->second.removal_time = now + lapse_grace_period;
        }
        return;
    }
    this->entries.erase(it);
    ++this->change_count;
}

bool server_registry::tick(time_point now)
{
    const std::size_t expired =
        std::erase_if(this->entries,
                      [now](const auto& named_entry)
                      {
                          return named_entry.second.removal_time &&
                                 *named_entry.second.removal_time <= now;
                      });
    this->change_count += expired;
    return expired > 0;
}

const announced_server* server_registry::find(const std::string& name) const
{
    const auto it = this->entries.find(name);
    return it == this->entries.end() ? nullptr : &it->second.announced;
}

std::vector<const announced_server*>
server_registry::usable(const std::string& service) const
{
    std::vector<const announced_server*> servers;
    for (const auto& [name, registered] : this->entries)
    {
        if (registered.announced.service == service &&
            !registered.announced.leaving)
        {
            servers.push_back(&registered.announced);
        }
    }
    return servers;
}

std::vector<const announced_server*> server_registry::all() const
{
    std::vector<const announced_server*> servers;
    servers.reserve(this->entries.size());
    for (const auto& [name, registered] : this->entries)
    {
        servers.push_back(&registered.announced);
    }
    return servers;
}

} // namespace medlarbarrow::core
