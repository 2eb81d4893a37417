#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl/context.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/log.hpp>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using core::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of leading body bytes in the digest that identifies requests which
/// crash servers. They are read before the first attempt, so that the digest
/// does not depend on how the body is split into packets.
constexpr std::size_t digested_body_bytes = 4096;

/// Pause after accept() failed for lack of file descriptors, and between two
/// searches for an idle connection that can be closed to admit a new one.
constexpr milliseconds accept_pause{100};

/// Interval between two closings of aged idle connections to servers.
constexpr seconds sweep_period{1};

core::instant now()
{
    return {core::boot_clock::now(), std::chrono::time_point_cast<milliseconds>(
                                         std::chrono::system_clock::now())};
}

std::string_view reason_phrase(unsigned status)
{
    return http::obsolete_reason(http::int_to_status(status));
}

/// JSON body of a refusal.
std::string refusal_body(const core::step_refuse& refusal)
{
    const nlohmann::json body{
        {"code", static_cast<int>(refusal.code)},
        {"name", core::name_of(refusal.code)},
        {"outcome", refusal.outcome_unknown ? "unknown" : "not-run"},
        {"message", core::make_error_code(refusal.code).message()}};
    return body.dump();
}

answer_head refusal_head(const core::step_refuse& refusal,
                         unsigned status,
                         std::size_t body_bytes)
{
    answer_head head;
    head.status = status;
    head.reason = reason_phrase(status);
    head.lines = fmt::format("Medlar-Outcome: {}\r\nMedlar-Code: {}\r\n"
                             "Content-Type: application/json\r\n",
                             refusal.outcome_unknown ? "unknown" : "not-run",
                             static_cast<int>(refusal.code));
    if (refusal.retry_after > milliseconds(0))
    {
        // Retry-After is in whole seconds, so the wait is rounded up.
        head.lines += fmt::format(
            "Retry-After: {}\r\n",
            std::chrono::ceil<seconds>(refusal.retry_after).count());
    }
    if (status == 401)
    {
        head.lines += "WWW-Authenticate: Bearer\r\n";
    }
    head.length = body_bytes;
    return head;
}

/// TLS context with the given certificate and key; null when TLS is not
/// configured. Error: settings_invalid.
core::result<std::shared_ptr<asio::ssl::context>>
make_tls(const std::optional<config::tls_files>& files)
{
    if (!files)
    {
        return std::shared_ptr<asio::ssl::context>();
    }
    using context = asio::ssl::context;
    auto tls_context = std::make_shared<context>(context::tls_server);
    error_code failure;
    tls_context->set_options(context::default_workarounds | context::no_tlsv1 |
                                 context::no_tlsv1_1 | context::single_dh_use,
                             failure);
    if (!failure)
    {
        tls_context->use_certificate_chain_file(files->certificate_file,
                                                failure);
    }
    if (!failure)
    {
        tls_context->use_private_key_file(files->key_file, context::pem,
                                          failure);
    }
    if (failure)
    {
        log::write(log::level::error, "caller_tls_invalid",
                   {log::kv("reason", failure.message())});
        return core::make_error_code(result_code::settings_invalid);
    }
    return tls_context;
}

} // namespace

void latency_histogram::add(core::duration value)
{
    const auto bound =
        std::lower_bound(latency_bounds.begin(), latency_bounds.end(), value);
    ++this->buckets.at(
        static_cast<std::size_t>(bound - latency_bounds.begin()));
    ++this->count;
    this->sum += value;
}

unsigned status_of(result_code code) noexcept
{
    switch (code)
    {
    case result_code::bad_request:
    case result_code::order_key_missing:
    case result_code::order_key_invalid:
    case result_code::order_key_in_future:
        return 400;
    case result_code::key_missing:
    case result_code::key_unknown:
    case result_code::key_withdrawn:
        return 401;
    case result_code::account_not_allowed:
    case result_code::request_blocked:
        return 403;
    case result_code::no_route:
        return 404;
    case result_code::caller_gone:
        return 408;
    case result_code::order_in_progress:
        return 409;
    case result_code::body_too_large:
        return 413;
    case result_code::rate_exceeded:
        return 429;
    case result_code::header_too_large:
        return 431;
    case result_code::server_connect_failed:
    case result_code::server_closed_early:
    case result_code::server_bad_answer:
    case result_code::order_outcome_unknown:
        return 502;
    case result_code::server_timeout:
        return 504;
    case result_code::instance_failed:
        return 500;
    default:
        return 503;
    }
}

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
          sweep_timer(context), capacity_changed(context.get_executor()),
          servers(context.get_executor(), entry_settings.bounds)
    {
    }

    void flush(core::outbox& out);
    asio::awaitable<void> accept_callers();
    asio::awaitable<void> wait_for_capacity();
    void open_session(tcp::socket&& socket);
    void evict_longest_idle();
    void close_acceptor();
    void remove(session& ended_session);
    void sweep();
    void check_drained();
    std::uint64_t body_limit_of(const std::string& route) const;

    asio::io_context& io;
    config::settings settings;
    core::node& node;
    send_function send;
    std::function<void(const request_summary&)> observe_end;
    std::shared_ptr<asio::ssl::context> tls;
    tcp::acceptor acceptor;
    tcp::endpoint local;
    asio::steady_timer sweep_timer;
    signal capacity_changed; ///< a connection ended or drain() was called
    upstream servers;
    entry_counters counts;
    std::unordered_map<std::string, std::uint64_t> body_limits;
    std::set<session*> sessions;
    std::set<session*> waiting_sessions; ///< in step_wait
    bool draining = false;
    std::optional<core::shutdown_plan> plan; ///< set by drain()
    std::function<void()> drained;
};

