/// Choice of a backend server by one instance, from its own in-flight counts,
/// latencies and errors of real work, and from the verdicts of the service's
/// owner. docs/design.md, sections 2.5 and 3.
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

/// Smallest subset of a service's servers that an instance uses.
constexpr std::size_t minimum_subset = 8;

/// Time over which a readmitted or restarted server returns to full weight.
constexpr duration slow_start_period = std::chrono::seconds(10);

/// Servers of a service that may be out of service in all: the floor is
/// rounded up to whole servers.
std::size_t max_out_of_service(std::size_t servers, double floor);

/// True unless an operator has ordered the server out of service.
bool takes_new_work(operator_command command);

/// A server that an instance must not use directly, from a service_verdict.
struct server_block
{
    std::string server;
    server_state state = server_state::ejected; ///< ejected or path_cut
    time_point until{};
    std::string via; ///< for path_cut: a peer that reaches it, or empty
};

/// How an attempt went, as far as it says something about the server.
enum class work_outcome
{
    succeeded,
    failed, ///< error, reset or refused connection
    timed_out,
    shed,      ///< refused without running it: busy, not faulty
    abandoned, ///< the caller went away or the outcome says nothing
};

/// Outcome of an attempt that ended at its deadline after `allowed`. A request
/// that left the queue late had no fair chance: its timeout says nothing about
/// the server (abandoned).
work_outcome outcome_of_timeout(duration allowed, duration typical_latency);

/// A chosen server; `via` names the peer to forward through.
struct server_choice
{
    backend_server server;
    std::string via;
};

/// The servers of every service as one instance sees them.
class server_table
{
public:
    /// `instance` and its place decide the subset and the distance.
    server_table(std::string instance,
                 std::string data_centre,
                 std::string region);

    /// Takes the servers of a document; statistics of the servers that remain
    /// (same service, name, address and port) are kept. A server with an order
    /// other than none and readmit gets no new work from here on.
    void apply(const document& next, time_point now);

    /// Number of instances that share the servers; sizes the subsets.
    void set_instances(std::size_t instances);

    /// Replaces the blocks of a service with those of the newest verdict,
    /// worst server first. Blocks that would break the floor with the document
    /// in force here are dropped from the end.
    void set_blocks(const std::string& service,
                    std::vector<server_block> blocks,
                    time_point now);

    /// A server for a new attempt, without those in `excluded`. nullopt when
    /// no server may be used directly. Does not count it as in flight.
    std::optional<server_choice>
    choose(const std::string& service,
           const std::vector<std::string>& excluded,
           std::mt19937_64& random,
           time_point now);

    /// A server that this instance cannot reach but a peer can; used when
    /// choose() has none.
    std::optional<server_choice>
    choose_forwarded(const std::string& service,
                     const std::vector<std::string>& excluded,
                     std::mt19937_64& random,
                     time_point now);

    /// Counts an attempt as in flight, and its end.
    void started(const std::string& service, const std::string& server);
    void finished(const std::string& service,
                  const std::string& server,
                  work_outcome outcome,
                  duration latency,
                  time_point now);

    /// True while some server of the service may be used.
    bool usable(const std::string& service, time_point now) const;

    /// Typical latency of the service; zero before the first success.
    duration typical_latency(const std::string& service) const;

    /// Slots of the servers that may be used now.
    std::uint32_t usable_slots(const std::string& service,
                               time_point now) const;

    /// For status pages; states as in server_view.
    std::vector<server_view> view(time_point now) const;

private:
    struct server_entry
    {
        backend_server server;
        std::uint64_t rank = 0; ///< rendezvous hash of (instance, server)
        unsigned distance = 0;  ///< 0 same data centre, 1 same region, 2 other
        std::uint32_t in_flight = 0;
        double latency = 0.0; ///< seconds, exponential average; 0: unknown
        double errors = 0.0;  ///< exponential average of 0 and 1
        double shedding = 0.0;
        time_point updated{};
        std::uint32_t consecutive_failures = 0;
        std::optional<time_point> slow_start_from;
    };

    struct service_entry
    {
        service_policy policy;
        std::vector<server_entry> servers; ///< highest rank first
        std::vector<server_block> blocks;
        double latency = 0.0; ///< seconds, over all servers
    };

    service_entry* find(const std::string& service);
    const service_entry* find(const std::string& service) const;
    server_entry* find_server(const std::string& service,
                              const std::string& server);
    server_entry carry_over(const service_entry* old,
                            service_entry& fresh,
                            const backend_server& server,
                            time_point now) const;
    static void restart(server_entry& entry, time_point now);
    static void
    restart_named(service_entry& in, const std::string& server, time_point now);
    static void end_expired_blocks(service_entry& in, time_point now);
    void keep_floor(service_entry& in) const;
    void learn(service_entry& in,
               server_entry& entry,
               work_outcome outcome,
               duration latency,
               time_point now);
    static const server_block* block_of(const service_entry& in,
                                        const std::string& server,
                                        time_point now);
    static bool
    may_use(const service_entry& in, const server_entry& entry, time_point now);
    static const char* state_name(const service_entry& in,
                                  const server_entry& entry,
                                  time_point now);
    std::size_t subset_size(const service_entry& in) const;
    std::vector<const server_entry*>
    candidates(const service_entry& in,
               const std::vector<std::string>& excluded,
               time_point now) const;
    static double current_latency(const service_entry& in,
                                  const server_entry& entry,
                                  time_point now);
    static double
    cost(const service_entry& in, const server_entry& entry, time_point now);
    static const server_entry*
    draw(const std::vector<const server_entry*>& group,
         std::mt19937_64& random,
         time_point now);
    static const server_entry*
    better_of_two(const service_entry& in,
                  const std::vector<const server_entry*>& group,
                  std::mt19937_64& random,
                  time_point now);

    std::string instance;
    std::string data_centre;
    std::string region;
    std::size_t instances = 1;
    bool has_document = false;
    std::map<std::string, service_entry> services;
};

} // namespace medlarbarrow::core
