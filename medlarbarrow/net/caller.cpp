#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <medlarbarrow/net/caller.hpp>
#include <netinet/tcp.h>

namespace medlarbarrow::net
{

namespace
{

using error_code = boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t landing_bytes = 8192;
constexpr std::size_t least_chunk_bytes = 4096;
constexpr std::size_t greatest_chunk_bytes = 16384;
constexpr std::string_view head_end = "\r\n\r\n";

/// While draining, a connection that was used or opened this recently stays
/// open: its next request may already be on the way.
constexpr seconds drain_grace{1};

/// Time and bytes for which the rest of a refused request is discarded.
/// Closing at once would reset the connection and could destroy the refusal
/// before the caller has read it.
constexpr seconds linger_limit{1};
constexpr std::size_t linger_bytes = 1U << 20U;

/// Unacknowledged bytes for this long mean that the caller is gone.
constexpr milliseconds unacknowledged_limit{30000};

void set_socket_options(asio::ip::tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    using asio::detail::socket_option::integer;
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(10), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(5), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(3), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                          static_cast<int>(unacknowledged_limit.count())),
                      ignored);
}

std::variant<caller_stream::socket_type, caller_stream::tls_type>
make_stream(caller_stream::socket_type&& socket, asio::ssl::context* tls)
{
    if (tls == nullptr)
    {
        return std::move(socket);
    }
    return caller_stream::tls_type(std::move(socket), *tls);
}

} // namespace

caller_stream::caller_stream(socket_type&& socket, asio::ssl::context* tls)
    : stream(make_stream(std::move(socket), tls))
{
}

caller_stream::socket_type& caller_stream::socket()
{
    if (tls_type* secured = this->tls())
    {
        return secured->next_layer();
    }
    return std::get<socket_type>(this->stream);
}

caller_connection::caller_connection(caller_stream&& accepted,
                                     const config::entry_bounds& limits)
    : bounds(limits), stream(std::move(accepted)),
      changed(this->stream.get_executor()),
      guard_timer(this->stream.get_executor()),
      input(limits.max_header_bytes + 2 * landing_bytes), landing(landing_bytes)
{
    set_socket_options(this->stream.socket());
}

asio::awaitable<bool> caller_connection::handshake()
{
    caller_stream::tls_type* tls = this->stream.tls();
    if (tls == nullptr)
    {
        co_return true;
    }
    error_code failure;
    this->guard(this->bounds.header_timeout);
    co_await tls->async_handshake(
        asio::ssl::stream_base::server,
        asio::redirect_error(asio::use_awaitable, failure));
    this->end_guard();
    co_return !failure;
}

std::shared_ptr<caller_connection> caller_connection::shared_self()
{
    return std::static_pointer_cast<caller_connection>(
        this->shared_from_this());
}

// Keeps one read outstanding while the input buffer has room. It also notices
// a caller that goes away while its request is in progress. A half-closed
// connection counts as gone: it cannot be told from a closed one.
void caller_connection::fill()
{
    const std::size_t room = this->input.max_size() - this->input.size();
    if (this->reading || this->read_ended || this->closed ||
        room < this->landing.size())
    {
        return;
    }
    this->reading = true;
    this->stream.async_read_some(
        asio::buffer(this->landing),
        [self = this->shared_self()](error_code failure, std::size_t count)
        {
            self->on_read(failure, count);
        });
}

void caller_connection::on_read(error_code failure, std::size_t count)
{
    this->reading = false;
    const auto target = this->input.prepare(count);
    asio::buffer_copy(target, asio::buffer(this->landing, count));
    this->input.commit(count);
    if (failure)
    {
        this->read_ended = true;
        if (const auto callback = this->on_gone)
        {
            callback();
        }
    }
    else
    {
        this->fill();
    }
    this->changed.notify();
}

