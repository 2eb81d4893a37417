/// Orders at most once: records at the home of an order's identity.
/// docs/design.md, section 2.4.
#pragma once

#include <array>
#include <deque>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <unordered_map>

namespace medlarbarrow::core
{

/// Greatest body that a record keeps for repeats.
constexpr std::size_t stored_body_limit = 16U * 1024U;

/// Greatest number of order records a home keeps in all its buckets; a claim
/// beyond it is answered in_progress so that memory stays bounded.
constexpr std::size_t order_record_limit = 200'000;

/// Creation time of a UUID version 7 in its usual text form.
/// Errors: order_key_missing (empty), order_key_invalid.
result<wall_time> creation_time(std::string_view idempotency_key);

/// Identity of an order: digest of account, service and key.
digest order_identity(std::string_view account,
                      std::string_view service,
                      std::string_view idempotency_key);

/// The home's side of the protocol.
class order_home
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

    /// Stores the outcome of a run that `from` had claimed.
    void finish(const instance_id& from,
                const order_result& outcome,
                const ownership& owners,
                instant now);

    /// Copies of all records of a bucket, in parts, for the next home.
    std::vector<order_handover>
    hand_over(bucket_id bucket, const ownership& owners, instant now) const;

    /// Adopts a handover when all its parts have arrived.
    void
    adopt(const instance_id& from, const order_handover& part, instant now);

    /// Forgets records past the memory window and buckets without majority.
    void tick(const ownership& owners, instant now);

    std::size_t records() const;

private:
    struct record
    {
        instance_id claimant;
        nonce claim_nonce = 0;
        wall_time created{};
        time_point claim_ends{};
        bool pending = true;
        std::optional<stored_answer> answer;
    };

    struct digest_hash
    {
        std::size_t operator()(const digest& value) const noexcept
        {
            return static_cast<std::size_t>(value.high);
        }
    };

    struct incoming_handover
    {
        instance_id from;
        wall_time knowledge_start{};
        std::uint32_t next_part = 0;
        std::vector<order_record_copy> records;
    };

    struct bucket_state
    {
        std::unordered_map<digest, record, digest_hash> records;
        std::optional<time_point> majority_since;
        wall_time knowledge_start{};
        std::optional<incoming_handover> incoming;
        std::optional<incoming_handover> adopted;
    };

    /// Starts or ends the knowledge of a bucket with its majority.
    bucket_state*
    update_knowledge(bucket_id bucket, const ownership& owners, instant now);

    std::array<bucket_state, bucket_count> buckets;
    std::size_t record_count = 0;
    std::chrono::milliseconds clock_skew{2000};
    std::chrono::milliseconds window{600000};
};

} // namespace medlarbarrow::core
