/// HTTP listener for operators: metrics, readiness and status; and the client
/// that reads a status.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/types.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::net
{

/// Where the answers come from. All are called on the thread that runs the
/// io_context of the listener.
struct admin_sources
{
    std::function<std::string()> metrics; ///< Prometheus text format
    std::function<bool()> ready;
    std::function<std::string()> status; ///< JSON, see format_status()
    /// JSON for other targets; nothing when there is none. May be empty.
    std::function<std::optional<std::string>(std::string_view target)> other{};
    std::string ready_path = "/ready";
};

/// Bounds of the listener: operators and one scraper need few connections.
struct admin_bounds
{
    std::size_t max_connections = 32;
    std::uint32_t max_header_bytes = 8192;
    std::chrono::milliseconds timeout{5000}; ///< for a request or an answer
};

/// Serves GET and HEAD of /metrics, /ready (200 or 503) and /status. A
/// connection beyond the bound is closed at once.
class admin
{
public:
    /// Errors: settings_invalid when the address is not an IP address, or the
    /// error of the system when the endpoint cannot be listened on.
    static core::result<std::unique_ptr<admin>>
    listen(boost::asio::io_context& context,
           const config::endpoint& where,
           admin_sources sources,
           admin_bounds bounds = {});

    ~admin();
    admin(const admin&) = delete;
    admin& operator=(const admin&) = delete;

    /// The port listened on, chosen by the system when the settings say 0.
    std::uint16_t port() const;

    /// Stops listening and closes all connections.
    void close();

private:
    struct state;
    explicit admin(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

/// The JSON of GET /status: the members of the view, with latencies in
/// milliseconds, and `name`, `incarnation` and `version` (of the program).
std::string format_status(const core::instance_id& self,
                          const std::string& version,
                          const core::node_view& view);

/// Body of GET /status. Errors: those of the system, or protocol_error when
/// the answer is not 200.
core::result<std::string> fetch_status(const config::endpoint& from,
                                       std::chrono::milliseconds timeout);

} // namespace medlarbarrow::net
