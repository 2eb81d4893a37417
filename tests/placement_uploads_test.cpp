#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/placement.hpp>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t test_seed = 7;

} // namespace

/// The owner of a service with two servers of 16 slots, like that of the trial
/// in which such uploads kept nearly all ordinary requests from an answer.
class an_owner_of_a_service_with_uploads : public testing::Test
{
protected:
    void SetUp() override
    {
        this->set_servers({16, 16});
    }

    void set_servers(const std::vector<std::uint32_t>& slots)
    {
        this->announced.clear();
        for (const std::uint32_t count : slots)
        {
            core::announced_server server;
            server.server.name = "s" + std::to_string(this->announced.size());
            server.server.slots = count;
            server.server.data_centre = "suva";
            server.service = "desk";
            server.started = 1;
            this->announced.push_back(server);
        }
        std::vector<const core::announced_server*> usable;
        usable.reserve(this->announced.size());
        for (const core::announced_server& server : this->announced)
        {
            usable.push_back(&server);
        }
        this->owner.set_servers(usable, this->now);
    }

    core::place_request ordinary()
    {
        core::place_request request;
        request.grant = {1, ++this->number};
        request.data_centre = "suva";
        request.work_kind = 1;
        request.time_to_objective = 800ms;
        request.time_to_deadline = 2500ms;
        return request;
    }

    core::place_request upload()
    {
        core::place_request request = this->ordinary();
        request.work_kind = 2;
        request.time_to_objective = 20s;
        request.time_to_deadline = 20s;
        request.body_arriving = true;
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

    /// Requests a server for so many uploads and returns those that got one.
    std::vector<core::place_request> start_uploads(int count)
    {
        std::vector<core::place_request> placed;
        for (int index = 0; index < count; ++index)
        {
            const core::place_request request = this->upload();
            const std::string server = this->place(request);
            if (!server.empty())
            {
                placed.push_back(request);
                ++this->uploads_by_server[server];
            }
        }
        return placed;
    }

    void finish(const core::place_request& request, core::send_outcome outcome)
    {
        this->owner.on_send_ended(request.grant, outcome, 50ms, this->now);
    }

    core::time_point now{1000s};
    core::placement owner{core::retry_limits{}, test_seed};
    std::vector<core::announced_server> announced;
    std::map<std::string, int> uploads_by_server;
    std::uint64_t number = 0;
};

// Guards against uploads of callers that never send the end of the body and
// hold all slots: ordinary requests then wait until the uploads time out.
TEST_F(an_owner_of_a_service_with_uploads, places_others_at_once)
{
    for (const int uploads : {48, 400})
    {
        this->start_uploads(uploads);
        this->now += 25ms;
        EXPECT_TRUE(this->owner.tick(this->now).empty());
        std::vector<core::place_request> running;
        for (int index = 0; index < 16; ++index)
        {
            running.push_back(this->ordinary());
            EXPECT_NE(this->place(running.back()), "") << uploads;
        }
        for (const core::place_request& request : running)
        {
            this->finish(request, core::send_outcome::succeeded);
        }
    }
}

// Guards against ordinary requests that are refused because of the estimated
// wait of uploads that can't take their slots.
TEST_F(an_owner_of_a_service_with_uploads, lets_others_wait_for_their_like_only)
{
    this->start_uploads(400);
    std::vector<core::place_request> running;
    for (int index = 0; index < 16; ++index)
    {
        running.push_back(this->ordinary());
        ASSERT_NE(this->place(running.back()), "");
    }
    const core::place_request waiting = this->ordinary();
    const core::place_answer answer = this->owner.request(waiting, this->now);
    ASSERT_TRUE(std::holds_alternative<core::queued>(answer));
    this->finish(running.front(), core::send_outcome::succeeded);
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 1U);
    EXPECT_EQ(answers.front().grant, waiting.grant);
    EXPECT_TRUE(std::holds_alternative<core::placed>(answers.front().answer));
}

// Guards against uploads that get more or less than half of the slots, of the
// shard or of one server.
TEST_F(an_owner_of_a_service_with_uploads, gives_uploads_half_of_the_slots)
{
    EXPECT_EQ(this->start_uploads(48).size(), 16U);
    EXPECT_EQ(this->uploads_by_server["s0"], 8);
    EXPECT_EQ(this->uploads_by_server["s1"], 8);
}

