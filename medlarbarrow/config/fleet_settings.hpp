/// Settings file (JSON with comments) of an instance on a platform, whose
/// instances discover each other from seeds.
#pragma once

#include <medlarbarrow/config/settings.hpp>

namespace medlarbarrow::config
{

/// Settings of one instance.
struct fleet_settings
{
    std::string name; ///< unique among the instances that run at once
    std::string data_centre;
    std::string region;
    endpoint callers; ///< listener for callers
    endpoint ready;   ///< listener for readiness checks of the load balancer
    endpoint peers;   ///< listener for other instances, TCP
    endpoint fleet;   ///< datagrams from and to other instances, UDP
    std::optional<endpoint> metrics; ///< listener for metrics scrapers
    endpoint source; ///< store with the items that the platform publishes
    std::vector<endpoint> seeds; ///< some instances; the list may be outdated
    std::vector<std::string> bounds; ///< "name=value", for the platform adapter
    std::uint32_t max_files = 1024;  ///< file descriptors of this process
    std::string log_level = "info";
};

/// Parses settings from JSON text; endpoints are strings of the form "IP:port".
/// Every problem is reported with its path. Error code: settings_invalid.
checked<fleet_settings> parse_fleet_settings(std::string_view text);

/// As parse_fleet_settings(), from a file. Additional error code:
/// file_unreadable.
checked<fleet_settings> load_fleet_settings(const std::string& path);

} // namespace medlarbarrow::config
