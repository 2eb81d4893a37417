#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstring>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/peer_link.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
using core::result_code;

/// Read buffer of each link. It is small because there may be 830 links.
constexpr std::size_t read_buffer_bytes = 4096;

/// Size at which collected output is written. Receive buffers above this size
/// are released when they are empty.
constexpr std::size_t write_batch_bytes = 65'536;

/// Size of the length prefix of a frame.
constexpr std::size_t length_prefix_bytes = 4;

constexpr std::size_t max_auth_frame_bytes = 1024;

/// Limits of the send queue of one peer. It holds one document of the design
/// size.
constexpr std::size_t max_queue_bytes = 8U << 20U;
constexpr std::size_t max_queue_messages = 4096;

/// Flow-control window, about the maximum size of one message.
constexpr std::int32_t window_bytes = 1 << 20;

/// TCP closes the connection if the peer does not acknowledge data for this
/// time, so that a silent connection is replaced.
constexpr std::chrono::milliseconds unacknowledged_data_timeout{6000};

constexpr std::string_view stream_path = "/v1/peer";

nghttp2_nv make_header(std::string_view name, std::string_view value)
{
    // nghttp2 requires mutable pointers, but copies the bytes.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void set_socket_options(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto limit =
        static_cast<unsigned>(unacknowledged_data_timeout.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof limit);
}

std::uint32_t read_length_prefix(std::span<const std::uint8_t> bytes)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < length_prefix_bytes; ++index)
    {
        length = length << 8U | bytes[index];
    }
    return length;
}

std::vector<std::uint8_t>
add_length_prefix(std::span<const std::uint8_t> content)
{
    std::vector<std::uint8_t> frame;
    frame.reserve(length_prefix_bytes + content.size());
    const auto length = static_cast<std::uint32_t>(content.size());
    for (std::size_t index = length_prefix_bytes; index-- > 0;)
    {
        frame.push_back(static_cast<std::uint8_t>(length >> 8U * index));
    }
    frame.insert(frame.end(), content.begin(), content.end());
    return frame;
}

} // namespace

peer_link::peer_link(tcp::socket socket,
                     link_side own_side,
                     std::shared_ptr<const link_identity> shared_identity,
                     link_events handlers)
    : stream(std::move(socket)), side(own_side),
      identity(std::move(shared_identity)),
      events(std::move(handlers)), own_party{identity->self, make_nonce()},
      start_time(clock::now()), last_use_time(start_time)
{
}

peer_link::~peer_link()
{
    nghttp2_session_del(this->session);
}

std::shared_ptr<peer_link>
peer_link::open(asio::io_context& context,
                std::shared_ptr<const link_identity> identity,
                const tcp::endpoint& target,
                std::string expected,
                link_events events)
{
    std::shared_ptr<peer_link> link(
        new peer_link(tcp::socket(context), link_side::opening,
                      std::move(identity), std::move(events)));
    link->expected_name = std::move(expected);
    link->socket().async_connect(target,
                                 [link](const boost::system::error_code& error)
                                 {
                                     if (error)
                                     {
                                         link->close(error);
                                         return;
                                     }
                                     link->on_connected();
                                 });
    return link;
}

std::shared_ptr<peer_link>
peer_link::accept(tcp::socket socket,
                  std::shared_ptr<const link_identity> identity,
                  link_events events)
{
    std::shared_ptr<peer_link> link(
        new peer_link(std::move(socket), link_side::accepting,
                      std::move(identity), std::move(events)));
    link->on_connected();
    return link;
}

peer_link::tcp::socket& peer_link::socket()
{
    if (auto* plain = std::get_if<tcp::socket>(&this->stream))
    {
        return *plain;
    }
    return std::get<std::unique_ptr<tls_stream>>(this->stream)->next_layer();
}

// Starts the TLS handshake if TLS is configured, then the HTTP/2 session.
void peer_link::on_connected()
{
    if (this->link_phase == phase::closed)
    {
        return;
    }
    set_socket_options(this->socket());
    if (!this->identity->tls)
    {
        this->start_session();
        return;
    }
    auto tls = std::make_unique<tls_stream>(std::move(this->socket()),
                                            *this->identity->tls);
    tls_stream& target = *tls;
    this->stream = std::move(tls);
    const auto role = this->side == link_side::opening
                          ? asio::ssl::stream_base::client
                          : asio::ssl::stream_base::server;
    target.async_handshake(role,
                           [link = this->shared_from_this()](
                               const boost::system::error_code& error)
                           {
                               if (error)
                               {
                                   link->close(error);
                                   return;
                               }
                               link->start_session();
                           });
}

