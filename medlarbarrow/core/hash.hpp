/// Non-cryptographic hashes for the choice of buckets and owners, and seeded
/// digests that identify orders and requests.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <string_view>

namespace medlarbarrow::core
{

/// 64-bit hash of `text`. The value is the same on every instance and CPU
/// architecture.
std::uint64_t hash_text(std::string_view text, std::uint64_t seed = 0) noexcept;

/// Bucket that `key` belongs to; its owner decides about the key.
bucket_id bucket_of(std::string_view key) noexcept;
bucket_id bucket_of(const digest& key) noexcept;

/// 128-bit digest of `text`; `seed` is the key of the digest.
digest digest_text(std::string_view text, std::uint64_t seed) noexcept;

} // namespace medlarbarrow::core
