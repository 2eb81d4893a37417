#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <utility>

namespace medlarbarrow::core
{

namespace
{

/// Weight of a new sample in the averages of a server.
constexpr double sample_weight = 0.2;

/// Weight of a new sample in the average over a whole service.
constexpr double service_sample_weight = 0.02;

/// Without new work an estimate returns to the service's average over this
/// time, so that a server that was bad once is tried again.
constexpr double estimate_age_seconds = 10.0;

/// A shed says that the server was busy just then, so it ages fast.
constexpr double shed_age_seconds = 1.0;

/// Assumed latency before the first answer of a service.
constexpr double default_latency_seconds = 0.02;

/// A farther data centre is used when its server costs less than the nearer
/// one divided by this ratio, and by at least the extra network time.
constexpr double overflow_ratio = 1.5;
constexpr double overflow_margin_seconds = 0.003;

/// Smallest share of its normal traffic that a server gets in slow start.
constexpr double slow_start_least = 0.1;

/// Failures in a row after which the next success counts as a cold start.
constexpr std::uint32_t cold_start_failures = 3;

/// Connections an instance keeps to one server, and the part of a server's
/// connections that the fleet may use in all.
constexpr double connections_per_instance = 2.0;
constexpr double connection_share = 0.5;

/// An attempt with less time than this multiple of the typical latency may
/// time out at a well server.
constexpr int fair_chance = 8;

/// Draws before a server in slow start is taken in spite of its weight.
constexpr int slow_start_draws = 4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Part of an estimate that is left after the time since `from`.
double left_after(time_point from, time_point now, double age_seconds)
{
    return std::exp(-std::max(0.0, seconds(now - from)) / age_seconds);
}

bool same_server(const backend_server& left, const backend_server& right)
{
    return left.name == right.name && left.address == right.address &&
           left.port == right.port;
}

} // namespace

work_outcome outcome_of_timeout(duration allowed, duration typical_latency)
{
    return allowed < fair_chance * typical_latency ? work_outcome::abandoned
                                                   : work_outcome::timed_out;
}

bool takes_new_work(operator_command command)
{
    return command == operator_command::none ||
           command == operator_command::readmit;
}

std::size_t max_out_of_service(std::size_t servers, double floor)
{
    const double kept = std::ceil(static_cast<double>(servers) * floor - 1e-9);
    const auto in_service = static_cast<std::size_t>(std::max(0.0, kept));
    return servers - std::min(servers, in_service);
}

server_table::server_table(std::string instance_name,
                           std::string centre_name,
                           std::string region_name)
    : instance(std::move(instance_name)), data_centre(std::move(centre_name)),
      region(std::move(region_name))
{
}

// Rebuilds every service; entries of servers that remain are carried over.
void server_table::apply(const document& next, time_point now)
{
    std::map<std::string, std::string> region_of;
    for (const core::data_centre& centre : next.data_centres)
    {
        region_of[centre.name] = centre.region;
    }
    std::map<std::string, service_entry> rebuilt;
    for (const service& described : next.services)
    {
        service_entry& fresh = rebuilt[described.name];
        service_entry* old = this->find(described.name);
        fresh.policy = described.policy;
        if (old != nullptr)
        {
            fresh.latency = old->latency;
            fresh.blocks = std::move(old->blocks);
        }
        for (const backend_server& server : described.servers)
        {
            fresh.servers.push_back(this->carry_over(old, fresh, server, now));
            server_entry& entry = fresh.servers.back();
            entry.rank = hash_text(described.name + '/' + server.name,
                                   hash_text(this->instance));
            const bool near = server.data_centre == this->data_centre;
            const bool region_matches =
                region_of[server.data_centre] == this->region;
            entry.distance = near ? 0 : (region_matches ? 1 : 2);
        }
        std::stable_sort(fresh.servers.begin(), fresh.servers.end(),
                         [](const server_entry& left, const server_entry& right)
                         {
                             return left.rank > right.rank;
                         });
        this->keep_floor(fresh);
    }
    this->services = std::move(rebuilt);
    this->has_document = true;
}

// A new server, and one whose order ends, starts slowly. At the first document
// every server is new, so none is held back relative to the others.
server_table::server_entry
server_table::carry_over(const service_entry* old,
                         service_entry& fresh,
                         const backend_server& server,
                         time_point now) const
{
    server_entry entry;
    const server_entry* previous = nullptr;
    if (old != nullptr)
    {
        for (const server_entry& candidate : old->servers)
        {
            if (same_server(candidate.server, server))
            {
                previous = &candidate;
            }
        }
    }
    if (previous == nullptr)
    {
        entry.server = server;
        if (this->has_document)
        {
            entry.slow_start_from = now;
        }
        return entry;
    }
    entry = *previous;
    entry.server = server;
    const bool was_out = !takes_new_work(previous->server.command);
    const bool readmitted =
        server.command == operator_command::readmit &&
        previous->server.command != operator_command::readmit;
    if (readmitted)
    {
        std::erase_if(fresh.blocks,
                      [&server](const server_block& block)
                      {
                          return block.server == server.name;
                      });
    }
    if (readmitted || (was_out && takes_new_work(server.command)))
    {
        restart(entry, now);
    }
    return entry;
}

// Forgets what is known of a server that returns, and starts it slowly.
void server_table::restart(server_entry& entry, time_point now)
{
    entry.errors = 0.0;
    entry.shedding = 0.0;
    entry.latency = 0.0;
    entry.consecutive_failures = 0;
    entry.slow_start_from = now;
}

void server_table::set_instances(std::size_t count)
{
    this->instances = std::max<std::size_t>(1, count);
}

void server_table::set_blocks(const std::string& service,
                              std::vector<server_block> blocks,
                              time_point now)
{
    service_entry* in = this->find(service);
    if (in == nullptr)
    {
        return;
    }
    end_expired_blocks(*in, now);
    const std::vector<server_block> before =
        std::exchange(in->blocks, std::move(blocks));
    this->keep_floor(*in);
    for (const server_block& old : before)
    {
        if (block_of(*in, old.server, now) == nullptr)
        {
            restart_named(*in, old.server, now);
        }
    }
}

void server_table::restart_named(service_entry& in,
                                 const std::string& server,
                                 time_point now)
{
    for (server_entry& entry : in.servers)
    {
        if (entry.server.name == server)
        {
            restart(entry, now);
        }
    }
}

void server_table::end_expired_blocks(service_entry& in, time_point now)
{
    for (const server_block& block : in.blocks)
    {
        if (block.until <= now)
        {
            restart_named(in, block.server, now);
        }
    }
    std::erase_if(in.blocks,
                  [now](const server_block& block)
                  {
                      return block.until <= now;
                  });
}

// The owner counts the floor over the whole fleet; this second count uses the
// document in force here, which may order more servers out than the owner's.
void server_table::keep_floor(service_entry& in) const
{
    std::size_t out = 0;
    for (const server_entry& entry : in.servers)
    {
        out += takes_new_work(entry.server.command) ? 0U : 1U;
    }
    const std::size_t allowed =
        max_out_of_service(in.servers.size(), in.policy.healthy_floor);
    std::vector<server_block> kept;
    for (server_block& block : in.blocks)
    {
        const auto at =
            std::find_if(in.servers.begin(), in.servers.end(),
                         [&block](const server_entry& entry)
                         {
                             return entry.server.name == block.server;
                         });
        if (at == in.servers.end())
        {
            continue;
        }
        const bool counts = block.state == server_state::ejected &&
                            takes_new_work(at->server.command);
        if (counts && out >= allowed)
        {
            continue;
        }
        out += counts ? 1U : 0U;
        kept.push_back(std::move(block));
    }
    in.blocks = std::move(kept);
}

std::optional<server_choice>
server_table::choose(const std::string& service,
                     const std::vector<std::string>& excluded,
                     std::mt19937_64& random,
                     time_point now)
{
    service_entry* in = this->find(service);
    if (in == nullptr)
    {
        return std::nullopt;
    }
    end_expired_blocks(*in, now);
    const server_entry* best = nullptr;
    double best_cost = 0.0;
    const auto usable = this->candidates(*in, excluded, now);
    for (unsigned distance = 0; distance <= 2; ++distance)
    {
        std::vector<const server_entry*> group;
        std::copy_if(usable.begin(), usable.end(), std::back_inserter(group),
                     [distance](const server_entry* entry)
                     {
                         return entry->distance == distance;
                     });
        const server_entry* pick = better_of_two(*in, group, random, now);
        if (pick == nullptr)
        {
            continue;
        }
        const double pick_cost = cost(*in, *pick, now);
        if (best == nullptr ||
            best_cost > pick_cost * overflow_ratio + overflow_margin_seconds)
        {
            best = pick;
            best_cost = pick_cost;
        }
    }
    if (best == nullptr)
    {
        return std::nullopt;
    }
    return server_choice{best->server, {}};
}

std::optional<server_choice>
server_table::choose_forwarded(const std::string& service,
                               const std::vector<std::string>& excluded,
                               std::mt19937_64& random,
                               time_point now)
{
    const service_entry* in = this->find(service);
    if (in == nullptr)
    {
        return std::nullopt;
    }
    std::vector<server_choice> choices;
    for (const server_entry& entry : in->servers)
    {
        const server_block* block = block_of(*in, entry.server.name, now);
        const bool cut = block != nullptr &&
                         block->state == server_state::path_cut &&
                         !block->via.empty();
        const bool skip = std::find(excluded.begin(), excluded.end(),
                                    entry.server.name) != excluded.end();
        if (cut && !skip && takes_new_work(entry.server.command))
        {
            choices.push_back({entry.server, block->via});
        }
    }
    if (choices.empty())
    {
        return std::nullopt;
    }
    return choices[random() % choices.size()];
}

void server_table::started(const std::string& service,
                           const std::string& server)
{
    if (server_entry* entry = this->find_server(service, server))
    {
        ++entry->in_flight;
    }
}

void server_table::finished(const std::string& service,
                            const std::string& server,
                            work_outcome outcome,
                            duration latency,
                            time_point now)
{
    server_entry* entry = this->find_server(service, server);
    if (entry == nullptr)
    {
        return;
    }
    entry->in_flight -= entry->in_flight > 0 ? 1U : 0U;
    if (outcome == work_outcome::abandoned)
    {
        return;
    }
    this->learn(*this->find(service), *entry, outcome, latency, now);
}

// Ages the averages to now, then adds one sample.
void server_table::learn(service_entry& in,
                         server_entry& entry,
                         work_outcome outcome,
                         duration latency,
                         time_point now)
{
    entry.latency = current_latency(in, entry, now);
    entry.errors *= left_after(entry.updated, now, estimate_age_seconds);
    entry.shedding *= left_after(entry.updated, now, shed_age_seconds);
    entry.updated = now;
    const auto add = [](double& average, double sample, double weight)
    {
        average += weight * (sample - average);
    };
    if (outcome == work_outcome::shed)
    {
        add(entry.shedding, 1.0, 0.5);
        return;
    }
    add(entry.shedding, 0.0, 0.5);
    const bool success = outcome == work_outcome::succeeded;
    add(entry.errors, success ? 0.0 : 1.0, sample_weight);
    if (outcome == work_outcome::failed)
    {
        ++entry.consecutive_failures;
        return;
    }
    add(entry.latency, seconds(latency), sample_weight);
    if (!success)
    {
        return;
    }
    if (entry.consecutive_failures >= cold_start_failures)
    {
        entry.slow_start_from = now;
    }
    entry.consecutive_failures = 0;
    if (in.latency <= 0.0)
    {
        in.latency = seconds(latency);
    }
    add(in.latency, seconds(latency), service_sample_weight);
}

bool server_table::usable(const std::string& service, time_point now) const
{
    return this->usable_slots(service, now) > 0;
}

duration server_table::typical_latency(const std::string& service) const
{
    const service_entry* in = this->find(service);
    const double value = in != nullptr ? in->latency : 0.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(value));
}

