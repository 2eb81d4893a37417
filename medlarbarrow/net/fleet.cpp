#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/readers.hpp>
#include <medlarbarrow/net/fleet.hpp>
#include <medlarbarrow/net/fleet_codec.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/service_owners.hpp>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Time after which a call without an answer is made again, and how often to
/// one owner.
constexpr milliseconds call_repeat{60};
constexpr unsigned calls_per_owner = 2;
constexpr std::size_t owners_asked = 2;

/// A queued request asks again, since the answer may be lost.
constexpr milliseconds queued_repeat{300};

constexpr milliseconds done_repeat{150};
constexpr unsigned done_repeats = 4;

constexpr milliseconds gossip_period{500};
/// Until an instance knows another one, and for a while after its start: after
/// the end of all processes every instance is its own owner until it has heard
/// of the others, and what these grant adds up.
constexpr milliseconds join_period{100};
constexpr std::chrono::seconds join_time{1};
/// Part of its burst that an account gets from an owner that has just started,
/// which others may not know yet.
constexpr std::chrono::seconds settle_time{3};
constexpr double unsettled_fill = 0.15;
constexpr std::size_t gossip_entries = 16;
/// Entries from and for an instance that has just started.
constexpr std::size_t join_entries = 64;
/// Rounds of gossip between messages to a seed; they join fleets that a
/// partition has separated for long.
constexpr unsigned seed_rounds = 4;
constexpr unsigned join_seed_rounds = 2;
constexpr unsigned announce_peers = 4;

/// Changes larger than this are fetched over TCP.
constexpr std::size_t max_changes_bytes = 1200;
/// A reader whose newest answer is older is itself without the source.
constexpr milliseconds fresh_confirmation{1500};
/// Beacons between two subscriptions.
constexpr unsigned subscribe_rounds = 3;

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

struct fleet::state
{
    struct place_call_state
    {
        std::string service;
        core::place_request asked;
        place_handler done;
        core::time_point asked_at{};
        std::vector<core::instance_address> owners;
        std::size_t owner = 0; ///< index into owners
        unsigned calls = 0;    ///< to this owner without an answer
        std::unique_ptr<asio::steady_timer> timer;
    };

    struct admit_call_state
    {
        std::string account;
        admit_handler done;
        core::instance_address owner = 0;
        unsigned calls = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    struct granted_state
    {
        std::string service;
        core::instance_address owner = 0;
    };

    struct done_state
    {
        core::done_call message;
        core::instance_address owner = 0;
        unsigned calls = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    state(asio::io_context& context,
          const fleet_settings& chosen,
          const core::server_registry& known,
          fleet_sources from,
          core::instance_address address)
        : io(context), settings(chosen), servers(known),
          sources(std::move(from)), own(address),
          instance(std::uint64_t{address} << 32U |
                   (chosen.incarnation & 0xffffffffU)),
          members(address, chosen.incarnation, chosen.incarnation ^ address),
          source_readers(address), socket(context), gossip_timer(context),
          source_update_timer(context),
          owners(context,
                 known,
                 chosen.repeats,
                 this->instance,
                 [this](const core::grant_id& grant,
                        const core::place_answer& late)
                 {
                     this->answer(grant, late);
                 })
    {
    }

    udp::endpoint endpoint_of(core::instance_address address) const;
    void send(core::instance_address to, const core::fleet_message& message);
    void receive();
    void handle(core::instance_address from,
                const core::fleet_message& message);
    void on(core::instance_address from, const core::gossip& message);
    void on(core::instance_address from, const core::admit_call& message);
    void on(core::instance_address from, const core::admit_reply& message);
    void on(core::instance_address from, const core::place_call& message);
    void on(core::instance_address from, const core::place_reply& message);
    void on(core::instance_address from, const core::done_call& message);
    void on(core::instance_address from, const core::done_reply& message);
    void on(core::instance_address from, const core::subscribe& message);
    void on(core::instance_address from, const core::source_update& message);

    void source_update_round();
    void send_source_updates(std::uint64_t since);

