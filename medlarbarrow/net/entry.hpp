/// Accepts callers' connections, has the decision logic place each request and
/// sends it to a backend server. All of it runs on the thread of the
/// io_context.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/body_budget.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/shutdown.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <memory>

namespace medlarbarrow::net
{

/// Upper bounds of the latency buckets. One more bucket counts the latencies
/// above the last bound.
constexpr std::array<std::chrono::milliseconds, 12> latency_bounds{
    std::chrono::milliseconds(1),    std::chrono::milliseconds(2),
    std::chrono::milliseconds(5),    std::chrono::milliseconds(10),
    std::chrono::milliseconds(25),   std::chrono::milliseconds(50),
    std::chrono::milliseconds(100),  std::chrono::milliseconds(250),
    std::chrono::milliseconds(500),  std::chrono::milliseconds(1000),
    std::chrono::milliseconds(2500), std::chrono::milliseconds(5000)};

/// Request latencies counted in the buckets of latency_bounds.
struct latency_histogram
{
    std::array<std::uint64_t, latency_bounds.size() + 1> buckets{};
    std::uint64_t count = 0;
    core::duration sum{};

    void add(core::duration value);
};

/// Counters of an entry since its start. Must be read on the entry's thread.
struct entry_counters
{
    std::uint64_t connections_accepted = 0;
    std::uint64_t connections_open = 0; ///< at present
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t replayed = 0;
    std::uint64_t refused_not_run = 0;
    std::uint64_t refused_outcome_unknown = 0;
    std::uint64_t answers_cut_off = 0; ///< connection reset before its end
    std::uint64_t callers_gone = 0;
    std::map<core::result_code, std::uint64_t> refusals;
    core::body_counters bodies; ///< and connections refused
    latency_histogram latency;  ///< from header read to last byte written
    upstream_counters servers;
};

/// Outcome and times of a finished request, for metrics.
struct request_summary
{
    core::result_code outcome = core::result_code::ok; ///< code of a refusal
    core::duration elapsed{}; ///< from header read to last byte written
    core::duration
        attempt_time{}; ///< time spent in attempts, part of `elapsed`
    unsigned attempts = 0;
};

/// HTTP status of a refusal with this result code.
unsigned status_of(core::result_code code) noexcept;

/// HTTP proxy in front of the backend servers: listens for callers, follows
/// the steps that the node decides for each request and writes the answer or
/// the refusal.
class entry
{
public:
    using send_function = std::function<void(core::outbox&&)>;

    /// `io` and `decisions` must outlive all sessions of the entry, so they
    /// must exist until `io` has stopped. Error: settings_invalid for an
    /// address or certificate that cannot be used.
    static core::result<std::unique_ptr<entry>>
    create(asio::io_context& io,
           const config::settings& settings,
           core::node& decisions,
           send_function send);

    entry(const entry&) = delete;
    entry& operator=(const entry&) = delete;
    ~entry();

    /// Starts listening. Returns the system's error if that fails.
    std::error_code start();

    /// Port that the entry listens on. Port 0 in the settings lets the system
    /// choose one.
    std::uint16_t port() const;

    /// Takes the body limits of the routes and the instance count, which
    /// divides the servers' connections, from the document.
    void apply_document(const core::document& document);

    /// Must be called after the node has received a message or ticked. Waiting
    /// requests then ask the node for their next step again.
    void notify_changed();

    /// Stops accepting, finishes all requests and closes connections as they
    /// become idle. Follows the plan for requests that come too late, that
    /// wait for a server at its end, or that still run then. Calls `drained`
    /// once when all connections are closed, or from the plan's exit on when
    /// all requests have been answered.
    void drain(const core::shutdown_plan& plan, std::function<void()> drained);

    /// Sets a callback that runs on the entry's thread whenever a request has
    /// ended.
    void on_request_end(std::function<void(const request_summary&)> observe);

    entry_counters counters() const;

private:
    struct state;
    explicit entry(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
