#include <algorithm>
#include <functional>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/ownership.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Fleets up to this size use the shortest lease times.
constexpr std::size_t small_fleet = 64;

/// Maximum number of delegations that an owner receives per second.
constexpr std::size_t max_delegations_per_second = 32;

/// A candidate is suspected after this many silent refresh periods.
constexpr int max_silent_refreshes = 3;

/// Inverse of the clock drift bound: the clock rates of two instances differ by
/// less than 1 / drift_divisor.
constexpr int drift_divisor = 100;

/// How long the newest solicitation of a silent incarnation is remembered. Far
/// longer than any message can be delayed.
constexpr duration solicitation_retention = std::chrono::minutes(10);

/// The nonces of an incarnation start at the incarnation shifted by this many
/// bits. They exceed all nonces of earlier incarnations, so that a late answer
/// to an earlier one matches no solicitation.
constexpr unsigned incarnation_shift = 20;

const std::string no_instance;

/// Returns the member with the highest rendezvous hash among those for which
/// `eligible` returns true. Empty if there is none.
template <class Predicate>
const std::string& highest_hash(const std::vector<std::string>& members,
                                bucket_id bucket,
                                Predicate eligible)
{
    const std::string* best = &no_instance;
    std::uint64_t best_hash = 0;
    for (const std::string& member : members)
    {
        const std::uint64_t hash = hash_text(member, bucket + 1);
        if (eligible(member) && (best->empty() || hash > best_hash))
        {
            best = &member;
            best_hash = hash;
        }
    }
    return *best;
}

} // namespace

lease_times lease_times::for_fleet(std::size_t instances) noexcept
{
    lease_times times;
    if (instances > small_fleet)
    {
        times.refresh =
            duration(std::chrono::seconds(1)) *
            static_cast<std::int64_t>(instances / max_delegations_per_second);
        times.lease = times.refresh * 3;
    }
    return times;
}

duration lease_times::delegator_hold() const noexcept
{
    const duration hold = this->lease + this->grant_lease;
    return hold + hold / drift_divisor;
}

duration lease_times::grant_hold() const noexcept
{
    return this->grant_lease + this->grant_lease / drift_divisor;
}

ownership::ownership(instance_id self_id, time_point started_at)
    : self(std::move(self_id)), started(started_at),
      last_nonce(this->self.incarnation << incarnation_shift),
      last_tick(started_at)
{
}

void ownership::set_live_instances(const std::vector<std::string>& live,
                                   time_point now)
{
    this->members = live;
    std::sort(this->members.begin(), this->members.end());
    const auto listed = [this](const std::string& name)
    {
        return std::binary_search(this->members.begin(), this->members.end(),
                                  name);
    };
    std::erase_if(this->peers,
                  [&](const auto& entry)
                  {
                      return !listed(entry.first) &&
                             entry.second.held_until < now;
                  });
    std::erase_if(this->last_heard,
                  [&](const auto& entry)
                  {
                      return !listed(entry.first);
                  });
    std::erase_if(this->suspected,
                  [&](const std::string& name)
                  {
                      return !listed(name);
                  });
    std::erase_if(this->departed_incarnations,
                  [&](const auto& entry)
                  {
                      return !listed(entry.first) &&
                             entry.first != this->self.name;
                  });
    std::erase_if(this->newest_solicitations,
                  [&](const auto& entry)
                  {
                      return now - entry.second.received_at >
                             solicitation_retention;
                  });
    this->update_candidates(now);
}

// The lease times depend on N and not on the list of live instances: a new
// process must wait for the lease of its predecessor, whose list may have been
// longer. Majorities are computed again at the next tick, because this function
// does not receive the time.
void ownership::set_max_instances(std::uint32_t max_instances)
{
    const std::uint32_t limit = std::max<std::uint32_t>(max_instances, 1);
    if (limit == this->instance_limit)
    {
        return;
    }
    this->instance_limit = limit;
    this->lease_periods = lease_times::for_fleet(limit);
    this->majorities = {};
}

// Computes the candidate of each bucket and solicits all peers at the next
// tick. A changed candidate gets a new grace period before it can be suspected.
void ownership::update_candidates(time_point now)
{
    const auto eligible = [this](const std::string& name)
    {
        return this->is_eligible(name);
    };
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const std::string& candidate =
            highest_hash(this->members, bucket, eligible);
        if (candidate != this->candidates[bucket])
        {
            this->candidates[bucket] = candidate;
            this->candidate_since[bucket] = now;
        }
    }
    for (auto& [name, peer] : this->peers)
    {
        peer.next_solicitation = now;
    }
}

