#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;

namespace
{

constexpr core::duration settle = seconds(14);

/// Requests of `account` at random instances, `rate` a second, for `time`.
unsigned offer(fleet& all,
               const std::string& account,
               double rate,
               core::duration time,
               process* only = nullptr)
{
    const unsigned before = all.admitted[account];
    const double per_step =
        rate * std::chrono::duration<double>(step_time).count();
    double due = 0.0;
    for (core::duration passed{}; passed < time; passed += step_time)
    {
        for (due += per_step; due >= 1.0; due -= 1.0)
        {
            // A process that is draining ends in between.
            const bool runs =
                std::any_of(all.processes.begin(), all.processes.end(),
                            [&](const process& one)
                            {
                                return &one == only;
                            });
            all.request(runs ? *only : all.any(), account);
        }
        all.run(step_time);
    }
    return all.admitted[account] - before;
}

/// Seven instances that have been running for a while; N is seven.
struct full_fleet : testing::Test
{
    full_fleet() : all(1, max_instances)
    {
        this->all.set_limit("steady", {40.0, 40.0});
        this->all.run(settle);
    }

    ~full_fleet() override
    {
        EXPECT_EQ(this->all.violations, std::vector<std::string>{});
    }

    process& owner_of(const std::string& account)
    {
        const std::string name = this->all.processes.front().owners.owner_of(
            core::bucket_of(account));
        return *std::find_if(this->all.processes.begin(),
                             this->all.processes.end(),
                             [&](const process& one)
                             {
                                 return one.id.name == name;
                             });
    }

    process& other_than(const process& owner)
    {
        process& first = this->all.processes.front();
        return &first == &owner ? this->all.processes.back() : first;
    }

    fleet all;
};

struct idle_fleet : full_fleet
{
};

struct owner_lost : full_fleet
{
    owner_lost()
    {
        offer(this->all, "steady", 40.0, seconds(5));
        this->all.kill(this->owner_of("steady"));
        this->all.publish(1.0);
    }
};

/// Twice the burst of the accounts at once, over all instances.
void burst(fleet& all, const std::string& account)
{
    for (int request = 0; request < 120; ++request)
    {
        all.request(all.any(), account);
    }
    all.run(milliseconds(300));
}

/// Phases in which tokens are used up, gathered, held ahead or left to expire.
void any_load(fleet& all, unsigned size)
{
    const std::string account = size % 2 == 0 ? "slow" : "fast";
    switch (size % 5)
    {
    case 0:
        offer(all, account, 200.0, milliseconds(size));
        break;
    case 1:
        offer(all, account, 30.0, milliseconds(size), &all.any());
        all.run(milliseconds(1900 + size % 500));
        burst(all, account);
        break;
    case 2:
        all.run(milliseconds(size * 16));
        burst(all, account);
        break;
    case 3:
        all.run(milliseconds(size * 3));
        break;
    default:
        burst(all, account);
        offer(all, account, 100.0, milliseconds(size), &all.any());
        break;
    }
}

/// An entry instance whose only account belongs to another owner.
struct entry_instance : testing::Test
{
    entry_instance() : owners({"entry", 1}, now), tokens({"entry", 1})
    {
        this->owners.set_members({"home"}, this->now);
        this->owners.set_max_instances(10);
        auto limits = std::make_shared<core::account_limits>();
        (*limits)["a"] = {10.0, 100.0};
        this->tokens.set_limits(limits);
    }

