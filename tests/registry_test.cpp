#include <gtest/gtest.h>
#include <medlarbarrow/core/recent_leaving_marks.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};

core::announced_server announce(const std::string& name, std::uint64_t started)
{
    core::announced_server announced;
    announced.server.name = name;
    announced.service = "specbook";
    announced.started = started;
    return announced;
}

} // namespace

/// Given a registry with two servers, one of which is marked as leaving.
class a_registry_with_a_leaving_server : public testing::Test
{
protected:
    void SetUp() override
    {
        this->registry.put(announce("a", 5));
        this->registry.put(announce("b", 5));
        ASSERT_TRUE(this->registry.mark_leaving({"a", 5}, start));
    }

    bool is_usable(const std::string& name) const
    {
        const auto usable = this->registry.usable("specbook");
        return std::any_of(usable.begin(), usable.end(),
                           [&name](const core::announced_server* announced)
                           {
                               return announced->server.name == name;
                           });
    }

    core::server_registry registry;
};

// Guards against new requests for a server that has said that it leaves, and
// against a change of the usable servers that nobody notices.
TEST_F(a_registry_with_a_leaving_server, does_not_offer_that_server)
{
    EXPECT_FALSE(this->is_usable("a"));
    EXPECT_TRUE(this->is_usable("b"));
    EXPECT_TRUE(this->registry.find("a")->leaving);
    const std::uint64_t before = this->registry.version();
    EXPECT_TRUE(this->registry.mark_leaving({"b", 5}, start));
    EXPECT_NE(this->registry.version(), before);
}

// Guards against a heartbeat of a server that never reports that it leaves: the
// entry is rewritten as ready and would lift the mark.
TEST_F(a_registry_with_a_leaving_server, keeps_the_mark_of_an_announced_run)
{
    this->registry.put(announce("a", 5));
    EXPECT_FALSE(this->is_usable("a"));
    this->registry.put(announce("a", 4));
    EXPECT_FALSE(this->is_usable("a"));
}

// Guards against an entry that lapses during an outage of the store and comes
// back: the run is still the one that leaves, also if its start is not stated.
TEST_F(a_registry_with_a_leaving_server, keeps_the_mark_of_a_removed_run)
{
    for (const auto kind :
         {core::removal_kind::lapsed, core::removal_kind::certain})
    {
        this->registry.remove("a", kind, start);
        this->registry.tick(start + 30min);
        this->registry.put(announce("a", 5));
        EXPECT_FALSE(this->is_usable("a"));
    }
    this->registry.remove("a", core::removal_kind::certain, start);
    this->registry.put(announce("a", 0));
    EXPECT_FALSE(this->is_usable("a"));
}

// Guards against a restarted server that stays without work because the run
// before it left.
TEST_F(a_registry_with_a_leaving_server, uses_a_newer_run)
{
    this->registry.put(announce("a", 6));
    EXPECT_TRUE(this->is_usable("a"));
    EXPECT_FALSE(this->registry.is_marked_leaving({"a", 6}));
}

// Guards against a server that stays out of use for ever because its clock was
// ahead when it left, or because of a report about a run that never comes: a
// run of an earlier start is then the present one.
TEST_F(a_registry_with_a_leaving_server, uses_an_earlier_start_after_an_hour)
{
    this->registry.put(announce("h", 9));
    this->registry.mark_leaving({"h", 9}, start);
    this->registry.remove("h", core::removal_kind::certain, start);
    this->registry.put(announce("h", 5));
    this->registry.mark_leaving({"b", 8}, start);
    this->registry.tick(start + 59min);
    EXPECT_FALSE(this->is_usable("h"));
    EXPECT_FALSE(this->is_usable("b"));
    this->registry.tick(start + 1h);
    EXPECT_TRUE(this->is_usable("h"));
    EXPECT_TRUE(this->is_usable("b"));
    EXPECT_FALSE(this->is_usable("a"));
    this->registry.put(announce("b", 8));
    EXPECT_FALSE(this->is_usable("b"));
}

// Guards against a late report about an earlier run that takes a newer one out
// of use.
TEST_F(a_registry_with_a_leaving_server, ignores_marks_of_older_runs)
{
    EXPECT_FALSE(this->registry.mark_leaving({"b", 4}, start));
    EXPECT_FALSE(this->registry.mark_leaving({"b", 0}, start));
    EXPECT_TRUE(this->is_usable("b"));
}

// Guards against news that is passed on without end: only what was not known
// counts as news.
TEST_F(a_registry_with_a_leaving_server, tells_news_from_what_is_known)
{
    EXPECT_FALSE(this->registry.mark_leaving({"a", 5}, start));
    EXPECT_FALSE(this->registry.mark_leaving({"a", 4}, start));
    auto leaving = announce("c", 5);
    leaving.leaving = true;
    this->registry.put(leaving);
    EXPECT_FALSE(this->registry.mark_leaving({"c", 5}, start));
    this->registry.put(announce("c", 5));
    EXPECT_FALSE(this->is_usable("c"));
}

