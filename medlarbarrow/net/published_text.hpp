/// The text in which instances pass published items on to each other.
#pragma once

#include <cstdint>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/source_position.hpp>
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
    core::source_position position{};
    bool removed = false;
    /// Kind of the removal, if `removed` is set.
    core::removal_kind removal = core::removal_kind::certain;
    /// The removal was only inferred from a list of another instance, which
    /// lacked the item.
    bool inferred = false;
    /// Of a removal: the highest version that is known to be removed.
    core::content_version version{};
    /// Of a carried removal: the item as the source lists it again, empty if
    /// the removed run has said that it leaves.
    std::string listed_value{};
};

/// Positions of one era, both ends excluded, in which items may have been
/// written and removed without becoming known.
struct position_gap
{
    core::source_position from;
    core::source_position to;

    bool contains(const core::source_position& position) const noexcept
    {
        return this->from < position && position < this->to;
    }
};

/// What an instance passes on: all items, or the changes after a revision.
struct published_text
{
    core::source_position position; ///< all changes up to it are contained
    bool complete = false; ///< with `carried`, all items, without removals
    std::vector<published_item> items; ///< of the era of `position`
    /// What the sender knows from earlier eras and the source has lost, and
    /// what holds until it is written again: items and removals.
    std::vector<published_item> carried;
    /// Of the changes: an item that was written in the gap, or at its end, and
    /// that `items` lacks has been removed by the end of the gap.
    position_gap gap;
    /// Of a complete list: items that it lacks because they have lapsed, and
    /// whose servers are still in their grace period.
    std::set<std::string> lapsed;
    /// Of a complete list in an era that is stated: items that it lacks because
    /// they have been removed in that era.
    std::set<std::string> gone;
};

std::string format_published_text(const published_text& text);

/// Error: peer_message_invalid.
core::result<published_text> parse_published_text(std::string_view text);

} // namespace medlarbarrow::net
