#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/caller.hpp>

using namespace medlarbarrow;
using tcp = boost::asio::ip::tcp;

/// A connection that waits for the first request of its caller.
class an_idle_connection : public testing::Test
{
protected:
    void SetUp() override
    {
        tcp::acceptor acceptor(this->io,
                               {boost::asio::ip::make_address("127.0.0.1"), 0});
        this->remote.connect(acceptor.local_endpoint());
        this->connection = std::make_shared<net::caller_connection>(
            net::caller_stream(acceptor.accept(), nullptr),
            config::entry_bounds{});
        boost::asio::co_spawn(
            this->io,
            [this]() -> boost::asio::awaitable<void>
            {
                this->status = co_await this->connection->read_head();
            },
            boost::asio::detached);
        this->io.poll();
    }

    void send(const std::string& text)
    {
        boost::asio::write(this->remote, boost::asio::buffer(text));
    }

    boost::asio::io_context io{1};
    tcp::socket remote{io};
    std::shared_ptr<net::caller_connection> connection;
    std::optional<net::head_status> status;
};

// Guards against a request that is lost because its connection is closed as
// idle, to make room for another one, after the request has been read from the
// socket and before its header is parsed.
TEST_F(an_idle_connection, is_not_idle_from_the_first_byte_of_a_request)
{
    ASSERT_TRUE(this->connection->idle_since());
    this->send("GET / HTTP/1.1\r\nHost: a.example\r\n\r\n");
    while (this->connection->idle_since())
    {
        // The bytes have not arrived at the socket yet.
    }
    while (!this->status && this->io.run_one() > 0)
    {
        EXPECT_FALSE(this->connection->idle_since());
    }
    EXPECT_EQ(this->status, net::head_status::complete);
}

// Guards against a caller that gets no answer because the rest of its header
// does not arrive before the instance ends.
TEST_F(an_idle_connection, reports_an_incomplete_header_when_reading_expires)
{
    this->send("GET / HTTP/1.1\r\nHost:");
    while (this->connection->idle_since())
    {
        this->io.poll();
    }
    this->connection->expire_reading();
    while (!this->status && this->io.run_one() > 0)
    {
    }
    EXPECT_EQ(this->status, net::head_status::timed_out);
}

// Guards against a request whose body ends early, and that is taken as
// complete.
TEST_F(an_idle_connection, is_gone_when_its_input_ends_inside_a_request)
{
    this->send("POST / HTTP/1.1\r\nHost: a.example\r\n"
               "Content-Length: 9\r\n\r\ncut");
    this->remote.shutdown(tcp::socket::shutdown_send);
    while (!this->status && this->io.run_one() > 0)
    {
    }
    ASSERT_EQ(this->status, net::head_status::complete);
    std::optional<bool> prefetched;
    boost::asio::co_spawn(
        this->io,
        [this, &prefetched]() -> boost::asio::awaitable<void>
        {
            prefetched = co_await this->connection->prefetch(1024);
        },
        boost::asio::detached);
    this->io.restart();
    while (!prefetched && this->io.run_one() > 0)
    {
    }
    EXPECT_EQ(prefetched, false);
    EXPECT_TRUE(this->connection->is_gone());
}

namespace
{

/// Another connection, which needs memory.
class hungry_holder : public core::body_holder
{
public:
    bool is_idle() override
    {
        return false;
    }

    void evict() override {}
    void end_stopped() override {}
    void drop_copy() override {}
};

} // namespace

/// Given a connection with a budget, and a body of which a first part has been
/// sent to a server.
class a_body_sent_in_part : public testing::Test
{
protected:
    static constexpr std::size_t sent_bytes = 40000;
    static constexpr std::size_t rest_bytes = 10000;
    static constexpr std::size_t budget_bytes = 1U << 20U;

    /// Runs the coroutine to its end.
    void run(std::function<boost::asio::awaitable<void>()> steps)
    {
        bool done = false;
        boost::asio::co_spawn(
            this->io,
            [&done, &steps]() -> boost::asio::awaitable<void>
            {
                co_await steps();
                done = true;
            },
            boost::asio::detached);
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::seconds(10);
        while (!done && std::chrono::steady_clock::now() < end)
        {
            this->io.run_one_for(std::chrono::milliseconds(100));
        }
        EXPECT_TRUE(done);
    }

    boost::asio::awaitable<void> send_first_part()
    {
        boost::asio::write(
            this->remote,
            boost::asio::buffer("POST / HTTP/1.1\r\nHost: a.example\r\n"
                                "Content-Length: 50000\r\n\r\n" +
                                std::string(sent_bytes, 'F')));
        EXPECT_EQ(co_await this->connection->read_head(),
                  net::head_status::complete);
        EXPECT_TRUE(co_await this->connection->prefetch(4096));
        std::uint64_t position = 0;
        while (position < sent_bytes)
        {
            const net::body_part part =
                co_await this->connection->read_body(position, this->stopped);
            position += part.data.size();
        }
        EXPECT_TRUE(this->connection->is_replayable());
    }

    /// Two other clients take what they can get.
    void use_up_budget()
    {
        for (core::body_account* other : {&this->second, &this->third})
        {
            other->hold(budget_bytes / 2);
            other->hold(budget_bytes / 2 - rest_bytes);
        }
    }

    boost::asio::io_context io{1};
    tcp::socket remote{io};
    tcp::acceptor acceptor{io, {boost::asio::ip::make_address("127.0.0.1"), 0}};
    std::shared_ptr<core::body_budget> budget =
        std::make_shared<core::body_budget>(core::body_limits{budget_bytes});
    std::shared_ptr<net::caller_connection> connection;
    hungry_holder holder;
    core::body_account second{budget, "10.0.0.2", holder};
    core::body_account third{budget, "10.0.0.3", holder};
    const bool stopped = false;

    void SetUp() override
    {
        this->remote.connect(this->acceptor.local_endpoint());
        this->connection = std::make_shared<net::caller_connection>(
            net::caller_stream(this->acceptor.accept(), nullptr),
            config::entry_bounds{}, this->budget, "10.0.0.1");
    }
};

// Guards against the rest of a body that is sent as if it were the whole body:
// the copy is dropped for others while a further attempt waits.
TEST_F(a_body_sent_in_part, is_not_sent_again_without_its_copy)
{
    this->run(
        [this]() -> boost::asio::awaitable<void>
        {
            co_await this->send_first_part();
            this->use_up_budget();
            EXPECT_FALSE(this->connection->is_replayable());
            boost::asio::write(this->remote, boost::asio::buffer(
                                                 std::string(rest_bytes, 'S')));
            const net::body_part part =
                co_await this->connection->read_body(0, this->stopped);
            EXPECT_TRUE(part.failed);
        });
}

// Guards against a retry that fails since its copy is dropped while it waits.
TEST_F(a_body_sent_in_part, keeps_its_copy_for_a_decided_retry)
{
    this->run(
        [this]() -> boost::asio::awaitable<void>
        {
            co_await this->send_first_part();
            this->connection->pin_copy();
            this->use_up_budget();
            EXPECT_TRUE(this->connection->is_replayable());
            const net::body_part part =
                co_await this->connection->read_body(0, this->stopped);
            EXPECT_EQ(part.data, std::string(sent_bytes, 'F'));
        });
}
