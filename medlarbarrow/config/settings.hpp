/// An instance's own settings: a JSON file with comments.
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

struct endpoint
{
    std::string address; ///< IP number
    std::uint16_t port = 0;
};

/// PEM files; `authority_file` is used between instances only.
struct tls_files
{
    std::string certificate_file;
    std::string key_file;
    std::string authority_file;
};

/// Bounds of the entry towards callers.
struct entry_bounds
{
    std::uint32_t max_connections = 4096;
    std::uint32_t max_header_bytes = 16384;
    std::uint32_t buffer_bytes = 65536; ///< per direction of a request
    std::chrono::milliseconds idle_timeout{60000};
    std::chrono::milliseconds header_timeout{10000};
};

struct settings
{
    std::string name; ///< unique among the instances that run at once
    std::string data_centre;
    std::string region;
    endpoint callers; ///< listens for callers
    endpoint peers;   ///< listens for other instances
    endpoint admin;   ///< metrics, readiness and status, for operators
    std::optional<endpoint> platform; ///< configuration service and list
    std::string document_file;        ///< instead of a platform, small sites
    std::vector<endpoint> seeds;   ///< peers to ask when the platform is away
    std::string fleet_secret_file; ///< authenticates instances mutually
    std::optional<tls_files> caller_tls;
    std::optional<tls_files> peer_tls;
    entry_bounds bounds;
    std::chrono::milliseconds shutdown_limit{30000};
    std::string log_level = "info";
};

/// The whole of a file; nothing when it cannot be read.
std::optional<std::string> read_file(const std::string& path);

/// Reads settings from JSON text. Unknown members, wrong types and values out
/// of range are reported with their path and what is accepted. Code of a
/// failure: settings_invalid.
checked<settings> parse_settings(std::string_view text);

/// As parse_settings(), from a file. Code besides: file_unreadable.
checked<settings> load_settings(const std::string& path);

} // namespace medlarbarrow::config
