#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/placement.hpp>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};
constexpr std::uint64_t test_seed = 7;

core::announced_server server(const std::string& name, std::uint32_t slots = 3)
{
    core::announced_server made;
    made.server.name = name;
    made.server.slots = slots;
    made.server.data_centre = "haiphong-a";
    made.service = "specbook";
    made.started = 1;
    return made;
}

} // namespace

/// Given the owner of a service with some servers.
class a_service_owner : public testing::Test
{
protected:
    void use(const std::vector<core::announced_server>& all)
    {
        this->announced = all;
        std::vector<const core::announced_server*> usable;
        for (const core::announced_server& item : this->announced)
        {
            usable.push_back(&item);
        }
        this->owner.set_servers(usable, this->now);
    }

    void use_servers(std::size_t count)
    {
        std::vector<core::announced_server> all;
        for (std::size_t index = 0; index < count; ++index)
        {
            all.push_back(server("s" + std::to_string(index)));
        }
        this->use(all);
    }

    core::place_request request(bool repeatable = false)
    {
        core::place_request asked;
        asked.grant = {1, ++this->number};
        asked.data_centre = "haiphong-a";
        asked.work = 1;
        asked.repeatable = repeatable;
        asked.objective = 800ms;
        asked.left = 2500ms;
        return asked;
    }

    /// The server of a request that must be placed at once; empty otherwise.
    std::string place(const core::place_request& asked)
    {
        const core::place_answer answer = this->owner.request(asked, this->now);
        const auto* chosen = std::get_if<core::placed>(&answer);
        return chosen == nullptr ? "" : chosen->server;
    }

    void finish(const core::place_request& asked,
                core::send_outcome outcome,
                core::duration took = 200ms)
    {
        this->owner.finished(asked.grant, outcome, took, this->now);
    }

    /// Teaches the owner how long the work takes.
    void warm_up(unsigned count = 20)
    {
        for (unsigned index = 0; index < count; ++index)
        {
            const auto asked = this->request();
            this->place(asked);
            this->now += 10ms;
            this->finish(asked, core::send_outcome::succeeded, 200ms);
        }
    }

    core::time_point now = start;
    core::repeat_limits limits;
    core::placement owner{this->limits, test_seed};
    std::vector<core::announced_server> announced;
    std::uint64_t number = 0;
};

// Guards against two requests on one server while others are free.
TEST_F(a_service_owner, spreads_requests_over_free_servers)
{
    this->use_servers(5);
    std::set<std::string> used;
    for (int index = 0; index < 5; ++index)
    {
        used.insert(this->place(this->request()));
    }
    EXPECT_EQ(used.size(), 5U);
}

// Guards against a second slot for a call that is made again because its
// answer was lost.
TEST_F(a_service_owner, answers_a_repeated_call_with_the_same_server)
{
    this->use_servers(5);
    const auto asked = this->request();
    const std::string first = this->place(asked);
    EXPECT_EQ(this->place(asked), first);
    EXPECT_EQ(this->owner.running(), 1U);
}

// Guards against bytes between data centres for no gain.
TEST_F(a_service_owner, prefers_a_free_server_of_the_callers_data_centre)
{
    auto far = server("far");
    far.server.data_centre = "namdinh-b";
    this->use({far, server("near")});
    EXPECT_EQ(this->place(this->request()), "near");
}

// Guards against a server that is dropped from the list while requests run.
TEST_F(a_service_owner, does_not_use_a_server_that_has_left)
{
    this->use({server("a"), server("b")});
    this->use({server("b")});
    for (int index = 0; index < 3; ++index)
    {
        EXPECT_EQ(this->place(this->request()), "b");
    }
}

// Guards against refusing when the servers answer errors all alike: ejecting
// them all would leave no server.
TEST_F(a_service_owner, uses_doubtful_servers_when_most_are_doubtful)
{
    this->use_servers(3);
    for (int round = 0; round < 12; ++round)
    {
        const auto asked = this->request();
        ASSERT_NE(this->place(asked), "") << "round " << round;
        this->now += 5ms;
        this->finish(asked, core::send_outcome::failed);
    }
}

