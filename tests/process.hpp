/// Starts the project's own programs for tests over real processes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <string>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace medlarbarrow::tests
{

/// Port of the loopback address that is free now. Processes of tests that run
/// side by side look in different places, below the ports that the system gives
/// to outgoing connections: another test could take one of those before the
/// program that is to listen there starts.
inline std::uint16_t free_port()
{
    constexpr std::uint32_t first = 10'000;
    constexpr std::uint32_t range = 20'000;
    constexpr std::uint32_t step_per_process = 97;
    static std::uint32_t tried = 0;
    boost::asio::io_context context;
    for (std::uint32_t left = range; left > 0; --left)
    {
        const std::uint32_t offset =
            static_cast<std::uint32_t>(::getpid()) * step_per_process + ++tried;
        const auto port = static_cast<std::uint16_t>(first + offset % range);
        boost::asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code failure;
        acceptor.open(boost::asio::ip::tcp::v4(), failure);
        acceptor.bind({boost::asio::ip::make_address("127.0.0.1"), port},
                      failure);
        if (!failure)
        {
            return port;
        }
    }
    return 0;
}

/// Calls `condition` every 20 ms until it holds or the time is over. The limit
/// is generous: it only ends a test that would hang.
template <class Condition>
bool eventually(Condition condition,
                std::chrono::seconds limit = std::chrono::seconds(60))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

/// One child process; killed by id when the object ends. Standard error goes
/// to `log_path`.
class process
{
public:
    process(const std::string& program,
            std::vector<std::string> arguments,
            std::string log_file)
        : log_path(std::move(log_file))
    {
        arguments.insert(arguments.begin(), program);
        std::vector<char*> words;
        for (std::string& word : arguments)
        {
            words.push_back(word.data());
        }
        words.push_back(nullptr);
        posix_spawn_file_actions_t files;
        posix_spawn_file_actions_init(&files);
        posix_spawn_file_actions_addopen(&files, STDERR_FILENO,
                                         this->log_path.c_str(),
                                         O_CREAT | O_WRONLY | O_TRUNC, 0600);
        // The log goes to standard output, failures to start to the other.
        posix_spawn_file_actions_adddup2(&files, STDERR_FILENO, STDOUT_FILENO);
        const int failed = posix_spawn(&this->id, program.c_str(), &files,
                                       nullptr, words.data(), environ);
        posix_spawn_file_actions_destroy(&files);
        this->running = failed == 0;
    }

    process(const process&) = delete;
    process& operator=(const process&) = delete;

    ~process()
    {
        if (this->running)
        {
            this->send(SIGCONT);
            this->send(SIGKILL);
            this->wait();
        }
    }

    void send(int signal) const
    {
        if (this->running)
        {
            ::kill(this->id, signal);
        }
    }

    /// Waits for the end; the exit status, or 128 + the signal.
    int wait()
    {
        int status = 0;
        if (!this->running || ::waitpid(this->id, &status, 0) != this->id)
        {
            return -1;
        }
        this->running = false;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }

    /// For a failed test: whether it runs, or how it ended.
    std::string state()
    {
        int status = 0;
        if (!this->running)
        {
            return "ended before";
        }
        if (::waitpid(this->id, &status, WNOHANG) != this->id)
        {
            return "running";
        }
        this->running = false;
        return WIFEXITED(status)
                   ? "exit status " + std::to_string(WEXITSTATUS(status))
                   : "signal " + std::to_string(WTERMSIG(status));
    }

    bool is_running() const
    {
        return this->running && ::waitpid(this->id, nullptr, WNOHANG) == 0;
    }

    std::string log() const
    {
        std::ifstream file(this->log_path);
        std::stringstream text;
        text << file.rdbuf();
        return text.str();
    }

private:
    std::string log_path;
    pid_t id = 0;
    bool running = false;
};

} // namespace medlarbarrow::tests
