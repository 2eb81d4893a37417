/// Owner decisions of this instance: holds the placement of each shard whose
/// requests arrive here and keeps it up to date with the announced servers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/shards.hpp>
#include <memory>
#include <string>

namespace medlarbarrow::net
{

/// For whom this instance decides about a shard.
enum class decision_scope : std::uint8_t
{
    fleet, ///< as the owner of the shard
    alone  ///< only for its own requests, as no owner answers
};

/// How the work of an owned shard is spread over its servers.
struct shard_spread
{
    core::shard_id shard;
    core::work_spread work;
};

/// Metrics of these shards in the text format of Prometheus.
std::string format_spreads(const std::vector<shard_spread>& spreads);

/// Decides which server gets each request of the shards that this instance
/// owns.
class service_owners
{
public:
    struct handlers
    {
        /// Called with the answer to a request that had to wait.
        std::function<void(const core::grant_id&,
                           const core::shard_id&,
                           const core::place_answer&)>
            on_answer;
        /// Called when a request has crashed a server of an owned shard.
        std::function<void(const core::shard_id&, const core::crash_event&)>
            on_crash;
        /// Fraction that one instance makes up of the fleet.
        std::function<double()> instance_fraction;
    };

    /// `shards` must outlive this object.
    service_owners(boost::asio::io_context& io,
                   core::shard_directory& shards,
                   const core::server_registry& servers,
                   const core::retry_limits& limits,
                   std::uint64_t seed,
                   handlers callbacks);

    /// Replaces the smallest share of a shard's servers that stay eligible.
    void set_floor_share(double share);

    /// Decides about a request. If it is queued, on_answer gets the answer
    /// later.
    core::place_answer request(const core::shard_id& shard,
                               decision_scope scope,
                               const core::place_request& request);

    /// Records the end of a send. If `ended` names no service, the grant is
    /// looked up in all shards.
    void on_send_ended(const core::done_call& ended);

    /// Records that the answer to a granted request is passed on as it comes.
    /// Returns whether its send has to end, see placement::record_stream().
    bool on_stream(const core::stream_call& stream);

    /// What is known of requests that crash servers, over all shards.
    core::crash_records& crashes() noexcept
    {
        return *this->known_crashes;
    }

    /// Load of the shard as its owner, see placement::load().
    double load(const core::shard_id& shard) const;

    /// The shards that this instance owns and has had requests for lately.
    std::vector<shard_spread> spreads() const;

    /// Stops the periodic work.
    void close();

private:
    struct shard_key
    {
        core::shard_id shard;
        decision_scope scope = decision_scope::fleet;

        auto operator<=>(const shard_key&) const = default;
    };

    /// A shard that this instance decides about.
    struct owned_shard
    {
        core::placement placement;
        std::uint64_t registry_version = 0; ///< of the current servers
        core::time_point floor_logged_at{}; ///< last such line
        /// Grants whose hold has been recorded lately, and when.
        std::map<core::grant_id, core::time_point> holds_counted;
    };

    owned_shard& find_or_create(const shard_key& key);
    core::retry_limits limits_of(const shard_key& key) const;
    core::server_notice name_run(const core::server_notice& notice) const;
    void record_hold(owned_shard& owned, const core::done_call& ended) const;
    void refresh_servers(const shard_key& key, owned_shard& owned);
    void update(const shard_key& key, owned_shard& owned);
    void log_missed_floor(const shard_key& key, owned_shard& owned);
    void update_all();
    void start_timer();

    core::shard_directory& shards;
    const core::server_registry& servers;
    core::retry_limits retry_limits;
    double floor_share = core::default_floor_share;
    std::uint64_t seed;
    handlers callbacks;
    boost::asio::steady_timer timer;
    bool timer_running = false;
    std::shared_ptr<core::crash_records> known_crashes;
    std::map<shard_key, owned_shard> owned_shards;
};

} // namespace medlarbarrow::net
