#include "owner_handlers.hpp"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/place_calls.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::instance_address own_address = 1;
constexpr std::uint64_t own_instance = std::uint64_t{own_address} << 32U;
constexpr std::size_t peer_count = 40;
/// Makes two shards.
constexpr std::size_t server_count = 96;

struct sent_message
{
    core::instance_address recipient = 0;
    core::fleet_message message;
};

void fill(core::server_registry& registry, std::size_t count)
{
    for (std::size_t number = 0; number < count; ++number)
    {
        core::announced_server server;
        server.server.name = "s" + std::to_string(number);
        server.server.slots = 3;
        server.service = "specbook";
        server.started = 1;
        registry.put(server);
    }
}

core::place_request request()
{
    core::place_request request;
    request.time_to_objective = 800ms;
    request.time_to_deadline = 3s;
    return request;
}

} // namespace

/// Given an instance among 40 others that own the two shards of a service. The
/// test plays the owners.
class a_caller_of_two_shards : public testing::Test
{
protected:
    void SetUp() override
    {
        fill(this->registry, server_count);
        core::instance_address address = own_address;
        while (this->members.live_count(this->now()) <= peer_count)
        {
            ++address;
            this->members.record_message(address, 1, this->now());
        }
        // Neither shard belongs to this instance.
        for (const std::uint32_t shard : {0U, 1U})
        {
            ASSERT_NE(this->owner_of(shard), own_address);
        }
        ASSERT_NE(this->owner_of(0), this->owner_of(1));
    }

    core::time_point now() const
    {
        return core::boot_clock::now();
    }

    core::instance_address owner_of(std::uint32_t shard) const
    {
        return this->members
            .owners(core::owner_key({"specbook", shard}), 1, this->now())
            .front();
    }

    void place()
    {
        this->grant = this->calls.place("specbook", request(),
                                        [this](const core::place_answer& given)
                                        {
                                            this->answers.push_back(given);
                                        });
    }

    /// Place calls sent so far.
    std::vector<sent_message> place_calls_sent() const
    {
        std::vector<sent_message> found;
        for (const sent_message& message : this->sent)
        {
            if (std::holds_alternative<core::place_call>(message.message))
            {
                found.push_back(message);
            }
        }
        return found;
    }

    std::uint32_t shard_asked(std::size_t index) const
    {
        return std::get<core::place_call>(
                   this->place_calls_sent().at(index).message)
            .shard.number;
    }

    /// Whether this instance gave up its request or grant at the shard.
    bool is_released_at(std::uint32_t shard) const
    {
        return std::any_of(
            this->sent.begin(), this->sent.end(),
            [this, shard](const sent_message& message)
            {
                const auto* done =
                    std::get_if<core::done_call>(&message.message);
                return done != nullptr && done->shard.number == shard &&
                       done->outcome == core::send_outcome::cancelled &&
                       message.recipient == this->owner_of(shard);
            });
    }

    void reply(std::uint32_t shard, const core::place_answer& answer)
    {
        this->calls.on_reply(
            this->owner_of(shard),
            core::place_reply{this->grant.number, answer, shard, 0.5});
    }

    void run_for(std::chrono::milliseconds time)
    {
        this->io.restart();
        this->io.run_for(time);
    }

    std::string placed_at() const
    {
        const auto* placed = this->answers.empty()
                                 ? nullptr
                                 : std::get_if<core::placed>(&this->answers[0]);
        return placed == nullptr ? "" : placed->server;
    }

    boost::asio::io_context io;
    core::server_registry registry;
    core::membership members{own_address, 1, 5};
    core::shard_directory shards{this->registry, 5};
    std::vector<sent_message> sent;
    std::vector<core::place_answer> answers;
    core::grant_id grant;
    net::service_owners owned{this->io,
                              this->shards,
                              this->registry,
                              core::retry_limits{},
                              5,
                              tests::owner_handlers(1.0 / peer_count)};
    net::place_calls calls{{this->io, this->members, this->shards, this->owned,
                            own_address, own_instance,
                            [this](core::instance_address recipient,
                                   const core::fleet_message& message)
                            {
                                this->sent.push_back({recipient, message});
                            },
                            [this](const core::shard_id&,
                                   const core::crash_event& crash,
                                   core::instance_address)
                            {
                                this->lost_sends.push_back(crash);
                            }}};
    std::vector<core::crash_event> lost_sends;
};

