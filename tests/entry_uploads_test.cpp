#include "entry_fixture.hpp"

#include <fmt/format.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using std::chrono::milliseconds;

namespace
{

constexpr std::size_t upload_bytes = 300000;
constexpr std::size_t stop_bytes = 100; ///< that a stopped upload lacks
constexpr milliseconds stall_limit{400};

} // namespace

/// The limit of a caller that sends nothing is short, and requests have much
/// more time.
class entry_with_uploads : public entry_fixture
{
protected:
    void SetUp() override
    {
        this->settings.bounds.idle_timeout = stall_limit;
        this->start();
    }

    /// Starts an upload and sends the first `count` bytes of its body.
    void start_upload(caller& connection, std::size_t count)
    {
        connection.send(fmt::format("POST /reports/1 HTTP/1.1\r\n"
                                    "Host: reef.example\r\nX-Api-Key: {}\r\n"
                                    "Content-Length: {}\r\n\r\n{}",
                                    account_key, upload_bytes,
                                    std::string(count, 'u')));
    }
};

// Guards against an upload that holds a server until the deadline since its
// caller has stopped, against a caller that is told that such a request didn't
// run, and against a server that is blamed for it.
TEST_F(entry_with_uploads, ends_one_that_stops)
{
    const auto start = std::chrono::steady_clock::now();
    caller connection(this->port());
    this->start_upload(connection, upload_bytes - stop_bytes);
    const answer received = connection.receive();
    const auto elapsed = std::chrono::steady_clock::now() - start;
    EXPECT_EQ(received.status(), 504U);
    EXPECT_EQ(received["Medlar-Outcome"], "unknown");
    EXPECT_EQ(received["Medlar-Code"], std::to_string(static_cast<int>(
                                           core::result_code::body_stalled)));
    EXPECT_GE(elapsed, stall_limit);
    EXPECT_LT(elapsed, std::chrono::seconds(8));
    EXPECT_TRUE(connection.is_closed());
    const auto servers = this->on_thread(
        [this]
        {
            return this->node->view(now().monotonic).servers;
        });
    ASSERT_EQ(servers.size(), 1U);
    EXPECT_EQ(servers.front().error_fraction, 0.0);
    EXPECT_EQ(servers.front().in_flight, 0U);
}

// Guards against an upload that is ended although it makes progress.
TEST_F(entry_with_uploads, serves_one_that_is_slow)
{
    constexpr std::size_t steps = 10;
    constexpr std::size_t step_bytes = 17000;
    caller connection(this->port());
    this->start_upload(connection, upload_bytes - steps * step_bytes);
    for (std::size_t step = 0; step < steps; ++step)
    {
        std::this_thread::sleep_for(stall_limit / 4);
        connection.send(std::string(step_bytes, 'u'));
    }
    EXPECT_EQ(connection.receive().status(), 200U);
}