    core::spend_kind spend()
    {
        return this->tokens
            .spend("a", this->now, this->unused, this->owners, this->now,
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
    core::token_holder tokens;
    core::limit_owner unused;
    core::outbox out;
};

/// An entry instance whose bucket is free, with tokens of its own fraction.
struct entry_without_owner : entry_instance
{
    entry_without_owner()
    {
        this->now += seconds(100);
        EXPECT_EQ(this->spend(), core::spend_kind::granted);
    }
};

/// An owner that holds three delegations of N = 3.
struct owner_of_three : testing::Test
{
    owner_of_three() : owners({"home", 1}, now)
    {
        this->owners.set_members({"home"}, this->now);
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

    /// Delegations of these peers and of the owner itself.
    void delegate(const std::vector<std::string>& peers)
    {
        std::vector<std::string> members = peers;
        members.emplace_back("home");
        this->owners.set_members(members, this->now);
        for (const std::string& peer : peers)
        {
            // Only the owner is a candidate; the others only delegate.
            this->owners.receive({peer, 1}, core::delegation_release{},
                                 this->now);
        }
        for (const core::outgoing& item : this->owners.tick(this->now))
        {
            const auto& request =
                std::get<core::delegation_request>(item.message);
            this->owners.receive(
                {item.to, 1},
                core::delegation{
                    request.nonce, request.buckets, seconds(6), {}},
                this->now);
        }
    }

    /// What the owner grants; -1 when it leaves the account out.
    double ask(double held, double wanted)
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

// Guards against tokens that count twice: the owner forgets a grant when a
// newer request does not report it as held.
TEST_F(entry_instance, takes_only_the_answer_to_its_newest_request_and_once)
{
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    const core::nonce first = this->newest_nonce();
    this->now += milliseconds(70);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    const core::nonce second = this->newest_nonce();
    ASSERT_NE(first, second);
    this->grant(first, 5.0);
    this->now += milliseconds(1);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->grant(second, 2.0);
    this->grant(second, 2.0);
    this->now += milliseconds(1);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
}

// Guards against a lease that starts with a late answer and so outlives the
// time for which the owner counts the tokens.
TEST_F(entry_instance, counts_the_lease_from_its_request)
{
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->now += milliseconds(1900);
    this->grant(this->newest_nonce(), 5.0);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
    this->now += milliseconds(100);
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
}

// Guards against tokens of the own fraction that outlive a delegation, during
// which the owner granted that fraction.
TEST_F(entry_without_owner, drops_its_own_tokens_when_it_delegates)
{
    this->owners.receive({"home", 1},
                         core::delegation_request{1, ~core::bucket_set{0}},
                         this->now);
    this->now += this->owners.times().delegator_hold();
    EXPECT_EQ(this->spend(), core::spend_kind::wait);
    this->now += milliseconds(1100);
    EXPECT_EQ(this->spend(), core::spend_kind::granted);
}

// Guards against a level that survives a break, in which another owner may have
// granted the same burst.
TEST_F(owner_of_three, starts_empty_after_its_delegations_were_broken)
{
    EXPECT_EQ(this->ask(0.0, 1.0), 1.0);
    this->now += seconds(30);
    this->delegate({"b", "c"});
    EXPECT_LE(this->ask(0.0, 30.0), 0.0);
    this->now += seconds(1);
    EXPECT_EQ(this->ask(0.0, 30.0), 10.0);
}

// Guards against a bucket that fills while the tokens out leave no room.
TEST_F(owner_of_three, fills_only_after_the_tokens_out_have_expired)
{
    EXPECT_EQ(this->ask(0.0, 30.0), 30.0);
    this->now += seconds(3);
    EXPECT_EQ(this->ask(0.0, 30.0), 9.0);
}

// Guards against renewals of tokens for which the delegations have been lost:
// their new owner grants the same burst.
TEST_F(owner_of_three, renews_nothing_beyond_its_share)
{
    EXPECT_EQ(this->ask(0.0, 30.0), 30.0);
    EXPECT_EQ(this->ask(30.0, 0.0), 0.0);
    this->now += seconds(3);
    this->delegate({});
    this->now += seconds(2);
    EXPECT_EQ(this->ask(30.0, 0.0), -1.0);
    EXPECT_GE(this->ask(9.0, 0.0), 0.0);
}

// Guards against refusals of an account that keeps its rate, wherever its
// requests arrive.
TEST_F(full_fleet, grants_an_account_its_whole_rate)
{
    EXPECT_GE(offer(this->all, "steady", 38.0, seconds(10)), 378U);
}

TEST_F(full_fleet, grants_one_instance_the_whole_rate_and_burst)
{
    process& one = this->other_than(this->owner_of("steady"));
    EXPECT_GE(offer(this->all, "steady", 40.0, seconds(10), &one), 395U);
}

TEST_F(full_fleet, grants_the_owner_itself_the_whole_rate)
{
    process& owner = this->owner_of("steady");
    EXPECT_GE(offer(this->all, "steady", 40.0, seconds(10), &owner), 395U);
}

// Guards against rate that is lost between instances when an account asks for
// much more than it has.
TEST_F(full_fleet, grants_the_rate_and_no_more_under_overload)
{
    offer(this->all, "steady", 160.0, seconds(5));
    const unsigned granted = offer(this->all, "steady", 160.0, seconds(10));
    EXPECT_GE(granted, 360U);
    EXPECT_LE(granted, 444U);
}

// Guards against one instance that takes the tokens of the others: the share
// of each is counted by what the greedy one leaves.
TEST_F(full_fleet, shares_scarce_tokens_between_instances)
{
    process& owner = this->owner_of("steady");
    process& first = this->other_than(owner);
    auto second =
        std::find_if(this->all.processes.begin(), this->all.processes.end(),
                     [&](const process& one)
                     {
                         return &one != &first && &one != &owner;
                     });
    unsigned modest = 0;
    unsigned greedy = 0;
    for (int round = 0; round < 400; ++round)
    {
        const unsigned before = this->all.admitted["steady"];
        this->all.request(*second, "steady");
        this->all.run(step_time);
        modest += this->all.admitted["steady"] - before;
        greedy += offer(this->all, "steady", 200.0, step_time, &first);
    }
    EXPECT_GE(modest, 130U);
    EXPECT_GE(greedy, 130U);
}

// Guards against a change of the rate that waits for leases to expire.
TEST_F(full_fleet, follows_a_changed_rate_at_once)
{
    offer(this->all, "steady", 160.0, seconds(5));
    this->all.set_limit("steady", {10.0, 40.0});
    const unsigned lowered = offer(this->all, "steady", 160.0, seconds(10));
    this->all.set_limit("steady", {80.0, 40.0});
    const unsigned raised = offer(this->all, "steady", 160.0, seconds(10));
    EXPECT_LE(lowered, 150U);
    EXPECT_GE(raised, 700U);
}

// Guards against messages and memory spent on accounts nobody uses.
TEST_F(idle_fleet, forgets_idle_accounts)
{
    offer(this->all, "steady", 40.0, seconds(3));
    this->all.run(seconds(20));
    for (const process& one : this->all.processes)
    {
        EXPECT_EQ(one.tokens.active_accounts(), 0U);
        EXPECT_EQ(one.owner.active_accounts(), 0U);
    }
}

// Guards against an account without service after the death of its owner.
TEST_F(owner_lost, serves_the_account_again_within_the_leases)
{
    offer(this->all, "steady", 35.0, seconds(11));
    EXPECT_GE(offer(this->all, "steady", 34.0, seconds(5)), 160U);
}

// Guards against any mix of faults that lets an account get more than its
// burst and rate in any window of time, all instances together.
TEST(limits_property, no_account_gets_more_than_burst_and_rate)
{
    EXPECT_TRUE(rc::check(
        []()
        {
            fleet all(*rc::gen::arbitrary<std::uint64_t>(), max_instances);
            all.set_limit("slow", {4.0, 60.0});
            all.set_limit("fast", {60.0, 60.0});
            // From here on each bucket is full and all of it can be granted,
            // so that one token too many is seen.
            all.run(seconds(30));
            burst(all, "slow");
            for (const fault& next : *any_faults())
            {
                apply(all, next);
                if (next.size % 10 == 0)
                {
                    all.set_limit("fast", {next.size % 7 * 10.0, 60.0});
                }
                any_load(all, next.size);
                RC_ASSERT(all.violations == std::vector<std::string>{});
            }
        }));
}
