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

core::service service_of(std::size_t servers, double floor)
{
    core::service made;
    made.name = "logbook";
    made.policy.healthy_floor = floor;
    for (std::size_t index = 0; index < servers; ++index)
    {
        core::backend_server server;
        server.name = "s" + std::to_string(index);
        made.servers.push_back(server);
    }
    return made;
}

} // namespace

// An owner and the entry instances that report to it without delay.
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
                      return core::work_outcome::succeeded;
                  });
        this->events.clear();
    }

    // Every reporter sends three requests to every server that it may use in
    // each report period; `outcome` decides how they end.
    template <class Outcome>
    void run(int periods, Outcome outcome)
    {
        for (int period = 0; period < periods; ++period)
        {
            this->now += core::report_period;
            for (std::size_t from = 0; from < this->logs.size(); ++from)
            {
                this->send_work(from, outcome);
                this->report(from);
            }
            for (core::detection_event& event : this->owner.tick(this->now))
            {
                this->events.push_back(std::move(event));
            }
        }
    }

    template <class Outcome>
    void send_work(std::size_t from, Outcome outcome)
    {
        for (std::size_t index = 0; index < this->service.servers.size();
             ++index)
        {
            const std::string& name = this->service.servers[index].name;
            if (this->thin && ++this->turn % (2 * this->logs.size() + 1) != 0)
            {
                continue;
            }
            for (int request = 0;
                 request < (this->thin ? 1 : 3) && !this->blocked(from, name);
                 ++request)
            {
                this->logs[from].note("logbook", name, outcome(from, index),
                                      this->latency_of(index));
            }
        }
    }

    core::duration latency_of(std::size_t index) const
    {
        return index == this->slow_server || this->all_slow ? 600ms : 20ms;
    }

    bool blocked(std::size_t from, const std::string& name) const
    {
        const auto at = this->blocks.find(from);
        return at != this->blocks.end() &&
               std::any_of(at->second.begin(), at->second.end(),
                           [&](const core::server_block& block)
                           {
                               return block.server == name &&
                                      block.until > this->now;
                           });
    }

    void report(std::size_t from)
    {
        for (const auto& report : this->logs[from].due_reports(this->now))
        {
            const auto verdict = this->owner.receive(
                "entry-" + std::to_string(from), report, this->now);
            if (!verdict)
            {
                continue;
            }
            if (auto next = this->logs[from].receive(*verdict, this->now))
            {
                this->blocks[from] = *next;
            }
        }
    }

    std::size_t count(core::detection_event_kind kind) const
    {
        return static_cast<std::size_t>(
            std::count_if(this->events.begin(), this->events.end(),
                          [kind](const auto& event)
                          {
                              return event.kind == kind;
                          }));
    }

    core::service service = service_of(10, 0.7);
    core::detector owner{"logbook", core::time_point{}};
    std::vector<core::observation_log> logs;
    std::map<std::size_t, std::vector<core::server_block>> blocks;
    std::vector<core::detection_event> events;
    core::time_point now{};
    std::size_t slow_server = 99;
    bool all_slow = false;
    bool thin = false;
    std::size_t turn = 0;
};

// Guards against a server that answers health checks but fails real work.
TEST_F(a_service_with_reporters, ejects_a_server_that_fails)
{
    const auto s3_fails = [](std::size_t, std::size_t index)
    {
        return index == 3 ? core::work_outcome::failed
                          : core::work_outcome::succeeded;
    };
    this->run(3, s3_fails);
    EXPECT_EQ(this->owner.ejected(), std::vector<std::string>{"s3"});
    EXPECT_TRUE(this->blocked(0, "s3"));
    EXPECT_FALSE(this->blocked(0, "s4"));
}

