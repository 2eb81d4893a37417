#include <boost/asio/signal_set.hpp>
#include <charconv>
#include <csignal>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/fleet_instance.hpp>
#include <medlarbarrow/net/http_connection.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/metrics.hpp>

namespace medlarbarrow::net
{

namespace
{

using error_code = boost::system::error_code;
using std::chrono::milliseconds;

/// Period in which lapsed servers are removed.
constexpr milliseconds registry_period{200};

/// After SIGTERM the balancer needs two missed checks, a second apart, to send
/// no new connections.
constexpr milliseconds rotation_time{2300};

/// Before SIGKILL, so that the end is the instance's own.
constexpr milliseconds shutdown_margin{300};

/// Time for the instance's own read of the source before it asks a peer.
constexpr milliseconds catch_up_pause{20};
constexpr milliseconds catch_up_limit{500};
constexpr std::size_t greatest_published = 16U << 20U;
constexpr std::string_view published_path = "/published?since=";

/// Descriptors kept for servers, peers and files.
constexpr std::uint32_t reserved_files = 1200;
constexpr std::uint32_t least_connections = 64;

std::uint64_t wall_milliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

} // namespace

struct fleet_instance::state
{
    state(const config::fleet_settings& chosen,
          std::string path,
          platform_adapter from)
        : settings(chosen), settings_path(std::move(path)),
          adapter(std::move(from)), incarnation(wall_milliseconds()),
          known(this->adapter.read,
                [this]
                {
                    this->on_published();
                }),
          signals(io, SIGTERM, SIGINT, SIGHUP), registry_timer(io),
          catch_up_timer(io), stop_timer(io), kill_timer(io)
    {
    }

    std::error_code open();
    std::error_code open_fleet();
    std::error_code open_gateway();
    std::error_code open_admin();
    void on_published();
    void on_newer(const std::string& address, std::uint64_t revision);
    void catch_up(const std::string& address, std::uint64_t revision);
    void take_changes(std::string_view text);
    std::optional<std::string> answer_peer(std::string_view target) const;
    void watch_signals();
    void reload();
    void begin_stop();
    void end(bool finished);
    void tick_registry();
    void after(asio::steady_timer& timer,
               milliseconds time,
               std::function<void()> then);
    bool is_ready() const;
    core::node_view view() const;
    std::string metrics_text();

    asio::io_context io{1};
    config::fleet_settings settings;
    std::string settings_path;
    platform_adapter adapter;
    std::uint64_t incarnation;
    published known;
    metrics measured;
    std::unique_ptr<source> reader;
    std::unique_ptr<fleet> peers;
    std::unique_ptr<gateway> entry;
    std::unique_ptr<admin> ready_listener;
    std::unique_ptr<admin> peer_listener;
    std::unique_ptr<admin> metrics_listener;
    std::unique_ptr<http_connection> catch_up_connection;
    asio::signal_set signals;
    asio::steady_timer registry_timer;
    asio::steady_timer catch_up_timer;
    asio::steady_timer stop_timer;
    asio::steady_timer kill_timer;
    bool catching_up = false;
    bool stopping = false;
    bool finished = false;
};

void fleet_instance::state::after(asio::steady_timer& timer,
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

void fleet_instance::state::on_published()
{
    if (this->known.document() && this->entry)
    {
        this->entry->apply_document(this->known.document());
    }
    if (this->peers)
    {
        this->peers->announce();
    }
}

void fleet_instance::state::take_changes(std::string_view text)
{
    const std::error_code refused =
        this->known.take_text(text, core::boot_clock::now());
    if (refused)
    {
        log::write(log::level::warning, "peer_changes_refused",
                   {log::kv("reason", refused)});
    }
}

// A peer knows more. A source update or the own read of the source mostly
// brings it in a moment; where it does not, the peer passes it on.
void fleet_instance::state::on_newer(const std::string& address,
                                     std::uint64_t revision)
{
    if (this->catching_up)
    {
        return;
    }
    this->catching_up = true;
    this->after(this->catch_up_timer, catch_up_pause,
                [this, address, revision]
                {
                    this->catch_up(address, revision);
                });
}

void fleet_instance::state::catch_up(const std::string& address,
                                     std::uint64_t revision)
{
    if (this->known.revision() >= revision)
    {
        this->catching_up = false;
        return;
    }
    error_code failure;
    const auto from = asio::ip::make_address(address, failure);
    if (failure)
    {
        this->catching_up = false;
        return;
    }
    this->catch_up_connection = std::make_unique<http_connection>(
        this->io, asio::ip::tcp::endpoint(from, this->settings.peers.port),
        address);
    this->catch_up_connection->get(
        fmt::format("{}{}", published_path, this->known.revision()),
        catch_up_limit, greatest_published,
        [this, address](const core::result<http_answer>& answer)
        {
            this->catching_up = false;
            if (answer)
            {
                this->take_changes(answer->body);
            }
            log::write(log::level::info, "caught_up",
                       {log::kv("peer", address),
                        log::kv("reached", answer.has_value()),
                        log::kv("revision", this->known.revision())});
        });
}

std::optional<std::string>
fleet_instance::state::answer_peer(std::string_view target) const
{
    if (!target.starts_with(published_path))
    {
        return std::nullopt;
    }
    const std::string_view text = target.substr(published_path.size());
    std::uint64_t since = 0;
    const char* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), last, since);
    if (parsed.ec != std::errc() || parsed.ptr != last)
    {
        return std::nullopt;
    }
    return this->known.text_since(since);
}

