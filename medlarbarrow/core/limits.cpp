#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/limits.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Absorbs rounding where sums of tokens are compared.
constexpr double token_epsilon = 1e-6;

/// An unmet want reserves tokens this long. Longer than the greatest wait of a
/// request, so that an instance that still waits keeps its turn.
constexpr duration unmet_period = milliseconds(300);

/// Grants to an instance count for fairness with this decay time.
constexpr double received_decay_seconds = 1.0;

/// The owner looks for idle accounts this often.
constexpr duration owner_sweep_period = milliseconds(1000);

/// A request waits at most this long for tokens.
constexpr duration longest_wait = milliseconds(250);

/// Least time between requests to one owner while something waits.
constexpr duration urgent_period = milliseconds(20);

/// Time between prefetches and renewals.
constexpr duration sweep_period = milliseconds(250);

/// First retransmission; doubles with each, so that a round trip longer than
/// it is answered in the end.
constexpr duration first_retransmission = milliseconds(60);
constexpr unsigned retransmission_doublings = 4;

/// Tokens held in advance cover the expected use of this time: two sweep
/// periods and a round trip, because they are asked for at half of it.
constexpr double prefetch_seconds = 0.8;

/// Decay time of the demand estimate.
constexpr double demand_decay_seconds = 2.0;

/// An instance holds in advance at most this fraction of a burst.
constexpr double prefetch_burst_fraction = 0.125;

/// Tokens in use are renewed when less of their lease is left than this.
constexpr duration renewal_margin = milliseconds(700);

/// A demand estimate below this, in requests per second, counts as idle.
constexpr double idle_demand = 0.05;

constexpr duration shortest_retry = milliseconds(50);
constexpr duration longest_retry = std::chrono::seconds(10);

/// As for delegations (ownership.cpp): later runs use greater nonces.
constexpr unsigned incarnation_shift = 20;

double seconds(duration time)
{
    return std::chrono::duration<double>(time).count();
}

/// Grants that the account's unit of one delegation has accrued since `start`.
double accrued(const account_limit& unit, time_point start, time_point now)
{
    return std::min(unit.burst, unit.rate_per_second * seconds(now - start));
}

double recent(double received, time_point at, time_point now)
{
    return received * std::exp(-seconds(now - at) / received_decay_seconds);
}

/// Hint for a refused request: when the rate yields the tokens asked for.
duration retry_hint(const account_limit& limit, std::size_t waiting)
{
    const double rate = std::max(limit.rate_per_second, token_epsilon);
    const double wait = static_cast<double>(waiting + 1) / rate;
    const double longest = seconds(longest_retry);
    const auto hint = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(std::min(wait, longest)));
    return std::max(hint, shortest_retry);
}

} // namespace

// --- owner -------------------------------------------------------------------

void limit_owner::set_limits(std::shared_ptr<const account_limits> next)
{
    this->limits = std::move(next);
}

const std::vector<time_point>& limit_owner::starts_of(bucket_id bucket,
                                                      const ownership& owners,
                                                      time_point now)
{
    cached_starts& cached = this->starts[bucket];
    if (cached.revision != owners.revision() || now >= cached.valid_until)
    {
        ownership::held_starts held = owners.starts_of(bucket, now);
        cached = {owners.revision(), held.valid_until, std::move(held.starts)};
    }
    return cached.starts;
}

// Drops what instances no longer hold. The tokens are not given back: they may
// have been spent.
void limit_owner::expire_holders(token_bucket& bucket, time_point now)
{
    bucket.outstanding = 0.0;
    bucket.unmet = 0.0;
    bucket.next_expiry = time_point::max();
    for (auto item = bucket.holders.begin(); item != bucket.holders.end();)
    {
        holder& entry = item->second;
        if (now >= entry.ends)
        {
            item = bucket.holders.erase(item);
            continue;
        }
        bucket.outstanding += entry.outstanding;
        bucket.unmet += now < entry.unmet_until ? entry.unmet : 0.0;
        bucket.next_expiry = std::min(bucket.next_expiry, entry.ends);
        ++item;
    }
}

