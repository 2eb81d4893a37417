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

/// Maximum number of instances used from a list; the design size is 830.
constexpr std::size_t max_peers = 2048;

/// Maximum number of links in total, and of links not authenticated yet.
constexpr std::size_t max_links = 4096;
constexpr std::size_t max_unauthenticated_links = 256;

/// Maximum number of instances whose newest incarnation is stored. Messages of
/// older incarnations are refused.
constexpr std::size_t max_incarnations = 16'384;

constexpr std::chrono::seconds sweep_period{1};

/// Time to connect and authenticate.
constexpr std::chrono::seconds open_timeout{5};

/// Longer than every refresh period, so that a link in use stays open.
constexpr std::chrono::seconds idle_timeout{180};

constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::chrono::milliseconds min_dial_delay{100};
constexpr std::chrono::milliseconds max_dial_delay{5000};

/// Reads the fleet secret and removes the line break that editors append.
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

/// Creates the TLS context, or null if TLS is not configured. Both sides must
/// present a certificate. Certificates are checked against the authority only,
/// because the fleet secret authenticates the instance names.
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

/// Nothing if `address` is not an IP address.
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

/// True for the types that every authenticated instance may send, listed or
/// not. A joining instance requests the document and the list with them.
bool is_allowed_from_unlisted(const core::message& message)
{
    return std::holds_alternative<core::hello>(message) ||
           std::holds_alternative<core::document_pull>(message);
}

/// An address that this instance opens links to, with the retry state.
struct dial_target
{
    tcp::endpoint endpoint;
    std::string name; ///< instance name; empty for a seed
    backoff retry;
    clock::time_point next_attempt{};
    std::shared_ptr<peer_link> link; ///< link that this instance opened
};

/// A link in any phase, and how it came about.
struct link_record
{
    std::shared_ptr<peer_link> link;
    std::weak_ptr<dial_target> target; ///< expired for an accepted link
    bool is_seed = false;              ///< opened to the address of a seed
};

} // namespace

/// Implementation of peers. Handlers hold only weak pointers to it, so that
/// those that run after its destruction do nothing.
struct peers::state : std::enable_shared_from_this<peers::state>
{
    state(asio::io_context& io, message_handler handler)
        : context(io), acceptor(io), sweep_timer(io), accept_timer(io),
          on_message(std::move(handler))
    {
    }

