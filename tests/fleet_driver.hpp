/// Simulates the decision logic of several instances with fake time and random
/// faults. Checks the safety properties at every step: the delegations of each
/// bucket, the tokens spent by each account and the verdicts on each order.
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

/// Maximum deviation of a clock rate from 1. The clock rates of two instances
/// differ by less than 1%.
constexpr double max_drift = 0.0049;

struct waiting_request
{
    std::string account;
    core::time_point first_call{};
};

struct pending_claim
{
    core::order_claim claim;
    core::time_point next_attempt{};
    unsigned attempts = 0;
};

/// One running process of an instance.
struct simulated_process
{
    simulated_process(core::instance_id self, core::time_point started)
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
    core::limit_owner limit_owner;
    core::entry_limiter tokens;
    core::order_owner orders;
    std::vector<waiting_request> waiting;
    std::map<core::nonce, pending_claim> claims;
    core::nonce last_claim = 0;
};

/// Probabilities of message faults.
struct message_faults
{
    double loss = 0.0;
    double duplication = 0.0;
    double long_delay = 0.0; ///< up to 0.4 s or 12 s instead of 30 ms
};

/// Fleet of simulated processes with a network between them. Each safety
/// violation is recorded in `violations`.
class simulated_fleet
{
public:
    explicit simulated_fleet(std::uint64_t seed,
                             unsigned count = max_instances - 1)
        : random(seed)
    {
        for (unsigned i = 0; i < count; ++i)
        {
            this->start("instance-" + std::to_string(i));
        }
        this->publish(1.0);
    }

    /// Changes the limit of an account at all processes at once. Admitted
    /// requests are checked against the greatest rate and burst ever set.
    void set_limit(const std::string& account, core::account_limit limit)
    {
        core::account_limits new_limits = *this->limits;
        new_limits[account] = limit;
        this->limits = std::make_shared<const core::account_limits>(new_limits);
        for (simulated_process& process : this->processes)
        {
            this->configure(process);
        }
        core::account_limit& max_limit = this->max_limits[account];
        max_limit.rate_per_second =
            std::max(max_limit.rate_per_second, limit.rate_per_second);
        max_limit.burst = std::max(max_limit.burst, limit.burst);
    }

    /// Starts a process with random clocks. Returns null if N processes run.
    simulated_process* start(const std::string& name)
    {
        if (this->processes.size() >= max_instances)
        {
            return nullptr;
        }
        const double rate =
            1.0 + max_drift * (2.0 * this->random_fraction() - 1.0);
        const core::duration offset = milliseconds(
            static_cast<std::int64_t>(this->random_index(1'000'000)));
        const core::instance_id id{name, ++this->last_incarnation};
        const core::time_point started =
            core::time_point(scaled(this->now, rate) + offset);
        simulated_process& process = this->processes.emplace_back(id, started);
        process.rate = rate;
        process.offset = offset;
        this->step_wall_clock(process);
        core::fleet_policy policy;
        policy.clock_skew = clock_skew;
        policy.order_window = seconds(40);
        process.orders.set_policy(policy);
        process.owners.set_max_instances(max_instances);
        process.owners.set_live_instances(this->published_list,
                                          this->local_time(process));
        this->configure(process);
        return &process;
    }

    /// Sets the wall clock of a process to a random offset within half the
    /// skew.
    void step_wall_clock(simulated_process& process)
    {
        const auto range = clock_skew.count() - 10;
        process.wall_offset =
            milliseconds(static_cast<std::int64_t>(this->random_index(
                             static_cast<std::size_t>(range))) -
                         range / 2);
    }

    simulated_process& any_process()
    {
        auto it = this->processes.begin();
        std::advance(it, this->random_index(this->processes.size()));
        return *it;
    }

    void kill(simulated_process& process)
    {
        this->processes.remove_if(
            [&](const simulated_process& candidate)
            {
                return &candidate == &process;
            });
    }

    void pause(simulated_process& process, core::duration time)
    {
        process.paused_until = std::max(process.paused_until, this->now + time);
    }

    /// Shuts a process down gracefully: hands its orders over, releases its
    /// delegations and lets it drain for two seconds.
    void shut_down(simulated_process& process)
    {
        if (process.leaving || process.paused_until > this->now)
        {
            return;
        }
        process.leaving = true;
        const core::instant local = this->instant_of(process);
        for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
        {
            const std::string successor = process.owners.successor_of(bucket);
            for (auto& part :
                 process.orders.hand_over(bucket, process.owners, local))
            {
                this->send(process, {{successor, std::move(part)}});
            }
        }
        this->send(process, process.owners.release_all(local.monotonic));
        process.killed_at = this->now + seconds(2);
    }

