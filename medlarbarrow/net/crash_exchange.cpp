#include <medlarbarrow/net/crash_exchange.hpp>
#include <medlarbarrow/net/log.hpp>

namespace medlarbarrow::net
{

namespace
{

/// Owners in rank that learn of a crash at once: the present one and the one
/// after it.
constexpr std::size_t owners_told = 2;

/// A single lost connection is mostly no crash by the request. Gossip spreads
/// it only once a second server has ended the request.
constexpr std::size_t min_gossiped_servers = 2;

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

crash_exchange::crash_exchange(environment initial_parts)
    : parts(std::move(initial_parts))
{
}

void crash_exchange::on_lost_send(const core::shard_id& shard,
                                  const core::crash_event& crash,
                                  core::instance_address granted_by)
{
    this->parts.records.record(crash, now());
    log::write(log::level::info, "crash_suspected",
               {log::kv("service", shard.service),
                log::kv("shard", shard.number), log::kv("server", crash.server),
                log::kv("digest", crash.content_digest),
                log::kv("blocked", this->parts.records
                                       .block_of(crash.content_digest, now())
                                       .in_force)});
    for (const core::instance_address owner :
         this->parts.members.owners(core::owner_key(shard), owners_told, now()))
    {
        if (owner != granted_by && owner != this->parts.own_address)
        {
            this->parts.send(owner, core::shard_crash_report{shard, crash});
        }
    }
}

void crash_exchange::report_to_other_shards(const core::shard_id& shard,
                                            const core::crash_event& crash)
{
    const std::uint32_t count = this->parts.shards.count(shard.service);
    for (std::uint32_t number = 0; number < count; ++number)
    {
        const core::shard_id other{shard.service, number};
        const core::instance_address owner =
            this->parts.members.owners(core::owner_key(other), 1, now())
                .front();
        if (number != shard.number && owner != this->parts.own_address)
        {
            this->parts.send(owner, core::shard_crash_report{other, crash});
        }
    }
}

void crash_exchange::send_suspects(core::instance_address peer,
                                   std::size_t min_servers)
{
    core::crash_suspects message{
        this->parts.records.suspects(min_servers, now())};
    if (!message.suspects.empty())
    {
        this->parts.send(peer, message);
    }
}

void crash_exchange::gossip_to(core::instance_address peer)
{
    this->send_suspects(peer, min_gossiped_servers);
}

void crash_exchange::hand_over_to(core::instance_address peer)
{
    this->send_suspects(peer, 1);
}

void crash_exchange::on_message(const core::shard_crash_report& message)
{
    this->parts.records.record(message.crash, now());
}

void crash_exchange::on_message(const core::crash_suspects& message)
{
    this->parts.records.merge(message.suspects, now());
}

} // namespace medlarbarrow::net
