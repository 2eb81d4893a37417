/// Instances that talk to each other over loopback, and a request that crashes
/// servers while the owner of the service changes.
#include "gateway_fixture.hpp"

#include <fmt/format.h>
#include <medlarbarrow/net/fleet.hpp>
#include <unistd.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t instance_count = 6;
constexpr std::size_t server_count = 12;
constexpr std::uint64_t poison = 99;
constexpr auto time_limit = 10s;

/// One instance with an event loop of its own, so that it can freeze.
struct fleet_member
{
    fleet_member(const std::string& own_address,
                 std::uint16_t port,
                 const std::string& seed,
                 std::uint64_t incarnation)
        : address(own_address)
    {
        for (std::size_t number = 0; number < server_count; ++number)
        {
            core::announced_server server;
            server.server.name = "s" + std::to_string(number);
            server.server.slots = 3;
            server.service = "desk";
            server.started = 1;
            this->servers.put(server);
        }
        net::fleet_settings settings;
        settings.self = {own_address, port};
        settings.seeds = {seed};
        settings.incarnation = incarnation;
        this->peers =
            net::fleet::create(this->io, settings, this->servers,
                               tests::fleet_callbacks_without_source())
                .value();
        this->peers->start();
    }

    std::string address;
    boost::asio::io_context io;
    core::server_registry servers;
    std::unique_ptr<net::fleet> peers;
    bool frozen = false;
};

} // namespace

/// Given six instances that know each other.
class a_fleet_with_owners : public testing::Test
{
protected:
    void SetUp() override
    {
        this->network = fmt::format("127.{}.{}", 20 + ::getpid() / 250 % 200,
                                    1 + ::getpid() % 250);
        this->port = tests::free_port();
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            this->members.emplace_back();
            this->start(index);
        }
        this->wait_until_joined();
    }

    std::string address_of(std::size_t index) const
    {
        return fmt::format("{}.{}", this->network, index + 1);
    }

    void start(std::size_t index)
    {
        // The first two are each other's seed.
        this->members[index] = std::make_unique<fleet_member>(
            this->address_of(index), this->port,
            this->address_of(index == 0 ? 1 : 0), ++this->last_incarnation);
    }

    void kill(std::size_t index)
    {
        this->members[index].reset();
    }

    void stop(std::size_t index)
    {
        this->members[index]->peers->leave();
        this->run_for(100ms);
        this->kill(index);
    }

    void poll()
    {
        for (const auto& member : this->members)
        {
            if (member && !member->frozen)
            {
                member->io.restart();
                member->io.poll();
            }
        }
        std::this_thread::sleep_for(1ms);
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + time_limit;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->poll();
        }
        return condition();
    }

    void run_for(std::chrono::milliseconds time)
    {
        const auto end = std::chrono::steady_clock::now() + time;
        this->run_until(
            [end]
            {
                return std::chrono::steady_clock::now() >= end;
            });
    }

    void wait_until_joined()
    {
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return std::all_of(this->members.begin(), this->members.end(),
                                   [](const auto& member)
                                   {
                                       return member->peers->live_count() ==
                                              instance_count;
                                   });
            }));
    }

    /// Asks for a server for the request through the instance.
    core::place_answer ask(std::size_t index, core::grant_id& grant)
    {
        core::place_request request;
        request.time_to_objective = 2s;
        request.time_to_deadline = 4s;
        request.content_digest = poison;
        std::optional<core::place_answer> answer;
        grant = this->members[index]->peers->place(
            "desk", request,
            [&answer](const core::place_answer& given)
            {
                answer = given;
            });
        EXPECT_TRUE(this->run_until(
            [&answer]
            {
                return answer.has_value();
            }));
        return answer.value_or(core::queued{});
    }

    /// Sends the request through the instance; it crashes the server that it
    /// gets. False if it is blocked.
    bool send_poison(std::size_t index)
    {
        core::grant_id grant;
        const core::place_answer answer = this->ask(index, grant);
        if (const auto* refused = std::get_if<core::place_refused>(&answer))
        {
            EXPECT_EQ(refused->code, core::result_code::request_blocked);
            return false;
        }
        ++this->crashes;
        this->members[index]->peers->report_send_end(
            {grant, core::send_outcome::connection_lost});
        this->run_for(30ms);
        return true;
    }

    /// Index of the instance that owns the service while all of them run.
    std::size_t owner() const
    {
        core::membership all(0, 1, 1);
        std::map<core::instance_address, std::size_t> index_of;
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            const auto address =
                boost::asio::ip::make_address_v4(this->address_of(index))
                    .to_uint();
            all.record_message(address, 1, core::boot_clock::now());
            index_of[address] = index;
        }
        // The observer itself owns nothing.
        for (const core::instance_address owner : all.owners(
                 core::owner_key({"desk", 0}), 2, core::boot_clock::now()))
        {
            if (owner != 0)
            {
                return index_of.at(owner);
            }
        }
        return 0;
    }

    /// An instance that is not the owner.
    std::size_t bystander() const
    {
        return (this->owner() + 1) % instance_count;
    }

    std::string network;
    std::uint16_t port = 0;
    std::uint64_t last_incarnation = 1000;
    std::vector<std::unique_ptr<fleet_member>> members;
    unsigned crashes = 0;
};

