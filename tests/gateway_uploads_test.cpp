#include "gateway_fixture.hpp"

#include <fmt/format.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// More than is read before a server is requested.
constexpr std::size_t upload_bytes = 300000;
constexpr std::size_t stop_bytes = 100; ///< that a stopped upload lacks
constexpr auto stall_limit = 400ms;

} // namespace

/// Fixture: the limit of a caller that sends nothing is short, and the
/// requests have much more time.
class a_gateway_fleet_with_uploads : public a_gateway_fleet
{
protected:
    void SetUp() override
    {
        a_gateway_fleet::SetUp();
        this->set_times(stall_limit, 20s);
        this->observe_outcomes();
    }

    void set_times(std::chrono::milliseconds stall,
                   std::chrono::milliseconds deadline)
    {
        auto changed = std::make_shared<core::document>(*this->document);
        changed->limits.emplace().idle_timeout = stall;
        for (core::route& route : changed->routes)
        {
            route.deadline = deadline;
            route.latency_objective = deadline * 3 / 4;
        }
        this->on_thread(
            [this, &changed]
            {
                for (const auto& instance : this->fleet)
                {
                    instance->entry->apply_document(changed);
                }
                return true;
            });
    }

    void observe_outcomes()
    {
        this->on_thread(
            [this]
            {
                this->fleet[0]->entry->on_request_end(
                    [this](const net::request_summary& summary)
                    {
                        this->outcomes.push_back(summary.outcome);
                    });
                return true;
            });
    }

    /// Starts an upload and sends the first `count` bytes of its body.
    std::unique_ptr<test_caller> start_upload(std::size_t count,
                                              const std::string& target)
    {
        auto caller = std::make_unique<test_caller>(this->endpoint_of(0));
        caller->send(fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n"
                                 "Authorization: Bearer {}\r\n"
                                 "Content-Length: {}\r\n\r\n",
                                 target, test_key, upload_bytes));
        caller->send(std::string(count, 'u'));
        return caller;
    }

    void expect_no_blame()
    {
        const auto suspected_or_failed = this->on_thread(
            [this]
            {
                std::size_t count = 0;
                for (const auto& instance : this->fleet)
                {
                    for (const net::shard_spread& spread :
                         instance->peers->spreads())
                    {
                        count += spread.work.suspected + spread.work.failures;
                    }
                }
                return count;
            });
        EXPECT_EQ(suspected_or_failed, 0U);
    }

    net::gateway_counters counters()
    {
        return this->on_thread(
            [this]
            {
                return this->fleet[0]->entry->counters();
            });
    }

    std::vector<core::result_code> outcomes; ///< of the first instance
};

// Guards against an upload that holds a server until the deadline since its
// caller has stopped, against a caller that is told that such a request didn't
// run, and against a server that is blamed for it.
TEST_F(a_gateway_fleet_with_uploads, ends_one_that_stops)
{
    for (const std::string target : {"/order/x", "/browse/x"})
    {
        const auto start = std::chrono::steady_clock::now();
        const auto caller =
            this->start_upload(upload_bytes - stop_bytes, target);
        const test_answer answer = caller->read_answer();
        const auto elapsed = std::chrono::steady_clock::now() - start;
        EXPECT_EQ(answer.status, 504U) << target;
        EXPECT_NE(answer.body.find("body_stalled"), std::string::npos)
            << answer.body;
        EXPECT_EQ(answer.retry_after, "");
        EXPECT_GE(elapsed, stall_limit);
        EXPECT_LT(elapsed, 10s);
        EXPECT_TRUE(caller->read_answer().cut);
    }
    const net::gateway_counters counts = this->counters();
    EXPECT_EQ(counts.servers.bodies_stalled, 2U);
    EXPECT_EQ(counts.second_sends, 0U);
    this->expect_no_blame();
    this->end_fleet();
    EXPECT_EQ(this->outcomes, std::vector(2, core::result_code::body_stalled));
}

