#include "gateway_fixture.hpp"

#include <cstdlib>
#include <fmt/format.h>
#include <new>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// An allocation of the present thread that fails with std::bad_alloc.
struct failing_allocation
{
    std::size_t min_bytes = 0;
    std::size_t max_bytes = 0;
    unsigned countdown = 0; ///< allocations of this size until it; 0: none

    /// Whether the allocation must fail.
    bool applies_to(std::size_t bytes)
    {
        return this->countdown > 0 && bytes >= this->min_bytes &&
               bytes <= this->max_bytes && --this->countdown == 0;
    }
};

thread_local failing_allocation next_failure;

} // namespace

// The replaced functions of the whole program.
void* operator new(std::size_t bytes)
{
    if (next_failure.applies_to(bytes))
    {
        throw std::bad_alloc();
    }
    void* memory = std::malloc(bytes);
    if (memory == nullptr)
    {
        throw std::bad_alloc();
    }
    return memory;
}

void* operator new(std::size_t bytes, const std::nothrow_t& /*tag*/) noexcept
{
    return std::malloc(bytes);
}

// Not inlined: g++ would see free() called for memory of operator new, and
// report it.
[[gnu::noinline]] void operator delete(void* memory) noexcept
{
    std::free(memory);
}

[[gnu::noinline]] void operator delete(void* memory,
                                       std::size_t /*bytes*/) noexcept
{
    std::free(memory);
}

/// Fixture: one server, whose three slots are used up by three grants that are
/// not given back. Allocations of the gateway can be made to fail.
class a_gateway_fleet_without_memory : public a_gateway_fleet
{
protected:
    void add_servers(unsigned /*count*/) override
    {
        a_gateway_fleet::add_servers(1);
    }

    /// Shortens the time that a request may wait for another server.
    void shorten_deadlines()
    {
        auto changed = std::make_shared<core::document>(*this->document);
        for (core::route& route : changed->routes)
        {
            route.deadline = 400ms;
        }
        this->on_thread(
            [this, &changed]
            {
                this->fleet[0]->entry->apply_document(changed);
                return true;
            });
    }

    void fail_allocation(const failing_allocation& which)
    {
        this->on_thread(
            [&which]
            {
                next_failure = which;
                return true;
            });
    }

    /// Whether the allocation has failed. None fails from here on.
    bool end_failure()
    {
        return this->on_thread(
            []
            {
                return std::exchange(next_failure, {}).countdown == 0;
            });
    }

    /// Waits until no request runs at the instance; false after 2 s.
    bool wait_until_idle(std::size_t instance)
    {
        const auto limit = std::chrono::steady_clock::now() + 2s;
        while (std::chrono::steady_clock::now() < limit)
        {
            const auto running = this->on_thread(
                [this, instance]
                {
                    return this->fleet[instance]->entry->running_requests();
                });
            if (running == 0)
            {
                return true;
            }
            std::this_thread::sleep_for(2ms);
        }
        return false;
    }

    /// Long enough that copies of the target are told from other allocations by
    /// their size. The rest of the request's head is longer than the margin, so
    /// that buffers of the whole head are not meant.
    static constexpr std::size_t target_bytes = 3001;
    static constexpr std::size_t margin_bytes = 64;
};

// Guards against a request that ends without an answer, is said not to have run
// although it has, or runs twice, and against counts and grants that are kept,
// because an exception is thrown while it is served. Each copy of the request's
// target fails in turn.
TEST_F(a_gateway_fleet_without_memory, answers_and_releases_what_it_held)
{
    const std::string prefix = "/order/";
    const std::string target =
        prefix + std::string(target_bytes - prefix.size(), 'x');
    this->shorten_deadlines();
    unsigned failures = 0;
    bool failed = true;
    while (failed && failures < 40)
    {
        // More often than the server has slots.
        for (int repeat = 0; repeat < 4; ++repeat)
        {
            const std::size_t runs_before = this->executions();
            this->fail_allocation(
                {target_bytes, target_bytes + margin_bytes, failures + 1});
            const test_answer answer = this->call(0, target);
            failed = this->end_failure();
            const std::string told = fmt::format("allocation {}: status {}",
                                                 failures + 1, answer.status);
            const std::size_t runs = this->executions() - runs_before;
            EXPECT_FALSE(answer.cut) << told;
            EXPECT_LE(runs, 1U) << told;
            if (answer.status == 500 || answer.status == 503)
            {
                EXPECT_EQ(runs, 0U) << told;
            }
            if (!failed)
            {
                EXPECT_EQ(answer.status, 200U) << told;
            }
            ASSERT_TRUE(this->wait_until_idle(0)) << told;
        }
        ++failures;
    }
    EXPECT_GT(failures, 4U);
    EXPECT_LT(failures, 40U);
}

// Guards against an instance that accepts no further connection because one
// could not be set up.
TEST_F(a_gateway_fleet_without_memory, goes_on_accepting_connections)
{
    constexpr std::size_t read_buffer_bytes = 8192;
    this->fail_allocation({read_buffer_bytes, read_buffer_bytes, 1});
    EXPECT_TRUE(this->call(0, "/order/x").cut);
    ASSERT_TRUE(this->end_failure());
    auto next = std::async(std::launch::async,
                           [this]
                           {
                               return this->call(0, "/order/x");
                           });
    const bool answered = next.wait_for(3s) == std::future_status::ready;
    EXPECT_TRUE(answered);
    if (!answered)
    {
        // Closes the connection that nobody serves.
        this->end_fleet();
    }
    EXPECT_EQ(next.get().status, 200U);
}
