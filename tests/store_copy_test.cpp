/// Real instances go on following a store that has come back from an older
/// copy: what was in force stays in force, and what is written next is taken.
#include "store_copy_fixture.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <future>
#include <standin/relay.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Start of a server's run after the one that make_announcement() states.
constexpr const char* later_start = "1700000060000";

/// How long something must not happen. Longer than the grace period of a
/// server whose announcement has lapsed.
constexpr auto observed_time = 3s;

} // namespace

/// And since the copy a server has left, another one says that it leaves,
/// version 2 was written and other writes have taken revisions.
class a_fleet_with_news_since_the_copy : public a_fleet_with_a_copied_store
{
protected:
    static constexpr unsigned left = 1;
    static constexpr unsigned leaving = 3;

    void SetUp() override
    {
        a_fleet_with_a_copied_store::SetUp();
        this->store.remove("servers/s-1");
        this->announce(leaving, "draining", 2);
        this->take_revisions(4);
        this->store.put("op/config", make_config_with_route(2, "second"));
        this->announce(2, "ready", 2);
        this->expect_news();
    }

    /// Expects that all the instances have the news.
    void expect_news()
    {
        ASSERT_TRUE(this->all_answer("/second/1", 200)) << this->logs();
        ASSERT_TRUE(this->all_have(left, "")) << this->logs();
        ASSERT_TRUE(this->all_have(leaving, "draining")) << this->logs();
    }

    /// Expects for a while that all the instances still have the news. The
    /// status page tells it on a slow machine too, where a request may be
    /// refused for want of time.
    void expect_news_stay() const
    {
        const auto end = steady::now() + observed_time;
        while (steady::now() < end)
        {
            for (std::size_t index = 0; index < this->instances.size(); ++index)
            {
                ASSERT_EQ(this->version_at(index), 2U) << this->logs();
                ASSERT_EQ(this->state_of(index, left), "") << this->logs();
                ASSERT_EQ(this->state_of(index, leaving), "draining")
                    << this->logs();
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    /// The operator and the servers write again what the copy lacks.
    void write_again()
    {
        this->store.put("op/config", make_config_with_route(2, "second"));
        this->store.remove("servers/s-1");
        this->announce(leaving, "draining", 2);
    }

    /// Expects that all the instances take the next version.
    void expect_followed(unsigned version)
    {
        const std::string route = fmt::format("route-{}", version);
        this->store.put("op/config", make_config_with_route(version, route));
        EXPECT_TRUE(this->all_answer("/" + route + "/1", 200)) << this->logs();
        EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
    }
};

/// And the store comes back from the copy, and nobody has written again.
class a_fleet_in_the_gap : public a_fleet_with_news_since_the_copy
{
protected:
    void SetUp() override
    {
        a_fleet_with_news_since_the_copy::SetUp();
        this->restore_store();
    }

    void start_one_more()
    {
        const std::size_t index = this->instances.size();
        this->write_settings(
            index, fmt::format(R"("{}:{}")", this->address(0), this->peers));
        this->start_instance(index);
    }

    /// Executions at a server.
    std::size_t executions_at(unsigned server) const
    {
        return this->servers[server - 1]->journal().size();
    }
};

// Guards against an instance that starts in the gap and goes on with what the
// copy has: an older version and a server that has left.
TEST_F(a_fleet_in_the_gap, completes_an_instance_that_starts)
{
    this->start_one_more();
    this->expect_news();
    this->expect_news_stay();
    this->expect_followed(3);
}

// Guards against a server that is never used again because the announcement of
// its next run has a lower number than that of the run before.
TEST_F(a_fleet_in_the_gap, uses_a_server_that_starts_again)
{
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    ASSERT_TRUE(this->all_have(leaving, "draining")) << this->logs();
    this->announce(leaving, "ready", 1, later_start);
    EXPECT_TRUE(this->all_have(leaving, "healthy")) << this->logs();
    // Without the other servers each request reaches this one.
    for (const unsigned other : {1U, 2U, 4U, 5U, 6U})
    {
        this->store.remove(fmt::format("servers/s-{}", other));
        ASSERT_TRUE(this->all_have(other, "")) << this->logs();
    }
    const std::size_t before = this->executions_at(leaving);
    EXPECT_TRUE(this->all_answer("/second/1", 200)) << this->logs();
    EXPECT_GE(this->executions_at(leaving), before + instance_count);
}

// Guards against a server that has left and is in use again because the copy
// lists it and its removal is not written again.
TEST_F(a_fleet_in_the_gap, uses_no_server_that_has_left)
{
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    const std::size_t before = this->executions_at(left);
    this->expect_news_stay();
    EXPECT_TRUE(this->all_answer("/second/1", 200)) << this->logs();
    this->expect_followed(3);
    EXPECT_TRUE(this->all_have(left, "")) << this->logs();
    EXPECT_EQ(this->executions_at(left), before);
    // Only until it states something newer.
    this->announce(left, "ready", 1, later_start);
    EXPECT_TRUE(this->all_have(left, "healthy")) << this->logs();
}

// Guards against instances that keep what nobody holds any more, or that take
// nothing from the store: what it has is all there is after such an end.
TEST_F(a_fleet_in_the_gap, follows_the_store_after_the_end_of_all)
{
    for (const auto& instance : this->instances)
    {
        instance->send(SIGKILL);
    }
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        this->kill_instance(index);
    }
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        this->start_instance(index);
    }
    EXPECT_TRUE(this->all_are_in_present_era()) << this->logs();
    EXPECT_TRUE(this->all_answer("/next/1", 200)) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
    EXPECT_TRUE(this->all_have(left, "healthy")) << this->logs();
    EXPECT_TRUE(this->all_have(leaving, "healthy")) << this->logs();
    this->write_again();
    this->expect_news();
    this->expect_followed(3);
}

// Guards against a second return from the same copy that undoes what the first
// one has left in force.
TEST_F(a_fleet_in_the_gap, goes_on_after_the_next_return)
{
    this->restore_store();
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    this->expect_news_stay();
    this->write_again();
    this->expect_followed(3);
}

// Guards against a return that undoes what was written again after the one
// before, and what was written first in between.
TEST_F(a_fleet_in_the_gap, goes_on_after_a_return_from_a_later_copy)
{
    this->write_again();
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    this->store.make_copy();
    this->store.put("op/config", make_config_with_route(3, "third"));
    this->announce(2, "draining", 3);
    this->store.remove("servers/s-4");
    ASSERT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    ASSERT_TRUE(this->all_have(2, "draining")) << this->logs();
    ASSERT_TRUE(this->all_have(4, "")) << this->logs();
    this->restore_store();
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    const auto end = steady::now() + observed_time;
    while (steady::now() < end)
    {
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            ASSERT_EQ(this->version_at(index), 3U) << this->logs();
            ASSERT_EQ(this->state_of(index, left), "") << this->logs();
            ASSERT_EQ(this->state_of(index, 2), "draining") << this->logs();
            ASSERT_EQ(this->state_of(index, 4), "") << this->logs();
        }
        std::this_thread::sleep_for(20ms);
    }
    EXPECT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    this->expect_followed(4);
    EXPECT_TRUE(this->all_answer("/third/1", 404)) << this->logs();
}

