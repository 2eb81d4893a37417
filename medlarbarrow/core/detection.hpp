/// Detection of failing backend servers from real work: counts at the entry
/// instances, decisions at the service's owner. docs/design.md, section 2.5.
#pragma once

#include <deque>
#include <map>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <optional>
#include <set>
#include <string>
#include <unordered_set>
#include <vector>

namespace medlarbarrow::core
{

/// Time between two reports of one instance about one service.
constexpr duration report_period = std::chrono::milliseconds(500);

/// Lease of an ejection or path cut in a verdict. The entry instance counts
/// it from the send time of its report; the owner from its answer.
constexpr duration ejection_lease = std::chrono::seconds(5);

/// The entry side: counts per server since the last report.
class observation_log
{
public:
    /// `first_nonce` must exceed the nonces of earlier runs of this instance,
    /// for example its incarnation times 2^20.
    explicit observation_log(nonce first_nonce);

    /// Notes the outcome of an attempt. Sheds and abandoned attempts say
    /// nothing about the server's health and are not counted.
    void note(const std::string& service,
              const std::string& server,
              work_outcome outcome,
              duration latency);

    /// Notes a connection that ended without an answer. Repeats of the same
    /// request count once, so that a crashing request does not mark its
    /// servers as bad.
    void note_closed(const std::string& service,
                     const std::string& server,
                     const digest& request);

    /// Reports that are due, one per service with traffic. A service with
    /// blocks in force and traffic within the last lease is reported too, so
    /// that the blocks are renewed. The caller sends each to the owner of
    /// bucket_of(service).
    std::vector<observation_report> due_reports(time_point now);

    /// Blocks of a verdict, worst server first, for server_table::set_blocks.
    /// nullopt when it answers no known report or is older than the newest
    /// one applied.
    std::optional<std::vector<server_block>>
    receive(const service_verdict& verdict, time_point now);

    /// True while an owner says that this instance is cut off from a service.
    bool reporter_cut(time_point now) const;

private:
    struct counts
    {
        std::uint32_t succeeded = 0;
        std::uint32_t failed = 0;
        std::uint32_t timed_out = 0;
        duration latency_sum{};
    };

    struct sent_report
    {
        core::nonce nonce = 0;
        time_point at{};
    };

    struct service_log
    {
        std::map<std::string, counts> servers;
        time_point next_report{};
        time_point last_traffic{};
        time_point blocks_until{};
        time_point cut_until{};
        std::deque<sent_report> sent;
        core::nonce applied = 0;
    };

    core::nonce last_nonce = 0;
    std::map<std::string, service_log> services;
    std::deque<std::uint64_t> closed_order;
    std::unordered_set<std::uint64_t> closed_requests;
};

enum class detection_event_kind
{
    ejected,
    readmitted,    ///< its hold is over
    replaced,      ///< back in service because a worse server needs its place
    kept_by_floor, ///< bad, but stays in service because of the floor
    path_cut,
    reporter_cut,
    service_slow,
};

/// A decision of the owner, for the log.
struct detection_event
{
    detection_event_kind kind = detection_event_kind::ejected;
    std::string service;
    std::string server;   ///< empty for reporter_cut and service_slow
    std::string reporter; ///< for path_cut and reporter_cut
    std::string reason;   ///< plain text with the figures behind the decision
};

/// The owner side for one service. Create it when the majority of the
/// service's bucket begins; destroy it when the majority ends.
class detector
{
public:
    /// Ejects nothing before `majority_since` + one ejection lease.
    detector(std::string service, time_point majority_since);

    /// Takes the service's servers and policy of a document.
    void set_service(const service& next, time_point now);

    /// Counts a report and answers it. nullopt while the owner still waits:
    /// an answer would end ejections of the previous owner.
    std::optional<service_verdict> receive(const std::string& reporter,
                                           const observation_report& report,
                                           time_point now);

    /// Decides; call it at least every 250 ms.
    std::vector<detection_event> tick(time_point now);

    /// Servers that may be out of service anywhere: drained, held or ejected
    /// by an operator, or under an ejection lease that has not ended.
    std::size_t out_of_service(time_point now) const;

    /// Greatest value of out_of_service() that an ejection may reach.
    std::size_t allowed_out() const;

    std::vector<std::string> ejected() const;

private:
    /// Decayed evidence of one reporter about one server.
    struct evidence
    {
        double succeeded = 0.0;
        double failed = 0.0;
        double latency_sum = 0.0; ///< seconds, of the successes
        double streak = 0.0; ///< failures since the last report with a success
        time_point updated{};
        time_point last_success{};
        time_point last_failure{};

        void
        add(const server_observation& seen, time_point now, double age_seconds);

