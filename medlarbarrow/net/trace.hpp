/// W3C trace context: one span per hop.
#pragma once

#include <array>
#include <cstdint>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::net::trace
{

/// A span and the trace it belongs to.
struct context
{
    std::array<std::uint8_t, 16> trace_id{};
    std::array<std::uint8_t, 8> span_id{};
    std::uint8_t flags = 0; ///< bit 0: sampled

    bool operator==(const context&) const = default;
};

/// Reads a `traceparent` value. Nothing when it is malformed: the standard
/// then requires a new trace.
std::optional<context> parse(std::string_view traceparent);

/// Text form of `span` for the `traceparent` header.
std::string format(const context& span);

/// New span: a child of `parent`, or the root of a new sampled trace.
context make_span(const std::optional<context>& parent);

std::string trace_id_text(const context& span);
std::string span_id_text(const context& span);

/// What one hop did with a request. It holds no query, because queries may
/// hold keys.
struct hop
{
    std::string_view account;
    std::string_view route;
    std::string_view server;
    unsigned status = 0;
    unsigned attempts = 0;
    core::duration took{};
};

/// Writes the span as a log line: at level info when sampled, else debug.
void write_span(const context& span,
                const std::optional<context>& parent,
                const hop& done);

} // namespace medlarbarrow::net::trace