// Guards against an upload that is ended although it makes progress, each step
// of which takes less than the limit, and all of which take several times it.
TEST_F(a_gateway_fleet_with_uploads, serves_one_that_is_slow)
{
    constexpr std::size_t steps = 10;
    constexpr std::size_t step_bytes = 17000;
    const auto caller =
        this->start_upload(upload_bytes - steps * step_bytes, "/order/x");
    for (std::size_t step = 0; step < steps; ++step)
    {
        std::this_thread::sleep_for(stall_limit / 4);
        caller->send(std::string(step_bytes, 'u'));
    }
    EXPECT_EQ(caller->read_answer().status, 200U);
    EXPECT_EQ(this->counters().servers.bodies_stalled, 0U);
    this->expect_no_blame();
}

// Guards against a caller that keeps a server with a byte now and then.
TEST_F(a_gateway_fleet_with_uploads, ends_one_that_trickles)
{
    const auto caller =
        this->start_upload(upload_bytes - stop_bytes, "/order/x");
    boost::system::error_code failure;
    const auto start = std::chrono::steady_clock::now();
    while (this->counters().servers.bodies_stalled == 0 &&
           std::chrono::steady_clock::now() - start < 5s)
    {
        boost::asio::write(caller->socket, boost::asio::buffer("u", 1),
                           failure);
        std::this_thread::sleep_for(stall_limit / 8);
    }
    EXPECT_EQ(this->counters().servers.bodies_stalled, 1U);
    EXPECT_LT(std::chrono::steady_clock::now() - start, 5s);
}

// Guards against a server that is blamed for a body that was still arriving at
// the deadline of the request.
TEST_F(a_gateway_fleet_with_uploads, blames_no_server_at_the_deadline)
{
    this->set_times(20s, 500ms);
    for (int count = 0; count < 5; ++count)
    {
        const auto caller =
            this->start_upload(upload_bytes - stop_bytes, "/order/x");
        EXPECT_EQ(caller->read_answer().status, 504U);
    }
    this->expect_no_blame();
}

// Guards against uploads of callers that have stopped and keep others from the
// servers. Their own limits come too late to help.
TEST_F(a_gateway_fleet_with_uploads, serves_others_beside_those_that_stop)
{
    constexpr int callers = 40;
    this->set_times(20s, 20s);
    std::vector<std::unique_ptr<test_caller>> stopped;
    stopped.reserve(callers);
    for (int count = 0; count < callers; ++count)
    {
        stopped.push_back(
            this->start_upload(upload_bytes - stop_bytes, "/order/up"));
    }
    const auto start = std::chrono::steady_clock::now();
    for (int count = 0; count < callers; ++count)
    {
        EXPECT_EQ(this->call(0, "/order/x").status, 200U);
    }
    EXPECT_LT(std::chrono::steady_clock::now() - start, 10s);
}

/// Given a single server, which accepts connections and reads nothing.
class a_gateway_fleet_with_uploads_to_a_silent_server
    : public a_gateway_fleet_with_uploads
{
protected:
    void add_servers(unsigned /*count*/) override
    {
        this->silent.listen();
        this->announce("silent", this->silent.local_endpoint().port());
    }

    boost::asio::io_context server_io;
    /// Connections are established although none is accepted.
    tcp::acceptor silent{
        this->server_io,
        tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
};

// Guards against a caller that is blamed for a server that reads nothing: the
// rest of its body cannot be taken, however long that lasts.
TEST_F(a_gateway_fleet_with_uploads_to_a_silent_server, blames_no_caller)
{
    constexpr std::size_t large_bytes = 32U << 20U;
    this->set_times(stall_limit, 2s);
    test_caller caller(this->endpoint_of(0));
    caller.send(fmt::format("POST /order/x HTTP/1.1\r\nHost: a.example\r\n"
                            "Authorization: Bearer {}\r\n"
                            "Content-Length: {}\r\n\r\n",
                            test_key, large_bytes));
    auto sent =
        std::async(std::launch::async,
                   [&caller]
                   {
                       const std::string body(large_bytes, 'u');
                       boost::system::error_code failure;
                       boost::asio::write(caller.socket,
                                          boost::asio::buffer(body), failure);
                       return failure;
                   });
    EXPECT_TRUE(sent.get().failed());
    EXPECT_EQ(this->counters().servers.bodies_stalled, 0U);
    this->end_fleet();
    EXPECT_EQ(this->outcomes,
              std::vector(1, core::result_code::server_timeout));
}
