#include <gtest/gtest.h>
#include <medlarbarrow/core/body_budget.hpp>
#include <optional>
#include <rapidcheck/gtest.h>
#include <vector>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t limit_bytes = 1000;
constexpr std::size_t limit_connections = 6;

/// A connection without a socket, which gives back its memory when it is told.
class connection : public core::body_holder
{
public:
    connection(std::shared_ptr<core::body_budget> budget,
               const std::string& client)
        : account(std::move(budget), client, *this)
    {
    }

    bool is_idle() override
    {
        return !this->has_input;
    }

    void evict() override
    {
        this->evicted = true;
    }

    void end_stopped() override
    {
        this->stopped = true;
        this->hold(0);
    }

    void drop_copy() override
    {
        this->dropped = true;
        this->hold(this->held - this->copy);
        this->copy = 0;
    }

    bool hold(std::size_t bytes)
    {
        const bool granted = this->account.hold(bytes);
        this->held = granted ? bytes : this->held;
        return granted;
    }

    void keep_copy(std::size_t bytes)
    {
        this->copy = bytes;
        this->account.set_copy(bytes);
    }

    core::body_account account;
    std::size_t held = 0;
    std::size_t copy = 0;
    bool has_input = false; ///< that has not been read
    bool evicted = false;
    bool stopped = false;
    bool dropped = false;
};

/// Two clients share a budget.
class a_body_budget : public testing::Test
{
protected:
    std::unique_ptr<connection> open(const std::string& client)
    {
        return std::make_unique<connection>(this->budget, client);
    }

    /// Opens a connection whose request waits for its client from now on.
    std::unique_ptr<connection> open_arriving(const std::string& client,
                                              std::size_t bytes)
    {
        auto opened = this->open(client);
        opened->hold(bytes);
        opened->account.wait_for_request(this->now);
        return opened;
    }

    core::time_point now{10s};
    std::shared_ptr<core::body_budget> budget =
        std::make_shared<core::body_budget>(
            core::body_limits{limit_bytes, limit_connections},
            [this]
            {
                return this->now;
            });
};

} // namespace

// Guards against memory that stays counted after its connection has ended,
// until every request is refused.
TEST_F(a_body_budget, takes_back_what_a_connection_held)
{
    auto first = this->open("a");
    EXPECT_TRUE(first->hold(400));
    EXPECT_TRUE(first->hold(100));
    EXPECT_EQ(this->budget->used(), 100U);
    first.reset();
    EXPECT_EQ(this->budget->used(), 0U);
    EXPECT_EQ(this->budget->connections(), 0U);
    EXPECT_TRUE(this->open("a")->hold(limit_bytes / 2));
}

// Guards against a client that takes the memory of all others.
TEST_F(a_body_budget, gives_one_client_at_most_half)
{
    const auto first = this->open("a");
    EXPECT_TRUE(first->hold(500));
    EXPECT_FALSE(this->open("a")->hold(1));
    EXPECT_TRUE(this->open("b")->hold(500));
}

// Guards against memory of a crowd that is kept after it, and against giving
// memory back again and again.
TEST_F(a_body_budget, tells_once_that_much_has_been_given_back)
{
    constexpr std::size_t large_bytes = std::size_t{16} << 20U;
    this->budget = std::make_shared<core::body_budget>(
        core::body_limits{2 * large_bytes, limit_connections});
    const auto first = this->open("a");
    EXPECT_TRUE(first->hold(large_bytes));
    EXPECT_FALSE(this->budget->take_fall());
    EXPECT_TRUE(first->hold(large_bytes / 2));
    EXPECT_FALSE(this->budget->take_fall());
    EXPECT_TRUE(first->hold(0));
    EXPECT_TRUE(this->budget->take_fall());
    EXPECT_FALSE(this->budget->take_fall());
}

/// It is used up by two bodies of one client each.
class an_exhausted_body_budget : public a_body_budget
{
protected:
    void SetUp() override
    {
        this->older = this->open_arriving("a", 500);
        this->now += 100ms;
        this->newer = this->open_arriving("b", 400);
        this->asking = this->open("c");
        this->asking->hold(100);
    }

    std::unique_ptr<connection> older;
    std::unique_ptr<connection> newer;
    std::unique_ptr<connection> asking;
};

