/// Runs of servers that have lately become known to leave. Each instance that
/// learns of one passes it on with its gossip for a limited time, so that it
/// reaches the whole fleet without the store.
#pragma once

#include <deque>
#include <medlarbarrow/core/registry.hpp>

namespace medlarbarrow::core
{

/// Upper limit of the bytes that runs take in one message.
constexpr std::size_t max_leaving_bytes = 160;

/// Bytes that a run takes in a message beside its server's name.
constexpr std::size_t leaving_run_overhead = 12;

/// Bounded list of runs to pass on.
class recent_leaving_marks
{
public:
    /// Adds a run. A run whose name does not fit a message is left out.
    void add(leaving_run run, time_point now);

    /// The runs for the next message. Those left out of it come first in the
    /// message after it.
    std::vector<leaving_run> take(time_point now);

private:
    struct item
    {
        leaving_run run;
        time_point added_at{};
    };

    std::deque<item> items;
};

} // namespace medlarbarrow::core
