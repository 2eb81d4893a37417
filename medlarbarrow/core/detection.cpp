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

/// Reports whose verdict may still arrive.
constexpr std::size_t remembered_reports = 16;

/// Requests whose lost connection has been counted.
constexpr std::size_t remembered_closed = 1024;

/// Evidence loses 63% of its weight in the evidence age. The age follows the
/// traffic, so that the typical server has about this many attempts in it: at
/// 2 s a busy service was found failing half a second later than at 1 s, and at
/// 1 s a service with one request a second never gathers enough.
constexpr double typical_attempts = 20.0;
constexpr double least_age_seconds = 1.0;
constexpr double greatest_age_seconds = 30.0;

/// Age of the evidence about the service as a whole.
constexpr double service_now_age_seconds = 0.5;

/// A streak ends with the next success; its age only covers servers that get
/// hardly any work, as they do once the reporter avoids them.
constexpr double streak_age_seconds = 30.0;

/// Evidence that suffices at equal policy weights, as the logarithm of the
/// likelihood ratio "bad" to "well": about 1 wrong in e^9 = 8,000.
constexpr double base_threshold = 9.0;
constexpr double least_threshold = 4.5;
constexpr double greatest_threshold = 27.0;

/// A well server fails at most this often, a bad one at least that often.
constexpr double least_normal_failures = 0.02;
constexpr double bad_failures = 0.3;
constexpr double greatest_failures = 0.9;

/// A server is slow from this ratio to the service's median latency, and not
/// for a few milliseconds of network distance.
constexpr double slow_ratio = 4.0;
constexpr double slow_margin_seconds = 0.005;
constexpr double slow_least_samples = 3.0;

/// A server's latency counts as typical while its last success is younger than
/// this part of the evidence age (and than three report periods), and only
/// while the typical server fails less than this fraction.
constexpr double fresh_part = 1.5;
constexpr double comparable_failures = 0.1;

/// Successes of the typical server from which its latency is compared: 0.2 s
/// after a start, with one or two each, a well server was ejected as slow.
constexpr double comparable_successes = 8.0;

/// A reporter confirms slowness from this ratio on.
constexpr double slow_reporter_ratio = 2.0;

/// A reporter confirms failures from this fraction and count on.
constexpr double failing_fraction = 0.2;
constexpr double failing_count = 0.5;
constexpr double failing_streak = 2.0;

/// A path is cut only while it fails: streaks that remain when a service
/// recovers say nothing (70 wrong cuts were measured without this).
constexpr duration recent_failure = 3 * report_period;

/// A reporter that sees this part of its servers fail, while others see them
/// well, is itself cut off.
constexpr double reporter_cut_fraction = 0.8;
constexpr std::size_t reporter_cut_servers = 3;
constexpr double reporter_cut_failures = 4.0;

/// A path is cut when this many attempts of one reporter fail in a row and
/// nearly all attempts of the others succeed. The number is for a service that
/// normally fails at most least_normal_failures; one that fails more needs a
/// longer streak of the same likelihood.
constexpr double path_cut_failures = 3.0;
constexpr double well_fraction = 0.1;
constexpr double well_successes = 4.0;

/// Part of the servers that a reporter keeps in direct use.
constexpr double uncut_part = 0.25;

/// First hold of an ejection; it doubles when the server is ejected again
/// within the flap memory after its release.
constexpr duration first_hold = std::chrono::seconds(5);
constexpr duration longest_hold = std::chrono::seconds(300);
constexpr duration flap_memory = std::chrono::seconds(60);

/// An ejected server gives its place to one that is worse by this ratio.
constexpr double replacement_ratio = 1.25;

/// A reporter that has been silent this long is forgotten.
constexpr duration reporter_memory = std::chrono::seconds(60);

/// Time between two log lines about the same kept server.
constexpr duration kept_log_period = std::chrono::seconds(30);

/// Covers clock rate drift between the owner and the entry instances.
constexpr double drift_allowance = 1.02;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

