/// Prometheus metrics of one instance.
#pragma once

#include <chrono>
#include <cstdint>
#include <medlarbarrow/core/body_budget.hpp>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace medlarbarrow::net
{

/// Maximum number of label values of one family. Further values are counted as
/// `other`, so that the size of a scrape is bounded.
constexpr std::size_t max_label_values = 64;

/// Direction of a message between this instance and a peer.
enum class peer_direction
{
    sent,
    received
};

/// Event of an automatic ejection.
enum class ejection_event
{
    ejected,
    kept_by_floor, ///< not ejected because of healthy_floor
    ended
};

/// Counters and gauges of the instance. All members may be called from any
/// thread.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics&) = delete;
    metrics& operator=(const metrics&) = delete;

    /// Counts an ended request. `elapsed` is the time from its header to the
    /// end of the response. `added` is the part that was not spent at a backend
    /// server.
    void request_ended(core::result_code outcome,
                       core::duration elapsed,
                       core::duration added);

    /// Counts a request that was refused by a limit.
    void count_limit_refusal(core::result_code reason);

    /// Counts an event of an automatic ejection.
    void ejection(ejection_event event);
    /// Counts attempts after the first attempt of a request.
    void retries(unsigned count);

    /// Counts messages between instances. `type` is the name of the message
    /// type.
    void count_peer_messages(peer_direction direction,
                             std::string_view type,
                             std::uint64_t messages,
                             std::uint64_t bytes);

    /// Sets the total number of log lines dropped since the start. A lower
    /// total than before changes nothing.
    void log_lines_dropped(std::uint64_t total);

    /// Sets the gauges for versions, readiness, instances and requests.
    void set_view(const core::node_view& view);

    /// Returns all families in the Prometheus text format.
    std::string text() const;

private:
    struct state;
    std::unique_ptr<state> self;
};

/// What the budget of callers' connections has refused and ended, in the
/// Prometheus text format.
std::string format_counters(const core::body_counters& counts);

} // namespace medlarbarrow::net
