#include "owner_handlers.hpp"

#include <gtest/gtest.h>
#include <thread>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t instance = 1;

std::size_t count_lines(const std::string& text, std::string_view event)
{
    std::size_t count = 0;
    for (auto found = text.find(event); found != std::string::npos;
         found = text.find(event, found + 1))
    {
        ++count;
    }
    return count;
}

} // namespace

/// The owner of a service of ten servers.
class an_owner_of_a_service : public testing::Test
{
protected:
    void SetUp() override
    {
        for (int index = 0; index < 10; ++index)
        {
            core::announced_server server;
            server.server.name = "s" + std::to_string(index);
            server.server.slots = 2;
            server.service = "dispatch";
            server.started = 1;
            this->registry.put(server);
        }
    }

    /// Sends requests to the first four servers; each fails.
    void fail_requests_of(net::decision_scope scope)
    {
        for (int count = 0; count < 20; ++count)
        {
            core::place_request request;
            request.grant = {instance, ++this->number};
            request.time_to_objective = 1s;
            request.time_to_deadline = 2s;
            request.excluded_servers = {"s4", "s5", "s6", "s7", "s8", "s9"};
            this->owners.request(this->shard, scope, request);
            this->owners.on_send_ended(
                {this->shard, request.grant, core::send_outcome::failed, 5ms});
        }
    }

    /// Asks for the first server on behalf of an instance. Whether it was
    /// granted; the grant is then given up, with the statement.
    bool grants_s0_to(std::uint64_t from,
                      const core::server_notice& stated = {})
    {
        core::place_request request;
        request.grant = {from, ++this->number};
        request.time_to_objective = 1s;
        request.time_to_deadline = 2s;
        request.excluded_servers = {"s1", "s2", "s3", "s4", "s5",
                                    "s6", "s7", "s8", "s9"};
        const core::place_answer answer = this->owners.request(
            this->shard, net::decision_scope::fleet, request);
        core::done_call end{this->shard, request.grant};
        end.notice = stated;
        this->owners.on_send_ended(end);
        return std::holds_alternative<core::placed>(answer);
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->io.restart();
        this->io.run_for(time);
    }

    boost::asio::io_context io;
    core::server_registry registry;
    core::shard_directory shards{this->registry, 5};
    core::shard_id shard{"dispatch", 0};
    std::uint64_t number = 0;
    net::service_owners owners{this->io,
                               this->shards,
                               this->registry,
                               core::retry_limits{},
                               5,
                               tests::owner_handlers(1.0)};
};

// Guards against failures at servers without work whose cause no line tells,
// and against a line for each check of such a shard.
TEST_F(an_owner_of_a_service, logs_servers_without_work_once_a_second)
{
    testing::internal::CaptureStdout();
    this->fail_requests_of(net::decision_scope::fleet);
    this->run_for(60ms);
    this->fail_requests_of(net::decision_scope::fleet);
    this->run_for(60ms);
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_EQ(count_lines(text, "event=servers_without_work"), 1U) << text;
    for (const char* field :
         {"service=dispatch", "shard=0", "alone=false", "servers=10",
          "with_work=", "suspected=", "requests=", "results=", "failures="})
    {
        EXPECT_NE(text.find(field), std::string::npos) << field;
    }
}

// Guards against the floor of the settings not reaching the shards.
TEST_F(an_owner_of_a_service, uses_the_floor_share_of_the_settings)
{
    testing::internal::CaptureStdout();
    this->owners.set_floor_share(0.3);
    this->fail_requests_of(net::decision_scope::fleet);
    this->run_for(60ms);
    const std::string text = testing::internal::GetCapturedStdout();
    EXPECT_EQ(count_lines(text, "event=servers_without_work"), 0U) << text;
}

// Guards against metrics of shards that other instances own, which would count
// the same servers several times.
TEST_F(an_owner_of_a_service, has_metrics_of_its_own_shards_only)
{
    testing::internal::CaptureStdout();
    this->fail_requests_of(net::decision_scope::alone);
    EXPECT_TRUE(this->owners.spreads().empty());
    this->fail_requests_of(net::decision_scope::fleet);
    testing::internal::GetCapturedStdout();
    const auto spreads = this->owners.spreads();
    ASSERT_EQ(spreads.size(), 1U);
    EXPECT_EQ(spreads.front().work.servers, 10U);
    EXPECT_EQ(spreads.front().work.failures, 20U);
    const std::string text =
        net::format_spreads({{{"a \"b\"", 2}, spreads.front().work}});
    EXPECT_NE(text.find("medlarbarrow_shard_servers{service=\"a \\\"b\\\"\","
                        "shard=\"2\"} 10\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("# TYPE medlarbarrow_shard_servers_with_work gauge\n"),
              std::string::npos);
}

// Guards against an owner that grants a server again and again to an instance
// that does not know it yet, or keeps it from the others.
TEST_F(an_owner_of_a_service, spares_an_instance_a_server_unknown_to_it)
{
    // The instance does not know the start of the run.
    const core::server_notice unknown{"s0", 0, false, 500ms};
    EXPECT_TRUE(this->grants_s0_to(instance, unknown));
    EXPECT_FALSE(this->grants_s0_to(instance));
    EXPECT_TRUE(this->grants_s0_to(instance + 1, unknown));
    EXPECT_EQ(this->owners.spreads().front().work.failures, 0U);
    std::this_thread::sleep_for(550ms);
    EXPECT_TRUE(this->grants_s0_to(instance));
}

// Guards against a statement without a start time that keeps a run with one out
// of use for long: it may concern an earlier run.
TEST_F(an_owner_of_a_service, cuts_a_hold_that_names_no_run)
{
    EXPECT_TRUE(this->grants_s0_to(instance, {"s0", 0, false, 5min}));
    std::this_thread::sleep_for(550ms);
    EXPECT_TRUE(this->grants_s0_to(instance));
}

// Guards against a report that is repeated until it is acknowledged and makes
// the time for which a server has turned an instance away longer each time.
TEST_F(an_owner_of_a_service, counts_a_hold_once_for_each_report)
{
    ASSERT_TRUE(this->grants_s0_to(instance));
    core::done_call end{
        this->shard, {instance, ++this->number}, core::send_outcome::shed};
    end.notice = {"s0", 1, false, 300ms};
    this->owners.on_send_ended(end);
    EXPECT_FALSE(this->grants_s0_to(instance));
    std::this_thread::sleep_for(200ms);
    this->owners.on_send_ended(end);
    std::this_thread::sleep_for(120ms);
    EXPECT_TRUE(this->grants_s0_to(instance));
    end.grant.number = ++this->number;
    this->owners.on_send_ended(end);
    EXPECT_FALSE(this->grants_s0_to(instance));
}
