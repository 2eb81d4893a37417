/// Rate and burst limits of client accounts over all instances. Owners keep the
/// token buckets and grant tokens to the entry instances. See docs/design.md,
/// section 2.3.
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

/// Rate and burst of one account in the document in force.
struct account_limit
{
    double rate_per_second = 0.0;
    double burst = 0.0;
};

using account_limits = std::unordered_map<std::string, account_limit>;

/// Keeps the token buckets of the accounts that this instance owns.
///
/// The tokens in a bucket and the granted tokens outstanding never exceed
/// burst x share together, and the bucket fills at rate x share. Only whole
/// tokens are granted, so an account whose burst x share is below 1 gets none.
class limit_owner
{
public:
    /// Sets the limits in force. An account that is absent gets no tokens. A
    /// change takes effect with the next request for the account.
    void set_limits(std::shared_ptr<const account_limits> limits);

    /// Answers a token request with the tokens that the buckets can grant.
    /// Tokens that the sender holds and those granted count as outstanding
    /// until the grant lease and a margin for clock drift have passed. An
    /// account missing from the answer gets neither tokens nor a renewal. A
    /// want is ignored unless its nonce is greater than the newest one for this
    /// account from this incarnation; if all are ignored, the outbox is empty.
    outbox receive(const instance_id& sender,
                   const token_request& request,
                   const ownership& owners,
                   time_point now);

    /// Takes one token for a request received by this instance itself, without
    /// a message. Returns false if none is available.
    bool take_token(const std::string& account,
                    const ownership& owners,
                    time_point now);

    /// Drops the state of idle accounts.
    void tick(const ownership& owners, time_point now);

    std::size_t active_accounts() const;

private:
    /// Tokens of an account granted to one incarnation of an entry instance.
    struct holder
    {
        nonce newest_nonce = 0;
        double outstanding = 0.0;
        time_point expires_at{};
        double unmet = 0.0; ///< requested but not granted
        time_point unmet_until{};
        double recent_grants = 0.0; ///< decays exponentially
        time_point recent_grants_at{};
    };

    /// Token bucket of one account and the tokens granted from it.
    struct token_bucket
    {
        double level = 0.0;
        time_point updated{};
        double outstanding = 0.0; ///< sum over the holders
        double unmet = 0.0;       ///< at least the sum over the holders
        time_point next_expiry{}; ///< no holder expires earlier
        std::map<instance_id, holder> holders;
    };

    /// Start times of the delegations held of a bucket, earliest first.
    struct cached_delegation_starts
    {
        std::uint64_t revision = 0;
        time_point valid_until{};
        std::vector<time_point> starts;
    };

    const std::vector<time_point>& delegation_starts_of(bucket_id bucket,
                                                        const ownership& owners,
                                                        time_point now);
    token_bucket* refresh(const std::string& account,
                          const ownership& owners,
                          time_point now);
    static void advance(token_bucket& bucket,
                        const account_limit& limit_per_delegation,
                        const std::vector<time_point>& delegation_starts,
                        time_point now);
    static void expire_holders(token_bucket& bucket, time_point now);
    static double fair_amount(const token_bucket& bucket,
                              const holder& requester,
                              double wanted,
                              time_point now);
    static double withdraw(token_bucket& bucket,
                           holder& requester,
                           double wanted,
                           time_point now);
    static std::optional<double> grant(token_bucket& bucket,
                                       double capacity,
                                       const instance_id& requester_id,
                                       const token_demand& want,
                                       time_point now,
                                       duration hold);

    std::shared_ptr<const account_limits> limits =
        std::make_shared<account_limits>();
    std::unordered_map<std::string, token_bucket> accounts;
    std::array<cached_delegation_starts, bucket_count> delegation_starts;
    time_point next_sweep{};
};

enum class spend_kind
{
    granted,
    wait,   ///< call again after the next message, at the latest at `until`
    refused ///< the request is not run
};

struct spend_result
{
    spend_kind kind = spend_kind::refused;
    time_point wait_until{};        ///< end of the wait
    duration retry_after{};         ///< hint for a refused request
    bool owner_unreachable = false; ///< refused because no owner has answered
};

