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
    core::announced_server announced;
    announced.server.name = name;
    announced.server.slots = slots;
    announced.server.data_centre = "haiphong-a";
    announced.service = "specbook";
    announced.started = 1;
    return announced;
}

} // namespace

/// The owner of a service with some servers.
class a_service_owner : public testing::Test
{
protected:
    void set_servers(const std::vector<core::announced_server>& servers)
    {
        this->announced = servers;
        std::vector<const core::announced_server*> usable;
        for (const core::announced_server& announced_server : this->announced)
        {
            usable.push_back(&announced_server);
        }
        this->owner.set_servers(usable, this->now);
    }

    void set_server_count(std::size_t count)
    {
        std::vector<core::announced_server> servers;
        for (std::size_t index = 0; index < count; ++index)
        {
            servers.push_back(server("s" + std::to_string(index)));
        }
        this->set_servers(servers);
    }

    core::place_request request(bool repeatable = false)
    {
        core::place_request request;
        request.grant = {1, ++this->number};
        request.data_centre = "haiphong-a";
        request.work_kind = 1;
        request.repeatable = repeatable;
        request.time_to_objective = 800ms;
        request.time_to_deadline = 2500ms;
        return request;
    }

    /// Returns the server if the request is placed at once; empty otherwise.
    std::string place(const core::place_request& request)
    {
        const core::place_answer answer =
            this->owner.request(request, this->now);
        const auto* placed = std::get_if<core::placed>(&answer);
        return placed == nullptr ? "" : placed->server;
    }

    void finish(const core::place_request& request,
                core::send_outcome outcome,
                core::duration latency = 200ms)
    {
        this->owner.on_send_ended(request.grant, outcome, latency, this->now);
    }

    /// Completes requests so that the owner has samples of the work's duration.
    void measure_work(unsigned count = 20)
    {
        for (unsigned index = 0; index < count; ++index)
        {
            const auto request = this->request();
            this->place(request);
            this->now += 10ms;
            this->finish(request, core::send_outcome::succeeded, 200ms);
        }
    }

    core::time_point now = start;
    core::retry_limits limits;
    core::placement owner{this->limits, test_seed};
    std::vector<core::announced_server> announced;
    std::uint64_t number = 0;
};

// Guards against placing two requests on one server while others are free.
TEST_F(a_service_owner, spreads_requests_over_free_servers)
{
    this->set_server_count(5);
    std::set<std::string> servers_used;
    for (int index = 0; index < 5; ++index)
    {
        servers_used.insert(this->place(this->request()));
    }
    EXPECT_EQ(servers_used.size(), 5U);
}

// Guards against taking a second slot when an instance repeats a call because
// the answer was lost.
TEST_F(a_service_owner, answers_a_repeated_call_with_the_same_server)
{
    this->set_server_count(5);
    const auto request = this->request();
    const std::string first = this->place(request);
    EXPECT_EQ(this->place(request), first);
    EXPECT_EQ(this->owner.running(), 1U);
}

// Guards against needless traffic between data centres: a far server is used
// although a near one is free.
TEST_F(a_service_owner, prefers_a_free_server_of_the_callers_data_centre)
{
    auto far = server("far");
    far.server.data_centre = "namdinh-b";
    this->set_servers({far, server("near")});
    EXPECT_EQ(this->place(this->request()), "near");
}

// Guards against placing requests on a server that is no longer in the list.
TEST_F(a_service_owner, does_not_use_a_server_that_has_left)
{
    this->set_servers({server("a"), server("b")});
    this->set_servers({server("b")});
    for (int index = 0; index < 3; ++index)
    {
        EXPECT_EQ(this->place(this->request()), "b");
    }
}

// Guards against a server that leaves and gets requests from its owner.
TEST_F(a_service_owner, does_not_use_a_server_that_is_marked_as_leaving)
{
    core::server_registry registry;
    registry.put(server("a"));
    registry.put(server("b"));
    this->owner.set_servers(registry.usable("specbook"), this->now);
    registry.mark_leaving({"a", 1}, this->now);
    registry.put(server("a"));
    this->owner.set_servers(registry.usable("specbook"), this->now);
    for (int index = 0; index < 3; ++index)
    {
        EXPECT_EQ(this->place(this->request()), "b");
    }
}

// Guards against refusing requests when all servers answer with errors: if all
// suspected servers were excluded, none would be left.
TEST_F(a_service_owner, uses_suspected_servers_when_most_are_suspected)
{
    this->set_server_count(3);
    for (int round = 0; round < 12; ++round)
    {
        const auto request = this->request();
        ASSERT_NE(this->place(request), "") << "round " << round;
        this->now += 5ms;
        this->finish(request, core::send_outcome::failed);
    }
}