// Guards against a version that is lost, or the next one that is passed over,
// when the store comes back while the instances are restarted in turn.
TEST_F(a_fleet_with_news_since_the_copy, follows_a_return_while_it_is_restarted)
{
    constexpr std::size_t down_at_the_return = 1;
    for (std::size_t index = 0; index < instance_count; ++index)
    {
        this->stop_instance(index);
        EXPECT_EQ(this->instances[index]->wait(), 0);
        if (index == down_at_the_return)
        {
            this->restore_store();
        }
        this->start_instance(index);
        ASSERT_TRUE(eventually(
            [this, index]
            {
                return this->readiness(index) == 200;
            }))
            << this->logs();
    }
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 200)) << this->logs();
    this->write_again();
    this->expect_news();
    this->expect_followed(3);
}

/// And one instance is frozen before the store comes back.
class a_fleet_with_a_frozen_instance : public a_fleet_with_news_since_the_copy
{
protected:
    static constexpr std::size_t frozen = instance_count - 1;

    void SetUp() override
    {
        a_fleet_with_news_since_the_copy::SetUp();
        this->instances[frozen]->send(SIGSTOP);
        this->restore_store();
        this->wait_for_the_others();
    }

    /// Waits until the other instances know of the return.
    void wait_for_the_others()
    {
        for (std::size_t index = 0; index < frozen; ++index)
        {
            ASSERT_TRUE(eventually(
                [this, index]
                {
                    return this->is_in_present_era(index);
                },
                follow_limit))
                << this->logs();
        }
    }

    void resume()
    {
        this->instances[frozen]->send(SIGCONT);
        ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    }
};

// Guards against an instance that goes on in the earlier era, or takes the copy
// for news, because it has not seen the return.
TEST_F(a_fleet_with_a_frozen_instance, follows_over_a_return)
{
    this->resume();
    this->expect_news_stay();
    this->write_again();
    this->expect_followed(3);
}

// Guards against an instance that passes over what was written in its absence
// because its own revisions are higher.
TEST_F(a_fleet_with_a_frozen_instance, takes_what_was_written_meanwhile)
{
    this->write_again();
    this->store.put("op/config", make_config_with_route(3, "third"));
    this->announce(2, "draining", 3);
    this->resume();
    EXPECT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
    EXPECT_TRUE(this->all_have(2, "draining")) << this->logs();
    EXPECT_TRUE(this->all_have(left, "")) << this->logs();
    this->expect_followed(4);
}

