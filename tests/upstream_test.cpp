#include "process.hpp"
#include "recording_caller.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <medlarbarrow/net/upstream.hpp>
#include <standin/server.hpp>
#include <thread>

using namespace medlarbarrow;
using core::attempt_end;
using std::chrono::milliseconds;
using tests::recording_caller;
using tests::running_attempt;

namespace
{

namespace asio = boost::asio;

/// Attempts at one stand-in server.
class attempts : public ::testing::Test
{
protected:
    attempts()
    {
        this->step.service = "logbook";
        this->step.server.name = "logbook-1";
        this->step.server.address = "127.0.0.1";
        this->step.server.port = this->backend.port();
        this->step.server.connections = 360;
        this->request.method = "GET";
        this->request.lines = "Host: reef.example\r\n";
    }

    /// Runs one attempt. The caller disconnects after `disconnect_after` if
    /// that is positive.
    core::attempt_result run(const std::string& target,
                             milliseconds deadline = milliseconds(10000),
                             milliseconds disconnect_after = milliseconds(0))
    {
        return this->run_at(this->servers, target, deadline, disconnect_after);
    }

    core::attempt_result run_at(net::upstream& connections,
                                const std::string& target,
                                milliseconds deadline = milliseconds(10000),
                                milliseconds disconnect_after = milliseconds(0))
    {
        this->request.target = target;
        this->step.deadline = core::boot_clock::now() + deadline;
        this->caller = std::make_shared<recording_caller>();
        running_attempt attempt(this->io, connections, this->step,
                                this->request, this->caller);
        asio::steady_timer disconnect_timer(this->io);
        if (disconnect_after > milliseconds(0))
        {
            disconnect_timer.expires_after(disconnect_after);
            disconnect_timer.async_wait(
                [this](boost::system::error_code)
                {
                    this->caller->disconnect();
                });
        }
        return this->finish(attempt);
    }

    /// Runs the event loop until the attempt has ended.
    core::attempt_result finish(const running_attempt& attempt)
    {
        this->io.restart();
        while (!attempt.result && this->io.run_one() > 0)
        {
        }
        return attempt.result.value_or(core::attempt_result{});
    }

    /// Starts attempts that take `delay` at the server, which accepts
    /// `connections` from this instance.
    void start_attempts(std::size_t count,
                        std::uint32_t connections,
                        milliseconds delay)
    {
        this->step.server.connections = connections;
        this->step.deadline =
            core::boot_clock::now() + std::chrono::seconds(20);
        this->request.target = fmt::format("/a?delay_ms={}", delay.count());
        while (this->started.size() < count)
        {
            this->started.push_back(std::make_unique<running_attempt>(
                this->io, this->servers, this->step, this->request));
        }
    }

    bool all_ended() const
    {
        return std::all_of(this->started.begin(), this->started.end(),
                           [](const auto& attempt)
                           {
                               return attempt->result.has_value();
                           });
    }

    /// Runs the event loop until the started attempts have ended, and calls
    /// `change` after 100 ms.
    void finish_started(const std::function<void()>& change)
    {
        asio::steady_timer timer(this->io, milliseconds(100));
        timer.async_wait(
            [&change](boost::system::error_code)
            {
                change();
            });
        this->io.restart();
        while (!this->all_ended() && this->io.run_one() > 0)
        {
        }
    }

    void set_mode(bool standin::server_faults::*mode)
    {
        standin::server_faults modes;
        modes.*mode = true;
        this->backend.set_modes(modes);
    }

    standin::server backend{standin::server_options{}};
    asio::io_context io;
    net::upstream servers{this->io.get_executor(), config::entry_bounds{}};
    core::step_send step;
    net::checked_request request;
    std::shared_ptr<recording_caller> caller;
    std::vector<std::unique_ptr<running_attempt>> started;
};

/// Accepts one connection, reads the head of a request, writes a text and
/// closes the connection.
class one_answer_server
{
public:
    explicit one_answer_server(std::string text)
        : answer(std::move(text)), thread(
                                       [this]
                                       {
                                           this->serve();
                                       })
    {
    }

