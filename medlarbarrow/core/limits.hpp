/// Rate and burst of client accounts over all instances: token buckets at the
/// home, granted tokens at the entry instances. docs/design.md, section 2.3.
#pragma once

#include <map>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <memory>
#include <string>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Rate and burst of one account, as the document in force states them.
struct account_limit
{
    double rate_per_second = 0.0;
    double burst = 0.0;
};

/// The home's side: token buckets of the accounts it is home of.
class limit_home
{
public:
    /// Rates in force; an account that is absent gets no tokens.
    void set_limits(
        std::shared_ptr<const std::unordered_map<std::string, account_limit>>
            limits);

    /// Grants what the buckets hold. Counts held and granted tokens as
    /// outstanding until now + grant lease. An older nonce of the same
    /// incarnation, or an older incarnation, is ignored (empty outbox).
    outbox receive(const instance_id& from,
                   const token_request& request,
                   const ownership& owners,
                   time_point now);

    /// Drops state of idle accounts and of buckets it is no longer home of.
    void tick(const ownership& owners, time_point now);

    std::size_t active_accounts() const;
};

} // namespace medlarbarrow::core