// Guards against an instance that lacks what was written and lost again between
// two returns, both of which it has missed.
TEST_F(a_fleet_with_a_frozen_instance, follows_over_two_returns)
{
    this->write_again();
    this->store.make_copy();
    this->store.put("op/config", make_config_with_route(3, "third"));
    this->store.remove("servers/s-4");
    for (std::size_t index = 0; index < frozen; ++index)
    {
        ASSERT_TRUE(eventually(
            [this, index]
            {
                return this->status_of(index, "/third/1") == 200 &&
                       this->state_of(index, 4).empty();
            },
            follow_limit))
            << this->logs();
    }
    this->restore_store();
    this->wait_for_the_others();
    this->resume();
    EXPECT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
    EXPECT_TRUE(this->all_have(4, "")) << this->logs();
    EXPECT_TRUE(this->all_have(left, "")) << this->logs();
    this->expect_followed(4);
}

/// And one more instance has a path of its own to the store, which ends before
/// the store comes back.
class a_fleet_with_a_cut_instance : public a_fleet_with_news_since_the_copy
{
protected:
    static constexpr std::size_t cut = instance_count;

    void SetUp() override
    {
        a_fleet_with_news_since_the_copy::SetUp();
        auto created =
            standin::relay::create(this->relay_io, {"127.0.0.1", 0},
                                   {"127.0.0.1", this->store.port()});
        ASSERT_TRUE(created);
        this->path = std::move(*created);
        this->relay_thread = std::thread(
            [this]
            {
                this->relay_io.run();
            });
        this->start_cut_instance();
        this->expect_news();
        this->end_path();
        this->restore_store();
    }

    void TearDown() override
    {
        a_fleet_with_news_since_the_copy::TearDown();
        this->relay_io.stop();
        if (this->relay_thread.joinable())
        {
            this->relay_thread.join();
        }
        this->path.reset();
    }

    void start_cut_instance()
    {
        this->source = this->path->port();
        this->write_settings(
            cut, fmt::format(R"("{}:{}")", this->address(0), this->peers));
        this->source = 0;
        this->start_instance(cut);
    }

    /// Runs a function on the thread of the relay and returns its result.
    template <class Function>
    auto on_relay_thread(Function function)
    {
        // Asio takes the future of a packaged task that it is given itself.
        const auto task =
            std::make_shared<std::packaged_task<decltype(function())()>>(
                std::move(function));
        auto result = task->get_future();
        asio::post(this->relay_io,
                   [task]
                   {
                       (*task)();
                   });
        return result.get();
    }

    void end_path()
    {
        this->on_relay_thread(
            [this]
            {
                this->path->set_cut({true, true});
            });
        this->bytes_at_cut = this->path_counts().bytes_to_client;
        ASSERT_GT(this->bytes_at_cut, 0U) << this->logs();
    }

    standin::relay_counts path_counts()
    {
        return this->on_relay_thread(
            [this]
            {
                return this->path->counts();
            });
    }

    asio::io_context relay_io{1};
    asio::executor_work_guard<asio::io_context::executor_type> relay_work{
        this->relay_io.get_executor()};
    std::unique_ptr<standin::relay> path;
    std::thread relay_thread;
    std::uint64_t bytes_at_cut = 0;
};

// Guards against an instance that takes nothing from the others because it has
// not seen the return itself.
TEST_F(a_fleet_with_a_cut_instance, follows_by_its_peers)
{
    ASSERT_TRUE(this->all_are_in_present_era()) << this->logs();
    this->expect_news_stay();
    this->write_again();
    this->announce(2, "draining", 3);
    this->expect_followed(3);
    EXPECT_TRUE(this->all_have(2, "draining")) << this->logs();
    EXPECT_TRUE(this->all_have(left, "")) << this->logs();
    EXPECT_EQ(this->path_counts().bytes_to_client, this->bytes_at_cut);
}

/// And the operator and the servers write again.
class a_fleet_after_a_store_copy : public a_fleet_in_the_gap
{
protected:
    void SetUp() override
    {
        a_fleet_in_the_gap::SetUp();
        this->write_again();
    }
};

// Guards against a configuration that is never taken because its revision was
// given out before: a dropped route is served and an added one is refused.
TEST_F(a_fleet_after_a_store_copy, follows_the_next_version)
{
    this->store.put("op/config", make_config_with_route(3, "third"));
    EXPECT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
}

// Guards against requests to a server that leaves and whose announcement is
// passed over because its revision was given out before.
TEST_F(a_fleet_after_a_store_copy, uses_no_server_that_leaves)
{
    this->announce(2, "draining", 3);
    EXPECT_TRUE(this->all_have(2, "draining")) << this->logs();
}

// Guards against calls without end: a watch from a revision that the store
// doesn't have, a listing, and the same watch again.
TEST_F(a_fleet_after_a_store_copy, lists_once)
{
    std::this_thread::sleep_for(observed_time);
    const std::uint64_t before = this->store.counts().listings;
    std::this_thread::sleep_for(observed_time);
    EXPECT_EQ(this->store.counts().listings, before) << this->logs();
}
