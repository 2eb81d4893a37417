#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/service_owners.hpp>

namespace medlarbarrow::net
{

namespace
{

/// Period of the check for overdue requests while any request runs or waits.
constexpr std::chrono::milliseconds tick_period{25};

/// Shortest time between two lines about a shard whose servers get too little
/// work.
constexpr std::chrono::seconds floor_log_period{1};

/// Time after its first arrival in which a report of a send's end may arrive
/// again. It is repeated for 0.6 s if it is not acknowledged, and the network
/// may delay it.
constexpr std::chrono::seconds report_repeat_time{5};

core::time_point now()
{
    return core::boot_clock::now();
}

/// Label values of Prometheus escape these characters.
std::string escape_label(std::string_view value)
{
    std::string escaped;
    for (const char letter : value)
    {
        if (letter == '\\' || letter == '"')
        {
            escaped += '\\';
        }
        escaped += letter == '\n' ? ' ' : letter;
    }
    return escaped;
}

} // namespace

service_owners::service_owners(boost::asio::io_context& io,
                               core::shard_directory& directory,
                               const core::server_registry& registry,
                               const core::retry_limits& limits,
                               std::uint64_t initial_seed,
                               handlers initial_callbacks)
    : shards(directory), servers(registry), retry_limits(limits),
      seed(initial_seed), callbacks(std::move(initial_callbacks)), timer(io),
      known_crashes(std::make_shared<core::crash_records>())
{
}

void service_owners::set_floor_share(double share)
{
    this->floor_share = share;
    for (auto& [key, owned] : this->owned_shards)
    {
        owned.placement.set_floor_share(share);
    }
}

// Returns the shard with its current servers; adds it at its first request.
service_owners::owned_shard&
service_owners::find_or_create(const shard_key& key)
{
    const auto position = this->owned_shards.find(key);
    if (position != this->owned_shards.end())
    {
        this->refresh_servers(key, position->second);
        return position->second;
    }
    const std::uint64_t placement_seed =
        core::hash_text(core::owner_key(key.shard), this->seed);
    const auto added = this->owned_shards.emplace(
        key, owned_shard{core::placement(this->limits_of(key), placement_seed,
                                         this->known_crashes),
                         0,
                         {},
                         {}});
    added.first->second.placement.set_floor_share(this->floor_share);
    this->refresh_servers(key, added.first->second);
    return added.first->second;
}

// The allowance of the service's retry budget is divided between its shards.
// An instance that decides alone has only its own part of it, so that the parts
// add up to the budget however many do.
core::retry_limits service_owners::limits_of(const shard_key& key) const
{
    core::retry_limits limits = this->retry_limits;
    limits.allowance /= this->shards.count(key.shard.service);
    if (key.scope == decision_scope::alone)
    {
        limits.allowance *= this->callbacks.instance_fraction();
    }
    return limits;
}

void service_owners::refresh_servers(const shard_key& key, owned_shard& owned)
{
    if (owned.registry_version != this->servers.version())
    {
        owned.registry_version = this->servers.version();
        owned.placement.set_limits(this->limits_of(key));
        owned.placement.set_servers(this->shards.servers(key.shard), now());
    }
}

core::place_answer service_owners::request(const core::shard_id& shard,
                                           decision_scope scope,
                                           const core::place_request& request)
{
    core::place_answer answer =
        this->find_or_create({shard, scope}).placement.request(request, now());
    this->start_timer();
    return answer;
}

// An instance that does not know a server names it without its start time. Its
// hold then concerns the run that is known here, for a short time only, because
// it may be another one.
core::server_notice
service_owners::name_run(const core::server_notice& notice) const
{
    core::server_notice named = notice;
    const core::announced_server* known = this->servers.find(notice.server);
    if (notice.started == 0 && known != nullptr && known->started != 0)
    {
        named.started = known->started;
        named.retry_after = std::min(named.retry_after, core::unknown_run_hold);
    }
    return named;
}

// Records the time for which a server has turned an instance away. It counts
// from the first arrival of the report.
void service_owners::record_hold(owned_shard& owned,
                                 const core::done_call& ended) const
{
    if (ended.notice.retry_after <= core::duration(0))
    {
        return;
    }
    std::erase_if(owned.holds_counted,
                  [current = now()](const auto& counted)
                  {
                      return current - counted.second >= report_repeat_time;
                  });
    if (owned.holds_counted.emplace(ended.grant, now()).second)
    {
        owned.placement.hold(ended.grant.instance, this->name_run(ended.notice),
                             now());
    }
}

void service_owners::on_send_ended(const core::done_call& ended)
{
    for (auto& [key, owned] : this->owned_shards)
    {
        if (!ended.shard.service.empty() && key.shard != ended.shard)
        {
            continue;
        }
        this->record_hold(owned, ended);
        if (ended.outcome == core::send_outcome::cancelled)
        {
            owned.placement.cancel(ended.grant, now());
        }
        else
        {
            owned.placement.on_send_ended({ended.grant, ended.outcome,
                                           ended.latency, ended.connection_age,
                                           ended.age},
                                          now());
        }
        for (const core::crash_event& crash : owned.placement.take_crashes())
        {
            this->callbacks.on_crash(key.shard, crash);
        }
        if (owned.placement.waiting() > 0)
        {
            this->update(key, owned);
        }
    }
    this->start_timer();
}

bool service_owners::on_stream(const core::stream_call& stream)
{
    bool must_end = false;
    for (auto& [key, owned] : this->owned_shards)
    {
        must_end |=
            key.shard == stream.shard &&
            owned.placement.record_stream(stream.grant, stream.unread, now());
    }
    return must_end;
}

double service_owners::load(const core::shard_id& shard) const
{
    const auto owned = this->owned_shards.find({shard, decision_scope::fleet});
    return owned == this->owned_shards.end()
               ? 0.0
               : owned->second.placement.load(now());
}

// Passes on the deferred answers and logs the changes of server states.
void service_owners::update(const shard_key& key, owned_shard& owned)
{
    this->refresh_servers(key, owned);
    for (const core::deferred_answer& deferred : owned.placement.tick(now()))
    {
        this->callbacks.on_answer(deferred.grant, key.shard, deferred.answer);
    }
    for (const core::placement_event& event : owned.placement.take_events())
    {
        log::write(
            log::level::info, "server_" + event.change,
            {log::kv("service", key.shard.service),
             log::kv("shard", key.shard.number),
             log::kv("server", event.server), log::kv("reason", event.reason),
             log::kv("suspicion", fmt::format("{:.2f}", event.suspicion)),
             log::kv("running", owned.placement.running()),
             log::kv("waiting", owned.placement.waiting())});
    }
    this->log_missed_floor(key, owned);
}

// Logs that too few servers of the shard get work while sends fail, with the
// numbers that tell the possible causes apart: suspicion, few requests, or an
// instance that decides alone.
void service_owners::log_missed_floor(const shard_key& key, owned_shard& owned)
{
    const core::time_point current = now();
    if (current - owned.floor_logged_at < floor_log_period)
    {
        return;
    }
    const core::work_spread work = owned.placement.spread(current);
    if (!owned.placement.is_below_floor(work))
    {
        return;
    }
    owned.floor_logged_at = current;
    log::write(
        log::level::warning, "servers_without_work",
        {log::kv("service", key.shard.service),
         log::kv("shard", key.shard.number),
         log::kv("alone", key.scope == decision_scope::alone),
         log::kv("servers", work.servers), log::kv("with_work", work.with_work),
         log::kv("suspected", work.suspected),
         log::kv("requests", work.requests), log::kv("results", work.results),
         log::kv("failures", work.failures)});
}

std::vector<shard_spread> service_owners::spreads() const
{
    std::vector<shard_spread> spreads;
    for (const auto& [key, owned] : this->owned_shards)
    {
        const core::work_spread work = owned.placement.spread(now());
        if (key.scope == decision_scope::fleet && work.requests > 0)
        {
            spreads.push_back({key.shard, work});
        }
    }
    return spreads;
}

void service_owners::update_all()
{
    bool has_requests = false;
    for (auto& [key, owned] : this->owned_shards)
    {
        this->update(key, owned);
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

std::string format_spreads(const std::vector<shard_spread>& spreads)
{
    std::string text;
    const auto add_gauge =
        [&](std::string_view name, std::size_t core::work_spread::*value)
    {
        text += fmt::format("# TYPE medlarbarrow_{} gauge\n", name);
        for (const shard_spread& spread : spreads)
        {
            text += fmt::format(
                "medlarbarrow_{}{{service=\"{}\",shard=\"{}\"}} {}\n", name,
                escape_label(spread.shard.service), spread.shard.number,
                spread.work.*value);
        }
    };
    add_gauge("shard_servers", &core::work_spread::servers);
    add_gauge("shard_servers_with_work", &core::work_spread::with_work);
    add_gauge("shard_servers_suspected", &core::work_spread::suspected);
    add_gauge("shard_recent_failures", &core::work_spread::failures);
    return text;
}

} // namespace medlarbarrow::net
