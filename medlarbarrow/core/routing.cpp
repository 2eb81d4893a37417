#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <utility>

namespace medlarbarrow::core
{

namespace
{

/// Weight of a new sample in the moving averages of a server.
constexpr double sample_weight = 0.2;

/// Weight of a new sample in the moving average over all servers of a service.
constexpr double service_sample_weight = 0.02;

/// Without new samples, a server's averages return to the service's normal
/// values, losing 63% of the difference in this time, so that a server that
/// was bad once is tried again.
constexpr double estimate_age_seconds = 10.0;

/// A shed request says only that the server was busy at that moment, so the
/// shed rate decays faster.
constexpr double shed_age_seconds = 1.0;

/// Latency assumed before a service's first success.
constexpr double default_latency_seconds = 0.02;

/// A server in a farther data centre is chosen when its cost, multiplied by
/// this ratio and increased by this margin, is below that of the nearer server.
/// The margin stands for the additional network time.
constexpr double overflow_ratio = 1.5;
constexpr double overflow_margin_seconds = 0.003;

/// Minimum share of its normal traffic that a server gets during slow start.
constexpr double min_slow_start_share = 0.1;

/// Failures in a row after which the next success counts as a cold start.
constexpr std::uint32_t cold_start_failures = 3;

/// Connections that an instance keeps to one server, and the fraction of a
/// server's connections that all instances together may use.
constexpr double connections_per_instance = 2.0;
constexpr double usable_connection_fraction = 0.5;

/// An attempt whose time is less than this multiple of the typical latency may
/// time out even at a healthy server.
constexpr int min_timeout_ratio = 8;

/// Number of random draws after which a server in slow start is accepted
/// regardless of its reduced weight.
constexpr int max_slow_start_draws = 4;

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

/// Weight that an estimate made at `since` still has at `now`.
double remaining_weight(time_point since, time_point now, double age_seconds)
{
    return std::exp(-std::max(0.0, seconds(now - since)) / age_seconds);
}

bool same_server(const backend_server& left, const backend_server& right)
{
    return left.name == right.name && left.address == right.address &&
           left.port == right.port;
}

} // namespace

attempt_outcome classify_timeout(duration allowed, duration typical_latency)
{
    return allowed < min_timeout_ratio * typical_latency
               ? attempt_outcome::abandoned
               : attempt_outcome::timed_out;
}

bool takes_new_work(operator_command command)
{
    return command == operator_command::none ||
           command == operator_command::readmit;
}

std::size_t max_out_of_service(std::size_t servers, double floor)
{
    const double min_in_service =
        std::ceil(static_cast<double>(servers) * floor - 1e-9);
    const auto in_service =
        static_cast<std::size_t>(std::max(0.0, min_in_service));
    return servers - std::min(servers, in_service);
}

server_table::server_table(std::string instance_name,
                           std::string centre_name,
                           std::string region_name)
    : instance(std::move(instance_name)), data_centre(std::move(centre_name)),
      region(std::move(region_name))
{
}

// Rebuilds the pool of every service. Entries of servers that remain are kept.
void server_table::apply(const document& document, time_point now)
{
    std::map<std::string, std::string> regions;
    for (const core::data_centre& centre : document.data_centres)
    {
        regions[centre.name] = centre.region;
    }
    std::map<std::string, server_pool> rebuilt_pools;
    for (const service& service : document.services)
    {
        server_pool& pool = rebuilt_pools[service.name];
        server_pool* previous = this->find_pool(service.name);
        pool.policy = service.policy;
        if (previous != nullptr)
        {
            pool.mean_latency = previous->mean_latency;
            pool.blocks = std::move(previous->blocks);
        }
        for (const backend_server& server : service.servers)
        {
            pool.servers.push_back(
                this->carry_over(previous, pool, server, now));
            server_entry& entry = pool.servers.back();
            entry.rank = hash_text(service.name + '/' + server.name,
                                   hash_text(this->instance));
            const bool same_centre = server.data_centre == this->data_centre;
            const bool same_region =
                regions[server.data_centre] == this->region;
            entry.distance = same_centre ? 0 : (same_region ? 1 : 2);
        }
        std::stable_sort(pool.servers.begin(), pool.servers.end(),
                         [](const server_entry& left, const server_entry& right)
                         {
                             return left.rank > right.rank;
                         });
        this->enforce_floor(pool);
    }
    this->pools = std::move(rebuilt_pools);
    this->has_document = true;
}

// Builds the entry of a server from its previous one. A new server, and one
// that an operator command no longer keeps out of service, begins a slow start.
// With the first document every server is new, so none begins one: a slow start
// would not hold any server back relative to the others.
server_table::server_entry
server_table::carry_over(const server_pool* previous_pool,
                         server_pool& pool,
                         const backend_server& server,
                         time_point now) const
{
    server_entry entry;
    const server_entry* previous = nullptr;
    if (previous_pool != nullptr)
    {
        for (const server_entry& candidate : previous_pool->servers)
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
            entry.slow_start_since = now;
        }
        return entry;
    }
    entry = *previous;
    entry.server = server;
    const bool was_out_of_service = !takes_new_work(previous->server.command);
    const bool readmitted =
        server.command == operator_command::readmit &&
        previous->server.command != operator_command::readmit;
    if (readmitted)
    {
        std::erase_if(pool.blocks,
                      [&server](const server_block& block)
                      {
                          return block.server == server.name;
                      });
    }
    if (readmitted || (was_out_of_service && takes_new_work(server.command)))
    {
        begin_slow_start(entry, now);
    }
    return entry;
}

