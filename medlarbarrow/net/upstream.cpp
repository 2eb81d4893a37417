#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <medlarbarrow/core/orders.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using answer_parser = http::response_parser<http::buffer_body>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A connection rests this long before reuse, unless the share of the server
/// is used up: bytes that follow an answer unasked for arrive in this time and
/// are noticed.
constexpr milliseconds settle_time{2};

/// Silence of a server inside an answer that has begun. The deadline alone
/// would cut off long answers to slow callers.
constexpr seconds silence_limit{10};

/// Sent bytes that a server's machine does not acknowledge for this long end
/// the connection: a silent connection is found before most deadlines.
constexpr milliseconds unacknowledged_limit{3000};

constexpr std::size_t answer_header_limit = 65536;
constexpr std::size_t least_share = 2;

/// Interim answers and answers to earlier requests that may come before the
/// one that is waited for.
constexpr unsigned foreign_answer_limit = 8;

/// Share of the idle time that a server states for which its connection is
/// kept.
constexpr double stated_idle_share = 0.7;

/// Keep-alive probes find a dead peer of an idle connection within 3 s.
void set_socket_options(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    using asio::detail::socket_option::integer;
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(1), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(1), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(2), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(
                          static_cast<int>(unacknowledged_limit.count())),
                      ignored);
}

/// False when the server has closed the connection or has sent bytes that
/// belong to no request; such bytes must never become the next answer.
bool is_quiet(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

milliseconds remaining(core::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        deadline - core::boot_clock::now());
    return std::max(left, milliseconds(1));
}

/// Idle time that the server states for the connection, if any.
std::optional<milliseconds> stated_idle_time(const http::response_header<>& in)
{
    constexpr std::string_view member = "timeout=";
    const std::string_view text = in[http::field::keep_alive];
    const auto at = text.find(member);
    unsigned value = 0;
    if (at == std::string_view::npos)
    {
        return std::nullopt;
    }
    const char* first = text.data() + at + member.size();
    const auto parsed =
        std::from_chars(first, text.data() + text.size(), value);
    if (parsed.ec != std::errc())
    {
        return std::nullopt;
    }
    return seconds(std::min(value, 3600U));
}