duration with_drift(duration value)
{
    return std::chrono::duration_cast<duration>(value * drift_allowance);
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

/// Twice the hold when the last one ended a short while ago.
duration next_hold(duration last, time_point released_at, time_point now)
{
    const bool recurs = last > duration::zero() &&
                        now - released_at < std::max(flap_memory, 2 * last);
    return recurs ? std::min(longest_hold, 2 * last) : first_hold;
}

} // namespace

observation_log::observation_log(nonce first_nonce) : last_nonce(first_nonce) {}

void observation_log::note(const std::string& service,
                           const std::string& server,
                           work_outcome outcome,
                           duration latency)
{
    if (outcome == work_outcome::shed || outcome == work_outcome::abandoned)
    {
        return;
    }
    counts& seen = this->services[service].servers[server];
    if (outcome == work_outcome::succeeded)
    {
        ++seen.succeeded;
        seen.latency_sum += latency;
    }
    else if (outcome == work_outcome::failed)
    {
        ++seen.failed;
    }
    else
    {
        ++seen.timed_out;
    }
}

void observation_log::note_closed(const std::string& service,
                                  const std::string& server,
                                  const digest& request)
{
    const std::uint64_t key = request.high ^ request.low;
    if (!this->closed_requests.insert(key).second)
    {
        return;
    }
    this->closed_order.push_back(key);
    if (this->closed_order.size() > remembered_closed)
    {
        this->closed_requests.erase(this->closed_order.front());
        this->closed_order.pop_front();
    }
    this->note(service, server, work_outcome::failed, duration::zero());
}

std::vector<observation_report> observation_log::due_reports(time_point now)
{
    std::vector<observation_report> reports;
    for (auto& [name, log] : this->services)
    {
        if (now < log.next_report)
        {
            continue;
        }
        const bool traffic = !log.servers.empty();
        if (traffic)
        {
            log.last_traffic = now;
        }
        const bool renews =
            log.blocks_until > now && now - log.last_traffic < ejection_lease;
        if (!traffic && !renews)
        {
            continue;
        }
        observation_report report;
        report.nonce = ++this->last_nonce;
        report.service = name;
        for (const auto& [server, seen] : log.servers)
        {
            const auto successes =
                static_cast<duration::rep>(std::max(1U, seen.succeeded));
            report.servers.push_back({server, seen.succeeded, seen.failed,
                                      seen.timed_out,
                                      seen.latency_sum / successes});
        }
        log.servers.clear();
        log.next_report = now + report_period;
        log.sent.push_back({report.nonce, now});
        if (log.sent.size() > remembered_reports)
        {
            log.sent.pop_front();
        }
        reports.push_back(std::move(report));
    }
    return reports;
}

// Leases count from the send time of the report, which precedes the owner's
// answer: the owner's count always ends later.
std::optional<std::vector<server_block>>
observation_log::receive(const service_verdict& verdict, time_point now)
{
    const auto at = this->services.find(verdict.service);
    if (at == this->services.end() || verdict.nonce <= at->second.applied)
    {
        return std::nullopt;
    }
    service_log& log = at->second;
    const auto report = std::find_if(log.sent.begin(), log.sent.end(),
                                     [&verdict](const sent_report& sent)
                                     {
                                         return sent.nonce == verdict.nonce;
                                     });
    if (report == log.sent.end())
    {
        return std::nullopt;
    }
    log.applied = verdict.nonce;
    log.cut_until =
        verdict.reporter_cut ? report->at + ejection_lease : time_point{};
    log.blocks_until = now;
    std::vector<server_block> blocks;
    for (const server_verdict& each : verdict.servers)
    {
        const time_point until =
            report->at + std::min(each.lease, ejection_lease);
        if (each.state != server_state::healthy && until > now)
        {
            blocks.push_back({each.server, each.state, until, each.via});
            log.blocks_until = std::max(log.blocks_until, until);
        }
    }
    return blocks;
}

bool observation_log::reporter_cut(time_point now) const
{
    return std::any_of(this->services.begin(), this->services.end(),
                       [now](const auto& each)
                       {
                           return each.second.cut_until > now;
                       });
}

