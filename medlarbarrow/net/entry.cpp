#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl/context.hpp>
#include <malloc.h>
#include <medlarbarrow/net/entry_state.hpp>
#include <medlarbarrow/net/log.hpp>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using core::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Pause after accept() failed for lack of file descriptors, unless a
/// connection ends before.
constexpr milliseconds accept_pause{100};

/// Interval between two closings of aged idle connections to servers.
constexpr seconds sweep_period{1};

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
    case result_code::body_stalled:
        return 504;
    case result_code::instance_failed:
        return 500;
    default:
        return 503;
    }
}

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

// Starts a session for an accepted connection.
void entry::state::open_session(tcp::socket&& socket,
                                const asio::ip::address& client)
{
    ++this->counts.connections_accepted;
    const auto new_session = std::make_shared<session>(
        this->shared_from_this(), std::move(socket), client.to_string());
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
        tcp::endpoint client;
        tcp::socket socket = co_await this->acceptor.async_accept(
            client, asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            this->admit_caller(std::move(socket), client.address());
        }
        else if (failure != asio::error::operation_aborted)
        {
            log::write(log::level::warning, "accept_failed",
                       {log::kv("reason", failure.message())});
            this->bodies->free_connection();
            co_await this->capacity_changed.wait_until(core::boot_clock::now() +
                                                       accept_pause);
        }
    }
}

// Starts a session, or closes the connection if there are too many.
void entry::state::admit_caller(tcp::socket&& socket,
                                const asio::ip::address& client)
{
    const std::string name = client.to_string();
    if (this->bodies->admit(name))
    {
        this->open_session(std::move(socket), client);
        return;
    }
    log::write(log::level::warning, "connection_refused",
               {log::kv("client", name),
                log::kv("open", this->bodies->connections())});
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
        tcp::endpoint client;
        this->acceptor.accept(socket, client, failure);
        if (!failure)
        {
            this->open_session(std::move(socket), client.address());
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

// Reports the end of a drain when no session is left, or at its end when all
// requests have been answered.
void entry::state::check_drained()
{
    const auto is_done = [this](const session* open_session)
    {
        return this->exiting && open_session->has_answered_all();
    };
    if (!this->draining || !this->drained ||
        !std::all_of(this->sessions.begin(), this->sessions.end(), is_done))
    {
        return;
    }
    this->servers.close_idle();
    this->sweep_timer.cancel();
    this->waiting_timer.cancel();
    this->running_timer.cancel();
    this->exit_timer.cancel();
    const auto callback = std::exchange(this->drained, nullptr);
    callback();
}

// Closes aged idle connections to servers and gives memory back that a crowd of
// callers has used, now and every sweep_period.
void entry::state::sweep()
{
    this->servers.close_unusable_idle();
    if (this->bodies->take_fall())
    {
        ::malloc_trim(0);
    }
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

// Calls the action at the given time, unless the timer is cancelled before.
void entry::state::run_at(asio::steady_timer& timer,
                          core::time_point time,
                          void (state::*action)())
{
    timer.expires_at(to_steady_time(time));
    timer.async_wait(
        [weak = this->weak_from_this(), action](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self)
            {
                (*self.*action)();
            }
        });
}

// Refuses the requests that wait for a server or have arrived only in part.
void entry::state::end_waiting()
{
    this->sending_stopped = true;
    this->servers.stop_sending();
    for (session* open_session : this->sessions)
    {
        open_session->connection().expire_reading();
    }
}

// Answers the requests that still run at a server.
void entry::state::end_running()
{
    for (session* open_session : this->sessions)
    {
        open_session->end_running();
    }
}

// From now on the drain does not wait for callers that have their answer and
// keep their connections open.
void entry::state::begin_exit()
{
    this->exiting = true;
    this->check_drained();
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
    this->self->run_at(this->self->waiting_timer, plan.waiting_refused_at(),
                       &state::end_waiting);
    this->self->run_at(this->self->running_timer, plan.running_ended_at(),
                       &state::end_running);
    this->self->run_at(this->self->exit_timer, plan.exit_at(),
                       &state::begin_exit);
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
    snapshot.bodies = this->self->bodies->counters();
    snapshot.servers = this->self->servers.counters();
    return snapshot;
}

} // namespace medlarbarrow::net