// Guards against a request that waits at a full shard while another has a free
// slot, and against a place in the queue that is kept after that.
TEST_F(a_caller_of_two_shards, takes_a_free_slot_of_the_other_shard)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    const std::uint32_t second = 1 - first;
    this->reply(first, core::queued{});
    ASSERT_EQ(this->place_calls_sent().size(), 2U);
    EXPECT_EQ(this->shard_asked(1), second);
    this->reply(second, core::placed{"s7", 100ms, 200ms});
    EXPECT_EQ(this->placed_at(), "s7");
    EXPECT_TRUE(this->is_released_at(first));
    this->calls.report_send_end(
        {this->grant, core::send_outcome::succeeded, 90ms});
    const auto& done = std::get<core::done_call>(this->sent.back().message);
    EXPECT_EQ(this->sent.back().recipient, this->owner_of(second));
    EXPECT_EQ(done.shard.number, second);
    EXPECT_EQ(done.outcome, core::send_outcome::succeeded);
}

// Guards against a request that loses its place in the first queue, or keeps a
// second one, when both shards are full.
TEST_F(a_caller_of_two_shards, keeps_its_place_when_both_are_full)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    const std::uint32_t second = 1 - first;
    this->reply(first, core::queued{});
    this->reply(second, core::queued{});
    EXPECT_TRUE(this->is_released_at(second));
    EXPECT_FALSE(this->is_released_at(first));
    this->reply(first, core::placed{"s3", 100ms, 200ms});
    EXPECT_EQ(this->placed_at(), "s3");
}

// Guards against a request that is refused for lack of room by one shard while
// another can serve it, and against calls without end when both refuse.
TEST_F(a_caller_of_two_shards, asks_the_other_shard_once_when_refused)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    const core::place_refused full{core::result_code::deadline_unreachable,
                                   100ms};
    this->reply(first, full);
    ASSERT_EQ(this->place_calls_sent().size(), 2U);
    EXPECT_TRUE(this->answers.empty());
    this->reply(1 - first, full);
    ASSERT_EQ(this->answers.size(), 1U);
    EXPECT_TRUE(std::holds_alternative<core::place_refused>(this->answers[0]));
}

// Guards against a request that crashes servers and reaches the servers of the
// other shard after it was blocked.
TEST_F(a_caller_of_two_shards, takes_a_block_as_final)
{
    this->place();
    this->reply(this->shard_asked(0),
                core::place_refused{core::result_code::request_blocked, {}});
    EXPECT_EQ(this->place_calls_sent().size(), 1U);
    EXPECT_EQ(this->answers.size(), 1U);
}

// Guards against all callers of a silent owner moving together to the next one
// in rank, which then falls silent too, and against a late grant of the owner
// that was passed over and keeps its slot.
TEST_F(a_caller_of_two_shards, turns_to_the_other_shard_when_an_owner_is_silent)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    const core::instance_address silent_owner = this->owner_of(first);
    this->run_for(200ms);
    const auto calls_sent = this->place_calls_sent();
    ASSERT_GE(calls_sent.size(), 3U);
    EXPECT_EQ(this->shard_asked(1), first);
    EXPECT_EQ(this->shard_asked(2), 1 - first);
    EXPECT_FALSE(this->members.is_live(silent_owner, this->now()));
    this->calls.on_reply(silent_owner,
                         core::place_reply{this->grant.number,
                                           core::placed{"s1", 100ms, 200ms},
                                           first, 0.5});
    EXPECT_TRUE(this->answers.empty());
    const auto& done = std::get<core::done_call>(this->sent.back().message);
    EXPECT_EQ(this->sent.back().recipient, silent_owner);
    EXPECT_EQ(done.outcome, core::send_outcome::cancelled);
}

// Guards against a request that is not served while no owner answers.
TEST_F(a_caller_of_two_shards, decides_alone_when_no_owner_answers)
{
    this->place();
    this->run_for(400ms);
    EXPECT_FALSE(this->placed_at().empty());
    EXPECT_EQ(this->calls.counters().local_decisions, 1U);
}

