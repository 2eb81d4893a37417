/// Clocks, identifiers and small value types used by every module.
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

/// Monotonic clock that also counts while the machine is suspended, so that a
/// lease does not last longer because of a suspend. The decision logic never
/// calls now(); its callers pass the time in.
struct boot_clock
{
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock, duration>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept
    {
        ::timespec boot_time{};
        ::clock_gettime(CLOCK_BOOTTIME, &boot_time);
        return time_point(std::chrono::duration_cast<duration>(
            std::chrono::seconds(boot_time.tv_sec) +
            std::chrono::nanoseconds(boot_time.tv_nsec)));
    }
};

using duration = boot_clock::duration;
using time_point = boot_clock::time_point;

/// Wall-clock time. Used only where timestamps from callers' clocks matter
/// (order identities).
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

/// Monotonic and wall-clock time, read together by the code that calls the
/// decision logic.
struct instant
{
    time_point monotonic{};
    wall_time wall{};
};

/// Identifies one run of an instance. The incarnation is the wall-clock time at
/// process start in milliseconds, so it increases with each restart.
struct instance_id
{
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const instance_id&) const = default;
};

/// Number of buckets that keys are hashed into. Each bucket has its own owner.
constexpr std::uint32_t bucket_count = 64;
using bucket_id = std::uint32_t;

/// Bit mask with one bit for each bucket.
using bucket_set = std::uint64_t;
static_assert(bucket_count == 64, "bucket_set holds one bit for each bucket");

constexpr bool contains(bucket_set set, bucket_id bucket) noexcept
{
    return (set >> bucket & 1U) != 0;
}

/// The set that holds only `bucket`.
constexpr bucket_set single_bucket(bucket_id bucket) noexcept
{
    return bucket_set{1} << bucket;
}

/// Number that an answer copies from its request. The requester matches it with
/// its latest request of that kind.
using nonce = std::uint64_t;

/// 128-bit keyed digest that identifies an order or a request.
struct digest
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const digest&) const = default;
};

/// A value or an error code (see result_codes.hpp).
template <class Value>
using result = boost::system::result<Value, std::error_code>;

} // namespace medlarbarrow::core
