#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/server_holds.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};

} // namespace

// Guards against a stated time that is read wrongly, and against one that
// cannot be meant and blocks a server.
TEST(retry_after, is_a_number_of_seconds)
{
    EXPECT_EQ(core::parse_retry_after("2"), core::duration(2s));
    EXPECT_EQ(core::parse_retry_after("0.25"), core::duration(250ms));
    EXPECT_EQ(core::parse_retry_after(" 1.5\t"), core::duration(1500ms));
    EXPECT_EQ(core::parse_retry_after("0"), core::duration(0));
    for (const char* text : {"", " ", "soon", "2s", "1,5", "-1", "-0.001",
                             "inf", "-inf", "infinity", "nan", "-1e999", "0x10",
                             "1 2", "1.5.2", "Wed, 21 Oct 2026 07:28:00 GMT"})
    {
        EXPECT_FALSE(core::parse_retry_after(text)) << text;
    }
}

// Guards against a very large time that overflows, or blocks a server for
// ever.
TEST(retry_after, is_bounded)
{
    EXPECT_EQ(core::parse_retry_after("599"), core::duration(599s));
    EXPECT_EQ(core::parse_retry_after("601"), core::max_hold);
    EXPECT_EQ(core::parse_retry_after("1e300"), core::max_hold);
    EXPECT_EQ(core::parse_retry_after("1e999"), core::max_hold);
    EXPECT_EQ(core::parse_retry_after(std::string(5000, '9')), core::max_hold);
    EXPECT_EQ(core::parse_retry_after("1e-999"), core::duration(0));
}

// Guards against any text of a server that ends the process or yields a time
// outside the bounds.
RC_GTEST_PROP(any_retry_after, is_refused_or_within_the_bounds, ())
{
    const auto text = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("0123456789.-+eEinfa \t")));
    const auto parsed = core::parse_retry_after(text);
    RC_ASSERT(!parsed ||
              (*parsed >= core::duration(0) && *parsed <= core::max_hold));
}

/// Given a server that has turned the instance away for two seconds.
class a_held_server : public testing::Test
{
protected:
    void SetUp() override
    {
        this->holds.hold("a", 5, 2s, start);
    }

    core::server_holds holds;
};

// Guards against a server that is asked before its time, or not asked after
// it, and against a hold that applies to other servers.
TEST_F(a_held_server, is_free_after_its_time)
{
    EXPECT_EQ(this->holds.remaining("a", 5, start + 500ms),
              core::duration(1500ms));
    EXPECT_EQ(this->holds.remaining("a", 5, start + 2s), core::duration(0));
    EXPECT_EQ(this->holds.remaining("a", 5, start + 1h), core::duration(0));
    EXPECT_EQ(this->holds.remaining("b", 5, start), core::duration(0));
}

// Guards against a shorter time in a late answer that ends a hold early.
TEST_F(a_held_server, keeps_the_latest_end)
{
    this->holds.hold("a", 5, 100ms, start + 1s);
    EXPECT_EQ(this->holds.remaining("a", 5, start + 1s), core::duration(1s));
    this->holds.hold("a", 5, 3s, start + 1s);
    EXPECT_EQ(this->holds.remaining("a", 5, start + 1s), core::duration(3s));
}

// Guards against a restarted server that is kept without work, and against an
// answer of the run before it that holds the new one.
TEST_F(a_held_server, is_free_after_a_restart)
{
    EXPECT_EQ(this->holds.remaining("a", 6, start), core::duration(0));
    this->holds.hold("a", 6, 1s, start);
    this->holds.hold("a", 5, 10s, start);
    EXPECT_EQ(this->holds.remaining("a", 6, start), core::duration(1s));
}

// Guards against memory that grows with every server that has ever turned the
// instance away, and against dropping a hold that is long in force.
TEST_F(a_held_server, takes_bounded_memory)
{
    this->holds.hold("long", 5, 10min, start);
    for (int index = 0; index < 40000; ++index)
    {
        this->holds.hold("s" + std::to_string(index), 1, 5s,
                         start + std::chrono::microseconds(index));
    }
    EXPECT_LE(this->holds.size(), 16384U);
    EXPECT_GT(this->holds.remaining("long", 5, start + 1min),
              core::duration(0));
    EXPECT_TRUE(this->holds.drop_ended(start + 1h));
}

// Guards against any sequence of answers, restarts and times in which a server
// is asked during a time that its present run has stated, or kept without work
// by anything else.
RC_GTEST_PROP(holds, last_as_long_as_the_present_run_has_stated, ())
{
    struct model
    {
        std::uint64_t run = 1;
        /// End of the latest time that each run has stated.
        std::map<std::uint64_t, core::time_point> until;
    };

    core::server_holds holds;
    std::map<std::string, model> servers{{"a", {}}, {"b", {}}};
    core::time_point now = start;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step)
    {
        const std::string name = *rc::gen::element<std::string>("a", "b");
        model& server = servers[name];
        switch (*rc::gen::inRange(0, 4))
        {
        case 0:
            ++server.run;
            break;
        case 1:
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            break;
        case 2:
            holds.drop_ended(now);
            break;
        default:
        {
            // A late answer may be from an earlier run.
            const auto run =
                *rc::gen::inRange<std::uint64_t>(1, server.run + 1);
            const auto wait =
                std::chrono::milliseconds(*rc::gen::inRange(0, 4000));
            holds.hold(name, run, wait, now);
            core::time_point& until = server.until[run];
            until = std::max(until, now + wait);
            break;
        }
        }
        for (const auto& [server_name, state] : servers)
        {
            const auto stated = state.until.find(state.run);
            const core::duration expected =
                stated == state.until.end()
                    ? core::duration(0)
                    : std::max(stated->second - now, core::duration(0));
            RC_ASSERT(holds.remaining(server_name, state.run, now) == expected);
        }
    }
}