// Guards against uploads that never run at small servers, and against small
// servers that all wait for bodies.
TEST_F(an_owner_of_a_service_with_uploads, gives_uploads_half_of_small_servers)
{
    this->set_servers({1, 1, 1, 1});
    EXPECT_EQ(this->start_uploads(10).size(), 2U);
    EXPECT_NE(this->place(this->ordinary()), "");
    EXPECT_NE(this->place(this->ordinary()), "");
}

// Guards against a service that takes no uploads since its only server has one
// slot.
TEST_F(an_owner_of_a_service_with_uploads, gives_uploads_at_least_one_slot)
{
    this->set_servers({1});
    EXPECT_EQ(this->start_uploads(10).size(), 1U);
}

// Guards against uploads that are passed over: each gets a slot when one of
// its like ends, in the order in which they came.
TEST_F(an_owner_of_a_service_with_uploads, places_all_uploads_in_turn)
{
    std::vector<core::place_request> running = this->start_uploads(40);
    ASSERT_EQ(running.size(), 16U);
    std::uint64_t next = running.back().grant.number + 1;
    std::size_t served = 0;
    while (!running.empty())
    {
        this->now += 10ms;
        const core::place_request ended = running.front();
        running.erase(running.begin());
        this->finish(ended, core::send_outcome::succeeded);
        ++served;
        for (const core::deferred_answer& deferred :
             this->owner.tick(this->now))
        {
            EXPECT_TRUE(std::holds_alternative<core::placed>(deferred.answer));
            EXPECT_EQ(deferred.grant.number, next++);
            core::place_request placed = ended;
            placed.grant = deferred.grant;
            running.push_back(placed);
        }
    }
    EXPECT_EQ(served, 40U);
    EXPECT_EQ(this->owner.waiting(), 0U);
}

// Guards against servers that are suspected because callers don't send the end
// of their bodies, and against places that stay taken after such uploads.
TEST_F(an_owner_of_a_service_with_uploads, suspects_no_server_that_waits)
{
    for (int round = 0; round < 3; ++round)
    {
        const auto stopped = this->start_uploads(16);
        EXPECT_EQ(stopped.size(), 16U);
        for (int step = 0; step < 600; ++step)
        {
            this->now += 25ms;
            this->owner.tick(this->now);
        }
        for (const core::place_request& request : stopped)
        {
            this->finish(request, core::send_outcome::cancelled);
        }
    }
    EXPECT_TRUE(this->owner.take_events().empty());
    EXPECT_TRUE(this->owner.take_crashes().empty());
    EXPECT_EQ(this->owner.spread(this->now).failures, 0U);
}

/// And ordinary requests whose answers are passed on as they come, to callers
/// that stop reading.
class an_owner_with_unread_answers : public an_owner_of_a_service_with_uploads
{
protected:
    /// An instance needs so long to see that a caller has stopped.
    static constexpr auto unseen_time = 1s;

    /// Starts ordinary requests that all get a server.
    void start_answers(int count)
    {
        for (int index = 0; index < count; ++index)
        {
            this->answers.push_back(this->ordinary());
            ASSERT_NE(this->place(this->answers.back()), "");
            this->report(index, false);
        }
    }

    bool report(std::size_t index, bool unread)
    {
        return this->owner.record_stream(this->answers[index].grant, unread,
                                         this->now);
    }

    /// Reports the answers as unread, one after the other. Returns the numbers
    /// of those that have to end.
    std::set<std::size_t> report_all()
    {
        std::set<std::size_t> ended;
        for (std::size_t index = 0; index < this->answers.size(); ++index)
        {
            this->now += 1ms;
            if (this->report(index, true))
            {
                ended.insert(index);
            }
        }
        return ended;
    }

    /// One more request, which finds no slot.
    void let_one_wait()
    {
        EXPECT_EQ(this->place(this->ordinary()), "");
    }

    static std::set<std::size_t> first(std::size_t count)
    {
        std::set<std::size_t> numbers;
        for (std::size_t index = 0; index < count; ++index)
        {
            numbers.insert(index);
        }
        return numbers;
    }

    std::vector<core::place_request> answers;
};

