#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/limits.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Tolerance for rounding errors when sums of tokens are compared.
constexpr double token_epsilon = 1e-6;

/// How long an unmet want reserves tokens. Longer than the maximum wait of a
/// request, so that an instance with a waiting request keeps its turn.
constexpr duration unmet_reservation_period = milliseconds(300);

/// Decay time constant of the recent grants that the fairness rule compares.
constexpr double grant_decay_seconds = 1.0;

/// Interval at which the owner looks for idle accounts.
constexpr duration owner_sweep_period = milliseconds(1000);

/// Maximum time that a request waits for tokens.
constexpr duration max_wait = milliseconds(250);

/// Minimum time between token requests to one owner while a request waits.
constexpr duration min_urgent_period = milliseconds(20);

/// Time between prefetches and renewals.
constexpr duration sweep_period = milliseconds(250);

/// Delay before the first retransmission. It doubles with each further one, so
/// that a request is eventually answered before its retransmission even if the
/// round trip takes longer than the first delay.
constexpr duration first_retransmission_delay = milliseconds(60);

/// Number of retransmissions after which the delay stops doubling.
constexpr unsigned max_retransmission_doublings = 4;

/// Prefetched tokens cover the expected use of this time. It is two sweep
/// periods and a round trip, because tokens are requested when half of them are
/// left.
constexpr double prefetch_seconds = 0.8;

/// Decay time constant of the demand estimate.
constexpr double demand_decay_seconds = 2.0;

/// Maximum fraction of a burst that an instance prefetches.
constexpr double prefetch_burst_fraction = 0.125;

/// Tokens in use are renewed when less than this is left of their lease.
constexpr duration renewal_margin = milliseconds(700);

/// A demand estimate below this, in requests per second, counts as idle.
constexpr double idle_demand = 0.05;

/// Bounds of the retry hint for a refused request.
constexpr duration min_retry_after = milliseconds(50);
constexpr duration max_retry_after = std::chrono::seconds(10);

/// As in ownership.cpp: the nonces of an incarnation exceed those of all
/// earlier ones.
constexpr unsigned incarnation_shift = 20;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Tokens that one delegation, held since `start`, has accrued for an account.
double accrued_tokens(const account_limit& limit_per_delegation,
                      time_point start,
                      time_point now)
{
    return std::min(limit_per_delegation.burst,
                    limit_per_delegation.rate_per_second *
                        seconds(now - start));
}

/// Recent grants, decayed from `updated` to `now`.
double decayed_grants(double grants, time_point updated, time_point now)
{
    return grants * std::exp(-seconds(now - updated) / grant_decay_seconds);
}

/// Retry hint for a refused request: the time in which the rate yields tokens
/// for it and for the requests that wait already.
duration retry_after_hint(const account_limit& limit, std::size_t waiting)
{
    const double rate = std::max(limit.rate_per_second, token_epsilon);
    const double wait_seconds = static_cast<double>(waiting + 1) / rate;
    const double max_seconds = seconds(max_retry_after);
    const auto hint = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(wait_seconds, max_seconds)));
    return std::max(hint, min_retry_after);
}

} // namespace

// --- owner -------------------------------------------------------------------

void limit_owner::set_limits(std::shared_ptr<const account_limits> new_limits)
{
    this->limits = std::move(new_limits);
}

const std::vector<time_point>& limit_owner::delegation_starts_of(
    bucket_id bucket, const ownership& owners, time_point now)
{
    cached_delegation_starts& cached = this->delegation_starts[bucket];
    if (cached.revision != owners.delegation_revision() ||
        now >= cached.valid_until)
    {
        ownership::held_delegations held =
            owners.held_delegations_of(bucket, now);
        cached = {owners.delegation_revision(), held.valid_until,
                  std::move(held.starts)};
    }
    return cached.starts;
}

// Removes holders whose grants have expired. Their tokens do not return to the
// bucket, because they may have been spent.
void limit_owner::expire_holders(token_bucket& bucket, time_point now)
{
    bucket.outstanding = 0.0;
    bucket.unmet = 0.0;
    bucket.next_expiry = time_point::max();
    for (auto it = bucket.holders.begin(); it != bucket.holders.end();)
    {
        holder& entry = it->second;
        if (now >= entry.expires_at)
        {
            it = bucket.holders.erase(it);
            continue;
        }
        bucket.outstanding += entry.outstanding;
        bucket.unmet += now < entry.unmet_until ? entry.unmet : 0.0;
        bucket.next_expiry = std::min(bucket.next_expiry, entry.expires_at);
        ++it;
    }
}