void detector::evidence::decay_to(time_point now, double age_seconds)
{
    const double elapsed = std::max(0.0, seconds(now - this->updated));
    const double left = std::exp(-elapsed / age_seconds);
    this->succeeded *= left;
    this->failed *= left;
    this->latency_sum *= left;
    this->streak *= std::exp(-elapsed / streak_age_seconds);
    this->updated = now;
}

// A cut shows at once in the streak, while the sums still hold old successes.
void detector::evidence::add(const server_observation& seen,
                             time_point now,
                             double age_seconds)
{
    const double failures = static_cast<double>(seen.failed) + seen.timed_out;
    this->decay_to(now, age_seconds);
    this->succeeded += seen.succeeded;
    this->failed += failures;
    this->latency_sum += seconds(seen.mean_latency) * seen.succeeded;
    this->streak = seen.succeeded > 0 ? 0.0 : this->streak + failures;
    if (seen.succeeded > 0)
    {
        this->last_success = now;
    }
    if (failures > 0.0)
    {
        this->last_failure = now;
    }
}

double detector::evidence::total() const
{
    return this->succeeded + this->failed;
}

bool detector::evidence::is_enough() const
{
    return this->total() >= failing_count;
}

bool detector::evidence::only_fails() const
{
    return this->streak >= failing_count;
}

bool detector::evidence::fails() const
{
    return this->is_enough() &&
           (this->failed_fraction() >= 0.5 || this->streak >= failing_streak);
}

double detector::evidence::failed_fraction() const
{
    return this->total() > 0.0 ? this->failed / this->total() : 0.0;
}

double detector::pooled::failed_fraction() const
{
    const double total = this->succeeded + this->failed;
    return total > 0.0 ? this->failed / total : 0.0;
}

double detector::pooled::all_failed_fraction() const
{
    const double total = this->succeeded + this->all_failed;
    return total > 0.0 ? this->all_failed / total : 0.0;
}

bool detector::pooled::is_well() const
{
    return this->succeeded >= well_successes &&
           this->failed_fraction() < well_fraction;
}

detector::detector(std::string service_name, time_point majority_since)
    : name(std::move(service_name)),
      ejects_from(majority_since + with_drift(ejection_lease))
{
}