std::string_view caller_connection::buffered() const
{
    const auto bytes = this->input.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

core::time_point caller_connection::idle_deadline() const
{
    if (!this->idle)
    {
        return {};
    }
    const core::duration limit =
        this->draining ? core::duration(drain_grace)
                       : core::duration(this->bounds.idle_timeout);
    return *this->idle + limit;
}

asio::awaitable<head_status> caller_connection::read_head()
{
    this->idle = core::boot_clock::now();
    this->answer_begun = false;
    this->answer_ended = false;
    this->status = 0;
    std::optional<core::time_point> header_deadline;
    while (!this->closed)
    {
        // Some callers end a body with an extra line end.
        while (this->buffered().starts_with("\r\n"))
        {
            this->input.consume(2);
        }
        const std::string_view text = this->buffered();
        const auto end = text.find(head_end);
        const std::size_t length =
            end == std::string_view::npos ? text.size() : end + head_end.size();
        if (length > this->bounds.max_header_bytes)
        {
            co_return head_status::too_large;
        }
        if (end != std::string_view::npos)
        {
            co_return this->parse_head(length);
        }
        if (this->read_ended)
        {
            co_return head_status::closed;
        }
        const core::time_point now = core::boot_clock::now();
        if (!text.empty() && !header_deadline)
        {
            this->idle.reset();
            header_deadline = now + this->bounds.header_timeout;
        }
        if (header_deadline && now >= *header_deadline)
        {
            co_return head_status::timed_out;
        }
        error_code ignored;
        if (!header_deadline && now >= this->idle_deadline() &&
            this->stream.socket().available(ignored) == 0)
        {
            co_return head_status::closed;
        }
        this->fill();
        // A deadline that has passed must not turn this into a busy loop.
        const core::time_point least = now + milliseconds(1);
        core::time_point limit = this->idle_deadline();
        if (header_deadline)
        {
            limit = *header_deadline;
        }
        if (limit < least)
        {
            limit = least;
        }
        co_await this->changed.wait_until(limit);
    }
    co_return head_status::closed;
}

head_status caller_connection::parse_head(std::size_t length)
{
    this->idle.reset();
    this->kept.clear();
    this->keeping = true;
    this->body_failed = false;
    this->received = 0;
    this->body_limit = std::numeric_limits<std::uint64_t>::max();
    if (!is_plain_header(this->buffered().substr(0, length)))
    {
        return head_status::malformed;
    }
    this->parser.emplace();
    this->parser->header_limit(this->bounds.max_header_bytes + 1);
    this->parser->body_limit(boost::none);
    error_code failure;
    const std::size_t used = this->parser->put(this->input.data(), failure);
    this->input.consume(used);
    if (failure || !this->parser->is_header_done())
    {
        return head_status::malformed;
    }
    this->parser->eager(true);
    this->fill();
    return head_status::complete;
}

const http::request_header<>& caller_connection::header() const
{
    return this->parser->get().base();
}

bool caller_connection::is_body_whole() const
{
    return this->parser && this->parser->is_done();
}

// Decodes what is in the input buffer into `chunk`, as far as it fits.
std::string_view caller_connection::decode()
{
    if (this->chunk.empty())
    {
        this->chunk.resize(
            std::clamp<std::size_t>(this->bounds.buffer_bytes / 2,
                                    least_chunk_bytes, greatest_chunk_bytes));
    }
    auto& body = this->parser->get().body();
    body.data = this->chunk.data();
    body.size = this->chunk.size();
    body.more = true;
    while (this->input.size() > 0 && body.size > 0 && !this->parser->is_done())
    {
        error_code failure;
        const std::size_t used = this->parser->put(this->input.data(), failure);
        this->input.consume(used);
        const bool harmless = failure == http::error::need_buffer ||
                              failure == http::error::need_more;
        this->body_failed |= failure && !harmless;
        if (this->body_failed || used == 0)
        {
            break;
        }
    }
    const std::string_view part(this->chunk.data(),
                                this->chunk.size() - body.size);
    this->received += part.size();
    this->keep(part);
    this->fill();
    return part;
}

// Keeps the body for a further attempt while it fits the buffer.
void caller_connection::keep(std::string_view part)
{
    const std::size_t limit =
        std::max<std::size_t>(this->bounds.buffer_bytes, least_chunk_bytes);
    if (!this->keeping)
    {
        return;
    }
    if (this->kept.size() + part.size() > limit)
    {
        this->keeping = false;
        this->kept = std::string();
        return;
    }
    this->kept += part;
}

asio::awaitable<bool> caller_connection::prefetch(std::size_t count)
{
    const core::time_point limit =
        core::boot_clock::now() + this->bounds.header_timeout;
    while (!this->parser->is_done() && this->received < count)
    {
        const std::string_view part = this->decode();
        if (this->body_failed)
        {
            co_return false;
        }
        if (!part.empty() || this->parser->is_done())
        {
            continue;
        }
        if (this->is_gone() || core::boot_clock::now() >= limit)
        {
            co_return false;
        }
        co_await this->changed.wait_until(limit);
    }
    co_return true;
}

asio::awaitable<body_part> caller_connection::read_body(std::uint64_t position,
                                                        const bool& stopped)
{
    while (!stopped)
    {
        if (this->keeping && position < this->kept.size())
        {
            co_return body_part{std::string_view(this->kept).substr(position),
                                this->parser->is_done(), false};
        }
        if (this->parser->is_done())
        {
            co_return body_part{{}, true, false};
        }
        const std::string_view part = this->decode();
        if (this->body_failed || this->is_body_too_large())
        {
            co_return body_part{{}, false, true};
        }
        if (!part.empty())
        {
            co_return body_part{part, this->parser->is_done(), false};
        }
        if (this->parser->is_done())
        {
            continue;
        }
        if (this->is_gone())
        {
            co_return body_part{{}, false, true};
        }
        co_await this->changed.wait();
    }
    co_return body_part{};
}

void caller_connection::wake()
{
    this->changed.notify();
}

bool caller_connection::is_gone() const
{
    return this->read_ended || this->closed;
}

// Closes the connection when the operations that follow take too long.
void caller_connection::guard(core::duration limit)
{
    const std::uint64_t number = ++this->guard_number;
    this->guard_timer.expires_after(limit);
    this->guard_timer.async_wait(
        [weak = std::weak_ptr(this->shared_self()), number](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self && self->guard_number == number)
            {
                self->reset();
            }
        });
}

