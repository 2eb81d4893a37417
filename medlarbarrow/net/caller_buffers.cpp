#include <algorithm>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/log.hpp>

/// What a connection holds for the request that arrives: its buffers, the copy
/// of its body, and their part of the budget of all connections.
namespace medlarbarrow::net
{

namespace
{

constexpr std::size_t min_chunk_bytes = 4096;
constexpr std::size_t max_chunk_bytes = 16384;

/// An idle connection keeps an input buffer up to this size.
constexpr std::size_t max_idle_input_bytes = 4096;

/// Memory that a parsed header takes for each of its lines, beside its bytes:
/// the parser keeps a node for each, and the request a copy of the line.
constexpr std::size_t header_line_bytes = 96;

/// Above this size the copy of a body grows by this size at a time instead of
/// being doubled.
constexpr std::size_t copy_step_bytes = 64U << 10U;

} // namespace

// Size up to which the input is read. It is smaller inside a body, which is
// taken from it in parts, unless the parser needs a longer line.
std::size_t caller_connection::input_limit() const
{
    const bool in_body = this->parser && !this->parser->is_done();
    return in_body && !this->needs_longer_input
               ? std::max(body_input_bytes, this->input.capacity())
               : this->input.max_size();
}

bool caller_connection::has_room_to_read() const
{
    return this->input.size() + this->read_buffer.size() <= this->input_limit();
}

// Accounts for `more_bytes` in addition to the buffers. False when the budget
// has no room for them.
bool caller_connection::hold_memory(std::size_t more_bytes)
{
    return this->account.hold(this->buffer_bytes() + more_bytes);
}

std::size_t caller_connection::buffer_bytes() const
{
    return this->input.capacity() + this->decode_buffer_bytes +
           this->replay_body.capacity() + this->header_bytes;
}

// Accounts for the buffers as they are.
bool caller_connection::hold_memory()
{
    return this->hold_memory(0);
}

// Refuses the request that arrives. Its further bytes are discarded.
void caller_connection::refuse_for_memory()
{
    if (this->memory_refused)
    {
        return;
    }
    this->memory_refused = true;
    this->account.count_refusal();
    log::write(log::level::warning, "request_memory_exhausted",
               {log::kv("client", this->account.client())});
}

// Gives back all buffers of the request that was read last. The input keeps the
// bytes of the next one.
void caller_connection::release_request_buffers()
{
    this->account.set_copy(0);
    this->is_streaming = false;
    this->needs_longer_input = false;
    this->decode_buffer.reset();
    this->decode_buffer_bytes = 0;
    if (this->replay_body.capacity() > std::string().capacity())
    {
        this->replay_body = std::string();
    }
    if (this->input.size() == 0 &&
        this->input.capacity() > max_idle_input_bytes)
    {
        this->input.shrink_to_fit();
    }
    this->hold_memory();
}

void caller_connection::release_buffers()
{
    this->discarded_bytes += this->input.size();
    this->input.consume(this->input.size());
    this->input.shrink_to_fit();
    this->release_request_buffers();
}

bool caller_connection::is_idle()
{
    return this->idle_since().has_value();
}

// Closes a connection that has not finished its TLS handshake. Otherwise the
// waiting coroutine writes the refusal.
void caller_connection::end_stopped()
{
    log::write(log::level::warning, "stopped_request_ended",
               {log::kv("client", this->account.client())});
    this->ended_by_budget = true;
    this->memory_refused = true;
    this->release_buffers();
    if (this->in_handshake)
    {
        this->close_socket();
        return;
    }
    this->changed.notify();
}

void caller_connection::pin_copy()
{
    this->account.set_copy(0);
}

void caller_connection::drop_copy()
{
    this->replayable = false;
    this->replay_body = std::string();
    this->hold_memory();
}

// Takes the buffers that are needed to pass on the rest of a body, so that it
// need not be refused after part of it has been sent.
bool caller_connection::reserve_streaming_buffers()
{
    const std::size_t capacity = this->input.capacity();
    const std::size_t more =
        body_input_bytes - std::min(capacity, body_input_bytes);
    if (!this->hold_memory(more))
    {
        return false;
    }
    this->input.reserve(body_input_bytes);
    return this->grow_decode_buffer(this->max_decode_bytes());
}

std::size_t caller_connection::max_decode_bytes() const
{
    return std::clamp<std::size_t>(this->bounds.buffer_bytes / 2,
                                   min_chunk_bytes, max_chunk_bytes);
}

bool caller_connection::grow_decode_buffer(std::size_t bytes)
{
    if (bytes <= this->decode_buffer_bytes)
    {
        return true;
    }
    if (!this->hold_memory(bytes - this->decode_buffer_bytes))
    {
        return false;
    }
    this->decode_buffer = std::make_unique_for_overwrite<char[]>(bytes);
    this->decode_buffer_bytes = bytes;
    return true;
}

bool caller_connection::grow_replay_body(std::size_t bytes)
{
    const std::size_t capacity = this->replay_body.capacity();
    if (bytes <= capacity)
    {
        return true;
    }
    const std::size_t grown =
        std::max(bytes, capacity + std::min(capacity, copy_step_bytes));
    // A copy for a retry is not worth the request of another caller.
    const std::size_t total = this->buffer_bytes() + grown - capacity;
    const bool granted = this->is_streaming ? this->account.hold_if_free(total)
                                            : this->account.hold(total);
    if (!granted)
    {
        return false;
    }
    // reserve() of a string that is not empty would double it.
    std::string larger;
    larger.reserve(grown);
    larger += this->replay_body;
    this->replay_body = std::move(larger);
    return true;
}

// Moves what was read into the input. False when there is no memory for it.
bool caller_connection::store_input(std::size_t count)
{
    const std::size_t size = this->input.size();
    const std::size_t capacity = this->input.capacity();
    if (size + count > capacity)
    {
        const std::size_t grown =
            std::min(this->input.max_size(), std::max(2 * size, size + count));
        if (!this->hold_memory(grown - capacity))
        {
            return false;
        }
    }
    const auto target = this->input.prepare(count);
    asio::buffer_copy(target, asio::buffer(this->read_buffer, count));
    this->input.commit(count);
    return true;
}

// Accounts for the parsed header, which may be many times as large as its text.
bool caller_connection::hold_header(std::string_view text)
{
    const auto lines =
        static_cast<std::size_t>(std::count(text.begin(), text.end(), '\n'));
    const std::size_t bytes = 2 * text.size() + lines * header_line_bytes;
    if (!this->hold_memory(bytes))
    {
        return false;
    }
    this->header_bytes = bytes;
    return true;
}

// Stores the body: what is read before it is sent, and then a copy for another
// attempt while it fits the buffer. If the budget has no room, a body of which
// nothing has been sent is refused, and that of another loses its copy.
void caller_connection::store_for_replay(std::string_view part)
{
    const std::size_t limit =
        std::max<std::size_t>(this->bounds.buffer_bytes, min_chunk_bytes);
    if (!this->replayable || part.empty())
    {
        return;
    }
    const std::size_t size = this->replay_body.size() + part.size();
    const bool fits =
        !this->is_streaming || (this->keeps_copy && size <= limit);
    if (fits && this->grow_replay_body(size))
    {
        this->replay_body += part;
    }
    else if (this->is_streaming)
    {
        this->account.set_copy(0);
        this->drop_copy();
    }
    else
    {
        this->refuse_for_memory();
    }
}

void caller_connection::evict()
{
    this->close_socket();
}

} // namespace medlarbarrow::net