/// And a request that has crashed three servers, each through another instance.
class a_request_that_crashed_three_servers : public a_fleet_with_owners
{
protected:
    void SetUp() override
    {
        a_fleet_with_owners::SetUp();
        for (const std::size_t index : {0U, 1U, 2U})
        {
            ASSERT_TRUE(this->send_poison(index));
        }
        ASSERT_FALSE(this->send_poison(this->bystander()));
    }
};

// Guards against a request that crashes three more servers after its owner was
// killed, because only the owner knew of the crashes.
TEST_F(a_request_that_crashed_three_servers,
       is_blocked_after_its_owner_is_killed)
{
    this->kill(this->owner());
    EXPECT_FALSE(this->send_poison(this->bystander()));
}

// Guards against the same after a planned stop of the owner.
TEST_F(a_request_that_crashed_three_servers,
       is_blocked_after_its_owner_is_stopped)
{
    this->stop(this->owner());
    EXPECT_FALSE(this->send_poison(this->bystander()));
}

// Guards against the same while the owner is frozen, and against an owner that
// wakes and has not heard of the crashes in between.
TEST_F(a_request_that_crashed_three_servers,
       is_blocked_while_its_owner_is_frozen_and_after_that)
{
    this->members[this->owner()]->frozen = true;
    EXPECT_FALSE(this->send_poison(this->bystander()));
    this->run_for(500ms);
    this->members[this->owner()]->frozen = false;
    this->run_for(500ms);
    EXPECT_FALSE(this->send_poison(this->bystander()));
    EXPECT_FALSE(this->send_poison(this->owner()));
}

// Guards against an earlier owner that comes back without what it knew
// (BUDGET of the review's case 5).
TEST_F(a_request_that_crashed_three_servers,
       is_blocked_after_its_earlier_owner_returns)
{
    this->kill(this->owner());
    this->run_for(500ms);
    this->start(this->owner());
    this->wait_until_joined();
    EXPECT_FALSE(this->send_poison(this->bystander()));
    EXPECT_FALSE(this->send_poison(this->owner()));
}

// Guards against crashes of the present owner's time that only it counts: they
// add up over the owners, and the third one blocks the request.
TEST_F(a_fleet_with_owners, count_crashes_over_a_change_of_the_owner)
{
    EXPECT_TRUE(this->send_poison(this->bystander()));
    EXPECT_TRUE(this->send_poison(this->bystander()));
    this->kill(this->owner());
    this->send_poison(this->bystander());
    this->send_poison(this->bystander());
    EXPECT_EQ(this->crashes, 3U);
}

// Guards against a request that crashes more than three servers while all
// instances are restarted in turn and it comes again and again.
TEST_F(a_fleet_with_owners, count_crashes_while_all_are_restarted_in_turn)
{
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        const std::size_t other = (index + 1) % instance_count;
        this->send_poison(other);
        this->stop(index);
        this->send_poison(other);
        this->start(index);
        this->run_for(200ms);
        this->send_poison(other);
        this->wait_until_joined();
    }
    EXPECT_EQ(this->crashes, 3U);
}
