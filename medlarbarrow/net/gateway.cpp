#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <malloc.h>
#include <medlarbarrow/net/gateway_state.hpp>
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

/// Pause after a failed accept, unless a session ends before.
constexpr milliseconds accept_pause{100};
constexpr seconds maintenance_period{1};

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

// An exception ends this connection only, not the loop that accepts others.
void gateway::state::start_session(tcp::socket&& socket,
                                   const asio::ip::address& client)
{
    ++this->counts.connections_accepted;
    std::shared_ptr<session> opened;
    try
    {
        opened = std::make_shared<session>(
            this->shared_from_this(), std::move(socket), client.to_string());
        this->sessions.insert(opened.get());
        if (this->plan)
        {
            opened->connection().drain();
        }
        if (this->sending_stopped)
        {
            opened->connection().expire_reading();
        }
        asio::co_spawn(this->io, session::run(opened), asio::detached);
    }
    catch (const std::exception& failure)
    {
        this->sessions.erase(opened.get());
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", failure.what())});
    }
}

// Starts a session, or closes the connection if there are too many. An
// exception ends this connection only.
void gateway::state::admit_caller(tcp::socket&& socket,
                                  const asio::ip::address& client)
{
    try
    {
        const std::string name = client.to_string();
        if (this->bodies->admit(name))
        {
            this->start_session(std::move(socket), client);
            return;
        }
        log::write(log::level::warning, "connection_refused",
                   {log::kv("client", name),
                    log::kv("open", this->bodies->connections())});
    }
    catch (const std::exception& failure)
    {
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", failure.what())});
    }
}

asio::awaitable<void> gateway::state::accept_callers()
{
    const auto keep_alive = this->shared_from_this();
    while (!this->stopping)
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
            co_await this->capacity_freed.wait_until(now() + accept_pause);
        }
    }
}

void gateway::state::on_session_end(session& ended)
{
    this->sessions.erase(&ended);
    this->capacity_freed.notify();
    this->notify_if_drained();
}

void gateway::state::notify_if_drained()
{
    if (this->stopping && this->sessions.empty() && this->on_drained)
    {
        const auto callback = std::exchange(this->on_drained, nullptr);
        callback();
    }
}

// Closes connections to servers that have been idle for too long, passes on the
// number of live instances and gives memory back that a crowd of callers has
// used, once per maintenance_period.
void gateway::state::run_maintenance()
{
    this->connections.close_unusable_idle();
    if (this->bodies->take_fall())
    {
        ::malloc_trim(0);
    }
    this->connections.set_max_instances(
        static_cast<std::uint32_t>(this->peers.live_count()));
    this->maintenance_timer.expires_after(maintenance_period);
    this->maintenance_timer.async_wait(
        [weak = this->weak_from_this()](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self)
            {
                self->run_maintenance();
            }
        });
}

core::result<std::unique_ptr<gateway>>
gateway::create(asio::io_context& io,
                const gateway_settings& settings,
                fleet& peers,
                const core::server_registry& servers)
{
    error_code failure;
    const auto address =
        asio::ip::make_address(settings.caller_endpoint.address, failure);
    if (failure)
    {
        return core::make_error_code(result_code::settings_invalid);
    }
    auto initial = std::make_shared<state>(io, settings, peers, servers);
    initial->listen_endpoint =
        tcp::endpoint(address, settings.caller_endpoint.port);
    return std::unique_ptr<gateway>(new gateway(std::move(initial)));
}

gateway::gateway(std::shared_ptr<state> initial) : self(std::move(initial)) {}

gateway::~gateway() = default;

std::error_code gateway::start()
{
    error_code failure;
    tcp::acceptor& acceptor = this->self->acceptor;
    acceptor.open(this->self->listen_endpoint.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        acceptor.bind(this->self->listen_endpoint, failure);
    }
    if (!failure)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        return failure;
    }
    this->self->listen_endpoint = acceptor.local_endpoint(failure);
    asio::co_spawn(this->self->io, this->self->accept_callers(),
                   asio::detached);
    this->self->run_maintenance();
    return {};
}

std::uint16_t gateway::port() const
{
    return this->self->listen_endpoint.port();
}

void gateway::apply_document(std::shared_ptr<const core::document> document)
{
    if (document->limits)
    {
        this->self->bounds.max_header_bytes =
            document->limits->max_header_bytes;
        this->self->bounds.header_timeout = document->limits->header_timeout;
        this->self->bounds.idle_timeout = document->limits->idle_timeout;
    }
    this->self->view = std::make_shared<document_view>(std::move(document));
}

std::optional<core::quota_limit>
gateway::account_limit(const std::string& account) const
{
    if (!this->self->view)
    {
        return std::nullopt;
    }
    const auto it = this->self->view->by_name.find(account);
    if (it == this->self->view->by_name.end())
    {
        return std::nullopt;
    }
    return core::quota_limit{it->second->rate_per_second, it->second->burst,
                             1.0};
}

void gateway::begin_shutdown(const core::shutdown_plan& plan)
{
    this->self->plan = plan;
    for (state::session* open_session : this->self->sessions)
    {
        open_session->connection().drain();
    }
}

void gateway::stop_sending()
{
    this->self->sending_stopped = true;
    this->self->connections.stop_sending();
    for (state::session* open_session : this->self->sessions)
    {
        open_session->stop_sending();
    }
}

void gateway::end_running()
{
    for (state::session* open_session : this->self->sessions)
    {
        open_session->end_running();
    }
}

void gateway::log_shutdown()
{
    for (state::session* open_session : this->self->sessions)
    {
        open_session->log_if_cut();
    }
    const gateway_counters& counts = this->self->counts;
    log::write(log::level::info, "stop_ended",
               {log::kv("refused_late", counts.stop_refused_late),
                log::kv("refused_waiting", counts.stop_refused_waiting),
                log::kv("cut", counts.stop_cut)});
}

// Accepts the connections that wait in the system's accept queue first, because
// closing the listener would reset them.
void gateway::stop(std::function<void()> on_drained)
{
    state& impl = *this->self;
    impl.stopping = true;
    impl.on_drained = std::move(on_drained);
    error_code failure;
    impl.acceptor.cancel(failure);
    impl.acceptor.non_blocking(true, failure);
    while (!failure)
    {
        tcp::socket socket(impl.io);
        tcp::endpoint client;
        impl.acceptor.accept(socket, client, failure);
        if (!failure)
        {
            impl.start_session(std::move(socket), client.address());
        }
    }
    impl.acceptor.close(failure);
    impl.capacity_freed.notify();
    impl.notify_if_drained();
}

void gateway::on_request_end(
    std::function<void(const request_summary&)> observer)
{
    this->self->request_observer = std::move(observer);
}

gateway_counters gateway::counters() const
{
    gateway_counters totals = this->self->counts;
    totals.bodies = this->self->bodies->counters();
    totals.servers = this->self->connections.counters();
    return totals;
}

std::size_t gateway::running_requests() const
{
    return this->self->running_requests;
}

} // namespace medlarbarrow::net