        void decay_to(time_point now, double age_seconds);
        double total() const;
        double failed_fraction() const;
        bool is_enough() const;  ///< for a statement about the server
        bool only_fails() const; ///< hardly any success
        bool fails() const;      ///< at least half of enough attempts
    };

    struct server_record
    {
        operator_command command = operator_command::none;
        bool ejected = false;
        double badness = 0.0; ///< when it was ejected, 0 to 1
        time_point hold_ends{};
        duration hold{}; ///< of the newest ejection
        time_point released_at{};
        time_point leased_until{}; ///< end of the last lease handed out
        time_point kept_logged_until{};
    };

    struct cut
    {
        time_point until{};
        duration hold{};
        std::string via;
    };

    struct reporter_record
    {
        std::map<std::string, evidence> servers;
        std::map<std::string, cut> cuts;
        std::size_t seen_servers = 0; ///< at the last tick
        std::size_t failing_servers = 0;
        double only_failures = 0.0; ///< on servers that only fail for it
        time_point heard{};
        time_point cut_until{};
        core::nonce newest = 0;
    };

    /// Evidence of all reporters that count, about one server.
    struct pooled
    {
        double succeeded = 0.0;
        double failed = 0.0;
        double all_failed = 0.0; ///< also of reporters that are not credible
        double latency_sum = 0.0;
        time_point last_success{};
        std::size_t reporters = 0;
        std::size_t failing_reporters = 0;

        double failed_fraction() const;
        double all_failed_fraction() const;
        bool is_well() const;
    };

    struct suspect
    {
        std::string server;
        double badness = 0.0;
        std::string reason;
    };

    using events = std::vector<detection_event>;

    void add(events& out,
             detection_event_kind kind,
             const std::string& server,
             const std::string& reporter,
             std::string reason) const;
    service_verdict
    answer(const reporter_record& to, core::nonce answered, time_point now);
    double evidence_threshold() const;
    static bool is_cut(const reporter_record& from,
                       const std::string& server,
                       time_point now);
    static bool others_are_well(const reporter_record& from,
                                const evidence& about);
    static void count(pooled& sum,
                      const reporter_record& from,
                      const std::string& server,
                      time_point now);
    pooled pool(const std::string& server,
                bool without_cut_like,
                time_point now) const;
    bool is_cut_like(const reporter_record& from,
                     const std::string& server) const;
    void update_needed_streak(time_point now);
    std::set<std::string> find_well_servers(time_point now) const;
    std::size_t slow_reporters(const std::string& server,
                               double typical_latency,
                               time_point now) const;
    std::string best_reporter(const std::string& server, time_point now) const;
    void forget_evidence(const std::string& server);
    void age_evidence(time_point now);
    void find_reporter_cuts(const std::set<std::string>& well,
                            time_point now,
                            events& out);
    void find_path_cuts(const std::set<std::string>& well,
                        time_point now,
                        events& out);
    void cut_path(const std::string& reporter,
                  reporter_record& from,
                  const std::string& server,
                  time_point now,
                  events& out);
    std::vector<suspect> find_suspects(const std::set<std::string>& well,
                                       time_point now,
                                       events& out);
    void note_service_slow(std::string reason, time_point now, events& out);
    struct typical_server
    {
        double failures = 0.0; ///< fraction
        double latency = 0.0;  ///< seconds; 0: not comparable
    };

    typical_server find_typical(const std::map<std::string, pooled>& seen,
                                time_point now) const;
    void follow_traffic(const std::map<std::string, pooled>& seen);
    std::optional<suspect> judge(const std::string& server,
                                 const pooled& seen,
                                 const typical_server& typical,
                                 time_point now) const;
    std::optional<suspect> judge_latency(const std::string& server,
                                         const pooled& seen,
                                         double typical_latency,
                                         time_point now) const;
    void end_holds(time_point now, events& out);
    void
    release(server_record& record, const std::string& server, time_point now);
    void keep_floor(time_point now, events& out);
    void eject(const suspect& bad, time_point now, events& out);
    void place(const suspect& bad, time_point now, events& out);
    std::string least_bad_ejected() const;
    std::size_t ordered_out() const;
    std::size_t ejected_count() const;
    std::string floor_text(time_point now) const;

    std::string name;
    time_point ejects_from{};
    service_policy policy;
    std::map<std::string, server_record> servers;
    std::map<std::string, reporter_record> reporters;
    time_point slow_until{};
    evidence service_now; ///< all servers and reporters, of the last moments
    std::size_t reserved = 0;   ///< places of suspects that wait for leases
    double needed_streak = 3.0; ///< of failures, for a path cut
    double age_seconds = 2.0;   ///< of the evidence
};

} // namespace medlarbarrow::core