    one_answer_server(const one_answer_server&) = delete;
    one_answer_server& operator=(const one_answer_server&) = delete;

    ~one_answer_server()
    {
        this->thread.join();
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    void serve()
    {
        asio::ip::tcp::socket socket = this->acceptor.accept();
        std::string input;
        boost::system::error_code ignored;
        asio::read_until(socket, asio::dynamic_buffer(input), "\r\n\r\n",
                         ignored);
        asio::write(socket, asio::buffer(this->answer), ignored);
    }

    asio::io_context io;
    asio::ip::tcp::acceptor acceptor{this->io,
                                     {asio::ip::make_address("127.0.0.1"), 0}};
    std::string answer;
    std::thread thread;
};

/// Attempts with the settings of orders: a new connection and a stored answer.
class attempts_of_orders : public attempts
{
protected:
    attempts_of_orders()
    {
        this->step.fresh_connection = true;
        this->step.keep_answer = true;
    }
};

} // namespace

// Guards against answers that are lost or changed on the way to the caller.
TEST_F(attempts, forward_a_complete_answer)
{
    const auto result = this->run("/a?bytes=300000");
    EXPECT_EQ(result.end, attempt_end::answered);
    EXPECT_EQ(result.status, 200U);
    EXPECT_FALSE(result.answer);
    EXPECT_EQ(this->caller->body.size(), 300000U);
    EXPECT_TRUE(this->caller->complete);
}

// Guards against reporting "not sent" although a byte was written, or another
// result although none was: after a failed connect, nothing was sent and no
// connection may stay open.
TEST_F(attempts, that_cannot_connect_are_not_sent)
{
    {
        standin::server stopped{standin::server_options{}};
        this->step.server.port = stopped.port();
    }
    EXPECT_EQ(this->run("/a").end, attempt_end::not_sent);
    EXPECT_EQ(this->servers.counters().connections_open, 0U);
}

// Guards against the result "not run" after the server closed the connection
// without an answer: it may have run the request.
TEST_F(attempts, whose_connection_ends_before_the_answer_are_closed_early)
{
    this->set_mode(&standin::server_faults::close_before_answer);
    EXPECT_EQ(this->run("/a").end, attempt_end::closed_early);
    EXPECT_EQ(this->caller->status, 0U);
}

// Guards against a header of a leaving server that is overlooked, that is told
// only after the answer has been passed on, or that the caller does not get.
TEST_F(attempts, tell_that_the_server_leaves_before_they_pass_on_the_answer)
{
    EXPECT_FALSE(this->run("/a").leaving);
    this->set_mode(&standin::server_faults::leaving);
    EXPECT_TRUE(this->run("/a").leaving);
    ASSERT_TRUE(this->caller->stated);
    EXPECT_TRUE(this->caller->stated->leaving);
    EXPECT_TRUE(this->caller->stated_first);
    EXPECT_NE(this->caller->lines.find("Server-Leaving: 1\r\n"),
              std::string::npos);
    standin::server_faults refusing;
    refusing.leaving = true;
    refusing.shed = true;
    this->backend.set_modes(refusing);
    const auto refused = this->run("/a");
    EXPECT_EQ(refused.end, attempt_end::refused_not_run);
    EXPECT_TRUE(refused.leaving);
}

// Guards against a leaving header that is not read because the answer that
// carries it is discarded or damaged.
TEST_F(attempts, tell_that_the_server_leaves_whatever_its_answer_is_worth)
{
    net::http_interface names;
    names.answers_bear_request_id = true;
    names.success_mark = "Whole";
    this->request.id = "own";
    const std::string leaving = names.leaving + ": 1\r\n";
    const std::string own_id = names.request_id + ": own\r\n";
    const std::string other_id = names.request_id + ": other\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n" + leaving;
    for (const std::string& answer :
         {ok + other_id + "Content-Length: 0\r\n\r\n", // of another request
          ok + "Content-Length: 0\r\n\r\n",            // without an id
          ok + own_id + "Content-Length: 0\r\n\r\n",   // without the mark
          ok + own_id + "Whole: 1\r\n\r\n",            // without framing
          ok + own_id + "Whole: 1\r\nContent-Length: 9\r\n\r\ncut"})
    {
        const one_answer_server server(answer);
        this->step.server.port = server.port();
        net::upstream connections{this->io.get_executor(),
                                  config::entry_bounds{}, names};
        const auto result = this->run_at(connections, "/a");
        EXPECT_EQ(result.end, attempt_end::closed_early) << answer;
        EXPECT_TRUE(result.leaving) << answer;
        ASSERT_TRUE(this->caller->stated) << answer;
        EXPECT_TRUE(this->caller->stated->leaving) << answer;
        EXPECT_EQ(this->caller->status, 0U) << answer;
    }
    // A head that is not complete states nothing.
    const one_answer_server server(ok + own_id);
    this->step.server.port = server.port();
    net::upstream connections{this->io.get_executor(), config::entry_bounds{},
                              names};
    EXPECT_FALSE(this->run_at(connections, "/a").leaving);
}

// Guards against a request whose body arrives late, and that is sent although
// its server has begun to leave meanwhile.
TEST_F(attempts, that_wait_for_their_body_check_again_before_they_write)
{
    class slow_caller : public recording_caller
    {
    public:
        asio::awaitable<net::body_part> read_body(std::uint64_t,
                                                  const bool&) override
        {
            asio::steady_timer body_arrives(co_await asio::this_coro::executor,
                                            milliseconds(30));
            co_await body_arrives.async_wait(asio::use_awaitable);
            this->sending_allowed = false;
            co_return net::body_part{{}, true, false};
        }
    };
    this->request.target = "/a";
    this->step.deadline = core::boot_clock::now() + milliseconds(10000);
    const running_attempt attempt(this->io, this->servers, this->step,
                                  this->request,
                                  std::make_shared<slow_caller>());
    const auto result = this->finish(attempt);
    EXPECT_EQ(result.end, attempt_end::not_sent);
    EXPECT_TRUE(result.withheld);
    EXPECT_EQ(this->backend.requests_received(), 0U);
}

// Guards against a stated time that is overlooked, or read from an answer that
// did not refuse the request as not run: that is the server's own answer.
TEST_F(attempts, tell_for_how_long_the_server_turns_the_instance_away)
{
    EXPECT_FALSE(this->run("/a").retry_after);
    standin::server_faults modes;
    modes.turn_away = milliseconds(1250);
    this->backend.set_modes(modes);
    const auto refused = this->run("/a");
    EXPECT_EQ(refused.end, attempt_end::refused_not_run);
    EXPECT_EQ(refused.retry_after, core::duration(milliseconds(1250)));
    ASSERT_TRUE(this->caller->stated);
    EXPECT_EQ(this->caller->stated->retry_after, refused.retry_after);
    EXPECT_EQ(this->caller->status, 0U);
    this->set_mode(&standin::server_faults::shed);
    EXPECT_FALSE(this->run("/a").retry_after);
    net::http_interface names;
    names.not_run = "Another-Name";
    net::upstream other{this->io.get_executor(), config::entry_bounds{}, names};
    this->backend.set_modes(modes);
    const auto forwarded = this->run_at(other, "/a");
    EXPECT_EQ(forwarded.end, attempt_end::answered);
    EXPECT_FALSE(forwarded.retry_after);
    EXPECT_NE(this->caller->lines.find("Retry-After: 1.250\r\n"),
              std::string::npos);
}

// Guards against an interface without the header that reads it nevertheless.
TEST_F(attempts, read_no_leaving_header_without_a_name)
{
    net::http_interface names;
    names.leaving.clear();
    net::upstream without{this->io.get_executor(), config::entry_bounds{},
                          names};
    this->set_mode(&standin::server_faults::leaving);
    EXPECT_FALSE(this->run_at(without, "/a").leaving);
}

// Guards against a request that waits for a connection, and is sent although
// its server has begun to leave meanwhile.
TEST_F(attempts, that_may_no_longer_be_sent_write_nothing)
{
    // The instance's share is two connections; both are in use.
    this->start_attempts(3, 2, milliseconds(300));
    this->finish_started(
        [this]
        {
            this->started[2]->caller->sending_allowed = false;
        });
    EXPECT_EQ(this->started[0]->result->end, attempt_end::answered);
    EXPECT_EQ(this->started[1]->result->end, attempt_end::answered);
    EXPECT_EQ(this->started[2]->result->end, attempt_end::not_sent);
    EXPECT_TRUE(this->started[2]->result->withheld);
    EXPECT_EQ(this->servers.counters().connections_opened, 2U);
    EXPECT_EQ(this->servers.counters().connections_reused, 0U);
    EXPECT_EQ(this->backend.requests_received(), 2U);
}

// Guards against forwarding part of a short answer that ends early, which would
// make a retry impossible.
TEST_F(attempts, whose_short_answer_ends_early_forward_nothing)
{
    this->set_mode(&standin::server_faults::close_mid_answer);
    EXPECT_EQ(this->run("/a?bytes=10000").end, attempt_end::closed_early);
    EXPECT_EQ(this->caller->status, 0U);
}

// Guards against marking the last received part of an incomplete answer as the
// end of the answer.
TEST_F(attempts, whose_long_answer_ends_early_are_cut_off)
{
    this->set_mode(&standin::server_faults::close_mid_answer);
    for (const std::string target :
         {"/a?bytes=900000", "/a?bytes=900&chunked=1"})
    {
        EXPECT_EQ(this->run(target).end, attempt_end::answer_cut_off);
        EXPECT_FALSE(this->caller->complete);
    }
}

// Guards against treating a request that the server shed as one that ran.
TEST_F(attempts, that_the_server_sheds_did_not_run)
{
    this->set_mode(&standin::server_faults::shed);
    EXPECT_EQ(this->run("/a").end, attempt_end::refused_not_run);
    EXPECT_EQ(this->caller->status, 0U);
    EXPECT_TRUE(this->backend.journal().empty());
}

// Guards against waiting beyond the deadline, and against a server that keeps
// working on the request afterwards.
TEST_F(attempts, past_the_deadline_time_out_and_cancel)
{
    this->set_mode(&standin::server_faults::hang);
    EXPECT_EQ(this->run("/a", milliseconds(100)).end, attempt_end::timed_out);
    const auto wait_limit =
        std::chrono::steady_clock::now() + std::chrono::seconds(20);
    while (!this->backend.journal().at(0).cancelled &&
           std::chrono::steady_clock::now() < wait_limit)
    {
        std::this_thread::sleep_for(milliseconds(5));
    }
    EXPECT_TRUE(this->backend.journal().at(0).cancelled);
}

// Guards against servers that keep working on requests of callers that have
// disconnected.
TEST_F(attempts, of_a_caller_that_disconnects_are_cancelled)
{
    this->set_mode(&standin::server_faults::hang);
    const auto result = this->run("/a", milliseconds(20000), milliseconds(50));
    EXPECT_EQ(result.end, attempt_end::caller_gone);
}

// Guards against a late or surplus answer that is taken for the answer to the
// next request. An attempt that receives one may end as closed early, since the
// server may have run the request.
TEST_F(attempts, never_receive_the_surplus_answer_of_an_earlier_one)
{
    this->set_mode(&standin::server_faults::stray_answer);
    this->servers.set_max_instances(180); // 2 connections, so they are reused
    for (int count = 0; count < 40; ++count)
    {
        const auto result = this->run("/a");
        if (result.end == attempt_end::answered)
        {
            const std::size_t number = this->backend.journal().size();
            EXPECT_NE(this->caller->body.find(
                          "\"execution\":" + std::to_string(number) + ","),
                      std::string::npos);
            continue;
        }
        EXPECT_EQ(result.end, attempt_end::closed_early);
        EXPECT_EQ(this->caller->status, 0U);
    }
}

// Guards against a request, and what its answer states about the server, that
// goes to an earlier run at the same address, which may still hold connections.
TEST_F(attempts, use_no_connection_to_an_earlier_run_of_the_server)
{
    this->servers.set_max_instances(180); // 2 connections, so they are reused
    this->step.server_started = 1;
    for (int count = 0; count < 4; ++count)
    {
        EXPECT_EQ(this->run("/a").end, attempt_end::answered);
    }
    ASSERT_EQ(this->backend.connections_accepted(), 2U);
    this->step.server_started = 2;
    EXPECT_EQ(this->run("/a").end, attempt_end::answered);
    EXPECT_EQ(this->backend.connections_accepted(), 3U);
}

// Guards against opening more connections than this instance's share of those
// that the server accepts.
TEST_F(attempts, keep_to_their_share_of_connections)
{
    this->servers.set_max_instances(100); // 360 / 100 = 3
    this->start_attempts(30, 360, milliseconds(5));
    while (!this->all_ended() && this->io.run_one() > 0)
    {
        EXPECT_LE(this->servers.counters().connections_open, 3U);
    }
    for (const auto& attempt : this->started)
    {
        EXPECT_EQ(attempt->result->end, attempt_end::answered);
    }
    EXPECT_EQ(this->backend.connections_accepted(), 3U);
}

// Guards against requests that wait for a connection until the event loop ends
// and get no answer, against breaking off those that a server works on, and
// against servers that are suspected because the instance stops.
TEST_F(attempts, that_wait_for_a_connection_are_not_sent_when_sending_stops)
{
    this->start_attempts(4, 2, milliseconds(300));
    this->finish_started(
        [this]
        {
            this->servers.stop_sending();
            // Those that wait end before those that run.
            this->io.poll();
            EXPECT_FALSE(this->started[0]->result);
            EXPECT_FALSE(this->started[1]->result);
            EXPECT_TRUE(this->started[2]->result);
            EXPECT_TRUE(this->started[3]->result);
        });
    for (const std::size_t running : {0U, 1U})
    {
        const core::attempt_result& result = *this->started[running]->result;
        EXPECT_EQ(result.end, attempt_end::answered);
        EXPECT_FALSE(result.withheld);
    }
    for (const std::size_t waiting : {2U, 3U})
    {
        const core::attempt_result& result = *this->started[waiting]->result;
        EXPECT_EQ(result.end, attempt_end::not_sent);
        EXPECT_TRUE(result.withheld);
    }
    EXPECT_EQ(this->backend.journal().size(), 2U);
}

// Guards against orders that are lost because they are sent on a reused
// connection that the server is closing.
TEST_F(attempts_of_orders, each_use_a_new_connection)
{
    for (int count = 0; count < 3; ++count)
    {
        EXPECT_EQ(this->run("/a").end, attempt_end::answered);
    }
    EXPECT_EQ(this->backend.connections_accepted(), 3U);
}

// Guards against an order whose repeat finds no stored answer although the
// answer was small enough to store.
TEST_F(attempts_of_orders, store_answers_up_to_the_limit)
{
    const auto small = this->run("/a?bytes=16384");
    ASSERT_TRUE(small.answer);
    EXPECT_EQ(small.answer->status, 200U);
    EXPECT_EQ(small.answer->content_type, "application/json");
    EXPECT_EQ(small.answer->body, this->caller->body);
    EXPECT_FALSE(this->run("/a?bytes=16385").answer);
}

// Guards against losing the answer of an order whose caller disconnected.
TEST_F(attempts_of_orders, finish_after_the_caller_disconnects)
{
    const auto result =
        this->run("/a?delay_ms=200", milliseconds(20000), milliseconds(50));
    EXPECT_EQ(result.end, attempt_end::answered);
    EXPECT_TRUE(result.answer);
    // The server's record follows the bytes of its answer.
    EXPECT_TRUE(tests::eventually(
        [this]
        {
            return this->backend.journal().at(0).finished;
        },
        std::chrono::seconds(5)));
}