// Brings the level up to `now`. Each delegation is worth burst / N and fills
// by rate / N from the time since which it has been held without a break; what
// a lost delegation had accrued is lost with it, because its next owner accrues
// it anew. An account without state has been idle: its level follows from the
// delegations alone.
void limit_owner::advance(token_bucket& bucket,
                          const account_limit& unit,
                          const std::vector<time_point>& held,
                          time_point now)
{
    const auto first_new =
        std::upper_bound(held.begin(), held.end(), bucket.updated);
    const auto end = std::upper_bound(first_new, held.end(), now);
    const auto kept = static_cast<double>(first_new - held.begin());
    const auto all = static_cast<double>(end - held.begin());
    const double kept_room = unit.burst * kept - bucket.outstanding;
    if (kept_room < -token_epsilon)
    {
        // More is out than the kept delegations cover. Until it has expired
        // nothing accrues.
        bucket.level = 0.0;
        bucket.updated = now;
        return;
    }
    bucket.level = std::min(bucket.level, std::max(kept_room, 0.0)) +
                   unit.rate_per_second * kept * seconds(now - bucket.updated);
    for (auto start = first_new; start != end; ++start)
    {
        bucket.level += accrued(unit, *start, now);
    }
    const double room = unit.burst * all - bucket.outstanding;
    bucket.level = std::clamp(bucket.level, 0.0, std::max(room, 0.0));
    bucket.updated = now;
}

// Finds the account's state, brought up to `now`; null for an unknown account.
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
    const double all_units = std::max(owners.max_instances(), 1U);
    const account_limit unit{limit->second.rate_per_second / all_units,
                             limit->second.burst / all_units};
    const auto& held = this->starts_of(bucket_of(account), owners, now);
    const auto [found, created] = this->accounts.try_emplace(account);
    token_bucket& bucket = found->second;
    if (created)
    {
        bucket.updated = time_point::min();
        bucket.next_expiry = time_point::max();
        for (const time_point start : held)
        {
            bucket.level += accrued(unit, start, now);
        }
        bucket.updated = now;
        return &bucket;
    }
    if (now >= bucket.next_expiry)
    {
        // Tokens that were out until then left no room to accrue.
        time_point last_expiry = bucket.updated;
        for (const auto& [id, entry] : bucket.holders)
        {
            if (entry.ends <= now)
            {
                last_expiry = std::max(last_expiry, entry.ends);
            }
        }
        advance(bucket, unit, held, last_expiry);
        expire_holders(bucket, now);
    }
    advance(bucket, unit, held, now);
    return &bucket;
}

// Largest whole amount up to `wanted` that leaves enough for the instances
// whose wants are unmet and that have recently received less than the asker.
double limit_owner::fair_amount(const token_bucket& bucket,
                                const holder& asker,
                                double wanted,
                                time_point now)
{
    const double most =
        std::min(std::floor(wanted), std::floor(bucket.level + token_epsilon));
    if (most < 1.0 || bucket.unmet <= 0.0 ||
        bucket.level >= wanted + bucket.unmet)
    {
        return std::max(most, 0.0);
    }
    const double received = recent(asker.received, asker.received_at, now);
    const auto reserved = [&](double amount)
    {
        double sum = 0.0;
        for (const auto& [id, other] : bucket.holders)
        {
            if (&other == &asker || now >= other.unmet_until)
            {
                continue;
            }
            const double less = received + amount - 1.0 -
                                recent(other.received, other.received_at, now);
            sum += std::clamp(less, 0.0, other.unmet);
        }
        return sum;
    };
    double granted = 0.0;
    double refused = most + 1.0;
    while (refused - granted > 1.0)
    {
        const double amount = std::floor((granted + refused) / 2.0);
        const bool fits =
            bucket.level - amount + token_epsilon >= reserved(amount);
        (fits ? granted : refused) = amount;
    }
    return granted;
}