/// Serves the requests of one caller's connection, one after the other.
class entry::state::session
    : public std::enable_shared_from_this<entry::state::session>
{
public:
    session(std::shared_ptr<state> entry_state, tcp::socket&& socket)
        : shared(std::move(entry_state)),
          caller(std::make_shared<caller_connection>(
              caller_stream(std::move(socket), this->shared->tls.get()),
              this->shared->settings.bounds))
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<session> self);

    caller_connection& connection()
    {
        return *this->caller;
    }

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
    asio::awaitable<progress> attempt(const core::step_send& step);
    asio::awaitable<void> replay(const core::stored_answer& answer);
    asio::awaitable<void> refuse(const core::step_refuse& refusal);
    asio::awaitable<void> refuse_body();
    asio::awaitable<void> refuse_for_shutdown();
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
};

// Hands the node's messages to the peers' transport.
void entry::state::flush(core::outbox& out)
{
    if (!out.empty())
    {
        this->send(std::move(out));
    }
    out.clear();
}

// Body limit of the route; no limit for an unknown route.
std::uint64_t entry::state::body_limit_of(const std::string& route) const
{
    const auto limit = this->body_limits.find(route);
    return limit == this->body_limits.end()
               ? std::numeric_limits<std::uint64_t>::max()
               : limit->second;
}

// Closes the connection that has been idle longest, if any is idle.
void entry::state::evict_longest_idle()
{
    session* oldest = nullptr;
    for (session* candidate : this->sessions)
    {
        const auto since = candidate->connection().idle_since();
        if (since &&
            (oldest == nullptr || *since < *oldest->connection().idle_since()))
        {
            oldest = candidate;
        }
    }
    if (oldest != nullptr)
    {
        oldest->connection().evict();
    }
}

// Starts a session for an accepted connection.
void entry::state::open_session(tcp::socket&& socket)
{
    ++this->counts.connections_accepted;
    const auto new_session =
        std::make_shared<session>(this->shared_from_this(), std::move(socket));
    this->sessions.insert(new_session.get());
    if (this->draining)
    {
        new_session->connection().drain();
    }
    asio::co_spawn(this->io, session::run(new_session), asio::detached);
}

asio::awaitable<void> entry::state::accept_callers()
{
    const auto self = this->shared_from_this();
    while (!this->draining)
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            co_await this->wait_for_capacity();
            this->open_session(std::move(socket));
        }
        else if (failure != asio::error::operation_aborted)
        {
            log::write(log::level::warning, "accept_failed",
                       {log::kv("reason", failure.message())});
            co_await this->capacity_changed.wait_until(core::boot_clock::now() +
                                                       accept_pause);
        }
    }
}

// Waits until another connection fits the limit, closing idle connections to
// make room.
asio::awaitable<void> entry::state::wait_for_capacity()
{
    while (!this->draining &&
           this->sessions.size() >= this->settings.bounds.max_connections)
    {
        this->evict_longest_idle();
        // No signal tells when a connection becomes idle, so poll.
        co_await this->capacity_changed.wait_until(core::boot_clock::now() +
                                                   accept_pause);
    }
}

// Closing the listener would reset the connections that the system has already
// accepted, so sessions are opened for them first.
void entry::state::close_acceptor()
{
    error_code failure;
    this->acceptor.cancel(failure);
    this->acceptor.non_blocking(true, failure);
    while (!failure)
    {
        tcp::socket socket(this->io);
        this->acceptor.accept(socket, failure);
        if (!failure)
        {
            this->open_session(std::move(socket));
        }
    }
    this->acceptor.close(failure);
}

