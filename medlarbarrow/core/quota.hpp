/// Rate limit of a client account at the instance that is its owner.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <string>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Grant of an account's limit that one instance decides about.
struct quota_terms
{
    double rate_per_second = 0.0; ///< 0: no limit
    double burst = 0.0;           ///< requests
    double share = 1.0; ///< part of the fleet that this owner speaks for
    /// Part of the burst that a new bucket holds.
    double initial_fill = 0.5;
};

struct quota_answer
{
    bool granted = false;
    duration retry_after{}; ///< until the next request would be granted
};

/// Token buckets by account. A new bucket does not start full, because an
/// earlier owner may just have granted the burst.
class quota_owner
{
public:
    quota_answer
    take(const std::string& account, const quota_terms& terms, time_point now);

private:
    struct bucket
    {
        double tokens = 0.0;
        time_point updated{};
    };

    std::unordered_map<std::string, bucket> buckets;
};

} // namespace medlarbarrow::core
