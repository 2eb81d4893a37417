#include <gtest/gtest.h>
#include <medlarbarrow/core/shutdown.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{std::chrono::hours(1)};

} // namespace

/// A shutdown with the grace and the margin of the users.
class a_shutdown : public testing::Test
{
protected:
    bool can_finish(core::duration after,
                    bool repeatable,
                    core::duration typical,
                    core::duration time_to_deadline = 1h) const
    {
        return this->plan.can_finish(
            {repeatable, typical, start + after + time_to_deadline},
            start + after);
    }

    core::shutdown_plan plan{start, 6s, 300ms};
};

// Guards against requests that come so late that the platform does not excuse
// it when they are broken off, and against refusals in the time in which the
// load balancer still sends requests.
TEST_F(a_shutdown, takes_requests_for_less_than_half_of_the_grace)
{
    EXPECT_TRUE(this->plan.takes(start));
    EXPECT_TRUE(this->plan.takes(start + 2300ms));
    EXPECT_TRUE(this->plan.takes(start + 2800ms));
    EXPECT_FALSE(this->plan.takes(start + 2801ms));
    EXPECT_FALSE(this->plan.takes(start + 3s));
}

// Guards against requests that reach a server and cannot end before the exit.
TEST_F(a_shutdown, sends_only_what_can_end)
{
    EXPECT_TRUE(this->can_finish(1s, true, 4s));
    EXPECT_FALSE(this->can_finish(2s, true, 4s));
    EXPECT_TRUE(this->can_finish(4900ms, true, 600ms));
    EXPECT_FALSE(this->can_finish(5s, true, 1ms));
}

// Guards against an order whose outcome stays unknown because it took slightly
// longer than usual.
TEST_F(a_shutdown, keeps_a_reserve_for_requests_that_may_not_be_repeated)
{
    EXPECT_TRUE(this->can_finish(2s, true, 3s));
    EXPECT_FALSE(this->can_finish(2s, false, 3s));
    EXPECT_TRUE(this->can_finish(2s, false, 2s));
}

// Guards against the refusal of a request that is answered by its deadline.
TEST_F(a_shutdown, sends_what_its_deadline_ends)
{
    EXPECT_TRUE(this->can_finish(2s, false, 10s, 3s));
    EXPECT_FALSE(this->can_finish(2s, false, 10s, 4s));
}

// Guards against callers that wait although another instance could serve them.
TEST_F(a_shutdown, lets_refused_callers_retry_soon)
{
    EXPECT_GT(this->plan.retry_after(), 0s);
    EXPECT_LE(this->plan.retry_after(), 100ms);
}

// Guards against requests that are broken off before the last sixth of the
// grace.
TEST_F(a_shutdown, lets_servers_work_until_shortly_before_the_exit)
{
    EXPECT_EQ(this->plan.waiting_refused_at(), start + 5s);
    EXPECT_GE(this->plan.running_ended_at(), start + 5500ms);
    EXPECT_EQ(this->plan.exit_at(), start + 5700ms);
}

// Guards against times in the wrong order for another grace or margin, for
// example one that is longer than the grace.
RC_GTEST_PROP(a_shutdown_of_any_length, has_its_times_in_order, ())
{
    const core::duration grace =
        std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
    const core::duration margin =
        std::chrono::milliseconds(*rc::gen::inRange(0, 2'000));
    const core::shutdown_plan plan(start, grace, margin);
    RC_ASSERT(start <= plan.waiting_refused_at());
    RC_ASSERT(plan.waiting_refused_at() <= plan.running_ended_at());
    RC_ASSERT(plan.running_ended_at() <= plan.exit_at());
    RC_ASSERT(plan.exit_at() <= start + grace);
    RC_ASSERT(!plan.takes(start + grace / 2));
    const core::duration typical =
        std::chrono::milliseconds(*rc::gen::inRange(0, 10'000));
    const core::time_point now =
        start + std::chrono::milliseconds(*rc::gen::inRange(0, 100'000));
    if (plan.can_finish({true, typical, core::time_point::max()}, now))
    {
        RC_ASSERT(now + typical <= plan.exit_at());
    }
}
