#include "floor_model.hpp"

#include <gtest/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using namespace std::chrono_literals;

namespace
{

/// An owner of servers that run requests of one instance.
class an_owner_with_failing_sends : public testing::Test
{
protected:
    void SetUp() override
    {
        for (std::size_t index = 0; index < server_count; ++index)
        {
            core::announced_server server;
            server.server.name = "s" + std::to_string(index);
            server.server.slots = 2;
            server.server.data_centre = index % 2 == 0 ? "near" : "far";
            server.service = "dispatch";
            server.started = 1;
            this->servers.push_back(server);
        }
        std::vector<const core::announced_server*> usable;
        for (const core::announced_server& server : this->servers)
        {
            usable.push_back(&server);
        }
        this->owner.set_servers(usable, this->now);
    }

    core::place_request request(bool repeatable)
    {
        core::place_request request;
        request.grant = {1, ++this->number};
        request.data_centre = "near";
        request.work_kind = repeatable ? 1 : 2;
        request.repeatable = repeatable;
        request.time_to_objective = 100ms;
        request.time_to_deadline = 1000ms;
        return request;
    }

    /// Runs one request of 48 ms on the server that the owner chooses. Returns
    /// the server; empty if there is none.
    std::string run(bool repeatable, const std::set<std::string>& excluded = {})
    {
        core::place_request asked = this->request(repeatable);
        asked.excluded_servers.assign(excluded.begin(), excluded.end());
        const core::place_answer answer = this->owner.request(asked, this->now);
        const auto* placed = std::get_if<core::placed>(&answer);
        if (placed == nullptr)
        {
            this->owner.cancel(asked.grant, this->now);
            return "";
        }
        const bool fails = this->failing.contains(placed->server) ||
                           (this->other_failures && this->number % 8 == 0);
        this->owner.on_send_ended(asked.grant,
                                  fails ? core::send_outcome::failed
                                        : core::send_outcome::succeeded,
                                  48ms, this->now);
        return placed->server;
    }

    /// Runs requests every 20 ms. Returns how many each server got.
    std::map<std::string, std::size_t> run_for(duration time,
                                               double repeatable_share)
    {
        std::map<std::string, std::size_t> counts;
        std::size_t repeatable = 0;
        std::size_t asked = 0;
        for (const time_point end = this->now + time; this->now < end;
             this->now += 20ms)
        {
            ++asked;
            const bool is_repeatable =
                static_cast<double>(repeatable) <
                repeatable_share * static_cast<double>(asked);
            repeatable += is_repeatable ? 1 : 0;
            ++counts[this->run(is_repeatable)];
        }
        return counts;
    }

    /// Fills all slots, loses the requests of these servers, which makes them
    /// suspected for more than four seconds, and completes the others.
    void lose_requests_of(const std::set<std::string>& names)
    {
        std::vector<std::pair<core::grant_id, std::string>> sent;
        for (std::size_t index = 0; index < server_count * 2; ++index)
        {
            const core::place_request asked = this->request(index % 2 == 0);
            const core::place_answer answer =
                this->owner.request(asked, this->now);
            const auto* placed = std::get_if<core::placed>(&answer);
            ASSERT_NE(placed, nullptr);
            sent.emplace_back(asked.grant, placed->server);
        }
        for (const auto& [grant, server] : sent)
        {
            this->owner.on_send_ended(grant,
                                      names.contains(server)
                                          ? core::send_outcome::connection_lost
                                          : core::send_outcome::succeeded,
                                      48ms, this->now);
        }
        ASSERT_EQ(this->owner.spread(this->now).suspected, names.size());
    }

    /// Servers that fail and then work again, fewer than the floor lets out.
    inline static const std::set<std::string> recovered{"s0", "s1", "s2", "s3"};
    static constexpr std::size_t server_count = 20;
    time_point now = start;
    std::vector<core::announced_server> servers;
    std::set<std::string> failing;
    bool other_failures = false; ///< every eighth request fails anywhere
    core::placement owner{core::retry_limits{}, 7};
    std::uint64_t number = 0;
};

} // namespace

