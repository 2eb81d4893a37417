/// Settings file (JSON with comments) of one instance.
#pragma once

#include <chrono>
#include <cstdint>
#include <medlarbarrow/config/problems.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::config
{

/// Address and port of a listener or of a remote host.
struct endpoint
{
    std::string address; ///< IPv4 or IPv6 address
    std::uint16_t port = 0;
};

/// Paths of PEM files. `authority_file` is used only between instances.
struct tls_files
{
    std::string certificate_file;
    std::string key_file;
    std::string authority_file;
};

/// Limits of connections to callers and of their requests.
struct entry_bounds
{
    std::uint32_t max_connections = 4096;
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t buffer_bytes = 65536; ///< per direction of a request
    /// Of all requests together that are arriving.
    std::uint32_t max_arriving_bytes = 48U << 20U;
    std::chrono::milliseconds idle_timeout{60000};
    std::chrono::milliseconds header_timeout{10000};
};

/// Settings of one instance.
struct settings
{
    std::string name; ///< unique among the instances that run at once
    std::string data_centre;
    std::string region;
    endpoint callers; ///< listener for callers
    endpoint peers;   ///< listener for other instances
    /// Listener for metrics, readiness checks and status requests of operators.
    endpoint admin;
    /// Configuration service and instance list.
    std::optional<endpoint> platform;
    /// Document of a small site, which has no platform.
    std::string document_file;
    /// Peers to ask while the platform is unavailable.
    std::vector<endpoint> seeds;
    /// Secret for mutual authentication of instances.
    std::string fleet_secret_file;
    std::optional<tls_files> caller_tls;
    std::optional<tls_files> peer_tls;
    entry_bounds bounds;
    std::chrono::milliseconds shutdown_limit{30000};
    std::string log_level = "info";
};

/// Reads a complete file; no value if it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Parses settings from JSON text. Unknown members, wrong types and values out
/// of range are reported with their path and what is accepted. Error code:
/// settings_invalid.
checked<settings> parse_settings(std::string_view text);

/// As parse_settings(), from a file. Additional error code: file_unreadable.
checked<settings> load_settings(const std::string& path);

} // namespace medlarbarrow::config
