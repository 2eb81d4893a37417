/// Owner duties of this instance: the placement of each service whose requests
/// come here, kept up to date with the announced servers.
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

class service_owners
{
public:
    /// Called with the answer to a request that has waited.
    using answer_function =
        std::function<void(const core::grant_id&, const core::place_answer&)>;

    /// `servers` must outlive this object.
    service_owners(boost::asio::io_context& io,
                   const core::server_registry& servers,
                   const core::retry_limits& repeats,
                   std::uint64_t seed,
                   answer_function answer);

    /// Decides about a request; a queued one is answered later.
    core::place_answer request(const std::string& service,
                               const core::place_request& asked);

    /// Notes the end of a send. A service that is not named is looked for.
    void finished(const core::done_call& ended);

    /// Ends the periodic work.
    void close();

private:
    struct duty
    {
        core::placement decisions;
        std::uint64_t registry_version = 0;
    };

    duty& duty_of(const std::string& service);
    void refresh(const std::string& service, duty& owner);
    void run(const std::string& service, duty& owner);
    void run_all();
    void arm();

    const core::server_registry& servers;
    core::retry_limits repeats;
    std::uint64_t seed;
    answer_function answer;
    boost::asio::steady_timer timer;
    bool armed = false;
    std::map<std::string, duty> duties;
};

} // namespace medlarbarrow::net
