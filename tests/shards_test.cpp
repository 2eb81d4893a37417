#include <algorithm>
#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/shards.hpp>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};
constexpr std::uint64_t test_seed = 11;

core::announced_server server(std::size_t number, std::uint32_t slots = 3)
{
    core::announced_server announced;
    announced.server.name = "s" + std::to_string(number);
    announced.server.slots = slots;
    announced.service = "specbook";
    announced.started = 1;
    return announced;
}

} // namespace

/// Given an instance that knows the servers of one service.
class a_shard_directory : public testing::Test
{
protected:
    void add_servers(std::size_t count)
    {
        for (std::size_t number = 0; number < count; ++number)
        {
            this->registry.put(server(number));
        }
    }

    core::server_registry registry;
    core::shard_directory directory{this->registry, test_seed};
};

// Guards against a small service that is split, and so loses the view of all
// its requests in one place.
TEST_F(a_shard_directory, leaves_a_small_service_whole)
{
    this->add_servers(25);
    EXPECT_EQ(this->directory.count("specbook"), 1U);
    EXPECT_EQ(this->directory.servers({"specbook", 0}).size(), 25U);
    EXPECT_EQ(this->directory.draw("specbook", start).size(), 1U);
    EXPECT_EQ(core::owner_key({"specbook", 0}), "service specbook");
}

// Guards against a request that finds no owner while no server is known.
TEST_F(a_shard_directory, names_the_first_shard_of_an_unknown_service)
{
    EXPECT_EQ(this->directory.draw("specbook", start),
              (std::vector<core::shard_id>{{"specbook", 0}}));
    EXPECT_TRUE(this->directory.servers({"specbook", 0}).empty());
    EXPECT_TRUE(this->directory.servers({"specbook", 9}).empty());
}

// Guards against a server that two owners fill or that none uses, and against
// an owner that has to decide about many more servers than the others.
TEST_F(a_shard_directory, gives_each_server_of_a_large_service_to_one_shard)
{
    this->add_servers(411);
    const std::uint32_t count = this->directory.count("specbook");
    ASSERT_EQ(count, 9U);
    std::set<std::string> names;
    for (std::uint32_t number = 0; number < count; ++number)
    {
        const auto& servers = this->directory.servers({"specbook", number});
        EXPECT_GE(servers.size(), 411 / count / 2) << number;
        EXPECT_LE(servers.size(), 411 / count * 2) << number;
        for (const core::announced_server* member : servers)
        {
            EXPECT_TRUE(names.insert(member->server.name).second);
        }
    }
    EXPECT_EQ(names.size(), 411U);
}

// Guards against servers that lose their owner's state although only another
// shard was added.
TEST(a_shard, keeps_its_servers_when_another_is_added)
{
    for (std::uint32_t count = 1; count < 30; ++count)
    {
        for (std::size_t number = 0; number < 500; ++number)
        {
            const std::string name = "s" + std::to_string(number);
            const std::uint32_t before = core::shard_of(name, count);
            const std::uint32_t after = core::shard_of(name, count + 1);
            EXPECT_TRUE(after == before || after == count) << name;
        }
    }
}

// Guards against requests that are not spread in proportion to the slots, so
// that one shard is full while another is idle.
TEST_F(a_shard_directory, draws_shards_in_proportion_to_their_slots)
{
    this->add_servers(411);
    constexpr unsigned draws = 20'000;
    std::map<std::uint32_t, double> chosen;
    for (unsigned count = 0; count < draws; ++count)
    {
        const auto drawn = this->directory.draw("specbook", start);
        ASSERT_EQ(drawn.size(), 2U);
        EXPECT_NE(drawn[0], drawn[1]);
        chosen[drawn[0].number] += 1.0 / draws;
    }
    for (const auto& [number, share] : chosen)
    {
        const double slot_share =
            static_cast<double>(
                this->directory.servers({"specbook", number}).size()) /
            411;
        EXPECT_NEAR(share, slot_share, 0.02) << number;
    }
}

// Guards against calls to an owner that has just said that it is full while
// another has room, and against a load that is believed for too long.
TEST_F(a_shard_directory, avoids_a_shard_while_it_is_known_to_be_full)
{
    this->add_servers(96);
    ASSERT_EQ(this->directory.count("specbook"), 2U);
    this->directory.record_load({"specbook", 1}, 1.4, start);
    this->directory.record_load({"specbook", 0}, 0.4, start);
    EXPECT_TRUE(this->directory.is_full({"specbook", 1}, start + 100ms));
    for (unsigned count = 0; count < 100; ++count)
    {
        EXPECT_EQ(
            this->directory.draw("specbook", start + 100ms).front().number, 0U);
    }
    EXPECT_FALSE(this->directory.is_full({"specbook", 1}, start + 5s));
}
