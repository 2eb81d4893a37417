#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/membership.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// News of a live instance are younger than this in a fleet of the size below;
/// in a larger one they take longer in proportion. Calls that are not answered
/// find a dead one sooner.
constexpr seconds live_age{8};
constexpr std::size_t usual_size = 64;

/// An instance that stays away for longer counts no more for shares; several
/// times the live age.
constexpr int known_factor = 8;

} // namespace

membership::membership(instance_address own,
                       std::uint64_t own_incarnation,
                       std::uint64_t seed)
    : self(own), incarnation(own_incarnation), random(seed)
{
}

duration membership::fresh_age() const
{
    const std::size_t size = this->members.size() + 1;
    return live_age * std::max<std::size_t>(1, size / usual_size);
}

bool membership::fresh(const member& item, time_point now) const
{
    return !item.left && !item.suspected &&
           now - item.heard < this->fresh_age();
}

void membership::heard(instance_address from,
                       std::uint64_t its_incarnation,
                       time_point now)
{
    if (from == this->self)
    {
        return;
    }
    member& item = this->members[from];
    if (its_incarnation < item.incarnation ||
        (its_incarnation == item.incarnation && item.left))
    {
        return;
    }
    item = {its_incarnation, now, std::nullopt, false};
}

void membership::merge(const std::vector<member_report>& reports,
                       time_point now)
{
    for (const member_report& report : reports)
    {
        if (report.address == this->self || report.address == 0 ||
            report.age > this->fresh_age() * known_factor)
        {
            continue;
        }
        const time_point at = now - report.age;
        member& item = this->members[report.address];
        const bool newer = report.incarnation > item.incarnation;
        if (report.incarnation < item.incarnation ||
            (!newer && at <= item.heard && !report.left))
        {
            continue;
        }
        const bool left = report.left || (!newer && item.left);
        // Older news than the failed call do not lift the suspicion.
        const bool stays_suspected =
            !newer && item.suspected && at <= *item.suspected;
        item.incarnation = report.incarnation;
        item.heard = std::max(item.heard, at);
        item.left = left;
        if (!stays_suspected)
        {
            item.suspected.reset();
        }
    }
}

void membership::left(instance_address who,
                      std::uint64_t its_incarnation,
                      time_point now)
{
    if (who == this->self)
    {
        return;
    }
    member& item = this->members[who];
    if (its_incarnation >= item.incarnation)
    {
        item = {its_incarnation, now, std::nullopt, true};
    }
}

void membership::suspect(instance_address who, time_point now)
{
    const auto found = this->members.find(who);
    if (found != this->members.end())
    {
        found->second.suspected = now;
    }
}

std::vector<member_report> membership::reports(std::size_t count,
                                               time_point now)
{
    std::vector<member_report> all;
    for (const auto& [address, item] : this->members)
    {
        const bool lately = now - item.heard < this->fresh_age();
        if (lately)
        {
            all.push_back(
                {address, item.incarnation,
                 std::chrono::duration_cast<milliseconds>(now - item.heard),
                 item.left});
        }
    }
    std::shuffle(all.begin(), all.end(), this->random);
    all.insert(all.begin(), {this->self, this->incarnation, {}, false});
    if (all.size() > count)
    {
        all.resize(count);
    }
    return all;
}

std::optional<instance_address> membership::random_peer(time_point now)
{
    std::vector<instance_address> peers;
    for (const auto& [address, item] : this->members)
    {
        if (this->fresh(item, now))
        {
            peers.push_back(address);
        }
    }
    if (peers.empty())
    {
        return std::nullopt;
    }
    std::uniform_int_distribution<std::size_t> any(0, peers.size() - 1);
    return peers[any(this->random)];
}

std::vector<instance_address> membership::owners(std::string_view key,
                                                 std::size_t count,
                                                 time_point now) const
{
    std::vector<std::pair<std::uint64_t, instance_address>> ranked;
    ranked.emplace_back(hash_text(key, this->self), this->self);
    for (const auto& [address, item] : this->members)
    {
        if (this->fresh(item, now))
        {
            ranked.emplace_back(hash_text(key, address), address);
        }
    }
    const std::size_t kept = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(),
                      ranked.begin() + static_cast<std::ptrdiff_t>(kept),
                      ranked.end(), std::greater<>());
    std::vector<instance_address> found;
    found.reserve(kept);
    for (std::size_t index = 0; index < kept; ++index)
    {
        found.push_back(ranked[index].second);
    }
    return found;
}

bool membership::is_live(instance_address who, time_point now) const
{
    const auto found = this->members.find(who);
    return who == this->self ||
           (found != this->members.end() && this->fresh(found->second, now));
}

std::size_t membership::live(time_point now) const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->members.begin(), this->members.end(),
                                 [&](const auto& item)
                                 {
                                     return this->fresh(item.second, now);
                                 }));
}

std::size_t membership::known() const
{
    return 1 + static_cast<std::size_t>(
                   std::count_if(this->members.begin(), this->members.end(),
                                 [](const auto& item)
                                 {
                                     return !item.second.left;
                                 }));
}

double membership::live_share(time_point now) const
{
    return static_cast<double>(this->live(now)) /
           static_cast<double>(this->known());
}

double membership::own_share() const
{
    return 1.0 / static_cast<double>(this->known());
}

void membership::tick(time_point now)
{
    const duration longest = this->fresh_age() * known_factor;
    std::erase_if(this->members,
                  [now, longest](const auto& item)
                  {
                      return now - item.second.heard > longest;
                  });
}

} // namespace medlarbarrow::core
