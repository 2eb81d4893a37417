/// Gossip-based membership: instances learn from each other which instances are
/// live. There is no list of instances, and their number is not configured.
#pragma once

#include <map>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// IPv4 address of an instance, most significant byte first.
using instance_address = std::uint32_t;

/// What one instance reports about another.
struct member_report
{
    instance_address address = 0;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds age{}; ///< of the latest news of it
    bool left = false;
};

/// The instances that this one knows. An instance is live while the latest news
/// of it is recent enough. News spreads through exchanges with random members.
class membership
{
public:
    membership(instance_address self,
               std::uint64_t incarnation,
               std::uint64_t seed);

    /// Records a message received from the instance itself. The first message
    /// of a newer incarnation replaces what is known of the earlier one.
    void record_message(instance_address sender,
                        std::uint64_t incarnation,
                        time_point now);

    /// Merges the reports of another instance.
    void merge(const std::vector<member_report>& reports, time_point now);

    /// Records that the instance announced its shutdown.
    void record_leave(instance_address peer,
                      std::uint64_t incarnation,
                      time_point now);

    /// Records that a call to the instance was not answered. It is not live
    /// until there is news of it from after this call.
    void suspect(instance_address peer, time_point now);

    /// At most `count` reports for a message, this instance's own one first.
    std::vector<member_report> make_reports(std::size_t count, time_point now);

    /// A random live instance other than this one.
    std::optional<instance_address> random_peer(time_point now);

    /// At most `count` live instances, this one included, in the order in which
    /// they become owner of `key`.
    std::vector<instance_address>
    owners(std::string_view key, std::size_t count, time_point now) const;

    bool is_live(instance_address peer, time_point now) const;

    /// Number of live instances, this one included.
    std::size_t live_count(time_point now) const;

    /// Live fraction of the known instances that have not left: the part of a
    /// fleet-wide limit that this side of a partition may spend.
    double live_fraction(time_point now) const;

    /// Fraction that one instance makes up of the known instances that have not
    /// left.
    double instance_fraction() const;

    /// Removes instances of which there has been no news for several liveness
    /// timeouts.
    void tick(time_point now);

private:
    struct member
    {
        std::uint64_t incarnation = 0;
        time_point last_heard{};
        std::optional<time_point> suspected_at;
        bool left = false;
    };

    duration liveness_timeout() const;
    std::size_t known_count() const;
    bool is_fresh(const member& peer, time_point now) const;

    instance_address self;
    std::uint64_t incarnation;
    std::map<instance_address, member> members; ///< without this instance
    std::mt19937_64 random;
};

} // namespace medlarbarrow::core