// Guards against a service with little traffic whose evidence fades before it
// suffices: each server gets one request a second from all reporters.
TEST_F(a_service_with_reporters, ejects_a_server_that_fails_in_a_thin_service)
{
    this->thin = true;
    const auto good = [](std::size_t, std::size_t)
    {
        return core::work_outcome::succeeded;
    };
    this->run(60, good);
    EXPECT_TRUE(this->owner.ejected().empty());
    this->run(30,
              [](std::size_t, std::size_t index)
              {
                  return index == 3 ? core::work_outcome::failed
                                    : core::work_outcome::succeeded;
              });
    EXPECT_GE(this->count(core::detection_event_kind::ejected), 1U);
    for (const core::detection_event& event : this->events)
    {
        EXPECT_TRUE(event.server == "s3" || event.server.empty())
            << event.server;
    }
}

// Guards against a server that is 30 times slower and never fails.
TEST_F(a_service_with_reporters, ejects_a_server_that_is_slow)
{
    this->slow_server = 5;
    this->run(4,
              [](std::size_t, std::size_t)
              {
                  return core::work_outcome::succeeded;
              });
    EXPECT_EQ(this->owner.ejected(), std::vector<std::string>{"s5"});
}

// Guards against an ejection for all because of one instance's path.
TEST_F(a_service_with_reporters, gives_a_path_cut_to_its_reporter_only)
{
    this->run(4,
              [](std::size_t from, std::size_t index)
              {
                  return from == 2 && index == 3
                             ? core::work_outcome::timed_out
                             : core::work_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected().empty());
    EXPECT_TRUE(this->blocked(2, "s3"));
    EXPECT_FALSE(this->blocked(1, "s3"));
    ASSERT_FALSE(this->blocks[2].empty());
    EXPECT_EQ(this->blocks[2][0].state, core::server_state::path_cut);
    EXPECT_FALSE(this->blocks[2][0].via.empty());
}

// Guards against ejections when a third of the instances loses one data
// centre: the servers there are well for the others.
TEST_F(a_service_with_reporters, ejects_nothing_when_a_data_centre_is_cut)
{
    this->run(8,
              [](std::size_t from, std::size_t index)
              {
                  return from < 3 && index < 4 ? core::work_outcome::timed_out
                                               : core::work_outcome::succeeded;
              });
    EXPECT_EQ(this->count(core::detection_event_kind::ejected), 0U);
    EXPECT_GE(this->count(core::detection_event_kind::path_cut), 12U);
}

// Guards against an instance without network that ejects the whole service.
TEST_F(a_service_with_reporters, ignores_a_reporter_that_is_cut_off)
{
    this->run(6,
              [](std::size_t from, std::size_t)
              {
                  return from == 2 ? core::work_outcome::timed_out
                                   : core::work_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected().empty());
    EXPECT_TRUE(this->logs[2].reporter_cut(this->now));
    EXPECT_FALSE(this->logs[1].reporter_cut(this->now));
}

// Guards against ejections when the service itself is slow or failing.
TEST_F(a_service_with_reporters, ejects_nothing_when_the_service_is_slow)
{
    this->all_slow = true;
    this->run(8,
              [](std::size_t, std::size_t index)
              {
                  return index % 3 != 0 ? core::work_outcome::timed_out
                                        : core::work_outcome::succeeded;
              });
    EXPECT_EQ(this->count(core::detection_event_kind::ejected), 0U);
}

// Guards against blame for servers that a crashing request has met.
TEST_F(a_service_with_reporters, counts_a_crashing_request_once)
{
    const core::digest poison{1, 2};
    for (int repeat = 0; repeat < 50; ++repeat)
    {
        this->logs[0].note_closed("logbook", "s1", poison);
        this->logs[1].note_closed("logbook", "s1", poison);
    }
    this->run(3,
              [](std::size_t, std::size_t)
              {
                  return core::work_outcome::succeeded;
              });
    EXPECT_TRUE(this->owner.ejected().empty());
}

class after_a_flap : public a_service_with_reporters
{
protected:
    core::duration hold_of_next_ejection()
    {
        this->events.clear();
        const core::time_point start = this->now;
        core::time_point ejected_at = start;
        while (this->now < start + 120s)
        {
            const bool bad = this->owner.ejected().empty();
            this->run(1,
                      [bad](std::size_t, std::size_t index)
                      {
                          return bad && index == 3
                                     ? core::work_outcome::failed
                                     : core::work_outcome::succeeded;
                      });
            if (this->count(core::detection_event_kind::readmitted) > 0)
            {
                return this->now - ejected_at;
            }
            ejected_at = this->owner.ejected().empty() ? this->now : ejected_at;
        }
        return {};
    }
};

// Guards against a server that flaps and takes its share of work each time.
TEST_F(after_a_flap, each_hold_is_longer_than_the_one_before)
{
    const core::duration first = this->hold_of_next_ejection();
    const core::duration second = this->hold_of_next_ejection();
    const core::duration third = this->hold_of_next_ejection();
    EXPECT_GT(first, 0s);
    EXPECT_GT(second, first + 3s);
    EXPECT_GT(third, second + 8s);
}

class at_the_floor : public a_service_with_reporters
{
protected:
    // s0 to s2 fail every second request and use up the three places of the
    // floor.
    void SetUp() override
    {
        a_service_with_reporters::SetUp();
        this->run(4, this->partly());
        ASSERT_EQ(this->owner.ejected().size(), 3U);
    }

    std::function<core::work_outcome(std::size_t, std::size_t)> partly()
    {
        return [this](std::size_t, std::size_t index)
        {
            return index < 3 && ++this->requests % 2 == 0
                       ? core::work_outcome::failed
                       : core::work_outcome::succeeded;
        };
    }

    int requests = 0;
};

// Guards against the worst server that stays because it fell ill last.
TEST_F(at_the_floor, a_worse_server_replaces_the_least_bad)
{
    const auto others = this->partly();
    this->run(13,
              [&others](std::size_t from, std::size_t index)
              {
                  return index == 9 ? core::work_outcome::failed
                                    : others(from, index);
              });
    const auto out = this->owner.ejected();
    EXPECT_EQ(std::count(out.begin(), out.end(), "s9"), 1);
    EXPECT_LE(this->owner.out_of_service(this->now), this->owner.allowed_out());
    const auto replaced = std::find_if(
        this->events.begin(), this->events.end(),
        [](const auto& event)
        {
            return event.kind == core::detection_event_kind::replaced;
        });
    ASSERT_NE(replaced, this->events.end());
    EXPECT_NE(replaced->reason.find("s9 is worse"), std::string::npos);
}

// Guards against a floor that forgets what operators took out.
TEST_F(at_the_floor, drained_servers_take_the_place_of_ejected_ones)
{
    this->service.servers[8].command = core::operator_command::drain;
    this->service.servers[9].command = core::operator_command::hold;
    this->owner.set_service(this->service, this->now);
    this->run(1, this->partly());
    EXPECT_EQ(this->owner.ejected().size(), 1U);
}

// Guards against a new owner that ejects beside the old owner's ejections.
TEST(a_new_owner, waits_one_lease_and_answers_nothing_before)
{
    core::detector owner("logbook", core::time_point{100s});
    owner.set_service(service_of(10, 0.5), core::time_point{100s});
    core::observation_report report{1, "logbook", {{"s0", 0, 50, 0, 0ms}}};
    EXPECT_FALSE(owner.receive("entry-0", report, core::time_point{104s}));
    owner.tick(core::time_point{104s});
    EXPECT_TRUE(owner.ejected().empty());
}

// Guards against a delayed or repeated verdict that extends a lease.
TEST(an_observation_log, counts_leases_from_its_report_and_takes_each_once)
{
    core::observation_log log(100);
    log.note("logbook", "s0", core::work_outcome::failed, 1ms);
    const auto reports = log.due_reports(core::time_point{10s});
    ASSERT_EQ(reports.size(), 1U);
    const core::service_verdict verdict{
        reports[0].nonce,
        "logbook",
        false,
        {{"s0", core::server_state::ejected, core::ejection_lease, {}}}};
    const auto blocks = log.receive(verdict, core::time_point{13s});
    ASSERT_TRUE(blocks);
    EXPECT_EQ((*blocks)[0].until, core::time_point{10s} + core::ejection_lease);
    EXPECT_FALSE(log.receive(verdict, core::time_point{14s}));
}

namespace
{

// A fleet whose messages are lost, delayed and repeated, and whose owners
// change; servers fail at random for random reporters.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed) : random(seed)
    {
        this->service = service_of(2 + this->random() % 15,
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
            this->bad = this->random();
        }
        if (this->random() % 150 == 0)
        {
            this->change_owner();
        }
        for (std::size_t from = 0; from < this->logs.size(); ++from)
        {
            this->send_reports(from);
        }
        this->deliver();
        this->owner->tick(this->now);
    }

    // Servers that some instance does not use, and those ordered out.
    std::size_t out() const
    {
        std::set<std::string> names;
        for (const core::backend_server& server : this->service.servers)
        {
            if (!core::takes_new_work(server.command))
            {
                names.insert(server.name);
            }
        }
        for (const auto& own : this->blocks)
        {
            for (const core::server_block& block : own)
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

    std::size_t ordered_out() const
    {
        return static_cast<std::size_t>(std::count_if(
            this->service.servers.begin(), this->service.servers.end(),
            [](const auto& server)
            {
                return !core::takes_new_work(server.command);
            }));
    }

    std::size_t allowed() const
    {
        return this->owner->allowed_out();
    }

    std::size_t ejections = 0;

private:
    struct flight
    {
        core::time_point at;
        std::size_t entry = 0;
        std::optional<core::observation_report> report;
        std::optional<core::service_verdict> verdict;
    };

    void change_owner()
    {
        this->owner = std::make_unique<core::detector>("logbook", this->now);
        this->owner->set_service(this->service, this->now);
    }

    void send_reports(std::size_t from)
    {
        for (std::size_t index = 0; index < this->service.servers.size();
             ++index)
        {
            const bool fails =
                (this->bad >> index & 1U) != 0 && this->random() % 4 != 0;
            this->logs[from].note("logbook", this->service.servers[index].name,
                                  fails ? core::work_outcome::failed
                                        : core::work_outcome::succeeded,
                                  20ms);
        }
        for (auto& report : this->logs[from].due_reports(this->now))
        {
            this->post({this->now, from, report, {}});
        }
    }

    void post(flight message)
    {
        const std::uint64_t fate = this->random() % 10;
        const int copies = fate == 0 ? 0 : (fate == 1 ? 2 : 1);
        for (int copy = 0; copy < copies; ++copy)
        {
            const auto longest = this->random() % 8 == 0 ? 7000U : 50U;
            flight sent = message;
            sent.at =
                this->now + std::chrono::milliseconds(this->random() % longest);
            this->in_flight.push_back(std::move(sent));
        }
    }

    void deliver()
    {
        std::vector<flight> due;
        std::erase_if(this->in_flight,
                      [&](const flight& message)
                      {
                          if (message.at <= this->now)
                          {
                              due.push_back(message);
                          }
                          return message.at <= this->now;
                      });
        for (const flight& message : due)
        {
            if (message.report)
            {
                const auto verdict = this->owner->receive(
                    std::to_string(message.entry), *message.report, this->now);
                if (verdict)
                {
                    this->post({this->now, message.entry, {}, verdict});
                }
            }
            else if (auto next = this->logs[message.entry].receive(
                         *message.verdict, this->now))
            {
                this->ejections += next->size();
                this->blocks[message.entry] = std::move(*next);
            }
        }
    }

    std::mt19937_64 random;
    core::service service;
    std::unique_ptr<core::detector> owner;
    std::vector<core::observation_log> logs;
    std::vector<std::vector<core::server_block>> blocks;
    std::vector<flight> in_flight;
    core::time_point now{100s};
    std::uint64_t bad = 0;
};

} // namespace

// Guards against ejections that leave fewer servers than the floor, over the
// union of all instances and of what operators took out.
RC_GTEST_PROP(the_healthy_floor, holds_over_the_union, (std::uint64_t seed))
{
    random_fleet fleet(seed);
    for (int step = 0; step < 600; ++step)
    {
        fleet.step();
        RC_ASSERT(fleet.out() <=
                  std::max(fleet.allowed(), fleet.ordered_out()));
    }
    RC_CLASSIFY(fleet.ejections > 0, "with ejections");
}
