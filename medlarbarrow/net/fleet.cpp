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

/// A call that gets no answer within this time is repeated, up to the limit of
/// calls to one owner.
constexpr milliseconds call_timeout{60};
constexpr unsigned max_calls_per_owner = 2;
/// Owners that are tried for a place call before it is decided here.
constexpr std::size_t max_owners_tried = 2;

/// The call of a queued request is repeated in this period, because the late
/// answer may be lost.
constexpr milliseconds queued_call_period{300};

constexpr milliseconds done_call_timeout{150};
constexpr unsigned max_done_repeats = 4;

constexpr milliseconds gossip_period{500};
/// Gossip period while an instance knows no other one, and for join_duration
/// after its start. If all processes were restarted, every instance is its own
/// owner until it has heard of the others, and what they grant adds up.
constexpr milliseconds join_period{100};
constexpr std::chrono::seconds join_duration{1};
/// For settle_duration after its start, an owner grants an account only this
/// part of its burst, because other instances may not know this owner yet.
constexpr std::chrono::seconds settle_duration{3};
constexpr double settling_bucket_fill = 0.15;
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

} // namespace

struct fleet::state
{
    /// A place request that waits for its answer.
    struct place_call_state
    {
        std::string service;
        core::place_request request;
        place_handler handler;
        core::time_point requested_at{};
        std::vector<core::instance_address> owners;
        std::size_t owner_index = 0; ///< index into owners
        /// Calls to the current owner since its last answer.
        unsigned unanswered_calls = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    /// An admission that waits for the answer of the account's owner.
    struct admit_call_state
    {
        std::string account;
        admit_handler handler;
        core::instance_address owner = 0;
        unsigned unanswered_calls = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    /// A grant whose send has not ended yet.
    struct open_grant
    {
        std::string service;
        core::instance_address owner = 0;
    };

    /// The end of a send that its owner has not acknowledged yet.
    struct done_call_state
    {
        core::done_call message;
        core::instance_address owner = 0;
        unsigned unanswered_calls = 0;
        std::unique_ptr<asio::steady_timer> timer;
    };

    state(asio::io_context& context,
          const fleet_settings& initial_settings,
          const core::server_registry& registry,
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
          source_update_timer(context),
          owned_services(context,
                         registry,
                         initial_settings.retry_limits,
                         this->instance_id,
                         [this](const core::grant_id& grant,
                                const core::place_answer& late_answer)
                         {
                             this->send_place_answer(grant, late_answer);
                         })
    {
    }

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
                    const core::subscribe& message);
    void on_message(core::instance_address sender,
                    const core::source_update& message);

    void source_update_round();
    void send_source_updates(std::uint64_t since);

    core::gossip make_gossip(bool wants_reply, std::size_t report_count);
    void gossip_round();
    bool has_run_for(core::duration period) const;
    std::optional<core::instance_address> next_seed();
    void set_seeds(const std::vector<std::string>& addresses);

    void send_place_answer(const core::grant_id& grant,
                           const core::place_answer& answer);

    void call_service_owner(std::uint64_t number);
    void on_place_timeout(std::uint64_t number);
    void finish_place(std::uint64_t number, const core::place_answer& answer);
    void run_after(asio::steady_timer& timer,
                   milliseconds delay,
                   std::function<void()> callback);

    void call_account_owner(std::uint64_t number);
    void finish_admit(std::uint64_t number, const core::quota_answer& answer);
    core::quota_answer decide_admission(const std::string& account,
                                        double share);

    void send_done_call(std::uint64_t number);

