/// Which of two states of a published item is newer: the one place that decides
/// it, for answers of the source and for what instances pass on.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::core
{

/// A position in the history of the source. A source that comes back from an
/// older copy gives revisions out again, so that a revision orders the changes
/// of one era only.
struct source_position
{
    constexpr source_position() = default;

    /// Position in a source that states no era.
    constexpr source_position(std::uint64_t in_only_era) : revision(in_only_era)
    {
    }

    constexpr source_position(std::uint64_t in_era, std::uint64_t at_revision)
        : era(in_era), revision(at_revision)
    {
    }

    /// Rises each time the source comes back from an older copy; 0 if the
    /// source does not state it.
    std::uint64_t era = 0;
    std::uint64_t revision = 0; ///< 0: nothing is known

    auto operator<=>(const source_position&) const = default;
};

/// Order of the contents of an item that its writer states, whatever position
/// the source gives it: the version of a document, or the start of a server and
/// the number of the announcement within that run.
struct content_version
{
    std::uint64_t major = 0; ///< 0: the item states no version
    std::uint64_t minor = 0;

    auto operator<=>(const content_version&) const = default;

    bool is_known() const noexcept
    {
        return this->major != 0;
    }
};

/// One state of an item: where the source had it and what it contains.
struct item_state
{
    source_position position;
    content_version version;
};

/// Whether the state is newer than the held one. Of two eras neither has to be:
/// the source may list again what it had before. So the versions decide, and
/// the later era if these are equal or not known.
bool is_newer(const item_state& state, const item_state& held) noexcept;

/// Whether a removal ends the item in this state. `removed` is the position of
/// the removal and the version that was removed. What an earlier era removed
/// stays removed in a later one until a higher version is written.
bool is_ended_by(const item_state& state, const item_state& removed) noexcept;

/// A source comes back from a copy now and then. An era further above the known
/// one is taken for a damaged answer or message.
constexpr std::uint64_t max_era_step = 1000;
/// The same for the first era that an instance learns.
constexpr std::uint64_t max_first_era = 1'000'000;

/// Whether the source can be in this era after the known one; 0: none is known.
bool is_plausible_era(std::uint64_t era, std::uint64_t known) noexcept;

/// Text of the form "ERA.REVISION", or "REVISION" in era 0.
std::string format_position(const source_position& position);

/// Empty if the text is not one that format_position() returns.
std::optional<source_position> parse_position(std::string_view text);

} // namespace medlarbarrow::core
