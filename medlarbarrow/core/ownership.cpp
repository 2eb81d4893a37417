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

/// Delegations an owner is willing to hear each second.
constexpr std::size_t delegations_per_second = 32;

/// A candidate is suspected after this many silent refresh periods.
constexpr int silent_refreshes = 3;

/// Clock rates of two instances differ by less than one part in this many.
constexpr int drift_divisor = 100;

/// The newest solicitation of a run that has gone silent is remembered this
/// long, far beyond the delay of any message.
constexpr duration request_memory = std::chrono::minutes(10);

/// Nonces of a later run are greater than all nonces of an earlier one, so
/// that a late answer to the earlier run matches nothing.
constexpr unsigned incarnation_shift = 20;

const std::string no_instance;

/// Member with the highest rendezvous hash among those that `eligible` takes.
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
            static_cast<std::int64_t>(instances / delegations_per_second);
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

void ownership::set_members(const std::vector<std::string>& live,
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
                  [&](const auto& item)
                  {
                      return !listed(item.first) &&
                             item.second.held_until < now;
                  });
    std::erase_if(this->last_heard,
                  [&](const auto& item)
                  {
                      return !listed(item.first);
                  });
    std::erase_if(this->suspected,
                  [&](const std::string& name)
                  {
                      return !listed(name);
                  });
    std::erase_if(this->departed,
                  [&](const auto& item)
                  {
                      return !listed(item.first) &&
                             item.first != this->self.name;
                  });
    std::erase_if(this->newest_requests,
                  [&](const auto& item)
                  {
                      return now - item.second.at > request_memory;
                  });
    this->choose_candidates(now);
}

// Times follow N and not the list: a new process must wait out the lease of its
// predecessor, whose list may have been longer. Majorities start anew with the
// next tick, which knows the time.
void ownership::set_max_instances(std::uint32_t max_instances)
{
    const std::uint32_t next = std::max<std::uint32_t>(max_instances, 1);
    if (next == this->instance_limit)
    {
        return;
    }
    this->instance_limit = next;
    this->lease_periods = lease_times::for_fleet(next);
    this->majorities = {};
}

// Finds the candidate of each bucket. A changed candidate gets a new grace
// period before it can be suspected.
void ownership::choose_candidates(time_point now)
{
    const auto eligible = [this](const std::string& name)
    {
        return this->is_eligible(name);
    };
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const std::string& next = highest_hash(this->members, bucket, eligible);
        if (next != this->candidates[bucket])
        {
            this->candidates[bucket] = next;
            this->candidate_since[bucket] = now;
        }
    }
    for (auto& [name, peer] : this->peers)
    {
        peer.next_solicitation = now;
    }
}

// Messages of a departed run, such as token requests while it drains, do not
// make it a candidate again; a newer run of the same instance does.
void ownership::heard_from(const instance_id& peer, time_point now)
{
    this->last_heard[peer.name] = now;
    const auto left = this->departed.find(peer.name);
    const bool returned =
        left != this->departed.end() && left->second < peer.incarnation;
    if (returned)
    {
        this->departed.erase(left);
    }
    if (this->suspected.erase(peer.name) != 0 || returned)
    {
        this->choose_candidates(now);
    }
}

bool ownership::is_eligible(const std::string& name) const
{
    return !this->suspected.contains(name) && !this->departed.contains(name);
}

// Solicitations of an owner double as its heartbeat: every instance hears each
// owner once a refresh period. After a pause of this process nobody is
// suspected for what could not be heard meanwhile.
void ownership::suspect_silent_candidates(time_point now)
{
    const duration limit = this->lease_periods.refresh * silent_refreshes;
    if (now - this->last_tick > this->lease_periods.refresh)
    {
        for (auto& [name, heard] : this->last_heard)
        {
            heard = now;
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
        const auto heard = this->last_heard.find(name);
        const time_point silent_since =
            heard == this->last_heard.end()
                ? this->candidate_since[bucket]
                : std::max(heard->second, this->candidate_since[bucket]);
        if (now - silent_since > limit)
        {
            changed = this->suspected.insert(name).second || changed;
        }
    }
    if (changed)
    {
        this->choose_candidates(now);
    }
}

// A new process waits until the delegations of an earlier process of this
// instance have expired, and until it knows N.
bool ownership::may_delegate(time_point now) const
{
    return !this->released && this->instance_limit > 0 &&
           now >= this->started + this->lease_periods.delegator_hold();
}

// Delegates those buckets of `wanted` that are free, or already delegated to
// this run of `owner`, and whose candidate is `owner`.
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
        given_delegation& current = this->given[bucket];
        const bool free = now >= current.ends || current.to == owner;
        if (contains(wanted, bucket) && free &&
            this->candidates[bucket] == owner.name)
        {
            if (current.to != owner)
            {
                current.previous =
                    current.released ? current.to : instance_id{};
            }
            if (current.to != owner || now >= current.ends)
            {
                current.first = solicitation;
            }
            current.to = owner;
            current.ends = now + this->lease_periods.delegator_hold();
            current.released = false;
            delegated |= single(bucket);
        }
    }
    return delegated;
}