/// Given two servers, the first of which has turned an instance away for two
/// seconds.
class a_server_that_turned_an_instance_away : public a_service_owner
{
protected:
    a_server_that_turned_an_instance_away()
    {
        this->set_servers({server("a"), server("b")});
        this->turn_away("a", 2s);
    }

    void turn_away(const std::string& name, core::duration time)
    {
        this->owner.hold(1, {name, 1, false, time}, this->now);
    }

    core::place_request request_of(std::uint64_t instance)
    {
        core::place_request request = this->request(true);
        request.grant.instance = instance;
        return request;
    }

    /// Places requests of the instance until no slot is left; returns how many
    /// each server got.
    std::map<std::string, int> place_all(std::uint64_t instance)
    {
        std::map<std::string, int> placed;
        for (int index = 0; index < 6; ++index)
        {
            ++placed[this->place(this->request_of(instance))];
        }
        return placed;
    }

    core::place_refused refused(const core::place_request& request)
    {
        const core::place_answer answer =
            this->owner.request(request, this->now);
        const auto* refusal = std::get_if<core::place_refused>(&answer);
        return refusal == nullptr
                   ? core::place_refused{core::result_code::ok, {}}
                   : *refusal;
    }
};

// Guards against an owner that chooses a server for an instance that the server
// wants nothing from.
TEST_F(a_server_that_turned_an_instance_away, is_not_chosen_for_that_instance)
{
    this->now += 1999ms;
    EXPECT_EQ(this->place_all(1)["a"], 0);
}

// Guards against a server that loses the requests of other instances too, or
// those of the instance after the stated time.
TEST_F(a_server_that_turned_an_instance_away, is_chosen_for_others_and_later)
{
    EXPECT_EQ(this->place_all(2)["a"], 3);
    EXPECT_EQ(this->place(this->request_of(1)), "");
}

TEST_F(a_server_that_turned_an_instance_away, is_chosen_after_the_time)
{
    this->now += 2s;
    EXPECT_EQ(this->place_all(1)["a"], 3);
}

// Guards against a restarted server that stays without the instance's work.
TEST_F(a_server_that_turned_an_instance_away, is_chosen_after_a_restart)
{
    auto restarted = server("a");
    restarted.started = 2;
    this->set_servers({restarted, server("b")});
    EXPECT_EQ(this->place_all(1)["a"], 3);
}

// Guards against a suspected server that is probed by an instance it turned
// away.
TEST_F(a_server_that_turned_an_instance_away, is_not_probed_by_that_instance)
{
    this->set_servers({server("a"), server("b"), server("c")});
    this->turn_away("a", 5s);
    std::vector<std::pair<core::place_request, std::string>> running;
    for (int count = 0; count < 9; ++count)
    {
        const auto request = this->request_of(2);
        running.emplace_back(request, this->place(request));
    }
    for (const auto& [request, chosen] : running)
    {
        this->finish(request, chosen == "a"
                                  ? core::send_outcome::connection_lost
                                  : core::send_outcome::succeeded);
    }
    // By then the failures are old enough for a probe.
    this->now += 2100ms;
    EXPECT_NE(this->place(this->request_of(1)), "a");
    EXPECT_EQ(this->place(this->request_of(2)), "a");
}

// Guards against a held instance whose request goes to the server because that
// server has been without work while sends fail.
TEST_F(a_server_that_turned_an_instance_away, is_not_due_for_its_work)
{
    this->set_servers({server("a"), server("b"), server("c")});
    this->turn_away("a", 5s);
    const auto fail_elsewhere = [this]
    {
        for (int count = 0; count < 4; ++count)
        {
            const auto request = this->request_of(1);
            ASSERT_NE(this->place(request), "a") << count;
            this->finish(request, count == 0 ? core::send_outcome::failed
                                             : core::send_outcome::succeeded);
        }
    };
    // Long enough for the server without work to be due.
    for (int round = 0; round < 8; ++round)
    {
        this->now += 300ms;
        fail_elsewhere();
    }
    EXPECT_EQ(this->place(this->request_of(2)), "a");
}

// Guards against a request that waits for servers that all want nothing from
// its instance: it is refused with the time until the first wants work again.
TEST_F(a_server_that_turned_an_instance_away, refuses_when_none_is_left)
{
    this->turn_away("b", 3s);
    this->now += 500ms;
    const core::place_refused refusal = this->refused(this->request_of(1));
    EXPECT_EQ(refusal.code, core::result_code::no_healthy_server);
    EXPECT_EQ(refusal.retry_after, core::duration(1500ms));
    EXPECT_NE(this->place(this->request_of(2)), "");
}

