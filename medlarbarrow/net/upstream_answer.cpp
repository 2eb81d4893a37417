#include <charconv>
#include <medlarbarrow/core/server_holds.hpp>
#include <medlarbarrow/net/socket_state.hpp>
#include <medlarbarrow/net/upstream_state.hpp>

// Reads the answers of servers: framing, limits and which request an answer
// belongs to.
namespace medlarbarrow::net
{

namespace
{

using error_code = boost::system::error_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A connection that has served this many requests is not reused, which bounds
/// the ids that are kept for it.
constexpr std::size_t max_requests_per_connection = 512;

/// Maximum number of interim answers and answers to earlier requests that are
/// skipped before the expected answer.
constexpr unsigned max_skipped_answers = 8;

/// Bytes that are read at once while a header is incomplete.
constexpr std::size_t header_read_bytes = 4096;

/// A longer body of an answer to another request is not read to its end: the
/// connection is closed instead.
constexpr std::size_t max_discarded_bytes = 4U << 20U;

/// Characters of a server's header value that are logged.
constexpr std::size_t max_logged_value = 64;

/// Part of the keep-alive timeout stated by a server after which its idle
/// connection is closed.
constexpr double keep_alive_share = 0.7;

/// Keep-alive timeout that the server states for the connection, if any.
std::optional<milliseconds>
keep_alive_timeout(const http::response_header<>& header)
{
    constexpr std::string_view parameter = "timeout=";
    const std::string_view text = header[http::field::keep_alive];
    const auto position = text.find(parameter);
    unsigned value = 0;
    if (position == std::string_view::npos)
    {
        return std::nullopt;
    }
    const char* first = text.data() + position + parameter.size();
    const auto parsed =
        std::from_chars(first, text.data() + text.size(), value);
    if (parsed.ec != std::errc())
    {
        return std::nullopt;
    }
    return seconds(std::min(value, 3600U));
}

/// True when a read ended with bytes that cannot be parsed, while the server
/// was still sending.
bool is_parse_error(const error_code& failure)
{
    return failure.category() ==
           http::make_error_code(http::error::bad_line_ending).category();
}

/// Status and header lines of the parsed answer for the caller.
answer_head make_head(const answer_parser& parser, bool has_body)
{
    const http::response_header<>& header = parser.get().base();
    answer_head head;
    head.status = header.result_int();
    head.reason = std::string_view(header.reason());
    head.lines = forwarded_answer_lines(header);
    head.has_body = has_body;
    const auto length = header.find(http::field::content_length);
    if (length != header.end())
    {
        std::uint64_t value = 0;
        const std::string_view text = length->value();
        std::from_chars(text.data(), text.data() + text.size(), value);
        head.length = value;
    }
    return head;
}

} // namespace

// False for an answer that carries the id of another request, and for one
// without an id if servers always echo it: on a reused connection it may belong
// to an earlier request, on a new one nothing shows that it is complete.
bool upstream::is_own_answer(const exchange& current) const
{
    const http::response_header<>& header = current.parser->get().base();
    const auto [first, last] = header.equal_range(this->names.request_id);
    if (first == last)
    {
        return !this->names.answers_bear_request_id;
    }
    return std::all_of(first, last,
                       [&current](const auto& line)
                       {
                           return line.value() == current.request_id;
                       });
}

// False for a success that lacks the header which each whole success bears: the
// server stopped in the middle of the head.
bool upstream::has_success_header(const http::response_header<>& header) const
{
    return header.result_int() / 100 != 2 || this->names.success_mark.empty() ||
           !header[this->names.success_mark].empty();
}

// True for an answer that ends with its connection. Unless the interface allows
// such answers, one that ends early would look complete. If it does, only the
// request id and the success mark tell that the head is whole.
bool upstream::ends_with_connection(const exchange& current) const
{
    const http::response_header<>& header = current.parser->get().base();
    return this->names.answers_until_close &&
           header.count(http::field::content_length) == 0 &&
           header.count(http::field::transfer_encoding) == 0;
}

// True when the answer states that the request did not run. With an interface
// that names the expected server, status 421 (wrong server) states it too.
bool upstream::states_not_run(const http::response_header<>& header) const
{
    const bool stated = header[this->names.not_run] == "1";
    const unsigned status = header.result_int();
    if (this->names.expected_server.empty())
    {
        return stated && status == 503;
    }
    return stated || status == 421;
}

// Passes on at once that the server leaves, if a whole header on its connection
// says so. Whose answer it is and what becomes of it does not matter.
void upstream::read_leaving(exchange& current, caller_channel& caller) const
{
    const http::response_header<>& header = current.parser->get().base();
    if (!current.result.leaving && !this->names.leaving.empty() &&
        header[this->names.leaving] == "1")
    {
        current.result.leaving = true;
        caller.on_answer_header(current.result);
    }
}

// Reads from the header for how long a server that refused the request wants
// nothing more. Only the own answer can say that.
void upstream::read_statement(exchange& current,
                              const core::step_send& step) const
{
    const http::response_header<>& header = current.parser->get().base();
    const auto retry_after = header.find(http::field::retry_after);
    if (!current.not_run || header.result_int() != 503 ||
        retry_after == header.end())
    {
        return;
    }
    const std::string_view text = retry_after->value();
    current.result.retry_after = core::parse_retry_after(text);
    if (!current.result.retry_after)
    {
        log::write(log::level::warning, "retry_after_ignored",
                   {log::kv("service", step.service),
                    log::kv("server", step.server.name),
                    log::kv("value", text.substr(0, max_logged_value))});
    }
}

// Reads and discards an answer that is not the one to this request. False when
// the own answer cannot follow, or when the end of this one cannot be found:
// whether it has a body depends on its own request, of which only the id may be
// known. After it the connection is not reused.
asio::awaitable<bool> upstream::discard_answer(exchange& current,
                                               const checked_request& request)
{
    const http::response_header<>& header = current.parser->get().base();
    if (header.count(this->names.request_id) == 0 &&
        current.history.request_ids.empty())
    {
        current.reject_bytes("no request id");
        co_return false;
    }
    current.discard(current.counts->answers_foreign,
                    header.count(this->names.request_id) == 0
                        ? "no request id"
                        : "id of another request");
    if (!has_unambiguous_framing(header) || request.method == "HEAD" ||
        current.history.has_served_head)
    {
        co_return false;
    }
    current.parser->eager(true);
    std::size_t discarded_bytes = 0;
    bool proceed = true;
    while (proceed && !current.parser->is_done())
    {
        proceed = co_await this->read_part(current);
        discarded_bytes += current.filled;
        proceed = proceed && discarded_bytes <= max_discarded_bytes;
    }
    current.filled = 0;
    co_return proceed;
}

// Reads further bytes into the input buffer.
asio::awaitable<error_code> upstream::read_some(exchange& current,
                                                std::size_t max_bytes)
{
    const std::size_t room = current.input.max_size() - current.input.size();
    if (room == 0)
    {
        co_return http::error::buffer_overflow;
    }
    error_code failure;
    const auto target =
        current.input.prepare(room < max_bytes ? room : max_bytes);
    const std::size_t count = co_await current.socket.async_read_some(
        target, asio::redirect_error(asio::use_awaitable, failure));
    current.input.commit(count);
    co_return failure;
}

// Reads the header of the next answer, final or not. The parser alone would
// join a line that begins with a blank to the one above it.
asio::awaitable<error_code> upstream::read_header(exchange& current)
{
    error_code failure = current.parse_header();
    while (!failure && !current.parser->is_header_done())
    {
        failure = co_await this->read_some(current, header_read_bytes);
        if (!failure)
        {
            failure = current.parse_header();
        }
    }
    co_return failure;
}

// Reads the final header of the answer, after interim answers. False when there
// is none or it is invalid.
asio::awaitable<bool> upstream::read_head(exchange& current,
                                          const checked_request& request,
                                          caller_channel& caller)
{
    error_code failure;
    for (unsigned count = 0; count < max_skipped_answers; ++count)
    {
        current.parser.emplace();
        current.parser->header_limit(max_answer_header_bytes);
        current.parser->body_limit(boost::none);
        current.parser->skip(request.method == "HEAD");
        failure = co_await this->read_header(current);
        if (failure)
        {
            break;
        }
        this->read_leaving(current, caller);
        if (current.parser->get().result_int() / 100 == 1)
        {
            continue;
        }
        // Otherwise it is a late answer to an earlier request on this
        // connection.
        if (this->is_own_answer(current))
        {
            break;
        }
        const bool discarded = co_await this->discard_answer(current, request);
        if (!discarded)
        {
            current.server_lives = true;
            current.stop(exchange::stop_cause::bad_answer);
            co_return false;
        }
    }
    if (failure)
    {
        if (is_parse_error(failure))
        {
            current.reject_bytes(failure.message());
        }
        else if (current.parser->got_some() || current.input.size() > 0)
        {
            current.reject_damaged(failure.message());
        }
        co_return false;
    }
    const http::response_header<>& header = current.parser->get().base();
    const unsigned status = header.result_int();
    current.result.status = status;
    current.result.latency = core::boot_clock::now() - current.send_start;
    const bool has_body =
        request.method != "HEAD" && status != 204 && status != 304;
    // Without clear framing, an answer that ends early would look complete.
    const bool has_framing = !has_body || has_unambiguous_framing(header) ||
                             this->ends_with_connection(current);
    if (status < 200 || !this->is_own_answer(current) || !has_framing)
    {
        current.reject_bytes("no framing or no final answer");
        co_return false;
    }
    if (!this->has_success_header(header))
    {
        current.reject_bytes("success without its header");
        co_return false;
    }
    current.not_run = this->states_not_run(header);
    current.age_limit = this->times.max_idle_age;
    if (const auto timeout = keep_alive_timeout(header))
    {
        const std::chrono::duration<double, std::milli> age_limit =
            keep_alive_share * *timeout;
        current.age_limit = std::min<core::duration>(
            current.age_limit,
            std::chrono::duration_cast<milliseconds>(age_limit));
    }
    current.head = make_head(*current.parser, has_body);
    current.stored.status = status;
    current.stored.content_type = header[http::field::content_type];
    current.parser->eager(true);
    co_return true;
}

// Why the connection is lost, if it is, after a read that saw the end of the
// stream. A connection has one error for both directions: a write that waits
// takes it, and the read that follows sees an end like one in order.
asio::awaitable<error_code> upstream::connection_loss(exchange& current)
{
    while (current.write_in_progress && !current.stopped &&
           is_disconnected(current.socket))
    {
        co_await current.changed.wait();
    }
    if (current.stopped)
    {
        co_return asio::error::operation_aborted;
    }
    // Linux reports a reset as a broken pipe if the server had ended its own
    // direction before, and otherwise as a reset.
    if (current.write_failure == asio::error::broken_pipe)
    {
        co_return error_code();
    }
    co_return current.write_failure;
}

// Reads the next part of the body into part_buffer. A short answer with a
// Content-Length is read completely before its first byte goes to the caller,
// so that a retry is still possible if it ends early. Otherwise each part is
// forwarded immediately.
asio::awaitable<bool> upstream::read_part(exchange& current)
{
    const bool needs_complete_body =
        !current.forwarded && current.head.length.has_value();
    current.filled = 0;
    while (true)
    {
        if (!current.decode())
        {
            current.reject_bytes("malformed body");
        }
        const bool enough = current.parser->is_done() ||
                            current.filled == current.part_limit ||
                            (current.filled > 0 && !needs_complete_body);
        if (enough || current.stopped)
        {
            break;
        }
        error_code failure =
            co_await this->read_some(current, this->part_bytes);
        if (failure == http::error::buffer_overflow)
        {
            current.reject_bytes("a line of the body without an end");
            break;
        }
        if (failure == asio::error::eof && this->ends_with_connection(current))
        {
            failure = co_await this->connection_loss(current);
            if (!failure)
            {
                current.parser->put_eof(failure);
                continue;
            }
        }
        if (failure)
        {
            current.reject_damaged(failure.message());
            co_return false;
        }
    }
    this->counts->bytes_from_servers += current.filled;
    co_return !current.stopped;
}

// Forwards part_buffer to the caller. False when the attempt has ended.
asio::awaitable<bool> upstream::forward_part(exchange& current,
                                             bool keep_answer,
                                             caller_channel& caller)
{
    const std::string_view part(current.part_buffer.data(), current.filled);
    const bool last = current.parser->is_done();
    if (keep_answer)
    {
        current.store_part(part);
    }
    // An answer that states "not run" is not forwarded: the decision logic
    // decides what the caller gets.
    if (!current.not_run && !current.caller_left)
    {
        bool written = false;
        if (current.forwarded)
        {
            written = co_await caller.write_part(part, last);
        }
        else
        {
            current.forwarded = true;
            written = co_await caller.write_head(current.head, part, last);
        }
        current.caller_left = !written;
    }
    if (current.caller_left && !(keep_answer && current.answer_fits))
    {
        current.stop(exchange::stop_cause::caller_gone);
    }
    co_return !current.stopped;
}

// Reads the answer and forwards it to the caller.
asio::awaitable<void> upstream::read_answer(std::shared_ptr<exchange> current,
                                            const core::step_send& step,
                                            const checked_request& request,
                                            caller_channel& caller)
{
    bool proceed = co_await this->read_head(*current, request, caller);
    if (proceed)
    {
        this->read_statement(*current, step);
        caller.on_answer_header(current->result);
    }
    while (proceed)
    {
        exchange::arm_for_part(current, step.deadline,
                               this->names.unsized_answer_overtime);
        proceed = co_await this->read_part(*current);
        if (!proceed)
        {
            break;
        }
        // The time that a slow caller takes does not count as the server's
        // silence.
        current->disarm();
        proceed =
            co_await this->forward_part(*current, step.keep_answer, caller);
        if (current->parser->is_done() || current->not_run)
        {
            break;
        }
    }
    if (!proceed)
    {
        co_return;
    }
    current->answer_complete = current->parser->is_done();
    current->reusable =
        current->answer_complete && current->parser->get().keep_alive() &&
        current->input.size() == 0 && !current->answer_discarded &&
        current->history.request_ids.size() < max_requests_per_connection;
}

} // namespace medlarbarrow::net
