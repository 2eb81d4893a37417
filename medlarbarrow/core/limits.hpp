/// Rate and burst of client accounts over all instances: token buckets at the
/// owner, granted tokens at the entry instances. docs/design.md, section 2.3.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Rate and burst of one account, as the document in force states them.
struct account_limit
{
    double rate_per_second = 0.0;
    double burst = 0.0;
};

using account_limits = std::unordered_map<std::string, account_limit>;

/// The owner's side: token buckets of the accounts it is owner of.
///
/// A bucket and the tokens that instances hold of it together never exceed
/// burst x share, and the bucket fills by rate x share. Only whole tokens are
/// granted, so an account whose burst x share is below 1 gets none.
class limit_owner
{
public:
    /// Rates in force; an account that is absent gets no tokens. Takes effect
    /// with the next request for the account.
    void set_limits(std::shared_ptr<const account_limits> limits);

    /// Grants what the buckets hold. Counts held and granted tokens as
    /// outstanding until now + grant lease and a margin for clock drift. An
    /// account that the answer leaves out is neither granted nor renewed.
    /// Wants with a nonce not above the newest of this account and this
    /// incarnation are ignored; without any other the outbox is empty.
    outbox receive(const instance_id& from,
                   const token_request& request,
                   const ownership& owners,
                   time_point now);

    /// Takes one token for a request of this instance, without a message.
    bool
    take(const std::string& account, const ownership& owners, time_point now);

    /// Drops the state of idle accounts.
    void tick(const ownership& owners, time_point now);

    std::size_t active_accounts() const;

private:
    /// What one run of an entry instance holds of an account.
    struct holder
    {
        nonce newest = 0;
        double outstanding = 0.0;
        time_point ends{};
        double unmet = 0.0; ///< asked for and not granted
        time_point unmet_until{};
        double received = 0.0; ///< recent grants, decaying
        time_point received_at{};
    };

    struct token_bucket
    {
        double level = 0.0;
        time_point updated{};
        double outstanding = 0.0; ///< sum over the holders
        double unmet = 0.0;       ///< sum over the holders, at least
        time_point next_expiry{}; ///< no holder ends before
        std::map<instance_id, holder> holders;
    };

    /// Starts of the delegations held of a bucket, earliest first.
    struct cached_starts
    {
        std::uint64_t revision = 0;
        time_point valid_until{};
        std::vector<time_point> starts;
    };

    const std::vector<time_point>&
    starts_of(bucket_id bucket, const ownership& owners, time_point now);
    token_bucket* refresh(const std::string& account,
                          const ownership& owners,
                          time_point now);
    static void advance(token_bucket& bucket,
                        const account_limit& unit,
                        const std::vector<time_point>& held,
                        time_point now);
    static void expire_holders(token_bucket& bucket, time_point now);
    static double fair_amount(const token_bucket& bucket,
                              const holder& asker,
                              double wanted,
                              time_point now);
    static double withdraw(token_bucket& bucket,
                           holder& asker,
                           double wanted,
                           time_point now);
    static std::optional<double> grant(token_bucket& bucket,
                                       double capacity,
                                       const instance_id& from,
                                       const token_want& want,
                                       time_point now,
                                       duration hold);

    std::shared_ptr<const account_limits> limits =
        std::make_shared<account_limits>();
    std::unordered_map<std::string, token_bucket> accounts;
    std::array<cached_starts, bucket_count> starts;
    time_point next_sweep{};
};

enum class spend_kind
{
    granted,
    wait,   ///< call again when the node has received, at latest at `until`
    refused ///< not run
};

struct spend_result
{
    spend_kind kind = spend_kind::refused;
    time_point until{};       ///< of a wait
    duration retry_after{};   ///< of a refusal
    bool unreachable = false; ///< refused because no owner has answered
};

/// The entry side: tokens that owners have granted to this instance, and its
/// own fraction of accounts whose bucket it delegates to nobody.
class token_holder
{
public:
    explicit token_holder(const instance_id& self);

    /// Rates in force; an account that is absent is refused.
    void set_limits(std::shared_ptr<const account_limits> limits);

    /// Spends one token of `account`. `asked` is the time of the first call
    /// for the request: equal to `now` then, and unchanged when the call is
    /// repeated after a wait. Appends a token_request to `out` when one is due.
    spend_result spend(const std::string& account,
                       time_point asked,
                       limit_owner& local_limits,
                       const ownership& owners,
                       time_point now,
                       outbox& out);

    /// Takes a grant: per account only the answer to the newest request that
    /// named it, once, and only within the lease.
    void receive(const token_grant& grant, time_point now);

    /// Sends due requests: retransmissions, prefetches and renewals.
    outbox tick(const ownership& owners, time_point now);

    /// Accounts with state: recently used or holding tokens.
    std::size_t active_accounts() const;

private:
    struct held_account
    {
        double tokens = 0.0;
        time_point expires{};
        double own_tokens = 0.0; ///< of the own fraction
        time_point own_updated = time_point::min();
        double demand = 0.0; ///< estimated requests per second
        time_point demand_at{};
        nonce asked_nonce = 0; ///< 0: no request is in flight
        double asked_amount = 0.0;
        time_point asked_at{};
        unsigned attempts = 0;
        /// Send time of the newest request that was not met in full.
        time_point short_answer = time_point::min();
        std::deque<time_point> waiting; ///< when each waiting request ends
        bool urgent = false;            ///< listed in `urgent`
    };

    struct sent_request
    {
        time_point sent{};
        std::vector<std::string> accounts;
    };

    /// Requests being put together, by owner.
    using request_batch = std::map<std::string, token_request>;

    static void note_arrival(held_account& state, time_point now);
    static void leave_queue(held_account& state, bool first);
    static double demand(const held_account& state, time_point now);
    static void drop_expired(held_account& state, time_point now);
    static void
    end_request(held_account& state, double amount, time_point sent);
    static double refill_own(held_account& state,
                             const account_limit& limit,
                             bucket_id bucket,
                             const ownership& owners,
                             time_point now);
    static bool spend_own(held_account& state,
                          const account_limit& limit,
                          bucket_id bucket,
                          const ownership& owners,
                          time_point now);
    static bool is_idle(held_account& state,
                        const account_limit& limit,
                        bucket_id bucket,
                        const ownership& owners,
                        time_point now);
    static double target(const held_account& state,
                         const account_limit& limit,
                         time_point now);
    static bool wants_tokens(const held_account& state,
                             const account_limit& limit,
                             time_point now);
    static void add_want(token_request& request,
                         const std::string& account,
                         held_account& state,
                         const account_limit& limit,
                         time_point now);
    token_request& request_to(request_batch& requests,
                              const std::string& owner);
    void send(request_batch&& requests, time_point now, outbox& out);
    void send_urgent(const ownership& owners, time_point now, outbox& out);
    void sweep(const ownership& owners, time_point now, outbox& out);

    std::string self;
    nonce last_nonce;
    std::shared_ptr<const account_limits> limits =
        std::make_shared<account_limits>();
    std::unordered_map<std::string, held_account> accounts;
    std::vector<std::string> urgent; ///< accounts with waiting requests
    std::map<nonce, sent_request> in_flight;
    std::map<std::string, time_point> next_urgent; ///< by owner
    time_point next_sweep{};
};

} // namespace medlarbarrow::core
