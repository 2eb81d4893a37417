#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <charconv>
#include <medlarbarrow/core/orders.hpp>
#include <medlarbarrow/core/server_holds.hpp>
#include <medlarbarrow/net/idle_socket.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <netinet/tcp.h>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using answer_parser = http::response_parser<http::buffer_body>;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Time that a connection is idle before it is reused, unless the instance has
/// used up its share of connections to the server. Surplus bytes after an
/// answer arrive in this time and are detected.
constexpr milliseconds settle_time{2};

/// An attempt that waits for a connection checks this often whether the request
/// may still be sent: its server may begin to leave without an event here.
constexpr milliseconds may_send_check_period{20};

/// Longest silence of a server inside an answer that has started. Enforcing
/// only the deadline would cut off long answers to slow callers.
constexpr seconds max_silence{10};

/// The connection ends if the server's machine does not acknowledge sent bytes
/// for this long. This detects a dead connection before most deadlines.
constexpr milliseconds unacknowledged_limit{3000};

/// A connection that has served this many requests is not reused, which bounds
/// the ids that are kept for it.
constexpr std::size_t max_requests_per_connection = 512;

constexpr std::size_t max_answer_header_bytes = 65536;
constexpr std::size_t min_share = 2;

/// Maximum number of interim answers and answers to earlier requests that are
/// skipped before the expected answer.
constexpr unsigned max_skipped_answers = 8;

/// A longer body of an answer to another request is not read to its end: the
/// connection is closed instead.
constexpr std::size_t max_discarded_bytes = 4U << 20U;

/// Characters of a server's header value that are logged.
constexpr std::size_t max_logged_value = 64;

/// Part of the keep-alive timeout stated by a server after which its idle
/// connection is closed.
constexpr double keep_alive_share = 0.7;

/// Sets the TCP options. Keep-alive probes detect a dead peer of an idle
/// connection within 3 s.
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

/// Time until the deadline, at least 1 ms.
milliseconds remaining(core::time_point deadline)
{
    const auto time_left = std::chrono::duration_cast<milliseconds>(
        deadline - core::boot_clock::now());
    return std::max(time_left, milliseconds(1));
}

/// When an attempt that waits for a connection checks next whether the request
/// may still be sent. This is a separate function because g++ 12 misplaces the
/// frame of a coroutine in which std::min() takes a temporary.
core::time_point next_check(core::time_point deadline)
{
    return std::min(deadline, core::boot_clock::now() + may_send_check_period);
}

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

/// Connections to one server: the idle ones and the number of open ones.
struct upstream::server_pool
{
    /// What a connection has served. An answer to any of these requests may
    /// still arrive on it once more.
    struct connection_history
    {
        std::vector<std::size_t> request_ids; ///< hashes
        bool has_served_head = false;         ///< a request with method HEAD

        /// An answer to an earlier request with the same id could not be told
        /// from the answer to this one.
        bool contains(std::size_t id) const
        {
            return std::find(this->request_ids.begin(), this->request_ids.end(),
                             id) != this->request_ids.end();
        }
    };

    struct idle_connection
    {
        tcp::socket socket;
        connection_history history;
        core::time_point since{};
        core::duration age_limit{};
    };

    explicit server_pool(const asio::any_io_executor& executor)
        : connection_available(executor)
    {
    }

    std::deque<idle_connection> idle; ///< most recently used at the back
    std::size_t open = 0;             ///< including idle ones
    signal connection_available;
};

/// State of one attempt in progress.
struct upstream::exchange
{
    enum class stop_cause
    {
        none,
        timed_out,
        caller_gone,
        caller_failed,
        bad_answer,
        withheld,
        internal_failure ///< an exception in this instance
    };

    exchange(const asio::any_io_executor& executor,
             std::shared_ptr<server_pool> server_connections,
             std::shared_ptr<upstream_counters> counters)
        : pool(std::move(server_connections)), counts(std::move(counters)),
          socket(executor), watchdog(executor), changed(executor),
          input(max_answer_header_bytes)
    {
    }

    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;

