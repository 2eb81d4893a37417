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

/// Instances of a data centre that watch the platform.
constexpr std::size_t watchers = 2;

/// Neighbours on each side in the data centre's order. An instance hears its
/// predecessors only, so it can tell that a watcher is silent up to this far
/// down the order, at a cost that does not depend on the fleet.
constexpr std::size_t neighbours = 4;

/// Other peers that get the heartbeat; they tie the data centres together.
constexpr std::size_t gossip_peers = 2;
constexpr duration gossip_period = 30s;

constexpr duration heartbeat_period = 2s;
constexpr duration joining_period = 500ms; ///< while it has no document
constexpr duration silence_limit = 7s;     ///< three heartbeats lost
constexpr duration seed_limit = 10s;       ///< nothing heard: ask the seeds
constexpr duration joining_limit = 3s;     ///< then it reads the platform

/// Two relay trees, so that one dead instance cuts nobody off.
constexpr std::uint64_t trees = 2;
constexpr std::size_t tree_children = 4;

/// Instances at the top of each tree that every watcher tells.
constexpr std::size_t tree_roots = 2;

constexpr duration reply_pause = 500ms;
constexpr duration pull_limit = 1500ms; ///< without a value of the document
constexpr duration avoid_time = 10s;    ///< of a peer that did not answer
constexpr duration peer_memory = 60s;

constexpr std::size_t max_peers = 4096;
constexpr std::size_t max_transfers = 8;
constexpr unsigned served_per_second = 8; ///< documents and whole lists
constexpr std::size_t tick_budget = 256U << 10U;
constexpr std::size_t max_values = 16'384;
constexpr std::size_t max_document_bytes = 64U << 20U;
constexpr std::size_t kept_digests = 32;

constexpr std::uint64_t document_trees = 0;
constexpr std::uint64_t list_trees = 1;

std::vector<digest> digests_of(const document_copy& source)
{
    std::vector<digest> digests;
    digests.reserve(source.values.size());
    for (const std::string& value : source.values)
    {
        digests.push_back(digest_text(value, 0));
    }
    return digests;
}

/// Names by descending rendezvous hash.
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
    // A difference did not fit: version 0 asks for the whole list.
    return {this->settings.data_centre, this->document_version(),
            this->list_in_full ? 0 : this->list.version, this->leaving};
}

void spread::say_hello(const std::string& to, outbox& out) const
{
    out.push_back({to, this->make_hello()});
}

// Notes that a message has arrived. Null for an older run of the peer, and for
// a further stranger when too many are known.
spread::peer_state* spread::note(const instance_id& from, time_point now)
{
    auto found = this->peers.find(from.name);
    if (found == this->peers.end())
    {
        if (this->peers.size() >= max_peers)
        {
            return nullptr;
        }
        found = this->peers.emplace(from.name, peer_state{}).first;
    }
    peer_state& peer = found->second;
    if (from.incarnation < peer.incarnation)
    {
        return nullptr;
    }
    if (from.incarnation > peer.incarnation)
    {
        peer = {};
        peer.incarnation = from.incarnation;
    }
    peer.heard = now;
    this->last_heard = now;
    return &peer;
}

bool spread::is_silent(const std::string& name,
                       time_point neighbour_since,
                       time_point now) const
{
    const auto found = this->peers.find(name);
    if (found == this->peers.end())
    {
        return now - neighbour_since > silence_limit;
    }
    const time_point last = std::max(found->second.heard, neighbour_since);
    return found->second.leaving || now - last > silence_limit;
}

// The first two of the data centre's order watch. Everybody else does when
// fewer than two of the neighbours before it are heard: without faults these
// four are heard; when the watchers end, the next in the order takes over.
bool spread::should_watch(time_point now) const
{
    const bool joining = !this->document && now - this->started > joining_limit;
    if (this->list.version == 0 || joining)
    {
        return true;
    }
    const auto heard = std::ranges::count_if(
        this->predecessors,
        [this, now](const auto& item)
        {
            return !this->is_silent(item.first, item.second, now);
        });
    return static_cast<std::size_t>(heard) < watchers;
}

