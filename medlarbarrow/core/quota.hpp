/// Rate limit of a client account, enforced by the instance that owns it.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <string>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Rate limit of an account, and the share of it that one owner enforces.
struct quota_limit
{
    double rate_per_second = 0.0; ///< 0: no limit
    double burst = 0.0;           ///< requests
    double owner_share =
        1.0; ///< fraction of rate and burst that this owner grants
    /// Fraction of its capacity that a new bucket holds.
    double initial_fill = 0.5;
};

/// Decision about one request.
struct quota_answer
{
    bool granted = false;
    duration retry_after{}; ///< until the next request would be granted
};

/// Holds a token bucket per account and decides whether a request is within the
/// account's rate limit. A new bucket does not start full, because an earlier
/// owner may just have granted the burst.
class quota_owner
{
public:
    /// Takes one token of the account's bucket if it holds one.
    quota_answer
    take(const std::string& account, const quota_limit& terms, time_point now);

private:
    struct bucket
    {
        double tokens = 0.0;
        time_point updated{};
    };

    std::unordered_map<std::string, bucket> buckets;
};

} // namespace medlarbarrow::core
