#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/readers.hpp>
#include <medlarbarrow/core/recent_leaving_marks.hpp>
#include <medlarbarrow/net/admit_calls.hpp>
#include <medlarbarrow/net/crash_exchange.hpp>
#include <medlarbarrow/net/fleet.hpp>
#include <medlarbarrow/net/fleet_codec.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/place_calls.hpp>
#include <medlarbarrow/net/service_owners.hpp>
#include <medlarbarrow/net/timers.hpp>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
using asio::ip::udp;
using error_code = boost::system::error_code;
using std::chrono::milliseconds;

constexpr milliseconds gossip_period{500};
/// Gossip period while an instance knows no other one, and for join_duration
/// after its start. If all processes were restarted, every instance is its own
/// owner until it has heard of the others, and what they grant adds up.
constexpr milliseconds join_period{100};
constexpr std::chrono::seconds join_duration{2};
/// Member reports in a gossip message.
constexpr std::size_t gossip_reports = 16;
/// Member reports in a message from or to an instance that has just started.
constexpr std::size_t join_reports = 64;
/// A seed gets a message every this many gossip rounds. These messages rejoin
/// the parts of a fleet after a long network partition.
constexpr unsigned rounds_per_seed_message = 4;
constexpr unsigned join_rounds_per_seed_message = 2;
/// Random peers that get gossip at once about a new revision.
constexpr unsigned announcement_peers = 4;

/// Larger changes are left out of source updates and fetched over TCP.
constexpr std::size_t max_changes_bytes = 1200;
/// If a reader's latest confirmation is older than this, the reader itself
/// cannot reach the source.
constexpr milliseconds max_confirmation_age{1500};
/// Subscriptions are renewed every this many rounds of source updates.
constexpr unsigned rounds_per_subscription = 3;

core::time_point now()
{
    return core::boot_clock::now();
}

const char* name_of(leaving_source from) noexcept
{
    switch (from)
    {
    case leaving_source::answer:
        return "answer";
    case leaving_source::owner_report:
        return "owner_report";
    case leaving_source::gossip:
        break;
    }
    return "gossip";
}

} // namespace

struct fleet::state
{
    state(asio::io_context& context,
          const fleet_settings& initial_settings,
          core::server_registry& registry,
          fleet_callbacks initial_callbacks,
          core::instance_address address)
        : io(context), settings(initial_settings), servers(registry),
          callbacks(std::move(initial_callbacks)), own_address(address),
          instance_id(std::uint64_t{address} << 32U |
                      (initial_settings.incarnation & 0xffffffffU)),
          members(address,
                  initial_settings.incarnation,
                  initial_settings.incarnation ^ address),
          source_readers(address), socket(context), gossip_timer(context),
          source_update_timer(context), shards(registry, this->instance_id),
          owned_shards(context,
                       this->shards,
                       registry,
                       initial_settings.retry_limits,
                       this->instance_id,
                       this->owner_handlers()),
          crashes({this->members, this->shards, this->owned_shards.crashes(),
                   address, this->sender()}),
          places({context, this->members, this->shards, this->owned_shards,
                  address, this->instance_id, this->sender(),
                  [this](const core::shard_id& shard,
                         const core::crash_event& crash,
                         core::instance_address granted_by)
                  {
                      this->crashes.on_lost_send(shard, crash, granted_by);
                  }}),
          admissions({context, this->members, address,
                      this->callbacks.account_limit, this->sender()})
    {
        this->owned_shards.set_floor_share(initial_settings.floor_share);
    }

    service_owners::handlers owner_handlers();

    /// Sends messages for the parts of this object.
    crash_exchange::message_sender sender();

    udp::endpoint endpoint_of(core::instance_address address) const;
    void send(core::instance_address recipient,
              const core::fleet_message& message);
    void receive();
    void dispatch(core::instance_address sender,
                  const core::fleet_message& message);
    void on_message(core::instance_address sender, const core::gossip& message);
    void on_message(core::instance_address sender,
                    const core::admit_call& message);
    void on_message(core::instance_address sender,
                    const core::admit_reply& message);
    void on_message(core::instance_address sender,
                    const core::place_call& message);
    void on_message(core::instance_address sender,
                    const core::place_reply& message);
    void on_message(core::instance_address sender,
                    const core::done_call& message);
    void on_message(core::instance_address sender,
                    const core::done_reply& message);
    void on_message(core::instance_address sender,
                    const core::stream_call& message);
    void on_message(core::instance_address sender,
                    const core::stream_reply& message);
    void on_message(core::instance_address sender,
                    const core::shard_crash_report& message);
    void on_message(core::instance_address sender,
                    const core::crash_suspects& message);
    void on_message(core::instance_address sender,
                    const core::subscribe& message);
    void on_message(core::instance_address sender,
                    const core::source_update& message);