// Messages of a departed incarnation, such as token requests while it drains,
// do not make it a candidate again. A newer incarnation of the instance does.
void ownership::record_message_from(const instance_id& peer, time_point now)
{
    this->last_heard[peer.name] = now;
    const auto departure = this->departed_incarnations.find(peer.name);
    const bool restarted = departure != this->departed_incarnations.end() &&
                           departure->second < peer.incarnation;
    if (restarted)
    {
        this->departed_incarnations.erase(departure);
    }
    if (this->suspected.erase(peer.name) != 0 || restarted)
    {
        this->update_candidates(now);
    }
}

bool ownership::is_eligible(const std::string& name) const
{
    return !this->suspected.contains(name) &&
           !this->departed_incarnations.contains(name);
}

// The solicitations of an owner also serve as its heartbeat: every instance
// receives one from each owner per refresh period. If this process was paused
// for longer than a refresh period, all silence timers restart, because it
// could not receive messages meanwhile.
void ownership::suspect_silent_candidates(time_point now)
{
    const duration max_silence =
        this->lease_periods.refresh * max_silent_refreshes;
    if (now - this->last_tick > this->lease_periods.refresh)
    {
        for (auto& [name, heard_at] : this->last_heard)
        {
            heard_at = now;
        }
        this->candidate_since.fill(now);
    }
    bool changed = false;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const std::string& name = this->candidates[bucket];
        if (name.empty() || name == this->self.name)
        {
            continue;
        }
        const auto last_message = this->last_heard.find(name);
        const time_point silent_since =
            last_message == this->last_heard.end()
                ? this->candidate_since[bucket]
                : std::max(last_message->second, this->candidate_since[bucket]);
        if (now - silent_since > max_silence)
        {
            changed = this->suspected.insert(name).second || changed;
        }
    }
    if (changed)
    {
        this->update_candidates(now);
    }
}

// A new process delegates nothing until the delegations of an earlier process
// of this instance have expired and N is known.
bool ownership::may_delegate(time_point now) const
{
    return !this->released_all && this->instance_limit > 0 &&
           now >= this->started + this->lease_periods.delegator_hold();
}

// Delegates those buckets of `wanted` whose candidate is `owner` and that are
// either free or already delegated to this incarnation of `owner`. Returns the
// buckets delegated.
bucket_set ownership::delegate_to(const instance_id& owner,
                                  bucket_set wanted,
                                  nonce solicitation,
                                  time_point now)
{
    bucket_set delegated = 0;
    if (!this->may_delegate(now))
    {
        return delegated;
    }
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        delegator_entry& current = this->delegator_entries[bucket];
        const bool available =
            now >= current.expires_at || current.owner == owner;
        if (contains(wanted, bucket) && available &&
            this->candidates[bucket] == owner.name)
        {
            if (current.owner != owner)
            {
                current.previous_owner =
                    current.released ? current.owner : instance_id{};
            }
            if (current.owner != owner || now >= current.expires_at)
            {
                current.first_solicitation = solicitation;
            }
            current.owner = owner;
            current.expires_at = now + this->lease_periods.delegator_hold();
            current.released = false;
            delegated |= single_bucket(bucket);
        }
    }
    return delegated;
}

void ownership::delegate_to_self(time_point now)
{
    const bucket_set delegated =
        this->delegate_to(this->self, this->candidate_buckets(), 0, now);
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (!contains(delegated, bucket))
        {
            continue;
        }
        if (now >= this->self_delegated_until[bucket])
        {
            this->self_delegated_since[bucket] = now;
            ++this->delegation_changes;
        }
        this->self_delegated_until[bucket] = now + this->lease_periods.lease;
    }
}

outbox ownership::tick(time_point now)
{
    outbox out;
    this->suspect_silent_candidates(now);
    this->last_tick = now;
    if (this->released_all)
    {
        return out;
    }
    this->delegate_to_self(now);
    const bucket_set wanted = this->candidate_buckets();
    for (const std::string& member : this->members)
    {
        peer_state& peer = this->peers[member];
        if (member == this->self.name || wanted == 0 ||
            now < peer.next_solicitation)
        {
            continue;
        }
        peer.solicitation = ++this->last_nonce;
        peer.solicited_at = now;
        peer.next_solicitation = now + this->lease_periods.refresh;
        out.push_back({member, delegation_request{peer.solicitation, wanted}});
    }
    this->update_majorities(~bucket_set{0}, now);
    return out;
}

