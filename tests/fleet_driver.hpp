/// Drives the decision logic of several instances with fake time under random
/// faults, and checks what must hold at every moment: the delegations of a
/// bucket, the tokens spent of an account and the verdicts on an order.
#pragma once

#include <algorithm>
#include <list>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/limits.hpp>
#include <medlarbarrow/core/orders.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

namespace medlarbarrow::test
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t max_instances = 7;
constexpr core::duration step_time = milliseconds(25);
constexpr core::duration tick_period = milliseconds(50);
constexpr std::chrono::milliseconds clock_skew{2000};

/// Clock rates of two instances differ by less than 1%.
constexpr double greatest_drift = 0.0049;

struct waiting_request
{
    std::string account;
    core::time_point asked{};
};

struct pending_claim
{
    core::order_claim claim;
    core::time_point next_try{};
    unsigned tries = 0;
};

/// One running process of an instance.
struct process
{
    process(core::instance_id self, core::time_point started)
        : id(std::move(self)), owners(id, started), tokens(id)
    {
    }

    core::instance_id id;
    double rate = 1.0;          ///< of the monotonic clock
    core::duration offset{};    ///< of the monotonic clock
    milliseconds wall_offset{}; ///< of the wall clock
    core::time_point paused_until{};
    core::time_point killed_at = core::time_point::max();
    bool leaving = false;
    core::ownership owners;
    core::limit_owner owner;
    core::token_holder tokens;
    core::order_owner orders;
    std::vector<waiting_request> waiting;
    std::map<core::nonce, pending_claim> claims;
    core::nonce last_claim = 0;
};

struct fleet_faults
{
    double loss = 0.0;
    double repeat = 0.0;
    double late = 0.0; ///< delayed by up to 0.4 s or 12 s instead of 30 ms
};

