/// W3C trace context with one span per hop.
#pragma once

#include <array>
#include <cstdint>
#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::net::trace
{

/// Identifiers of a span and its trace.
struct context
{
    std::array<std::uint8_t, 16> trace_id{};
    std::array<std::uint8_t, 8> span_id{};
    std::uint8_t flags = 0; ///< bit 0: sampled

    bool operator==(const context&) const = default;
};

/// Parses a `traceparent` value. Nothing if it is malformed; the standard then
/// requires a new trace.
std::optional<context> parse(std::string_view traceparent);

/// Formats `span` for the `traceparent` header.
std::string format(const context& span);

/// Creates a child span of `parent`, or the root span of a new sampled trace.
context make_span(const std::optional<context>& parent);

std::string trace_id_text(const context& span);
std::string span_id_text(const context& span);

/// Result of one hop of a request. It does not include the query, because
/// queries may contain keys.
struct hop
{
    std::string_view account;
    std::string_view route;
    std::string_view server;
    unsigned status = 0;
    unsigned attempts = 0;
    core::duration took{};
};

/// Writes the span to the log, at level info if it is sampled and at level
/// debug otherwise.
void write_span(const context& span,
                const std::optional<context>& parent,
                const hop& result);

} // namespace medlarbarrow::net::trace