std::uint32_t server_table::usable_slots(const std::string& service,
                                         time_point now) const
{
    std::uint32_t slots = 0;
    if (const service_entry* in = this->find(service))
    {
        for (const server_entry& entry : in->servers)
        {
            slots += may_use(*in, entry, now) ? entry.server.slots : 0U;
        }
    }
    return slots;
}

std::vector<server_view> server_table::view(time_point now) const
{
    std::vector<server_view> views;
    for (const auto& [name, in] : this->services)
    {
        for (const server_entry& entry : in.servers)
        {
            server_view shown;
            shown.service = name;
            shown.server = entry.server.name;
            shown.data_centre = entry.server.data_centre;
            shown.state = state_name(in, entry, now);
            shown.in_flight = entry.in_flight;
            shown.mean_latency = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(entry.latency));
            shown.error_fraction =
                entry.errors *
                left_after(entry.updated, now, estimate_age_seconds);
            views.push_back(std::move(shown));
        }
    }
    return views;
}

const char* server_table::state_name(const service_entry& in,
                                     const server_entry& entry,
                                     time_point now)
{
    switch (entry.server.command)
    {
    case operator_command::drain:
        return "draining";
    case operator_command::hold:
        return "held";
    case operator_command::eject:
        return "ejected";
    case operator_command::none:
    case operator_command::readmit:
        break;
    }
    const server_block* block = block_of(in, entry.server.name, now);
    if (block == nullptr)
    {
        return "healthy";
    }
    return block->state == server_state::path_cut ? "path_cut" : "ejected";
}

