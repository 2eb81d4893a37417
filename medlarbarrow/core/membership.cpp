#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/membership.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Greatest age of the news of a live instance in a fleet of base_fleet_size.
/// In a larger fleet news takes longer, so the timeout grows in proportion.
/// Unanswered calls detect a dead instance sooner.
constexpr seconds base_liveness_timeout{8};
constexpr std::size_t base_fleet_size = 64;

/// An instance without news for this many liveness timeouts no longer counts in
/// the shares.
constexpr int retention_factor = 8;

} // namespace

membership::membership(instance_address own,
                       std::uint64_t own_incarnation,
                       std::uint64_t seed)
    : self(own), incarnation(own_incarnation), random(seed)
{
}

duration membership::liveness_timeout() const
{
    const std::size_t fleet_size = this->members.size() + 1;
    return base_liveness_timeout *
           std::max<std::size_t>(1, fleet_size / base_fleet_size);
}

// True if the instance is live: it has not left and is not suspected, and the
// latest news of it is recent enough.
bool membership::is_fresh(const member& peer, time_point now) const
{
    return !peer.left && !peer.suspected_at &&
           now - peer.last_heard < this->liveness_timeout();
}

void membership::record_message(instance_address sender,
                                std::uint64_t peer_incarnation,
                                time_point now)
{
    if (sender == this->self)
    {
        return;
    }
    member& entry = this->members[sender];
    if (peer_incarnation < entry.incarnation ||
        (peer_incarnation == entry.incarnation && entry.left))
    {
        return;
    }
    entry = {peer_incarnation, now, std::nullopt, false};
}

void membership::merge(const std::vector<member_report>& reports,
                       time_point now)
{
    for (const member_report& report : reports)
    {
        if (report.address == this->self || report.address == 0 ||
            report.age > this->liveness_timeout() * retention_factor)
        {
            continue;
        }
        const time_point heard_at = now - report.age;
        member& entry = this->members[report.address];
        const bool newer_incarnation = report.incarnation > entry.incarnation;
        if (report.incarnation < entry.incarnation ||
            (!newer_incarnation && heard_at <= entry.last_heard &&
             !report.left))
        {
            continue;
        }
        const bool left = report.left || (!newer_incarnation && entry.left);
        // News from before the failed call does not end the suspicion.
        const bool stays_suspected = !newer_incarnation && entry.suspected_at &&
                                     heard_at <= *entry.suspected_at;
        entry.incarnation = report.incarnation;
        entry.last_heard = std::max(entry.last_heard, heard_at);
        entry.left = left;
        if (!stays_suspected)
        {
            entry.suspected_at.reset();
        }
    }
}

void membership::record_leave(instance_address peer,
                              std::uint64_t peer_incarnation,
                              time_point now)
{
    if (peer == this->self)
    {
        return;
    }
    member& entry = this->members[peer];
    if (peer_incarnation >= entry.incarnation)
    {
        entry = {peer_incarnation, now, std::nullopt, true};
    }
}

void membership::suspect(instance_address peer, time_point now)
{
    const auto it = this->members.find(peer);
    if (it != this->members.end())
    {
        it->second.suspected_at = now;
    }
}

std::vector<member_report> membership::make_reports(std::size_t count,
                                                    time_point now)
{
    std::vector<member_report> recent_reports;
    for (const auto& [address, entry] : this->members)
    {
        const bool is_recent =
            now - entry.last_heard < this->liveness_timeout();
        if (is_recent)
        {
            recent_reports.push_back({address, entry.incarnation,
                                      std::chrono::duration_cast<milliseconds>(
                                          now - entry.last_heard),
                                      entry.left});
        }
    }
    std::shuffle(recent_reports.begin(), recent_reports.end(), this->random);
    recent_reports.insert(recent_reports.begin(),
                          {this->self, this->incarnation, {}, false});
    if (recent_reports.size() > count)
    {
        recent_reports.resize(count);
    }
    return recent_reports;
}

std::optional<instance_address> membership::random_peer(time_point now)
{
    std::vector<instance_address> peers;
    for (const auto& [address, entry] : this->members)
    {
        if (this->is_fresh(entry, now))
        {
            peers.push_back(address);
        }
    }
    if (peers.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> distribution(0,
                                                            peers.size() - 1);
    return peers[distribution(this->random)];
}

std::vector<instance_address> membership::owners(std::string_view key,
                                                 std::size_t count,
                                                 time_point now) const
{
    std::vector<std::pair<std::uint64_t, instance_address>> ranked;
    ranked.emplace_back(hash_text(key, this->self), this->self);
    for (const auto& [address, entry] : this->members)
    {
        if (this->is_fresh(entry, now))
        {
            ranked.emplace_back(hash_text(key, address), address);
        }
    }
    const std::size_t owner_count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(owner_count),
                      ranked.end(), std::greater<>());
    std::vector<instance_address> ranked_owners;
    ranked_owners.reserve(owner_count);
    for (std::size_t index = 0; index < owner_count; ++index)
    {
        ranked_owners.push_back(ranked[index].second);
    }
    return ranked_owners;
}

bool membership::is_live(instance_address peer, time_point now) const
{
    const auto it = this->members.find(peer);
    return peer == this->self ||
           (it != this->members.end() && this->is_fresh(it->second, now));
}

std::size_t membership::live_count(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->members.begin(), this->members.end(),
                                 [&](const auto& entry)
                                 {
                                     return this->is_fresh(entry.second, now);
                                 }));
}

// Known instances that have not left, this one included.
std::size_t membership::known_count() const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->members.begin(), this->members.end(),
                                 [](const auto& entry)
                                 {
                                     return !entry.second.left;
                                 }));
}

double membership::live_fraction(time_point now) const
{
    return static_cast<double>(this->live_count(now)) /
           static_cast<double>(this->known_count());
}

double membership::instance_fraction() const
{
    return 1.0 / static_cast<double>(this->known_count());
}

void membership::tick(time_point now)
{
    const duration max_age = this->liveness_timeout() * retention_factor;
    std::erase_if(this->members,
                  [now, max_age](const auto& entry)
                  {
                      return now - entry.second.last_heard > max_age;
                  });
}

} // namespace medlarbarrow::core
