/// Settings of an instance in a fleet whose members find each other: a JSON
/// file with comments.
#pragma once

#include <medlarbarrow/config/settings.hpp>

namespace medlarbarrow::config
{

struct fleet_settings
{
    std::string name; ///< unique among the instances that run at once
    std::string data_centre;
    std::string region;
    endpoint callers; ///< listens for callers
    endpoint ready;   ///< listens for the balancer's readiness checks
    endpoint peers;   ///< listens for other instances, TCP
    endpoint fleet;   ///< exchanges datagrams with other instances, UDP
    std::optional<endpoint> metrics; ///< listens for the metrics scraper
    endpoint source;                 ///< what is published for the fleet
    std::vector<endpoint> seeds;     ///< some instances, perhaps stale
    std::vector<std::string> bounds; ///< "name=value", read by the adapter
    std::uint32_t max_files = 1024;  ///< descriptors of this process
    std::string log_level = "info";
};

/// Reads settings from JSON text; endpoints are texts of the form "IP:port".
/// Every problem is reported with its path. Code: settings_invalid.
checked<fleet_settings> parse_fleet_settings(std::string_view text);

/// As parse_fleet_settings(), from a file. Code besides: file_unreadable.
checked<fleet_settings> load_fleet_settings(const std::string& path);

} // namespace medlarbarrow::config