server_table::service_entry* server_table::find(const std::string& service)
{
    const auto at = this->services.find(service);
    return at != this->services.end() ? &at->second : nullptr;
}

const server_table::service_entry*
server_table::find(const std::string& service) const
{
    const auto at = this->services.find(service);
    return at != this->services.end() ? &at->second : nullptr;
}

server_table::server_entry*
server_table::find_server(const std::string& service, const std::string& server)
{
    service_entry* in = this->find(service);
    if (in == nullptr)
    {
        return nullptr;
    }
    for (server_entry& entry : in->servers)
    {
        if (entry.server.name == server)
        {
            return &entry;
        }
    }
    return nullptr;
}

const server_block* server_table::block_of(const service_entry& in,
                                           const std::string& server,
                                           time_point now)
{
    for (const server_block& block : in.blocks)
    {
        if (block.server == server && block.until > now)
        {
            return &block;
        }
    }
    return nullptr;
}

bool server_table::may_use(const service_entry& in,
                           const server_entry& entry,
                           time_point now)
{
    return takes_new_work(entry.server.command) &&
           block_of(in, entry.server.name, now) == nullptr;
}

// As many servers as keep the fleet within its share of their connections, if
// each instance opens connections to its own subset only.
std::size_t server_table::subset_size(const service_entry& in) const
{
    double connections = 0.0;
    for (const server_entry& entry : in.servers)
    {
        connections += entry.server.connections;
    }
    const double share = connections * connection_share /
                         connections_per_instance /
                         static_cast<double>(this->instances);
    const auto wanted = static_cast<std::size_t>(share);
    return std::min(in.servers.size(), std::max(minimum_subset, wanted));
}

