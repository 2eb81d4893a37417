/// SHA-256 and its hexadecimal form.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <string>
#include <string_view>

namespace medlarbarrow::config
{

/// SHA-256 of `text`. Documents store API keys as this digest.
core::key_digest sha256(std::string_view text);

/// Formats a digest as 64 lower-case hexadecimal digits.
std::string to_hex(const core::key_digest& digest);

/// Parses 64 lower-case hexadecimal digits. Returns false and leaves `digest`
/// unchanged if `text` is anything else.
bool from_hex(std::string_view text, core::key_digest& digest);

} // namespace medlarbarrow::config