/// Spends tokens for the requests that this entry instance receives: tokens
/// that owners have granted to it, and its 1/N of the limits of accounts whose
/// bucket it delegates to no instance. Requests more tokens before they run
/// out.
class entry_limiter
{
public:
    explicit entry_limiter(const instance_id& self);

    /// Sets the limits in force. An account that is absent is refused.
    void set_limits(std::shared_ptr<const account_limits> limits);

    /// Spends one token of `account`. `first_call` is the time of the first
    /// call for the request: equal to `now` in that call, and unchanged when
    /// the call is repeated after a wait. Appends a token_request to `out` if
    /// one is due.
    spend_result spend(const std::string& account,
                       time_point first_call,
                       limit_owner& local_limits,
                       const ownership& owners,
                       time_point now,
                       outbox& out);

    /// Adds granted tokens. Each account accepts only the answer to its newest
    /// request, only once and only within the lease.
    void receive(const token_grant& grant, time_point now);

    /// Sends the token requests that are due: retransmissions, prefetches and
    /// renewals.
    outbox tick(const ownership& owners, time_point now);

    /// Number of accounts with state, which were used recently or hold tokens.
    std::size_t active_accounts() const;

private:
    /// Tokens, demand and token request of one account at this instance.
    struct account_state
    {
        double tokens = 0.0; ///< granted by the owner and not yet spent
        time_point expires{};
        /// Tokens of the fraction this instance may spend without an owner.
        double undelegated_tokens = 0.0;
        time_point undelegated_updated = time_point::min();
        double demand = 0.0; ///< estimated requests per second
        time_point demand_updated{};
        nonce request_nonce = 0; ///< of the request in flight; 0 without one
        double requested_amount = 0.0;
        time_point requested_at{};
        unsigned retransmissions = 0;
        /// Send time of the newest request that was not granted in full.
        time_point last_unmet_sent_at = time_point::min();
        std::deque<time_point> wait_deadlines; ///< of the waiting requests
        bool is_urgent = false;                ///< listed in `urgent_accounts`
    };

    /// Token request in flight.
    struct sent_request
    {
        time_point sent_at{};
        std::vector<std::string> accounts;
    };

    /// Token requests under construction, by owner.
    using request_batch = std::map<std::string, token_request>;

    static void record_arrival(account_state& state, time_point now);
    static void leave_queue(account_state& state, bool is_first_call);
    static double demand(const account_state& state, time_point now);
    static void drop_expired(account_state& state, time_point now);
    static void
    end_request(account_state& state, double amount, time_point sent_at);
    static double refill_undelegated(account_state& state,
                                     const account_limit& limit,
                                     bucket_id bucket,
                                     const ownership& owners,
                                     time_point now);
    static bool spend_undelegated(account_state& state,
                                  const account_limit& limit,
                                  bucket_id bucket,
                                  const ownership& owners,
                                  time_point now);
    static bool is_idle(account_state& state,
                        const account_limit& limit,
                        bucket_id bucket,
                        const ownership& owners,
                        time_point now);
    static double target_tokens(const account_state& state,
                                const account_limit& limit,
                                time_point now);
    static bool wants_tokens(const account_state& state,
                             const account_limit& limit,
                             time_point now);
    static void add_want(token_request& request,
                         const std::string& account,
                         account_state& state,
                         const account_limit& limit,
                         time_point now);
    token_request& request_to(request_batch& requests,
                              const std::string& owner);
    void send(request_batch&& requests, time_point now, outbox& out);
    void
    send_urgent_requests(const ownership& owners, time_point now, outbox& out);
    void sweep(const ownership& owners, time_point now, outbox& out);

    std::string self;
    nonce last_nonce;
    std::shared_ptr<const account_limits> limits =
        std::make_shared<account_limits>();
    std::unordered_map<std::string, account_state> accounts;
    std::vector<std::string> urgent_accounts; ///< with waiting requests
    std::map<nonce, sent_request> in_flight;
    std::map<std::string, time_point> next_urgent_request; ///< by owner
    time_point next_sweep{};
};

} // namespace medlarbarrow::core
