/// One authenticated link between two instances.
///
/// The opening side starts one HTTP/2 POST stream that stays open. DATA frames
/// in both directions carry the messages, each with a length prefix of four
/// bytes. One stream per message would cost two HEADERS frames and a stream
/// state for messages of about 60 bytes. It would also lose the flow control
/// that a single stream applies to the whole send queue.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <medlarbarrow/core/types.hpp>
#include <medlarbarrow/net/peer_auth.hpp>
#include <memory>
#include <nghttp2/nghttp2.h>
#include <string>
#include <variant>
#include <vector>

namespace medlarbarrow::net
{

/// Identity and credentials shared by all links of one instance.
struct link_identity
{
    core::instance_id self;
    std::string secret;
    std::shared_ptr<boost::asio::ssl::context> tls; ///< null: plain TCP
};

class peer_link;

/// Handlers of one link, called on the thread that runs the io_context.
struct link_events
{
    /// Called when the peer is authenticated.
    std::function<void(peer_link&)> on_open;
    std::function<void(peer_link&, std::vector<std::uint8_t>&&)> on_message;
    /// Called exactly once, also if the link was never opened. The error code
    /// is empty when the link was closed without a fault.
    std::function<void(peer_link&, std::error_code)> on_close;
};

/// One link over TCP or TLS. It authenticates the peer, splits the stream into
/// messages and queues outgoing messages, also before it is open.
class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using tcp = boost::asio::ip::tcp;
    using clock = std::chrono::steady_clock;

    /// Connects to `target`. The peer must have the name `expected`; an empty
    /// name, used for seeds, accepts any peer.
    static std::shared_ptr<peer_link>
    open(boost::asio::io_context& context,
         std::shared_ptr<const link_identity> identity,
         const tcp::endpoint& target,
         std::string expected,
         link_events events);

    /// Starts the accepting side of a link on a connected socket.
    static std::shared_ptr<peer_link>
    accept(tcp::socket socket,
           std::shared_ptr<const link_identity> identity,
           link_events events);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues an encoded message. False if the send queue is full.
    bool send(std::vector<std::uint8_t>&& message);

    /// Closes the socket and calls on_close; does nothing on a closed link.
    void close(std::error_code reason);

    bool is_open() const;
    bool is_closed() const;
    const core::instance_id& peer() const; ///< empty before on_open
    std::size_t queued_messages() const;   ///< messages not sent completely
    clock::time_point started() const;
    clock::time_point last_used() const; ///< last message sent or received

private:
    enum class phase
    {
        connecting,
        authenticating,
        open,
        closed
    };

    using tls_stream = boost::asio::ssl::stream<tcp::socket>;

    peer_link(tcp::socket socket,
              link_side own_side,
              std::shared_ptr<const link_identity> shared_identity,
              link_events handlers);

    tcp::socket& socket();
    void on_connected();
    void start_session();
    void submit_settings();
    void read();
    void on_bytes_read(std::size_t length);
    void write();
    void queue(std::vector<std::uint8_t>&& frame);
    bool read_frames(std::span<const std::uint8_t> bytes);
    bool on_frame(std::vector<std::uint8_t>&& frame);
    bool authenticate(std::span<const std::uint8_t> frame);
    bool on_authenticated();
    std::size_t max_frame_bytes() const;
    bool set_failure(std::error_code reason);
    std::ptrdiff_t copy_outgoing(std::uint8_t* target, std::size_t length);

    // Callbacks for nghttp2; `user` points to the peer_link.
    static int on_data_chunk(nghttp2_session* session,
                             std::uint8_t flags,
                             std::int32_t stream,
                             const std::uint8_t* data,
                             std::size_t length,
                             void* user);
    static int on_frame_received(nghttp2_session* session,
                                 const nghttp2_frame* frame,
                                 void* user);
    static int on_stream_closed(nghttp2_session* session,
                                std::int32_t stream,
                                std::uint32_t code,
                                void* user);
    static std::ptrdiff_t read_outgoing(nghttp2_session* session,
                                        std::int32_t stream,
                                        std::uint8_t* target,
                                        std::size_t length,
                                        std::uint32_t* flags,
                                        nghttp2_data_source* source,
                                        void* user);

    std::variant<tcp::socket, std::unique_ptr<tls_stream>> stream;
    link_side side;
    std::shared_ptr<const link_identity> identity;
    link_events events;
    std::string expected_name;
    phase link_phase = phase::connecting;
    nghttp2_session* session = nullptr;
    std::int32_t stream_id = -1;
    auth_party own_party;
    auth_party peer_party;
    std::deque<std::vector<std::uint8_t>> send_queue;
    std::size_t sent_offset = 0; ///< bytes of the first message that are sent
    std::size_t send_queue_bytes = 0;
    /// Messages queued before the link is open.
    std::vector<std::vector<std::uint8_t>> unopened_queue;
    std::size_t unopened_queue_bytes = 0;
    std::vector<std::uint8_t> receive_buffer; ///< start of an incomplete frame
    std::vector<std::uint8_t> read_buffer;
    std::vector<std::uint8_t> write_buffer;
    bool write_in_progress = false;
    bool in_nghttp2_callback = false;
    std::error_code failure;
    clock::time_point start_time;
    clock::time_point last_use_time;
};

} // namespace medlarbarrow::net
