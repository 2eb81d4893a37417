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

constexpr std::size_t message_types = std::variant_size_v<core::message>;

struct traffic_count
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< encoded messages, without frames
};

/// Totals since the start; arrays are indexed like core::message.
struct peer_counters
{
    std::array<traffic_count, message_types> sent;
    std::array<traffic_count, message_types> received;
    std::uint64_t dropped_full = 0;        ///< send queue of the peer was full
    std::uint64_t dropped_unreachable = 0; ///< no link and no address
    std::uint64_t dropped_link = 0;        ///< queued when the link ended
    std::uint64_t dropped_invalid = 0;     ///< outside the codec's bounds
    std::uint64_t refused = 0;             ///< received and refused
    std::uint64_t links_open = 0;          ///< authenticated now
    std::uint64_t links_failed = 0;
};

/// All links of one instance. Every call comes from the thread that runs the
/// io_context, which also calls the handler.
///
/// A link carries messages both ways on one long-lived stream. It is opened
/// when a message is to be sent to a listed instance that has no link, and
/// closed after a time without messages. Delivery is not assured: a message
/// may be lost with its link, and is never repeated.
///
/// Any instance that proves knowledge of the fleet secret may open a link.
/// From one that is neither listed nor a seed only `hello` and `document_pull`
/// are taken, because an instance that joins while the platform is away is in
/// no list; everything else is refused as peer_unknown.
class peers
{
public:
    using message_handler =
        std::function<void(const core::instance_id&, core::message&&)>;

    /// Listens on settings.peers (port 0 picks a free one). Errors:
    /// file_unreadable (fleet secret, certificates), settings_invalid (secret
    /// shorter than 16 bytes, address), or the system's error of listening.
    static core::result<std::unique_ptr<peers>>
    create(boost::asio::io_context& context,
           const config::settings& settings,
           core::instance_id self,
           message_handler on_message);

    ~peers();
    peers(const peers&) = delete;
    peers& operator=(const peers&) = delete;

    /// Replaces the list: links to instances that left it are closed.
    void set_instances(const core::instance_list& list);

    /// Queues a message. An empty `to` means every seed. A full queue drops
    /// the message and counts it.
    void send(core::outgoing&& item);

    /// Sends to every listed instance but this one.
    void broadcast(const core::message& source);

    /// Closes all links and stops listening; nothing is called afterwards.
    void close();

    /// The port it listens on.
    std::uint16_t port() const;

    const peer_counters& counters() const;

private:
    struct state;
    explicit peers(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
