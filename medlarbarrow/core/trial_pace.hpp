/// Pace of the trial requests to servers that were suspected at the same time.
#pragma once

#include <medlarbarrow/core/types.hpp>

namespace medlarbarrow::core
{

/// Limits how often servers that failed together are tried again. What struck
/// all of them at once probably also ends for all of them at once, so each
/// trial tells about the others too: after a success the next one follows
/// sooner, after a failure later.
class trial_pace
{
public:
    /// Begins anew after a failure of many servers.
    void restart(time_point now);

    /// Whether the next trial may start.
    bool is_due(time_point now) const;

    void on_started(time_point now);

    void on_ended(bool succeeded);

private:
    duration interval{};
    time_point last_start{};
};

/// Time since its last failure after which a server may be tried again.
duration trial_delay(std::uint32_t failed_trials);

} // namespace medlarbarrow::core
