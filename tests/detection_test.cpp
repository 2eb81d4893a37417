#include <algorithm>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/detection.hpp>
#include <memory>
#include <random>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

core::service make_service(std::size_t servers, double floor)
{
    core::service service;
    service.name = "logbook";
    service.policy.healthy_floor = floor;
    for (std::size_t index = 0; index < servers; ++index)
    {
        core::backend_server server;
        server.name = "s" + std::to_string(index);
        service.servers.push_back(server);
    }
    return service;
}

} // namespace

// An owner and eight entry instances whose reports arrive without delay.
class a_service_with_reporters : public testing::Test
{
protected:
    void SetUp() override
    {
        this->owner.set_service(this->service, core::time_point{});
        for (int index = 0; index < 8; ++index)
        {
            this->logs.emplace_back(0);
        }
        this->run(12,
                  [](std::size_t, std::size_t)
                  {
                      return core::attempt_outcome::succeeded;
                  });
        this->events.clear();
    }

    // In each report period every instance sends three requests to every server
    // that it may use. `outcome` decides how they end, from the index of the
    // instance and of the server.
    template <class Outcome>
    void run(int periods, Outcome outcome)
    {
        for (int period = 0; period < periods; ++period)
        {
            this->now += core::report_period;
            for (std::size_t entry = 0; entry < this->logs.size(); ++entry)
            {
                this->send_work(entry, outcome);
                this->report(entry);
            }
            for (core::detection_event& event : this->owner.tick(this->now))
            {
                this->events.push_back(std::move(event));
            }
        }
    }

    template <class Outcome>
    void send_work(std::size_t entry, Outcome outcome)
    {
        for (std::size_t server_index = 0;
             server_index < this->service.servers.size(); ++server_index)
        {
            const std::string& name = this->service.servers[server_index].name;
            if (this->low_traffic &&
                ++this->turn_count % (2 * this->logs.size() + 1) != 0)
            {
                continue;
            }
            for (int request = 0; request < (this->low_traffic ? 1 : 3) &&
                                  !this->is_blocked(entry, name);
                 ++request)
            {
                this->logs[entry].record_outcome(
                    "logbook", name, outcome(entry, server_index),
                    this->latency_of(server_index));
            }
        }
    }

    core::duration latency_of(std::size_t server_index) const
    {
        return server_index == this->slow_server || this->all_slow ? 600ms
                                                                   : 20ms;
    }

    bool is_blocked(std::size_t entry, const std::string& name) const
    {
        const auto it = this->blocks.find(entry);
        return it != this->blocks.end() &&
               std::any_of(it->second.begin(), it->second.end(),
                           [&](const core::server_block& block)
                           {
                               return block.server == name &&
                                      block.until > this->now;
                           });
    }

    void report(std::size_t entry)
    {
        for (const auto& report : this->logs[entry].due_reports(this->now))
        {
            const auto verdict = this->owner.handle_report(
                "entry-" + std::to_string(entry), report, this->now);
            if (!verdict)
            {
                continue;
            }
            if (auto new_blocks =
                    this->logs[entry].apply_verdict(*verdict, this->now))
            {
                this->blocks[entry] = *new_blocks;
            }
        }
    }

    std::size_t count_events(core::detection_event_kind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->events.begin(), this->events.end(),
                          [kind](const auto& event)
                          {
                              return event.kind == kind;
                          }));
    }

    core::service service = make_service(10, 0.7);
    core::detector owner{"logbook", core::time_point{}};
    std::vector<core::observation_log> logs;
    std::map<std::size_t, std::vector<core::server_block>> blocks;
    std::vector<core::detection_event> events;
    core::time_point now{};
    std::size_t slow_server = 99;
    bool all_slow = false;
    bool low_traffic = false;
    std::size_t turn_count = 0;
};

// Guards against keeping a server in service that fails real requests, for
// example one that still answers health checks.
TEST_F(a_service_with_reporters, ejects_a_server_that_fails)
{
    const auto s3_fails = [](std::size_t, std::size_t server_index)
    {
        return server_index == 3 ? core::attempt_outcome::failed
                                 : core::attempt_outcome::succeeded;
    };
    this->run(3, s3_fails);
    EXPECT_EQ(this->owner.ejected_servers(), std::vector<std::string>{"s3"});
    EXPECT_TRUE(this->is_blocked(0, "s3"));
    EXPECT_FALSE(this->is_blocked(0, "s4"));
}