answer_head make_head(const answer_parser& parser, bool has_body)
{
    const http::response_header<>& header = parser.get().base();
    answer_head head;
    head.status = header.result_int();
    head.reason = std::string_view(header.reason());
    head.lines = answer_lines(header);
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

/// Connections to one server.
struct upstream::server_pool
{
    struct idle_connection
    {
        tcp::socket socket;
        core::time_point since{};
        core::duration age_limit{};
    };

    explicit server_pool(const asio::any_io_executor& executor)
        : freed(executor)
    {
    }

    std::deque<idle_connection> idle; ///< most recently used at the back
    std::size_t open = 0;             ///< idle ones included
    signal freed;
};

/// One attempt in progress.
struct upstream::exchange
{
    enum class stop_cause
    {
        none,
        timed_out,
        caller_gone,
        caller_failed,
        bad_answer
    };

    exchange(const asio::any_io_executor& executor,
             std::shared_ptr<server_pool> chosen,
             std::shared_ptr<upstream_counters> counters)
        : pool(std::move(chosen)), counts(std::move(counters)),
          socket(executor), watchdog(executor), changed(executor),
          input(answer_header_limit)
    {
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    ~exchange()
    {
        this->give_up_slot();
    }

    void give_up_slot()
    {
        if (this->holds_slot)
        {
            this->holds_slot = false;
            --this->pool->open;
            --this->counts->connections_open;
            this->pool->freed.notify();
        }
    }

    /// Ends the attempt from outside its coroutines. Closing the connection
    /// also cancels the request on the server.
    void stop(stop_cause why)
    {
        if (this->stopped)
        {
            return;
        }
        this->cause = why;
        this->close();
        this->pool->freed.notify();
    }

    void close()
    {
        this->stopped = true;
        error_code ignored;
        this->socket.close(ignored);
        this->changed.notify();
    }

    /// Decodes buffered input into `piece`; false when it is malformed.
    bool decode()
    {
        auto& body = this->parser->get().body();
        const std::size_t room = this->piece.size() - this->filled;
        body.data = this->piece.data() + this->filled;
        body.size = room;
        body.more = true;
        while (this->input.size() > 0 && body.size > 0 &&
               !this->parser->is_done())
        {
            error_code failure;
            const std::size_t used =
                this->parser->put(this->input.data(), failure);
            this->input.consume(used);
            if (failure && failure != http::error::need_more &&
                failure != http::error::need_buffer)
            {
                return false;
            }
            if (used == 0)
            {
                break;
            }
        }
        this->filled += room - body.size;
        return true;
    }

    void keep(std::string_view part)
    {
        this->kept_fits &=
            this->kept.body.size() + part.size() <= core::max_stored_body_bytes;
        if (this->kept_fits)
        {
            this->kept.body += part;
        }
    }

    void disarm()
    {
        this->armed_for = {};
        this->watchdog.cancel();
    }

    /// Bounds the server's silence inside an answer that has begun. A function
    /// of its own, because g++ 12 misplaces the frame of a coroutine in which
    /// std::max() takes a temporary.
    static void arm_for_piece(const std::shared_ptr<exchange>& run,
                              core::time_point deadline)
    {
        if (run->passed_on)
        {
            const core::time_point silent =
                core::boot_clock::now() + silence_limit;
            arm(run, std::max(deadline, silent));
        }
    }

    /// Stops `run` at `deadline` unless it is armed again or disarmed before.
    static void arm(const std::shared_ptr<exchange>& run,
                    core::time_point deadline)
    {
        run->watchdog.expires_at(timer_time(deadline));
        run->watchdog.async_wait(
            [weak = std::weak_ptr(run), deadline](error_code failure)
            {
                const auto target = weak.lock();
                if (!failure && target && target->armed_for == deadline)
                {
                    target->stop(stop_cause::timed_out);
                }
            });
        run->armed_for = deadline;
    }

    std::shared_ptr<server_pool> pool;
    std::shared_ptr<upstream_counters> counts;
    tcp::socket socket;
    asio::steady_timer watchdog;
    core::time_point armed_for{};
    signal changed; ///< the sender has ended
    stop_cause cause = stop_cause::none;
    bool holds_slot = false;
    bool stopped = false;

    std::uint64_t bytes_written = 0;
    bool sender_ended = true;
    bool request_whole = false; ///< all bytes of the request are written

    std::string request_id;
    core::time_point send_began{};
    bool answer_whole = false;
    bool reusable = false;
    core::duration age_limit{}; ///< of the connection, once idle
    bool passed_on = false;     ///< answer bytes went to the caller
    bool caller_left = false;
    bool not_run = false;
    core::attempt_result result;

    boost::beast::flat_buffer input;
    std::optional<answer_parser> parser;
    answer_head head;
    std::vector<char> piece;
    std::size_t filled = 0; ///< bytes of `piece` in use
    core::stored_answer kept;
    bool kept_fits = true;
};

/// Clears the caller's callback when the attempt ends in any way.
class callback_guard
{
public:
    explicit callback_guard(caller_port& target) : caller(target) {}
    callback_guard(const callback_guard&) = delete;
    callback_guard& operator=(const callback_guard&) = delete;

    ~callback_guard()
    {
        this->caller.on_gone = nullptr;
    }

private:
    caller_port& caller;
};

upstream::upstream(asio::any_io_executor chosen,
                   const config::entry_bounds& bounds,
                   interface_names interface,
                   upstream_times limits)
    : counts(std::make_shared<upstream_counters>()),
      executor(std::move(chosen)), names(std::move(interface)), times(limits),
      // Half for the parser's input, half for the decoded part.
      piece_bytes(std::max<std::size_t>(bounds.buffer_bytes / 2, 4096))
{
}

// False for an answer that names another request than the one it follows. A
// server need not name any; one that does is guarded against crossed answers.
bool upstream::is_own_answer(const exchange& run) const
{
    const http::response_header<>& header = run.parser->get().base();
    const auto named = header.find(this->names.request_id);
    return named == header.end() || named->value() == run.request_id;
}

// True for an answer whose end is the end of its connection. Where these are
// not expected, one that ends early would look whole.
bool upstream::ends_with_connection(const exchange& run) const
{
    const http::response_header<>& header = run.parser->get().base();
    return this->names.answers_until_close &&
           header.count(http::field::content_length) == 0 &&
           header.count(http::field::transfer_encoding) == 0;
}

bool upstream::says_not_run(const http::response_header<>& header) const
{
    const bool stated = header[this->names.not_run] == "1";
    const unsigned status = header.result_int();
    if (this->names.expected_server.empty())
    {
        return stated && status == 503;
    }
    return stated || status == 421;
}

std::string upstream::request_head(const core::step_send& step,
                                   const checked_request& request,
                                   const trace::context& span,
                                   std::string_view request_id) const
{
    std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
    head += request.lines;
    head += "traceparent: " + trace::format(span) + "\r\n";
    if (!request_id.empty())
    {
        head += fmt::format("{}: {}\r\n", this->names.request_id, request_id);
    }
    head += fmt::format("{}: {}\r\n", this->names.deadline,
                        remaining(step.deadline).count());
    if (!this->names.expected_server.empty() && !step.expected_server.empty())
    {
        head += fmt::format("{}: {}\r\n", this->names.expected_server,
                            step.expected_server);
    }
    if (request.chunked)
    {
        head += "Transfer-Encoding: chunked\r\n";
    }
    else if (request.content_length)
    {
        head += fmt::format("Content-Length: {}\r\n", *request.content_length);
    }
    return head + "\r\n";
}

void upstream::set_max_instances(std::uint32_t count) noexcept
{
    this->max_instances = std::max<std::uint32_t>(count, 1);
}

std::size_t
upstream::share_of(const core::backend_server& server) const noexcept
{
    return std::max<std::size_t>(server.connections / this->max_instances,
                                 least_share);
}

std::shared_ptr<upstream::server_pool>
upstream::pool_of(const core::backend_server& server)
{
    const std::string key = server.address + " " + std::to_string(server.port);
    std::shared_ptr<server_pool>& found = this->pools[key];
    if (!found)
    {
        found = std::make_shared<server_pool>(this->executor);
    }
    return found;
}

// Takes the newest connection that has rested, so that surplus connections
// grow old and are closed. When the share is used up, the oldest must do.
bool upstream::take_idle(const core::step_send& step, exchange& run)
{
    server_pool& pool = *run.pool;
    while (!pool.idle.empty())
    {
        const core::time_point now = core::boot_clock::now();
        auto chosen =
            std::find_if(pool.idle.rbegin(), pool.idle.rend(),
                         [now](const server_pool::idle_connection& candidate)
                         {
                             return now - candidate.since >= settle_time;
                         });
        if (chosen == pool.idle.rend())
        {
            if (pool.open < this->share_of(step.server))
            {
                return false;
            }
            --chosen;
        }
        server_pool::idle_connection candidate = std::move(*chosen);
        pool.idle.erase(std::next(chosen).base());
        if (now - candidate.since < candidate.age_limit &&
            is_quiet(candidate.socket))
        {
            run.socket = std::move(candidate.socket);
            run.holds_slot = true;
            ++this->counts->connections_reused;
            return true;
        }
        --pool.open;
        --this->counts->connections_open;
    }
    return false;
}

asio::awaitable<bool> upstream::acquire(const core::step_send& step,
                                        exchange& run)
{
    server_pool& pool = *run.pool;
    while (!run.stopped)
    {
        if (!step.fresh_connection && this->take_idle(step, run))
        {
            co_return true;
        }
        if (pool.open >= this->share_of(step.server) && !pool.idle.empty())
        {
            pool.idle.pop_front();
            --pool.open;
            --this->counts->connections_open;
        }
        if (pool.open < this->share_of(step.server))
        {
            ++pool.open;
            ++this->counts->connections_open;
            run.holds_slot = true;
            const bool connected = co_await this->connect(step, run);
            co_return connected;
        }
        co_await pool.freed.wait_until(step.deadline);
    }
    co_return false;
}

asio::awaitable<bool> upstream::connect(const core::step_send& step,
                                        exchange& run)
{
    error_code failure;
    const auto address = asio::ip::make_address(step.server.address, failure);
    const tcp::endpoint endpoint(address, step.server.port);
    if (!failure)
    {
        run.socket.open(endpoint.protocol(), failure);
    }
    if (!failure)
    {
        set_socket_options(run.socket);
        // A timer that fires as the connection is made must not close it later.
        const auto connecting = std::make_shared<bool>(true);
        asio::steady_timer limit(this->executor, this->times.connect);
        limit.async_wait(
            [&run, connecting](error_code cancelled)
            {
                error_code ignored;
                if (!cancelled && *connecting)
                {
                    run.socket.close(ignored);
                }
            });
        co_await run.socket.async_connect(
            endpoint, asio::redirect_error(asio::use_awaitable, failure));
        *connecting = false;
    }
    if (failure)
    {
        ++this->counts->connections_failed;
        log::write(log::level::info, "server_connect_failed",
                   {log::kv("service", step.service),
                    log::kv("server", step.server.name),
                    log::kv("reason", failure.message())});
        co_return false;
    }
    ++this->counts->connections_opened;
    co_return !run.stopped;
}

void upstream::release(exchange& run)
{
    server_pool& pool = *run.pool;
    run.holds_slot = false;
    pool.idle.push_back(
        {std::move(run.socket), core::boot_clock::now(), run.age_limit});
    pool.freed.notify();
}

// Writes header and body. The first write holds both, so a small request is
// one segment.
asio::awaitable<void>
upstream::send_request(std::shared_ptr<exchange> run,
                       std::string head,
                       const checked_request& request,
                       std::shared_ptr<caller_port> caller)
{
    std::uint64_t position = 0;
    bool last = false;
    std::string before = std::move(head);
    error_code failure;
    do
    {
        const body_part part =
            co_await caller->read_body(position, run->stopped);
        last = part.last;
        if (part.failed)
        {
            run->stop(exchange::stop_cause::caller_failed);
        }
        if (run->stopped)
        {
            break;
        }
        position += part.data.size();
        std::string_view after;
        if (request.chunked)
        {
            if (!part.data.empty())
            {
                before += fmt::format("{:x}\r\n", part.data.size());
                after = last ? "\r\n0\r\n\r\n" : "\r\n";
            }
            else
            {
                after = last ? "0\r\n\r\n" : "";
            }
        }
        const std::array<asio::const_buffer, 3> buffers{
            asio::buffer(before), asio::buffer(part.data), asio::buffer(after)};
        const std::size_t count = co_await asio::async_write(
            run->socket, buffers,
            asio::redirect_error(asio::use_awaitable, failure));
        run->bytes_written += count;
        this->counts->bytes_to_servers += count;
        before.clear();
    } while (!failure && !last);
    run->request_whole = !failure && last && !run->stopped;
    run->sender_ended = true;
    run->changed.notify();
}

// Reads the body of an answer that belongs to another request; false when it
// does not end.
asio::awaitable<bool> upstream::discard_answer(exchange& run)
{
    const http::response_header<>& header = run.parser->get().base();
    if (!has_clear_framing(header))
    {
        co_return false;
    }
    run.parser->eager(true);
    run.piece.resize(this->piece_bytes);
    bool going_on = true;
    while (going_on && !run.parser->is_done())
    {
        going_on = co_await this->read_piece(run);
    }
    run.filled = 0;
    co_return going_on;
}

// Reads the final header of the answer; false when there is none.
asio::awaitable<bool> upstream::read_head(exchange& run,
                                          const checked_request& request)
{
    error_code failure;
    for (unsigned count = 0; count < foreign_answer_limit; ++count)
    {
        run.parser.emplace();
        run.parser->header_limit(answer_header_limit);
        run.parser->body_limit(boost::none);
        run.parser->skip(request.method == "HEAD");
        co_await http::async_read_header(
            run.socket, run.input, *run.parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            break;
        }
        if (run.parser->get().result_int() / 100 == 1)
        {
            continue;
        }
        // A late answer to an earlier request on this connection.
        if (this->is_own_answer(run))
        {
            break;
        }
        const bool discarded = co_await this->discard_answer(run);
        if (!discarded)
        {
            run.stop(exchange::stop_cause::bad_answer);
            co_return false;
        }
    }
    if (failure)
    {
        co_return false;
    }
    const http::response_header<>& header = run.parser->get().base();
    const unsigned status = header.result_int();
    run.result.status = status;
    run.result.latency = core::boot_clock::now() - run.send_began;
    const bool has_body =
        request.method != "HEAD" && status != 204 && status != 304;
    // Without a stated end, an answer that ends early would look whole.
    if (status < 200 || !this->is_own_answer(run) ||
        (has_body && !has_clear_framing(header) &&
         !this->ends_with_connection(run)))
    {
        run.stop(exchange::stop_cause::bad_answer);
        co_return false;
    }
    run.not_run = this->says_not_run(header);
    run.age_limit = this->times.idle_age;
    if (const auto stated = stated_idle_time(header))
    {
        const std::chrono::duration<double, std::milli> kept =
            stated_idle_share * *stated;
        run.age_limit = std::min<core::duration>(
            run.age_limit, std::chrono::duration_cast<milliseconds>(kept));
    }
    run.head = make_head(*run.parser, has_body);
    run.kept.status = status;
    run.kept.content_type = header[http::field::content_type];
    run.parser->eager(true);
    co_return true;
}

// Reads the next part of the body into run.piece. A short answer of stated
// length is read whole before its first byte goes to the caller, so that its
// early end still allows a retry. Otherwise any part is passed on at once.
asio::awaitable<bool> upstream::read_piece(exchange& run)
{
    const bool gather = !run.passed_on && run.head.length.has_value();
    run.filled = 0;
    while (true)
    {
        if (!run.decode())
        {
            run.stop(exchange::stop_cause::bad_answer);
        }
        const bool enough = run.parser->is_done() ||
                            run.filled == run.piece.size() ||
                            (run.filled > 0 && !gather);
        if (enough || run.stopped)
        {
            break;
        }
        error_code failure;
        const std::size_t room = run.input.max_size() - run.input.size();
        const std::size_t wanted =
            room < this->piece_bytes ? room : this->piece_bytes;
        const auto space = run.input.prepare(wanted);
        const std::size_t count = co_await run.socket.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, failure));
        run.input.commit(count);
        if (failure == asio::error::eof && this->ends_with_connection(run))
        {
            failure = {};
            run.parser->put_eof(failure);
            continue;
        }
        if (failure)
        {
            co_return false;
        }
    }
    this->counts->bytes_from_servers += run.filled;
    co_return !run.stopped;
}