// Guards against a request that waited already when the last server turned its
// instance away, and waits on until its deadline.
TEST_F(a_server_that_turned_an_instance_away, refuses_waiting_requests_too)
{
    EXPECT_EQ(this->place_all(1)["b"], 3);
    EXPECT_GT(this->owner.waiting(), 0U);
    this->turn_away("b", 1s);
    const auto answers = this->owner.tick(this->now);
    EXPECT_EQ(this->owner.waiting(), 0U);
    ASSERT_EQ(answers.size(), 3U);
    for (const core::deferred_answer& deferred : answers)
    {
        const auto* refusal =
            std::get_if<core::place_refused>(&deferred.answer);
        ASSERT_NE(refusal, nullptr);
        EXPECT_EQ(refusal->retry_after, core::duration(1s));
    }
}

// Guards against any sequence of holds, requests and times in which a server is
// chosen for an instance within a time for which it turned that one away.
RC_GTEST_PROP(an_owner, keeps_to_the_holds_of_all_instances, ())
{
    core::placement owner{core::retry_limits{}, test_seed};
    const std::vector<core::announced_server> announced{
        server("a", 1), server("b", 1), server("c", 1)};
    std::vector<const core::announced_server*> usable;
    for (const core::announced_server& known : announced)
    {
        usable.push_back(&known);
    }
    core::time_point now = start;
    owner.set_servers(usable, now);
    std::map<std::pair<std::uint64_t, std::string>, core::time_point> until;
    std::uint64_t number = 0;
    const auto check =
        [&](std::uint64_t instance, const core::place_answer& answer)
    {
        if (const auto* placed = std::get_if<core::placed>(&answer))
        {
            RC_ASSERT((until[{instance, placed->server}] <= now));
        }
    };
    const auto steps = *rc::gen::inRange(1, 80);
    for (int step = 0; step < steps; ++step)
    {
        const auto instance = *rc::gen::inRange<std::uint64_t>(1, 4);
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
        {
            const std::string name =
                *rc::gen::element<std::string>("a", "b", "c");
            const auto wait =
                std::chrono::milliseconds(*rc::gen::inRange(0, 2000));
            owner.hold(instance, {name, 1, false, wait}, now);
            core::time_point& end = until[{instance, name}];
            end = std::max(end, now + wait);
            break;
        }
        case 1:
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
            break;
        case 2:
            owner.on_send_ended(
                {instance, *rc::gen::inRange<std::uint64_t>(0, number + 1)},
                core::send_outcome::succeeded, 50ms, now);
            break;
        default:
        {
            core::place_request request;
            request.grant = {instance, ++number};
            request.repeatable = *rc::gen::arbitrary<bool>();
            request.time_to_objective = 800ms;
            request.time_to_deadline = 2500ms;
            check(instance, owner.request(request, now));
            break;
        }
        }
        for (const core::deferred_answer& deferred : owner.tick(now))
        {
            check(deferred.grant.instance, deferred.answer);
        }
    }
}

/// A server that accepts a request and does not answer.
class a_server_that_hangs : public a_service_owner
{
protected:
    void SetUp() override
    {
        this->set_server_count(4);
        this->measure_work();
        this->hanging_request = this->request();
        this->server_name = this->place(this->hanging_request);
    }

    core::place_request hanging_request;
    std::string server_name;
};

// Guards against sending further requests to a hanging server once its first
// request is overdue.
TEST_F(a_server_that_hangs, gets_no_request_once_an_answer_is_overdue)
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

// Guards against a recovered server that stays excluded for good because no
// request probes it.
TEST_F(a_server_that_hangs, is_probed_with_repeatable_work_and_trusted_again)
{
    this->now += 900ms;
    this->owner.tick(this->now);
    this->finish(this->hanging_request, core::send_outcome::timed_out);
    bool probed = false;
    for (int round = 0; round < 6; ++round)
    {
        this->now += 700ms;
        const auto probe = this->request(true);
        if (this->place(probe) == this->server_name)
        {
            probed = true;
        }
        this->finish(probe, core::send_outcome::succeeded);
    }
    EXPECT_TRUE(probed);
    std::set<std::string> servers_used;
    for (int index = 0; index < 4; ++index)
    {
        servers_used.insert(this->place(this->request()));
    }
    EXPECT_TRUE(servers_used.contains(this->server_name));
}

// Guards against slots that stay taken when the message about the end of a send
// is lost.
TEST_F(a_server_that_hangs, has_its_slot_freed_when_a_grant_expires)
{
    this->now += 3s;
    this->owner.tick(this->now);
    EXPECT_EQ(this->owner.running(), 0U);
}

