/// Messages from any thread to the thread of an io_context.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <medlarbarrow/net/ring.hpp>
#include <utility>

namespace medlarbarrow::net
{

/// A bounded ring that a handler on the io_context's thread empties. At most
/// one wake-up is queued at a time, so that the ring is the only bound needed.
/// Must outlive the io_context's last handler.
template <class Value>
class mailbox
{
public:
    using handler = std::function<void(Value&&)>;

    mailbox(boost::asio::io_context& target,
            std::size_t capacity,
            handler on_value)
        : context(target), ring(capacity), receive(std::move(on_value))
    {
    }

    /// False when the ring is full; the value is then lost and counted.
    bool push(Value&& value)
    {
        if (!this->ring.try_push(std::move(value)))
        {
            ++this->lost;
            return false;
        }
        if (!this->scheduled.exchange(true))
        {
            boost::asio::post(this->context,
                              [this]
                              {
                                  this->drain();
                              });
        }
        return true;
    }

    std::uint64_t dropped() const
    {
        return this->lost;
    }

private:
    void drain()
    {
        // Cleared first: a value pushed from here on schedules another call.
        this->scheduled = false;
        while (auto value = this->ring.try_pop())
        {
            this->receive(std::move(*value));
        }
    }

    boost::asio::io_context& context;
    bounded_ring<Value> ring;
    handler receive;
    std::atomic<bool> scheduled{false};
    std::atomic<std::uint64_t> lost{0};
};

} // namespace medlarbarrow::net
