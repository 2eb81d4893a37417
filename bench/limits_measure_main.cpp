/// Measures the limits of a fleet with fake time and a fixed seed: the fixed
/// share 1/N of each instance against the leased limit. Writes Markdown tables.
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

/// Rough size of a message: frame, envelope and one entry of a list.
constexpr std::size_t message_bytes = 90;
constexpr std::size_t entry_bytes = 40;

std::size_t size_of(const core::message& content)
{
    if (const auto* request = std::get_if<core::token_request>(&content))
    {
        return message_bytes + entry_bytes * request->demands.size();
    }
    if (const auto* grant = std::get_if<core::token_grant>(&content))
    {
        return message_bytes + entry_bytes * grant->amounts.size();
    }
    return message_bytes;
}

struct counters
{
    std::uint64_t requests = 0;
    std::map<std::size_t, std::uint64_t> inside; ///< by account
    std::map<std::size_t, std::uint64_t> granted;
    std::uint64_t over = 0; ///< granted beyond rate and burst
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t delegation_messages = 0;
    std::vector<core::duration> waits;       ///< of granted requests
    std::vector<core::duration> first_waits; ///< of the first per instance
};

/// Token bucket over the whole fleet: what would have been right.
struct ideal_bucket
{
    double level = 0.0;
    core::time_point at{};

    /// The level at `now`.
    void advance(core::account_limit limit, core::time_point now)
    {
        const double passed =
            std::chrono::duration<double>(now - this->at).count();
        this->level =
            std::min(this->level + limit.rate_per_second * passed, limit.burst);
        this->at = now;
    }
};

struct waiting_request
{
    std::size_t account = 0;
    core::time_point asked{};
    bool first = false;
};

struct instance
{
    instance(core::instance_id self, core::time_point started)
        : id(std::move(self)), owners(id, started), tokens(id),
          started_at(started)
    {
    }

    core::instance_id id;
    core::ownership owners;
    core::limit_owner owner;
    core::entry_limiter tokens;
    core::time_point started_at;
    std::vector<waiting_request> waiting;
    std::map<std::size_t, ideal_bucket> fixed; ///< the baseline's buckets
    std::map<std::size_t, bool> used;
    bool alive = true;
};

/// The fleet under load. With `leased` false each instance enforces 1/N.
class measurement
{
public:
    measurement(unsigned instances, unsigned n, bool leased_limit)
        : leased(leased_limit), max_instances(n), random(seed)
    {
        for (unsigned i = 0; i < instances; ++i)
        {
            this->start("instance-" + std::to_string(i));
        }
        this->publish();
    }

    void set_limit(std::size_t account, core::account_limit limit)
    {
        if (account >= this->names.size())
        {
            this->names.push_back("account-" + std::to_string(account));
            this->current.push_back(limit);
            this->granted_from.push_back({limit.burst, this->now});
            this->offered_from.push_back({limit.burst, this->now});
        }
        this->current[account] = limit;
        auto next = std::make_shared<core::account_limits>();
        for (std::size_t i = 0; i < this->names.size(); ++i)
        {
            (*next)[this->names[i]] = this->current[i];
        }
        this->limits = next;
        for (instance& one : this->instances)
        {
            one.owner.set_limits(this->limits);
            one.tokens.set_limits(this->limits);
        }
    }

    void start(const std::string& name)
    {
        instance& one = this->instances.emplace_back(
            core::instance_id{name, ++this->last_incarnation}, this->now);
        one.owners.set_max_instances(this->max_instances);
        one.owner.set_limits(this->limits);
        one.tokens.set_limits(this->limits);
    }

    void publish()
    {
        std::vector<std::string> live;
        this->by_name.clear();
        for (instance& one : this->instances)
        {
            if (one.alive)
            {
                live.push_back(one.id.name);
                this->by_name[one.id.name] = &one;
            }
        }
        for (instance& one : this->instances)
        {
            one.owners.set_live_instances(live, this->now);
        }
    }