// Guards against callers that don't read their answers and hold all slots, and
// against more ended answers than the others need.
TEST_F(an_owner_with_unread_answers, ends_those_unread_for_longest)
{
    this->start_answers(32);
    this->let_one_wait();
    EXPECT_EQ(this->report_all(), first(0));
    EXPECT_EQ(this->report_all(), first(16));
    for (const std::size_t index : first(16))
    {
        this->finish(this->answers[index], core::send_outcome::cancelled);
    }
    this->answers.erase(this->answers.begin(), this->answers.begin() + 16);
    EXPECT_EQ(this->report_all(), first(0));
    const auto placed = this->owner.tick(this->now);
    ASSERT_EQ(placed.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<core::placed>(placed.front().answer));
}

// Guards against callers that keep all slots since the servers are suspected:
// requests beyond their slots get no answer in time.
TEST_F(an_owner_with_unread_answers, ends_them_at_suspected_servers_in_use)
{
    this->start_answers(32);
    this->let_one_wait();
    this->now += 400ms;
    this->owner.tick(this->now); // it gets a place beyond the slots
    for (int step = 0; step < 40; ++step)
    {
        this->now += 25ms;
        this->report_all();
        this->owner.tick(this->now);
    }
    EXPECT_FALSE(this->owner.take_events().empty());
    this->let_one_wait();
    EXPECT_GE(this->report_all().size(), 16U);
}

// Guards against an answer that is ended although nobody needs its server.
TEST_F(an_owner_with_unread_answers, ends_none_while_nobody_waits)
{
    this->start_answers(32);
    for (int round = 0; round < 20; ++round)
    {
        EXPECT_EQ(this->report_all(), first(0));
    }
}

// Guards against the same while the one that waits can have a free slot.
TEST_F(an_owner_with_unread_answers, ends_none_while_a_slot_is_free)
{
    this->start_answers(32);
    this->let_one_wait();
    this->report_all();
    this->finish(this->answers.back(), core::send_outcome::succeeded);
    this->answers.pop_back();
    EXPECT_EQ(this->report_all(), first(0));
}

// Guards against an answer that counts as unread for longest although its
// caller has read in between.
TEST_F(an_owner_with_unread_answers, counts_from_the_last_time_it_was_read)
{
    this->start_answers(32);
    this->let_one_wait();
    this->report_all();
    EXPECT_FALSE(this->report(0, false));
    std::set<std::size_t> ended = this->report_all();
    EXPECT_FALSE(ended.contains(0));
    EXPECT_TRUE(ended.contains(1));
}

// Guards against bodies that hold half of the slots and answers that hold the
// other half.
TEST_F(an_owner_with_unread_answers, counts_arriving_bodies_with_them)
{
    EXPECT_EQ(this->start_uploads(48).size(), 16U);
    this->start_answers(16);
    this->let_one_wait();
    this->report_all();
    EXPECT_EQ(this->report_all(), first(16));
}

// Guards against a slot that is given out again while the server still waits
// for a caller that reads nothing, and against one that is never given back.
TEST_F(an_owner_with_unread_answers, keeps_their_slots_while_they_are_reported)
{
    this->start_answers(16);
    for (int second = 0; second < 10; ++second)
    {
        this->now += 1s;
        this->report_all();
        this->owner.tick(this->now);
        EXPECT_EQ(this->owner.running(), 16U);
    }
    this->now += 5s;
    this->owner.tick(this->now);
    EXPECT_EQ(this->owner.running(), 0U);
}

// Guards against servers that are suspected because callers don't read, also
// before that is seen and after they read again.
TEST_F(an_owner_with_unread_answers, suspects_no_server_for_them)
{
    this->start_answers(16);
    const core::time_point seen = this->now + unseen_time;
    const core::time_point read_again = seen + 3s;
    const core::time_point end = read_again + 2s;
    while (this->now < end)
    {
        this->now += 25ms;
        this->owner.tick(this->now);
        for (std::size_t index = 0; index < this->answers.size(); ++index)
        {
            if (this->now >= seen)
            {
                this->report(index, this->now < read_again);
            }
        }
    }
    EXPECT_TRUE(this->owner.take_events().empty());
    EXPECT_EQ(this->owner.spread(this->now).failures, 0U);
}

// Guards against a report that arrives after the end of its send, or at an
// owner that has not granted it.
TEST_F(an_owner_with_unread_answers, knows_nothing_of_other_grants)
{
    this->start_answers(32);
    this->let_one_wait();
    this->report_all();
    EXPECT_FALSE(this->owner.record_stream({9, 9}, true, this->now));
    EXPECT_EQ(this->owner.running(), 32U);
}
