#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/placement.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;
using real_seconds = std::chrono::duration<double>;

/// A server whose doubt reaches this gets no work but tests.
constexpr double suspicion = 1.0;
constexpr double greatest_doubt = 3.0;
constexpr real_seconds doubt_half_life{2.0};

constexpr double overdue_doubt = 1.3;
constexpr double broke_off_doubt = 1.1;
/// Servers fail some requests by nature: one failure alone means little.
constexpr double failed_doubt = 0.6;
constexpr double shed_doubt = 0.3;
constexpr double unreachable_doubt = 0.45;
constexpr double success_factor = 0.45;

/// With fewer trusted servers than this share the fault lies in the service:
/// doubt then orders the servers but excludes none.
constexpr double least_trusted_share = 0.4;

constexpr milliseconds test_pause{600};

/// Share of a cold server's slots that get work.
constexpr double cold_share = 0.67;

/// Part of the fleet's limit on repeats that an owner uses; the rest covers
/// what an earlier owner has granted in the same window.
constexpr double repeat_share = 0.5;

/// Costs that order the servers, in units of a full server.
constexpr double distance_cost = 0.35;
constexpr double kept_connection_gain = 0.15;
constexpr double doubt_cost = 0.4;
constexpr double random_cost = 0.05;
/// Of a request that runs longer than its kind of work mostly does: the server
/// may have begun to hang.
constexpr double lingering_cost = 0.6;
constexpr double lingering_after = 1.3; ///< times the typical duration
/// Of a server without a success for `proof_age`, to work that may be sent
/// once only. Work that may be repeated goes there instead, and proves it.
constexpr double unproven_cost = 0.3;
constexpr double unproven_gain = 0.1;
constexpr real_seconds proof_age{2.0};

/// Idle connections of an instance are worth using for this long.
constexpr seconds connection_age{8};

/// After this share of its time to the objective has passed in the queue, a
/// request takes a place beyond a server's slots.
constexpr double pressed_share = 0.35;
constexpr std::uint32_t pressed_extra = 1;

/// Time beyond its own end after which a lost grant is forgotten.
constexpr milliseconds grant_slack{300};

constexpr std::uint32_t least_samples = 8;
constexpr double sample_weight = 0.05;
constexpr double deviations_overdue = 4.0;
constexpr milliseconds least_overdue{60};

/// Different servers that a request must crash before it is blocked.
constexpr std::size_t crash_limit = 3;
constexpr std::size_t most_crash_records = 1024;
constexpr seconds crash_memory{60};

constexpr milliseconds least_retry_after{100};

double in_seconds(duration value)
{
    return std::chrono::duration_cast<real_seconds>(value).count();
}

duration from_seconds(double value)
{
    return std::chrono::duration_cast<duration>(real_seconds(value));
}

