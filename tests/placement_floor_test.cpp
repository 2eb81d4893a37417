#include "floor_model.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using namespace std::chrono_literals;

namespace
{

// The load that the users' sites have, with servers that fail in blocks and
// disturbances that end for half of the servers at once.
scenario troubled_service(double requests_per_second = 138.0)
{
    scenario played;
    played.requests_per_second = requests_per_second;
    played.disturbance = 5s;
    played.disturbance_pause = 4s;
    played.disturbed_failures = 0.7;
    played.in_blocks = true;
    played.length = 40s;
    return played;
}

std::vector<kind> with_long_objectives()
{
    std::vector<kind> kinds{short_read, order, long_read};
    for (kind& work : kinds)
    {
        work.objective = 1500ms;
        work.deadline = 3000ms;
    }
    return kinds;
}

} // namespace

// Guards against sound servers that stay without work since no request may
// probe them: the repeatable requests of this service are too short of time to
// be sent a second time.
TEST(a_service_with_short_objectives, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.outside_kind = 1;
    const floor_report report = play(played);
    EXPECT_EQ(report.below_floor, 0U) << describe(report);
    EXPECT_LT(report.not_served * 100, report.requests * 8) << describe(report);
}

// Guards against sound servers that stay without work while others are idle:
// past failures and the lack of recent successes make them cost more than any
// idle server.
TEST(a_service_without_repeatable_work, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.kinds = {order};
    played.kinds.front().share = 1.0;
    const floor_report report = play(played);
    EXPECT_EQ(report.violations, 0U) << describe(report);
    EXPECT_LE(report.below_floor, report.spans / 100) << describe(report);
}

// Guards against probes that stop when the retry budget is used up, and against
// probes that go to the first suspected servers by name.
TEST(a_service_with_long_objectives, gives_its_sound_servers_work)
{
    scenario played = troubled_service(70.0);
    played.kinds = with_long_objectives();
    const floor_report report = play(played);
    EXPECT_EQ(report.below_floor, 0U) << describe(report);
    EXPECT_LT(report.not_served * 100, report.requests * 11)
        << describe(report);
}

// Guards against a floor that only a single owner of all servers keeps, or only
// owners that see all requests of their shard.
TEST(a_service_with_several_owners, gives_its_sound_servers_work)
{
    for (const double alone : {0.0, 0.3})
    {
        for (const bool sharded : {false, true})
        {
            scenario played = troubled_service(70.0);
            played.sharded = sharded;
            played.alone = alone;
            const floor_report report = play(played);
            EXPECT_EQ(report.violations, 0U)
                << "alone " << alone << ": " << describe(report);
            EXPECT_LE(report.below_floor, report.spans / 100)
                << "alone " << alone << ": " << describe(report);
        }
    }
}

// Guards against a floor that holds for some faults only: servers that fail a
// share of their requests, are slow, cannot be reached by some instances or
// turn requests away.
TEST(a_service_with_any_fault, gives_its_sound_servers_work)
{
    for (const int outside : {0, 1, 2})
    {
        scenario played = troubled_service();
        played.outside_kind = outside;
        played.sheds = outside == 0;
        const floor_report report = play(played);
        EXPECT_EQ(report.violations, 0U)
            << "fault " << outside << ": " << describe(report);
    }
}

// Guards against servers of other data centres that stay without work, since a
// near server with a free slot always costs less.
TEST(a_service_called_from_one_data_centre, gives_its_sound_servers_work)
{
    scenario played = troubled_service();
    played.one_centre = true;
    const floor_report report = play(played);
    EXPECT_EQ(report.violations, 0U) << describe(report);
}

// A service of which several servers end all connections at once for a short
// time, while the others then fail for some seconds.
scenario struck_service(std::size_t servers,
                        std::size_t struck,
                        duration strike,
                        double failures)
{
    scenario played;
    played.servers = servers;
    played.requests_per_second = 7.0 * static_cast<double>(servers);
    played.failing = 0.0;
    played.disturbed = 0.0;
    played.disturbed_failures = failures;
    played.struck = struck;
    played.strike = strike;
    played.length = 41s;
    return played;
}

namespace
{

// Plays the service with each number of servers and share of failures.
void expect_work_after(duration strike)
{
    struct hit
    {
        std::size_t servers;
        std::size_t struck;
    };
    for (const hit& affected : {hit{18, 12}, hit{18, 6}, hit{64, 24}})
    {
        for (const double failures : {0.3, 0.5})
        {
            for (const bool repeatable : {true, false})
            {
                scenario played = struck_service(
                    affected.servers, affected.struck, strike, failures);
                if (!repeatable)
                {
                    played.kinds = {order};
                    played.kinds.front().share = 1.0;
                }
                const floor_report report = play(played);
                const std::string label = fmt::format(
                    "{} of {} servers for {} ms, then {} of the sends to "
                    "the others fail, {}: ",
                    affected.struck, affected.servers, strike / 1ms, failures,
                    repeatable ? "mixed work" : "orders");
                EXPECT_EQ(report.violations, 0U) << label << describe(report);
                EXPECT_LE(report.below_while_failing, report.spans / 200)
                    << label << describe(report);
            }
        }
    }
}

} // namespace

// Guards against servers that recover together after a short fault and stay
// without work until their suspicion has decayed, while the others are
// overloaded and fail.
TEST(a_service_after_a_short_fault_of_many_servers,
     gives_them_work_after_300_ms)
{
    expect_work_after(300ms);
}

TEST(a_service_after_a_short_fault_of_many_servers,
     gives_them_work_after_500_ms)
{
    expect_work_after(500ms);
}

TEST(a_service_after_a_short_fault_of_many_servers,
     gives_them_work_after_800_ms)
{
    expect_work_after(800ms);
}

TEST(a_service_after_a_short_fault_of_many_servers, gives_them_work_after_2_s)
{
    expect_work_after(2s);
}