// A server ordered out is no automatic ejection any more. Leases handed out
// for it still run, so leased_until stays.
void detector::set_service(const service& next, time_point now)
{
    this->policy = next.policy;
    std::map<std::string, server_record> rebuilt;
    for (const backend_server& server : next.servers)
    {
        const auto old = this->servers.find(server.name);
        server_record record =
            old != this->servers.end() ? old->second : server_record{};
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
    for (auto& [reporter, from] : this->reporters)
    {
        std::erase_if(from.servers,
                      [this](const auto& each)
                      {
                          return !this->servers.contains(each.first);
                      });
        std::erase_if(from.cuts,
                      [this](const auto& each)
                      {
                          return !this->servers.contains(each.first);
                      });
    }
}

std::optional<service_verdict>
detector::receive(const std::string& reporter,
                  const observation_report& report,
                  time_point now)
{
    reporter_record& from = this->reporters[reporter];
    if (report.nonce <= from.newest)
    {
        return std::nullopt;
    }
    from.newest = report.nonce;
    from.heard = now;
    for (const server_observation& seen : report.servers)
    {
        this->service_now.add(seen, now, service_now_age_seconds);
        const auto at = this->servers.find(seen.server);
        if (at == this->servers.end() || at->second.ejected)
        {
            continue;
        }
        from.servers[seen.server].add(seen, now, this->age_seconds);
    }
    if (now < this->ejects_from)
    {
        return std::nullopt;
    }
    return this->answer(from, report.nonce, now);
}

// Every server that is not healthy for the reporter, worst first. Leases end
// with the hold, so that all instances readmit a server together.
service_verdict
detector::answer(const reporter_record& to, nonce answered, time_point now)
{
    service_verdict verdict;
    verdict.nonce = answered;
    verdict.service = this->name;
    verdict.reporter_cut = to.cut_until > now;
    std::vector<std::pair<double, server_verdict>> ejections;
    for (auto& [server, record] : this->servers)
    {
        if (!record.ejected || record.hold_ends <= now)
        {
            continue;
        }
        const duration lease = std::min(ejection_lease, record.hold_ends - now);
        record.leased_until =
            std::max(record.leased_until, now + with_drift(lease));
        ejections.push_back(
            {record.badness, {server, server_state::ejected, lease, {}}});
    }
    std::stable_sort(ejections.begin(), ejections.end(),
                     [](const auto& left, const auto& right)
                     {
                         return left.first > right.first;
                     });
    for (auto& [badness, ejection] : ejections)
    {
        verdict.servers.push_back(std::move(ejection));
    }
    for (const auto& [server, cut] : to.cuts)
    {
        const auto at = this->servers.find(server);
        const bool known = at != this->servers.end() && !at->second.ejected;
        if (known && cut.until > now)
        {
            const duration lease = std::min(ejection_lease, cut.until - now);
            verdict.servers.push_back(
                {server, server_state::path_cut, lease, cut.via});
        }
    }
    return verdict;
}

std::vector<detection_event> detector::tick(time_point now)
{
    events out;
    this->age_evidence(now);
    this->end_holds(now, out);
    if (now < this->ejects_from)
    {
        return out;
    }
    this->keep_floor(now, out);
    this->update_needed_streak(now);
    const std::set<std::string> well = this->find_well_servers(now);
    this->find_reporter_cuts(well, now, out);
    this->find_path_cuts(well, now, out);
    this->reserved = 0;
    for (const suspect& bad : this->find_suspects(well, now, out))
    {
        this->place(bad, now, out);
    }
    return out;
}

std::size_t detector::out_of_service(time_point now) const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [now](const auto& each)
                      {
                          const server_record& record = each.second;
                          return !takes_new_work(record.command) ||
                                 record.ejected || record.leased_until > now;
                      }));
}

std::size_t detector::allowed_out() const
{
    return max_out_of_service(this->servers.size(), this->policy.healthy_floor);
}

std::vector<std::string> detector::ejected() const
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

void detector::add(events& out,
                   detection_event_kind kind,
                   const std::string& server,
                   const std::string& reporter,
                   std::string reason) const
{
    out.push_back({kind, this->name, server, reporter, std::move(reason)});
}

// A policy that weighs false ejections more asks for more evidence.
double detector::evidence_threshold() const
{
    const double detection = std::max(0.01, this->policy.detection_weight);
    const double wrong = std::max(0.01, this->policy.false_ejection_weight);
    return std::clamp(base_threshold * std::sqrt(wrong / detection),
                      least_threshold, greatest_threshold);
}

bool detector::is_cut(const reporter_record& from,
                      const std::string& server,
                      time_point now)
{
    const auto at = from.cuts.find(server);
    return from.cut_until > now ||
           (at != from.cuts.end() && at->second.until > now);
}

// A reporter most of whose other servers fail says little about this one.
bool detector::others_are_well(const reporter_record& from,
                               const evidence& about)
{
    const std::size_t own_seen = about.is_enough() ? 1 : 0;
    const std::size_t own_failing = about.fails() ? 1 : 0;
    return 2 * (from.failing_servers - own_failing) <=
           from.seen_servers - own_seen;
}

void detector::count(pooled& sum,
                     const reporter_record& from,
                     const std::string& server,
                     time_point now)
{
    const auto at = from.servers.find(server);
    if (at == from.servers.end() || is_cut(from, server, now))
    {
        return;
    }
    const evidence& seen = at->second;
    const bool credible = others_are_well(from, seen);
    sum.succeeded += seen.succeeded;
    sum.latency_sum += seen.latency_sum;
    sum.failed += credible ? seen.failed : 0.0;
    sum.all_failed += seen.failed;
    sum.last_success = std::max(sum.last_success, seen.last_success);
    sum.reporters += seen.is_enough() ? 1U : 0U;
    if (credible && seen.failed >= failing_count &&
        seen.failed_fraction() >= failing_fraction)
    {
        ++sum.failing_reporters;
    }
}

