/// The text in which instances pass published items on to each other.
#pragma once

#include <cstdint>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::net
{

/// One item of the source, or its removal.
struct published_item
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    /// Kind of the removal, if `removed` is set.
    core::removal_kind removal = core::removal_kind::certain;
    /// The removal was only inferred from a list of another instance, which
    /// lacked the item.
    bool inferred = false;
};

/// Revisions, both ends excluded, in which items may have been written and
/// removed without becoming known.
struct revision_gap
{
    std::uint64_t from = 0;
    std::uint64_t to = 0;

    bool contains(std::uint64_t revision) const noexcept
    {
        return this->from < revision && revision < this->to;
    }
};

/// What an instance passes on: all items, or the changes after a revision.
struct published_text
{
    std::uint64_t revision = 0; ///< every change up to it is contained
    bool complete = false;      ///< `items` are all items, without removals
    std::vector<published_item> items;
    /// Of the changes: an item that was written in the gap, or at its end, and
    /// that `items` lacks has been removed by the end of the gap.
    revision_gap gap;
    /// Of a complete list: items that it lacks because they have lapsed, and
    /// whose servers are still in their grace period.
    std::set<std::string> lapsed;
};

std::string format_published_text(const published_text& text);

/// Error: peer_message_invalid.
core::result<published_text> parse_published_text(std::string_view text);

} // namespace medlarbarrow::net