    /// Updates the published list of instances. Each process receives it with
    /// this probability.
    void publish(double probability)
    {
        std::set<std::string> names;
        for (const simulated_process& process : this->processes)
        {
            if (!process.leaving)
            {
                names.insert(process.id.name);
            }
        }
        this->published_list.assign(names.begin(), names.end());
        for (simulated_process& process : this->processes)
        {
            if (this->random_fraction() < probability)
            {
                process.owners.set_live_instances(this->published_list,
                                                  this->local_time(process));
            }
        }
    }

    void cut_link(const std::string& from, const std::string& to)
    {
        this->cut_links.emplace(from, to);
    }

    /// Splits the fleet into two sides by a hash with this seed and cuts all
    /// links between them, in both directions.
    void partition(unsigned hash_seed)
    {
        for (const simulated_process& left : this->processes)
        {
            for (const simulated_process& right : this->processes)
            {
                const bool left_side =
                    core::hash_text(left.id.name, hash_seed) % 2 == 0;
                const bool right_side =
                    core::hash_text(right.id.name, hash_seed) % 2 == 0;
                if (left_side != right_side)
                {
                    this->cut_link(left.id.name, right.id.name);
                }
            }
        }
    }

    /// Ends all faults, drops the messages in flight and ends processes that
    /// are shutting down. Of several processes with one name only the newest
    /// remains.
    void heal()
    {
        this->faults = {};
        this->network.clear();
        this->cut_links.clear();
        std::map<std::string, std::uint64_t> newest;
        for (simulated_process& process : this->processes)
        {
            process.paused_until = {};
            newest[process.id.name] = process.id.incarnation;
        }
        this->processes.remove_if(
            [&](const simulated_process& process)
            {
                return process.leaving ||
                       newest[process.id.name] != process.id.incarnation;
            });
        this->publish(1.0);
    }

    /// Sends a request of `account` to one process.
    void request(simulated_process& process, const std::string& account)
    {
        if (process.paused_until <= this->now)
        {
            process.waiting.push_back({account, this->local_time(process)});
            this->spend_for_waiting(process);
        }
    }

    /// Sends an order to one process. Its key was created `age` ago when it is
    /// used for the first time.
    void
    order(simulated_process& process, const std::string& key, milliseconds age)
    {
        if (process.paused_until > this->now)
        {
            return;
        }
        const auto [entry, added] =
            this->creation_times.try_emplace(key, this->true_wall() - age);
        core::order_claim claim{++process.last_claim,
                                core::order_identity("a", "s", key),
                                entry->second, milliseconds(3000)};
        process.claims[claim.nonce] = {claim, this->local_time(process), 0};
        this->send_due_claims(process);
    }

    void run(core::duration time)
    {
        const core::time_point end = this->now + time;
        while (this->now < end)
        {
            this->step();
        }
    }

    /// Counts the buckets that have no owner with a majority.
    unsigned buckets_without_majority()
    {
        unsigned count = 0;
        for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
        {
            const bool has_owner =
                std::any_of(this->processes.begin(), this->processes.end(),
                            [&](const simulated_process& process)
                            {
                                return process.owners.has_majority(
                                    bucket, this->local_time(process));
                            });
            count += has_owner ? 0 : 1;
        }
        return count;
    }

    core::time_point local_time(const simulated_process& process) const
    {
        return core::time_point(scaled(this->now, process.rate) +
                                process.offset);
    }

    core::instant instant_of(const simulated_process& process) const
    {
        return {this->local_time(process),
                this->true_wall() + process.wall_offset};
    }

    std::size_t random_index(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(
            this->random);
    }

    double random_fraction()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    std::vector<std::string> violations;
    std::list<simulated_process> processes;
    message_faults faults;
    std::set<std::pair<std::string, std::string>> cut_links;
    std::map<std::string, unsigned> admitted;
    std::map<core::order_verdict_kind, unsigned> verdicts;

private:
    struct envelope
    {
        core::instance_id sender;
        std::string to;
        core::message content;
    };

    /// Claims of one identity that owners have allowed to run.
    struct allowed_claims
    {
        std::set<std::pair<core::instance_id, core::nonce>> claims;
        std::set<std::pair<core::instance_id, core::nonce>> not_sent;
    };

    /// Token bucket that bounds the requests admitted for an account.
    struct allowance
    {
        double level = 0.0;
        core::time_point updated{};
        bool initialized = false;
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

    void configure(simulated_process& process)
    {
        process.limit_owner.set_limits(this->limits);
        process.tokens.set_limits(this->limits);
    }

