/// Detects failing backend servers from the outcomes of real requests. Entry
/// instances count the outcomes; the service's owner decides on ejections. See
/// docs/design.md, section 2.5.
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

/// Time between two reports of an instance about the same service.
constexpr duration report_period = std::chrono::milliseconds(500);

/// Longest lease of an ejection or path cut in a verdict. The entry instance
/// counts it from the send time of its report, the owner from its answer.
constexpr duration ejection_lease = std::chrono::seconds(5);

/// Counts the outcomes of attempts per server at an entry instance, reports
/// them to the owners and applies the verdicts.
class observation_log
{
public:
    /// `first_nonce` must exceed the nonces of earlier runs of this instance,
    /// for example its incarnation times 2^20.
    explicit observation_log(nonce first_nonce);

    /// Counts the outcome of an attempt. Shed and abandoned attempts say
    /// nothing about the server's health and are not counted.
    void record_outcome(const std::string& service,
                        const std::string& server,
                        attempt_outcome outcome,
                        duration latency);

    /// Counts a connection that ended without an answer as a failure. Repeats
    /// of the same request count once, so that a request that crashes servers
    /// does not make them look bad.
    void record_closed_connection(const std::string& service,
                                  const std::string& server,
                                  const digest& request);

    /// Returns the reports that are due, one per service with traffic since the
    /// last report. A service with blocks in force and traffic within the last
    /// lease is reported as well, so that the blocks are renewed. Send each
    /// report to the owner of bucket_of(service).
    std::vector<observation_report> due_reports(time_point now);

    /// Returns the blocks of a verdict, worst server first, for
    /// server_table::set_blocks. nullopt if the verdict answers none of the
    /// remembered reports or is not newer than the last one applied.
    std::optional<std::vector<server_block>>
    apply_verdict(const service_verdict& verdict, time_point now);

    /// True while the verdict of some owner says that this instance is cut off
    /// from a service.
    bool is_cut_off(time_point now) const;

private:
    struct outcome_counts
    {
        std::uint32_t succeeded = 0;
        std::uint32_t failed = 0;
        std::uint32_t timed_out = 0;
        duration latency_sum{};
    };

    struct sent_report
    {
        core::nonce nonce = 0;
        time_point sent_at{};
    };

    struct service_observations
    {
        std::map<std::string, outcome_counts> servers; ///< since last report
        time_point next_report_at{};
        time_point last_traffic{};
        time_point blocks_until{};
        time_point cut_off_until{};
        std::deque<sent_report> sent_reports;
        core::nonce newest_verdict = 0; ///< the newest one applied
    };

    core::nonce last_nonce = 0;
    std::map<std::string, service_observations> services;
    std::deque<std::uint64_t> closed_request_queue; ///< oldest first
    std::unordered_set<std::uint64_t> closed_requests;
};

/// Kind of a decision or finding of the owner.
enum class detection_event_kind
{
    ejected,
    readmitted, ///< the hold of its ejection ended
    replaced,   ///< back in service because its place under the floor is needed
    kept_by_floor, ///< bad, but kept in service because of the floor
    path_cut,      ///< the server fails for one reporter only
    reporter_cut,  ///< nearly all servers fail for one reporter only
    service_slow,  ///< too many servers look bad, so none is ejected
};

/// A decision or finding of the owner, for the log.
struct detection_event
{
    detection_event_kind kind = detection_event_kind::ejected;
    std::string service;
    std::string server;   ///< empty for reporter_cut and service_slow
    std::string reporter; ///< for path_cut and reporter_cut
    std::string reason;   ///< plain text with the figures behind the decision
};

/// Decides, at the owner of a service, which servers are ejected and which
/// paths are cut, from the reports of the entry instances. Create it when the
/// majority of the service's bucket begins; destroy it when the majority ends.
class detector
{
public:
    /// Ejects nothing until one ejection lease after `majority_since`:
    /// ejections of the previous owner may be in force until then.
    detector(std::string service, time_point majority_since);

    /// Applies the servers and policy of the service from a document.
    void set_service(const service& description, time_point now);

    /// Adds a report to the evidence and answers it. nullopt for a report that
    /// is not newer than the reporter's last one, and in the first lease after
    /// `majority_since`: an answer would end ejections of the previous owner.
    std::optional<service_verdict>
    handle_report(const std::string& reporter,
                  const observation_report& report,
                  time_point now);

    /// Updates the ejections and cuts, and returns what changed. Call it at
    /// least every 250 ms.
    std::vector<detection_event> tick(time_point now);

    /// Number of servers that may be out of service at some instance: drained,
    /// held or ejected by an operator, ejected by this detector, or under an
    /// ejection lease that has not ended.
    std::size_t out_of_service_count(time_point now) const;

    /// Maximum of out_of_service_count() that an ejection may lead to.
    std::size_t max_out_of_service_count() const;

    /// Names of the servers ejected by this detector.
    std::vector<std::string> ejected_servers() const;

private:
    /// Sums of reported outcomes that decay exponentially with time, usually of
    /// one reporter about one server.
    struct decayed_evidence
    {
        double succeeded = 0.0;
        double failed = 0.0;
        double latency_sum = 0.0; ///< seconds, of the successes

        /// Decayed failures since the last report with a success.
        double failure_streak = 0.0;

        time_point updated_at{};
        time_point last_success{};
        time_point last_failure{};

        void add(const server_observation& observation,
                 time_point now,
                 double age_seconds);

        void decay_to(time_point now, double age_seconds);
        double total() const;
        double failed_fraction() const;