    std::error_code listen(const config::settings& settings);
    void accept();
    void on_accepted(tcp::socket socket);
    void sweep();
    void dial(const std::shared_ptr<dial_target>& target);
    link_events make_link_events();
    void on_link_opened(peer_link& link);
    void on_link_closed(peer_link& link, std::error_code reason);
    void on_link_message(peer_link& link, std::vector<std::uint8_t>&& bytes);
    bool is_newest_incarnation(const core::instance_id& peer);
    void close_older_incarnations(const core::instance_id& peer);
    std::error_code check_sender(const peer_link& link,
                                 const received_message& received);
    void record_refusal(const core::instance_id& peer, std::error_code reason);
    peer_link* open_link(const std::string& name);
    peer_link* link_for(const std::string& name);
    bool may_dial(const dial_target& target) const;
    void queue_message(peer_link* link,
                       const std::string& name,
                       std::size_t type,
                       std::vector<std::uint8_t> bytes);
    std::size_t unauthenticated_links() const;
    void close();

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer sweep_timer;
    asio::steady_timer accept_timer;
    message_handler on_message;
    std::shared_ptr<link_identity> identity;
    std::map<std::string, std::shared_ptr<dial_target>, std::less<>>
        listed_targets;
    std::vector<std::shared_ptr<dial_target>> seed_targets;
    std::map<const peer_link*, link_record> links;
    std::multimap<std::string, peer_link*, std::less<>> open_links;
    std::map<std::string, std::uint64_t, std::less<>> newest_incarnations;
    /// Names of the instances that answered at the seeds' addresses. A seed may
    /// reply over a link that it opened itself, to an instance that has no list
    /// yet.
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
            initial->seed_targets.push_back(
                std::make_shared<dial_target>(dial_target{
                    *endpoint,
                    "",
                    backoff(min_dial_delay, max_dial_delay,
                            core::hash_text(initial->identity->self.name,
                                            seed.port)),
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
            const auto self = weak.lock();
            if (!self || self->closed)
            {
                return;
            }
            if (!error)
            {
                self->on_accepted(std::move(socket));
                self->accept();
                return;
            }
            // For example no free file descriptor: retries after a delay.
            self->accept_timer.expires_after(accept_retry_delay);
            self->accept_timer.async_wait(
                [weak](const boost::system::error_code& cancelled)
                {
                    const auto self = weak.lock();
                    if (self && !cancelled && !self->closed)
                    {
                        self->accept();
                    }
                });
        });
}

std::size_t peers::state::unauthenticated_links() const
{
    return this->links.size() - this->open_links.size();
}

void peers::state::on_accepted(tcp::socket socket)
{
    if (this->links.size() >= max_links ||
        this->unauthenticated_links() >= max_unauthenticated_links)
    {
        log::write(log::level::warning, "peer_link_refused",
                   {log::kv("reason", "too many links"),
                    log::kv("links", this->links.size())});
        return; // the destructor closes the socket
    }
    auto link = peer_link::accept(std::move(socket), this->identity,
                                  this->make_link_events());
    if (!link->is_closed())
    {
        this->links.emplace(link.get(), link_record{link, {}, false});
    }
}

link_events peers::state::make_link_events()
{
    const auto weak = this->weak_from_this();
    return {[weak](peer_link& link)
            {
                if (const auto self = weak.lock(); self && !self->closed)
                {
                    self->on_link_opened(link);
                }
            },
            [weak](peer_link& link, std::vector<std::uint8_t>&& bytes)
            {
                if (const auto self = weak.lock(); self && !self->closed)
                {
                    self->on_link_message(link, std::move(bytes));
                }
            },
            [weak](peer_link& link, std::error_code reason)
            {
                if (const auto self = weak.lock(); self && !self->closed)
                {
                    self->on_link_closed(link, reason);
                }
            }};
}

// Closes links that are not open after the timeout and links that are idle,
// then schedules the next sweep.
void peers::state::sweep()
{
    const auto now = clock::now();
    std::vector<std::shared_ptr<peer_link>> slow;
    std::vector<std::shared_ptr<peer_link>> idle;
    for (const auto& [key, record] : this->links)
    {
        const auto& link = record.link;
        if (!link->is_open() && now - link->started() > open_timeout)
        {
            slow.push_back(link);
        }
        else if (link->is_open() && now - link->last_used() > idle_timeout)
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
            const auto self = weak.lock();
            if (self && !error && !self->closed)
            {
                self->sweep();
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
                                target->name, this->make_link_events());
    target->link = link;
    this->links.emplace(link.get(),
                        link_record{link, target, target->name.empty()});
}

// Returns false if a higher incarnation of the peer is stored; otherwise stores
// this one. Entries of instances that are neither listed nor linked are removed
// if the table is full.
bool peers::state::is_newest_incarnation(const core::instance_id& peer)
{
    const auto newest = this->newest_incarnations.find(peer.name);
    if (newest != this->newest_incarnations.end())
    {
        if (peer.incarnation < newest->second)
        {
            return false;
        }
        newest->second = peer.incarnation;
        return true;
    }
    if (this->newest_incarnations.size() >= max_incarnations)
    {
        std::erase_if(this->newest_incarnations,
                      [this](const auto& entry)
                      {
                          return !this->listed_targets.contains(entry.first) &&
                                 !this->open_links.contains(entry.first);
                      });
    }
    this->newest_incarnations.emplace(peer.name, peer.incarnation);
    return true;
}

void peers::state::on_link_opened(peer_link& link)
{
    const core::instance_id& peer = link.peer();
    if (peer.name == this->identity->self.name)
    {
        link.close(make_error_code(result_code::peer_unknown));
        return;
    }
    if (!this->is_newest_incarnation(peer))
    {
        link.close(make_error_code(result_code::peer_older_incarnation));
        return;
    }
    this->close_older_incarnations(peer);
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

// Closes the links of lower incarnations of this peer.
void peers::state::close_older_incarnations(const core::instance_id& peer)
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

// Removes a closed link, schedules the next dial of its target and counts the
// messages lost with it.
void peers::state::on_link_closed(peer_link& link, std::error_code reason)
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
    const auto closed_link = this->links.find(&link);
    std::string name = link.peer().name;
    if (closed_link != this->links.end())
    {
        if (const auto target = closed_link->second.target.lock())
        {
            target->link.reset();
            target->next_attempt =
                reason ? clock::now() + target->retry.next() : clock::now();
            name = name.empty() ? target->name : name;
        }
        this->links.erase(closed_link);
    }
    this->counters.dropped_link_closed += link.queued_messages();
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

// Checks that the sender is the authenticated peer, is not an older incarnation
// and may send this type of message.
std::error_code peers::state::check_sender(const peer_link& link,
                                           const received_message& received)
{
    if (received.sender != link.peer())
    {
        return result_code::peer_unauthenticated;
    }
    if (!this->is_newest_incarnation(received.sender))
    {
        return result_code::peer_older_incarnation;
    }
    const bool is_listed_or_seed =
        this->listed_targets.contains(received.sender.name) ||
        this->seed_names.contains(received.sender.name);
    if (!is_listed_or_seed && !is_allowed_from_unlisted(received.message))
    {
        return result_code::peer_unknown;
    }
    return {};
}

// Counts and logs a refused message.
void peers::state::record_refusal(const core::instance_id& peer,
                                  std::error_code reason)
{
    ++this->counters.refused;
    log::write(log::level::warning, "peer_message_refused",
               {log::kv("peer", peer.name),
                log::kv("incarnation", peer.incarnation),
                log::kv("code", reason)});
}

void peers::state::on_link_message(peer_link& link,
                                   std::vector<std::uint8_t>&& bytes)
{
    auto received = decode(bytes);
    if (!received)
    {
        this->record_refusal(link.peer(), received.error());
        return;
    }
    if (const auto error = this->check_sender(link, *received))
    {
        this->record_refusal(link.peer(), error);
        return;
    }
    traffic_counters& count =
        this->counters.received.at(received->message.index());
    ++count.messages;
    count.bytes += bytes.size();
    this->on_message(received->sender, std::move(received->message));
}

peer_link* peers::state::open_link(const std::string& name)
{
    const auto entry = this->open_links.find(name);
    return entry == this->open_links.end() ? nullptr : entry->second;
}

// Returns an open link in either direction, or the link that is being opened.
// Dials a listed instance without a link. Null if there is no link and the
// instance cannot be dialled now.
peer_link* peers::state::link_for(const std::string& name)
{
    if (peer_link* open = this->open_link(name))
    {
        return open;
    }
    const auto target = this->listed_targets.find(name);
    if (target == this->listed_targets.end())
    {
        return nullptr;
    }
    if (this->may_dial(*target->second))
    {
        this->dial(target->second);
    }
    return target->second->link.get();
}

// Queues an encoded message on a link and counts it as sent or dropped.
void peers::state::queue_message(peer_link* link,
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
        ++this->counters.dropped_queue_full;
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
    this->listed_targets.clear();
    this->seed_targets.clear();
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
    state& impl = *this->self;
    auto previous = std::move(impl.listed_targets);
    impl.listed_targets.clear();
    for (const core::listed_instance& instance : list.instances)
    {
        const auto endpoint = endpoint_of(instance.address, instance.peer_port);
        if (instance.name == impl.identity->self.name || !endpoint)
        {
            continue;
        }
        if (impl.listed_targets.size() == max_peers)
        {
            log::write(log::level::warning, "peer_list_cut",
                       {log::kv("taken", max_peers),
                        log::kv("listed", list.instances.size())});
            break;
        }
        const auto unchanged = previous.find(instance.name);
        if (unchanged != previous.end() &&
            unchanged->second->endpoint == *endpoint)
        {
            impl.listed_targets.insert(previous.extract(unchanged));
            continue;
        }
        impl.listed_targets.emplace(
            instance.name,
            std::make_shared<dial_target>(dial_target{
                *endpoint,
                instance.name,
                backoff(min_dial_delay, max_dial_delay,
                        core::hash_text(impl.identity->self.name,
                                        core::hash_text(instance.name))),
                {},
                {}}));
    }
    std::vector<std::shared_ptr<peer_link>> links_to_close;
    for (const auto& [name, target] : previous)
    {
        if (target->link)
        {
            links_to_close.push_back(target->link);
        }
        const auto [first, last] = impl.open_links.equal_range(name);
        for (auto entry = first;
             entry != last && !impl.listed_targets.contains(name); ++entry)
        {
            links_to_close.push_back(impl.links.at(entry->second).link);
        }
    }
    for (const auto& link : links_to_close)
    {
        link->close({});
    }
}

void peers::send(core::outgoing&& outgoing)
{
    state& impl = *this->self;
    const std::size_t type = outgoing.message.index();
    auto bytes = encode(impl.identity->self, outgoing.message);
    if (!bytes)
    {
        ++impl.counters.dropped_invalid;
        log::write(log::level::error, "peer_message_not_encoded",
                   {log::kv("peer", outgoing.to),
                    log::kv("type", type_name(type)),
                    log::kv("code", bytes.error())});
        return;
    }
    if (!outgoing.to.empty())
    {
        impl.queue_message(impl.link_for(outgoing.to), outgoing.to, type,
                           std::move(*bytes));
        return;
    }
    for (const auto& seed : impl.seed_targets)
    {
        if (impl.may_dial(*seed))
        {
            impl.dial(seed);
        }
        impl.queue_message(seed->link.get(), "seed", type, *bytes);
    }
}

void peers::broadcast(const core::message& message)
{
    state& impl = *this->self;
    const auto bytes = encode(impl.identity->self, message);
    if (!bytes)
    {
        ++impl.counters.dropped_invalid;
        return;
    }
    for (const auto& [name, target] : impl.listed_targets)
    {
        impl.queue_message(impl.link_for(name), name, message.index(), *bytes);
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
