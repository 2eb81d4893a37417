#include <array>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fmt/format.h>
#include <future>
#include <gtest/gtest.h>
#include <medlarbarrow/net/log.hpp>
#include <thread>
#include <unistd.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

/// Limit for waits, so that a fault fails the test instead of blocking it.
constexpr std::chrono::seconds wait_timeout{20};

} // namespace

/// Given a log whose standard output is a pipe that the test can read.
class log_to_a_pipe : public testing::Test
{
protected:
    log_to_a_pipe()
    {
        std::signal(SIGPIPE, SIG_IGN); // as the programs do
        this->original_stdout = ::dup(STDOUT_FILENO);
        EXPECT_EQ(::pipe(this->pipe_ends.data()), 0);
        ::dup2(this->pipe_ends[1], STDOUT_FILENO);
        ::close(this->pipe_ends[1]);
        net::log::start(net::log::level::info);
    }

    ~log_to_a_pipe() override
    {
        this->restore_output();
        ::close(this->original_stdout);
        ::close(this->pipe_ends[0]);
    }

    /// Closes the writing end of the pipe, so that test results go to the
    /// original standard output.
    void restore_output() const
    {
        ::dup2(this->original_stdout, STDOUT_FILENO);
    }

    /// Reads the output until the writing end is closed.
    std::string read_all() const
    {
        std::string text;
        std::array<char, 4096> part{};
        ssize_t length = 0;
        while ((length = ::read(this->pipe_ends[0], part.data(), part.size())) >
               0)
        {
            text.append(part.data(), static_cast<std::size_t>(length));
        }
        return text;
    }

    /// Writes events of many names, so that the rate limit of one event does
    /// not apply.
    static void write_events(int count)
    {
        constexpr int names = 200;
        for (int index = 0; index < count; ++index)
        {
            net::log::write(net::log::level::info,
                            fmt::format("event_{}", index % names),
                            {net::log::kv("index", index),
                             net::log::kv("text", std::string(80, 'x'))});
        }
    }

    int original_stdout = -1;
    std::array<int, 2> pipe_ends{};
};

/// Given a log whose reader has stopped, so that the pipe fills.
class log_without_a_reader : public log_to_a_pipe
{
};

// Guards against a request that waits for the reader of the log, and against a
// shutdown that blocks until the process is killed. Both happen if the pipe is
// full and its reader has stopped.
TEST_F(log_without_a_reader, drops_lines_and_stops)
{
    const std::uint64_t before = net::log::dropped_lines();
    auto written = std::async(std::launch::async,
                              []
                              {
                                  write_events(15'000);
                              });
    const bool returned =
        written.wait_for(wait_timeout) == std::future_status::ready;
    auto stopped = std::async(std::launch::async,
                              []
                              {
                                  net::log::stop();
                              });
    const bool ended =
        stopped.wait_for(wait_timeout) == std::future_status::ready;
    const std::uint64_t lost = net::log::dropped_lines() - before;
    // Unblocks a thread that still waits for the pipe.
    ::fcntl(this->pipe_ends[0], F_SETFL, O_NONBLOCK);
    while (!ended && stopped.wait_for(10ms) != std::future_status::ready)
    {
        this->read_all();
    }
    this->restore_output();
    EXPECT_TRUE(returned);
    EXPECT_TRUE(ended);
    // The pipe and the queue together store fewer lines than were written.
    EXPECT_GT(lost, 8'000U);
}

// Guards against a log whose size grows with the load, and against lines that
// are dropped without being counted.
TEST_F(log_to_a_pipe, limits_the_rate_of_one_event_and_counts_dropped_lines)
{
    constexpr std::uint64_t count = 20'000;
    constexpr std::uint64_t lines_per_second = 100;
    const std::uint64_t before = net::log::dropped_lines();
    auto text = std::async(std::launch::async,
                           [this]
                           {
                               return this->read_all();
                           });
    const auto start = std::chrono::steady_clock::now();
    for (std::uint64_t index = 0; index < count; ++index)
    {
        net::log::write(net::log::level::info, "request_ended",
                        {net::log::kv("index", index)});
    }
    const auto started_seconds =
        1 + static_cast<std::uint64_t>(
                std::chrono::duration_cast<std::chrono::seconds>(
                    std::chrono::steady_clock::now() - start)
                    .count());
    const std::uint64_t lost = net::log::dropped_lines() - before;
    net::log::stop();
    this->restore_output();
    const std::string output = text.get();
    std::uint64_t lines = 0;
    std::uint64_t reported = 0;
    for (std::size_t at = 0; at < output.size();)
    {
        const std::size_t end = output.find('\n', at);
        const std::string line = output.substr(at, end - at);
        lines += line.find("event=request_ended") != std::string::npos;
        const std::size_t report = line.find("log_lines_dropped lines=");
        if (report != std::string::npos)
        {
            reported += std::stoull(line.substr(line.rfind('=') + 1));
        }
        at = end + 1;
    }
    EXPECT_LE(lines, lines_per_second * started_seconds);
    EXPECT_EQ(lines + lost, count);
    EXPECT_EQ(reported, lost);
}
