/// Wakes waiting coroutines on the same thread when their condition may have
/// changed.
#pragma once

#include <algorithm>
#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <medlarbarrow/core/types.hpp>
#include <vector>

namespace medlarbarrow::net
{

namespace asio = boost::asio;

/// Converts a deadline of the decision logic for a timer. The clock of the
/// decision logic includes the time that the machine is suspended, the clock of
/// the timers does not; so the remaining time is converted when the timer is
/// set.
inline std::chrono::steady_clock::time_point
to_steady_time(core::time_point deadline) noexcept
{
    return std::chrono::steady_clock::now() +
           (deadline - core::boot_clock::now());
}

/// Condition variable for coroutines of one thread. A waiter must check its
/// condition again each time wait_until() returns.
class signal
{
public:
    explicit signal(asio::any_io_executor io_executor)
        : executor(std::move(io_executor))
    {
    }

    signal(const signal&) = delete;
    signal& operator=(const signal&) = delete;

    /// Returns at the next notify() or at `deadline`, whichever comes first.
    asio::awaitable<void> wait_until(core::time_point deadline)
    {
        asio::steady_timer timer(this->executor, to_steady_time(deadline));
        const registration entry(this->waiters, timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// Waits for the next notify(). It may return after 24 hours without one.
    asio::awaitable<void> wait()
    {
        return this->wait_until(core::boot_clock::now() +
                                std::chrono::hours(24));
    }

    /// Wakes all waiters.
    void notify()
    {
        for (asio::steady_timer* timer : this->waiters)
        {
            timer->cancel();
        }
    }

private:
    using timer_list = std::vector<asio::steady_timer*>;

    /// Adds a timer to the list of waiters. The destructor removes it, also if
    /// the coroutine is destroyed while it waits.
    class registration
    {
    public:
        registration(timer_list& waiter_list, asio::steady_timer& waiter_timer)
            : waiters(waiter_list), timer(&waiter_timer)
        {
            this->waiters.push_back(this->timer);
        }

        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        ~registration()
        {
            std::erase(this->waiters, this->timer);
        }

    private:
        timer_list& waiters;
        asio::steady_timer* timer;
    };

    asio::any_io_executor executor;
    timer_list waiters;
};

} // namespace medlarbarrow::net