// Creates the nghttp2 session. The opening side sends the request and its
// identity.
void peer_link::start_session()
{
    if (this->link_phase == phase::closed)
    {
        return;
    }
    this->link_phase = phase::authenticating;
    this->read_buffer.resize(read_buffer_bytes);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, &peer_link::on_data_chunk);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, &peer_link::on_frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, &peer_link::on_stream_closed);
    if (this->side == link_side::opening)
    {
        nghttp2_session_client_new(&this->session, callbacks, this);
    }
    else
    {
        nghttp2_session_server_new(&this->session, callbacks, this);
    }
    nghttp2_session_callbacks_del(callbacks);
    this->submit_settings();
    if (this->side == link_side::opening)
    {
        const std::array headers{make_header(":method", "POST"),
                                 make_header(":scheme", "http"),
                                 make_header(":authority", "peer"),
                                 make_header(":path", stream_path)};
        nghttp2_data_provider provider{};
        provider.read_callback = &peer_link::read_outgoing;
        this->stream_id =
            nghttp2_submit_request(this->session, nullptr, headers.data(),
                                   headers.size(), &provider, nullptr);
        this->queue(encode(this->own_party));
    }
    this->write();
    this->read();
}

void peer_link::submit_settings()
{
    // No header compression table, because a link carries only one header block
    // in each direction.
    const std::array settings{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_HEADER_TABLE_SIZE, 0},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, 1},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                               window_bytes}};
    nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                            settings.size());
    nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                          window_bytes);
}

void peer_link::read()
{
    const auto handler =
        [link = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t length)
    {
        if (error)
        {
            link->close(error);
            return;
        }
        link->on_bytes_read(length);
    };
    std::visit(
        [this, &handler](auto& source)
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(source)>,
                                         tcp::socket>)
            {
                source.async_read_some(asio::buffer(this->read_buffer),
                                       handler);
            }
            else
            {
                source->async_read_some(asio::buffer(this->read_buffer),
                                        handler);
            }
        },
        this->stream);
}

// Passes the bytes of a completed read to nghttp2 and starts the next read.
void peer_link::on_bytes_read(std::size_t length)
{
    if (this->link_phase == phase::closed)
    {
        return;
    }
    this->in_nghttp2_callback = true;
    const auto consumed = nghttp2_session_mem_recv(
        this->session, this->read_buffer.data(), length);
    this->in_nghttp2_callback = false;
    if (this->link_phase == phase::closed)
    {
        return;
    }
    if (consumed < 0 || this->failure)
    {
        this->close(this->failure
                        ? this->failure
                        : make_error_code(result_code::peer_message_invalid));
        return;
    }
    this->write();
    if (this->link_phase != phase::closed)
    {
        this->read();
    }
}

// Writes the output that nghttp2 has ready, with one write at a time. nghttp2
// does not allow requests for output from within its own callbacks.
void peer_link::write()
{
    if (this->write_in_progress || this->in_nghttp2_callback ||
        this->session == nullptr || this->link_phase == phase::closed)
    {
        return;
    }
    this->write_buffer.clear();
    while (this->write_buffer.size() < write_batch_bytes)
    {
        const std::uint8_t* data = nullptr;
        const auto length = nghttp2_session_mem_send(this->session, &data);
        if (length < 0)
        {
            this->close(make_error_code(result_code::peer_message_invalid));
            return;
        }
        if (length == 0)
        {
            break;
        }
        this->write_buffer.insert(this->write_buffer.end(), data,
                                  data + length);
    }
    if (this->write_buffer.empty())
    {
        this->write_buffer.shrink_to_fit();
        return;
    }
    this->write_in_progress = true;
    const auto handler =
        [link = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t)
    {
        link->write_in_progress = false;
        if (error)
        {
            link->close(error);
            return;
        }
        link->write();
    };
    std::visit(
        [this, &handler](auto& target)
        {
            if constexpr (std::is_same_v<std::decay_t<decltype(target)>,
                                         tcp::socket>)
            {
                asio::async_write(target, asio::buffer(this->write_buffer),
                                  handler);
            }
            else
            {
                asio::async_write(*target, asio::buffer(this->write_buffer),
                                  handler);
            }
        },
        this->stream);
}

