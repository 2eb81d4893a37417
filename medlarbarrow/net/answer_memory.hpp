/// Bytes of answers that the sends of an instance hold in memory together.
#pragma once

#include <cstddef>
#include <memory>

namespace medlarbarrow::net
{

/// Total of all sends. Beyond the limit, answers are streamed to their callers
/// at once instead of being held until they are complete.
struct answer_memory
{
    std::size_t limit = 0;
    std::size_t used = 0;

    bool is_exhausted() const noexcept
    {
        return this->used > this->limit;
    }
};

/// The bytes that one send holds; gives them back at its end.
class held_bytes
{
public:
    explicit held_bytes(std::shared_ptr<answer_memory> total)
        : memory(std::move(total))
    {
    }

    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    ~held_bytes()
    {
        this->release();
    }

    void add(std::size_t count) noexcept
    {
        this->memory->used += count;
        this->held += count;
    }

    void release() noexcept
    {
        this->memory->used -= this->held;
        this->held = 0;
    }

    /// Whether all sends together hold more than they may.
    bool is_exhausted() const noexcept
    {
        return this->memory->is_exhausted();
    }

private:
    std::shared_ptr<answer_memory> memory;
    std::size_t held = 0;
};

} // namespace medlarbarrow::net