class fleet
{
public:
    explicit fleet(std::uint64_t seed, unsigned count = max_instances - 1)
        : random(seed)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            this->start("instance-" + std::to_string(i));
        }
        this->publish(1.0);
    }

    void set_limit(const std::string& account, core::account_limit limit)
    {
        core::account_limits changed = *this->limits;
        changed[account] = limit;
        this->limits = std::make_shared<const core::account_limits>(changed);
        for (process& one : this->processes)
        {
            this->configure(one);
        }
        core::account_limit& greatest = this->greatest_limits[account];
        greatest.rate_per_second =
            std::max(greatest.rate_per_second, limit.rate_per_second);
        greatest.burst = std::max(greatest.burst, limit.burst);
    }

    process* start(const std::string& name)
    {
        if (this->processes.size() >= max_instances)
        {
            return nullptr;
        }
        const double rate =
            1.0 + greatest_drift * (2.0 * this->fraction() - 1.0);
        const core::duration offset =
            milliseconds(static_cast<std::int64_t>(this->pick(1'000'000)));
        const core::instance_id id{name, ++this->last_incarnation};
        const core::time_point local =
            core::time_point(scaled(this->now, rate) + offset);
        process& one = this->processes.emplace_back(id, local);
        one.rate = rate;
        one.offset = offset;
        this->step_wall_clock(one);
        core::fleet_policy policy;
        policy.clock_skew = clock_skew;
        policy.order_window = seconds(40);
        one.orders.set_policy(policy);
        one.owners.set_max_instances(max_instances);
        one.owners.set_members(this->published, this->local_time(one));
        this->configure(one);
        return &one;
    }

    /// Moves the wall clock of a process within half the skew.
    void step_wall_clock(process& one)
    {
        const auto room = clock_skew.count() - 10;
        one.wall_offset = milliseconds(static_cast<std::int64_t>(this->pick(
                                           static_cast<std::size_t>(room))) -
                                       room / 2);
    }

    process& any()
    {
        auto found = this->processes.begin();
        std::advance(found, this->pick(this->processes.size()));
        return *found;
    }

    void kill(process& one)
    {
        this->processes.remove_if(
            [&](const process& item)
            {
                return &item == &one;
            });
    }

    void pause(process& one, core::duration time)
    {
        one.paused_until = std::max(one.paused_until, this->now + time);
    }

    /// Graceful shutdown: hands over, releases and drains for two seconds.
    void shut_down(process& one)
    {
        if (one.leaving || one.paused_until > this->now)
        {
            return;
        }
        one.leaving = true;
        const core::instant local = this->instant_of(one);
        for (core::bucket_id b = 0; b < core::bucket_count; ++b)
        {
            const std::string next = one.owners.successor_of(b);
            for (auto& part : one.orders.hand_over(b, one.owners, local))
            {
                this->send(one, {{next, std::move(part)}});
            }
        }
        this->send(one, one.owners.release_all(local.monotonic));
        one.killed_at = this->now + seconds(2);
    }

    /// Gives the present list to each process with this probability.
    void publish(double probability)
    {
        std::set<std::string> names;
        for (const process& one : this->processes)
        {
            if (!one.leaving)
            {
                names.insert(one.id.name);
            }
        }
        this->published.assign(names.begin(), names.end());
        for (process& one : this->processes)
        {
            if (this->fraction() < probability)
            {
                one.owners.set_members(this->published, this->local_time(one));
            }
        }
    }

    void cut(const std::string& from, const std::string& to)
    {
        this->cuts.emplace(from, to);
    }

    /// Cuts all links between two sides, in both directions.
    void partition(unsigned size)
    {
        for (const process& left : this->processes)
        {
            for (const process& right : this->processes)
            {
                const bool a = core::hash_text(left.id.name, size) % 2 == 0;
                const bool b = core::hash_text(right.id.name, size) % 2 == 0;
                if (a != b)
                {
                    this->cut(left.id.name, right.id.name);
                }
            }
        }
    }

    /// Ends all faults and drops what is still under way; of several processes
    /// of a name the newest stays.
    void heal()
    {
        this->faults = {};
        this->network.clear();
        this->cuts.clear();
        std::map<std::string, std::uint64_t> newest;
        for (process& one : this->processes)
        {
            one.paused_until = {};
            newest[one.id.name] = one.id.incarnation;
        }
        this->processes.remove_if(
            [&](const process& one)
            {
                return one.leaving || newest[one.id.name] != one.id.incarnation;
            });
        this->publish(1.0);
    }

    void request(process& one, const std::string& account)
    {
        if (one.paused_until <= this->now)
        {
            one.waiting.push_back({account, this->local_time(one)});
            this->poll(one);
        }
    }

    /// An order with a key created `age` ago, sent to one instance.
    void order(process& one, const std::string& key, milliseconds age)
    {
        if (one.paused_until > this->now)
        {
            return;
        }
        const auto [entry, added] =
            this->created.try_emplace(key, this->true_wall() - age);
        core::order_claim claim{++one.last_claim,
                                core::order_identity("a", "s", key),
                                entry->second, milliseconds(3000)};
        one.claims[claim.nonce] = {claim, this->local_time(one), 0};
        this->try_claims(one);
    }

    void run(core::duration time)
    {
        const core::time_point end = this->now + time;
        while (this->now < end)
        {
            this->step();
        }
    }

    /// Buckets that lack an owner with a majority.
    unsigned buckets_without_majority()
    {
        unsigned missing = 0;
        for (core::bucket_id b = 0; b < core::bucket_count; ++b)
        {
            const bool found = std::any_of(
                this->processes.begin(), this->processes.end(),
                [&](const process& one)
                {
                    return one.owners.has_majority(b, this->local_time(one));
                });
            missing += found ? 0 : 1;
        }
        return missing;
    }

    core::time_point local_time(const process& one) const
    {
        return core::time_point(scaled(this->now, one.rate) + one.offset);
    }

    core::instant instant_of(const process& one) const
    {
        return {this->local_time(one), this->true_wall() + one.wall_offset};
    }

    std::size_t pick(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->random);
    }

    double fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    std::vector<std::string> violations;
    std::list<process> processes;
    fleet_faults faults;
    std::set<std::pair<std::string, std::string>> cuts;
    std::map<std::string, unsigned> admitted;
    std::map<core::order_verdict_kind, unsigned> verdicts;

