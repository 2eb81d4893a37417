#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <string_view>

namespace medlarbarrow::core
{

namespace
{

std::uint64_t hash_digest(const key_digest& digest)
{
    // Bytes of any type may be read through a pointer to char.
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

account_index::account_index(std::shared_ptr<const document> config)
    : config_document(std::move(config))
{
    for (const client_account& account : this->config_document->accounts)
    {
        for (const account_key& key : account.keys)
        {
            this->entries_by_hash.emplace(hash_digest(key.digest),
                                          entry{&account, &key});
        }
    }
}

// Document validation refuses a key that belongs to two accounts unless both
// have withdrawn it. A valid entry is preferred to a withdrawn one
// nevertheless, so that the result does not depend on the order of the
// accounts.
account_index::match account_index::find(const key_digest& digest) const
{
    match best_match;
    const auto [first, last] =
        this->entries_by_hash.equal_range(hash_digest(digest));
    for (auto it = first; it != last; ++it)
    {
        const entry& candidate = it->second;
        if (!equal_digests(candidate.key->digest, digest))
        {
            continue;
        }
        if (best_match.account == nullptr || best_match.withdrawn)
        {
            best_match = {candidate.account, candidate.key->withdrawn};
        }
    }
    return best_match;
}

} // namespace medlarbarrow::core
