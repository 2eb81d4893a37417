/// The configuration document after validation. config/document.hpp parses it;
/// the decision logic uses only the types below.
#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// A data centre and its region.
struct data_centre
{
    std::string name;
    std::string region;
};

/// Command that an operator has given for a backend server.
enum class operator_command
{
    none,
    drain,   ///< finish running requests, get no new ones
    eject,   ///< get no new requests from now on
    hold,    ///< stay ejected until readmitted
    readmit, ///< return to service now; ends an automatic ejection
};

struct backend_server
{
    std::string name; ///< unique within its service
    std::string address;
    std::uint16_t port = 0;
    std::string data_centre;
    std::uint32_t slots = 1;       ///< requests it can run at the same time
    std::uint32_t connections = 1; ///< accepted from all instances together
    operator_command command = operator_command::none;
};

/// Weights of the detection goals; a larger value gives a goal more weight. The
/// users differ: Lưới Xanh favours fairness and few refusals, Reefwater favours
/// fast detection.
struct service_policy
{
    double detection_weight = 1.0;
    double false_ejection_weight = 1.0;
    double healthy_floor = 0.5; ///< fraction of servers kept in service
};

struct service
{
    std::string name;
    service_policy policy;
    std::vector<backend_server> servers;
};

enum class route_access
{
    open,
    keyed
};

enum class route_priority
{
    low,
    normal,
    high
};

/// A service and its weight in the split of a route's traffic.
struct weighted_service
{
    std::string service;
    std::uint32_t weight = 1;
};

struct route
{
    std::string name;
    std::string host; ///< empty matches every host
    std::string path_prefix;
    std::vector<std::string> methods; ///< empty matches every method
    std::string service;
    route_access access = route_access::keyed;
    bool repeatable = true;
    route_priority priority = route_priority::normal;
    std::chrono::milliseconds deadline{5000};
    std::uint64_t max_body_bytes = 64ULL << 20U;
    std::vector<std::string> accounts; ///< empty: every client account
    /// Target latency: an answer is worth most within it; zero: the deadline.
    std::chrono::milliseconds latency_objective{0};
    std::uint32_t max_attempts = 2; ///< servers a request may be sent to
    std::uint32_t rank = 0;         ///< priority, 0 is the most urgent
    /// Services that the requests are split between by weight; empty: all go to
    /// `service`.
    std::vector<weighted_service> split;
};

/// Limits that the document sets for callers of all routes.
struct caller_limits
{
    std::uint32_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 64ULL << 20U;
    std::chrono::milliseconds header_timeout{10000};
    std::chrono::milliseconds idle_timeout{60000};
};

using key_digest = std::array<std::uint8_t, 32>; ///< SHA-256 of a key

struct account_key
{
    key_digest digest{};
    bool withdrawn = false;
};

struct client_account
{
    std::string name;
    double rate_per_second = 0.0; ///< requests per second, fleet-wide
    double burst = 0.0;           ///< requests, fleet-wide
    std::vector<account_key> keys;
    /// Priority of its requests, which replaces the rank of the route.
    std::optional<std::uint32_t> rank{};
};

struct fleet_policy
{
    /// Maximum number of instances that run at the same time, including
    /// replaced instances that have not stopped yet. Limits may be exceeded and
    /// orders may run twice if more run.
    std::uint32_t max_instances = 48;
    std::chrono::milliseconds clock_skew{2000};
    std::chrono::milliseconds order_window{600000};
    double retry_fraction = 0.1; ///< retries per first attempt, fleet-wide
};

struct document
{
    std::uint64_t version = 0;
    fleet_policy fleet;
    std::vector<data_centre> data_centres;
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<client_account> accounts;
    std::optional<caller_limits> limits; ///< absent: limits of the settings
};

/// One entry of the platform's list of instances.
struct listed_instance
{
    std::string name;
    std::string address;
    std::uint16_t peer_port = 0;
    std::string data_centre;
    std::string region;
    bool leaving = false;
};

struct instance_list
{
    std::uint64_t version = 0;
    std::vector<listed_instance> instances;
};

} // namespace medlarbarrow::core