outbox ownership::receive(const instance_id& sender,
                          const delegation_request& request,
                          time_point now)
{
    // A solicitation that arrives after a newer one is stale: answering it
    // would delegate the buckets to an owner that may be gone.
    newest_solicitation& newest = this->newest_solicitations[sender];
    if (request.nonce <= newest.solicitation)
    {
        return {};
    }
    newest = {request.nonce, now};
    const bucket_set delegated =
        this->delegate_to(sender, request.buckets, request.nonce, now);
    if (delegated == 0)
    {
        return {};
    }
    delegation answer{request.nonce, delegated, this->lease_periods.lease, {}};
    std::map<instance_id, bucket_set> buckets_by_owner;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const instance_id& previous =
            this->delegator_entries[bucket].previous_owner;
        if (contains(delegated, bucket) && !previous.name.empty())
        {
            buckets_by_owner[previous] |= single_bucket(bucket);
        }
    }
    for (const auto& [previous, buckets] : buckets_by_owner)
    {
        answer.origins.push_back({previous, buckets});
    }
    return {{sender.name, std::move(answer)}};
}

void ownership::receive(const instance_id& sender,
                        const delegation& answer,
                        time_point now)
{
    const auto peer_entry = this->peers.find(sender.name);
    if (peer_entry == this->peers.end() || this->released_all ||
        answer.nonce != peer_entry->second.solicitation)
    {
        return;
    }
    peer_state& peer = peer_entry->second;
    const bucket_set affected = peer.held_buckets | answer.buckets;
    const bucket_set uninterrupted =
        now < peer.held_until ? peer.held_buckets : 0;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (contains(answer.buckets & ~uninterrupted, bucket))
        {
            peer.held_since[bucket] = now;
        }
    }
    this->delegation_changes += uninterrupted == answer.buckets ? 0 : 1;
    peer.incarnation = sender.incarnation;
    peer.held_buckets = answer.buckets;
    peer.origins = answer.origins;
    peer.answered_solicitation = answer.nonce;
    // The lease is counted from the solicitation, which precedes the answer, so
    // that it expires at this owner before it expires at the delegator.
    peer.held_until = peer.solicited_at + answer.lease;
    this->update_majorities(affected, now);
}

void ownership::receive(const instance_id& sender,
                        const delegation_release& release,
                        time_point now)
{
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        delegator_entry& current = this->delegator_entries[bucket];
        if (contains(release.buckets, bucket) && current.owner == sender)
        {
            // The next owner counts as direct successor only if the delegation
            // has not been interrupted since the answer that `sender` counted
            // last.
            current.released =
                current.released ||
                (now < current.expires_at &&
                 current.first_solicitation <= release.last_counted_nonce);
            current.expires_at = std::min(
                current.expires_at, now + this->lease_periods.grant_hold());
        }
    }
    // The next candidate takes over without waiting for a new list of live
    // instances.
    std::uint64_t& departed_incarnation =
        this->departed_incarnations[sender.name];
    departed_incarnation = std::max(departed_incarnation, sender.incarnation);
    this->update_candidates(now);
}

outbox ownership::release_all(time_point now)
{
    outbox out;
    this->released_all = true;
    this->departed_incarnations[this->self.name] = this->self.incarnation;
    this->update_candidates(now);
    for (auto& [name, peer] : this->peers)
    {
        if (peer.held_buckets != 0 && peer.held_until > now)
        {
            out.push_back(
                {name, delegation_release{peer.held_buckets,
                                          peer.answered_solicitation}});
        }
        peer.held_buckets = 0;
    }
    this->self_delegated_until.fill(time_point{});
    ++this->delegation_changes;
    this->update_majorities(~bucket_set{0}, now);
    return out;
}

const std::string& ownership::owner_of(bucket_id bucket) const
{
    return this->candidates[bucket];
}

std::string ownership::successor_of(bucket_id bucket) const
{
    return highest_hash(this->members, bucket,
                        [this](const std::string& name)
                        {
                            return name != this->self.name &&
                                   this->is_eligible(name);
                        });
}

bucket_set ownership::candidate_buckets() const
{
    bucket_set buckets = 0;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (this->candidates[bucket] == this->self.name)
        {
            buckets |= single_bucket(bucket);
        }
    }
    return buckets;
}

std::uint32_t ownership::delegations(bucket_id bucket, time_point now) const
{
    const auto is_held = [&](const auto& entry)
    {
        return contains(entry.second.held_buckets, bucket) &&
               now < entry.second.held_until;
    };
    const auto count =
        std::count_if(this->peers.begin(), this->peers.end(), is_held);
    const bool self_delegated = now < this->self_delegated_until[bucket];
    return static_cast<std::uint32_t>(count) + (self_delegated ? 1 : 0);
}

double ownership::share(bucket_id bucket, time_point now) const
{
    if (this->instance_limit == 0)
    {
        return 0.0;
    }
    const std::uint32_t held =
        std::min(this->delegations(bucket, now), this->instance_limit);
    return static_cast<double>(held) / this->instance_limit;
}

