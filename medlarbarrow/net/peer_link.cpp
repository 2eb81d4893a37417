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

constexpr std::size_t read_bytes = 4096; // per link; there may be 830 links
constexpr std::size_t write_bytes = 65'536;
constexpr std::size_t length_bytes = 4;
constexpr std::size_t max_auth_frame = 1024;

// The send queue of a peer holds one document of the designed size.
constexpr std::size_t max_queue_bytes = 8U << 20U;
constexpr std::size_t max_queue_messages = 4096;

/// Room for one greatest message in flight.
constexpr std::int32_t window_bytes = 1 << 20;

/// Data that a peer does not acknowledge for this long ends the link, so that
/// a silent connection is replaced.
constexpr std::chrono::milliseconds unacknowledged_limit{6000};

constexpr std::string_view stream_path = "/v1/peer";

nghttp2_nv header(std::string_view name, std::string_view value)
{
    // nghttp2 takes mutable pointers and copies the bytes.
    return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data())),
            reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data())),
            name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

void set_socket_options(asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto limit = static_cast<unsigned>(unacknowledged_limit.count());
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
                 sizeof limit);
}

std::uint32_t read_length(std::span<const std::uint8_t> bytes)
{
    std::uint32_t length = 0;
    for (std::size_t index = 0; index < length_bytes; ++index)
    {
        length = length << 8U | bytes[index];
    }
    return length;
}

std::vector<std::uint8_t> with_length(std::span<const std::uint8_t> content)
{
    std::vector<std::uint8_t> frame;
    frame.reserve(length_bytes + content.size());
    const auto length = static_cast<std::uint32_t>(content.size());
    for (std::size_t index = length_bytes; index-- > 0;)
    {
        frame.push_back(static_cast<std::uint8_t>(length >> 8U * index));
    }
    frame.insert(frame.end(), content.begin(), content.end());
    return frame;
}

} // namespace

