/// Load balancing at one instance: chooses a backend server from the instance's
/// own in-flight counts, the latencies and errors of its requests, and the
/// verdicts of the service's owner. See docs/design.md, sections 2.5 and 3.
#pragma once

#include <map>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// Minimum size of the subset of a service's servers that an instance uses.
constexpr std::size_t min_subset_size = 8;

/// Time in which a new, readmitted or restarted server reaches its full weight.
constexpr duration slow_start_period = std::chrono::seconds(10);

/// Maximum number of a service's servers that may be out of service at the same
/// time. The floor is rounded up to whole servers.
std::size_t max_out_of_service(std::size_t servers, double floor);

/// True unless the operator command keeps the server out of service.
bool takes_new_work(operator_command command);

/// A server that an instance must not use directly, from a service_verdict.
struct server_block
{
    std::string server;
    server_state state = server_state::ejected; ///< ejected or path_cut
    time_point until{};
    std::string via; ///< for path_cut: a peer that reaches the server, or empty
};

/// Outcome of an attempt, as far as it says something about the server.
enum class attempt_outcome
{
    succeeded,
    failed, ///< error, reset or refused connection
    timed_out,
    shed,      ///< refused without running the request: busy, not faulty
    abandoned, ///< the caller is gone or the outcome says nothing
};

/// Outcome of an attempt that reached its deadline after the time `allowed`. If
/// the request left the queue so late that a healthy server could not be
/// expected to answer in time, its timeout says nothing about the server
/// (abandoned).
attempt_outcome classify_timeout(duration allowed, duration typical_latency);

/// A chosen server. `via` names the peer to forward through; empty if the
/// server is used directly.
struct server_choice
{
    backend_server server;
    std::string via;
};

/// The servers of every service with the state and statistics that one instance
/// has about them; chooses the server of an attempt.
class server_table
{
public:
    /// `instance` decides the subset; `data_centre` and `region` decide the
    /// distance to each server.
    server_table(std::string instance,
                 std::string data_centre,
                 std::string region);

    /// Applies the servers of a document. Statistics of the servers that remain
    /// (same service, name, address and port) are kept. A server with an
    /// operator command other than none and readmit gets no new work from then
    /// on.
    void apply(const document& document, time_point now);

    /// Sets the number of instances that share the servers, on which the subset
    /// size depends.
    void set_instance_count(std::size_t instances);

    /// Replaces the blocks of a service with those of the newest verdict, worst
    /// server first. Ejections that would violate the floor, given the document
    /// in force at this instance, are dropped from the end.
    void set_blocks(const std::string& service,
                    std::vector<server_block> blocks,
                    time_point now);

    /// Chooses a server for a new attempt, other than those in `excluded`.
    /// nullopt if no server may be used directly. Does not count the attempt as
    /// in flight.
    std::optional<server_choice>
    choose(const std::string& service,
           const std::vector<std::string>& excluded,
           std::mt19937_64& random,
           time_point now);

    /// Chooses a server that this instance cannot reach but a peer can. Used
    /// when choose() returns nullopt.
    std::optional<server_choice>
    choose_forwarded(const std::string& service,
                     const std::vector<std::string>& excluded,
                     std::mt19937_64& random,
                     time_point now);

    /// Counts an attempt as in flight.
    void attempt_started(const std::string& service, const std::string& server);

    /// Ends an attempt in flight and adds its outcome to the statistics.
    void attempt_finished(const std::string& service,
                          const std::string& server,
                          attempt_outcome outcome,
                          duration latency,
                          time_point now);

    /// True if some server with slots may be used directly.
    bool usable(const std::string& service, time_point now) const;

    /// Average latency of the service; zero before the first success.
    duration typical_latency(const std::string& service) const;

    /// Sum of the slots of the servers that may be used directly.
    std::uint32_t usable_slots(const std::string& service,
                               time_point now) const;

    /// Returns the servers for status pages, with the states of server_view.
    std::vector<server_view> view(time_point now) const;

private:
    struct server_entry
    {
        backend_server server;
        std::uint64_t rank = 0; ///< rendezvous hash of (instance, server)
        unsigned distance = 0;  ///< 0 same data centre, 1 same region, 2 other
        std::uint32_t in_flight = 0;
        /// Exponential moving averages: the latency in seconds (0: unknown),
        /// and the fractions of failed and of shed attempts.
        double mean_latency = 0.0;
        double error_rate = 0.0;
        double shed_rate = 0.0;
        time_point updated_at{};
        std::uint32_t consecutive_failures = 0;
        std::optional<time_point> slow_start_since;
    };

    /// The servers of one service.
    struct server_pool
    {
        service_policy policy;
        std::vector<server_entry> servers; ///< highest rank first
        std::vector<server_block> blocks;
        double mean_latency = 0.0; ///< seconds, average over all servers
    };

    server_pool* find_pool(const std::string& service);
    const server_pool* find_pool(const std::string& service) const;
    server_entry* find_server(const std::string& service,
                              const std::string& server);
    server_entry carry_over(const server_pool* previous_pool,
                            server_pool& pool,
                            const backend_server& server,
                            time_point now) const;
    static void begin_slow_start(server_entry& entry, time_point now);
    static void begin_slow_start_of(server_pool& pool,
                                    const std::string& server,
                                    time_point now);
    static void remove_expired_blocks(server_pool& pool, time_point now);
    void enforce_floor(server_pool& pool) const;
    void update_statistics(server_pool& pool,
                           server_entry& entry,
                           attempt_outcome outcome,
                           duration latency,
                           time_point now);
    static const server_block* find_block(const server_pool& pool,
                                          const std::string& server,
                                          time_point now);
    static bool is_usable(const server_pool& pool,
                          const server_entry& entry,
                          time_point now);
    static const char* state_name(const server_pool& pool,
                                  const server_entry& entry,
                                  time_point now);
    std::size_t subset_size(const server_pool& pool) const;
    std::vector<const server_entry*>
    select_candidates(const server_pool& pool,
                      const std::vector<std::string>& excluded,
                      time_point now) const;
    static double estimate_latency(const server_pool& pool,
                                   const server_entry& entry,
                                   time_point now);
    static double expected_cost(const server_pool& pool,
                                const server_entry& entry,
                                time_point now);
    static const server_entry*
    draw_server(const std::vector<const server_entry*>& group,
                std::mt19937_64& random,
                time_point now);
    static const server_entry*
    better_of_two(const server_pool& pool,
                  const std::vector<const server_entry*>& group,
                  std::mt19937_64& random,
                  time_point now);

    std::string instance;
    std::string data_centre;
    std::string region;
    std::size_t instances = 1;
    bool has_document = false;
    std::map<std::string, server_pool> pools;
};

} // namespace medlarbarrow::core