void entry::state::remove(session& ended_session)
{
    this->sessions.erase(&ended_session);
    this->capacity_changed.notify();
    this->check_drained();
}

// Reports the end of a drain when no session is left.
void entry::state::check_drained()
{
    if (!this->draining || !this->sessions.empty() || !this->drained)
    {
        return;
    }
    this->servers.close_idle();
    this->sweep_timer.cancel();
    const auto callback = std::exchange(this->drained, nullptr);
    callback();
}

// Closes aged idle connections to servers, now and every sweep_period.
void entry::state::sweep()
{
    this->servers.close_expired_idle();
    this->sweep_timer.expires_after(sweep_period);
    this->sweep_timer.async_wait(
        [weak = this->weak_from_this()](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self)
            {
                self->sweep();
            }
        });
}

asio::awaitable<void> entry::state::session::run(std::shared_ptr<session> self)
{
    try
    {
        co_await self->serve_requests();
    }
    catch (const std::exception& failure)
    {
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", failure.what())});
        self->abandon();
        self->caller->reset();
    }
    self->shared->remove(*self);
}

asio::awaitable<void> entry::state::session::serve_requests()
{
    if (!co_await this->caller->handshake())
    {
        this->caller->reset();
        co_return;
    }
    while (!this->caller->is_closing() && !this->caller->is_gone())
    {
        const head_status status = co_await this->caller->read_head();
        if (status != head_status::complete)
        {
            co_await this->refuse_header(status);
            break;
        }
        ++this->shared->counts.requests;
        this->start_time = core::boot_clock::now();
        this->summary = {};
        co_await this->serve_request();
        this->summary.elapsed = core::boot_clock::now() - this->start_time;
        this->shared->counts.latency.add(this->summary.elapsed);
        this->write_log();
        this->summary.attempts = this->hop.attempts;
        if (this->shared->observe_end)
        {
            this->shared->observe_end(this->summary);
        }
        if (!this->caller->is_answer_complete())
        {
            this->shared->counts.answers_cut_off +=
                this->caller->has_answer_started() ? 1 : 0;
            this->caller->reset();
        }
    }
    co_await this->caller->close();
}

asio::awaitable<void> entry::state::session::refuse_header(head_status status)
{
    if (status == head_status::closed)
    {
        co_return;
    }
    ++this->shared->counts.requests;
    this->request = {};
    this->caller->close_after_answer();
    core::step_refuse refusal;
    refusal.code = result_code::bad_request;
    if (status == head_status::too_large)
    {
        refusal.code = result_code::header_too_large;
    }
    if (status == head_status::timed_out)
    {
        refusal.code = result_code::caller_gone;
    }
    co_await this->refuse(refusal);
}

// Checks and serves the request whose header read_head() has parsed.
asio::awaitable<void> entry::state::session::serve_request()
{
    this->hop = {};
    this->previous_result.reset();
    this->account.clear();
    this->route.clear();
    this->server.clear();
    core::result<checked_request> checked =
        check_request(this->caller->header());
    if (!checked)
    {
        this->request = {};
        this->span = trace::make_span(std::nullopt);
        this->caller->close_after_answer();
        co_await this->refuse({result_code::bad_request, false, {}});
        co_return;
    }
    this->request = std::move(*checked);
    this->span = trace::make_span(this->request.parent);
    if (this->request.close)
    {
        this->caller->close_after_answer();
    }
    if (co_await this->register_request())
    {
        co_await this->run_steps();
    }
}

// Reads the first part of the body and registers the request with the node.
// False when the request was refused.
asio::awaitable<bool> entry::state::session::register_request()
{
    if (this->request.expects_continue && this->request.has_body())
    {
        co_await this->caller->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!co_await this->caller->prefetch(digested_body_bytes))
    {
        co_await this->refuse_body();
        co_return false;
    }
    if (this->shared->plan &&
        !this->shared->plan->takes(core::boot_clock::now()))
    {
        co_await this->refuse_for_shutdown();
        co_return false;
    }
    const std::string_view body =
        this->caller->buffered_body().substr(0, digested_body_bytes);
    this->request.facts.content_digest =
        core::hash_text(body, core::hash_text(this->request.method + " " +
                                              this->request.target));
    this->id = this->shared->node.begin_request(this->request.facts, now());
    this->account = this->shared->node.account_of(*this->id);
    this->route = this->shared->node.route_of(*this->id);
    const std::uint64_t limit = this->shared->body_limit_of(this->route);
    this->caller->limit_body(limit);
    if (this->request.content_length.value_or(0) > limit ||
        this->caller->is_body_too_large())
    {
        this->abandon();
        co_await this->refuse({result_code::body_too_large, false, {}});
        co_return false;
    }
    co_return true;
}

