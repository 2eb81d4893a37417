/// Discrete-event simulation of callers, instances and servers under load. The
/// decisions are made by the production code (core::placement and
/// core::request_flow); arrivals, links, slots, queues and faults are
/// simulated. The same experiment gives the same report on every run.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarbarrow::bench
{

/// Which instance decides where a request of a service runs.
enum class placement_mode
{
    owner,          ///< one instance for all requests of the service
    every_instance, ///< each instance for its own requests, on all servers
    server_subset,  ///< each instance for its own requests, on some servers
};

enum class fault_kind
{
    hang,  ///< the server accepts requests but never answers them
    fail,  ///< the server answers with an error after a short fixed time
    slow,  ///< the server takes `slowdown` times as long
    stop,  ///< the server refuses connections and loses the requests it runs
    owner, ///< the owner of every service does not respond
};

/// A fault that lasts for some time and affects all services alike.
struct fault
{
    fault_kind kind = fault_kind::hang;
    std::chrono::milliseconds begin{};
    std::chrono::milliseconds end{};
    /// The fault moves on to the next servers after each interval; 0: never.
    std::chrono::milliseconds move_interval{};
    double server_fraction = 0.1;  ///< of the servers of each service
    double request_fraction = 1.0; ///< of the requests at these servers
    double slowdown = 1.0;         ///< factor of the time at slow servers
};

/// One kind of request to a service.
struct work_kind
{
    std::string name;
    double share = 1.0; ///< fraction of the requests of the service
    bool repeatable = false;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    std::chrono::milliseconds median_duration{100};
    /// Standard deviation of the logarithm of the duration.
    double duration_deviation = 0.4;
    std::chrono::milliseconds objective{1000};
    std::chrono::milliseconds deadline{3000};
};

/// Several services with the same parameters.
struct service_kind
{
    std::string name;
    std::uint32_t copies = 1;
    double share = 1.0; ///< fraction of all requests, for all copies together
    std::uint32_t servers = 8;
    std::uint32_t slots = 2; ///< requests that a server runs at the same time
    std::uint32_t queue = 4; ///< requests that may wait at a server
    std::vector<work_kind> work;
};

/// Parameters of one simulation.
struct experiment
{
    std::string name;
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{60000};
    placement_mode placement = placement_mode::owner;
    std::uint32_t instances = 40;
    std::uint32_t data_centres = 3;
    double requests_per_second = 160.0;
    double peak_factor = 1.0; ///< of the rate, in the middle third of the run
    std::chrono::microseconds near_link_delay{300};
    std::chrono::microseconds far_link_delay{1500};
    std::vector<service_kind> services;
    std::vector<fault> faults;
};

/// Outcomes of the requests of one kind. Each request counts once, however
/// often its caller retried it.
struct kind_report
{
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0; ///< answered after the objective, in the deadline
    std::uint64_t refused = 0; ///< refused for good without having run
    std::uint64_t failed = 0;  ///< answered with an error, or outcome unknown
    /// Latencies of the answered requests, sorted.
    std::vector<std::uint32_t> latencies_ms;
};

/// Outcomes of the requests that arrived in one second of the run.
struct second_report
{
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

/// Result of one simulation.
struct load_report
{
    std::vector<kind_report> kinds;
    std::vector<second_report> seconds;
    std::uint64_t sends = 0;          ///< of requests to servers
    std::uint64_t accepted_sends = 0; ///< that a server ran or queued
    std::uint64_t repeated_sends = 0; ///< placements of requests sent before
    std::uint64_t caller_retries = 0; ///< after a refusal with a retry time
    std::uint64_t owner_messages = 0; ///< between instance and owner, both ways
    std::uint64_t ran_twice = 0; ///< non-repeatable requests run more than once
    std::uint64_t max_at_one_server = 0; ///< running and queued together
};

/// Runs the simulation.
load_report run_load(const experiment& experiment);

/// Formats the report as a text table.
std::string format_report(const experiment& experiment,
                          const load_report& report);

/// Draws the outcomes of the requests of each second as an SVG image.
std::string draw_report(const experiment& experiment,
                        const load_report& report);

} // namespace medlarbarrow::bench
