/// Links between instances: authenticated nghttp2 streams over TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <string>
#include <variant>

namespace medlarbarrow::net
{

/// Number of message types in core::message.
constexpr std::size_t message_type_count = std::variant_size_v<core::message>;

/// Traffic of one message type in one direction.
struct traffic_counters
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages, without framing
};

/// Totals since the start of the process. The arrays are indexed by the
/// variant index of core::message.
struct peer_counters
{
    std::array<traffic_counters, message_type_count> sent;
    std::array<traffic_counters, message_type_count> received;
    std::uint64_t dropped_queue_full = 0;  ///< the peer's send queue was full
    std::uint64_t dropped_unreachable = 0; ///< no link and no address to dial
    std::uint64_t dropped_link_closed = 0; ///< still queued at the link's end
    std::uint64_t dropped_invalid = 0;     ///< values outside the codec limits
    std::uint64_t refused = 0;             ///< refused messages and links
    std::uint64_t links_open = 0;          ///< authenticated at this time
    std::uint64_t links_failed = 0;        ///< ended before authentication
};

/// Manages all links of one instance to other instances. All members must be
/// called on the thread that runs the io_context; the message handler is called
/// on the same thread.
///
/// A link carries messages in both directions on one long-lived stream. It is
/// opened when a message is sent to a listed instance that has no link, and
/// closed when no message has used it for some time. Delivery is not
/// guaranteed: a message may be lost with its link and is never sent again.
///
/// Any instance that proves knowledge of the fleet secret may open a link. From
/// an instance that is neither listed nor a seed, only `hello` and
/// `document_pull` are accepted, because an instance that joins while the
/// platform is unavailable is in no list. All other messages from it are
/// refused with peer_unknown.
class peers
{
public:
    using message_handler =
        std::function<void(const core::instance_id&, core::message&&)>;

    /// Starts listening on settings.peers; port 0 selects a free port. Errors:
    /// file_unreadable for the fleet secret or the certificates,
    /// settings_invalid for a secret shorter than 16 bytes or an address that
    /// is not an IP address, or the system error if listening fails.
    static core::result<std::unique_ptr<peers>>
    create(boost::asio::io_context& context,
           const config::settings& settings,
           core::instance_id self,
           message_handler on_message);

    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /// Replaces the instance list. Closes the links to instances that are no
    /// longer in it, and the links opened to an address that has changed.
    void set_instances(const core::instance_list& list);

    /// Queues a message. An empty `to` sends it to every seed. If the send
    /// queue is full, the message is dropped and counted.
    void send(core::outgoing&& outgoing);

    /// Queues a message for every listed instance except this one.
    void broadcast(const core::message& message);

    /// Closes all links and stops listening. The handler is not called
    /// afterwards.
    void close();

    /// The port that accepts links.
    std::uint16_t port() const;

    const peer_counters& counters() const;

private:
    struct state;
    explicit peers(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
