/// Simulates the rate limits of a fleet, with simulated time and a fixed seed.
/// Compares a fixed limit of 1/N for each instance with the leased limit, and
/// prints Markdown tables.
#include <algorithm>
#include <cstdio>
#include <ctime>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <malloc.h>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/limits.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <random>

using namespace medlarbarrow;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::uint64_t seed = 20261204;
constexpr core::duration tick_period = milliseconds(10);

/// One-way delay between two instances.
constexpr core::duration link_delay = std::chrono::microseconds(1400);

/// Approximate size of a message (frame and envelope) and of one list entry.
constexpr std::size_t message_bytes = 90;
constexpr std::size_t entry_bytes = 40;

std::size_t message_size(const core::message& message)
{
    if (const auto* request = std::get_if<core::token_request>(&message))
    {
        return message_bytes + entry_bytes * request->demands.size();
    }
    if (const auto* grant = std::get_if<core::token_grant>(&message))
    {
        return message_bytes + entry_bytes * grant->amounts.size();
    }
    return message_bytes;
}

/// What the simulation counts.
struct counters
{
    std::uint64_t requests = 0;
    /// By account: requests that an ideal fleet-wide token bucket would grant.
    std::map<std::size_t, std::uint64_t> within_limit;
    std::map<std::size_t, std::uint64_t> granted; ///< by account
    std::uint64_t over_limit = 0; ///< requests granted beyond rate and burst
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t delegation_messages = 0;
    std::vector<core::duration> waits; ///< of granted requests
    /// Of the granted requests that were an account's first at their instance.
    std::vector<core::duration> first_waits;
};

/// Token bucket of exact rate and burst. One for the whole fleet gives the
/// ideal decision; the baseline has one for each instance.
struct token_bucket
{
    double level = 0.0;
    core::time_point updated_at{};

    /// Updates the level to its value at `now`.
    void advance(core::account_limit limit, core::time_point now)
    {
        const double elapsed =
            std::chrono::duration<double>(now - this->updated_at).count();
        this->level = std::min(this->level + limit.rate_per_second * elapsed,
                               limit.burst);
        this->updated_at = now;
    }
};

/// A request that waits for tokens at an instance.
struct waiting_request
{
    std::size_t account = 0;
    core::time_point requested_at{};
    bool first = false; ///< of its account at this instance
};

/// One simulated instance.
struct instance
{
    instance(core::instance_id self, core::time_point started)
        : id(std::move(self)), ownership(id, started), entry_limiter(id),
          started_at(started)
    {
    }

    core::instance_id id;
    core::ownership ownership;
    core::limit_owner owner;
    core::entry_limiter entry_limiter;
    core::time_point started_at;
    std::vector<waiting_request> waiting;
    /// Buckets of the baseline, by account.
    std::map<std::size_t, token_bucket> fixed_buckets;
    std::map<std::size_t, bool> accounts_seen; ///< with a request here
    bool alive = true;
};

/// The fleet under load. If `leased` is false, each instance enforces a fixed
/// 1/N of each limit.
class measurement
{
public:
    measurement(unsigned instances, unsigned n, bool leased_limit)
        : leased(leased_limit), max_instances(n), random(seed)
    {
        for (unsigned i = 0; i < instances; ++i)
        {
            this->start_instance("instance-" + std::to_string(i));
        }
        this->publish_instances();
    }

    void set_limit(std::size_t account, core::account_limit limit)
    {
        if (account >= this->names.size())
        {
            this->names.push_back("account-" + std::to_string(account));
            this->current_limits.push_back(limit);
            this->granted_buckets.push_back({limit.burst, this->now});
            this->offered_buckets.push_back({limit.burst, this->now});
        }
        this->current_limits[account] = limit;
        auto new_limits = std::make_shared<core::account_limits>();
        for (std::size_t i = 0; i < this->names.size(); ++i)
        {
            (*new_limits)[this->names[i]] = this->current_limits[i];
        }
        this->limits = new_limits;
        for (instance& instance : this->instances)
        {
            instance.owner.set_limits(this->limits);
            instance.entry_limiter.set_limits(this->limits);
        }
    }

