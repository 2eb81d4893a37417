#include <algorithm>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/core/placement_common.hpp>
#include <tuple>

/// Requests whose servers wait for the callers: for the rest of a body, or for
/// an answer to be read. They leave half of the slots to the others.
namespace medlarbarrow::core
{

namespace
{

/// An instance reports an answer that it passes on, and one that is not read,
/// several times in these times.
constexpr std::chrono::seconds stream_report_lifetime{3};
constexpr std::chrono::milliseconds unread_report_lifetime{500};

/// Other requests count as waiting for a slot for so long after one has found
/// none.
constexpr std::chrono::seconds lacking_slot_time{1};

} // namespace

// Requests whose bodies are still arriving that run at present.
std::uint32_t placement::count_arriving_bodies() const
{
    std::uint32_t count = 0;
    for (const auto& [name, server] : this->servers)
    {
        count += server.arriving_bodies;
    }
    return count;
}

// Whether the request must wait although slots may be free: its body is still
// arriving, and such requests hold their part of the shard's slots.
bool placement::must_wait_for_slot(const place_request& request,
                                   time_point now) const
{
    if (!request.body_arriving)
    {
        return false;
    }
    std::uint32_t slots = 0;
    for (const auto& [name, server] : this->servers)
    {
        slots += server.suspected ? 0 : this->capacity_of(server, now);
    }
    return this->count_arriving_bodies() >= caller_slots(slots);
}

// Whether a waiting request goes first. One whose body is still arriving goes
// before its like only, since it may wait while slots are free for others.
bool placement::has_request_ahead(const place_request& request) const
{
    return std::any_of(this->queue.begin(), this->queue.end(),
                       [&request](const queued_request& waiting)
                       {
                           return request.body_arriving ||
                                  !waiting.request.body_arriving;
                       });
}

bool placement::record_stream(const grant_id& grant,
                              bool unread,
                              time_point now)
{
    const auto position = this->grants.find(grant);
    if (position == this->grants.end())
    {
        return false;
    }
    active_grant& reported = position->second;
    reported.streaming = true;
    reported.expires_at =
        std::max(reported.expires_at, now + stream_report_lifetime);
    if (!unread)
    {
        reported.unread_until = now;
        return false;
    }
    if (!reported.is_unread(now))
    {
        reported.unread_since = now;
    }
    reported.unread_until = now + unread_report_lifetime;
    const bool others_wait =
        !this->queue.empty() || now - this->lacked_slot_at < lacking_slot_time;
    const overview servers_now = this->make_overview(now);
    return others_wait && servers_now.free_places == 0 &&
           this->is_among_longest_unread(grant, servers_now, now);
}

// Whether the answer is one of those that have to end until the requests that
// wait for their callers hold no more than their part of the slots. Only the
// servers count that others may use.
bool placement::is_among_longest_unread(const grant_id& grant,
                                        const overview& servers_now,
                                        time_point now) const
{
    std::uint32_t slots = 0;
    for (const auto& [name, server] : this->servers)
    {
        slots += this->is_eligible(server, servers_now, false)
                     ? this->capacity_of(server, now)
                     : 0;
    }
    const active_grant& reported = this->grants.at(grant);
    std::uint32_t waiting = 0;
    std::uint32_t unread_for_longer = 0;
    bool counts = false;
    for (const auto& [id, active] : this->grants)
    {
        const auto server = this->servers.find(active.server);
        if (server == this->servers.end() ||
            !this->is_eligible(server->second, servers_now, false))
        {
            continue;
        }
        const bool is_unread = active.is_unread(now);
        const bool is_older = std::tie(active.unread_since, id) <
                              std::tie(reported.unread_since, grant);
        waiting += is_unread || active.request.body_arriving ? 1 : 0;
        unread_for_longer += is_unread && is_older ? 1 : 0;
        counts |= id == grant;
    }
    return counts && waiting > caller_slots(slots) + unread_for_longer;
}

} // namespace medlarbarrow::core
