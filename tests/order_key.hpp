/// Idempotency keys for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace medlarbarrow::tests
{

/// UUID version 7 that was created at `created`, told apart by `number`.
inline std::string
order_key(std::chrono::sys_time<std::chrono::milliseconds> created,
          unsigned number)
{
    const auto stamp =
        static_cast<std::uint64_t>(created.time_since_epoch().count());
    return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", stamp >> 16U,
                       stamp & 0xffffU, number);
}

} // namespace medlarbarrow::tests
