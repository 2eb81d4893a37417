/// State and sessions of the gateway; included by its two source files only.
#pragma once

#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/core/server_holds.hpp>
#include <medlarbarrow/core/split.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/gateway.hpp>
#include <medlarbarrow/net/send.hpp>
#include <random>
#include <set>

namespace medlarbarrow::net
{

/// Body bytes that are read before a server is requested. A request whose whole
/// body fits can be sent again.
constexpr std::size_t replay_buffer_bytes = 128U << 10U;

/// Decoded parts of answers and bodies have at most twice this size.
constexpr std::uint32_t buffer_bytes = 2 * replay_buffer_bytes;

/// Idle connections to servers are closed after this time. The servers close
/// them after ten seconds.
constexpr std::chrono::milliseconds max_server_idle_time{8500};
constexpr std::chrono::milliseconds server_connect_timeout{250};

/// Bytes of answers that all requests in progress hold together.
constexpr std::size_t max_answers_bytes = 32U << 20U;

/// A configuration document with the lookup tables derived from it.
struct document_view
{
    explicit document_view(std::shared_ptr<const core::document> source)
        : document(std::move(source)), routes(this->document),
          accounts(this->document)
    {
        for (const core::client_account& account : this->document->accounts)
        {
            this->by_name[account.name] = &account;
        }
    }

    std::shared_ptr<const core::document> document;
    core::route_table routes;
    core::account_index accounts;
    std::unordered_map<std::string, const core::client_account*> by_name;
};

/// Everything the sessions of one gateway share.
struct gateway::state : std::enable_shared_from_this<gateway::state>
{
    class session;

    state(asio::io_context& context,
          const gateway_settings& initial_settings,
          fleet& fleet_peers,
          const core::server_registry& registry)
        : io(context), settings(initial_settings), peers(fleet_peers),
          servers(registry), acceptor(context), maintenance_timer(context),
          capacity_freed(context.get_executor()),
          bounds(make_bounds(initial_settings)),
          bodies(std::make_shared<core::body_budget>(
              make_body_limits(initial_settings))),
          connections(context.get_executor(),
                      this->bounds,
                      initial_settings.names,
                      {max_server_idle_time, server_connect_timeout}),
          splitter(std::random_device{}())
    {
    }

    static config::entry_bounds make_bounds(const gateway_settings& settings)
    {
        config::entry_bounds bounds;
        bounds.max_connections = settings.max_connections;
        bounds.buffer_bytes = buffer_bytes;
        return bounds;
    }

    static core::body_limits make_body_limits(const gateway_settings& settings)
    {
        core::body_limits limits;
        limits.connections = settings.max_connections;
        return limits;
    }

    asio::awaitable<void> accept_callers();
    void admit_caller(asio::ip::tcp::socket&& socket,
                      const asio::ip::address& client);
    void start_session(asio::ip::tcp::socket&& socket,
                       const asio::ip::address& client);
    void on_session_end(session& ended);
    void run_maintenance();
    void notify_if_drained();
    bool accepts_requests(const core::leaving_run& run,
                          const std::string& service) const;
    void record_answer_header(const core::leaving_run& run,
                              const core::attempt_result& result);
    std::optional<core::duration> time_until_wanted(const std::string& service);
    std::vector<std::string> held_servers(const std::string& service,
                                          core::duration time);

    asio::io_context& io;
    gateway_settings settings;
    fleet& peers;
    const core::server_registry& servers;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint listen_endpoint;
    asio::steady_timer maintenance_timer;
    signal capacity_freed; ///< a session has ended, or stop() was called
    config::entry_bounds bounds;
    std::shared_ptr<core::body_budget> bodies;
    upstream connections;
    const std::shared_ptr<answer_memory> buffered_answers =
        std::make_shared<answer_memory>(answer_memory{max_answers_bytes, 0});
    core::server_holds holds; ///< servers that turned this instance away
    std::shared_ptr<const document_view> view;
    core::traffic_splitter splitter;
    gateway_counters counts;
    std::function<void(const request_summary&)> request_observer;
    std::set<session*> sessions;
    std::size_t running_requests = 0;
    std::optional<core::shutdown_plan> plan; ///< set when a shutdown begins
    bool sending_stopped = false; ///< nothing is sent to servers any more
    bool stopping = false;
    std::function<void()> on_drained;
};

/// One caller's connection. Serves its requests one after the other.
class gateway::state::session
    : public std::enable_shared_from_this<gateway::state::session>
{
public:
    session(std::shared_ptr<state> gateway_state,
            asio::ip::tcp::socket&& socket,
            const std::string& client)
        : shared(std::move(gateway_state)),
          caller(std::make_shared<caller_connection>(
              caller_stream(std::move(socket), nullptr),
              this->shared->bounds,
              this->shared->bodies,
              client)),
          progress(this->shared->io.get_executor()),
          reading_timer(this->shared->io)
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<session> self);

