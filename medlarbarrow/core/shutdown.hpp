/// What an instance that shuts down does with its requests: which it still
/// takes, which it may still send to a server, and when it refuses those that
/// wait. The platform kills the instance when its grace is over. A request must
/// not be running at a server then, so one that cannot end in time is refused
/// as "not run", and its caller turns to another instance.
#pragma once

#include <medlarbarrow/core/types.hpp>

namespace medlarbarrow::core
{

/// A request that is about to be sent to a server.
struct send_estimate
{
    bool repeatable = false;
    duration typical{};    ///< expected duration at the server
    time_point deadline{}; ///< the request is answered by then in any case
};

/// The times of one shutdown.
class shutdown_plan
{
public:
    /// The instance is killed `grace` after `started` and ends itself
    /// `exit_margin` before that.
    shutdown_plan(time_point started, duration grace, duration exit_margin);

    /// True if a request that has been read completely by this time is served.
    /// A later one is refused.
    bool takes(time_point received) const noexcept;

    /// True if the request may be sent to a server at this time.
    bool can_finish(const send_estimate& estimate,
                    time_point now) const noexcept;

    /// From this time on, nothing is sent to a server any more: the requests
    /// that still wait for one, and those that have been read only in part, are
    /// refused.
    time_point waiting_refused_at() const noexcept;

    /// Callers whose requests still run at a server are told at this time that
    /// the outcome is unknown.
    time_point running_ended_at() const noexcept;

    /// The instance ends.
    time_point exit_at() const noexcept;

    /// Time after which the caller of a refused request may send it again. It
    /// is short, because other instances serve.
    duration retry_after() const noexcept;

private:
    time_point start;
    duration grace;
    time_point exit;
};

} // namespace medlarbarrow::core
