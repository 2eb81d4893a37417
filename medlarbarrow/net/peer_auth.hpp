/// Mutual proof of the fleet secret at the start of a link.
///
/// The opening side sends its identity and a nonce; the accepting side answers
/// with its own and a proof; the opening side sends its proof. A proof is the
/// HMAC-SHA-256 under the fleet secret of a label for the side, both
/// identities and both nonces. The label prevents that a proof is sent back
/// to its author; the nonces prevent that it is used a second time.
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
using auth_block = std::array<std::uint8_t, auth_bytes>;

enum class link_side
{
    opening,
    accepting
};

/// What a side says of itself.
struct auth_party
{
    core::instance_id id;
    auth_block nonce{};
};

struct auth_answer
{
    auth_party party;
    auth_block proof{};
};

/// Cryptographically random nonce.
auth_block make_nonce();

auth_block prove(const std::string& secret,
                 link_side author,
                 const auth_party& opening,
                 const auth_party& accepting);

/// Compares in constant time.
bool is_same(const auth_block& left, const auth_block& right) noexcept;

std::vector<std::uint8_t> encode(const auth_party& source);
std::vector<std::uint8_t> encode(const auth_answer& source);
std::vector<std::uint8_t> encode(const auth_block& proof);

/// Errors of the three readers: peer_newer_format, peer_message_invalid.
core::result<auth_party> decode_party(std::span<const std::uint8_t> bytes);
core::result<auth_answer> decode_answer(std::span<const std::uint8_t> bytes);
core::result<auth_block> decode_proof(std::span<const std::uint8_t> bytes);

} // namespace medlarbarrow::net
