/// CBOR form of the messages between instances: one array per message, its
/// first element the kind.
#pragma once

#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <span>
#include <vector>

namespace medlarbarrow::net
{

/// Datagrams beyond this size are not sent and not read.
constexpr std::size_t greatest_datagram = 1400;

std::vector<std::uint8_t> encode_message(const core::fleet_message& message);

/// Error: peer_message_invalid.
core::result<core::fleet_message>
decode_message(std::span<const std::uint8_t> bytes);

} // namespace medlarbarrow::net