void caller_connection::end_guard()
{
    ++this->guard_number;
    this->guard_timer.cancel();
}

asio::awaitable<bool> caller_connection::write_buffers(
    const std::array<asio::const_buffer, 4>& buffers)
{
    if (this->closed)
    {
        co_return false;
    }
    error_code failure;
    this->guard(this->bounds.idle_timeout);
    co_await asio::async_write(
        this->stream, buffers,
        asio::redirect_error(asio::use_awaitable, failure));
    this->end_guard();
    co_return !failure;
}

asio::awaitable<bool> caller_connection::write(std::string_view text)
{
    const std::array<asio::const_buffer, 4> buffers{asio::buffer(text)};
    const bool written = co_await this->write_buffers(buffers);
    co_return written;
}

std::string caller_connection::head_text(const answer_head& head)
{
    // The rest of a body that nobody reads would be taken for a request.
    this->closing |= this->draining || !this->is_body_whole();
    std::string text =
        fmt::format("HTTP/1.1 {} {}\r\n", head.status, head.reason);
    text += head.lines;
    this->answer_chunked = head.has_body && !head.length;
    if (this->answer_chunked)
    {
        text += "Transfer-Encoding: chunked\r\n";
    }
    else if (head.length)
    {
        text += fmt::format("Content-Length: {}\r\n", *head.length);
    }
    if (this->closing)
    {
        text += "Connection: close\r\n";
    }
    return text + "\r\n";
}

asio::awaitable<bool> caller_connection::write_head(const answer_head& head,
                                                    std::string_view part,
                                                    bool last)
{
    std::string text = this->head_text(head);
    this->status = head.status;
    this->answer_begun = true;
    std::string_view after;
    if (this->answer_chunked)
    {
        text += part.empty() ? "" : fmt::format("{:x}\r\n", part.size());
        after = part.empty() ? "" : "\r\n";
    }
    const std::string_view end =
        this->answer_chunked && last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 4> buffers{
        asio::buffer(text), asio::buffer(part), asio::buffer(after),
        asio::buffer(end)};
    const bool written = co_await this->write_buffers(buffers);
    this->answer_ended = written && last;
    co_return written;
}

asio::awaitable<bool> caller_connection::write_part(std::string_view part,
                                                    bool last)
{
    std::string before;
    std::string_view after;
    if (this->answer_chunked && !part.empty())
    {
        before = fmt::format("{:x}\r\n", part.size());
        after = "\r\n";
    }
    const std::string_view end =
        this->answer_chunked && last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 4> buffers{
        asio::buffer(before), asio::buffer(part), asio::buffer(after),
        asio::buffer(end)};
    const bool written = co_await this->write_buffers(buffers);
    this->answer_ended = written && last;
    co_return written;
}

void caller_connection::drain()
{
    this->draining = true;
    this->changed.notify();
}

void caller_connection::close_socket()
{
    if (this->closed)
    {
        return;
    }
    this->closed = true;
    error_code ignored;
    this->stream.socket().close(ignored);
    if (const auto callback = this->on_gone)
    {
        callback();
    }
    this->changed.notify();
}

void caller_connection::reset()
{
    error_code ignored;
    this->stream.socket().set_option(asio::socket_base::linger(true, 0),
                                     ignored);
    this->close_socket();
}

std::optional<core::time_point> caller_connection::idle_since()
{
    error_code ignored;
    const bool arriving = !this->closed && this->idle &&
                          this->stream.socket().available(ignored) > 0;
    return arriving ? std::nullopt : this->idle;
}

void caller_connection::evict()
{
    this->close_socket();
}

asio::awaitable<void> caller_connection::close()
{
    error_code ignored;
    if (caller_stream::tls_type* tls = this->stream.tls();
        tls != nullptr && !this->is_gone())
    {
        this->guard(linger_limit);
        co_await tls->async_shutdown(
            asio::redirect_error(asio::use_awaitable, ignored));
        this->end_guard();
    }
    else if (!this->closed)
    {
        this->stream.socket().shutdown(asio::socket_base::shutdown_send,
                                       ignored);
    }
    const core::time_point limit = core::boot_clock::now() + linger_limit;
    std::size_t discarded = 0;
    while (!this->is_gone() && discarded < linger_bytes &&
           core::boot_clock::now() < limit)
    {
        discarded += this->input.size();
        this->input.consume(this->input.size());
        this->fill();
        co_await this->changed.wait_until(limit);
    }
    this->close_socket();
}

} // namespace medlarbarrow::net