// Executes the steps that the node decides until the request has ended.
asio::awaitable<void> entry::state::session::run_steps()
{
    progress state = progress::next_step;
    while (state == progress::next_step)
    {
        core::outbox out;
        const core::step step =
            this->shared->node.next_step(*this->id, now(), out);
        this->shared->flush(out);
        state = co_await this->execute(step);
    }
    this->id.reset();
}

asio::awaitable<entry::state::session::progress>
entry::state::session::execute(const core::step& step)
{
    if (const auto* waiting = std::get_if<core::step_wait>(&step))
    {
        const progress state = co_await this->wait(waiting->until);
        co_return state;
    }
    if (const auto* sending = std::get_if<core::step_send>(&step))
    {
        const progress state = co_await this->attempt(*sending);
        co_return state;
    }
    if (const auto* refusal = std::get_if<core::step_refuse>(&step))
    {
        co_await this->refuse(*refusal);
    }
    if (const auto* stored = std::get_if<core::step_replay>(&step))
    {
        co_await this->replay(stored->answer);
    }
    co_return progress::ended;
}

// Waits until the node may have a next step. The request ends if the caller
// disconnects meanwhile.
asio::awaitable<entry::state::session::progress>
entry::state::session::wait(core::time_point until)
{
    // Wait at least 1 ms: a deadline in the past would make the loop busy.
    const core::time_point earliest = core::boot_clock::now() + milliseconds(1);
    this->shared->waiting_sessions.insert(this);
    co_await this->caller->wait_until(std::max(until, earliest));
    this->shared->waiting_sessions.erase(this);
    if (!this->caller->is_gone())
    {
        co_return progress::next_step;
    }
    ++this->shared->counts.callers_gone;
    this->abandon();
    co_return progress::ended;
}

void entry::state::session::finish_attempt(const core::attempt_result& result)
{
    core::outbox out;
    this->shared->node.attempt_finished(*this->id, result, now(), out);
    this->shared->flush(out);
}

asio::awaitable<entry::state::session::progress>
entry::state::session::attempt(const core::step_send& step)
{
    using core::attempt_end;
    if (!this->caller->is_replayable() && this->previous_result)
    {
        // The buffer no longer holds the complete body, so no further attempt
        // is possible. The node is told that the request has ended.
        core::attempt_result abandoned;
        abandoned.end = attempt_end::caller_gone;
        this->finish_attempt(abandoned);
        const bool not_run =
            this->previous_result->end == attempt_end::refused_not_run ||
            this->previous_result->end == attempt_end::not_sent;
        const result_code code = not_run ? result_code::server_shed
                                         : result_code::server_closed_early;
        co_await this->refuse({code, !not_run, {}});
        co_return progress::ended;
    }
    ++this->hop.attempts;
    this->server = step.server.name;
    const core::time_point sent = core::boot_clock::now();
    const core::attempt_result result = co_await this->shared->servers.attempt(
        step, this->request, this->span, *this->caller);
    this->summary.attempt_time += core::boot_clock::now() - sent;
    this->previous_result = result;
    this->finish_attempt(result);
    if (this->caller->is_answer_complete())
    {
        ++this->shared->counts.answered;
    }
    if (result.end == attempt_end::caller_gone)
    {
        if (this->caller->is_gone())
        {
            ++this->shared->counts.callers_gone;
        }
        else
        {
            co_await this->refuse_body();
        }
    }
    co_return progress::next_step;
}