    void send(const simulated_process& sender, core::outbox out)
    {
        for (core::outgoing& outgoing : out)
        {
            const bool lost =
                this->cut_links.contains({sender.id.name, outgoing.to}) ||
                this->random_fraction() < this->faults.loss;
            if (lost)
            {
                continue;
            }
            const unsigned copies =
                this->random_fraction() < this->faults.duplication ? 2 : 1;
            for (unsigned copy = 0; copy < copies; ++copy)
            {
                const bool delayed =
                    this->random_fraction() < this->faults.long_delay;
                const std::size_t max_delay_ms =
                    this->random_index(2) == 0 ? 12'000 : 400;
                const core::duration delay =
                    milliseconds(static_cast<std::int64_t>(
                        this->random_index(delayed ? max_delay_ms : 30)));
                this->network.emplace(
                    this->now + delay,
                    envelope{sender.id, outgoing.to, outgoing.message});
            }
        }
    }

    void step()
    {
        const core::time_point end = this->now + step_time;
        while (!this->network.empty() && this->network.begin()->first <= end)
        {
            auto entry = this->network.extract(this->network.begin());
            this->now = std::max(this->now, entry.key());
            this->deliver(std::move(entry.mapped()));
        }
        this->now = end;
        this->processes.remove_if(
            [&](const simulated_process& process)
            {
                return process.killed_at <= this->now;
            });
        if (this->now.time_since_epoch() % tick_period == core::duration(0))
        {
            for (simulated_process& process : this->processes)
            {
                this->tick(process);
            }
        }
        this->check_delegations();
    }

    void tick(simulated_process& process)
    {
        if (process.paused_until > this->now)
        {
            return;
        }
        const core::instant local = this->instant_of(process);
        this->send(process, process.owners.tick(local.monotonic));
        process.limit_owner.tick(process.owners, local.monotonic);
        this->send(process,
                   process.tokens.tick(process.owners, local.monotonic));
        process.orders.tick(process.owners, local);
        this->spend_for_waiting(process);
        this->send_due_claims(process);
    }

    // If several processes have the receiver's name, a random one of them gets
    // the message. A paused process gets it at the end of its pause.
    void deliver(envelope delivery)
    {
        std::vector<simulated_process*> targets;
        for (simulated_process& process : this->processes)
        {
            if (process.id.name == delivery.to)
            {
                targets.push_back(&process);
            }
        }
        if (targets.empty())
        {
            return;
        }
        simulated_process& target =
            *targets[this->random_index(targets.size())];
        if (target.paused_until > this->now)
        {
            const core::time_point resumed_at = target.paused_until;
            this->network.emplace(resumed_at, std::move(delivery));
            return;
        }
        target.owners.record_message_from(delivery.sender,
                                          this->local_time(target));
        std::visit(
            [&](const auto& content)
            {
                this->receive(target, delivery.sender, content);
            },
            delivery.content);
        this->spend_for_waiting(target);
    }

    template <class Message>
    void receive(simulated_process& process,
                 const core::instance_id& sender,
                 const Message& content)
    {
        const core::instant local = this->instant_of(process);
        if constexpr (std::is_same_v<Message, core::delegation_request>)
        {
            this->send(process, process.owners.receive(sender, content,
                                                       local.monotonic));
        }
        else if constexpr (std::is_same_v<Message, core::delegation> ||
                           std::is_same_v<Message, core::delegation_release>)
        {
            process.owners.receive(sender, content, local.monotonic);
        }
        else if constexpr (std::is_same_v<Message, core::token_request>)
        {
            this->send(process, process.limit_owner.receive(sender, content,
                                                            process.owners,
                                                            local.monotonic));
        }
        else if constexpr (std::is_same_v<Message, core::token_grant>)
        {
            process.tokens.receive(content, local.monotonic);
        }
        else if constexpr (std::is_same_v<Message, core::order_claim>)
        {
            this->send(
                process,
                {{sender.name, this->decide_claim(process, sender, content)}});
        }
        else if constexpr (std::is_same_v<Message, core::order_verdict>)
        {
            this->act_on_verdict(process, content);
        }
        else if constexpr (std::is_same_v<Message, core::order_result>)
        {
            process.orders.record_outcome(sender, content);
        }
        else if constexpr (std::is_same_v<Message, core::order_handover>)
        {
            process.orders.receive_handover(sender, content, local);
        }
    }

