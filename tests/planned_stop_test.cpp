/// Planned stops of a real instance under load. A request that the instance has
/// read must not end without an answer.
#include "planned_work_fixture.hpp"

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// A call on a thread of its own, which the destructor waits for.
class background_call
{
public:
    background_call(kept_connection& connection, const call_plan& plan)
        : thread(
              [this, &connection, plan]
              {
                  this->record = connection.call(plan);
              })
    {
    }

    background_call(const background_call&) = delete;
    background_call& operator=(const background_call&) = delete;

    ~background_call()
    {
        this->finish();
    }

    /// Waits for the end of the call.
    const call_record& finish()
    {
        if (this->thread.joinable())
        {
            this->thread.join();
        }
        return this->record;
    }

private:
    call_record record;
    std::thread thread;
};

} // namespace

/// The platform stops the instance.
class an_instance_that_stops : public an_instance
{
protected:
    void stop()
    {
        this->stop_instance(0);
        this->stopped_at = steady::now();
    }

    void wait_until(milliseconds after_stop) const
    {
        std::this_thread::sleep_until(this->stopped_at + after_stop);
    }

    /// Stops the instance when its calls have had this time to reach a server.
    void stop_after(milliseconds time)
    {
        std::this_thread::sleep_for(time);
        this->stop();
    }

    /// The instance must end before the platform kills it.
    void wait_for_end()
    {
        std::string state;
        EXPECT_TRUE(eventually(
            [this, &state]
            {
                state = this->instances[0]->state();
                return state != "running";
            },
            10s));
        EXPECT_LT(steady::now(), this->stopped_at + grace) << state;
        EXPECT_TRUE(state.starts_with("exit status ")) << state;
    }

    steady::time_point stopped_at;
};

// Guards against callers that the load balancer still sends to an instance that
// stops, and against connections that are refused before it has noticed.
TEST_F(an_instance_that_stops, fails_its_readiness_check_and_accepts_for_a_time)
{
    kept_connection idle = this->connection_to(0);
    ASSERT_TRUE(idle.connect());
    background_call running(idle, {"/long/x?delay_ms=3500"});
    this->stop_after(200ms);
    std::this_thread::sleep_for(50ms);
    EXPECT_EQ(this->readiness(0), 503U);
    for (const milliseconds time : {500ms, 1200ms, 2200ms})
    {
        this->wait_until(time);
        kept_connection fresh = this->connection_to(0);
        ASSERT_TRUE(fresh.connect()) << time.count();
        this->expect_served(fresh.call({"/order/x?delay_ms=5"}));
    }
    this->expect_served(running.finish());
    EXPECT_EQ(this->instances[0]->wait(), 0);
}

// Guards against requests that are cut or left without an answer because their
// instance stops while their clients go on using kept connections.
TEST_F(an_instance_that_stops, answers_every_request_under_steady_load)
{
    this->start_load(12, {"/order/x?delay_ms=30"});
    this->start_load(4, {"/browse/x?delay_ms=150", std::string(3000, 'b')});
    this->start_load(2, {"/stream/x?bytes=900000&delay_ms=10"});
    std::this_thread::sleep_for(1s);
    this->stop();
    this->wait_for_end();
    const std::vector<call_record> all = this->end_load();
    EXPECT_GT(all.size(), 300U);
    this->expect_none_lost(all);
}

// Guards against requests that are passed on although their answer cannot come
// before the end of the grace: a connection whose answer was being streamed
// when the stop began is kept, so that its client sends the next request late.
TEST_F(an_instance_that_stops, refuses_a_late_request_after_a_streamed_answer)
{
    kept_connection connection = this->connection_to(0);
    ASSERT_TRUE(connection.connect());
    call_plan streamed{"/stream/x?bytes=12000000"};
    streamed.before_body = [this]
    {
        this->stop();
        this->wait_until(3500ms);
    };
    const call_record first = connection.call(streamed);
    this->expect_served(first);
    ASSERT_FALSE(first.closes);
    this->expect_refused(connection.call({"/next/x?delay_ms=2500"}));
    this->wait_for_end();
}

// Guards against requests that are passed on although their answer cannot come
// before the end of the grace: the head is complete only late.
TEST_F(an_instance_that_stops, refuses_a_request_whose_head_ends_late)
{
    kept_connection connection = this->connection_to(0);
    ASSERT_TRUE(connection.connect());
    this->stop();
    call_plan slow{"/next/x?delay_ms=2800"};
    slow.pause_in_head = 3500ms;
    this->expect_refused(connection.call(slow));
    this->wait_for_end();
}

// Guards against requests that are passed on although their answer cannot come
// before the end of the grace: the body is complete only late.
TEST_F(an_instance_that_stops, refuses_a_request_whose_body_ends_late)
{
    kept_connection connection = this->connection_to(0);
    ASSERT_TRUE(connection.connect());
    this->stop();
    call_plan slow{"/next/x?delay_ms=2800", "drums and nets"};
    slow.pause_in_body = 3500ms;
    this->expect_refused(connection.call(slow));
    this->wait_for_end();
}