// Refuses a request whose body is malformed, too large or arrived too slowly.
asio::awaitable<void> entry::state::session::refuse_body()
{
    core::step_refuse refusal;
    refusal.code = result_code::caller_gone;
    if (this->caller->is_body_too_large())
    {
        refusal.code = result_code::body_too_large;
    }
    if (this->caller->is_body_malformed())
    {
        refusal.code = result_code::bad_request;
    }
    refusal.outcome_unknown = this->previous_result.has_value();
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

// Refuses a request that could not be served before the end of the shutdown.
// An order is not said to have "not run", because an earlier request with its
// key may have: only the owner of its record knows.
asio::awaitable<void> entry::state::session::refuse_for_shutdown()
{
    core::step_refuse refusal;
    refusal.code = result_code::shutting_down;
    refusal.outcome_unknown = !this->request.facts.idempotency_key.empty();
    refusal.retry_after = std::chrono::duration_cast<milliseconds>(
        this->shared->plan->retry_after());
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

asio::awaitable<void>
entry::state::session::refuse(const core::step_refuse& refusal)
{
    // A refusal cannot be written after the start of another answer.
    if (this->caller->has_answer_started())
    {
        co_return;
    }
    this->summary.outcome = refusal.code;
    ++this->shared->counts.refusals[refusal.code];
    ++(refusal.outcome_unknown ? this->shared->counts.refused_outcome_unknown
                               : this->shared->counts.refused_not_run);
    const std::string body = refusal_body(refusal);
    answer_head head =
        refusal_head(refusal, status_of(refusal.code), body.size());
    const bool head_only = this->request.method == "HEAD";
    head.has_body = !head_only;
    co_await this->caller->write_head(
        head, head_only ? std::string_view() : std::string_view(body), true);
}

// Writes the stored first answer of an order.
asio::awaitable<void>
entry::state::session::replay(const core::stored_answer& answer)
{
    ++this->shared->counts.replayed;
    answer_head head;
    head.status = answer.status;
    head.reason = reason_phrase(answer.status);
    if (!answer.content_type.empty())
    {
        head.lines = "Content-Type: " + answer.content_type + "\r\n";
    }
    head.has_body = answer.status != 204 && answer.status != 304;
    if (head.has_body)
    {
        head.length = answer.body.size();
    }
    // Must be a named variable: g++ 12 destroys a string twice if a
    // conditional expression copies it inside co_await.
    const std::string_view body =
        head.has_body ? std::string_view(answer.body) : std::string_view();
    co_await this->caller->write_head(head, body, true);
}

// Tells the node that the request was abandoned, if the node still tracks it.
void entry::state::session::abandon()
{
    if (!this->id)
    {
        return;
    }
    core::outbox out;
    this->shared->node.abandon(*this->id, now(), out);
    this->shared->flush(out);
    this->id.reset();
}

// Writes the trace span of the request to the log.
void entry::state::session::write_log()
{
    this->hop.account = this->account;
    this->hop.route = this->route;
    this->hop.server = this->server;
    this->hop.status = this->caller->answer_status();
    this->hop.took = core::boot_clock::now() - this->start_time;
    trace::write_span(this->span, this->request.parent, this->hop);
}

core::result<std::unique_ptr<entry>>
entry::create(asio::io_context& io,
              const config::settings& settings,
              core::node& decisions,
              send_function send)
{
    auto initial =
        std::make_shared<state>(io, settings, decisions, std::move(send));
    error_code failure;
    const auto address =
        asio::ip::make_address(settings.callers.address, failure);
    if (failure)
    {
        return core::make_error_code(result_code::settings_invalid);
    }
    initial->local = tcp::endpoint(address, settings.callers.port);
    auto tls = make_tls(settings.caller_tls);
    if (!tls)
    {
        return tls.error();
    }
    initial->tls = *tls;
    return std::unique_ptr<entry>(new entry(std::move(initial)));
}

entry::entry(std::shared_ptr<state> initial) : self(std::move(initial)) {}

entry::~entry() = default;

std::error_code entry::start()
{
    error_code failure;
    tcp::acceptor& acceptor = this->self->acceptor;
    acceptor.open(this->self->local.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        acceptor.bind(this->self->local, failure);
    }
    if (!failure)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        return failure;
    }
    this->self->local = acceptor.local_endpoint(failure);
    asio::co_spawn(this->self->io, this->self->accept_callers(),
                   asio::detached);
    this->self->sweep();
    return {};
}

std::uint16_t entry::port() const
{
    return this->self->local.port();
}

void entry::apply_document(const core::document& document)
{
    this->self->servers.set_max_instances(document.fleet.max_instances);
    this->self->body_limits.clear();
    for (const core::route& route : document.routes)
    {
        this->self->body_limits[route.name] = route.max_body_bytes;
    }
}

void entry::notify_changed()
{
    for (state::session* session : this->self->waiting_sessions)
    {
        session->connection().wake();
    }
}

void entry::drain(const core::shutdown_plan& plan,
                  std::function<void()> drained)
{
    this->self->draining = true;
    this->self->plan = plan;
    this->self->drained = std::move(drained);
    this->self->close_acceptor();
    for (state::session* session : this->self->sessions)
    {
        session->connection().drain();
    }
    this->self->capacity_changed.notify();
    this->self->check_drained();
}

void entry::on_request_end(
    std::function<void(const request_summary&)> observe_end)
{
    this->self->observe_end = std::move(observe_end);
}

entry_counters entry::counters() const
{
    entry_counters snapshot = this->self->counts;
    snapshot.connections_open = this->self->sessions.size();
    snapshot.servers = this->self->servers.counters();
    return snapshot;
}

} // namespace medlarbarrow::net
