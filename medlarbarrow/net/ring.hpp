/// Bounded queue between threads.
#pragma once

#include <condition_variable>
#include <cstddef>
#include <mutex>
#include <optional>
#include <vector>

namespace medlarbarrow::net
{

/// Ring of fixed capacity for any number of producers and consumers. A full
/// ring refuses values, so that a slow consumer does not cause unbounded memory
/// use.
template <class Value>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : slots(capacity) {}

    /// Adds a value. False if the ring is full or closed; `value` is then
    /// unchanged.
    bool try_push(Value&& value)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->closed || this->count == this->slots.size())
            {
                return false;
            }
            const std::size_t tail =
                (this->head + this->count) % this->slots.size();
            this->slots[tail] = std::move(value);
            ++this->count;
        }
        this->not_empty_or_closed.notify_one();
        return true;
    }

    /// Removes the oldest value. Nothing if the ring is empty.
    std::optional<Value> try_pop()
    {
        const std::lock_guard lock(this->mutex);
        return this->pop_locked();
    }

    /// Waits for a value and removes it. Nothing if the ring is closed and
    /// empty.
    std::optional<Value> wait_pop()
    {
        std::unique_lock lock(this->mutex);
        this->not_empty_or_closed.wait(lock,
                                       [this]
                                       {
                                           return this->closed ||
                                                  this->count != 0;
                                       });
        return this->pop_locked();
    }

    /// Refuses further values and wakes all waiting consumers. Stored values
    /// can still be removed.
    void close()
    {
        {
            const std::lock_guard lock(this->mutex);
            this->closed = true;
        }
        this->not_empty_or_closed.notify_all();
    }

private:
    // Requires that the mutex is locked.
    std::optional<Value> pop_locked()
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
    std::condition_variable not_empty_or_closed;
    std::vector<Value> slots;
    std::size_t head = 0;
    std::size_t count = 0;
    bool closed = false;
};

} // namespace medlarbarrow::net