// Updates the level to `now`. Each delegation contributes up to burst / N
// tokens and fills at rate / N from the time since which it has been held
// without interruption. The tokens that a lost delegation had accrued are lost
// with it, because the next owner accrues them again.
void limit_owner::advance(token_bucket& bucket,
                          const account_limit& limit_per_delegation,
                          const std::vector<time_point>& delegation_starts,
                          time_point now)
{
    const auto first_new = std::upper_bound(
        delegation_starts.begin(), delegation_starts.end(), bucket.updated);
    const auto end = std::upper_bound(first_new, delegation_starts.end(), now);
    const auto old_count =
        static_cast<double>(first_new - delegation_starts.begin());
    const auto total_count =
        static_cast<double>(end - delegation_starts.begin());
    const double old_room =
        limit_per_delegation.burst * old_count - bucket.outstanding;
    if (old_room < -token_epsilon)
    {
        // More tokens are outstanding than the remaining older delegations
        // cover. Nothing accrues until they have expired.
        bucket.level = 0.0;
        bucket.updated = now;
        return;
    }
    bucket.level = std::min(bucket.level, std::max(old_room, 0.0)) +
                   limit_per_delegation.rate_per_second * old_count *
                       seconds(now - bucket.updated);
    for (auto start = first_new; start != end; ++start)
    {
        bucket.level += accrued_tokens(limit_per_delegation, *start, now);
    }
    const double room =
        limit_per_delegation.burst * total_count - bucket.outstanding;
    bucket.level = std::clamp(bucket.level, 0.0, std::max(room, 0.0));
    bucket.updated = now;
}

// Returns the token bucket of the account, updated to `now`; null for an
// account without a limit. An account without state has been idle, so its level
// follows from the delegations alone.
limit_owner::token_bucket* limit_owner::refresh(const std::string& account,
                                                const ownership& owners,
                                                time_point now)
{
    const auto limit = this->limits->find(account);
    if (limit == this->limits->end())
    {
        this->accounts.erase(account);
        return nullptr;
    }
    const double max_instances = std::max(owners.max_instances(), 1U);
    const account_limit limit_per_delegation{
        limit->second.rate_per_second / max_instances,
        limit->second.burst / max_instances};
    const auto& delegation_starts =
        this->delegation_starts_of(bucket_of(account), owners, now);
    const auto [entry, created] = this->accounts.try_emplace(account);
    token_bucket& bucket = entry->second;
    if (created)
    {
        bucket.updated = time_point::min();
        bucket.next_expiry = time_point::max();
        for (const time_point start : delegation_starts)
        {
            bucket.level += accrued_tokens(limit_per_delegation, start, now);
        }
        bucket.updated = now;
        return &bucket;
    }
    if (now >= bucket.next_expiry)
    {
        // The level is first updated to the last expiry, because tokens that
        // were outstanding until then left no room to accrue others.
        time_point last_expiry = bucket.updated;
        for (const auto& [id, holder] : bucket.holders)
        {
            if (holder.expires_at <= now)
            {
                last_expiry = std::max(last_expiry, holder.expires_at);
            }
        }
        advance(bucket, limit_per_delegation, delegation_starts, last_expiry);
        expire_holders(bucket, now);
    }
    advance(bucket, limit_per_delegation, delegation_starts, now);
    return &bucket;
}

// Returns the largest whole amount up to `wanted` that leaves enough tokens for
// the instances that have unmet wants and have received fewer recent
// grants than the requester.
double limit_owner::fair_amount(const token_bucket& bucket,
                                const holder& requester,
                                double wanted,
                                time_point now)
{
    const double max_amount =
        std::min(std::floor(wanted), std::floor(bucket.level + token_epsilon));
    if (max_amount < 1.0 || bucket.unmet <= 0.0 ||
        bucket.level >= wanted + bucket.unmet)
    {
        return std::max(max_amount, 0.0);
    }
    const double requester_grants = decayed_grants(
        requester.recent_grants, requester.recent_grants_at, now);
    const auto reserved = [&](double amount)
    {
        double sum = 0.0;
        for (const auto& [id, other] : bucket.holders)
        {
            if (&other == &requester || now >= other.unmet_until)
            {
                continue;
            }
            const double deficit = requester_grants + amount - 1.0 -
                                   decayed_grants(other.recent_grants,
                                                  other.recent_grants_at, now);
            sum += std::clamp(deficit, 0.0, other.unmet);
        }
        return sum;
    };
    double feasible = 0.0;
    double infeasible = max_amount + 1.0;
    while (infeasible - feasible > 1.0)
    {
        const double amount = std::floor((feasible + infeasible) / 2.0);
        const bool is_feasible =
            bucket.level - amount + token_epsilon >= reserved(amount);
        (is_feasible ? feasible : infeasible) = amount;
    }
    return feasible;
}

