/// CBOR encoding of the messages between instances. A message is one array
/// whose first element is the kind of the message.
#pragma once

#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <span>
#include <vector>

namespace medlarbarrow::net
{

/// Larger datagrams are neither sent nor read.
constexpr std::size_t max_datagram_bytes = 1400;

std::vector<std::uint8_t> encode_message(const core::fleet_message& message);

/// Decodes one datagram. Error: peer_message_invalid.
core::result<core::fleet_message>
decode_message(std::span<const std::uint8_t> bytes);

} // namespace medlarbarrow::net
