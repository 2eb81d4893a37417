/// Look-up of the client account that a key belongs to.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Compares in constant time: the duration does not depend on the contents.
bool equal_digests(const key_digest& left, const key_digest& right) noexcept;

/// Index of the keys of all accounts of one document.
class account_index
{
public:
    struct match
    {
        const client_account* account = nullptr; ///< null: unknown key
        bool withdrawn = false;
    };

    explicit account_index(std::shared_ptr<const document> config);

    match find(const key_digest& digest) const;

private:
    struct entry
    {
        const client_account* account = nullptr;
        const account_key* key = nullptr;
    };

    std::shared_ptr<const document> config_document;
    std::unordered_multimap<std::uint64_t, entry> entries_by_hash;
};

} // namespace medlarbarrow::core
