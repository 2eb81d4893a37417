/// Non-cryptographic hashes for placement, and keyed digests for identities.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <string_view>

namespace medlarbarrow::core
{

/// 64-bit hash of `text`; equal on every instance of every architecture.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Bucket whose owner decides about `key`.
bucket_id bucket_of(std::string_view key) noexcept;
bucket_id bucket_of(const digest& key) noexcept;

/// 128-bit digest of `text` under `seed`.
digest digest_text(std::string_view text, std::uint64_t seed) noexcept;

} // namespace medlarbarrow::core