// Guards against an owner that does not learn that a server leaves, and places
// the requests of all other instances there.
TEST_F(a_caller_of_two_shards, tells_the_owner_that_a_server_leaves)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    this->reply(first, core::placed{"s3", 100ms, 200ms});
    this->calls.report_send_end(
        {this->grant, core::send_outcome::succeeded, 90ms}, {"s3", 5, true});
    const auto& done = std::get<core::done_call>(this->sent.back().message);
    EXPECT_EQ(this->sent.back().recipient, this->owner_of(first));
    EXPECT_EQ(done.notice.server, "s3");
    EXPECT_EQ(done.notice.started, 5U);
    EXPECT_TRUE(done.notice.leaving);
}

// Guards against an answer that no owner hears of, and against one that another
// instance, or a late message, ends.
TEST_F(a_caller_of_two_shards, ends_an_unread_answer_when_its_owner_says_so)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    const core::instance_address owner = this->owner_of(first);
    this->reply(first, core::placed{"s3", 100ms, 200ms});
    int ended = 0;
    const auto report = [this, &ended]
    {
        this->calls.report_stream(this->grant, true,
                                  [&ended]
                                  {
                                      ++ended;
                                  });
    };
    const core::stream_reply reply{this->grant.number};
    this->calls.on_reply(owner, reply);
    report();
    const auto& call = std::get<core::stream_call>(this->sent.back().message);
    EXPECT_EQ(this->sent.back().recipient, owner);
    EXPECT_EQ(call.shard.number, first);
    EXPECT_EQ(call.grant, this->grant);
    EXPECT_TRUE(call.unread);
    this->calls.on_reply(this->owner_of(1 - first), reply);
    EXPECT_EQ(ended, 0);
    this->calls.on_reply(owner, reply);
    this->calls.on_reply(owner, reply);
    EXPECT_EQ(ended, 1);
    report();
    this->calls.report_send_end({this->grant, core::send_outcome::cancelled});
    this->calls.on_reply(owner, reply);
    EXPECT_EQ(ended, 1);
}

// Guards against crashes that only the owner learns of, which may have failed
// meanwhile, and against a request that is blamed for a server that lives.
TEST_F(a_caller_of_two_shards, tells_of_a_send_whose_server_ended_it)
{
    for (const core::duration connection_age : {0s, 3s})
    {
        this->place();
        this->reply(this->shard_asked(this->place_calls_sent().size() - 1),
                    core::placed{"s3", 100ms, 200ms});
        this->calls.report_send_end({this->grant,
                                     core::send_outcome::connection_lost,
                                     {},
                                     connection_age});
    }
    ASSERT_EQ(this->lost_sends.size(), 1U);
    EXPECT_EQ(this->lost_sends[0].server, "s3");
}

// Guards against a report that arrives with a repeat and keeps a server that
// has turned this instance away out of use for longer than the server has said.
TEST_F(a_caller_of_two_shards, reports_what_is_left_of_a_hold)
{
    this->place();
    this->reply(this->shard_asked(0), core::placed{"s3", 100ms, 200ms});
    this->calls.report_send_end({this->grant, core::send_outcome::shed, 90ms},
                                {"s3", 1, false, 400ms});
    const std::size_t first = this->sent.size() - 1;
    this->run_for(800ms);
    const auto hold_at = [this](std::size_t index)
    {
        return std::get<core::done_call>(this->sent.at(index).message)
            .notice.retry_after;
    };
    ASSERT_GE(this->sent.size(), first + 4);
    EXPECT_GT(hold_at(first), 390ms);
    EXPECT_LE(hold_at(first + 1), 250ms);
    EXPECT_LE(hold_at(first + 2), 100ms);
    EXPECT_EQ(hold_at(first + 3), 0ms);
}

// Guards against a withdrawn request that keeps its place at one of the two
// shards.
TEST_F(a_caller_of_two_shards, withdraws_at_both)
{
    this->place();
    const std::uint32_t first = this->shard_asked(0);
    this->reply(first, core::queued{});
    this->calls.withdraw(this->grant);
    EXPECT_TRUE(this->is_released_at(0));
    EXPECT_TRUE(this->is_released_at(1));
}

