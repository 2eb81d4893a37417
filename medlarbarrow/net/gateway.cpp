#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
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

constexpr milliseconds accept_pause{100};
constexpr seconds sweep_period{1};

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

void gateway::state::open(tcp::socket&& socket)
{
    ++this->counts.connections_accepted;
    const auto made =
        std::make_shared<session>(this->shared_from_this(), std::move(socket));
    this->sessions.insert(made.get());
    if (this->draining)
    {
        made->connection().drain();
    }
    asio::co_spawn(this->io, session::run(made), asio::detached);
}

bool gateway::state::evict_one()
{
    session* oldest = nullptr;
    core::time_point least{};
    for (session* candidate : this->sessions)
    {
        const auto since = candidate->connection().idle_since();
        if (since && (oldest == nullptr || *since < least))
        {
            oldest = candidate;
            least = *since;
        }
    }
    if (oldest != nullptr)
    {
        oldest->connection().evict();
    }
    return oldest != nullptr;
}

asio::awaitable<void> gateway::state::accept_callers()
{
    const auto keep = this->shared_from_this();
    while (!this->stopping)
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            if (this->sessions.size() >= this->settings.max_connections)
            {
                this->evict_one();
            }
            this->open(std::move(socket));
        }
        else if (failure != asio::error::operation_aborted)
        {
            log::write(log::level::warning, "accept_failed",
                       {log::kv("reason", failure.message())});
            this->evict_one();
            co_await this->room.wait_until(now() + accept_pause);
        }
    }
}

void gateway::state::ended(session& gone)
{
    this->sessions.erase(&gone);
    this->room.notify();
    this->check_drained();
}

void gateway::state::check_drained()
{
    if (this->stopping && this->sessions.empty() && this->drained)
    {
        const auto callback = std::exchange(this->drained, nullptr);
        callback();
    }
}

void gateway::state::sweep()
{
    this->connections.close_aged();
    this->connections.set_max_instances(
        static_cast<std::uint32_t>(this->peers.live()));
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

core::result<std::unique_ptr<gateway>>
gateway::create(asio::io_context& io,
                const gateway_settings& settings,
                fleet& peers,
                const core::server_registry& servers)
{
    error_code failure;
    const auto address =
        asio::ip::make_address(settings.callers.address, failure);
    if (failure)
    {
        return core::make_error_code(result_code::settings_invalid);
    }
    auto made = std::make_shared<state>(io, settings, peers, servers);
    made->local = tcp::endpoint(address, settings.callers.port);
    return std::unique_ptr<gateway>(new gateway(std::move(made)));
}

gateway::gateway(std::shared_ptr<state> initial) : self(std::move(initial)) {}

gateway::~gateway() = default;

std::error_code gateway::start()
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

std::uint16_t gateway::port() const
{
    return this->self->local.port();
}

void gateway::apply_document(std::shared_ptr<const core::document> next)
{
    if (next->limits)
    {
        this->self->bounds.max_header_bytes = next->limits->max_header_bytes;
        this->self->bounds.header_timeout = next->limits->header_timeout;
        this->self->bounds.idle_timeout = next->limits->idle_timeout;
    }
    this->self->view = std::make_shared<document_view>(std::move(next));
}

std::optional<core::quota_limit>
gateway::terms_of(const std::string& account) const
{
    if (!this->self->view)
    {
        return std::nullopt;
    }
    const auto found = this->self->view->by_name.find(account);
    if (found == this->self->view->by_name.end())
    {
        return std::nullopt;
    }
    return core::quota_limit{found->second->rate_per_second,
                             found->second->burst, 1.0};
}

void gateway::drain()
{
    this->self->draining = true;
    for (state::session* open : this->self->sessions)
    {
        open->connection().drain();
    }
}

// Connections that the system has already accepted would be reset by closing
// the listener, so they are taken first.
void gateway::stop(std::function<void()> drained)
{
    state& own = *this->self;
    own.stopping = true;
    own.drained = std::move(drained);
    error_code failure;
    own.acceptor.cancel(failure);
    own.acceptor.non_blocking(true, failure);
    while (!failure)
    {
        tcp::socket socket(own.io);
        own.acceptor.accept(socket, failure);
        if (!failure)
        {
            own.open(std::move(socket));
        }
    }
    own.acceptor.close(failure);
    own.room.notify();
    own.check_drained();
}

void gateway::on_request_end(
    std::function<void(const request_summary&)> observe)
{
    this->self->observe = std::move(observe);
}

gateway_counters gateway::counters() const
{
    gateway_counters copy = this->self->counts;
    copy.servers = this->self->connections.counters();
    return copy;
}

std::size_t gateway::running() const
{
    return this->self->running;
}

} // namespace medlarbarrow::net