std::error_code fleet_instance::state::open_fleet()
{
    net::fleet_settings chosen;
    chosen.self = this->settings.fleet;
    chosen.repeats = this->adapter.repeats;
    chosen.incarnation = this->incarnation;
    for (const config::endpoint& seed : this->settings.seeds)
    {
        chosen.seeds.push_back(seed.address);
    }
    fleet_sources sources;
    sources.terms = [this](const std::string& account)
    {
        return this->entry->terms_of(account);
    };
    sources.revision = [this]
    {
        return this->known.revision();
    };
    sources.on_newer =
        [this](const std::string& address, std::uint64_t revision)
    {
        this->on_newer(address, revision);
    };
    sources.changes = [this](std::uint64_t since)
    {
        return this->known.text_since(since);
    };
    sources.on_changes = [this](const std::string& changes)
    {
        this->take_changes(changes);
    };
    sources.peer_confirmed = [this]
    {
        this->reader->confirmed_by_peer();
    };
    sources.read = [this](bool wanted)
    {
        this->reader->set_reading_enabled(wanted);
    };
    auto made = fleet::create(this->io, chosen, this->known.servers(),
                              std::move(sources));
    if (!made)
    {
        return made.error();
    }
    this->peers = std::move(*made);
    return {};
}

std::error_code fleet_instance::state::open_gateway()
{
    gateway_settings chosen;
    chosen.callers = this->settings.callers;
    chosen.data_centre = this->settings.data_centre;
    chosen.names = this->adapter.names;
    chosen.max_connections =
        this->settings.max_files > reserved_files + least_connections
            ? this->settings.max_files - reserved_files
            : least_connections;
    auto made =
        gateway::create(this->io, chosen, *this->peers, this->known.servers());
    if (!made)
    {
        return made.error();
    }
    this->entry = std::move(*made);
    this->entry->on_request_end(
        [this](const request_summary& ended)
        {
            this->measured.request_ended(ended.outcome, ended.elapsed,
                                         ended.elapsed - ended.at_server);
            this->measured.retries(ended.attempts > 1 ? ended.attempts - 1 : 0);
        });
    return this->entry->start();
}