namespace
{

/// A decider about the shards of one service: its owner, or an instance that
/// decides alone.
struct decider
{
    std::unique_ptr<net::service_owners> owners;
    net::decision_scope scope = net::decision_scope::fleet;
};

} // namespace

// Guards against repeats beyond the budget of the service when its shards have
// an owner each and any number of instances is cut off from them: the parts
// must add up to the budget.
RC_GTEST_PROP(repeats_of_a_split_service, stay_within_the_budget, ())
{
    const auto servers = *rc::gen::inRange<std::size_t>(1, 500);
    const auto instances = *rc::gen::inRange<std::size_t>(1, 60);
    const auto alone = *rc::gen::inRange<std::size_t>(0, instances + 1);
    boost::asio::io_context io;
    core::server_registry registry;
    fill(registry, servers);
    core::shard_directory shards(registry, 1);
    core::retry_limits limits;
    limits.allowance = 60.0;
    std::vector<decider> deciders;
    for (std::size_t index = 0; index <= alone; ++index)
    {
        deciders.push_back(
            {std::make_unique<net::service_owners>(
                 io, shards, registry, limits, index,
                 tests::owner_handlers(1.0 / static_cast<double>(instances))),
             index == 0 ? net::decision_scope::fleet
                        : net::decision_scope::alone});
    }
    std::uint64_t number = 0;
    std::size_t requests = 0;
    std::size_t repeats = 0;
    for (const decider& current : deciders)
    {
        for (std::uint32_t shard = 0; shard < shards.count("specbook"); ++shard)
        {
            const auto ask = [&](bool repeat)
            {
                core::place_request asked = request();
                asked.grant = {own_instance, ++number};
                asked.repeat = repeat;
                const core::place_answer answer = current.owners->request(
                    {"specbook", shard}, current.scope, asked);
                current.owners->on_send_ended({{"specbook", shard},
                                               asked.grant,
                                               core::send_outcome::cancelled,
                                               {}});
                return std::holds_alternative<core::placed>(answer);
            };
            const auto first_sends = *rc::gen::inRange<std::size_t>(0, 30);
            for (std::size_t count = 0; count < first_sends; ++count)
            {
                requests += ask(false) ? 1 : 0;
            }
            while (ask(true))
            {
                ++repeats;
            }
        }
    }
    RC_ASSERT(static_cast<double>(repeats) <=
              limits.ratio * static_cast<double>(requests) + limits.allowance);
}

// Guards against a request that crashes three servers of each shard, because
// its owners do not know what it did to the servers of the others.
TEST(a_request_that_crashes_servers, is_blocked_in_all_shards)
{
    boost::asio::io_context io;
    core::server_registry registry;
    fill(registry, server_count);
    core::shard_directory shards(registry, 1);
    std::vector<core::shard_crash_report> reports;
    net::service_owners::handlers handlers = tests::owner_handlers(1.0);
    handlers.on_crash =
        [&reports](const core::shard_id& shard, const core::crash_event& crash)
    {
        reports.push_back({{shard.service, 1 - shard.number}, crash});
    };
    net::service_owners owners(io, shards, registry, core::retry_limits{}, 1,
                               handlers);
    const auto ask = [&owners](std::uint32_t shard, std::uint64_t number)
    {
        core::place_request asked = request();
        asked.grant = {own_instance, number};
        asked.content_digest = 99;
        return owners.request({"specbook", shard}, net::decision_scope::fleet,
                              asked);
    };
    for (std::uint64_t number = 1; number <= 3; ++number)
    {
        ASSERT_TRUE(std::holds_alternative<core::placed>(ask(0, number)));
        owners.on_send_ended({{"specbook", 0},
                              {own_instance, number},
                              core::send_outcome::connection_lost,
                              {}});
    }
    ASSERT_EQ(reports.size(), 3U);
    for (const core::shard_crash_report& report : reports)
    {
        owners.crashes().record(report.crash, core::boot_clock::now());
    }
    const core::place_answer answer = ask(1, 9);
    const auto* refused = std::get_if<core::place_refused>(&answer);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->code, core::result_code::request_blocked);
}
