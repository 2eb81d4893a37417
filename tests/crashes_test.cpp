#include <gtest/gtest.h>
#include <medlarbarrow/core/crashes.hpp>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

// An owner that holds the majority of every bucket.
class single_owner
{
public:
    single_owner() : owners({"home", 1}, core::time_point{1s})
    {
        this->owners.set_max_instances(1);
        this->owners.set_live_instances({"home"}, this->now);
        this->advance(60s);
    }

    void advance(core::duration elapsed)
    {
        for (const auto end = this->now + elapsed; this->now < end;)
        {
            this->now += 500ms;
            this->owners.tick(this->now);
            this->owner.tick(this->owners, this->now);
        }
    }

    core::outbox receive(const std::string& sender,
                         const core::crash_report& report)
    {
        return this->owner.receive({sender, 1}, report, this->owners,
                                   this->now);
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
        const auto verdicts = this->report(this->first_entry, "entry-1", "s1");
        ASSERT_EQ(verdicts.size(), 1U);
        const auto& verdict =
            std::get<core::crash_verdict>(verdicts[0].message);
        EXPECT_EQ(this->first_entry.receive(verdict, this->fleet.now), true);
    }

    core::outbox report(core::crash_blocks& entry,
                        const std::string& name,
                        const std::string& server)
    {
        return this->fleet.receive(name, entry.report(this->request, "logbook",
                                                      server, this->fleet.now));
    }

    single_owner fleet;
    core::crash_blocks first_entry{0};
    core::crash_blocks second_entry{0};
    core::digest request{7, 9};
};

// Guards against a request that is sent to a third server after it has crashed
// two: both reporters must get the block.
TEST_F(a_request_that_crashed_a_server,
       is_blocked_at_all_reporters_after_a_second_server)
{
    EXPECT_FALSE(this->first_entry.is_blocked(this->request, this->fleet.now));
    const auto verdicts = this->report(this->second_entry, "entry-2", "s2");
    ASSERT_EQ(verdicts.size(), 2U);
    for (const core::outgoing& sent : verdicts)
    {
        auto& entry =
            sent.to == "entry-1" ? this->first_entry : this->second_entry;
        entry.receive(std::get<core::crash_verdict>(sent.message),
                      this->fleet.now);
    }
    EXPECT_TRUE(this->first_entry.is_blocked(this->request, this->fleet.now));
    EXPECT_TRUE(this->second_entry.is_blocked(this->request, this->fleet.now));
    EXPECT_EQ(this->fleet.owner.active_blocks(10, this->fleet.now).size(), 1U);
}

// Guards against a block of a request because one faulty server crashes
// repeatedly: two reports of the same server count as one.
TEST_F(a_request_that_crashed_a_server,
       is_not_blocked_after_a_second_crash_of_the_same_server)
{
    this->report(this->first_entry, "entry-1", "s1");
    EXPECT_TRUE(this->fleet.owner.active_blocks(10, this->fleet.now).empty());
}

// Guards against two retries of the request at the same time, which could crash
// two more servers: a second reporter is denied while the first may retry.
TEST_F(a_request_that_crashed_a_server,
       may_be_retried_by_one_reporter_at_a_time)
{
    const auto verdicts = this->report(this->second_entry, "entry-2", "s1");
    const auto& denied = std::get<core::crash_verdict>(verdicts[0].message);
    EXPECT_EQ(this->second_entry.receive(denied, this->fleet.now), false);
    EXPECT_FALSE(this->second_entry.is_blocked(this->request, this->fleet.now));
}

// Guards against a block that never expires, and against suspects and blocks
// that stay in memory for good.
TEST_F(a_request_that_crashed_a_server, is_forgotten_after_its_lifetime)
{
    const auto verdicts = this->report(this->first_entry, "entry-1", "s2");
    this->first_entry.receive(
        std::get<core::crash_verdict>(verdicts[0].message), this->fleet.now);
    this->fleet.advance(core::crash_lifetime + 1s);
    this->first_entry.tick(this->fleet.now);
    EXPECT_EQ(this->first_entry.size(), 0U);
    EXPECT_EQ(this->fleet.owner.suspect_count(), 0U);
}

