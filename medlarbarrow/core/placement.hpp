/// Placement of the requests of one service by the instance that is its owner:
/// which server runs a request, in which order requests wait, and which are
/// refused. One place sees every running request of the service, so a server
/// that stops answering is known after a few requests of the whole fleet.
#pragma once

#include <array>
#include <deque>
#include <map>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace medlarbarrow::core
{

/// A grant belongs to one request of one instance.
struct grant_id
{
    std::uint64_t instance = 0; ///< address and start of the instance
    std::uint64_t number = 0;   ///< rises within the instance

    auto operator<=>(const grant_id&) const = default;
};

/// Limits on sends beyond the first of each request, over all instances.
struct repeat_limits
{
    double ratio = 0.2;  ///< repeats per request
    double slack = 20.0; ///< repeats besides, per window
    duration window = std::chrono::seconds(10);
};

struct place_request
{
    grant_id grant;
    std::string data_centre; ///< of the asking instance
    std::uint32_t work = 0;  ///< requests of equal value take similar time
    bool repeatable = false;
    std::uint32_t rank = 0; ///< 0 is the most urgent
    bool repeat = false;    ///< an earlier send of the request has been made
    duration objective{};   ///< time left until the answer is worth less
    duration left{};        ///< time left until the answer is worth nothing
    std::vector<std::string> excluded; ///< servers that must not be chosen
    std::uint64_t content = 0;         ///< digest of the request
};

/// Send the request to this server.
struct placed
{
    std::string server;
    duration typical{}; ///< of the work
    duration overdue{}; ///< an answer later than this is suspicious
};

/// The request waits; an answer follows.
struct queued
{
};

/// The request must not run.
struct place_refused
{
    result_code code = result_code::queue_full;
    duration retry_after{};
};

using place_answer = std::variant<placed, queued, place_refused>;

/// An answer to a request that waited.
struct late_answer
{
    grant_id grant;
    place_answer answer;
};

/// How a granted send ended.
enum class send_outcome : std::uint8_t
{
    succeeded,
    failed,      ///< the server answered with an error
    broke_off,   ///< the connection ended without an answer
    timed_out,   ///< no answer in the time allowed
    shed,        ///< the server said that it did not run the request
    unreachable, ///< no connection from that instance
    cancelled    ///< the caller left, or another send won
};

/// One decision that changed what is believed of a server, for the log.
struct placement_event
{
    std::string server;
    std::string change; ///< suspected or trusted
    std::string reason;
    double doubt = 0.0;
};

class placement
{
public:
    placement(repeat_limits limits, std::uint64_t seed);

    /// Takes the usable servers of the service.
    void set_servers(const std::vector<const announced_server*>& usable,
                     time_point now);

    /// Asks for a server. The same grant asked for twice gets one answer.
    place_answer request(const place_request& asked, time_point now);

    /// Notes the end of a send and frees its slot.
    void finished(const grant_id& grant,
                  send_outcome outcome,
                  duration took,
                  time_point now);

    /// Gives up a request that waits or a grant that was not used.
    void withdraw(const grant_id& grant, time_point now);

    /// Answers to waiting requests that are due; call after each change and
    /// at least every 50 ms.
    std::vector<late_answer> tick(time_point now);

    std::vector<placement_event> take_events();

    std::size_t waiting() const noexcept
    {
        return this->queue.size();
    }

    std::size_t running() const noexcept
    {
        return this->grants.size();
    }

private:
    struct server_state
    {
        announced_server known;
        std::uint32_t running = 0;
        double doubt = 0.0; ///< 1 and more: suspected
        time_point doubt_at{};
        time_point tested{}; ///< last send while suspected
        time_point proven{}; ///< last success
        bool suspected = false;
        std::map<std::uint64_t, time_point> used_by; ///< instance, last send
    };

    struct granted
    {
        std::string server;
        place_request asked;
        time_point since{};
        time_point overdue_at{};
        time_point ends{};
        bool overdue = false;
    };

    struct waiter
    {
        place_request asked;
        time_point since{};
        time_point objective_at{};
        time_point ends{};
    };

    /// Duration of one kind of work, from its successes.
    struct work_time
    {
        double mean = 0.0;      ///< seconds
        double deviation = 0.0; ///< seconds, mean absolute
        std::uint32_t samples = 0;
    };

    struct crash_record
    {
        std::vector<std::string> servers; ///< distinct, since the last success
        time_point newest{};
    };

    /// Requests or repeats per second of the window, newest last.
    struct second_counts
    {
        std::int64_t second = 0;
        std::uint32_t requests = 0;
        std::uint32_t repeats = 0;
    };

    std::uint32_t capacity_of(const server_state& server, time_point now) const;
    void decay(server_state& server, time_point now) const;
    void add_doubt(const std::string& name,
                   double amount,
                   const char* reason,
                   time_point now);
    void clear_doubt(server_state& server, double factor, time_point now);
    duration typical(const place_request& asked) const;
    duration overdue_after(const place_request& asked) const;
    std::map<std::string_view, double> find_lingering(time_point now) const;
    double cost_of(const server_state& server,
                   const place_request& asked,
                   double lingering,
                   time_point now) const;
    server_state*
    choose(const place_request& asked, bool pressed, time_point now);
    server_state* due_for_test(const place_request& asked, time_point now);
    place_answer
    grant(const place_request& asked, server_state& server, time_point now);
    place_refused refusal(result_code code, time_point now) const;
    duration expected_wait(std::uint32_t rank, time_point now) const;
    bool may_repeat(time_point now);
    second_counts& counts_at(time_point now);
    void find_overdue(time_point now);
    bool is_crashing(std::uint64_t content) const;
    void note_crash(const granted& ended, time_point now);

    repeat_limits limits;
    std::mt19937_64 random;
    std::map<std::string, server_state> servers;
    std::map<grant_id, granted> grants;
    std::vector<waiter> queue;
    std::unordered_map<std::uint32_t, work_time> works;
    std::deque<second_counts> counts;
    std::unordered_map<std::uint64_t, crash_record> crashes;
    std::vector<placement_event> events;
};

} // namespace medlarbarrow::core
