/// One authenticated link between two instances.
///
/// The opening side posts one HTTP/2 stream that stays open; DATA frames in
/// both directions carry messages, each behind its length in four bytes. A
/// stream for each message would cost two HEADERS frames and a stream state
/// for messages of about 60 bytes, and would lose the flow control that one
/// stream gives the whole send queue.
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

/// What every link of one instance shares.
struct link_identity
{
    core::instance_id self;
    std::string secret;
    std::shared_ptr<boost::asio::ssl::context> tls; ///< null: plain TCP
};

class peer_link;

struct link_events
{
    /// The peer is authenticated.
    std::function<void(peer_link&)> on_open;
    std::function<void(peer_link&, std::vector<std::uint8_t>&&)> on_message;
    /// Called once, also when the link never opened.
    std::function<void(peer_link&, std::error_code)> on_close;
};

class peer_link : public std::enable_shared_from_this<peer_link>
{
public:
    using tcp = boost::asio::ip::tcp;
    using clock = std::chrono::steady_clock;

    /// Opens a link. An empty `expected` accepts any name (seeds).
    static std::shared_ptr<peer_link>
    open(boost::asio::io_context& context,
         std::shared_ptr<const link_identity> identity,
         const tcp::endpoint& target,
         std::string expected,
         link_events events);

    static std::shared_ptr<peer_link>
    accept(tcp::socket socket,
           std::shared_ptr<const link_identity> identity,
           link_events events);

    ~peer_link();
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;

    /// Queues an encoded message; false when the queue is full.
    bool send(std::vector<std::uint8_t>&& message);

    void close(std::error_code reason);

    bool is_open() const;
    bool is_closed() const;
    const core::instance_id& peer() const; ///< empty before on_open
    std::size_t queued() const;
    clock::time_point started() const;
    clock::time_point last_used() const;

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
              link_side which,
              std::shared_ptr<const link_identity> shared,
              link_events handlers);

    tcp::socket& socket();
    void connected();
    void start_session();
    void submit_settings();
    void read();
    void received(std::size_t length);
    void write();
    void queue(std::vector<std::uint8_t>&& frame);
    bool take_input(std::span<const std::uint8_t> bytes);
    bool take_frame(std::vector<std::uint8_t>&& frame);
    bool authenticate(std::span<const std::uint8_t> frame);
    bool opened();
    std::size_t greatest_frame() const;
    bool fail(std::error_code reason);
    std::ptrdiff_t fill(std::uint8_t* target, std::size_t length);

    // Callbacks of nghttp2; `user` is the link.
    static int data_received(nghttp2_session* session,
                             std::uint8_t flags,
                             std::int32_t stream,
                             const std::uint8_t* data,
                             std::size_t length,
                             void* user);
    static int frame_received(nghttp2_session* session,
                              const nghttp2_frame* frame,
                              void* user);
    static int stream_closed(nghttp2_session* session,
                             std::int32_t stream,
                             std::uint32_t code,
                             void* user);
    static std::ptrdiff_t read_source(nghttp2_session* session,
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
    std::string expected;
    phase current = phase::connecting;
    nghttp2_session* session = nullptr;
    std::int32_t stream_id = -1;
    auth_party own;
    auth_party other;
    std::deque<std::vector<std::uint8_t>> outgoing;
    std::size_t outgoing_offset = 0; ///< sent bytes of the first message
    std::size_t outgoing_bytes = 0;
    std::vector<std::vector<std::uint8_t>> waiting; ///< until it is open
    std::size_t waiting_bytes = 0;
    std::vector<std::uint8_t> input; ///< bytes of an incomplete frame
    std::vector<std::uint8_t> read_buffer;
    std::vector<std::uint8_t> write_buffer;
    bool writing = false;
    bool in_callback = false;
    std::error_code failure;
    clock::time_point start_time;
    clock::time_point used_time;
};

} // namespace medlarbarrow::net
