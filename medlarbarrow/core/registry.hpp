/// Backend servers that announce themselves, as one instance knows them. They
/// come and go apart from the configuration document.
#pragma once

#include <map>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// One start of one backend server.
struct announced_server
{
    backend_server server; ///< `name` is unique over all services
    std::string service;
    std::uint64_t started = 0; ///< Unix milliseconds; 0: not stated
    bool leaving = false;      ///< takes no new work
    time_point warm_from{};    ///< runs at full speed from here on
};

/// How a removal is to be understood.
enum class removal
{
    certain, ///< the server has left
    lapsed   ///< its announcements may only have been lost
};

/// The servers of all services. A server that has been removed or that leaves
/// gets no new work. After an outage of the source, servers whose
/// announcements lapsed stay usable for a grace time, since the live ones
/// announce themselves again.
class server_registry
{
public:
    /// Adds or replaces. An older start never replaces a newer one.
    void put(const announced_server& next);

    void remove(const std::string& name, removal how, time_point now);

    /// Ends grace times that have passed; true when something changed.
    bool tick(time_point now);

    /// Null when unknown.
    const announced_server* find(const std::string& name) const;

    /// Servers of a service that may get new work.
    std::vector<const announced_server*>
    usable(const std::string& service) const;

    /// All entries, for instances that join.
    std::vector<const announced_server*> all() const;

    /// Rises with every change.
    std::uint64_t version() const noexcept
    {
        return this->changes;
    }

private:
    struct entry
    {
        announced_server known;
        std::optional<time_point> lapses; ///< removed then
    };

    std::map<std::string, entry> entries;
    std::uint64_t changes = 0;
};

} // namespace medlarbarrow::core
