/// Compression of what instances pass on to each other (zlib format, RFC 1950).
#pragma once

#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/types.hpp>
#include <string>
#include <string_view>

namespace medlarbarrow::net
{

std::string compress(std::string_view text);

/// Returns the text that was compressed. Error: peer_message_invalid, if the
/// bytes are damaged or the text is longer than `max_bytes`.
core::result<std::string> decompress(std::string_view bytes,
                                     std::size_t max_bytes);

} // namespace medlarbarrow::net
