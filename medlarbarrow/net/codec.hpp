/// CBOR encoding of the messages between instances.
#pragma once

#include <cstddef>
#include <cstdint>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <span>
#include <string_view>
#include <vector>

namespace medlarbarrow::net
{

/// Maximum size of an encoded message: one value of the configuration service
/// and its envelope.
constexpr std::size_t max_message_bytes = 1'064'960;

/// A decoded message with the name and the incarnation of its sender.
struct received_message
{
    core::instance_id sender;
    core::message message;
};

/// Encodes a message with its envelope. Errors: peer_message_too_large, or
/// peer_message_invalid if a value exceeds the limits that decode() enforces,
/// so that the sender detects the fault.
core::result<std::vector<std::uint8_t>> encode(const core::instance_id& sender,
                                               const core::message& message);

/// Decodes a message. Accepts arbitrary bytes. Errors: peer_newer_format,
/// peer_message_invalid, peer_message_too_large.
core::result<received_message> decode(std::span<const std::uint8_t> bytes);

/// Name of the message type for logs and metrics, for example "hello".
std::string_view type_name(const core::message& message) noexcept;

/// Name of the message type with this variant index in core::message.
std::string_view type_name(std::size_t index) noexcept;

} // namespace medlarbarrow::net
