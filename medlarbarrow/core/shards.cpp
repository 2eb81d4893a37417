#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/shards.hpp>
#include <numeric>

namespace medlarbarrow::core
{

namespace
{

/// Servers of a shard at most, on average: the owner decides about a few
/// hundred requests in a second, which a small instance can carry beside its
/// own callers.
constexpr std::size_t servers_per_shard = 48;

/// A stated load is used for this long.
constexpr std::chrono::seconds load_lifetime{1};

} // namespace

std::string owner_key(const shard_id& shard)
{
    std::string key = "service " + shard.service;
    if (shard.number != 0)
    {
        key += "/" + std::to_string(shard.number);
    }
    return key;
}

std::uint32_t shard_count(std::size_t servers)
{
    const std::size_t count =
        (servers + servers_per_shard - 1) / servers_per_shard;
    return static_cast<std::uint32_t>(std::max<std::size_t>(count, 1));
}

// Jump consistent hash (Lamping and Veach, A Fast, Minimal Memory, Consistent
// Hash Algorithm, 2014).
std::uint32_t shard_of(const std::string& server, std::uint32_t count)
{
    constexpr std::uint64_t multiplier = 2862933555777941757ULL;
    constexpr double range = 2147483648.0; // 2^31
    std::uint64_t key = hash_text(server);
    std::int64_t shard = 0;
    std::int64_t next = 0;
    while (next < count)
    {
        shard = next;
        key = key * multiplier + 1;
        const auto divisor = static_cast<double>((key >> 33U) + 1);
        next = static_cast<std::int64_t>(static_cast<double>(shard + 1) *
                                         (range / divisor));
    }
    return static_cast<std::uint32_t>(shard);
}

shard_directory::shard_directory(const server_registry& servers,
                                 std::uint64_t seed)
    : registry(servers), random(seed)
{
}

// Returns the split of the service; derives it again if the registry has
// changed.
shard_directory::split_service&
shard_directory::split_of(const std::string& service)
{
    split_service& split = this->services[service];
    const bool is_current = !split.servers_by_shard.empty() &&
                            split.registry_version == this->registry.version();
    if (is_current)
    {
        return split;
    }
    const auto usable = this->registry.usable(service);
    const std::uint32_t count = shard_count(usable.size());
    split.registry_version = this->registry.version();
    split.servers_by_shard.assign(count, {});
    split.slots_by_shard.assign(count, 0.0);
    for (const announced_server* server : usable)
    {
        const std::uint32_t shard = shard_of(server->server.name, count);
        split.servers_by_shard[shard].push_back(server);
        split.slots_by_shard[shard] += server->server.slots;
    }
    return split;
}

std::uint32_t shard_directory::count(const std::string& service)
{
    return static_cast<std::uint32_t>(
        this->split_of(service).servers_by_shard.size());
}

const std::vector<const announced_server*>&
shard_directory::servers(const shard_id& shard)
{
    static const std::vector<const announced_server*> no_servers;
    const split_service& split = this->split_of(shard.service);
    return shard.number < split.servers_by_shard.size()
               ? split.servers_by_shard[shard.number]
               : no_servers;
}

double shard_directory::load_of(const shard_id& shard, time_point now) const
{
    const auto stated = this->loads.find(shard);
    const bool is_known = stated != this->loads.end() &&
                          now - stated->second.stated_at < load_lifetime;
    return is_known ? stated->second.load : 0.0;
}

std::vector<shard_id> shard_directory::draw(const std::string& service,
                                            time_point now)
{
    std::vector<double> weights = this->split_of(service).slots_by_shard;
    std::vector<shard_id> drawn;
    constexpr std::size_t choices = 2;
    while (drawn.size() < choices &&
           std::accumulate(weights.begin(), weights.end(), 0.0) > 0)
    {
        std::discrete_distribution<std::uint32_t> distribution(weights.begin(),
                                                               weights.end());
        const std::uint32_t number = distribution(this->random);
        drawn.push_back({service, number});
        weights[number] = 0.0;
    }
    if (drawn.empty())
    {
        // No server is known here; the owner may know some.
        drawn.push_back({service, 0});
    }
    if (drawn.size() == choices &&
        this->load_of(drawn[1], now) < this->load_of(drawn[0], now))
    {
        std::swap(drawn[0], drawn[1]);
    }
    return drawn;
}

void shard_directory::record_load(const shard_id& shard,
                                  double load,
                                  time_point now)
{
    this->loads[shard] = {load, now};
}

bool shard_directory::is_full(const shard_id& shard, time_point now) const
{
    return this->load_of(shard, now) >= 1.0;
}

} // namespace medlarbarrow::core
