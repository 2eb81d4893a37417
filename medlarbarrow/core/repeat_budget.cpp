#include <medlarbarrow/core/repeat_budget.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::seconds;

/// Share of the service's retry budget that an owner uses. The rest covers the
/// repeats that an earlier owner granted in the same window.
constexpr double owner_budget_share = 0.5;

} // namespace

repeat_budget::repeat_budget(const retry_limits& configured)
    : limits(configured)
{
}

void repeat_budget::set_limits(const retry_limits& new_limits)
{
    this->limits = new_limits;
}

void repeat_budget::count_request(time_point now)
{
    ++this->counts_at(now).requests;
}

void repeat_budget::count_repeat(time_point now)
{
    ++this->counts_at(now).repeats;
}

// Returns the counts of the current second and drops those that have left the
// window.
repeat_budget::second_counts& repeat_budget::counts_at(time_point now)
{
    const std::int64_t second =
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    const std::int64_t window =
        std::chrono::duration_cast<seconds>(this->limits.window).count();
    while (!this->counts_by_second.empty() &&
           this->counts_by_second.front().second <= second - window)
    {
        this->counts_by_second.pop_front();
    }
    if (this->counts_by_second.empty() ||
        this->counts_by_second.back().second != second)
    {
        this->counts_by_second.push_back({second, 0, 0});
    }
    return this->counts_by_second.back();
}

// Whether the retry budget of the window allows one more repeat.
bool repeat_budget::has_room(time_point now)
{
    this->counts_at(now);
    double requests = 0;
    double repeats = 0;
    for (const second_counts& second : this->counts_by_second)
    {
        requests += second.requests;
        repeats += second.repeats;
    }
    const double allowed =
        this->limits.ratio * requests + this->limits.allowance;
    return repeats + 1 <= owner_budget_share * allowed;
}

} // namespace medlarbarrow::core
