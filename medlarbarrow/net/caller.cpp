#include <algorithm>
#include <bit>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <linux/sockios.h>
#include <medlarbarrow/net/caller.hpp>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace medlarbarrow::net
{

namespace
{

using error_code = boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t min_decode_bytes = 512;

constexpr std::string_view header_end = "\r\n\r\n";

/// While draining, a connection stays open for this long after it was opened
/// or last used, since its next request may already be on the way.
constexpr seconds drain_grace{1};

/// Limits of time and bytes for discarding the rest of a refused request.
/// Closing immediately would reset the connection, which could drop the
/// refusal before the caller has read it.
constexpr seconds linger_limit{1};
constexpr std::size_t linger_bytes = 1U << 20U;

/// A caller that does not acknowledge sent bytes for this long is taken to be
/// gone.
constexpr milliseconds unacknowledged_limit{30000};

/// A caller that accepts no further byte of its answer for this long is taken
/// to be gone. The idle timeout does not apply, since it may be much shorter:
/// a connection is not idle while an answer is written.
constexpr milliseconds stalled_write_limit{30000};

/// Bytes that the rest of a body must bring, beyond its prefetched part, while
/// the instance waits for `idle_timeout` for it. A server is kept busy by
/// such a body, so a caller that stops must not keep it.
constexpr std::uint64_t min_body_progress_bytes = 16U << 10U;

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

/// Tells the budget for as long as it exists that the connection waits for its
/// client.
class wait_scope
{
public:
    explicit wait_scope(core::body_account& waiting) : account(waiting) {}
    wait_scope(const wait_scope&) = delete;
    wait_scope& operator=(const wait_scope&) = delete;

    ~wait_scope()
    {
        this->account.end_wait();
    }

private:
    core::body_account& account;
};

caller_connection::caller_connection(caller_stream&& accepted,
                                     const config::entry_bounds& limits,
                                     std::shared_ptr<core::body_budget> budget,
                                     const std::string& client)
    : bounds(limits), account(std::move(budget), client, *this),
      stream(std::move(accepted)), changed(this->stream.get_executor()),
      operation_timer(this->stream.get_executor()),
      input(limits.max_header_bytes + 2 * read_buffer_bytes),
      read_buffer(read_buffer_bytes)
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
    const wait_scope waiting(this->account);
    this->account.wait_for_request(core::boot_clock::now());
    this->in_handshake = true;
    this->start_operation_timer(this->bounds.header_timeout);
    co_await tls->async_handshake(
        asio::ssl::stream_base::server,
        asio::redirect_error(asio::use_awaitable, failure));
    this->stop_operation_timer();
    this->in_handshake = false;
    co_return !failure;
}

std::shared_ptr<caller_connection> caller_connection::shared_self()
{
    return std::static_pointer_cast<caller_connection>(
        this->shared_from_this());
}

// Keeps one read outstanding while the input buffer has room. The read also
// detects a caller that disconnects during its request. A half-closed
// connection counts as disconnected, as it looks the same as a closed one.
void caller_connection::start_read()
{
    if (this->reading || this->read_ended || this->closed ||
        !this->has_room_to_read())
    {
        return;
    }
    this->reading = true;
    this->stream.async_read_some(
        asio::buffer(this->read_buffer),
        [self = this->shared_self()](error_code failure, std::size_t count)
        {
            self->on_read(failure, count);
        });
}

void caller_connection::on_read(error_code failure, std::size_t count)
{
    this->reading = false;
    this->account.record_progress();
    if (!this->memory_refused && count > 0 && !this->store_input(count))
    {
        this->refuse_for_memory();
    }
    if (this->memory_refused)
    {
        this->discarded_bytes += count;
    }
    if (failure)
    {
        this->read_ended = true;
        if (const auto callback = this->on_disconnect)
        {
            callback();
        }
    }
    else if (!this->memory_refused)
    {
        this->start_read();
    }
    this->changed.notify();
}

std::string_view caller_connection::buffered() const
{
    const auto bytes = this->input.cdata();
    return {static_cast<const char*>(bytes.data()), bytes.size()};
}

// Time when an idle connection is closed.
core::time_point caller_connection::idle_deadline() const
{
    if (!this->idle_start)
    {
        return {};
    }
    const core::duration limit =
        this->draining ? core::duration(drain_grace)
                       : core::duration(this->bounds.idle_timeout);
    return *this->idle_start + limit;
}

asio::awaitable<head_status> caller_connection::read_head()
{
    // The header of the last request may be large.
    this->parser.reset();
    this->header_bytes = 0;
    this->release_request_buffers();
    this->idle_start = core::boot_clock::now();
    this->answer_started = false;
    this->answer_complete = false;
    this->status = 0;
    const wait_scope waiting(this->account);
    this->account.wait_idle(*this->idle_start);
    std::optional<core::time_point> header_deadline;
    while (!this->closed)
    {
        if (this->memory_refused)
        {
            this->release_buffers();
            co_return head_status::no_memory;
        }
        // Some callers append an extra line break to a body.
        while (this->buffered().starts_with("\r\n"))
        {
            this->input.consume(2);
        }
        const std::string_view text = this->buffered();
        const auto end = text.find(header_end);
        const std::size_t length = end == std::string_view::npos
                                       ? text.size()
                                       : end + header_end.size();
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
            this->idle_start.reset();
            this->account.wait_for_request(now);
            header_deadline = now + this->bounds.header_timeout;
        }
        if (header_deadline &&
            (now >= *header_deadline || this->reading_expired))
        {
            co_return head_status::timed_out;
        }
        error_code ignored;
        if (!header_deadline && now >= this->idle_deadline() &&
            this->stream.socket().available(ignored) == 0)
        {
            co_return head_status::closed;
        }
        this->start_read();
        // Wait at least 1 ms: a deadline in the past would make the loop busy.
        const core::time_point earliest = now + milliseconds(1);
        core::time_point deadline = this->idle_deadline();
        if (header_deadline)
        {
            deadline = *header_deadline;
        }
        if (deadline < earliest)
        {
            deadline = earliest;
        }
        co_await this->changed.wait_until(deadline);
    }
    co_return head_status::closed;
}

