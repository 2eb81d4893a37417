/// Many instances' spread logic in one process, with fake time, and a platform
/// that only its watchers read. Used by the property test and by the bench.
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

struct spread_faults
{
    double loss = 0.0;   ///< fraction of messages that are lost
    double repeat = 0.0; ///< fraction that arrives twice
    double damage = 0.0; ///< fraction of document and list texts changed
    core::duration greatest_delay = std::chrono::milliseconds(4);
    bool platform_away = false;
    bool platform_old = false; ///< shows the versions before the newest
    /// Messages from the first to the second instance are lost.
    std::set<std::pair<std::size_t, std::size_t>> cuts;
};

class spread_fleet
{
public:
    struct shape
    {
        std::size_t instances = 8;
        std::size_t data_centres = 2;
        std::size_t parts = 4;
        std::size_t part_bytes = 16;
        std::uint64_t seed = 1;
        /// Bytes of the index for each part.
        std::size_t index_bytes = 0;
        /// If not 0, only the first part changes, and has this size.
        std::size_t changed_bytes = 0;
    };

    explicit spread_fleet(const shape& wanted);

    /// Publishes the next version, in which one part has changed.
    void publish_document();

    /// Publishes the next list; `absent` are not in it, `leaving` are leaving.
    void publish_list(const std::set<std::size_t>& absent = {},
                      const std::set<std::size_t>& leaving = {});

    /// Replaces the instance by a new process that knows nothing.
    void restart(std::size_t instance);

    /// From now on it neither runs nor receives (a crash), or runs again.
    void stop(std::size_t instance, bool stopped);

    /// Passes this much time in steps of 50 ms.
    void run(core::duration time);

    /// Runs until all running instances hold the newest of both, or for
    /// `limit`; false in the latter case.
    bool run_until_equal(core::duration limit);

    bool is_equal() const;
    bool has_reverted() const;
    std::size_t watching() const;
    std::size_t size() const;
    std::uint64_t document_version(std::size_t instance) const;
    core::duration now() const;

    spread_faults faults;
    std::uint64_t platform_reads = 0;
    /// Called for each message that is sent.
    std::function<void(std::size_t from, const core::outgoing& item)> on_send;

private:
    struct member
    {
        core::instance_id id;
        std::string data_centre;
        std::unique_ptr<core::spread> logic;
        std::uint64_t greatest_document = 0;
        std::uint64_t greatest_list = 0;
        core::time_point next_read{};
        bool stopped = false;
    };

    struct delivery
    {
        std::size_t from = 0;
        core::instance_id sender;
        std::size_t to = 0;
        core::message message;
    };

    void start(std::size_t instance);
    void step();
    void deliver(const delivery& item);
    void send(std::size_t from, core::outbox&& items);
    void queue(std::size_t from, std::size_t to, const core::message& message);
    void settle(std::size_t instance, core::outbox& out);
    void read_platform(std::size_t instance, core::outbox& out);
    void check_versions(std::size_t instance);
    double random_fraction();

    shape form;
    std::mt19937_64 random;
    core::time_point clock{};
    std::vector<member> members;
    std::map<std::string, std::size_t> by_name;
    std::multimap<core::time_point, delivery> in_flight;
    std::shared_ptr<const core::raw_document> document;
    core::instance_list list;
    std::shared_ptr<const core::raw_document> old_document;
    core::instance_list old_list;
    bool reverted = false;
};

} // namespace medlarbarrow::standin
