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

// Parses an item and applies its document or server. A server that the item
// announced before is removed, unless the item announces it again.
void published::apply_item(const published_item& item, core::time_point now)
{
    parsed_item meaning = this->read_item(item, now);
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
                    log::kv("revision", item.revision),
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
                    log::kv("revision", item.revision)});
    }
}

// Whether items may have been removed after the revision without becoming known
// here.
bool published::may_lack_removal_after(std::uint64_t revision) const
{
    return revision < this->removals_since || this->gap.contains(revision);
}

// Whether the item has been removed after its revision, as far as removals are
// kept. `as_of` is the revision at which its sender had it.
bool published::is_removed(const published_item& item,
                           std::uint64_t as_of) const
{
    const auto found = this->removals.find(item.key);
    if (found == this->removals.end())
    {
        return false;
    }
    const removal& removed = found->second;
    return removed.revision > item.revision &&
           (!removed.inferred || removed.revision > as_of);
}

// Stores and applies an item; true if its revision is new. An item of the
// stored revision is applied again only if it announces a server. A listing may
// be older than a removal that has come from another instance.
bool published::store(const published_item& item,
                      std::uint64_t as_of,
                      core::time_point now)
{
    if (!this->items.contains(item.key) && this->is_removed(item, as_of))
    {
        ++this->counts.items_outdated;
        return false;
    }
    stored_item& stored = this->items[item.key];
    if (item.revision < stored.revision ||
        (item.revision == stored.revision && stored.revision != 0 &&
         !this->server_names.contains(item.key)))
    {
        if (item.value != stored.value)
        {
            log::write(log::level::info, "item_passed_over",
                       {log::kv("key", item.key),
                        log::kv("revision", item.revision),
                        log::kv("held", stored.revision)});
        }
        return false;
    }
    const bool same_revision = item.revision == stored.revision;
    stored = {item.value, item.revision};
    this->removals.erase(item.key);
    this->lapsing_servers.erase(item.key);
    this->apply_item(item, now);
    return !same_revision;
}

void published::raise_revision(std::uint64_t revision, core::time_point now)
{
    if (revision > this->current_revision)
    {
        this->current_revision = revision;
        this->raised_at = now;
    }
}

// Keeps the newest removals. The oldest one is dropped first.
void published::record_removal(const std::string& key, const removal& removed)
{
    removal& last = this->removals[key];
    if (removed.revision >= last.revision)
    {
        last = removed;
    }
    if (this->removals.size() <= max_removals)
    {
        return;
    }
    const auto oldest = std::min_element(
        this->removals.begin(), this->removals.end(),
        [](const auto& left, const auto& right)
        {
            return left.second.revision < right.second.revision;
        });
    this->removals_since =
        std::max(this->removals_since, oldest->second.revision);
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
    const auto it = this->items.find(key);
    if (it != this->items.end() && it->second.revision > removed.revision)
    {
        return false;
    }
    this->record_removal(key, removed);
    if (it == this->items.end())
    {
        return false;
    }
    this->items.erase(it);
    const auto server = this->server_names.find(key);
    if (server != this->server_names.end())
    {
        const bool lapsed = kind == core::removal_kind::lapsed;
        log::write(log::level::info, "server_removed",
                   {log::kv("server", server->second),
                    log::kv("lapsed", lapsed),
                    log::kv("inferred", removed.inferred),
                    log::kv("revision", removed.revision)});
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

// Forgets servers whose grace period has ended.
void published::end_lapses()
{
    std::erase_if(this->lapsing_servers,
                  [this](const auto& lapsing)
                  {
                      return this->registry.find(lapsing.second) == nullptr;
                  });
}

// What was written and removed between the revisions is not known.
void published::add_gap(std::uint64_t from, std::uint64_t to)
{
    if (from + 1 >= to)
    {
        return;
    }
    this->removals_since = std::max(this->removals_since, this->gap.to);
    this->gap = {from, to};
}

// Makes the items those of a list of the revision `missing.revision`. Newer
// ones stay: they may have come from another instance. True if an item changed.
bool published::replace_items(const std::vector<published_item>& listed,
                              const removal& missing,
                              const missing_kind& kind_of,
                              core::time_point now)
{
    this->end_lapses();
    std::set<std::string> listed_keys;
    bool has_changes = false;
    // One line instead of one for each server: all instances list all servers.
    this->in_first_listing = this->current_revision == 0;
    for (const published_item& item : listed)
    {
        listed_keys.insert(item.key);
        has_changes |= this->store(item, missing.revision, now);
    }
    if (this->in_first_listing)
    {
        log::write(log::level::info, "servers_listed",
                   {log::kv("servers", this->registry.all().size()),
                    log::kv("revision", missing.revision)});
        this->in_first_listing = false;
    }
    std::vector<std::string> missing_keys;
    for (const auto& [key, stored] : this->items)
    {
        if (!listed_keys.contains(key) && stored.revision <= missing.revision)
        {
            missing_keys.push_back(key);
        }
    }
    for (const std::string& key : missing_keys)
    {
        has_changes |= this->remove(key, missing, kind_of(key), now);
    }
    this->add_gap(this->current_revision, missing.revision);
    this->raise_revision(missing.revision, now);
    return has_changes;
}

bool published::apply_listing(const source_listing& listing,
                              core::time_point now)
{
    // The source answers with its state at the time of the call or a later one.
    // If it had less than was known before the call, it has gone back to an
    // older state, and what it lists now is not outdated.
    const bool has_gone_back = listing.revision < listing.known_before;
    if (!has_gone_back && this->may_lack_removal_after(listing.revision))
    {
        ++this->counts.listings_outdated;
        log::write(log::level::info, "listing_outdated",
                   {log::kv("revision", listing.revision),
                    log::kv("known_before", listing.known_before),
                    log::kv("known", this->current_revision)});
        return false;
    }
    const auto kind_of = [&listing](const std::string&)
    {
        return listing.missing;
    };
    if (this->replace_items(listing.items, {listing.revision, false}, kind_of,
                            now))
    {
        this->notify_change();
    }
    return true;
}

// Applies changes up to the revision. Outdated ones bring no item that is not
// held.
bool published::apply_each(const std::vector<published_item>& changes,
                           std::uint64_t revision,
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
                item.key, {item.revision, item.inferred}, item.removal, now);
        }
        else if (outdated && !this->items.contains(item.key))
        {
            ++this->counts.items_outdated;
        }
        else
        {
            has_changes |= this->store(item, revision, now);
        }
    }
    return has_changes;
}

