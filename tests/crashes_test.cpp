#include <gtest/gtest.h>
#include <medlarbarrow/core/crashes.hpp>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

// An owner with the majority of every bucket.
class single_owner
{
public:
    single_owner() : owners({"home", 1}, core::time_point{1s})
    {
        this->owners.set_max_instances(1);
        this->owners.set_members({"home"}, this->now);
        this->run(60s);
    }

    void run(core::duration time)
    {
        for (const auto end = this->now + time; this->now < end;)
        {
            this->now += 500ms;
            this->owners.tick(this->now);
            this->owner.tick(this->owners, this->now);
        }
    }

    core::outbox receive(const std::string& from,
                         const core::crash_report& report)
    {
        return this->owner.receive({from, 1}, report, this->owners, this->now);
    }

    core::ownership owners;
    core::crash_owner owner;
    core::time_point now{1s};
};

} // namespace

class a_request_that_crashed_a_server : public testing::Test
{
protected:
    void SetUp() override
    {
        const auto verdicts = this->report(this->first, "entry-1", "s1");
        ASSERT_EQ(verdicts.size(), 1U);
        const auto& verdict =
            std::get<core::crash_verdict>(verdicts[0].message);
        EXPECT_EQ(this->first.receive(verdict, this->fleet.now), true);
    }

    core::outbox report(core::crash_blocks& entry,
                        const std::string& name,
                        const std::string& server)
    {
        return this->fleet.receive(name, entry.report(this->request, "logbook",
                                                      server, this->fleet.now));
    }

    single_owner fleet;
    core::crash_blocks first{0};
    core::crash_blocks second{0};
    core::digest request{7, 9};
};

// Guards against a request that goes on to a third server.
TEST_F(a_request_that_crashed_a_server, is_blocked_for_all_after_the_second)
{
    EXPECT_FALSE(this->first.is_blocked(this->request, this->fleet.now));
    const auto verdicts = this->report(this->second, "entry-2", "s2");
    ASSERT_EQ(verdicts.size(), 2U);
    for (const core::outgoing& sent : verdicts)
    {
        auto& entry = sent.to == "entry-1" ? this->first : this->second;
        entry.receive(std::get<core::crash_verdict>(sent.message),
                      this->fleet.now);
    }
    EXPECT_TRUE(this->first.is_blocked(this->request, this->fleet.now));
    EXPECT_TRUE(this->second.is_blocked(this->request, this->fleet.now));
    EXPECT_EQ(this->fleet.owner.blocked(10, this->fleet.now).size(), 1U);
}

// Guards against blame on a request whose server simply dies again.
TEST_F(a_request_that_crashed_a_server, is_not_blocked_by_the_same_server)
{
    this->report(this->first, "entry-1", "s1");
    EXPECT_TRUE(this->fleet.owner.blocked(10, this->fleet.now).empty());
}

// Guards against two retries of the request at the same time.
TEST_F(a_request_that_crashed_a_server, gives_leave_to_one_reporter_at_a_time)
{
    const auto verdicts = this->report(this->second, "entry-2", "s1");
    const auto& denied = std::get<core::crash_verdict>(verdicts[0].message);
    EXPECT_EQ(this->second.receive(denied, this->fleet.now), false);
    EXPECT_FALSE(this->second.is_blocked(this->request, this->fleet.now));
}

// Guards against a block that never ends, and memory that only grows.
TEST_F(a_request_that_crashed_a_server, is_forgotten_after_its_lifetime)
{
    const auto verdicts = this->report(this->first, "entry-1", "s2");
    this->first.receive(std::get<core::crash_verdict>(verdicts[0].message),
                        this->fleet.now);
    this->fleet.run(core::crash_lifetime + 1s);
    this->first.tick(this->fleet.now);
    EXPECT_EQ(this->first.size(), 0U);
    EXPECT_EQ(this->fleet.owner.suspects(), 0U);
}

// Guards against leave that arrives after the owner has given it to another.
TEST_F(a_request_that_crashed_a_server, gets_no_late_leave)
{
    this->fleet.run(40s);
    const auto verdicts = this->report(this->second, "entry-2", "s1");
    this->fleet.run(core::crash_permit_lease);
    const auto& late = std::get<core::crash_verdict>(verdicts[0].message);
    EXPECT_EQ(this->second.receive(late, this->fleet.now), false);
}

// Guards against unbounded memory under a stream of different requests.
TEST(crash_suspects, are_bounded)
{
    single_owner fleet;
    core::crash_blocks entry(0);
    for (std::uint64_t index = 0; index < 5000; ++index)
    {
        const core::digest request{index, index};
        fleet.receive("entry", entry.report(request, "a", "s1", fleet.now));
        entry.receive({0, request, true, 1min}, fleet.now);
    }
    EXPECT_EQ(fleet.owner.suspects(), core::crash_suspect_limit);
    EXPECT_EQ(entry.size(), core::crash_suspect_limit);
}

// Guards against a request that takes more servers than the limit. Its caller
// sends it again and again through random instances; every server that runs it
// dies. Reports are repeated until they are answered; verdicts are lost,
// repeated and arrive late. A new send follows the round that spreads blocks.
RC_GTEST_PROP(a_crashing_request,
              takes_at_most_the_stated_number_of_servers,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    single_owner fleet;
    std::vector<core::crash_blocks> entries(5, core::crash_blocks(0));
    std::vector<std::pair<std::size_t, core::crash_verdict>> late;
    std::set<std::string> crashed;
    const core::digest request{3, 5};
    const auto deliver = [&](std::size_t to, const core::crash_verdict& verdict)
    {
        late.emplace_back(to, verdict);
        return entries[to].receive(verdict, fleet.now);
    };
    const auto crash_on_some_server = [&](std::size_t at)
    {
        const std::string server = "s" + std::to_string(random() % 12);
        crashed.insert(server);
        const auto report =
            entries[at].report(request, "logbook", server, fleet.now);
        std::optional<bool> leave;
        for (int tries = 0; tries < 40 && !leave; ++tries)
        {
            fleet.run(500ms);
            const std::string name = "entry-" + std::to_string(at);
            for (const auto& sent : fleet.receive(name, report))
            {
                if (random() % 3 != 0 && sent.to == name)
                {
                    leave = deliver(
                        at, std::get<core::crash_verdict>(sent.message));
                }
            }
        }
        return leave.value_or(false);
    };
    for (int send = 0; send < 20; ++send)
    {
        const std::size_t at = random() % entries.size();
        if (!late.empty() && random() % 2 == 0)
        {
            const auto& [to, verdict] = late[random() % late.size()];
            entries[to].receive(verdict, fleet.now);
        }
        bool again = !entries[at].is_blocked(request, fleet.now);
        while (again)
        {
            again = crash_on_some_server(at);
            RC_ASSERT(crashed.size() <= core::crash_server_limit);
        }
        for (const auto& verdict : fleet.owner.blocked(10, fleet.now))
        {
            for (core::crash_blocks& entry : entries)
            {
                entry.receive(verdict, fleet.now);
            }
        }
    }
}