// Resets the statistics of a server that returns to service and begins its slow
// start.
void server_table::begin_slow_start(server_entry& entry, time_point now)
{
    entry.error_rate = 0.0;
    entry.shed_rate = 0.0;
    entry.mean_latency = 0.0;
    entry.consecutive_failures = 0;
    entry.slow_start_since = now;
}

void server_table::set_instance_count(std::size_t count)
{
    this->instances = std::max<std::size_t>(1, count);
}

void server_table::set_blocks(const std::string& service,
                              std::vector<server_block> blocks,
                              time_point now)
{
    server_pool* pool = this->find_pool(service);
    if (pool == nullptr)
    {
        return;
    }
    remove_expired_blocks(*pool, now);
    const std::vector<server_block> previous_blocks =
        std::exchange(pool->blocks, std::move(blocks));
    this->enforce_floor(*pool);
    for (const server_block& previous : previous_blocks)
    {
        if (find_block(*pool, previous.server, now) == nullptr)
        {
            begin_slow_start_of(*pool, previous.server, now);
        }
    }
}

void server_table::begin_slow_start_of(server_pool& pool,
                                       const std::string& server,
                                       time_point now)
{
    for (server_entry& entry : pool.servers)
    {
        if (entry.server.name == server)
        {
            begin_slow_start(entry, now);
        }
    }
}

// Also begins the slow start of the servers that are no longer blocked.
void server_table::remove_expired_blocks(server_pool& pool, time_point now)
{
    for (const server_block& block : pool.blocks)
    {
        if (block.until <= now)
        {
            begin_slow_start_of(pool, block.server, now);
        }
    }
    std::erase_if(pool.blocks,
                  [now](const server_block& block)
                  {
                      return block.until <= now;
                  });
}

// The owner applies the floor for the whole fleet. This second check uses the
// document in force at this instance, in which operator commands may take more
// servers out of service than in the owner's document.
void server_table::enforce_floor(server_pool& pool) const
{
    std::size_t out_of_service = 0;
    for (const server_entry& entry : pool.servers)
    {
        out_of_service += takes_new_work(entry.server.command) ? 0U : 1U;
    }
    const std::size_t allowed =
        max_out_of_service(pool.servers.size(), pool.policy.healthy_floor);
    std::vector<server_block> retained;
    for (server_block& block : pool.blocks)
    {
        const auto it =
            std::find_if(pool.servers.begin(), pool.servers.end(),
                         [&block](const server_entry& entry)
                         {
                             return entry.server.name == block.server;
                         });
        if (it == pool.servers.end())
        {
            continue;
        }
        const bool takes_place = block.state == server_state::ejected &&
                                 takes_new_work(it->server.command);
        if (takes_place && out_of_service >= allowed)
        {
            continue;
        }
        out_of_service += takes_place ? 1U : 0U;
        retained.push_back(std::move(block));
    }
    pool.blocks = std::move(retained);
}

