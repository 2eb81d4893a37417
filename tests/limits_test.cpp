#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;

namespace
{

/// Time that a new fleet runs before a test uses it.
constexpr core::duration settling_time = seconds(14);

/// Sends `rate` requests of `account` per second for `time`, to `receiver` or
/// to random processes. Returns the number of requests admitted.
unsigned send_load(simulated_fleet& fleet,
                   const std::string& account,
                   double rate,
                   core::duration time,
                   simulated_process* receiver = nullptr)
{
    const unsigned admitted_before = fleet.admitted[account];
    const double requests_per_step =
        rate * std::chrono::duration<double>(step_time).count();
    double due = 0.0;
    for (core::duration elapsed{}; elapsed < time; elapsed += step_time)
    {
        for (due += requests_per_step; due >= 1.0; due -= 1.0)
        {
            // A process that is shutting down may end meanwhile. Its requests
            // go to random processes then.
            const bool receiver_runs =
                std::any_of(fleet.processes.begin(), fleet.processes.end(),
                            [&](const simulated_process& process)
                            {
                                return &process == receiver;
                            });
            fleet.request(receiver_runs ? *receiver : fleet.any_process(),
                          account);
        }
        fleet.run(step_time);
    }
    return fleet.admitted[account] - admitted_before;
}

/// Seven instances, which is N, that have been running for 14 s.
struct full_fleet : testing::Test
{
    full_fleet() : fleet(1, max_instances)
    {
        this->fleet.set_limit("steady", {40.0, 40.0});
        this->fleet.run(settling_time);
    }

    ~full_fleet() override
    {
        EXPECT_EQ(this->fleet.violations, std::vector<std::string>{});
    }

    simulated_process& owner_of(const std::string& account)
    {
        const std::string name = this->fleet.processes.front().owners.owner_of(
            core::bucket_of(account));
        return *std::find_if(this->fleet.processes.begin(),
                             this->fleet.processes.end(),
                             [&](const simulated_process& process)
                             {
                                 return process.id.name == name;
                             });
    }

    simulated_process& process_other_than(const simulated_process& owner)
    {
        simulated_process& first = this->fleet.processes.front();
        return &first == &owner ? this->fleet.processes.back() : first;
    }

    simulated_fleet fleet;
};

struct idle_fleet : full_fleet
{
};

/// Fleet in which the owner of an account in use has just been killed.
struct fleet_after_owner_failure : full_fleet
{
    fleet_after_owner_failure()
    {
        send_load(this->fleet, "steady", 40.0, seconds(5));
        this->fleet.kill(this->owner_of("steady"));
        this->fleet.publish(1.0);
    }
};

/// Sends 120 requests, which is twice the burst of each account, to random
/// processes at once, and runs the fleet for 300 ms.
void send_burst(simulated_fleet& fleet, const std::string& account)
{
    for (int request = 0; request < 120; ++request)
    {
        fleet.request(fleet.any_process(), account);
    }
    fleet.run(milliseconds(300));
}

/// Runs one phase of load, in which tokens are spent, accrue, are prefetched or
/// expire.
void apply_load(simulated_fleet& fleet, unsigned magnitude)
{
    const std::string account = magnitude % 2 == 0 ? "slow" : "fast";
    switch (magnitude % 5)
    {
    case 0:
        send_load(fleet, account, 200.0, milliseconds(magnitude));
        break;
    case 1:
        send_load(fleet, account, 30.0, milliseconds(magnitude),
                  &fleet.any_process());
        fleet.run(milliseconds(1900 + magnitude % 500));
        send_burst(fleet, account);
        break;
    case 2:
        fleet.run(milliseconds(magnitude * 16));
        send_burst(fleet, account);
        break;
    case 3:
        fleet.run(milliseconds(magnitude * 3));
        break;
    default:
        send_burst(fleet, account);
        send_load(fleet, account, 100.0, milliseconds(magnitude),
                  &fleet.any_process());
        break;
    }
}

/// Entry instance whose only account is owned by another instance.
struct entry_instance : testing::Test
{
    entry_instance() : owners({"entry", 1}, now), tokens({"entry", 1})
    {
        this->owners.set_live_instances({"home"}, this->now);
        this->owners.set_max_instances(10);
        auto limits = std::make_shared<core::account_limits>();
        (*limits)["a"] = {10.0, 100.0};
        this->tokens.set_limits(limits);
    }

    core::spend_kind spend()
    {
        return this->tokens
            .spend("a", this->now, this->local_limits, this->owners, this->now,
                   this->out)
            .kind;
    }

    core::nonce newest_nonce() const
    {
        return std::get<core::token_request>(this->out.back().message).nonce;
    }

    void grant(core::nonce nonce, double amount)
    {
        this->tokens.receive({nonce, seconds(2), {{"a", amount}}}, this->now);
    }

