/// Port to the service that publishes the document and the servers.
#pragma once

#include <cstdint>
#include <functional>

namespace medlarbarrow::net
{

struct source_counters
{
    std::uint64_t calls = 0;
    std::uint64_t failed_calls = 0;
    std::uint64_t listings = 0;
};

/// Keeps a `published` up to date, on the thread that runs the io_context.
class source
{
public:
    source() = default;
    source(const source&) = delete;
    source& operator=(const source&) = delete;
    virtual ~source() = default;

    virtual void start() = 0;

    /// Whether this instance is to read the source; it does from the start.
    virtual void set_reading_enabled(bool wanted) = 0;

    /// Called after each answer of the source that confirms what is known.
    virtual void on_confirmed(std::function<void()> confirmed) = 0;

    /// Another instance has had an answer of the source: a failure here is not
    /// an outage of the source.
    virtual void confirmed_by_peer() = 0;

    /// Ends all reads.
    virtual void close() = 0;

    virtual bool is_reachable() const = 0;
    virtual source_counters counters() const = 0;
};

} // namespace medlarbarrow::net
