/// The metrics of one instance, in Prometheus form.
#pragma once

#include <chrono>
#include <cstdint>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace medlarbarrow::net
{

/// Greatest number of label values of one family. Values beyond it are counted
/// as `other`, so that a scrape stays bounded.
constexpr std::size_t max_label_values = 64;

enum class peer_direction
{
    sent,
    received
};

/// How an automatic ejection went.
enum class ejection_event
{
    ejected,
    kept_by_floor, ///< stayed in service because of healthy_floor
    ended
};

/// Counts what the instance does. Every member may be called from any thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// A request has ended; `elapsed` runs from its header to the end of the
    /// answer, `added` is the part of it that no backend server took.
    void request_ended(core::result_code outcome,
                       core::duration elapsed,
                       core::duration added);

    /// A request was refused because of a limit.
    void limit_refused(core::result_code reason);

    void ejection(ejection_event event);
    void retries(unsigned count);

    /// Messages between instances; `type` is the name of their structure.
    void peer_messages(peer_direction direction,
                       std::string_view type,
                       std::uint64_t messages,
                       std::uint64_t bytes);

    void log_lines_dropped(std::uint64_t lines);

    /// Sets the gauges: versions, readiness, instances, requests.
    void set_view(const core::node_view& view);

    /// All families in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