// Takes up to `wanted` tokens out of the bucket for the asker.
double limit_owner::withdraw(token_bucket& bucket,
                             holder& asker,
                             double wanted,
                             time_point now)
{
    const double amount = fair_amount(bucket, asker, wanted, now);
    bucket.level = std::max(bucket.level - amount, 0.0);
    asker.received = recent(asker.received, asker.received_at, now) + amount;
    asker.received_at = now;
    if (now < asker.unmet_until)
    {
        bucket.unmet = std::max(bucket.unmet - asker.unmet, 0.0);
    }
    asker.unmet = std::max(wanted - amount, 0.0);
    asker.unmet_until = now + unmet_period;
    bucket.unmet += asker.unmet;
    return amount;
}

// Renews and grants what `from` holds. Without room even for what it holds
// already, nothing is renewed: those tokens expire under their earlier lease.
std::optional<double> limit_owner::grant(token_bucket& bucket,
                                         double capacity,
                                         const instance_id& from,
                                         const token_want& want,
                                         time_point now,
                                         duration hold)
{
    holder& asker = bucket.holders[from];
    asker.ends = std::max(asker.ends, now);
    const double others = bucket.outstanding - asker.outstanding;
    const double held = std::max(want.held, 0.0);
    const double room = capacity - others - held;
    if (room < -token_epsilon)
    {
        const double left = std::min(asker.outstanding, held);
        bucket.outstanding = others + left;
        asker.outstanding = left;
        bucket.next_expiry = std::min(bucket.next_expiry, asker.ends);
        return std::nullopt;
    }
    bucket.level = std::min(bucket.level, std::max(room, 0.0));
    const double amount = withdraw(bucket, asker, want.wanted, now);
    asker.outstanding = held + amount;
    asker.ends = now + hold;
    bucket.outstanding = others + asker.outstanding;
    bucket.next_expiry = std::min(bucket.next_expiry, asker.ends);
    return amount;
}

outbox limit_owner::receive(const instance_id& from,
                            const token_request& request,
                            const ownership& owners,
                            time_point now)
{
    const duration lease = owners.times().grant_lease;
    const duration hold = owners.times().grant_hold();
    token_grant answer{request.nonce, lease, {}};
    bool answered = request.wants.empty();
    for (const token_want& want : request.wants)
    {
        token_bucket* bucket = this->refresh(want.account, owners, now);
        if (bucket == nullptr)
        {
            answered = true;
            continue;
        }
        const auto known = bucket->holders.find(from);
        if (known != bucket->holders.end() &&
            request.nonce <= known->second.newest)
        {
            continue;
        }
        answered = true;
        const double burst = this->limits->at(want.account).burst;
        const double capacity =
            burst * owners.share(bucket_of(want.account), now);
        const auto amount = grant(*bucket, capacity, from, want, now, hold);
        bucket->holders[from].newest = request.nonce;
        if (amount)
        {
            answer.amounts.push_back({want.account, *amount});
        }
    }
    if (!answered)
    {
        return {};
    }
    return {{from.name, std::move(answer)}};
}

// The requests of the owner itself compete with the other instances under the
// same rule of fairness; the empty identity stands for them.
bool limit_owner::take(const std::string& account,
                       const ownership& owners,
                       time_point now)
{
    token_bucket* bucket = this->refresh(account, owners, now);
    if (bucket == nullptr)
    {
        return false;
    }
    holder& local = bucket->holders[instance_id{}];
    local.ends = now + unmet_period;
    bucket->next_expiry = std::min(bucket->next_expiry, local.ends);
    return withdraw(*bucket, local, 1.0, now) >= 1.0;
}

