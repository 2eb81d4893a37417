#include <algorithm>
#include <medlarbarrow/core/registry.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Live servers announce themselves again within two seconds after the source
/// is reachable again.
constexpr duration lapse_grace_period = std::chrono::milliseconds(2300);

/// A server that leaves ends within minutes of its removal. Until then its
/// entry may come back, for example after an outage of the source. A mark that
/// names a start time holds as long for runs of an earlier or no start time.
constexpr duration gone_mark_lifetime = std::chrono::hours(1);
constexpr duration mark_check_period = std::chrono::minutes(1);
/// Marks kept of servers without an entry, which bounds the memory they take
/// (about 0.5 MB). The one of the server that is gone longest is dropped first.
constexpr std::size_t max_gone_marks = 4096;

} // namespace

void server_registry::put(const announced_server& announced)
{
    const auto it = this->entries.find(announced.server.name);
    if (it != this->entries.end() &&
        announced.started < it->second.announced.started)
    {
        return;
    }
    entry added{announced, std::nullopt, announced.leaving};
    const auto mark = this->marks.find(announced.server.name);
    if (mark != this->marks.end())
    {
        mark->second.gone_since.reset();
        note_announcement(mark->second, announced);
        added.announced.leaving |= holds_for(mark->second, announced.started);
    }
    this->entries[announced.server.name] = std::move(added);
    ++this->change_count;
}

bool server_registry::holds_for(const leaving_mark& mark, std::uint64_t started)
{
    const bool names_run = started != 0 && started == mark.started;
    return names_run || (started <= mark.started && !mark.others_ended);
}

// Ends the mark for runs without a start time if the announcement is that of a
// later run. That the announcement has vanished and come back proves nothing,
// because it may only have lapsed; but a run never counts its announcements
// from the start again.
void server_registry::note_announcement(leaving_mark& mark,
                                        const announced_server& announced)
{
    if (announced.started != 0 || mark.others_ended)
    {
        return;
    }
    mark.others_ended =
        !announced.leaving && announced.sequence < mark.sequence;
    mark.sequence = announced.sequence;
}

bool server_registry::mark_leaving(const leaving_run& run,
                                   time_point now,
                                   mark_origin from)
{
    const auto registered = this->entries.find(run.server);
    const bool has_entry = registered != this->entries.end();
    if (this->is_marked_leaving(run) ||
        (has_entry && registered->second.announced.started > run.started))
    {
        return false;
    }
    if (run.started == 0 && from == mark_origin::other_instance &&
        this->has_ended_lately(run.server, now))
    {
        return false;
    }
    leaving_mark& mark = this->marks[run.server];
    mark.started = std::max(mark.started, run.started);
    mark.marked_at = now;
    mark.others_ended = false;
    mark.others_ended_at = time_point::max();
    bool known = false;
    if (has_entry)
    {
        announced_server& announced = registered->second.announced;
        mark.sequence = announced.started == 0 ? announced.sequence : 0;
        known = announced.leaving && announced.started == run.started;
        this->change_count += announced.leaving ? 0 : 1;
        announced.leaving = true;
        mark.gone_since.reset();
    }
    else
    {
        mark.gone_since = now;
        this->drop_old_marks(now);
    }
    return !known;
}

bool server_registry::is_marked_leaving(const leaving_run& run) const
{
    const auto mark = this->marks.find(run.server);
    return mark != this->marks.end() && holds_for(mark->second, run.started);
}

// Whether the mark of a run without a start time has ended a short time ago.
bool server_registry::has_ended_lately(const std::string& name,
                                       time_point now) const
{
    const auto mark = this->marks.find(name);
    return mark != this->marks.end() && mark->second.others_ended &&
           now - mark->second.others_ended_at < ended_mark_lifetime;
}

// Removes the server's entry and starts the lifetime of its mark.
void server_registry::erase_entry(const std::string& name, time_point now)
{
    this->entries.erase(name);
    ++this->change_count;
    const auto mark = this->marks.find(name);
    if (mark != this->marks.end())
    {
        mark->second.gone_since = now;
        this->drop_old_marks(now);
    }
}

