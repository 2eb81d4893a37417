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

/// Removals kept for instances that lag behind; beyond them these get a
/// complete listing.
constexpr std::size_t kept_removals = 256;

} // namespace

published::published(item_reader reader, std::function<void()> on_change)
    : read(std::move(reader)), changed(std::move(on_change))
{
}

// Versions only rise within one start of an instance: an older document never
// replaces the one in force.
void published::use_document(std::shared_ptr<const core::document> next)
{
    if (this->current && next->version <= this->current->version)
    {
        if (next->version < this->current->version)
        {
            log::write(log::level::warning, "document_refused",
                       {log::kv("reason", "older than the one in force"),
                        log::kv("version", next->version),
                        log::kv("in_force", this->current->version)});
        }
        return;
    }
    log::write(log::level::info, "document_in_force",
               {log::kv("version", next->version),
                log::kv("before", this->current ? this->current->version : 0),
                log::kv("routes", next->routes.size()),
                log::kv("accounts", next->accounts.size())});
    this->current = std::move(next);
}

void published::use(const published_item& item, core::time_point now)
{
    item_meaning meaning = this->read(item, now);
    if (auto* next =
            std::get_if<std::shared_ptr<const core::document>>(&meaning))
    {
        this->use_document(std::move(*next));
        return;
    }
    if (const auto* bad = std::get_if<unreadable_item>(&meaning))
    {
        log::write(log::level::warning, "item_unreadable",
                   {log::kv("key", item.key),
                    log::kv("revision", item.revision),
                    log::kv("reason", bad->reason)});
    }
    const auto* server = std::get_if<core::announced_server>(&meaning);
    const auto before = this->server_of.find(item.key);
    if (before != this->server_of.end() &&
        (server == nullptr || before->second != server->server.name))
    {
        this->registry.remove(before->second, core::removal_kind::certain, now);
        this->server_of.erase(before);
    }
    if (server == nullptr)
    {
        return;
    }
    const core::announced_server* known =
        this->registry.find(server->server.name);
    const bool news = known == nullptr || known->leaving != server->leaving;
    if (news)
    {
        log::write(log::level::info,
                   server->leaving ? "server_leaving" : "server_announced",
                   {log::kv("server", server->server.name),
                    log::kv("service", server->service),
                    log::kv("revision", item.revision)});
    }
    this->server_of[item.key] = server->server.name;
    this->registry.put(*server);
}

bool published::take(const published_item& item, core::time_point now)
{
    stored& held = this->items[item.key];
    if (item.revision < held.revision ||
        (item.revision == held.revision && held.revision != 0 &&
         !this->server_of.contains(item.key)))
    {
        return false;
    }
    const bool same = item.revision == held.revision;
    held = {item.value, item.revision};
    this->use(item, now);
    return !same;
}

void published::rise_to(std::uint64_t revision, core::time_point now)
{
    if (revision > this->at)
    {
        this->at = revision;
        this->risen = now;
    }
}

bool published::drop(const std::string& key,
                     std::uint64_t revision,
                     core::removal_kind how,
                     core::time_point now)
{
    const auto found = this->items.find(key);
    if (found == this->items.end() || found->second.revision > revision)
    {
        return false;
    }
    this->items.erase(found);
    this->removals.push_back({key, revision, how});
    if (this->removals.size() > kept_removals)
    {
        this->known_from = this->removals.front().revision;
        this->removals.erase(this->removals.begin());
    }
    const auto server = this->server_of.find(key);
    if (server != this->server_of.end())
    {
        log::write(log::level::info, "server_removed",
                   {log::kv("server", server->second),
                    log::kv("lapsed", how == core::removal_kind::lapsed),
                    log::kv("revision", revision)});
        this->registry.remove(server->second, how, now);
        this->server_of.erase(server);
    }
    return true;
}

void published::take_listing(const std::vector<published_item>& listing,
                             std::uint64_t revision,
                             core::removal_kind missing,
                             core::time_point now)
{
    std::set<std::string> listed;
    bool news = false;
    for (const published_item& item : listing)
    {
        listed.insert(item.key);
        news |= this->take(item, now);
    }
    std::vector<std::string> gone;
    for (const auto& [key, held] : this->items)
    {
        // Something newer than the listing may have come from a peer.
        if (!listed.contains(key) && held.revision <= revision)
        {
            gone.push_back(key);
        }
    }
    for (const std::string& key : gone)
    {
        news |= this->drop(key, revision, missing, now);
    }
    if (this->at == 0)
    {
        this->known_from = revision;
    }
    this->rise_to(revision, now);
    if (news)
    {
        this->changed();
    }
}

void published::take_changes(const std::vector<published_item>& changes,
                             std::uint64_t revision,
                             core::time_point now)
{
    bool news = false;
    for (const published_item& item : changes)
    {
        news |= item.removed
                    ? this->drop(item.key, item.revision, item.removal, now)
                    : this->take(item, now);
    }
    this->rise_to(revision, now);
    if (news)
    {
        this->changed();
    }
}

std::string published::text_since(std::uint64_t revision) const
{
    const bool complete = revision == 0 || revision < this->known_from;
    json changes = json::array();
    for (const auto& [key, held] : this->items)
    {
        if (complete || held.revision > revision)
        {
            changes.push_back(json::array({key, held.revision, held.value}));
        }
    }
    if (!complete)
    {
        for (const removed_item& item : this->removals)
        {
            if (item.revision > revision)
            {
                const bool lapsed = item.how == core::removal_kind::lapsed;
                changes.push_back(
                    json::array({item.key, item.revision, lapsed}));
            }
        }
    }
    const json text{
        {"at", this->at}, {"complete", complete}, {"changes", changes}};
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::error_code published::take_text(std::string_view text,
                                     core::time_point now)
{
    std::vector<published_item> changes;
    std::uint64_t revision = 0;
    bool complete = false;
    // The library reports wrong types and missing members by exceptions.
    try
    {
        const json in = json::parse(text);
        revision = in.at("at").get<std::uint64_t>();
        complete = in.at("complete").get<bool>();
        for (const json& item : in.at("changes"))
        {
            published_item change;
            change.key = item.at(0).get<std::string>();
            change.revision = item.at(1).get<std::uint64_t>();
            // The third element is the value, or whether a removed item may
            // only have lapsed.
            const json& last = item.at(2);
            change.removed = last.is_boolean();
            if (change.removed)
            {
                change.removal = last.get<bool>() ? core::removal_kind::lapsed
                                                  : core::removal_kind::certain;
            }
            else
            {
                change.value = last.get<std::string>();
            }
            changes.push_back(std::move(change));
        }
    }
    catch (const std::exception&)
    {
        return core::make_error_code(core::result_code::peer_message_invalid);
    }
    if (revision <= this->at)
    {
        return {};
    }
    if (complete)
    {
        this->take_listing(changes, revision, core::removal_kind::certain, now);
    }
    else
    {
        this->take_changes(changes, revision, now);
    }
    return {};
}

} // namespace medlarbarrow::net
