#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/trial_pace.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Bounds of the time between two trials. Even at the longest, the first trial
/// after the end of a fault comes early enough for those of the other servers
/// to follow in the two seconds in which sound servers must get work.
constexpr milliseconds max_interval{300};
constexpr milliseconds min_interval{20};
constexpr int interval_factor = 2;

/// Time since the last failure of a server before its first trial, the factor
/// by which each failed trial extends it, and its limit. The limit leaves a
/// part of the two seconds in which a sound server must get work.
constexpr milliseconds first_delay{800};
constexpr double delay_factor = 1.6;
constexpr milliseconds max_delay{1700};

} // namespace

void trial_pace::restart(time_point now)
{
    this->interval = max_interval;
    this->last_start = now;
}

bool trial_pace::is_due(time_point now) const
{
    return now - this->last_start >= this->interval;
}

void trial_pace::on_started(time_point now)
{
    this->last_start = now;
}

void trial_pace::on_ended(bool succeeded)
{
    this->interval =
        succeeded
            ? std::max<duration>(this->interval / interval_factor, min_interval)
            : std::min<duration>(this->interval * interval_factor,
                                 max_interval);
}

duration trial_delay(std::uint32_t failed_trials)
{
    const double extension = std::pow(delay_factor, failed_trials);
    const std::chrono::duration<double> delay = first_delay * extension;
    return delay < max_delay ? std::chrono::duration_cast<duration>(delay)
                             : max_delay;
}

} // namespace medlarbarrow::core
