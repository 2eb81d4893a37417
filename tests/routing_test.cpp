#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/routing.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

core::backend_server server(const std::string& name, const std::string& centre)
{
    core::backend_server made;
    made.name = name;
    made.address = "127.0.0.1";
    made.data_centre = centre;
    made.slots = 3;
    made.connections = 360;
    return made;
}

core::document document_with(std::size_t servers)
{
    core::document made;
    made.data_centres = {{"haiphong-a", "mien-bac"},
                         {"vungtau-a", "mien-bac"},
                         {"namdinh-b", "mien-bac"}};
    core::service specbook;
    specbook.name = "specbook";
    for (std::size_t index = 0; index < servers; ++index)
    {
        specbook.servers.push_back(server("s" + std::to_string(index),
                                          made.data_centres[index % 3].name));
    }
    made.services.push_back(specbook);
    return made;
}

core::server_block
block(const std::string& name, core::server_state state, core::time_point until)
{
    return {name, state, until,
            state == core::server_state::path_cut ? "p" : ""};
}

} // namespace

class an_instance_in_haiphong : public testing::Test
{
protected:
    void SetUp() override
    {
        this->table.apply(this->document, this->now);
    }

    std::string choose(const std::vector<std::string>& excluded = {})
    {
        const auto chosen =
            this->table.choose("specbook", excluded, this->random, this->now);
        return chosen ? chosen->server.name : "";
    }

    std::map<std::string, int> choose_many(int count)
    {
        std::map<std::string, int> counts;
        for (int index = 0; index < count; ++index)
        {
            ++counts[this->choose()];
        }
        return counts;
    }

    void complete(const std::string& name,
                  core::work_outcome outcome,
                  core::duration latency)
    {
        this->table.started("specbook", name);
        this->table.finished("specbook", name, outcome, latency, this->now);
    }

    core::document document = document_with(9);
    core::server_table table{"entry-1", "haiphong-a", "mien-bac"};
    std::mt19937_64 random{7};
    core::time_point now{10s};
};

// Guards against traffic that crosses data centres without need.
TEST_F(an_instance_in_haiphong, uses_only_near_servers_while_they_are_idle)
{
    for (const auto& [name, count] : this->choose_many(300))
    {
        EXPECT_TRUE(name == "s0" || name == "s3" || name == "s6") << name;
        EXPECT_GT(count, 50) << name;
    }
}

// Guards against a queue at near servers while farther ones are idle.
TEST_F(an_instance_in_haiphong, overflows_when_the_near_servers_are_busy)
{
    for (const char* name : {"s0", "s3", "s6"})
    {
        for (int index = 0; index < 3; ++index)
        {
            this->table.started("specbook", name);
        }
    }
    for (const auto& [name, count] : this->choose_many(100))
    {
        EXPECT_FALSE(name == "s0" || name == "s3" || name == "s6")
            << name << ' ' << count;
    }
}

// Guards against work for a server that fails quickly and so looks idle.
TEST_F(an_instance_in_haiphong, prefers_servers_that_do_not_fail)
{
    for (int index = 0; index < 20; ++index)
    {
        this->complete("s0", core::work_outcome::failed, 1ms);
        this->complete("s3", core::work_outcome::succeeded, 20ms);
        this->complete("s6", core::work_outcome::succeeded, 20ms);
    }
    EXPECT_LT(this->choose_many(300)["s0"], 60);
}

// Guards against a retry that meets the same server again.
TEST_F(an_instance_in_haiphong, leaves_out_the_servers_a_retry_has_tried)
{
    const std::vector<std::string> tried{"s0", "s3", "s6", "s1"};
    for (int index = 0; index < 100; ++index)
    {
        const std::string name = this->choose(tried);
        EXPECT_EQ(std::count(tried.begin(), tried.end(), name), 0) << name;
        EXPECT_FALSE(name.empty());
    }
}

// Guards against statistics lost, and removed servers used, at each change.
TEST_F(an_instance_in_haiphong, keeps_statistics_over_a_new_document)
{
    this->complete("s0", core::work_outcome::failed, 1ms);
    this->table.started("specbook", "s3");
    auto& servers = this->document.services[0].servers;
    std::erase_if(servers,
                  [](const auto& each)
                  {
                      return each.name == "s6";
                  });
    this->table.apply(this->document, this->now);
    for (const core::server_view& shown : this->table.view(this->now))
    {
        EXPECT_NE(shown.server, "s6");
        EXPECT_EQ(shown.error_fraction > 0.0, shown.server == "s0");
        EXPECT_EQ(shown.in_flight, shown.server == "s3" ? 1U : 0U);
    }
    EXPECT_EQ(this->choose_many(300)["s6"], 0);
}

// Guards against blame on a server for requests that waited too long here.
TEST(an_attempt_that_timed_out, counts_only_with_a_fair_chance)
{
    EXPECT_EQ(core::outcome_of_timeout(40ms, 20ms),
              core::work_outcome::abandoned);
    EXPECT_EQ(core::outcome_of_timeout(2s, 20ms),
              core::work_outcome::timed_out);
}