    core::gossip make_gossip(bool wants_reply, std::size_t entries);
    void gossip_round();
    bool has_run_for(core::duration time) const;
    std::optional<core::instance_address> next_seed();
    void set_seeds(const std::vector<std::string>& addresses);

    void answer(const core::grant_id& grant, const core::place_answer& answer);

    void call_owner(std::uint64_t number);
    void place_unanswered(std::uint64_t number);
    void finish_place(std::uint64_t number, const core::place_answer& answer);
    void wait_for(asio::steady_timer& timer,
                  milliseconds time,
                  std::function<void()> then);

    void call_account_owner(std::uint64_t number);
    void finish_admit(std::uint64_t number, const core::quota_answer& answer);
    core::quota_answer admit_here(const std::string& account, double share);

    void send_done(std::uint64_t number);

    asio::io_context& io;
    fleet_settings settings;
    const core::server_registry& servers;
    fleet_sources sources;
    core::instance_address own;
    std::uint64_t instance; ///< this start, in grants
    core::time_point started = now();
    core::membership members;
    core::quota_owner quotas;
    core::reader_selection source_readers;
    std::uint64_t announced = 0; ///< revision of the newest source update
    unsigned source_update_rounds = 0;
    udp::socket socket;
    udp::endpoint sender;
    std::array<std::uint8_t, greatest_datagram> input{};
    asio::steady_timer gossip_timer;
    asio::steady_timer source_update_timer;
    std::vector<core::instance_address> seeds;
    std::size_t seed_index = 0;
    unsigned rounds = 0;
    bool leaving = false;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, place_call_state> places;
    std::map<std::uint64_t, granted_state> grants;
    std::map<std::uint64_t, admit_call_state> admits;
    std::map<std::uint64_t, done_state> ends;
    service_owners owners;
    fleet_counters counts;
};

udp::endpoint fleet::state::endpoint_of(core::instance_address address) const
{
    return {asio::ip::address_v4(address), this->settings.self.port};
}

// A full socket buffer loses the datagram, as the network may: every call is
// repeated.
void fleet::state::send(core::instance_address to,
                        const core::fleet_message& message)
{
    const std::vector<std::uint8_t> bytes = encode_message(message);
    if (bytes.size() > greatest_datagram)
    {
        log::write(log::level::warning, "datagram_too_large",
                   {log::kv("bytes", bytes.size())});
        return;
    }
    error_code failure;
    this->socket.send_to(asio::buffer(bytes), this->endpoint_of(to), 0,
                         failure);
    ++this->counts.datagrams_sent;
    this->counts.bytes_sent += bytes.size();
}

void fleet::state::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->input), this->sender,
        [this](error_code failure, std::size_t count)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure && this->sender.address().is_v4())
            {
                ++this->counts.datagrams_received;
                const auto message = decode_message(
                    std::span<const std::uint8_t>(this->input.data(), count));
                if (message)
                {
                    this->handle(this->sender.address().to_v4().to_uint(),
                                 *message);
                }
                else
                {
                    ++this->counts.datagrams_invalid;
                }
            }
            this->receive();
        });
}

void fleet::state::handle(core::instance_address from,
                          const core::fleet_message& message)
{
    std::visit(
        [this, from](const auto& chosen)
        {
            this->on(from, chosen);
        },
        message);
}

core::gossip fleet::state::make_gossip(bool wants_reply, std::size_t entries)
{
    core::gossip message;
    message.incarnation = this->settings.incarnation;
    message.revision = this->sources.revision();
    message.wants_reply = wants_reply;
    message.leaving = this->leaving;
    message.members = this->members.make_reports(entries, now());
    return message;
}

void fleet::state::set_seeds(const std::vector<std::string>& addresses)
{
    this->seeds.clear();
    for (const std::string& text : addresses)
    {
        error_code failure;
        const auto seed = asio::ip::make_address_v4(text, failure);
        if (!failure && seed.to_uint() != this->own)
        {
            this->seeds.push_back(seed.to_uint());
        }
    }
}

std::optional<core::instance_address> fleet::state::next_seed()
{
    if (this->seeds.empty())
    {
        return std::nullopt;
    }
    this->seed_index = (this->seed_index + 1) % this->seeds.size();
    return this->seeds[this->seed_index];
}