std::error_code fleet_instance::state::open_admin()
{
    admin_sources ready;
    ready.ready = [this]
    {
        return this->is_ready();
    };
    ready.ready_path = this->adapter.ready_path;
    admin_sources peer = ready;
    peer.ready_path = "/ready";
    peer.status = [this]
    {
        return format_status({this->settings.name, this->incarnation}, "0.2.0",
                             this->view());
    };
    peer.metrics = [this]
    {
        return this->metrics_text();
    };
    admin_sources scraped = peer;
    peer.other = [this](std::string_view target)
    {
        return this->answer_peer(target);
    };
    const auto open = [this](const config::endpoint& where,
                             admin_sources sources,
                             std::unique_ptr<admin>& target)
    {
        auto made = admin::listen(this->io, where, std::move(sources));
        if (!made)
        {
            return made.error();
        }
        target = std::move(*made);
        return std::error_code();
    };
    std::error_code failure =
        open(this->settings.ready, std::move(ready), this->ready_listener);
    if (!failure)
    {
        failure =
            open(this->settings.peers, std::move(peer), this->peer_listener);
    }
    if (!failure && this->settings.metrics)
    {
        failure = open(*this->settings.metrics, std::move(scraped),
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
    auto opened =
        this->adapter.open_source(this->io, this->settings.source, this->known);
    if (!opened)
    {
        return opened.error();
    }
    this->reader = std::move(*opened);
    this->reader->on_confirmed(
        [this]
        {
            this->peers->confirmed();
        });
    return {};
}

// Ready only with all that a request needs.
bool fleet_instance::state::is_ready() const
{
    return !this->stopping && this->known.document() &&
           this->known.revision() > 0;
}

core::node_view fleet_instance::state::view() const
{
    core::node_view seen;
    if (this->known.document())
    {
        seen.document_version = this->known.document()->version;
    }
    seen.list_version = this->known.revision();
    seen.ready = this->is_ready();
    seen.live_instances = this->peers->live();
    seen.running_requests = this->entry->running();
    for (const core::announced_server* item : this->known.servers().all())
    {
        core::server_view server;
        server.service = item->service;
        server.server = item->server.name;
        server.data_centre = item->server.data_centre;
        server.state = item->leaving ? "draining" : "healthy";
        seen.servers.push_back(std::move(server));
    }
    return seen;
}

std::string fleet_instance::state::metrics_text()
{
    this->measured.set_view(this->view());
    this->measured.log_lines_dropped(log::dropped_lines());
    std::string text = this->measured.text();
    const fleet_counters& fleet_counts = this->peers->counters();
    const gateway_counters entry_counts = this->entry->counters();
    const source_counters source_counts = this->reader->counters();
    const auto add = [&text](std::string_view name, std::uint64_t value)
    {
        text += fmt::format("# TYPE medlarbarrow_{0} counter\n"
                            "medlarbarrow_{0} {1}\n",
                            name, value);
    };
    add("fleet_datagrams_sent_total", fleet_counts.datagrams_sent);
    add("fleet_datagrams_received_total", fleet_counts.datagrams_received);
    add("fleet_datagrams_invalid_total", fleet_counts.datagrams_invalid);
    add("fleet_bytes_sent_total", fleet_counts.bytes_sent);
    add("fleet_calls_repeated_total", fleet_counts.calls_repeated);
    add("fleet_homes_passed_over_total", fleet_counts.owners_passed_over);
    add("fleet_local_decisions_total", fleet_counts.local_decisions);
    add("second_sends_total", entry_counts.second_sends);
    add("server_connections_opened_total",
        entry_counts.servers.connections_opened);
    add("server_connections_reused_total",
        entry_counts.servers.connections_reused);
    add("source_calls_total", source_counts.calls);
    add("source_calls_failed_total", source_counts.failed_calls);
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
            else if (this->stopping)
            {
                this->end(false);
                return;
            }
            else
            {
                this->begin_stop();
            }
            this->watch_signals();
        });
}

// Takes what may change while the instance runs; a faulty file changes
// nothing.
void fleet_instance::state::reload()
{
    const auto loaded = config::load_fleet_settings(this->settings_path);
    const auto* next = std::get_if<config::fleet_settings>(&loaded);
    log::write(log::level::info, "settings_reloaded",
               {log::kv("valid", next != nullptr),
                log::kv("path", this->settings_path)});
    if (next == nullptr)
    {
        return;
    }
    std::vector<std::string> seeds;
    seeds.reserve(next->seeds.size());
    for (const config::endpoint& seed : next->seeds)
    {
        seeds.push_back(seed.address);
    }
    this->peers->set_seeds(seeds);
}

// The balancer learns it first; callers on open connections are told with
// their next answer; new connections are served until they stop coming.
void fleet_instance::state::begin_stop()
{
    this->stopping = true;
    log::write(log::level::info, "stopping",
               {log::kv("running", this->entry->running())});
    this->peers->leave();
    this->entry->drain();
    this->after(this->stop_timer, rotation_time,
                [this]
                {
                    this->entry->stop(
                        [this]
                        {
                            this->end(true);
                        });
                });
    this->after(this->kill_timer,
                this->adapter.shutdown_grace - shutdown_margin,
                [this]
                {
                    this->end(false);
                });
}

void fleet_instance::state::end(bool all_finished)
{
    this->finished = all_finished;
    this->reader->close();
    this->io.stop();
}

void fleet_instance::state::tick_registry()
{
    this->known.servers().tick(core::boot_clock::now());
    this->after(this->registry_timer, registry_period,
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
    auto made = std::make_unique<state>(settings, std::move(settings_path),
                                        std::move(adapter));
    if (const std::error_code failure = made->open())
    {
        return failure;
    }
    return std::unique_ptr<fleet_instance>(new fleet_instance(std::move(made)));
}

fleet_instance::fleet_instance(std::unique_ptr<state> initial)
    : self(std::move(initial))
{
}

fleet_instance::~fleet_instance() = default;

bool fleet_instance::run()
{
    state& own = *this->self;
    own.watch_signals();
    own.peers->start();
    own.reader->start();
    own.tick_registry();
    own.io.run();
    return own.finished;
}

} // namespace medlarbarrow::net