    caller_connection& connection()
    {
        return *this->caller;
    }

    /// Refuses the request in progress unless a server works on it.
    void stop_sending();

    /// Ends the request in progress if it runs at a server. Its caller is told
    /// that the outcome is unknown, unless an answer has been started.
    void end_running();

    /// Logs the request in progress as cut at the end of a shutdown.
    void log_if_cut();

private:
    /// One attempt to serve the request: its place call and its send.
    struct attempt
    {
        std::optional<core::grant_id> grant;
        std::string server;
        core::duration typical{};   ///< expected duration of the send
        core::server_notice notice; ///< of the server, for the owner
        std::shared_ptr<send> active_send;
        std::string ending; ///< how the send ended, for the log
        core::time_point ended_at{};
    };

    class request_scope;

    /// Returns a function that calls the given one with this session, unless
    /// the request in progress has ended by then.
    template <class Function>
    auto during_request(Function function)
    {
        return [weak = this->weak_from_this(),
                number_at_start = this->request_number,
                function = std::move(function)]
        {
            const auto self = weak.lock();
            if (self && self->request_number == number_at_start)
            {
                function(*self);
            }
        };
    }

    asio::awaitable<void> serve_requests();
    asio::awaitable<bool> serve_next();
    void clear_request();
    asio::awaitable<void> serve_head(head_status status);
    asio::awaitable<void> serve_request();
    bool release_attempts();
    asio::awaitable<void> answer_failure(std::exception_ptr failure,
                                         bool may_have_run);
    asio::awaitable<bool> check_header();
    asio::awaitable<bool> read_body();
    asio::awaitable<bool> admit();
    asio::awaitable<void> run_flow();
    core::flow_terms make_flow_terms();
    core::place_request make_place_request(const core::action_place& action);
    void start_place(const core::action_place& action);
    void start_send(const core::action_send& action);
    send_callbacks make_send_callbacks(std::size_t number,
                                       const core::leaving_run& run);
    void on_answer_header(std::size_t number,
                          const core::attempt_result& result);
    void report_end(attempt& current, core::send_end end);
    void on_send_end(std::size_t number, const core::attempt_result& result);
    void cancel(std::size_t number);
    void watch_reading(std::size_t number);
    void check_reading(std::size_t number);
    void report_reading(std::size_t number, bool unread);
    bool is_answer_unread() const;
    void end_unread_answer(std::size_t number);
    asio::awaitable<void> deliver(std::size_t number);
    asio::awaitable<void> refuse(core::result_code code,
                                 bool outcome_unknown,
                                 core::duration retry_after);
    core::action_refuse shutdown_refusal() const;
    bool comes_too_late() const;
    bool can_end(const attempt& current) const;
    asio::awaitable<void> refuse_for_shutdown(bool waited);
    asio::awaitable<void> refuse_for_memory();
    void count_shutdown_refusal(bool waited);
    void count_cut(std::string_view answer);
    std::string format_sends() const;
    void log_request();

    std::shared_ptr<state> shared;
    std::shared_ptr<caller_connection> caller;
    signal progress; ///< the request in progress has changed

    // The request in progress.
    std::shared_ptr<const document_view> view;
    checked_request request;
    const core::route* route = nullptr;
    const core::client_account* account = nullptr;
    std::string service;
    trace::context span;
    core::time_point started_at{};
    core::time_point deadline{};
    std::uint64_t content_digest = 0;
    std::optional<core::request_flow> flow;
    std::vector<attempt> attempts;
    request_summary summary;
    std::string reason; ///< of the newest decision, for the log
    /// Number of the request in progress. Callbacks compare it with the number
    /// of their request, to ignore late events of an earlier one.
    std::uint64_t request_number = 0;
    bool serving = false;      ///< a request is in progress
    bool cut = false;          ///< it was counted as cut
    bool body_stalled = false; ///< a send of it ended since its body stalled

    // How the caller reads an answer that is passed on as it comes.
    asio::steady_timer reading_timer;
    std::uint64_t bytes_at_progress = 0; ///< taken when it last read enough
    unsigned checks_without_progress = 0;
    unsigned checks_since_report = 0;
    bool reported_unread = false;
};

} // namespace medlarbarrow::net