// Guards against a mark that arrives before the server's entry and is lost.
TEST_F(a_registry_with_a_leaving_server, keeps_marks_of_unknown_servers)
{
    EXPECT_TRUE(this->registry.mark_leaving({"d", 7}, start));
    this->registry.put(announce("d", 7));
    EXPECT_FALSE(this->is_usable("d"));
    this->registry.put(announce("d", 8));
    EXPECT_TRUE(this->is_usable("d"));
}

// Guards against a server without a known start whose mark is lifted by its
// next announcement.
TEST_F(a_registry_with_a_leaving_server, keeps_the_mark_of_an_unknown_start)
{
    this->registry.put(announce("e", 0));
    EXPECT_TRUE(this->registry.mark_leaving({"e", 0}, start));
    this->registry.put(announce("e", 0));
    EXPECT_FALSE(this->is_usable("e"));
}

/// Given a server without a start time that has said that it leaves and goes
/// on to announce itself as ready.
class a_registry_with_a_leaving_run_of_unknown_start
    : public a_registry_with_a_leaving_server
{
protected:
    void SetUp() override
    {
        this->announce_run(7);
        ASSERT_TRUE(this->registry.mark_leaving({"e", 0}, start));
    }

    void announce_run(std::uint64_t sequence, bool leaving = false)
    {
        auto announced = announce("e", 0);
        announced.sequence = sequence;
        announced.leaving = leaving;
        this->registry.put(announced);
    }
};

// Guards against a server without a start time that stays out of use for ever
// after it has left once and started again.
TEST_F(a_registry_with_a_leaving_run_of_unknown_start, uses_the_next_run)
{
    this->registry.remove("e", core::removal_kind::certain, start + 20s);
    this->announce_run(1);
    EXPECT_TRUE(this->is_usable("e"));
    EXPECT_FALSE(this->registry.is_marked_leaving({"e", 0}));
}

// Guards against an entry that only lapsed, or never vanished, and counts as a
// new run although the leaving one may still work.
TEST_F(a_registry_with_a_leaving_run_of_unknown_start, knows_the_same_run_again)
{
    this->announce_run(8);
    EXPECT_FALSE(this->is_usable("e"));
    for (const auto kind :
         {core::removal_kind::lapsed, core::removal_kind::certain})
    {
        this->registry.remove("e", kind, start + 20s);
        this->registry.tick(start + 5min);
        this->announce_run(8);
        EXPECT_FALSE(this->is_usable("e"));
    }
    this->announce_run(1, true);
    EXPECT_FALSE(this->is_usable("e"));
    this->announce_run(2);
    EXPECT_FALSE(this->is_usable("e"));
}

// Guards against a mark without an end where sequences do not start again,
// whichever run it was set for and whether or not the server is announced.
TEST_F(a_registry_with_a_leaving_run_of_unknown_start, is_unmarked_after_a_time)
{
    this->registry.put(announce("f", 5));
    this->registry.mark_leaving({"f", 5}, start);
    this->registry.remove("f", core::removal_kind::certain, start);
    this->registry.put(announce("f", 0));
    this->registry.mark_leaving({"g", 0}, start);
    const std::uint64_t before = this->registry.version();
    this->registry.tick(start + core::unknown_run_lifetime - 1s);
    EXPECT_FALSE(this->is_usable("e"));
    EXPECT_FALSE(this->is_usable("f"));
    EXPECT_TRUE(this->registry.is_marked_leaving({"g", 0}));
    this->registry.tick(start + core::unknown_run_lifetime + 1min);
    EXPECT_TRUE(this->is_usable("e"));
    EXPECT_FALSE(this->is_usable("f"));
    EXPECT_FALSE(this->registry.is_marked_leaving({"g", 0}));
    EXPECT_NE(this->registry.version(), before);
    this->registry.tick(start + 1h);
    EXPECT_TRUE(this->is_usable("f"));
    EXPECT_TRUE(this->registry.is_marked_leaving({"f", 5}));
}

// Guards against a server that is taken into use at the end of its mark
// although its announcement says that it leaves.
TEST_F(a_registry_with_a_leaving_run_of_unknown_start, still_hears_the_server)
{
    this->announce_run(8, true);
    this->registry.tick(start + core::unknown_run_lifetime + 1min);
    EXPECT_FALSE(this->is_usable("e"));
    this->announce_run(1);
    EXPECT_TRUE(this->is_usable("e"));
}

// Guards against a mark that instances pass to each other in turn, each after
// its own has ended, and against a new run whose own word is ignored.
TEST_F(a_registry_with_a_leaving_run_of_unknown_start, takes_no_late_news)
{
    const auto passed_on = core::mark_origin::other_instance;
    this->announce_run(1);
    this->registry.tick(start + 10s);
    EXPECT_FALSE(this->registry.mark_leaving({"e", 0}, start + 20s, passed_on));
    EXPECT_TRUE(this->is_usable("e"));
    EXPECT_TRUE(this->registry.mark_leaving({"e", 0}, start + 21s));
    EXPECT_FALSE(this->is_usable("e"));
    this->registry.tick(start + core::unknown_run_lifetime + 2min);
    const auto ended = start + core::unknown_run_lifetime + 2min;
    EXPECT_TRUE(this->is_usable("e"));
    EXPECT_FALSE(
        this->registry.mark_leaving({"e", 0}, ended + 1min, passed_on));
    this->registry.tick(ended + core::ended_mark_lifetime);
    EXPECT_TRUE(this->registry.mark_leaving(
        {"e", 0}, ended + core::ended_mark_lifetime, passed_on));
}

