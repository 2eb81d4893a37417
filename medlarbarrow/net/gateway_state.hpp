/// State and sessions of the gateway; included by its two source files only.
#pragma once

#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/core/split.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/gateway.hpp>
#include <medlarbarrow/net/send.hpp>
#include <random>
#include <set>

namespace medlarbarrow::net
{

/// Body bytes that are read before a server is asked for: a request whose
/// body fits can be sent again.
constexpr std::size_t kept_body_bytes = 128U << 10U;

/// Decoded parts of answers and bodies are twice this size at most.
constexpr std::uint32_t buffer_bytes = 2 * kept_body_bytes;

/// Servers close connections that have been idle for ten seconds.
constexpr std::chrono::milliseconds server_idle_age{8500};
constexpr std::chrono::milliseconds server_connect_limit{250};

/// What is derived from one document.
struct document_view
{
    explicit document_view(std::shared_ptr<const core::document> chosen)
        : document(std::move(chosen)), routes(this->document),
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
          const gateway_settings& chosen,
          fleet& others,
          const core::server_registry& known)
        : io(context), settings(chosen), peers(others), servers(known),
          acceptor(context), sweep_timer(context), room(context.get_executor()),
          bounds(make_bounds(chosen)),
          connections(context.get_executor(),
                      this->bounds,
                      chosen.names,
                      {server_idle_age, server_connect_limit}),
          splits(std::random_device{}())
    {
    }

    static config::entry_bounds make_bounds(const gateway_settings& settings)
    {
        config::entry_bounds bounds;
        bounds.max_connections = settings.max_connections;
        bounds.buffer_bytes = buffer_bytes;
        return bounds;
    }

    asio::awaitable<void> accept_callers();
    void open(asio::ip::tcp::socket&& socket);
    bool evict_one();
    void ended(session& gone);
    void sweep();
    void check_drained();

    asio::io_context& io;
    gateway_settings settings;
    fleet& peers;
    const core::server_registry& servers;
    asio::ip::tcp::acceptor acceptor;
    asio::ip::tcp::endpoint local;
    asio::steady_timer sweep_timer;
    signal room;
    config::entry_bounds bounds;
    upstream connections;
    std::shared_ptr<const document_view> view;
    core::traffic_splitter splits;
    gateway_counters counts;
    std::function<void(const request_summary&)> observe;
    std::set<session*> sessions;
    std::size_t running = 0; ///< requests
    bool draining = false;
    bool stopping = false;
    std::function<void()> drained;
};

/// One caller's connection and its requests, one after the other.
class gateway::state::session
    : public std::enable_shared_from_this<gateway::state::session>
{
public:
    session(std::shared_ptr<state> shared, asio::ip::tcp::socket&& socket)
        : owner(std::move(shared)),
          caller(std::make_shared<caller_connection>(
              caller_stream(std::move(socket), nullptr), this->owner->bounds)),
          changed(this->owner->io.get_executor())
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<session> self);

    caller_connection& connection()
    {
        return *this->caller;
    }

private:
    /// One try of the request: its place and its send.
    struct attempt
    {
        std::optional<core::grant_id> grant;
        std::string server;
        std::shared_ptr<send> sent;
        std::string ended; ///< how, for the log
        core::time_point ended_at{};
    };

    asio::awaitable<void> serve_all();
    asio::awaitable<void> serve();
    asio::awaitable<bool> check();
    asio::awaitable<bool> read_body();
    asio::awaitable<bool> admit();
    asio::awaitable<void> run_flow();
    core::flow_terms flow_terms();
    core::place_request place_terms(const core::action_place& action);
    void start_place(const core::action_place& action);
    void start_send(const core::action_send& action);
    void on_send_end(std::size_t number, const core::attempt_result& result);
    void cancel(std::size_t number);
    asio::awaitable<void> deliver(std::size_t number);
    asio::awaitable<void>
    refuse(core::result_code code, bool unknown, core::duration retry_after);
    std::string sends_text() const;
    void write_log();

    std::shared_ptr<state> owner;
    std::shared_ptr<caller_connection> caller;
    signal changed;

    // The request in progress.
    std::shared_ptr<const document_view> view;
    checked_request request;
    const core::route* route = nullptr;
    const core::client_account* account = nullptr;
    std::string service;
    trace::context span;
    core::time_point began{};
    core::time_point ends{};
    std::uint64_t content = 0;
    std::optional<core::request_flow> flow;
    std::vector<attempt> attempts;
    request_summary summary;
    std::string reason;       ///< of the newest decision, for the log
    std::uint64_t serial = 0; ///< of the request; late events name theirs
};

} // namespace medlarbarrow::net
