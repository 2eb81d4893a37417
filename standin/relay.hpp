/// TCP relay that stops forwarding on command: path cuts for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/types.hpp>
#include <memory>

namespace medlarbarrow::standin
{

/// Directions that are cut. Bytes of a cut direction are neither forwarded nor
/// lost: as with a real cut, TCP still holds them and they flow when it ends.
/// Connections stay open and silent meanwhile.
struct relay_cut
{
    bool to_target = false;
    bool to_client = false;
};

struct relay_counts
{
    std::uint64_t connections = 0; ///< accepted in all
    std::uint64_t open = 0;
    std::uint64_t bytes_to_target = 0;
    std::uint64_t bytes_to_client = 0;
};

/// Runs on the thread of the io_context; every call comes from there.
class relay
{
public:
    /// Errors: settings_invalid for an address that is no IP number, or the
    /// system's error of listening.
    static core::result<std::unique_ptr<relay>>
    create(boost::asio::io_context& context,
           const config::endpoint& listen,
           const config::endpoint& target);

    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    void set_cut(relay_cut next);

    /// Ends all connections with a reset.
    void reset_connections();

    const relay_counts& counts() const;
    std::uint16_t port() const;

private:
    struct state;
    explicit relay(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