// Guards against requests that leave their data centre although all servers
// work.
TEST_F(an_owner_with_failing_sends, leaves_far_servers_idle_while_none_fails)
{
    const auto counts = this->run_for(6s, 0.5);
    for (const auto& [server, count] : counts)
    {
        EXPECT_NE(std::stoul(server.substr(1)) % 2, 1U) << server;
    }
    EXPECT_FALSE(this->owner.is_below_floor(this->owner.spread(this->now)));
}

// Guards against a server that works again and waits for its suspicion to
// decay, while no request leaves time for a second send.
TEST_F(an_owner_with_failing_sends, gives_work_to_servers_that_work_again)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    const auto counts = this->run_for(3500ms, 0.5);
    // One in ten servers may stay without work, which here are two.
    EXPECT_GE(std::count_if(recovered.begin(), recovered.end(),
                            [&counts](const std::string& server)
                            {
                                return counts.contains(server);
                            }),
              2);
    EXPECT_GE(this->owner.spread(this->now).with_work, 18U);
}

// Guards against a part of the servers that may stay without work although
// there are many requests for each: if few servers are sound, they may be that
// part.
TEST_F(an_owner_with_failing_sends, gives_all_servers_work_if_requests_are_many)
{
    this->other_failures = true;
    this->run_for(3s, 0.5);
    for (std::size_t round = 0; round < 10; ++round)
    {
        auto counts = this->run_for(span, 0.5);
        counts.erase("");
        EXPECT_EQ(counts.size(), server_count) << "round " << round;
    }
}

// Guards against sound servers that stay without work for 2 s after a short
// fault, or after one answer that was late by chance. The requests that ran at
// the same time count as one failure.
TEST_F(an_owner_with_failing_sends, tries_a_server_again_soon_after_one_failure)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    const auto counts = this->run_for(span, 0.5);
    for (const std::string& server : recovered)
    {
        EXPECT_TRUE(counts.contains(server)) << server;
    }
}

// Guards against requests that are lost at servers that keep failing.
TEST_F(an_owner_with_failing_sends, seldom_tries_servers_that_keep_failing)
{
    this->lose_requests_of(recovered);
    this->failing = recovered;
    this->other_failures = true;
    auto counts = this->run_for(10s, 0.5);
    for (const std::string& server : recovered)
    {
        // After 1 s, then every 2.5 s.
        EXPECT_LE(counts[server], 4U) << server;
    }
}

// Guards against requests that wait for a full server while another one, whose
// fault is over, is due for work.
TEST_F(an_owner_with_failing_sends, gives_waiting_requests_to_servers_due)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    this->run_for(1150ms, 0.5);
    core::place_answer answer = core::queued{};
    core::place_request asked;
    do
    {
        asked = this->request(true);
        asked.time_to_objective = 800ms;
        answer = this->owner.request(asked, this->now);
    } while (std::holds_alternative<core::placed>(answer));
    ASSERT_TRUE(std::holds_alternative<core::queued>(answer));
    this->now += 60ms;
    const auto answers = this->owner.tick(this->now);
    ASSERT_EQ(answers.size(), 1U);
    const auto* placed = std::get_if<core::placed>(&answers.front().answer);
    ASSERT_NE(placed, nullptr);
    EXPECT_TRUE(recovered.contains(placed->server)) << placed->server;
}

// Guards against trials that cost many requests while the servers that have
// failed together keep failing.
TEST_F(an_owner_with_failing_sends, tries_servers_that_keep_failing_rarely)
{
    for (std::size_t index = 0; index < 6; ++index)
    {
        this->failing.insert("s" + std::to_string(index));
    }
    this->lose_requests_of(this->failing);
    this->other_failures = true;
    const auto counts = this->run_for(10s, 0.5);
    std::size_t lost = 0;
    for (const std::string& server : this->failing)
    {
        const auto count = counts.find(server);
        lost += count == counts.end() ? 0 : count->second;
    }
    // Each server is tried once in 1.7 s.
    EXPECT_LE(lost, 6U * 6U);
    EXPECT_GE(lost, 6U);
}