        /// True if there are enough attempts for a statement about the server.
        bool is_sufficient() const;

        /// True if attempts failed and none has succeeded since.
        bool has_failure_streak() const;

        /// True if the evidence is sufficient and at least half of the attempts
        /// or several in a row failed.
        bool is_failing() const;
    };

    struct server_record
    {
        operator_command command = operator_command::none;
        bool ejected = false;
        double severity = 0.0; ///< when it was ejected, 0 to 1
        time_point hold_until{};
        duration hold{}; ///< of the newest ejection
        time_point released_at{};
        time_point leased_until{}; ///< latest end of a granted lease
        time_point kept_log_muted_until{};
    };

    /// A server that one reporter must not use directly.
    struct path_cut
    {
        time_point until{};
        duration hold{};
        std::string via; ///< instance to forward through, or empty
    };

    struct reporter_record
    {
        std::map<std::string, decayed_evidence> servers;
        std::map<std::string, path_cut> path_cuts;
        std::size_t observed_servers = 0; ///< at the last tick
        std::size_t failing_servers = 0;
        double total_failure_streak = 0.0; ///< sum over its servers
        time_point last_report_at{};
        time_point cut_off_until{};
        core::nonce newest_report = 0;
    };

    /// Sums of the evidence about one server over all reporters, except those
    /// that are cut off from it.
    struct pooled_evidence
    {
        double succeeded = 0.0;
        double failed = 0.0;            ///< of credible reporters
        double failed_unfiltered = 0.0; ///< of credible and other reporters
        double latency_sum = 0.0;
        time_point last_success{};
        std::size_t reporters = 0;
        std::size_t failing_reporters = 0;

        double failed_fraction() const;
        double unfiltered_failed_fraction() const;
        bool is_healthy() const;
    };

    struct suspected_server
    {
        std::string server;
        double severity = 0.0; ///< 0 to 1
        std::string reason;
    };

    using event_list = std::vector<detection_event>;

    void add_event(event_list& events,
                   detection_event_kind kind,
                   const std::string& server,
                   const std::string& reporter,
                   std::string reason) const;
    service_verdict make_verdict(const reporter_record& recipient,
                                 core::nonce report_nonce,
                                 time_point now);
    double evidence_threshold() const;
    static bool is_cut(const reporter_record& record,
                       const std::string& server,
                       time_point now);
    static bool is_credible(const reporter_record& record,
                            const decayed_evidence& evidence);
    static void add_to_pool(pooled_evidence& pooled,
                            const reporter_record& record,
                            const std::string& server,
                            time_point now);
    pooled_evidence pool_evidence(const std::string& server,
                                  bool exclude_seemingly_cut,
                                  time_point now) const;
    bool seems_cut(const reporter_record& record,
                   const std::string& server) const;
    void update_path_cut_streak(time_point now);
    std::set<std::string> find_healthy_servers(time_point now) const;
    std::size_t count_slow_reporters(const std::string& server,
                                     double typical_latency,
                                     time_point now) const;
    std::string most_successful_reporter(const std::string& server,
                                         time_point now) const;
    void forget_evidence(const std::string& server);
    void age_evidence(time_point now);
    void find_reporter_cuts(const std::set<std::string>& healthy,
                            time_point now,
                            event_list& events);
    void find_path_cuts(const std::set<std::string>& healthy,
                        time_point now,
                        event_list& events);
    void cut_path(const std::string& reporter,
                  reporter_record& record,
                  const std::string& server,
                  time_point now,
                  event_list& events);
    std::vector<suspected_server>
    find_suspects(const std::set<std::string>& healthy,
                  time_point now,
                  event_list& events);
    void
    add_service_slow(std::string reason, time_point now, event_list& events);

    /// Medians over the servers of the service.
    struct typical_server
    {
        double failure_rate = 0.0;
        double latency = 0.0; ///< seconds; 0: not comparable
    };

    typical_server find_typical_server(
        const std::map<std::string, pooled_evidence>& pooled_by_server,
        time_point now) const;
    void adapt_evidence_age(
        const std::map<std::string, pooled_evidence>& pooled_by_server);
    std::optional<suspected_server> assess_server(const std::string& server,
                                                  const pooled_evidence& pooled,
                                                  const typical_server& typical,
                                                  time_point now) const;
    std::optional<suspected_server>
    assess_latency(const std::string& server,
                   const pooled_evidence& pooled,
                   double typical_latency,
                   time_point now) const;
    void end_holds(time_point now, event_list& events);
    void
    release(server_record& record, const std::string& server, time_point now);
    void enforce_floor(time_point now, event_list& events);
    void
    eject(const suspected_server& suspect, time_point now, event_list& events);
    void eject_within_floor(const suspected_server& suspect,
                            time_point now,
                            event_list& events);
    std::string least_severe_ejected() const;
    std::size_t commanded_out_count() const;
    std::size_t ejected_count() const;
    std::string describe_floor(time_point now) const;

    std::string name;
    time_point first_ejection_at{};
    service_policy policy;
    std::map<std::string, server_record> servers;
    std::map<std::string, reporter_record> reporters;
    time_point slow_log_muted_until{};

    /// Short-lived evidence about all servers, of all reporters.
    decayed_evidence recent_service_evidence;

    /// Places kept free for suspects that wait for leases to end.
    std::size_t reserved_places = 0;

    double path_cut_streak = 3.0; ///< failures in a row for a path cut
    double evidence_age_seconds = 2.0;
};

} // namespace medlarbarrow::core
