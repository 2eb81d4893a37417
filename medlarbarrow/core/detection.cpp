#include <algorithm>
#include <cmath>
#include <cstdio>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <utility>

namespace medlarbarrow::core
{

namespace
{

/// Number of sent reports per service that a verdict can still answer.
constexpr std::size_t max_pending_reports = 16;

/// Number of recent requests whose lost connection is remembered as counted.
constexpr std::size_t max_closed_requests = 1024;

/// Evidence loses 63% of its weight in one evidence age. The age adapts to the
/// traffic so that the decayed attempts of the typical server stay near this
/// number. A fixed age does not fit all services: with 2 s, failures of a busy
/// service were detected half a second later than with 1 s; with 1 s, a service
/// with one request a second never gathers enough evidence.
constexpr double target_attempts = 20.0;
constexpr double min_evidence_age_seconds = 1.0;
constexpr double max_evidence_age_seconds = 30.0;

/// Evidence age for the service as a whole.
constexpr double recent_service_age_seconds = 0.5;

/// A failure streak ends with the next success. Its decay matters only for
/// servers that get hardly any work, for example because the reporter avoids
/// them.
constexpr double streak_age_seconds = 30.0;

/// Evidence required for an ejection at equal policy weights, as the logarithm
/// of the likelihood ratio of "bad" to "healthy": about 1 false ejection in
/// e^9 = 8,000.
constexpr double base_evidence_threshold = 9.0;
constexpr double min_evidence_threshold = 4.5;
constexpr double max_evidence_threshold = 27.0;

/// Failure rates assumed by the sequential test: the rate of a healthy server
/// is at least the first value, the rate of a bad one at least the second and
/// at most the third.
constexpr double min_normal_failure_rate = 0.02;
constexpr double min_bad_failure_rate = 0.3;
constexpr double max_failure_rate = 0.9;

/// A server is slow when its mean latency reaches this multiple of the typical
/// latency plus the margin. The margin keeps a few milliseconds of network
/// distance from counting as slow. Fewer successes than the third value are no
/// basis for a statement.
constexpr double slow_ratio = 4.0;
constexpr double slow_margin_seconds = 0.005;
constexpr double min_slow_samples = 3.0;

/// A server's latency enters the median while its last success is younger than
/// this multiple of the evidence age, or than three report periods if those are
/// longer. Latencies are compared only while the typical server's failure rate
/// is below the second value.
constexpr double latency_freshness_ratio = 1.5;
constexpr double max_comparable_failure_rate = 0.1;

/// Latencies are compared once the typical server has this many successes.
/// Without this minimum a healthy server was ejected as slow 0.2 s after a
/// start, when each server had one or two successes.
constexpr double min_comparable_successes = 8.0;

/// A reporter confirms that a server is slow when the mean latency it measured
/// exceeds this multiple of the typical latency.
constexpr double slow_reporter_ratio = 2.0;

/// A reporter confirms failures when its failed fraction and its decayed count
/// of failures reach the first two values. The count is also the minimum for
/// any statement about a server. A failure streak of the third length counts as
/// failing even while older successes keep the fraction low.
constexpr double failing_fraction = 0.2;
constexpr double min_evidence = 0.5;
constexpr double failing_streak = 2.0;

/// A path is cut only if an attempt failed within this time. Streaks left over
/// when a service recovers are no evidence: 70 wrong cuts were measured without
/// this condition.
constexpr duration recent_failure_period = 3 * report_period;

/// A reporter is itself cut off when this fraction of its servers fails for it
/// while most of those servers are healthy for other reporters. The other two
/// values are the minimum of failing servers and of failed attempts.
constexpr double reporter_cut_fraction = 0.8;
constexpr std::size_t min_reporter_cut_servers = 3;
constexpr double min_reporter_cut_failures = 4.0;

/// A path is cut when this many attempts of one reporter fail in a row and
/// nearly all attempts of the other reporters succeed. The number applies to a
/// service whose normal failure rate is at most min_normal_failure_rate. A
/// service that fails more often needs a longer streak of the same likelihood.
constexpr double base_path_cut_streak = 3.0;

/// A server is healthy below this failure rate, given this many successes.
constexpr double max_healthy_failure_rate = 0.1;
constexpr double min_healthy_successes = 4.0;

/// Path cuts leave a reporter at least this fraction of the servers to use
/// directly.
constexpr double min_direct_fraction = 0.25;

/// Duration of a server's first ejection. It doubles, up to the maximum, when
/// the server is ejected again within the flap window after its release.
constexpr duration initial_hold = std::chrono::seconds(5);
constexpr duration max_hold = std::chrono::seconds(300);
constexpr duration flap_window = std::chrono::seconds(60);

/// At the floor, a server replaces an ejected one if its severity is higher by
/// this ratio.
constexpr double replacement_ratio = 1.25;

/// A reporter that sends no report for this long is forgotten.
constexpr duration reporter_timeout = std::chrono::seconds(60);

/// Time between two log lines about the same server kept by the floor. A slow
/// service is logged again only after this time without signs of slowness.
constexpr duration log_repeat_period = std::chrono::seconds(30);

/// Covers clock rate drift between the owner and the entry instances.
constexpr double clock_drift_factor = 1.02;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration add_drift_allowance(duration value)
{
    return std::chrono::duration_cast<duration>(value * clock_drift_factor);
}

double median(std::vector<double> values)
{
    if (values.empty())
    {
        return 0.0;
    }
    const auto middle =
        values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

template <class... Values>
std::string format(const char* pattern, Values... values)
{
    char text[200];
    std::snprintf(text, sizeof text, pattern, values...);
    return text;
}

/// Doubles the last hold if it ended within the flap window, or within twice
/// that hold if this is longer. Otherwise starts again with the initial hold.
duration next_hold(duration last_hold, time_point released_at, time_point now)
{
    const bool recurs =
        last_hold > duration::zero() &&
        now - released_at < std::max(flap_window, 2 * last_hold);
    return recurs ? std::min(max_hold, 2 * last_hold) : initial_hold;
}

} // namespace

observation_log::observation_log(nonce first_nonce) : last_nonce(first_nonce) {}

void observation_log::record_outcome(const std::string& service,
                                     const std::string& server,
                                     attempt_outcome outcome,
                                     duration latency)
{
    if (outcome == attempt_outcome::shed ||
        outcome == attempt_outcome::abandoned)
    {
        return;
    }
    outcome_counts& counts = this->services[service].servers[server];
    if (outcome == attempt_outcome::succeeded)
    {
        ++counts.succeeded;
        counts.latency_sum += latency;
    }
    else if (outcome == attempt_outcome::failed)
    {
        ++counts.failed;
    }
    else
    {
        ++counts.timed_out;
    }
}

void observation_log::record_closed_connection(const std::string& service,
                                               const std::string& server,
                                               const digest& request)
{
    const std::uint64_t request_key = request.high ^ request.low;
    if (!this->closed_requests.insert(request_key).second)
    {
        return;
    }
    this->closed_request_queue.push_back(request_key);
    if (this->closed_request_queue.size() > max_closed_requests)
    {
        this->closed_requests.erase(this->closed_request_queue.front());
        this->closed_request_queue.pop_front();
    }
    this->record_outcome(service, server, attempt_outcome::failed,
                         duration::zero());
}

std::vector<observation_report> observation_log::due_reports(time_point now)
{
    std::vector<observation_report> reports;
    for (auto& [name, observations] : this->services)
    {
        if (now < observations.next_report_at)
        {
            continue;
        }
        const bool has_traffic = !observations.servers.empty();
        if (has_traffic)
        {
            observations.last_traffic = now;
        }
        const bool renews_blocks =
            observations.blocks_until > now &&
            now - observations.last_traffic < ejection_lease;
        if (!has_traffic && !renews_blocks)
        {
            continue;
        }
        observation_report report;
        report.nonce = ++this->last_nonce;
        report.service = name;
        for (const auto& [server, counts] : observations.servers)
        {
            const auto successes =
                static_cast<duration::rep>(std::max(1U, counts.succeeded));
            report.servers.push_back({server, counts.succeeded, counts.failed,
                                      counts.timed_out,
                                      counts.latency_sum / successes});
        }
        observations.servers.clear();
        observations.next_report_at = now + report_period;
        observations.sent_reports.push_back({report.nonce, now});
        if (observations.sent_reports.size() > max_pending_reports)
        {
            observations.sent_reports.pop_front();
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

// Leases are counted from the send time of the report. The owner counts them
// from its answer, which comes later, so the lease always ends here first.
std::optional<std::vector<server_block>>
observation_log::apply_verdict(const service_verdict& verdict, time_point now)
{
    const auto it = this->services.find(verdict.service);
    if (it == this->services.end() ||
        verdict.nonce <= it->second.newest_verdict)
    {
        return std::nullopt;
    }
    service_observations& observations = it->second;
    const auto report = std::find_if(observations.sent_reports.begin(),
                                     observations.sent_reports.end(),
                                     [&verdict](const sent_report& sent)
                                     {
                                         return sent.nonce == verdict.nonce;
                                     });
    if (report == observations.sent_reports.end())
    {
        return std::nullopt;
    }
    observations.newest_verdict = verdict.nonce;
    observations.cut_off_until = verdict.reporter_cut_off
                                     ? report->sent_at + ejection_lease
                                     : time_point{};
    observations.blocks_until = now;
    std::vector<server_block> blocks;
    for (const server_verdict& entry : verdict.servers)
    {
        const time_point until =
            report->sent_at + std::min(entry.lease, ejection_lease);
        if (entry.state != server_state::healthy && until > now)
        {
            blocks.push_back({entry.server, entry.state, until, entry.via});
            observations.blocks_until =
                std::max(observations.blocks_until, until);
        }
    }
    return blocks;
}

bool observation_log::is_cut_off(time_point now) const
{
    return std::any_of(this->services.begin(), this->services.end(),
                       [now](const auto& entry)
                       {
                           return entry.second.cut_off_until > now;
                       });
}

void detector::decayed_evidence::decay_to(time_point now, double age_seconds)
{
    const double elapsed = std::max(0.0, seconds(now - this->updated_at));
    const double remaining = std::exp(-elapsed / age_seconds);
    this->succeeded *= remaining;
    this->failed *= remaining;
    this->latency_sum *= remaining;
    this->failure_streak *= std::exp(-elapsed / streak_age_seconds);
    this->updated_at = now;
}

// The streak shows a cut path at once, while the sums still contain old
// successes.
void detector::decayed_evidence::add(const server_observation& observation,
                                     time_point now,
                                     double age_seconds)
{
    const double failures =
        static_cast<double>(observation.failed) + observation.timed_out;
    this->decay_to(now, age_seconds);
    this->succeeded += observation.succeeded;
    this->failed += failures;
    this->latency_sum +=
        seconds(observation.mean_latency) * observation.succeeded;
    this->failure_streak =
        observation.succeeded > 0 ? 0.0 : this->failure_streak + failures;
    if (observation.succeeded > 0)
    {
        this->last_success = now;
    }
    if (failures > 0.0)
    {
        this->last_failure = now;
    }
}

double detector::decayed_evidence::total() const
{
    return this->succeeded + this->failed;
}

bool detector::decayed_evidence::is_sufficient() const
{
    return this->total() >= min_evidence;
}

bool detector::decayed_evidence::has_failure_streak() const
{
    return this->failure_streak >= min_evidence;
}

bool detector::decayed_evidence::is_failing() const
{
    return this->is_sufficient() && (this->failed_fraction() >= 0.5 ||
                                     this->failure_streak >= failing_streak);
}

double detector::decayed_evidence::failed_fraction() const
{
    return this->total() > 0.0 ? this->failed / this->total() : 0.0;
}

double detector::pooled_evidence::failed_fraction() const
{
    const double total = this->succeeded + this->failed;
    return total > 0.0 ? this->failed / total : 0.0;
}

double detector::pooled_evidence::unfiltered_failed_fraction() const
{
    const double total = this->succeeded + this->failed_unfiltered;
    return total > 0.0 ? this->failed_unfiltered / total : 0.0;
}

bool detector::pooled_evidence::is_healthy() const
{
    return this->succeeded >= min_healthy_successes &&
           this->failed_fraction() < max_healthy_failure_rate;
}

detector::detector(std::string service_name, time_point majority_since)
    : name(std::move(service_name)),
      first_ejection_at(majority_since + add_drift_allowance(ejection_lease))
{
}

// A server that an operator took out of service no longer counts as an
// automatic ejection. Leases granted for it are still running, so leased_until
// is kept.
void detector::set_service(const service& description, time_point now)
{
    this->policy = description.policy;
    std::map<std::string, server_record> rebuilt;
    for (const backend_server& server : description.servers)
    {
        const auto previous = this->servers.find(server.name);
        server_record record = previous != this->servers.end()
                                   ? previous->second
                                   : server_record{};
        const bool readmitted = server.command == operator_command::readmit &&
                                record.command != operator_command::readmit;
        record.command = server.command;
        if (readmitted || !takes_new_work(server.command))
        {
            this->release(record, server.name, now);
        }
        if (readmitted)
        {
            record.hold = duration::zero();
        }
        rebuilt.emplace(server.name, record);
    }
    this->servers = std::move(rebuilt);
    for (auto& [reporter, record] : this->reporters)
    {
        std::erase_if(record.servers,
                      [this](const auto& entry)
                      {
                          return !this->servers.contains(entry.first);
                      });
        std::erase_if(record.path_cuts,
                      [this](const auto& entry)
                      {
                          return !this->servers.contains(entry.first);
                      });
    }
}

std::optional<service_verdict>
detector::handle_report(const std::string& reporter,
                        const observation_report& report,
                        time_point now)
{
    reporter_record& record = this->reporters[reporter];
    if (report.nonce <= record.newest_report)
    {
        return std::nullopt;
    }
    record.newest_report = report.nonce;
    record.last_report_at = now;
    for (const server_observation& observation : report.servers)
    {
        this->recent_service_evidence.add(observation, now,
                                          recent_service_age_seconds);
        const auto it = this->servers.find(observation.server);
        if (it == this->servers.end() || it->second.ejected)
        {
            continue;
        }
        record.servers[observation.server].add(observation, now,
                                               this->evidence_age_seconds);
    }
    if (now < this->first_ejection_at)
    {
        return std::nullopt;
    }
    return this->make_verdict(record, report.nonce, now);
}

// Lists every server that is not healthy for the reporter: ejections by
// descending severity, then path cuts. Leases end with the hold, so that all
// instances readmit a server at the same time.
service_verdict detector::make_verdict(const reporter_record& recipient,
                                       nonce report_nonce,
                                       time_point now)
{
    service_verdict verdict;
    verdict.nonce = report_nonce;
    verdict.service = this->name;
    verdict.reporter_cut_off = recipient.cut_off_until > now;
    std::vector<std::pair<double, server_verdict>> ejections;
    for (auto& [server, record] : this->servers)
    {
        if (!record.ejected || record.hold_until <= now)
        {
            continue;
        }
        const duration lease =
            std::min(ejection_lease, record.hold_until - now);
        record.leased_until =
            std::max(record.leased_until, now + add_drift_allowance(lease));
        ejections.push_back(
            {record.severity, {server, server_state::ejected, lease, {}}});
    }
    std::stable_sort(ejections.begin(), ejections.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.first > right.first;
                     });
    for (auto& [severity, ejection] : ejections)
    {
        verdict.servers.push_back(std::move(ejection));
    }
    for (const auto& [server, path] : recipient.path_cuts)
    {
        const auto it = this->servers.find(server);
        const bool in_service =
            it != this->servers.end() && !it->second.ejected;
        if (in_service && path.until > now)
        {
            const duration lease = std::min(ejection_lease, path.until - now);
            verdict.servers.push_back(
                {server, server_state::path_cut, lease, path.via});
        }
    }
    return verdict;
}

std::vector<detection_event> detector::tick(time_point now)
{
    event_list events;
    this->age_evidence(now);
    this->end_holds(now, events);
    if (now < this->first_ejection_at)
    {
        return events;
    }
    this->enforce_floor(now, events);
    this->update_path_cut_streak(now);
    const std::set<std::string> healthy = this->find_healthy_servers(now);
    this->find_reporter_cuts(healthy, now, events);
    this->find_path_cuts(healthy, now, events);
    this->reserved_places = 0;
    for (const suspected_server& suspect :
         this->find_suspects(healthy, now, events))
    {
        this->eject_within_floor(suspect, now, events);
    }
    return events;
}

std::size_t detector::out_of_service_count(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [now](const auto& entry)
                      {
                          const server_record& record = entry.second;
                          return !takes_new_work(record.command) ||
                                 record.ejected || record.leased_until > now;
                      }));
}

std::size_t detector::max_out_of_service_count() const
{
    return max_out_of_service(this->servers.size(), this->policy.healthy_floor);
}

std::vector<std::string> detector::ejected_servers() const
{
    std::vector<std::string> names;
    for (const auto& [server, record] : this->servers)
    {
        if (record.ejected)
        {
            names.push_back(server);
        }
    }
    return names;
}

void detector::add_event(event_list& events,
                         detection_event_kind kind,
                         const std::string& server,
                         const std::string& reporter,
                         std::string reason) const
{
    events.push_back({kind, this->name, server, reporter, std::move(reason)});
}

// A policy that gives false ejections a higher weight requires more evidence.
double detector::evidence_threshold() const
{
    const double detection_weight =
        std::max(0.01, this->policy.detection_weight);
    const double false_ejection_weight =
        std::max(0.01, this->policy.false_ejection_weight);
    return std::clamp(base_evidence_threshold *
                          std::sqrt(false_ejection_weight / detection_weight),
                      min_evidence_threshold, max_evidence_threshold);
}

// True if the reporter is cut off from the service or from this server. Its
// evidence does not count for the server then.
bool detector::is_cut(const reporter_record& record,
                      const std::string& server,
                      time_point now)
{
    const auto it = record.path_cuts.find(server);
    return record.cut_off_until > now ||
           (it != record.path_cuts.end() && it->second.until > now);
}

// A reporter is not credible about a server if more than half of the other
// servers it observes fail for it: its failures then say little about this
// server.
bool detector::is_credible(const reporter_record& record,
                           const decayed_evidence& evidence)
{
    const std::size_t this_observed = evidence.is_sufficient() ? 1 : 0;
    const std::size_t this_failing = evidence.is_failing() ? 1 : 0;
    return 2 * (record.failing_servers - this_failing) <=
           record.observed_servers - this_observed;
}

// Adds the evidence of one reporter about a server to the sums. Failures seen
// by a reporter that is not credible are added to failed_unfiltered only.
void detector::add_to_pool(pooled_evidence& pooled,
                           const reporter_record& record,
                           const std::string& server,
                           time_point now)
{
    const auto it = record.servers.find(server);
    if (it == record.servers.end() || is_cut(record, server, now))
    {
        return;
    }
    const decayed_evidence& evidence = it->second;
    const bool credible = is_credible(record, evidence);
    pooled.succeeded += evidence.succeeded;
    pooled.latency_sum += evidence.latency_sum;
    pooled.failed += credible ? evidence.failed : 0.0;
    pooled.failed_unfiltered += evidence.failed;
    pooled.last_success = std::max(pooled.last_success, evidence.last_success);
    pooled.reporters += evidence.is_sufficient() ? 1U : 0U;
    if (credible && evidence.failed >= min_evidence &&
        evidence.failed_fraction() >= failing_fraction)
    {
        ++pooled.failing_reporters;
    }
}

// Adds up the evidence of all reporters about a server. With
// `exclude_seemingly_cut`, reporters that seem cut off from the server are left
// out; used for servers that are healthy for the other reporters.
detector::pooled_evidence detector::pool_evidence(const std::string& server,
                                                  bool exclude_seemingly_cut,
                                                  time_point now) const
{
    pooled_evidence pooled;
    for (const auto& [reporter, record] : this->reporters)
    {
        if (!exclude_seemingly_cut || !this->seems_cut(record, server))
        {
            add_to_pool(pooled, record, server, now);
        }
    }
    return pooled;
}

// A reporter seems cut off from a server if its attempts there have only failed
// since the last success, and its failure streaks over all servers add up to
// the length required for a path cut. A single failure is no sign of a cut:
// when each reporter sends little to each server, a partially failing server
// causes just such single failures.
bool detector::seems_cut(const reporter_record& record,
                         const std::string& server) const
{
    const auto it = record.servers.find(server);
    return it != record.servers.end() && it->second.has_failure_streak() &&
           record.total_failure_streak >= this->path_cut_streak;
}

// Number of reporters that confirm that a server is slow.
std::size_t detector::count_slow_reporters(const std::string& server,
                                           double typical_latency,
                                           time_point now) const
{
    std::size_t slow_reporters = 0;
    for (const auto& [reporter, record] : this->reporters)
    {
        const auto it = record.servers.find(server);
        if (it == record.servers.end() || is_cut(record, server, now))
        {
            continue;
        }
        const decayed_evidence& evidence = it->second;
        const bool has_successes = evidence.succeeded >= min_evidence;
        slow_reporters +=
            has_successes && evidence.latency_sum > slow_reporter_ratio *
                                                        typical_latency *
                                                        evidence.succeeded
                ? 1U
                : 0U;
    }
    return slow_reporters;
}

// The reporter with the most successes at a server, through which requests of a
// reporter with a cut path are forwarded.
std::string detector::most_successful_reporter(const std::string& server,
                                               time_point now) const
{
    std::string best;
    double max_succeeded = 0.0;
    for (const auto& [reporter, record] : this->reporters)
    {
        const auto it = record.servers.find(server);
        if (it != record.servers.end() && !is_cut(record, server, now) &&
            it->second.succeeded > max_succeeded)
        {
            max_succeeded = it->second.succeeded;
            best = reporter;
        }
    }
    return best;
}

void detector::forget_evidence(const std::string& server)
{
    for (auto& [reporter, record] : this->reporters)
    {
        record.servers.erase(server);
    }
}

// Drops silent reporters, decays the evidence and recounts the totals of each
// reporter.
void detector::age_evidence(time_point now)
{
    std::erase_if(this->reporters,
                  [now](const auto& entry)
                  {
                      return now - entry.second.last_report_at >
                             reporter_timeout;
                  });
    for (auto& [reporter, record] : this->reporters)
    {
        record.observed_servers = 0;
        record.failing_servers = 0;
        record.total_failure_streak = 0.0;
        for (auto& [server, evidence] : record.servers)
        {
            evidence.decay_to(now, this->evidence_age_seconds);
            record.observed_servers += evidence.is_sufficient() ? 1U : 0U;
            record.failing_servers += evidence.is_failing() ? 1U : 0U;
            record.total_failure_streak += evidence.failure_streak;
        }
    }
}

// Lengthens the streak required for a path cut while the service fails more
// than normal. The recent evidence about the whole service is included because,
// when every server begins to fail, the sums of each server still contain old
// successes, and random streaks would look like cut paths: 388 wrong cuts in
// 20 s were measured without this.
void detector::update_path_cut_streak(time_point now)
{
    std::vector<double> failure_rates;
    for (const auto& [server, record] : this->servers)
    {
        const pooled_evidence pooled = this->pool_evidence(server, false, now);
        if (pooled.succeeded + pooled.failed_unfiltered >= min_evidence)
        {
            failure_rates.push_back(pooled.unfiltered_failed_fraction());
        }
    }
    const double normal_failure_rate =
        std::clamp(std::max(median(failure_rates),
                            this->recent_service_evidence.failed_fraction()),
                   min_normal_failure_rate, max_failure_rate);
    this->path_cut_streak = base_path_cut_streak *
                            std::log(min_normal_failure_rate) /
                            std::log(normal_failure_rate);
}

// Servers that are healthy according to at least as many reporters as seem cut
// off from them.
std::set<std::string> detector::find_healthy_servers(time_point now) const
{
    std::set<std::string> healthy;
    for (const auto& [server, record] : this->servers)
    {
        const pooled_evidence pooled = this->pool_evidence(server, true, now);
        const auto cut_off_reporters = static_cast<std::size_t>(
            std::count_if(this->reporters.begin(), this->reporters.end(),
                          [this, &server = server](const auto& entry)
                          {
                              return seems_cut(entry.second, server);
                          }));
        if (pooled.is_healthy() && pooled.reporters >= cut_off_reporters)
        {
            healthy.insert(server);
        }
    }
    return healthy;
}

// Marks reporters as cut off if nearly all servers fail for them while most of
// these are healthy for other reporters. The mark lasts one ejection lease.
void detector::find_reporter_cuts(const std::set<std::string>& healthy,
                                  time_point now,
                                  event_list& events)
{
    for (auto& [reporter, record] : this->reporters)
    {
        std::size_t healthy_for_others = 0;
        double failures = 0.0;
        for (const auto& [server, evidence] : record.servers)
        {
            if (evidence.is_failing())
            {
                failures += evidence.failed;
                healthy_for_others += healthy.contains(server) ? 1U : 0U;
            }
        }
        const std::size_t failing_servers = record.failing_servers;
        const bool most_fail = static_cast<double>(failing_servers) >=
                               reporter_cut_fraction *
                                   static_cast<double>(record.observed_servers);
        const bool has_enough_evidence =
            failing_servers >= min_reporter_cut_servers &&
            failures >= min_reporter_cut_failures;
        if (!most_fail || !has_enough_evidence ||
            2 * healthy_for_others <= failing_servers)
        {
            continue;
        }
        if (record.cut_off_until <= now)
        {
            this->add_event(
                events, detection_event_kind::reporter_cut, {}, reporter,
                format("%zu of %zu servers fail for it, %zu of these are "
                       "healthy for other reporters",
                       failing_servers, record.observed_servers,
                       healthy_for_others));
        }
        record.cut_off_until = now + ejection_lease;
    }
}

// Cuts the paths from a reporter to servers that fail for it but are healthy
// for the other reporters.
void detector::find_path_cuts(const std::set<std::string>& healthy,
                              time_point now,
                              event_list& events)
{
    for (auto& [reporter, record] : this->reporters)
    {
        if (record.cut_off_until > now)
        {
            continue;
        }
        std::vector<std::string> cut_servers;
        for (const auto& [server, evidence] : record.servers)
        {
            const bool fails_now =
                now - evidence.last_failure < recent_failure_period;
            if (fails_now && evidence.failure_streak >= this->path_cut_streak &&
                healthy.contains(server) && !is_cut(record, server, now))
            {
                cut_servers.push_back(server);
            }
        }
        for (const std::string& server : cut_servers)
        {
            this->cut_path(reporter, record, server, now, events);
        }
    }
}

// Cuts one path, unless the reporter would keep too few servers in direct use.
void detector::cut_path(const std::string& reporter,
                        reporter_record& record,
                        const std::string& server,
                        time_point now,
                        event_list& events)
{
    const auto active_cuts = static_cast<double>(
        std::count_if(record.path_cuts.begin(), record.path_cuts.end(),
                      [now](const auto& entry)
                      {
                          return entry.second.until > now;
                      }));
    const auto server_count = static_cast<double>(this->servers.size());
    if (active_cuts + 1.0 > server_count * (1.0 - min_direct_fraction))
    {
        return;
    }
    path_cut& path = record.path_cuts[server];
    path.hold = next_hold(path.hold, path.until, now);
    path.until = now + path.hold;
    record.servers.erase(server);
    path.via = this->most_successful_reporter(server, now);
    this->add_event(
        events, detection_event_kind::path_cut, server, reporter,
        format("its attempts fail, those of other reporters succeed; "
               "hold %.0f s",
               seconds(path.hold)));
}

// Medians over the servers of the service. Latencies are compared only while
// at least half of the servers answer and few attempts fail. Otherwise servers
// that still answer would look slow compared with stale latencies of those that
// do not.
detector::typical_server detector::find_typical_server(
    const std::map<std::string, pooled_evidence>& pooled_by_server,
    time_point now) const
{
    const double max_age_seconds =
        std::max(latency_freshness_ratio * this->evidence_age_seconds,
                 3.0 * seconds(report_period));
    std::vector<double> failure_rates;
    std::vector<double> latencies;
    std::vector<double> successes;
    for (const auto& [server, pooled] : pooled_by_server)
    {
        successes.push_back(pooled.succeeded);
        failure_rates.push_back(pooled.unfiltered_failed_fraction());
        if (pooled.succeeded >= min_evidence &&
            seconds(now - pooled.last_success) < max_age_seconds)
        {
            latencies.push_back(pooled.latency_sum / pooled.succeeded);
        }
    }
    typical_server typical;
    typical.failure_rate = median(failure_rates);
    if (2 * latencies.size() >= pooled_by_server.size() &&
        typical.failure_rate < max_comparable_failure_rate &&
        median(successes) >= min_comparable_successes)
    {
        typical.latency = median(latencies);
    }
    return typical;
}

// Moves the evidence age by at most 10% towards the age at which the typical
// server has target_attempts.
void detector::adapt_evidence_age(
    const std::map<std::string, pooled_evidence>& pooled_by_server)
{
    std::vector<double> attempts;
    attempts.reserve(pooled_by_server.size());
    for (const auto& [server, pooled] : pooled_by_server)
    {
        attempts.push_back(pooled.succeeded + pooled.failed_unfiltered);
    }
    const double typical_attempts = std::max(1.0, median(attempts));
    const double target_age_seconds =
        this->evidence_age_seconds * target_attempts / typical_attempts;
    const double next_age_seconds =
        std::clamp(target_age_seconds, 0.9 * this->evidence_age_seconds,
                   1.1 * this->evidence_age_seconds);
    this->evidence_age_seconds = std::clamp(
        next_age_seconds, min_evidence_age_seconds, max_evidence_age_seconds);
}

// Compares every server with the others of its service and returns the
// suspected ones by descending severity. Returns none if the typical server or
// more than half of the servers look bad: then the service itself is slow or
// failing.
std::vector<detector::suspected_server> detector::find_suspects(
    const std::set<std::string>& healthy, time_point now, event_list& events)
{
    std::map<std::string, pooled_evidence> pooled_by_server;
    for (const auto& [server, record] : this->servers)
    {
        if (record.ejected || !takes_new_work(record.command))
        {
            continue;
        }
        const pooled_evidence pooled =
            this->pool_evidence(server, healthy.contains(server), now);
        if (pooled.succeeded + pooled.failed_unfiltered >= min_evidence)
        {
            pooled_by_server.emplace(server, pooled);
        }
    }
    const typical_server typical =
        this->find_typical_server(pooled_by_server, now);
    this->adapt_evidence_age(pooled_by_server);
    if (typical.failure_rate >= min_bad_failure_rate &&
        pooled_by_server.size() > 1)
    {
        this->add_service_slow(
            format(
                "the typical server fails %.0f%% of its attempts: no server is "
                "ejected",
                100.0 * typical.failure_rate),
            now, events);
        return {};
    }
    std::vector<suspected_server> suspects;
    for (const auto& [server, pooled] : pooled_by_server)
    {
        if (auto suspect = this->assess_server(server, pooled, typical, now))
        {
            suspects.push_back(std::move(*suspect));
        }
    }
    if (2 * suspects.size() > pooled_by_server.size() &&
        pooled_by_server.size() > 1)
    {
        this->add_service_slow(
            format("%zu of %zu servers look bad: no server is ejected",
                   suspects.size(), pooled_by_server.size()),
            now, events);
        return {};
    }
    std::stable_sort(
        suspects.begin(), suspects.end(),
        [](const suspected_server& left, const suspected_server& right)
        {
            return left.severity > right.severity;
        });
    return suspects;
}

// Adds a service_slow event, unless one was due within log_repeat_period.
void detector::add_service_slow(std::string reason,
                                time_point now,
                                event_list& events)
{
    if (this->slow_log_muted_until <= now)
    {
        this->add_event(events, detection_event_kind::service_slow, {}, {},
                        std::move(reason));
    }
    this->slow_log_muted_until = now + log_repeat_period;
}

// Sequential test of the failures, as Bernoulli trials, against the service's
// typical server. Two reporters must confirm the failures, unless only one has
// traffic. A server that passes the test is tested for its latency.
std::optional<detector::suspected_server>
detector::assess_server(const std::string& server,
                        const pooled_evidence& pooled,
                        const typical_server& typical,
                        time_point now) const
{
    const std::size_t needed_reporters =
        std::min<std::size_t>(2, pooled.reporters);
    const double normal_failure_rate =
        std::max(typical.failure_rate, min_normal_failure_rate);
    const double bad_failure_rate =
        std::min(max_failure_rate,
                 std::max(min_bad_failure_rate, 3.0 * normal_failure_rate));
    const double failure_evidence =
        pooled.failed * std::log(bad_failure_rate / normal_failure_rate) +
        pooled.succeeded *
            std::log((1.0 - bad_failure_rate) / (1.0 - normal_failure_rate));
    if (failure_evidence < this->evidence_threshold() ||
        pooled.failing_reporters < needed_reporters)
    {
        return this->assess_latency(server, pooled, typical.latency, now);
    }
    return suspected_server{
        server, pooled.failed_fraction(),
        format("failed %.0f%% of %.0f recent attempts, typical server "
               "%.0f%%, confirmed by %zu of %zu reporters",
               100.0 * pooled.failed_fraction(),
               pooled.failed + pooled.succeeded, 100.0 * typical.failure_rate,
               pooled.failing_reporters, pooled.reporters)};
}

// Sequential test of the latencies, as exponentially distributed times, against
// the service's typical latency. Reporters must confirm as for failures.
std::optional<detector::suspected_server>
detector::assess_latency(const std::string& server,
                         const pooled_evidence& pooled,
                         double typical_latency,
                         time_point now) const
{
    if (typical_latency <= 0.0 || pooled.succeeded < min_slow_samples)
    {
        return std::nullopt;
    }
    const double mean = pooled.latency_sum / pooled.succeeded;
    const double ratio = mean / typical_latency;
    const double slow_evidence =
        pooled.succeeded *
        (ratio * (1.0 - 1.0 / slow_ratio) - std::log(slow_ratio));
    const bool is_slow =
        mean >= slow_ratio * typical_latency + slow_margin_seconds;
    const std::size_t needed_reporters =
        std::min<std::size_t>(2, pooled.reporters);
    if (!is_slow || slow_evidence < this->evidence_threshold() ||
        this->count_slow_reporters(server, typical_latency, now) <
            needed_reporters)
    {
        return std::nullopt;
    }
    return suspected_server{server, 1.0 - 1.0 / ratio,
                            format("mean latency %.0f ms, typical %.0f ms",
                                   1e3 * mean, 1e3 * typical_latency)};
}

// Readmits every server whose hold has ended.
void detector::end_holds(time_point now, event_list& events)
{
    for (auto& [server, record] : this->servers)
    {
        if (record.ejected && record.hold_until <= now)
        {
            this->release(record, server, now);
            this->add_event(
                events, detection_event_kind::readmitted, server, {},
                format("hold of %.0f s ended", seconds(record.hold)));
        }
    }
}

// Ends the ejection, if any, and starts the server with no evidence.
void detector::release(server_record& record,
                       const std::string& server,
                       time_point now)
{
    if (record.ejected)
    {
        record.ejected = false;
        record.released_at = now;
    }
    this->forget_evidence(server);
}

// Releases ejected servers until the floor is kept: an operator command may
// leave fewer places than the ejections in force occupy.
void detector::enforce_floor(time_point now, event_list& events)
{
    while (this->ejected_count() > 0 &&
           this->commanded_out_count() + this->ejected_count() >
               this->max_out_of_service_count())
    {
        const std::string server = this->least_severe_ejected();
        this->release(this->servers.at(server), server, now);
        this->add_event(
            events, detection_event_kind::replaced, server, {},
            "operator commands leave no place above the floor and it is the "
            "least severe ejection; " +
                this->describe_floor(now));
    }
}

void detector::eject(const suspected_server& suspect,
                     time_point now,
                     event_list& events)
{
    server_record& record = this->servers.at(suspect.server);
    record.hold = next_hold(record.hold, record.released_at, now);
    record.ejected = true;
    record.severity = suspect.severity;
    record.hold_until = now + record.hold;
    this->forget_evidence(suspect.server);
    this->add_event(events, detection_event_kind::ejected, suspect.server, {},
                    suspect.reason +
                        format("; hold %.0f s", seconds(record.hold)));
}

// Ejects the suspect if the floor leaves a place. Otherwise the suspect
// replaces an ejected server of clearly lower severity, or stays in service. A
// replaced server occupies its place until its leases end; until then the place
// is reserved for the suspect. Without the reservation the replaced server,
// which is still bad and whose leases already count, would take the place back.
void detector::eject_within_floor(const suspected_server& suspect,
                                  time_point now,
                                  event_list& events)
{
    server_record& record = this->servers.at(suspect.server);
    const bool already_counted = record.leased_until > now;
    const std::size_t others_out_of_service =
        this->out_of_service_count(now) - (already_counted ? 1U : 0U);
    if (others_out_of_service + this->reserved_places <
        this->max_out_of_service_count())
    {
        this->eject(suspect, now, events);
        return;
    }
    if (this->commanded_out_count() + this->ejected_count() <
        this->max_out_of_service_count())
    {
        ++this->reserved_places;
        return;
    }
    const std::string replaced = this->least_severe_ejected();
    if (!replaced.empty() &&
        this->servers.at(replaced).severity * replacement_ratio <
            suspect.severity)
    {
        this->release(this->servers.at(replaced), replaced, now);
        ++this->reserved_places;
        this->add_event(events, detection_event_kind::replaced, replaced, {},
                        "the floor is reached and " + suspect.server +
                            " is worse: " + suspect.reason + "; " +
                            this->describe_floor(now));
        return;
    }
    if (record.kept_log_muted_until <= now)
    {
        this->add_event(
            events, detection_event_kind::kept_by_floor, suspect.server, {},
            suspect.reason +
                "; the floor is reached and no ejected server is clearly less "
                "bad; " +
                this->describe_floor(now));
        record.kept_log_muted_until = now + log_repeat_period;
    }
}

// Name of the ejected server with the lowest severity; empty without one.
std::string detector::least_severe_ejected() const
{
    std::string least_severe;
    double min_severity = 2.0;
    for (const auto& [server, record] : this->servers)
    {
        if (record.ejected && record.severity < min_severity)
        {
            min_severity = record.severity;
            least_severe = server;
        }
    }
    return least_severe;
}

// Number of servers that operator commands keep out of service.
std::size_t detector::commanded_out_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [](const auto& entry)
                      {
                          return !takes_new_work(entry.second.command);
                      }));
}

std::size_t detector::ejected_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [](const auto& entry)
                      {
                          return entry.second.ejected;
                      }));
}

// Figures about the floor for a log reason.
std::string detector::describe_floor(time_point now) const
{
    return format(
        "%zu of %zu servers out of service (%zu by operator command), "
        "%zu allowed",
        this->out_of_service_count(now), this->servers.size(),
        this->commanded_out_count(), this->max_out_of_service_count());
}

} // namespace medlarbarrow::core