// Takes up to `wanted` tokens out of the bucket for the requester and reserves
// the rest as unmet.
double limit_owner::withdraw(token_bucket& bucket,
                             holder& requester,
                             double wanted,
                             time_point now)
{
    const double amount = fair_amount(bucket, requester, wanted, now);
    bucket.level = std::max(bucket.level - amount, 0.0);
    requester.recent_grants = decayed_grants(requester.recent_grants,
                                             requester.recent_grants_at, now) +
                              amount;
    requester.recent_grants_at = now;
    if (now < requester.unmet_until)
    {
        bucket.unmet = std::max(bucket.unmet - requester.unmet, 0.0);
    }
    requester.unmet = std::max(wanted - amount, 0.0);
    requester.unmet_until = now + unmet_reservation_period;
    bucket.unmet += requester.unmet;
    return amount;
}

// Renews the tokens that the requester holds and grants further ones. If the
// capacity does not cover even the held tokens, nothing is renewed and they
// expire under their earlier lease.
std::optional<double> limit_owner::grant(token_bucket& bucket,
                                         double capacity,
                                         const instance_id& requester_id,
                                         const token_demand& want,
                                         time_point now,
                                         duration hold)
{
    holder& requester = bucket.holders[requester_id];
    requester.expires_at = std::max(requester.expires_at, now);
    const double others = bucket.outstanding - requester.outstanding;
    const double held = std::max(want.held, 0.0);
    const double room = capacity - others - held;
    if (room < -token_epsilon)
    {
        const double remaining = std::min(requester.outstanding, held);
        bucket.outstanding = others + remaining;
        requester.outstanding = remaining;
        bucket.next_expiry = std::min(bucket.next_expiry, requester.expires_at);
        return std::nullopt;
    }
    bucket.level = std::min(bucket.level, std::max(room, 0.0));
    const double amount = withdraw(bucket, requester, want.requested, now);
    requester.outstanding = held + amount;
    requester.expires_at = now + hold;
    bucket.outstanding = others + requester.outstanding;
    bucket.next_expiry = std::min(bucket.next_expiry, requester.expires_at);
    return amount;
}

outbox limit_owner::receive(const instance_id& sender,
                            const token_request& request,
                            const ownership& owners,
                            time_point now)
{
    const duration lease = owners.times().grant_lease;
    const duration hold = owners.times().grant_hold();
    token_grant answer{request.nonce, lease, {}};
    bool answered = request.demands.empty();
    for (const token_demand& want : request.demands)
    {
        token_bucket* bucket = this->refresh(want.account, owners, now);
        if (bucket == nullptr)
        {
            answered = true;
            continue;
        }
        const auto holder_entry = bucket->holders.find(sender);
        if (holder_entry != bucket->holders.end() &&
            request.nonce <= holder_entry->second.newest_nonce)
        {
            continue;
        }
        answered = true;
        const double burst = this->limits->at(want.account).burst;
        const double capacity =
            burst * owners.share(bucket_of(want.account), now);
        const auto amount = grant(*bucket, capacity, sender, want, now, hold);
        bucket->holders[sender].newest_nonce = request.nonce;
        if (amount)
        {
            answer.amounts.push_back({want.account, *amount});
        }
    }
    if (!answered)
    {
        return {};
    }
    return {{sender.name, std::move(answer)}};
}

// The owner's own requests compete with those of the other instances under the
// same fairness rule. Their holder has the empty instance id.
bool limit_owner::take_token(const std::string& account,
                             const ownership& owners,
                             time_point now)
{
    token_bucket* bucket = this->refresh(account, owners, now);
    if (bucket == nullptr)
    {
        return false;
    }
    holder& local = bucket->holders[instance_id{}];
    local.expires_at = now + unmet_reservation_period;
    bucket->next_expiry = std::min(bucket->next_expiry, local.expires_at);
    return withdraw(*bucket, local, 1.0, now) >= 1.0;
}

