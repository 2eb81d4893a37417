/// Retry budget of a service: limits the sends beyond the first of each
/// request in a sliding window, as seen by one owner.
#pragma once

#include <cstdint>
#include <deque>
#include <medlarbarrow/core/types.hpp>

namespace medlarbarrow::core
{

/// Retry budget of a service, over all instances.
struct retry_limits
{
    double ratio = 0.2;      ///< repeats per request
    double allowance = 20.0; ///< repeats per window, in addition to the ratio
    duration window = std::chrono::seconds(10);
};

/// Counts the requests and repeats of one owner against its part of the budget.
class repeat_budget
{
public:
    explicit repeat_budget(const retry_limits& configured);

    void set_limits(const retry_limits& new_limits);
    void count_request(time_point now);
    void count_repeat(time_point now);

    /// Whether the window has room for one more repeat.
    bool has_room(time_point now);

private:
    /// Requests and repeats in one second of the window.
    struct second_counts
    {
        std::int64_t second = 0;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    second_counts& counts_at(time_point now);

    retry_limits limits;
    std::deque<second_counts> counts_by_second; ///< newest last
};

} // namespace medlarbarrow::core
