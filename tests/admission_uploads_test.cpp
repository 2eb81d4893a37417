#include <gtest/gtest.h>
#include <medlarbarrow/core/admission.hpp>

using namespace medlarbarrow;
using namespace std::chrono_literals;

/// A queue for a service with eight slots. All requests are of one account.
class a_queue_with_uploads : public testing::Test
{
protected:
    void SetUp() override
    {
        this->queue.set_capacity(8, 1);
    }

    /// Returns the code of the answer and counts the requests that start.
    core::result_code push(bool body_arriving)
    {
        const auto answer =
            this->queue.push({++this->last_id, "", core::route_priority::normal,
                              this->now + 90s, 1.0, body_arriving},
                             this->now);
        this->started += this->queue.pop_ready(this->now).ready.size();
        return answer.code;
    }

    core::admission_queue queue{256};
    core::time_point now{1000s};
    std::uint64_t last_id = 0;
    std::size_t started = 0;
};

// Guards against uploads of callers that never send the end of the body, hold
// all slots and fill the queue.
TEST_F(a_queue_with_uploads, starts_others_at_once)
{
    for (int count = 0; count < 1500; ++count)
    {
        this->push(true);
    }
    EXPECT_EQ(this->started, 4U);
    EXPECT_EQ(this->queue.waiting(), 256U);
    for (int count = 0; count < 4; ++count)
    {
        EXPECT_EQ(this->push(false), core::result_code::ok);
    }
    EXPECT_EQ(this->started, 8U);
}

// Guards against uploads that stay in the queue, and against a count of running
// ones that stays too high.
TEST_F(a_queue_with_uploads, starts_all_uploads_in_turn)
{
    for (int count = 0; count < 20; ++count)
    {
        this->push(true);
    }
    for (int count = 0; count < 20; ++count)
    {
        EXPECT_GT(this->queue.running(), 0U);
        this->now += 10ms;
        this->queue.completed(core::attempt_outcome::abandoned, 0ms, this->now,
                              true);
        this->started += this->queue.pop_ready(this->now).ready.size();
    }
    EXPECT_EQ(this->started, 20U);
    EXPECT_EQ(this->queue.running(), 0U);
    EXPECT_EQ(this->queue.waiting(), 0U);
}
