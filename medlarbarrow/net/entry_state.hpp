/// State and sessions of an entry; included by its two source files only.
#pragma once

#include <medlarbarrow/net/attempt_channel.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <set>
#include <unordered_map>

namespace medlarbarrow::net
{

/// State that all sessions of an entry share.
struct entry::state : std::enable_shared_from_this<entry::state>
{
    class session;

    state(asio::io_context& context,
          const config::settings& entry_settings,
          core::node& decisions,
          send_function send_to_peers)
        : io(context), settings(entry_settings), node(decisions),
          send(std::move(send_to_peers)), acceptor(context),
          sweep_timer(context), waiting_timer(context), running_timer(context),
          exit_timer(context), capacity_changed(context.get_executor()),
          bodies(std::make_shared<core::body_budget>(
              make_body_limits(entry_settings.bounds))),
          servers(context.get_executor(), entry_settings.bounds)
    {
    }

    static core::body_limits
    make_body_limits(const config::entry_bounds& bounds)
    {
        core::body_limits limits;
        limits.bytes = bounds.max_arriving_bytes;
        limits.connections = bounds.max_connections;
        return limits;
    }

    void flush(core::outbox& out);
    asio::awaitable<void> accept_callers();
    void admit_caller(asio::ip::tcp::socket&& socket,
                      const asio::ip::address& client);
    void open_session(asio::ip::tcp::socket&& socket,
                      const asio::ip::address& client);
    void close_acceptor();
    void remove(session& ended_session);
    void sweep();
    void check_drained();
    void run_at(asio::steady_timer& timer,
                core::time_point time,
                void (state::*action)());
    void end_waiting();
    void end_running();
    void begin_exit();
    std::uint64_t body_limit_of(const std::string& route) const;

    asio::io_context& io;
    config::settings settings;
    core::node& node;
    send_function send;
    std::function<void(const request_summary&)> observe_end;
    std::shared_ptr<asio::ssl::context> tls;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint local;
    asio::steady_timer sweep_timer;
    asio::steady_timer waiting_timer; ///< runs end_waiting() in a drain
    asio::steady_timer running_timer; ///< runs end_running() in a drain
    asio::steady_timer exit_timer;    ///< runs begin_exit() in a drain
    signal capacity_changed; ///< a connection ended or drain() was called
    std::shared_ptr<core::body_budget> bodies;
    upstream servers;
    entry_counters counts;
    std::unordered_map<std::string, std::uint64_t> body_limits;
    std::set<session*> sessions;
    std::set<session*> waiting_sessions; ///< in step_wait
    bool draining = false;
    std::optional<core::shutdown_plan> plan; ///< set by drain()
    bool sending_stopped = false; ///< nothing is sent to servers any more
    bool exiting = false;         ///< sessions that have answered do not count
    std::function<void()> drained;
};

/// Serves the requests of one caller's connection, one after the other.
class entry::state::session
    : public std::enable_shared_from_this<entry::state::session>
{
public:
    session(std::shared_ptr<state> entry_state,
            asio::ip::tcp::socket&& socket,
            const std::string& client)
        : shared(std::move(entry_state)),
          caller(std::make_shared<caller_connection>(
              caller_stream(std::move(socket), this->shared->tls.get()),
              this->shared->settings.bounds,
              this->shared->bodies,
              client)),
          cut_changed(this->shared->io.get_executor())
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<session> self);

    caller_connection& connection()
    {
        return *this->caller;
    }

    /// True when all requests of the connection have ended and it is being
    /// closed, or when end_running() has answered the last one.
    bool has_answered_all() const
    {
        return this->closing || this->cut_answered;
    }

    /// Answers the request that runs at a server, if any, without its server.
    void end_running();

private:
    enum class progress
    {
        next_step,
        ended
    };

    asio::awaitable<void> serve_requests();
    asio::awaitable<void> refuse_header(head_status status);
    asio::awaitable<void> serve_request();
    asio::awaitable<bool> register_request();
    asio::awaitable<void> run_steps();
    asio::awaitable<progress> execute(const core::step& step);
    asio::awaitable<progress> wait(core::time_point until);
    asio::awaitable<core::attempt_result>
    run_attempt(const core::step_send& step);
    asio::awaitable<progress> attempt(const core::step_send& step);
    asio::awaitable<void> replay(const core::stored_answer& answer);
    asio::awaitable<void> refuse(const core::step_refuse& refusal);
    asio::awaitable<void> refuse_body();
    asio::awaitable<void> refuse_for_shutdown();
    asio::awaitable<void> refuse_for_memory();
    asio::awaitable<progress> give_up_for_shutdown();
    asio::awaitable<void> answer_outcome_unknown();
    void finish_attempt(const core::attempt_result& result);
    void abandon();
    void write_log();

    std::shared_ptr<state> shared;
    std::shared_ptr<caller_connection> caller;

    // State of the request in progress.
    checked_request request;
    trace::context span;
    trace::hop hop;
    std::string account;
    std::string route;
    std::string server;
    core::time_point start_time{};
    request_summary summary;
    std::optional<core::request_id> id; ///< set while the node tracks it
    std::optional<core::attempt_result> previous_result;
    bool may_have_run = false; ///< an attempt may have reached a server
    std::shared_ptr<attempt_channel> channel; ///< set during an attempt
    bool cut = false;          ///< end_running() answers the last request
    bool cut_answered = false; ///< that answer has been written
    bool closing = false;      ///< waits for the caller to close as well
    signal cut_changed;
};

} // namespace medlarbarrow::net