/// Servers whose slots are all taken.
class a_service_under_full_load : public a_service_owner
{
protected:
    void SetUp() override
    {
        this->set_server_count(2);
        this->measure_work();
        for (int index = 0; index < 6; ++index)
        {
            this->running.push_back(this->request());
            ASSERT_NE(this->place(this->running.back()), "");
        }
    }

    void expect_queued(const core::place_request& request)
    {
        const auto answer = this->owner.request(request, this->now);
        ASSERT_TRUE(std::holds_alternative<core::queued>(answer));
    }

    std::vector<core::place_request> running;
};

// Guards against starting less urgent work first when a slot becomes free.
TEST_F(a_service_under_full_load, places_the_most_urgent_request_first)
{
    auto low = this->request();
    low.rank = 2;
    auto high = this->request();
    high.rank = 0;
    this->expect_queued(low);
    this->expect_queued(high);
    this->now += 20ms;
    this->finish(this->running.front(), core::send_outcome::succeeded);
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().grant, high.grant);
}

// Guards against queueing a request that cannot finish in time and refusing it
// only when its deadline has passed.
TEST_F(a_service_under_full_load,
       refuses_at_once_a_request_that_cannot_finish_in_time)
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

// Guards against placing a waiting request after its caller has left.
TEST_F(a_service_under_full_load, forgets_a_withdrawn_request)
{
    const auto request = this->request();
    this->expect_queued(request);
    this->owner.cancel(request.grant, this->now);
    this->finish(this->running.front(), core::send_outcome::succeeded);
    EXPECT_TRUE(this->owner.tick(this->now).empty());
}

// Guards against granting more repeats than the service's retry budget allows.
TEST_F(a_service_owner, keeps_repeats_within_the_retry_budget)
{
    this->set_server_count(20);
    this->measure_work(100);
    unsigned repeats = 0;
    for (int index = 0; index < 200; ++index)
    {
        auto request = this->request(true);
        request.repeat = true;
        if (!this->place(request).empty())
        {
            ++repeats;
            this->finish(request, core::send_outcome::succeeded);
        }
    }
    // 100 requests at a ratio of 0.2 and a slack of 20.
    EXPECT_LE(repeats, 40U);
    EXPECT_GE(repeats, 10U);
}

// Guards against repeating a request that crashes one server after the other.
TEST_F(a_service_owner, blocks_a_request_that_crashed_three_servers)
{
    this->set_server_count(6);
    std::set<std::string> crashed;
    for (int index = 0; index < 10; ++index)
    {
        auto request = this->request();
        request.content_digest = 99;
        const std::string name = this->place(request);
        if (!name.empty())
        {
            crashed.insert(name);
            this->now += 50ms;
            this->finish(request, core::send_outcome::connection_lost);
        }
    }
    EXPECT_EQ(crashed.size(), 3U);
    auto other = this->request();
    other.content_digest = 100;
    EXPECT_NE(this->place(other), "");
}

/// A request whose digest is blocked, since it has crashed three servers.
class a_blocked_request : public a_service_owner
{
protected:
    void SetUp() override
    {
        this->set_server_count(6);
        for (int index = 0; index < 3; ++index)
        {
            this->crash(this->request_of(99));
        }
        ASSERT_EQ(this->place(this->request_of(99)), "");
    }

    core::place_request request_of(std::uint64_t digest)
    {
        auto request = this->request();
        request.content_digest = digest;
        return request;
    }

    /// Places a request whose server then ends its connection.
    void crash(const core::place_request& request)
    {
        ASSERT_NE(this->place(request), "");
        this->now += 50ms;
        this->finish(request, core::send_outcome::connection_lost);
    }
};

// Guards against a digest that stays blocked for ever, since only a success
// lifts the block, and against several servers that are lost when it is tried
// again.
TEST_F(a_blocked_request, is_tried_once_after_a_while)
{
    this->now += 61s;
    const auto trial = this->request_of(99);
    EXPECT_NE(this->place(trial), "");
    EXPECT_EQ(this->place(this->request_of(99)), "");
    this->now += 50ms;
    this->finish(trial, core::send_outcome::connection_lost);
    EXPECT_EQ(this->place(this->request_of(99)), "");
    this->now += 59s;
    EXPECT_EQ(this->place(this->request_of(99)), "");
    this->now += 2s;
    this->crash(this->request_of(99));
    EXPECT_EQ(this->place(this->request_of(99)), "");
}