/// Given a server that accepts requests and does not answer.
class a_server_that_hangs : public a_service_owner
{
protected:
    void SetUp() override
    {
        this->use_servers(4);
        this->warm_up();
        this->hanging = this->request();
        this->server_name = this->place(this->hanging);
    }

    core::place_request hanging;
    std::string server_name;
};

// Guards against losing more requests to it than were sent before the first
// of them was overdue.
TEST_F(a_server_that_hangs, gets_no_order_once_an_answer_is_overdue)
{
    this->now += 900ms;
    this->owner.tick(this->now);
    for (int index = 0; index < 9; ++index)
    {
        EXPECT_NE(this->place(this->request()), this->server_name);
    }
    const auto events = this->owner.take_events();
    ASSERT_EQ(events.size(), 1U);
    EXPECT_EQ(events.front().server, this->server_name);
    EXPECT_EQ(events.front().change, "suspected");
}

// Guards against a server that stays out for good after it has recovered.
TEST_F(a_server_that_hangs, is_tested_with_repeatable_work_and_trusted_again)
{
    this->now += 900ms;
    this->owner.tick(this->now);
    this->finish(this->hanging, core::send_outcome::timed_out);
    bool tested = false;
    for (int round = 0; round < 6; ++round)
    {
        this->now += 700ms;
        const auto test = this->request(true);
        if (this->place(test) == this->server_name)
        {
            tested = true;
        }
        this->finish(test, core::send_outcome::succeeded);
    }
    EXPECT_TRUE(tested);
    std::set<std::string> used;
    for (int index = 0; index < 4; ++index)
    {
        used.insert(this->place(this->request()));
    }
    EXPECT_TRUE(used.contains(this->server_name));
}

// Guards against slots that stay taken when the end of a send is lost.
TEST_F(a_server_that_hangs, frees_the_slot_of_a_grant_whose_end_never_came)
{
    this->now += 3s;
    this->owner.tick(this->now);
    EXPECT_EQ(this->owner.running(), 0U);
}

/// Given servers whose slots are all taken.
class a_service_under_full_load : public a_service_owner
{
protected:
    void SetUp() override
    {
        this->use_servers(2);
        this->warm_up();
        for (int index = 0; index < 6; ++index)
        {
            this->running.push_back(this->request());
            ASSERT_NE(this->place(this->running.back()), "");
        }
    }

    void wait(const core::place_request& asked)
    {
        const auto answer = this->owner.request(asked, this->now);
        ASSERT_TRUE(std::holds_alternative<core::queued>(answer));
    }

    std::vector<core::place_request> running;
};

// Guards against serving less urgent work first when a slot comes free.
TEST_F(a_service_under_full_load, serves_the_most_urgent_first)
{
    auto low = this->request();
    low.rank = 2;
    auto high = this->request();
    high.rank = 0;
    this->wait(low);
    this->wait(high);
    this->now += 20ms;
    this->finish(this->running.front(), core::send_outcome::succeeded);
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().grant, high.grant);
}

// Guards against a refusal that comes only when the deadline has passed
// although the wait was known before.
TEST_F(a_service_under_full_load, refuses_at_once_what_cannot_start_in_time)
{
    std::size_t waiting = 0;
    for (int index = 0; index < 100; ++index)
    {
        const auto answer = this->owner.request(this->request(), this->now);
        waiting += std::holds_alternative<core::queued>(answer) ? 1 : 0;
    }
    EXPECT_LT(waiting, 30U);
    EXPECT_GT(waiting, 5U);
    const auto answer = this->owner.request(this->request(), this->now);
    const auto* refused = std::get_if<core::place_refused>(&answer);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->code, core::result_code::deadline_unreachable);
    EXPECT_GT(refused->retry_after, 0ms);
}

// Guards against a request of a caller that left taking a slot later.
TEST_F(a_service_under_full_load, forgets_a_withdrawn_request)
{
    const auto asked = this->request();
    this->wait(asked);
    this->owner.withdraw(asked.grant, this->now);
    this->finish(this->running.front(), core::send_outcome::succeeded);
    EXPECT_TRUE(this->owner.tick(this->now).empty());
}