    core::time_point now{seconds(1000)};
    core::ownership owners;
    core::entry_limiter tokens;
    core::limit_owner local_limits;
    core::outbox out;
};

/// Entry instance that delegates the account's bucket to no owner and has
/// tokens of its undelegated fraction.
struct entry_without_owner : entry_instance
{
    entry_without_owner()
    {
        this->now += seconds(100);
        EXPECT_EQ(this->spend(), core::spend_kind::granted);
    }
};

/// Owner that holds three delegations of each bucket; N is 3.
struct owner_with_three_delegations : testing::Test
{
    owner_with_three_delegations() : owners({"home", 1}, now)
    {
        this->owners.set_live_instances({"home"}, this->now);
        this->owners.set_max_instances(3);
        auto limits = std::make_shared<core::account_limits>();
        (*limits)["a"] = {10.0, 30.0};
        this->owner.set_limits(limits);
        this->now += seconds(9);
        for (int round = 0; round < 3; ++round)
        {
            this->delegate({"b", "c"});
            this->now += seconds(2);
        }
    }

    /// Renews the delegations of these peers and of the owner itself.
    void delegate(const std::vector<std::string>& peers)
    {
        std::vector<std::string> members = peers;
        members.emplace_back("home");
        this->owners.set_live_instances(members, this->now);
        for (const std::string& peer : peers)
        {
            // Keeps the peer from becoming a candidate, so that it only
            // delegates.
            this->owners.receive({peer, 1}, core::delegation_release{},
                                 this->now);
        }
        for (const core::outgoing& outgoing : this->owners.tick(this->now))
        {
            const auto& request =
                std::get<core::delegation_request>(outgoing.message);
            this->owners.receive(
                {outgoing.to, 1},
                core::delegation{
                    request.nonce, request.buckets, seconds(6), {}},
                this->now);
        }
    }

    /// Returns the tokens granted, or -1 if the account is missing from the
    /// answer.
    double request_tokens(double held, double wanted)
    {
        const core::outbox out = this->owner.receive(
            {"entry", 1}, {++this->last_nonce, {{"a", held, wanted}}},
            this->owners, this->now);
        const auto& grant = std::get<core::token_grant>(out.at(0).message);
        return grant.amounts.empty() ? -1.0 : grant.amounts[0].amount;
    }

    core::time_point now{seconds(1000)};
    core::ownership owners;
    core::limit_owner owner;
    core::nonce last_nonce = 0;
};

} // namespace

// The owner no longer counts a grant as outstanding once a newer request does
// not report it as held. Guards against spending such a grant, or one grant
// twice.
TEST_F(entry_instance,
       accepts_only_the_answer_to_its_newest_request_and_only_once)
{
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    const core::nonce first_nonce = this->newest_nonce();
    this->now += milliseconds(70);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    const core::nonce second_nonce = this->newest_nonce();
    ASSERT_NE(first_nonce, second_nonce);
    this->grant(first_nonce, 5.0);
    this->now += milliseconds(1);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->grant(second_nonce, 2.0);
    this->grant(second_nonce, 2.0);
    this->now += milliseconds(1);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
}

// Guards against a lease counted from a late answer: its tokens would be spent
// after the owner has stopped counting them as outstanding.
TEST_F(entry_instance, counts_the_lease_from_its_request)
{
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->now += milliseconds(1900);
    this->grant(this->newest_nonce(), 5.0);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    this->now += milliseconds(100);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
}

// While a bucket is delegated, its owner grants the undelegated fraction.
// Guards against keeping tokens of that fraction from before the delegation.
TEST_F(entry_without_owner, drops_its_undelegated_tokens_when_it_delegates)
{
    this->owners.receive({"home", 1},
                         core::delegation_request{1, ~core::bucket_set{0}},
                         this->now);
    this->now += this->owners.times().delegator_hold();
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->now += milliseconds(1100);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
}

// While its delegations are interrupted, another owner may grant the same
// burst. Guards against a level that is kept over the interruption.
TEST_F(owner_with_three_delegations,
       starts_empty_after_its_delegations_were_interrupted)
{
    EXPECT_EQ(this->request_tokens(0.0, 1.0), 1.0);
    this->now += seconds(30);
    this->delegate({"b", "c"});
    EXPECT_LE(this->request_tokens(0.0, 30.0), 0.0);
    this->now += seconds(1);
    EXPECT_EQ(this->request_tokens(0.0, 30.0), 10.0);
}

// Guards against a bucket that fills while the outstanding tokens already
// amount to the whole burst.
TEST_F(owner_with_three_delegations,
       fills_only_after_outstanding_tokens_have_expired)
{
    EXPECT_EQ(this->request_tokens(0.0, 30.0), 30.0);
    this->now += seconds(3);
    EXPECT_EQ(this->request_tokens(0.0, 30.0), 9.0);
}

// Guards against renewing tokens whose delegations have been lost: the new
// owner grants the same burst.
TEST_F(owner_with_three_delegations, renews_nothing_beyond_its_share)
{
    EXPECT_EQ(this->request_tokens(0.0, 30.0), 30.0);
    EXPECT_EQ(this->request_tokens(30.0, 0.0), 0.0);
    this->now += seconds(3);
    this->delegate({});
    this->now += seconds(2);
    EXPECT_EQ(this->request_tokens(30.0, 0.0), -1.0);
    EXPECT_GE(this->request_tokens(9.0, 0.0), 0.0);
}

