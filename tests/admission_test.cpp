#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/admission.hpp>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

/// An admission queue of capacity 12 whose service has four slots.
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
         core::duration time_to_deadline = 5s,
         double weight = 1.0)
    {
        ++this->last_id;
        this->account_of[this->last_id] = account;
        return this->queue.push({this->last_id, account, priority,
                                 this->now + time_to_deadline, weight},
                                this->now);
    }

    /// Starts the requests that may start; returns the account of the first
    /// one, or an empty text.
    std::string pop_one()
    {
        const auto popped = this->queue.pop_ready(this->now).ready;
        return popped.empty() ? "" : this->account_of[popped[0]];
    }

    std::string complete_and_pop()
    {
        this->now += 10ms;
        this->queue.completed(core::attempt_outcome::succeeded, 40ms,
                              this->now);
        return this->pop_one();
    }

    core::admission_queue queue{12};
    std::map<std::uint64_t, std::string> account_of;
    std::uint64_t last_id = 0;
    core::time_point now{1s};
};

// Guards against starting more requests than the servers have slots.
TEST_F(a_queue_with_four_slots, starts_no_more_than_the_limit)
{
    for (int index = 0; index < 10; ++index)
    {
        this->push("trawl");
    }
    EXPECT_EQ(this->queue.pop_ready(this->now).ready.size(), 4U);
    EXPECT_EQ(this->queue.waiting(), 6U);
    EXPECT_EQ(this->queue.running(), 4U);
}

// Guards against a count of running requests that stays too high: a retried
// attempt is counted again, or an abandoned request never leaves the count.
TEST_F(a_queue_with_four_slots, counts_a_retried_request_once)
{
    this->push("trawl");
    this->pop_one();
    this->queue.attempt_ended(core::attempt_outcome::shed, 1ms, this->now);
    EXPECT_EQ(this->queue.running(), 1U);
    this->queue.completed(core::attempt_outcome::abandoned, 0ms, this->now);
    EXPECT_EQ(this->queue.running(), 0U);
}

/// The same queue with four running requests of the account "net".
class a_queue_with_all_slots_taken : public a_queue_with_four_slots
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

// Guards against an account whose long backlog delays the requests of others.
TEST_F(a_queue_with_all_slots_taken, an_account_with_one_request_is_served_next)
{
    for (int index = 0; index < 8; ++index)
    {
        this->push("trawl");
    }
    this->complete_and_pop();
    this->push("hotel");
    EXPECT_EQ(this->complete_and_pop(), "hotel");
}

// Guards against an account that gains service by sending its next request only
// after the previous one has started, so that its queue is empty in between.
TEST_F(a_queue_with_all_slots_taken,
       an_account_that_returns_gets_no_extra_share)
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

// Guards against giving an account with a higher rate only an equal share.
TEST_F(a_queue_with_all_slots_taken,
       an_account_of_greater_weight_gets_a_greater_share)
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

// Guards against requests of a high priority that wait behind ones of a low
// priority of the same account, such as previews behind drawings.
TEST_F(a_queue_with_all_slots_taken, a_request_of_higher_priority_starts_first)
{
    this->push("trawl", core::route_priority::low);
    this->push("trawl", core::route_priority::high);
    const std::uint64_t high = this->last_id;
    this->queue.completed(core::attempt_outcome::succeeded, 40ms, this->now);
    EXPECT_EQ(this->queue.pop_ready(this->now).ready,
              std::vector<std::uint64_t>{high});
}

// Guards against queueing a request that would only time out.
TEST_F(a_queue_with_all_slots_taken,
       refuses_early_a_request_that_cannot_finish_in_time)
{
    this->complete_and_pop();
    this->push("net");
    this->pop_one();
    for (int index = 0; index < 5; ++index)
    {
        this->push("trawl");
    }
    const auto too_late =
        this->push("trawl", core::route_priority::normal, 60ms);
    EXPECT_EQ(too_late.code, core::result_code::deadline_unreachable);
    const auto in_time =
        this->push("trawl", core::route_priority::normal, 500ms);
    EXPECT_EQ(in_time.code, core::result_code::ok);
}

// Guards against starting requests whose deadline has passed in the queue.
TEST_F(a_queue_with_all_slots_taken, reports_requests_whose_deadline_passes)
{
    this->push("trawl", core::route_priority::normal, 100ms);
    this->now += 200ms;
    EXPECT_EQ(this->queue.pop_ready(this->now).expired,
              std::vector<std::uint64_t>{this->last_id});
    EXPECT_EQ(this->queue.waiting(), 0U);
}

