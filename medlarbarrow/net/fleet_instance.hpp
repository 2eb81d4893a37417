/// One running instance of a fleet whose instances find each other by gossip.
/// Everything runs on one thread, because an instance has only a fraction of a
/// core and none of its work may block. The log has its own thread.
#pragma once

#include <medlarbarrow/config/fleet_settings.hpp>
#include <medlarbarrow/net/gateway.hpp>
#include <medlarbarrow/net/published.hpp>
#include <medlarbarrow/net/source.hpp>

namespace medlarbarrow::net
{

/// What the adapter of a platform supplies to an instance.
struct platform_adapter
{
    http_interface names;
    std::string ready_path;
    item_reader read;
    std::function<core::result<std::unique_ptr<source>>(
        boost::asio::io_context&, const config::endpoint&, published&)>
        open_source;
    core::retry_limits repeats;
    double floor_share = core::default_floor_share;
    std::chrono::milliseconds shutdown_grace{6000};
};

/// Owns the listeners and connections of an instance and runs it until
/// shutdown.
class fleet_instance
{
public:
    /// Opens all listeners. The file `settings_path` is read again on SIGHUP.
    /// Errors: settings_invalid, or a system error.
    static core::result<std::unique_ptr<fleet_instance>>
    create(const config::fleet_settings& settings,
           std::string settings_path,
           platform_adapter adapter);

    ~fleet_instance();
    fleet_instance(const fleet_instance&) = delete;
    fleet_instance& operator=(const fleet_instance&) = delete;

    /// Serves until SIGTERM or SIGINT, then until all requests have ended or
    /// the shutdown grace is over. True if every request has ended.
    bool run();

private:
    struct state;
    explicit fleet_instance(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
