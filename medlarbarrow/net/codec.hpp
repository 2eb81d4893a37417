/// Messages between instances to and from CBOR.
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

/// Greatest encoded message: one value of the configuration service and its
/// envelope.
constexpr std::size_t max_message_bytes = 1'064'960;

/// A decoded message and the run of the instance that sent it.
struct received_message
{
    core::instance_id sender;
    core::message message;
};

/// Encodes a message in its envelope. Errors: peer_message_too_large;
/// peer_message_invalid when a value is outside the bounds that decode()
/// enforces, so that a fault shows at the sender.
core::result<std::vector<std::uint8_t>> encode(const core::instance_id& sender,
                                               const core::message& source);

/// Decodes any byte string. Errors: peer_newer_format, peer_message_invalid,
/// peer_message_too_large.
core::result<received_message> decode(std::span<const std::uint8_t> bytes);

/// Name of the message's type for logs and metrics, for example "hello".
std::string_view type_name(const core::message& source) noexcept;

/// Name of the type with this index in core::message.
std::string_view type_name(std::size_t index) noexcept;

} // namespace medlarbarrow::net