bool contains_name(const std::vector<std::string>& names,
                   const std::string& name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

placement::placement(repeat_limits chosen, std::uint64_t seed)
    : limits(chosen), random(seed)
{
}

// Keeps what is known of servers that remain; a new start of a server begins
// anew.
void placement::set_servers(const std::vector<const announced_server*>& usable,
                            time_point now)
{
    std::map<std::string, server_state> next;
    for (const announced_server* item : usable)
    {
        const auto found = this->servers.find(item->server.name);
        server_state state;
        if (found != this->servers.end() &&
            found->second.known.started == item->started)
        {
            state = std::move(found->second);
        }
        else
        {
            state.doubt_at = now;
        }
        state.known = *item;
        next.emplace(item->server.name, std::move(state));
    }
    this->servers = std::move(next);
}

std::uint32_t placement::capacity_of(const server_state& server,
                                     time_point now) const
{
    const std::uint32_t slots =
        std::max<std::uint32_t>(server.known.server.slots, 1);
    if (now >= server.known.warm_from)
    {
        return slots;
    }
    return std::max<std::uint32_t>(
        1, static_cast<std::uint32_t>(slots * cold_share));
}

// Doubt fades with time, so that a server that has recovered gets work again
// even where nothing may be sent to test it.
void placement::decay(server_state& server, time_point now) const
{
    const double age = in_seconds(now - server.doubt_at);
    server.doubt *= std::exp2(-age / doubt_half_life.count());
    server.doubt_at = now;
    server.suspected = server.suspected && server.doubt >= suspicion / 2;
}

void placement::add_doubt(const std::string& name,
                          double amount,
                          const char* reason,
                          time_point now)
{
    const auto found = this->servers.find(name);
    if (found == this->servers.end())
    {
        return;
    }
    server_state& server = found->second;
    this->decay(server, now);
    server.doubt = std::min(server.doubt + amount, greatest_doubt);
    if (!server.suspected && server.doubt >= suspicion)
    {
        server.suspected = true;
        this->events.push_back({name, "suspected", reason, server.doubt});
    }
}

void placement::clear_doubt(server_state& server, double factor, time_point now)
{
    this->decay(server, now);
    server.doubt *= factor;
    if (server.suspected && server.doubt < suspicion / 2)
    {
        server.suspected = false;
        this->events.push_back(
            {server.known.server.name, "trusted", "answers", server.doubt});
    }
}

duration placement::typical(const place_request& asked) const
{
    const auto found = this->works.find(asked.work);
    if (found == this->works.end() || found->second.samples < least_samples)
    {
        return asked.objective / 4;
    }
    return from_seconds(found->second.mean);
}

duration placement::overdue_after(const place_request& asked) const
{
    const auto found = this->works.find(asked.work);
    if (found == this->works.end() || found->second.samples < least_samples)
    {
        return std::max<duration>(asked.objective * 6 / 10, least_overdue);
    }
    const work_time& work = found->second;
    const double limit = std::max(
        work.mean + deviations_overdue * work.deviation, 2 * work.mean);
    return std::max<duration>(from_seconds(limit), least_overdue);
}

// How far each server's slowest running request is past its typical time: 0 at
// first, 1 when it is overdue.
std::map<std::string_view, double>
placement::find_lingering(time_point now) const
{
    std::map<std::string_view, double> found;
    for (const auto& [id, item] : this->grants)
    {
        const double begins =
            lingering_after * in_seconds(this->typical(item.asked));
        const double age = in_seconds(now - item.since);
        if (age > begins)
        {
            const double whole = in_seconds(item.overdue_at - item.since);
            const double part =
                (age - begins) / std::max(whole - begins, 0.001);
            double& most = found[item.server];
            most = std::max(most, std::min(part + 0.3, 1.0));
        }
    }
    return found;
}

// The server with the least cost gets the request.
double placement::cost_of(const server_state& server,
                          const place_request& asked,
                          double lingering,
                          time_point now) const
{
    double cost =
        static_cast<double>(server.running) / this->capacity_of(server, now);
    if (server.known.server.data_centre != asked.data_centre)
    {
        cost += distance_cost;
    }
    cost += doubt_cost * server.doubt;
    cost += server.suspected ? greatest_doubt : 0.0;
    cost += lingering_cost * lingering;
    const auto used = server.used_by.find(asked.grant.instance);
    if (used != server.used_by.end() && now - used->second < connection_age)
    {
        cost -= kept_connection_gain;
    }
    const double unproven =
        std::min(in_seconds(now - server.proven) / proof_age.count(), 1.0);
    cost +=
        asked.repeatable ? -unproven_gain * unproven : unproven_cost * unproven;
    return cost;
}

// A server with a free slot: little used, near, with a kept connection of the
// asking instance. A request that has waited long also takes a doubtful server
// or the queue of a busy one.
placement::server_state*
placement::choose(const place_request& asked, bool pressed, time_point now)
{
    std::size_t trusted = 0;
    for (auto& [name, server] : this->servers)
    {
        this->decay(server, now);
        trusted += server.suspected ? 0 : 1;
    }
    const bool service_fails =
        static_cast<double>(trusted) <
        least_trusted_share * static_cast<double>(this->servers.size());
    std::uniform_real_distribution<double> noise(0.0, random_cost);
    const auto lingering = this->find_lingering(now);
    server_state* best = nullptr;
    double least = 0.0;
    for (auto& [name, server] : this->servers)
    {
        const std::uint32_t capacity = this->capacity_of(server, now);
        const std::uint32_t room =
            capacity + (pressed && !server.suspected ? pressed_extra : 0);
        if (server.running >= room || contains_name(asked.excluded, name) ||
            (server.suspected && !service_fails && !pressed))
        {
            continue;
        }
        const auto lingers = lingering.find(name);
        const double cost =
            this->cost_of(server, asked,
                          lingers == lingering.end() ? 0.0 : lingers->second,
                          now) +
            noise(this->random);
        if (best == nullptr || cost < least)
        {
            best = &server;
            least = cost;
        }
    }
    return best;
}

// A suspected server is tested with a request that may be sent again elsewhere
// before its objective is lost.
placement::server_state* placement::due_for_test(const place_request& asked,
                                                 time_point now)
{
    if (!asked.repeatable || asked.repeat || !this->may_repeat(now) ||
        asked.objective < this->overdue_after(asked) + this->typical(asked))
    {
        return nullptr;
    }
    for (auto& [name, server] : this->servers)
    {
        if (server.suspected && server.running == 0 &&
            now - server.tested >= test_pause &&
            !contains_name(asked.excluded, name))
        {
            server.tested = now;
            return &server;
        }
    }
    return nullptr;
}

placement::second_counts& placement::counts_at(time_point now)
{
    const std::int64_t second =
        std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    const std::int64_t window =
        std::chrono::duration_cast<seconds>(this->limits.window).count();
    while (!this->counts.empty() &&
           this->counts.front().second <= second - window)
    {
        this->counts.pop_front();
    }
    if (this->counts.empty() || this->counts.back().second != second)
    {
        this->counts.push_back({second, 0, 0});
    }
    return this->counts.back();
}

bool placement::may_repeat(time_point now)
{
    this->counts_at(now);
    double requests = 0;
    double repeats = 0;
    for (const second_counts& item : this->counts)
    {
        requests += item.requests;
        repeats += item.repeats;
    }
    const double allowed = this->limits.ratio * requests + this->limits.slack;
    return repeats + 1 <= repeat_share * allowed;
}

place_answer placement::grant(const place_request& asked,
                              server_state& server,
                              time_point now)
{
    const duration overdue = this->overdue_after(asked);
    granted made;
    made.server = server.known.server.name;
    made.asked = asked;
    made.since = now;
    made.overdue_at = now + overdue;
    if (now < server.known.warm_from)
    {
        made.overdue_at += overdue;
    }
    made.ends = now + asked.left + grant_slack;
    ++server.running;
    server.used_by[asked.grant.instance] = now;
    if (asked.repeat)
    {
        ++this->counts_at(now).repeats;
    }
    placed answer{made.server, this->typical(asked), overdue};
    this->grants[asked.grant] = std::move(made);
    return answer;
}

// Work that waits ahead of a request of this rank, spread over all servers.
duration placement::expected_wait(std::uint32_t rank, time_point now) const
{
    double work = 0.0;
    for (const waiter& item : this->queue)
    {
        if (item.asked.rank <= rank)
        {
            work += in_seconds(this->typical(item.asked));
        }
    }
    double capacity = 0.0;
    for (const auto& [name, server] : this->servers)
    {
        capacity += server.suspected ? 0.0 : this->capacity_of(server, now);
    }
    return from_seconds(work / std::max(capacity, 1.0));
}

place_refused placement::refusal(result_code code, time_point now) const
{
    const duration wait =
        this->expected_wait(std::numeric_limits<std::uint32_t>::max(), now);
    return {code, std::max<duration>(2 * wait, least_retry_after)};
}

bool placement::is_crashing(std::uint64_t content) const
{
    const auto found = this->crashes.find(content);
    return found != this->crashes.end() &&
           found->second.servers.size() >= crash_limit;
}

place_answer placement::request(const place_request& asked, time_point now)
{
    const auto known = this->grants.find(asked.grant);
    if (known != this->grants.end())
    {
        return placed{known->second.server, this->typical(asked),
                      this->overdue_after(asked)};
    }
    for (const waiter& item : this->queue)
    {
        if (item.asked.grant == asked.grant)
        {
            return queued{};
        }
    }
    if (!asked.repeat)
    {
        ++this->counts_at(now).requests;
    }
    if (this->is_crashing(asked.content))
    {
        return place_refused{result_code::request_blocked, {}};
    }
    if (this->servers.empty())
    {
        return this->refusal(result_code::no_healthy_server, now);
    }
    if (asked.repeat && !this->may_repeat(now))
    {
        return this->refusal(result_code::server_shed, now);
    }
    if (server_state* tested = this->due_for_test(asked, now))
    {
        return this->grant(asked, *tested, now);
    }
    // Requests that wait go first.
    if (this->queue.empty())
    {
        if (server_state* chosen = this->choose(asked, false, now))
        {
            return this->grant(asked, *chosen, now);
        }
    }
    const duration wait = this->expected_wait(asked.rank, now);
    if (wait + this->typical(asked) > std::min(asked.objective, asked.left))
    {
        return this->refusal(result_code::deadline_unreachable, now);
    }
    this->queue.push_back(
        {asked, now, now + asked.objective, now + asked.left});
    return queued{};
}

void placement::note_crash(const granted& ended, time_point now)
{
    if (ended.asked.content == 0)
    {
        return;
    }
    if (this->crashes.size() >= most_crash_records)
    {
        std::erase_if(this->crashes,
                      [now](const auto& item)
                      {
                          return now - item.second.newest > crash_memory;
                      });
    }
    crash_record& record = this->crashes[ended.asked.content];
    record.newest = now;
    if (!contains_name(record.servers, ended.server))
    {
        record.servers.push_back(ended.server);
    }
}

void placement::finished(const grant_id& id,
                         send_outcome outcome,
                         duration took,
                         time_point now)
{
    const auto found = this->grants.find(id);
    if (found == this->grants.end())
    {
        return;
    }
    const granted ended = std::move(found->second);
    this->grants.erase(found);
    const auto where = this->servers.find(ended.server);
    if (where != this->servers.end() && where->second.running > 0)
    {
        --where->second.running;
    }
    switch (outcome)
    {
    case send_outcome::succeeded:
    {
        work_time& work = this->works[ended.asked.work];
        const double value = in_seconds(took);
        const double weight = std::max(sample_weight, 1.0 / (work.samples + 1));
        work.deviation +=
            weight * (std::abs(value - work.mean) - work.deviation);
        if (work.samples == 0)
        {
            work.deviation = value / 2;
        }
        work.mean += weight * (value - work.mean);
        ++work.samples;
        if (where != this->servers.end())
        {
            where->second.proven = now;
            this->clear_doubt(where->second, success_factor, now);
        }
        this->crashes.erase(ended.asked.content);
        break;
    }
    case send_outcome::failed:
        this->add_doubt(ended.server, failed_doubt, "error answers", now);
        break;
    case send_outcome::broke_off:
        this->note_crash(ended, now);
        this->add_doubt(ended.server, broke_off_doubt, "connection ended", now);
        break;
    case send_outcome::timed_out:
        this->add_doubt(ended.server, ended.overdue ? 0.0 : overdue_doubt,
                        "no answer in time", now);
        break;
    case send_outcome::shed:
        this->add_doubt(ended.server, shed_doubt, "request shed", now);
        break;
    case send_outcome::unreachable:
        this->add_doubt(ended.server, unreachable_doubt, "no connection", now);
        break;
    case send_outcome::cancelled:
        break;
    }
}

void placement::withdraw(const grant_id& id, time_point now)
{
    std::erase_if(this->queue,
                  [&id](const waiter& item)
                  {
                      return item.asked.grant == id;
                  });
    this->finished(id, send_outcome::cancelled, {}, now);
}

// A request that runs far longer than its kind of work puts its server under
// suspicion while it runs: waiting for its end would cost further requests.
void placement::find_overdue(time_point now)
{
    std::vector<grant_id> lost;
    for (auto& [id, item] : this->grants)
    {
        if (!item.overdue && now >= item.overdue_at)
        {
            item.overdue = true;
            this->add_doubt(item.server, overdue_doubt, "answer overdue", now);
        }
        if (now >= item.ends)
        {
            lost.push_back(id);
        }
    }
    for (const grant_id& id : lost)
    {
        this->finished(id, send_outcome::cancelled, {}, now);
    }
}

std::vector<late_answer> placement::tick(time_point now)
{
    this->find_overdue(now);
    std::vector<late_answer> answers;
    // The most urgent first; those that lose their objective soonest before
    // others; those that have lost it last.
    std::stable_sort(this->queue.begin(), this->queue.end(),
                     [now](const waiter& left, const waiter& right)
                     {
                         const bool left_lost = left.objective_at < now;
                         const bool right_lost = right.objective_at < now;
                         if (left_lost != right_lost)
                         {
                             return right_lost;
                         }
                         if (left.asked.rank != right.asked.rank)
                         {
                             return left.asked.rank < right.asked.rank;
                         }
                         return left.objective_at < right.objective_at;
                     });
    std::vector<waiter> remaining;
    for (waiter& item : this->queue)
    {
        const duration waited = now - item.since;
        const duration scope = item.asked.objective;
        const bool pressed =
            in_seconds(waited) > pressed_share * in_seconds(scope);
        place_request asked = item.asked;
        asked.left = item.ends - now;
        asked.objective = std::max(item.objective_at - now, duration(0));
        if (asked.left <= this->typical(item.asked) / 2)
        {
            answers.push_back(
                {asked.grant,
                 this->refusal(result_code::deadline_unreachable, now)});
            continue;
        }
        if (server_state* chosen = this->choose(asked, pressed, now))
        {
            answers.push_back({asked.grant, this->grant(asked, *chosen, now)});
            continue;
        }
        remaining.push_back(std::move(item));
    }
    this->queue = std::move(remaining);
    return answers;
}

std::vector<placement_event> placement::take_events()
{
    return std::exchange(this->events, {});
}

} // namespace medlarbarrow::core