// Takes the highest-ranked usable servers of each data centre in proportion to
// its size, so that every instance keeps servers near it and the next in rank
// replaces one that is out. Excluded servers are removed afterwards: a retry
// must not open connections outside the subset while others are left in it.
std::vector<const server_table::server_entry*>
server_table::candidates(const service_entry& in,
                         const std::vector<std::string>& excluded,
                         time_point now) const
{
    std::map<std::string_view, std::size_t> centre_sizes;
    for (const server_entry& entry : in.servers)
    {
        ++centre_sizes[entry.server.data_centre];
    }
    const std::size_t wanted = this->subset_size(in);
    const std::size_t total = in.servers.size();
    std::map<std::string_view, std::size_t> taken;
    std::vector<const server_entry*> chosen;
    std::vector<const server_entry*> others;
    const auto is_excluded = [&excluded](const server_entry& entry)
    {
        return std::find(excluded.begin(), excluded.end(), entry.server.name) !=
               excluded.end();
    };
    for (const server_entry& entry : in.servers)
    {
        if (!may_use(in, entry, now))
        {
            continue;
        }
        const std::string_view centre = entry.server.data_centre;
        const std::size_t quota =
            (wanted * centre_sizes[centre] + total - 1) / total;
        const bool within = taken[centre] < quota;
        taken[centre] += within ? 1U : 0U;
        if (!is_excluded(entry))
        {
            (within ? chosen : others).push_back(&entry);
        }
    }
    return chosen.empty() ? others : chosen;
}