    void kill(const std::string& name)
    {
        instance& one = *this->by_name.at(name);
        one.alive = false;
        this->by_name.erase(name);
    }

    /// Owner of an account as the first live instance sees it.
    std::string owner_of(std::size_t account)
    {
        return this->by_name.begin()->second->owners.owner_of(
            core::bucket_of(this->names[account]));
    }

    /// Poisson arrivals of each account for `time`; `place` picks the instance.
    void offer(const std::vector<double>& rates,
               core::duration time,
               const std::function<instance*(std::size_t)>& place)
    {
        const core::time_point end = this->now + time;
        std::vector<core::time_point> next;
        for (const double rate : rates)
        {
            next.push_back(this->now + this->gap(rate));
        }
        while (this->now < end)
        {
            const core::time_point tick = this->next_tick;
            const auto arrival = std::min_element(next.begin(), next.end());
            const bool message = !this->network.empty();
            core::time_point event = std::min(tick, *arrival);
            event =
                message ? std::min(event, this->network.begin()->first) : event;
            this->now = event;
            if (message && this->network.begin()->first == event)
            {
                auto item = this->network.extract(this->network.begin());
                this->deliver(std::move(item.mapped()));
            }
            else if (*arrival == event)
            {
                const auto account =
                    static_cast<std::size_t>(arrival - next.begin());
                *arrival = this->now + this->gap(rates[account]);
                this->request(*place(account), account);
            }
            else
            {
                this->tick();
            }
        }
    }

    void idle(core::duration time)
    {
        this->offer({0.0}, time,
                    [](std::size_t)
                    {
                        return nullptr;
                    });
    }

    instance* any(std::size_t)
    {
        auto found = this->by_name.begin();
        std::advance(found, std::uniform_int_distribution<std::size_t>(
                                0, this->by_name.size() - 1)(this->random));
        return found->second;
    }

    counters counted;
    std::deque<instance> instances;
    std::map<std::string, instance*> by_name;
    /// Side of an instance in a partition; messages do not cross.
    std::function<int(const std::string&)> side;
    core::time_point now{seconds(1000)};

private:
    struct envelope
    {
        core::instance_id from;
        std::string to;
        core::message content;
    };