    void start_instance(const std::string& name)
    {
        instance& instance = this->instances.emplace_back(
            core::instance_id{name, ++this->last_incarnation}, this->now);
        instance.ownership.set_max_instances(this->max_instances);
        instance.owner.set_limits(this->limits);
        instance.entry_limiter.set_limits(this->limits);
    }

    void publish_instances()
    {
        std::vector<std::string> live_names;
        this->by_name.clear();
        for (instance& instance : this->instances)
        {
            if (instance.alive)
            {
                live_names.push_back(instance.id.name);
                this->by_name[instance.id.name] = &instance;
            }
        }
        for (instance& instance : this->instances)
        {
            instance.ownership.set_live_instances(live_names, this->now);
        }
    }

    void kill_instance(const std::string& name)
    {
        instance& instance = *this->by_name.at(name);
        instance.alive = false;
        this->by_name.erase(name);
    }

    /// Owner of an account as the first live instance sees it.
    std::string owner_of(std::size_t account)
    {
        return this->by_name.begin()->second->ownership.owner_of(
            core::bucket_of(this->names[account]));
    }

    /// Simulates Poisson arrivals of each account for `time`; `pick_instance`
    /// chooses the instance of each request.
    void run_load(const std::vector<double>& rates,
                  core::duration time,
                  const std::function<instance*(std::size_t)>& pick_instance)
    {
        const core::time_point end = this->now + time;
        std::vector<core::time_point> next_arrivals;
        for (const double rate : rates)
        {
            next_arrivals.push_back(this->now + this->next_interval(rate));
        }
        while (this->now < end)
        {
            const core::time_point tick = this->next_tick;
            const auto arrival =
                std::min_element(next_arrivals.begin(), next_arrivals.end());
            const bool has_message = !this->network.empty();
            core::time_point event_time = std::min(tick, *arrival);
            event_time =
                has_message ? std::min(event_time, this->network.begin()->first)
                            : event_time;
            this->now = event_time;
            if (has_message && this->network.begin()->first == event_time)
            {
                auto delivery = this->network.extract(this->network.begin());
                this->deliver(std::move(delivery.mapped()));
            }
            else if (*arrival == event_time)
            {
                const auto account =
                    static_cast<std::size_t>(arrival - next_arrivals.begin());
                *arrival = this->now + this->next_interval(rates[account]);
                this->request(*pick_instance(account), account);
            }
            else
            {
                this->tick();
            }
        }
    }

    void idle(core::duration time)
    {
        this->run_load({0.0}, time,
                       [](std::size_t)
                       {
                           return nullptr;
                       });
    }

    instance* random_instance(std::size_t)
    {
        auto entry = this->by_name.begin();
        std::advance(entry, std::uniform_int_distribution<std::size_t>(
                                0, this->by_name.size() - 1)(this->random));
        return entry->second;
    }

    counters counts;
    std::deque<instance> instances;
    std::map<std::string, instance*> by_name;
    /// Side of an instance in a network partition, which no message crosses;
    /// empty without a partition.
    std::function<int(const std::string&)> side;
    core::time_point now{seconds(1000)};

private:
    struct envelope
    {
        core::instance_id sender;
        std::string receiver;
        core::message message;
    };