bool peer_link::send(std::vector<std::uint8_t>&& message)
{
    const std::size_t bytes = message.size() + length_prefix_bytes;
    if (this->queued_messages() >= max_queue_messages ||
        this->send_queue_bytes + this->unopened_queue_bytes + bytes >
            max_queue_bytes)
    {
        return false;
    }
    this->last_use_time = clock::now();
    if (this->link_phase != phase::open)
    {
        this->unopened_queue_bytes += bytes;
        this->unopened_queue.push_back(std::move(message));
        return true;
    }
    this->queue(std::move(message));
    this->write();
    return true;
}

void peer_link::queue(std::vector<std::uint8_t>&& frame)
{
    this->send_queue.push_back(add_length_prefix(frame));
    this->send_queue_bytes += frame.size() + length_prefix_bytes;
    if (this->session != nullptr && this->stream_id >= 0)
    {
        nghttp2_session_resume_data(this->session, this->stream_id);
    }
}

// Copies queued bytes into a DATA frame. A frame may contain several messages.
std::ptrdiff_t peer_link::copy_outgoing(std::uint8_t* target,
                                        std::size_t length)
{
    std::size_t total_copied = 0;
    while (total_copied < length && !this->send_queue.empty())
    {
        const std::vector<std::uint8_t>& front = this->send_queue.front();
        const std::size_t copied =
            std::min(length - total_copied, front.size() - this->sent_offset);
        std::memcpy(target + total_copied, front.data() + this->sent_offset,
                    copied);
        total_copied += copied;
        this->sent_offset += copied;
        this->send_queue_bytes -= copied;
        if (this->sent_offset == front.size())
        {
            this->send_queue.pop_front();
            this->sent_offset = 0;
        }
    }
    return static_cast<std::ptrdiff_t>(total_copied);
}

std::ptrdiff_t peer_link::read_outgoing(nghttp2_session*,
                                        std::int32_t,
                                        std::uint8_t* target,
                                        std::size_t length,
                                        std::uint32_t*,
                                        nghttp2_data_source*,
                                        void* user)
{
    const auto total_copied =
        static_cast<peer_link*>(user)->copy_outgoing(target, length);
    return total_copied == 0 ? std::ptrdiff_t{NGHTTP2_ERR_DEFERRED}
                             : total_copied;
}