    void source_update_round();
    void send_source_updates(const core::source_position& since);

    void record_leaving(const core::leaving_run& run, leaving_source from);

    core::gossip make_gossip(bool wants_reply, std::size_t report_count);
    void gossip_round();
    bool has_run_for(core::duration period) const;
    std::optional<core::instance_address> next_seed();
    void set_seeds(const std::vector<std::string>& addresses);

    void send_place_answer(const core::grant_id& grant,
                           const core::shard_id& shard,
                           const core::place_answer& answer);
    asio::io_context& io;
    fleet_settings settings;
    core::server_registry& servers;
    core::recent_leaving_marks recent_marks;
    fleet_callbacks callbacks;
    core::instance_address own_address;
    std::uint64_t instance_id; ///< address and incarnation, identifies grants
    core::time_point started = now();
    core::membership members;
    core::reader_selection source_readers;
    /// Of the newest source update that was sent.
    core::source_position announced_position;
    unsigned source_update_rounds = 0;
    udp::socket socket;
    udp::endpoint sender_endpoint;
    std::array<std::uint8_t, max_datagram_bytes> receive_buffer{};
    asio::steady_timer gossip_timer;
    asio::steady_timer source_update_timer;
    std::vector<core::instance_address> seeds;
    std::size_t seed_index = 0;
    unsigned gossip_rounds = 0;
    bool leaving = false;
    core::shard_directory shards;
    service_owners owned_shards;
    crash_exchange crashes;
    place_calls places;
    admit_calls admissions;
    fleet_counters counter_values;
};

udp::endpoint fleet::state::endpoint_of(core::instance_address address) const
{
    return {asio::ip::address_v4(address), this->settings.self.port};
}

// Send errors are ignored. A full socket buffer loses the datagram, as the
// network may, and every call is repeated.
void fleet::state::send(core::instance_address recipient,
                        const core::fleet_message& message)
{
    const std::vector<std::uint8_t> bytes = encode_message(message);
    if (bytes.size() > max_datagram_bytes)
    {
        log::write(log::level::warning, "datagram_too_large",
                   {log::kv("bytes", bytes.size())});
        return;
    }
    error_code failure;
    this->socket.send_to(asio::buffer(bytes), this->endpoint_of(recipient), 0,
                         failure);
    ++this->counter_values.datagrams_sent;
    this->counter_values.bytes_sent += bytes.size();
}

crash_exchange::message_sender fleet::state::sender()
{
    return [this](core::instance_address recipient,
                  const core::fleet_message& message)
    {
        this->send(recipient, message);
    };
}

void fleet::state::receive()
{
    this->socket.async_receive_from(
        asio::buffer(this->receive_buffer), this->sender_endpoint,
        [this](error_code failure, std::size_t count)
        {
            if (failure == asio::error::operation_aborted)
            {
                return;
            }
            if (!failure && this->sender_endpoint.address().is_v4())
            {
                ++this->counter_values.datagrams_received;
                const auto message =
                    decode_message(std::span<const std::uint8_t>(
                        this->receive_buffer.data(), count));
                if (message)
                {
                    this->dispatch(
                        this->sender_endpoint.address().to_v4().to_uint(),
                        *message);
                }
                else
                {
                    ++this->counter_values.datagrams_invalid;
                }
            }
            this->receive();
        });
}

void fleet::state::dispatch(core::instance_address sender,
                            const core::fleet_message& message)
{
    std::visit(
        [this, sender](const auto& typed_message)
        {
            this->on_message(sender, typed_message);
        },
        message);
}

core::gossip fleet::state::make_gossip(bool wants_reply,
                                       std::size_t report_count)
{
    core::gossip message;
    message.incarnation = this->settings.incarnation;
    message.position = this->callbacks.position();
    message.carried_digest = this->callbacks.carried_digest();
    message.wants_reply = wants_reply;
    message.leaving = this->leaving;
    message.members = this->members.make_reports(report_count, now());
    message.leaving_runs = this->recent_marks.take(now());
    return message;
}

