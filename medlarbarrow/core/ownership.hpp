/// Delegations: which instance is the owner of which bucket, and with how many
/// delegations. Safety argument: docs/design.md, section 2.1.
#pragma once

#include <array>
#include <map>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// Times of the delegation protocol.
struct lease_times
{
    duration lease = std::chrono::seconds(6);
    duration refresh = std::chrono::seconds(2);
    duration grant_lease = std::chrono::seconds(2);

    /// Times for a fleet of `instances`: above 64 instances refresh grows with
    /// the fleet, so that an owner hears at most 32 delegations a second.
    static lease_times for_fleet(std::size_t instances) noexcept;

    /// How long a delegator keeps a delegation after its answer. Covers the
    /// lease, the grants issued under it and 1% of clock rate drift.
    duration delegator_hold() const noexcept;

    /// How long granted tokens count after the grant: the grant lease and 1%
    /// of clock rate drift, because the instance that holds them counts the
    /// lease on its own clock.
    duration grant_hold() const noexcept;
};

/// Both sides of the protocol for one instance: delegator and owner.
class ownership
{
public:
    ownership(instance_id self, time_point started);

    /// Replaces the live instances. An instance that leaves the list is no
    /// candidate any more; delegations to it stand until they expire.
    void set_members(const std::vector<std::string>& live, time_point now);

    /// Sets N, the greatest number of instances that may run at once. Before
    /// the first call this instance delegates nothing. Operators lower N only
    /// after the fleet has shrunk, and start more instances only after a
    /// greater N is in force everywhere: instances that disagree about N are
    /// safe only while no more run than the least N in force.
    void set_max_instances(std::uint32_t max_instances);

    /// Sends due solicitations, renews the delegations to itself and suspects
    /// candidates that have been silent.
    outbox tick(time_point now);

    /// Notes that a message of the peer has arrived.
    void heard_from(const instance_id& peer, time_point now);

    /// Answers a solicitation with the buckets it delegates, if any.
    outbox receive(const instance_id& from,
                   const delegation_request& request,
                   time_point now);

    /// Counts a delegation if it answers the newest solicitation to `from`.
    void
    receive(const instance_id& from, const delegation& answer, time_point now);

    /// Ends the delegations to `from` after the grant lease.
    void receive(const instance_id& from,
                 const delegation_release& release,
                 time_point now);

    /// Gives all delegations back and solicits no more; a graceful shutdown
    /// calls it once.
    outbox release_all(time_point now);

    /// The candidate: highest rendezvous hash over the live instances that are
    /// not suspected; empty without any.
    const std::string& owner_of(bucket_id bucket) const;

    /// The candidate if this instance did not take part: where a handover
    /// goes. Empty without other instances.
    std::string successor_of(bucket_id bucket) const;

    /// Buckets whose candidate is this instance.
    bucket_set own_buckets() const;

    /// Number of delegations of the bucket that this instance holds.
    std::uint32_t delegations(bucket_id bucket, time_point now) const;

    /// Fraction of rates and bursts this instance may hand out as owner: d/N.
    double share(bucket_id bucket, time_point now) const;

    /// True with more than N/2 delegations.
    bool has_majority(bucket_id bucket, time_point now) const;

    /// Start of the present unbroken majority; nullopt without one.
    std::optional<time_point> majority_since(bucket_id bucket,
                                             time_point now) const;

    /// True when more than N/2 of the delegations counted here came directly
    /// from `previous`, which gave them back: then no third owner has decided
    /// anything in between, and what `previous` knew is complete.
    bool succeeds(bucket_id bucket,
                  const instance_id& previous,
                  time_point now) const;

    /// Fraction this instance may spend without an owner: 1/N while it
    /// delegates the bucket to nobody, else 0.
    double own_fraction(bucket_id bucket, time_point now) const;

    /// Time since which own_fraction has been above 0 without a break.
    /// Meaningful only while it is.
    time_point own_since(bucket_id bucket) const;

    /// Delegations of a bucket that are counted now: since when each has been
    /// counted without a break, earliest first, and until when all of them
    /// stand.
    struct held_starts
    {
        std::vector<time_point> starts;
        time_point valid_until{};
    };
    held_starts starts_of(bucket_id bucket, time_point now) const;

    /// Changes whenever a delegation starts or is lost other than by its end.
    std::uint64_t revision() const;

    std::uint32_t max_instances() const;
    const lease_times& times() const;
    std::size_t member_count() const;

private:
    /// A bucket as the delegator sees it.
    struct given_delegation
    {
        instance_id to;
        time_point ends{};
        nonce first = 0;       ///< solicitation that began it unbroken
        bool released = false; ///< `to` has given it back before its end
        instance_id previous;  ///< owner that gave it back just before `to`
    };

    /// A peer as the owner sees it.
    struct peer_state
    {
        nonce solicitation = 0;
        nonce answered = 0; ///< solicitation that `held` answers
        time_point solicited_at{};
        time_point next_solicitation{};
        std::uint64_t incarnation = 0;
        bucket_set held = 0;
        std::vector<delegation_origin> origins;
        time_point held_until{};
        std::array<time_point, bucket_count> held_since{};
    };

    /// Newest solicitation of one run of an instance.
    struct seen_request
    {
        nonce solicitation = 0;
        time_point at{};
    };

    /// Majority of a bucket, as far as the delegations at hand prove it.
    struct majority
    {
        std::optional<time_point> since;
        time_point proven_until{};
    };

    bool is_eligible(const std::string& name) const;
    bool may_delegate(time_point now) const;
    bucket_set delegate_to(const instance_id& owner,
                           bucket_set wanted,
                           nonce solicitation,
                           time_point now);
    void delegate_to_self(time_point now);
    void suspect_silent_candidates(time_point now);
    void choose_candidates(time_point now);
    void update_majority(bucket_id bucket, time_point now);
    void update_majorities(bucket_set buckets, time_point now);
    std::uint32_t majority_size() const;

    instance_id self;
    time_point started;
    lease_times lease_periods;
    std::uint32_t instance_limit = 0; ///< N; 0: not known yet
    std::vector<std::string> members;
    std::set<std::string> suspected;
    /// Incarnation of each instance that has given its delegations back.
    std::map<std::string, std::uint64_t> departed;
    std::map<std::string, time_point> last_heard;
    std::array<std::string, bucket_count> candidates;
    std::array<time_point, bucket_count> candidate_since{};
    std::array<given_delegation, bucket_count> given;
    std::array<time_point, bucket_count> own_until{};
    std::array<time_point, bucket_count> own_held_since{};
    std::uint64_t changes = 1;
    std::array<majority, bucket_count> majorities;
    std::map<std::string, peer_state> peers;
    std::map<instance_id, seen_request> newest_requests;
    nonce last_nonce = 0;
    time_point last_tick{};
    bool released = false;
};

} // namespace medlarbarrow::core
