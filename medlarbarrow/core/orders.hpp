/// Orders run at most once: the owner of an order's identity keeps a record of
/// each order. See docs/design.md, section 2.4.
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

/// Maximum size of an answer body that a record keeps for repeated orders.
constexpr std::size_t max_stored_body_bytes = 16UL * 1024UL;

/// Maximum number of order records that an owner keeps in all its buckets. It
/// bounds the memory; a claim beyond it is answered with in_progress.
constexpr std::size_t max_order_records = 200'000;

/// Maximum total size of the answers that an owner keeps. Beyond it the record
/// of an answered order is kept without the answer, and a repeat gets
/// `unknown`.
constexpr std::size_t max_stored_bytes = 32UL * 1024UL * 1024UL;

/// Returns the creation time of an idempotency key, which is a UUID version 7
/// in its usual text form. Errors: order_key_missing (empty),
/// order_key_invalid.
result<wall_time> creation_time(std::string_view idempotency_key);

/// Returns the identity of an order, a digest of account, service and key. The
/// key is compared without regard to case, as any UUID.
digest order_identity(std::string_view account,
                      std::string_view service,
                      std::string_view idempotency_key);

/// Decides, for the buckets that this instance owns, which claim may run an
/// order, and keeps the answers for repeated orders.
class order_owner
{
public:
    /// Sets the clock skew and the memory window, the time for which orders are
    /// remembered.
    void set_policy(const fleet_policy& policy);

    /// Decides a claim. A repeated claim with the same nonce from the same
    /// instance gets the same verdict again.
    order_verdict claim(const instance_id& sender,
                        const order_claim& request,
                        const ownership& owners,
                        instant now);

    /// Stores the outcome of a run that `sender` claimed. Only the first
    /// outcome counts, and an outcome for another claim is ignored.
    void record_outcome(const instance_id& sender,
                        const order_result& run_result);

    /// Returns copies of all records of a bucket for the next owner, in parts;
    /// none without a majority. Afterwards this owner decides no claim of the
    /// bucket, so the calling code must release its delegations next.
    std::vector<order_handover>
    hand_over(bucket_id bucket, const ownership& owners, instant now);

    /// Adopts the records of a handover. Adopts its knowledge as well once all
    /// parts have arrived and this owner directly succeeds the sender
    /// (ownership::directly_succeeds).
    void receive_handover(const instance_id& sender,
                          const order_handover& part,
                          instant now);

    /// Detects new majorities and removes records older than the memory window.
    /// Must be called often, because the knowledge of a bucket starts when its
    /// majority is detected.
    void tick(const ownership& owners, instant now);

    std::size_t records() const;

private:
    enum class record_state
    {
        pending,
        finished,
        released ///< no byte reached a server; the next claim may run
    };

    struct record
    {
        instance_id claimant;
        nonce claim_nonce = 0;
        wall_time created{};
        time_point claim_expires_at{};
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

    /// Parts received so far of the handover of a bucket by one sender.
    struct handover
    {
        instance_id sender;
        wall_time knowledge_start{};
        std::set<std::uint32_t> parts;
        std::optional<std::uint32_t> last_part;
    };

    using record_map = std::unordered_map<digest, record, digest_hash>;

    struct bucket_state
    {
        record_map records;
        std::optional<time_point> majority_since;
        wall_time knowledge_start{}; ///< all later claims are known
        std::vector<handover> received_handovers; ///< may extend the knowledge
        bool handed_over = false;
    };

    bucket_state*
    update_knowledge(bucket_id bucket, const ownership& owners, instant now);
    static void extend_knowledge(bucket_state& state,
                                 bucket_id bucket,
                                 const ownership& owners,
                                 time_point now);
    bool adopt_record(bucket_state& bucket,
                      const order_record_copy& source,
                      instant now);
    order_verdict_kind
    decide_repeat(const record& existing, bool same_claim, instant now) const;
    order_verdict_kind decide_new(const bucket_state& bucket,
                                  wall_time created,
                                  instant now) const;
    void store_answer(record& target,
                      const std::optional<stored_answer>& answer);
    void remove_old_records(bucket_state& bucket, instant now);

    std::array<bucket_state, bucket_count> buckets;
    bucket_id next_swept_bucket = 0;
    std::size_t stored_records = 0;
    std::size_t stored_bytes = 0;
    std::chrono::milliseconds clock_skew{2000};
    std::chrono::milliseconds memory_window{600000};
};

} // namespace medlarbarrow::core
