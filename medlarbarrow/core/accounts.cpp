#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <string_view>

namespace medlarbarrow::core
{

namespace
{

std::uint64_t hash_digest(const key_digest& digest)
{
    // The characters of a byte array may be read as text.
    const auto* bytes = reinterpret_cast<const char*>(digest.data());
    return hash_text(std::string_view(bytes, digest.size()));
}

} // namespace

bool equal_digests(const key_digest& left, const key_digest& right) noexcept
{
    unsigned difference = 0;
    for (std::size_t index = 0; index < left.size(); ++index)
    {
        difference |= static_cast<unsigned>(left[index] ^ right[index]);
    }
    return difference == 0;
}

account_index::account_index(std::shared_ptr<const document> origin)
    : source(std::move(origin))
{
    for (const client_account& account : this->source->accounts)
    {
        for (const account_key& key : account.keys)
        {
            this->by_hash.emplace(hash_digest(key.digest),
                                  entry{&account, &key});
        }
    }
}

// The document checker refuses a key at two accounts unless both withdrew it; a
// valid entry still goes before a withdrawn one, so that order does not matter.
account_index::match account_index::find(const key_digest& digest) const
{
    match best;
    const auto [first, last] = this->by_hash.equal_range(hash_digest(digest));
    for (auto item = first; item != last; ++item)
    {
        const entry& candidate = item->second;
        if (!equal_digests(candidate.key->digest, digest))
        {
            continue;
        }
        if (best.account == nullptr || best.withdrawn)
        {
            best = {candidate.account, candidate.key->withdrawn};
        }
    }
    return best;
}

} // namespace medlarbarrow::core