void spread::choose_neighbours(time_point now)
{
    std::vector<std::string> local{this->settings.self.name};
    this->live.clear();
    for (const listed_instance& item : this->list.instances)
    {
        if (item.leaving || item.name == this->settings.self.name)
        {
            continue;
        }
        this->live.push_back(item.name);
        if (item.data_centre == this->settings.data_centre)
        {
            local.push_back(item.name);
        }
    }
    const auto order =
        in_hash_order(local, hash_text(this->settings.data_centre));
    const auto own = std::ranges::find(order, this->settings.self.name);
    const auto rank = static_cast<std::size_t>(own - order.begin());
    const auto previous = std::move(this->predecessors);
    this->predecessors.clear();
    for (std::size_t at = rank - std::min(rank, neighbours); at < rank; ++at)
    {
        const auto known = previous.find(order[at]);
        this->predecessors.emplace(
            order[at], known == previous.end() ? now : known->second);
    }
    const std::size_t end = std::min(order.size(), rank + 1 + neighbours);
    this->successors.assign(own + 1,
                            order.begin() + static_cast<std::ptrdiff_t>(end));
}

void spread::choose_gossip(time_point now)
{
    this->gossip.clear();
    this->next_gossip_choice = now + gossip_period;
    for (std::size_t count = 0; count < gossip_peers && !this->live.empty();
         ++count)
    {
        this->gossip.push_back(
            this->live[this->random_below(this->live.size())]);
    }
}

// Tells the children in the relay trees of this version. Their order follows
// from the version, so the work of relaying moves around the fleet.
void spread::announce(std::uint64_t version,
                      std::uint64_t kind,
                      time_point now,
                      outbox& out) const
{
    std::set<std::string> targets;
    std::vector<std::string> names = this->live;
    names.push_back(this->settings.self.name);
    const std::size_t roots = this->should_watch(now) ? tree_roots : 0;
    for (std::uint64_t tree = 0; tree < trees; ++tree)
    {
        const auto order =
            in_hash_order(names, (version * 2 + kind) * trees + tree + 1);
        const auto own = static_cast<std::size_t>(
            std::ranges::find(order, this->settings.self.name) - order.begin());
        for (std::size_t at = 0; at < std::min(roots, order.size()); ++at)
        {
            targets.insert(order[at]);
        }
        const std::size_t first = own * tree_children + 1;
        const std::size_t last = std::min(first + tree_children, order.size());
        for (std::size_t at = first; at < last; ++at)
        {
            targets.insert(order[at]);
        }
    }
    targets.erase(this->settings.self.name);
    for (const std::string& target : targets)
    {
        this->say_hello(target, out);
    }
}

std::error_code spread::accept_document(
    std::shared_ptr<const document_copy> next, time_point now, outbox& out)
{
    const bool from_peer = std::exchange(this->checking, false);
    this->arrived.reset();
    if (next->version <= this->document_version())
    {
        // A peer that states a newer version than it sends must not be asked
        // again at once.
        if (from_peer)
        {
            this->avoid(this->arrived_from, now);
        }
        return result_code::document_older;
    }
    this->document = std::move(next);
    this->receipt.reset();
    this->pull_in_full = false;
    this->value_digests[this->document->version] = digests_of(*this->document);
    if (this->value_digests.size() > kept_digests)
    {
        this->value_digests.erase(this->value_digests.begin());
    }
    this->announce(this->document->version, document_trees, now, out);
    return {};
}

void spread::reject_document(time_point now)
{
    this->checking = false;
    this->arrived.reset();
    this->pull_in_full = true;
    this->avoid(this->arrived_from, now);
}

void spread::avoid(const std::string& name, time_point now)
{
    if (const auto found = this->peers.find(name); found != this->peers.end())
    {
        found->second.avoided_until = now + avoid_time;
    }
}

std::error_code
spread::accept_list(const instance_list& next, time_point now, outbox& out)
{
    if (next.instances.empty())
    {
        return result_code::list_empty;
    }
    if (next.version <= this->list.version)
    {
        return result_code::list_older;
    }
    this->put_list_in_force(next, now);
    this->announce(this->list.version, list_trees, now, out);
    return {};
}

void spread::put_list_in_force(instance_list next, time_point now)
{
    if (this->list.version != 0)
    {
        this->history.add(this->list, next);
    }
    this->list = std::move(next);
    this->list_in_full = false;
    this->choose_neighbours(now);
    this->choose_gossip(now);
    this->forget_old_peers(now);
    if (!this->document)
    {
        this->next_heartbeat = now;
    }
}

