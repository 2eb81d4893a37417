/// Registry of the backend servers that announce themselves, as one instance
/// knows them. Servers are added and removed independently of the configuration
/// document.
#pragma once

#include <map>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// Announcement of one run of a backend server.
struct announced_server
{
    backend_server server; ///< `name` is unique across all services
    std::string service;
    std::uint64_t started = 0; ///< Unix milliseconds; 0: unknown
    bool leaving = false;      ///< accepts no new requests
    time_point warmed_up_at{}; ///< runs at full speed from this time
};

/// How certain it is that a removed server has left.
enum class removal_kind
{
    certain, ///< the server has left
    lapsed   ///< its announcements may only have been lost
};

/// The servers of all services. A server that is leaving or has been removed
/// gets no new requests. After an outage of the source, servers whose
/// announcements have lapsed stay usable for a grace period, because the live
/// ones announce themselves again.
class server_registry
{
public:
    /// Adds or replaces a server. An older run never replaces a newer one.
    void put(const announced_server& announced);

    /// Removes a server: at once if it has left or was leaving, else after the
    /// grace period.
    void remove(const std::string& name, removal_kind kind, time_point now);

    /// Removes servers whose grace period has ended; true if there were any.
    bool tick(time_point now);

    /// Null if there is no server of this name.
    const announced_server* find(const std::string& name) const;

    /// Servers of a service that may get new requests.
    std::vector<const announced_server*>
    usable(const std::string& service) const;

    /// All servers, including those that are leaving.
    std::vector<const announced_server*> all() const;

    /// Increases with every change.
    std::uint64_t version() const noexcept
    {
        return this->change_count;
    }

private:
    struct entry
    {
        announced_server announced;
        std::optional<time_point> removal_time; ///< end of the grace period
    };

    std::map<std::string, entry> entries;
    std::uint64_t change_count = 0;
};

} // namespace medlarbarrow::core