// Parses the first `length` bytes of the input as the header of a new request.
head_status caller_connection::parse_head(std::size_t length)
{
    this->idle_start.reset();
    this->replay_body.clear();
    this->replayable = true;
    this->keeps_copy = true;
    this->body_failed = false;
    this->body_bytes_received = 0;
    this->body_wait = {};
    this->body_bytes_at_wait = 0;
    this->body_limit = std::numeric_limits<std::uint64_t>::max();
    if (!is_well_formed_header(this->buffered().substr(0, length)))
    {
        return head_status::malformed;
    }
    if (!this->hold_header(this->buffered().substr(0, length)))
    {
        this->refuse_for_memory();
        this->release_buffers();
        return head_status::no_memory;
    }
    this->parser.emplace();
    this->parser->header_limit(this->bounds.max_header_bytes + 1);
    this->parser->body_limit(boost::none);
    error_code failure;
    const std::size_t consumed = this->parser->put(this->input.data(), failure);
    this->input.consume(consumed);
    if (failure || !this->parser->is_header_done())
    {
        return head_status::malformed;
    }
    this->parser->eager(true);
    this->start_read();
    return head_status::complete;
}

const http::request_header<>& caller_connection::header() const
{
    return this->parser->get().base();
}

bool caller_connection::is_body_complete() const
{
    return this->parser && this->parser->is_done();
}

// Decodes buffered input into `decode_buffer` as far as it fits. The result is
// valid until the next call.
std::string_view caller_connection::decode()
{
    const std::size_t wanted =
        std::min(this->max_decode_bytes(),
                 std::max(std::bit_ceil(this->input.size()), min_decode_bytes));
    if (this->memory_refused || !this->grow_decode_buffer(wanted))
    {
        this->refuse_for_memory();
        return {};
    }
    auto& body = this->parser->get().body();
    body.data = this->decode_buffer.get();
    body.size = this->decode_buffer_bytes;
    body.more = true;
    while (this->input.size() > 0 && body.size > 0 && !this->parser->is_done())
    {
        if (!this->decode_input())
        {
            break;
        }
    }
    const std::string_view part(this->decode_buffer.get(),
                                this->decode_buffer_bytes - body.size);
    this->body_bytes_received += part.size();
    this->store_for_replay(part);
    this->start_read();
    return part;
}

// Has the parser take bytes from the input. False when it can take none or the
// body is malformed.
bool caller_connection::decode_input()
{
    error_code failure;
    const std::size_t consumed = this->parser->put(this->input.data(), failure);
    this->input.consume(consumed);
    this->needs_longer_input = consumed == 0;
    const bool needs_more = failure == http::error::need_buffer ||
                            failure == http::error::need_more;
    // A line between chunks that does not end would never be read whole.
    const bool is_stuck = consumed == 0 && !this->has_room_to_read();
    this->body_failed |= (failure && !needs_more) || is_stuck;
    return !this->body_failed && consumed > 0;
}

