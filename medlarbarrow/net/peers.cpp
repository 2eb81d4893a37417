#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <fstream>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/backoff.hpp>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/peer_link.hpp>
#include <medlarbarrow/net/peers.hpp>
#include <optional>
#include <set>
#include <sstream>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using core::result_code;
using clock = std::chrono::steady_clock;

constexpr std::size_t min_secret_bytes = 16;
constexpr std::size_t max_secret_bytes = 4096;

/// Instances of a list that are taken; the designed size is 830.
constexpr std::size_t max_peers = 2048;

/// All links, and those among them that are not authenticated yet.
constexpr std::size_t max_links = 4096;
constexpr std::size_t max_unproven_links = 256;

/// Runs of instances remembered so that older ones are refused.
constexpr std::size_t max_incarnations = 16'384;

constexpr std::chrono::seconds sweep_period{1};
constexpr std::chrono::seconds open_limit{5};   // connect and authenticate
constexpr std::chrono::seconds idle_limit{180}; // beyond every refresh period
constexpr std::chrono::milliseconds accept_pause{100};
constexpr std::chrono::milliseconds first_retry{100};
constexpr std::chrono::milliseconds last_retry{5000};

/// The secret without the line end that editors add.
core::result<std::string> read_secret(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
    {
        return make_error_code(result_code::file_unreadable);
    }
    std::string secret(max_secret_bytes, '\0');
    file.read(secret.data(), static_cast<std::streamsize>(secret.size()));
    secret.resize(static_cast<std::size_t>(file.gcount()));
    while (!secret.empty() && (secret.back() == '\n' || secret.back() == '\r'))
    {
        secret.pop_back();
    }
    if (secret.size() < min_secret_bytes)
    {
        return make_error_code(result_code::settings_invalid);
    }
    return secret;
}

/// TLS with a certificate on both sides. Names are proven by the fleet secret,
/// so certificates are only checked against the authority.
core::result<std::shared_ptr<asio::ssl::context>>
make_tls(const std::optional<config::tls_files>& files)
{
    if (!files)
    {
        return std::shared_ptr<asio::ssl::context>();
    }
    auto context =
        std::make_shared<asio::ssl::context>(asio::ssl::context::tls);
    boost::system::error_code error;
    context->set_options(
        asio::ssl::context::no_tlsv1 | asio::ssl::context::no_tlsv1_1 |
            asio::ssl::context::no_sslv2 | asio::ssl::context::no_sslv3,
        error);
    context->use_certificate_chain_file(files->certificate_file, error);
    if (!error)
    {
        context->use_private_key_file(files->key_file, asio::ssl::context::pem,
                                      error);
    }
    if (!error)
    {
        context->load_verify_file(files->authority_file, error);
    }
    if (!error)
    {
        context->set_verify_mode(asio::ssl::verify_peer |
                                     asio::ssl::verify_fail_if_no_peer_cert,
                                 error);
    }
    if (error)
    {
        log::write(log::level::error, "peer_tls_failed",
                   {log::kv("reason", error.message())});
        return make_error_code(result_code::file_unreadable);
    }
    return context;
}

std::optional<tcp::endpoint> endpoint_of(const std::string& address,
                                         std::uint16_t port)
{
    boost::system::error_code error;
    const auto parsed = asio::ip::make_address(address, error);
    if (error)
    {
        return std::nullopt;
    }
    return tcp::endpoint(parsed, port);
}

/// Types that any authenticated instance may send, listed or not: with them a
/// joining instance asks for the document and the list.
bool is_open_to_strangers(const core::message& source)
{
    return std::holds_alternative<core::hello>(source) ||
           std::holds_alternative<core::document_pull>(source);
}

/// An address that links are opened to.
struct dial_target
{
    tcp::endpoint endpoint;
    std::string name; ///< empty for a seed
    backoff retry;
    clock::time_point next_attempt{};
    std::shared_ptr<peer_link> link; ///< opened by this side
};

struct link_record
{
    std::shared_ptr<peer_link> link;
    std::weak_ptr<dial_target> target; ///< empty for an accepted link
    bool is_seed = false;
};

} // namespace