// Guards against a retry on a permission that arrives after its lease, when the
// owner may have permitted another instance to retry.
TEST_F(a_request_that_crashed_a_server,
       is_not_retried_on_a_permission_that_arrives_late)
{
    this->fleet.advance(40s);
    const auto verdicts = this->report(this->second_entry, "entry-2", "s1");
    this->fleet.advance(core::crash_permit_lease);
    const auto& late = std::get<core::crash_verdict>(verdicts[0].message);
    EXPECT_EQ(this->second_entry.receive(late, this->fleet.now), false);
}

// Guards against unbounded memory when many different requests crash servers.
TEST(crash_suspects, are_limited_in_number)
{
    single_owner fleet;
    core::crash_blocks entry(0);
    for (std::uint64_t index = 0; index < 5000; ++index)
    {
        const core::digest request{index, index};
        fleet.receive("entry", entry.report(request, "a", "s1", fleet.now));
        entry.receive({0, request, true, 1min}, fleet.now);
    }
    EXPECT_EQ(fleet.owner.suspect_count(), core::crash_suspect_limit);
    EXPECT_EQ(entry.size(), core::crash_suspect_limit);
}

// Guards against a request that crashes more servers than the limit. Its caller
// sends it repeatedly through random instances, and every server that runs it
// crashes. Reports are repeated until they are answered. Verdicts are lost,
// repeated and arrive late. Blocks are distributed before each new send.
RC_GTEST_PROP(a_crashing_request,
              crashes_at_most_the_stated_number_of_servers,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    single_owner fleet;
    std::vector<core::crash_blocks> entries(5, core::crash_blocks(0));
    std::vector<std::pair<std::size_t, core::crash_verdict>> past_verdicts;
    std::set<std::string> crashed_servers;
    const core::digest request{3, 5};
    const auto deliver =
        [&](std::size_t receiver, const core::crash_verdict& verdict)
    {
        past_verdicts.emplace_back(receiver, verdict);
        return entries[receiver].receive(verdict, fleet.now);
    };
    const auto crash_random_server = [&](std::size_t entry_index)
    {
        const std::string server = "s" + std::to_string(random() % 12);
        crashed_servers.insert(server);
        const auto report =
            entries[entry_index].report(request, "logbook", server, fleet.now);
        std::optional<bool> permitted;
        for (int attempt = 0; attempt < 40 && !permitted; ++attempt)
        {
            fleet.advance(500ms);
            const std::string name = "entry-" + std::to_string(entry_index);
            for (const auto& sent : fleet.receive(name, report))
            {
                if (random() % 3 != 0 && sent.to == name)
                {
                    permitted =
                        deliver(entry_index,
                                std::get<core::crash_verdict>(sent.message));
                }
            }
        }
        return permitted.value_or(false);
    };
    for (int send = 0; send < 20; ++send)
    {
        const std::size_t entry_index = random() % entries.size();
        if (!past_verdicts.empty() && random() % 2 == 0)
        {
            const auto& [receiver, verdict] =
                past_verdicts[random() % past_verdicts.size()];
            entries[receiver].receive(verdict, fleet.now);
        }
        bool may_send = !entries[entry_index].is_blocked(request, fleet.now);
        while (may_send)
        {
            may_send = crash_random_server(entry_index);
            RC_ASSERT(crashed_servers.size() <= core::crash_server_limit);
        }
        for (const auto& verdict : fleet.owner.active_blocks(10, fleet.now))
        {
            for (core::crash_blocks& entry : entries)
            {
                entry.receive(verdict, fleet.now);
            }
        }
    }
}
