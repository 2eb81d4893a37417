/// SHA-256 and its hexadecimal form.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <string>
#include <string_view>

namespace medlarbarrow::config
{

/// SHA-256 of `text`; the digest of an API key is made with it.
core::key_digest sha256(std::string_view text);

/// 64 lower-case hexadecimal digits.
std::string to_hex(const core::key_digest& digest);

/// False unless `text` is 64 lower-case hexadecimal digits.
bool from_hex(std::string_view text, core::key_digest& digest);

} // namespace medlarbarrow::config
