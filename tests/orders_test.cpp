#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;
using core::order_verdict_kind;

namespace
{

const core::instance_id owner_id{"home", 1};
const core::instance_id first{"first", 1};
const core::instance_id second{"second", 1};

core::stored_answer answer_of(std::size_t size)
{
    return {201, "text/plain", std::string(size, 'x')};
}

/// An owner alone in its fleet, long after its start.
struct lone_owner : testing::Test
{
    lone_owner() : owners(owner_id, now.monotonic)
    {
        this->owners.set_members({owner_id.name}, this->now.monotonic);
        this->owners.set_max_instances(1);
        this->pass(seconds(10));
        this->pass(seconds(5));
        this->pass(seconds(5));
    }

    void pass(milliseconds time)
    {
        this->now.monotonic += time;
        this->now.wall += time;
        this->owners.tick(this->now.monotonic);
        this->owner.tick(this->owners, this->now);
    }

    core::order_verdict claim(const core::instance_id& from,
                              core::nonce nonce,
                              milliseconds age = milliseconds(0))
    {
        const core::order_claim request{nonce, this->identity,
                                        this->now.wall - age, seconds(3)};
        return this->owner.claim(from, request, this->owners, this->now);
    }

    void finish(const core::instance_id& from,
                core::nonce claim,
                core::order_outcome outcome,
                std::optional<core::stored_answer> answer = {})
    {
        this->owner.finish(from, {this->identity, outcome, answer, claim});
    }

    core::instant now{core::time_point(seconds(1000)),
                      core::wall_time(seconds(1'700'000'000))};
    core::ownership owners;
    core::order_owner owner;
    core::digest identity = core::order_identity("a", "s", "key");
};

struct running_order : lone_owner
{
    running_order()
    {
        EXPECT_EQ(this->claim(first, 1).kind, order_verdict_kind::run);
    }
};

struct answered_order : running_order
{
    answered_order()
    {
        this->finish(first, 1, core::order_outcome::answered, answer_of(5));
    }
};

struct order_not_sent : running_order
{
    order_not_sent()
    {
        this->finish(first, 1, core::order_outcome::not_sent);
    }
};

} // namespace

// Guards against keys without a creation time, which no new owner could judge.
TEST(order_key, holds_a_version_7_uuid)
{
    const auto time =
        core::creation_time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(time.has_value());
    EXPECT_EQ(time->time_since_epoch().count(), 0x017F22E279B0);
    EXPECT_EQ(core::creation_time("").error(),
              core::result_code::order_key_missing);
    for (const char* wrong : {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                              "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                              "017f22e279b07cc398c4dc0c0c07398f",
                              "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
                              "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0"})
    {
        EXPECT_EQ(core::creation_time(wrong).error(),
                  core::result_code::order_key_invalid);
    }
}

// Guards against two identities for one key, and one for two orders.
TEST(order_key, is_one_identity_in_either_case_of_letters)
{
    EXPECT_EQ(core::order_identity("a", "s", "01AB"),
              core::order_identity("a", "s", "01ab"));
    EXPECT_NE(core::order_identity("as", "", "01ab"),
              core::order_identity("a", "s", "01ab"));
}

// Guards against a key from a clock that is ahead: a later owner would take it
// for one created after its knowledge had started. Guards also against "not
// run" for a key that an earlier owner, whose clock is ahead, has accepted.
TEST_F(lone_owner, refuses_a_key_from_the_future)
{
    EXPECT_EQ(this->claim(first, 1, milliseconds(-4001)).kind,
              order_verdict_kind::in_future);
    EXPECT_EQ(this->claim(first, 1, milliseconds(-4000)).kind,
              order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first, 1, milliseconds(-2001)).kind,
              order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first, 2, milliseconds(-2000)).kind,
              order_verdict_kind::run);
}

// Guards against a run of an order that an earlier owner may have let run.
TEST_F(lone_owner, does_not_run_what_may_be_older_than_its_knowledge)
{
    EXPECT_EQ(this->claim(first, 1, seconds(6)).kind,
              order_verdict_kind::unknown);
    EXPECT_EQ(this->claim(first, 2, seconds(5)).kind, order_verdict_kind::run);
}

// Guards against knowledge that outlives a pause, in which another owner may
// have had the majority.
TEST_F(lone_owner, knows_nothing_from_before_a_break_of_its_majority)
{
    this->now.monotonic += seconds(20);
    this->now.wall += seconds(20);
    this->pass(milliseconds(0));
    EXPECT_EQ(this->claim(first, 1).kind, order_verdict_kind::unknown);
    this->pass(milliseconds(4001));
    EXPECT_EQ(this->claim(first, 2).kind, order_verdict_kind::run);
}

// Guards against knowledge of an owner after which a third one may have
// decided.
TEST_F(lone_owner, takes_no_knowledge_without_succeeding_the_sender)
{
    core::order_handover part;
    part.bucket = core::bucket_of(this->identity);
    part.last = true;
    part.knowledge_start = this->now.wall - seconds(100);
    this->owner.adopt(first, part, this->now);
    EXPECT_EQ(this->claim(first, 1, seconds(6)).kind,
              order_verdict_kind::unknown);
}

// Guards against a run of an order whose record has been forgotten.
TEST_F(lone_owner, does_not_run_what_is_older_than_its_memory)
{
    this->pass(std::chrono::minutes(5));
    for (int part = 0; part < 200; ++part)
    {
        this->pass(seconds(4));
    }
    EXPECT_EQ(this->claim(first, 1, seconds(601)).kind,
              order_verdict_kind::unknown);
    EXPECT_EQ(this->claim(first, 2, seconds(599)).kind,
              order_verdict_kind::run);
}

TEST_F(running_order, gets_the_same_verdict_for_the_same_claim)
{
    EXPECT_EQ(this->claim(first, 1).kind, order_verdict_kind::run);
}

TEST_F(running_order, is_in_progress_and_then_unknown_to_others)
{
    EXPECT_EQ(this->claim(second, 1).kind, order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first, 2).kind, order_verdict_kind::in_progress);
    this->pass(seconds(3));
    EXPECT_EQ(this->claim(second, 2).kind, order_verdict_kind::unknown);
}