    core::duration next_interval(double rate)
    {
        const double max_seconds = 1e6;
        const double seconds_to_next =
            rate <= 0.0
                ? max_seconds
                : std::exponential_distribution<double>(rate)(this->random);
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(seconds_to_next));
    }

    void send(const instance& sender, core::outbox out)
    {
        for (core::outgoing& outgoing : out)
        {
            const bool is_delegation =
                std::holds_alternative<core::delegation_request>(
                    outgoing.message) ||
                std::holds_alternative<core::delegation>(outgoing.message);
            ++(is_delegation ? this->counts.delegation_messages
                             : this->counts.messages);
            this->counts.bytes += message_size(outgoing.message);
            const bool is_cut = this->side && this->side(sender.id.name) !=
                                                  this->side(outgoing.to);
            if (!is_cut)
            {
                this->network.emplace(this->now + link_delay,
                                      envelope{sender.id, outgoing.to,
                                               std::move(outgoing.message)});
            }
        }
    }

    void deliver(envelope received)
    {
        const auto entry = this->by_name.find(received.receiver);
        if (entry == this->by_name.end())
        {
            return;
        }
        instance& instance = *entry->second;
        instance.ownership.record_message_from(received.sender, this->now);
        if (const auto* delegation_request =
                std::get_if<core::delegation_request>(&received.message))
        {
            this->send(instance, instance.ownership.receive(received.sender,
                                                            *delegation_request,
                                                            this->now));
        }
        else if (const auto* delegation =
                     std::get_if<core::delegation>(&received.message))
        {
            instance.ownership.receive(received.sender, *delegation, this->now);
        }
        else if (const auto* request =
                     std::get_if<core::token_request>(&received.message))
        {
            this->send(instance,
                       instance.owner.receive(received.sender, *request,
                                              instance.ownership, this->now));
        }
        else if (const auto* grant =
                     std::get_if<core::token_grant>(&received.message))
        {
            instance.entry_limiter.receive(*grant, this->now);
            this->poll(instance);
        }
    }

    void tick()
    {
        this->next_tick = this->now + tick_period;
        for (instance& instance : this->instances)
        {
            if (!instance.alive || !this->leased)
            {
                continue;
            }
            this->send(instance, instance.ownership.tick(this->now));
            instance.owner.tick(instance.ownership, this->now);
            this->send(instance, instance.entry_limiter.tick(instance.ownership,
                                                             this->now));
            this->poll(instance);
        }
    }

    void request(instance& instance, std::size_t account)
    {
        const core::account_limit limit = this->current_limits[account];
        token_bucket& offered = this->offered_buckets[account];
        offered.advance(limit, this->now);
        const bool is_within_limit = offered.level >= 1.0;
        offered.level -= is_within_limit ? 1.0 : 0.0;
        ++this->counts.requests;
        this->counts.within_limit[account] += is_within_limit ? 1 : 0;
        const bool first = !instance.accounts_seen[account];
        instance.accounts_seen[account] = true;
        const waiting_request waiting{account, this->now, first};
        if (!this->leased)
        {
            this->decide_fixed(instance, waiting);
            return;
        }
        instance.waiting.push_back(waiting);
        this->poll(instance);
    }

    // The baseline: each instance has a token bucket of 1/N. It is empty when
    // the process starts and fills while the account is idle.
    void decide_fixed(instance& instance, const waiting_request& request)
    {
        const core::account_limit fleet_limit =
            this->current_limits[request.account];
        const core::account_limit instance_limit{
            fleet_limit.rate_per_second / this->max_instances,
            fleet_limit.burst / this->max_instances};
        const auto [entry, created] =
            instance.fixed_buckets.try_emplace(request.account);
        token_bucket& bucket = entry->second;
        bucket.updated_at = created ? instance.started_at : bucket.updated_at;
        bucket.advance(instance_limit, this->now);
        const bool granted = bucket.level >= 1.0;
        bucket.level -= granted ? 1.0 : 0.0;
        this->count(request, granted);
    }

    void poll(instance& instance)
    {
        std::vector<waiting_request> still_waiting;
        core::outbox out;
        for (const waiting_request& request : instance.waiting)
        {
            const core::spend_result decision = instance.entry_limiter.spend(
                this->names[request.account], request.requested_at,
                instance.owner, instance.ownership, this->now, out);
            if (decision.kind == core::spend_kind::wait)
            {
                still_waiting.push_back(request);
                continue;
            }
            this->count(request, decision.kind == core::spend_kind::granted);
        }
        instance.waiting = std::move(still_waiting);
        this->send(instance, std::move(out));
    }

    void count(const waiting_request& request, bool granted)
    {
        if (!granted)
        {
            return;
        }
        ++this->counts.granted[request.account];
        this->counts.waits.push_back(this->now - request.requested_at);
        if (request.first)
        {
            this->counts.first_waits.push_back(this->now -
                                               request.requested_at);
        }
        token_bucket& bucket = this->granted_buckets[request.account];
        bucket.advance(this->current_limits[request.account], this->now);
        bucket.level -= 1.0;
        if (bucket.level < -0.001)
        {
            ++this->counts.over_limit;
            bucket.level += 1.0;
        }
    }

    bool leased;
    unsigned max_instances;
    std::mt19937_64 random;
    std::uint64_t last_incarnation = 0;
    std::vector<std::string> names;
    std::vector<core::account_limit> current_limits;
    std::vector<token_bucket> granted_buckets;
    std::vector<token_bucket> offered_buckets;
    std::shared_ptr<const core::account_limits> limits =
        std::make_shared<core::account_limits>();
    std::multimap<core::time_point, envelope> network;
    core::time_point next_tick = this->now;
};