void limit_owner::tick(const ownership& owners, time_point now)
{
    if (now < this->next_sweep)
    {
        return;
    }
    this->next_sweep = now + owner_sweep_period;
    std::vector<std::string> names;
    names.reserve(this->accounts.size());
    for (const auto& [account, unused] : this->accounts)
    {
        names.push_back(account);
    }
    for (const std::string& account : names)
    {
        const token_bucket* bucket = this->refresh(account, owners, now);
        if (bucket == nullptr || !bucket->holders.empty())
        {
            continue;
        }
        const double capacity = this->limits->at(account).burst *
                                owners.share(bucket_of(account), now);
        if (bucket->level >= capacity - token_epsilon)
        {
            this->accounts.erase(account);
        }
    }
}

std::size_t limit_owner::active_accounts() const
{
    return this->accounts.size();
}

// --- entry ------------------------------------------------------------------

entry_limiter::entry_limiter(const instance_id& self_id)
    : self(self_id.name), last_nonce(self_id.incarnation << incarnation_shift)
{
}

void entry_limiter::set_limits(std::shared_ptr<const account_limits> new_limits)
{
    this->limits = std::move(new_limits);
}

double entry_limiter::demand(const account_state& state, time_point now)
{
    return state.demand * std::exp(-seconds(now - state.demand_updated) /
                                   demand_decay_seconds);
}

void entry_limiter::record_arrival(account_state& state, time_point now)
{
    state.demand = demand(state, now) + 1.0 / demand_decay_seconds;
    state.demand_updated = now;
}

// Drops tokens whose lease has expired and requests whose wait has ended.
void entry_limiter::drop_expired(account_state& state, time_point now)
{
    if (now >= state.expires)
    {
        state.tokens = 0.0;
    }
    while (!state.wait_deadlines.empty() && state.wait_deadlines.front() <= now)
    {
        state.wait_deadlines.pop_front();
    }
}

// Number of tokens to hold for the expected use. If that is less than one
// token, none is prefetched; each request of the account then causes a token
// request.
double entry_limiter::target_tokens(const account_state& state,
                                    const account_limit& limit,
                                    time_point now)
{
    const double expected = demand(state, now) * prefetch_seconds;
    return std::floor(
        std::min(expected, limit.burst * prefetch_burst_fraction));
}

// True if a token request for the account is due.
bool entry_limiter::wants_tokens(const account_state& state,
                                 const account_limit& limit,
                                 time_point now)
{
    if (state.request_nonce != 0)
    {
        const unsigned doublings =
            std::min(state.retransmissions, max_retransmission_doublings);
        if (now - state.requested_at <
            first_retransmission_delay * (1U << doublings))
        {
            return false;
        }
    }
    const double target_amount = target_tokens(state, limit, now);
    const auto waiting = static_cast<double>(state.wait_deadlines.size());
    const bool renew = target_amount >= 1.0 && state.tokens >= 1.0 &&
                       state.expires - now < renewal_margin;
    return state.tokens < waiting || state.tokens < target_amount / 2.0 ||
           renew;
}

// Adds the account to a token request and records the request in its state.
void entry_limiter::add_want(token_request& request,
                             const std::string& account,
                             account_state& state,
                             const account_limit& limit,
                             time_point now)
{
    const auto waiting = static_cast<double>(state.wait_deadlines.size());
    const double target_amount =
        std::max(target_tokens(state, limit, now), waiting);
    const double wanted =
        std::max(std::ceil(target_amount - state.tokens), 0.0);
    request.demands.push_back({account, state.tokens, wanted});
    state.retransmissions =
        state.request_nonce == 0 ? 0 : state.retransmissions + 1;
    state.request_nonce = request.nonce;
    state.requested_amount = wanted;
    state.requested_at = now;
}

// Requests tokens for all accounts with waiting requests. Sends one token
// request per owner, and none to an owner that got one less than the urgent
// period ago.
void entry_limiter::send_urgent_requests(const ownership& owners,
                                         time_point now,
                                         outbox& out)
{
    request_batch requests;
    std::vector<std::string> still_urgent;
    for (const std::string& account : this->urgent_accounts)
    {
        const auto entry = this->accounts.find(account);
        const auto limit = this->limits->find(account);
        if (entry == this->accounts.end() || limit == this->limits->end())
        {
            continue;
        }
        account_state& state = entry->second;
        drop_expired(state, now);
        state.is_urgent =
            state.tokens < static_cast<double>(state.wait_deadlines.size());
        if (!state.is_urgent)
        {
            continue;
        }
        still_urgent.push_back(account);
        const std::string& owner = owners.owner_of(bucket_of(account));
        const bool remote = !owner.empty() && owner != this->self;
        if (remote && now >= this->next_urgent_request[owner] &&
            wants_tokens(state, limit->second, now))
        {
            add_want(this->request_to(requests, owner), account, state,
                     limit->second, now);
        }
    }
    this->urgent_accounts = std::move(still_urgent);
    this->send(std::move(requests), now, out);
}