// The delegators counted here delegated the bucket to no other instance between
// `previous` and this owner. They are more than N/2, so no other owner can have
// had a majority in between.
bool ownership::directly_succeeds(bucket_id bucket,
                                  const instance_id& previous,
                                  time_point now) const
{
    std::uint32_t direct_delegations = 0;
    for (const auto& [name, peer] : this->peers)
    {
        const bool held =
            contains(peer.held_buckets, bucket) && now < peer.held_until;
        for (const delegation_origin& origin : peer.origins)
        {
            const bool matches =
                origin.previous == previous && contains(origin.buckets, bucket);
            direct_delegations += held && matches ? 1 : 0;
        }
    }
    const delegator_entry& own_entry = this->delegator_entries[bucket];
    const bool own_direct = now < this->self_delegated_until[bucket] &&
                            own_entry.previous_owner == previous;
    direct_delegations += own_direct ? 1 : 0;
    return direct_delegations >= this->majority_size();
}

std::uint32_t ownership::majority_size() const
{
    return this->instance_limit / 2 + 1;
}

bool ownership::has_majority(bucket_id bucket, time_point now) const
{
    return now < this->majorities[bucket].proven_until;
}

std::optional<time_point> ownership::majority_since(bucket_id bucket,
                                                    time_point now) const
{
    if (!this->has_majority(bucket, now))
    {
        return std::nullopt;
    }
    return this->majorities[bucket].since;
}

// Extends an uninterrupted majority, otherwise starts a new one. The majority
// is proven until the time at which so many delegations have expired that fewer
// than a majority remain.
void ownership::update_majority(bucket_id bucket, time_point now)
{
    std::vector<time_point> expiries;
    for (const auto& [name, peer] : this->peers)
    {
        if (contains(peer.held_buckets, bucket) && now < peer.held_until)
        {
            expiries.push_back(peer.held_until);
        }
    }
    if (now < this->self_delegated_until[bucket])
    {
        expiries.push_back(this->self_delegated_until[bucket]);
    }
    majority& current = this->majorities[bucket];
    const std::size_t needed = this->majority_size();
    if (this->instance_limit == 0 || expiries.size() < needed)
    {
        current = {};
        return;
    }
    const bool uninterrupted = current.since && now < current.proven_until;
    std::nth_element(expiries.begin(),
                     expiries.begin() + static_cast<std::ptrdiff_t>(needed - 1),
                     expiries.end(), std::greater<>());
    current.since = uninterrupted ? *current.since : now;
    current.proven_until = expiries[needed - 1];
}

void ownership::update_majorities(bucket_set buckets, time_point now)
{
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (contains(buckets, bucket))
        {
            this->update_majority(bucket, now);
        }
    }
}

double ownership::undelegated_fraction(bucket_id bucket, time_point now) const
{
    const bool delegated = now < this->delegator_entries[bucket].expires_at;
    if (delegated || !this->may_delegate(now))
    {
        return 0.0;
    }
    return 1.0 / this->instance_limit;
}

time_point ownership::undelegated_since(bucket_id bucket) const
{
    return std::max(this->delegator_entries[bucket].expires_at,
                    this->started + this->lease_periods.delegator_hold());
}

ownership::held_delegations ownership::held_delegations_of(bucket_id bucket,
                                                           time_point now) const
{
    held_delegations result;
    result.valid_until = time_point::max();
    for (const auto& [name, peer] : this->peers)
    {
        if (contains(peer.held_buckets, bucket) && now < peer.held_until)
        {
            result.starts.push_back(peer.held_since[bucket]);
            result.valid_until = std::min(result.valid_until, peer.held_until);
        }
    }
    if (now < this->self_delegated_until[bucket])
    {
        result.starts.push_back(this->self_delegated_since[bucket]);
        result.valid_until =
            std::min(result.valid_until, this->self_delegated_until[bucket]);
    }
    std::sort(result.starts.begin(), result.starts.end());
    // More than N delegations prove that the configured N is wrong. Only the N
    // that started last count.
    if (result.starts.size() > this->instance_limit)
    {
        result.starts.erase(result.starts.begin(),
                            result.starts.end() - this->instance_limit);
    }
    return result;
}

std::uint64_t ownership::delegation_revision() const
{
    return this->delegation_changes;
}

std::uint32_t ownership::max_instances() const
{
    return this->instance_limit;
}

const lease_times& ownership::times() const
{
    return this->lease_periods;
}

std::size_t ownership::member_count() const
{
    return this->members.size();
}

} // namespace medlarbarrow::core
