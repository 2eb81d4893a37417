#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/compression.hpp>
#include <medlarbarrow/net/fleet_instance.hpp>
#include <medlarbarrow/net/http_connection.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/metrics.hpp>
#include <medlarbarrow/net/timers.hpp>

namespace medlarbarrow::net
{

namespace
{

using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Period of the check for servers whose grace period has ended.
constexpr milliseconds registry_period{200};

/// Time after SIGTERM during which new connections are still accepted. The load
/// balancer needs two failed health checks, a second apart, before it sends no
/// more connections.
constexpr milliseconds balancer_removal_time{2300};

/// The instance stops this long before SIGKILL is due, so that it ends by
/// itself.
constexpr milliseconds shutdown_margin{300};

/// Time that a source update or the instance's own read of the source gets
/// before a peer is asked for the missing changes.
constexpr milliseconds catch_up_delay{20};
/// The same for an instance that has nothing yet: its own listing takes several
/// calls, and what a peer would send is large.
constexpr milliseconds first_catch_up_delay{400};
/// Timeout of the request to the peer.
constexpr milliseconds catch_up_timeout{500};
/// Time between two requests for what peers carry over from earlier eras of the
/// source. Doubled after each one that has brought nothing.
constexpr milliseconds min_carried_items_pause{500};
constexpr milliseconds max_carried_items_pause{30000};
constexpr std::size_t max_published_bytes = 16U << 20U;
/// Answered with compressed changes.
constexpr std::string_view published_path = "/published-zlib?since=";

/// File descriptors reserved for connections to servers and peers and for
/// files.
constexpr std::uint32_t reserved_files = 1200;
constexpr std::uint32_t min_connections = 64;

std::uint64_t unix_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

struct fleet_instance::state
{
    state(const config::fleet_settings& initial_settings,
          std::string path,
          platform_adapter platform)
        : settings(initial_settings), settings_path(std::move(path)),
          adapter(std::move(platform)), incarnation(unix_milliseconds()),
          published_data(this->adapter.read,
                         [this]
                         {
                             this->on_published();
                         }),
          signals(io, SIGTERM, SIGINT, SIGHUP), registry_timer(io),
          catch_up_timer(io), stop_timer(io), waiting_timer(io),
          running_timer(io), kill_timer(io)
    {
    }

    std::error_code open();
    std::error_code open_fleet();
    std::error_code open_gateway();
    std::error_code open_admin();
    void on_published();
    void on_news_at_peer(const std::string& address,
                         const core::source_position& position);
    void catch_up(const std::string& address,
                  const core::source_position& position);
    void ask_for_carried_items(const std::string& address);
    void fetch_changes(const std::string& address);
    void apply_peer_changes(std::string_view text);
    std::optional<std::string> answer_peer(std::string_view target) const;
    void watch_signals();
    void reload();
    void begin_stop();
    void end(bool all_ended);
    void tick_registry();
    bool is_ready() const;
    core::node_view make_view() const;
    std::string metrics_text();

