/// Timers of the event loop.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

namespace medlarbarrow::net
{

/// Calls back after the delay, unless the timer is set again, cancelled or
/// destroyed before.
inline void run_after(boost::asio::steady_timer& timer,
                      std::chrono::milliseconds delay,
                      std::function<void()> callback)
{
    timer.expires_after(delay);
    timer.async_wait(
        [callback = std::move(callback)](boost::system::error_code failure)
        {
            if (!failure)
            {
                callback();
            }
        });
}

} // namespace medlarbarrow::net