// Returns the token request to this owner, creating it with a new nonce if the
// batch has none yet.
token_request& entry_limiter::request_to(request_batch& requests,
                                         const std::string& owner)
{
    const auto [entry, created] = requests.try_emplace(owner);
    if (created)
    {
        entry->second.nonce = ++this->last_nonce;
    }
    return entry->second;
}

void entry_limiter::send(request_batch&& requests, time_point now, outbox& out)
{
    for (auto& [owner, request] : requests)
    {
        sent_request sent{now, {}};
        for (const token_demand& want : request.demands)
        {
            sent.accounts.push_back(want.account);
        }
        this->in_flight.emplace(request.nonce, std::move(sent));
        this->next_urgent_request[owner] = now + min_urgent_period;
        out.push_back({owner, std::move(request)});
    }
}

// Updates the tokens of the undelegated fraction to `now` and returns their
// maximum number, which is 0 while the bucket is delegated. They restart at 0
// whenever a delegation of the bucket ends, because the owner may have spent
// this fraction.
double entry_limiter::refill_undelegated(account_state& state,
                                         const account_limit& limit,
                                         bucket_id bucket,
                                         const ownership& owners,
                                         time_point now)
{
    const double fraction = owners.undelegated_fraction(bucket, now);
    if (fraction <= 0.0)
    {
        state.undelegated_tokens = 0.0;
        return 0.0;
    }
    const time_point since = owners.undelegated_since(bucket);
    if (state.undelegated_updated < since)
    {
        state.undelegated_tokens = 0.0;
        state.undelegated_updated = since;
    }
    const double max_tokens = limit.burst * fraction;
    const double new_tokens = limit.rate_per_second * fraction *
                              seconds(now - state.undelegated_updated);
    state.undelegated_tokens =
        std::min(state.undelegated_tokens + new_tokens, max_tokens);
    state.undelegated_updated = now;
    return max_tokens;
}

bool entry_limiter::spend_undelegated(account_state& state,
                                      const account_limit& limit,
                                      bucket_id bucket,
                                      const ownership& owners,
                                      time_point now)
{
    refill_undelegated(state, limit, bucket, owners, now);
    if (state.undelegated_tokens + token_epsilon < 1.0)
    {
        return false;
    }
    state.undelegated_tokens -= 1.0;
    return true;
}

spend_result entry_limiter::spend(const std::string& account,
                                  time_point first_call,
                                  limit_owner& local_limits,
                                  const ownership& owners,
                                  time_point now,
                                  outbox& out)
{
    const auto limit = this->limits->find(account);
    if (limit == this->limits->end())
    {
        return {spend_kind::refused, {}, max_retry_after, false};
    }
    const auto [entry, created] = this->accounts.try_emplace(account);
    account_state& state = entry->second;
    const bool is_first_call = first_call == now;
    if (is_first_call)
    {
        record_arrival(state, now);
    }
    drop_expired(state, now);
    const spend_result granted{spend_kind::granted, {}, {}, false};
    const bucket_id bucket = bucket_of(account);
    if (state.tokens >= 1.0)
    {
        state.tokens -= 1.0;
        leave_queue(state, is_first_call);
        return granted;
    }
    if (spend_undelegated(state, limit->second, bucket, owners, now))
    {
        leave_queue(state, is_first_call);
        return granted;
    }
    const std::string& owner = owners.owner_of(bucket);
    const duration hint =
        retry_after_hint(limit->second, state.wait_deadlines.size());
    if (owner == this->self)
    {
        leave_queue(state, is_first_call);
        if (local_limits.take_token(account, owners, now))
        {
            return granted;
        }
        return {spend_kind::refused, {}, hint, false};
    }
    const bool answered =
        !is_first_call && first_call <= state.last_unmet_sent_at;
    const bool timed_out = now - first_call >= max_wait;
    if (owner.empty() || answered || timed_out)
    {
        leave_queue(state, is_first_call);
        return {spend_kind::refused, {}, hint, !answered};
    }
    if (is_first_call)
    {
        state.wait_deadlines.push_back(first_call + max_wait);
    }
    if (!state.is_urgent)
    {
        state.is_urgent = true;
        this->urgent_accounts.push_back(account);
    }
    // Visiting all urgent accounts at most once per owner and urgent period
    // keeps the cost of a request independent of their number.
    if (now >= this->next_urgent_request[owner])
    {
        this->send_urgent_requests(owners, now, out);
    }
    return {spend_kind::wait, first_call + max_wait, {}, false};
}

