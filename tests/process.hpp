/// Starts the project's programs as child processes of tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <filesystem>
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

/// Bounds for the memory of a process are multiplied by this: a sanitizer needs
/// memory of its own.
#if defined(__SANITIZE_ADDRESS__)
inline constexpr std::size_t sanitizer_memory_factor = 4;
#elif defined(__has_feature)
#if __has_feature(address_sanitizer) || __has_feature(thread_sanitizer)
inline constexpr std::size_t sanitizer_memory_factor = 4;
#else
inline constexpr std::size_t sanitizer_memory_factor = 1;
#endif
#else
inline constexpr std::size_t sanitizer_memory_factor = 1;
#endif

/// Returns a TCP port of the loopback address that is free now, or 0 if there
/// is none. Test processes that run in parallel start their search at different
/// ports. The range lies below the ephemeral ports that the system assigns
/// to outgoing connections: another test could occupy one of those before the
/// program under test listens on it.
inline std::uint16_t free_port()
{
    constexpr std::uint32_t first_port = 10'000;
    constexpr std::uint32_t port_count = 20'000;
    constexpr std::uint32_t step_per_process = 97;
    static std::uint32_t attempts = 0;
    boost::asio::io_context context;
    for (std::uint32_t remaining = port_count; remaining > 0; --remaining)
    {
        const std::uint32_t offset =
            static_cast<std::uint32_t>(::getpid()) * step_per_process +
            ++attempts;
        const auto port =
            static_cast<std::uint16_t>(first_port + offset % port_count);
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

/// Calls `condition` every 20 ms until it holds or the limit has passed. The
/// limit is generous: it only stops a test that would hang otherwise.
template <class Condition>
bool eventually(Condition condition,
                std::chrono::seconds limit = std::chrono::seconds(60))
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < deadline)
    {
        if (condition())
        {
            return true;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return condition();
}

/// A child process, which the destructor kills by its id. Its standard output
/// and standard error go to `log_file`.
class process
{
public:
    process(const std::string& program,
            std::vector<std::string> arguments,
            std::string log_file)
        : log_path(std::move(log_file))
    {
        arguments.insert(arguments.begin(), program);
        std::vector<char*> argument_pointers;
        for (std::string& argument : arguments)
        {
            argument_pointers.push_back(argument.data());
        }
        argument_pointers.push_back(nullptr);
        posix_spawn_file_actions_t file_actions;
        posix_spawn_file_actions_init(&file_actions);
        posix_spawn_file_actions_addopen(&file_actions, STDERR_FILENO,
                                         this->log_path.c_str(),
                                         O_CREAT | O_WRONLY | O_TRUNC, 0600);
        // The program logs to standard output, and reports failures to start
        // on standard error.
        posix_spawn_file_actions_adddup2(&file_actions, STDERR_FILENO,
                                         STDOUT_FILENO);
        const int spawn_error =
            posix_spawn(&this->id, program.c_str(), &file_actions, nullptr,
                        argument_pointers.data(), environ);
        posix_spawn_file_actions_destroy(&file_actions);
        this->running = spawn_error == 0;
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

    /// Waits until the process ends. Returns its exit status, 128 + the signal
    /// that ended it, or -1 if it cannot be waited for.
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

    /// Description for the output of a failed test: whether the process runs,
    /// or how it ended.
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

    /// Most memory that the process has had so far, in KiB; 0 if that is not
    /// known.
    std::size_t peak_memory_kib() const
    {
        std::ifstream status("/proc/" + std::to_string(this->id) + "/status");
        std::string word;
        std::size_t kib = 0;
        while (status >> word)
        {
            if (word == "VmHWM:")
            {
                status >> kib;
            }
        }
        return kib;
    }

    /// File descriptors that the process has open now; 0 if that is not known.
    std::size_t open_files() const
    {
        std::error_code failure;
        std::filesystem::directory_iterator entry(
            "/proc/" + std::to_string(this->id) + "/fd", failure);
        std::size_t count = 0;
        while (!failure && entry != std::filesystem::directory_iterator())
        {
            ++count;
            entry.increment(failure);
        }
        return count;
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