bool fleet::state::has_run_for(core::duration time) const
{
    return now() - this->started >= time;
}

void fleet::state::gossip_round()
{
    this->members.tick(now());
    const bool joining = !this->has_run_for(join_time);
    const std::size_t entries = joining ? join_entries : gossip_entries;
    const auto peer = this->members.random_peer(now());
    const bool alone = !peer.has_value();
    if (peer)
    {
        this->send(*peer, this->make_gossip(true, entries));
    }
    const unsigned every = joining ? join_seed_rounds : seed_rounds;
    if (alone || ++this->rounds % every == 0)
    {
        if (const auto seed = this->next_seed())
        {
            this->send(*seed, this->make_gossip(true, entries));
        }
    }
    this->wait_for(this->gossip_timer,
                   alone || joining ? join_period : gossip_period,
                   [this]
                   {
                       this->gossip_round();
                   });
}

void fleet::state::on(core::instance_address from, const core::gossip& message)
{
    if (message.leaving)
    {
        this->members.record_leave(from, message.incarnation, now());
        return;
    }
    // The first messages of an instance hold fewer entries than those of one
    // that has long run, the next ones more.
    const bool joins = message.members.size() != gossip_entries;
    this->members.record_message(from, message.incarnation, now());
    this->members.merge(message.members, now());
    if (message.wants_reply)
    {
        this->send(from, this->make_gossip(false, joins ? join_entries
                                                        : gossip_entries));
    }
    if (message.revision > this->sources.revision())
    {
        this->sources.on_newer(asio::ip::address_v4(from).to_string(),
                               message.revision);
    }
}

void fleet::state::on(core::instance_address from,
                      const core::subscribe& message)
{
    this->members.record_message(from, message.incarnation, now());
    this->source_readers.add_subscriber(from, now());
}

void fleet::state::on(core::instance_address from,
                      const core::source_update& message)
{
    if (message.revision > this->sources.revision() &&
        !message.changes.empty() &&
        message.base_revision <= this->sources.revision())
    {
        this->sources.on_changes(message.changes);
    }
    if (message.revision > this->sources.revision())
    {
        this->sources.on_newer(asio::ip::address_v4(from).to_string(),
                               message.revision);
        return;
    }
    // What is known here is at least as new as what the source confirmed.
    this->source_readers.record_confirmation(message.age, now());
    if (message.age < fresh_confirmation)
    {
        this->sources.peer_confirmed();
    }
}

void fleet::state::send_source_updates(std::uint64_t since)
{
    const auto age = this->source_readers.confirmation_age(now());
    if (!age)
    {
        return;
    }
    core::source_update message;
    message.revision = this->sources.revision();
    message.age = std::chrono::ceil<milliseconds>(*age);
    message.base_revision = since;
    if (since < message.revision)
    {
        message.changes = this->sources.changes(since);
        if (message.changes.size() > max_changes_bytes)
        {
            message.changes.clear();
        }
    }
    for (const core::instance_address to :
         this->source_readers.active_subscribers(now()))
    {
        this->send(to, message);
    }
    this->announced = message.revision;
}

// Chooses the readers, keeps subscriptions alive and sends source updates.
void fleet::state::source_update_round()
{
    this->source_readers.update(this->members, now());
    if (this->source_update_rounds++ % subscribe_rounds == 0)
    {
        for (const core::instance_address reader :
             this->source_readers.readers())
        {
            this->send(reader, core::subscribe{this->settings.incarnation});
        }
    }
    this->send_source_updates(this->sources.revision());
    this->sources.read(this->source_readers.must_read(now()));
    this->wait_for(
        this->source_update_timer,
        std::chrono::duration_cast<milliseconds>(core::source_update_period),
        [this]
        {
            this->source_update_round();
        });
}

core::quota_answer fleet::state::admit_here(const std::string& account,
                                            double share)
{
    auto terms = this->sources.terms(account);
    if (!terms)
    {
        return {true, {}};
    }
    terms->owner_share = share;
    if (!this->has_run_for(settle_time))
    {
        terms->initial_fill = unsettled_fill;
    }
    return this->quotas.take(account, *terms, now());
}

