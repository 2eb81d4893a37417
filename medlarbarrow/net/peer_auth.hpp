/// Mutual authentication with the fleet secret at the start of a link.
///
/// The opening side sends its identity and a nonce. The accepting side answers
/// with its identity, its nonce and a proof. The opening side then sends its
/// own proof. A proof is the HMAC-SHA-256, keyed with the fleet secret, of a
/// label for the side, both identities and both nonces. The label prevents
/// reflection of a proof to its author. The nonces prevent replay.
#pragma once

#include <array>
#include <cstdint>
#include <medlarbarrow/core/types.hpp>
#include <span>
#include <string>
#include <vector>

namespace medlarbarrow::net
{

constexpr std::size_t auth_bytes = 32;
/// A nonce or a proof.
using auth_block = std::array<std::uint8_t, auth_bytes>;

/// Role of an instance in the exchange.
enum class link_side
{
    opening,
    accepting
};

/// Identity and nonce of one side.
struct auth_party
{
    core::instance_id id;
    auth_block nonce{};
};

/// Answer of the accepting side.
struct auth_answer
{
    auth_party party;
    auth_block proof{};
};

/// Returns a cryptographically random nonce. Throws std::runtime_error if
/// OpenSSL provides no random bytes.
auth_block make_nonce();

/// Computes the proof that `author` sends.
auth_block make_proof(const std::string& secret,
                      link_side author,
                      const auth_party& opening,
                      const auth_party& accepting);

/// Compares in constant time, so that the time reveals no bytes of a proof.
bool equal_constant_time(const auth_block& left,
                         const auth_block& right) noexcept;

std::vector<std::uint8_t> encode(const auth_party& source);
std::vector<std::uint8_t> encode(const auth_answer& source);
std::vector<std::uint8_t> encode(const auth_block& proof);

/// Errors of the three decoders: peer_newer_format, peer_message_invalid.
core::result<auth_party> decode_party(std::span<const std::uint8_t> bytes);
core::result<auth_answer> decode_answer(std::span<const std::uint8_t> bytes);
core::result<auth_block> decode_proof(std::span<const std::uint8_t> bytes);

} // namespace medlarbarrow::net