void limit_owner::tick(const ownership& owners, time_point now)
{
    if (now < this->next_sweep)
    {
        return;
    }
    this->next_sweep = now + owner_sweep_period;
    std::vector<std::string> idle;
    idle.reserve(this->accounts.size());
    for (const auto& [account, unused] : this->accounts)
    {
        idle.push_back(account);
    }
    for (const std::string& account : idle)
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

token_holder::token_holder(const instance_id& self_id)
    : self(self_id.name), last_nonce(self_id.incarnation << incarnation_shift)
{
}

void token_holder::set_limits(std::shared_ptr<const account_limits> next)
{
    this->limits = std::move(next);
}

double token_holder::demand(const held_account& state, time_point now)
{
    return state.demand *
           std::exp(-seconds(now - state.demand_at) / demand_decay_seconds);
}

void token_holder::note_arrival(held_account& state, time_point now)
{
    state.demand = demand(state, now) + 1.0 / demand_decay_seconds;
    state.demand_at = now;
}

// Forgets tokens past their lease and requests that waited long enough.
void token_holder::drop_expired(held_account& state, time_point now)
{
    if (now >= state.expires)
    {
        state.tokens = 0.0;
    }
    while (!state.waiting.empty() && state.waiting.front() <= now)
    {
        state.waiting.pop_front();
    }
}

// Number of tokens to hold for the expected use. Below one token an account
// holds none in advance: its requests ask.
double token_holder::target(const held_account& state,
                            const account_limit& limit,
                            time_point now)
{
    const double expected = demand(state, now) * prefetch_seconds;
    return std::floor(
        std::min(expected, limit.burst * prefetch_burst_fraction));
}

// True when a request for the account is due.
bool token_holder::wants_tokens(const held_account& state,
                                const account_limit& limit,
                                time_point now)
{
    if (state.asked_nonce != 0)
    {
        const unsigned doublings =
            std::min(state.attempts, retransmission_doublings);
        if (now - state.asked_at < first_retransmission * (1U << doublings))
        {
            return false;
        }
    }
    const double aim = target(state, limit, now);
    const auto waiting = static_cast<double>(state.waiting.size());
    const bool renew = aim >= 1.0 && state.tokens >= 1.0 &&
                       state.expires - now < renewal_margin;
    return state.tokens < waiting || state.tokens < aim / 2.0 || renew;
}

// Adds the account to a request and notes that it has been asked for.
void token_holder::add_want(token_request& request,
                            const std::string& account,
                            held_account& state,
                            const account_limit& limit,
                            time_point now)
{
    const auto waiting = static_cast<double>(state.waiting.size());
    const double aim = std::max(target(state, limit, now), waiting);
    const double wanted = std::max(std::ceil(aim - state.tokens), 0.0);
    request.wants.push_back({account, state.tokens, wanted});
    state.attempts = state.asked_nonce == 0 ? 0 : state.attempts + 1;
    state.asked_nonce = request.nonce;
    state.asked_amount = wanted;
    state.asked_at = now;
}

// Asks for all accounts with waiting requests, one request per owner, except
// owners that were asked too recently.
void token_holder::send_urgent(const ownership& owners,
                               time_point now,
                               outbox& out)
{
    request_batch requests;
    std::vector<std::string> kept;
    for (const std::string& account : this->urgent)
    {
        const auto found = this->accounts.find(account);
        const auto limit = this->limits->find(account);
        if (found == this->accounts.end() || limit == this->limits->end())
        {
            continue;
        }
        held_account& state = found->second;
        drop_expired(state, now);
        state.urgent = state.tokens < static_cast<double>(state.waiting.size());
        if (!state.urgent)
        {
            continue;
        }
        kept.push_back(account);
        const std::string& owner = owners.owner_of(bucket_of(account));
        const bool remote = !owner.empty() && owner != this->self;
        if (remote && now >= this->next_urgent[owner] &&
            wants_tokens(state, limit->second, now))
        {
            add_want(this->request_to(requests, owner), account, state,
                     limit->second, now);
        }
    }
    this->urgent = std::move(kept);
    this->send(std::move(requests), now, out);
}

token_request& token_holder::request_to(request_batch& requests,
                                        const std::string& owner)
{
    const auto [entry, created] = requests.try_emplace(owner);
    if (created)
    {
        entry->second.nonce = ++this->last_nonce;
    }
    return entry->second;
}

void token_holder::send(request_batch&& requests, time_point now, outbox& out)
{
    for (auto& [owner, request] : requests)
    {
        sent_request sent{now, {}};
        for (const token_want& want : request.wants)
        {
            sent.accounts.push_back(want.account);
        }
        this->in_flight.emplace(request.nonce, std::move(sent));
        this->next_urgent[owner] = now + urgent_period;
        out.push_back({owner, std::move(request)});
    }
}

// Brings the tokens of the own fraction up to `now` and returns their greatest
// number: 0 while the bucket is delegated. They start at none whenever the
// bucket becomes free, because its owner may have spent this fraction.
double token_holder::refill_own(held_account& state,
                                const account_limit& limit,
                                bucket_id bucket,
                                const ownership& owners,
                                time_point now)
{
    const double fraction = owners.own_fraction(bucket, now);
    if (fraction <= 0.0)
    {
        state.own_tokens = 0.0;
        return 0.0;
    }
    const time_point since = owners.own_since(bucket);
    if (state.own_updated < since)
    {
        state.own_tokens = 0.0;
        state.own_updated = since;
    }
    const double most = limit.burst * fraction;
    const double accrued =
        limit.rate_per_second * fraction * seconds(now - state.own_updated);
    state.own_tokens = std::min(state.own_tokens + accrued, most);
    state.own_updated = now;
    return most;
}

bool token_holder::spend_own(held_account& state,
                             const account_limit& limit,
                             bucket_id bucket,
                             const ownership& owners,
                             time_point now)
{
    refill_own(state, limit, bucket, owners, now);
    if (state.own_tokens + token_epsilon < 1.0)
    {
        return false;
    }
    state.own_tokens -= 1.0;
    return true;
}

spend_result token_holder::spend(const std::string& account,
                                 time_point asked,
                                 limit_owner& local_limits,
                                 const ownership& owners,
                                 time_point now,
                                 outbox& out)
{
    const auto limit = this->limits->find(account);
    if (limit == this->limits->end())
    {
        return {spend_kind::refused, {}, longest_retry, false};
    }
    const auto [found, created] = this->accounts.try_emplace(account);
    held_account& state = found->second;
    const bool first = asked == now;
    if (first)
    {
        note_arrival(state, now);
    }
    drop_expired(state, now);
    const spend_result granted{spend_kind::granted, {}, {}, false};
    const bucket_id bucket = bucket_of(account);
    if (state.tokens >= 1.0)
    {
        state.tokens -= 1.0;
        leave_queue(state, first);
        return granted;
    }
    if (spend_own(state, limit->second, bucket, owners, now))
    {
        leave_queue(state, first);
        return granted;
    }
    const std::string& owner = owners.owner_of(bucket);
    const duration hint = retry_hint(limit->second, state.waiting.size());
    if (owner == this->self)
    {
        leave_queue(state, first);
        if (local_limits.take(account, owners, now))
        {
            return granted;
        }
        return {spend_kind::refused, {}, hint, false};
    }
    const bool answered = !first && asked <= state.short_answer;
    const bool late = now - asked >= longest_wait;
    if (owner.empty() || answered || late)
    {
        leave_queue(state, first);
        return {spend_kind::refused, {}, hint, !answered};
    }
    if (first)
    {
        state.waiting.push_back(asked + longest_wait);
    }
    if (!state.urgent)
    {
        state.urgent = true;
        this->urgent.push_back(account);
    }
    // Going through all that wait at most once per owner and urgent period
    // keeps the cost of a request independent of their number.
    if (now >= this->next_urgent[owner])
    {
        this->send_urgent(owners, now, out);
    }
    return {spend_kind::wait, asked + longest_wait, {}, false};
}

// Counts one waiting request less when it ends after its first call.
void token_holder::leave_queue(held_account& state, bool first)
{
    if (!first && !state.waiting.empty())
    {
        state.waiting.pop_front();
    }
}

// Ends the request in flight for the account. Without all that was asked for,
// the requests that waited when it was sent are refused.
void token_holder::end_request(held_account& state,
                               double amount,
                               time_point sent)
{
    state.asked_nonce = 0;
    if (amount < state.asked_amount)
    {
        state.short_answer = sent;
    }
}

void token_holder::receive(const token_grant& grant, time_point now)
{
    const auto found = this->in_flight.find(grant.nonce);
    if (found == this->in_flight.end())
    {
        return;
    }
    const sent_request sent = std::move(found->second);
    this->in_flight.erase(found);
    const time_point expires = sent.sent + grant.lease;
    if (now >= expires)
    {
        return;
    }
    for (const token_amount& item : grant.amounts)
    {
        const auto account = this->accounts.find(item.account);
        if (account == this->accounts.end() ||
            account->second.asked_nonce != grant.nonce)
        {
            continue;
        }
        held_account& state = account->second;
        drop_expired(state, now);
        state.tokens += std::max(item.amount, 0.0);
        state.expires = expires;
        end_request(state, item.amount, sent.sent);
    }
    // Accounts that the owner left out: neither renewed nor granted.
    for (const std::string& name : sent.accounts)
    {
        const auto account = this->accounts.find(name);
        if (account != this->accounts.end() &&
            account->second.asked_nonce == grant.nonce)
        {
            end_request(account->second, 0.0, sent.sent);
        }
    }
}

// True when forgetting the account changes nothing.
bool token_holder::is_idle(held_account& state,
                           const account_limit& limit,
                           bucket_id bucket,
                           const ownership& owners,
                           time_point now)
{
    const double own = refill_own(state, limit, bucket, owners, now);
    const bool own_used = own > 0.0 && state.own_tokens + token_epsilon < own;
    return !own_used && state.tokens < 1.0 && state.waiting.empty() &&
           demand(state, now) < idle_demand;
}

// Collects prefetches, renewals and retransmissions of all accounts.
void token_holder::sweep(const ownership& owners, time_point now, outbox& out)
{
    request_batch requests;
    for (auto item = this->accounts.begin(); item != this->accounts.end();)
    {
        const std::string& account = item->first;
        held_account& state = item->second;
        drop_expired(state, now);
        const auto limit = this->limits->find(account);
        const bucket_id bucket = bucket_of(account);
        if (limit == this->limits->end() ||
            is_idle(state, limit->second, bucket, owners, now))
        {
            item = this->accounts.erase(item);
            continue;
        }
        const std::string& owner = owners.owner_of(bucket);
        const bool remote = !owner.empty() && owner != this->self;
        if (remote && wants_tokens(state, limit->second, now))
        {
            add_want(this->request_to(requests, owner), account, state,
                     limit->second, now);
        }
        ++item;
    }
    this->send(std::move(requests), now, out);
}

outbox token_holder::tick(const ownership& owners, time_point now)
{
    outbox out;
    if (now >= this->next_sweep)
    {
        this->next_sweep = now + sweep_period;
        std::erase_if(this->in_flight,
                      [&](const auto& item)
                      {
                          return now - item.second.sent >
                                 owners.times().grant_lease;
                      });
        std::erase_if(this->next_urgent,
                      [&](const auto& item)
                      {
                          return item.second < now;
                      });
        this->sweep(owners, now, out);
    }
    this->send_urgent(owners, now, out);
    return out;
}

std::size_t token_holder::active_accounts() const
{
    return this->accounts.size();
}

} // namespace medlarbarrow::core
