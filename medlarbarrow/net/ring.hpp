/// Bounded queue between two threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace medlarbarrow::net
{

/// Fixed-capacity ring; any number of producers and consumers. A full ring
/// refuses, so that a slow thread cannot make another one grow without bound.
template <class Value>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : slots(capacity) {}

    /// False when the ring is full or closed; `value` is then unchanged.
    bool try_push(Value&& value)
    {
        {
            const std::lock_guard guard(this->mutex);
            if (this->closed || this->count == this->slots.size())
            {
                return false;
            }
            const std::size_t tail =
                (this->head + this->count) % this->slots.size();
            this->slots[tail] = std::move(value);
            ++this->count;
        }
        this->filled.notify_one();
        return true;
    }

    /// Oldest value, or nothing when the ring is empty.
    std::optional<Value> try_pop()
    {
        const std::lock_guard guard(this->mutex);
        return this->take();
    }

    /// Waits for a value; nothing once the ring is closed and drained.
    std::optional<Value> wait_pop()
    {
        std::unique_lock guard(this->mutex);
        this->filled.wait(guard,
                          [this]
                          {
                              return this->closed || this->count != 0;
                          });
        return this->take();
    }

    /// Refuses further values and wakes all waiting consumers.
    void close()
    {
        {
            const std::lock_guard guard(this->mutex);
            this->closed = true;
        }
        this->filled.notify_all();
    }

private:
    std::optional<Value> take()
    {
        if (this->count == 0)
        {
            return std::nullopt;
        }
        std::optional<Value> value(std::move(this->slots[this->head]));
        this->head = (this->head + 1) % this->slots.size();
        --this->count;
        return value;
    }

    std::mutex mutex;
    std::condition_variable filled;
    std::vector<Value> slots;
    std::size_t head = 0;
    std::size_t count = 0;
    bool closed = false;
};

} // namespace medlarbarrow::net
