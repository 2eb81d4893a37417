#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/routing.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

core::backend_server make_server(const std::string& name,
                                 const std::string& centre)
{
    core::backend_server server;
    server.name = name;
    server.address = "127.0.0.1";
    server.data_centre = centre;
    server.slots = 3;
    server.connections = 360;
    return server;
}

core::document make_document(std::size_t servers)
{
    core::document document;
    document.data_centres = {{"haiphong-a", "mien-bac"},
                             {"vungtau-a", "mien-bac"},
                             {"namdinh-b", "mien-bac"}};
    core::service specbook;
    specbook.name = "specbook";
    for (std::size_t index = 0; index < servers; ++index)
    {
        specbook.servers.push_back(
            make_server("s" + std::to_string(index),
                        document.data_centres[index % 3].name));
    }
    document.services.push_back(specbook);
    return document;
}

core::server_block make_block(const std::string& name,
                              core::server_state state,
                              core::time_point until)
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
        const auto choice =
            this->table.choose("specbook", excluded, this->random, this->now);
        return choice ? choice->server.name : "";
    }

    std::map<std::string, int> choose_many(int count)
    {
        std::map<std::string, int> times_chosen;
        for (int index = 0; index < count; ++index)
        {
            ++times_chosen[this->choose()];
        }
        return times_chosen;
    }

    void complete(const std::string& name,
                  core::attempt_outcome outcome,
                  core::duration latency)
    {
        this->table.attempt_started("specbook", name);
        this->table.attempt_finished("specbook", name, outcome, latency,
                                     this->now);
    }

    core::document document = make_document(9);
    core::server_table table{"entry-1", "haiphong-a", "mien-bac"};
    std::mt19937_64 random{7};
    core::time_point now{10s};
};

// Guards against requests to other data centres while servers of the instance's
// own data centre are idle.
TEST_F(an_instance_in_haiphong, uses_only_near_servers_while_they_are_idle)
{
    for (const auto& [name, count] : this->choose_many(300))
    {
        EXPECT_TRUE(name == "s0" || name == "s3" || name == "s6") << name;
        EXPECT_GT(count, 50) << name;
    }
}

// Guards against queues at the near servers while servers of other data centres
// are idle.
TEST_F(an_instance_in_haiphong, overflows_when_the_near_servers_are_busy)
{
    for (const char* name : {"s0", "s3", "s6"})
    {
        for (int index = 0; index < 3; ++index)
        {
            this->table.attempt_started("specbook", name);
        }
    }
    for (const auto& [name, count] : this->choose_many(100))
    {
        EXPECT_FALSE(name == "s0" || name == "s3" || name == "s6")
            << name << ' ' << count;
    }
}

// Guards against sending most requests to a server that fails quickly and so
// has few requests in flight and a low latency.
TEST_F(an_instance_in_haiphong, prefers_servers_that_do_not_fail)
{
    for (int index = 0; index < 20; ++index)
    {
        this->complete("s0", core::attempt_outcome::failed, 1ms);
        this->complete("s3", core::attempt_outcome::succeeded, 20ms);
        this->complete("s6", core::attempt_outcome::succeeded, 20ms);
    }
    EXPECT_LT(this->choose_many(300)["s0"], 60);
}

// Guards against a retry on a server that an earlier attempt has used.
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

// Guards against a new document that resets the statistics of the remaining
// servers or leaves a removed server in use.
TEST_F(an_instance_in_haiphong, keeps_statistics_over_a_new_document)
{
    this->complete("s0", core::attempt_outcome::failed, 1ms);
    this->table.attempt_started("specbook", "s3");
    auto& servers = this->document.services[0].servers;
    std::erase_if(servers,
                  [](const auto& server)
                  {
                      return server.name == "s6";
                  });
    this->table.apply(this->document, this->now);
    for (const core::server_view& row : this->table.view(this->now))
    {
        EXPECT_NE(row.server, "s6");
        EXPECT_EQ(row.error_fraction > 0.0, row.server == "s0");
        EXPECT_EQ(row.in_flight, row.server == "s3" ? 1U : 0U);
    }
    EXPECT_EQ(this->choose_many(300)["s6"], 0);
}

// Guards against counting a timeout against a server if the request had waited
// in the instance's queue until too little time was left for an answer.
TEST(an_attempt_that_timed_out, counts_only_if_a_healthy_server_had_enough_time)
{
    EXPECT_EQ(core::classify_timeout(40ms, 20ms),
              core::attempt_outcome::abandoned);
    EXPECT_EQ(core::classify_timeout(2s, 20ms),
              core::attempt_outcome::timed_out);
}

// The owner has ejected s0 and cut the path to s3.
class after_an_ejection : public an_instance_in_haiphong
{
protected:
    void SetUp() override
    {
        an_instance_in_haiphong::SetUp();
        this->table.set_blocks(
            "specbook",
            {make_block("s0", core::server_state::ejected, this->now + 5s),
             make_block("s3", core::server_state::path_cut, this->now + 5s)},
            this->now);
    }
};