// Guards against refusing requests of an account that keeps to its rate,
// whichever instances receive them.
TEST_F(full_fleet, grants_an_account_its_full_rate)
{
    EXPECT_GE(send_load(this->fleet, "steady", 38.0, seconds(10)), 378U);
}

TEST_F(full_fleet, grants_one_instance_the_full_rate_and_burst)
{
    simulated_process& process =
        this->process_other_than(this->owner_of("steady"));
    EXPECT_GE(send_load(this->fleet, "steady", 40.0, seconds(10), &process),
              395U);
}

TEST_F(full_fleet, grants_the_owner_itself_the_full_rate)
{
    simulated_process& owner = this->owner_of("steady");
    EXPECT_GE(send_load(this->fleet, "steady", 40.0, seconds(10), &owner),
              395U);
}

// Guards against losing part of the rate between instances when an account
// sends four times as many requests as it may.
TEST_F(full_fleet, grants_the_rate_and_no_more_under_overload)
{
    send_load(this->fleet, "steady", 160.0, seconds(5));
    const unsigned granted =
        send_load(this->fleet, "steady", 160.0, seconds(10));
    EXPECT_GE(granted, 360U);
    EXPECT_LE(granted, 444U);
}

// Guards against an instance with a high load that takes the tokens of an
// instance with a low load.
TEST_F(full_fleet, shares_scarce_tokens_between_instances)
{
    simulated_process& owner = this->owner_of("steady");
    simulated_process& high_load_process = this->process_other_than(owner);
    auto low_load_process = std::find_if(
        this->fleet.processes.begin(), this->fleet.processes.end(),
        [&](const simulated_process& process)
        {
            return &process != &high_load_process && &process != &owner;
        });
    unsigned low_load_admitted = 0;
    unsigned high_load_admitted = 0;
    for (int round = 0; round < 400; ++round)
    {
        const unsigned admitted_before = this->fleet.admitted["steady"];
        this->fleet.request(*low_load_process, "steady");
        this->fleet.run(step_time);
        low_load_admitted += this->fleet.admitted["steady"] - admitted_before;
        high_load_admitted += send_load(this->fleet, "steady", 200.0, step_time,
                                        &high_load_process);
    }
    EXPECT_GE(low_load_admitted, 130U);
    EXPECT_GE(high_load_admitted, 130U);
}

// Guards against a change of the rate that takes effect only after the leases
// have expired.
TEST_F(full_fleet, applies_a_changed_rate_at_once)
{
    send_load(this->fleet, "steady", 160.0, seconds(5));
    this->fleet.set_limit("steady", {10.0, 40.0});
    const unsigned admitted_at_low_rate =
        send_load(this->fleet, "steady", 160.0, seconds(10));
    this->fleet.set_limit("steady", {80.0, 40.0});
    const unsigned admitted_at_high_rate =
        send_load(this->fleet, "steady", 160.0, seconds(10));
    EXPECT_LE(admitted_at_low_rate, 150U);
    EXPECT_GE(admitted_at_high_rate, 700U);
}

// Guards against using messages and memory for accounts without requests.
TEST_F(idle_fleet, removes_idle_accounts)
{
    send_load(this->fleet, "steady", 40.0, seconds(3));
    this->fleet.run(seconds(20));
    for (const simulated_process& process : this->fleet.processes)
    {
        EXPECT_EQ(process.tokens.active_accounts(), 0U);
        EXPECT_EQ(process.limit_owner.active_accounts(), 0U);
    }
}

// Guards against an account whose requests are refused for longer than the
// leases after its owner has been killed.
TEST_F(fleet_after_owner_failure, serves_the_account_again_within_the_leases)
{
    send_load(this->fleet, "steady", 35.0, seconds(11));
    EXPECT_GE(send_load(this->fleet, "steady", 34.0, seconds(5)), 160U);
}

// Applies random faults. Guards against an account that gets more requests
// admitted than burst + rate x time in some window, over all instances.
TEST(limits_property, no_account_gets_more_than_burst_and_rate)
{
    EXPECT_TRUE(rc::check(
        []()
        {
            simulated_fleet fleet(*rc::gen::arbitrary<std::uint64_t>(),
                                  max_instances);
            fleet.set_limit("slow", {4.0, 60.0});
            fleet.set_limit("fast", {60.0, 60.0});
            // After 30 s each bucket is full and can be granted completely, so
            // that one token too many is detected.
            fleet.run(seconds(30));
            send_burst(fleet, "slow");
            for (const fault& drawn_fault : *any_faults())
            {
                apply(fleet, drawn_fault);
                if (drawn_fault.magnitude % 10 == 0)
                {
                    fleet.set_limit("fast",
                                    {drawn_fault.magnitude % 7 * 10.0, 60.0});
                }
                apply_load(fleet, drawn_fault.magnitude);
                RC_ASSERT(fleet.violations == std::vector<std::string>{});
            }
        }));
}