// Guards against a failing server that stays in service because evidence decays
// faster than little traffic adds to it. Each server gets about one request a
// second from all reporters together.
TEST_F(a_service_with_reporters,
       ejects_a_failing_server_of_a_service_with_little_traffic)
{
    this->low_traffic = true;
    const auto all_succeed = [](std::size_t, std::size_t)
    {
        return core::attempt_outcome::succeeded;
    };
    this->run(60, all_succeed);
    EXPECT_TRUE(this->owner.ejected_servers().empty());
    this->run(30,
              [](std::size_t, std::size_t server_index)
              {
                  return server_index == 3 ? core::attempt_outcome::failed
                                           : core::attempt_outcome::succeeded;
              });
    EXPECT_GE(this->count_events(core::detection_event_kind::ejected), 1U);
    for (const core::detection_event& event : this->events)
    {
        EXPECT_TRUE(event.server == "s3" || event.server.empty())
            << event.server;
    }
}

// Guards against keeping a server in service that never fails but is 30 times
// slower than the others.
TEST_F(a_service_with_reporters, ejects_a_server_that_is_slow)
{
    this->slow_server = 5;
    this->run(4,
              [](std::size_t, std::size_t)
              {
                  return core::attempt_outcome::succeeded;
              });
    EXPECT_EQ(this->owner.ejected_servers(), std::vector<std::string>{"s5"});
}