peer_link::peer_link(tcp::socket socket,
                     link_side which,
                     std::shared_ptr<const link_identity> shared,
                     link_events handlers)
    : stream(std::move(socket)), side(which), identity(std::move(shared)),
      events(std::move(handlers)), own{identity->self, make_nonce()},
      start_time(clock::now()), used_time(start_time)
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
    link->expected = std::move(expected);
    link->socket().async_connect(target,
                                 [link](const boost::system::error_code& error)
                                 {
                                     if (error)
                                     {
                                         link->close(error);
                                         return;
                                     }
                                     link->connected();
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
    link->connected();
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

// Starts TLS where it is configured, then HTTP/2.
void peer_link::connected()
{
    if (this->current == phase::closed)
    {
        return;
    }
    set_socket_options(this->socket());
    if (!this->identity->tls)
    {
        this->start_session();
        return;
    }
    auto secured = std::make_unique<tls_stream>(std::move(this->socket()),
                                                *this->identity->tls);
    tls_stream& target = *secured;
    this->stream = std::move(secured);
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

void peer_link::start_session()
{
    if (this->current == phase::closed)
    {
        return;
    }
    this->current = phase::authenticating;
    this->read_buffer.resize(read_bytes);
    nghttp2_session_callbacks* callbacks = nullptr;
    nghttp2_session_callbacks_new(&callbacks);
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        callbacks, &peer_link::data_received);
    nghttp2_session_callbacks_set_on_frame_recv_callback(
        callbacks, &peer_link::frame_received);
    nghttp2_session_callbacks_set_on_stream_close_callback(
        callbacks, &peer_link::stream_closed);
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
        const std::array headers{
            header(":method", "POST"), header(":scheme", "http"),
            header(":authority", "peer"), header(":path", stream_path)};
        nghttp2_data_provider provider{};
        provider.read_callback = &peer_link::read_source;
        this->stream_id =
            nghttp2_submit_request(this->session, nullptr, headers.data(),
                                   headers.size(), &provider, nullptr);
        this->queue(encode(this->own));
    }
    this->write();
    this->read();
}

void peer_link::submit_settings()
{
    // No header compression state: a link carries one header block each way.
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
        link->received(length);
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

void peer_link::received(std::size_t length)
{
    if (this->current == phase::closed)
    {
        return;
    }
    this->in_callback = true;
    const auto taken = nghttp2_session_mem_recv(
        this->session, this->read_buffer.data(), length);
    this->in_callback = false;
    if (this->current == phase::closed)
    {
        return;
    }
    if (taken < 0 || this->failure)
    {
        this->close(this->failure
                        ? this->failure
                        : make_error_code(result_code::peer_message_invalid));
        return;
    }
    this->write();
    if (this->current != phase::closed)
    {
        this->read();
    }
}

// Collects what nghttp2 has ready and writes it; one write at a time. nghttp2
// must not be asked for output from within its own callbacks.
void peer_link::write()
{
    if (this->writing || this->in_callback || this->session == nullptr ||
        this->current == phase::closed)
    {
        return;
    }
    this->write_buffer.clear();
    while (this->write_buffer.size() < write_bytes)
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
    this->writing = true;
    const auto handler =
        [link = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t)
    {
        link->writing = false;
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
    const std::size_t bytes = message.size() + length_bytes;
    if (this->queued() >= max_queue_messages ||
        this->outgoing_bytes + this->waiting_bytes + bytes > max_queue_bytes)
    {
        return false;
    }
    this->used_time = clock::now();
    if (this->current != phase::open)
    {
        this->waiting_bytes += bytes;
        this->waiting.push_back(std::move(message));
        return true;
    }
    this->queue(std::move(message));
    this->write();
    return true;
}

void peer_link::queue(std::vector<std::uint8_t>&& frame)
{
    this->outgoing.push_back(with_length(frame));
    this->outgoing_bytes += frame.size() + length_bytes;
    if (this->session != nullptr && this->stream_id >= 0)
    {
        nghttp2_session_resume_data(this->session, this->stream_id);
    }
}

// Copies queued bytes into a DATA frame; messages may share a frame.
std::ptrdiff_t peer_link::fill(std::uint8_t* target, std::size_t length)
{
    std::size_t filled = 0;
    while (filled < length && !this->outgoing.empty())
    {
        const std::vector<std::uint8_t>& front = this->outgoing.front();
        const std::size_t part =
            std::min(length - filled, front.size() - this->outgoing_offset);
        std::memcpy(target + filled, front.data() + this->outgoing_offset,
                    part);
        filled += part;
        this->outgoing_offset += part;
        this->outgoing_bytes -= part;
        if (this->outgoing_offset == front.size())
        {
            this->outgoing.pop_front();
            this->outgoing_offset = 0;
        }
    }
    return static_cast<std::ptrdiff_t>(filled);
}

std::ptrdiff_t peer_link::read_source(nghttp2_session*,
                                      std::int32_t,
                                      std::uint8_t* target,
                                      std::size_t length,
                                      std::uint32_t*,
                                      nghttp2_data_source*,
                                      void* user)
{
    const auto filled = static_cast<peer_link*>(user)->fill(target, length);
    return filled == 0 ? std::ptrdiff_t{NGHTTP2_ERR_DEFERRED} : filled;
}

int peer_link::data_received(nghttp2_session*,
                             std::uint8_t,
                             std::int32_t stream,
                             const std::uint8_t* data,
                             std::size_t length,
                             void* user)
{
    auto* link = static_cast<peer_link*>(user);
    const bool accepted =
        stream == link->stream_id && link->take_input(std::span(data, length));
    return accepted ? 0 : NGHTTP2_ERR_CALLBACK_FAILURE;
}

// The accepting side answers the first request and uses its stream.
int peer_link::frame_received(nghttp2_session* session,
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
    const std::array headers{header(":status", "200")};
    nghttp2_data_provider provider{};
    provider.read_callback = &peer_link::read_source;
    return nghttp2_submit_response(session, link->stream_id, headers.data(),
                                   headers.size(), &provider);
}

int peer_link::stream_closed(nghttp2_session*,
                             std::int32_t,
                             std::uint32_t,
                             void* user)
{
    static_cast<peer_link*>(user)->fail(
        std::make_error_code(std::errc::connection_reset));
    return NGHTTP2_ERR_CALLBACK_FAILURE;
}

bool peer_link::fail(std::error_code reason)
{
    this->failure = reason;
    return false;
}

std::size_t peer_link::greatest_frame() const
{
    return this->current == phase::open ? max_message_bytes : max_auth_frame;
}

// Cuts the bytes of the stream into frames.
bool peer_link::take_input(std::span<const std::uint8_t> bytes)
{
    this->input.insert(this->input.end(), bytes.begin(), bytes.end());
    std::size_t offset = 0;
    while (this->input.size() - offset >= length_bytes)
    {
        const std::span rest = std::span(this->input).subspan(offset);
        const std::size_t length = read_length(rest);
        if (length > this->greatest_frame())
        {
            return this->fail(
                make_error_code(result_code::peer_message_too_large));
        }
        if (rest.size() < length_bytes + length)
        {
            break;
        }
        const auto content = rest.subspan(length_bytes, length);
        offset += length_bytes + length;
        if (!this->take_frame({content.begin(), content.end()}))
        {
            return false;
        }
    }
    this->input.erase(this->input.begin(),
                      this->input.begin() +
                          static_cast<std::ptrdiff_t>(offset));
    if (this->input.empty() && this->input.capacity() > write_bytes)
    {
        this->input.shrink_to_fit(); // after the part of a document
    }
    return true;
}

bool peer_link::take_frame(std::vector<std::uint8_t>&& frame)
{
    if (this->current != phase::open)
    {
        return this->authenticate(frame);
    }
    this->used_time = clock::now();
    this->events.on_message(*this, std::move(frame));
    return this->current == phase::open;
}

// Handles the next frame of the exchange that peer_auth.hpp describes.
bool peer_link::authenticate(std::span<const std::uint8_t> frame)
{
    const std::string& secret = this->identity->secret;
    if (this->side == link_side::opening)
    {
        const auto answer = decode_answer(frame);
        if (!answer)
        {
            return this->fail(answer.error());
        }
        this->other = answer->party;
        const auto proof =
            prove(secret, link_side::accepting, this->own, this->other);
        if (!is_same(proof, answer->proof))
        {
            return this->fail(
                make_error_code(result_code::peer_unauthenticated));
        }
        if (!this->expected.empty() && this->expected != this->other.id.name)
        {
            return this->fail(make_error_code(result_code::peer_unknown));
        }
        this->queue(
            encode(prove(secret, link_side::opening, this->own, this->other)));
        return this->opened();
    }
    if (this->other.id.name.empty())
    {
        const auto party = decode_party(frame);
        if (!party)
        {
            return this->fail(party.error());
        }
        this->other = *party;
        this->queue(
            encode(auth_answer{this->own, prove(secret, link_side::accepting,
                                                this->other, this->own)}));
        return true;
    }
    const auto proof = decode_proof(frame);
    if (!proof || !is_same(*proof, prove(secret, link_side::opening,
                                         this->other, this->own)))
    {
        return this->fail(make_error_code(result_code::peer_unauthenticated));
    }
    return this->opened();
}

bool peer_link::opened()
{
    this->current = phase::open;
    this->used_time = clock::now();
    for (std::vector<std::uint8_t>& message : this->waiting)
    {
        this->queue(std::move(message));
    }
    this->waiting.clear();
    this->waiting_bytes = 0;
    this->events.on_open(*this);
    return this->current == phase::open;
}

void peer_link::close(std::error_code reason)
{
    if (this->current == phase::closed)
    {
        return;
    }
    this->current = phase::closed;
    boost::system::error_code ignored;
    this->socket().close(ignored);
    const auto handler = std::move(this->events.on_close);
    handler(*this, reason);
}

bool peer_link::is_open() const
{
    return this->current == phase::open;
}

bool peer_link::is_closed() const
{
    return this->current == phase::closed;
}

const core::instance_id& peer_link::peer() const
{
    return this->other.id;
}

std::size_t peer_link::queued() const
{
    return this->outgoing.size() + this->waiting.size();
}

peer_link::clock::time_point peer_link::started() const
{
    return this->start_time;
}

peer_link::clock::time_point peer_link::last_used() const
{
    return this->used_time;
}

} // namespace medlarbarrow::net
