/// Finds the client account of a key digest.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Compares in time that does not depend on the contents.
bool equal_digests(const key_digest& left, const key_digest& right) noexcept;

/// Index over the keys of one document.
class account_index
{
public:
    struct match
    {
        const client_account* account = nullptr; ///< null: unknown key
        bool withdrawn = false;
    };

    explicit account_index(std::shared_ptr<const document> source);

    match find(const key_digest& digest) const;

private:
    struct entry
    {
        const client_account* account = nullptr;
        const account_key* key = nullptr;
    };

    std::shared_ptr<const document> source;
    std::unordered_multimap<std::uint64_t, entry> by_hash;
};

} // namespace medlarbarrow::core