// Guards against direct requests to servers that the owner has ejected or whose
// path it has cut.
TEST_F(after_an_ejection, uses_neither_the_ejected_server_nor_the_cut_path)
{
    auto counts = this->choose_many(300);
    EXPECT_EQ(counts["s0"] + counts["s3"], 0);
    const auto forwarded =
        this->table.choose_forwarded("specbook", {}, this->random, this->now);
    ASSERT_TRUE(forwarded);
    EXPECT_EQ(forwarded->server.name, "s3");
    EXPECT_EQ(forwarded->via, "p");
}

// Guards against full load on a server that has just returned to service.
TEST_F(after_an_ejection, returns_the_server_slowly)
{
    this->now += 5s;
    EXPECT_LT(this->choose_many(1000)["s0"], 200);
    this->now += core::slow_start_period;
    EXPECT_GT(this->choose_many(1000)["s0"], 250);
}

// Guards against an operator's readmission that takes effect only at the end of
// the ejection lease.
TEST_F(after_an_ejection, an_operators_readmission_takes_effect_at_once)
{
    this->document.services[0].servers[0].command =
        core::operator_command::readmit;
    this->table.apply(this->document, this->now);
    EXPECT_GT(this->choose_many(1000)["s0"], 0);
}

// Guards against an ejection that violates the floor because the owner decided
// with an older document, in which fewer servers were drained.
TEST_F(after_an_ejection, drops_blocks_that_violate_the_floor_of_its_document)
{
    for (std::size_t index : {1U, 2U, 4U, 5U})
    {
        this->document.services[0].servers[index].command =
            core::operator_command::drain;
    }
    this->table.apply(this->document, this->now);
    EXPECT_GT(this->choose_many(1000)["s0"], 0);
}

// Guards against choosing a server that is excluded, blocked or kept out of
// service by an operator command.
RC_GTEST_PROP(server_table_property,
              never_chooses_a_server_that_is_out_of_service,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    core::document document = make_document(1 + random() % 30);
    document.services[0].policy.healthy_floor = 0.0;
    core::server_table table("entry-1", "vungtau-a", "mien-bac");
    table.set_instance_count(1 + random() % 900);
    core::time_point now{1s};
    std::map<std::string, core::time_point> blocked_until;
    auto& servers = document.services[0].servers;
    for (int step = 0; step < 100; ++step)
    {
        now += std::chrono::milliseconds(random() % 500);
        for (int update = 0; update < 2; ++update)
        {
            servers[random() % servers.size()].command =
                static_cast<core::operator_command>(random() % 5);
        }
        std::erase_if(blocked_until,
                      [&](const auto& entry)
                      {
                          const auto it = std::find_if(
                              servers.begin(), servers.end(),
                              [&](const auto& server)
                              {
                                  return server.name == entry.first;
                              });
                          return it->command == core::operator_command::readmit;
                      });
        table.apply(document, now);
        if (random() % 3 == 0)
        {
            std::vector<core::server_block> blocks;
            blocked_until.clear();
            for (const core::backend_server& server : servers)
            {
                if (random() % 3 == 0)
                {
                    const auto state = random() % 2 == 0
                                           ? core::server_state::ejected
                                           : core::server_state::path_cut;
                    const auto until =
                        now + std::chrono::milliseconds(random() % 3000);
                    blocks.push_back(make_block(server.name, state, until));
                    blocked_until[server.name] = until;
                }
            }
            table.set_blocks("specbook", blocks, now);
        }
        const std::string excluded = servers[random() % servers.size()].name;
        const auto choice = table.choose("specbook", {excluded}, random, now);
        if (!choice)
        {
            continue;
        }
        const std::string& name = choice->server.name;
        const auto it = std::find_if(servers.begin(), servers.end(),
                                     [&](const auto& server)
                                     {
                                         return server.name == name;
                                     });
        RC_ASSERT(name != excluded);
        RC_ASSERT(it->command == core::operator_command::none ||
                  it->command == core::operator_command::readmit);
        RC_ASSERT(!blocked_until.contains(name) || blocked_until[name] <= now);
    }
}

// Guards against subsets that give a server more connections than it accepts,
// or leave servers that hardly any instance uses, at the fleet size of the
// design.
TEST(server_table_subsets, spread_the_instances_evenly)
{
    core::document document = make_document(27);
    std::map<std::string, int> instances_by_server;
    std::mt19937_64 random(3);
    constexpr int instances = 830;
    for (int index = 0; index < instances; ++index)
    {
        core::server_table table("entry-" + std::to_string(index), "none",
                                 "mien-bac");
        table.set_instance_count(instances);
        table.apply(document, core::time_point{1s});
        std::map<std::string, int> requests_by_server;
        for (int request = 0; request < 300; ++request)
        {
            ++requests_by_server[table
                                     .choose("specbook", {}, random,
                                             core::time_point{1s})
                                     ->server.name];
        }
        EXPECT_GE(requests_by_server.size(), core::min_subset_size);
        for (const auto& [name, count] : requests_by_server)
        {
            ++instances_by_server[name];
        }
    }
    EXPECT_EQ(instances_by_server.size(), 27U);
    for (const auto& [name, count] : instances_by_server)
    {
        EXPECT_LT(count, 360) << name;
        EXPECT_GT(count, 200) << name;
    }
}