void spread::forget_old_peers(time_point now)
{
    std::erase_if(this->peers,
                  [now](const auto& item)
                  {
                      return now - item.second.heard > peer_memory;
                  });
}

outbox
spread::receive(const instance_id& from, const hello& news, time_point now)
{
    outbox out;
    peer_state* peer = this->note(from, now);
    if (peer == nullptr)
    {
        return out;
    }
    peer->document_version = news.document_version;
    peer->leaving = news.leaving;
    this->newest_heard = std::max(this->newest_heard, news.document_version);
    this->compare_documents(from, *peer, news, now, out);
    this->compare_lists(from, *peer, news, now, out);
    return out;
}

void spread::compare_documents(const instance_id& from,
                               peer_state& peer,
                               const hello& news,
                               time_point now,
                               outbox& out)
{
    const std::uint64_t own = this->document_version();
    const bool busy = this->receipt || this->checking;
    if (news.document_version > own && !busy && now >= peer.avoided_until)
    {
        this->start_pull(from.name, now, out);
    }
    else if (news.document_version < own && now >= peer.next_reply)
    {
        peer.next_reply = now + reply_pause;
        this->say_hello(from.name, out);
    }
}

// A newer list is asked for by stating the own, older version; whoever hears
// an older version sends the list.
void spread::compare_lists(const instance_id& from,
                           peer_state& peer,
                           const hello& news,
                           time_point now,
                           outbox& out)
{
    if (news.list_version > this->list.version)
    {
        if (now >= this->next_list_request)
        {
            this->next_list_request = now + reply_pause;
            this->say_hello(from.name, out);
        }
        return;
    }
    if (news.list_version == this->list.version || now < peer.next_list)
    {
        return;
    }
    if (news.list_version == 0 && !this->take_serving_turn(now))
    {
        return;
    }
    peer.next_list = now + reply_pause;
    out.push_back({from.name, list_copy{this->list.version,
                                        this->history.text_since(
                                            news.list_version, this->list)}});
}

// Bounds what an instance sends when many ask it at once; they ask others.
bool spread::take_serving_turn(time_point now)
{
    if (now - this->serving_window >= 1s)
    {
        this->serving_window = now;
        this->served_in_window = 0;
    }
    return ++this->served_in_window <= served_per_second;
}

outbox
spread::receive(const instance_id& from, const list_copy& copy, time_point now)
{
    outbox out;
    if (this->note(from, now) == nullptr || copy.version <= this->list.version)
    {
        return out;
    }
    auto next = read_list_text(copy.version, copy.text, this->list);
    if (!next)
    {
        this->list_in_full = true;
        this->next_list_request = now + reply_pause;
        this->say_hello(from.name, out);
        return out;
    }
    this->arrived_list = *next;
    this->put_list_in_force(std::move(*next), now);
    this->list_announcement_due = true;
    return out;
}

std::optional<instance_list> spread::take_list()
{
    return std::exchange(this->arrived_list, std::nullopt);
}

void spread::start_pull(const std::string& from, time_point now, outbox& out)
{
    const std::uint64_t have =
        this->pull_in_full ? 0 : this->document_version();
    this->receipt = document_receipt{};
    this->receipt->from = from;
    this->receipt->have_version = have;
    this->receipt->deadline = now + pull_limit;
    out.push_back({from, document_pull{have}});
}

