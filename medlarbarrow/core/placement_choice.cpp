#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/placement_common.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::seconds;

/// Terms of a server's cost, in units of the load of a full server.
constexpr double remote_data_centre_cost = 0.35;
constexpr double open_connection_gain = 0.15;
constexpr double suspicion_cost = 0.4; ///< per unit of suspicion
constexpr double max_random_cost = 0.05;
/// Added while a server runs a request that takes longer than its kind of work
/// usually does: the server may have begun to hang.
constexpr double slow_request_cost = 0.6;

/// A server without a success for `stale_success_age` costs more for requests
/// that may be sent only once. It costs less for repeatable requests, whose
/// success shows that the server works. Both effects grow linearly up to that
/// age.
constexpr double stale_success_cost = 0.3;
constexpr double stale_success_gain = 0.1;
constexpr real_seconds stale_success_age{2.0};

/// Time since an instance's last send to a server in which its idle connection
/// counts as open.
constexpr seconds open_connection_age{8};

/// Places beyond its slots that a server has for requests that have waited
/// long.
constexpr std::uint32_t long_wait_extra_slots = 1;

} // namespace

// The server of lowest cost gets the request. The cost rises with the server's
// load, distance and suspicion and with a slow running request.
double placement::cost_of(const server_state& server,
                          const place_request& request,
                          double slowness,
                          time_point now) const
{
    double cost =
        static_cast<double>(server.running) / this->capacity_of(server, now);
    if (server.announced.server.data_centre != request.data_centre)
    {
        cost += remote_data_centre_cost;
    }
    cost += suspicion_cost * server.suspicion;
    cost += server.suspected ? max_suspicion : 0.0;
    cost += slow_request_cost * slowness;
    const auto last_send =
        server.last_send_by_instance.find(request.grant.instance);
    if (last_send != server.last_send_by_instance.end() &&
        now - last_send->second < open_connection_age)
    {
        cost -= open_connection_gain;
    }
    const double staleness = std::min(
        in_seconds(now - server.last_success) / stale_success_age.count(), 1.0);
    cost += request.repeatable ? -stale_success_gain * staleness
                               : stale_success_cost * staleness;
    return cost;
}

// Suspicion up to which suspected servers are eligible, so that the floor share
// of all servers is: the least suspected ones stay in use. 0 if enough servers
// are trusted.
double placement::eligible_suspicion() const
{
    std::vector<double> suspicions;
    for (const auto& [name, server] : this->servers)
    {
        if (server.suspected)
        {
            suspicions.push_back(server.suspicion);
        }
    }
    const auto needed = static_cast<std::size_t>(std::ceil(
        this->floor_share * static_cast<double>(this->servers.size())));
    const std::size_t trusted = this->servers.size() - suspicions.size();
    if (trusted >= needed)
    {
        return 0.0;
    }
    const auto last =
        suspicions.begin() + static_cast<std::ptrdiff_t>(needed - trusted) - 1;
    std::nth_element(suspicions.begin(), last, suspicions.end());
    return *last;
}

bool placement::is_eligible(const server_state& server,
                            const overview& servers_now,
                            bool waited_long) const
{
    return !server.suspected || waited_long ||
           server.suspicion <= servers_now.eligible_suspicion;
}

// Requests that the server may run at once. A request that has waited long also
// takes a place beyond the slots of a trusted server.
std::uint32_t placement::request_limit(const server_state& server,
                                       bool waited_long,
                                       time_point now) const
{
    return this->capacity_of(server, now) +
           (waited_long && !server.suspected ? long_wait_extra_slots : 0);
}

void placement::count_free_places(overview& servers_now, time_point now) const
{
    servers_now.free_places = 0;
    servers_now.free_places_after_long_wait = 0;
    for (const auto& [name, server] : this->servers)
    {
        for (const bool waited_long : {false, true})
        {
            const std::uint32_t limit =
                this->request_limit(server, waited_long, now);
            if (server.running < limit &&
                this->is_eligible(server, servers_now, waited_long))
            {
                (waited_long ? servers_now.free_places_after_long_wait
                             : servers_now.free_places) +=
                    limit - server.running;
            }
        }
    }
}

placement::overview placement::make_overview(time_point now)
{
    for (auto& [name, server] : this->servers)
    {
        this->decay_suspicion(server, now);
    }
    overview servers_now;
    servers_now.eligible_suspicion = this->eligible_suspicion();
    servers_now.has_repeatable_work =
        this->count_recent(now).repeatable_requests > 0;
    servers_now.slowness = this->slowness_by_server(now);
    this->count_free_places(servers_now, now);
    return servers_now;
}

// Whether the server must not be chosen for this request: the request excludes
// it, it has turned the request's instance away, or it waits for the bodies of
// too many other requests.
bool placement::is_excluded_for(const server_state& server,
                                const place_request& request,
                                time_point now) const
{
    const std::string& name = server.announced.server.name;
    const auto held = this->holds.find(request.grant.instance);
    if (request.body_arriving &&
        server.arriving_bodies >= caller_slots(this->capacity_of(server, now)))
    {
        return true;
    }
    return contains_name(request.excluded_servers, name) ||
           (held != this->holds.end() &&
            held->second.remaining(name, server.announced.started, now) >
                duration(0));
}

// Returns the server of lowest cost that has a free slot, or nullptr. A request
// that has waited long also takes a suspected server, or a place beyond the
// slots of a trusted one. A small random cost spreads requests over servers
// that are otherwise equal.
placement::server_state* placement::choose_server(const place_request& request,
                                                  bool waited_long,
                                                  const overview& servers_now,
                                                  time_point now)
{
    const std::uint32_t free_places =
        waited_long ? servers_now.free_places_after_long_wait
                    : servers_now.free_places;
    if (free_places == 0)
    {
        return nullptr;
    }
    std::uniform_real_distribution<double> noise(0.0, max_random_cost);
    server_state* best = nullptr;
    double lowest_cost = 0.0;
    for (auto& [name, server] : this->servers)
    {
        if (server.running >= this->request_limit(server, waited_long, now) ||
            !this->is_eligible(server, servers_now, waited_long) ||
            this->is_excluded_for(server, request, now))
        {
            continue;
        }
        const auto slow = servers_now.slowness.find(name);
        const double cost =
            this->cost_of(
                server, request,
                slow == servers_now.slowness.end() ? 0.0 : slow->second, now) +
            noise(this->random);
        if (best == nullptr || cost < lowest_cost)
        {
            best = &server;
            lowest_cost = cost;
        }
    }
    return best;
}

} // namespace medlarbarrow::core
