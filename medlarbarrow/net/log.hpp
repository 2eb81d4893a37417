/// Structured log: one line of key=value pairs for each event, written to
/// standard output by a thread of its own.
#pragma once

#include <cstdint>
#include <fmt/format.h>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>

namespace medlarbarrow::net::log
{

enum class level
{
    debug,
    info,
    warning,
    error
};

struct field
{
    std::string_view key;
    std::string value;
};

/// One pair; a value with spaces or quotes is quoted and escaped on output.
template <class Value>
field kv(std::string_view key, const Value& value)
{
    return {key, fmt::format("{}", value)};
}

/// code=, code_name= and reason= are written for an error code.
field kv(std::string_view key, const std::error_code& value);

/// Starts the writer thread; events below `least` are dropped.
void start(level least);

/// Writes what is queued and ends the writer thread. Waits for a reader that
/// has stopped for half a second only; the lines left then are lost.
void stop();

/// Queues one event. Never blocks: when the queue is full, or the event
/// exceeds its rate of 100 lines a second, the line is dropped and counted in
/// the next `log_lines_dropped` event. Callers pass no keys of client accounts.
void write(level severity,
           std::string_view event,
           std::initializer_list<field> fields);

/// Lines dropped since the start.
std::uint64_t dropped_lines();

/// Name to level; false when there is no such level.
bool parse_level(std::string_view name, level& parsed);

} // namespace medlarbarrow::net::log
