/// Connections to backend servers, and attempts to send requests over them.
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

/// Part of a request body. `data` is empty and `last` false only after the
/// attempt has stopped or failed.
struct body_part
{
    std::string_view data; ///< valid until the next read_body()
    bool last = false;
    bool failed = false;  ///< the caller's body is malformed or too large
    bool stalled = false; ///< the caller has stopped sending its body
};

/// Status line and header of an answer to a caller.
struct answer_head
{
    unsigned status = 0;
    std::string reason;
    header_lines lines;
    std::optional<std::uint64_t> length; ///< Content-Length, if given
    bool has_body = true;                ///< false for HEAD, 204 and 304
};

/// The caller's side of an attempt: provides the request body and receives the
/// answer. Must be owned by a shared pointer, since the coroutine that sends
/// the request keeps it alive.
class caller_channel : public std::enable_shared_from_this<caller_channel>
{
public:
    caller_channel() = default;
    caller_channel(const caller_channel&) = delete;
    caller_channel& operator=(const caller_channel&) = delete;
    virtual ~caller_channel() = default;

    /// Returns the part of the body at `position`, and waits for it if
    /// necessary. The part is empty and last if the request has no body.
    /// Returns early after wake() if `stopped` is true.
    virtual asio::awaitable<body_part> read_body(std::uint64_t position,
                                                 const bool& stopped) = 0;

    /// Makes a waiting read_body() check `stopped`.
    virtual void wake() = 0;

    /// Writes the header and the first part of the body. False when the caller
    /// is gone.
    virtual asio::awaitable<bool>
    write_head(const answer_head& head, std::string_view part, bool last) = 0;

    /// Writes a further part. Returns when the socket has accepted it, which
    /// applies back-pressure to the server. False when the caller is gone.
    virtual asio::awaitable<bool> write_part(std::string_view part,
                                             bool last) = 0;

    virtual bool is_gone() const = 0;

    /// Whether the request may still go to the server. Asked after each wait
    /// that precedes the first byte, and regularly while the attempt waits for
    /// a connection: the server may have begun to leave.
    virtual bool may_send() const
    {
        return true;
    }

    /// Called when the header of the server's answer has been read, before
    /// anything is passed on. `result` is complete up to the answer's body.
    /// Called before that, with `leaving` alone, when a header says that the
    /// server leaves; its answer may be discarded or damaged.
    virtual void on_answer_header(const core::attempt_result& /*result*/) {}

    /// Called when the caller disconnects. Set only during an attempt.
    std::function<void()> on_disconnect;
};

/// Counters of the connections to servers.
struct upstream_counters
{
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t connections_failed = 0;
    std::uint64_t connections_open = 0; ///< at present, including idle
    std::uint64_t bytes_to_servers = 0;
    std::uint64_t bytes_from_servers = 0; ///< bodies only
    /// Answers discarded because they belong to no running request.
    std::uint64_t answers_foreign = 0;
    /// Answers that broke off, were malformed or lacked what each must bear.
    std::uint64_t answers_damaged = 0;
    /// Sends that ended because the caller's body did not arrive.
    std::uint64_t bodies_stalled = 0;
};

/// Time limits that depend on the servers.
struct upstream_times
{
    /// Age at which an idle connection is closed. Below the keep-alive time of
    /// common servers (5 s), so that a reused connection is seldom one that its
    /// server is about to close.
    std::chrono::milliseconds max_idle_age{4000};
    /// Limit for opening a connection. Servers are a few milliseconds away, so
    /// a longer time means lost packets or a full backlog.
    std::chrono::milliseconds connect_timeout{1000};
};

/// Pools the connections of one instance to all backend servers and runs
/// attempts over them. Must be used on one thread.
class upstream
{
public:
    upstream(asio::any_io_executor executor,
             const config::entry_bounds& bounds,
             http_interface names = {},
             upstream_times times = {});

    /// Sets the number of instances that divide a server's connections.
    void set_max_instances(std::uint32_t count) noexcept;

    /// Sends the request to one server, once, and forwards the answer. The
    /// arguments must exist until the coroutine returns.
    asio::awaitable<core::attempt_result>
    attempt(const core::step_send& step,
            const checked_request& request,
            const trace::context& span,
            caller_channel& caller);

    /// From now on nothing is sent: attempts that wait for a connection or open
    /// one end as not sent. Those that have one go on.
    void stop_sending();

    /// Closes connections that have reached the idle age limit.
    void close_unusable_idle();

    /// Closes all idle connections.
    void close_idle();

    const upstream_counters& counters() const noexcept
    {
        return *this->counts;
    }

private:
    struct server_pool;
    struct exchange;
    class sender_scope;

    std::shared_ptr<server_pool> pool_of(const core::step_send& step);
    std::size_t share_of(const core::backend_server& server) const noexcept;
    asio::awaitable<bool> acquire(const core::step_send& step,
                                  exchange& current,
                                  const caller_channel& caller);
    bool take_idle(const core::step_send& step, exchange& current);
    asio::awaitable<bool> connect(const core::step_send& step,
                                  exchange& current);
    void release(exchange& current);
    asio::awaitable<void> send_request(std::shared_ptr<exchange> current,
                                       std::string head,
                                       const checked_request& request,
                                       std::shared_ptr<caller_channel> caller,
                                       sender_scope running);
    asio::awaitable<void> write_request(exchange& current,
                                        std::string head,
                                        const checked_request& request,
                                        caller_channel& caller);
    asio::awaitable<void> run_exchange(std::shared_ptr<exchange> current,
                                       const core::step_send& step,
                                       const checked_request& request,
                                       const trace::context& span,
                                       caller_channel& caller);
    static void log_failure(const exchange& current,
                            const std::exception_ptr& failure);
    asio::awaitable<bool> read_head(exchange& current,
                                    const checked_request& request,
                                    caller_channel& caller);
    asio::awaitable<boost::system::error_code> read_some(exchange& current,
                                                         std::size_t max_bytes);
    asio::awaitable<boost::system::error_code> read_header(exchange& current);
    asio::awaitable<boost::system::error_code>
    connection_loss(exchange& current);
    asio::awaitable<bool> read_part(exchange& current);
    asio::awaitable<bool>
    forward_part(exchange& current, bool keep_answer, caller_channel& caller);
    asio::awaitable<void> read_answer(std::shared_ptr<exchange> current,
                                      const core::step_send& step,
                                      const checked_request& request,
                                      caller_channel& caller);
    asio::awaitable<void> stop_sender(exchange& current,
                                      caller_channel& caller);
    static core::attempt_result classify(exchange& current, bool keep_answer);

    asio::awaitable<bool> discard_answer(exchange& current,
                                         const checked_request& request);
    bool has_success_header(const http::response_header<>& header) const;
    bool is_own_answer(const exchange& current) const;
    bool ends_with_connection(const exchange& current) const;
    bool states_not_run(const http::response_header<>& header) const;
    void read_leaving(exchange& current, caller_channel& caller) const;
    void read_statement(exchange& current, const core::step_send& step) const;
    std::string request_head(const core::step_send& step,
                             const checked_request& request,
                             const trace::context& span,
                             std::string_view request_id) const;

    std::shared_ptr<upstream_counters> counts;
    asio::any_io_executor executor;
    http_interface names;
    upstream_times times;
    std::size_t part_bytes;
    std::uint32_t max_instances = 1;
    bool sending_stopped = false;
    std::map<std::string, std::shared_ptr<server_pool>> pools;
};

} // namespace medlarbarrow::net
