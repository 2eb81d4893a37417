/// TCP relay that simulates a network partition: tests can stop it from
/// forwarding.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/types.hpp>
#include <memory>

namespace medlarbarrow::standin
{

/// Directions in which forwarding is stopped. As in a real network partition,
/// TCP buffers the bytes and delivers them once the cut ends. Connections stay
/// open and silent in the meantime.
struct relay_cut
{
    bool to_target = false;
    bool to_client = false;
};

struct relay_counts
{
    std::uint64_t connections = 0; ///< accepted since the start
    std::uint64_t open = 0;        ///< connections open at the moment
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_client = 0;
};

/// Forwards TCP connections to one target. Runs on the thread of the
/// io_context. Call every function on that thread.
class relay
{
public:
    /// Fails with settings_invalid if an address is not an IP address, and with
    /// the system error if it cannot listen.
    static core::result<std::unique_ptr<relay>>
    create(boost::asio::io_context& context,
           const config::endpoint& listen,
           const config::endpoint& target);

    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Starts or ends cuts. Ending a cut forwards what was held back.
    void set_cut(relay_cut cut);

    /// Closes all connections with a TCP reset.
    void reset_connections();

    const relay_counts& counts() const;
    std::uint16_t port() const;

private:
    struct state;
    explicit relay(std::shared_ptr<state> initial_state);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