// Guards against refusing an account because another one has filled the queue.
TEST_F(a_queue_with_all_slots_taken,
       evicts_from_the_account_with_the_longest_backlog)
{
    for (int index = 0; index < 12; ++index)
    {
        this->push("trawl");
    }
    EXPECT_EQ(this->push("trawl").code, core::result_code::queue_full);
    const auto other = this->push("hotel");
    EXPECT_EQ(other.code, core::result_code::ok);
    ASSERT_TRUE(other.evicted);
    EXPECT_EQ(this->account_of[*other.evicted], "trawl");
    EXPECT_EQ(this->queue.waiting(), 12U);
}

// Guards against starting a request after it was cancelled.
TEST_F(a_queue_with_all_slots_taken, does_not_start_a_cancelled_request)
{
    this->push("trawl");
    EXPECT_TRUE(this->queue.cancel(this->last_id));
    EXPECT_FALSE(this->queue.cancel(this->last_id));
    EXPECT_EQ(this->complete_and_pop(), "");
}

// Guards against a limit that does not grow or recover while latency is low,
// does not shrink when latency rises or servers shed requests, or falls below
// the fair share and its margin.
TEST(a_concurrency_limit, adapts_to_the_completions_of_the_servers)
{
    core::concurrency_limit limit;
    limit.set_capacity(60, 10);
    const std::uint32_t first = limit.value();
    core::time_point now{1s};
    const auto complete_requests =
        [&](core::attempt_outcome outcome, core::duration latency)
    {
        for (int index = 0; index < 400; ++index)
        {
            now += 5ms;
            limit.completed(outcome, latency, limit.value(), now);
        }
        return limit.value();
    };
    const std::uint32_t grown =
        complete_requests(core::attempt_outcome::succeeded, 20ms);
    EXPECT_GT(grown, first);
    const std::uint32_t queued =
        complete_requests(core::attempt_outcome::succeeded, 100ms);
    EXPECT_LT(queued, grown);
    EXPECT_GE(queued, 8U);
    complete_requests(core::attempt_outcome::succeeded, 20ms);
    EXPECT_EQ(complete_requests(core::attempt_outcome::shed, 1ms), 8U);
}

// Guards against an account that gets more than its share while others wait:
// over any period in which the same accounts wait without a break, each gets at
// most its equal share plus one request.
RC_GTEST_PROP(the_fair_queue,
              serves_no_account_more_than_its_share_plus_one,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    core::admission_queue queue(64);
    queue.set_capacity(static_cast<std::uint32_t>(1 + random() % 6), 1);
    const std::size_t accounts = 2 + random() % 5;
    std::map<std::uint64_t, std::string> waiting;
    std::map<std::string, int> waiting_count;
    std::map<std::string, double> served;
    std::uint64_t id = 0;
    core::time_point now{1s};
    const auto remove_waiting = [&](std::uint64_t removed_id)
    {
        --waiting_count[waiting[removed_id]];
        waiting.erase(removed_id);
    };
    std::set<std::string> active;
    double total_served = 0.0;
    for (int step = 0; step < 400; ++step)
    {
        now += 1ms;
        // Account 0 sends far more than the others.
        const std::uint64_t sender =
            random() % 3 == 0 ? random() % accounts : 0;
        const auto priority = static_cast<core::route_priority>(random() % 3);
        const std::string account = "a" + std::to_string(sender);
        const auto pushed =
            queue.push({++id, account, priority, now + 1h}, now);
        if (pushed.code == core::result_code::ok)
        {
            waiting[id] = account;
            ++waiting_count[account];
        }
        if (pushed.evicted)
        {
            remove_waiting(*pushed.evicted);
        }
        if (!waiting.empty() && random() % 8 == 0)
        {
            const std::uint64_t cancelled_id = waiting.begin()->first;
            RC_ASSERT(queue.cancel(cancelled_id));
            remove_waiting(cancelled_id);
        }
        if (queue.running() > 0 && random() % 2 == 0)
        {
            queue.completed(core::attempt_outcome::succeeded, 5ms, now);
        }
        std::set<std::string> waiting_accounts;
        for (const auto& [name, count] : waiting_count)
        {
            if (count > 0)
            {
                waiting_accounts.insert(name);
            }
        }
        if (waiting_accounts != active)
        {
            active = waiting_accounts;
            served.clear();
            total_served = 0.0;
        }
        for (const std::uint64_t started : queue.pop_ready(now).ready)
        {
            const std::string account_started = waiting[started];
            remove_waiting(started);
            if (!active.empty())
            {
                ++served[account_started];
                ++total_served;
                const auto share =
                    total_served / static_cast<double>(active.size());
                RC_ASSERT(served[account_started] <= share + 1.0);
            }
            if (waiting_count[account_started] == 0)
            {
                active.clear();
            }
        }
    }
}
