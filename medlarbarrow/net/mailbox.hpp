/// Queue from any thread to the thread of an io_context.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <functional>
#include <medlarbarrow/net/ring.hpp>
#include <utility>

namespace medlarbarrow::net
{

/// A bounded ring whose values are passed to a handler on the thread of the
/// io_context. At most one wake-up is posted at a time, so the ring is the only
/// queue that needs a limit. The mailbox must outlive the last handler of the
/// io_context.
template <class Value>
class mailbox
{
public:
    using handler = std::function<void(Value&&)>;

    mailbox(boost::asio::io_context& target,
            std::size_t capacity,
            handler value_handler)
        : context(target), ring(capacity), on_value(std::move(value_handler))
    {
    }

    /// Queues a value. False if the ring is full; the value is then dropped and
    /// counted.
    bool push(Value&& value)
    {
        if (!this->ring.try_push(std::move(value)))
        {
            ++this->dropped_values;
            return false;
        }
        if (!this->drain_scheduled.exchange(true))
        {
            boost::asio::post(this->context,
                              [this]
                              {
                                  this->drain();
                              });
        }
        return true;
    }

    /// Number of values dropped because the ring was full.
    std::uint64_t dropped() const
    {
        return this->dropped_values;
    }

private:
    void drain()
    {
        // Cleared first, so that a value pushed during the loop schedules
        // another call.
        this->drain_scheduled = false;
        while (auto value = this->ring.try_pop())
        {
            this->on_value(std::move(*value));
        }
    }

    boost::asio::io_context& context;
    bounded_ring<Value> ring;
    handler on_value;
    std::atomic<bool> drain_scheduled{false};
    std::atomic<std::uint64_t> dropped_values{0};
};

} // namespace medlarbarrow::net
