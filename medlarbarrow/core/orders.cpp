#include <algorithm>
#include <cctype>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/orders.hpp>

namespace medlarbarrow::core
{

namespace
{

using std::chrono::milliseconds;

/// Separates identities of orders from other digests of the same text.
constexpr std::uint64_t identity_seed = 0x6f72'6465'7273'0001ULL;

constexpr std::size_t uuid_length = 36;
constexpr std::size_t version_position = 14;
constexpr std::size_t variant_position = 19;
/// The creation time is the first 48 bits: 12 digits and a hyphen.
constexpr std::size_t time_length = 13;

/// Parts of a handover stay below the greatest peer message.
constexpr std::size_t part_records = 256;
constexpr std::size_t part_bytes = 256UL * 1024UL;

/// Handovers of a bucket kept until this owner succeeds one of the senders.
constexpr std::size_t received_handovers = 4;

bool is_hyphen_position(std::size_t position)
{
    return position == 8 || position == 13 || position == 18 || position == 23;
}

bool is_hex(char letter)
{
    return std::isxdigit(static_cast<unsigned char>(letter)) != 0;
}

std::uint64_t hex_value(char letter)
{
    if (letter <= '9')
    {
        return static_cast<std::uint64_t>(letter - '0');
    }
    return static_cast<std::uint64_t>((letter | 0x20) - 'a') + 10;
}

bool is_version_7(std::string_view text)
{
    if (text.size() != uuid_length || text[version_position] != '7')
    {
        return false;
    }
    for (std::size_t position = 0; position < text.size(); ++position)
    {
        const char letter = text[position];
        if (is_hyphen_position(position) ? letter != '-' : !is_hex(letter))
        {
            return false;
        }
    }
    return hex_value(text[variant_position]) >> 2U == 2;
}

std::size_t size_of(const std::optional<stored_answer>& answer)
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
    for (const char letter : idempotency_key.substr(0, time_length))
    {
        if (letter != '-')
        {
            since_epoch = since_epoch << 4U | hex_value(letter);
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
    for (const char letter : idempotency_key)
    {
        const auto byte = static_cast<unsigned char>(letter);
        text.push_back(static_cast<char>(std::tolower(byte)));
    }
    return digest_text(text, identity_seed);
}

void order_owner::set_policy(const fleet_policy& policy)
{
    this->clock_skew = policy.clock_skew;
    this->window = policy.order_window;
}

// Starts the knowledge of a bucket when its majority has started anew. The
// wall clock is read when this is noticed, which is later than the start;
// counting back would let a fast monotonic clock put the start too early.
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

// Extends the knowledge to that of an owner that handed it over.
void order_owner::extend_knowledge(bucket_state& state,
                                   bucket_id bucket,
                                   const ownership& owners,
                                   time_point now)
{
    for (const handover& received : state.received)
    {
        const bool complete = received.last_part &&
                              received.parts.size() == *received.last_part + 1U;
        if (complete && received.knowledge_start < state.knowledge_start &&
            owners.succeeds(bucket, received.from, now))
        {
            state.knowledge_start = received.knowledge_start;
        }
    }
}

// Decides about an identity with a record.
order_verdict_kind order_owner::judge_repeat(const record& known,
                                             bool same_claim,
                                             instant now) const
{
    if (known.state == record_state::finished)
    {
        return known.answer ? order_verdict_kind::answered
                            : order_verdict_kind::unknown;
    }
    if (same_claim)
    {
        return order_verdict_kind::run;
    }
    return now.monotonic < known.claim_ends ? order_verdict_kind::in_progress
                                            : order_verdict_kind::unknown;
}

// Decides about an identity without a record. An owner before this one may have
// let it run if it was created before this owner's knowledge starts: clocks of
// that owner and of this one may differ by the skew, and that owner accepted
// keys from one skew ahead.
order_verdict_kind order_owner::judge_new(const bucket_state& bucket,
                                          wall_time created,
                                          instant now) const
{
    // An earlier owner whose clock is ahead by the skew may have accepted what
    // this one finds early; only beyond twice the skew is "not run" true.
    if (created > now.wall + 2 * this->clock_skew)
    {
        return order_verdict_kind::in_future;
    }
    if (created > now.wall + this->clock_skew)
    {
        return order_verdict_kind::in_progress;
    }
    const bool too_old = created < now.wall - this->window;
    if (too_old || created <= bucket.knowledge_start + 2 * this->clock_skew)
    {
        return order_verdict_kind::unknown;
    }
    return order_verdict_kind::run;
}

order_verdict order_owner::claim(const instance_id& from,
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
    const auto found = bucket->records.find(request.identity);
    const bool known = found != bucket->records.end();
    const bool same_claim = known && found->second.claimant == from &&
                            found->second.claim_nonce == request.nonce;
    const bool released =
        known && found->second.state == record_state::released;
    if (known && (!released || same_claim))
    {
        verdict.kind = this->judge_repeat(found->second, same_claim, now);
        if (verdict.kind == order_verdict_kind::answered)
        {
            verdict.answer = found->second.answer;
        }
        return verdict;
    }
    verdict.kind = this->judge_new(*bucket, request.created, now);
    if (verdict.kind != order_verdict_kind::run)
    {
        return verdict;
    }
    if (!known && this->record_count >= order_record_limit)
    {
        verdict.kind = order_verdict_kind::in_progress;
        return verdict;
    }
    const auto deadline =
        std::clamp(request.deadline, milliseconds(0), this->window);
    const auto [entry, created] = bucket->records.try_emplace(request.identity);
    this->record_count += created ? 1 : 0;
    entry->second = {from,
                     request.nonce,
                     request.created,
                     now.monotonic + deadline,
                     record_state::pending,
                     std::nullopt};
    return verdict;
}

// Keeps an answer while there is room for it.
void order_owner::store_answer(record& known,
                               const std::optional<stored_answer>& answer)
{
    const std::size_t size = size_of(answer);
    if (!answer || answer->body.size() > stored_body_limit ||
        this->stored_bytes + size > stored_bytes_limit)
    {
        return;
    }
    known.answer = answer;
    this->stored_bytes += size;
}

void order_owner::finish(const instance_id& from, const order_result& outcome)
{
    bucket_state& bucket = this->buckets[bucket_of(outcome.identity)];
    const auto found = bucket.records.find(outcome.identity);
    if (found == bucket.records.end())
    {
        return;
    }
    record& known = found->second;
    if (known.state != record_state::pending || known.claimant != from ||
        known.claim_nonce != outcome.claim)
    {
        return;
    }
    if (outcome.outcome == order_outcome::not_sent)
    {
        known.state = record_state::released;
        return;
    }
    known.state = record_state::finished;
    if (outcome.outcome == order_outcome::answered)
    {
        this->store_answer(known, outcome.answer);
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
    for (const auto& [identity, known] : state->records)
    {
        if (known.state == record_state::released)
        {
            continue;
        }
        if (parts.back().records.size() >= part_records || bytes >= part_bytes)
        {
            parts.push_back(empty);
            parts.back().part = static_cast<std::uint32_t>(parts.size() - 1);
            bytes = 0;
        }
        const auto remaining = std::chrono::duration_cast<milliseconds>(
            std::max(known.claim_ends - now.monotonic, duration(0)));
        parts.back().records.push_back(
            {identity, known.created, known.state == record_state::pending,
             known.answer, known.claimant, known.claim_nonce, remaining});
        bytes += size_of(known.answer);
    }
    parts.back().last = true;
    this->buckets[bucket].handed_over = true;
    return parts;
}

// Takes one record of a previous owner; a record of this owner stands. False
// without room for it.
bool order_owner::take_record(bucket_state& bucket,
                              const order_record_copy& copy,
                              instant now)
{
    if (bucket.records.contains(copy.identity))
    {
        return true;
    }
    if (this->record_count >= order_record_limit)
    {
        return false;
    }
    record& known = bucket.records[copy.identity];
    ++this->record_count;
    known.claimant = copy.claimant;
    known.claim_nonce = copy.claim;
    known.created = copy.created;
    known.claim_ends = now.monotonic + copy.remaining;
    known.state = copy.pending ? record_state::pending : record_state::finished;
    this->store_answer(known, copy.answer);
    return true;
}

void order_owner::adopt(const instance_id& from,
                        const order_handover& part,
                        instant now)
{
    if (part.bucket >= bucket_count)
    {
        return;
    }
    bucket_state& bucket = this->buckets[part.bucket];
    std::vector<handover>& all = bucket.received;
    auto received = std::find_if(all.begin(), all.end(),
                                 [&](const handover& item)
                                 {
                                     return item.from == from;
                                 });
    if (received == all.end())
    {
        if (all.size() == received_handovers)
        {
            all.erase(all.begin());
        }
        received = all.insert(all.end(), handover{});
        received->from = from;
        received->knowledge_start = part.knowledge_start;
    }
    for (const order_record_copy& copy : part.records)
    {
        if (!this->take_record(bucket, copy, now))
        {
            return;
        }
    }
    received->parts.insert(part.part);
    if (part.last)
    {
        received->last_part = part.part;
    }
}

// Forgets records that the window test refuses whatever this owner's clock has
// been set back by.
void order_owner::forget_old(bucket_state& bucket, instant now)
{
    const wall_time oldest = now.wall - this->window - 2 * this->clock_skew;
    for (auto item = bucket.records.begin(); item != bucket.records.end();)
    {
        if (item->second.created >= oldest)
        {
            ++item;
            continue;
        }
        this->stored_bytes -= size_of(item->second.answer);
        --this->record_count;
        item = bucket.records.erase(item);
    }
}

// Sweeps one bucket in each call, so that no call is long.
void order_owner::tick(const ownership& owners, instant now)
{
    for (bucket_id bucket = 0; bucket < bucket_count; ++bucket)
    {
        this->update_knowledge(bucket, owners, now);
    }
    this->forget_old(this->buckets[this->next_sweep], now);
    this->next_sweep = (this->next_sweep + 1) % bucket_count;
}

std::size_t order_owner::records() const
{
    return this->record_count;
}

} // namespace medlarbarrow::core
