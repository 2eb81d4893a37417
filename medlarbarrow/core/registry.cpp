#include <medlarbarrow/core/registry.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Live servers announce themselves again within two seconds of the source's
/// return.
constexpr duration lapse_grace = std::chrono::milliseconds(2300);

} // namespace

void server_registry::put(const announced_server& next)
{
    const auto found = this->entries.find(next.server.name);
    if (found != this->entries.end() &&
        next.started < found->second.known.started)
    {
        return;
    }
    this->entries[next.server.name] = {next, std::nullopt};
    ++this->changes;
}

void server_registry::remove(const std::string& name,
                             removal how,
                             time_point now)
{
    const auto found = this->entries.find(name);
    if (found == this->entries.end())
    {
        return;
    }
    // A server that was leaving has no reason to come back.
    if (how == removal::lapsed && !found->second.known.leaving)
    {
        if (!found->second.lapses)
        {
            found->second.lapses = now + lapse_grace;
        }
        return;
    }
    this->entries.erase(found);
    ++this->changes;
}

bool server_registry::tick(time_point now)
{
    const std::size_t ended = std::erase_if(
        this->entries,
        [now](const auto& item)
        {
            return item.second.lapses && *item.second.lapses <= now;
        });
    this->changes += ended;
    return ended > 0;
}

const announced_server* server_registry::find(const std::string& name) const
{
    const auto found = this->entries.find(name);
    return found == this->entries.end() ? nullptr : &found->second.known;
}

std::vector<const announced_server*>
server_registry::usable(const std::string& service) const
{
    std::vector<const announced_server*> found;
    for (const auto& [name, item] : this->entries)
    {
        if (item.known.service == service && !item.known.leaving)
        {
            found.push_back(&item.known);
        }
    }
    return found;
}

std::vector<const announced_server*> server_registry::all() const
{
    std::vector<const announced_server*> found;
    found.reserve(this->entries.size());
    for (const auto& [name, item] : this->entries)
    {
        found.push_back(&item.known);
    }
    return found;
}

} // namespace medlarbarrow::core
