/// Every message that instances exchange, and the envelope it travels in.
/// net/codec.hpp turns them into CBOR.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarbarrow::core
{

/// Format of the messages; a newer one is refused (peer_newer_format).
constexpr std::uint32_t message_format = 1;

// --- ownership --------------------------------------------------------------

/// A candidate owner asks a peer to delegate `buckets`.
struct delegation_request
{
    core::nonce nonce = 0;
    bucket_set buckets = 0;
};

/// Buckets whose delegation `previous` gave back and that the delegator has
/// delegated to nobody between it and the receiver.
struct delegation_origin
{
    instance_id previous;
    bucket_set buckets = 0;
};

/// The peer delegates these buckets, from its answer on, for `lease`.
struct delegation
{
    core::nonce nonce = 0;
    bucket_set buckets = 0;
    duration lease{};
    std::vector<delegation_origin> origins;
};

/// The owner gives the delegations of these buckets back. `answered` is the
/// solicitation whose answer it counted last.
struct delegation_release
{
    bucket_set buckets = 0;
    core::nonce answered = 0;
};

// --- limits -----------------------------------------------------------------

struct token_want
{
    std::string account;
    double held = 0.0;   ///< tokens of earlier grants not yet spent
    double wanted = 0.0; ///< tokens asked for on top
};

struct token_request
{
    core::nonce nonce = 0;
    std::vector<token_want> wants;
};

struct token_amount
{
    std::string account;
    double amount = 0.0;
};

/// Answers the token_request of the same nonce; `lease` counts from the time
/// that request was sent.
struct token_grant
{
    core::nonce nonce = 0;
    duration lease{};
    std::vector<token_amount> amounts;
};

// --- orders -----------------------------------------------------------------

struct order_claim
{
    core::nonce nonce = 0;
    digest identity;
    wall_time created{};
    std::chrono::milliseconds deadline{};
};

enum class order_verdict_kind
{
    run,         ///< the asker may send the order to one server, once
    answered,    ///< the first answer is known and attached
    in_progress, ///< claimed by another instance, still within its deadline
    unknown,     ///< it may have run
    not_owner,   ///< the peer has no majority for the bucket: ask another
    in_future    ///< created ahead of the owner's clock: not run
};

/// The first answer to an order, kept so that repeats receive it.
struct stored_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

struct order_verdict
{
    core::nonce nonce = 0;
    digest identity;
    order_verdict_kind kind = order_verdict_kind::unknown;
    std::optional<stored_answer> answer;
};

enum class order_outcome
{
    answered, ///< the server answered completely
    not_sent, ///< no byte reached a server
    unknown   ///< it may have run
};

struct order_result
{
    digest identity;
    order_outcome outcome = order_outcome::unknown;
    std::optional<stored_answer> answer;
    /// Nonce of the claim that got `run`. Without it a repeated not_sent of an
    /// earlier run would free a later run of the same instance.
    core::nonce claim = 0;
};

/// One record of an owner that hands its bucket over.
struct order_record_copy
{
    digest identity;
    wall_time created{};
    bool pending = true;
    std::optional<stored_answer> answer;
    instance_id claimant;
    core::nonce claim = 0;
    std::chrono::milliseconds remaining{}; ///< of the claim's deadline
};

/// Records of a bucket for the next owner, sent before the release. The
/// receiver adopts the knowledge only when all parts have arrived.
struct order_handover
{
    bucket_id bucket = 0;
    std::uint32_t part = 0;
    bool last = false;
    wall_time knowledge_start{};
    std::vector<order_record_copy> records;
};

// --- detection --------------------------------------------------------------

/// What one instance saw of one server since its previous report.
struct server_observation
{
    std::string server;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0; ///< errors, resets and refused connections
    std::uint32_t timed_out = 0;
    duration mean_latency{}; ///< of the successes
};

struct observation_report
{
    core::nonce nonce = 0;
    std::string service;
    std::vector<server_observation> servers;
};

enum class server_state
{
    healthy,
    ejected,  ///< no new work from any instance
    path_cut, ///< others see it well: forward through `via`
};

struct server_verdict
{
    std::string server;
    server_state state = server_state::healthy;
    duration lease{};
    std::string via; ///< a peer that reaches it, for path_cut
};

/// Answers an observation_report: every server of the service that is not
/// healthy for the asker.
struct service_verdict
{
    core::nonce nonce = 0;
    std::string service;
    bool reporter_cut = false; ///< the asker is cut off; its report is ignored
    std::vector<server_verdict> servers;
};

// --- crash suspects ---------------------------------------------------------

/// A server closed its connection while it ran this request.
struct crash_report
{
    core::nonce nonce = 0;
    digest request;
    std::string service;
    std::string server;
};

struct crash_verdict
{
    core::nonce nonce = 0;
    digest request;
    bool blocked = false;
    duration lease{};
};

// --- membership and configuration spread ------------------------------------

/// First message on a link and heartbeat afterwards.
struct hello
{
    std::string data_centre;
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    bool leaving = false;
};

/// Asks for a document (or list) newer than `have_version`.
struct document_pull
{
    std::uint64_t have_version = 0;
};

/// One part of the published document, as the platform gave it.
struct document_part
{
    std::uint64_t version = 0;
    std::uint32_t index = 0; ///< 0 is the index part
    std::uint32_t count = 0;
    std::string text;
};

struct list_copy
{
    std::uint64_t version = 0;
    std::string text;
};

using message = std::variant<delegation_request,
                             delegation,
                             delegation_release,
                             token_request,
                             token_grant,
                             order_claim,
                             order_verdict,
                             order_result,
                             order_handover,
                             observation_report,
                             service_verdict,
                             crash_report,
                             crash_verdict,
                             hello,
                             document_pull,
                             document_part,
                             list_copy>;

/// A message to one peer, returned by the decision logic.
struct outgoing
{
    std::string to; ///< instance name
    core::message message;
};

using outbox = std::vector<outgoing>;

} // namespace medlarbarrow::core
