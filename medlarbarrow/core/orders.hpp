/// Orders at most once: records at the owner of an order's identity.
/// docs/design.md, section 2.4.
#pragma once

#include <array>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Greatest body that a record keeps for repeats.
constexpr std::size_t stored_body_limit = 16UL * 1024UL;

/// Greatest number of order records an owner keeps in all its buckets; a claim
/// beyond it is answered in_progress so that memory stays bounded.
constexpr std::size_t order_record_limit = 200'000;

/// Greatest sum of the answers an owner keeps. Beyond it an order that has been
/// answered is remembered without its answer: a repeat gets `unknown`.
constexpr std::size_t stored_bytes_limit = 32UL * 1024UL * 1024UL;

/// Creation time of a UUID version 7 in its usual text form.
/// Errors: order_key_missing (empty), order_key_invalid.
result<wall_time> creation_time(std::string_view idempotency_key);

/// Identity of an order: digest of account, service and key. The case of the
/// key's letters does not matter, as in any UUID.
digest order_identity(std::string_view account,
                      std::string_view service,
                      std::string_view idempotency_key);

/// The owner's side of the protocol.
class order_owner
{
public:
    /// Sets the clock skew and the memory window.
    void set_policy(const fleet_policy& policy);

    /// Decides a claim; the same nonce of the same instance gets the same
    /// verdict again.
    order_verdict claim(const instance_id& from,
                        const order_claim& request,
                        const ownership& owners,
                        instant now);

    /// Stores the outcome of a run that `from` had claimed. The first outcome
    /// stands; one for another claim is ignored.
    void finish(const instance_id& from, const order_result& outcome);

    /// Copies of all records of a bucket, in parts, for the next owner; none
    /// without a majority. This owner decides no claim of the bucket
    /// afterwards, so the caller must release its delegations next.
    std::vector<order_handover>
    hand_over(bucket_id bucket, const ownership& owners, instant now);

    /// Takes the records of a handover, and its knowledge when all parts have
    /// arrived and this owner succeeds its sender (ownership::succeeds).
    void
    adopt(const instance_id& from, const order_handover& part, instant now);

    /// Notices new majorities and forgets records past the memory window. Call
    /// it often: the knowledge of a bucket starts when its majority is noticed.
    void tick(const ownership& owners, instant now);

    std::size_t records() const;

private:
    enum class record_state
    {
        pending,
        finished,
        released ///< not sent: the next claim may run
    };

    struct record
    {
        instance_id claimant;
        nonce claim_nonce = 0;
        wall_time created{};
        time_point claim_ends{};
        record_state state = record_state::pending;
        std::optional<stored_answer> answer;
    };

    struct digest_hash
    {
        std::size_t operator()(const digest& value) const noexcept
        {
            return static_cast<std::size_t>(value.high);
        }
    };

    struct handover
    {
        instance_id from;
        wall_time knowledge_start{};
        std::set<std::uint32_t> parts;
        std::optional<std::uint32_t> last_part;
    };

    using record_map = std::unordered_map<digest, record, digest_hash>;

    struct bucket_state
    {
        record_map records;
        std::optional<time_point> majority_since;
        wall_time knowledge_start{};
        std::vector<handover> received; ///< not yet adopted
        bool handed_over = false;
    };

    bucket_state*
    update_knowledge(bucket_id bucket, const ownership& owners, instant now);
    static void extend_knowledge(bucket_state& state,
                                 bucket_id bucket,
                                 const ownership& owners,
                                 time_point now);
    bool take_record(bucket_state& bucket,
                     const order_record_copy& copy,
                     instant now);
    order_verdict_kind
    judge_repeat(const record& known, bool same_claim, instant now) const;
    order_verdict_kind
    judge_new(const bucket_state& bucket, wall_time created, instant now) const;
    void store_answer(record& known,
                      const std::optional<stored_answer>& answer);
    void forget_old(bucket_state& bucket, instant now);

    std::array<bucket_state, bucket_count> buckets;
    bucket_id next_sweep = 0;
    std::size_t record_count = 0;
    std::size_t stored_bytes = 0;
    std::chrono::milliseconds clock_skew{2000};
    std::chrono::milliseconds window{600000};
};

} // namespace medlarbarrow::core