    // Tries to spend a token for each request that waits at this process.
    void spend_for_waiting(simulated_process& process)
    {
        const core::time_point local = this->local_time(process);
        std::vector<waiting_request> still_waiting;
        core::outbox out;
        for (const waiting_request& request : process.waiting)
        {
            const core::spend_result result = process.tokens.spend(
                request.account, request.first_call, process.limit_owner,
                process.owners, local, out);
            if (result.kind == core::spend_kind::granted)
            {
                this->record_admission(request.account);
            }
            if (result.kind == core::spend_kind::wait)
            {
                still_waiting.push_back(request);
            }
        }
        process.waiting = std::move(still_waiting);
        this->send(process, std::move(out));
    }

    // The admitted requests stay within burst + rate x time in every window if
    // and only if a token bucket that starts full never becomes negative. The
    // rate includes the maximum drift between two clocks, because an owner with
    // a fast clock fills its bucket faster.
    void record_admission(const std::string& account)
    {
        const core::account_limit limit = this->max_limits[account];
        allowance& allowance = this->allowances[account];
        const double elapsed =
            std::chrono::duration<double>(this->now - allowance.updated)
                .count();
        const double rate = limit.rate_per_second * (1.0 + 2.0 * max_drift);
        allowance.level =
            allowance.initialized
                ? std::min(allowance.level + rate * elapsed, limit.burst)
                : limit.burst;
        allowance.initialized = true;
        allowance.updated = this->now;
        allowance.level -= 1.0;
        ++this->admitted[account];
        if (allowance.level < -0.001)
        {
            this->violations.push_back(account + " got more than its limit");
        }
    }

    // Sends the claims that are due to the owner of their bucket. Gives a claim
    // up after nine attempts.
    void send_due_claims(simulated_process& process)
    {
        const core::time_point local = this->local_time(process);
        std::vector<core::order_verdict> local_verdicts;
        for (auto it = process.claims.begin(); it != process.claims.end();)
        {
            pending_claim& pending = it->second;
            const core::order_claim& claim = pending.claim;
            if (local >= pending.next_attempt)
            {
                pending.next_attempt = local + milliseconds(400);
                const std::string& owner =
                    process.owners.owner_of(core::bucket_of(claim.identity));
                if (owner == process.id.name)
                {
                    local_verdicts.push_back(
                        this->decide_claim(process, process.id, claim));
                }
                else if (!owner.empty())
                {
                    this->send(process, {{owner, claim}});
                }
                ++pending.attempts;
            }
            it = pending.attempts > 8 ? process.claims.erase(it) : ++it;
        }
        for (const core::order_verdict& verdict : local_verdicts)
        {
            this->act_on_verdict(process, verdict);
        }
    }

    // Lets the owner decide a claim and checks that at most one claim of an
    // order may run, not counting those whose order was not sent.
    core::order_verdict decide_claim(simulated_process& owner,
                                     const core::instance_id& sender,
                                     const core::order_claim& claim)
    {
        const core::order_verdict verdict = owner.orders.claim(
            sender, claim, owner.owners, this->instant_of(owner));
        ++this->verdicts[verdict.kind];
        if (verdict.kind == core::order_verdict_kind::run)
        {
            allowed_claims& runs = this->allowed_orders[claim.identity];
            runs.claims.insert({sender, claim.nonce});
            std::vector<std::pair<core::instance_id, core::nonce>> runnable;
            std::set_difference(runs.claims.begin(), runs.claims.end(),
                                runs.not_sent.begin(), runs.not_sent.end(),
                                std::back_inserter(runnable));
            if (runnable.size() > 1)
            {
                this->violations.push_back(
                    "an order may run twice: " + runnable[0].first.name +
                    " and " + runnable[1].first.name + " by " + owner.id.name);
            }
        }
        return verdict;
    }

    // Acts on the first final verdict as the entry instance. Reports a random
    // outcome of the run: in 40% of the cases the order was not sent.
    void act_on_verdict(simulated_process& process,
                        const core::order_verdict& verdict)
    {
        const auto claim_entry = process.claims.find(verdict.nonce);
        if (claim_entry == process.claims.end() ||
            verdict.kind == core::order_verdict_kind::not_owner)
        {
            return;
        }
        process.claims.erase(claim_entry);
        if (verdict.kind != core::order_verdict_kind::run)
        {
            return;
        }
        core::order_result result{
            verdict.identity, core::order_outcome::answered,
            core::stored_answer{200, "text/plain", "done"}, verdict.nonce};
        if (this->random_fraction() < 0.4)
        {
            result.outcome = core::order_outcome::not_sent;
            this->allowed_orders[verdict.identity].not_sent.insert(
                {process.id, verdict.nonce});
        }
        const std::string& owner =
            process.owners.owner_of(core::bucket_of(verdict.identity));
        if (owner == process.id.name)
        {
            process.orders.record_outcome(process.id, result);
            return;
        }
        this->send(process, {{owner, result}});
    }

