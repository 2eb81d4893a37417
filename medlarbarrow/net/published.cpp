#include <algorithm>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/published.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace medlarbarrow::net
{

namespace
{

using nlohmann::json;

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

// Whether the item has been removed after its revision, as far as removals are
// kept.
bool published::is_removed(const published_item& item) const
{
    return std::any_of(this->removals.begin(), this->removals.end(),
                       [&item](const removed_item& removed)
                       {
                           return removed.key == item.key &&
                                  removed.revision > item.revision;
                       });
}

// Stores and applies an item; true if its revision is new. An item of the
// stored revision is applied again only if it announces a server. A listing may
// be older than a removal that has come from another instance.
bool published::store(const published_item& item, core::time_point now)
{
    if (!this->items.contains(item.key) && this->is_removed(item))
    {
        return false;
    }
    stored_item& stored = this->items[item.key];
    if (item.revision < stored.revision ||
        (item.revision == stored.revision && stored.revision != 0 &&
         !this->server_names.contains(item.key)))
    {
        return false;
    }
    const bool same_revision = item.revision == stored.revision;
    stored = {item.value, item.revision};
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

// Removes an item and records the removal for other instances. Returns false if
// there is no such item or it is newer than the removal.
bool published::remove(const std::string& key,
                       std::uint64_t revision,
                       core::removal_kind removal,
                       core::time_point now)
{
    const auto it = this->items.find(key);
    if (it == this->items.end() || it->second.revision > revision)
    {
        return false;
    }
    this->items.erase(it);
    this->removals.push_back({key, revision, removal});
    if (this->removals.size() > max_removals)
    {
        this->removals_since = this->removals.front().revision;
        this->removals.erase(this->removals.begin());
    }
    const auto server = this->server_names.find(key);
    if (server != this->server_names.end())
    {
        log::write(log::level::info, "server_removed",
                   {log::kv("server", server->second),
                    log::kv("lapsed", removal == core::removal_kind::lapsed),
                    log::kv("revision", revision)});
        this->registry.remove(server->second, removal, now);
        this->server_names.erase(server);
    }
    return true;
}

void published::apply_listing(const std::vector<published_item>& listing,
                              std::uint64_t revision,
                              core::removal_kind missing,
                              core::time_point now)
{
    std::set<std::string> listed_keys;
    bool has_changes = false;
    // One line instead of one for each server: all instances list all servers.
    this->in_first_listing = this->current_revision == 0;
    for (const published_item& item : listing)
    {
        listed_keys.insert(item.key);
        has_changes |= this->store(item, now);
    }
    if (this->in_first_listing)
    {
        log::write(log::level::info, "servers_listed",
                   {log::kv("servers", this->registry.all().size()),
                    log::kv("revision", revision)});
        this->in_first_listing = false;
    }
    std::vector<std::string> missing_keys;
    for (const auto& [key, stored] : this->items)
    {
        // Items that are newer than the listing may have come from a peer.
        if (!listed_keys.contains(key) && stored.revision <= revision)
        {
            missing_keys.push_back(key);
        }
    }
    for (const std::string& key : missing_keys)
    {
        has_changes |= this->remove(key, revision, missing, now);
    }
    if (this->current_revision == 0)
    {
        this->removals_since = revision;
    }
    this->raise_revision(revision, now);
    if (has_changes)
    {
        this->notify_change();
    }
}

void published::apply_changes(const std::vector<published_item>& changes,
                              std::uint64_t revision,
                              core::time_point now)
{
    bool has_changes = false;
    for (const published_item& item : changes)
    {
        has_changes |= item.removed ? this->remove(item.key, item.revision,
                                                   item.removal, now)
                                    : this->store(item, now);
    }
    this->raise_revision(revision, now);
    if (has_changes)
    {
        this->notify_change();
    }
}

std::string published::text_since(std::uint64_t revision) const
{
    const bool complete = revision == 0 || revision < this->removals_since;
    json changes = json::array();
    for (const auto& [key, stored] : this->items)
    {
        if (complete || stored.revision > revision)
        {
            changes.push_back(
                json::array({key, stored.revision, stored.value}));
        }
    }
    if (!complete)
    {
        for (const removed_item& item : this->removals)
        {
            if (item.revision > revision)
            {
                const bool lapsed = item.removal == core::removal_kind::lapsed;
                changes.push_back(
                    json::array({item.key, item.revision, lapsed}));
            }
        }
    }
    const json text{{"at", this->current_revision},
                    {"complete", complete},
                    {"changes", changes}};
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::error_code published::apply_text(std::string_view text,
                                      core::time_point now)
{
    std::vector<published_item> changes;
    std::uint64_t revision = 0;
    bool complete = false;
    // nlohmann::json reports wrong types and missing members by exceptions.
    try
    {
        const json parsed = json::parse(text);
        revision = parsed.at("at").get<std::uint64_t>();
        complete = parsed.at("complete").get<bool>();
        for (const json& item : parsed.at("changes"))
        {
            published_item change;
            change.key = item.at(0).get<std::string>();
            change.revision = item.at(1).get<std::uint64_t>();
            // The third element is the value; for a removed item, it is true
            // if the item may only have lapsed.
            const json& value_or_lapsed = item.at(2);
            change.removed = value_or_lapsed.is_boolean();
            if (change.removed)
            {
                change.removal = value_or_lapsed.get<bool>()
                                     ? core::removal_kind::lapsed
                                     : core::removal_kind::certain;
            }
            else
            {
                change.value = value_or_lapsed.get<std::string>();
            }
            changes.push_back(std::move(change));
        }
    }
    catch (const std::exception&)
    {
        return core::make_error_code(core::result_code::peer_message_invalid);
    }
    if (revision <= this->current_revision)
    {
        return {};
    }
    if (complete)
    {
        this->apply_listing(changes, revision, core::removal_kind::certain,
                            now);
    }
    else
    {
        this->apply_changes(changes, revision, now);
    }
    return {};
}

} // namespace medlarbarrow::net
