/// Messages between the instances of a fleet without a list of its members.
/// Each is one datagram.
#pragma once

#include <medlarbarrow/core/membership.hpp>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/quota.hpp>
#include <variant>

namespace medlarbarrow::core
{

/// Exchange of what two instances know of the others.
struct gossip
{
    std::uint64_t incarnation = 0;
    std::uint64_t revision = 0; ///< newest of what is published, as known here
    bool wants_reply = false;
    bool leaving = false;
    std::vector<member_report> members;
};

/// Asks the owner of an account for one request.
struct admit_call
{
    std::uint64_t number = 0;
    std::string account;
};

struct admit_reply
{
    std::uint64_t number = 0;
    bool known = false; ///< the owner knows the account
    quota_answer answer;
};

/// Asks the owner of a service for a server. The grant's instance number is the
/// caller's incarnation; the receiver adds the address.
struct place_call
{
    std::string service;
    place_request asked;
};

struct place_reply
{
    std::uint64_t number = 0; ///< of the grant
    place_answer answer;
};

/// Tells the owner how a granted send ended. `took` is zero without an answer.
struct done_call
{
    std::string service;
    grant_id grant;
    send_outcome outcome = send_outcome::cancelled;
    duration took{};
};

struct done_reply
{
    std::uint64_t number = 0;
};

/// Asks a reader of the source for source updates.
struct subscribe
{
    std::uint64_t incarnation = 0;
};

/// A reader's word of the source, sent at intervals and after each change.
struct source_update
{
    std::uint64_t revision = 0;
    std::chrono::milliseconds age{}; ///< since the source confirmed it
    /// Changes after this revision, as text; empty when they are too large.
    std::uint64_t since = 0;
    std::string changes;
};

using fleet_message = std::variant<gossip,
                                   subscribe,
                                   source_update,
                                   admit_call,
                                   admit_reply,
                                   place_call,
                                   place_reply,
                                   done_call,
                                   done_reply>;

} // namespace medlarbarrow::core
