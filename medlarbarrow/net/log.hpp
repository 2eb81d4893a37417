/// Structured log. Each event is one line of key=value pairs. A separate thread
/// writes the lines to standard output.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>

namespace medlarbarrow::net::log
{

/// Severity of an event, in increasing order.
enum class level
{
    debug,
    info,
    warning,
    error
};

/// One key=value pair of a line.
struct field
{
    std::string_view key;
    std::string value;
};

/// Makes one pair. Empty values and values with white space, quotes, equals
/// signs or backslashes are quoted and escaped on output.
template <class Value>
field kv(std::string_view key, const Value& value)
{
    return {key, fmt::format("{}", value)};
}

/// Makes one pair for an error code: its category, number and message.
field kv(std::string_view key, const std::error_code& value);

/// Starts the writer thread. Events below `min_level` are discarded.
void start(level min_level);

/// Writes the queued lines and ends the writer thread. If the reader of the
/// output has stopped, it waits only half a second; the remaining lines are
/// lost.
void stop();

/// Queues one event. While the writer thread runs, it never blocks: if the
/// queue is full or the event exceeds 100 lines per second, the line is dropped
/// and counted in the next `log_lines_dropped` event. The fields must not
/// contain keys of client accounts.
void write(level severity,
           std::string_view event,
           std::initializer_list<field> fields);

/// Number of lines dropped since the start of the process.
std::uint64_t dropped_lines();

/// Converts a name to a level. False if there is no level of this name.
bool parse_level(std::string_view name, level& parsed);

} // namespace medlarbarrow::net::log
