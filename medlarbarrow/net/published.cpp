#include <algorithm>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/published.hpp>
#include <set>

namespace medlarbarrow::net
{

namespace
{

/// Removals that are kept for instances that lag behind. An instance that lags
/// further gets a complete listing.
constexpr std::size_t max_removals = 256;

core::content_version version_of(const parsed_item& meaning)
{
    if (const auto* parsed = std::get_if<parsed_document>(&meaning))
    {
        return {parsed->document->version, 0};
    }
    if (const auto* server = std::get_if<core::announced_server>(&meaning))
    {
        return {server->started, server->sequence};
    }
    return {};
}

void log_passed_over(const published_item& item,
                     const core::source_position& held)
{
    log::write(log::level::info, "item_passed_over",
               {log::kv("key", item.key),
                log::kv("revision", core::format_position(item.position)),
                log::kv("held", core::format_position(held))});
}

} // namespace

published::published(item_reader reader, std::function<void()> on_change)
    : read_item(std::move(reader)), notify_change(std::move(on_change))
{
}

// While an instance runs, document versions only increase: an older document
// never replaces the one in force.
void published::apply_document(parsed_document parsed)
{
    const std::shared_ptr<const core::document> candidate =
        std::move(parsed.document);
    if (this->current_document &&
        candidate->version <= this->current_document->version)
    {
        if (candidate->version < this->current_document->version)
        {
            log::write(log::level::warning, "document_refused",
                       {log::kv("reason", "older than the one in force"),
                        log::kv("version", candidate->version),
                        log::kv("in_force", this->current_document->version)});
        }
        return;
    }
    log::write(
        log::level::info, "document_in_force",
        {log::kv("version", candidate->version),
         log::kv("before",
                 this->current_document ? this->current_document->version : 0),
         log::kv("routes", candidate->routes.size()),
         log::kv("accounts", candidate->accounts.size())});
    this->current_document = candidate;
    this->counts.document_problems += parsed.problems.size();
    for (const item_problem& problem : parsed.problems)
    {
        log::write(log::level::warning, "document_problem",
                   {log::kv("version", candidate->version),
                    log::kv("part", problem.part),
                    log::kv("member", problem.member),
                    log::kv("value", problem.value),
                    log::kv("accepted", problem.accepted)});
    }
}

// Applies the document or server of an item. A server that the item announced
// before is removed, unless the item announces it again.
void published::apply_item(const published_item& item,
                           parsed_item meaning,
                           core::time_point now)
{
    if (auto* document = std::get_if<parsed_document>(&meaning))
    {
        this->apply_document(std::move(*document));
        return;
    }
    if (const auto* unreadable = std::get_if<unreadable_item>(&meaning))
    {
        ++this->counts.items_unreadable;
        log::write(log::level::warning, "item_unreadable",
                   {log::kv("key", item.key),
                    log::kv("revision", core::format_position(item.position)),
                    log::kv("reason", unreadable->reason)});
    }
    const auto* server = std::get_if<core::announced_server>(&meaning);
    const auto previous = this->server_names.find(item.key);
    if (previous != this->server_names.end() &&
        (server == nullptr || previous->second != server->server.name))
    {
        this->registry.remove(previous->second, core::removal_kind::certain,
                              now);
        this->server_names.erase(previous);
    }
    if (server == nullptr)
    {
        return;
    }
    const core::announced_server* registered =
        this->registry.find(server->server.name);
    const std::optional<bool> left_before =
        registered == nullptr ? std::nullopt
                              : std::optional(registered->leaving);
    this->server_names[item.key] = server->server.name;
    this->registry.put(*server);
    // The registry, not the item, says whether the server leaves: a run that is
    // marked as leaving may still be announced as ready at each heartbeat.
    const bool leaving = this->registry.find(server->server.name)->leaving;
    if (left_before != leaving && !this->in_first_listing)
    {
        log::write(log::level::info,
                   leaving ? "server_leaving" : "server_announced",
                   {log::kv("server", server->server.name),
                    log::kv("service", server->service),
                    log::kv("revision", core::format_position(item.position))});
    }
}

// Whether items may have been removed after the position without becoming known
// here.
bool published::may_lack_removal_after(
    const core::source_position& position) const
{
    return position < this->removals_since || this->gap.contains(position);
}

bool published::is_other_era(
    const core::source_position& position) const noexcept
{
    return this->current.revision > 0 && position.era != this->current.era;
}

// Whether the source has come back from a copy since what is known here. The
// first era that is learned is no return: peers of an earlier release state
// none.
bool published::is_return(const core::source_position& position) const noexcept
{
    return this->current.revision > 0 && this->current.era > 0 &&
           position.era > this->current.era;
}

// Whether the item has been removed after it was written, as far as removals
// are kept. `as_of` is the position at which its sender had it.
bool published::is_removed(const published_item& item,
                           const core::item_state& state,
                           const core::source_position& as_of,
                           core::time_point now)
{
    const auto found = this->removals.find(item.key);
    if (found == this->removals.end())
    {
        return false;
    }
    removal& removed = found->second;
    const core::source_position& removed_at = removed.state.position;
    if (removed_at.era == state.position.era)
    {
        return removed_at > state.position &&
               (!removed.inferred || removed_at > as_of);
    }
    if (!core::is_ended_by(state, removed.state))
    {
        return false;
    }
    if (removed_at.era > state.position.era)
    {
        return true;
    }
    // An instance that lacked the item may have been wrong about this version
    // of it, but an earlier one is out of date in any case.
    const bool is_certain =
        !this->may_have_lapsed(item.key, removed) &&
        (!removed.inferred || state.version < removed.state.version);
    const bool holds = removed.had_left || is_certain;
    if (holds)
    {
        this->carry(removed, item.value, now);
    }
    return holds;
}

// Stores and applies an item; true if its position is new. Within an era, an
// item of the stored revision is applied again only if it announces a server. A
// listing may be older than a removal that has come from another instance.
bool published::store(const published_item& item,
                      const core::source_position& as_of,
                      core::time_point now)
{
    const auto held = this->items.find(item.key);
    const bool is_held = held != this->items.end();
    const core::source_position held_at =
        is_held ? held->second.state.position : core::source_position();
    const bool same_position = is_held && item.position == held_at;
    const bool is_older =
        item.position.era == held_at.era &&
        (item.position < held_at ||
         (same_position && !this->server_names.contains(item.key)));
    if (is_held && is_older)
    {
        if (item.value != held->second.value)
        {
            log_passed_over(item, held_at);
        }
        return false;
    }
    parsed_item meaning = this->read_item(item, now);
    const core::item_state state{item.position, version_of(meaning)};
    if (!is_held && this->is_removed(item, state, as_of, now))
    {
        ++this->counts.items_outdated;
        return false;
    }
    if (is_held && !same_position && !core::is_newer(state, held->second.state))
    {
        log_passed_over(item, held_at);
        return false;
    }
    this->items[item.key] = {item.value, state,
                             std::holds_alternative<parsed_document>(meaning)};
    this->removals.erase(item.key);
    this->lapsing_servers.erase(item.key);
    this->apply_item(item, std::move(meaning), now);
    return !same_position;
}

void published::raise_position(const core::source_position& position,
                               core::time_point now)
{
    if (position > this->current)
    {
        this->current = position;
        this->raised_at = now;
    }
}

// Keeps the newest removals. The oldest one is dropped first.
void published::record_removal(const std::string& key, const removal& removed)
{
    removal& last = this->removals[key];
    const core::content_version version =
        std::max(last.state.version, removed.state.version);
    const bool had_left =
        removed.had_left ||
        (last.had_left && removed.state.version <= last.state.version);
    const bool is_same = removed.state.position == last.state.position;
    const bool lapsed = removed.lapsed || (is_same && last.lapsed);
    if (removed.state.position >= last.state.position)
    {
        last = removed;
        last.lapsed = lapsed;
    }
    last.state.version = version;
    last.had_left = had_left;
    if (this->removals.size() <= max_removals)
    {
        return;
    }
    // Those that are carried are needed for longest.
    const auto oldest =
        std::min_element(this->removals.begin(), this->removals.end(),
                         [](const auto& left, const auto& right)
                         {
                             return std::pair(left.second.is_carried,
                                              left.second.state.position) <
                                    std::pair(right.second.is_carried,
                                              right.second.state.position);
                         });
    this->removals_since =
        std::max(this->removals_since, oldest->second.state.position);
    this->removals.erase(oldest);
}

// Removes an item and records the removal: for other instances, and because an
// older state that still has the item may come later. Returns false if there is
// no such item or it is newer than the removal.
bool published::remove(const std::string& key,
                       const removal& removed,
                       core::removal_kind kind,
                       core::time_point now)
{
    removal recorded = removed;
    recorded.lapsed = kind == core::removal_kind::lapsed;
    const auto it = this->items.find(key);
    if (it == this->items.end())
    {
        this->record_removal(key, recorded);
        return false;
    }
    if (!core::is_ended_by(it->second.state, removed.state))
    {
        return false;
    }
    recorded.state.version =
        std::max(removed.state.version, it->second.state.version);
    const auto server = this->server_names.find(key);
    if (server != this->server_names.end())
    {
        const core::announced_server* known =
            this->registry.find(server->second);
        recorded.had_left = known != nullptr && known->leaving;
    }
    this->record_removal(key, recorded);
    this->items.erase(it);
    if (server != this->server_names.end())
    {
        const bool lapsed = kind == core::removal_kind::lapsed;
        log::write(log::level::info, "server_removed",
                   {log::kv("server", server->second),
                    log::kv("lapsed", lapsed),
                    log::kv("inferred", removed.inferred),
                    log::kv("revision",
                            core::format_position(removed.state.position))});
        this->registry.remove(server->second, kind, now);
        if (lapsed)
        {
            this->lapsing_servers[key] = server->second;
        }
        this->server_names.erase(server);
    }
    return true;
}

// Whether the item has lapsed and its server is in its grace period.
bool published::is_lapsing(const std::string& key) const
{
    const auto found = this->lapsing_servers.find(key);
    return found != this->lapsing_servers.end() &&
           this->registry.find(found->second) != nullptr;
}

// A live server whose announcements were lost announces itself again within the
// grace period.
bool published::may_have_lapsed(const std::string& key,
                                const removal& removed) const
{
    return removed.lapsed && this->is_lapsing(key);
}

// Forgets servers whose grace period has ended.
void published::end_lapses()
{
    std::erase_if(this->lapsing_servers,
                  [this](const auto& lapsing)
                  {
                      return this->registry.find(lapsing.second) == nullptr;
                  });
}

// What was written and removed between the positions is not known. In a new era
// nothing is known before the first list.
void published::add_gap(core::source_position from,
                        const core::source_position& to)
{
    if (from.era != to.era)
    {
        from = {to.era, 0};
    }
    if (from.revision + 1 >= to.revision)
    {
        return;
    }
    this->removals_since = std::max(this->removals_since, this->gap.to);
    this->gap = {from, to};
}

void published::begin_era(const core::source_position& position,
                          core::time_point now)
{
    ++this->counts.eras_begun;
    this->era_begin = now;
    this->ended_removals.clear();
    log::write(log::level::warning, "source_came_back_older",
               {log::kv("known", core::format_position(this->current)),
                log::kv("listed", core::format_position(position))});
}

// Makes the items those of a list of the position of `missing`. Newer ones
// stay: they may have come from another instance, or be from an earlier era and
// not in the copy that the source has come back from. True if an item changed.
bool published::replace_items(const std::vector<published_item>& listed,
                              const std::set<std::string>& listed_keys,
                              const removal& missing,
                              const missing_kind& kind_of,
                              core::time_point now)
{
    this->end_lapses();
    const core::source_position& position = missing.state.position;
    if (this->is_return(position))
    {
        this->begin_era(position, now);
    }
    bool has_changes = false;
    // One line instead of one for each server: all instances list all servers.
    this->in_first_listing = this->current.revision == 0;
    for (const published_item& item : listed)
    {
        has_changes |= this->store(item, position, now);
    }
    if (this->in_first_listing)
    {
        log::write(log::level::info, "servers_listed",
                   {log::kv("servers", this->registry.all().size()),
                    log::kv("revision", core::format_position(position))});
        this->in_first_listing = false;
    }
    std::vector<std::string> missing_keys;
    for (const auto& [key, stored] : this->items)
    {
        const core::source_position& stored_at = stored.state.position;
        // A document stays in force until the next one, even if the source has
        // come back from a copy without any.
        const bool stays = stored_at > position ||
                           (stored.is_document && stored_at.era < position.era);
        if (!listed_keys.contains(key) && !stays)
        {
            missing_keys.push_back(key);
        }
    }
    for (const std::string& key : missing_keys)
    {
        has_changes |= this->remove(key, missing, kind_of(key), now);
    }
    this->end_carried_removals(listed_keys, missing);
    this->add_gap(this->current, position);
    this->raise_position(position, now);
    return has_changes;
}

bool published::apply_listing(const source_listing& listing,
                              core::time_point now)
{
    // The source answers with its state at the time of the call or a later one.
    // If it had less than was known before the call, it has gone back to an
    // older state, and what it lists now is not outdated.
    const core::source_position& position = listing.position;
    const bool has_gone_back = position.era == listing.known_before.era &&
                               position < listing.known_before;
    const bool is_earlier_era = position.era < this->current.era;
    const bool is_return = this->is_return(position);
    if (is_earlier_era ||
        (!has_gone_back && this->may_lack_removal_after(position)))
    {
        ++this->counts.listings_outdated;
        log::write(log::level::info, "listing_outdated",
                   {log::kv("revision", core::format_position(position)),
                    log::kv("known_before",
                            core::format_position(listing.known_before)),
                    log::kv("known", core::format_position(this->current))});
        return false;
    }
    std::set<std::string> listed_keys;
    for (const published_item& item : listing.items)
    {
        listed_keys.insert(item.key);
    }
    // A server that the copy has not got may announce itself again.
    const auto kind_of = [&listing, is_return](const std::string&)
    {
        return is_return ? core::removal_kind::lapsed : listing.missing;
    };
    if (this->replace_items(listing.items, listed_keys, {{position, {}}},
                            kind_of, now))
    {
        this->notify_change();
    }
    return true;
}

// Applies changes up to the position `last`. Outdated ones bring no item that
// is not held.
bool published::apply_each(const std::vector<published_item>& changes,
                           const core::source_position& last,
                           bool outdated,
                           core::time_point now)
{
    this->end_lapses();
    bool has_changes = false;
    for (const published_item& item : changes)
    {
        if (item.removed)
        {
            has_changes |= this->remove(
                item.key, {{item.position, item.version}, item.inferred},
                item.removal, now);
        }
        else if (outdated && !this->items.contains(item.key))
        {
            ++this->counts.items_outdated;
        }
        else
        {
            has_changes |= this->store(item, last, now);
        }
    }
    return has_changes;
}

void published::apply_changes(const std::vector<published_item>& changes,
                              const core::source_position& last,
                              core::time_point now)
{
    if (this->current.revision > 0 && last.era != this->current.era)
    {
        this->counts.items_outdated += changes.size();
        return;
    }
    // The answer may have been late, or may be a second one. What it tells of
    // items that are not held may then be outdated.
    const bool outdated = this->may_lack_removal_after(last);
    const bool has_changes = this->apply_each(changes, last, outdated, now);
    this->raise_position(last, now);
    if (has_changes)
    {
        this->notify_change();
    }
}

std::string published::text_since(const core::source_position& position) const
{
    // Some removals in the gap are not known: the changes begin before it.
    const core::source_position since =
        this->gap.contains(position) ? this->gap.from : position;
    published_text text;
    text.position = this->current;
    text.carried = this->carried_items();
    text.complete = since.era != this->current.era || since.revision == 0 ||
                    since < this->removals_since;
    for (const auto& [key, stored] : this->items)
    {
        const core::source_position& stored_at = stored.state.position;
        if (stored_at.era == this->current.era &&
            (text.complete || stored_at > since))
        {
            text.items.push_back({key, stored.value, stored_at});
        }
    }
    if (text.complete)
    {
        for (const auto& [key, server] : this->lapsing_servers)
        {
            if (this->is_lapsing(key))
            {
                text.lapsed.insert(key);
            }
        }
        for (const auto& [key, removed] : this->removals)
        {
            const bool of_this_era =
                removed.state.position.era == this->current.era;
            if (this->current.era != 0 && of_this_era &&
                !this->may_have_lapsed(key, removed))
            {
                text.gone.insert(key);
            }
        }
        return format_published_text(text);
    }
    if (since < this->gap.to)
    {
        text.gap = this->gap;
    }
    for (const auto& [key, removed] : this->removals)
    {
        const core::source_position& removed_at = removed.state.position;
        if (removed_at > since)
        {
            const core::removal_kind kind = this->is_lapsing(key)
                                                ? core::removal_kind::lapsed
                                                : core::removal_kind::certain;
            text.items.push_back(
                {key, "", removed_at, true, kind, removed.inferred});
        }
    }
    return format_published_text(text);
}

// Removes items that were written in the sender's gap and that it lacks: it has
// not seen them, so it cannot name them.
bool published::remove_lost_in(const published_text& text, core::time_point now)
{
    std::set<std::string> passed_on;
    for (const published_item& item : text.items)
    {
        // A removal may be an earlier one.
        if (!item.removed)
        {
            passed_on.insert(item.key);
        }
    }
    std::vector<std::string> lost;
    for (const auto& [key, stored] : this->items)
    {
        const core::source_position& stored_at = stored.state.position;
        const bool in_gap =
            stored_at > text.gap.from && stored_at <= text.gap.to;
        if (in_gap && !passed_on.contains(key))
        {
            lost.push_back(key);
        }
    }
    const removal missing{{text.gap.to, {}}, true};
    for (const std::string& key : lost)
    {
        this->remove(key, missing, core::removal_kind::certain, now);
    }
    return !lost.empty();
}

bool published::apply_peer_list(const published_text& text,
                                core::time_point now)
{
    std::set<std::string> listed_keys;
    for (const auto* part : {&text.items, &text.carried})
    {
        for (const published_item& item : *part)
        {
            listed_keys.insert(item.key);
        }
    }
    // After a return, an item that the sender has not removed may be one that
    // it never had and that the copy lacks.
    const bool is_return = this->is_return(text.position);
    const auto kind_of = [&text, is_return](const std::string& key)
    {
        const bool may_live = text.lapsed.contains(key) ||
                              (is_return && !text.gone.contains(key));
        return may_live ? core::removal_kind::lapsed
                        : core::removal_kind::certain;
    };
    return this->replace_items(text.items, listed_keys,
                               {{text.position, {}}, true}, kind_of, now);
}

bool published::apply_peer_changes(const published_text& text,
                                   core::time_point now)
{
    bool has_changes = false;
    if (this->current < text.gap.to)
    {
        has_changes = this->remove_lost_in(text, now);
        this->add_gap(std::max(text.gap.from, this->current), text.gap.to);
    }
    has_changes |= this->apply_each(text.items, text.position, false, now);
    this->raise_position(text.position, now);
    return has_changes;
}

std::error_code published::apply_text(std::string_view text,
                                      core::time_point now)
{
    const auto parsed = parse_published_text(text);
    if (!parsed)
    {
        return parsed.error();
    }
    const core::source_position& position = parsed->position;
    if (position < this->current)
    {
        return {};
    }
    if (!core::is_plausible_era(position.era, this->current.era))
    {
        return core::make_error_code(core::result_code::peer_message_invalid);
    }
    // Changes of another era say nothing without its list, nor do those that
    // have skipped what became of the items whose removals are carried over.
    const bool skips_changes =
        this->current < parsed->gap.to && this->carries_removals();
    if (!parsed->complete && (this->is_other_era(position) || skips_changes))
    {
        return {};
    }
    bool has_changes = false;
    if (position > this->current)
    {
        has_changes = parsed->complete ? this->apply_peer_list(*parsed, now)
                                       : this->apply_peer_changes(*parsed, now);
    }
    has_changes |= this->apply_carried(parsed->carried, now);
    if (has_changes)
    {
        this->notify_change();
    }
    return {};
}

} // namespace medlarbarrow::net