    core::duration gap(double rate)
    {
        const double most = 1e6;
        const double wait =
            rate <= 0.0
                ? most
                : std::exponential_distribution<double>(rate)(this->random);
        return std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(wait));
    }

    void send(const instance& from, core::outbox out)
    {
        for (core::outgoing& item : out)
        {
            const bool ownership =
                std::holds_alternative<core::delegation_request>(
                    item.message) ||
                std::holds_alternative<core::delegation>(item.message);
            ++(ownership ? this->counted.delegation_messages
                         : this->counted.messages);
            this->counted.bytes += size_of(item.message);
            const bool cut =
                this->side && this->side(from.id.name) != this->side(item.to);
            if (!cut)
            {
                this->network.emplace(
                    this->now + link_delay,
                    envelope{from.id, item.to, std::move(item.message)});
            }
        }
    }

    void deliver(envelope item)
    {
        const auto found = this->by_name.find(item.to);
        if (found == this->by_name.end())
        {
            return;
        }
        instance& one = *found->second;
        one.owners.record_message_from(item.from, this->now);
        if (const auto* ask =
                std::get_if<core::delegation_request>(&item.content))
        {
            this->send(one, one.owners.receive(item.from, *ask, this->now));
        }
        else if (const auto* given =
                     std::get_if<core::delegation>(&item.content))
        {
            one.owners.receive(item.from, *given, this->now);
        }
        else if (const auto* request =
                     std::get_if<core::token_request>(&item.content))
        {
            this->send(one, one.owner.receive(item.from, *request, one.owners,
                                              this->now));
        }
        else if (const auto* grant =
                     std::get_if<core::token_grant>(&item.content))
        {
            one.tokens.receive(*grant, this->now);
            this->poll(one);
        }
    }

    void tick()
    {
        this->next_tick = this->now + tick_period;
        for (instance& one : this->instances)
        {
            if (!one.alive || !this->leased)
            {
                continue;
            }
            this->send(one, one.owners.tick(this->now));
            one.owner.tick(one.owners, this->now);
            this->send(one, one.tokens.tick(one.owners, this->now));
            this->poll(one);
        }
    }

    void request(instance& one, std::size_t account)
    {
        const core::account_limit limit = this->current[account];
        ideal_bucket& offered = this->offered_from[account];
        offered.advance(limit, this->now);
        const bool inside = offered.level >= 1.0;
        offered.level -= inside ? 1.0 : 0.0;
        ++this->counted.requests;
        this->counted.inside[account] += inside ? 1 : 0;
        const bool first = !one.used[account];
        one.used[account] = true;
        const waiting_request item{account, this->now, first};
        if (!this->leased)
        {
            this->decide_fixed(one, item);
            return;
        }
        one.waiting.push_back(item);
        this->poll(one);
    }

    // The baseline: a token bucket of 1/N per instance that starts empty with
    // the process and fills while the account is idle.
    void decide_fixed(instance& one, const waiting_request& item)
    {
        const core::account_limit whole = this->current[item.account];
        const core::account_limit part{whole.rate_per_second /
                                           this->max_instances,
                                       whole.burst / this->max_instances};
        const auto [found, created] = one.fixed.try_emplace(item.account);
        ideal_bucket& bucket = found->second;
        bucket.at = created ? one.started_at : bucket.at;
        bucket.advance(part, this->now);
        const bool granted = bucket.level >= 1.0;
        bucket.level -= granted ? 1.0 : 0.0;
        this->count(item, granted);
    }

    void poll(instance& one)
    {
        std::vector<waiting_request> kept;
        core::outbox out;
        for (const waiting_request& item : one.waiting)
        {
            const core::spend_result spent =
                one.tokens.spend(this->names[item.account], item.asked,
                                 one.owner, one.owners, this->now, out);
            if (spent.kind == core::spend_kind::wait)
            {
                kept.push_back(item);
                continue;
            }
            this->count(item, spent.kind == core::spend_kind::granted);
        }
        one.waiting = std::move(kept);
        this->send(one, std::move(out));
    }

    void count(const waiting_request& item, bool granted)
    {
        if (!granted)
        {
            return;
        }
        ++this->counted.granted[item.account];
        this->counted.waits.push_back(this->now - item.asked);
        if (item.first)
        {
            this->counted.first_waits.push_back(this->now - item.asked);
        }
        ideal_bucket& bucket = this->granted_from[item.account];
        bucket.advance(this->current[item.account], this->now);
        bucket.level -= 1.0;
        if (bucket.level < -0.001)
        {
            ++this->counted.over;
            bucket.level += 1.0;
        }
    }

    bool leased;
    unsigned max_instances;
    std::mt19937_64 random;
    std::uint64_t last_incarnation = 0;
    std::vector<std::string> names;
    std::vector<core::account_limit> current;
    std::vector<ideal_bucket> granted_from;
    std::vector<ideal_bucket> offered_from;
    std::shared_ptr<const core::account_limits> limits =
        std::make_shared<core::account_limits>();
    std::multimap<core::time_point, envelope> network;
    core::time_point next_tick = this->now;
};

/// The accounts of a fleet of 40: a few large ones.
const std::vector<core::account_limit> accounts{
    {200.0, 400.0}, {100.0, 200.0}, {50.0, 100.0}, {50.0, 100.0},
    {20.0, 100.0},  {20.0, 100.0},  {10.0, 100.0}, {10.0, 100.0}};

std::vector<double> rates_at(double factor)
{
    std::vector<double> rates;
    for (const core::account_limit& limit : accounts)
    {
        rates.push_back(limit.rate_per_second * factor);
    }
    return rates;
}

constexpr core::duration half_run = seconds(20);

