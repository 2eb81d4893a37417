/// Detection of requests that crash the servers that run them, and the block of
/// such requests on all instances. docs/design.md, section 2.6.
#pragma once

#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// A request is blocked after this many servers have closed a connection while
/// they ran it.
constexpr std::size_t crash_server_limit = 2;

/// How long a suspect request and its block are kept after the last crash.
constexpr duration crash_lifetime = std::chrono::minutes(10);

/// Maximum number of suspect requests that an owner keeps, and of blocks that
/// an entry instance keeps. When it is reached, the one that expires first is
/// removed.
constexpr std::size_t crash_suspect_limit = 4096;

/// Maximum number of reporters per suspect that get its verdict. When it is
/// reached, the oldest is removed.
constexpr std::size_t crash_reporter_limit = 64;

/// How long a permitted retry of a suspect prevents other retries of it. A
/// retry that runs longer could reach a third server unnoticed.
constexpr duration crash_permit_lease = std::chrono::seconds(30);

/// Hash function for hash tables. The bits of a digest are evenly distributed
/// already.
struct digest_hash
{
    std::size_t operator()(const digest& value) const noexcept
    {
        return static_cast<std::size_t>(value.high);
    }
};

/// Collects the crash reports of the requests whose digest this instance owns.
/// It decides whether a suspect request may be retried or is blocked.
class crash_owner
{
public:
    /// Counts a report and answers it. Once the request is blocked, all its
    /// reporters get the verdict. `blocked == false` permits the reporter to
    /// send the request to one more server. A block with a zero lease denies
    /// only this retry, because another reporter's retry of the request may
    /// still run. A repeated nonce gets the same answer. Returns nothing
    /// without a majority for the digest's bucket.
    outbox receive(const instance_id& sender,
                   const crash_report& report,
                   const ownership& owners,
                   time_point now);

    /// Blocks in force, for the instances that have not reported the request.
    /// Returns at most `limit` of them, longest remaining time first. Send them
    /// with the delegation round.
    std::vector<crash_verdict> active_blocks(std::size_t limit,
                                             time_point now) const;

    /// Removes suspects that have expired or whose bucket has no majority.
    void tick(const ownership& owners, time_point now);

    std::size_t suspect_count() const;

private:
    struct reporter
    {
        std::string instance;
        nonce latest_nonce = 0;
        crash_verdict answer; ///< to the report with `latest_nonce`
    };

    struct suspect
    {
        std::vector<std::string> servers; ///< "service/server", distinct
        std::vector<reporter> reporters;
        std::string permit_holder; ///< instance that may retry the request
        time_point permit_expires_at{};
        time_point expires_at{};
        bool blocked = false;
    };

    static reporter& find_or_add_reporter(suspect& record,
                                          const std::string& instance);
    static crash_verdict
    decide_retry(suspect& record, const std::string& instance, time_point now);
    static void add_server(suspect& record, const std::string& server);
    suspect& find_or_add_suspect(const digest& request);

    std::unordered_map<digest, suspect, digest_hash> suspects;
};

/// Reports crashes from an entry instance to the owners, and holds the blocked
/// requests, which this instance must not send to any server.
class crash_blocks
{
public:
    explicit crash_blocks(nonce first_nonce);

    /// Creates the report of a connection that ended without an answer. Send it
    /// to the owner of bucket_of(request), and again until a verdict arrives.
    crash_report report(const digest& request,
                        const std::string& service,
                        const std::string& server,
                        time_point now);

    /// Applies a verdict. If it answers the latest report of the request by
    /// this instance, returns whether the request may be sent to one more
    /// server.
    std::optional<bool> receive(const crash_verdict& verdict, time_point now);

    bool is_blocked(const digest& request, time_point now) const;

    /// Removes expired blocks and reports.
    void tick(time_point now);

    /// Number of blocks.
    std::size_t size() const;

private:
    struct pending_report
    {
        nonce latest_nonce = 0;
        time_point reported_at{};
    };

    nonce last_nonce = 0;
    std::unordered_map<digest, time_point, digest_hash> block_ends;
    std::unordered_map<digest, pending_report, digest_hash> pending_reports;
};

} // namespace medlarbarrow::core
