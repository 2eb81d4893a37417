#include "fleet_driver.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::test;
using core::order_verdict_kind;

namespace
{

const core::instance_id owner_id{"home", 1};
const core::instance_id first_entry{"first", 1};
const core::instance_id second_entry{"second", 1};

core::stored_answer answer_of(std::size_t size)
{
    return {201, "text/plain", std::string(size, 'x')};
}

/// The only instance of its fleet, 20 s after its start.
struct single_instance : testing::Test
{
    single_instance() : owners(owner_id, now.monotonic)
    {
        this->owners.set_live_instances({owner_id.name}, this->now.monotonic);
        this->owners.set_max_instances(1);
        this->advance_time(seconds(10));
        this->advance_time(seconds(5));
        this->advance_time(seconds(5));
    }

    void advance_time(milliseconds time)
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
        this->owner.record_outcome(from,
                                   {this->identity, outcome, answer, claim});
    }

    core::instant now{core::time_point(seconds(1000)),
                      core::wall_time(seconds(1'700'000'000))};
    core::ownership owners;
    core::order_owner owner;
    core::digest identity = core::order_identity("a", "s", "key");
};

/// Order that one claim may run and whose outcome is not known yet.
struct running_order : single_instance
{
    running_order()
    {
        EXPECT_EQ(this->claim(first_entry, 1).kind, order_verdict_kind::run);
    }
};

struct answered_order : running_order
{
    answered_order()
    {
        this->finish(first_entry, 1, core::order_outcome::answered,
                     answer_of(5));
    }
};

struct order_not_sent : running_order
{
    order_not_sent()
    {
        this->finish(first_entry, 1, core::order_outcome::not_sent);
    }
};

} // namespace

// Guards against accepting keys without a creation time: a new owner could not
// decide whether their order may have run before.
TEST(order_key, is_a_version_7_uuid)
{
    const auto time =
        core::creation_time("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    ASSERT_TRUE(time.has_value());
    EXPECT_EQ(time->time_since_epoch().count(), 0x017F22E279B0);
    EXPECT_EQ(core::creation_time("").error(),
              core::result_code::order_key_missing);
    for (const char* invalid_key : {"017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
                                    "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
                                    "017f22e279b07cc398c4dc0c0c07398f",
                                    "017f22e2-79b0-7cc3-98c4-dc0c0c07398g",
                                    "017f22e2-79b0-7cc3-98c4-dc0c0c07398f0"})
    {
        EXPECT_EQ(core::creation_time(invalid_key).error(),
                  core::result_code::order_key_invalid);
    }
}

// Guards against two identities for the same key and against one identity for
// two different orders.
TEST(order_key, gives_the_same_identity_in_upper_and_lower_case)
{
    EXPECT_EQ(core::order_identity("a", "s", "01AB"),
              core::order_identity("a", "s", "01ab"));
    EXPECT_NE(core::order_identity("as", "", "01ab"),
              core::order_identity("a", "s", "01ab"));
}

// Guards against running an order whose key comes from a clock that is ahead: a
// later owner would assume that the key was created after the start of its
// knowledge. Also guards against the answer "not run" for a key that an earlier
// owner, whose clock is ahead, has accepted.
TEST_F(single_instance, refuses_a_key_from_the_future)
{
    EXPECT_EQ(this->claim(first_entry, 1, milliseconds(-4001)).kind,
              order_verdict_kind::in_future);
    EXPECT_EQ(this->claim(first_entry, 1, milliseconds(-4000)).kind,
              order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first_entry, 1, milliseconds(-2001)).kind,
              order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first_entry, 2, milliseconds(-2000)).kind,
              order_verdict_kind::run);
}

// Guards against running an order that an earlier owner may have let run.
TEST_F(single_instance, does_not_run_an_order_that_may_predate_its_knowledge)
{
    EXPECT_EQ(this->claim(first_entry, 1, seconds(6)).kind,
              order_verdict_kind::unknown);
    EXPECT_EQ(this->claim(first_entry, 2, seconds(5)).kind,
              order_verdict_kind::run);
}

// During a pause another owner may have had the majority. Guards against
// keeping the knowledge from before the pause.
TEST_F(single_instance, drops_its_knowledge_when_its_majority_is_interrupted)
{
    this->now.monotonic += seconds(20);
    this->now.wall += seconds(20);
    this->advance_time(milliseconds(0));
    EXPECT_EQ(this->claim(first_entry, 1).kind, order_verdict_kind::unknown);
    this->advance_time(milliseconds(4001));
    EXPECT_EQ(this->claim(first_entry, 2).kind, order_verdict_kind::run);
}

// Guards against adopting the knowledge of a previous owner after which a third
// one may have decided claims.
TEST_F(single_instance, adopts_no_knowledge_unless_it_succeeds_the_sender)
{
    core::order_handover part;
    part.bucket = core::bucket_of(this->identity);
    part.last = true;
    part.knowledge_start = this->now.wall - seconds(100);
    this->owner.receive_handover(first_entry, part, this->now);
    EXPECT_EQ(this->claim(first_entry, 1, seconds(6)).kind,
              order_verdict_kind::unknown);
}

// Guards against running an order whose record has been removed.
TEST_F(single_instance, does_not_run_an_order_older_than_the_memory_window)
{
    this->advance_time(std::chrono::minutes(5));
    for (int step = 0; step < 200; ++step)
    {
        this->advance_time(seconds(4));
    }
    EXPECT_EQ(this->claim(first_entry, 1, seconds(601)).kind,
              order_verdict_kind::unknown);
    EXPECT_EQ(this->claim(first_entry, 2, seconds(599)).kind,
              order_verdict_kind::run);
}

TEST_F(running_order, gets_the_same_verdict_for_the_same_claim)
{
    EXPECT_EQ(this->claim(first_entry, 1).kind, order_verdict_kind::run);
}

TEST_F(running_order, is_in_progress_and_then_unknown_to_others)
{
    EXPECT_EQ(this->claim(second_entry, 1).kind,
              order_verdict_kind::in_progress);
    EXPECT_EQ(this->claim(first_entry, 2).kind,
              order_verdict_kind::in_progress);
    this->advance_time(seconds(3));
    EXPECT_EQ(this->claim(second_entry, 2).kind, order_verdict_kind::unknown);
}

// Guards against records that are never removed.
TEST_F(running_order, is_removed_after_the_memory_window)
{
    EXPECT_EQ(this->owner.records(), 1U);
    for (int step = 0; step < 220; ++step)
    {
        this->advance_time(seconds(4));
    }
    EXPECT_EQ(this->owner.records(), 0U);
}

TEST_F(running_order, stores_no_answer_above_the_size_limit)
{
    this->finish(first_entry, 1, core::order_outcome::answered,
                 answer_of(core::max_stored_body_bytes + 1));
    EXPECT_EQ(this->claim(second_entry, 1).kind, order_verdict_kind::unknown);
}

TEST_F(answered_order, gives_repeats_the_first_answer)
{
    const core::order_verdict repeat = this->claim(second_entry, 1);
    EXPECT_EQ(repeat.kind, order_verdict_kind::answered);
    ASSERT_TRUE(repeat.answer.has_value());
    EXPECT_EQ(repeat.answer->body, answer_of(5).body);
}

TEST_F(order_not_sent, may_run_for_the_next_claim)
{
    EXPECT_EQ(this->claim(second_entry, 1).kind, order_verdict_kind::run);
}

// Guards against a duplicate not_sent of the first run that releases the
// second.
TEST_F(order_not_sent, is_not_released_again_by_a_duplicate_message)
{
    EXPECT_EQ(this->claim(first_entry, 2).kind, order_verdict_kind::run);
    this->finish(first_entry, 1, core::order_outcome::not_sent);
    EXPECT_EQ(this->claim(second_entry, 1).kind,
              order_verdict_kind::in_progress);
}

// Guards against a graceful shutdown after which the next owner does not know
// the orders of the last ten minutes.
TEST(order_handover, lets_the_next_owner_answer_and_run)
{
    simulated_fleet fleet(3, max_instances);
    fleet.run(seconds(20));
    simulated_process* owner = &fleet.any_process();
    std::string owned_key;
    for (int i = 0; owned_key.empty(); ++i)
    {
        const std::string key = "key-" + std::to_string(i);
        const auto bucket =
            core::bucket_of(core::order_identity("a", "s", key));
        const bool owned = owner->owners.owner_of(bucket) == owner->id.name;
        owned_key = owned ? key : "";
    }
    const auto identity = core::order_identity("a", "s", owned_key);
    const core::bucket_id bucket = core::bucket_of(identity);
    const core::instant before = fleet.instant_of(*owner);
    const core::order_claim claim{9, identity, before.wall, seconds(3)};
    EXPECT_EQ(
        owner->orders.claim(first_entry, claim, owner->owners, before).kind,
        order_verdict_kind::run);
    owner->orders.record_outcome(
        first_entry,
        {identity, core::order_outcome::answered, answer_of(5), 9});
    fleet.shut_down(*owner);
    EXPECT_EQ(
        owner->orders.claim(second_entry, claim, owner->owners, before).kind,
        order_verdict_kind::not_owner);
    fleet.run(seconds(6));

    const std::string successor_name =
        fleet.any_process().owners.owner_of(bucket);
    simulated_process& successor =
        *std::find_if(fleet.processes.begin(), fleet.processes.end(),
                      [&](const simulated_process& process)
                      {
                          return process.id.name == successor_name;
                      });
    const core::instant after = fleet.instant_of(successor);
    EXPECT_EQ(
        successor.orders.claim(second_entry, claim, successor.owners, after)
            .kind,
        order_verdict_kind::answered);
    core::order_claim unknown_claim = claim;
    unknown_claim.identity.high += 1;
    EXPECT_EQ(successor.orders
                  .claim(second_entry, unknown_claim, successor.owners, after)
                  .kind,
              order_verdict_kind::run);
}

// Applies random faults. Guards against an order that may run twice.
TEST(orders_property, no_order_is_allowed_to_run_twice)
{
    std::map<order_verdict_kind, unsigned> verdicts;
    EXPECT_TRUE(rc::check(
        [&]()
        {
            simulated_fleet fleet(*rc::gen::arbitrary<std::uint64_t>());
            fleet.run(seconds(18));
            unsigned newest_key = 1;
            for (const fault& drawn_fault : *any_faults())
            {
                apply(fleet, drawn_fault);
                for (unsigned step = 0; step < 8; ++step)
                {
                    newest_key += fleet.random_index(3) == 0 ? 1 : 0;
                    const std::size_t keys_back =
                        fleet.random_index(std::min(newest_key, 30U));
                    const auto age = milliseconds(
                        static_cast<std::int64_t>(fleet.random_index(14'000)) -
                        2500);
                    fleet.order(fleet.any_process(),
                                std::to_string(newest_key - keys_back), age);
                    fleet.run(milliseconds(drawn_fault.magnitude));
                }
                RC_ASSERT(fleet.violations == std::vector<std::string>{});
            }
            for (const auto& [kind, count] : fleet.verdicts)
            {
                verdicts[kind] += count;
            }
        }));
    EXPECT_GT(verdicts[order_verdict_kind::run], 1000U);
    EXPECT_GT(verdicts[order_verdict_kind::answered], 500U);
    EXPECT_GT(verdicts[order_verdict_kind::unknown], 500U);
}