    asio::io_context& io;
    fleet_settings settings;
    const core::server_registry& servers;
    fleet_callbacks callbacks;
    core::instance_address own_address;
    std::uint64_t instance_id; ///< address and incarnation, identifies grants
    core::time_point started = now();
    core::membership members;
    core::quota_owner quotas;
    core::reader_selection source_readers;
    /// Revision of the newest source update that was sent.
    std::uint64_t announced_revision = 0;
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
    std::uint64_t last_call_number = 0;
    std::map<std::uint64_t, place_call_state> place_calls;
    std::map<std::uint64_t, open_grant> grants;
    std::map<std::uint64_t, admit_call_state> admit_calls;
    std::map<std::uint64_t, done_call_state> done_calls;
    service_owners owned_services;
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
    message.revision = this->callbacks.revision();
    message.wants_reply = wants_reply;
    message.leaving = this->leaving;
    message.members = this->members.make_reports(report_count, now());
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
    this->run_after(this->gossip_timer,
                    knows_no_peer || joining ? join_period : gossip_period,
                    [this]
                    {
                        this->gossip_round();
                    });
}

void fleet::state::on_message(core::instance_address sender,
                              const core::gossip& message)
{
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
    if (message.revision > this->callbacks.revision())
    {
        this->callbacks.on_newer_revision(
            asio::ip::address_v4(sender).to_string(), message.revision);
    }
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
    if (message.revision > this->callbacks.revision() &&
        !message.changes.empty() &&
        message.base_revision <= this->callbacks.revision())
    {
        this->callbacks.on_changes(message.changes);
    }
    if (message.revision > this->callbacks.revision())
    {
        this->callbacks.on_newer_revision(
            asio::ip::address_v4(sender).to_string(), message.revision);
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

// Sends the changes after revision `since` to the subscribers. Does nothing
// before the first confirmation.
void fleet::state::send_source_updates(std::uint64_t since)
{
    const auto age = this->source_readers.confirmation_age(now());
    if (!age)
    {
        return;
    }
    core::source_update message;
    message.revision = this->callbacks.revision();
    message.age = std::chrono::ceil<milliseconds>(*age);
    message.base_revision = since;
    if (since < message.revision)
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
    this->announced_revision = message.revision;
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
    this->send_source_updates(this->callbacks.revision());
    this->callbacks.set_reading_enabled(this->source_readers.must_read(now()));
    this->run_after(
        this->source_update_timer,
        std::chrono::duration_cast<milliseconds>(core::source_update_period),
        [this]
        {
            this->source_update_round();
        });
}

// Decides about an admission on this instance. `share` is the part of the
// account's limit that this instance may grant.
core::quota_answer fleet::state::decide_admission(const std::string& account,
                                                  double share)
{
    auto limit = this->callbacks.account_limit(account);
    if (!limit)
    {
        return {true, {}};
    }
    limit->owner_share = share;
    if (!this->has_run_for(settle_duration))
    {
        limit->initial_fill = settling_bucket_fill;
    }
    return this->quotas.take(account, *limit, now());
}

void fleet::state::on_message(core::instance_address sender,
                              const core::admit_call& message)
{
    core::admit_reply reply;
    reply.number = message.number;
    reply.account_exists =
        this->callbacks.account_limit(message.account).has_value();
    if (reply.account_exists)
    {
        reply.answer = this->decide_admission(
            message.account, this->members.live_fraction(now()));
    }
    this->send(sender, reply);
}

void fleet::state::on_message(core::instance_address sender,
                              const core::admit_reply& message)
{
    const auto it = this->admit_calls.find(message.number);
    if (it == this->admit_calls.end() || it->second.owner != sender)
    {
        return;
    }
    core::quota_answer answer = message.answer;
    if (!message.account_exists)
    {
        answer = this->decide_admission(it->second.account,
                                        this->members.instance_fraction());
    }
    this->finish_admit(message.number, answer);
}

// Passes a deferred answer to the instance that waits for it.
void fleet::state::send_place_answer(const core::grant_id& grant,
                                     const core::place_answer& answer)
{
    if (grant.instance == this->instance_id)
    {
        this->finish_place(grant.number, answer);
        return;
    }
    const auto address =
        static_cast<core::instance_address>(grant.instance >> 32U);
    this->send(address, core::place_reply{grant.number, answer});
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
    this->send(sender,
               core::place_reply{message.request.grant.number,
                                 this->owned_services.request(
                                     message.service, message.request)});
}

void fleet::state::on_message(core::instance_address sender,
                              const core::place_reply& message)
{
    const auto it = this->place_calls.find(message.number);
    if (it == this->place_calls.end())
    {
        // The request has ended, or another owner has placed it. Report the
        // unused grant, so that the server's slot is freed.
        const auto grant = this->grants.find(message.number);
        const bool in_use =
            grant != this->grants.end() && grant->second.owner == sender;
        if (!in_use && std::holds_alternative<core::placed>(message.answer))
        {
            core::done_call release;
            release.grant = {this->instance_id, message.number};
            this->send(sender, release);
        }
        return;
    }
    place_call_state& call = it->second;
    if (call.owner_index >= call.owners.size() ||
        call.owners[call.owner_index] != sender)
    {
        return;
    }
    call.unanswered_calls = 0;
    if (std::holds_alternative<core::queued>(message.answer))
    {
        this->run_after(*call.timer, queued_call_period,
                        [this, number = message.number]
                        {
                            this->call_service_owner(number);
                        });
        return;
    }
    this->finish_place(message.number, message.answer);
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
    this->send(sender, core::done_reply{message.grant.number});
    this->owned_services.on_send_ended(message);
}

void fleet::state::on_message(core::instance_address /*sender*/,
                              const core::done_reply& message)
{
    this->done_calls.erase(message.number);
}

void fleet::state::run_after(asio::steady_timer& timer,
                             milliseconds delay,
                             std::function<void()> callback)
{
    timer.expires_after(delay);
    timer.async_wait(
        [callback = std::move(callback)](error_code failure)
        {
            if (!failure)
            {
                callback();
            }
        });
}

// Sends the place call to its current owner. Decides here if that owner is this
// instance, or if no owner has answered.
void fleet::state::call_service_owner(std::uint64_t number)
{
    const auto it = this->place_calls.find(number);
    if (it == this->place_calls.end())
    {
        return;
    }
    place_call_state& call = it->second;
    core::place_request request = call.request;
    const core::duration waited = now() - call.requested_at;
    request.time_to_deadline -= std::min(request.time_to_deadline, waited);
    request.time_to_objective -= std::min(request.time_to_objective, waited);
    if (request.time_to_deadline <= core::duration(0))
    {
        this->finish_place(
            number,
            core::place_refused{core::result_code::deadline_unreachable, {}});
        return;
    }
    const bool no_owner_left = call.owner_index >= call.owners.size();
    if (no_owner_left || call.owners[call.owner_index] == this->own_address)
    {
        this->counter_values.local_decisions += no_owner_left ? 1 : 0;
        const core::place_answer answer =
            this->owned_services.request(call.service, request);
        if (!std::holds_alternative<core::queued>(answer))
        {
            this->finish_place(number, answer);
        }
        return;
    }
    this->counter_values.calls_repeated += call.unanswered_calls > 0 ? 1 : 0;
    ++call.unanswered_calls;
    this->send(call.owners[call.owner_index],
               core::place_call{call.service, request});
    this->run_after(*call.timer, call_timeout,
                    [this, number]
                    {
                        this->on_place_timeout(number);
                    });
}

// Repeats a place call that got no answer in time, or passes over its owner
// after max_calls_per_owner calls.
void fleet::state::on_place_timeout(std::uint64_t number)
{
    const auto it = this->place_calls.find(number);
    if (it == this->place_calls.end())
    {
        return;
    }
    place_call_state& call = it->second;
    if (call.unanswered_calls >= max_calls_per_owner)
    {
        const core::instance_address silent_owner =
            call.owners[call.owner_index];
        this->members.suspect(silent_owner, now());
        ++this->counter_values.owners_passed_over;
        log::write(
            log::level::info, "home_unanswered",
            {log::kv("service", call.service),
             log::kv("home", asio::ip::address_v4(silent_owner).to_string())});
        ++call.owner_index;
        call.unanswered_calls = 0;
    }
    this->call_service_owner(number);
}

void fleet::state::finish_place(std::uint64_t number,
                                const core::place_answer& answer)
{
    const auto it = this->place_calls.find(number);
    if (it == this->place_calls.end())
    {
        return;
    }
    place_call_state call = std::move(it->second);
    this->place_calls.erase(it);
    call.timer->cancel();
    if (std::holds_alternative<core::placed>(answer))
    {
        const bool decided_here = call.owner_index >= call.owners.size();
        this->grants[number] = {call.service,
                                decided_here ? this->own_address
                                             : call.owners[call.owner_index]};
    }
    call.handler(answer);
}

// Sends the admit call to the account's owner. After max_calls_per_owner calls
// without an answer, decides here with this instance's share of the limit.
void fleet::state::call_account_owner(std::uint64_t number)
{
    const auto it = this->admit_calls.find(number);
    if (it == this->admit_calls.end())
    {
        return;
    }
    admit_call_state& call = it->second;
    if (call.unanswered_calls >= max_calls_per_owner)
    {
        this->members.suspect(call.owner, now());
        ++this->counter_values.owners_passed_over;
        ++this->counter_values.local_decisions;
        this->finish_admit(
            number, this->decide_admission(call.account,
                                           this->members.instance_fraction()));
        return;
    }
    ++call.unanswered_calls;
    this->send(call.owner, core::admit_call{number, call.account});
    this->run_after(*call.timer, call_timeout,
                    [this, number]
                    {
                        this->call_account_owner(number);
                    });
}

void fleet::state::finish_admit(std::uint64_t number,
                                const core::quota_answer& answer)
{
    const auto it = this->admit_calls.find(number);
    if (it == this->admit_calls.end())
    {
        return;
    }
    admit_call_state call = std::move(it->second);
    this->admit_calls.erase(it);
    call.timer->cancel();
    call.handler(answer);
}

// Sends a done call until it is acknowledged; gives up after max_done_repeats
// repeats.
void fleet::state::send_done_call(std::uint64_t number)
{
    const auto it = this->done_calls.find(number);
    if (it == this->done_calls.end())
    {
        return;
    }
    done_call_state& call = it->second;
    if (call.unanswered_calls > max_done_repeats)
    {
        this->done_calls.erase(it);
        return;
    }
    ++call.unanswered_calls;
    this->send(call.owner, call.message);
    this->run_after(*call.timer, done_call_timeout,
                    [this, number]
                    {
                        this->send_done_call(number);
                    });
}

core::result<std::unique_ptr<fleet>>
fleet::create(asio::io_context& io,
              const fleet_settings& settings,
              const core::server_registry& servers,
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
    state& impl = *this->self;
    const auto owners = impl.members.owners("account " + account, 1, now());
    if (owners.front() == impl.own_address)
    {
        handler(
            impl.decide_admission(account, impl.members.live_fraction(now())));
        return;
    }
    const std::uint64_t number = ++impl.last_call_number;
    state::admit_call_state call;
    call.account = account;
    call.handler = std::move(handler);
    call.owner = owners.front();
    call.timer = std::make_unique<asio::steady_timer>(impl.io);
    impl.admit_calls.emplace(number, std::move(call));
    impl.call_account_owner(number);
}

core::grant_id fleet::place(const std::string& service,
                            core::place_request request,
                            place_handler handler)
{
    state& impl = *this->self;
    const std::uint64_t number = ++impl.last_call_number;
    request.grant = {impl.instance_id, number};
    state::place_call_state call;
    call.service = service;
    call.request = std::move(request);
    call.handler = std::move(handler);
    call.requested_at = now();
    call.owners =
        impl.members.owners("service " + service, max_owners_tried, now());
    call.timer = std::make_unique<asio::steady_timer>(impl.io);
    impl.place_calls.emplace(number, std::move(call));
    impl.call_service_owner(number);
    return {impl.instance_id, number};
}

void fleet::withdraw(const core::grant_id& grant)
{
    state& impl = *this->self;
    const auto it = impl.place_calls.find(grant.number);
    if (it == impl.place_calls.end())
    {
        return;
    }
    const state::place_call_state call = std::move(it->second);
    impl.place_calls.erase(it);
    const bool decided_here = call.owner_index >= call.owners.size();
    impl.grants[grant.number] = {call.service,
                                 decided_here ? impl.own_address
                                              : call.owners[call.owner_index]};
    this->report_send_end(grant, core::send_outcome::cancelled, {});
}

void fleet::report_send_end(const core::grant_id& grant,
                            core::send_outcome outcome,
                            core::duration latency)
{
    state& impl = *this->self;
    const auto it = impl.grants.find(grant.number);
    if (it == impl.grants.end())
    {
        return;
    }
    const state::open_grant granted = std::move(it->second);
    impl.grants.erase(it);
    const core::done_call message{granted.service, grant, outcome, latency};
    if (granted.owner == impl.own_address)
    {
        impl.owned_services.on_send_ended(message);
        return;
    }
    state::done_call_state call;
    call.message = message;
    call.owner = granted.owner;
    call.timer = std::make_unique<asio::steady_timer>(impl.io);
    impl.done_calls.emplace(grant.number, std::move(call));
    impl.send_done_call(grant.number);
}

void fleet::record_source_confirmation()
{
    this->self->source_readers.record_confirmation({}, now());
}

void fleet::announce_revision()
{
    state& impl = *this->self;
    impl.send_source_updates(impl.announced_revision);
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
    impl.owned_services.close();
    impl.place_calls.clear();
    impl.admit_calls.clear();
    impl.done_calls.clear();
}

std::size_t fleet::live_count() const
{
    return this->self->members.live_count(now());
}

const fleet_counters& fleet::counters() const noexcept
{
    return this->self->counter_values;
}

} // namespace medlarbarrow::net
