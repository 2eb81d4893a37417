/// One running instance of a fleet whose members find each other. Everything
/// runs on one thread, since an instance has a fraction of a core and no
/// duty that may block; the log has a thread of its own.
#pragma once

#include <medlarbarrow/config/fleet_settings.hpp>
#include <medlarbarrow/net/gateway.hpp>
#include <medlarbarrow/net/published.hpp>
#include <medlarbarrow/net/source.hpp>

namespace medlarbarrow::net
{

/// What the adapter of a platform brings.
struct platform_adapter
{
    interface_names names;
    std::string ready_path;
    item_reader read;
    std::function<core::result<std::unique_ptr<source>>(
        boost::asio::io_context&, const config::endpoint&, published&)>
        open_source;
    core::retry_limits repeats;
    std::chrono::milliseconds shutdown_grace{6000};
};

class fleet_instance
{
public:
    /// Opens all listeners. `settings_path` is read again on SIGHUP. Errors:
    /// settings_invalid, or those of the system.
    static core::result<std::unique_ptr<fleet_instance>>
    create(const config::fleet_settings& settings,
           std::string settings_path,
           platform_adapter adapter);

    ~fleet_instance();
    fleet_instance(const fleet_instance&) = delete;
    fleet_instance& operator=(const fleet_instance&) = delete;

    /// Serves until SIGTERM or SIGINT and the end of all requests, or the
    /// shutdown grace. True when every request has finished.
    bool run();

private:
    struct state;
    explicit fleet_instance(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