void published::apply_changes(const std::vector<published_item>& changes,
                              std::uint64_t revision,
                              core::time_point now)
{
    // The answer may have been late, or may be a second one. What it tells of
    // items that are not held may then be outdated.
    const bool outdated = this->may_lack_removal_after(revision);
    const bool has_changes = this->apply_each(changes, revision, outdated, now);
    this->raise_revision(revision, now);
    if (has_changes)
    {
        this->notify_change();
    }
}

std::string published::text_since(std::uint64_t revision) const
{
    // Some removals in the gap are not known: the changes begin before it.
    const std::uint64_t since =
        this->gap.contains(revision) ? this->gap.from : revision;
    published_text text;
    text.revision = this->current_revision;
    text.complete = since == 0 || since < this->removals_since;
    for (const auto& [key, stored] : this->items)
    {
        if (text.complete || stored.revision > since)
        {
            text.items.push_back({key, stored.value, stored.revision});
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
        return format_published_text(text);
    }
    if (since < this->gap.to)
    {
        text.gap = this->gap;
    }
    for (const auto& [key, removed] : this->removals)
    {
        if (removed.revision > since)
        {
            const core::removal_kind kind = this->is_lapsing(key)
                                                ? core::removal_kind::lapsed
                                                : core::removal_kind::certain;
            text.items.push_back(
                {key, "", removed.revision, true, kind, removed.inferred});
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
        const bool in_gap =
            stored.revision > text.gap.from && stored.revision <= text.gap.to;
        if (in_gap && !passed_on.contains(key))
        {
            lost.push_back(key);
        }
    }
    const removal missing{text.gap.to, true};
    for (const std::string& key : lost)
    {
        this->remove(key, missing, core::removal_kind::certain, now);
    }
    return !lost.empty();
}

bool published::apply_peer_list(const published_text& text,
                                core::time_point now)
{
    const auto kind_of = [&text](const std::string& key)
    {
        return text.lapsed.contains(key) ? core::removal_kind::lapsed
                                         : core::removal_kind::certain;
    };
    return this->replace_items(text.items, {text.revision, true}, kind_of, now);
}

bool published::apply_peer_changes(const published_text& text,
                                   core::time_point now)
{
    bool has_changes = false;
    if (this->current_revision < text.gap.to)
    {
        has_changes = this->remove_lost_in(text, now);
        this->add_gap(std::max(text.gap.from, this->current_revision),
                      text.gap.to);
    }
    has_changes |= this->apply_each(text.items, text.revision, false, now);
    this->raise_revision(text.revision, now);
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
    if (parsed->revision <= this->current_revision)
    {
        return {};
    }
    const bool has_changes = parsed->complete
                                 ? this->apply_peer_list(*parsed, now)
                                 : this->apply_peer_changes(*parsed, now);
    if (has_changes)
    {
        this->notify_change();
    }
    return {};
}

} // namespace medlarbarrow::net