double milliseconds_at(std::vector<core::duration> waits, double part)
{
    if (waits.empty())
    {
        return 0.0;
    }
    std::sort(waits.begin(), waits.end());
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(waits.size() - 1));
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
    fleet.counted = {};
    const core::time_point from = fleet.now;
    load(fleet);
    const double time = std::chrono::duration<double>(fleet.now - from).count();
    const counters& all = fleet.counted;
    // Per account: requests that one token bucket for the whole fleet would
    // have granted, less those that were granted.
    std::uint64_t wrongful = 0;
    for (const auto& [account, inside] : all.inside)
    {
        const auto granted = all.granted.find(account);
        const std::uint64_t served =
            granted == all.granted.end() ? 0 : granted->second;
        wrongful += inside > served ? inside - served : 0;
    }
    const double share = 100.0 * static_cast<double>(wrongful) /
                         static_cast<double>(all.requests);
    fmt::print("| {} | {} | {} | {} | {:.2f} | {} | {:.0f} | {:.0f} | {:.1f} | "
               "{:.1f} | {:.1f} | {:.1f} |\n",
               name, n, leased ? "leased" : "fixed 1/N", all.requests, share,
               all.over, static_cast<double>(all.messages) / time,
               static_cast<double>(all.delegation_messages) / time,
               static_cast<double>(all.bytes) / time / 1024.0,
               milliseconds_at(all.first_waits, 0.5),
               milliseconds_at(all.first_waits, 0.99),
               milliseconds_at(all.waits, 0.99));
    std::fflush(stdout);
}

void even(measurement& fleet, double factor)
{
    fleet.offer(rates_at(factor), 2 * half_run,
                [&](std::size_t account)
                {
                    return fleet.any(account);
                });
}

void at_one_instance(measurement& fleet)
{
    fleet.offer(rates_at(0.75), 2 * half_run,
                [&](std::size_t account)
                {
                    auto found = fleet.by_name.begin();
                    std::advance(found, account * 5);
                    return found->second;
                });
}

void in_two_halves(measurement& fleet, const std::function<void()>& between)
{
    const auto place = [&](std::size_t account)
    {
        return fleet.any(account);
    };
    fleet.offer(rates_at(0.75), half_run, place);
    between();
    fleet.offer(rates_at(0.75), half_run, place);
}

void rate_changed(measurement& fleet)
{
    in_two_halves(fleet,
                  [&]()
                  {
                      for (std::size_t i = 0; i < accounts.size(); ++i)
                      {
                          fleet.set_limit(i, {accounts[i].rate_per_second / 2.0,
                                              accounts[i].burst});
                      }
                  });
}

/// The platform's list follows after five seconds.
void owner_killed(measurement& fleet)
{
    const auto place = [&](std::size_t account)
    {
        return fleet.any(account);
    };
    fleet.offer(rates_at(0.75), half_run, place);
    fleet.kill(fleet.owner_of(0));
    fleet.offer(rates_at(0.75), seconds(5), place);
    fleet.publish();
    fleet.offer(rates_at(0.75), half_run - seconds(5), place);
}

void partitioned(measurement& fleet)
{
    in_two_halves(fleet,
                  [&]()
                  {
                      fleet.side = [](const std::string& name)
                      {
                          return static_cast<int>(core::hash_text(name) % 3 ==
                                                  0);
                      };
                  });
}