int peer_link::on_data_chunk(nghttp2_session*,
                             std::uint8_t,
                             std::int32_t stream,
                             const std::uint8_t* data,
                             std::size_t length,
                             void* user)
{
    auto* link = static_cast<peer_link*>(user);
    const bool accepted =
        stream == link->stream_id && link->read_frames(std::span(data, length));
    return accepted ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

// On the accepting side, answers the first request and uses its stream for the
// link. A second request or a GOAWAY frame ends the link.
int peer_link::on_frame_received(nghttp2_session* session,
                                 const nghttp2_frame* frame,
                                 void* user)
{
    auto* link = static_cast<peer_link*>(user);
    if (frame->hd.type == NGHTTP2_GOAWAY)
    {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    if (frame->hd.type != NGHTTP2_HEADERS ||
        frame->headers.cat != NGHTTP2_HCAT_REQUEST)
    {
        return 0;
    }
    if (link->stream_id >= 0)
    {
        return NGHTTP2_ERR_CALLBACK_FAILURE;
    }
    link->stream_id = frame->hd.stream_id;
    const std::array headers{make_header(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = &peer_link::read_outgoing;
    return nghttp2_submit_response(session, link->stream_id, headers.data(),
                                   headers.size(), &provider);
}

int peer_link::on_stream_closed(nghttp2_session*,
                                std::int32_t,
                                std::uint32_t,
                                void* user)
{
    static_cast<peer_link*>(user)->set_failure(
        std::make_error_code(std::errc::connection_reset));
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

// Stores the reason that ends the link after the nghttp2 callback returns.
// Always returns false.
bool peer_link::set_failure(std::error_code reason)
{
    this->failure = reason;
    return false;
}

std::size_t peer_link::max_frame_bytes() const
{
    return this->link_phase == phase::open ? max_message_bytes
                                           : max_auth_frame_bytes;
}

// Splits the bytes of the stream into frames and handles the complete ones.
// False if the link must end.
bool peer_link::read_frames(std::span<const std::uint8_t> bytes)
{
    this->receive_buffer.insert(this->receive_buffer.end(), bytes.begin(),
                                bytes.end());
    std::size_t offset = 0;
    while (this->receive_buffer.size() - offset >= length_prefix_bytes)
    {
        const std::span unread =
            std::span(this->receive_buffer).subspan(offset);
        const std::size_t length = read_length_prefix(unread);
        if (length > this->max_frame_bytes())
        {
            return this->set_failure(
                make_error_code(result_code::peer_message_too_large));
        }
        if (unread.size() < length_prefix_bytes + length)
        {
            break;
        }
        const auto content = unread.subspan(length_prefix_bytes, length);
        offset += length_prefix_bytes + length;
        if (!this->on_frame({content.begin(), content.end()}))
        {
            return false;
        }
    }
    this->receive_buffer.erase(this->receive_buffer.begin(),
                               this->receive_buffer.begin() +
                                   static_cast<std::ptrdiff_t>(offset));
    if (this->receive_buffer.empty() &&
        this->receive_buffer.capacity() > write_batch_bytes)
    {
        this->receive_buffer.shrink_to_fit(); // large after a document part
    }
    return true;
}

// Handles one complete frame. False if the link must end.
bool peer_link::on_frame(std::vector<std::uint8_t>&& frame)
{
    if (this->link_phase != phase::open)
    {
        return this->authenticate(frame);
    }
    this->last_use_time = clock::now();
    this->events.on_message(*this, std::move(frame));
    return this->link_phase == phase::open;
}

// Handles the next frame of the authentication exchange described in
// peer_auth.hpp.
bool peer_link::authenticate(std::span<const std::uint8_t> frame)
{
    const std::string& secret = this->identity->secret;
    if (this->side == link_side::opening)
    {
        const auto answer = decode_answer(frame);
        if (!answer)
        {
            return this->set_failure(answer.error());
        }
        this->peer_party = answer->party;
        const auto proof = make_proof(secret, link_side::accepting,
                                      this->own_party, this->peer_party);
        if (!equal_constant_time(proof, answer->proof))
        {
            return this->set_failure(
                make_error_code(result_code::peer_unauthenticated));
        }
        if (!this->expected_name.empty() &&
            this->expected_name != this->peer_party.id.name)
        {
            return this->set_failure(
                make_error_code(result_code::peer_unknown));
        }
        this->queue(encode(make_proof(secret, link_side::opening,
                                      this->own_party, this->peer_party)));
        return this->on_authenticated();
    }
    if (this->peer_party.id.name.empty())
    {
        const auto party = decode_party(frame);
        if (!party)
        {
            return this->set_failure(party.error());
        }
        this->peer_party = *party;
        this->queue(encode(auth_answer{
            this->own_party, make_proof(secret, link_side::accepting,
                                        this->peer_party, this->own_party)}));
        return true;
    }
    const auto proof = decode_proof(frame);
    if (!proof || !equal_constant_time(
                      *proof, make_proof(secret, link_side::opening,
                                         this->peer_party, this->own_party)))
    {
        return this->set_failure(
            make_error_code(result_code::peer_unauthenticated));
    }
    return this->on_authenticated();
}

// Opens the link and queues the messages that were sent before.
bool peer_link::on_authenticated()
{
    this->link_phase = phase::open;
    this->last_use_time = clock::now();
    for (std::vector<std::uint8_t>& message : this->unopened_queue)
    {
        this->queue(std::move(message));
    }
    this->unopened_queue.clear();
    this->unopened_queue_bytes = 0;
    this->events.on_open(*this);
    return this->link_phase == phase::open;
}

void peer_link::close(std::error_code reason)
{
    if (this->link_phase == phase::closed)
    {
        return;
    }
    this->link_phase = phase::closed;
    boost::system::error_code ignored;
    this->socket().close(ignored);
    const auto on_close = std::move(this->events.on_close);
    on_close(*this, reason);
}

bool peer_link::is_open() const
{
    return this->link_phase == phase::open;
}

bool peer_link::is_closed() const
{
    return this->link_phase == phase::closed;
}

const core::instance_id& peer_link::peer() const
{
    return this->peer_party.id;
}

std::size_t peer_link::queued_messages() const
{
    return this->send_queue.size() + this->unopened_queue.size();
}

peer_link::clock::time_point peer_link::started() const
{
    return this->start_time;
}

peer_link::clock::time_point peer_link::last_used() const
{
    return this->last_use_time;
}

} // namespace medlarbarrow::net
