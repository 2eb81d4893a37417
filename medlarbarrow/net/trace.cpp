#include <algorithm>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/trace.hpp>
#include <openssl/rand.h>
#include <span>

namespace medlarbarrow::net::trace
{

namespace
{

/// Length of a version 00 value: version, trace id, span id and flags,
/// separated by three hyphens.
constexpr std::size_t version_00_length = 55;
constexpr std::uint8_t sampled_flag = 1;

/// Value of a hexadecimal digit; -1 if `character` is none.
int hex_value(char character)
{
    if (character >= '0' && character <= '9')
    {
        return character - '0';
    }
    // The standard allows only lower-case digits.
    if (character >= 'a' && character <= 'f')
    {
        return character - 'a' + 10;
    }
    return -1;
}

/// Fills `bytes` from two digits each. False if a character is not a digit.
bool read_hex(std::string_view text, std::span<std::uint8_t> bytes)
{
    for (std::size_t index = 0; index < bytes.size(); ++index)
    {
        const int high = hex_value(text[2 * index]);
        const int low = hex_value(text[2 * index + 1]);
        if (high < 0 || low < 0)
        {
            return false;
        }
        bytes[index] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return true;
}

std::string write_hex(std::span<const std::uint8_t> bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const std::uint8_t byte : bytes)
    {
        text += digits[byte >> 4U];
        text += digits[byte & 15U];
    }
    return text;
}

bool is_all_zero(std::span<const std::uint8_t> bytes)
{
    return std::ranges::all_of(bytes,
                               [](std::uint8_t byte)
                               {
                                   return byte == 0;
                               });
}

void fill_random(std::span<std::uint8_t> bytes)
{
    // A failure of the generator is ignored: identifiers must be unique but not
    // secret, so it only makes traces harder to read.
    RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
}

} // namespace

std::optional<context> parse(std::string_view traceparent)
{
    if (traceparent.size() < version_00_length || traceparent[2] != '-' ||
        traceparent[35] != '-' || traceparent[52] != '-')
    {
        return std::nullopt;
    }
    std::array<std::uint8_t, 1> version{};
    std::array<std::uint8_t, 1> flags{};
    context parsed;
    if (!read_hex(traceparent.substr(0, 2), version) ||
        !read_hex(traceparent.substr(3, 32), parsed.trace_id) ||
        !read_hex(traceparent.substr(36, 16), parsed.span_id) ||
        !read_hex(traceparent.substr(53, 2), flags))
    {
        return std::nullopt;
    }
    const bool has_suffix = traceparent.size() > version_00_length;
    const bool bad_length =
        has_suffix &&
        (version[0] == 0 || traceparent[version_00_length] != '-');
    if (version[0] == 0xff || bad_length || is_all_zero(parsed.trace_id) ||
        is_all_zero(parsed.span_id))
    {
        return std::nullopt;
    }
    parsed.flags = flags[0] & sampled_flag;
    return parsed;
}

std::string format(const context& span)
{
    return "00-" + write_hex(span.trace_id) + "-" + write_hex(span.span_id) +
           "-" + write_hex(std::array{span.flags});
}

context make_span(const std::optional<context>& parent)
{
    context span;
    if (parent)
    {
        span = *parent;
    }
    else
    {
        fill_random(span.trace_id);
        span.flags = sampled_flag;
    }
    fill_random(span.span_id);
    return span;
}

std::string trace_id_text(const context& span)
{
    return write_hex(span.trace_id);
}

std::string span_id_text(const context& span)
{
    return write_hex(span.span_id);
}

void write_span(const context& span,
                const std::optional<context>& parent,
                const hop& result)
{
    const bool is_sampled = (span.flags & sampled_flag) != 0;
    log::write(
        is_sampled ? log::level::info : log::level::debug, "span",
        {log::kv("trace_id", trace_id_text(span)),
         log::kv("span_id", span_id_text(span)),
         log::kv("parent_id", parent ? span_id_text(*parent) : std::string()),
         log::kv("account", result.account), log::kv("route", result.route),
         log::kv("server", result.server), log::kv("status", result.status),
         log::kv("attempts", result.attempts),
         log::kv("took_us", result.took.count())});
}

} // namespace medlarbarrow::net::trace