void fleet::state::on(core::instance_address from,
                      const core::admit_call& message)
{
    core::admit_reply reply;
    reply.number = message.number;
    reply.account_exists = this->sources.terms(message.account).has_value();
    if (reply.account_exists)
    {
        reply.answer = this->admit_here(message.account,
                                        this->members.live_fraction(now()));
    }
    this->send(from, reply);
}

void fleet::state::on(core::instance_address from,
                      const core::admit_reply& message)
{
    const auto found = this->admits.find(message.number);
    if (found == this->admits.end() || found->second.owner != from)
    {
        return;
    }
    core::quota_answer answer = message.answer;
    if (!message.account_exists)
    {
        answer = this->admit_here(found->second.account,
                                  this->members.instance_fraction());
    }
    this->finish_admit(message.number, answer);
}

// Sends a late answer to the instance that waits for it.
void fleet::state::answer(const core::grant_id& grant,
                          const core::place_answer& answer)
{
    if (grant.instance == this->instance)
    {
        this->finish_place(grant.number, answer);
        return;
    }
    const auto address =
        static_cast<core::instance_address>(grant.instance >> 32U);
    this->send(address, core::place_reply{grant.number, answer});
}

void fleet::state::on(core::instance_address from,
                      const core::place_call& message)
{
    const auto owner = static_cast<core::instance_address>(
        message.request.grant.instance >> 32U);
    if (owner != from)
    {
        ++this->counts.datagrams_invalid;
        return;
    }
    this->send(from, core::place_reply{message.request.grant.number,
                                       this->owners.request(message.service,
                                                            message.request)});
}

void fleet::state::on(core::instance_address from,
                      const core::place_reply& message)
{
    const auto found = this->places.find(message.number);
    if (found == this->places.end())
    {
        // The request has ended or was placed by another owner: the server's
        // slot must not stay taken.
        const auto held = this->grants.find(message.number);
        const bool used =
            held != this->grants.end() && held->second.owner == from;
        if (!used && std::holds_alternative<core::placed>(message.answer))
        {
            core::done_call unused;
            unused.grant = {this->instance, message.number};
            this->send(from, unused);
        }
        return;
    }
    place_call_state& call = found->second;
    if (call.owner >= call.owners.size() || call.owners[call.owner] != from)
    {
        return;
    }
    call.calls = 0;
    if (std::holds_alternative<core::queued>(message.answer))
    {
        this->wait_for(*call.timer, queued_repeat,
                       [this, number = message.number]
                       {
                           this->call_owner(number);
                       });
        return;
    }
    this->finish_place(message.number, message.answer);
}

void fleet::state::on(core::instance_address from,
                      const core::done_call& message)
{
    const auto owner =
        static_cast<core::instance_address>(message.grant.instance >> 32U);
    if (owner != from)
    {
        ++this->counts.datagrams_invalid;
        return;
    }
    this->send(from, core::done_reply{message.grant.number});
    this->owners.finished(message);
}

void fleet::state::on(core::instance_address /*from*/,
                      const core::done_reply& message)
{
    this->ends.erase(message.number);
}

void fleet::state::wait_for(asio::steady_timer& timer,
                            milliseconds time,
                            std::function<void()> then)
{
    timer.expires_after(time);
    timer.async_wait(
        [then = std::move(then)](error_code failure)
        {
            if (!failure)
            {
                then();
            }
        });
}

