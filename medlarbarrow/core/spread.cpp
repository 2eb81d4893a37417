#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/spread.hpp>
#include <set>

namespace medlarbarrow::core
{

namespace
{

using namespace std::chrono_literals;

/// Instances of each data centre that watch the platform.
constexpr std::size_t watchers_per_data_centre = 2;

/// Neighbours on each side in the order of the data centre. An instance gets
/// heartbeats from its predecessors only. It can therefore detect that a
/// watcher is silent if it is at most this far down the order, at a cost that
/// does not depend on the size of the fleet.
constexpr std::size_t neighbours_per_side = 4;

/// Random further peers that get heartbeats; they connect the data centres.
constexpr std::size_t gossip_peer_count = 2;
constexpr duration gossip_period = 30s;

constexpr duration heartbeat_period = 2s;

/// Heartbeat period of an instance that has no document yet.
constexpr duration joining_heartbeat_period = 500ms;
constexpr duration silence_timeout = 7s;        ///< three lost heartbeats
constexpr duration seed_fallback_timeout = 10s; ///< no message: ask the seeds
constexpr duration joining_timeout = 3s;        ///< then it reads the platform

/// Two relay trees, so that one dead instance disconnects no other.
constexpr std::uint64_t relay_tree_count = 2;
constexpr std::size_t children_per_node = 4;

/// Instances at the top of each tree to which every watcher announces.
constexpr std::size_t roots_per_tree = 2;

constexpr duration min_reply_interval = 500ms;
constexpr duration pull_timeout = 1500ms;     ///< since the last value received
constexpr duration peer_avoidance_time = 10s; ///< after a failed pull
constexpr duration peer_retention = 60s;

constexpr std::size_t max_peers = 4096;
constexpr std::size_t max_transfers = 8;
constexpr unsigned max_served_per_second = 8; ///< documents and full lists
constexpr std::size_t max_bytes_per_tick = 256U << 10U;
constexpr std::size_t max_values = 16'384;
constexpr std::size_t max_document_bytes = 64U << 20U;
/// Document versions whose value digests are kept.
constexpr std::size_t max_kept_versions = 32;

/// Kinds of announcement; each has its own order of the relay trees.
constexpr std::uint64_t document_announcement = 0;
constexpr std::uint64_t list_announcement = 1;

/// Digests of all values of the document, by index.
std::vector<digest> digests_of(const raw_document& source)
{
    std::vector<digest> digests;
    digests.reserve(source.values.size());
    for (const std::string& value : source.values)
    {
        digests.push_back(digest_text(value, 0));
    }
    return digests;
}

/// Names sorted by descending rendezvous hash.
std::vector<std::string> in_hash_order(const std::vector<std::string>& names,
                                       std::uint64_t seed)
{
    std::vector<std::pair<std::uint64_t, const std::string*>> hashed;
    hashed.reserve(names.size());
    for (const std::string& name : names)
    {
        hashed.emplace_back(hash_text(name, seed), &name);
    }
    std::ranges::sort(hashed, std::greater<>());
    std::vector<std::string> ordered;
    ordered.reserve(names.size());
    for (const auto& [hash, name] : hashed)
    {
        ordered.push_back(*name);
    }
    return ordered;
}

} // namespace

spread::spread(spread_settings given, time_point start)
    : settings(std::move(given)), started(start),
      random(static_cast<std::minstd_rand::result_type>(
          hash_text(settings.self.name, settings.random_seed))),
      last_heard(start), next_heartbeat(start)
{
}

std::uint64_t spread::document_version() const
{
    return this->document ? this->document->version : 0;
}

std::uint64_t spread::list_version() const
{
    return this->list.version;
}

std::uint64_t spread::random_below(std::uint64_t bound)
{
    return std::uniform_int_distribution<std::uint64_t>(0, bound -
                                                               1)(this->random);
}

void spread::set_leaving()
{
    this->leaving = true;
}

hello spread::make_hello() const
{
    // Version 0 requests the full list after a difference that did not apply.
    return {this->settings.data_centre, this->document_version(),
            this->full_list_needed ? 0 : this->list.version, this->leaving};
}

void spread::send_hello(const std::string& to, outbox& out) const
{
    out.push_back({to, this->make_hello()});
}

// Records that a message has arrived and returns the peer's state. Returns null
// for a message of an older incarnation, and for a new peer when max_peers are
// known.
spread::peer_state* spread::record_message(const instance_id& from,
                                           time_point now)
{
    auto it = this->peers.find(from.name);
    if (it == this->peers.end())
    {
        if (this->peers.size() >= max_peers)
        {
            return nullptr;
        }
        it = this->peers.emplace(from.name, peer_state{}).first;
    }
    peer_state& peer = it->second;
    if (from.incarnation < peer.incarnation)
    {
        return nullptr;
    }
    if (from.incarnation > peer.incarnation)
    {
        peer = {};
        peer.incarnation = from.incarnation;
    }
    peer.last_heard = now;
    this->last_heard = now;
    return &peer;
}

// True if the peer is leaving or has sent nothing for silence_timeout, counted
// from when it became a neighbour at the earliest.
bool spread::is_silent(const std::string& name,
                       time_point neighbour_since,
                       time_point now) const
{
    const auto it = this->peers.find(name);
    if (it == this->peers.end())
    {
        return now - neighbour_since > silence_timeout;
    }
    const time_point silent_since =
        std::max(it->second.last_heard, neighbour_since);
    return it->second.leaving || now - silent_since > silence_timeout;
}

// The first two instances in the order of the data centre watch the platform.
// Any other instance watches when it hears from fewer than two of the up to
// four predecessors. Without faults it hears from all of them; when the
// watchers stop, the next instances in the order take over.
bool spread::should_watch(time_point now) const
{
    const bool joining =
        !this->document && now - this->started > joining_timeout;
    if (this->list.version == 0 || joining)
    {
        return true;
    }
    const auto heard_count = std::ranges::count_if(
        this->predecessors,
        [this, now](const auto& predecessor)
        {
            return !this->is_silent(predecessor.first, predecessor.second, now);
        });
    return static_cast<std::size_t>(heard_count) < watchers_per_data_centre;
}

// Determines the live instances and the neighbours from the list.
void spread::choose_neighbours(time_point now)
{
    std::vector<std::string> local_names{this->settings.self.name};
    this->live_instances.clear();
    for (const listed_instance& instance : this->list.instances)
    {
        if (instance.leaving || instance.name == this->settings.self.name)
        {
            continue;
        }
        this->live_instances.push_back(instance.name);
        if (instance.data_centre == this->settings.data_centre)
        {
            local_names.push_back(instance.name);
        }
    }
    const auto order =
        in_hash_order(local_names, hash_text(this->settings.data_centre));
    const auto own = std::ranges::find(order, this->settings.self.name);
    const auto rank = static_cast<std::size_t>(own - order.begin());
    const auto previous_predecessors = std::move(this->predecessors);
    this->predecessors.clear();
    for (std::size_t position = rank - std::min(rank, neighbours_per_side);
         position < rank; ++position)
    {
        const auto previous_entry = previous_predecessors.find(order[position]);
        this->predecessors.emplace(order[position],
                                   previous_entry == previous_predecessors.end()
                                       ? now
                                       : previous_entry->second);
    }
    const std::size_t end =
        std::min(order.size(), rank + 1 + neighbours_per_side);
    this->successors.assign(own + 1,
                            order.begin() + static_cast<std::ptrdiff_t>(end));
}

void spread::choose_gossip_peers(time_point now)
{
    this->gossip_peers.clear();
    this->next_gossip_choice = now + gossip_period;
    for (std::size_t count = 0;
         count < gossip_peer_count && !this->live_instances.empty(); ++count)
    {
        this->gossip_peers.push_back(this->live_instances[this->random_below(
            this->live_instances.size())]);
    }
}

// Sends hello to the children of this instance in the relay trees of the
// version; a watcher also sends it to the roots. The order of the trees depends
// on the version, so that the work of relaying moves around the fleet.
void spread::announce(std::uint64_t version,
                      std::uint64_t kind,
                      time_point now,
                      outbox& out) const
{
    std::set<std::string> targets;
    std::vector<std::string> names = this->live_instances;
    names.push_back(this->settings.self.name);
    const std::size_t roots = this->should_watch(now) ? roots_per_tree : 0;
    for (std::uint64_t tree = 0; tree < relay_tree_count; ++tree)
    {
        const auto order = in_hash_order(
            names, (version * 2 + kind) * relay_tree_count + tree + 1);
        const auto own_position = static_cast<std::size_t>(
            std::ranges::find(order, this->settings.self.name) - order.begin());
        for (std::size_t position = 0; position < std::min(roots, order.size());
             ++position)
        {
            targets.insert(order[position]);
        }
        const std::size_t first_child = own_position * children_per_node + 1;
        const std::size_t children_end =
            std::min(first_child + children_per_node, order.size());
        for (std::size_t position = first_child; position < children_end;
             ++position)
        {
            targets.insert(order[position]);
        }
    }
    targets.erase(this->settings.self.name);
    for (const std::string& target : targets)
    {
        this->send_hello(target, out);
    }
}

std::error_code spread::accept_document(
    std::shared_ptr<const raw_document> newer, time_point now, outbox& out)
{
    const bool from_peer = std::exchange(this->awaiting_check, false);
    this->unchecked_document.reset();
    if (newer->version <= this->document_version())
    {
        // Do not pull again at once from a peer that states a newer version
        // than it sends.
        if (from_peer)
        {
            this->avoid(this->unchecked_from, now);
        }
        return result_code::document_older;
    }
    this->document = std::move(newer);
    this->download.reset();
    this->full_pull_needed = false;
    this->value_digests[this->document->version] = digests_of(*this->document);
    if (this->value_digests.size() > max_kept_versions)
    {
        this->value_digests.erase(this->value_digests.begin());
    }
    this->announce(this->document->version, document_announcement, now, out);
    return {};
}

void spread::reject_document(time_point now)
{
    this->awaiting_check = false;
    this->unchecked_document.reset();
    this->full_pull_needed = true;
    this->avoid(this->unchecked_from, now);
}

void spread::avoid(const std::string& name, time_point now)
{
    if (const auto it = this->peers.find(name); it != this->peers.end())
    {
        it->second.avoided_until = now + peer_avoidance_time;
    }
}

std::error_code
spread::accept_list(const instance_list& newer, time_point now, outbox& out)
{
    if (newer.instances.empty())
    {
        return result_code::list_empty;
    }
    if (newer.version <= this->list.version)
    {
        return result_code::list_older;
    }
    this->apply_list(newer, now);
    this->announce(this->list.version, list_announcement, now, out);
    return {};
}

void spread::apply_list(instance_list newer, time_point now)
{
    if (this->list.version != 0)
    {
        this->history.add(this->list, newer);
    }
    this->list = std::move(newer);
    this->full_list_needed = false;
    this->choose_neighbours(now);
    this->choose_gossip_peers(now);
    this->remove_expired_peers(now);
    if (!this->document)
    {
        this->next_heartbeat = now;
    }
}

void spread::remove_expired_peers(time_point now)
{
    std::erase_if(this->peers,
                  [now](const auto& entry)
                  {
                      return now - entry.second.last_heard > peer_retention;
                  });
}

outbox
spread::receive(const instance_id& from, const hello& greeting, time_point now)
{
    outbox out;
    peer_state* peer = this->record_message(from, now);
    if (peer == nullptr)
    {
        return out;
    }
    peer->document_version = greeting.document_version;
    peer->leaving = greeting.leaving;
    this->newest_peer_version =
        std::max(this->newest_peer_version, greeting.document_version);
    this->compare_documents(from, *peer, greeting, now, out);
    this->compare_lists(from, *peer, greeting, now, out);
    return out;
}

void spread::compare_documents(const instance_id& from,
                               peer_state& peer,
                               const hello& greeting,
                               time_point now,
                               outbox& out)
{
    const std::uint64_t own_version = this->document_version();
    const bool busy = this->download || this->awaiting_check;
    if (greeting.document_version > own_version && !busy &&
        now >= peer.avoided_until)
    {
        this->start_pull(from.name, now, out);
    }
    else if (greeting.document_version < own_version && now >= peer.next_reply)
    {
        peer.next_reply = now + min_reply_interval;
        this->send_hello(from.name, out);
    }
}

// An instance requests a newer list by stating its own, older version. A peer
// that receives an older version sends its list.
void spread::compare_lists(const instance_id& from,
                           peer_state& peer,
                           const hello& greeting,
                           time_point now,
                           outbox& out)
{
    if (greeting.list_version > this->list.version)
    {
        if (now >= this->next_list_request)
        {
            this->next_list_request = now + min_reply_interval;
            this->send_hello(from.name, out);
        }
        return;
    }
    if (greeting.list_version == this->list.version || now < peer.next_list)
    {
        return;
    }
    if (greeting.list_version == 0 && !this->acquire_serving_slot(now))
    {
        return;
    }
    peer.next_list = now + min_reply_interval;
    out.push_back(
        {from.name, list_copy{this->list.version,
                              this->history.text_since(greeting.list_version,
                                                       this->list)}});
}

// Limits the documents and full lists that an instance sends when many peers
// ask it at once; a refused peer asks others. False when the limit is reached.
bool spread::acquire_serving_slot(time_point now)
{
    if (now - this->serving_window_start >= 1s)
    {
        this->serving_window_start = now;
        this->served_in_window = 0;
    }
    return ++this->served_in_window <= max_served_per_second;
}

outbox
spread::receive(const instance_id& from, const list_copy& copy, time_point now)
{
    outbox out;
    if (this->record_message(from, now) == nullptr ||
        copy.version <= this->list.version)
    {
        return out;
    }
    auto newer = read_list_text(copy.version, copy.text, this->list);
    if (!newer)
    {
        this->full_list_needed = true;
        this->next_list_request = now + min_reply_interval;
        this->send_hello(from.name, out);
        return out;
    }
    this->received_list = *newer;
    this->apply_list(std::move(*newer), now);
    this->list_announcement_due = true;
    return out;
}

std::optional<instance_list> spread::take_list()
{
    return std::exchange(this->received_list, std::nullopt);
}

void spread::start_pull(const std::string& from, time_point now, outbox& out)
{
    const std::uint64_t held_version =
        this->full_pull_needed ? 0 : this->document_version();
    this->download = document_download{};
    this->download->from = from;
    this->download->held_version = held_version;
    this->download->deadline = now + pull_timeout;
    out.push_back({from, document_pull{held_version}});
}

// Pulls from a random peer that has stated a newer version and is not avoided.
void spread::pull_from_random_peer(time_point now, outbox& out)
{
    std::vector<const std::string*> holders;
    for (const auto& [name, peer] : this->peers)
    {
        if (peer.document_version > this->document_version() &&
            now >= peer.avoided_until && now - peer.last_heard < peer_retention)
        {
            holders.push_back(&name);
        }
    }
    if (!holders.empty())
    {
        this->start_pull(*holders[this->random_below(holders.size())], now,
                         out);
    }
}

outbox spread::receive(const instance_id& from,
                       const document_pull& pull,
                       time_point now)
{
    outbox out;
    if (this->record_message(from, now) == nullptr || !this->document ||
        pull.held_version >= this->document->version)
    {
        return out;
    }
    std::erase_if(this->transfers,
                  [&from](const transfer& running)
                  {
                      return running.to == from.name;
                  });
    if (this->transfers.size() >= max_transfers ||
        !this->acquire_serving_slot(now))
    {
        return out;
    }
    transfer new_transfer{from.name, this->document, {}, 0};
    const auto digests = this->value_digests.find(pull.held_version);
    if (digests != this->value_digests.end())
    {
        new_transfer.receiver_digests = digests->second;
    }
    this->transfers.push_back(std::move(new_transfer));
    this->send_transfers(max_bytes_per_tick, out);
    return out;
}

// Sends values of all transfers in turn until `budget` bytes are used. A value
// that the receiver has at the same index is sent as empty text.
void spread::send_transfers(std::size_t budget, outbox& out)
{
    std::size_t sent_bytes = 0;
    while (!this->transfers.empty() && sent_bytes < budget)
    {
        transfer current = std::move(this->transfers.front());
        this->transfers.pop_front();
        const auto& values = current.document->values;
        const auto& own_digests =
            this->value_digests[current.document->version];
        const std::size_t index = current.next_index++;
        const bool unchanged =
            index < current.receiver_digests.size() &&
            index < own_digests.size() &&
            current.receiver_digests[index] == own_digests[index];
        out.push_back(
            {current.to,
             document_part{current.document->version,
                           static_cast<std::uint32_t>(index),
                           static_cast<std::uint32_t>(values.size()),
                           unchanged ? std::string() : values[index]}});
        constexpr std::size_t message_overhead = 64;
        sent_bytes += message_overhead + (unchanged ? 0 : values[index].size());
        if (current.next_index < values.size())
        {
            this->transfers.push_back(std::move(current));
        }
    }
}

outbox spread::receive(const instance_id& from,
                       const document_part& part,
                       time_point now)
{
    if (this->record_message(from, now) == nullptr || !this->download ||
        this->download->from != from.name ||
        part.version <= this->document_version() ||
        part.version < this->download->version || part.count > max_values)
    {
        return {};
    }
    if (part.version > this->download->version)
    {
        this->start_version(part);
    }
    if (!this->store_value(part))
    {
        return {};
    }
    this->download->deadline = now + pull_timeout;
    if (this->download->missing == 0)
    {
        this->finish_download();
    }
    return {};
}

void spread::start_version(const document_part& part)
{
    this->download->version = part.version;
    this->download->values.assign(part.count, std::nullopt);
    this->download->missing = part.count;
    this->download->bytes = 0;
}

// Stores a value of the download. False if it is not expected or too large.
bool spread::store_value(const document_part& part)
{
    document_download& incoming = *this->download;
    if (part.index >= incoming.values.size() || incoming.values[part.index])
    {
        return false;
    }
    const std::string* text = &part.text;
    if (part.text.empty())
    {
        const bool has_value =
            this->document &&
            this->document->version == incoming.held_version &&
            part.index < this->document->values.size();
        if (!has_value)
        {
            return false; // reply to an earlier pull
        }
        text = &this->document->values[part.index];
    }
    if (incoming.bytes + text->size() > max_document_bytes)
    {
        return false;
    }
    incoming.values[part.index] = *text;
    incoming.bytes += text->size();
    --incoming.missing;
    return true;
}

void spread::finish_download()
{
    auto received = std::make_shared<raw_document>();
    received->version = this->download->version;
    for (std::optional<std::string>& value : this->download->values)
    {
        received->values.push_back(std::move(*value));
    }
    this->unchecked_document = std::move(received);
    this->unchecked_from = this->download->from;
    this->awaiting_check = true;
    this->download.reset();
}

std::shared_ptr<const raw_document> spread::take_document()
{
    return std::exchange(this->unchecked_document, nullptr);
}

void spread::abort_download(time_point now)
{
    this->avoid(this->download->from, now);
    this->download.reset();
}

void spread::send_heartbeats(time_point now, outbox& out)
{
    this->next_heartbeat =
        now + (this->document ? heartbeat_period : joining_heartbeat_period);
    std::set<std::string> targets(this->successors.begin(),
                                  this->successors.end());
    targets.insert(this->gossip_peers.begin(), this->gossip_peers.end());
    for (const std::string& target : targets)
    {
        this->send_hello(target, out);
    }
    if (this->list.version == 0 || !this->document ||
        now - this->last_heard > seed_fallback_timeout)
    {
        this->send_hello(to_seeds, out);
    }
}

outbox spread::tick(time_point now)
{
    outbox out;
    if (now >= this->next_gossip_choice)
    {
        this->choose_gossip_peers(now);
    }
    if (now >= this->next_heartbeat)
    {
        this->send_heartbeats(now, out);
    }
    if (std::exchange(this->list_announcement_due, false))
    {
        this->announce(this->list.version, list_announcement, now, out);
    }
    if (this->download && now >= this->download->deadline)
    {
        this->abort_download(now);
    }
    if (!this->download && !this->awaiting_check &&
        this->newest_peer_version > this->document_version())
    {
        this->pull_from_random_peer(now, out);
    }
    this->send_transfers(max_bytes_per_tick, out);
    return out;
}

} // namespace medlarbarrow::core
