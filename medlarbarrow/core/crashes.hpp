/// Requests that end the connections of the servers that run them.
/// docs/design.md, section 2.6.
#pragma once

#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// A request is blocked after it has ended connections of this many servers.
constexpr std::size_t crash_server_limit = 2;

/// Lifetime of a suspect and of a block since the last crash.
constexpr duration crash_lifetime = std::chrono::minutes(10);

/// Greatest number of suspects an owner keeps, and of blocks an entry instance
/// keeps. The entry that expires first makes room.
constexpr std::size_t crash_suspect_limit = 4096;

/// Reporters of one suspect that get its verdict; the oldest makes room.
constexpr std::size_t crash_reporter_limit = 64;

/// How long one permitted retry of a suspect holds back other retries of it.
/// A retry that runs longer could meet a third server unnoticed.
constexpr duration crash_permit_lease = std::chrono::seconds(30);

/// For hash tables: a digest is already evenly spread.
struct digest_hash
{
    std::size_t operator()(const digest& value) const noexcept
    {
        return static_cast<std::size_t>(value.high);
    }
};

/// The owner side.
class crash_owner
{
public:
    /// Counts a report and answers it; once the request is blocked every
    /// reporter gets the verdict. `blocked == false` permits the reporter one
    /// more server; a block with a zero lease denies the retry only, because
    /// another reporter's retry of the request may still run. The same nonce
    /// gets the same answer. Empty without a majority for the digest's bucket.
    outbox receive(const instance_id& from,
                   const crash_report& report,
                   const ownership& owners,
                   time_point now);

    /// Blocks in force, for the instances that have not reported; at most
    /// `limit`, those that last longest first. Send them with the delegation
    /// round.
    std::vector<crash_verdict> blocked(std::size_t limit, time_point now) const;

    /// Forgets expired entries and buckets without a majority.
    void tick(const ownership& owners, time_point now);

    std::size_t suspects() const;

private:
    struct reporter
    {
        std::string instance;
        nonce newest = 0;
        crash_verdict answer; ///< to that nonce
    };

    struct suspect
    {
        std::vector<std::string> servers; ///< "service/server", distinct
        std::vector<reporter> reporters;
        std::string permit_holder;
        time_point permit_until{};
        time_point ends{};
        bool blocked = false;
    };

    static reporter& reporter_of(suspect& in, const std::string& instance);
    static crash_verdict
    decide(suspect& in, const std::string& instance, time_point now);
    static void note_server(suspect& in, const std::string& server);
    suspect& entry_of(const digest& request);

    std::unordered_map<digest, suspect, digest_hash> entries;
};

/// The entry side: digests it must not send to any server.
class crash_blocks
{
public:
    explicit crash_blocks(nonce first_nonce);

    /// Report of a connection that ended without an answer; send it to the
    /// owner of bucket_of(request), and again while no verdict arrives.
    crash_report report(const digest& request,
                        const std::string& service,
                        const std::string& server,
                        time_point now);

    /// Takes a verdict. When it answers a report of this instance, returns
    /// true with leave for one more server and false without.
    std::optional<bool> receive(const crash_verdict& verdict, time_point now);

    bool is_blocked(const digest& request, time_point now) const;

    /// Forgets expired entries.
    void tick(time_point now);

    std::size_t size() const;

private:
    struct asked
    {
        nonce newest = 0;
        time_point at{};
    };

    nonce last_nonce = 0;
    std::unordered_map<digest, time_point, digest_hash> blocks;
    std::unordered_map<digest, asked, digest_hash> questions;
};

} // namespace medlarbarrow::core