private:
    struct envelope
    {
        core::instance_id from;
        std::string to;
        core::message content;
    };

    /// Runs that owners have allowed for one identity.
    struct allowed_runs
    {
        std::set<std::pair<core::instance_id, core::nonce>> claims;
        std::set<std::pair<core::instance_id, core::nonce>> not_sent;
    };

    /// What may still be spent of an account at this moment.
    struct spent_account
    {
        double level = 0.0;
        core::time_point at{};
        bool started = false;
    };

    static core::duration scaled(core::time_point time, double rate)
    {
        return core::duration(static_cast<std::int64_t>(
            static_cast<double>(time.time_since_epoch().count()) * rate));
    }

    core::wall_time true_wall() const
    {
        return core::wall_time(seconds(1'700'000'000)) +
               std::chrono::duration_cast<milliseconds>(
                   this->now.time_since_epoch());
    }

    void configure(process& one)
    {
        one.owner.set_limits(this->limits);
        one.tokens.set_limits(this->limits);
    }

    void send(const process& from, core::outbox out)
    {
        for (core::outgoing& item : out)
        {
            const bool lost = this->cuts.contains({from.id.name, item.to}) ||
                              this->fraction() < this->faults.loss;
            if (lost)
            {
                continue;
            }
            const unsigned copies =
                this->fraction() < this->faults.repeat ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy)
            {
                const bool late = this->fraction() < this->faults.late;
                const std::size_t longest = this->pick(2) == 0 ? 12'000 : 400;
                const core::duration delay = milliseconds(
                    static_cast<std::int64_t>(this->pick(late ? longest : 30)));
                this->network.emplace(this->now + delay,
                                      envelope{from.id, item.to, item.message});
            }
        }
    }

    void step()
    {
        const core::time_point end = this->now + step_time;
        while (!this->network.empty() && this->network.begin()->first <= end)
        {
            auto item = this->network.extract(this->network.begin());
            this->now = std::max(this->now, item.key());
            this->deliver(std::move(item.mapped()));
        }
        this->now = end;
        this->processes.remove_if(
            [&](const process& one)
            {
                return one.killed_at <= this->now;
            });
        if (this->now.time_since_epoch() % tick_period == core::duration(0))
        {
            for (process& one : this->processes)
            {
                this->tick(one);
            }
        }
        this->check_delegations();
    }

    void tick(process& one)
    {
        if (one.paused_until > this->now)
        {
            return;
        }
        const core::instant local = this->instant_of(one);
        this->send(one, one.owners.tick(local.monotonic));
        one.owner.tick(one.owners, local.monotonic);
        this->send(one, one.tokens.tick(one.owners, local.monotonic));
        one.orders.tick(one.owners, local);
        this->poll(one);
        this->try_claims(one);
    }

    // With two processes of one name any of them may get the message.
    void deliver(envelope item)
    {
        std::vector<process*> targets;
        for (process& one : this->processes)
        {
            if (one.id.name == item.to)
            {
                targets.push_back(&one);
            }
        }
        if (targets.empty())
        {
            return;
        }
        process& target = *targets[this->pick(targets.size())];
        if (target.paused_until > this->now)
        {
            const core::time_point then = target.paused_until;
            this->network.emplace(then, std::move(item));
            return;
        }
        target.owners.heard_from(item.from, this->local_time(target));
        std::visit(
            [&](const auto& content)
            {
                this->receive(target, item.from, content);
            },
            item.content);
        this->poll(target);
    }

    template <class Message>
    void
    receive(process& one, const core::instance_id& from, const Message& content)
    {
        const core::instant local = this->instant_of(one);
        if constexpr (std::is_same_v<Message, core::delegation_request>)
        {
            this->send(one, one.owners.receive(from, content, local.monotonic));
        }
        else if constexpr (std::is_same_v<Message, core::delegation> ||
                           std::is_same_v<Message, core::delegation_release>)
        {
            one.owners.receive(from, content, local.monotonic);
        }
        else if constexpr (std::is_same_v<Message, core::token_request>)
        {
            this->send(one, one.owner.receive(from, content, one.owners,
                                              local.monotonic));
        }
        else if constexpr (std::is_same_v<Message, core::token_grant>)
        {
            one.tokens.receive(content, local.monotonic);
        }
        else if constexpr (std::is_same_v<Message, core::order_claim>)
        {
            this->send(one, {{from.name, this->decide(one, from, content)}});
        }
        else if constexpr (std::is_same_v<Message, core::order_verdict>)
        {
            this->accept(one, content);
        }
        else if constexpr (std::is_same_v<Message, core::order_result>)
        {
            one.orders.finish(from, content);
        }
        else if constexpr (std::is_same_v<Message, core::order_handover>)
        {
            one.orders.adopt(from, content, local);
        }
    }

    // Spends for the requests that wait at this instance.
    void poll(process& one)
    {
        const core::time_point local = this->local_time(one);
        std::vector<waiting_request> kept;
        core::outbox out;
        for (const waiting_request& item : one.waiting)
        {
            const core::spend_result spent = one.tokens.spend(
                item.account, item.asked, one.owner, one.owners, local, out);
            if (spent.kind == core::spend_kind::granted)
            {
                this->note_admitted(item.account);
            }
            if (spent.kind == core::spend_kind::wait)
            {
                kept.push_back(item);
            }
        }
        one.waiting = std::move(kept);
        this->send(one, std::move(out));
    }

    // The requests of every window stay within burst + rate x time if and only
    // if a token bucket that starts full never runs dry. The fastest clock of
    // An owner fills by the drift more.
    void note_admitted(const std::string& account)
    {
        const core::account_limit limit = this->greatest_limits[account];
        spent_account& spent = this->spent[account];
        const double passed =
            std::chrono::duration<double>(this->now - spent.at).count();
        const double rate =
            limit.rate_per_second * (1.0 + 2.0 * greatest_drift);
        spent.level = spent.started
                          ? std::min(spent.level + rate * passed, limit.burst)
                          : limit.burst;
        spent.started = true;
        spent.at = this->now;
        spent.level -= 1.0;
        ++this->admitted[account];
        if (spent.level < -0.001)
        {
            this->violations.push_back(account + " got more than its limit");
        }
    }

    void try_claims(process& one)
    {
        const core::time_point local = this->local_time(one);
        std::vector<core::order_verdict> own;
        for (auto item = one.claims.begin(); item != one.claims.end();)
        {
            pending_claim& pending = item->second;
            const core::order_claim& claim = pending.claim;
            if (local >= pending.next_try)
            {
                pending.next_try = local + milliseconds(400);
                const std::string& owner =
                    one.owners.owner_of(core::bucket_of(claim.identity));
                if (owner == one.id.name)
                {
                    own.push_back(this->decide(one, one.id, claim));
                }
                else if (!owner.empty())
                {
                    this->send(one, {{owner, claim}});
                }
                ++pending.tries;
            }
            item = pending.tries > 8 ? one.claims.erase(item) : ++item;
        }
        for (const core::order_verdict& verdict : own)
        {
            this->accept(one, verdict);
        }
    }

    core::order_verdict decide(process& owner,
                               const core::instance_id& from,
                               const core::order_claim& claim)
    {
        const core::order_verdict verdict = owner.orders.claim(
            from, claim, owner.owners, this->instant_of(owner));
        ++this->verdicts[verdict.kind];
        if (verdict.kind == core::order_verdict_kind::run)
        {
            allowed_runs& runs = this->allowed[claim.identity];
            runs.claims.insert({from, claim.nonce});
            std::vector<std::pair<core::instance_id, core::nonce>> live;
            std::set_difference(runs.claims.begin(), runs.claims.end(),
                                runs.not_sent.begin(), runs.not_sent.end(),
                                std::back_inserter(live));
            if (live.size() > 1)
            {
                this->violations.push_back(
                    "an order may run twice: " + live[0].first.name + " and " +
                    live[1].first.name + " by " + owner.id.name);
            }
        }
        return verdict;
    }

    // The entry instance acts on the first verdict that is final.
    void accept(process& one, const core::order_verdict& verdict)
    {
        const auto found = one.claims.find(verdict.nonce);
        if (found == one.claims.end() ||
            verdict.kind == core::order_verdict_kind::not_owner)
        {
            return;
        }
        one.claims.erase(found);
        if (verdict.kind != core::order_verdict_kind::run)
        {
            return;
        }
        core::order_result result{
            verdict.identity, core::order_outcome::answered,
            core::stored_answer{200, "text/plain", "done"}, verdict.nonce};
        if (this->fraction() < 0.4)
        {
            result.outcome = core::order_outcome::not_sent;
            this->allowed[verdict.identity].not_sent.insert(
                {one.id, verdict.nonce});
        }
        const std::string& owner =
            one.owners.owner_of(core::bucket_of(verdict.identity));
        if (owner == one.id.name)
        {
            one.orders.finish(one.id, result);
            return;
        }
        this->send(one, {{owner, result}});
    }

    // Delegations of a bucket over all owners never exceed N, and at most one
    // owner has a majority.
    void check_delegations()
    {
        for (core::bucket_id b = 0; b < core::bucket_count; ++b)
        {
            unsigned delegations = 0;
            unsigned majorities = 0;
            double shares = 0.0;
            for (const process& one : this->processes)
            {
                const core::time_point local = this->local_time(one);
                delegations += one.owners.delegations(b, local);
                majorities += one.owners.has_majority(b, local) ? 1 : 0;
                shares += one.owners.share(b, local) +
                          one.owners.undelegated_fraction(b, local);
            }
            if (delegations > max_instances || majorities > 1 ||
                shares > 1.0 + 1e-9)
            {
                this->violations.push_back(
                    "bucket " + std::to_string(b) + ": " +
                    std::to_string(delegations) + " delegations, " +
                    std::to_string(majorities) + " majorities, shares " +
                    std::to_string(shares));
            }
        }
    }

    std::mt19937_64 random;
    core::time_point now{seconds(1000)};
    std::uint64_t last_incarnation = 0;
    std::vector<std::string> published;
    std::multimap<core::time_point, envelope> network;
    std::shared_ptr<const core::account_limits> limits =
        std::make_shared<core::account_limits>();
    std::map<std::string, core::account_limit> greatest_limits;
    std::map<std::string, spent_account> spent;
    std::map<std::string, core::wall_time> created;
    std::map<core::digest, allowed_runs> allowed;
};

