/// Wakes coroutines of one thread when something they wait for may have
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

/// Deadlines of the decision logic count suspended time; timers do not. The
/// remaining time is converted when the timer is set.
inline std::chrono::steady_clock::time_point
timer_time(core::time_point deadline) noexcept
{
    return std::chrono::steady_clock::now() +
           (deadline - core::boot_clock::now());
}

/// Waiters check their condition again after each return of wait_until().
class signal
{
public:
    explicit signal(asio::any_io_executor chosen) : executor(std::move(chosen))
    {
    }

    signal(const signal&) = delete;
    signal& operator=(const signal&) = delete;

    /// Returns at the next notify() or at `deadline`, whichever is first.
    asio::awaitable<void> wait_until(core::time_point deadline)
    {
        asio::steady_timer timer(this->executor, timer_time(deadline));
        const registration entry(this->waiters, timer);
        boost::system::error_code ignored;
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }

    /// As wait_until() without a limit.
    asio::awaitable<void> wait()
    {
        return this->wait_until(core::boot_clock::now() +
                                std::chrono::hours(24));
    }

    void notify()
    {
        for (asio::steady_timer* timer : this->waiters)
        {
            timer->cancel();
        }
    }

private:
    using list = std::vector<asio::steady_timer*>;

    /// Removes the timer also when the coroutine is destroyed while it waits.
    class registration
    {
    public:
        registration(list& target, asio::steady_timer& added)
            : waiters(target), timer(&added)
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
        list& waiters;
        asio::steady_timer* timer;
    };

    asio::any_io_executor executor;
    list waiters;
};

} // namespace medlarbarrow::net