// Without the reporters that seem cut from the server, when it is well for
// the others.
detector::pooled detector::pool(const std::string& server,
                                bool without_cut_like,
                                time_point now) const
{
    pooled sum;
    for (const auto& [reporter, from] : this->reporters)
    {
        if (!without_cut_like || !this->is_cut_like(from, server))
        {
            count(sum, from, server, now);
        }
    }
    return sum;
}

// Nothing but failures, and several of them on this server or on several.
// A single failure is no sign of a cut: where each reporter sends little to
// each server, a server that fails in part shows just such single failures.
bool detector::is_cut_like(const reporter_record& from,
                           const std::string& server) const
{
    const auto at = from.servers.find(server);
    return at != from.servers.end() && at->second.only_fails() &&
           from.only_failures >= this->needed_streak;
}

std::size_t detector::slow_reporters(const std::string& server,
                                     double typical_latency,
                                     time_point now) const
{
    std::size_t slow = 0;
    for (const auto& [reporter, from] : this->reporters)
    {
        const auto at = from.servers.find(server);
        if (at == from.servers.end() || is_cut(from, server, now))
        {
            continue;
        }
        const evidence& seen = at->second;
        const bool counts = seen.succeeded >= failing_count;
        slow +=
            counts && seen.latency_sum >
                          slow_reporter_ratio * typical_latency * seen.succeeded
                ? 1U
                : 0U;
    }
    return slow;
}

std::string detector::best_reporter(const std::string& server,
                                    time_point now) const
{
    std::string best;
    double most = 0.0;
    for (const auto& [reporter, from] : this->reporters)
    {
        const auto at = from.servers.find(server);
        if (at != from.servers.end() && !is_cut(from, server, now) &&
            at->second.succeeded > most)
        {
            most = at->second.succeeded;
            best = reporter;
        }
    }
    return best;
}

void detector::forget_evidence(const std::string& server)
{
    for (auto& [reporter, from] : this->reporters)
    {
        from.servers.erase(server);
    }
}

void detector::age_evidence(time_point now)
{
    std::erase_if(this->reporters,
                  [now](const auto& each)
                  {
                      return now - each.second.heard > reporter_memory;
                  });
    for (auto& [reporter, from] : this->reporters)
    {
        from.seen_servers = 0;
        from.failing_servers = 0;
        from.only_failures = 0.0;
        for (auto& [server, sum] : from.servers)
        {
            sum.decay_to(now, this->age_seconds);
            from.seen_servers += sum.is_enough() ? 1U : 0U;
            from.failing_servers += sum.fails() ? 1U : 0U;
            from.only_failures += sum.streak;
        }
    }
}

// The service as a whole, with little memory: when every server begins to fail,
// the sums of each still hold old successes, and chance streaks would look like
// cut paths (388 wrong ones in 20 s were measured without this).
void detector::update_needed_streak(time_point now)
{
    std::vector<double> failures;
    for (const auto& [server, record] : this->servers)
    {
        const pooled sum = this->pool(server, false, now);
        if (sum.succeeded + sum.all_failed >= failing_count)
        {
            failures.push_back(sum.all_failed_fraction());
        }
    }
    const double normal = std::clamp(
        std::max(median(failures), this->service_now.failed_fraction()),
        least_normal_failures, greatest_failures);
    this->needed_streak =
        path_cut_failures * std::log(least_normal_failures) / std::log(normal);
}

// Servers that work for at least as many reporters as seem cut from them.
std::set<std::string> detector::find_well_servers(time_point now) const
{
    std::set<std::string> well;
    for (const auto& [server, record] : this->servers)
    {
        const pooled rest = this->pool(server, true, now);
        const auto cut_reporters = static_cast<std::size_t>(
            std::count_if(this->reporters.begin(), this->reporters.end(),
                          [this, &server = server](const auto& each)
                          {
                              return is_cut_like(each.second, server);
                          }));
        if (rest.is_well() && rest.reporters >= cut_reporters)
        {
            well.insert(server);
        }
    }
    return well;
}