/// One fault or change, drawn by RapidCheck.
struct fault
{
    unsigned kind = 0;
    unsigned size = 0;
};

inline void showValue(const fault& value, std::ostream& stream)
{
    stream << value.kind << "/" << value.size;
}

constexpr unsigned fault_kinds = 14;

inline rc::Gen<std::vector<fault>> any_faults()
{
    const auto one =
        rc::gen::map(rc::gen::pair(rc::gen::inRange(0U, fault_kinds),
                                   rc::gen::inRange(0U, 1000U)),
                     [](const std::pair<unsigned, unsigned>& drawn)
                     {
                         return fault{drawn.first, drawn.second};
                     });
    // Full ranges from the first case on.
    return rc::gen::resize(rc::kNominalSize,
                           rc::gen::container<std::vector<fault>>(14, one));
}

/// Replaces half of the processes by new ones, of old or of new names.
inline void replace_half(fleet& all, bool same_names)
{
    std::vector<std::string> names;
    for (std::size_t left = all.processes.size() / 2; left > 0; --left)
    {
        process& one = all.any();
        names.push_back(same_names ? one.id.name : one.id.name + "x");
        all.kill(one);
    }
    for (const std::string& name : names)
    {
        all.start(name);
    }
}

inline void apply(fleet& all, const fault& next)
{
    process& one = all.any();
    const std::string name = one.id.name;
    const double part = next.size / 1000.0;
    switch (next.kind)
    {
    case 0:
        all.faults = {part * 0.3, part * 0.3, part * 0.5};
        break;
    case 1:
        all.cut(name, all.any().id.name);
        break;
    case 2:
        all.partition(next.size);
        break;
    case 3:
        all.cuts.clear();
        all.faults = {};
        break;
    case 4:
        all.pause(one, milliseconds(next.size * 12));
        break;
    case 5: // a restart
        all.kill(one);
        all.start(name);
        break;
    case 6: // a replacement under another name
        all.kill(one);
        all.start(name + "x");
        all.publish(part);
        break;
    case 7: // the platform starts a replacement while the old process runs
        all.start(name);
        break;
    case 8:
    case 9: // graceful shutdown, replaced at once if there is room
        all.shut_down(one);
        all.start(name);
        all.publish(part);
        break;
    case 10:
        replace_half(all, next.size % 2 == 0);
        all.publish(part);
        break;
    case 11:
        all.publish(part);
        break;
    case 12:
        all.step_wall_clock(one);
        break;
    default: // no fault
        break;
    }
}

} // namespace medlarbarrow::test