// Removes one waiting request from the queue. A request that ends in its first
// call has not been queued.
void entry_limiter::leave_queue(account_state& state, bool is_first_call)
{
    if (!is_first_call && !state.wait_deadlines.empty())
    {
        state.wait_deadlines.pop_front();
    }
}

// Ends the token request in flight for the account. If it was not granted in
// full, the requests that were waiting when it was sent are refused.
void entry_limiter::end_request(account_state& state,
                                double amount,
                                time_point sent_at)
{
    state.request_nonce = 0;
    if (amount < state.requested_amount)
    {
        state.last_unmet_sent_at = sent_at;
    }
}

void entry_limiter::receive(const token_grant& grant, time_point now)
{
    const auto request_entry = this->in_flight.find(grant.nonce);
    if (request_entry == this->in_flight.end())
    {
        return;
    }
    const sent_request request = std::move(request_entry->second);
    this->in_flight.erase(request_entry);
    const time_point expires = request.sent_at + grant.lease;
    if (now >= expires)
    {
        return;
    }
    for (const token_amount& granted : grant.amounts)
    {
        const auto account = this->accounts.find(granted.account);
        if (account == this->accounts.end() ||
            account->second.request_nonce != grant.nonce)
        {
            continue;
        }
        account_state& state = account->second;
        drop_expired(state, now);
        state.tokens += std::max(granted.amount, 0.0);
        state.expires = expires;
        end_request(state, granted.amount, request.sent_at);
    }
    // Accounts missing from the answer were neither renewed nor granted.
    for (const std::string& name : request.accounts)
    {
        const auto account = this->accounts.find(name);
        if (account != this->accounts.end() &&
            account->second.request_nonce == grant.nonce)
        {
            end_request(account->second, 0.0, request.sent_at);
        }
    }
}

// True if removing the account's state has no effect on later requests.
bool entry_limiter::is_idle(account_state& state,
                            const account_limit& limit,
                            bucket_id bucket,
                            const ownership& owners,
                            time_point now)
{
    const double max_undelegated =
        refill_undelegated(state, limit, bucket, owners, now);
    const bool undelegated_used =
        max_undelegated > 0.0 &&
        state.undelegated_tokens + token_epsilon < max_undelegated;
    return !undelegated_used && state.tokens < 1.0 &&
           state.wait_deadlines.empty() && demand(state, now) < idle_demand;
}

// Sends the prefetches, renewals and retransmissions of all accounts and
// removes idle accounts.
void entry_limiter::sweep(const ownership& owners, time_point now, outbox& out)
{
    request_batch requests;
    for (auto it = this->accounts.begin(); it != this->accounts.end();)
    {
        const std::string& account = it->first;
        account_state& state = it->second;
        drop_expired(state, now);
        const auto limit = this->limits->find(account);
        const bucket_id bucket = bucket_of(account);
        if (limit == this->limits->end() ||
            is_idle(state, limit->second, bucket, owners, now))
        {
            it = this->accounts.erase(it);
            continue;
        }
        const std::string& owner = owners.owner_of(bucket);
        const bool remote = !owner.empty() && owner != this->self;
        if (remote && wants_tokens(state, limit->second, now))
        {
            add_want(this->request_to(requests, owner), account, state,
                     limit->second, now);
        }
        ++it;
    }
    this->send(std::move(requests), now, out);
}

outbox entry_limiter::tick(const ownership& owners, time_point now)
{
    outbox out;
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_period;
        std::erase_if(this->in_flight,
                      [&](const auto& entry)
                      {
                          return now - entry.second.sent_at >
                                 owners.times().grant_lease;
                      });
        std::erase_if(this->next_urgent_request,
                      [&](const auto& entry)
                      {
                          return entry.second < now;
                      });
        this->sweep(owners, now, out);
    }
    this->send_urgent_requests(owners, now, out);
    return out;
}

std::size_t entry_limiter::active_accounts() const
{
    return this->accounts.size();
}

} // namespace medlarbarrow::core
