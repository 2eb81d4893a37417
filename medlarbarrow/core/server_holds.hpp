/// Servers that have turned an instance away: each has refused a request and
/// stated for how long it wants nothing more from that instance.
#pragma once

#include <map>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::core
{

/// A longer stated time is cut to this one. It is above any time after which a
/// server that sheds load can expect to have room, and bounds the harm of a
/// wrong value.
constexpr duration max_hold = std::chrono::minutes(10);

/// Hold of a server that an instance was granted and does not know. News of a
/// server reaches all instances in about this time.
constexpr duration unknown_run_hold = std::chrono::milliseconds(500);

/// Parses the seconds of a Retry-After header, which may include fractions. At
/// most max_hold; empty for text that is no number, or is negative or infinite.
std::optional<duration> parse_retry_after(std::string_view text);

/// The servers that one instance must send nothing to, and until when.
class server_holds
{
public:
    /// Records that a run of a server wants nothing for `wait`. The latest end
    /// of several holds counts. The hold of a newer run replaces that of an
    /// older one, but not the other way round.
    void hold(const std::string& server,
              std::uint64_t started,
              duration wait,
              time_point now);

    /// Time until something may be sent to this run of the server; 0: now. A
    /// run newer than the one that was held is free.
    duration remaining(const std::string& server,
                       std::uint64_t started,
                       time_point now) const;

    /// Drops the holds that have ended. True if none is left.
    bool drop_ended(time_point now);

    /// Holds recorded, including some that have ended.
    std::size_t size() const noexcept
    {
        return this->holds.size();
    }

private:
    struct held_run
    {
        std::uint64_t started = 0; ///< Unix milliseconds; 0: unknown
        time_point until{};
    };

    std::map<std::string, held_run> holds;
};

} // namespace medlarbarrow::core
