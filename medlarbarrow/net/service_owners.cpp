#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/service_owners.hpp>

namespace medlarbarrow::net
{

namespace
{

/// Period of the check for overdue requests while any request runs or waits.
constexpr std::chrono::milliseconds tick_period{25};

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

service_owners::service_owners(boost::asio::io_context& io,
                               const core::server_registry& registry,
                               const core::retry_limits& limits,
                               std::uint64_t initial_seed,
                               answer_handler handler)
    : servers(registry), retry_limits(limits), seed(initial_seed),
      on_answer(std::move(handler)), timer(io)
{
}

// Returns the service with its current servers; adds it at its first request.
service_owners::owned_service&
service_owners::find_or_create(const std::string& service)
{
    const auto [it, inserted] = this->owned_services.try_emplace(
        service,
        owned_service{core::placement(this->retry_limits,
                                      core::hash_text(service, this->seed)),
                      0});
    this->refresh_servers(service, it->second);
    return it->second;
}

void service_owners::refresh_servers(const std::string& service,
                                     owned_service& owned)
{
    if (owned.registry_version != this->servers.version())
    {
        owned.registry_version = this->servers.version();
        owned.placement.set_servers(this->servers.usable(service), now());
    }
}

core::place_answer service_owners::request(const std::string& service,
                                           const core::place_request& request)
{
    core::place_answer answer =
        this->find_or_create(service).placement.request(request, now());
    this->start_timer();
    return answer;
}

void service_owners::on_send_ended(const core::done_call& ended)
{
    for (auto& [service, owned] : this->owned_services)
    {
        if (!ended.service.empty() && service != ended.service)
        {
            continue;
        }
        if (ended.outcome == core::send_outcome::cancelled)
        {
            owned.placement.cancel(ended.grant, now());
        }
        else
        {
            owned.placement.on_send_ended(ended.grant, ended.outcome,
                                          ended.latency, now());
        }
        if (owned.placement.waiting() > 0)
        {
            this->update(service, owned);
        }
    }
    this->start_timer();
}

// Passes on the deferred answers and logs the changes of server states.
void service_owners::update(const std::string& service, owned_service& owned)
{
    this->refresh_servers(service, owned);
    for (const core::deferred_answer& deferred : owned.placement.tick(now()))
    {
        this->on_answer(deferred.grant, deferred.answer);
    }
    for (const core::placement_event& event : owned.placement.take_events())
    {
        log::write(log::level::info, "server_" + event.change,
                   {log::kv("service", service),
                    log::kv("server", event.server),
                    log::kv("reason", event.reason),
                    log::kv("doubt", fmt::format("{:.2f}", event.suspicion)),
                    log::kv("running", owned.placement.running()),
                    log::kv("waiting", owned.placement.waiting())});
    }
}

void service_owners::update_all()
{
    bool has_requests = false;
    for (auto& [service, owned] : this->owned_services)
    {
        this->update(service, owned);
        has_requests |=
            owned.placement.running() > 0 || owned.placement.waiting() > 0;
    }
    if (has_requests)
    {
        this->start_timer();
    }
}

// Starts the timer unless it runs. While no request runs or waits, the timer is
// not started again, so that an idle instance does nothing.
void service_owners::start_timer()
{
    if (this->timer_running)
    {
        return;
    }
    this->timer_running = true;
    this->timer.expires_after(tick_period);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
            {
                this->timer_running = false;
                this->update_all();
            }
        });
}

void service_owners::close()
{
    this->timer.cancel();
}

} // namespace medlarbarrow::net
