/// This instance's copy of the published data: the items of the source with
/// their revisions, the configuration document in force and the announced
/// servers. Instances pass items on to each other as they were published.
#pragma once

#include <functional>
#include <map>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/net/published_text.hpp>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace medlarbarrow::net
{

/// All items of the source, as its answers to one listing had them.
struct source_listing
{
    std::vector<published_item> items;
    /// Every change up to it is contained; single items may be newer.
    core::source_position position{};
    /// Position that this instance had when it asked for the listing.
    core::source_position known_before{};
    /// Kind of the removal of items that the listing lacks.
    core::removal_kind missing = core::removal_kind::certain;
};

/// An item that is neither a document nor a server.
struct other_item
{
};

/// An item that cannot be read. `reason` is logged.
struct unreadable_item
{
    std::string reason;
};

/// A value of a document that this instance does not know and replaces.
struct item_problem
{
    std::string part; ///< of the document, for example a route
    std::string member;
    std::string value;
    std::string accepted; ///< what is accepted, and what holds instead
};

/// A document that can be used, with the values that were replaced in it.
struct parsed_document
{
    std::shared_ptr<const core::document> document;
    std::vector<item_problem> problems;
};

using parsed_item = std::variant<parsed_document,
                                 core::announced_server,
                                 other_item,
                                 unreadable_item>;

/// Parses an item; supplied by the adapter of the source. Durations in the
/// value start at `now`.
using item_reader =
    std::function<parsed_item(const published_item&, core::time_point now)>;

struct published_counters
{
    std::uint64_t items_unreadable = 0;
    std::uint64_t document_problems = 0;
    std::uint64_t listings_outdated = 0;
    std::uint64_t items_outdated = 0; ///< of late changes, or already removed
    std::uint64_t eras_begun = 0; ///< returns of the source from older copies
};

/// Applies listings and changes from the source and from other instances, and
/// calls `on_change` after each that changed an item.
class published
{
public:
    published(item_reader read, std::function<void()> on_change);

    /// Applies a listing of the source; items that it lacks are removed.
    /// Returns false, and changes nothing, if it is outdated: other instances
    /// have passed on newer items meanwhile, but not every removal before them,
    /// so an item of the listing that is not held may have been removed. Such a
    /// listing has to be asked for again.
    [[nodiscard]] bool apply_listing(const source_listing& listing,
                                     core::time_point now);

    /// Applies changes of the source up to `last`. What is known already, also
    /// from a later state, is skipped; so are changes of another era than the
    /// one known, whose items have to be listed first.
    void apply_changes(const std::vector<published_item>& items,
                       const core::source_position& last,
                       core::time_point now);

    /// Returns the changes after `position` as text for another instance, or a
    /// complete listing if the removals since then are not known.
    std::string text_since(const core::source_position& position) const;

    /// Applies the text that text_since() returned on another instance. Error:
    /// peer_message_invalid.
    std::error_code apply_text(std::string_view text, core::time_point now);

    /// Position up to which all changes are applied; its revision is 0 before
    /// the first listing.
    const core::source_position& position() const noexcept
    {
        return this->current;
    }

    std::uint64_t revision() const noexcept
    {
        return this->current.revision;
    }

    /// Ends what is carried over long enough, see published_text: an item that
    /// the source still lists is alive, unless its run has said that it leaves.
    void tick(core::time_point now);

    /// Position since which changes have to be asked for: the position, or the
    /// beginning while removals are carried over, since only a complete list
    /// tells whether the source has removed those items again.
    core::source_position position_to_ask() const;

    /// Digest of what is carried over from earlier eras, see published_text; 0
    /// if nothing is. Instances with the same position and other digests can
    /// tell each other something.
    std::uint64_t carried_digest() const;

    /// Time when the position last rose, through the source or another
    /// instance.
    core::time_point position_raised_at() const noexcept
    {
        return this->raised_at;
    }

    /// When this instance learned that the source has come back from a copy.
    /// Empty if it has not.
    std::optional<core::time_point> era_began_at() const noexcept
    {
        return this->era_begin;
    }

    /// Null before the first valid document.
    const std::shared_ptr<const core::document>& document() const noexcept
    {
        return this->current_document;
    }

    /// Counts of what could not be read, for the metrics.
    const published_counters& counters() const noexcept
    {
        return this->counts;
    }

    core::server_registry& servers() noexcept
    {
        return this->registry;
    }

    const core::server_registry& servers() const noexcept
    {
        return this->registry;
    }

private:
    struct stored_item
    {
        std::string value;
        core::item_state state;
        bool is_document = false;
    };

    /// Last removal of an item that is not held.
    struct removal
    {
        /// Its position, and the highest version known to be removed.
        core::item_state state;
        /// Another instance lacked the item: it was removed at this position or
        /// before, unless that instance was wrong.
        bool inferred = false;
        /// The announcements may only have been lost. Holds in its era alone
        /// until the server's grace period has ended.
        bool lapsed = false;
        /// The removed run had said that it leaves.
        bool had_left = false;
        /// The source lists the item again, as it was in an earlier era.
        bool is_carried = false;
        /// While carried: the listed value, and since when it has been listed.
        std::string listed_value{};
        core::time_point listed_since{};
    };

    /// Returns the kind of the removal of an item that a list lacks.
    using missing_kind =
        std::function<core::removal_kind(const std::string& key)>;

    bool is_lapsing(const std::string& key) const;
    bool may_have_lapsed(const std::string& key, const removal& removed) const;
    void end_lapses();
    void add_gap(core::source_position from, const core::source_position& to);
    bool may_lack_removal_after(const core::source_position& position) const;
    bool is_other_era(const core::source_position& position) const noexcept;
    bool is_return(const core::source_position& position) const noexcept;
    void begin_era(const core::source_position& position, core::time_point now);
    bool replace_items(const std::vector<published_item>& listed,
                       const std::set<std::string>& listed_keys,
                       const removal& missing,
                       const missing_kind& kind_of,
                       core::time_point now);
    void end_carried_removals(const std::set<std::string>& listed_keys,
                              const removal& missing);
    bool apply_each(const std::vector<published_item>& changes,
                    const core::source_position& last,
                    bool outdated,
                    core::time_point now);
    bool remove_lost_in(const published_text& text, core::time_point now);
    bool apply_peer_list(const published_text& text, core::time_point now);
    bool apply_peer_changes(const published_text& text, core::time_point now);
    bool apply_carried(const std::vector<published_item>& carried,
                       core::time_point now);
    bool remove_carried(const published_item& removed, core::time_point now);
    std::vector<published_item> carried_items() const;
    bool carries_removals() const;
    void carry(removal& removed,
               const std::string& listed_value,
               core::time_point now);
    void raise_position(const core::source_position& position,
                        core::time_point now);
    bool is_removed(const published_item& item,
                    const core::item_state& state,
                    const core::source_position& as_of,
                    core::time_point now);
    bool store(const published_item& item,
               const core::source_position& as_of,
               core::time_point now);
    bool remove(const std::string& key,
                const removal& removed,
                core::removal_kind kind,
                core::time_point now);
    void record_removal(const std::string& key, const removal& removed);
    void apply_item(const published_item& item,
                    parsed_item meaning,
                    core::time_point now);
    void apply_document(parsed_document parsed);

    item_reader read_item;
    std::function<void()> notify_change;
    std::map<std::string, stored_item> items;
    std::map<std::string, std::string> server_names; ///< by item key
    std::map<std::string, removal> removals;         ///< by item key
    /// Versions whose carried removals have ended in this era, by item key:
    /// other instances may carry them for longer.
    std::map<std::string, core::content_version> ended_removals;
    /// Later removals are kept, except those of items from the gap.
    core::source_position removals_since;
    /// The last one; removals_since is not below the end of the one before.
    position_gap gap;
    /// Servers whose items have lapsed and that are still usable, by item key.
    std::map<std::string, std::string> lapsing_servers;
    core::source_position current;
    core::time_point raised_at{};
    std::optional<core::time_point> era_begin;
    std::shared_ptr<const core::document> current_document;
    core::server_registry registry;
    published_counters counts;
    bool in_first_listing = false;
};

} // namespace medlarbarrow::net
