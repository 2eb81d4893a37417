/// Idempotency keys for tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <string>

namespace medlarbarrow::tests
{

/// UUID version 7 with the creation time `created`. Keys with the same time
/// differ by `number`.
inline std::string
order_key(std::chrono::sys_time<std::chrono::milliseconds> created,
          unsigned number)
{
    const auto timestamp_ms =
        static_cast<std::uint64_t>(created.time_since_epoch().count());
    return fmt::format("{:08x}-{:04x}-7000-8000-{:012x}", timestamp_ms >> 16U,
                       timestamp_ms & 0xffffU, number);
}

} // namespace medlarbarrow::tests