// Guards against memory that grows with every server that has ever left: old
// marks of gone servers are dropped, those of announced servers never.
TEST_F(a_registry_with_a_leaving_server, drops_old_marks_of_gone_servers)
{
    constexpr std::uint64_t gone = 6000;
    for (std::uint64_t index = 0; index < gone; ++index)
    {
        const std::string name = "gone-" + std::to_string(index);
        this->registry.mark_leaving({name, 1},
                                    start + std::chrono::milliseconds(index));
    }
    EXPECT_FALSE(this->registry.is_marked_leaving({"gone-0", 1}));
    EXPECT_TRUE(this->registry.is_marked_leaving({"gone-5999", 1}));
    EXPECT_TRUE(this->registry.is_marked_leaving({"a", 5}));
    this->registry.tick(start + 2h);
    EXPECT_FALSE(this->registry.is_marked_leaving({"gone-5999", 1}));
    EXPECT_TRUE(this->registry.is_marked_leaving({"a", 5}));
}

// Guards against any order of announcements, removals, marks and pauses after
// which a marked run, or one before it, is offered, or a newer one is not.
RC_GTEST_PROP(a_registry, offers_exactly_the_runs_after_the_last_mark, ())
{
    core::server_registry registry;
    core::time_point now = start;
    std::map<std::string, std::uint64_t> newest_mark;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        const std::string name = *rc::gen::element<std::string>("a", "b");
        const auto started = *rc::gen::inRange<std::uint64_t>(1, 6);
        const core::announced_server* known = registry.find(name);
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            registry.put(announce(name, started));
            break;
        case 1:
            // A newer registered run makes the mark an old report.
            if (known == nullptr || known->started <= started)
            {
                newest_mark[name] = std::max(newest_mark[name], started);
            }
            registry.mark_leaving({name, started}, now);
            break;
        case 2:
            registry.remove(name,
                            *rc::gen::element(core::removal_kind::certain,
                                              core::removal_kind::lapsed),
                            now);
            break;
        default:
            now += std::chrono::seconds(*rc::gen::inRange(0, 5));
            registry.tick(now);
            break;
        }
        known = registry.find(name);
        if (known != nullptr)
        {
            RC_ASSERT(known->leaving == (known->started <= newest_mark[name]));
        }
    }
}

/// Given some runs to pass on.
class recent_leaving_marks : public testing::Test
{
protected:
    core::recent_leaving_marks news;
};

// Guards against a run that is passed on for ever, or not at all.
TEST_F(recent_leaving_marks, is_passed_on_for_a_limited_time)
{
    this->news.add({"a", 5}, start);
    ASSERT_EQ(this->news.take(start + 1s).size(), 1U);
    EXPECT_EQ(this->news.take(start + 9s).front().started, 5U);
    EXPECT_TRUE(this->news.take(start + 10s).empty());
}

// Guards against a message that exceeds a datagram, and against runs that never
// get their turn when many servers leave at once.
TEST_F(recent_leaving_marks, takes_turns_in_messages_of_limited_size)
{
    constexpr std::size_t runs = 40;
    for (std::size_t index = 0; index < runs; ++index)
    {
        this->news.add({"server-" + std::to_string(index), 1}, start);
    }
    std::map<std::string, unsigned> sent;
    for (int message = 0; message < 8; ++message)
    {
        std::size_t bytes = 0;
        for (const core::leaving_run& run : this->news.take(start))
        {
            bytes += run.server.size() + core::leaving_run_overhead;
            ++sent[run.server];
        }
        EXPECT_LE(bytes, core::max_leaving_bytes);
    }
    EXPECT_EQ(sent.size(), runs);
    this->news.add({std::string(500, 'x'), 1}, start);
    EXPECT_FALSE(this->news.take(start).empty());
}

// Guards against memory that grows while servers leave faster than gossip can
// tell, and against dropping the newest.
TEST_F(recent_leaving_marks, keeps_a_bounded_number_of_runs)
{
    for (std::size_t index = 0; index < 1000; ++index)
    {
        this->news.add({"s" + std::to_string(index), 1},
                       start + std::chrono::milliseconds(index));
    }
    EXPECT_EQ(this->news.take(start + 1s).front().server, "s999");
    std::map<std::string, unsigned> sent;
    for (int message = 0; message < 200; ++message)
    {
        for (const core::leaving_run& run : this->news.take(start + 1s))
        {
            ++sent[run.server];
        }
    }
    EXPECT_EQ(sent.size(), 128U);
    EXPECT_TRUE(sent.contains("s999"));
}