void server_registry::drop_old_marks(time_point now)
{
    this->marks_checked_at = now;
    std::erase_if(this->marks,
                  [now](const auto& named_mark)
                  {
                      const auto& gone_since = named_mark.second.gone_since;
                      return gone_since &&
                             now - *gone_since >= gone_mark_lifetime;
                  });
    const auto is_gone = [](const auto& named_mark)
    {
        return named_mark.second.gone_since.has_value();
    };
    const auto is_older = [](const auto& left, const auto& right)
    {
        // A mark of a server that is still announced counts as newest.
        return left.second.gone_since.value_or(time_point::max()) <
               right.second.gone_since.value_or(time_point::max());
    };
    auto gone_count = static_cast<std::size_t>(
        std::count_if(this->marks.begin(), this->marks.end(), is_gone));
    for (; gone_count > max_gone_marks; --gone_count)
    {
        this->marks.erase(
            std::min_element(this->marks.begin(), this->marks.end(), is_older));
    }
}

// Ends the marks for runs that they don't name and that must have ended by now.
// If such a run is still announced, it is the present one: its start time is
// unknown or earlier, for example because the clock was ahead before. Drops the
// marks that serve no other purpose.
void server_registry::end_marks_of_other_runs(time_point now)
{
    for (auto& [name, mark] : this->marks)
    {
        const duration lifetime =
            mark.started == 0 ? unknown_run_lifetime : gone_mark_lifetime;
        if (!mark.others_ended && now - mark.marked_at >= lifetime)
        {
            mark.others_ended = true;
            const auto registered = this->entries.find(name);
            if (registered != this->entries.end() &&
                !holds_for(mark, registered->second.announced.started))
            {
                entry& current = registered->second;
                current.announced.leaving = current.says_leaving;
                ++this->change_count;
            }
        }
        if (mark.others_ended)
        {
            mark.others_ended_at = std::min(mark.others_ended_at, now);
        }
    }
    std::erase_if(this->marks,
                  [now](const auto& named_mark)
                  {
                      const leaving_mark& mark = named_mark.second;
                      return mark.started == 0 && mark.others_ended &&
                             now - mark.others_ended_at >= ended_mark_lifetime;
                  });
}

void server_registry::remove(const std::string& name,
                             removal_kind kind,
                             time_point now)
{
    const auto it = this->entries.find(name);
    if (it == this->entries.end())
    {
        return;
    }
    // A server that was leaving does not announce itself again.
    if (kind == removal_kind::lapsed && !it->second.announced.leaving)
    {
        if (!it->second.removal_time)
        {
            it->second.removal_time = now + lapse_grace_period;
        }
        return;
    }
    this->erase_entry(name, now);
}

bool server_registry::tick(time_point now)
{
    std::vector<std::string> expired;
    for (const auto& [name, registered] : this->entries)
    {
        if (registered.removal_time && *registered.removal_time <= now)
        {
            expired.push_back(name);
        }
    }
    for (const std::string& name : expired)
    {
        this->erase_entry(name, now);
    }
    this->end_marks_of_other_runs(now);
    if (now - this->marks_checked_at >= mark_check_period)
    {
        this->drop_old_marks(now);
    }
    return !expired.empty();
}

const announced_server* server_registry::find(const std::string& name) const
{
    const auto it = this->entries.find(name);
    return it == this->entries.end() ? nullptr : &it->second.announced;
}

std::vector<const announced_server*>
server_registry::usable(const std::string& service) const
{
    std::vector<const announced_server*> servers;
    for (const auto& [name, registered] : this->entries)
    {
        if (registered.announced.service == service &&
            !registered.announced.leaving)
        {
            servers.push_back(&registered.announced);
        }
    }
    return servers;
}

std::vector<const announced_server*> server_registry::all() const
{
    std::vector<const announced_server*> servers;
    servers.reserve(this->entries.size());
    for (const auto& [name, registered] : this->entries)
    {
        servers.push_back(&registered.announced);
    }
    return servers;
}

} // namespace medlarbarrow::core
