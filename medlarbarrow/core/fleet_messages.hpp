/// Messages between the instances of a fleet that has no list of its members.
/// Each message is one datagram.
#pragma once

#include <medlarbarrow/core/membership.hpp>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/quota.hpp>
#include <medlarbarrow/core/server_notice.hpp>
#include <medlarbarrow/core/shards.hpp>
#include <medlarbarrow/core/source_position.hpp>
#include <variant>

namespace medlarbarrow::core
{

/// Exchanges what two instances know about the members of the fleet.
struct gossip
{
    std::uint64_t incarnation = 0;
    source_position position; ///< newest one that the sender has
    bool wants_reply = false;
    bool leaving = false;
    std::vector<member_report> members;
    /// Runs of servers that have lately become known to leave.
    std::vector<leaving_run> leaving_runs;
    /// Digest of what the sender carries over from earlier eras of the source.
    std::uint64_t carried_digest = 0;
};

/// Asks the owner of an account to admit one request under the account's limit.
struct admit_call
{
    std::uint64_t number = 0;
    std::string account;
};

/// Answers the admit_call with the same number.
struct admit_reply
{
    std::uint64_t number = 0;
    bool account_exists = false; ///< the account exists for the owner
    quota_answer answer;
};

/// Asks the owner of a shard for a server. The sender sets the instance
/// number of the grant to its incarnation; the receiver adds the sender's
/// address.
struct place_call
{
    shard_id shard;
    place_request request;
};

/// Answers a place_call.
struct place_reply
{
    std::uint64_t number = 0; ///< of the grant
    place_answer answer;
    std::uint32_t shard = 0; ///< number of the shard that was asked
    double load = 0.0;       ///< of the shard, see placement::load()
};

/// Reports to the owner how a granted send ended.
struct done_call
{
    shard_id shard;
    grant_id grant;
    send_outcome outcome = send_outcome::cancelled;
    duration latency{};        ///< zero if there was no answer
    server_notice notice{};    ///< of the server, in its answer
    duration connection_age{}; ///< see send_end
    duration age{};            ///< time since the send ended
};

/// Acknowledges a done_call.
struct done_reply
{
    std::uint64_t number = 0; ///< of the grant
    std::uint32_t shard = 0;  ///< number of the shard
};

/// Tells the owner that the answer to a granted request is passed on to the
/// caller as it comes. Repeated while that lasts.
struct stream_call
{
    shard_id shard;
    grant_id grant;
    bool unread = false; ///< the caller has stopped reading
};

/// Answers a stream_call if the send has to end, see
/// placement::record_stream().
struct stream_reply
{
    std::uint64_t number = 0; ///< of the grant
};

/// Tells an instance that a request has crashed a server: the owners of the
/// other shards of the service, and the one that is next to own the shard.
struct shard_crash_report
{
    shard_id shard; ///< that the receiver owns, or may own next
    crash_event crash;
};

/// What the sender knows of requests that may have crashed servers.
struct crash_suspects
{
    std::vector<crash_suspect> suspects;
};

/// Asks an instance that reads the source to send source updates.
struct subscribe
{
    std::uint64_t incarnation = 0;
};

/// State of the source as its reader knows it. Sent to subscribers periodically
/// and after each change.
struct source_update
{
    source_position position;
    std::chrono::milliseconds age{}; ///< time since the source confirmed it
    source_position base;            ///< position after which `changes` start
    std::string changes;             ///< as text; empty when they are too large
};

using fleet_message = std::variant<gossip,
                                   subscribe,
                                   source_update,
                                   admit_call,
                                   admit_reply,
                                   place_call,
                                   place_reply,
                                   done_call,
                                   done_reply,
                                   stream_call,
                                   stream_reply,
                                   shard_crash_report,
                                   crash_suspects>;

} // namespace medlarbarrow::core