void detector::find_reporter_cuts(const std::set<std::string>& well,
                                  time_point now,
                                  events& out)
{
    for (auto& [reporter, from] : this->reporters)
    {
        std::size_t well_for_others = 0;
        double failures = 0.0;
        for (const auto& [server, sum] : from.servers)
        {
            if (sum.fails())
            {
                failures += sum.failed;
                well_for_others += well.contains(server) ? 1U : 0U;
            }
        }
        const std::size_t failing = from.failing_servers;
        const bool most_fail =
            static_cast<double>(failing) >=
            reporter_cut_fraction * static_cast<double>(from.seen_servers);
        const bool enough = failing >= reporter_cut_servers &&
                            failures >= reporter_cut_failures;
        if (!most_fail || !enough || 2 * well_for_others <= failing)
        {
            continue;
        }
        if (from.cut_until <= now)
        {
            this->add(out, detection_event_kind::reporter_cut, {}, reporter,
                      format("it sees %zu of %zu servers fail, others see %zu "
                             "of these well",
                             failing, from.seen_servers, well_for_others));
        }
        from.cut_until = now + ejection_lease;
    }
}

void detector::find_path_cuts(const std::set<std::string>& well,
                              time_point now,
                              events& out)
{
    for (auto& [reporter, from] : this->reporters)
    {
        if (from.cut_until > now)
        {
            continue;
        }
        std::vector<std::string> found;
        for (const auto& [server, sum] : from.servers)
        {
            const bool recent = now - sum.last_failure < recent_failure;
            if (recent && sum.streak >= this->needed_streak &&
                well.contains(server) && !is_cut(from, server, now))
            {
                found.push_back(server);
            }
        }
        for (const std::string& server : found)
        {
            this->cut_path(reporter, from, server, now, out);
        }
    }
}

void detector::cut_path(const std::string& reporter,
                        reporter_record& from,
                        const std::string& server,
                        time_point now,
                        events& out)
{
    const auto cut_now =
        static_cast<double>(std::count_if(from.cuts.begin(), from.cuts.end(),
                                          [now](const auto& each)
                                          {
                                              return each.second.until > now;
                                          }));
    const auto total = static_cast<double>(this->servers.size());
    if (cut_now + 1.0 > total * (1.0 - uncut_part))
    {
        return;
    }
    cut& path = from.cuts[server];
    path.hold = next_hold(path.hold, path.until, now);
    path.until = now + path.hold;
    from.servers.erase(server);
    path.via = this->best_reporter(server, now);
    this->add(out, detection_event_kind::path_cut, server, reporter,
              format("its attempts fail, those of others succeed; hold %.0f s",
                     seconds(path.hold)));
}

// The server in the middle of the service. Latencies are compared only while
// most servers answer and few fail: otherwise the servers that still answer
// would look slow beside stale figures of those that do not.
detector::typical_server
detector::find_typical(const std::map<std::string, pooled>& seen,
                       time_point now) const
{
    const double fresh =
        std::max(fresh_part * this->age_seconds, 3.0 * seconds(report_period));
    std::vector<double> failures;
    std::vector<double> latencies;
    std::vector<double> successes;
    for (const auto& [server, sum] : seen)
    {
        successes.push_back(sum.succeeded);
        failures.push_back(sum.all_failed_fraction());
        if (sum.succeeded >= failing_count &&
            seconds(now - sum.last_success) < fresh)
        {
            latencies.push_back(sum.latency_sum / sum.succeeded);
        }
    }
    typical_server typical;
    typical.failures = median(failures);
    if (2 * latencies.size() >= seen.size() &&
        typical.failures < comparable_failures &&
        median(successes) >= comparable_successes)
    {
        typical.latency = median(latencies);
    }
    return typical;
}