struct peers::state : std::enable_shared_from_this<peers::state>
{
    state(asio::io_context& io, message_handler handler)
        : context(io), acceptor(io), sweep_timer(io), accept_timer(io),
          on_message(std::move(handler))
    {
    }

    std::error_code listen(const config::settings& settings);
    void accept();
    void accepted(tcp::socket socket);
    void sweep();
    void dial(const std::shared_ptr<dial_target>& target);
    link_events events();
    void link_opened(peer_link& link);
    void link_closed(peer_link& link, std::error_code reason);
    void link_message(peer_link& link, std::vector<std::uint8_t>&& bytes);
    bool is_newest_run(const core::instance_id& peer);
    void close_older_runs(const core::instance_id& peer);
    std::error_code check(const peer_link& link,
                          const received_message& received);
    void refuse(const core::instance_id& peer, std::error_code reason);
    peer_link* open_link(const std::string& name);
    peer_link* link_for(const std::string& name);
    bool may_dial(const dial_target& target) const;
    void deliver(peer_link* link,
                 const std::string& name,
                 std::size_t type,
                 std::vector<std::uint8_t> bytes);
    std::size_t unproven_links() const;
    void close();

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    asio::steady_timer accept_timer;
    message_handler on_message;
    std::shared_ptr<link_identity> identity;
    std::map<std::string, std::shared_ptr<dial_target>, std::less<>> listed;
    std::vector<std::shared_ptr<dial_target>> seeds;
    std::map<const peer_link*, link_record> links;
    std::multimap<std::string, peer_link*, std::less<>> open_links;
    std::map<std::string, std::uint64_t, std::less<>> newest_runs;
    /// Names at the seeds' addresses. A seed may answer over a link that it
    /// opened itself, to an instance that has no list yet.
    std::set<std::string, std::less<>> seed_names;
    peer_counters counters;
    bool closed = false;
};

peers::peers(std::shared_ptr<state> initial) : self(std::move(initial)) {}

peers::~peers()
{
    this->close();
}

core::result<std::unique_ptr<peers>>
peers::create(asio::io_context& context,
              const config::settings& settings,
              core::instance_id self,
              message_handler on_message)
{
    auto secret = read_secret(settings.fleet_secret_file);
    if (!secret)
    {
        return secret.error();
    }
    auto tls = make_tls(settings.peer_tls);
    if (!tls)
    {
        return tls.error();
    }
    auto initial = std::make_shared<state>(context, std::move(on_message));
    initial->identity = std::make_shared<link_identity>(
        link_identity{std::move(self), std::move(*secret), std::move(*tls)});
    for (const config::endpoint& seed : settings.seeds)
    {
        const auto endpoint = endpoint_of(seed.address, seed.port);
        if (!endpoint)
        {
            return make_error_code(result_code::settings_invalid);
        }
        if (seed.address != settings.peers.address ||
            seed.port != settings.peers.port)
        {
            initial->seeds.push_back(std::make_shared<dial_target>(dial_target{
                *endpoint,
                "",
                backoff(
                    first_retry, last_retry,
                    core::hash_text(initial->identity->self.name, seed.port)),
                {},
                {}}));
        }
    }
    if (const auto error = initial->listen(settings))
    {
        return error;
    }
    initial->accept();
    initial->sweep();
    return std::unique_ptr<peers>(new peers(std::move(initial)));
}