// Guards against records that stay for good.
TEST_F(running_order, is_forgotten_after_the_memory_window)
{
    EXPECT_EQ(this->owner.records(), 1U);
    for (int part = 0; part < 220; ++part)
    {
        this->pass(seconds(4));
    }
    EXPECT_EQ(this->owner.records(), 0U);
}

TEST_F(running_order, keeps_no_answer_that_is_too_large)
{
    this->finish(first, 1, core::order_outcome::answered,
                 answer_of(core::stored_body_limit + 1));
    EXPECT_EQ(this->claim(second, 1).kind, order_verdict_kind::unknown);
}

TEST_F(answered_order, gives_repeats_the_first_answer)
{
    const core::order_verdict repeat = this->claim(second, 1);
    EXPECT_EQ(repeat.kind, order_verdict_kind::answered);
    ASSERT_TRUE(repeat.answer.has_value());
    EXPECT_EQ(repeat.answer->body, answer_of(5).body);
}

TEST_F(order_not_sent, may_run_for_the_next_claim)
{
    EXPECT_EQ(this->claim(second, 1).kind, order_verdict_kind::run);
}

// Guards against a repeated not_sent of the first run that frees the second.
TEST_F(order_not_sent, is_not_freed_again_by_a_repeated_message)
{
    EXPECT_EQ(this->claim(first, 2).kind, order_verdict_kind::run);
    this->finish(first, 1, core::order_outcome::not_sent);
    EXPECT_EQ(this->claim(second, 1).kind, order_verdict_kind::in_progress);
}

// Guards against a graceful shutdown after which the orders of the last ten
// minutes are unknown to the next owner.
TEST(order_handover, lets_the_next_owner_answer_and_run)
{
    fleet all(3, max_instances);
    all.run(seconds(20));
    process* owner = &all.any();
    std::string old_key;
    for (int i = 0; old_key.empty(); ++i)
    {
        const std::string key = "key-" + std::to_string(i);
        const auto bucket =
            core::bucket_of(core::order_identity("a", "s", key));
        const bool owned = owner->owners.owner_of(bucket) == owner->id.name;
        old_key = owned ? key : "";
    }
    const auto identity = core::order_identity("a", "s", old_key);
    const core::bucket_id bucket = core::bucket_of(identity);
    const core::instant before = all.instant_of(*owner);
    const core::order_claim claim{9, identity, before.wall, seconds(3)};
    EXPECT_EQ(owner->orders.claim(first, claim, owner->owners, before).kind,
              order_verdict_kind::run);
    owner->orders.finish(
        first, {identity, core::order_outcome::answered, answer_of(5), 9});
    all.shut_down(*owner);
    EXPECT_EQ(owner->orders.claim(second, claim, owner->owners, before).kind,
              order_verdict_kind::not_owner);
    all.run(seconds(6));

    const std::string next_name = all.any().owners.owner_of(bucket);
    process& next = *std::find_if(all.processes.begin(), all.processes.end(),
                                  [&](const process& one)
                                  {
                                      return one.id.name == next_name;
                                  });
    const core::instant after = all.instant_of(next);
    EXPECT_EQ(next.orders.claim(second, claim, next.owners, after).kind,
              order_verdict_kind::answered);
    core::order_claim unseen = claim;
    unseen.identity.high += 1;
    EXPECT_EQ(next.orders.claim(second, unseen, next.owners, after).kind,
              order_verdict_kind::run);
}

// Guards against any mix of faults that lets an order run twice.
TEST(orders_property, no_order_is_given_run_twice)
{
    std::map<order_verdict_kind, unsigned> verdicts;
    EXPECT_TRUE(rc::check(
        [&]()
        {
            fleet all(*rc::gen::arbitrary<std::uint64_t>());
            all.run(seconds(18));
            unsigned keys = 1;
            for (const fault& next : *any_faults())
            {
                apply(all, next);
                for (unsigned part = 0; part < 8; ++part)
                {
                    keys += all.pick(3) == 0 ? 1 : 0;
                    const std::size_t back = all.pick(std::min(keys, 30U));
                    const auto age = milliseconds(
                        static_cast<std::int64_t>(all.pick(14'000)) - 2500);
                    all.order(all.any(), std::to_string(keys - back), age);
                    all.run(milliseconds(next.size));
                }
                RC_ASSERT(all.violations == std::vector<std::string>{});
            }
            for (const auto& [kind, count] : all.verdicts)
            {
                verdicts[kind] += count;
            }
        }));
    EXPECT_GT(verdicts[order_verdict_kind::run], 1000U);
    EXPECT_GT(verdicts[order_verdict_kind::answered], 500U);
    EXPECT_GT(verdicts[order_verdict_kind::unknown], 500U);
}
