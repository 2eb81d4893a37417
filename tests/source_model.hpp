/// A source of published items in memory, whose answers a test delivers when
/// and as often as it likes.
#pragma once

#include <algorithm>
#include <map>
#include <medlarbarrow/net/published.hpp>
#include <string>
#include <vector>

namespace medlarbarrow::tests
{

using net::published_item;

inline constexpr core::time_point start{std::chrono::seconds(1000)};

/// Announcement of a server.
inline std::string server_text()
{
    return R"({"address":"10.0.0.9:8080","info":{"service":"orders",)"
           R"("version":"v1","zone":"suva","slots":3},"status":{"state":)"
           R"("ready","sequence":4,"warmupLeft":"0ms"},"born":17})";
}

/// A source with one revision for each change, which can come back from an
/// older copy.
class source_model
{
public:
    void put(const std::string& key)
    {
        this->put(key, server_text());
    }

    void put(const std::string& key, const std::string& value)
    {
        this->write({key, value, {this->era, this->revision + 1}});
    }

    void remove(const std::string& key)
    {
        if (this->items.contains(key))
        {
            this->write({key, "", {this->era, this->revision + 1}, true});
        }
    }

    core::source_position position() const
    {
        return {this->era, this->revision};
    }

    void make_copy()
    {
        this->copied_items = this->items;
        this->copied_revision = this->revision;
    }

    /// Begins a new era with what the last copy has.
    void restore_copy()
    {
        ++this->era;
        this->items = this->copied_items;
        this->revision = this->copied_revision;
        this->history.clear();
        for (auto& [key, item] : this->items)
        {
            item.position.era = this->era;
        }
    }

    net::source_listing list(const core::source_position& known_before) const
    {
        net::source_listing listing;
        for (const auto& [key, item] : this->items)
        {
            listing.items.push_back(item);
        }
        listing.position = this->position();
        listing.known_before = known_before;
        return listing;
    }

    std::vector<published_item> changes_after(std::uint64_t after) const
    {
        std::vector<published_item> changes;
        std::copy_if(this->history.begin(), this->history.end(),
                     std::back_inserter(changes),
                     [after](const published_item& change)
                     {
                         return change.position.revision > after;
                     });
        return changes;
    }

    /// Whether the item of this key was removed, and not written again, up to
    /// the revision.
    bool is_removed_at(const std::string& key, std::uint64_t at) const
    {
        bool removed = false;
        for (const published_item& change : this->history)
        {
            if (change.key == key && change.position.revision <= at)
            {
                removed = change.removed;
            }
        }
        return removed;
    }

    std::map<std::string, published_item> items;
    std::vector<published_item> history;
    std::uint64_t revision = 10;
    std::uint64_t era = 0; ///< 0: the source states none

private:
    void write(const published_item& change)
    {
        ++this->revision;
        this->history.push_back(change);
        if (change.removed)
        {
            this->items.erase(change.key);
        }
        else
        {
            this->items[change.key] = change;
        }
    }

    std::map<std::string, published_item> copied_items;
    std::uint64_t copied_revision = 0;
};

/// Key of a server's announcement.
inline std::string key_of(int number)
{
    return "servers/i-" + std::to_string(number);
}

} // namespace medlarbarrow::tests
