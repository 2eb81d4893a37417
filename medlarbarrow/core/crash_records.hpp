/// What one instance of a fleet without a member list knows about requests that
/// crash the servers that run them. An instance owns a shard for a while only,
/// so the records are kept for all shards together and are exchanged between
/// the instances: the next owner knows what the one before it has seen. Fleets
/// whose owners hold leases use crashes.hpp.
#pragma once

#include <medlarbarrow/core/types.hpp>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// A request whose server ended the connection without an answer.
struct crash_event
{
    std::uint64_t content_digest = 0;
    std::string server;
    duration age{}; ///< time since the connection ended
};

/// A server that a request may have crashed.
struct suspected_crash
{
    std::string server;
    duration age{}; ///< time since the connection ended
};

/// A request that may have crashed several servers.
struct crash_suspect
{
    std::uint64_t content_digest = 0;
    std::vector<suspected_crash> crashes;
};

/// Shows that a server lives: it has sent something.
struct life_sign
{
    std::string server;
    time_point connected_at{}; ///< of the connection that it used
    time_point sent_at{};
};

/// Whether requests of one digest may be sent.
struct request_block
{
    bool in_force = false;
    /// While a server may still turn out to live: the time until the block is
    /// settled. Zero for a settled block.
    duration unsettled_for{};
};

/// Upper limit of the bytes that suspects take in one message.
constexpr std::size_t max_suspects_bytes = 1000;

/// Crash records by digest of the request. A request is blocked after three
/// different servers have ended its connection. Such an end is no proof of a
/// crash: an answer may be lost on its way. So a crash no longer counts once
/// the server answers on a connection that is older than the crash, which a
/// server that has crashed cannot do.
class crash_records
{
public:
    void record(const crash_event& crash, time_point now);

    /// Records that a request of the digest has succeeded: what it was said to
    /// have crashed has failed for other reasons.
    void record_success(std::uint64_t content_digest, time_point now);

    /// Crashes that the sign refutes no longer count.
    void record_life_sign(const life_sign& sign);

    /// Records that a request of the digest has been granted a server. While it
    /// runs, the others stay blocked.
    void record_trial(std::uint64_t content_digest, time_point now);

    request_block block_of(std::uint64_t content_digest, time_point now) const;

    /// Requests that may have crashed at least `min_servers` servers, for other
    /// instances. Those that do not fit a message come first in the next one.
    std::vector<crash_suspect> suspects(std::size_t min_servers,
                                        time_point now);

    /// Merges what another instance knows.
    void merge(const std::vector<crash_suspect>& suspects, time_point now);

    std::size_t size() const noexcept
    {
        return this->records.size();
    }

private:
    struct crash
    {
        std::string server;
        time_point at{};
        bool refuted = false; ///< the server has lived on
    };

    struct digest_record
    {
        std::vector<crash> crashes; ///< one for each server
        time_point last_crash{};
        time_point last_trial{}; ///< last grant to a request of the digest
        std::optional<time_point> last_success;
    };

    static std::size_t count_crashes(const digest_record& record);
    static crash_suspect make_suspect(std::uint64_t digest,
                                      const digest_record& known,
                                      time_point now);
    void add_crash(digest_record& known, const crash& added);
    void drop_old_records(time_point now);
    /// Finds `suspected_servers` anew after records have been dropped.
    void find_suspected_servers();

    std::unordered_map<std::uint64_t, digest_record> records;
    /// Servers with a crash that is not refuted, and the time of the last one.
    std::unordered_map<std::string, time_point> suspected_servers;
    /// The record that comes first in the next message.
    std::uint64_t next_suspect = 0;
};

} // namespace medlarbarrow::core
