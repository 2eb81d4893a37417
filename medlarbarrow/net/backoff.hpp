/// Delay before the next attempt at something that failed.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace medlarbarrow::net
{

/// Exponential delays with jitter: half of each delay is random, so that
/// instances that failed together do not retry together.
class backoff
{
public:
    using delay = std::chrono::milliseconds;

    backoff(delay first, delay greatest, std::uint64_t seed)
        : shortest(first), longest(greatest), upper(first), random(seed)
    {
    }

    delay next()
    {
        const delay::rep half = this->upper.count() / 2;
        std::uniform_int_distribution<delay::rep> spread(0, half);
        const delay chosen(half + spread(this->random));
        this->upper = std::min(this->upper * 2, this->longest);
        return chosen;
    }

    void reset()
    {
        this->upper = this->shortest;
    }

private:
    delay shortest;
    delay longest;
    delay upper;
    std::minstd_rand random;
};

} // namespace medlarbarrow::net
