#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/socket_state.hpp>
#include <medlarbarrow/net/upstream_state.hpp>
#include <netinet/tcp.h>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Time that a connection is idle before it is reused, unless the instance has
/// used up its share of connections to the server. Surplus bytes after an
/// answer arrive in this time and are detected.
constexpr milliseconds settle_time{2};

/// An attempt that waits for a connection checks this often whether the request
/// may still be sent: its server may begin to leave without an event here.
constexpr milliseconds may_send_check_period{20};

/// The connection ends if the server's machine does not acknowledge sent bytes
/// for this long. This detects a dead connection before most deadlines.
constexpr milliseconds unacknowledged_limit{3000};

constexpr std::size_t min_share = 2;

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

} // namespace

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
upstream::pool_of(const core::step_send& step)
{
    const std::string key = fmt::format("{} {} {}", step.server.address,
                                        step.server.port, step.server_started);
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
    current.history.connected_at = core::boot_clock::now();
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
        current.awaits_body = true;
        const body_part part =
            co_await caller.read_body(position, current.stopped);
        current.awaits_body = false;
        last = part.last;
        if (part.stalled)
        {
            current.stop(exchange::stop_cause::body_stalled);
        }
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
        current.write_in_progress = true;
        const std::size_t count = co_await asio::async_write(
            current.socket, buffers,
            asio::redirect_error(asio::use_awaitable, failure));
        current.write_in_progress = false;
        current.write_failure = failure;
        current.changed.notify();
        current.bytes_written += count;
        this->counts->bytes_to_servers += count;
        prefix.clear();
    } while (!failure && !last);
    current.request_complete = !failure && last && !current.stopped;
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
    if (current.answer_complete || current.server_lives)
    {
        result.connection_age =
            core::boot_clock::now() - current.history.connected_at;
    }
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
    else if (current.cause == exchange::stop_cause::body_stalled)
    {
        result.end = attempt_end::body_stalled;
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
        this->executor, this->pool_of(step), this->counts, this->part_bytes);
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

// Also closes idle connections on which a server sends bytes that belong to no
// request, which would fill the socket's buffer, and those it has closed.
void upstream::close_unusable_idle()
{
    const core::time_point now = core::boot_clock::now();
    for (auto& [name, pool] : this->pools)
    {
        const std::size_t closed = std::erase_if(
            pool->idle,
            [now](server_pool::idle_connection& connection)
            {
                return now - connection.since >= connection.age_limit ||
                       !is_open_without_input(connection.socket);
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