// Pulls from any peer that has stated a newer version and is not avoided.
void spread::pull_from_any(time_point now, outbox& out)
{
    std::vector<const std::string*> holders;
    for (const auto& [name, peer] : this->peers)
    {
        if (peer.document_version > this->document_version() &&
            now >= peer.avoided_until && now - peer.heard < peer_memory)
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
    if (this->note(from, now) == nullptr || !this->document ||
        pull.have_version >= this->document->version)
    {
        return out;
    }
    std::erase_if(this->transfers,
                  [&from](const transfer& item)
                  {
                      return item.to == from.name;
                  });
    if (this->transfers.size() >= max_transfers ||
        !this->take_serving_turn(now))
    {
        return out;
    }
    transfer next{from.name, this->document, {}, 0};
    const auto known = this->value_digests.find(pull.have_version);
    if (known != this->value_digests.end())
    {
        next.known = known->second;
    }
    this->transfers.push_back(std::move(next));
    this->send_transfers(tick_budget, out);
    return out;
}

// Sends values of all transfers in turn until the budget is used. A value
// that the receiver holds at the same position is sent as empty text.
void spread::send_transfers(std::size_t budget, outbox& out)
{
    std::size_t sent = 0;
    while (!this->transfers.empty() && sent < budget)
    {
        transfer item = std::move(this->transfers.front());
        this->transfers.pop_front();
        const auto& values = item.document->values;
        const auto& digests = this->value_digests[item.document->version];
        const std::size_t at = item.next++;
        const bool unchanged = at < item.known.size() && at < digests.size() &&
                               item.known[at] == digests[at];
        out.push_back(
            {item.to, document_part{item.document->version,
                                    static_cast<std::uint32_t>(at),
                                    static_cast<std::uint32_t>(values.size()),
                                    unchanged ? std::string() : values[at]}});
        constexpr std::size_t message_overhead = 64;
        sent += message_overhead + (unchanged ? 0 : values[at].size());
        if (item.next < values.size())
        {
            this->transfers.push_back(std::move(item));
        }
    }
}

outbox spread::receive(const instance_id& from,
                       const document_part& part,
                       time_point now)
{
    if (this->note(from, now) == nullptr || !this->receipt ||
        this->receipt->from != from.name ||
        part.version <= this->document_version() ||
        part.version < this->receipt->version || part.count > max_values)
    {
        return {};
    }
    if (part.version > this->receipt->version)
    {
        this->begin_version(part);
    }
    if (!this->store_value(part))
    {
        return {};
    }
    this->receipt->deadline = now + pull_limit;
    if (this->receipt->missing == 0)
    {
        this->finish_receipt();
    }
    return {};
}

void spread::begin_version(const document_part& part)
{
    this->receipt->version = part.version;
    this->receipt->values.assign(part.count, std::nullopt);
    this->receipt->missing = part.count;
    this->receipt->bytes = 0;
}

bool spread::store_value(const document_part& part)
{
    document_receipt& target = *this->receipt;
    if (part.index >= target.values.size() || target.values[part.index])
    {
        return false;
    }
    const std::string* text = &part.text;
    if (part.text.empty())
    {
        const bool held = this->document &&
                          this->document->version == target.have_version &&
                          part.index < this->document->values.size();
        if (!held)
        {
            return false; // meant for an earlier pull
        }
        text = &this->document->values[part.index];
    }
    if (target.bytes + text->size() > max_document_bytes)
    {
        return false;
    }
    target.values[part.index] = *text;
    target.bytes += text->size();
    --target.missing;
    return true;
}

void spread::finish_receipt()
{
    auto complete = std::make_shared<document_copy>();
    complete->version = this->receipt->version;
    for (std::optional<std::string>& value : this->receipt->values)
    {
        complete->values.push_back(std::move(*value));
    }
    this->arrived = std::move(complete);
    this->arrived_from = this->receipt->from;
    this->checking = true;
    this->receipt.reset();
}

std::shared_ptr<const document_copy> spread::take_document()
{
    return std::exchange(this->arrived, nullptr);
}

void spread::fail_receipt(time_point now)
{
    this->avoid(this->receipt->from, now);
    this->receipt.reset();
}

void spread::heartbeat(time_point now, outbox& out)
{
    this->next_heartbeat =
        now + (this->document ? heartbeat_period : joining_period);
    std::set<std::string> targets(this->successors.begin(),
                                  this->successors.end());
    targets.insert(this->gossip.begin(), this->gossip.end());
    for (const std::string& target : targets)
    {
        this->say_hello(target, out);
    }
    if (this->list.version == 0 || !this->document ||
        now - this->last_heard > seed_limit)
    {
        this->say_hello(to_seeds, out);
    }
}

outbox spread::tick(time_point now)
{
    outbox out;
    if (now >= this->next_gossip_choice)
    {
        this->choose_gossip(now);
    }
    if (now >= this->next_heartbeat)
    {
        this->heartbeat(now, out);
    }
    if (std::exchange(this->list_announcement_due, false))
    {
        this->announce(this->list.version, list_trees, now, out);
    }
    if (this->receipt && now >= this->receipt->deadline)
    {
        this->fail_receipt(now);
    }
    if (!this->receipt && !this->checking &&
        this->newest_heard > this->document_version())
    {
        this->pull_from_any(now, out);
    }
    this->send_transfers(tick_budget, out);
    return out;
}

} // namespace medlarbarrow::core