// Guards against more repeats than the service's budget allows.
TEST_F(a_service_owner, keeps_repeats_within_the_budget)
{
    this->use_servers(20);
    this->warm_up(100);
    unsigned repeats = 0;
    for (int index = 0; index < 200; ++index)
    {
        auto asked = this->request(true);
        asked.repeat = true;
        if (!this->place(asked).empty())
        {
            ++repeats;
            this->finish(asked, core::send_outcome::succeeded);
        }
    }
    // 100 requests at a ratio of 0.2 and a slack of 20.
    EXPECT_LE(repeats, 40U);
    EXPECT_GE(repeats, 10U);
}

// Guards against a request that crashes one server after the other.
TEST_F(a_service_owner, blocks_a_request_that_crashed_three_servers)
{
    this->use_servers(6);
    std::set<std::string> crashed;
    for (int index = 0; index < 10; ++index)
    {
        auto asked = this->request();
        asked.content = 99;
        const std::string name = this->place(asked);
        if (!name.empty())
        {
            crashed.insert(name);
            this->now += 50ms;
            this->finish(asked, core::send_outcome::broke_off);
        }
    }
    EXPECT_EQ(crashed.size(), 3U);
    auto other = this->request();
    other.content = 100;
    EXPECT_NE(this->place(other), "");
}

// Guards against full load on a server that has just started.
TEST_F(a_service_owner, gives_a_cold_server_fewer_requests)
{
    auto cold = server("cold");
    cold.warm_from = start + 3s;
    this->use({cold});
    EXPECT_NE(this->place(this->request()), "");
    EXPECT_NE(this->place(this->request()), "");
    EXPECT_EQ(this->place(this->request()), "");
    this->now += 3s;
    EXPECT_EQ(this->owner.tick(this->now).size(), 1U);
}

// Guards, over arbitrary loads, against more requests on a server than its
// slots and the one place beyond them, and against requests that are neither
// placed, refused nor waiting.
RC_GTEST_PROP(any_load, never_overfills_a_server, ())
{
    core::placement owner({}, test_seed);
    std::vector<core::announced_server> all;
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    for (std::size_t index = 0; index < count; ++index)
    {
        all.push_back(server("s" + std::to_string(index), 2));
    }
    std::vector<const core::announced_server*> usable;
    for (const auto& item : all)
    {
        usable.push_back(&item);
    }
    core::time_point now = start;
    owner.set_servers(usable, now);
    std::map<core::grant_id, std::string> running;
    std::set<core::grant_id> waiting;
    const auto take =
        [&](const core::grant_id& grant, const core::place_answer& answer)
    {
        waiting.erase(grant);
        if (const auto* chosen = std::get_if<core::placed>(&answer))
        {
            running[grant] = chosen->server;
        }
        else if (std::holds_alternative<core::queued>(answer))
        {
            waiting.insert(grant);
        }
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100));
    std::uint64_t number = 0;
    for (const int step : steps)
    {
        if (step < 60)
        {
            core::place_request asked;
            asked.grant = {1, ++number};
            asked.repeatable = step % 2 == 0;
            asked.rank = static_cast<std::uint32_t>(step % 3);
            asked.objective = 800ms;
            asked.left = 100s;
            take(asked.grant, owner.request(asked, now));
        }
        else if (!running.empty())
        {
            const auto outcome = static_cast<core::send_outcome>(step % 7);
            owner.finished(running.begin()->first, outcome, 100ms, now);
            running.erase(running.begin());
        }
        now += std::chrono::milliseconds(step);
        for (const auto& late : owner.tick(now))
        {
            take(late.grant, late.answer);
        }
        std::map<std::string, unsigned> load;
        for (const auto& [grant, name] : running)
        {
            RC_ASSERT(++load[name] <= 3U);
        }
        RC_ASSERT(owner.running() == running.size());
        RC_ASSERT(owner.waiting() == waiting.size());
    }
}
