#include <medlarbarrow/core/hash.hpp>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace medlarbarrow::core
{

std::uint64_t hash_text(std::string_view text, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

bucket_id bucket_of(std::string_view key) noexcept
{
    return static_cast<bucket_id>(hash_text(key) % bucket_count);
}

bucket_id bucket_of(const digest& key) noexcept
{
    return static_cast<bucket_id>(key.low % bucket_count);
}

digest digest_text(std::string_view text, std::uint64_t seed) noexcept
{
    const XXH128_hash_t hash =
        XXH3_128bits_withSeed(text.data(), text.size(), seed);
    return {hash.high64, hash.low64};
}

} // namespace medlarbarrow::core
