#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/service_owners.hpp>

namespace medlarbarrow::net
{

namespace
{

/// How often overdue requests are looked for while any runs.
constexpr std::chrono::milliseconds tick_period{25};

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

service_owners::service_owners(boost::asio::io_context& io,
                               const core::server_registry& known,
                               const core::retry_limits& limits,
                               std::uint64_t chosen_seed,
                               answer_function to_answer)
    : servers(known), repeats(limits), seed(chosen_seed),
      answer(std::move(to_answer)), timer(io)
{
}

service_owners::duty& service_owners::duty_of(const std::string& service)
{
    const auto [found, fresh] = this->duties.try_emplace(
        service, duty{core::placement(this->repeats,
                                      core::hash_text(service, this->seed)),
                      0});
    this->refresh(service, found->second);
    return found->second;
}

void service_owners::refresh(const std::string& service, duty& owner)
{
    if (owner.registry_version != this->servers.version())
    {
        owner.registry_version = this->servers.version();
        owner.decisions.set_servers(this->servers.usable(service), now());
    }
}

core::place_answer service_owners::request(const std::string& service,
                                           const core::place_request& asked)
{
    core::place_answer decided =
        this->duty_of(service).decisions.request(asked, now());
    this->arm();
    return decided;
}

void service_owners::finished(const core::done_call& ended)
{
    for (auto& [service, owner] : this->duties)
    {
        if (!ended.service.empty() && service != ended.service)
        {
            continue;
        }
        if (ended.outcome == core::send_outcome::cancelled)
        {
            owner.decisions.cancel(ended.grant, now());
        }
        else
        {
            owner.decisions.on_send_ended(ended.grant, ended.outcome,
                                          ended.latency, now());
        }
        if (owner.decisions.waiting() > 0)
        {
            this->run(service, owner);
        }
    }
    this->arm();
}

// Answers what has waited and logs what is believed of servers anew.
void service_owners::run(const std::string& service, duty& owner)
{
    this->refresh(service, owner);
    for (const core::deferred_answer& late : owner.decisions.tick(now()))
    {
        this->answer(late.grant, late.answer);
    }
    for (const core::placement_event& event : owner.decisions.take_events())
    {
        log::write(log::level::info, "server_" + event.change,
                   {log::kv("service", service),
                    log::kv("server", event.server),
                    log::kv("reason", event.reason),
                    log::kv("doubt", fmt::format("{:.2f}", event.suspicion)),
                    log::kv("running", owner.decisions.running()),
                    log::kv("waiting", owner.decisions.waiting())});
    }
}

void service_owners::run_all()
{
    bool busy = false;
    for (auto& [service, owner] : this->duties)
    {
        this->run(service, owner);
        busy |= owner.decisions.running() > 0 || owner.decisions.waiting() > 0;
    }
    if (busy)
    {
        this->arm();
    }
}

// An instance without running requests of its services does nothing.
void service_owners::arm()
{
    if (this->armed)
    {
        return;
    }
    this->armed = true;
    this->timer.expires_after(tick_period);
    this->timer.async_wait(
        [this](boost::system::error_code failure)
        {
            if (!failure)
            {
                this->armed = false;
                this->run_all();
            }
        });
}

void service_owners::close()
{
    this->timer.cancel();
}

} // namespace medlarbarrow::net
