/// Messages that instances exchange and the envelope that carries the address
/// of the receiver. net/codec.hpp encodes them as CBOR.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarbarrow::core
{

/// Version of the message format. Messages of a newer version are refused with
/// peer_newer_format.
constexpr std::uint32_t message_format = 1;

// --- ownership --------------------------------------------------------------

/// Sent by a candidate owner: asks the peer to delegate `buckets` to it.
struct delegation_request
{
    core::nonce nonce = 0;
    bucket_set buckets = 0;
};

/// Buckets that `previous` released and that the delegator delegated to no
/// instance between `previous` and the receiver.
struct delegation_origin
{
    instance_id previous;
    bucket_set buckets = 0;
};

/// Answers a delegation_request: the sender delegates `buckets` for `lease`,
/// which starts with this answer.
struct delegation
{
    core::nonce nonce = 0;
    bucket_set buckets = 0;
    duration lease{};
    std::vector<delegation_origin> origins;
};

/// Sent by an owner that returns the delegations of `buckets`. `answered` is
/// the nonce of the last delegation_request whose answer it counted.
struct delegation_release
{
    bucket_set buckets = 0;
    core::nonce last_counted_nonce = 0;
};

// --- limits -----------------------------------------------------------------

/// One account in a token_request.
struct token_demand
{
    std::string account;
    double held = 0.0;      ///< unspent tokens of earlier grants
    double requested = 0.0; ///< additional tokens requested
};

/// Asks the owner of the accounts for tokens.
struct token_request
{
    core::nonce nonce = 0;
    std::vector<token_demand> demands;
};

struct token_amount
{
    std::string account;
    double amount = 0.0;
};

/// Answers the token_request with the same nonce. `lease` starts when that
/// request was sent.
struct token_grant
{
    core::nonce nonce = 0;
    duration lease{};
    std::vector<token_amount> amounts;
};

// --- orders -----------------------------------------------------------------

/// Asks the owner of an order whether the sender may run it.
struct order_claim
{
    core::nonce nonce = 0;
    digest identity;
    wall_time created{};
    std::chrono::milliseconds deadline{};
};

enum class order_verdict_kind
{
    run,         ///< the claimant may send the order once, to one server
    answered,    ///< the first answer is stored and attached
    in_progress, ///< another claim is within its deadline
    unknown,     ///< the order may have run
    not_owner,   ///< sender has no majority for the bucket: ask another
    in_future    ///< created ahead of the owner's clock: must not run
};

/// The first answer to an order, stored so that repeated requests get the same
/// answer.
struct stored_answer
{
    unsigned status = 0;
    std::string content_type;
    std::string body;
};

/// Answers an order_claim.
struct order_verdict
{
    core::nonce nonce = 0;
    digest identity;
    order_verdict_kind kind = order_verdict_kind::unknown;
    std::optional<stored_answer> answer;
};

/// How the run of an order ended.
enum class order_outcome
{
    answered, ///< the server answered completely
    not_sent, ///< no byte reached a server
    unknown   ///< the order may have run
};

/// Reports to the owner how a claimed order ended.
struct order_result
{
    digest identity;
    order_outcome outcome = order_outcome::unknown;
    std::optional<stored_answer> answer;
    /// Nonce of the claim that got the verdict `run`. Without it, a repeated
    /// not_sent of an earlier run would release a later run of the same
    /// instance.
    core::nonce claim = 0;
};

/// An order record in a handover.
struct order_record_copy
{
    digest identity;
    wall_time created{};
    bool pending = true;
    std::optional<stored_answer> answer;
    instance_id claimant;
    core::nonce claim = 0;
    std::chrono::milliseconds remaining{}; ///< until the claim's deadline
};

/// Order records of a bucket, sent to the next owner before the delegations are
/// released. The receiver adopts `knowledge_start` only when all parts have
/// arrived.
struct order_handover
{
    bucket_id bucket = 0;
    std::uint32_t part = 0;
    bool last = false;
    wall_time knowledge_start{}; ///< the sender knows all claims since
    std::vector<order_record_copy> records;
};

// --- detection --------------------------------------------------------------

/// Results of one instance's requests to one server since its previous report.
struct server_observation
{
    std::string server;
    std::uint32_t succeeded = 0;
    std::uint32_t failed = 0; ///< errors, resets and refused connections
    std::uint32_t timed_out = 0;
    duration mean_latency{}; ///< of successful requests
};

/// Reports observations of the servers of a service to its owner.
struct observation_report
{
    core::nonce nonce = 0;
    std::string service;
    std::vector<server_observation> servers;
};

enum class server_state
{
    healthy,
    ejected,  ///< gets no new requests from any instance
    path_cut, ///< others reach the server: forward through `via`
};

struct server_verdict
{
    std::string server;
    server_state state = server_state::healthy;
    duration lease{};
    std::string via; ///< for path_cut: a peer that reaches the server
};

/// Answers an observation_report with all servers of the service that are not
/// healthy for the reporter.
struct service_verdict
{
    core::nonce nonce = 0;
    std::string service;
    /// The reporter itself is cut off from the servers; its report is ignored.
    bool reporter_cut_off = false;
    std::vector<server_verdict> servers;
};

// --- crash suspects ---------------------------------------------------------

/// Reports that a server closed its connection while it ran `request`.
struct crash_report
{
    core::nonce nonce = 0;
    digest request;
    std::string service;
    std::string server;
};

/// Answers a crash_report, or announces a blocked request to instances that
/// have not reported it.
struct crash_verdict
{
    core::nonce nonce = 0;
    digest request;
    bool blocked = false;
    duration lease{};
};

// --- membership and distribution of configuration ---------------------------

/// First message on a connection between instances, then its heartbeat.
struct hello
{
    std::string data_centre;
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    bool leaving = false;
};

/// Requests a document or instance list newer than `held_version`.
struct document_pull
{
    std::uint64_t held_version = 0;
};

/// One part of the published document, unchanged from the platform.
struct document_part
{
    std::uint64_t version = 0;
    std::uint32_t index = 0; ///< 0 is the index part
    std::uint32_t count = 0;
    std::string text;
};

/// The instance list, unchanged from the platform.
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

/// A message that the decision logic asks its caller to send to a peer.
struct outgoing
{
    std::string to; ///< instance name
    core::message message;
};

using outbox = std::vector<outgoing>;

} // namespace medlarbarrow::core
