#include <gtest/gtest.h>
#include <medlarbarrow/core/crash_records.hpp>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};
constexpr std::uint64_t poison = 99;

} // namespace

/// Given a request that has crashed some servers, as one instance knows it.
class a_request_with_crashes : public testing::Test
{
protected:
    void crash(const std::string& server, core::duration age = 0s)
    {
        this->records.record({poison, server, age}, this->now);
    }

    void crash_three()
    {
        this->crash("s1");
        this->now += 300ms;
        this->crash("s2");
        this->now += 300ms;
        this->crash("s3");
    }

    /// The server answers now on a connection of this age.
    void answer(const std::string& server, core::duration connection_age)
    {
        this->records.record_life_sign(
            {server, this->now - connection_age, this->now});
    }

    bool is_blocked() const
    {
        return this->records.block_of(poison, this->now).in_force;
    }

    core::time_point now = start;
    core::crash_records records;
};

// Guards against a request that crashes a fourth server.
TEST_F(a_request_with_crashes, is_blocked_after_three_different_servers)
{
    this->crash("s1");
    this->now += 5s;
    this->crash("s1");
    this->crash("s2");
    EXPECT_FALSE(this->is_blocked());
    this->crash("s3");
    EXPECT_TRUE(this->is_blocked());
}

// Guards against a proper request that is blocked because answers to it were
// lost while its servers lived on (DENIED of the review's case 3).
TEST_F(a_request_with_crashes, is_free_once_one_of_the_servers_shows_it_lived)
{
    this->crash_three();
    ASSERT_TRUE(this->is_blocked());
    this->now += 200ms;
    this->answer("s2", 10s);
    EXPECT_FALSE(this->is_blocked());
    this->crash("s4");
    EXPECT_TRUE(this->is_blocked());
}

// Guards against a server that has crashed and come back within a moment and is
// taken for one that has lived on.
TEST_F(a_request_with_crashes,
       stays_blocked_if_a_server_answers_after_a_restart)
{
    this->crash_three();
    this->now += 600ms;
    this->answer("s2", 500ms);
    EXPECT_TRUE(this->is_blocked());
}

// Guards against an answer from just before the crash whose report arrives
// after that of the crash.
TEST_F(a_request_with_crashes, stays_blocked_if_an_answer_before_it_is_reported)
{
    this->crash_three();
    this->answer("s3", 10s);
    EXPECT_TRUE(this->is_blocked());
}

// Guards against a record that other instances bring back after the server or
// the request has been cleared here.
TEST_F(a_request_with_crashes, stays_free_when_others_repeat_refuted_crashes)
{
    this->crash_three();
    core::crash_records others;
    others.merge(this->records.suspects(1, this->now), this->now);
    this->now += 200ms;
    this->answer("s1", 10s);
    this->records.merge(others.suspects(1, this->now), this->now);
    EXPECT_FALSE(this->is_blocked());
    this->records.record_success(poison, this->now);
    this->now += 1s;
    this->records.merge(others.suspects(1, this->now), this->now);
    EXPECT_FALSE(this->is_blocked());
    EXPECT_TRUE(this->records.suspects(1, this->now).empty());
}

// Guards against a block that is called final while it may still turn out to be
// wrong, and against one that never is.
TEST_F(a_request_with_crashes, is_told_when_to_come_back_until_it_is_settled)
{
    this->crash_three();
    EXPECT_GT(this->records.block_of(poison, this->now).unsettled_for, 0s);
    this->now += 10s;
    EXPECT_TRUE(this->is_blocked());
    EXPECT_EQ(this->records.block_of(poison, this->now).unsettled_for, 0s);
}

// Guards against an owner that knows fewer crashes than the one before it
// (BUDGET of the review's case 5).
TEST_F(a_request_with_crashes, is_blocked_where_its_record_arrives)
{
    this->crash_three();
    this->now += 1s;
    core::crash_records next_owner;
    next_owner.merge(this->records.suspects(2, this->now), this->now);
    EXPECT_TRUE(next_owner.block_of(poison, this->now).in_force);
    // It ends no later than at the owner before.
    this->now += 59500ms;
    EXPECT_FALSE(this->is_blocked());
    EXPECT_FALSE(next_owner.block_of(poison, this->now).in_force);
}

// Guards against records that are passed on for ever, each time as new ones.
TEST_F(a_request_with_crashes, is_forgotten_by_instances_that_tell_each_other)
{
    this->crash_three();
    core::crash_records other;
    for (int round = 0; round < 310; ++round)
    {
        other.merge(this->records.suspects(2, this->now), this->now);
        this->now += 1s;
        this->records.merge(other.suspects(2, this->now), this->now);
    }
    EXPECT_TRUE(this->records.suspects(1, this->now).empty());
    EXPECT_TRUE(other.suspects(1, this->now).empty());
}

// Guards against a message that exceeds a datagram, and against suspects that
// are never sent because others come first.
TEST_F(a_request_with_crashes, takes_its_turn_among_many_others)
{
    std::set<std::uint64_t> digests;
    for (std::uint64_t digest = 1; digest <= 200; ++digest)
    {
        this->records.record({digest, "server-1", {}}, this->now);
        this->records.record({digest, "server-2", {}}, this->now);
    }
    for (int message = 0; message < 20; ++message)
    {
        for (const core::crash_suspect& suspect :
             this->records.suspects(2, this->now))
        {
            digests.insert(suspect.content_digest);
        }
    }
    EXPECT_EQ(digests.size(), 200U);
}

// Guards against memory without bound when many requests lose their servers.
TEST_F(a_request_with_crashes, is_one_of_a_bounded_number)
{
    for (std::uint64_t digest = 1; digest <= 5000; ++digest)
    {
        this->records.record({digest, "s1", {}}, this->now);
    }
    EXPECT_LE(this->records.size(), 1024U);
}

// Guards, over arbitrary orders of messages, against instances that exchange
// what they know and still disagree about a block.
RC_GTEST_PROP(instances_that_exchange_records, agree_on_what_is_blocked, ())
{
    std::vector<core::crash_records> instances(4);
    core::time_point now = start;
    const auto crashes = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 6)));
    std::set<int> servers;
    for (const auto& [witness, server] : crashes)
    {
        instances[static_cast<std::size_t>(witness)].record(
            {poison, "s" + std::to_string(server), {}}, now);
        servers.insert(server);
        now += 100ms;
    }
    for (std::size_t from = 0; from < 8; ++from)
    {
        for (core::crash_records& to : instances)
        {
            to.merge(instances[from % 4].suspects(1, now), now);
        }
    }
    for (const core::crash_records& instance : instances)
    {
        RC_ASSERT(instance.block_of(poison, now).in_force ==
                  (servers.size() >= 3));
    }
}
