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

    process& home_of(const std::string& account)
    {
        const std::string name = this->all.processes.front().owners.home_of(
            core::bucket_of(account));
        return *std::find_if(this->all.processes.begin(),
                             this->all.processes.end(),
                             [&](const process& one)
                             {
                                 return one.id.name == name;
                             });
    }

    process& other_than(const process& home)
    {
        process& first = this->all.processes.front();
        return &first == &home ? this->all.processes.back() : first;
    }

    fleet all;
};

struct idle_fleet : full_fleet
{
};

struct home_lost : full_fleet
{
    home_lost()
    {
        offer(this->all, "steady", 40.0, seconds(5));
        this->all.kill(this->home_of("steady"));
        this->all.publish(1.0);
    }
};

} // namespace

// Guards against refusals of an account that keeps its rate, wherever its
// requests arrive.
TEST_F(full_fleet, grants_an_account_its_whole_rate)
{
    EXPECT_GE(offer(this->all, "steady", 38.0, seconds(10)), 378U);
}

TEST_F(full_fleet, grants_one_instance_the_whole_rate_and_burst)
{
    process& one = this->other_than(this->home_of("steady"));
    EXPECT_GE(offer(this->all, "steady", 40.0, seconds(10), &one), 395U);
}

TEST_F(full_fleet, grants_the_home_itself_the_whole_rate)
{
    process& home = this->home_of("steady");
    EXPECT_GE(offer(this->all, "steady", 40.0, seconds(10), &home), 395U);
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
    process& home = this->home_of("steady");
    process& first = this->other_than(home);
    auto second =
        std::find_if(this->all.processes.begin(), this->all.processes.end(),
                     [&](const process& one)
                     {
                         return &one != &first && &one != &home;
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
        EXPECT_EQ(one.home.active_accounts(), 0U);
    }
}

// Guards against an account without service after the death of its home.
TEST_F(home_lost, serves_the_account_again_within_the_leases)
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
            fleet all(*rc::gen::arbitrary<std::uint64_t>());
            all.set_limit("small", {5.0, 10.0});
            all.set_limit("large", {60.0, 90.0});
            all.run(seconds(11));
            for (const fault& next : *any_faults())
            {
                apply(all, next);
                if (next.size % 10 == 0)
                {
                    all.set_limit("large", {next.size % 7 * 10.0, 90.0});
                }
                const double load = next.size % 4 == 0 ? 0.0 : 200.0;
                process* only = next.size % 3 == 0 ? &all.any() : nullptr;
                offer(all, "large", load, milliseconds(next.size), only);
                offer(all, "small", load / 5.0, milliseconds(next.size));
                RC_ASSERT(all.violations == std::vector<std::string>{});
            }
        }));
}
