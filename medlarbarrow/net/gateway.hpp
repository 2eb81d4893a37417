/// The entry of an instance whose backend servers announce themselves: serves
/// callers over HTTP, has each request admitted by the owner of its account and
/// placed by the owner of its service, and passes the answer on.
#pragma once

#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/routes.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/fleet.hpp>
#include <medlarbarrow/net/headers.hpp>

namespace medlarbarrow::net
{

struct gateway_settings
{
    config::endpoint callers;
    std::string data_centre;
    std::uint32_t max_connections = 2048;
    interface_names names;
};

struct gateway_counters
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t callers_gone = 0;
    std::uint64_t second_sends = 0;
    std::map<core::result_code, std::uint64_t> refusals;
    upstream_counters servers;
};

class gateway
{
public:
    /// All references must outlive the io_context's run. Errors:
    /// settings_invalid (address).
    static core::result<std::unique_ptr<gateway>>
    create(asio::io_context& io,
           const gateway_settings& settings,
           fleet& peers,
           const core::server_registry& servers);

    gateway(const gateway&) = delete;
    gateway& operator=(const gateway&) = delete;
    ~gateway();

    /// Listens. Returns the error of the system when it cannot.
    std::error_code start();

    std::uint16_t port() const;

    void apply_document(std::shared_ptr<const core::document> next);

    /// Limits of an account by the document in force.
    std::optional<core::quota_limit> terms_of(const std::string& account) const;

    /// From now on answers close their connections, and idle ones end.
    void drain();

    /// Stops accepting; calls `drained` once when all connections have ended.
    void stop(std::function<void()> drained);

    /// Called when a request has ended.
    void on_request_end(std::function<void(const request_summary&)> observe);

    gateway_counters counters() const;
    std::size_t running() const;

private:
    struct state;
    explicit gateway(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
