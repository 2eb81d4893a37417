/// Retry delays with exponential backoff.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace medlarbarrow::net
{

/// Exponential backoff with jitter. Up to half of each delay is random, so that
/// instances that failed at the same time do not retry at the same time.
class backoff
{
public:
    using delay = std::chrono::milliseconds;

    backoff(delay first, delay maximum, std::uint64_t seed)
        : first_delay(first), max_delay(maximum), upper_limit(first),
          random(seed)
    {
    }

    /// Returns the next delay, between half of the current upper limit and the
    /// limit, and doubles the limit up to the maximum.
    delay next()
    {
        const delay::rep half = this->upper_limit.count() / 2;
        std::uniform_int_distribution<delay::rep> jitter(0, half);
        const delay result(half + jitter(this->random));
        this->upper_limit = std::min(this->upper_limit * 2, this->max_delay);
        return result;
    }

    /// Starts again with the first delay, after a success.
    void reset()
    {
        this->upper_limit = this->first_delay;
    }

private:
    delay first_delay;
    delay max_delay;
    delay upper_limit;
    std::minstd_rand random;
};

} // namespace medlarbarrow::net