void half_replaced(measurement& fleet)
{
    in_two_halves(fleet,
                  [&]()
                  {
                      for (unsigned i = 0; i < 20; ++i)
                      {
                          fleet.kill("instance-" + std::to_string(i * 2));
                          fleet.start("replacement-" + std::to_string(i));
                      }
                      fleet.publish();
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

/// An owner of one bucket and the entry side of one instance: processor time
/// and memory for accounts that `instances` ask for.
void slopes(unsigned instances, std::size_t active)
{
    core::time_point now{seconds(1000)};
    const core::instance_id self{"home", 1};
    core::ownership owners(self, now);
    owners.set_max_instances(instances);
    owners.set_live_instances({self.name}, now);
    auto limits = std::make_shared<core::account_limits>();
    std::vector<std::string> names;
    for (std::size_t i = 0; i < active; ++i)
    {
        names.push_back("account-" + std::to_string(i));
        (*limits)[names.back()] = {1000.0 * instances, 4000.0 * instances};
    }
    now += seconds(200);
    owners.tick(now);
    now += seconds(5);
    const std::size_t before = allocated_bytes();
    core::limit_owner owner;
    owner.set_limits(limits);
    const unsigned askers = std::min<unsigned>(instances - 1, 8);
    const double start = processor_seconds();
    std::uint64_t wants = 0;
    for (unsigned round = 1; round <= 4; ++round)
    {
        now += milliseconds(250);
        owners.tick(now);
        owner.tick(owners, now);
        for (unsigned asker = 0; asker < askers; ++asker)
        {
            core::token_request request{round, {}};
            for (const std::string& name : names)
            {
                request.demands.push_back({name, 0.0, 1.0});
                ++wants;
            }
            owner.receive({"instance-" + std::to_string(asker), 1}, request,
                          owners, now);
        }
    }
    const double owner_time = processor_seconds() - start;
    const std::size_t owner_bytes = allocated_bytes() - before;

    const std::size_t entry_before = allocated_bytes();
    core::entry_limiter tokens({"entry", 1});
    tokens.set_limits(limits);
    core::ownership entry_owners({"entry", 1}, now);
    entry_owners.set_max_instances(instances);
    std::vector<std::string> members{"entry"};
    for (unsigned i = 1; i < instances; ++i)
    {
        members.push_back("instance-" + std::to_string(i));
    }
    entry_owners.set_live_instances(members, now);
    core::limit_owner unused;
    const double entry_start = processor_seconds();
    for (unsigned round = 0; round < 4; ++round)
    {
        now += milliseconds(250);
        core::outbox out;
        for (const std::string& name : names)
        {
            tokens.spend(name, now, unused, entry_owners, now, out);
        }
        core::outbox due = tokens.tick(entry_owners, now);
        out.insert(out.end(), due.begin(), due.end());
        for (const core::outgoing& item : out)
        {
            const auto* request =
                std::get_if<core::token_request>(&item.message);
            core::token_grant grant{request->nonce, seconds(2), {}};
            for (const core::token_demand& want : request->demands)
            {
                grant.amounts.push_back({want.account, want.requested});
            }
            tokens.receive(grant, now);
        }
    }
    const double entry_time = processor_seconds() - entry_start;
    const std::size_t entry_bytes_used = allocated_bytes() - entry_before;
    fmt::print("| {} | {} | {:.2f} | {:.0f} | {:.2f} | {:.0f} |\n", instances,
               active, owner_time * 1e6 / static_cast<double>(wants),
               static_cast<double>(owner_bytes) / static_cast<double>(active),
               entry_time * 1e6 / (4.0 * static_cast<double>(active)),
               static_cast<double>(entry_bytes_used) /
                   static_cast<double>(active));
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
                   even(fleet, 0.75);
               }},
              {"even, the whole rate",
               [](measurement& fleet)
               {
                   even(fleet, 1.0);
               }},
              {"each account at one instance, 0.75", at_one_instance},
              {"4 times the rate",
               [](measurement& fleet)
               {
                   even(fleet, 4.0);
               }},
              {"rates halved mid-run", rate_changed},
              {"a home killed", owner_killed},
              {"partition 1 to 2", partitioned},
              {"half the fleet replaced", half_replaced}};
    for (const auto& [name, load] : loads)
    {
        for (const unsigned n : {40U, 48U})
        {
            run_case(name, n, false, load);
            run_case(name, n, true, load);
        }
    }
    fmt::print("\n| instances | active accounts | home, us per want | home, "
               "bytes per account | entry, us per request | entry, bytes per "
               "account |\n|---|---|---|---|---|---|\n");
    for (const unsigned instances : {40U, 200U, 830U})
    {
        for (const std::size_t active : {1000U, 5000U, 21000U})
        {
            slopes(instances, active);
        }
    }
    return 0;
}
