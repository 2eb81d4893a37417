/// Interface to the external service that publishes the configuration document
/// and the servers.
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

/// Keeps a `published` up to date. All calls and callbacks run on the thread
/// that runs the io_context.
class source
{
public:
    source() = default;
    source(const source&) = delete;
    source& operator=(const source&) = delete;
    virtual ~source() = default;

    /// Starts to read the source.
    virtual void start() = 0;

    /// Enables or disables reading of the source. It is enabled at the start.
    virtual void set_reading_enabled(bool enabled) = 0;

    /// Sets a function that is called after each answer of the source that
    /// confirms the published state of this instance.
    virtual void set_confirmation_handler(std::function<void()> callback) = 0;

    /// Records that another instance has had an answer from the source, so that
    /// a failure of this instance's reads is not an outage of the source.
    virtual void record_peer_confirmation() = 0;

    /// Ends all reads.
    virtual void close() = 0;

    virtual bool is_reachable() const = 0;
    virtual source_counters counters() const = 0;
};

} // namespace medlarbarrow::net