    // Checks for each bucket that all owners together hold at most N
    // delegations, that at most one owner has a majority, and that the shares
    // and the fractions spent without an owner add up to at most 1.
    void check_delegations()
    {
        for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
        {
            unsigned delegations = 0;
            unsigned majorities = 0;
            double shares = 0.0;
            for (const simulated_process& process : this->processes)
            {
                const core::time_point local = this->local_time(process);
                delegations += process.owners.delegations(bucket, local);
                majorities +=
                    process.owners.has_majority(bucket, local) ? 1 : 0;
                shares += process.owners.share(bucket, local) +
                          process.owners.undelegated_fraction(bucket, local);
            }
            if (delegations > max_instances || majorities > 1 ||
                shares > 1.0 + 1e-9)
            {
                this->violations.push_back(
                    "bucket " + std::to_string(bucket) + ": " +
                    std::to_string(delegations) + " delegations, " +
                    std::to_string(majorities) + " majorities, shares " +
                    std::to_string(shares));
            }
        }
    }

    std::mt19937_64 random;
    core::time_point now{seconds(1000)};
    std::uint64_t last_incarnation = 0;
    std::vector<std::string> published_list;
    std::multimap<core::time_point, envelope> network;
    std::shared_ptr<const core::account_limits> limits =
        std::make_shared<core::account_limits>();
    std::map<std::string, core::account_limit> max_limits;
    std::map<std::string, allowance> allowances;
    std::map<std::string, core::wall_time> creation_times;
    std::map<core::digest, allowed_claims> allowed_orders;
};

/// One random fault or change of the fleet, generated by RapidCheck.
struct fault
{
    unsigned kind = 0;
    unsigned magnitude = 0; ///< below 1000
};

inline void showValue(const fault& value, std::ostream& stream)
{
    stream << value.kind << "/" << value.magnitude;
}

constexpr unsigned fault_kinds = 14;

inline rc::Gen<std::vector<fault>> any_faults()
{
    const auto any_fault =
        rc::gen::map(rc::gen::pair(rc::gen::inRange(0U, fault_kinds),
                                   rc::gen::inRange(0U, 1000U)),
                     [](const std::pair<unsigned, unsigned>& values)
                     {
                         return fault{values.first, values.second};
                     });
    // Nominal size, so that the first cases already use the full ranges.
    return rc::gen::resize(
        rc::kNominalSize,
        rc::gen::container<std::vector<fault>>(14, any_fault));
}

/// Replaces half of the processes by new ones, with the same or with new names.
inline void replace_half(simulated_fleet& fleet, bool same_names)
{
    std::vector<std::string> names;
    for (std::size_t remaining = fleet.processes.size() / 2; remaining > 0;
         --remaining)
    {
        simulated_process& process = fleet.any_process();
        names.push_back(same_names ? process.id.name : process.id.name + "x");
        fleet.kill(process);
    }
    for (const std::string& name : names)
    {
        fleet.start(name);
    }
}

/// Injects one fault into the fleet.
inline void apply(simulated_fleet& fleet, const fault& drawn_fault)
{
    simulated_process& process = fleet.any_process();
    const std::string name = process.id.name;
    const double severity = drawn_fault.magnitude / 1000.0;
    switch (drawn_fault.kind)
    {
    case 0:
        fleet.faults = {severity * 0.3, severity * 0.3, severity * 0.5};
        break;
    case 1:
        fleet.cut_link(name, fleet.any_process().id.name);
        break;
    case 2:
        fleet.partition(drawn_fault.magnitude);
        break;
    case 3:
        fleet.cut_links.clear();
        fleet.faults = {};
        break;
    case 4:
        fleet.pause(process, milliseconds(drawn_fault.magnitude * 12));
        break;
    case 5: // a restart
        fleet.kill(process);
        fleet.start(name);
        break;
    case 6: // a replacement under another name
        fleet.kill(process);
        fleet.start(name + "x");
        fleet.publish(severity);
        break;
    case 7: // the platform starts a replacement while the old process runs
        fleet.start(name);
        break;
    case 8:
    case 9: // graceful shutdown, with a replacement if N allows it
        fleet.shut_down(process);
        fleet.start(name);
        fleet.publish(severity);
        break;
    case 10:
        replace_half(fleet, drawn_fault.magnitude % 2 == 0);
        fleet.publish(severity);
        break;
    case 11:
        fleet.publish(severity);
        break;
    case 12:
        fleet.step_wall_clock(process);
        break;
    default: // no fault
        break;
    }
}

} // namespace medlarbarrow::test