// Guards against a block that outlasts the request's success.
TEST_F(a_blocked_request, is_free_after_a_success)
{
    this->now += 61s;
    const auto trial = this->request_of(99);
    EXPECT_NE(this->place(trial), "");
    this->now += 50ms;
    this->finish(trial, core::send_outcome::succeeded);
    EXPECT_NE(this->place(this->request_of(99)), "");
    EXPECT_NE(this->place(this->request_of(99)), "");
}

// Guards against a trial at the same time as another owner's, which has crashed
// a server.
TEST_F(a_blocked_request, stays_blocked_after_a_crash_elsewhere)
{
    this->now += 61s;
    this->owner.record_crash({99, "elsewhere"}, this->now);
    EXPECT_EQ(this->place(this->request_of(99)), "");
}

// Guards against several requests of a blocked digest that wait together and
// are all placed.
TEST_F(a_blocked_request, is_tried_once_if_many_wait)
{
    this->now += 61s;
    std::vector<core::place_request> running;
    do
    {
        running.push_back(this->request());
    } while (!this->place(running.back()).empty());
    this->owner.cancel(running.back().grant, this->now);
    running.pop_back();
    this->place(this->request_of(99));
    this->place(this->request_of(99));
    ASSERT_EQ(this->owner.waiting(), 2U);
    for (const core::place_request& ended : running)
    {
        this->finish(ended, core::send_outcome::succeeded);
    }
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 2U);
    EXPECT_TRUE(std::holds_alternative<core::placed>(answers[0].answer));
    const auto* refused = std::get_if<core::place_refused>(&answers[1].answer);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->code, core::result_code::request_blocked);
}

// Guards against crashes of long ago that block a request together with a new
// one.
TEST_F(a_service_owner, forgets_old_crashes)
{
    this->set_server_count(6);
    for (int index = 0; index < 6; ++index)
    {
        auto request = this->request();
        request.content_digest = 99;
        EXPECT_NE(this->place(request), "");
        this->finish(request, core::send_outcome::connection_lost);
        this->now += 301s;
    }
}

// Guards against using all slots of a server that has just started.
TEST_F(a_service_owner, uses_fewer_slots_of_a_server_that_warms_up)
{
    auto cold = server("cold");
    cold.warmed_up_at = start + 3s;
    this->set_servers({cold});
    EXPECT_NE(this->place(this->request()), "");
    EXPECT_NE(this->place(this->request()), "");
    EXPECT_EQ(this->place(this->request()), "");
    this->now += 3s;
    EXPECT_EQ(this->owner.tick(this->now).size(), 1U);
}

// Guards, over arbitrary loads, against more requests on a server than its
// slots and the one extra place for requests that have waited long. Also guards
// against counts of running and waiting requests that differ from the answers
// given.
RC_GTEST_PROP(any_load, never_exceeds_the_request_limit_of_a_server, ())
{
    core::placement owner({}, test_seed);
    std::vector<core::announced_server> servers;
    const auto count = *rc::gen::inRange<std::size_t>(1, 6);
    for (std::size_t index = 0; index < count; ++index)
    {
        servers.push_back(server("s" + std::to_string(index), 2));
    }
    std::vector<const core::announced_server*> usable;
    for (const auto& announced : servers)
    {
        usable.push_back(&announced);
    }
    core::time_point now = start;
    owner.set_servers(usable, now);
    std::map<core::grant_id, std::string> running;
    std::set<core::grant_id> waiting;
    const auto apply_answer =
        [&](const core::grant_id& grant, const core::place_answer& answer)
    {
        waiting.erase(grant);
        if (const auto* placed = std::get_if<core::placed>(&answer))
        {
            running[grant] = placed->server;
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
            core::place_request request;
            request.grant = {1, ++number};
            request.repeatable = step % 2 == 0;
            request.rank = static_cast<std::uint32_t>(step % 3);
            request.time_to_objective = 800ms;
            request.time_to_deadline = 100s;
            apply_answer(request.grant, owner.request(request, now));
        }
        else if (!running.empty())
        {
            const auto outcome = static_cast<core::send_outcome>(step % 7);
            owner.on_send_ended(running.begin()->first, outcome, 100ms, now);
            running.erase(running.begin());
        }
        now += std::chrono::milliseconds(step);
        for (const auto& deferred : owner.tick(now))
        {
            apply_answer(deferred.grant, deferred.answer);
        }
        std::map<std::string, unsigned> running_on;
        for (const auto& [grant, name] : running)
        {
            RC_ASSERT(++running_on[name] <= 3U);
        }
        RC_ASSERT(owner.running() == running.size());
        RC_ASSERT(owner.waiting() == waiting.size());
    }
}