void detector::follow_traffic(const std::map<std::string, pooled>& seen)
{
    std::vector<double> attempts;
    attempts.reserve(seen.size());
    for (const auto& [server, sum] : seen)
    {
        attempts.push_back(sum.succeeded + sum.all_failed);
    }
    const double typical = std::max(1.0, median(attempts));
    const double wanted = this->age_seconds * typical_attempts / typical;
    const double step =
        std::clamp(wanted, 0.9 * this->age_seconds, 1.1 * this->age_seconds);
    this->age_seconds =
        std::clamp(step, least_age_seconds, greatest_age_seconds);
}

// Judges every server against the others of its service.
std::vector<detector::suspect> detector::find_suspects(
    const std::set<std::string>& well, time_point now, events& out)
{
    std::map<std::string, pooled> seen;
    for (const auto& [server, record] : this->servers)
    {
        if (record.ejected || !takes_new_work(record.command))
        {
            continue;
        }
        const pooled sum = this->pool(server, well.contains(server), now);
        if (sum.succeeded + sum.all_failed >= failing_count)
        {
            seen.emplace(server, sum);
        }
    }
    const typical_server typical = this->find_typical(seen, now);
    this->follow_traffic(seen);
    if (typical.failures >= bad_failures && seen.size() > 1)
    {
        this->note_service_slow(
            format("the typical server fails %.0f%%: none is ejected",
                   100.0 * typical.failures),
            now, out);
        return {};
    }
    std::vector<suspect> suspects;
    for (const auto& [server, sum] : seen)
    {
        if (auto found = this->judge(server, sum, typical, now))
        {
            suspects.push_back(std::move(*found));
        }
    }
    if (2 * suspects.size() > seen.size() && seen.size() > 1)
    {
        this->note_service_slow(
            format("%zu of %zu servers look bad: none is ejected",
                   suspects.size(), seen.size()),
            now, out);
        return {};
    }
    std::stable_sort(suspects.begin(), suspects.end(),
                     [](const suspect& left, const suspect& right)
                     {
                         return left.badness > right.badness;
                     });
    return suspects;
}

void detector::note_service_slow(std::string reason,
                                 time_point now,
                                 events& out)
{
    if (this->slow_until <= now)
    {
        this->add(out, detection_event_kind::service_slow, {}, {},
                  std::move(reason));
    }
    this->slow_until = now + kept_log_period;
}

// Sequential test of the failures as Bernoulli trials against the service's
// typical server. Two reporters must confirm, unless only one has traffic.
std::optional<detector::suspect> detector::judge(const std::string& server,
                                                 const pooled& seen,
                                                 const typical_server& typical,
                                                 time_point now) const
{
    const std::size_t needed = std::min<std::size_t>(2, seen.reporters);
    const double normal = std::max(typical.failures, least_normal_failures);
    const double bad =
        std::min(greatest_failures, std::max(bad_failures, 3.0 * normal));
    const double failure_evidence =
        seen.failed * std::log(bad / normal) +
        seen.succeeded * std::log((1.0 - bad) / (1.0 - normal));
    if (failure_evidence < this->evidence_threshold() ||
        seen.failing_reporters < needed)
    {
        return this->judge_latency(server, seen, typical.latency, now);
    }
    return suspect{server, seen.failed_fraction(),
                   format("failed %.0f%% of %.0f recent attempts, typical "
                          "%.0f%%, %zu of %zu reporters",
                          100.0 * seen.failed_fraction(),
                          seen.failed + seen.succeeded,
                          100.0 * typical.failures, seen.failing_reporters,
                          seen.reporters)};
}

// The same for latencies, as exponential times with the typical mean.
std::optional<detector::suspect>
detector::judge_latency(const std::string& server,
                        const pooled& seen,
                        double typical_latency,
                        time_point now) const
{
    if (typical_latency <= 0.0 || seen.succeeded < slow_least_samples)
    {
        return std::nullopt;
    }
    const double mean = seen.latency_sum / seen.succeeded;
    const double ratio = mean / typical_latency;
    const double slow_evidence =
        seen.succeeded *
        (ratio * (1.0 - 1.0 / slow_ratio) - std::log(slow_ratio));
    const bool slow =
        mean >= slow_ratio * typical_latency + slow_margin_seconds;
    const std::size_t needed = std::min<std::size_t>(2, seen.reporters);
    if (!slow || slow_evidence < this->evidence_threshold() ||
        this->slow_reporters(server, typical_latency, now) < needed)
    {
        return std::nullopt;
    }
    return suspect{server, 1.0 - 1.0 / ratio,
                   format("mean latency %.0f ms, typical %.0f ms", 1e3 * mean,
                          1e3 * typical_latency)};
}