// Picks one server per distance and prefers the nearest unless a farther one
// costs clearly less.
std::optional<server_choice>
server_table::choose(const std::string& service,
                     const std::vector<std::string>& excluded,
                     std::mt19937_64& random,
                     time_point now)
{
    server_pool* pool = this->find_pool(service);
    if (pool == nullptr)
    {
        return std::nullopt;
    }
    remove_expired_blocks(*pool, now);
    const server_entry* best = nullptr;
    double best_cost = 0.0;
    const auto candidates = this->select_candidates(*pool, excluded, now);
    for (unsigned distance = 0; distance <= 2; ++distance)
    {
        std::vector<const server_entry*> same_distance;
        std::copy_if(candidates.begin(), candidates.end(),
                     std::back_inserter(same_distance),
                     [distance](const server_entry* entry)
                     {
                         return entry->distance == distance;
                     });
        const server_entry* candidate =
            better_of_two(*pool, same_distance, random, now);
        if (candidate == nullptr)
        {
            continue;
        }
        const double candidate_cost = expected_cost(*pool, *candidate, now);
        if (best == nullptr || best_cost > candidate_cost * overflow_ratio +
                                               overflow_margin_seconds)
        {
            best = candidate;
            best_cost = candidate_cost;
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
    const server_pool* pool = this->find_pool(service);
    if (pool == nullptr)
    {
        return std::nullopt;
    }
    std::vector<server_choice> choices;
    for (const server_entry& entry : pool->servers)
    {
        const server_block* block = find_block(*pool, entry.server.name, now);
        const bool has_forwarder = block != nullptr &&
                                   block->state == server_state::path_cut &&
                                   !block->via.empty();
        const bool is_excluded = std::find(excluded.begin(), excluded.end(),
                                           entry.server.name) != excluded.end();
        if (has_forwarder && !is_excluded &&
            takes_new_work(entry.server.command))
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

void server_table::attempt_started(const std::string& service,
                                   const std::string& server)
{
    if (server_entry* entry = this->find_server(service, server))
    {
        ++entry->in_flight;
    }
}

void server_table::attempt_finished(const std::string& service,
                                    const std::string& server,
                                    attempt_outcome outcome,
                                    duration latency,
                                    time_point now)
{
    server_entry* entry = this->find_server(service, server);
    if (entry == nullptr)
    {
        return;
    }
    entry->in_flight -= entry->in_flight > 0 ? 1U : 0U;
    if (outcome == attempt_outcome::abandoned)
    {
        return;
    }
    this->update_statistics(*this->find_pool(service), *entry, outcome, latency,
                            now);
}

// Decays the averages to `now`, then adds one sample.
void server_table::update_statistics(server_pool& pool,
                                     server_entry& entry,
                                     attempt_outcome outcome,
                                     duration latency,
                                     time_point now)
{
    entry.mean_latency = estimate_latency(pool, entry, now);
    entry.error_rate *=
        remaining_weight(entry.updated_at, now, estimate_age_seconds);
    entry.shed_rate *=
        remaining_weight(entry.updated_at, now, shed_age_seconds);
    entry.updated_at = now;
    const auto add_sample = [](double& average, double sample, double weight)
    {
        average += weight * (sample - average);
    };
    if (outcome == attempt_outcome::shed)
    {
        add_sample(entry.shed_rate, 1.0, 0.5);
        return;
    }
    add_sample(entry.shed_rate, 0.0, 0.5);
    const bool success = outcome == attempt_outcome::succeeded;
    add_sample(entry.error_rate, success ? 0.0 : 1.0, sample_weight);
    if (outcome == attempt_outcome::failed)
    {
        ++entry.consecutive_failures;
        return;
    }
    add_sample(entry.mean_latency, seconds(latency), sample_weight);
    if (!success)
    {
        return;
    }
    if (entry.consecutive_failures >= cold_start_failures)
    {
        entry.slow_start_since = now;
    }
    entry.consecutive_failures = 0;
    if (pool.mean_latency <= 0.0)
    {
        pool.mean_latency = seconds(latency);
    }
    add_sample(pool.mean_latency, seconds(latency), service_sample_weight);
}

bool server_table::usable(const std::string& service, time_point now) const
{
    return this->usable_slots(service, now) > 0;
}

duration server_table::typical_latency(const std::string& service) const
{
    const server_pool* pool = this->find_pool(service);
    const double latency_seconds = pool != nullptr ? pool->mean_latency : 0.0;
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(latency_seconds));
}

std::uint32_t server_table::usable_slots(const std::string& service,
                                         time_point now) const
{
    std::uint32_t slots = 0;
    if (const server_pool* pool = this->find_pool(service))
    {
        for (const server_entry& entry : pool->servers)
        {
            slots += is_usable(*pool, entry, now) ? entry.server.slots : 0U;
        }
    }
    return slots;
}

std::vector<server_view> server_table::view(time_point now) const
{
    std::vector<server_view> views;
    for (const auto& [name, pool] : this->pools)
    {
        for (const server_entry& entry : pool.servers)
        {
            server_view row;
            row.service = name;
            row.server = entry.server.name;
            row.data_centre = entry.server.data_centre;
            row.state = state_name(pool, entry, now);
            row.in_flight = entry.in_flight;
            row.mean_latency = std::chrono::duration_cast<duration>(
                std::chrono::duration<double>(entry.mean_latency));
            row.error_fraction =
                entry.error_rate *
                remaining_weight(entry.updated_at, now, estimate_age_seconds);
            views.push_back(std::move(row));
        }
    }
    return views;
}

const char* server_table::state_name(const server_pool& pool,
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
    const server_block* block = find_block(pool, entry.server.name, now);
    if (block == nullptr)
    {
        return "healthy";
    }
    return block->state == server_state::path_cut ? "path_cut" : "ejected";
}

server_table::server_pool* server_table::find_pool(const std::string& service)
{
    const auto it = this->pools.find(service);
    return it != this->pools.end() ? &it->second : nullptr;
}

const server_table::server_pool*
server_table::find_pool(const std::string& service) const
{
    const auto it = this->pools.find(service);
    return it != this->pools.end() ? &it->second : nullptr;
}

server_table::server_entry*
server_table::find_server(const std::string& service, const std::string& server)
{
    server_pool* pool = this->find_pool(service);
    if (pool == nullptr)
    {
        return nullptr;
    }
    for (server_entry& entry : pool->servers)
    {
        if (entry.server.name == server)
        {
            return &entry;
        }
    }
    return nullptr;
}

const server_block* server_table::find_block(const server_pool& pool,
                                             const std::string& server,
                                             time_point now)
{
    for (const server_block& block : pool.blocks)
    {
        if (block.server == server && block.until > now)
        {
            return &block;
        }
    }
    return nullptr;
}

bool server_table::is_usable(const server_pool& pool,
                             const server_entry& entry,
                             time_point now)
{
    return takes_new_work(entry.server.command) &&
           find_block(pool, entry.server.name, now) == nullptr;
}

// Largest subset with which all instances together stay within the usable
// fraction of the servers' connections, given that each instance connects only
// to its own subset; at least min_subset_size.
std::size_t server_table::subset_size(const server_pool& pool) const
{
    double connections = 0.0;
    for (const server_entry& entry : pool.servers)
    {
        connections += entry.server.connections;
    }
    const double instance_share = connections * usable_connection_fraction /
                                  connections_per_instance /
                                  static_cast<double>(this->instances);
    const auto affordable = static_cast<std::size_t>(instance_share);
    return std::min(pool.servers.size(), std::max(min_subset_size, affordable));
}

// Selects the highest-ranked usable servers of each data centre, in proportion
// to the data centre's size, so that every instance keeps servers near it. The
// server next in rank replaces one that is out of service. Excluded servers are
// removed after the selection: a retry must not open connections outside the
// subset while the subset has other servers.
std::vector<const server_table::server_entry*>
server_table::select_candidates(const server_pool& pool,
                                const std::vector<std::string>& excluded,
                                time_point now) const
{
    std::map<std::string_view, std::size_t> centre_sizes;
    for (const server_entry& entry : pool.servers)
    {
        ++centre_sizes[entry.server.data_centre];
    }
    const std::size_t subset = this->subset_size(pool);
    const std::size_t server_count = pool.servers.size();
    std::map<std::string_view, std::size_t> selected_by_centre;
    std::vector<const server_entry*> within_subset;
    std::vector<const server_entry*> outside_subset;
    const auto is_excluded = [&excluded](const server_entry& entry)
    {
        return std::find(excluded.begin(), excluded.end(), entry.server.name) !=
               excluded.end();
    };
    for (const server_entry& entry : pool.servers)
    {
        if (!is_usable(pool, entry, now))
        {
            continue;
        }
        const std::string_view centre = entry.server.data_centre;
        const std::size_t quota =
            (subset * centre_sizes[centre] + server_count - 1) / server_count;
        const bool fits_quota = selected_by_centre[centre] < quota;
        selected_by_centre[centre] += fits_quota ? 1U : 0U;
        if (!is_excluded(entry))
        {
            (fits_quota ? within_subset : outside_subset).push_back(&entry);
        }
    }
    return within_subset.empty() ? outside_subset : within_subset;
}

// The average latency of the server in seconds, which approaches the service's
// average with the age of the last sample.
double server_table::estimate_latency(const server_pool& pool,
                                      const server_entry& entry,
                                      time_point now)
{
    const double typical =
        pool.mean_latency > 0.0 ? pool.mean_latency : default_latency_seconds;
    if (entry.mean_latency <= 0.0)
    {
        return typical;
    }
    const double remaining =
        remaining_weight(entry.updated_at, now, estimate_age_seconds);
    return typical + remaining * (entry.mean_latency - typical);
}

// Expected time in seconds for one more request: the requests that this
// instance has in flight at the server and the new one, times the latency,
// increased for recent errors and shed requests. At an error rate of one half
// the cost is four times the normal one.
double server_table::expected_cost(const server_pool& pool,
                                   const server_entry& entry,
                                   time_point now)
{
    const double error_rate =
        entry.error_rate *
        remaining_weight(entry.updated_at, now, estimate_age_seconds);
    const double shed_rate =
        entry.shed_rate *
        remaining_weight(entry.updated_at, now, shed_age_seconds);
    const double success_rate = std::max(0.05, 1.0 - error_rate);
    const double queued_requests = 1.0 + static_cast<double>(entry.in_flight);
    return queued_requests * estimate_latency(pool, entry, now) *
           (1.0 + 4.0 * shed_rate) / (success_rate * success_rate);
}

// Draws a random server. A server in slow start is accepted with a probability
// that rises from min_slow_start_share to 1 over the slow start period.
const server_table::server_entry*
server_table::draw_server(const std::vector<const server_entry*>& group,
                          std::mt19937_64& random,
                          time_point now)
{
    std::uniform_int_distribution<std::size_t> index(0, group.size() - 1);
    std::uniform_real_distribution<double> random_share(0.0, 1.0);
    const server_entry* drawn = group[index(random)];
    for (int attempt = 1; attempt < max_slow_start_draws; ++attempt)
    {
        if (!drawn->slow_start_since)
        {
            break;
        }
        const double progress = seconds(now - *drawn->slow_start_since) /
                                seconds(slow_start_period);
        if (random_share(random) < std::max(min_slow_start_share, progress))
        {
            break;
        }
        drawn = group[index(random)];
    }
    return drawn;
}

// Power of two choices: close to choosing the least loaded server, without all
// instances sending to the same one.
const server_table::server_entry*
server_table::better_of_two(const server_pool& pool,
                            const std::vector<const server_entry*>& group,
                            std::mt19937_64& random,
                            time_point now)
{
    if (group.empty())
    {
        return nullptr;
    }
    const server_entry* first = draw_server(group, random, now);
    const server_entry* second = draw_server(group, random, now);
    if (first == second && group.size() > 1)
    {
        second = draw_server(group, random, now);
    }
    return expected_cost(pool, *first, now) <= expected_cost(pool, *second, now)
               ? first
               : second;
}

} // namespace medlarbarrow::core
