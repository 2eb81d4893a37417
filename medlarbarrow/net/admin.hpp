/// HTTP listener for operators, which serves metrics, readiness and status, and
/// the client that reads the status.
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

/// Functions that produce the responses. All are called on the thread that runs
/// the io_context of the listener.
struct admin_sources
{
    std::function<std::string()> metrics; ///< Prometheus text format
    std::function<bool()> ready;
    std::function<std::string()> status; ///< JSON, see format_status()
    /// JSON for any other request target; nothing if the target does not exist.
    /// May be empty.
    std::function<std::optional<std::string>(std::string_view target)> other{};
    std::string ready_path = "/ready";
};

/// Limits of the listener. Operators and one scraper need few connections.
struct admin_bounds
{
    std::size_t max_connections = 32;
    std::uint32_t max_header_bytes = 8192;
    std::chrono::milliseconds timeout{5000}; ///< for a request or a response
};

/// Serves GET and HEAD for /metrics, /ready (200 or 503) and /status. A
/// connection beyond the limit is closed immediately.
class admin
{
public:
    /// Starts to listen on `endpoint`. Errors: settings_invalid if its address
    /// is not an IP address, or the system error if listening fails.
    static core::result<std::unique_ptr<admin>>
    listen(boost::asio::io_context& context,
           const config::endpoint& endpoint,
           admin_sources sources,
           admin_bounds bounds = {});

    ~admin();
    admin(const admin&) = delete;
    admin& operator=(const admin&) = delete;

    /// The listening port; the system selects it if the endpoint has port 0.
    std::uint16_t port() const;

    /// Stops listening and closes all connections.
    void close();

private:
    struct state;
    explicit admin(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

/// Formats the JSON of GET /status: the members of the view, with latencies in
/// milliseconds, and the `name`, `incarnation` and program `version` of the
/// instance.
std::string format_status(const core::instance_id& self,
                          const std::string& version,
                          const core::node_view& view);

/// Requests GET /status and returns the body. Errors: a system error, or
/// protocol_error if the status code of the response is not 200.
core::result<std::string> fetch_status(const config::endpoint& endpoint,
                                       std::chrono::milliseconds timeout);

} // namespace medlarbarrow::net
