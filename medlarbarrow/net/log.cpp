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

constexpr std::size_t max_queued_lines = 4096;
constexpr unsigned max_lines_per_second = 100; // of one event

/// Queued lines are written together, up to about this size.
constexpr std::size_t write_batch_bytes = 4096;

/// Time that stop() waits for a reader that has stopped reading.
constexpr std::chrono::milliseconds stop_timeout{500};

constexpr std::array<std::string_view, 4> level_names{"debug", "info",
                                                      "warning", "error"};

/// Counts the lines of one event in the current second.
struct event_rate
{
    std::chrono::steady_clock::time_point window_start{};
    unsigned lines = 0;
};

/// State shared by the writer thread and the threads that log.
struct writer
{
    bounded_ring<std::string> queue{max_queued_lines};
    std::thread thread;
    std::promise<void> finished; ///< set when all lines are written
    std::mutex mutex;
    std::map<std::string, event_rate, std::less<>> rates;
};

std::shared_ptr<writer> active_writer;
std::atomic<level> configured_min_level{level::info};
std::atomic<std::uint64_t> unreported_drops{0};
std::atomic<std::uint64_t> total_drops{0};

/// Appends a value, quoted and escaped where necessary.
void append_value(std::string& line, std::string_view value)
{
    const bool needs_no_quotes =
        !value.empty() &&
        value.find_first_of(" \t\r\n\"=\\") == std::string_view::npos;
    if (needs_no_quotes)
    {
        line += value;
        return;
    }
    line += '"';
    for (const char character : value)
    {
        switch (character)
        {
        case '"':
        case '\\':
            line += '\\';
            line += character;
            break;
        case '\n':
            line += "\\n";
            break;
        case '\r':
            line += "\\r";
            break;
        default:
            line += character;
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

// Writes directly to standard output. A buffer of the C library would be
// flushed at the end of the process, which blocks if the reader has stopped.
void write_to_stdout(std::string_view text)
{
    while (!text.empty())
    {
        const ssize_t written =
            ::write(STDOUT_FILENO, text.data(), text.size());
        if (written < 0 && errno != EINTR)
        {
            return; // standard output is closed
        }
        text.remove_prefix(
            static_cast<std::size_t>(std::max<ssize_t>(written, 0)));
    }
}

// Makes the line that reports the dropped lines; empty if none were dropped
// since the last report.
std::string dropped_lines_report()
{
    const std::uint64_t dropped = unreported_drops.exchange(0);
    if (dropped == 0)
    {
        return {};
    }
    return make_line(level::warning, "log_lines_dropped",
                     {kv("lines", dropped)});
}

// Main function of the writer thread; returns after the queue is closed and
// drained.
void run(writer& target)
{
    while (auto line = target.queue.wait_pop())
    {
        std::string text = std::move(*line);
        while (text.size() < write_batch_bytes)
        {
            const auto queued_line = target.queue.try_pop();
            if (!queued_line)
            {
                break;
            }
            text += *queued_line;
        }
        write_to_stdout(text + dropped_lines_report());
    }
    write_to_stdout(dropped_lines_report());
    target.finished.set_value();
}

// Counts a line of the event. False if the event exceeds its rate, so that a
// frequent event does not displace the others.
bool within_rate(writer& target, std::string_view event)
{
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard guard(target.mutex);
    auto entry = target.rates.find(event);
    if (entry == target.rates.end())
    {
        entry = target.rates.emplace(std::string(event), event_rate{}).first;
    }
    event_rate& rate = entry->second;
    if (now - rate.window_start >= std::chrono::seconds(1))
    {
        rate = {now, 0};
    }
    return ++rate.lines <= max_lines_per_second;
}

} // namespace

field kv(std::string_view key, const std::error_code& value)
{
    return {key, fmt::format("{}:{} {}", value.category().name(), value.value(),
                             value.message())};
}

void start(level min_level)
{
    configured_min_level = min_level;
    unreported_drops = 0;
    active_writer = std::make_shared<writer>();
    active_writer->thread = std::thread(
        [target = active_writer]
        {
            run(*target);
        });
}

void stop()
{
    if (!active_writer)
    {
        return;
    }
    active_writer->queue.close();
    const auto status =
        active_writer->finished.get_future().wait_for(stop_timeout);
    if (status == std::future_status::ready)
    {
        active_writer->thread.join();
        active_writer.reset();
        return;
    }
    // The thread is still blocked by the reader. It shares ownership of the
    // writer, so it is safe to detach it.
    active_writer->thread.detach();
    active_writer.reset();
}

void write(level severity,
           std::string_view event,
           std::initializer_list<field> fields)
{
    if (severity < configured_min_level.load())
    {
        return;
    }
    if (!active_writer)
    {
        write_to_stdout(make_line(severity, event, fields));
        return;
    }
    if (!within_rate(*active_writer, event) ||
        !active_writer->queue.try_push(make_line(severity, event, fields)))
    {
        ++unreported_drops;
        ++total_drops;
    }
}

std::uint64_t dropped_lines()
{
    return total_drops;
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
