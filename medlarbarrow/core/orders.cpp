#include <algorithm>
#include <cctype>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/orders.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Seed that makes order identities differ from other digests of the same text.
constexpr std::uint64_t identity_seed = 0x6f72'6465'7273'0001ULL;

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
/// The creation time is the first 48 bits: 12 hexadecimal digits, written with
/// one hyphen between them.
constexpr std::size_t timestamp_length = 13;

/// Bounds that keep each part of a handover below the maximum size of a peer
/// message.
constexpr std::size_t max_part_records = 256;
constexpr std::size_t max_part_bytes = 256UL * 1024UL;

/// Maximum number of handovers kept per bucket. They are kept because this
/// owner may succeed any of their senders.
constexpr std::size_t max_received_handovers = 4;

bool is_hyphen_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_hex_digit(char character)
{
    return std::isxdigit(static_cast<unsigned char>(character)) != 0;
}

std::uint64_t hex_value(char character)
{
    if (character <= '9')
    {
        return static_cast<std::uint64_t>(character - '0');
    }
    return static_cast<std::uint64_t>((character | 0x20) - 'a') + 10;
}

bool is_version_7(std::string_view text)
{
    if (text.size() != uuid_length || text[version_position] != '7')
    {
        return false;
    }
    for (std::size_t position = 0; position < text.size(); ++position)
    {
        const char character = text[position];
        if (is_hyphen_position(position) ? character != '-'
                                         : !is_hex_digit(character))
        {
            return false;
        }
    }
    return hex_value(text[variant_position]) >> 2U == 2;
}

/// Number of bytes that an answer adds to the stored total.
std::size_t stored_size(const std::optional<stored_answer>& answer)
{
    return answer ? answer->body.size() + answer->content_type.size() : 0;
}

} // namespace

result<wall_time> creation_time(std::string_view idempotency_key)
{
    if (idempotency_key.empty())
    {
        return make_error_code(result_code::order_key_missing);
    }
    if (!is_version_7(idempotency_key))
    {
        return make_error_code(result_code::order_key_invalid);
    }
    std::uint64_t since_epoch = 0;
    for (const char character : idempotency_key.substr(0, timestamp_length))
    {
        if (character != '-')
        {
            since_epoch = since_epoch << 4U | hex_value(character);
        }
    }
    return wall_time(milliseconds(since_epoch));
}

digest order_identity(std::string_view account,
                      std::string_view service,
                      std::string_view idempotency_key)
{
    std::string text;
    text.append(account).push_back('\0');
    text.append(service).push_back('\0');
    for (const char character : idempotency_key)
    {
        const auto byte = static_cast<unsigned char>(character);
        text.push_back(static_cast<char>(std::tolower(byte)));
    }
    return digest_text(text, identity_seed);
}

void order_owner::set_policy(const fleet_policy& policy)
{
    this->clock_skew = policy.clock_skew;
    this->memory_window = policy.order_window;
}

// Restarts the knowledge of a bucket when a new majority has started. Returns
// null without a majority or after a handover. The knowledge starts at the wall
// time at which the majority is detected, which is later than its start. A
// start computed backwards from it could be too early if the monotonic clock is
// fast.
order_owner::bucket_state* order_owner::update_knowledge(
    bucket_id bucket, const ownership& owners, instant now)
{
    bucket_state& state = this->buckets[bucket];
    const auto since = owners.majority_since(bucket, now.monotonic);
    if (!since || state.handed_over)
    {
        state.majority_since.reset();
        return nullptr;
    }
    if (state.majority_since != since)
    {
        state.majority_since = since;
        state.knowledge_start = now.wall;
    }
    extend_knowledge(state, bucket, owners, now.monotonic);
    return &state;
}

// Extends the knowledge by that of a previous owner whose handover is complete
// and which this owner directly succeeds.
void order_owner::extend_knowledge(bucket_state& state,
                                   bucket_id bucket,
                                   const ownership& owners,
                                   time_point now)
{
    for (const handover& received : state.received_handovers)
    {
        const bool complete = received.last_part &&
                              received.parts.size() == *received.last_part + 1U;
        if (complete && received.knowledge_start < state.knowledge_start &&
            owners.directly_succeeds(bucket, received.sender, now))
        {
            state.knowledge_start = received.knowledge_start;
        }
    }
}

