#include <charconv>
#include <medlarbarrow/core/source_position.hpp>

namespace medlarbarrow::core
{

namespace
{

std::optional<std::uint64_t> parse_number(std::string_view text)
{
    std::uint64_t number = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return number;
}

} // namespace

bool is_newer(const item_state& state, const item_state& held) noexcept
{
    const bool comparable = state.version.is_known() &&
                            held.version.is_known() &&
                            state.position.era != held.position.era;
    if (comparable && state.version != held.version)
    {
        return state.version > held.version;
    }
    return state.position > held.position;
}

bool is_ended_by(const item_state& state, const item_state& removed) noexcept
{
    if (state.position.era <= removed.position.era)
    {
        return state.position <= removed.position;
    }
    return state.version.is_known() && removed.version.is_known() &&
           state.version <= removed.version;
}

bool is_plausible_era(std::uint64_t era, std::uint64_t known) noexcept
{
    if (known == 0)
    {
        return era <= max_first_era;
    }
    return era >= known && era - known <= max_era_step;
}

std::string format_position(const source_position& position)
{
    const std::string revision = std::to_string(position.revision);
    return position.era == 0 ? revision
                             : std::to_string(position.era) + "." + revision;
}

std::optional<source_position> parse_position(std::string_view text)
{
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
    {
        const auto revision = parse_number(text);
        return revision ? std::optional(source_position(*revision))
                        : std::nullopt;
    }
    const auto era = parse_number(text.substr(0, dot));
    const auto revision = parse_number(text.substr(dot + 1));
    if (!era || *era == 0 || !revision)
    {
        return std::nullopt;
    }
    return source_position(*era, *revision);
}

} // namespace medlarbarrow::core