// Asks the current owner of the call, or decides here when it is this instance
// or none answers.
void fleet::state::call_owner(std::uint64_t number)
{
    const auto found = this->places.find(number);
    if (found == this->places.end())
    {
        return;
    }
    place_call_state& call = found->second;
    core::place_request asked = call.asked;
    const core::duration waited = now() - call.asked_at;
    asked.time_to_deadline -= std::min(asked.time_to_deadline, waited);
    asked.time_to_objective -= std::min(asked.time_to_objective, waited);
    if (asked.time_to_deadline <= core::duration(0))
    {
        this->finish_place(
            number,
            core::place_refused{core::result_code::deadline_unreachable, {}});
        return;
    }
    const bool exhausted = call.owner >= call.owners.size();
    if (exhausted || call.owners[call.owner] == this->own)
    {
        this->counts.local_decisions += exhausted ? 1 : 0;
        const core::place_answer answer =
            this->owners.request(call.service, asked);
        if (!std::holds_alternative<core::queued>(answer))
        {
            this->finish_place(number, answer);
        }
        return;
    }
    this->counts.calls_repeated += call.calls > 0 ? 1 : 0;
    ++call.calls;
    this->send(call.owners[call.owner], core::place_call{call.service, asked});
    this->wait_for(*call.timer, call_repeat,
                   [this, number]
                   {
                       this->place_unanswered(number);
                   });
}

void fleet::state::place_unanswered(std::uint64_t number)
{
    const auto found = this->places.find(number);
    if (found == this->places.end())
    {
        return;
    }
    place_call_state& call = found->second;
    if (call.calls >= calls_per_owner)
    {
        const core::instance_address silent = call.owners[call.owner];
        this->members.suspect(silent, now());
        ++this->counts.owners_passed_over;
        log::write(log::level::info, "home_unanswered",
                   {log::kv("service", call.service),
                    log::kv("home", asio::ip::address_v4(silent).to_string())});
        ++call.owner;
        call.calls = 0;
    }
    this->call_owner(number);
}

void fleet::state::finish_place(std::uint64_t number,
                                const core::place_answer& answer)
{
    const auto found = this->places.find(number);
    if (found == this->places.end())
    {
        return;
    }
    place_call_state call = std::move(found->second);
    this->places.erase(found);
    call.timer->cancel();
    if (std::holds_alternative<core::placed>(answer))
    {
        const bool here = call.owner >= call.owners.size();
        this->grants[number] = {call.service,
                                here ? this->own : call.owners[call.owner]};
    }
    call.done(answer);
}

void fleet::state::call_account_owner(std::uint64_t number)
{
    const auto found = this->admits.find(number);
    if (found == this->admits.end())
    {
        return;
    }
    admit_call_state& call = found->second;
    if (call.calls >= calls_per_owner)
    {
        this->members.suspect(call.owner, now());
        ++this->counts.owners_passed_over;
        ++this->counts.local_decisions;
        this->finish_admit(
            number,
            this->admit_here(call.account, this->members.instance_fraction()));
        return;
    }
    ++call.calls;
    this->send(call.owner, core::admit_call{number, call.account});
    this->wait_for(*call.timer, call_repeat,
                   [this, number]
                   {
                       this->call_account_owner(number);
                   });
}

void fleet::state::finish_admit(std::uint64_t number,
                                const core::quota_answer& answer)
{
    const auto found = this->admits.find(number);
    if (found == this->admits.end())
    {
        return;
    }
    admit_call_state call = std::move(found->second);
    this->admits.erase(found);
    call.timer->cancel();
    call.done(answer);
}

void fleet::state::send_done(std::uint64_t number)
{
    const auto found = this->ends.find(number);
    if (found == this->ends.end())
    {
        return;
    }
    done_state& item = found->second;
    if (item.calls > done_repeats)
    {
        this->ends.erase(found);
        return;
    }
    ++item.calls;
    this->send(item.owner, item.message);
    this->wait_for(*item.timer, done_repeat,
                   [this, number]
                   {
                       this->send_done(number);
                   });
}

core::result<std::unique_ptr<fleet>>
fleet::create(asio::io_context& io,
              const fleet_settings& settings,
              const core::server_registry& servers,
              fleet_sources sources)
{
    error_code failure;
    const auto address =
        asio::ip::make_address_v4(settings.self.address, failure);
    if (failure)
    {
        return core::make_error_code(core::result_code::settings_invalid);
    }
    auto made = std::make_unique<state>(io, settings, servers,
                                        std::move(sources), address.to_uint());
    made->set_seeds(settings.seeds);
    made->socket.open(udp::v4(), failure);
    if (!failure)
    {
        made->socket.bind(udp::endpoint(address, settings.self.port), failure);
    }
    if (!failure)
    {
        made->socket.non_blocking(true, failure);
    }
    if (failure)
    {
        return std::error_code(failure);
    }
    return std::unique_ptr<fleet>(new fleet(std::move(made)));
}