// Guards against requests that are passed on although their answer cannot come
// before the end of the grace: the connection was accepted late and is used
// late.
TEST_F(an_instance_that_stops, refuses_a_late_request_on_a_late_connection)
{
    kept_connection first = this->connection_to(0);
    ASSERT_TRUE(first.connect());
    background_call running(first, {"/long/x?delay_ms=4000"});
    this->stop_after(100ms);
    this->wait_until(2200ms);
    kept_connection late = this->connection_to(0);
    ASSERT_TRUE(late.connect());
    this->wait_until(3050ms);
    this->expect_refused(late.call({"/next/x?delay_ms=3000"}));
    this->expect_served(running.finish());
    this->wait_for_end();
}

// Guards against a client that never learns that its request has not run,
// because part of it is still missing at the end of the stop.
TEST_F(an_instance_that_stops,
       refuses_a_request_that_is_not_complete_at_the_end)
{
    kept_connection slow_head = this->connection_to(0);
    kept_connection slow_body = this->connection_to(0);
    ASSERT_TRUE(slow_head.connect());
    ASSERT_TRUE(slow_body.connect());
    call_plan head{"/next/x"};
    head.pause_in_head = 5900ms;
    call_plan body{"/next/x", "drums and nets"};
    body.pause_in_body = 5900ms;
    this->stop();
    background_call head_call(slow_head, head);
    background_call body_call(slow_body, body);
    this->expect_refused(head_call.finish());
    this->expect_refused(body_call.finish());
    this->wait_for_end();
}

// Guards against a request that is cut although its server finishes in time,
// and against one that is broken off because its server is silent for long.
TEST_F(an_instance_that_stops, answers_what_its_servers_finish_in_time)
{
    kept_connection early = this->connection_to(0);
    kept_connection later = this->connection_to(0);
    ASSERT_TRUE(early.connect());
    background_call early_call(early, {"/long/x?delay_ms=5600"});
    this->stop_after(300ms);
    this->wait_until(800ms);
    ASSERT_TRUE(later.connect());
    background_call later_call(later, {"/order/x?delay_ms=4300"});
    this->expect_served(early_call.finish());
    this->expect_served(later_call.finish());
    this->wait_for_end();
}

// Guards against a bare closed connection at the end of the stop for a request
// whose server needs longer, and against one that is broken off sooner than
// necessary.
TEST_F(an_instance_that_stops, tells_the_outcome_is_unknown_only_at_the_end)
{
    kept_connection connection = this->connection_to(0);
    ASSERT_TRUE(connection.connect());
    background_call call(connection, {"/long/x?delay_ms=20000"});
    this->stop_after(200ms);
    const call_record& record = call.finish();
    const std::string text = this->describe(record, true);
    EXPECT_GE(record.ended, this->stopped_at + 5400ms) << text;
    EXPECT_TRUE(record.status == 502 || record.status == 504) << text;
    EXPECT_TRUE(record.complete) << text;
    this->wait_for_end();
    EXPECT_NE(this->instances[0]->log().find("event=stop_cut id=" + record.id),
              std::string::npos)
        << this->instances[0]->log();
}

// Guards against requests that are cut because the platform, or an operator,
// sends SIGTERM a second time.
TEST_F(an_instance_that_stops, goes_on_when_it_is_told_to_stop_again)
{
    kept_connection connection = this->connection_to(0);
    ASSERT_TRUE(connection.connect());
    background_call running(connection, {"/long/x?delay_ms=3000"});
    this->stop_after(200ms);
    this->wait_until(1000ms);
    this->instances[0]->send(SIGTERM);
    this->expect_served(running.finish());
    this->wait_for_end();
}

/// The instance stops while all slots of its servers are taken for longer.
class an_instance_that_stops_without_free_servers
    : public an_instance_that_stops
{
protected:
    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        this->add_servers(2, 1);
        this->start_fleet(1);
    }
};

// Guards against requests that wait for a server when the stop ends and are cut
// without an answer.
TEST_F(an_instance_that_stops_without_free_servers,
       refuses_the_requests_that_wait)
{
    std::vector<std::unique_ptr<kept_connection>> connections;
    std::vector<std::unique_ptr<background_call>> calls;
    for (std::size_t index = 0; index < 6; ++index)
    {
        connections.push_back(
            std::make_unique<kept_connection>(0, this->endpoint_of(0)));
        ASSERT_TRUE(connections.back()->connect());
        const char* target =
            index < 2 ? "/long/x?delay_ms=20000" : "/wait/x?delay_ms=100";
        calls.push_back(std::make_unique<background_call>(*connections.back(),
                                                          call_plan{target}));
        std::this_thread::sleep_for(50ms);
    }
    this->stop();
    std::vector<call_record> records;
    for (const auto& call : calls)
    {
        records.push_back(call->finish());
    }
    for (std::size_t index = 2; index < records.size(); ++index)
    {
        this->expect_refused(records[index]);
    }
    this->expect_none_lost(records);
    this->wait_for_end();
    EXPECT_NE(this->instances[0]->log().find("event=stop_ended"),
              std::string::npos)
        << this->instances[0]->log();
}