class after_an_ejection : public an_instance_in_haiphong
{
protected:
    void SetUp() override
    {
        an_instance_in_haiphong::SetUp();
        this->table.set_blocks(
            "specbook",
            {block("s0", core::server_state::ejected, this->now + 5s),
             block("s3", core::server_state::path_cut, this->now + 5s)},
            this->now);
    }
};

// Guards against direct work for servers that the owner has taken out.
TEST_F(after_an_ejection, uses_neither_the_ejected_nor_the_cut_server)
{
    auto counts = this->choose_many(300);
    EXPECT_EQ(counts["s0"] + counts["s3"], 0);
    const auto forwarded =
        this->table.choose_forwarded("specbook", {}, this->random, this->now);
    ASSERT_TRUE(forwarded);
    EXPECT_EQ(forwarded->server.name, "s3");
    EXPECT_EQ(forwarded->via, "p");
}

// Guards against full load on a server that has just come back.
TEST_F(after_an_ejection, returns_the_server_slowly)
{
    this->now += 5s;
    EXPECT_LT(this->choose_many(1000)["s0"], 200);
    this->now += core::slow_start_period;
    EXPECT_GT(this->choose_many(1000)["s0"], 250);
}

// Guards against an operator's readmission that waits for a lease.
TEST_F(after_an_ejection, an_operators_readmission_counts_at_once)
{
    this->document.services[0].servers[0].command =
        core::operator_command::readmit;
    this->table.apply(this->document, this->now);
    EXPECT_GT(this->choose_many(1000)["s0"], 0);
}

// Guards against an older owner document: more servers are drained here.
TEST_F(after_an_ejection, drops_blocks_that_would_break_the_floor_here)
{
    for (std::size_t index : {1U, 2U, 4U, 5U})
    {
        this->document.services[0].servers[index].command =
            core::operator_command::drain;
    }
    this->table.apply(this->document, this->now);
    EXPECT_GT(this->choose_many(1000)["s0"], 0);
}

// Guards against a choice of a server that must not get new work.
RC_GTEST_PROP(server_table_property,
              never_chooses_a_server_that_is_out,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    core::document document = document_with(1 + random() % 30);
    document.services[0].policy.healthy_floor = 0.0;
    core::server_table table("entry-1", "vungtau-a", "mien-bac");
    table.set_instances(1 + random() % 900);
    core::time_point now{1s};
    std::map<std::string, core::time_point> blocked_until;
    auto& servers = document.services[0].servers;
    for (int step = 0; step < 100; ++step)
    {
        now += std::chrono::milliseconds(random() % 500);
        for (int change = 0; change < 2; ++change)
        {
            servers[random() % servers.size()].command =
                static_cast<core::operator_command>(random() % 5);
        }
        std::erase_if(blocked_until,
                      [&](const auto& each)
                      {
                          const auto at =
                              std::find_if(servers.begin(), servers.end(),
                                           [&](const auto& server)
                                           {
                                               return server.name == each.first;
                                           });
                          return at->command == core::operator_command::readmit;
                      });
        table.apply(document, now);
        if (random() % 3 == 0)
        {
            std::vector<core::server_block> blocks;
            blocked_until.clear();
            for (const core::backend_server& each : servers)
            {
                if (random() % 3 == 0)
                {
                    const auto state = random() % 2 == 0
                                           ? core::server_state::ejected
                                           : core::server_state::path_cut;
                    const auto until =
                        now + std::chrono::milliseconds(random() % 3000);
                    blocks.push_back(block(each.name, state, until));
                    blocked_until[each.name] = until;
                }
            }
            table.set_blocks("specbook", blocks, now);
        }
        const std::string excluded = servers[random() % servers.size()].name;
        const auto chosen = table.choose("specbook", {excluded}, random, now);
        if (!chosen)
        {
            continue;
        }
        const std::string& name = chosen->server.name;
        const auto at = std::find_if(servers.begin(), servers.end(),
                                     [&](const auto& each)
                                     {
                                         return each.name == name;
                                     });
        RC_ASSERT(name != excluded);
        RC_ASSERT(at->command == core::operator_command::none ||
                  at->command == core::operator_command::readmit);
        RC_ASSERT(!blocked_until.contains(name) || blocked_until[name] <= now);
    }
}

// Guards against more connections at a server than it accepts, and against
// servers that hardly any instance uses, at the size to design for.
TEST(server_table_subsets, spread_the_instances_evenly)
{
    core::document document = document_with(27);
    std::map<std::string, int> users;
    std::mt19937_64 random(3);
    constexpr int instances = 830;
    for (int index = 0; index < instances; ++index)
    {
        core::server_table table("entry-" + std::to_string(index), "none",
                                 "mien-bac");
        table.set_instances(instances);
        table.apply(document, core::time_point{1s});
        std::map<std::string, int> used;
        for (int request = 0; request < 300; ++request)
        {
            ++used[table.choose("specbook", {}, random, core::time_point{1s})
                       ->server.name];
        }
        EXPECT_GE(used.size(), core::minimum_subset);
        for (const auto& [name, count] : used)
        {
            ++users[name];
        }
    }
    EXPECT_EQ(users.size(), 27U);
    for (const auto& [name, count] : users)
    {
        EXPECT_LT(count, 360) << name;
        EXPECT_GT(count, 200) << name;
    }
}
