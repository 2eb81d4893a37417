/// A model of callers, instances and servers under load, in fake time. The
/// decisions are the product's own (core::placement, core::request_flow); all
/// around them is modelled: arrivals, links, slots, queues and troubles. The
/// same experiment gives the same report on every run.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarbarrow::bench
{

/// Which instance decides where a request of a service runs.
enum class placing
{
    owner, ///< one instance for the whole service
    own,   ///< each instance for its own requests, among all servers
    share, ///< each instance for its own requests, among its share of servers
};

enum class trouble_kind
{
    hang,  ///< the server takes requests and never answers
    fail,  ///< the server answers with an error at once
    slow,  ///< the server takes `factor` times as long
    stop,  ///< the server takes no connection and loses what it runs
    owner, ///< the placing instance of every service falls silent
};

/// Something that goes wrong for a while, in every service alike. A trouble
/// that `moves` passes to the next servers after each such time.
struct trouble
{
    trouble_kind kind = trouble_kind::hang;
    std::chrono::milliseconds from{};
    std::chrono::milliseconds until{};
    std::chrono::milliseconds moves{}; ///< 0: it stays
    double servers = 0.1;              ///< share of each service's servers
    double share = 1.0;                ///< of the requests at these servers
    double factor = 1.0;               ///< of slow servers
};

/// Requests of one kind; `share` of all requests of their service.
struct work_kind
{
    std::string name;
    double share = 1.0;
    bool repeatable = false;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    std::chrono::milliseconds median{100};
    double spread = 0.4; ///< deviation of the logarithm of the duration
    std::chrono::milliseconds objective{1000};
    std::chrono::milliseconds deadline{3000};
};

/// Services of one shape.
struct service_kind
{
    std::string name;
    std::uint32_t copies = 1;
    double share = 1.0; ///< of all requests, for all copies together
    std::uint32_t servers = 8;
    std::uint32_t slots = 2; ///< requests that a server runs at once
    std::uint32_t queue = 4; ///< requests that wait at a server
    std::vector<work_kind> work;
};

struct experiment
{
    std::string name;
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{60000};
    placing decided_by = placing::owner;
    std::uint32_t instances = 40;
    std::uint32_t data_centres = 3;
    double requests_per_second = 160.0;
    double peak = 1.0; ///< times the rate above, in the middle third
    std::chrono::microseconds near_link{300};
    std::chrono::microseconds far_link{1500};
    std::vector<service_kind> services;
    std::vector<trouble> troubles;
};

/// What became of the requests of one kind, counted once per request however
/// often its caller came back.
struct kind_report
{
    std::string name;
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;    ///< answered within the deadline only
    std::uint64_t refused = 0; ///< the last refusal was final, nothing ran
    std::uint64_t failed = 0;  ///< an error, or the outcome is unknown
    std::vector<std::uint32_t> milliseconds; ///< of the answered, sorted
};

/// One second of the run, by the arrival of the requests.
struct second_report
{
    std::uint64_t requests = 0;
    std::uint64_t in_objective = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
};

struct load_report
{
    std::vector<kind_report> kinds;
    std::vector<second_report> seconds;
    std::uint64_t sends = 0;
    std::uint64_t taken = 0; ///< sends that a server ran or began to run
    std::uint64_t second_sends = 0;
    std::uint64_t returns = 0;        ///< callers that came back when told to
    std::uint64_t owner_messages = 0; ///< between instance and owner, both ways
    std::uint64_t ran_twice = 0;    ///< requests not repeatable that ran twice
    std::uint64_t most_running = 0; ///< at one server at once, its queue too
};

load_report run_load(const experiment& chosen);

/// The report as a table for people.
std::string format_report(const experiment& chosen, const load_report& report);

/// What became of the requests of each second, as an SVG image.
std::string draw_report(const experiment& chosen, const load_report& report);

} // namespace medlarbarrow::bench