// Passes run.piece on to the caller; false when the attempt is over.
asio::awaitable<bool>
upstream::pass_on(exchange& run, bool keep_answer, caller_port& caller)
{
    const std::string_view part(run.piece.data(), run.filled);
    const bool last = run.parser->is_done();
    if (keep_answer)
    {
        run.keep(part);
    }
    // An answer "not run" is not passed on: the decision logic chooses what
    // the caller gets.
    if (!run.not_run && !run.caller_left)
    {
        bool written = false;
        if (run.passed_on)
        {
            written = co_await caller.write_part(part, last);
        }
        else
        {
            run.passed_on = true;
            written = co_await caller.write_head(run.head, part, last);
        }
        run.caller_left = !written;
    }
    if (run.caller_left && !(keep_answer && run.kept_fits))
    {
        run.stop(exchange::stop_cause::caller_gone);
    }
    co_return !run.stopped;
}

// Reads the answer and passes it on.
asio::awaitable<void> upstream::read_answer(std::shared_ptr<exchange> run,
                                            const core::step_send& step,
                                            const checked_request& request,
                                            caller_port& caller)
{
    bool going_on = co_await this->read_head(*run, request);
    run->piece.resize(this->piece_bytes);
    while (going_on)
    {
        exchange::arm_for_piece(run, step.deadline);
        going_on = co_await this->read_piece(*run);
        if (!going_on)
        {
            break;
        }
        // The time a slow caller takes is not the server's silence.
        run->disarm();
        going_on = co_await this->pass_on(*run, step.keep_answer, caller);
        if (run->parser->is_done() || run->not_run)
        {
            break;
        }
    }
    if (!going_on)
    {
        co_return;
    }
    run->answer_whole = run->parser->is_done();
    run->reusable = run->answer_whole && run->parser->get().keep_alive() &&
                    run->input.size() == 0;
}

