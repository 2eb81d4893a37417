/// Simulation of many instances that spread documents and lists to each other,
/// in one process and with simulated time. Only the instances that watch the
/// platform read from it. Used by the property test and by the benchmark.
#pragma once

#include <functional>
#include <map>
#include <medlarbarrow/core/spread.hpp>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace medlarbarrow::standin
{

/// Faults of the network and of the platform.
struct spread_faults
{
    double loss = 0.0;   ///< fraction of messages that are lost
    double repeat = 0.0; ///< fraction of messages that arrive twice
    double damage = 0.0; ///< fraction of document and list texts corrupted
    core::duration max_delay = std::chrono::milliseconds(4);
    bool platform_unavailable = false;
    bool platform_stale = false; ///< returns the versions before the newest
    /// Pairs (sender, receiver) whose messages are lost.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
};

/// Instances that exchange messages over a simulated network. Checks after
/// every message and every step that no instance goes back to an older version.
class spread_fleet
{
public:
    struct options
    {
        std::size_t instances = 8;
        std::size_t data_centres = 2;
        std::size_t parts = 4;
        std::size_t part_bytes = 16;
        std::uint64_t seed = 1;
        /// Bytes that each part adds to the index.
        std::size_t index_bytes = 0;
        /// If not 0, only the first part changes, and has at least this size.
        std::size_t changed_bytes = 0;
    };

    explicit spread_fleet(const options& initial_options);

    /// Publishes the next version, in which one part has changed.
    void publish_document();

    /// Publishes the next list without the instances in `absent`, and with
    /// those in `leaving` marked as leaving.
    void publish_list(const std::set<std::size_t>& absent = {},
                      const std::set<std::size_t>& leaving = {});

    /// Replaces the instance by a new process without any state.
    void restart(std::size_t instance);

    /// Stops an instance, which then neither runs nor receives, as after a
    /// crash, or lets it continue with its old state.
    void stop(std::size_t instance, bool stopped);

    /// Advances the simulated time in steps of 50 ms.
    void run(core::duration time);

    /// Runs until every instance that is not stopped has the newest document
    /// and list; false if that takes longer than `limit`.
    bool run_until_converged(core::duration limit);

    bool is_converged() const;

    /// Whether any instance went back to an older version other than by
    /// restart().
    bool has_reverted() const;

    /// Number of instances that watch the platform now.
    std::size_t watching() const;

    std::size_t size() const;
    std::uint64_t document_version(std::size_t instance) const;
    core::duration now() const;

    spread_faults faults;
    std::uint64_t platform_reads = 0; ///< requests to the platform
    /// Called for each message that an instance sends.
    std::function<void(std::size_t sender, const core::outgoing& outgoing)>
        on_send;

private:
    struct simulated_instance
    {
        core::instance_id id;
        std::string data_centre;
        std::unique_ptr<core::spread> logic;
        std::uint64_t max_document_version = 0;
        std::uint64_t max_list_version = 0;
        core::time_point next_watch{};
        bool stopped = false;
    };

    struct delivery
    {
        std::size_t sender = 0;
        core::instance_id sender_id;
        std::size_t receiver = 0;
        core::message message;
    };

    void start(std::size_t instance);
    void run_step();
    void deliver(const delivery& arrived);
    void send(std::size_t sender, core::outbox&& messages);
    void queue(std::size_t sender,
               std::size_t receiver,
               const core::message& message);
    void accept_received(std::size_t instance, core::outbox& out);
    void read_platform(std::size_t instance, core::outbox& out);
    void check_versions(std::size_t instance);
    double random_fraction();

    options fleet_options;
    std::mt19937_64 random;
    core::time_point clock{};
    std::vector<simulated_instance> instances;
    std::map<std::string, std::size_t> index_by_name;
    std::multimap<core::time_point, delivery> in_flight;
    std::shared_ptr<const core::raw_document> document;
    core::instance_list list;
    std::shared_ptr<const core::raw_document> old_document;
    core::instance_list old_list;
    bool reverted = false; ///< an instance went back to an older version
};

} // namespace medlarbarrow::standin
