/// Owner decisions of this instance: holds the placement of each service whose
/// requests arrive here and keeps it up to date with the announced servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/registry.hpp>
#include <string>

namespace medlarbarrow::net
{

/// Decides which server gets each request of the services that this instance
/// owns.
class service_owners
{
public:
    /// Called with the answer to a request that had to wait.
    using answer_handler =
        std::function<void(const core::grant_id&, const core::place_answer&)>;

    /// `servers` must outlive this object.
    service_owners(boost::asio::io_context& io,
                   const core::server_registry& servers,
                   const core::retry_limits& limits,
                   std::uint64_t seed,
                   answer_handler on_answer);

    /// Decides about a request. If it is queued, the answer_handler gets the
    /// answer later.
    core::place_answer request(const std::string& service,
                               const core::place_request& request);

    /// Records the end of a send. If `ended` names no service, the grant is
    /// looked up in all of them.
    void on_send_ended(const core::done_call& ended);

    /// Stops the periodic work.
    void close();

private:
    /// A service that this instance decides about.
    struct owned_service
    {
        core::placement placement;
        std::uint64_t registry_version = 0; ///< of the current servers
    };

    owned_service& find_or_create(const std::string& service);
    void refresh_servers(const std::string& service, owned_service& owned);
    void update(const std::string& service, owned_service& owned);
    void update_all();
    void start_timer();

    const core::server_registry& servers;
    core::retry_limits retry_limits;
    std::uint64_t seed;
    answer_handler on_answer;
    boost::asio::steady_timer timer;
    bool timer_running = false;
    std::map<std::string, owned_service> owned_services;
};

} // namespace medlarbarrow::net