// Guards against unrepeatable requests that are lost at suspected servers,
// although repeatable ones could have been sent there.
TEST_F(an_owner_with_failing_sends,
       sends_no_unrepeatable_request_to_a_suspected_server)
{
    this->lose_requests_of(recovered);
    this->other_failures = true;
    for (const time_point end = this->now + 3500ms; this->now < end;
         this->now += 20ms)
    {
        this->run(true, recovered);
        const std::string server = this->run(false, {});
        EXPECT_FALSE(recovered.contains(server)) << server;
    }
}

// Guards against an incident whose cause cannot be told, because nothing says
// how many servers got work, were suspected and failed.
TEST_F(an_owner_with_failing_sends, tells_how_work_is_spread)
{
    this->failing = {this->run(true)};
    this->run_for(1s, 0.5);
    const core::work_spread spread = this->owner.spread(this->now);
    EXPECT_EQ(spread.servers, server_count);
    EXPECT_EQ(spread.requests, 51U);
    EXPECT_EQ(spread.results, 51U);
    EXPECT_GE(spread.failures, 2U);
    EXPECT_EQ(spread.suspected, 1U);
    EXPECT_LE(spread.with_work, server_count / 2);
    const core::work_spread later = this->owner.spread(this->now + 3s);
    EXPECT_EQ(later.with_work, 0U);
    EXPECT_EQ(later.requests, 0U);
}

// Guards against a missed floor that is reported although sends do not fail or
// requests are too few for all servers.
TEST_F(an_owner_with_failing_sends, reports_a_missed_floor_only_then)
{
    core::work_spread spread;
    spread.servers = 20;
    spread.with_work = 13;
    spread.requests = 100;
    spread.results = 100;
    spread.failures = 15;
    EXPECT_TRUE(this->owner.is_below_floor(spread));
    spread.with_work = 14;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
    spread.with_work = 13;
    spread.failures = 3;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
    spread.failures = 15;
    spread.requests = 19;
    EXPECT_FALSE(this->owner.is_below_floor(spread));
}

// Guards against a setting that is read and then not used.
TEST_F(an_owner_with_failing_sends, keeps_the_floor_share_of_the_settings)
{
    core::work_spread spread;
    spread.servers = 20;
    spread.with_work = 13;
    spread.requests = 100;
    spread.results = 100;
    spread.failures = 15;
    this->owner.set_floor_share(0.6);
    EXPECT_FALSE(this->owner.is_below_floor(spread));
}

// Guards against suspicion that excludes more servers than the floor allows
// while the others are full.
TEST_F(an_owner_with_failing_sends, keeps_the_least_suspected_servers_in_use)
{
    for (std::size_t index = 0; index < 12; ++index)
    {
        this->failing.insert("s" + std::to_string(index));
    }
    // Each request stays at its server, so that all get some; those of failing
    // servers are lost.
    std::map<std::string, std::size_t> granted;
    std::vector<std::pair<core::place_request, std::string>> sent;
    for (std::size_t index = 0; index < server_count * 2; ++index)
    {
        const core::place_request asked = this->request(false);
        const core::place_answer answer = this->owner.request(asked, this->now);
        const auto* placed = std::get_if<core::placed>(&answer);
        ASSERT_NE(placed, nullptr);
        sent.emplace_back(asked, placed->server);
    }
    for (const auto& [asked, server] : sent)
    {
        this->owner.on_send_ended(asked.grant,
                                  this->failing.contains(server)
                                      ? core::send_outcome::connection_lost
                                      : core::send_outcome::succeeded,
                                  48ms, this->now);
    }
    EXPECT_EQ(this->owner.spread(this->now).suspected, 12U);
    std::set<std::string> used;
    for (std::size_t index = 0; index < server_count * 2; ++index)
    {
        const core::place_answer answer =
            this->owner.request(this->request(false), this->now);
        if (const auto* placed = std::get_if<core::placed>(&answer))
        {
            used.insert(placed->server);
        }
    }
    EXPECT_GE(used.size(), 14U);
}