fleet::fleet(std::unique_ptr<state> initial) : self(std::move(initial)) {}

fleet::~fleet() = default;

void fleet::set_seeds(const std::vector<std::string>& addresses)
{
    this->self->set_seeds(addresses);
}

void fleet::start()
{
    this->self->receive();
    this->self->gossip_round();
    this->self->source_update_round();
}

void fleet::admit(const std::string& account, admit_handler done)
{
    state& own = *this->self;
    const auto owners = own.members.owners("account " + account, 1, now());
    if (owners.front() == own.own)
    {
        done(own.admit_here(account, own.members.live_fraction(now())));
        return;
    }
    const std::uint64_t number = ++own.last_number;
    state::admit_call_state call;
    call.account = account;
    call.done = std::move(done);
    call.owner = owners.front();
    call.timer = std::make_unique<asio::steady_timer>(own.io);
    own.admits.emplace(number, std::move(call));
    own.call_account_owner(number);
}

core::grant_id fleet::place(const std::string& service,
                            core::place_request asked,
                            place_handler done)
{
    state& own = *this->self;
    const std::uint64_t number = ++own.last_number;
    asked.grant = {own.instance, number};
    state::place_call_state call;
    call.service = service;
    call.asked = std::move(asked);
    call.done = std::move(done);
    call.asked_at = now();
    call.owners = own.members.owners("service " + service, owners_asked, now());
    call.timer = std::make_unique<asio::steady_timer>(own.io);
    own.places.emplace(number, std::move(call));
    own.call_owner(number);
    return {own.instance, number};
}

void fleet::withdraw(const core::grant_id& grant)
{
    state& own = *this->self;
    const auto found = own.places.find(grant.number);
    if (found == own.places.end())
    {
        return;
    }
    const state::place_call_state call = std::move(found->second);
    own.places.erase(found);
    const bool here = call.owner >= call.owners.size();
    own.grants[grant.number] = {call.service,
                                here ? own.own : call.owners[call.owner]};
    this->done(grant, core::send_outcome::cancelled, {});
}

void fleet::done(const core::grant_id& grant,
                 core::send_outcome outcome,
                 core::duration took)
{
    state& own = *this->self;
    const auto found = own.grants.find(grant.number);
    if (found == own.grants.end())
    {
        return;
    }
    const state::granted_state held = std::move(found->second);
    own.grants.erase(found);
    const core::done_call message{held.service, grant, outcome, took};
    if (held.owner == own.own)
    {
        own.owners.finished(message);
        return;
    }
    state::done_state item;
    item.message = message;
    item.owner = held.owner;
    item.timer = std::make_unique<asio::steady_timer>(own.io);
    own.ends.emplace(grant.number, std::move(item));
    own.send_done(grant.number);
}

void fleet::confirmed()
{
    this->self->source_readers.record_confirmation({}, now());
}

void fleet::announce()
{
    state& own = *this->self;
    own.send_source_updates(own.announced);
    for (unsigned index = 0; index < announce_peers; ++index)
    {
        if (const auto peer = own.members.random_peer(now()))
        {
            own.send(*peer, own.make_gossip(false, 1));
        }
    }
}

void fleet::leave()
{
    state& own = *this->self;
    own.leaving = true;
    const core::gossip message = own.make_gossip(false, 1);
    for (const auto& report : own.members.make_reports(join_entries, now()))
    {
        if (report.address != own.own)
        {
            own.send(report.address, message);
        }
    }
}

void fleet::close()
{
    state& own = *this->self;
    error_code ignored;
    own.socket.close(ignored);
    own.gossip_timer.cancel();
    own.source_update_timer.cancel();
    own.owners.close();
    own.places.clear();
    own.admits.clear();
    own.ends.clear();
}

std::size_t fleet::live() const
{
    return this->self->members.live_count(now());
}

const fleet_counters& fleet::counters() const noexcept
{
    return this->self->counts;
}

} // namespace medlarbarrow::net