// Decides a claim of an identity that has a record.
order_verdict_kind order_owner::decide_repeat(const record& existing,
                                              bool same_claim,
                                              instant now) const
{
    if (existing.state == record_state::finished)
    {
        return existing.answer ? order_verdict_kind::answered
                               : order_verdict_kind::unknown;
    }
    if (same_claim)
    {
        return order_verdict_kind::run;
    }
    return now.monotonic < existing.claim_expires_at
               ? order_verdict_kind::in_progress
               : order_verdict_kind::unknown;
}

// Decides a claim of an identity without a record. An earlier owner may have
// let the order run unless its key was created more than twice the clock skew
// after the start of this owner's knowledge: the clocks of the two owners may
// differ by the skew, and the earlier one accepted keys up to one skew ahead.
order_verdict_kind order_owner::decide_new(const bucket_state& bucket,
                                           wall_time created,
                                           instant now) const
{
    // An earlier owner whose clock was ahead by the skew may have accepted a
    // key that is ahead of this owner's clock. Only beyond twice the skew is it
    // certain that the order has not run.
    if (created > now.wall + 2 * this->clock_skew)
    {
        return order_verdict_kind::in_future;
    }
    if (created > now.wall + this->clock_skew)
    {
        return order_verdict_kind::in_progress;
    }
    const bool too_old = created < now.wall - this->memory_window;
    if (too_old || created <= bucket.knowledge_start + 2 * this->clock_skew)
    {
        return order_verdict_kind::unknown;
    }
    return order_verdict_kind::run;
}

order_verdict order_owner::claim(const instance_id& sender,
                                 const order_claim& request,
                                 const ownership& owners,
                                 instant now)
{
    order_verdict verdict{request.nonce, request.identity,
                          order_verdict_kind::not_owner, std::nullopt};
    bucket_state* bucket =
        this->update_knowledge(bucket_of(request.identity), owners, now);
    if (bucket == nullptr)
    {
        return verdict;
    }
    const auto existing = bucket->records.find(request.identity);
    const bool exists = existing != bucket->records.end();
    const bool same_claim = exists && existing->second.claimant == sender &&
                            existing->second.claim_nonce == request.nonce;
    const bool released =
        exists && existing->second.state == record_state::released;
    if (exists && (!released || same_claim))
    {
        verdict.kind = this->decide_repeat(existing->second, same_claim, now);
        if (verdict.kind == order_verdict_kind::answered)
        {
            verdict.answer = existing->second.answer;
        }
        return verdict;
    }
    verdict.kind = this->decide_new(*bucket, request.created, now);
    if (verdict.kind != order_verdict_kind::run)
    {
        return verdict;
    }
    if (!exists && this->stored_records >= max_order_records)
    {
        verdict.kind = order_verdict_kind::in_progress;
        return verdict;
    }
    const auto deadline =
        std::clamp(request.deadline, milliseconds(0), this->memory_window);
    const auto [entry, created] = bucket->records.try_emplace(request.identity);
    this->stored_records += created ? 1 : 0;
    entry->second = {sender,
                     request.nonce,
                     request.created,
                     now.monotonic + deadline,
                     record_state::pending,
                     std::nullopt};
    return verdict;
}

// Stores the answer in the record unless it exceeds the size limits.
void order_owner::store_answer(record& target,
                               const std::optional<stored_answer>& answer)
{
    const std::size_t size = stored_size(answer);
    if (!answer || answer->body.size() > max_stored_body_bytes ||
        this->stored_bytes + size > max_stored_bytes)
    {
        return;
    }
    target.answer = answer;
    this->stored_bytes += size;
}

void order_owner::record_outcome(const instance_id& sender,
                                 const order_result& run_result)
{
    bucket_state& bucket = this->buckets[bucket_of(run_result.identity)];
    const auto entry = bucket.records.find(run_result.identity);
    if (entry == bucket.records.end())
    {
        return;
    }
    record& claimed = entry->second;
    if (claimed.state != record_state::pending || claimed.claimant != sender ||
        claimed.claim_nonce != run_result.claim)
    {
        return;
    }
    if (run_result.outcome == order_outcome::not_sent)
    {
        claimed.state = record_state::released;
        return;
    }
    claimed.state = record_state::finished;
    if (run_result.outcome == order_outcome::answered)
    {
        this->store_answer(claimed, run_result.answer);
    }
}