    ~exchange()
    {
        this->release_slot();
    }

    void release_slot()
    {
        if (this->holds_slot)
        {
            this->holds_slot = false;
            --this->pool->open;
            --this->counts->connections_open;
            this->pool->connection_available.notify();
        }
    }

    /// Ends the attempt from outside its coroutines. Closing the connection
    /// also cancels the request at the server.
    void stop(stop_cause why)
    {
        if (this->stopped)
        {
            return;
        }
        this->cause = why;
        this->close();
        this->pool->connection_available.notify();
    }

    void close()
    {
        this->stopped = true;
        error_code ignored;
        this->socket.close(ignored);
        this->changed.notify();
    }

    /// Decodes buffered input into `part_buffer`. False when it is malformed.
    bool decode()
    {
        auto& body = this->parser->get().body();
        const std::size_t room = this->part_buffer.size() - this->filled;
        body.data = this->part_buffer.data() + this->filled;
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

    /// Stores the answer for repeats of the order while it fits the limit.
    void store_part(std::string_view part)
    {
        this->answer_fits &= this->stored.body.size() + part.size() <=
                             core::max_stored_body_bytes;
        if (this->answer_fits)
        {
            this->stored.body += part;
        }
    }

    /// Discards the current answer and logs why. Its connection is not reused.
    void discard(std::uint64_t& counter, std::string_view reason)
    {
        ++counter;
        this->answer_discarded = true;
        const unsigned status = this->parser->is_header_done()
                                    ? this->parser->get().result_int()
                                    : 0;
        log::write(log::level::warning, "server_answer_discarded",
                   {log::kv("id", this->request_id),
                    log::kv("service", this->service),
                    log::kv("server", this->server), log::kv("status", status),
                    log::kv("reason", reason)});
    }

    /// Ends the attempt because the answer is damaged: the request may have
    /// run.
    void reject_damaged(std::string_view reason)
    {
        if (!this->stopped)
        {
            this->discard(this->counts->answers_damaged, reason);
            this->stop(stop_cause::bad_answer);
        }
    }

    void disarm()
    {
        this->watchdog_deadline = {};
        this->watchdog.cancel();
    }

    /// Limits the server's silence inside an answer that has started, and the
    /// duration of one whose length is unknown. This is a separate function
    /// because g++ 12 misplaces the frame of a coroutine in which std::max()
    /// takes a temporary.
    static void arm_for_part(const std::shared_ptr<exchange>& current,
                             core::time_point deadline,
                             core::duration unsized_overtime)
    {
        if (!current->forwarded)
        {
            return;
        }
        const core::time_point now = core::boot_clock::now();
        core::time_point part_deadline = std::max(deadline, now + max_silence);
        if (!current->head.length)
        {
            part_deadline =
                std::min(part_deadline, deadline + unsized_overtime);
        }
        if (now >= part_deadline)
        {
            current->stop(stop_cause::timed_out);
            return;
        }
        arm(current, part_deadline);
    }

    /// Stops `current` at `deadline` unless the watchdog is armed again or
    /// disarmed before.
    static void arm(const std::shared_ptr<exchange>& current,
                    core::time_point deadline)
    {
        current->watchdog.expires_at(to_steady_time(deadline));
        current->watchdog.async_wait(
            [weak = std::weak_ptr(current), deadline](error_code failure)
            {
                const auto target = weak.lock();
                if (!failure && target && target->watchdog_deadline == deadline)
                {
                    target->stop(stop_cause::timed_out);
                }
            });
        current->watchdog_deadline = deadline;
    }

    std::shared_ptr<server_pool> pool;
    std::shared_ptr<upstream_counters> counts;
    tcp::socket socket;
    asio::steady_timer watchdog;
    core::time_point watchdog_deadline{};
    signal changed; ///< the sender has ended
    stop_cause cause = stop_cause::none;
    bool holds_slot = false;
    bool stopped = false;

    std::uint64_t bytes_written = 0;
    bool write_started = false;
    bool sender_ended = true;
    bool request_complete = false; ///< all request bytes are written

    std::string service;
    std::string server;
    std::string request_id;
    server_pool::connection_history history;
    bool answer_discarded = false; ///< the connection must not be reused
    core::time_point send_start{};
    bool answer_complete = false;
    bool reusable = false;
    core::duration age_limit{}; ///< of the connection, once idle
    bool forwarded = false;     ///< caller got part of the answer
    bool caller_left = false;
    bool not_run = false;
    core::attempt_result result;

    boost::beast::flat_buffer input;
    std::optional<answer_parser> parser;
    answer_head head;
    std::vector<char> part_buffer;
    std::size_t filled = 0; ///< bytes of `part_buffer` in use
    core::stored_answer stored;
    bool answer_fits = true;
};

/// Marks the coroutine that sends the request as running while it exists, so
/// that an attempt never ends before it, whatever ends either.
class upstream::sender_scope
{
public:
    explicit sender_scope(std::shared_ptr<exchange> current)
        : attempt(std::move(current))
    {
        this->attempt->sender_ended = false;
    }

