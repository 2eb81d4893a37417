#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/admission.hpp>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

class a_queue_with_four_slots : public testing::Test
{
protected:
    void SetUp() override
    {
        this->queue.set_capacity(4, 1);
    }

    core::push_result
    push(const std::string& account,
         core::route_priority priority = core::route_priority::normal,
         core::duration within = 5s,
         double weight = 1.0)
    {
        ++this->last_id;
        this->owner[this->last_id] = account;
        return this->queue.push(
            {this->last_id, account, priority, this->now + within, weight},
            this->now);
    }

    std::string pop_one()
    {
        const auto popped = this->queue.pop_ready(this->now).start;
        return popped.empty() ? "" : this->owner[popped[0]];
    }

    std::string complete_and_pop()
    {
        this->now += 10ms;
        this->queue.completed(core::work_outcome::succeeded, 40ms, this->now);
        return this->pop_one();
    }

    core::admission_queue queue{12};
    std::map<std::uint64_t, std::string> owner;
    std::uint64_t last_id = 0;
    core::time_point now{1s};
};

// Guards against more requests at the servers than their slots.
TEST_F(a_queue_with_four_slots, starts_no_more_than_the_limit)
{
    for (int index = 0; index < 10; ++index)
    {
        this->push("trawl");
    }
    EXPECT_EQ(this->queue.pop_ready(this->now).start.size(), 4U);
    EXPECT_EQ(this->queue.waiting(), 6U);
    EXPECT_EQ(this->queue.running(), 4U);
}

// Guards against a running count that never falls when an attempt is retried
// or given up.
TEST_F(a_queue_with_four_slots, counts_a_retried_request_once)
{
    this->push("trawl");
    this->pop_one();
    this->queue.attempt_ended(core::work_outcome::shed, 1ms, this->now);
    EXPECT_EQ(this->queue.running(), 1U);
    this->queue.completed(core::work_outcome::abandoned, 0ms, this->now);
    EXPECT_EQ(this->queue.running(), 0U);
}

class with_all_slots_taken : public a_queue_with_four_slots
{
protected:
    void SetUp() override
    {
        a_queue_with_four_slots::SetUp();
        for (int index = 0; index < 4; ++index)
        {
            this->push("net");
        }
        this->queue.pop_ready(this->now);
    }

    int trawl_pushed = 0;
};

// Guards against an account that holds back others with a long backlog.
TEST_F(with_all_slots_taken, an_account_with_one_request_goes_next)
{
    for (int index = 0; index < 8; ++index)
    {
        this->push("trawl");
    }
    this->complete_and_pop();
    this->push("hotel");
    EXPECT_EQ(this->complete_and_pop(), "hotel");
}

// Guards against an account that gains by never leaving a request waiting.
TEST_F(with_all_slots_taken, an_account_that_comes_back_waits_its_turn)
{
    for (int index = 0; index < 8; ++index)
    {
        this->push("hotel");
    }
    std::map<std::string, int> served;
    for (int index = 0; index < 8; ++index)
    {
        if (served["trawl"] + 1 > this->trawl_pushed)
        {
            this->push("trawl");
            ++this->trawl_pushed;
        }
        ++served[this->complete_and_pop()];
    }
    EXPECT_EQ(served["trawl"], 4);
    EXPECT_EQ(served["hotel"], 4);
}

// Guards against an account inside its rate that is cut to an equal share.
TEST_F(with_all_slots_taken, a_weight_gives_a_greater_share)
{
    for (int index = 0; index < 6; ++index)
    {
        this->push("hotel");
        this->push("trawl", core::route_priority::normal, 5s, 3.0);
    }
    std::map<std::string, int> served;
    for (int index = 0; index < 8; ++index)
    {
        ++served[this->complete_and_pop()];
    }
    EXPECT_EQ(served["trawl"], 6);
    EXPECT_EQ(served["hotel"], 2);
}

// Guards against previews that wait behind drawings of the same account.
TEST_F(with_all_slots_taken, the_higher_priority_goes_first)
{
    this->push("trawl", core::route_priority::low);
    this->push("trawl", core::route_priority::high);
    const std::uint64_t high = this->last_id;
    this->queue.completed(core::work_outcome::succeeded, 40ms, this->now);
    EXPECT_EQ(this->queue.pop_ready(this->now).start,
              std::vector<std::uint64_t>{high});
}

// Guards against a wait that can only end in a timeout.
TEST_F(with_all_slots_taken, refuses_early_what_cannot_start_in_time)
{
    this->complete_and_pop();
    this->push("net");
    this->pop_one();
    for (int index = 0; index < 5; ++index)
    {
        this->push("trawl");
    }
    const auto late = this->push("trawl", core::route_priority::normal, 60ms);
    EXPECT_EQ(late.code, core::result_code::deadline_unreachable);
    const auto good = this->push("trawl", core::route_priority::normal, 500ms);
    EXPECT_EQ(good.code, core::result_code::ok);
}

