/// Connections to backend servers, and attempts of requests over them.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <map>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/net/headers.hpp>
#include <medlarbarrow/net/signal.hpp>
#include <memory>

namespace medlarbarrow::net
{

/// Part of a request body. Empty and not last only when the attempt stopped.
struct body_part
{
    std::string_view data; ///< valid until the next read_body()
    bool last = false;
    bool failed = false; ///< the caller's body is malformed or too large
};

/// Header of a server's answer for the caller.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    header_text lines;
    std::optional<std::uint64_t> length; ///< Content-Length, if stated
    bool has_body = true;                ///< false for HEAD, 204 and 304
};

/// The caller's side of an attempt. Owned by shared pointers: the coroutine
/// that sends the request keeps it alive.
class caller_port : public std::enable_shared_from_this<caller_port>
{
public:
    caller_port() = default;
    caller_port(const caller_port&) = delete;
    caller_port& operator=(const caller_port&) = delete;
    virtual ~caller_port() = default;

    /// Body from `position` on, waiting for it when necessary; empty and last
    /// for a request without a body. Returns early
    /// after wake() when `stopped` is true.
    virtual asio::awaitable<body_part> read_body(std::uint64_t position,
                                                 const bool& stopped) = 0;

    /// Makes a waiting read_body() look at `stopped`.
    virtual void wake() = 0;

    /// Writes the header and the first part. False when the caller is gone.
    virtual asio::awaitable<bool>
    write_head(const answer_head& head, std::string_view part, bool last) = 0;

    /// Writes a further part; returns when the socket has taken it, which is
    /// what holds back the server. False when the caller is gone.
    virtual asio::awaitable<bool> write_part(std::string_view part,
                                             bool last) = 0;

    virtual bool is_gone() const = 0;

    /// Called once when the caller goes away; set during an attempt.
    std::function<void()> on_gone;
};

struct upstream_counters
{
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_open = 0; ///< now, idle ones included
    std::uint64_t bytes_to_servers = 0;
    std::uint64_t bytes_from_servers = 0; ///< bodies only
};

/// Times that depend on the servers.
struct upstream_times
{
    /// Below the keep-alive time of common servers (5 s), so that a reused
    /// connection is seldom one that its server is about to close.
    std::chrono::milliseconds idle_age{4000};
    /// Servers are a few milliseconds away; a connection that takes longer is
    /// lost packets or a full backlog.
    std::chrono::milliseconds connect{1000};
};

/// Connections to all backend servers of one instance. Used on one thread.
class upstream
{
public:
    upstream(asio::any_io_executor executor,
             const config::entry_bounds& bounds,
             interface_names names = {},
             upstream_times times = {});

    /// The connections of a server are shared by this many instances.
    void set_max_instances(std::uint32_t count) noexcept;

    /// Sends the request to one server, once, and passes the answer on. The
    /// arguments must live until it returns.
    asio::awaitable<core::attempt_result>
    attempt(const core::step_send& step,
            const checked_request& request,
            const trace::context& span,
            caller_port& caller);

    /// Closes connections that have been idle for too long.
    void close_aged();

    /// Closes all idle connections.
    void close_idle();

    const upstream_counters& counters() const noexcept
    {
        return *this->counts;
    }

private:
    struct server_pool;
    struct exchange;

    std::shared_ptr<server_pool> pool_of(const core::backend_server& server);
    std::size_t share_of(const core::backend_server& server) const noexcept;
    asio::awaitable<bool> acquire(const core::step_send& step, exchange& run);
    bool take_idle(const core::step_send& step, exchange& run);
    asio::awaitable<bool> connect(const core::step_send& step, exchange& run);
    void release(exchange& run);
    asio::awaitable<void> send_request(std::shared_ptr<exchange> run,
                                       std::string head,
                                       const checked_request& request,
                                       std::shared_ptr<caller_port> caller);
    asio::awaitable<bool> read_head(exchange& run,
                                    const checked_request& request);
    asio::awaitable<bool> read_piece(exchange& run);
    asio::awaitable<bool>
    pass_on(exchange& run, bool keep_answer, caller_port& caller);
    asio::awaitable<void> read_answer(std::shared_ptr<exchange> run,
                                      const core::step_send& step,
                                      const checked_request& request,
                                      caller_port& caller);
    asio::awaitable<void> end_sender(exchange& run, caller_port& caller);
    static core::attempt_result judge(exchange& run, bool keep_answer);

    asio::awaitable<bool> discard_answer(exchange& run);
    bool is_own_answer(const exchange& run) const;
    bool ends_with_connection(const exchange& run) const;
    bool says_not_run(const http::response_header<>& header) const;
    std::string request_head(const core::step_send& step,
                             const checked_request& request,
                             const trace::context& span,
                             std::string_view request_id) const;

    std::shared_ptr<upstream_counters> counts;
    asio::any_io_executor executor;
    interface_names names;
    upstream_times times;
    std::size_t piece_bytes;
    std::uint32_t max_instances = 1;
    std::map<std::string, std::shared_ptr<server_pool>> pools;
};

} // namespace medlarbarrow::net