    sender_scope(sender_scope&&) noexcept = default;
    sender_scope(const sender_scope&) = delete;
    sender_scope& operator=(const sender_scope&) = delete;
    sender_scope& operator=(sender_scope&&) = delete;

    ~sender_scope()
    {
        if (this->attempt)
        {
            this->attempt->sender_ended = true;
            this->attempt->changed.notify();
        }
    }

private:
    std::shared_ptr<exchange> attempt;
};

/// Clears the caller's callback when the attempt ends in any way.
class callback_guard
{
public:
    explicit callback_guard(caller_channel& target) : caller(target) {}
    callback_guard(const callback_guard&) = delete;
    callback_guard& operator=(const callback_guard&) = delete;

    ~callback_guard()
    {
        this->caller.on_disconnect = nullptr;
    }

private:
    caller_channel& caller;
};

upstream::upstream(asio::any_io_executor io_executor,
                   const config::entry_bounds& bounds,
                   http_interface interface,
                   upstream_times limits)
    : counts(std::make_shared<upstream_counters>()),
      executor(std::move(io_executor)), names(std::move(interface)),
      times(limits),
      // Half the buffer is for the parser's input, half for the decoded part.
      part_bytes(std::max<std::size_t>(bounds.buffer_bytes / 2, 4096))
{
}

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
bool upstream::has_success_mark(const http::response_header<>& header) const
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

// Number of connections to the server that this instance may open.
std::size_t
upstream::share_of(const core::backend_server& server) const noexcept
{
    return std::max<std::size_t>(server.connections / this->max_instances,
                                 min_share);
}

std::shared_ptr<upstream::server_pool>
upstream::pool_of(const core::backend_server& server)
{
    const std::string key = server.address + " " + std::to_string(server.port);
    std::shared_ptr<server_pool>& pool = this->pools[key];
    if (!pool)
    {
        pool = std::make_shared<server_pool>(this->executor);
    }
    return pool;
}

// Takes the most recently used connection that has been idle for settle_time,
// so that surplus connections age and are closed. When the share of connections
// is used up, takes the least recently used one even before that. Never takes
// one that has served a request with the same id.
bool upstream::take_idle(const core::step_send& step, exchange& current)
{
    server_pool& pool = *current.pool;
    const std::size_t id = std::hash<std::string>()(current.request_id);
    while (!pool.idle.empty())
    {
        const core::time_point now = core::boot_clock::now();
        auto reusable = std::find_if(
            pool.idle.rbegin(), pool.idle.rend(),
            [now, id](const server_pool::idle_connection& candidate)
            {
                return now - candidate.since >= settle_time &&
                       !candidate.history.contains(id);
            });
        if (reusable == pool.idle.rend())
        {
            const auto oldest =
                std::find_if(pool.idle.begin(), pool.idle.end(),
                             [id](const server_pool::idle_connection& candidate)
                             {
                                 return !candidate.history.contains(id);
                             });
            if (pool.open < this->share_of(step.server) ||
                oldest == pool.idle.end())
            {
                return false;
            }
            reusable = std::make_reverse_iterator(std::next(oldest));
        }
        server_pool::idle_connection candidate = std::move(*reusable);
        pool.idle.erase(std::next(reusable).base());
        if (now - candidate.since < candidate.age_limit &&
            is_open_without_input(candidate.socket))
        {
            current.socket = std::move(candidate.socket);
            current.history = std::move(candidate.history);
            current.holds_slot = true;
            ++this->counts->connections_reused;
            return true;
        }
        --pool.open;
        --this->counts->connections_open;
    }
    return false;
}

// Gets an idle or new connection. Waits while this instance's share of the
// server's connections is in use and the request may be sent. False when the
// attempt stopped, the connection failed or the request may no longer be sent.
asio::awaitable<bool> upstream::acquire(const core::step_send& step,
                                        exchange& current,
                                        const caller_channel& caller)
{
    server_pool& pool = *current.pool;
    while (!current.stopped)
    {
        if (this->sending_stopped || !caller.may_send())
        {
            current.stop(exchange::stop_cause::withheld);
            break;
        }
        if (!step.fresh_connection && this->take_idle(step, current))
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
            current.holds_slot = true;
            const bool connected = co_await this->connect(step, current);
            if (this->sending_stopped)
            {
                current.stop(exchange::stop_cause::withheld);
            }
            co_return connected && !current.stopped;
        }
        co_await pool.connection_available.wait_until(
            next_check(step.deadline));
    }
    co_return false;
}

