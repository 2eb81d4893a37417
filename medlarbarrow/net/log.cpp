#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <fmt/chrono.h>
#include <future>
#include <map>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/ring.hpp>
#include <memory>
#include <mutex>
#include <thread>
#include <unistd.h>

namespace medlarbarrow::net::log
{

namespace
{

constexpr std::size_t queue_lines = 4096;
constexpr unsigned lines_per_second = 100;

/// Lines that wait are written together up to about this size.
constexpr std::size_t write_bytes = 4096;

/// The end of the process waits this long for a reader that has stopped.
constexpr std::chrono::milliseconds stop_limit{500};

constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

/// Counts the lines of one event within one second.
struct event_rate
{
    std::chrono::steady_clock::time_point second{};
    unsigned lines = 0;
};

struct writer
{
    bounded_ring<std::string> queue{queue_lines};
    std::thread thread;
    std::promise<void> done; ///< all lines are written
    std::mutex mutex;
    std::map<std::string, event_rate, std::less<>> rates;
};

std::shared_ptr<writer> active;
std::atomic<level> least_level{level::info};
std::atomic<std::uint64_t> unreported_drops{0};
std::atomic<std::uint64_t> all_drops{0};

void append_value(std::string& line, std::string_view value)
{
    const bool plain = !value.empty() && value.find_first_of(" \t\r\n\"=\\") ==
                                             std::string_view::npos;
    if (plain)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char letter : value)
    {
        switch (letter)
        {
        case '"':
        case '\\':
            line += '\\';
            line += letter;
            break;
        case '\n':
            line += "\\n";
            break;
        case '\r':
            line += "\\r";
            break;
        default:
            line += letter;
        }
    }
    line += '"';
}

std::string make_line(level severity,
                      std::string_view event,
                      std::initializer_list<field> fields)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
    const auto since_epoch = now.time_since_epoch();
    std::string line =
        fmt::format("time={:%Y-%m-%dT%H:%M:%S}.{:03}Z level={} event={}",
                    fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                    since_epoch.count() % 1000,
                    level_names.at(static_cast<std::size_t>(severity)), event);
    for (const field& pair : fields)
    {
        line += ' ';
        line += pair.key;
        line += '=';
        append_value(line, pair.value);
    }
    line += '\n';
    return line;
}

// Writes without a buffer of the C library, which the end of the process would
// try to flush to a reader that has stopped.
void put(std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t written =
            ::write(STDOUT_FILENO, text.data(), text.size());
        if (written < 0 && errno != EINTR)
        {
            return; // nobody is left to read the log
        }
        text.remove_prefix(
            static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
}

std::string drops_line()
{
    const std::uint64_t dropped = unreported_drops.exchange(0);
    if (dropped == 0)
    {
        return {};
    }
    return make_line(level::warning, "log_lines_dropped",
                     {kv("lines", dropped)});
}

void run(writer& target)
{
    while (auto line = target.queue.wait_pop())
    {
        std::string text = std::move(*line);
        while (text.size() < write_bytes)
        {
            const auto next = target.queue.try_pop();
            if (!next)
            {
                break;
            }
            text += *next;
        }
        put(text + drops_line());
    }
    put(drops_line());
    target.done.set_value();
}

// One noisy event must not crowd out the others.
bool within_rate(writer& target, std::string_view event)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard guard(target.mutex);
    auto found = target.rates.find(event);
    if (found == target.rates.end())
    {
        found = target.rates.emplace(std::string(event), event_rate{}).first;
    }
    event_rate& rate = found->second;
    if (now - rate.second >= std::chrono::seconds(1))
    {
        rate = {now, 0};
    }
    return ++rate.lines <= lines_per_second;
}

} // namespace

field kv(std::string_view key, const std::error_code& value)
{
    return {key, fmt::format("{}:{} {}", value.category().name(), value.value(),
                             value.message())};
}

void start(level least)
{
    least_level = least;
    unreported_drops = 0;
    active = std::make_shared<writer>();
    active->thread = std::thread(
        [target = active]
        {
            run(*target);
        });
}

void stop()
{
    if (!active)
    {
        return;
    }
    active->queue.close();
    const auto written = active->done.get_future().wait_for(stop_limit);
    if (written == std::future_status::ready)
    {
        active->thread.join();
        active.reset();
        return;
    }
    // The thread still waits for the reader and keeps the writer alive.
    active->thread.detach();
    active.reset();
}

void write(level severity,
           std::string_view event,
           std::initializer_list<field> fields)
{
    if (severity < least_level.load())
    {
        return;
    }
    if (!active)
    {
        put(make_line(severity, event, fields));
        return;
    }
    if (!within_rate(*active, event) ||
        !active->queue.try_push(make_line(severity, event, fields)))
    {
        ++unreported_drops;
        ++all_drops;
    }
}

std::uint64_t dropped_lines()
{
    return all_drops;
}

bool parse_level(std::string_view name, level& parsed)
{
    for (std::size_t index = 0; index < level_names.size(); ++index)
    {
        if (level_names.at(index) == name)
        {
            parsed = static_cast<level>(index);
            return true;
        }
    }
    return false;
}

} // namespace medlarbarrow::net::log
