/// Registry of the backend servers that announce themselves, as one instance
/// knows them. Servers are added and removed independently of the configuration
/// document.
#pragma once

#include <map>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <vector>

namespace medlarbarrow::core
{

/// Announcement of one run of a backend server.
struct announced_server
{
    backend_server server; ///< `name` is unique across all services
    std::string service;
    std::uint64_t started = 0; ///< Unix milliseconds; 0: unknown
    bool leaving = false;      ///< accepts no new requests
    time_point warmed_up_at{}; ///< runs at full speed from this time
    /// Number of the announcement within its run; never falls during a run.
    std::uint64_t sequence = 0;
};

/// How certain it is that a removed server has left.
enum class removal_kind
{
    certain, ///< the server has left
    lapsed   ///< its announcements may only have been lost
};

/// Names one run of a server that leaves.
struct leaving_run
{
    std::string server;
    std::uint64_t started = 0; ///< Unix milliseconds; 0: unknown
};

/// Who has said that a run leaves.
enum class mark_origin : std::uint8_t
{
    own_answer, ///< the server itself, in an answer to this instance
    other_instance
};

/// Time after which a run without a start time that has said that it leaves has
/// ended. The longest request that it may have to finish takes 10 minutes, the
/// upper limit of a route's timeout.
constexpr duration unknown_run_lifetime = std::chrono::minutes(15);

/// After a mark of a run without a start time has ended, what other instances
/// pass on about such a run is ignored for this time. It concerns the run that
/// has ended: their marks may end later, and instances would set the mark again
/// for each other without end.
constexpr duration ended_mark_lifetime = std::chrono::minutes(3);

/// The servers of all services. A server that is leaving or has been removed
/// gets no new requests. After an outage of the source, servers whose
/// announcements have lapsed stay usable for a grace period, because the live
/// ones announce themselves again.
class server_registry
{
public:
    /// Adds or replaces a server. An older run never replaces a newer one. A
    /// run that is marked as leaving stays so, whatever it announces.
    void put(const announced_server& announced);

    /// Removes a server: at once if it has left or was leaving, else after the
    /// grace period.
    void remove(const std::string& name, removal_kind kind, time_point now);

    /// Marks a run, and all earlier ones of the same name, as leaving. Only a
    /// newer run is used again. Runs without a start time look alike, so their
    /// mark ends when an announcement shows that the run has ended (its
    /// sequence starts again), and else after unknown_run_lifetime. A mark that
    /// names a start holds for other runs for an hour. True if it is new: the
    /// run was not known to leave, and no newer one is registered.
    bool mark_leaving(const leaving_run& run,
                      time_point now,
                      mark_origin from = mark_origin::own_answer);

    /// Whether this run, or a newer one of the same name, is marked as leaving.
    bool is_marked_leaving(const leaving_run& run) const;

    /// Removes servers whose grace period has ended; true if there were any.
    /// Ends the marks that are due.
    bool tick(time_point now);

    /// Null if there is no server of this name.
    const announced_server* find(const std::string& name) const;

    /// Servers of a service that may get new requests.
    std::vector<const announced_server*>
    usable(const std::string& service) const;

    /// All servers, including those that are leaving.
    std::vector<const announced_server*> all() const;

    /// Increases with every change.
    std::uint64_t version() const noexcept
    {
        return this->change_count;
    }

private:
    struct entry
    {
        announced_server announced; ///< leaving also if it is marked
        std::optional<time_point> removal_time; ///< end of the grace period
        bool says_leaving = false;              ///< in its announcement
    };

    /// Newest run of a server that is marked as leaving.
    struct leaving_mark
    {
        std::uint64_t started = 0;
        time_point marked_at{};
        /// It holds only for the run of that start, no longer for earlier ones
        /// or ones without a start time.
        bool others_ended = false;
        time_point others_ended_at = time_point::max(); ///< at the next tick
        /// Sequence of the last announcement without a start time.
        std::uint64_t sequence = 0;
        /// When the server's entry was removed; empty while there is one.
        std::optional<time_point> gone_since;
    };

    static bool holds_for(const leaving_mark& mark, std::uint64_t started);
    static void note_announcement(leaving_mark& mark,
                                  const announced_server& announced);
    bool has_ended_lately(const std::string& name, time_point now) const;
    void end_marks_of_other_runs(time_point now);
    void erase_entry(const std::string& name, time_point now);
    void drop_old_marks(time_point now);

    std::map<std::string, entry> entries;
    std::map<std::string, leaving_mark> marks;
    time_point marks_checked_at{};
    std::uint64_t change_count = 0;
};

} // namespace medlarbarrow::core