void ownership::delegate_to_self(time_point now)
{
    const bucket_set delegated =
        this->delegate_to(this->self, this->own_buckets(), 0, now);
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (!contains(delegated, bucket))
        {
            continue;
        }
        if (now >= this->own_until[bucket])
        {
            this->own_held_since[bucket] = now;
            ++this->changes;
        }
        this->own_until[bucket] = now + this->lease_periods.lease;
    }
}

outbox ownership::tick(time_point now)
{
    outbox out;
    this->suspect_silent_candidates(now);
    this->last_tick = now;
    if (this->released)
    {
        return out;
    }
    this->delegate_to_self(now);
    const bucket_set wanted = this->own_buckets();
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

outbox ownership::receive(const instance_id& from,
                          const delegation_request& request,
                          time_point now)
{
    // A solicitation that was overtaken by a newer one is stale: answering it
    // would tie the buckets to an owner that may be gone.
    seen_request& newest = this->newest_requests[from];
    if (request.nonce <= newest.solicitation)
    {
        return {};
    }
    newest = {request.nonce, now};
    const bucket_set delegated =
        this->delegate_to(from, request.buckets, request.nonce, now);
    if (delegated == 0)
    {
        return {};
    }
    delegation answer{request.nonce, delegated, this->lease_periods.lease, {}};
    std::map<instance_id, bucket_set> previous;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        const instance_id& owner = this->given[bucket].previous;
        if (contains(delegated, bucket) && !owner.name.empty())
        {
            previous[owner] |= single(bucket);
        }
    }
    for (const auto& [owner, buckets] : previous)
    {
        answer.origins.push_back({owner, buckets});
    }
    return {{from.name, std::move(answer)}};
}

void ownership::receive(const instance_id& from,
                        const delegation& answer,
                        time_point now)
{
    const auto found = this->peers.find(from.name);
    if (found == this->peers.end() || this->released ||
        answer.nonce != found->second.solicitation)
    {
        return;
    }
    peer_state& peer = found->second;
    const bucket_set affected = peer.held | answer.buckets;
    const bucket_set unbroken = now < peer.held_until ? peer.held : 0;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (contains(answer.buckets & ~unbroken, bucket))
        {
            peer.held_since[bucket] = now;
        }
    }
    this->changes += unbroken == answer.buckets ? 0 : 1;
    peer.incarnation = from.incarnation;
    peer.held = answer.buckets;
    peer.origins = answer.origins;
    peer.answered = answer.nonce;
    // The lease counts from the solicitation, which precedes the answer, so
    // that this owner stops before the delegator does.
    peer.held_until = peer.solicited_at + answer.lease;
    this->update_majorities(affected, now);
}

void ownership::receive(const instance_id& from,
                        const delegation_release& release,
                        time_point now)
{
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        given_delegation& current = this->given[bucket];
        if (contains(release.buckets, bucket) && current.to == from)
        {
            // Without a break since the answer that the owner counted last.
            current.released =
                current.released ||
                (now < current.ends && current.first <= release.answered);
            current.ends =
                std::min(current.ends, now + this->lease_periods.grant_hold());
        }
    }
    // The next candidate starts without waiting for the list.
    std::uint64_t& departed_run = this->departed[from.name];
    departed_run = std::max(departed_run, from.incarnation);
    this->choose_candidates(now);
}