// Guards against an ejection for all instances when the server fails for one
// instance only. That instance must stop using it directly.
TEST_F(a_service_with_reporters, gives_a_path_cut_to_its_reporter_only)
{
    this->run(4,
              [](std::size_t entry, std::size_t server_index)
              {
                  return entry == 2 && server_index == 3
                             ? core::attempt_outcome::timed_out
                             : core::attempt_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected_servers().empty());
    EXPECT_TRUE(this->is_blocked(2, "s3"));
    EXPECT_FALSE(this->is_blocked(1, "s3"));
    ASSERT_FALSE(this->blocks[2].empty());
    EXPECT_EQ(this->blocks[2][0].state, core::server_state::path_cut);
    EXPECT_FALSE(this->blocks[2][0].via.empty());
}

// Guards against ejections when three of the eight instances lose the path to
// four servers, as when a data centre is cut off. The servers are healthy for
// the other instances.
TEST_F(a_service_with_reporters, ejects_nothing_when_a_data_centre_is_cut)
{
    this->run(8,
              [](std::size_t entry, std::size_t server_index)
              {
                  return entry < 3 && server_index < 4
                             ? core::attempt_outcome::timed_out
                             : core::attempt_outcome::succeeded;
              });
    EXPECT_EQ(this->count_events(core::detection_event_kind::ejected), 0U);
    EXPECT_GE(this->count_events(core::detection_event_kind::path_cut), 12U);
}

// Guards against ejecting the whole service because of one instance that has
// lost its network.
TEST_F(a_service_with_reporters, ignores_a_reporter_that_is_cut_off)
{
    this->run(6,
              [](std::size_t entry, std::size_t)
              {
                  return entry == 2 ? core::attempt_outcome::timed_out
                                    : core::attempt_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected_servers().empty());
    EXPECT_TRUE(this->logs[2].is_cut_off(this->now));
    EXPECT_FALSE(this->logs[1].is_cut_off(this->now));
}

// Guards against ejections when most servers time out because the service
// itself is slow or failing.
TEST_F(a_service_with_reporters, ejects_nothing_when_the_service_is_slow)
{
    this->all_slow = true;
    this->run(8,
              [](std::size_t, std::size_t server_index)
              {
                  return server_index % 3 != 0
                             ? core::attempt_outcome::timed_out
                             : core::attempt_outcome::succeeded;
              });
    EXPECT_EQ(this->count_events(core::detection_event_kind::ejected), 0U);
}

// Guards against ejecting a server because one request that crashes servers is
// repeated on it.
TEST_F(a_service_with_reporters, counts_a_crashing_request_once)
{
    const core::digest crashing_request{1, 2};
    for (int attempt = 0; attempt < 50; ++attempt)
    {
        this->logs[0].record_closed_connection("logbook", "s1",
                                               crashing_request);
        this->logs[1].record_closed_connection("logbook", "s1",
                                               crashing_request);
    }
    this->run(3,
              [](std::size_t, std::size_t)
              {
                  return core::attempt_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected_servers().empty());
}

class after_a_flap : public a_service_with_reporters
{
protected:
    // Lets s3 fail until it is ejected and returns the time until it is
    // readmitted, or zero if that takes more than 120 s.
    core::duration measure_next_hold()
    {
        this->events.clear();
        const core::time_point start_time = this->now;
        core::time_point ejected_at = start_time;
        while (this->now < start_time + 120s)
        {
            const bool s3_fails = this->owner.ejected_servers().empty();
            this->run(1,
                      [s3_fails](std::size_t, std::size_t server_index)
                      {
                          return s3_fails && server_index == 3
                                     ? core::attempt_outcome::failed
                                     : core::attempt_outcome::succeeded;
                      });
            if (this->count_events(core::detection_event_kind::readmitted) > 0)
            {
                return this->now - ejected_at;
            }
            ejected_at =
                this->owner.ejected_servers().empty() ? this->now : ejected_at;
        }
        return {};
    }
};

// Guards against a flapping server that gets its full share of requests, and
// fails them, after each readmission.
TEST_F(after_a_flap, each_hold_is_longer_than_the_one_before)
{
    const core::duration first = this->measure_next_hold();
    const core::duration second = this->measure_next_hold();
    const core::duration third = this->measure_next_hold();
    EXPECT_GT(first, 0s);
    EXPECT_GT(second, first + 3s);
    EXPECT_GT(third, second + 8s);
}

class at_the_floor : public a_service_with_reporters
{
protected:
    // s0 to s2 fail every second request. They occupy the three places that the
    // floor allows.
    void SetUp() override
    {
        a_service_with_reporters::SetUp();
        this->run(4, this->three_fail_partly());
        ASSERT_EQ(this->owner.ejected_servers().size(), 3U);
    }

    std::function<core::attempt_outcome(std::size_t, std::size_t)>
    three_fail_partly()
    {
        return [this](std::size_t, std::size_t server_index)
        {
            return server_index < 3 && ++this->request_number % 2 == 0
                       ? core::attempt_outcome::failed
                       : core::attempt_outcome::succeeded;
        };
    }

    int request_number = 0;
};

// Guards against keeping the worst server in service because it began to fail
// after less severe ejections had reached the floor.
TEST_F(at_the_floor, a_worse_server_replaces_the_least_bad)
{
    const auto three_fail_partly = this->three_fail_partly();
    this->run(13,
              [&three_fail_partly](std::size_t entry, std::size_t server_index)
              {
                  return server_index == 9
                             ? core::attempt_outcome::failed
                             : three_fail_partly(entry, server_index);
              });
    const auto ejected = this->owner.ejected_servers();
    EXPECT_EQ(std::count(ejected.begin(), ejected.end(), "s9"), 1);
    EXPECT_LE(this->owner.out_of_service_count(this->now),
              this->owner.max_out_of_service_count());
    const auto replaced = std::find_if(
        this->events.begin(), this->events.end(),
        [](const auto& event)
        {
            return event.kind == core::detection_event_kind::replaced;
        });
    ASSERT_NE(replaced, this->events.end());
    EXPECT_NE(replaced->reason.find("s9 is worse"), std::string::npos);
}

// Guards against a floor that does not count servers drained or held by an
// operator.
TEST_F(at_the_floor, drained_servers_take_the_place_of_ejected_ones)
{
    this->service.servers[8].command = core::operator_command::drain;
    this->service.servers[9].command = core::operator_command::hold;
    this->owner.set_service(this->service, this->now);
    this->run(1, this->three_fail_partly());
    EXPECT_EQ(this->owner.ejected_servers().size(), 1U);
}

// Guards against a new owner that ejects servers while ejections of the
// previous owner are still in force.
TEST(a_new_owner, waits_one_lease_and_answers_nothing_before)
{
    core::detector owner("logbook", core::time_point{100s});
    owner.set_service(make_service(10, 0.5), core::time_point{100s});
    core::observation_report report{1, "logbook", {{"s0", 0, 50, 0, 0ms}}};
    EXPECT_FALSE(
        owner.handle_report("entry-0", report, core::time_point{104s}));
    owner.tick(core::time_point{104s});
    EXPECT_TRUE(owner.ejected_servers().empty());
}

// Guards against a delayed or repeated verdict that extends a lease.
TEST(an_observation_log,
     counts_leases_from_its_report_and_applies_each_verdict_once)
{
    core::observation_log log(100);
    log.record_outcome("logbook", "s0", core::attempt_outcome::failed, 1ms);
    const auto reports = log.due_reports(core::time_point{10s});
    ASSERT_EQ(reports.size(), 1U);
    const core::service_verdict verdict{
        reports[0].nonce,
        "logbook",
        false,
        {{"s0", core::server_state::ejected, core::ejection_lease, {}}}};
    const auto blocks = log.apply_verdict(verdict, core::time_point{13s});
    ASSERT_TRUE(blocks);
    EXPECT_EQ((*blocks)[0].until, core::time_point{10s} + core::ejection_lease);
    EXPECT_FALSE(log.apply_verdict(verdict, core::time_point{14s}));
}

namespace
{

// A fleet whose messages are lost, delayed and repeated and whose owner
// changes. Random servers fail, for random requests.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed) : random(seed)
    {
        this->service = make_service(2 + this->random() % 15,
                                     0.1 * static_cast<double>(random() % 10));
        for (core::backend_server& server : this->service.servers)
        {
            if (this->random() % 6 == 0)
            {
                server.command =
                    static_cast<core::operator_command>(this->random() % 4);
            }
        }
        for (std::size_t index = 0; index < 2 + this->random() % 5; ++index)
        {
            this->logs.emplace_back(0);
        }
        this->blocks.resize(this->logs.size());
        this->change_owner();
    }

    void step()
    {
        this->now += 100ms;
        if (this->random() % 60 == 0)
        {
            this->failing_servers = this->random();
        }
        if (this->random() % 150 == 0)
        {
            this->change_owner();
        }
        for (std::size_t entry = 0; entry < this->logs.size(); ++entry)
        {
            this->send_reports(entry);
        }
        this->deliver();
        this->owner->tick(this->now);
    }

    // Number of servers that at least one instance treats as ejected or that an
    // operator took out of service.
    std::size_t out_of_service_count() const
    {
        std::set<std::string> names;
        for (const core::backend_server& server : this->service.servers)
        {
            if (!core::takes_new_work(server.command))
            {
                names.insert(server.name);
            }
        }
        for (const auto& instance_blocks : this->blocks)
        {
            for (const core::server_block& block : instance_blocks)
            {
                if (block.state == core::server_state::ejected &&
                    block.until > this->now)
                {
                    names.insert(block.server);
                }
            }
        }
        return names.size();
    }

    std::size_t commanded_out_count() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->service.servers.begin(), this->service.servers.end(),
            [](const auto& server)
            {
                return !core::takes_new_work(server.command);
            }));
    }

    std::size_t max_out_of_service_count() const
    {
        return this->owner->max_out_of_service_count();
    }

    std::size_t ejections = 0;

private:
    struct message_in_flight
    {
        core::time_point arrives_at;
        std::size_t entry = 0;
        std::optional<core::observation_report> report;
        std::optional<core::service_verdict> verdict;
    };

    void change_owner()
    {
        this->owner = std::make_unique<core::detector>("logbook", this->now);
        this->owner->set_service(this->service, this->now);
    }

    void send_reports(std::size_t entry)
    {
        for (std::size_t server_index = 0;
             server_index < this->service.servers.size(); ++server_index)
        {
            const bool fails =
                (this->failing_servers >> server_index & 1U) != 0 &&
                this->random() % 4 != 0;
            this->logs[entry].record_outcome(
                "logbook", this->service.servers[server_index].name,
                fails ? core::attempt_outcome::failed
                      : core::attempt_outcome::succeeded,
                20ms);
        }
        for (auto& report : this->logs[entry].due_reports(this->now))
        {
            this->send({this->now, entry, report, {}});
        }
    }

    void send(message_in_flight message)
    {
        const std::uint64_t fate = this->random() % 10;
        const int copies = fate == 0 ? 0 : (fate == 1 ? 2 : 1);
        for (int copy_number = 0; copy_number < copies; ++copy_number)
        {
            const auto max_delay_ms = this->random() % 8 == 0 ? 7000U : 50U;
            message_in_flight delivery = message;
            delivery.arrives_at =
                this->now +
                std::chrono::milliseconds(this->random() % max_delay_ms);
            this->in_flight.push_back(std::move(delivery));
        }
    }

    void deliver()
    {
        std::vector<message_in_flight> due;
        std::erase_if(this->in_flight,
                      [&](const message_in_flight& message)
                      {
                          if (message.arrives_at <= this->now)
                          {
                              due.push_back(message);
                          }
                          return message.arrives_at <= this->now;
                      });
        for (const message_in_flight& message : due)
        {
            if (message.report)
            {
                const auto verdict = this->owner->handle_report(
                    std::to_string(message.entry), *message.report, this->now);
                if (verdict)
                {
                    this->send({this->now, message.entry, {}, verdict});
                }
            }
            else if (auto new_blocks = this->logs[message.entry].apply_verdict(
                         *message.verdict, this->now))
            {
                this->ejections += new_blocks->size();
                this->blocks[message.entry] = std::move(*new_blocks);
            }
        }
    }

    std::mt19937_64 random;
    core::service service;
    std::unique_ptr<core::detector> owner;
    std::vector<core::observation_log> logs;
    std::vector<std::vector<core::server_block>> blocks;
    std::vector<message_in_flight> in_flight;
    core::time_point now{100s};
    std::uint64_t failing_servers = 0;
};

} // namespace

// Guards against ejections that leave fewer servers in service than the floor
// allows, counting the servers that any instance treats as ejected together
// with those that operators took out of service.
RC_GTEST_PROP(the_healthy_floor,
              holds_over_all_instances_and_operator_commands,
              (std::uint64_t seed))
{
    random_fleet fleet(seed);
    for (int step = 0; step < 600; ++step)
    {
        fleet.step();
        RC_ASSERT(fleet.out_of_service_count() <=
                  std::max(fleet.max_out_of_service_count(),
                           fleet.commanded_out_count()));
    }
    RC_CLASSIFY(fleet.ejections > 0, "with ejections");
}