std::vector<order_handover>
order_owner::hand_over(bucket_id bucket, const ownership& owners, instant now)
{
    const bucket_state* state = this->update_knowledge(bucket, owners, now);
    if (state == nullptr)
    {
        return {};
    }
    const order_handover empty{bucket, 0, false, state->knowledge_start, {}};
    std::vector<order_handover> parts{empty};
    std::size_t bytes = 0;
    for (const auto& [identity, stored] : state->records)
    {
        if (stored.state == record_state::released)
        {
            continue;
        }
        if (parts.back().records.size() >= max_part_records ||
            bytes >= max_part_bytes)
        {
            parts.push_back(empty);
            parts.back().part = static_cast<std::uint32_t>(parts.size() - 1);
            bytes = 0;
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            std::max(stored.claim_expires_at - now.monotonic, duration(0)));
        parts.back().records.push_back(
            {identity, stored.created, stored.state == record_state::pending,
             stored.answer, stored.claimant, stored.claim_nonce, remaining});
        bytes += stored_size(stored.answer);
    }
    parts.back().last = true;
    this->buckets[bucket].handed_over = true;
    return parts;
}

// Adopts one record of a previous owner; an existing record of this owner is
// kept. Returns false if the record limit is reached.
bool order_owner::adopt_record(bucket_state& bucket,
                               const order_record_copy& source,
                               instant now)
{
    if (bucket.records.contains(source.identity))
    {
        return true;
    }
    if (this->stored_records >= max_order_records)
    {
        return false;
    }
    record& adopted = bucket.records[source.identity];
    ++this->stored_records;
    adopted.claimant = source.claimant;
    adopted.claim_nonce = source.claim;
    adopted.created = source.created;
    adopted.claim_expires_at = now.monotonic + source.remaining;
    adopted.state =
        source.pending ? record_state::pending : record_state::finished;
    this->store_answer(adopted, source.answer);
    return true;
}

void order_owner::receive_handover(const instance_id& sender,
                                   const order_handover& part,
                                   instant now)
{
    if (part.bucket >= bucket_count)
    {
        return;
    }
    bucket_state& bucket = this->buckets[part.bucket];
    std::vector<handover>& handovers = bucket.received_handovers;
    auto current = std::find_if(handovers.begin(), handovers.end(),
                                [&](const handover& entry)
                                {
                                    return entry.sender == sender;
                                });
    if (current == handovers.end())
    {
        if (handovers.size() == max_received_handovers)
        {
            handovers.erase(handovers.begin());
        }
        current = handovers.insert(handovers.end(), handover{});
        current->sender = sender;
        current->knowledge_start = part.knowledge_start;
    }
    for (const order_record_copy& source : part.records)
    {
        if (!this->adopt_record(bucket, source, now))
        {
            return;
        }
    }
    current->parts.insert(part.part);
    if (part.last)
    {
        current->last_part = part.part;
    }
}

// Removes records that are older than the memory window by more than twice the
// clock skew. Claims of such orders fail the window test even after this
// owner's clock has been set back by as much as that.
void order_owner::remove_old_records(bucket_state& bucket, instant now)
{
    const wall_time oldest_kept =
        now.wall - this->memory_window - 2 * this->clock_skew;
    for (auto it = bucket.records.begin(); it != bucket.records.end();)
    {
        if (it->second.created >= oldest_kept)
        {
            ++it;
            continue;
        }
        this->stored_bytes -= stored_size(it->second.answer);
        --this->stored_records;
        it = bucket.records.erase(it);
    }
}

// Removes old records of only one bucket per call, to keep each call short.
void order_owner::tick(const ownership& owners, instant now)
{
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        this->update_knowledge(bucket, owners, now);
    }
    this->remove_old_records(this->buckets[this->next_swept_bucket], now);
    this->next_swept_bucket = (this->next_swept_bucket + 1) % bucket_count;
}

std::size_t order_owner::records() const
{
    return this->stored_records;
}

} // namespace medlarbarrow::core