// Ends the sender. An answer may be whole before the request is; the
// connection then ends with the attempt.
asio::awaitable<void> upstream::end_sender(exchange& run, caller_port& caller)
{
    if (!run.request_whole)
    {
        run.close();
    }
    caller.wake();
    while (!run.sender_ended)
    {
        co_await run.changed.wait();
    }
}

core::attempt_result upstream::judge(exchange& run, bool keep_answer)
{
    using core::attempt_end;
    core::attempt_result result = run.result;
    const bool caller_gone = run.caller_left ||
                             run.cause == exchange::stop_cause::caller_gone ||
                             run.cause == exchange::stop_cause::caller_failed;
    // The header alone says it; the rest of that answer does not matter.
    if (run.not_run)
    {
        result.end = attempt_end::refused_not_run;
    }
    else if (run.answer_whole && (keep_answer || !caller_gone))
    {
        result.end = attempt_end::answered;
        if (keep_answer && run.kept_fits)
        {
            result.answer = std::move(run.kept);
        }
    }
    else if (caller_gone)
    {
        result.end = attempt_end::caller_gone;
    }
    else if (run.passed_on)
    {
        result.end = attempt_end::answer_cut_off;
    }
    else if (run.bytes_written == 0)
    {
        result.end = attempt_end::not_sent;
    }
    else if (run.cause == exchange::stop_cause::timed_out)
    {
        result.end = attempt_end::timed_out;
    }
    else
    {
        result.end = attempt_end::closed_early;
    }
    return result;
}

