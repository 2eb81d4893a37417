#include <medlarbarrow/net/send.hpp>

namespace medlarbarrow::net
{

namespace
{

/// A larger answer is streamed to the caller instead of buffered.
constexpr std::size_t max_buffered_bytes = 256U << 10U;

constexpr unsigned min_error_status = 500;

} // namespace

send_classification classify_send(const core::attempt_result& result)
{
    using core::attempt_end;
    using core::send_outcome;
    using core::send_result;
    switch (result.end)
    {
    case attempt_end::answered:
        if (result.status >= min_error_status)
        {
            return {send_result::failed, send_outcome::failed};
        }
        return {send_result::answered, send_outcome::succeeded};
    case attempt_end::not_sent:
        return {send_result::not_sent, result.withheld
                                           ? send_outcome::cancelled
                                           : send_outcome::unreachable};
    case attempt_end::refused_not_run:
        return {send_result::not_run, send_outcome::shed};
    case attempt_end::timed_out:
        return {send_result::lost, send_outcome::timed_out};
    case attempt_end::closed_early:
    case attempt_end::answer_cut_off:
        return {send_result::lost, send_outcome::connection_lost};
    case attempt_end::caller_gone:
    case attempt_end::body_stalled:
        break;
    }
    return {send_result::lost, send_outcome::cancelled};
}

send::send(std::shared_ptr<caller_connection> target,
           std::shared_ptr<answer_memory> memory,
           send_callbacks initial_callbacks)
    : caller(std::move(target)), callbacks(std::move(initial_callbacks)),
      held(std::move(memory))
{
}

asio::awaitable<core::attempt_result> send::run(upstream& servers,
                                                core::step_send step,
                                                checked_request request,
                                                trace::context span)
{
    const auto keep_alive = this->shared_from_this();
    const core::attempt_result result =
        co_await servers.attempt(step, request, span, *this);
    co_return result;
}

void send::cancel()
{
    this->cancelled = true;
    if (const auto callback = this->on_disconnect)
    {
        callback();
    }
}

asio::awaitable<body_part> send::read_body(std::uint64_t position,
                                           const bool& stopped)
{
    const body_part part = co_await this->caller->read_body(position, stopped);
    co_return part;
}

void send::wake()
{
    this->caller->wake();
}

bool send::is_gone() const
{
    return this->cancelled || this->caller->is_gone();
}

bool send::may_send() const
{
    return this->callbacks.may_send();
}

void send::on_answer_header(const core::attempt_result& result)
{
    this->callbacks.on_answer_header(result);
}

asio::awaitable<bool>
send::write_head(const answer_head& received, std::string_view part, bool last)
{
    this->head = received;
    const bool accepted = co_await this->buffer_part(part, last);
    co_return accepted;
}

asio::awaitable<bool> send::write_part(std::string_view part, bool last)
{
    if (!this->streaming)
    {
        const bool accepted = co_await this->buffer_part(part, last);
        co_return accepted;
    }
    const bool written = co_await this->caller->write_part(part, last);
    co_return written;
}

// Buffers the part, or starts streaming when the answer, or those of all sends
// together, become too large.
asio::awaitable<bool> send::buffer_part(std::string_view part, bool last)
{
    this->body += part;
    this->held.add(part.size());
    const bool may_buffer =
        this->body.size() <= max_buffered_bytes && !this->held.is_exhausted();
    if (last || may_buffer)
    {
        co_return !this->cancelled;
    }
    if (this->cancelled || !this->callbacks.claim())
    {
        co_return false;
    }
    this->streaming = true;
    const bool written =
        co_await this->caller->write_head(this->head, this->body, false);
    this->body = std::string();
    this->held.release();
    co_return written;
}

asio::awaitable<bool> send::deliver()
{
    if (this->streaming)
    {
        co_return this->caller->is_answer_complete();
    }
    // The complete body is buffered, so its length can be stated even if the
    // server did not.
    if (this->head.has_body)
    {
        this->head.length = this->body.size();
    }
    const std::string_view part = this->body;
    const bool written =
        co_await this->caller->write_head(this->head, part, true);
    co_return written;
}

} // namespace medlarbarrow::net