asio::awaitable<bool> upstream::connect(const core::step_send& step,
                                        exchange& current)
{
    error_code failure;
    const auto address = asio::ip::make_address(step.server.address, failure);
    const tcp::endpoint endpoint(address, step.server.port);
    if (!failure)
    {
        current.socket.open(endpoint.protocol(), failure);
    }
    if (!failure)
    {
        set_socket_options(current.socket);
        // The flag keeps a timer that fires while the connection is being
        // established from closing it afterwards.
        const auto connecting = std::make_shared<bool>(true);
        asio::steady_timer limit(this->executor, this->times.connect_timeout);
        limit.async_wait(
            [&current, connecting](error_code cancelled)
            {
                error_code ignored;
                if (!cancelled && *connecting)
                {
                    current.socket.close(ignored);
                }
            });
        co_await current.socket.async_connect(
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
    co_return !current.stopped;
}

// Returns the connection to the pool.
void upstream::release(exchange& current)
{
    server_pool& pool = *current.pool;
    current.holds_slot = false;
    pool.idle.push_back({std::move(current.socket), std::move(current.history),
                         core::boot_clock::now(), current.age_limit});
    pool.connection_available.notify();
}

// Sends header and body. The first write contains both, so that a small request
// fits one segment.
asio::awaitable<void>
upstream::send_request(std::shared_ptr<exchange> current,
                       std::string head,
                       const checked_request& request,
                       std::shared_ptr<caller_channel> caller,
                       sender_scope /*running*/)
{
    try
    {
        co_await this->write_request(*current, std::move(head), request,
                                     *caller);
    }
    catch (const std::exception&)
    {
        // The write that was ended may have sent bytes without counting them.
        current->bytes_written += current->write_started ? 1 : 0;
        current->stop(exchange::stop_cause::internal_failure);
    }
}

asio::awaitable<void> upstream::write_request(exchange& current,
                                              std::string head,
                                              const checked_request& request,
                                              caller_channel& caller)
{
    std::uint64_t position = 0;
    bool last = false;
    std::string prefix = std::move(head);
    error_code failure;
    do
    {
        const body_part part =
            co_await caller.read_body(position, current.stopped);
        last = part.last;
        if (part.failed)
        {
            current.stop(exchange::stop_cause::caller_failed);
        }
        // The wait for the caller's body may have been long.
        if (current.bytes_written == 0 && !caller.may_send())
        {
            current.stop(exchange::stop_cause::withheld);
        }
        if (current.stopped)
        {
            break;
        }
        position += part.data.size();
        std::string_view suffix;
        if (request.chunked)
        {
            if (!part.data.empty())
            {
                prefix += fmt::format("{:x}\r\n", part.data.size());
                suffix = last ? "\r\n0\r\n\r\n" : "\r\n";
            }
            else
            {
                suffix = last ? "0\r\n\r\n" : "";
            }
        }
        const std::array<asio::const_buffer, 3> buffers{asio::buffer(prefix),
                                                        asio::buffer(part.data),
                                                        asio::buffer(suffix)};
        current.write_started = true;
        const std::size_t count = co_await asio::async_write(
            current.socket, buffers,
            asio::redirect_error(asio::use_awaitable, failure));
        current.bytes_written += count;
        this->counts->bytes_to_servers += count;
        prefix.clear();
    } while (!failure && !last);
    current.request_complete = !failure && last && !current.stopped;
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
        current.reject_damaged("no request id");
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
    current.part_buffer.resize(this->part_bytes);
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
        co_await http::async_read_header(
            current.socket, current.input, *current.parser,
            asio::redirect_error(asio::use_awaitable, failure));
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
            current.stop(exchange::stop_cause::bad_answer);
            co_return false;
        }
    }
    if (failure)
    {
        if (current.parser->got_some() || current.input.size() > 0)
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
        current.reject_damaged("no framing or no final answer");
        co_return false;
    }
    if (!this->has_success_mark(header))
    {
        current.reject_damaged("success without its header");
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
            current.reject_damaged("malformed body");
        }
        const bool enough = current.parser->is_done() ||
                            current.filled == current.part_buffer.size() ||
                            (current.filled > 0 && !needs_complete_body);
        if (enough || current.stopped)
        {
            break;
        }
        error_code failure;
        const std::size_t room =
            current.input.max_size() - current.input.size();
        const std::size_t read_size =
            room < this->part_bytes ? room : this->part_bytes;
        const auto target = current.input.prepare(read_size);
        const std::size_t count = co_await current.socket.async_read_some(
            target, asio::redirect_error(asio::use_awaitable, failure));
        current.input.commit(count);
        if (failure == asio::error::eof && this->ends_with_connection(current))
        {
            failure = {};
            current.parser->put_eof(failure);
            continue;
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
    current->part_buffer.resize(this->part_bytes);
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

// Stops the coroutine that sends the request and waits for its end. If the
// answer was complete before the request, the connection is closed.
asio::awaitable<void> upstream::stop_sender(exchange& current,
                                            caller_channel& caller)
{
    if (!current.request_complete)
    {
        current.close();
    }
    caller.wake();
    while (!current.sender_ended)
    {
        co_await current.changed.wait();
    }
}

// Determines how the attempt ended.
core::attempt_result upstream::classify(exchange& current, bool keep_answer)
{
    using core::attempt_end;
    core::attempt_result result = current.result;
    const bool caller_gone =
        current.caller_left ||
        current.cause == exchange::stop_cause::caller_gone ||
        current.cause == exchange::stop_cause::caller_failed;
    // The header alone decides this; the rest of the answer is not needed.
    if (current.not_run)
    {
        result.end = attempt_end::refused_not_run;
    }
    else if (current.answer_complete && (keep_answer || !caller_gone))
    {
        result.end = attempt_end::answered;
        if (keep_answer && current.answer_fits)
        {
            result.answer = std::move(current.stored);
        }
    }
    else if (caller_gone)
    {
        result.end = attempt_end::caller_gone;
    }
    else if (current.forwarded)
    {
        result.end = attempt_end::answer_cut_off;
    }
    else if (current.bytes_written == 0)
    {
        // An instance that fails must not make the server suspected.
        result.end = attempt_end::not_sent;
        result.withheld =
            current.cause == exchange::stop_cause::withheld ||
            current.cause == exchange::stop_cause::internal_failure;
    }
    else if (current.cause == exchange::stop_cause::timed_out)
    {
        result.end = attempt_end::timed_out;
    }
    else
    {
        result.end = attempt_end::closed_early;
    }
    return result;
}

// Gets a connection, sends the request and reads the answer.
asio::awaitable<void> upstream::run_exchange(std::shared_ptr<exchange> current,
                                             const core::step_send& step,
                                             const checked_request& request,
                                             const trace::context& span,
                                             caller_channel& caller)
{
    const bool acquired = co_await this->acquire(step, *current, caller);
    if (!acquired)
    {
        co_return;
    }
    current->send_start = core::boot_clock::now();
    asio::co_spawn(this->executor,
                   this->send_request(current,
                                      this->request_head(step, request, span,
                                                         current->request_id),
                                      request, caller.shared_from_this(),
                                      sender_scope(current)),
                   asio::detached);
    co_await this->read_answer(current, step, request, caller);
    current->history.request_ids.push_back(
        std::hash<std::string>()(current->request_id));
    current->history.has_served_head |= request.method == "HEAD";
}

void upstream::log_failure(const exchange& current,
                           const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& thrown)
    {
        log::write(log::level::error, "attempt_failed",
                   {log::kv("id", current.request_id),
                    log::kv("service", current.service),
                    log::kv("server", current.server),
                    log::kv("reason", thrown.what())});
    }
}

asio::awaitable<core::attempt_result>
upstream::attempt(const core::step_send& step,
                  const checked_request& request,
                  const trace::context& span,
                  caller_channel& caller)
{
    core::attempt_result not_sent;
    not_sent.end = core::attempt_end::not_sent;
    // Forwarding through a peer is not supported here.
    if (!step.via.empty())
    {
        co_return not_sent;
    }
    const auto current = std::make_shared<exchange>(
        this->executor, this->pool_of(step.server), this->counts);
    const callback_guard guard(caller);
    caller.on_disconnect = [current, keep_answer = step.keep_answer]
    {
        // An order that was sent completely continues, so that its first
        // answer can be stored for a repeat by the caller.
        if (!keep_answer || !current->request_complete)
        {
            current->stop(exchange::stop_cause::caller_gone);
        }
    };
    if (caller.is_gone())
    {
        current->stop(exchange::stop_cause::caller_gone);
    }
    exchange::arm(current, step.deadline);
    current->service = step.service;
    current->server = step.server.name;
    current->request_id = request.id;
    if (request.id.empty())
    {
        current->request_id = trace::span_id_text(trace::make_span(span));
    }
    std::exception_ptr failure;
    try
    {
        co_await this->run_exchange(current, step, request, span, caller);
    }
    catch (const std::exception&)
    {
        failure = std::current_exception();
        current->stop(exchange::stop_cause::internal_failure);
    }
    co_await this->stop_sender(*current, caller);
    if (failure)
    {
        log_failure(*current, failure);
    }
    current->disarm();
    if (current->reusable && current->request_complete && !current->stopped)
    {
        this->release(*current);
    }
    current->close();
    current->release_slot();
    co_return this->classify(*current, step.keep_answer);
}

void upstream::stop_sending()
{
    this->sending_stopped = true;
    for (auto& [name, pool] : this->pools)
    {
        pool->connection_available.notify();
    }
}

void upstream::close_expired_idle()
{
    const core::time_point now = core::boot_clock::now();
    for (auto& [name, pool] : this->pools)
    {
        const std::size_t closed = std::erase_if(
            pool->idle,
            [now](const server_pool::idle_connection& connection)
            {
                return now - connection.since >= connection.age_limit;
            });
        pool->open -= closed;
        this->counts->connections_open -= closed;
    }
    std::erase_if(this->pools,
                  [](const auto& pool)
                  {
                      return pool.second->open == 0 &&
                             pool.second.use_count() == 1;
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