// Guards against work for callers whose deadline has passed in the queue.
TEST_F(with_all_slots_taken, reports_requests_whose_deadline_passes)
{
    this->push("trawl", core::route_priority::normal, 100ms);
    this->now += 200ms;
    EXPECT_EQ(this->queue.pop_ready(this->now).expired,
              std::vector<std::uint64_t>{this->last_id});
    EXPECT_EQ(this->queue.waiting(), 0U);
}

// Guards against a full queue that refuses the accounts that did not fill it.
TEST_F(with_all_slots_taken, makes_room_at_the_cost_of_the_longest_backlog)
{
    for (int index = 0; index < 12; ++index)
    {
        this->push("trawl");
    }
    EXPECT_EQ(this->push("trawl").code, core::result_code::queue_full);
    const auto other = this->push("hotel");
    EXPECT_EQ(other.code, core::result_code::ok);
    ASSERT_TRUE(other.evicted);
    EXPECT_EQ(this->owner[*other.evicted], "trawl");
    EXPECT_EQ(this->queue.waiting(), 12U);
}

// Guards against a cancelled request that is started later.
TEST_F(with_all_slots_taken, a_cancelled_request_is_gone)
{
    this->push("trawl");
    EXPECT_TRUE(this->queue.cancel(this->last_id));
    EXPECT_FALSE(this->queue.cancel(this->last_id));
    EXPECT_EQ(this->complete_and_pop(), "");
}

// Guards against a limit that ignores overloaded servers, or never recovers.
TEST(a_concurrency_limit, follows_what_the_servers_complete)
{
    core::concurrency_limit limit;
    limit.set_capacity(60, 10);
    const std::uint32_t first = limit.value();
    core::time_point now{1s};
    const auto run = [&](core::work_outcome outcome, core::duration latency)
    {
        for (int index = 0; index < 400; ++index)
        {
            now += 5ms;
            limit.completed(outcome, latency, limit.value(), now);
        }
        return limit.value();
    };
    const std::uint32_t grown = run(core::work_outcome::succeeded, 20ms);
    EXPECT_GT(grown, first);
    const std::uint32_t queued = run(core::work_outcome::succeeded, 100ms);
    EXPECT_LT(queued, grown);
    EXPECT_GE(queued, 8U);
    run(core::work_outcome::succeeded, 20ms);
    EXPECT_EQ(run(core::work_outcome::shed, 1ms), 8U);
}

// Guards against an account that gets more than its part while others wait:
// over any period in which the same accounts wait without a break, each gets
// at most its equal share plus one.
RC_GTEST_PROP(the_fair_queue,
              serves_no_account_more_than_its_share_plus_one,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    core::admission_queue queue(64);
    queue.set_capacity(static_cast<std::uint32_t>(1 + random() % 6), 1);
    const std::size_t accounts = 2 + random() % 5;
    std::map<std::uint64_t, std::string> waiting;
    std::map<std::string, int> size;
    std::map<std::string, double> served;
    std::uint64_t id = 0;
    core::time_point now{1s};
    const auto gone = [&](std::uint64_t which)
    {
        --size[waiting[which]];
        waiting.erase(which);
    };
    std::set<std::string> active;
    double total = 0.0;
    for (int step = 0; step < 400; ++step)
    {
        now += 1ms;
        // Account 0 sends far more than the others.
        const std::uint64_t from = random() % 3 == 0 ? random() % accounts : 0;
        const auto priority = static_cast<core::route_priority>(random() % 3);
        const std::string account = "a" + std::to_string(from);
        const auto pushed =
            queue.push({++id, account, priority, now + 1h}, now);
        if (pushed.code == core::result_code::ok)
        {
            waiting[id] = account;
            ++size[account];
        }
        if (pushed.evicted)
        {
            gone(*pushed.evicted);
        }
        if (!waiting.empty() && random() % 8 == 0)
        {
            const std::uint64_t which = waiting.begin()->first;
            RC_ASSERT(queue.cancel(which));
            gone(which);
        }
        if (queue.running() > 0 && random() % 2 == 0)
        {
            queue.completed(core::work_outcome::succeeded, 5ms, now);
        }
        std::set<std::string> before;
        for (const auto& [name, count] : size)
        {
            if (count > 0)
            {
                before.insert(name);
            }
        }
        if (before != active)
        {
            active = before;
            served.clear();
            total = 0.0;
        }
        for (const std::uint64_t started : queue.pop_ready(now).start)
        {
            const std::string account_started = waiting[started];
            gone(started);
            if (!active.empty())
            {
                ++served[account_started];
                ++total;
                const auto share = total / static_cast<double>(active.size());
                RC_ASSERT(served[account_started] <= share + 1.0);
            }
            if (size[account_started] == 0)
            {
                active.clear();
            }
        }
    }
}