outbox ownership::release_all(time_point now)
{
    outbox out;
    this->released = true;
    this->departed[this->self.name] = this->self.incarnation;
    this->choose_candidates(now);
    for (auto& [name, peer] : this->peers)
    {
        if (peer.held != 0 && peer.held_until > now)
        {
            out.push_back({name, delegation_release{peer.held, peer.answered}});
        }
        peer.held = 0;
    }
    this->own_until.fill(time_point{});
    ++this->changes;
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

bucket_set ownership::own_buckets() const
{
    bucket_set own = 0;
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        if (this->candidates[bucket] == this->self.name)
        {
            own |= single(bucket);
        }
    }
    return own;
}

std::uint32_t ownership::delegations(bucket_id bucket, time_point now) const
{
    const auto held = [&](const auto& item)
    {
        return contains(item.second.held, bucket) &&
               now < item.second.held_until;
    };
    const auto count =
        std::count_if(this->peers.begin(), this->peers.end(), held);
    const bool own = now < this->own_until[bucket];
    return static_cast<std::uint32_t>(count) + (own ? 1 : 0);
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

// Those delegators served nobody between `previous` and this owner. They are
// more than N/2, so no other owner can have had a majority in between.
bool ownership::succeeds(bucket_id bucket,
                         const instance_id& previous,
                         time_point now) const
{
    std::uint32_t direct = 0;
    for (const auto& [name, peer] : this->peers)
    {
        const bool counted =
            contains(peer.held, bucket) && now < peer.held_until;
        for (const delegation_origin& origin : peer.origins)
        {
            const bool same =
                origin.previous == previous && contains(origin.buckets, bucket);
            direct += counted && same ? 1 : 0;
        }
    }
    const given_delegation& own = this->given[bucket];
    const bool own_direct =
        now < this->own_until[bucket] && own.previous == previous;
    direct += own_direct ? 1 : 0;
    return direct >= this->majority_size();
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

// Extends the majority when it is unbroken, else starts it anew. It is proven
// until so many delegations have expired that no majority is left.
void ownership::update_majority(bucket_id bucket, time_point now)
{
    std::vector<time_point> ends;
    for (const auto& [name, peer] : this->peers)
    {
        if (contains(peer.held, bucket) && now < peer.held_until)
        {
            ends.push_back(peer.held_until);
        }
    }
    if (now < this->own_until[bucket])
    {
        ends.push_back(this->own_until[bucket]);
    }
    majority& current = this->majorities[bucket];
    const std::size_t needed = this->majority_size();
    if (this->instance_limit == 0 || ends.size() < needed)
    {
        current = {};
        return;
    }
    const bool unbroken = current.since && now < current.proven_until;
    std::nth_element(ends.begin(),
                     ends.begin() + static_cast<std::ptrdiff_t>(needed - 1),
                     ends.end(), std::greater<>());
    current.since = unbroken ? *current.since : now;
    current.proven_until = ends[needed - 1];
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

double ownership::own_fraction(bucket_id bucket, time_point now) const
{
    const bool delegated = now < this->given[bucket].ends;
    if (delegated || !this->may_delegate(now))
    {
        return 0.0;
    }
    return 1.0 / this->instance_limit;
}

time_point ownership::own_since(bucket_id bucket) const
{
    return std::max(this->given[bucket].ends,
                    this->started + this->lease_periods.delegator_hold());
}

ownership::held_starts ownership::starts_of(bucket_id bucket,
                                            time_point now) const
{
    held_starts found;
    found.valid_until = time_point::max();
    for (const auto& [name, peer] : this->peers)
    {
        if (contains(peer.held, bucket) && now < peer.held_until)
        {
            found.starts.push_back(peer.held_since[bucket]);
            found.valid_until = std::min(found.valid_until, peer.held_until);
        }
    }
    if (now < this->own_until[bucket])
    {
        found.starts.push_back(this->own_held_since[bucket]);
        found.valid_until =
            std::min(found.valid_until, this->own_until[bucket]);
    }
    std::sort(found.starts.begin(), found.starts.end());
    // More delegations than N prove that N is wrong; only N of them count.
    if (found.starts.size() > this->instance_limit)
    {
        found.starts.erase(found.starts.begin(),
                           found.starts.end() - this->instance_limit);
    }
    return found;
}

std::uint64_t ownership::revision() const
{
    return this->changes;
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
