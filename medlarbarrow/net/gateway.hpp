/// Entry instance side of a fleet whose backend servers announce themselves.
/// Serves callers over HTTP: has each request admitted by the owner of its
/// account and placed by the owner of its service, sends it to the server and
/// passes the answer on.
#pragma once

#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/body_budget.hpp>
#include <medlarbarrow/core/routes.hpp>
#include <medlarbarrow/core/shutdown.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/fleet.hpp>
#include <medlarbarrow/net/headers.hpp>

namespace medlarbarrow::net
{

struct gateway_settings
{
    config::endpoint caller_endpoint; ///< where callers connect
    std::string data_centre;
    std::uint32_t max_connections = 2048;
    http_interface names;
};

struct gateway_counters
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t second_sends = 0;
    std::uint64_t stop_refused_late = 0;    ///< came too late in a shutdown
    std::uint64_t stop_refused_waiting = 0; ///< waited at the end of a shutdown
    std::uint64_t stop_cut = 0;    ///< were running at the end of a shutdown
    std::uint64_t turned_away = 0; ///< refusals of servers with a Retry-After
    std::uint64_t unread_answers_ended = 0; ///< to free the server for others
    std::map<core::result_code, std::uint64_t> refusals;
    core::body_counters bodies; ///< and connections refused
    upstream_counters servers;
};

/// Accepts the connections of callers and serves their requests.
class gateway
{
public:
    /// All references must stay valid while the io_context runs. Errors:
    /// settings_invalid (address).
    static core::result<std::unique_ptr<gateway>>
    create(asio::io_context& io,
           const gateway_settings& settings,
           fleet& peers,
           const core::server_registry& servers);

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Starts to listen and accept connections. Returns the system error if it
    /// cannot.
    std::error_code start();

    std::uint16_t port() const;

    /// Puts a document in force for new requests.
    void apply_document(std::shared_ptr<const core::document> document);

    /// Limit of an account in the document in force; empty if the account is
    /// unknown.
    std::optional<core::quota_limit>
    account_limit(const std::string& account) const;

    /// From now on, answers close their connections, idle connections are
    /// closed and requests are refused that come too late for the plan.
    void begin_shutdown(const core::shutdown_plan& plan);

    /// Refuses the requests that wait for a server or have arrived only in
    /// part. From now on nothing is sent to a server.
    void stop_sending();

    /// Tells the callers of requests that still run that the outcome is
    /// unknown. Answers that are being written go on.
    void end_running();

    /// Logs the requests that are cut now and the counts of the shutdown.
    void log_shutdown();

    /// Stops accepting connections. Calls `on_drained` once all connections
    /// have ended.
    void stop(std::function<void()> on_drained);

    /// Sets a function that is called at the end of each request.
    void on_request_end(std::function<void(const request_summary&)> observer);

    gateway_counters counters() const;
    std::size_t running_requests() const;

private:
    struct state;
    explicit gateway(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