// Guards against a body that is ended although its bytes still arrive.
TEST_F(an_exhausted_body_budget, refuses_while_no_body_has_stopped)
{
    this->now += 450ms;
    this->older->account.record_progress();
    this->now += 40ms;
    EXPECT_FALSE(this->asking->hold(101));
    EXPECT_EQ(this->asking->held, 100U);
    EXPECT_EQ(this->budget->used(), limit_bytes);
    EXPECT_FALSE(this->older->stopped || this->newer->stopped);
}

// Guards against requests that are refused because stopped ones keep the
// memory, and against ending more of them, or others, than is necessary.
TEST_F(an_exhausted_body_budget, ends_the_body_that_stopped_first)
{
    this->now += 1s;
    EXPECT_TRUE(this->asking->hold(101));
    EXPECT_TRUE(this->older->stopped);
    EXPECT_FALSE(this->newer->stopped);
    EXPECT_EQ(this->budget->counters().stopped_ended, 1U);
}

// Guards against ending a request that waits for its server, not its client,
// or of which part has been sent.
TEST_F(an_exhausted_body_budget, ends_no_request_that_does_not_wait)
{
    this->older->account.end_wait();
    this->newer->account.end_wait();
    this->now += 10s;
    EXPECT_FALSE(this->asking->hold(101));
    EXPECT_FALSE(this->older->stopped || this->newer->stopped);
}

// Guards against a body that is refused to keep a copy of another one.
TEST_F(an_exhausted_body_budget, drops_copies_before_it_ends_a_body)
{
    this->newer->account.end_wait();
    this->newer->keep_copy(300);
    this->now += 1s;
    EXPECT_TRUE(this->asking->hold(400));
    EXPECT_TRUE(this->newer->dropped);
    EXPECT_FALSE(this->older->stopped);
    EXPECT_EQ(this->budget->counters().copies_dropped, 1U);
}

// Guards against a client beyond its share that ends the bodies of others.
TEST_F(an_exhausted_body_budget, takes_the_share_of_a_client_from_itself)
{
    this->now += 1s;
    const auto own = this->open("a");
    EXPECT_TRUE(own->hold(1));
    EXPECT_TRUE(this->older->stopped);
    const auto other = this->open("a");
    EXPECT_FALSE(other->hold(500));
    EXPECT_FALSE(this->newer->stopped);
}

/// All its connections are open: three of one client, three of others.
class a_full_body_budget : public a_body_budget
{
protected:
    void SetUp() override
    {
        for (std::size_t count = 0; count < limit_connections; ++count)
        {
            ASSERT_TRUE(this->budget->admit(this->client_of(count)));
            this->open_ones.push_back(this->open(this->client_of(count)));
        }
    }

    static std::string client_of(std::size_t number)
    {
        return number % 2 == 0 ? "a" : std::to_string(number);
    }

    void make_idle(std::size_t number, core::time_point since)
    {
        this->open_ones[number]->account.wait_idle(since);
    }

    std::vector<std::unique_ptr<connection>> open_ones;
};

// Guards against connections without limit, and against ending a request that
// is being served.
TEST_F(a_full_body_budget, refuses_another_one_while_all_are_busy)
{
    EXPECT_FALSE(this->budget->admit("z"));
    EXPECT_FALSE(this->budget->admit("a"));
    EXPECT_EQ(this->budget->counters().connections_refused, 2U);
}

// Guards against closing a connection whose next request has arrived.
TEST_F(a_full_body_budget, closes_the_longest_idle_one)
{
    this->make_idle(1, core::time_point(1s));
    this->make_idle(3, core::time_point(2s));
    this->make_idle(5, core::time_point(3s));
    this->open_ones[1]->has_input = true;
    EXPECT_TRUE(this->budget->admit("z"));
    EXPECT_FALSE(this->open_ones[1]->evicted);
    EXPECT_TRUE(this->open_ones[3]->evicted);
    EXPECT_FALSE(this->open_ones[5]->evicted);
    EXPECT_EQ(this->budget->connections(), limit_connections - 1);
}

// Guards against unfinished requests that keep all others out.
TEST_F(a_full_body_budget, ends_the_request_that_stopped_first)
{
    this->open_ones[1]->account.wait_for_request(this->now);
    this->open_ones[3]->account.wait_for_request(this->now - 1s);
    EXPECT_TRUE(this->budget->admit("z"));
    EXPECT_TRUE(this->open_ones[3]->stopped);
    const auto opened = this->open("z");
    EXPECT_FALSE(this->budget->admit("z"));
    EXPECT_FALSE(this->open_ones[1]->stopped);
}