void detector::end_holds(time_point now, events& out)
{
    for (auto& [server, record] : this->servers)
    {
        if (record.ejected && record.hold_ends <= now)
        {
            this->release(record, server, now);
            this->add(out, detection_event_kind::readmitted, server, {},
                      format("hold of %.0f s is over", seconds(record.hold)));
        }
    }
}

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

// An operator's order may leave less room than the ejections in force use.
void detector::keep_floor(time_point now, events& out)
{
    while (this->ejected_count() > 0 &&
           this->ordered_out() + this->ejected_count() > this->allowed_out())
    {
        const std::string server = this->least_bad_ejected();
        this->release(this->servers.at(server), server, now);
        this->add(out, detection_event_kind::replaced, server, {},
                  "operator orders leave no room above the floor, it is the "
                  "least bad; " +
                      this->floor_text(now));
    }
}

void detector::eject(const suspect& bad, time_point now, events& out)
{
    server_record& record = this->servers.at(bad.server);
    record.hold = next_hold(record.hold, record.released_at, now);
    record.ejected = true;
    record.badness = bad.badness;
    record.hold_ends = now + record.hold;
    this->forget_evidence(bad.server);
    this->add(out, detection_event_kind::ejected, bad.server, {},
              bad.reason + format("; hold %.0f s", seconds(record.hold)));
}

// Ejects the suspect if the floor leaves room. Otherwise it replaces a less
// bad server, whose leases must end first; else it stays in service. The place
// is reserved meanwhile: the replaced server is still bad and, as its leases
// count already, it would take the place back.
void detector::place(const suspect& bad, time_point now, events& out)
{
    server_record& record = this->servers.at(bad.server);
    const bool leased_already = record.leased_until > now;
    const std::size_t others_out =
        this->out_of_service(now) - (leased_already ? 1U : 0U);
    if (others_out + this->reserved < this->allowed_out())
    {
        this->eject(bad, now, out);
        return;
    }
    if (this->ordered_out() + this->ejected_count() < this->allowed_out())
    {
        ++this->reserved;
        return;
    }
    const std::string least = this->least_bad_ejected();
    if (!least.empty() &&
        this->servers.at(least).badness * replacement_ratio < bad.badness)
    {
        this->release(this->servers.at(least), least, now);
        ++this->reserved;
        this->add(out, detection_event_kind::replaced, least, {},
                  "the floor binds and " + bad.server + " is worse: " +
                      bad.reason + "; " + this->floor_text(now));
        return;
    }
    if (record.kept_logged_until <= now)
    {
        this->add(out, detection_event_kind::kept_by_floor, bad.server, {},
                  bad.reason + "; the floor binds and it is the least bad; " +
                      this->floor_text(now));
        record.kept_logged_until = now + kept_log_period;
    }
}

std::string detector::least_bad_ejected() const
{
    std::string least;
    double badness = 2.0;
    for (const auto& [server, record] : this->servers)
    {
        if (record.ejected && record.badness < badness)
        {
            badness = record.badness;
            least = server;
        }
    }
    return least;
}

std::size_t detector::ordered_out() const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [](const auto& each)
                      {
                          return !takes_new_work(each.second.command);
                      }));
}

std::size_t detector::ejected_count() const
{
    return static_cast<std::size_t>(
        std::count_if(this->servers.begin(), this->servers.end(),
                      [](const auto& each)
                      {
                          return each.second.ejected;
                      }));
}

std::string detector::floor_text(time_point now) const
{
    return format("%zu of %zu servers out (%zu by order), %zu allowed",
                  this->out_of_service(now), this->servers.size(),
                  this->ordered_out(), this->allowed_out());
}

} // namespace medlarbarrow::core
