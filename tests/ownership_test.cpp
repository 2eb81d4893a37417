#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;

namespace
{

/// Recovery after faults: lease, grant lease, three refresh periods, and a
/// margin for the drift and the ticks.
constexpr core::duration recovery = seconds(6 + 2 + 3 * 2) + seconds(2);

const core::instance_id self{"a", 1};
const std::vector<std::string> names{"a", "b", "c"};
constexpr core::bucket_set all_buckets = ~core::bucket_set{0};

/// One instance that may delegate, at `now`, in a fleet of up to three.
struct delegator : testing::Test
{
    delegator() : owners(self, now)
    {
        this->owners.set_members(names, this->now);
        this->now += seconds(20);
    }

    /// Buckets of whose candidate the instance delegates on a solicitation.
    core::bucket_set ask(const core::instance_id& owner, core::nonce nonce)
    {
        const core::outbox out = this->owners.receive(
            owner, core::delegation_request{nonce, all_buckets}, this->now);
        return out.empty() ? 0
                           : std::get<core::delegation>(out[0].message).buckets;
    }

    core::time_point now{seconds(1000)};
    core::ownership owners;
};

struct delegator_with_document : delegator
{
    delegator_with_document()
    {
        this->owners.set_max_instances(3);
        this->owners.tick(this->now);
    }
};

} // namespace

// Guards against an instance without a document that takes N for 1 and so
// holds a majority alone.
TEST_F(delegator, decides_nothing_before_it_knows_the_number_of_instances)
{
    this->owners.tick(this->now);
    for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
    {
        EXPECT_FALSE(this->owners.has_majority(bucket, this->now));
        EXPECT_EQ(this->owners.share(bucket, this->now), 0.0);
        EXPECT_EQ(this->owners.undelegated_fraction(bucket, this->now), 0.0);
    }
}

// Guards against a bucket that is delegated again while tokens of the released
// owner still count on a clock that is slower by just under 1%.
TEST_F(delegator_with_document, waits_for_slow_clocks_after_a_release)
{
    const core::bucket_set given = this->ask({"b", 1}, 7);
    ASSERT_NE(given, 0U);
    this->now += seconds(1);
    this->owners.receive({"b", 1}, core::delegation_release{given, 7},
                         this->now);
    this->now += seconds(2) + milliseconds(19);
    EXPECT_EQ(this->ask({"c", 1}, 8) & given, 0U);
    this->now += milliseconds(1);
    EXPECT_NE(this->ask({"c", 1}, 9) & given, 0U);
}

// Guards against a late solicitation that ties buckets to an owner that has
// left, and that makes a third owner in between look as if there had been none.
TEST_F(delegator_with_document, ignores_an_overtaken_solicitation)
{
    EXPECT_NE(this->ask({"b", 1}, 8), 0U);
    EXPECT_EQ(this->ask({"b", 1}, 7), 0U);
}

// Guards against a released run that becomes a candidate again because a
// release of an earlier run of the same instance arrives late.
TEST_F(delegator_with_document, keeps_a_departed_run_out_after_a_late_release)
{
    this->owners.receive({"b", 2}, core::delegation_release{0, 0}, this->now);
    this->owners.receive({"b", 1}, core::delegation_release{0, 0}, this->now);
    this->owners.heard_from({"b", 2}, this->now);
    for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
    {
        EXPECT_NE(this->owners.owner_of(bucket), "b");
    }
}

// Guards against a majority that a smaller N makes out of delegations at hand
// and that is dated back to the last tick: orders decided meanwhile by another
// owner would be unknown to this one.
TEST_F(delegator_with_document, dates_no_majority_back_when_n_shrinks)
{
    this->owners.set_max_instances(7);
    this->now += seconds(2);
    const core::outbox out = this->owners.tick(this->now);
    const auto& request = std::get<core::delegation_request>(out.at(0).message);
    this->owners.receive(
        {out[0].to, 1},
        core::delegation{request.nonce, request.buckets, seconds(6), {}},
        this->now);
    this->now += seconds(1);
    this->owners.set_max_instances(3);
    this->owners.tick(this->now);
    for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
    {
        if (core::contains(request.buckets, bucket))
        {
            EXPECT_EQ(this->owners.majority_since(bucket, this->now),
                      this->now);
        }
    }
}

// Guards against two owners that hold more than N delegations of a bucket
// together or both hold a majority, under any mix of faults; and against a
// bucket that stays without an owner after the faults have ended.
TEST(ownership_property, one_majority_at_most_and_one_again_after_faults)
{
    EXPECT_TRUE(rc::check(
        []()
        {
            fleet all(*rc::gen::arbitrary<std::uint64_t>());
            all.run(seconds(11));
            for (const fault& next : *any_faults())
            {
                apply(all, next);
                all.run(milliseconds(next.size * 6));
                RC_ASSERT(all.violations == std::vector<std::string>{});
            }
            all.heal();
            all.run(recovery);
            RC_ASSERT(all.violations == std::vector<std::string>{});
            RC_ASSERT(all.processes.size() <= max_instances / 2 ||
                      all.buckets_without_majority() == 0U);
        }));
}
