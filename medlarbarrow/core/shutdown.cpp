#include <algorithm>
#include <medlarbarrow/core/shutdown.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Requests are taken in the first half of the grace, so that each has the
/// other half to run. The reserve covers the time between the platform's signal
/// and the instance's notice of it: the platform holds the instance liable for
/// requests sent after the half.
constexpr milliseconds half_reserve{200};

/// Part of the grace after which nothing is sent to a server any more.
constexpr int sending_numerator = 5;
constexpr int sending_denominator = 6;

/// Time to write the last answers before the instance ends.
constexpr milliseconds last_answers_time{150};

/// Time that a request gets at its server, in percent of its typical duration.
/// One that may not be repeated gets more, because its caller cannot send it
/// again after it is broken off.
constexpr int repeatable_percent = 100;
constexpr int not_repeatable_percent = 150;

constexpr milliseconds retry_delay{50};

} // namespace

shutdown_plan::shutdown_plan(time_point started,
                             duration total_grace,
                             duration exit_margin)
    : start(started), grace(std::max(total_grace, duration(0))),
      exit(started + std::max(total_grace - exit_margin, duration(0)))
{
}

bool shutdown_plan::takes(time_point received) const noexcept
{
    return received <= this->start + this->grace / 2 - half_reserve;
}

bool shutdown_plan::can_finish(const send_estimate& estimate,
                               time_point now) const noexcept
{
    if (now >= this->waiting_refused_at())
    {
        return false;
    }
    const int percent =
        estimate.repeatable ? repeatable_percent : not_repeatable_percent;
    const time_point expected_end = now + estimate.typical * percent / 100;
    return std::min(expected_end, estimate.deadline) <=
           this->running_ended_at();
}

time_point shutdown_plan::waiting_refused_at() const noexcept
{
    const time_point part =
        this->start + this->grace * sending_numerator / sending_denominator;
    return std::min(part, this->running_ended_at());
}

time_point shutdown_plan::running_ended_at() const noexcept
{
    return std::max(this->exit - last_answers_time, this->start);
}

time_point shutdown_plan::exit_at() const noexcept
{
    return this->exit;
}

duration shutdown_plan::retry_after() const noexcept
{
    return retry_delay;
}

} // namespace medlarbarrow::core
