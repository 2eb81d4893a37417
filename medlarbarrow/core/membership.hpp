/// Which instances live, learned from each other by gossip. Nothing lists them
/// and their number is not given.
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

/// What one instance says of another.
struct member_report
{
    instance_address address = 0;
    std::uint64_t incarnation = 0;
    std::chrono::milliseconds age{}; ///< since it was heard of
    bool left = false;
};

/// The instances that this one knows. An instance is live while news of it is
/// fresh; news spread by exchange with random members.
class membership
{
public:
    membership(instance_address self,
               std::uint64_t incarnation,
               std::uint64_t seed);

    /// Notes a message that came from the instance itself. The first message
    /// of a newer incarnation replaces the earlier one.
    void
    heard(instance_address from, std::uint64_t incarnation, time_point now);

    /// Merges what another instance says.
    void merge(const std::vector<member_report>& reports, time_point now);

    /// The instance says that it stops.
    void left(instance_address who, std::uint64_t incarnation, time_point now);

    /// A call to the instance had no answer: it is passed over until it is
    /// heard of again.
    void suspect(instance_address who, time_point now);

    /// At most `count` entries for a message, the own one first.
    std::vector<member_report> reports(std::size_t count, time_point now);

    /// A random live instance other than this one.
    std::optional<instance_address> random_peer(time_point now);

    /// Live instances in the order in which they are owner of `key`, at most
    /// `count`; this instance takes part.
    std::vector<instance_address>
    owners(std::string_view key, std::size_t count, time_point now) const;

    bool is_live(instance_address who, time_point now) const;
    std::size_t live(time_point now) const;

    /// Share of the instances known lately that are live from here: the part
    /// of a fleet-wide limit that this side of a partition may spend.
    double live_share(time_point now) const;

    /// Share of one instance among those known lately.
    double own_share() const;

    /// Forgets instances of which nothing was heard for long.
    void tick(time_point now);

private:
    struct member
    {
        std::uint64_t incarnation = 0;
        time_point heard{};
        std::optional<time_point> suspected;
        bool left = false;
    };

    duration fresh_age() const;
    std::size_t known() const;
    bool fresh(const member& item, time_point now) const;

    instance_address self;
    std::uint64_t incarnation;
    std::map<instance_address, member> members; ///< without this instance
    std::mt19937_64 random;
};

} // namespace medlarbarrow::core