/// Limits of the client accounts of a fleet of 40 instances: a few large ones.
const std::vector<core::account_limit> accounts{
    {200.0, 400.0}, {100.0, 200.0}, {50.0, 100.0}, {50.0, 100.0},
    {20.0, 100.0},  {20.0, 100.0},  {10.0, 100.0}, {10.0, 100.0}};

std::vector<double> scaled_rates(double factor)
{
    std::vector<double> rates;
    for (const core::account_limit& limit : accounts)
    {
        rates.push_back(limit.rate_per_second * factor);
    }
    return rates;
}

constexpr core::duration half_run = seconds(20);

double quantile_ms(std::vector<core::duration> waits, double fraction)
{
    if (waits.empty())
    {
        return 0.0;
    }
    std::sort(waits.begin(), waits.end());
    const auto index = static_cast<std::size_t>(
        fraction * static_cast<double>(waits.size() - 1));
    return std::chrono::duration<double, std::milli>(waits[index]).count();
}

void run_case(const char* name,
              unsigned n,
              bool leased,
              const std::function<void(measurement&)>& load)
{
    measurement fleet(40, n, leased);
    for (std::size_t i = 0; i < accounts.size(); ++i)
    {
        fleet.set_limit(i, accounts[i]);
    }
    fleet.idle(seconds(30));
    fleet.counts = {};
    const core::time_point started = fleet.now;
    load(fleet);
    const double seconds_run =
        std::chrono::duration<double>(fleet.now - started).count();
    const counters& counts = fleet.counts;
    // Wrongful refusals of an account: the requests that one token bucket for
    // the whole fleet would have granted, minus those that were granted.
    std::uint64_t wrongful = 0;
    for (const auto& [account, allowed] : counts.within_limit)
    {
        const auto granted = counts.granted.find(account);
        const std::uint64_t granted_count =
            granted == counts.granted.end() ? 0 : granted->second;
        wrongful += allowed > granted_count ? allowed - granted_count : 0;
    }
    const double wrongful_percent = 100.0 * static_cast<double>(wrongful) /
                                    static_cast<double>(counts.requests);
    fmt::print("| {} | {} | {} | {} | {:.2f} | {} | {:.0f} | {:.0f} | {:.1f} | "
               "{:.1f} | {:.1f} | {:.1f} |\n",
               name, n, leased ? "leased" : "fixed 1/N", counts.requests,
               wrongful_percent, counts.over_limit,
               static_cast<double>(counts.messages) / seconds_run,
               static_cast<double>(counts.delegation_messages) / seconds_run,
               static_cast<double>(counts.bytes) / seconds_run / 1024.0,
               quantile_ms(counts.first_waits, 0.5),
               quantile_ms(counts.first_waits, 0.99),
               quantile_ms(counts.waits, 0.99));
    std::fflush(stdout);
}

