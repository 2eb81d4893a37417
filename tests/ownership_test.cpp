#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;

namespace
{

/// Time to recover from faults: lease, grant lease, three refresh periods, and
/// a margin of two seconds for clock drift and the tick period.
constexpr core::duration recovery = seconds(6 + 2 + 3 * 2) + seconds(2);

const core::instance_id self_id{"a", 1};
const std::vector<std::string> instance_names{"a", "b", "c"};
constexpr core::bucket_set all_buckets = ~core::bucket_set{0};

/// Instance that has waited long enough since its start to delegate, but does
/// not know N yet.
struct delegator : testing::Test
{
    delegator() : owners(self_id, now)
    {
        this->owners.set_live_instances(instance_names, this->now);
        this->now += seconds(20);
    }

    /// Solicits all buckets for `owner` and returns those that are delegated.
    core::bucket_set solicit(const core::instance_id& owner, core::nonce nonce)
    {
        const core::outbox out = this->owners.receive(
            owner, core::delegation_request{nonce, all_buckets}, this->now);
        return out.empty() ? 0
                           : std::get<core::delegation>(out[0].message).buckets;
    }

    core::time_point now{seconds(1000)};
    core::ownership owners;
};

/// Delegator that knows N = 3 from a configuration document.
struct delegator_with_document : delegator
{
    delegator_with_document()
    {
        this->owners.set_max_instances(3);
        this->owners.tick(this->now);
    }
};

} // namespace

// Without a document N is unknown. Guards against an instance that takes N to
// be 1 then, and so holds a majority by itself.
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

// Guards against delegating a bucket again while tokens granted by the released
// owner are still valid at an instance whose clock is almost 1% slow.
TEST_F(delegator_with_document, waits_for_slow_clocks_after_a_release)
{
    const core::bucket_set delegated = this->solicit({"b", 1}, 7);
    ASSERT_NE(delegated, 0U);
    this->now += seconds(1);
    this->owners.receive({"b", 1}, core::delegation_release{delegated, 7},
                         this->now);
    this->now += seconds(2) + milliseconds(19);
    EXPECT_EQ(this->solicit({"c", 1}, 8) & delegated, 0U);
    this->now += milliseconds(1);
    EXPECT_NE(this->solicit({"c", 1}, 9) & delegated, 0U);
}

// A late solicitation may come from an owner that has left. Guards against
// delegating buckets to it, and against recording it as the direct successor of
// the previous owner although a third one came in between.
TEST_F(delegator_with_document, ignores_a_stale_solicitation)
{
    EXPECT_NE(this->solicit({"b", 1}, 8), 0U);
    EXPECT_EQ(this->solicit({"b", 1}, 7), 0U);
}

// Guards against a released incarnation that becomes a candidate again because
// the release of an earlier incarnation of the same instance arrives late.
TEST_F(delegator_with_document,
       keeps_a_released_incarnation_ineligible_after_a_late_release)
{
    this->owners.receive({"b", 2}, core::delegation_release{0, 0}, this->now);
    this->owners.receive({"b", 1}, core::delegation_release{0, 0}, this->now);
    this->owners.record_message_from({"b", 2}, this->now);
    for (core::bucket_id bucket = 0; bucket < core::bucket_count; ++bucket)
    {
        EXPECT_NE(this->owners.owner_of(bucket), "b");
    }
}

// A smaller N can turn the delegations already held into a majority. Guards
// against a majority that is dated back to the last tick: another owner may
// have decided orders since then that this one does not know.
TEST_F(delegator_with_document, does_not_backdate_a_majority_when_n_shrinks)
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

// Applies random faults. Guards against owners that together hold more than N
// delegations of a bucket, against two owners with a majority, and against a
// bucket that has no owner with a majority after the faults have ended.
TEST(ownership_property, has_at_most_one_majority_and_regains_one_after_faults)
{
    EXPECT_TRUE(rc::check(
        []()
        {
            simulated_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
            fleet.run(seconds(11));
            for (const fault& drawn_fault : *any_faults())
            {
                apply(fleet, drawn_fault);
                fleet.run(milliseconds(drawn_fault.magnitude * 6));
                RC_ASSERT(fleet.violations == std::vector<std::string>{});
            }
            fleet.heal();
            fleet.run(recovery);
            RC_ASSERT(fleet.violations == std::vector<std::string>{});
            RC_ASSERT(fleet.processes.size() <= max_instances / 2 ||
                      fleet.buckets_without_majority() == 0U);
        }));
}
