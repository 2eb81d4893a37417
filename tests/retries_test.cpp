#include <gtest/gtest.h>
#include <medlarbarrow/core/retries.hpp>
#include <random>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

// A first attempt that could not be sent, of a service whose budget holds three
// tokens from 30 first attempts.
class a_failed_attempt : public testing::Test
{
protected:
    void SetUp() override
    {
        this->facts.repeatable = true;
        this->facts.end = core::attempt_end::not_sent;
        this->facts.deadline = this->now + 1s;
        this->facts.typical_latency = 20ms;
        for (int index = 0; index < 30; ++index)
        {
            this->budget.add_first_attempt(this->now);
        }
    }

    core::retry_decision decide()
    {
        return core::decide_retry(this->facts, this->budget, this->now);
    }

    core::retry_budget budget{0.1};
    core::retry_context facts;
    core::time_point now{1s};
};

// Guards against a retry that is not made although tokens are available, and
// against a retry without a token.
TEST_F(a_failed_attempt, is_retried_while_the_budget_lasts)
{
    EXPECT_EQ(this->decide(), core::retry_decision::retry);
    EXPECT_EQ(this->decide(), core::retry_decision::retry);
    this->facts.attempt = 2;
    EXPECT_EQ(this->decide(), core::retry_decision::retry);
    EXPECT_EQ(this->decide(), core::retry_decision::no_budget);
}

// Guards against running an order twice, by retrying it after it may have run.
TEST_F(a_failed_attempt, is_not_retried_if_it_is_not_repeatable)
{
    this->facts.repeatable = false;
    EXPECT_EQ(this->decide(), core::retry_decision::not_repeatable);
}

// Guards against an answer mixed from two attempts: the caller has already
// received part of the first one.
TEST_F(a_failed_attempt, is_not_retried_after_a_byte_of_the_answer)
{
    this->facts.end = core::attempt_end::answer_cut_off;
    EXPECT_EQ(this->decide(), core::retry_decision::answer_begun);
}

// Guards against an attempt whose answer would arrive after the deadline.
TEST_F(a_failed_attempt, is_not_retried_without_time_for_an_answer)
{
    this->facts.deadline = this->now + 10ms;
    EXPECT_EQ(this->decide(), core::retry_decision::no_time);
}

// Guards against a request that is retried on every server.
TEST_F(a_failed_attempt, is_not_retried_beyond_the_attempt_limit)
{
    this->facts.attempt = core::attempt_limit;
    EXPECT_EQ(this->decide(), core::retry_decision::no_attempts_left);
}

// Guards against a request that crashes one server after another: after a
// connection that ended early, the crash owner must permit the retry. No token
// is taken before that.
TEST_F(a_failed_attempt,
       asks_the_crash_owner_first_when_the_connection_ended_early)
{
    this->facts.end = core::attempt_end::closed_early;
    EXPECT_EQ(this->decide(), core::retry_decision::ask_crash_owner);
    EXPECT_GE(this->budget.tokens(this->now), 2.9);
    this->facts.crash_permitted = true;
    EXPECT_EQ(this->decide(), core::retry_decision::retry);
}

// Guards against tokens that are saved in a busy hour and spent much later.
TEST_F(a_failed_attempt, is_not_retried_with_expired_tokens)
{
    this->now += 60s;
    this->facts.deadline = this->now + 1s;
    EXPECT_EQ(this->decide(), core::retry_decision::no_budget);
}

// Guards against retries that multiply an overload. At every point of a run,
// the retries of all instances so far stay within the fraction of their first
// attempts.
RC_GTEST_PROP(the_retry_budget,
              keeps_the_retries_of_the_fleet_within_the_fraction,
              (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    const double fraction = 0.05 * static_cast<double>(random() % 8);
    std::vector<core::retry_budget> fleet(1 + random() % 40,
                                          core::retry_budget(fraction));
    core::time_point now{1s};
    double attempts = 0.0;
    double retries = 0.0;
    for (int step = 0; step < 2000; ++step)
    {
        now += std::chrono::milliseconds(random() % 20);
        core::retry_budget& budget = fleet[random() % fleet.size()];
        if (random() % 2 == 0)
        {
            budget.add_first_attempt(now);
            ++attempts;
        }
        else if (budget.take_token(now))
        {
            ++retries;
        }
        RC_ASSERT(retries <= fraction * attempts + 1e-6);
    }
}