void spread_evenly(measurement& fleet, double factor)
{
    fleet.run_load(scaled_rates(factor), 2 * half_run,
                   [&](std::size_t account)
                   {
                       return fleet.random_instance(account);
                   });
}

void send_to_one_instance(measurement& fleet)
{
    fleet.run_load(scaled_rates(0.75), 2 * half_run,
                   [&](std::size_t account)
                   {
                       auto instance = fleet.by_name.begin();
                       std::advance(instance, account * 5);
                       return instance->second;
                   });
}

void run_two_halves(measurement& fleet, const std::function<void()>& change)
{
    const auto pick_instance = [&](std::size_t account)
    {
        return fleet.random_instance(account);
    };
    fleet.run_load(scaled_rates(0.75), half_run, pick_instance);
    change();
    fleet.run_load(scaled_rates(0.75), half_run, pick_instance);
}

void halve_rates_mid_run(measurement& fleet)
{
    run_two_halves(fleet,
                   [&]()
                   {
                       for (std::size_t i = 0; i < accounts.size(); ++i)
                       {
                           fleet.set_limit(i,
                                           {accounts[i].rate_per_second / 2.0,
                                            accounts[i].burst});
                       }
                   });
}

/// Kills the owner of an account. The platform's list drops it five seconds
/// later.
void kill_owner_mid_run(measurement& fleet)
{
    const auto pick_instance = [&](std::size_t account)
    {
        return fleet.random_instance(account);
    };
    fleet.run_load(scaled_rates(0.75), half_run, pick_instance);
    fleet.kill_instance(fleet.owner_of(0));
    fleet.run_load(scaled_rates(0.75), seconds(5), pick_instance);
    fleet.publish_instances();
    fleet.run_load(scaled_rates(0.75), half_run - seconds(5), pick_instance);
}

void partition_mid_run(measurement& fleet)
{
    run_two_halves(fleet,
                   [&]()
                   {
                       fleet.side = [](const std::string& name)
                       {
                           return static_cast<int>(core::hash_text(name) % 3 ==
                                                   0);
                       };
                   });
}

void replace_half_mid_run(measurement& fleet)
{
    run_two_halves(
        fleet,
        [&]()
        {
            for (unsigned i = 0; i < 20; ++i)
            {
                fleet.kill_instance("instance-" + std::to_string(i * 2));
                fleet.start_instance("replacement-" + std::to_string(i));
            }
            fleet.publish_instances();
        });
}