asio::awaitable<bool> caller_connection::prefetch(std::size_t count)
{
    const core::time_point deadline =
        core::boot_clock::now() + this->bounds.header_timeout;
    const wait_scope waiting(this->account);
    while (!this->parser->is_done() && this->body_bytes_received < count)
    {
        const std::string_view part = this->decode();
        if (this->memory_refused)
        {
            this->release_buffers();
            co_return false;
        }
        if (this->body_failed)
        {
            co_return false;
        }
        if (!part.empty() || this->parser->is_done())
        {
            continue;
        }
        if (this->is_gone() || this->reading_expired ||
            core::boot_clock::now() >= deadline)
        {
            co_return false;
        }
        this->account.wait_for_request(core::boot_clock::now());
        co_await this->changed.wait_until(deadline);
        this->account.end_wait();
    }
    if (!this->parser->is_done() && !this->reserve_streaming_buffers())
    {
        this->refuse_for_memory();
        this->release_buffers();
        co_return false;
    }
    co_return true;
}

// Waits for further bytes of the body. False if the caller stalls. Only the
// time in this function counts, not that in which the server reads nothing. If
// bytes are here when the time is up, this instance was late to read them, for
// example after a pause.
asio::awaitable<bool> caller_connection::wait_for_body()
{
    const std::uint64_t progress =
        this->body_bytes_received - this->body_bytes_at_wait;
    if (progress >= min_body_progress_bytes)
    {
        this->body_wait = {};
        this->body_bytes_at_wait = this->body_bytes_received;
    }
    const core::duration limit = this->bounds.idle_timeout;
    const core::time_point start = core::boot_clock::now();
    co_await this->changed.wait_until(start + limit - this->body_wait);
    this->body_wait += core::boot_clock::now() - start;
    if (this->body_wait < limit)
    {
        co_return true;
    }
    error_code ignored;
    const bool has_input = this->input.size() > 0 || this->is_gone() ||
                           this->stream.socket().available(ignored) > 0;
    this->body_wait = {};
    this->body_bytes_at_wait = this->body_bytes_received;
    co_return has_input;
}

