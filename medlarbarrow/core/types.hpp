/// Times, identities and small value types that every module uses.
#pragma once

#include <boost/system/result.hpp>
#include <chrono>
#include <compare>
#include <cstdint>
#include <ctime>
#include <string>
#include <system_error>

namespace medlarbarrow::core
{

/// Monotonic clock that keeps counting while the machine is suspended, so
/// that a lease cannot outlive a pause. The decision logic never calls now().
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        ::timespec value{};
        ::clock_gettime(CLOCK_BOOTTIME, &value);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(value.tv_sec) +
            std::chrono::nanoseconds(value.tv_nsec)));
    }
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Calendar time, used only where callers' clocks matter (order identities).
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Both clocks, read together by the caller of the decision logic.
struct instant
{
    time_point monotonic{};
    wall_time wall{};
};

/// One run of one instance. The incarnation rises with each start of the
/// process (wall-clock milliseconds at start).
struct instance_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_id&) const = default;
};

/// Ownership is decided per bucket; keys are hashed into buckets.
constexpr std::uint32_t bucket_count = 64;
using bucket_id = std::uint32_t;

/// One bit for each bucket.
using bucket_set = std::uint64_t;
static_assert(bucket_count == 64, "bucket_set holds one bit for each bucket");

constexpr bool contains(bucket_set set, bucket_id bucket) noexcept
{
    return (set >> bucket & 1U) != 0;
}

constexpr bucket_set single(bucket_id bucket) noexcept
{
    return bucket_set{1} << bucket;
}

/// Matches an answer with the newest request of its kind.
using nonce = std::uint64_t;

/// 128-bit keyed digest of an order identity or of a request.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const digest&) const = default;
};

/// A value or a numbered error (see result_codes.hpp).
template <class Value>
using result = boost::system::result<Value, std::error_code>;

} // namespace medlarbarrow::core