asio::awaitable<core::attempt_result>
upstream::attempt(const core::step_send& step,
                  const checked_request& request,
                  const trace::context& span,
                  caller_port& caller)
{
    core::attempt_result nothing;
    nothing.end = core::attempt_end::not_sent;
    // Forwarding through a peer is not available here.
    if (!step.via.empty())
    {
        co_return nothing;
    }
    const auto run = std::make_shared<exchange>(
        this->executor, this->pool_of(step.server), this->counts);
    const callback_guard guard(caller);
    caller.on_gone = [run, keep = step.keep_answer]
    {
        // An order that is wholly sent runs on, so that its first answer can
        // be kept for the caller's repeat.
        if (!keep || !run->request_whole)
        {
            run->stop(exchange::stop_cause::caller_gone);
        }
    };
    if (caller.is_gone())
    {
        run->stop(exchange::stop_cause::caller_gone);
    }
    exchange::arm(run, step.deadline);
    const bool acquired = co_await this->acquire(step, *run);
    if (acquired)
    {
        run->send_began = core::boot_clock::now();
        run->request_id = request.id;
        if (request.id.empty() && !this->names.caller_names_requests)
        {
            run->request_id = trace::span_id_text(trace::make_span(span));
        }
        run->sender_ended = false;
        asio::co_spawn(
            this->executor,
            this->send_request(
                run, this->request_head(step, request, span, run->request_id),
                request, caller.shared_from_this()),
            asio::detached);
        co_await this->read_answer(run, step, request, caller);
        co_await this->end_sender(*run, caller);
    }
    run->disarm();
    if (run->reusable && run->request_whole && !run->stopped)
    {
        this->release(*run);
    }
    run->close();
    run->give_up_slot();
    co_return this->judge(*run, step.keep_answer);
}

void upstream::close_aged()
{
    const core::time_point now = core::boot_clock::now();
    for (auto& [name, pool] : this->pools)
    {
        const std::size_t closed =
            std::erase_if(pool->idle,
                          [now](const server_pool::idle_connection& item)
                          {
                              return now - item.since >= item.age_limit;
                          });
        pool->open -= closed;
        this->counts->connections_open -= closed;
    }
    std::erase_if(this->pools,
                  [](const auto& item)
                  {
                      return item.second->open == 0 &&
                             item.second.use_count() == 1;
                  });
}

void upstream::close_idle()
{
    for (auto& [name, pool] : this->pools)
    {
        pool->open -= pool->idle.size();
        this->counts->connections_open -= pool->idle.size();
        pool->idle.clear();
    }
}

} // namespace medlarbarrow::net
