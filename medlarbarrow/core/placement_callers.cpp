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

/// An instance reports an unread answer several times in this time.
constexpr std::chrono::seconds unread_report_lifetime{3};

} // namespace

// Slots of the trusted servers.
std::uint32_t placement::trusted_slots(time_point now) const
{
    std::uint32_t slots = 0;
    for (const auto& [name, server] : this->servers)
    {
        slots += server.suspected ? 0 : this->capacity_of(server, now);
    }
    return slots;
}

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
    return request.body_arriving && this->count_arriving_bodies() >=
                                        caller_slots(this->trusted_slots(now));
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

// The grant holds its slot for as long as its answer is reported as unread,
// also beyond the deadline: its server is still at work.
bool placement::record_unread_answer(const grant_id& grant, time_point now)
{
    const bool has_free_slot = this->make_overview(now).free_places > 0;
    const auto position = this->grants.find(grant);
    if (position == this->grants.end())
    {
        return !has_free_slot;
    }
    active_grant& reported = position->second;
    if (!reported.is_unread(now))
    {
        reported.unread_since = now;
    }
    reported.unread_until = now + unread_report_lifetime;
    reported.expires_at = std::max(reported.expires_at, reported.unread_until);
    return !has_free_slot && this->is_among_longest_unread(grant, now);
}

// Whether the answer is one of those that have to end until the requests that
// wait for their callers hold no more than their part of the slots.
bool placement::is_among_longest_unread(const grant_id& grant,
                                        time_point now) const
{
    const active_grant& reported = this->grants.at(grant);
    std::uint32_t waiting = 0;
    std::uint32_t unread_for_longer = 0;
    for (const auto& [id, active] : this->grants)
    {
        const bool has_slot = this->servers.contains(active.server);
        const bool is_unread = has_slot && active.is_unread(now);
        const bool is_older = std::tie(active.unread_since, id) <
                              std::tie(reported.unread_since, grant);
        waiting +=
            is_unread || (has_slot && active.request.body_arriving) ? 1 : 0;
        unread_for_longer += is_unread && is_older ? 1 : 0;
    }
    const std::uint32_t allowed = caller_slots(this->trusted_slots(now));
    return waiting > allowed + unread_for_longer &&
           this->servers.contains(reported.server);
}

} // namespace medlarbarrow::core
