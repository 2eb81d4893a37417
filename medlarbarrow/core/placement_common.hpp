/// What the parts of the placement share.
#pragma once

#include <algorithm>
#include <medlarbarrow/core/types.hpp>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

using real_seconds = std::chrono::duration<double>;

/// Upper limit of a server's suspicion. From 1 on it is suspected.
inline constexpr double max_suspicion = 3.0;

/// Of so many slots, those that may be held by requests whose servers wait for
/// the callers: half, and at least one.
inline std::uint32_t caller_slots(std::uint32_t slots)
{
    return std::max<std::uint32_t>(slots / 2, 1);
}

inline double in_seconds(duration value)
{
    return std::chrono::duration_cast<real_seconds>(value).count();
}

inline duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(real_seconds(value));
}

inline bool contains_name(const std::vector<std::string>& names,
                          const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace medlarbarrow::core