    asio::io_context io{1};
    config::fleet_settings settings;
    std::string settings_path;
    platform_adapter adapter;
    std::uint64_t incarnation;
    published published_data;
    metrics request_metrics;
    std::unique_ptr<source> source_reader;
    std::unique_ptr<fleet> fleet_peers;
    std::unique_ptr<gateway> caller_gateway;
    std::unique_ptr<admin> ready_listener;
    std::unique_ptr<admin> peer_listener;
    std::unique_ptr<admin> metrics_listener;
    std::unique_ptr<http_connection> catch_up_connection;
    asio::signal_set signals;
    asio::steady_timer registry_timer;
    asio::steady_timer catch_up_timer;
    asio::steady_timer stop_timer;
    asio::steady_timer waiting_timer;
    asio::steady_timer running_timer;
    asio::steady_timer kill_timer;
    bool catching_up = false;
    core::time_point carried_items_asked_at{};
    milliseconds carried_items_pause = min_carried_items_pause;
    std::uint64_t asked_with_digest = 0; ///< that this instance had
    bool stopping = false;
    bool all_requests_ended = false;
};

void fleet_instance::state::on_published()
{
    if (this->published_data.document() && this->caller_gateway)
    {
        this->caller_gateway->apply_document(this->published_data.document());
    }
    if (this->fleet_peers)
    {
        this->fleet_peers->announce_revision();
    }
}

void fleet_instance::state::apply_peer_changes(std::string_view text)
{
    const std::error_code failure =
        this->published_data.apply_text(text, core::boot_clock::now());
    if (failure)
    {
        log::write(log::level::warning, "peer_changes_refused",
                   {log::kv("reason", failure)});
    }
}

// Called when a peer has a newer position, or carries over something else from
// an earlier era of the source. A source update or the instance's own read of
// the source usually brings newer changes within catch_up_delay; otherwise the
// peer is asked for them.
void fleet_instance::state::on_news_at_peer(
    const std::string& address, const core::source_position& position)
{
    if (this->catching_up)
    {
        return;
    }
    if (position <= this->published_data.position())
    {
        this->ask_for_carried_items(address);
        return;
    }
    this->catching_up = true;
    const milliseconds delay = this->published_data.revision() == 0
                                   ? first_catch_up_delay
                                   : catch_up_delay;
    run_after(this->catch_up_timer, delay,
              [this, address, position]
              {
                  this->catch_up(address, position);
              });
}

// Instances that differ ask each other until they agree, or less and less often
// if they have nothing to learn.
void fleet_instance::state::ask_for_carried_items(const std::string& address)
{
    const core::time_point now = core::boot_clock::now();
    const std::uint64_t digest = this->published_data.carried_digest();
    if (digest != this->asked_with_digest)
    {
        this->carried_items_pause = min_carried_items_pause;
    }
    if (now - this->carried_items_asked_at < this->carried_items_pause)
    {
        return;
    }
    this->asked_with_digest = digest;
    this->carried_items_asked_at = now;
    this->carried_items_pause =
        std::min(2 * this->carried_items_pause, max_carried_items_pause);
    this->catching_up = true;
    this->fetch_changes(address);
}

// Fetches the changes from a peer unless they have arrived by now.
void fleet_instance::state::catch_up(const std::string& address,
                                     const core::source_position& position)
{
    if (this->published_data.position() >= position)
    {
        this->catching_up = false;
        return;
    }
    this->fetch_changes(address);
}

// Fetches the changes, and what is carried over, from a peer over HTTP.
void fleet_instance::state::fetch_changes(const std::string& address)
{
    error_code failure;
    const auto peer_address = asio::ip::make_address(address, failure);
    if (failure)
    {
        this->catching_up = false;
        return;
    }
    this->catch_up_connection = std::make_unique<http_connection>(
        this->io,
        asio::ip::tcp::endpoint(peer_address, this->settings.peers.port),
        address);
    this->catch_up_connection->get(
        fmt::format(
            "{}{}", published_path,
            core::format_position(this->published_data.position_to_ask())),
        catch_up_timeout, max_published_bytes,
        [this, address](const core::result<http_answer>& answer)
        {
            this->catching_up = false;
            const auto changes =
                answer ? decompress(answer->body, max_published_bytes)
                       : core::result<std::string>(answer.error());
            if (changes)
            {
                this->apply_peer_changes(*changes);
            }
            log::write(
                log::level::info, "caught_up",
                {log::kv("peer", address),
                 log::kv("reached", answer.has_value()),
                 log::kv("readable", changes.has_value()),
                 log::kv("revision", core::format_position(
                                         this->published_data.position()))});
        });
}

// Returns the changes after the position in the target; empty if the target is
// not a request for changes.
std::optional<std::string>
fleet_instance::state::answer_peer(std::string_view target) const
{
    if (!target.starts_with(published_path))
    {
        return std::nullopt;
    }
    const auto since =
        core::parse_position(target.substr(published_path.size()));
    if (!since)
    {
        return std::nullopt;
    }
    return compress(this->published_data.text_since(*since));
}

std::error_code fleet_instance::state::open_fleet()
{
    net::fleet_settings options;
    options.self = this->settings.fleet;
    options.retry_limits = this->adapter.repeats;
    options.floor_share = this->adapter.floor_share;
    options.incarnation = this->incarnation;
    for (const config::endpoint& seed : this->settings.seeds)
    {
        options.seeds.push_back(seed.address);
    }
    fleet_callbacks callbacks;
    callbacks.account_limit = [this](const std::string& account)
    {
        return this->caller_gateway->account_limit(account);
    };
    callbacks.position = [this]
    {
        return this->published_data.position();
    };
    callbacks.carried_digest = [this]
    {
        return this->published_data.carried_digest();
    };
    callbacks.on_news_at_peer = [this](const std::string& address,
                                       const core::source_position& position)
    {
        this->on_news_at_peer(address, position);
    };
    callbacks.changes_since = [this](const core::source_position& since)
    {
        return this->published_data.text_since(since);
    };
    callbacks.on_changes = [this](const std::string& changes)
    {
        this->apply_peer_changes(changes);
    };
    callbacks.on_peer_confirmation = [this]
    {
        this->source_reader->record_peer_confirmation();
    };
    callbacks.set_reading_enabled = [this](bool enabled)
    {
        this->source_reader->set_reading_enabled(enabled);
    };
    auto created =
        fleet::create(this->io, options, this->published_data.servers(),
                      std::move(callbacks));
    if (!created)
    {
        return created.error();
    }
    this->fleet_peers = std::move(*created);
    return {};
}

std::error_code fleet_instance::state::open_gateway()
{
    gateway_settings options;
    options.caller_endpoint = this->settings.callers;
    options.data_centre = this->settings.data_centre;
    options.names = this->adapter.names;
    options.max_connections =
        this->settings.max_files > reserved_files + min_connections
            ? this->settings.max_files - reserved_files
            : min_connections;
    auto created = gateway::create(this->io, options, *this->fleet_peers,
                                   this->published_data.servers());
    if (!created)
    {
        return created.error();
    }
    this->caller_gateway = std::move(*created);
    this->caller_gateway->on_request_end(
        [this](const request_summary& request)
        {
            this->request_metrics.request_ended(
                request.outcome, request.elapsed,
                request.elapsed - request.attempt_time);
            this->request_metrics.retries(
                request.attempts > 1 ? request.attempts - 1 : 0);
        });
    return this->caller_gateway->start();
}

std::error_code fleet_instance::state::open_admin()
{
    admin_sources ready_sources;
    ready_sources.ready = [this]
    {
        return this->is_ready();
    };
    ready_sources.ready_path = this->adapter.ready_path;
    admin_sources peer_sources = ready_sources;
    peer_sources.ready_path = "/ready";
    peer_sources.status = [this]
    {
        return format_status({this->settings.name, this->incarnation}, "0.2.0",
                             this->make_view());
    };
    peer_sources.metrics = [this]
    {
        return this->metrics_text();
    };
    admin_sources metrics_sources = peer_sources;
    peer_sources.other = [this](std::string_view target)
    {
        return this->answer_peer(target);
    };
    const auto open_listener = [this](const config::endpoint& endpoint,
                                      admin_sources sources,
                                      std::unique_ptr<admin>& opened)
    {
        auto listener = admin::listen(this->io, endpoint, std::move(sources));
        if (!listener)
        {
            return listener.error();
        }
        opened = std::move(*listener);
        return std::error_code();
    };
    std::error_code failure = open_listener(
        this->settings.ready, std::move(ready_sources), this->ready_listener);
    if (!failure)
    {
        failure = open_listener(this->settings.peers, std::move(peer_sources),
                                this->peer_listener);
    }
    if (!failure && this->settings.metrics)
    {
        failure =
            open_listener(*this->settings.metrics, std::move(metrics_sources),
                          this->metrics_listener);
    }
    return failure;
}

std::error_code fleet_instance::state::open()
{
    std::error_code failure = this->open_fleet();
    if (!failure)
    {
        failure = this->open_gateway();
    }
    if (!failure)
    {
        failure = this->open_admin();
    }
    if (failure)
    {
        return failure;
    }
    auto opened_source = this->adapter.open_source(
        this->io, this->settings.source, this->published_data);
    if (!opened_source)
    {
        return opened_source.error();
    }
    this->source_reader = std::move(*opened_source);
    this->source_reader->set_confirmation_handler(
        [this]
        {
            this->fleet_peers->record_source_confirmation();
        });
    return {};
}

// Ready only with everything that a request needs: a configuration document and
// a first listing of the source. Not ready while the instance stops.
bool fleet_instance::state::is_ready() const
{
    return !this->stopping && this->published_data.document() &&
           this->published_data.revision() > 0;
}

core::node_view fleet_instance::state::make_view() const
{
    core::node_view view;
    if (this->published_data.document())
    {
        view.document_version = this->published_data.document()->version;
    }
    view.list_version = this->published_data.revision();
    view.list_era = this->published_data.position().era;
    view.ready = this->is_ready();
    view.live_instances = this->fleet_peers->live_count();
    view.running_requests = this->caller_gateway->running_requests();
    for (const core::announced_server* announced :
         this->published_data.servers().all())
    {
        core::server_view server;
        server.service = announced->service;
        server.server = announced->server.name;
        server.data_centre = announced->server.data_centre;
        server.state = announced->leaving ? "draining" : "healthy";
        view.servers.push_back(std::move(server));
    }
    return view;
}

std::string fleet_instance::state::metrics_text()
{
    this->request_metrics.set_view(this->make_view());
    this->request_metrics.log_lines_dropped(log::dropped_lines());
    std::string text = this->request_metrics.text();
    const fleet_counters fleet_counts = this->fleet_peers->counters();
    const gateway_counters gateway_counts = this->caller_gateway->counters();
    const source_counters source_counts = this->source_reader->counters();
    const auto add_counter = [&text](std::string_view name, std::uint64_t value)
    {
        text += fmt::format("# TYPE medlarbarrow_{0} counter\n"
                            "medlarbarrow_{0} {1}\n",
                            name, value);
    };
    add_counter("fleet_datagrams_sent_total", fleet_counts.datagrams_sent);
    add_counter("fleet_datagrams_received_total",
                fleet_counts.datagrams_received);
    add_counter("fleet_datagrams_invalid_total",
                fleet_counts.datagrams_invalid);
    add_counter("fleet_bytes_sent_total", fleet_counts.bytes_sent);
    add_counter("fleet_calls_repeated_total", fleet_counts.calls_repeated);
    add_counter("fleet_homes_passed_over_total",
                fleet_counts.owners_passed_over);
    add_counter("fleet_local_decisions_total", fleet_counts.local_decisions);
    add_counter("fleet_second_shards_asked_total",
                fleet_counts.second_shards_asked);
    add_counter("leaving_runs_learned_total",
                fleet_counts.leaving_runs_learned);
    add_counter("turned_away_total", gateway_counts.turned_away);
    add_counter("second_sends_total", gateway_counts.second_sends);
    add_counter("stop_refused_late_total", gateway_counts.stop_refused_late);
    add_counter("stop_refused_waiting_total",
                gateway_counts.stop_refused_waiting);
    add_counter("stop_cut_total", gateway_counts.stop_cut);
    add_counter("server_connections_opened_total",
                gateway_counts.servers.connections_opened);
    add_counter("server_connections_reused_total",
                gateway_counts.servers.connections_reused);
    add_counter("server_answers_foreign_total",
                gateway_counts.servers.answers_foreign);
    add_counter("server_answers_damaged_total",
                gateway_counts.servers.answers_damaged);
    add_counter("bodies_stalled_total", gateway_counts.servers.bodies_stalled);
    add_counter("unread_answers_ended_total",
                gateway_counts.unread_answers_ended);
    add_counter("source_calls_total", source_counts.calls);
    add_counter("source_calls_failed_total", source_counts.failed_calls);
    text += format_counters(gateway_counts.bodies);
    text += format_spreads(this->fleet_peers->spreads());
    const published_counters& published_counts =
        this->published_data.counters();
    add_counter("published_items_unreadable_total",
                published_counts.items_unreadable);
    add_counter("published_items_outdated_total",
                published_counts.items_outdated);
    add_counter("published_listings_outdated_total",
                published_counts.listings_outdated);
    add_counter("source_eras_begun_total", published_counts.eras_begun);
    add_counter("document_problems_total", published_counts.document_problems);
    return text;
}

void fleet_instance::state::watch_signals()
{
    this->signals.async_wait(
        [this](error_code failure, int number)
        {
            if (failure)
            {
                return;
            }
            if (number == SIGHUP)
            {
                this->reload();
            }
            else if (!this->stopping)
            {
                this->begin_stop();
            }
            // The platform may repeat SIGTERM; that must not end requests. An
            // operator at a terminal may insist.
            else if (number == SIGINT)
            {
                this->end(false);
                return;
            }
            else
            {
                log::write(log::level::info, "stop_signal_repeated", {});
            }
            this->watch_signals();
        });
}

// Applies the settings that may change while the instance runs: the seeds. A
// faulty file changes nothing.
void fleet_instance::state::reload()
{
    const auto loaded = config::load_fleet_settings(this->settings_path);
    const auto* new_settings = std::get_if<config::fleet_settings>(&loaded);
    log::write(log::level::info, "settings_reloaded",
               {log::kv("valid", new_settings != nullptr),
                log::kv("path", this->settings_path)});
    if (new_settings == nullptr)
    {
        return;
    }
    std::vector<std::string> seeds;
    seeds.reserve(new_settings->seeds.size());
    for (const config::endpoint& seed : new_settings->seeds)
    {
        seeds.push_back(seed.address);
    }
    this->fleet_peers->set_seeds(seeds);
}

// Starts the shutdown. The readiness check fails at once, so that the load
// balancer stops sending connections, and answers on open connections close
// them. New connections are accepted for balancer_removal_time. The plan says
// when requests are refused and when the instance ends.
void fleet_instance::state::begin_stop()
{
    this->stopping = true;
    log::write(log::level::info, "stopping",
               {log::kv("running", this->caller_gateway->running_requests())});
    this->fleet_peers->leave();
    const core::time_point now = core::boot_clock::now();
    const core::shutdown_plan plan(now, this->adapter.shutdown_grace,
                                   shutdown_margin);
    const auto delay_until = [now](core::time_point time)
    {
        return std::chrono::duration_cast<milliseconds>(time - now);
    };
    this->caller_gateway->begin_shutdown(plan);
    run_after(this->stop_timer, balancer_removal_time,
              [this]
              {
                  this->caller_gateway->stop(
                      [this]
                      {
                          this->end(true);
                      });
              });
    run_after(this->waiting_timer, delay_until(plan.waiting_refused_at()),
              [this]
              {
                  this->caller_gateway->stop_sending();
              });
    run_after(this->running_timer, delay_until(plan.running_ended_at()),
              [this]
              {
                  this->caller_gateway->end_running();
              });
    run_after(this->kill_timer, delay_until(plan.exit_at()),
              [this]
              {
                  this->end(false);
              });
}

void fleet_instance::state::end(bool all_ended)
{
    this->caller_gateway->log_shutdown();
    this->all_requests_ended =
        all_ended && this->caller_gateway->counters().stop_cut == 0;
    this->source_reader->close();
    this->io.stop();
}

// Removes servers whose grace period has ended, in a periodic check.
void fleet_instance::state::tick_registry()
{
    this->published_data.tick(core::boot_clock::now());
    this->published_data.servers().tick(core::boot_clock::now());
    run_after(this->registry_timer, registry_period,
              [this]
              {
                  this->tick_registry();
              });
}

core::result<std::unique_ptr<fleet_instance>>
fleet_instance::create(const config::fleet_settings& settings,
                       std::string settings_path,
                       platform_adapter adapter)
{
    auto initial = std::make_unique<state>(settings, std::move(settings_path),
                                           std::move(adapter));
    if (const std::error_code failure = initial->open())
    {
        return failure;
    }
    return std::unique_ptr<fleet_instance>(
        new fleet_instance(std::move(initial)));
}

fleet_instance::fleet_instance(std::unique_ptr<state> initial)
    : self(std::move(initial))
{
}

fleet_instance::~fleet_instance() = default;

bool fleet_instance::run()
{
    state& impl = *this->self;
    impl.watch_signals();
    impl.fleet_peers->start();
    impl.source_reader->start();
    impl.tick_registry();
    impl.io.run();
    return impl.all_requests_ended;
}

} // namespace medlarbarrow::net
