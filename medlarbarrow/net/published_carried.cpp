#include <algorithm>
#include <fmt/format.h>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/published.hpp>

/// What is carried over from earlier eras of the source: it has come back from
/// a copy that lacks it, and it holds until it is written again.
namespace medlarbarrow::net
{

namespace
{

/// The source removes an announcement after a few seconds without a sign of
/// life. An item that it lists for so long is that of a live server.
constexpr std::chrono::seconds dead_item_lifetime{15};

} // namespace

std::vector<published_item> published::carried_items() const
{
    std::vector<published_item> carried;
    for (const auto& [key, stored] : this->items)
    {
        if (stored.state.position.era < this->current.era)
        {
            carried.push_back({key, stored.value, stored.state.position});
        }
    }
    for (const auto& [key, removed] : this->removals)
    {
        if (removed.is_carried)
        {
            carried.push_back({key, "", removed.state.position, true,
                               core::removal_kind::certain, false,
                               removed.state.version, removed.listed_value});
        }
    }
    return carried;
}

bool published::carries_removals() const
{
    return std::any_of(this->removals.begin(), this->removals.end(),
                       [](const auto& entry)
                       {
                           return entry.second.is_carried;
                       });
}

core::source_position published::position_to_ask() const
{
    return this->carries_removals() ? core::source_position() : this->current;
}

// The digest leaves the positions out: instances may have the same from other
// eras.
std::uint64_t published::carried_digest() const
{
    std::uint64_t digest = 0;
    const auto add = [&digest](const std::string& key,
                               const core::content_version& version,
                               bool removed)
    {
        digest ^= core::hash_text(fmt::format("{} {} {} {}", key, version.major,
                                              version.minor, removed));
    };
    if (this->current.era == 0)
    {
        return digest;
    }
    for (const auto& [key, stored] : this->items)
    {
        if (stored.state.position.era < this->current.era)
        {
            add(key, stored.state.version, false);
        }
    }
    for (const auto& [key, removed] : this->removals)
    {
        if (removed.is_carried)
        {
            add(key, removed.state.version, true);
        }
    }
    return digest;
}

// A removal is carried only while the source lists its item. From then on it is
// one of the present era, so that a late listing is known to be older.
void published::end_carried_removals(const std::set<std::string>& listed_keys,
                                     const removal& missing)
{
    for (auto& [key, removed] : this->removals)
    {
        if (removed.is_carried && !listed_keys.contains(key))
        {
            removed.is_carried = false;
            removed.listed_value.clear();
            removed.inferred = missing.inferred;
            removed.state.position = missing.state.position;
        }
    }
}

// Takes over what another instance carries, unless more is known here.
bool published::apply_carried(const std::vector<published_item>& carried,
                              core::time_point now)
{
    bool has_changes = false;
    for (const published_item& item : carried)
    {
        if (item.position.era >= this->current.era)
        {
            continue;
        }
        has_changes |= item.removed ? this->remove_carried(item, now)
                                    : this->store(item, item.position, now);
    }
    return has_changes;
}

// Keeps what the source lists again, to be taken if it is still listed later.
void published::carry(removal& removed,
                      const std::string& listed_value,
                      core::time_point now)
{
    if (!removed.is_carried)
    {
        removed.listed_since = now;
    }
    removed.is_carried = true;
    if (!removed.had_left)
    {
        removed.listed_value = listed_value;
    }
}

// A server whose entry had only expired before the return goes on without
// writing anything that shows it.
void published::tick(core::time_point now)
{
    std::vector<published_item> alive;
    for (const auto& [key, removed] : this->removals)
    {
        if (removed.is_carried && !removed.listed_value.empty() &&
            now - removed.listed_since >= dead_item_lifetime)
        {
            alive.push_back(
                {key, removed.listed_value, {this->current.era, 1}});
            this->ended_removals[key] = removed.state.version;
        }
    }
    bool has_changes = false;
    for (const published_item& item : alive)
    {
        log::write(log::level::info, "carried_removal_ended",
                   {log::kv("key", item.key)});
        this->removals.erase(item.key);
        has_changes |= this->store(item, this->current, now);
    }
    if (has_changes)
    {
        this->notify_change();
    }
}

bool published::remove_carried(const published_item& removed,
                               core::time_point now)
{
    const auto ended = this->ended_removals.find(removed.key);
    if (ended != this->ended_removals.end() && removed.version <= ended->second)
    {
        return false;
    }
    const auto held = this->items.find(removed.key);
    const std::string listed_value =
        held != this->items.end() &&
                held->second.state.position.era == this->current.era
            ? held->second.value
            : removed.listed_value;
    const auto known = this->removals.find(removed.key);
    if (known != this->removals.end() &&
        known->second.state.position.era > removed.position.era)
    {
        return false;
    }
    const bool has_changed =
        this->remove(removed.key, {{removed.position, removed.version}},
                     core::removal_kind::certain, now);
    const auto kept = this->removals.find(removed.key);
    if (kept != this->removals.end() && !this->items.contains(removed.key))
    {
        kept->second.inferred = false;
        kept->second.lapsed = false;
        kept->second.had_left |= removed.listed_value.empty();
        this->carry(kept->second, listed_value, now);
    }
    return has_changed;
}

} // namespace medlarbarrow::net