// The average of the server, drawn towards the service's average with age.
double server_table::current_latency(const service_entry& in,
                                     const server_entry& entry,
                                     time_point now)
{
    const double typical =
        in.latency > 0.0 ? in.latency : default_latency_seconds;
    if (entry.latency <= 0.0)
    {
        return typical;
    }
    const double left = left_after(entry.updated, now, estimate_age_seconds);
    return typical + left * (entry.latency - typical);
}

// Expected time in seconds for one more request: the queue this instance has
// at the server, times its latency, raised by recent errors and sheds. At
// half errors the cost is four times the normal one.
double server_table::cost(const service_entry& in,
                          const server_entry& entry,
                          time_point now)
{
    const double errors =
        entry.errors * left_after(entry.updated, now, estimate_age_seconds);
    const double shedding =
        entry.shedding * left_after(entry.updated, now, shed_age_seconds);
    const double success = std::max(0.05, 1.0 - errors);
    const double queue = 1.0 + static_cast<double>(entry.in_flight);
    return queue * current_latency(in, entry, now) * (1.0 + 4.0 * shedding) /
           (success * success);
}

const server_table::server_entry*
server_table::draw(const std::vector<const server_entry*>& group,
                   std::mt19937_64& random,
                   time_point now)
{
    std::uniform_int_distribution<std::size_t> index(0, group.size() - 1);
    std::uniform_real_distribution<double> chance(0.0, 1.0);
    const server_entry* drawn = group[index(random)];
    for (int attempt = 1; attempt < slow_start_draws; ++attempt)
    {
        if (!drawn->slow_start_from)
        {
            break;
        }
        const double warm =
            seconds(now - *drawn->slow_start_from) / seconds(slow_start_period);
        if (chance(random) < std::max(slow_start_least, warm))
        {
            break;
        }
        drawn = group[index(random)];
    }
    return drawn;
}

// Two random choices: close to the least loaded server without every instance
// sending to the same one.
const server_table::server_entry*
server_table::better_of_two(const service_entry& in,
                            const std::vector<const server_entry*>& group,
                            std::mt19937_64& random,
                            time_point now)
{
    if (group.empty())
    {
        return nullptr;
    }
    const server_entry* first = draw(group, random, now);
    const server_entry* second = draw(group, random, now);
    if (first == second && group.size() > 1)
    {
        second = draw(group, random, now);
    }
    return cost(in, *first, now) <= cost(in, *second, now) ? first : second;
}

} // namespace medlarbarrow::core