// Guards against a client whose connections push those of the others out.
TEST_F(a_full_body_budget, takes_the_place_of_a_client_from_itself)
{
    this->make_idle(1, core::time_point(1s));
    EXPECT_FALSE(this->budget->admit("a"));
    this->make_idle(2, core::time_point(2s));
    EXPECT_TRUE(this->budget->admit("a"));
    EXPECT_TRUE(this->open_ones[2]->evicted);
    EXPECT_FALSE(this->open_ones[1]->evicted);
}

// Guards against a client that keeps more than its share while others want in.
TEST_F(a_full_body_budget, takes_from_a_client_beyond_its_share_first)
{
    this->make_idle(1, core::time_point(1s));
    this->open_ones[2]->account.wait_for_request(this->now);
    EXPECT_TRUE(this->budget->admit("z"));
    EXPECT_TRUE(this->open_ones[2]->stopped);
    EXPECT_FALSE(this->open_ones[1]->evicted);
}

// Guards against a client that takes each place that becomes free while others
// want in, and against a limit for it when nobody else does.
TEST_F(a_full_body_budget, keeps_a_client_to_its_share_while_others_want_in)
{
    EXPECT_FALSE(this->budget->admit("z"));
    this->open_ones[1].reset();
    EXPECT_FALSE(this->budget->admit("a"));
    this->now += 11s;
    EXPECT_TRUE(this->budget->admit("a"));
}

namespace
{

/// What one step of a random history does.
enum class deed
{
    open,
    close,
    grow,
    shrink,
    wait,
    work,
    copy
};

} // namespace

// Guards against any order of events in which connections hold more than the
// limits or the counters differ from what is held.
RC_GTEST_PROP(body_budget, never_goes_beyond_its_limits, ())
{
    core::time_point now{10s};
    const auto budget = std::make_shared<core::body_budget>(
        core::body_limits{limit_bytes, limit_connections},
        [&now]
        {
            return now;
        });
    std::vector<std::pair<std::string, std::unique_ptr<connection>>> open_ones;
    const auto step_count = *rc::gen::inRange(1, 200);
    for (int step = 0; step < step_count; ++step)
    {
        now += std::chrono::milliseconds(*rc::gen::inRange(0, 300));
        const auto chosen = static_cast<deed>(*rc::gen::inRange(0, 7));
        const auto amount = *rc::gen::inRange<std::size_t>(1, 400);
        if (chosen == deed::open)
        {
            const std::string client(1, *rc::gen::inRange('a', 'd'));
            if (budget->admit(client))
            {
                open_ones.emplace_back(
                    client, std::make_unique<connection>(budget, client));
            }
        }
        else if (!open_ones.empty())
        {
            const auto index =
                *rc::gen::inRange<std::size_t>(0, open_ones.size());
            connection& current = *open_ones[index].second;
            const bool ended = current.stopped || current.evicted;
            if (chosen == deed::close || ended)
            {
                open_ones.erase(open_ones.begin() +
                                static_cast<std::ptrdiff_t>(index));
            }
            else if (chosen == deed::grow)
            {
                current.hold(current.held + amount);
            }
            else if (chosen == deed::shrink)
            {
                current.keep_copy(0);
                current.hold(current.held / 2);
            }
            else if (chosen == deed::wait)
            {
                current.account.wait_for_request(now);
            }
            else if (chosen == deed::work)
            {
                current.account.end_wait();
            }
            else
            {
                current.keep_copy(current.held / 2);
            }
        }
        std::size_t total = 0;
        std::size_t counted = 0;
        std::map<std::string, std::size_t> by_client;
        for (const auto& [client, opened] : open_ones)
        {
            total += opened->held;
            by_client[client] += opened->held;
            counted += opened->stopped || opened->evicted ? 0 : 1;
        }
        RC_ASSERT(budget->used() == total);
        RC_ASSERT(total <= limit_bytes);
        RC_ASSERT(budget->connections() == counted);
        RC_ASSERT(counted <= limit_connections);
        for (const auto& [client, bytes] : by_client)
        {
            RC_ASSERT(bytes <= limit_bytes / 2);
        }
    }
}
