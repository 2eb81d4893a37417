/// Ownership of buckets: which instance owns each bucket and how many instances
/// have delegated it to that owner. Safety argument: docs/design.md,
/// section 2.1.
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

/// Lease and refresh times of the delegation protocol.
struct lease_times
{
    duration lease = std::chrono::seconds(6);
    duration refresh = std::chrono::seconds(2);
    duration grant_lease = std::chrono::seconds(2);

    /// Times for a fleet of `instances`. Above 64 instances the refresh period
    /// grows with the fleet, so that an owner receives at most 32 delegations
    /// per second.
    static lease_times for_fleet(std::size_t instances) noexcept;

    /// How long a delegator regards a bucket as delegated after its answer.
    /// Covers the lease, the token grants issued under it and 1% of clock rate
    /// drift.
    duration delegator_hold() const noexcept;

    /// How long the owner counts granted tokens as outstanding: the grant lease
    /// plus 1% of clock rate drift, because the instance that holds the tokens
    /// measures the lease on its own clock.
    duration grant_hold() const noexcept;
};

/// Runs both roles of the delegation protocol for one instance. As delegator it
/// delegates each bucket to at most one owner at a time; as owner it collects
/// the delegations of its peers and derives its share and majority from them.
class ownership
{
public:
    ownership(instance_id self, time_point started);

    /// Replaces the list of live instances. An instance that is no longer
    /// listed stops being a candidate; delegations to it remain valid until
    /// they expire.
    void set_live_instances(const std::vector<std::string>& live,
                            time_point now);

    /// Sets N, the maximum number of instances that may run at once. Before the
    /// first call this instance delegates nothing. Instances that disagree
    /// about N are safe only while no more instances run than the smallest N in
    /// force. Operators therefore lower N only after the fleet has shrunk, and
    /// start more instances only after a greater N is in force everywhere.
    void set_max_instances(std::uint32_t max_instances);

    /// Sends the solicitations that are due, renews the delegations of this
    /// instance to itself and suspects candidates that have been silent.
    outbox tick(time_point now);

    /// Records that a message from the peer has arrived.
    void record_message_from(const instance_id& peer, time_point now);

    /// Answers a solicitation with the buckets that this instance delegates.
    /// Sends no answer if it delegates none.
    outbox receive(const instance_id& sender,
                   const delegation_request& request,
                   time_point now);

    /// Counts a delegation if it answers the newest solicitation to `sender`.
    void receive(const instance_id& sender,
                 const delegation& answer,
                 time_point now);

    /// Ends the delegations to `sender` once its token grants have expired.
    /// `sender` is no candidate again before it runs as a newer incarnation.
    void receive(const instance_id& sender,
                 const delegation_release& release,
                 time_point now);

    /// Releases all delegations held and stops soliciting. Called once, by a
    /// graceful shutdown.
    outbox release_all(time_point now);

    /// Returns the candidate owner: the live instance with the highest
    /// rendezvous hash among those that are neither suspected nor departed.
    /// Empty if there is none.
    const std::string& owner_of(bucket_id bucket) const;

    /// Returns the candidate owner with this instance excluded, which is the
    /// destination of a handover. Empty if no other instance is eligible.
    std::string successor_of(bucket_id bucket) const;

    /// Buckets whose candidate is this instance.
    bucket_set candidate_buckets() const;

    /// Number of delegations of the bucket that this instance holds.
    std::uint32_t delegations(bucket_id bucket, time_point now) const;

    /// Fraction of each rate and burst that this instance may grant as owner:
    /// the number of delegations it holds divided by N, at most 1.
    double share(bucket_id bucket, time_point now) const;

    /// True while this instance holds more than N/2 delegations of the bucket.
    bool has_majority(bucket_id bucket, time_point now) const;

    /// Start of the current uninterrupted majority; nullopt without a majority.
    std::optional<time_point> majority_since(bucket_id bucket,
                                             time_point now) const;

    /// True when more than N/2 delegations passed directly from `previous`,
    /// which released them, to this instance. Then no other owner can have
    /// decided anything in between, so the knowledge of `previous` is complete.
    bool directly_succeeds(bucket_id bucket,
                           const instance_id& previous,
                           time_point now) const;

    /// Fraction of each rate and burst that this instance may spend without an
    /// owner: 1/N while it delegates the bucket to no instance, else 0.
    double undelegated_fraction(bucket_id bucket, time_point now) const;

    /// Time since which undelegated_fraction has been above 0 without
    /// interruption. Meaningful only while it is above 0.
    time_point undelegated_since(bucket_id bucket) const;

    /// Delegations of a bucket that this instance holds.
    struct held_delegations
    {
        /// Since when each is held without interruption, earliest first.
        std::vector<time_point> starts;
        time_point valid_until{}; ///< when the first of them expires
    };
    held_delegations held_delegations_of(bucket_id bucket,
                                         time_point now) const;

    /// Changes whenever a delegation to this instance starts or is lost before
    /// it expires. Expiry alone does not change it.
    std::uint64_t delegation_revision() const;

    std::uint32_t max_instances() const;
    const lease_times& times() const;
    std::size_t member_count() const;

private:
    /// The delegator's state of one bucket.
    struct delegator_entry
    {
        instance_id owner;
        time_point expires_at{};
        /// Solicitation that started the delegation, which has been renewed
        /// without interruption since.
        nonce first_solicitation = 0;
        bool released = false; ///< `owner` released it while it was valid
        /// Owner that released the bucket just before it was delegated to
        /// `owner`; empty if there is none.
        instance_id previous_owner;
    };

    /// The owner's state of one peer.
    struct peer_state
    {
        nonce solicitation = 0;
        nonce answered_solicitation = 0; ///< that `held_buckets` answers
        time_point solicited_at{};
        time_point next_solicitation{};
        std::uint64_t incarnation = 0;
        bucket_set held_buckets = 0;
        std::vector<delegation_origin> origins;
        time_point held_until{};
        /// Since when each bucket is held without interruption.
        std::array<time_point, bucket_count> held_since{};
    };

    /// Newest solicitation received from one incarnation of an instance.
    struct newest_solicitation
    {
        nonce solicitation = 0;
        time_point received_at{};
    };

    /// Majority of a bucket, as far as the delegations held prove it.
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
    void update_candidates(time_point now);
    void update_majority(bucket_id bucket, time_point now);
    void update_majorities(bucket_set buckets, time_point now);
    std::uint32_t majority_size() const;

    instance_id self;
    time_point started;
    lease_times lease_periods;
    std::uint32_t instance_limit = 0; ///< N; 0 while unknown
    std::vector<std::string> members;
    std::set<std::string> suspected;
    /// Newest incarnation of each instance that has released its delegations.
    std::map<std::string, std::uint64_t> departed_incarnations;
    std::map<std::string, time_point> last_heard;
    std::array<std::string, bucket_count> candidates;
    std::array<time_point, bucket_count> candidate_since{};
    std::array<delegator_entry, bucket_count> delegator_entries;
    std::array<time_point, bucket_count> self_delegated_until{};
    std::array<time_point, bucket_count> self_delegated_since{};
    std::uint64_t delegation_changes = 1;
    std::array<majority, bucket_count> majorities;
    std::map<std::string, peer_state> peers;
    std::map<instance_id, newest_solicitation> newest_solicitations;
    nonce last_nonce = 0;
    time_point last_tick{};
    bool released_all = false;
};

} // namespace medlarbarrow::core