asio::awaitable<body_part> caller_connection::read_body(std::uint64_t position,
                                                        const bool& stopped)
{
    while (!stopped)
    {
        if (this->replayable && position < this->replay_body.size())
        {
            // A write from the copy is in progress until the next call.
            this->account.set_copy(0);
            co_return body_part{
                std::string_view(this->replay_body).substr(position),
                this->parser->is_done(), false};
        }
        if (this->parser->is_done())
        {
            co_return body_part{{}, true, false};
        }
        if (position != this->body_bytes_received)
        {
            // The copy has been dropped: what was read can't be sent again.
            co_return body_part{{}, false, true};
        }
        this->is_streaming = true;
        const std::string_view part = this->decode();
        if (this->body_failed || this->is_body_too_large() ||
            this->memory_refused)
        {
            co_return body_part{{}, false, true};
        }
        const bool has_copy = this->replayable && !this->parser->is_done();
        this->account.set_copy(has_copy ? this->replay_body.capacity() : 0);
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
        const bool progressed = co_await this->wait_for_body();
        if (!progressed)
        {
            co_return body_part{{}, false, false, true};
        }
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

// Resets the connection if the operation that follows takes longer than
// `limit`.
void caller_connection::start_operation_timer(core::duration limit)
{
    const std::uint64_t number = ++this->operation_number;
    this->operation_timer.expires_after(limit);
    this->operation_timer.async_wait(
        [weak = std::weak_ptr(this->shared_self()), number](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self && self->operation_number == number)
            {
                self->reset();
            }
        });
}

void caller_connection::stop_operation_timer()
{
    ++this->operation_number;
    this->operation_timer.cancel();
}

// What the system has taken over may lie in its buffer for long.
std::uint64_t caller_connection::bytes_taken()
{
    int unacknowledged = 0;
    const bool is_known =
        !this->closed && ::ioctl(this->stream.socket().native_handle(),
                                 SIOCOUTQ, &unacknowledged) == 0;
    const auto queued =
        is_known ? static_cast<std::uint64_t>(unacknowledged) : 0;
    return this->written_bytes - std::min(queued, this->written_bytes);
}

// Writes all buffers. False when that fails or the caller accepts no further
// byte for stalled_write_limit.
asio::awaitable<bool> caller_connection::write_buffers(
    const std::array<asio::const_buffer, 4>& buffers)
{
    if (this->closed)
    {
        co_return false;
    }
    error_code failure;
    this->start_operation_timer(stalled_write_limit);
    const std::size_t total = asio::buffer_size(buffers);
    // Called before the write and after each part of it but the last.
    const std::uint64_t written_before = this->written_bytes;
    const auto remaining =
        [this, total, written_before](const error_code& part_failure,
                                      std::size_t written)
    {
        this->written_bytes = written_before + written;
        if (!part_failure && written > 0 && written < total)
        {
            this->start_operation_timer(stalled_write_limit);
        }
        return part_failure ? 0 : total - written;
    };
    this->writing = true;
    const std::size_t written = co_await asio::async_write(
        this->stream, buffers, remaining,
        asio::redirect_error(asio::use_awaitable, failure));
    this->writing = false;
    this->written_bytes = written_before + written;
    this->stop_operation_timer();
    co_return !failure;
}

asio::awaitable<bool> caller_connection::write(std::string_view text)
{
    const std::array<asio::const_buffer, 4> buffers{asio::buffer(text)};
    const bool written = co_await this->write_buffers(buffers);
    co_return written;
}

// Status line and header of an answer. Decides whether the body is chunked and
// whether the connection closes after it.
std::string caller_connection::format_header(const answer_head& head)
{
    // After an answer to a partly read request, the rest of the body would be
    // parsed as the next request.
    this->closes_after_answer |= this->draining || !this->is_body_complete();
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
    if (this->closes_after_answer)
    {
        text += "Connection: close\r\n";
    }
    return text + "\r\n";
}

asio::awaitable<bool> caller_connection::write_head(const answer_head& head,
                                                    std::string_view part,
                                                    bool last)
{
    std::string text = this->format_header(head);
    std::string_view chunk_suffix;
    if (this->answer_chunked)
    {
        text += part.empty() ? "" : fmt::format("{:x}\r\n", part.size());
        chunk_suffix = part.empty() ? "" : "\r\n";
    }
    const std::string_view terminator =
        this->answer_chunked && last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 4> buffers{
        asio::buffer(text), asio::buffer(part), asio::buffer(chunk_suffix),
        asio::buffer(terminator)};
    this->status = head.status;
    this->answer_started = true;
    const bool written = co_await this->write_buffers(buffers);
    this->answer_complete = written && last;
    co_return written;
}

asio::awaitable<bool> caller_connection::write_part(std::string_view part,
                                                    bool last)
{
    std::string chunk_prefix;
    std::string_view chunk_suffix;
    if (this->answer_chunked && !part.empty())
    {
        chunk_prefix = fmt::format("{:x}\r\n", part.size());
        chunk_suffix = "\r\n";
    }
    const std::string_view terminator =
        this->answer_chunked && last ? "0\r\n\r\n" : "";
    const std::array<asio::const_buffer, 4> buffers{
        asio::buffer(chunk_prefix), asio::buffer(part),
        asio::buffer(chunk_suffix), asio::buffer(terminator)};
    const bool written = co_await this->write_buffers(buffers);
    this->answer_complete = written && last;
    co_return written;
}

void caller_connection::drain()
{
    this->draining = true;
    this->changed.notify();
}

void caller_connection::expire_reading()
{
    this->reading_expired = true;
    this->changed.notify();
}

// Closes the socket and tells the waiting operations that the caller is gone.
void caller_connection::close_socket()
{
    if (this->closed)
    {
        return;
    }
    this->closed = true;
    error_code ignored;
    this->stream.socket().close(ignored);
    if (const auto callback = this->on_disconnect)
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
    const bool arriving = !this->closed && this->idle_start &&
                          (this->input.size() > 0 ||
                           this->stream.socket().available(ignored) > 0);
    return arriving ? std::nullopt : this->idle_start;
}

asio::awaitable<void> caller_connection::close()
{
    error_code ignored;
    if (caller_stream::tls_type* tls = this->stream.tls();
        tls != nullptr && !this->is_gone())
    {
        this->start_operation_timer(linger_limit);
        co_await tls->async_shutdown(
            asio::redirect_error(asio::use_awaitable, ignored));
        this->stop_operation_timer();
    }
    else if (!this->closed)
    {
        this->stream.socket().shutdown(asio::socket_base::shutdown_send,
                                       ignored);
    }
    this->release_request_buffers();
    const core::time_point deadline = core::boot_clock::now() + linger_limit;
    this->discarded_bytes = 0;
    while (!this->is_gone() && !this->ended_by_budget &&
           this->discarded_bytes < linger_bytes &&
           core::boot_clock::now() < deadline)
    {
        this->discarded_bytes += this->input.size();
        this->input.consume(this->input.size());
        this->start_read();
        co_await this->changed.wait_until(deadline);
    }
    this->close_socket();
}

} // namespace medlarbarrow::net
