/// What is published for the fleet, as this instance has it: the items of the
/// source with their revisions, the document in force and the announced
/// servers. Instances pass items on to each other as they were published.
#pragma once

#include <functional>
#include <map>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
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
    core::removal_kind removal =
        core::removal_kind::certain; ///< of a removed one
};

/// An item that is neither document nor server.
struct other_item
{
};

/// An item that cannot be read; `reason` goes to the log.
struct unreadable_item
{
    std::string reason;
};

using item_meaning = std::variant<std::shared_ptr<const core::document>,
                                  core::announced_server,
                                  other_item,
                                  unreadable_item>;

/// Reads an item; supplied by the adapter of the source. `now` is the time
/// from which times in the value count.
using item_reader =
    std::function<item_meaning(const published_item&, core::time_point now)>;

class published
{
public:
    published(item_reader read, std::function<void()> on_change);

    /// Takes a complete listing as of revision `at`.
    void take_listing(const std::vector<published_item>& items,
                      std::uint64_t at,
                      core::removal_kind missing,
                      core::time_point now);

    /// Takes changes up to revision `at`.
    void take_changes(const std::vector<published_item>& items,
                      std::uint64_t at,
                      core::time_point now);

    /// Changes after `revision` as text for another instance; a complete
    /// listing when the changes since then are no longer known.
    std::string text_since(std::uint64_t revision) const;

    /// Takes the text of another instance. Error: peer_message_invalid.
    std::error_code take_text(std::string_view text, core::time_point now);

    /// Revision up to which everything is known; 0 before the first listing.
    std::uint64_t revision() const noexcept
    {
        return this->at;
    }

    /// When the revision rose last, by the source or by another instance.
    core::time_point risen_at() const noexcept
    {
        return this->risen;
    }

    /// Null before the first valid document.
    const std::shared_ptr<const core::document>& document() const noexcept
    {
        return this->current;
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
    struct stored
    {
        std::string value;
        std::uint64_t revision = 0;
    };

    struct removed_item
    {
        std::string key;
        std::uint64_t revision = 0;
        core::removal_kind how = core::removal_kind::certain;
    };

    void rise_to(std::uint64_t revision, core::time_point now);
    bool take(const published_item& item, core::time_point now);
    bool drop(const std::string& key,
              std::uint64_t revision,
              core::removal_kind how,
              core::time_point now);
    void use(const published_item& item, core::time_point now);
    void use_document(std::shared_ptr<const core::document> next);

    item_reader read;
    std::function<void()> changed;
    std::map<std::string, stored> items;
    std::map<std::string, std::string> server_of; ///< by key
    std::vector<removed_item> removals;           ///< oldest first
    std::uint64_t known_from = 0; ///< removals since this revision are kept
    std::uint64_t at = 0;
    core::time_point risen{};
    std::shared_ptr<const core::document> current;
    core::server_registry registry;
};

} // namespace medlarbarrow::net
