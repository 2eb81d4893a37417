/// Share of a shard's servers that get work while sends fail.
#pragma once

#include <cstddef>

namespace medlarbarrow::core
{

/// Smallest share of a shard's servers that get work while sends fail, unless
/// the settings name another.
inline constexpr double default_floor_share = 0.7;

/// How the work of a shard is spread over its servers, over the last two
/// seconds.
struct work_spread
{
    std::size_t servers = 0;
    std::size_t with_work = 0; ///< servers that were granted a request
    std::size_t suspected = 0;
    std::size_t requests = 0; ///< without their repeats
    std::size_t results = 0;  ///< ended or overdue sends
    std::size_t failures = 0; ///< of the results
};

} // namespace medlarbarrow::core