void fleet::state::set_seeds(const std::vector<std::string>& addresses)
{
    this->seeds.clear();
    for (const std::string& text : addresses)
    {
        error_code failure;
        const auto seed = asio::ip::make_address_v4(text, failure);
        if (!failure && seed.to_uint() != this->own_address)
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

bool fleet::state::has_run_for(core::duration period) const
{
    return now() - this->started >= period;
}

// Sends gossip to a random peer, and to a seed in some rounds or if no peer is
// known.
void fleet::state::gossip_round()
{
    this->members.tick(now());
    const bool joining = !this->has_run_for(join_duration);
    const std::size_t report_count = joining ? join_reports : gossip_reports;
    const auto peer = this->members.random_peer(now());
    const bool knows_no_peer = !peer.has_value();
    if (peer)
    {
        this->send(*peer, this->make_gossip(true, report_count));
        this->crashes.gossip_to(*peer);
    }
    const unsigned rounds_per_seed =
        joining ? join_rounds_per_seed_message : rounds_per_seed_message;
    if (knows_no_peer || ++this->gossip_rounds % rounds_per_seed == 0)
    {
        if (const auto seed = this->next_seed())
        {
            this->send(*seed, this->make_gossip(true, report_count));
        }
    }
    run_after(this->gossip_timer,
              knows_no_peer || joining ? join_period : gossip_period,
              [this]
              {
                  this->gossip_round();
              });
}

void fleet::state::on_message(core::instance_address sender,
                              const core::gossip& message)
{
    for (const core::leaving_run& run : message.leaving_runs)
    {
        this->record_leaving(run, leaving_source::gossip);
    }
    if (message.leaving)
    {
        this->members.record_leave(sender, message.incarnation, now());
        return;
    }
    // An instance that has run for some time sends exactly gossip_reports
    // reports. The first messages of a new instance hold fewer, the next ones
    // more.
    const bool sender_is_joining = message.members.size() != gossip_reports;
    this->members.record_message(sender, message.incarnation, now());
    this->members.merge(message.members, now());
    if (message.wants_reply)
    {
        this->send(sender, this->make_gossip(false, sender_is_joining
                                                        ? join_reports
                                                        : gossip_reports));
    }
    // A new instance becomes the owner of shards once it is known.
    if (sender_is_joining)
    {
        this->crashes.gossip_to(sender);
    }
    const core::source_position known = this->callbacks.position();
    const bool carries_other_items =
        message.position.era == known.era && message.position >= known &&
        message.carried_digest != 0 &&
        message.carried_digest != this->callbacks.carried_digest();
    if (message.position > known || carries_other_items)
    {
        this->callbacks.on_news_at_peer(
            asio::ip::address_v4(sender).to_string(), message.position);
    }
}

// Every instance that learns of a leaving run passes it on once, for a limited
// time, so that it reaches also those that are out of reach of the first.
void fleet::state::record_leaving(const core::leaving_run& run,
                                  leaving_source from)
{
    const core::mark_origin word = from == leaving_source::answer
                                       ? core::mark_origin::own_answer
                                       : core::mark_origin::other_instance;
    if (run.server.empty() || !this->servers.mark_leaving(run, now(), word))
    {
        return;
    }
    ++this->counter_values.leaving_runs_learned;
    log::write(log::level::info, "server_leaving",
               {log::kv("server", run.server), log::kv("started", run.started),
                log::kv("source", name_of(from))});
    this->recent_marks.add(run, now());
}

void fleet::state::on_message(core::instance_address sender,
                              const core::subscribe& message)
{
    this->members.record_message(sender, message.incarnation, now());
    this->source_readers.add_subscriber(sender, now());
}

void fleet::state::on_message(core::instance_address sender,
                              const core::source_update& message)
{
    if (message.position > this->callbacks.position() &&
        !message.changes.empty() && message.base <= this->callbacks.position())
    {
        this->callbacks.on_changes(message.changes);
    }
    const core::source_position known = this->callbacks.position();
    if (message.position > known)
    {
        this->callbacks.on_news_at_peer(
            asio::ip::address_v4(sender).to_string(), message.position);
        return;
    }
    // What the source said in an earlier era confirms nothing.
    if (message.position.era < known.era)
    {
        return;
    }
    // The state known here is at least as new as the one that the source
    // confirmed to the sender.
    this->source_readers.record_confirmation(message.age, now());
    if (message.age < max_confirmation_age)
    {
        this->callbacks.on_peer_confirmation();
    }
}

// Sends the changes after the position `since` to the subscribers. Does nothing
// before the first confirmation.
void fleet::state::send_source_updates(const core::source_position& since)
{
    const auto age = this->source_readers.confirmation_age(now());
    if (!age)
    {
        return;
    }
    core::source_update message;
    message.position = this->callbacks.position();
    message.age = std::chrono::ceil<milliseconds>(*age);
    message.base = since;
    if (since < message.position)
    {
        message.changes = this->callbacks.changes_since(since);
        if (message.changes.size() > max_changes_bytes)
        {
            message.changes.clear();
        }
    }
    for (const core::instance_address recipient :
         this->source_readers.active_subscribers(now()))
    {
        this->send(recipient, message);
    }
    this->announced_position = message.position;
}

// Selects the readers, renews the subscriptions and sends source updates.
void fleet::state::source_update_round()
{
    this->source_readers.update(this->members, now());
    if (this->source_update_rounds++ % rounds_per_subscription == 0)
    {
        for (const core::instance_address reader :
             this->source_readers.readers())
        {
            this->send(reader, core::subscribe{this->settings.incarnation});
        }
    }
    this->send_source_updates(this->callbacks.position());
    this->callbacks.set_reading_enabled(this->source_readers.must_read(now()));
    run_after(
        this->source_update_timer,
        std::chrono::duration_cast<milliseconds>(core::source_update_period),
        [this]
        {
            this->source_update_round();
        });
}

void fleet::state::on_message(core::instance_address sender,
                              const core::admit_call& message)
{
    this->admissions.on_call(sender, message);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::admit_reply& message)
{
    this->admissions.on_reply(sender, message);
}

service_owners::handlers fleet::state::owner_handlers()
{
    service_owners::handlers handlers;
    handlers.on_answer = [this](const core::grant_id& grant,
                                const core::shard_id& shard,
                                const core::place_answer& late_answer)
    {
        this->send_place_answer(grant, shard, late_answer);
    };
    handlers.on_crash =
        [this](const core::shard_id& shard, const core::crash_event& crash)
    {
        this->crashes.report_to_other_shards(shard, crash);
    };
    handlers.instance_fraction = [this]
    {
        return this->members.instance_fraction();
    };
    return handlers;
}

// Passes a deferred answer to the instance that waits for it.
void fleet::state::send_place_answer(const core::grant_id& grant,
                                     const core::shard_id& shard,
                                     const core::place_answer& answer)
{
    if (grant.instance == this->instance_id)
    {
        this->places.on_own_answer(grant, shard, answer);
        return;
    }
    const auto address =
        static_cast<core::instance_address>(grant.instance >> 32U);
    this->send(address, core::place_reply{grant.number, answer, shard.number,
                                          this->owned_shards.load(shard)});
}

void fleet::state::on_message(core::instance_address /*sender*/,
                              const core::shard_crash_report& message)
{
    this->crashes.on_message(message);
}

void fleet::state::on_message(core::instance_address /*sender*/,
                              const core::crash_suspects& message)
{
    this->crashes.on_message(message);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::place_call& message)
{
    const auto owner = static_cast<core::instance_address>(
        message.request.grant.instance >> 32U);
    if (owner != sender)
    {
        ++this->counter_values.datagrams_invalid;
        return;
    }
    const core::place_answer answer = this->owned_shards.request(
        message.shard, decision_scope::fleet, message.request);
    this->send(sender,
               core::place_reply{message.request.grant.number, answer,
                                 message.shard.number,
                                 this->owned_shards.load(message.shard)});
}

void fleet::state::on_message(core::instance_address sender,
                              const core::place_reply& message)
{
    this->places.on_reply(sender, message);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::done_call& message)
{
    const auto owner =
        static_cast<core::instance_address>(message.grant.instance >> 32U);
    if (owner != sender)
    {
        ++this->counter_values.datagrams_invalid;
        return;
    }
    this->send(sender,
               core::done_reply{message.grant.number, message.shard.number});
    if (message.notice.leaving)
    {
        this->record_leaving({message.notice.server, message.notice.started},
                             leaving_source::owner_report);
    }
    this->owned_shards.on_send_ended(message);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::done_reply& message)
{
    this->places.on_reply(sender, message);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::stream_call& message)
{
    const auto holder =
        static_cast<core::instance_address>(message.grant.instance >> 32U);
    if (holder != sender)
    {
        ++this->counter_values.datagrams_invalid;
        return;
    }
    if (this->owned_shards.on_stream(message))
    {
        this->send(sender, core::stream_reply{message.grant.number});
    }
}

void fleet::state::on_message(core::instance_address sender,
                              const core::stream_reply& message)
{
    this->places.on_reply(sender, message);
}

core::result<std::unique_ptr<fleet>>
fleet::create(asio::io_context& io,
              const fleet_settings& settings,
              core::server_registry& servers,
              fleet_callbacks callbacks)
{
    error_code failure;
    const auto address =
        asio::ip::make_address_v4(settings.self.address, failure);
    if (failure)
    {
        return core::make_error_code(core::result_code::settings_invalid);
    }
    auto initial = std::make_unique<state>(
        io, settings, servers, std::move(callbacks), address.to_uint());
    initial->set_seeds(settings.seeds);
    initial->socket.open(udp::v4(), failure);
    if (!failure)
    {
        initial->socket.bind(udp::endpoint(address, settings.self.port),
                             failure);
    }
    if (!failure)
    {
        initial->socket.non_blocking(true, failure);
    }
    if (failure)
    {
        return std::error_code(failure);
    }
    return std::unique_ptr<fleet>(new fleet(std::move(initial)));
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

void fleet::admit(const std::string& account, admit_handler handler)
{
    this->self->admissions.admit(account, std::move(handler));
}

core::grant_id fleet::place(const std::string& service,
                            core::place_request request,
                            place_handler handler)
{
    return this->self->places.place(service, std::move(request),
                                    std::move(handler));
}

std::vector<const core::announced_server*>
fleet::usable_servers(const std::string& service)
{
    core::shard_directory& shards = this->self->shards;
    std::vector<const core::announced_server*> usable;
    const std::uint32_t count = shards.count(service);
    for (std::uint32_t number = 0; number < count; ++number)
    {
        const auto& servers = shards.servers({service, number});
        usable.insert(usable.end(), servers.begin(), servers.end());
    }
    return usable;
}

void fleet::withdraw(const core::grant_id& grant)
{
    this->self->places.withdraw(grant);
}

void fleet::report_send_end(const core::send_end& end,
                            const core::server_notice& notice)
{
    this->self->places.report_send_end(end, notice);
}

void fleet::report_stream(const core::grant_id& grant,
                          bool unread,
                          std::function<void()> end_send)
{
    this->self->places.report_stream(grant, unread, std::move(end_send));
}

void fleet::record_leaving(const core::leaving_run& run, leaving_source from)
{
    this->self->record_leaving(run, from);
}

void fleet::record_source_confirmation()
{
    this->self->source_readers.record_confirmation({}, now());
}

void fleet::announce_revision()
{
    state& impl = *this->self;
    impl.send_source_updates(impl.announced_position);
    for (unsigned index = 0; index < announcement_peers; ++index)
    {
        if (const auto peer = impl.members.random_peer(now()))
        {
            impl.send(*peer, impl.make_gossip(false, 1));
        }
    }
}

void fleet::leave()
{
    state& impl = *this->self;
    impl.leaving = true;
    const core::gossip message = impl.make_gossip(false, 1);
    for (const auto& report : impl.members.make_reports(join_reports, now()))
    {
        if (report.address != impl.own_address)
        {
            impl.send(report.address, message);
            impl.crashes.hand_over_to(report.address);
        }
    }
}

void fleet::close()
{
    state& impl = *this->self;
    error_code ignored;
    impl.socket.close(ignored);
    impl.gossip_timer.cancel();
    impl.source_update_timer.cancel();
    impl.owned_shards.close();
    impl.places.close();
    impl.admissions.close();
}

std::size_t fleet::live_count() const
{
    return this->self->members.live_count(now());
}

fleet_counters fleet::counters() const
{
    fleet_counters counters = this->self->counter_values;
    const place_call_counters& places = this->self->places.counters();
    counters.calls_repeated += places.calls_repeated;
    const admit_call_counters& admissions = this->self->admissions.counters();
    counters.owners_passed_over +=
        places.owners_passed_over + admissions.owners_passed_over;
    counters.local_decisions +=
        places.local_decisions + admissions.local_decisions;
    counters.second_shards_asked = places.second_shards_asked;
    return counters;
}

std::vector<shard_spread> fleet::spreads() const
{
    return this->self->owned_shards.spreads();
}

} // namespace medlarbarrow::net