double processor_seconds()
{
    ::timespec value{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
    return static_cast<double>(value.tv_sec) +
           static_cast<double>(value.tv_nsec) / 1e9;
}

std::size_t allocated_bytes()
{
    return ::mallinfo2().uordblks;
}

/// Measures processor time and memory for each account: at an owner that up to
/// eight instances ask for tokens, and at one entry instance.
void measure_scaling(unsigned instances, std::size_t active_accounts)
{
    core::time_point now{seconds(1000)};
    const core::instance_id self{"home", 1};
    core::ownership ownership(self, now);
    ownership.set_max_instances(instances);
    ownership.set_live_instances({self.name}, now);
    auto limits = std::make_shared<core::account_limits>();
    std::vector<std::string> names;
    for (std::size_t i = 0; i < active_accounts; ++i)
    {
        names.push_back("account-" + std::to_string(i));
        (*limits)[names.back()] = {1000.0 * instances, 4000.0 * instances};
    }
    now += seconds(200);
    ownership.tick(now);
    now += seconds(5);
    const std::size_t owner_bytes_before = allocated_bytes();
    core::limit_owner owner;
    owner.set_limits(limits);
    const unsigned requester_count = std::min<unsigned>(instances - 1, 8);
    const double owner_start = processor_seconds();
    std::uint64_t demand_count = 0;
    for (unsigned round = 1; round <= 4; ++round)
    {
        now += milliseconds(250);
        ownership.tick(now);
        owner.tick(ownership, now);
        for (unsigned requester = 0; requester < requester_count; ++requester)
        {
            core::token_request request{round, {}};
            for (const std::string& name : names)
            {
                request.demands.push_back({name, 0.0, 1.0});
                ++demand_count;
            }
            owner.receive({"instance-" + std::to_string(requester), 1}, request,
                          ownership, now);
        }
    }
    const double owner_time = processor_seconds() - owner_start;
    const std::size_t owner_bytes = allocated_bytes() - owner_bytes_before;

    const std::size_t entry_bytes_before = allocated_bytes();
    core::entry_limiter entry_limiter({"entry", 1});
    entry_limiter.set_limits(limits);
    core::ownership entry_ownership({"entry", 1}, now);
    entry_ownership.set_max_instances(instances);
    std::vector<std::string> member_names{"entry"};
    for (unsigned i = 1; i < instances; ++i)
    {
        member_names.push_back("instance-" + std::to_string(i));
    }
    entry_ownership.set_live_instances(member_names, now);
    core::limit_owner unused;
    const double entry_start = processor_seconds();
    for (unsigned round = 0; round < 4; ++round)
    {
        now += milliseconds(250);
        core::outbox out;
        for (const std::string& name : names)
        {
            entry_limiter.spend(name, now, unused, entry_ownership, now, out);
        }
        core::outbox tick_messages = entry_limiter.tick(entry_ownership, now);
        out.insert(out.end(), tick_messages.begin(), tick_messages.end());
        for (const core::outgoing& outgoing : out)
        {
            const auto* request =
                std::get_if<core::token_request>(&outgoing.message);
            core::token_grant grant{request->nonce, seconds(2), {}};
            for (const core::token_demand& demand : request->demands)
            {
                grant.amounts.push_back({demand.account, demand.requested});
            }
            entry_limiter.receive(grant, now);
        }
    }
    const double entry_time = processor_seconds() - entry_start;
    const std::size_t entry_bytes_used = allocated_bytes() - entry_bytes_before;
    fmt::print(
        "| {} | {} | {:.2f} | {:.0f} | {:.2f} | {:.0f} |\n", instances,
        active_accounts, owner_time * 1e6 / static_cast<double>(demand_count),
        static_cast<double>(owner_bytes) / static_cast<double>(active_accounts),
        entry_time * 1e6 / (4.0 * static_cast<double>(active_accounts)),
        static_cast<double>(entry_bytes_used) /
            static_cast<double>(active_accounts));
    std::fflush(stdout);
}

} // namespace

int main()
{
    fmt::print("| load | N | limit | requests | wrongful refusals, % | over | "
               "messages/s | delegation messages/s | KiB/s | first wait "
               "median, ms | first wait 99th, ms | wait 99th, ms |\n"
               "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    const std::vector<std::pair<const char*, std::function<void(measurement&)>>>
        loads{{"even, 0.75 of the rate",
               [](measurement& fleet)
               {
                   spread_evenly(fleet, 0.75);
               }},
              {"even, the whole rate",
               [](measurement& fleet)
               {
                   spread_evenly(fleet, 1.0);
               }},
              {"each account at one instance, 0.75", send_to_one_instance},
              {"4 times the rate",
               [](measurement& fleet)
               {
                   spread_evenly(fleet, 4.0);
               }},
              {"rates halved mid-run", halve_rates_mid_run},
              {"an owner killed", kill_owner_mid_run},
              {"partition 1 to 2", partition_mid_run},
              {"half the fleet replaced", replace_half_mid_run}};
    for (const auto& [name, load] : loads)
    {
        for (const unsigned n : {40U, 48U})
        {
            run_case(name, n, false, load);
            run_case(name, n, true, load);
        }
    }
    fmt::print(
        "\n| instances | active accounts | owner, us per demand | owner, "
        "bytes per account | entry, us per request | entry, bytes per "
        "account |\n|---|---|---|---|---|---|\n");
    for (const unsigned instances : {40U, 200U, 830U})
    {
        for (const std::size_t active_accounts : {1000U, 5000U, 21000U})
        {
            measure_scaling(instances, active_accounts);
        }
    }
    return 0;
}
