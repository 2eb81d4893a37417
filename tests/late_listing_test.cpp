/// Real instances whose view of the servers comes late: after a start, a freeze
/// or a restart of all, none uses a server that has left.
#include "planned_work_fixture.hpp"

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Longer than an instance waits for its own listing before it asks a peer.
constexpr milliseconds listing_lateness{700};

} // namespace

/// Given instances that follow a store, and servers.
class a_fleet_that_follows_a_store : public a_fleet_on_a_platform
{
protected:
    static constexpr std::size_t instance_count = 3;

    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        this->add_servers(4, 4);
        this->start_fleet(instance_count);
    }

    /// Answers to listings of the servers come late from now on.
    void delay_listings()
    {
        standin::store_faults faults;
        faults.late_prefix = "servers/";
        faults.lateness = listing_lateness;
        this->store.set_faults(faults);
    }

    std::uint64_t listings() const
    {
        return this->store.counts().listings;
    }

    /// Waits until the store has had so many calls that list. Each instance
    /// lists with two.
    void await_listings(std::uint64_t count)
    {
        ASSERT_TRUE(eventually(
            [this, count]
            {
                return this->listings() >= count;
            }));
    }

    bool uses(std::size_t index, const std::string& server) const
    {
        const std::string status =
            this->fetch(index, this->peers, "/status").body();
        return status.find("\"" + server + "\"") != std::string::npos;
    }

    bool all_use(const std::string& server) const
    {
        bool used = true;
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            used = used && this->uses(index, server);
        }
        return used;
    }

    /// Watches for longer than a late listing and the next one take.
    void expect_unused(const std::string& server) const
    {
        const auto end = steady::now() + 3 * listing_lateness;
        while (steady::now() < end)
        {
            std::this_thread::sleep_for(50ms);
        }
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            EXPECT_FALSE(this->uses(index, server))
                << this->instances[index]->log();
            // It has a list.
            EXPECT_TRUE(this->uses(index, "s-2"));
        }
    }

    void kill(std::size_t index)
    {
        this->instances[index]->send(SIGKILL);
        this->instances[index]->wait();
    }

    /// The server starts again under its name, and all instances use it.
    void expect_used_when_started_again(std::size_t server)
    {
        std::string item =
            make_server_item(this->servers[server - 1]->port(), 4);
        const std::string born = "1700000000000";
        item.replace(item.find(born), born.size(), "1700000009000");
        const std::string name = fmt::format("s-{}", server);
        this->store.put("servers/" + name, item);
        EXPECT_TRUE(eventually(
            [this, &name]
            {
                return this->all_use(name);
            }));
    }
};

// Guards against a server that has left and is used again by an instance that
// has started: its own listing, asked for before the server left, comes after
// the complete list of another instance.
TEST_F(a_fleet_that_follows_a_store, uses_no_left_server_after_a_restart)
{
    this->kill(0);
    this->delay_listings();
    const std::uint64_t before = this->listings();
    this->start_instance(0);
    this->await_listings(before + 2);
    this->store.remove("servers/s-1");
    this->expect_unused("s-1");
    this->expect_used_when_started_again(1);
}

// Guards against the same when all instances start together, each with a late
// listing, and a server leaves while they do.
TEST_F(a_fleet_that_follows_a_store, uses_no_left_server_after_all_restart)
{
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        this->kill(index);
    }
    // The first one lists at once, and watches.
    const std::uint64_t watches = this->store.counts().watches;
    this->start_instance(0);
    ASSERT_TRUE(eventually(
        [this, watches]
        {
            return this->store.counts().watches > watches;
        }));
    this->delay_listings();
    const std::uint64_t before = this->listings();
    this->start_instance(1);
    this->start_instance(2);
    this->await_listings(before + 4);
    this->store.remove("servers/s-1");
    this->expect_unused("s-1");
}

// Guards against the same at an instance that wakes from a freeze, with answers
// on its connections that are as old as the freeze, after many servers have
// come and gone.
TEST_F(a_fleet_that_follows_a_store, uses_no_left_server_after_a_freeze)
{
    // More than the removals that are kept.
    constexpr unsigned passing_servers = 400;
    this->instances[1]->send(SIGSTOP);
    this->store.put("servers/s-5", make_server_item(1, 4));
    this->store.remove("servers/s-1");
    for (unsigned index = 0; index < passing_servers; ++index)
    {
        const std::string key = fmt::format("servers/p-{}", index);
        this->store.put(key, make_server_item(1, 4));
        this->store.remove(key);
    }
    std::this_thread::sleep_for(1500ms);
    this->store.remove("servers/s-5");
    std::this_thread::sleep_for(500ms);
    this->instances[1]->send(SIGCONT);
    this->expect_unused("s-1");
    this->expect_unused("s-5");
    this->expect_unused("p-1");
}

// Guards against the same when the store has lost its history, so that all list
// again, with late answers, while a server leaves.
TEST_F(a_fleet_that_follows_a_store, uses_no_left_server_after_a_lost_history)
{
    this->delay_listings();
    const std::uint64_t before = this->listings();
    this->store.drop_history();
    this->await_listings(before + 2);
    this->store.remove("servers/s-1");
    this->expect_unused("s-1");
    this->expect_used_when_started_again(1);
}
