/// Splits the servers of a large service into shards, each with its own owner,
/// so that no owner decides about more servers than one instance can carry. All
/// instances derive the same split from the published servers. While their
/// lists differ, a server may belong to two shards, which costs fill, not
/// correctness: each server limits what it runs itself.
#pragma once

#include <map>
#include <medlarbarrow/core/registry.hpp>
#include <random>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// One shard of a service. A service with few servers has only shard 0.
struct shard_id
{
    std::string service;
    std::uint32_t number = 0;

    auto operator<=>(const shard_id&) const = default;
};

/// The key by which membership ranks the owners of the shard.
std::string owner_key(const shard_id& shard);

/// Number of shards of a service with this many servers, at least 1.
std::uint32_t shard_count(std::size_t servers);

/// The shard that the server belongs to. With one shard more, only the servers
/// of the new shard move.
std::uint32_t shard_of(const std::string& server, std::uint32_t count);

/// The shards of all services, as one instance knows them, and the load that
/// their owners have stated to it.
class shard_directory
{
public:
    /// `servers` must outlive this object.
    shard_directory(const server_registry& servers, std::uint64_t seed);

    /// Number of shards of the service.
    std::uint32_t count(const std::string& service);

    /// Usable servers of the shard. Valid until the registry changes.
    const std::vector<const announced_server*>& servers(const shard_id& shard);

    /// At most two different shards to ask for a server, the less loaded one
    /// first. They are drawn at random in proportion to their slots. Of two
    /// random choices the better one spreads load nearly as well as full
    /// knowledge (Mitzenmacher, The power of two choices, 2001).
    std::vector<shard_id> draw(const std::string& service, time_point now);

    /// Records the load that the owner of the shard has stated: running and
    /// waiting requests per slot.
    void record_load(const shard_id& shard, double load, time_point now);

    /// True if the owner has stated lately that all slots are taken.
    bool is_full(const shard_id& shard, time_point now) const;

private:
    struct split_service
    {
        std::uint64_t registry_version = 0; ///< 0: not derived yet
        std::vector<std::vector<const announced_server*>> servers_by_shard;
        std::vector<double> slots_by_shard;
    };

    struct stated_load
    {
        double load = 0.0;
        time_point stated_at{};
    };

    split_service& split_of(const std::string& service);
    double load_of(const shard_id& shard, time_point now) const;

    const server_registry& registry;
    std::map<std::string, split_service> services;
    std::map<shard_id, stated_load> loads;
    std::mt19937_64 random;
};

} // namespace medlarbarrow::core
