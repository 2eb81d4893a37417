#include <algorithm>
#include <medlarbarrow/core/quota.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Upper bound of the Retry-After of a refused request.
constexpr std::chrono::seconds max_retry_after{5};

} // namespace

quota_answer quota_owner::take(const std::string& account,
                               const quota_limit& terms,
                               time_point now)
{
    if (terms.rate_per_second <= 0)
    {
        return {true, {}};
    }
    const double rate = terms.rate_per_second * terms.owner_share;
    const double capacity = std::max(terms.burst * terms.owner_share, 1.0);
    const auto [entry, inserted] = this->buckets.try_emplace(
        account, bucket{capacity * terms.initial_fill, now});
    bucket& refilled = entry->second;
    const std::chrono::duration<double> elapsed = now - refilled.updated;
    refilled.updated = now;
    refilled.tokens =
        std::min(refilled.tokens + rate * elapsed.count(), capacity);
    if (refilled.tokens >= 1.0)
    {
        refilled.tokens -= 1.0;
        return {true, {}};
    }
    const std::chrono::duration<double> wait((1.0 - refilled.tokens) / rate);
    const duration upper_bound = max_retry_after;
    return {false,
            std::min(std::chrono::duration_cast<duration>(wait), upper_bound)};
}

} // namespace medlarbarrow::core