std::error_code peers::state::listen(const config::settings& settings)
{
    const auto endpoint =
        endpoint_of(settings.peers.address, settings.peers.port);
    if (!endpoint)
    {
        return result_code::settings_invalid;
    }
    boost::system::error_code error;
    this->acceptor.open(endpoint->protocol(), error);
    if (!error)
    {
        this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        this->acceptor.bind(*endpoint, error);
    }
    if (!error)
    {
        this->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    return error;
}

void peers::state::accept()
{
    this->acceptor.async_accept(
        [weak = this->weak_from_this()](const boost::system::error_code& error,
                                        tcp::socket socket)
        {
            const auto owner = weak.lock();
            if (!owner || owner->closed)
            {
                return;
            }
            if (!error)
            {
                owner->accepted(std::move(socket));
                owner->accept();
                return;
            }
            // For example no free file descriptor: try again a little later.
            owner->accept_timer.expires_after(accept_pause);
            owner->accept_timer.async_wait(
                [weak](const boost::system::error_code& cancelled)
                {
                    const auto again = weak.lock();
                    if (again && !cancelled && !again->closed)
                    {
                        again->accept();
                    }
                });
        });
}

std::size_t peers::state::unproven_links() const
{
    return this->links.size() - this->open_links.size();
}

void peers::state::accepted(tcp::socket socket)
{
    if (this->links.size() >= max_links ||
        this->unproven_links() >= max_unproven_links)
    {
        log::write(log::level::warning, "peer_link_refused",
                   {log::kv("reason", "too many links"),
                    log::kv("links", this->links.size())});
        return; // the socket closes itself
    }
    auto link =
        peer_link::accept(std::move(socket), this->identity, this->events());
    if (!link->is_closed())
    {
        this->links.emplace(link.get(), link_record{link, {}, false});
    }
}

link_events peers::state::events()
{
    const auto weak = this->weak_from_this();
    return {[weak](peer_link& link)
            {
                if (const auto owner = weak.lock(); owner && !owner->closed)
                {
                    owner->link_opened(link);
                }
            },
            [weak](peer_link& link, std::vector<std::uint8_t>&& bytes)
            {
                if (const auto owner = weak.lock(); owner && !owner->closed)
                {
                    owner->link_message(link, std::move(bytes));
                }
            },
            [weak](peer_link& link, std::error_code reason)
            {
                if (const auto owner = weak.lock(); owner && !owner->closed)
                {
                    owner->link_closed(link, reason);
                }
            }};
}

// Ends links that do not open in time or that carry no messages.
void peers::state::sweep()
{
    const auto now = clock::now();
    std::vector<std::shared_ptr<peer_link>> slow;
    std::vector<std::shared_ptr<peer_link>> idle;
    for (const auto& [key, record] : this->links)
    {
        const auto& link = record.link;
        if (!link->is_open() && now - link->started() > open_limit)
        {
            slow.push_back(link);
        }
        else if (link->is_open() && now - link->last_used() > idle_limit)
        {
            idle.push_back(link);
        }
    }
    for (const auto& link : slow)
    {
        link->close(std::make_error_code(std::errc::timed_out));
    }
    for (const auto& link : idle)
    {
        link->close({});
    }
    this->sweep_timer.expires_after(sweep_period);
    this->sweep_timer.async_wait(
        [weak = this->weak_from_this()](const boost::system::error_code& error)
        {
            const auto owner = weak.lock();
            if (owner && !error && !owner->closed)
            {
                owner->sweep();
            }
        });
}

bool peers::state::may_dial(const dial_target& target) const
{
    return !target.link && clock::now() >= target.next_attempt &&
           this->links.size() < max_links;
}

void peers::state::dial(const std::shared_ptr<dial_target>& target)
{
    auto link = peer_link::open(this->context, this->identity, target->endpoint,
                                target->name, this->events());
    target->link = link;
    this->links.emplace(link.get(),
                        link_record{link, target, target->name.empty()});
}

// True unless a later run of the peer has been seen.
bool peers::state::is_newest_run(const core::instance_id& peer)
{
    const auto known = this->newest_runs.find(peer.name);
    if (known != this->newest_runs.end())
    {
        if (peer.incarnation < known->second)
        {
            return false;
        }
        known->second = peer.incarnation;
        return true;
    }
    if (this->newest_runs.size() >= max_incarnations)
    {
        std::erase_if(this->newest_runs,
                      [this](const auto& entry)
                      {
                          return !this->listed.contains(entry.first) &&
                                 !this->open_links.contains(entry.first);
                      });
    }
    this->newest_runs.emplace(peer.name, peer.incarnation);
    return true;
}

void peers::state::link_opened(peer_link& link)
{
    const core::instance_id& peer = link.peer();
    if (peer.name == this->identity->self.name)
    {
        link.close(make_error_code(result_code::peer_unknown));
        return;
    }
    if (!this->is_newest_run(peer))
    {
        link.close(make_error_code(result_code::peer_older_incarnation));
        return;
    }
    this->close_older_runs(peer);
    this->open_links.emplace(peer.name, &link);
    ++this->counters.links_open;
    if (this->links.at(&link).is_seed)
    {
        this->seed_names.insert(peer.name);
    }
    if (const auto target = this->links.at(&link).target.lock())
    {
        target->retry.reset();
    }
    log::write(
        log::level::info, "peer_link_opened",
        {log::kv("peer", peer.name), log::kv("incarnation", peer.incarnation)});
}

void peers::state::close_older_runs(const core::instance_id& peer)
{
    std::vector<std::shared_ptr<peer_link>> older;
    const auto [first, last] = this->open_links.equal_range(peer.name);
    for (auto entry = first; entry != last; ++entry)
    {
        if (entry->second->peer().incarnation < peer.incarnation)
        {
            older.push_back(this->links.at(entry->second).link);
        }
    }
    for (const auto& link : older)
    {
        link->close(make_error_code(result_code::peer_older_incarnation));
    }
}

void peers::state::link_closed(peer_link& link, std::error_code reason)
{
    const auto [first, last] = this->open_links.equal_range(link.peer().name);
    bool was_open = false;
    for (auto entry = first; entry != last; ++entry)
    {
        if (entry->second == &link)
        {
            this->open_links.erase(entry);
            --this->counters.links_open;
            was_open = true;
            break;
        }
    }
    const auto found = this->links.find(&link);
    std::string name = link.peer().name;
    if (found != this->links.end())
    {
        if (const auto target = found->second.target.lock())
        {
            target->link.reset();
            target->next_attempt =
                reason ? clock::now() + target->retry.next() : clock::now();
            name = name.empty() ? target->name : name;
        }
        this->links.erase(found);
    }
    this->counters.dropped_link += link.queued();
    if (!was_open)
    {
        ++this->counters.links_failed;
    }
    const bool refused = reason.category() == core::result_category();
    this->counters.refused += refused ? 1 : 0;
    log::write(refused ? log::level::warning : log::level::info,
               was_open ? "peer_link_closed" : "peer_link_failed",
               {log::kv("peer", name), log::kv("code", reason)});
}

std::error_code peers::state::check(const peer_link& link,
                                    const received_message& received)
{
    if (received.sender != link.peer())
    {
        return result_code::peer_unauthenticated;
    }
    if (!this->is_newest_run(received.sender))
    {
        return result_code::peer_older_incarnation;
    }
    const bool known = this->listed.contains(received.sender.name) ||
                       this->seed_names.contains(received.sender.name);
    if (!known && !is_open_to_strangers(received.message))
    {
        return result_code::peer_unknown;
    }
    return {};
}

void peers::state::refuse(const core::instance_id& peer, std::error_code reason)
{
    ++this->counters.refused;
    log::write(log::level::warning, "peer_message_refused",
               {log::kv("peer", peer.name),
                log::kv("incarnation", peer.incarnation),
                log::kv("code", reason)});
}

void peers::state::link_message(peer_link& link,
                                std::vector<std::uint8_t>&& bytes)
{
    auto received = decode(bytes);
    if (!received)
    {
        this->refuse(link.peer(), received.error());
        return;
    }
    if (const auto error = this->check(link, *received))
    {
        this->refuse(link.peer(), error);
        return;
    }
    traffic_count& count =
        this->counters.received.at(received->message.index());
    ++count.messages;
    count.bytes += bytes.size();
    this->on_message(received->sender, std::move(received->message));
}

peer_link* peers::state::open_link(const std::string& name)
{
    const auto found = this->open_links.find(name);
    return found == this->open_links.end() ? nullptr : found->second;
}

// An open link in either direction, or one that is being opened now.
peer_link* peers::state::link_for(const std::string& name)
{
    if (peer_link* open = this->open_link(name))
    {
        return open;
    }
    const auto found = this->listed.find(name);
    if (found == this->listed.end())
    {
        return nullptr;
    }
    if (this->may_dial(*found->second))
    {
        this->dial(found->second);
    }
    return found->second->link.get();
}

void peers::state::deliver(peer_link* link,
                           const std::string& name,
                           std::size_t type,
                           std::vector<std::uint8_t> bytes)
{
    if (link == nullptr)
    {
        ++this->counters.dropped_unreachable;
        return;
    }
    const std::size_t size = bytes.size();
    if (!link->send(std::move(bytes)))
    {
        ++this->counters.dropped_full;
        log::write(log::level::warning, "peer_message_dropped",
                   {log::kv("peer", name), log::kv("type", type_name(type)),
                    log::kv("code", core::make_error_code(
                                        result_code::peer_queue_full))});
        return;
    }
    ++this->counters.sent.at(type).messages;
    this->counters.sent.at(type).bytes += size;
}

void peers::state::close()
{
    this->closed = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    this->sweep_timer.cancel();
    this->accept_timer.cancel();
    for (const auto& [key, record] : this->links)
    {
        record.link->close({});
    }
    this->open_links.clear();
    this->links.clear();
    this->listed.clear();
    this->seeds.clear();
    this->counters.links_open = 0;
}

void peers::close()
{
    if (!this->self->closed)
    {
        this->self->close();
    }
}

void peers::set_instances(const core::instance_list& list)
{
    state& own = *this->self;
    auto previous = std::move(own.listed);
    own.listed.clear();
    for (const core::listed_instance& item : list.instances)
    {
        const auto endpoint = endpoint_of(item.address, item.peer_port);
        if (item.name == own.identity->self.name || !endpoint)
        {
            continue;
        }
        if (own.listed.size() == max_peers)
        {
            log::write(log::level::warning, "peer_list_cut",
                       {log::kv("taken", max_peers),
                        log::kv("listed", list.instances.size())});
            break;
        }
        const auto known = previous.find(item.name);
        if (known != previous.end() && known->second->endpoint == *endpoint)
        {
            own.listed.insert(previous.extract(known));
            continue;
        }
        own.listed.emplace(
            item.name, std::make_shared<dial_target>(dial_target{
                           *endpoint,
                           item.name,
                           backoff(first_retry, last_retry,
                                   core::hash_text(own.identity->self.name,
                                                   core::hash_text(item.name))),
                           {},
                           {}}));
    }
    std::vector<std::shared_ptr<peer_link>> gone;
    for (const auto& [name, target] : previous)
    {
        if (target->link)
        {
            gone.push_back(target->link);
        }
        const auto [first, last] = own.open_links.equal_range(name);
        for (auto entry = first; entry != last && !own.listed.contains(name);
             ++entry)
        {
            gone.push_back(own.links.at(entry->second).link);
        }
    }
    for (const auto& link : gone)
    {
        link->close({});
    }
}

void peers::send(core::outgoing&& item)
{
    state& own = *this->self;
    const std::size_t type = item.message.index();
    auto bytes = encode(own.identity->self, item.message);
    if (!bytes)
    {
        ++own.counters.dropped_invalid;
        log::write(log::level::error, "peer_message_not_encoded",
                   {log::kv("peer", item.to), log::kv("type", type_name(type)),
                    log::kv("code", bytes.error())});
        return;
    }
    if (!item.to.empty())
    {
        own.deliver(own.link_for(item.to), item.to, type, std::move(*bytes));
        return;
    }
    for (const auto& seed : own.seeds)
    {
        if (own.may_dial(*seed))
        {
            own.dial(seed);
        }
        own.deliver(seed->link.get(), "seed", type, *bytes);
    }
}

void peers::broadcast(const core::message& source)
{
    state& own = *this->self;
    const auto bytes = encode(own.identity->self, source);
    if (!bytes)
    {
        ++own.counters.dropped_invalid;
        return;
    }
    for (const auto& [name, target] : own.listed)
    {
        own.deliver(own.link_for(name), name, source.index(), *bytes);
    }
}

std::uint16_t peers::port() const
{
    boost::system::error_code ignored;
    return this->self->acceptor.local_endpoint(ignored).port();
}

const peer_counters& peers::counters() const
{
    return this->self->counters;
}

} // namespace medlarbarrow::net
