#include <algorithm>
#include <medlarbarrow/core/quota.hpp>

namespace medlarbarrow::core
{

namespace
{

constexpr std::chrono::seconds longest_retry_after{5};

} // namespace

quota_answer quota_owner::take(const std::string& account,
                               const quota_terms& terms,
                               time_point now)
{
    if (terms.rate_per_second <= 0)
    {
        return {true, {}};
    }
    const double rate = terms.rate_per_second * terms.share;
    const double capacity = std::max(terms.burst * terms.share, 1.0);
    const auto [found, fresh] = this->buckets.try_emplace(
        account, bucket{capacity * terms.initial_fill, now});
    bucket& own = found->second;
    const std::chrono::duration<double> passed = now - own.updated;
    own.updated = now;
    own.tokens = std::min(own.tokens + rate * passed.count(), capacity);
    if (own.tokens >= 1.0)
    {
        own.tokens -= 1.0;
        return {true, {}};
    }
    const std::chrono::duration<double> wait((1.0 - own.tokens) / rate);
    const duration longest = longest_retry_after;
    return {false,
            std::min(std::chrono::duration_cast<duration>(wait), longest)};
}

} // namespace medlarbarrow::core
