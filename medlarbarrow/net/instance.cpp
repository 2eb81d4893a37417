#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <fstream>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/overloaded.hpp>
#include <medlarbarrow/core/spread.hpp>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/instance.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/mailbox.hpp>
#include <medlarbarrow/net/metrics.hpp>
#include <medlarbarrow/net/peers.hpp>
#include <medlarbarrow/net/platform.hpp>
#include <sstream>
#include <thread>
#include <variant>

namespace medlarbarrow::net
{

namespace
{

/// Period of the decisions' due work; admission to a queue and lease renewals
/// are this late at most.
constexpr std::chrono::milliseconds decision_period{20};

/// Period of the control thread's due work.
constexpr std::chrono::milliseconds control_period{50};

/// Period of the snapshots for operators and metrics.
constexpr std::chrono::milliseconds snapshot_period{500};

/// Time for the last messages to leave before the links close.
constexpr std::chrono::milliseconds farewell_time{300};

constexpr std::size_t mailbox_capacity = 8192;

struct peer_message
{
    core::instance_id from;
    core::message message;
};

struct stop_serving
{
};

/// What the control thread sends to the proxy thread.
using proxy_event = std::variant<peer_message,
                                 std::shared_ptr<const core::document>,
                                 core::instance_list,
                                 stop_serving>;

/// Copy of the proxy thread's state for operators.
struct snapshot
{
    core::node_view view;
    entry_counters counters;
    std::vector<core::detection_event> events;
};

struct all_requests_finished
{
};

/// What the proxy thread sends to the control thread.
using control_event =
    std::variant<core::outgoing, snapshot, all_requests_finished>;

core::instant read_clocks()
{
    return {core::boot_clock::now(),
            std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now())};
}

core::instance_id identify(const config::settings& settings)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now);
    return {settings.name, static_cast<std::uint64_t>(milliseconds.count())};
}

core::result<core::document> read_document_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf()))
    {
        return make_error_code(core::result_code::file_unreadable);
    }
    auto parsed = config::parse_document(text.str());
    if (const auto* faults = std::get_if<config::problems>(&parsed))
    {
        for (const config::problem& fault : faults->items)
        {
            log::write(log::level::error, "document_fault",
                       {log::kv("path", fault.path),
                        log::kv("message", fault.message)});
        }
        return faults->code;
    }
    return std::get<core::document>(std::move(parsed));
}

std::string name_of(core::detection_event_kind kind)
{
    switch (kind)
    {
    case core::detection_event_kind::ejected:
        return "server_ejected";
    case core::detection_event_kind::readmitted:
        return "server_readmitted";
    case core::detection_event_kind::replaced:
        return "server_readmitted_for_worse";
    case core::detection_event_kind::kept_by_floor:
        return "server_kept_by_floor";
    case core::detection_event_kind::path_cut:
        return "server_path_cut";
    case core::detection_event_kind::reporter_cut:
        return "instance_cut_off";
    case core::detection_event_kind::service_slow:
        return "service_slow";
    }
    return "detection";
}

/// The proxy thread: callers, backend servers and decisions.
class proxy_side
{
public:
    using post_function = std::function<void(control_event&&)>;

    proxy_side(core::node decisions, post_function post)
        : node(std::move(decisions)), post_control(std::move(post)),
          events(this->context,
                 mailbox_capacity,
                 [this](proxy_event&& event)
                 {
                     this->handle(event);
                 }),
          tick_timer(this->context), snapshot_timer(this->context)
    {
    }

    std::error_code listen(const config::settings& settings, metrics& counts)
    {
        auto made = entry::create(this->context, settings, this->node,
                                  [this](core::outbox&& out)
                                  {
                                      this->send(out);
                                  });
        if (!made)
        {
            return made.error();
        }
        this->callers = std::move(*made);
        this->callers->on_request_end(
            [&counts](const request_summary& ended)
            {
                counts.request_ended(ended.outcome, ended.elapsed,
                                     ended.elapsed - ended.at_server);
                counts.retries(ended.attempts > 1 ? ended.attempts - 1 : 0);
                if (ended.outcome == core::result_code::rate_exceeded ||
                    ended.outcome == core::result_code::limit_home_unreachable)
                {
                    counts.limit_refused(ended.outcome);
                }
            });
        return this->callers->start();
    }

    void run()
    {
        this->tick();
        this->take_snapshot();
        this->context.run();
    }

    void stop()
    {
        this->context.stop();
    }

    bool push(proxy_event&& event)
    {
        return this->events.push(std::move(event));
    }

private:
    void send(core::outbox& out)
    {
        for (core::outgoing& item : out)
        {
            this->post_control(std::move(item));
        }
    }

    void handle(proxy_event& event)
    {
        const core::instant now = read_clocks();
        std::visit(
            core::overloaded{
                [&](peer_message& item)
                {
                    auto out = this->node.receive(item.from, item.message, now);
                    if (out)
                    {
                        this->send(*out);
                    }
                },
                [&](std::shared_ptr<const core::document>& item)
                {
                    this->callers->apply_document(*item);
                    this->node.apply_document(std::move(item), now);
                },
                [&](core::instance_list& item)
                {
                    this->node.apply_list(item, now);
                },
                [&](stop_serving&)
                {
                    this->drain(now);
                }},
            event);
        this->callers->notify_changed();
    }

    void drain(core::instant now)
    {
        core::outbox out = this->node.shut_down(now);
        this->send(out);
        this->callers->drain(
            [this]
            {
                this->post_control(all_requests_finished{});
            });
    }

    void tick()
    {
        core::outbox out = this->node.tick(read_clocks());
        this->send(out);
        this->callers->notify_changed();
        this->tick_timer.expires_after(decision_period);
        this->tick_timer.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                {
                    this->tick();
                }
            });
    }

    void take_snapshot()
    {
        this->post_control(snapshot{this->node.view(core::boot_clock::now()),
                                    this->callers->counters(),
                                    this->node.take_detection_events()});
        this->snapshot_timer.expires_after(snapshot_period);
        this->snapshot_timer.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                {
                    this->take_snapshot();
                }
            });
    }

    boost::asio::io_context context{1};
    core::node node;
    post_function post_control;
    mailbox<proxy_event> events;
    std::unique_ptr<entry> callers;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer snapshot_timer;
};

/// The control thread: peers, platform, operators and signals.
class control_side
{
public:
    using post_function = std::function<void(proxy_event&&)>;

    control_side(const config::settings& source,
                 core::instance_id identity,
                 post_function post)
        : settings(source), self(std::move(identity)),
          post_proxy(std::move(post)),
          distribution({this->self, source.data_centre, this->self.incarnation},
                       core::boot_clock::now()),
          events(this->context,
                 mailbox_capacity,
                 [this](control_event&& event)
                 {
                     this->handle(event);
                 }),
          signals(this->context, SIGINT, SIGTERM), tick_timer(this->context),
          end_timer(this->context)
    {
    }

    std::error_code open()
    {
        if (!this->settings.document_file.empty())
        {
            return this->open_admin();
        }
        auto links = peers::create(
            this->context, this->settings, this->self,
            [this](const core::instance_id& from, core::message&& incoming)
            {
                this->receive(from, std::move(incoming));
            });
        if (!links)
        {
            return links.error();
        }
        this->links = std::move(*links);
        auto client =
            platform::create(this->context, this->settings,
                             {[this](const published_document& next)
                              {
                                  this->accept_document(next);
                              },
                              [this](const core::instance_list& next)
                              {
                                  core::outbox out;
                                  const std::error_code refused =
                                      this->distribution.accept_list(
                                          next, core::boot_clock::now(), out);
                                  // In force first: announcements go to new
                                  // instances too.
                                  if (!refused)
                                  {
                                      this->put_list_in_force(next);
                                  }
                                  this->send(out);
                              }});
        if (!client)
        {
            return client.error();
        }
        this->client = std::move(*client);
        return this->open_admin();
    }

    // A small site without a platform: the document comes from a file and this
    // instance is the whole fleet.
    void apply_file(core::document source)
    {
        core::listed_instance itself;
        itself.name = this->self.name;
        itself.data_centre = this->settings.data_centre;
        itself.region = this->settings.region;
        this->post_proxy(core::instance_list{1, {itself}});
        this->post_proxy(
            std::make_shared<const core::document>(std::move(source)));
    }

    /// Serves until the end; true when all requests have finished.
    bool run()
    {
        this->await_signal();
        if (this->client)
        {
            this->client->read_once();
        }
        this->tick();
        this->context.run();
        return this->finished;
    }

    bool push(control_event&& event)
    {
        return this->events.push(std::move(event));
    }

    metrics& counters()
    {
        return this->counts;
    }

private:
    // Adds what the links and the log have counted since the last scrape.
    void count_traffic()
    {
        const std::uint64_t lines = log::dropped_lines();
        this->counts.log_lines_dropped(lines - this->counted_lines);
        this->counted_lines = lines;
        if (!this->links)
        {
            return;
        }
        const peer_counters now = this->links->counters();
        const auto add = [this](peer_direction direction, const auto& current,
                                const auto& before)
        {
            for (std::size_t type = 0; type < message_types; ++type)
            {
                this->counts.peer_messages(
                    direction, type_name(type),
                    current[type].messages - before[type].messages,
                    current[type].bytes - before[type].bytes);
            }
        };
        add(peer_direction::sent, now.sent, this->counted_traffic.sent);
        add(peer_direction::received, now.received,
            this->counted_traffic.received);
        this->counted_traffic = now;
    }

    void count_ejection(core::detection_event_kind kind)
    {
        switch (kind)
        {
        case core::detection_event_kind::ejected:
            this->counts.ejection(ejection_event::ejected);
            break;
        case core::detection_event_kind::kept_by_floor:
            this->counts.ejection(ejection_event::kept_by_floor);
            break;
        case core::detection_event_kind::readmitted:
        case core::detection_event_kind::replaced:
            this->counts.ejection(ejection_event::ended);
            break;
        case core::detection_event_kind::path_cut:
        case core::detection_event_kind::reporter_cut:
        case core::detection_event_kind::service_slow:
            break;
        }
    }

    std::error_code open_admin()
    {
        admin_sources sources;
        sources.metrics = [this]
        {
            this->counts.set_view(this->newest.view);
            this->count_traffic();
            return this->counts.text();
        };
        sources.ready = [this]
        {
            return this->newest.view.ready && !this->leaving;
        };
        sources.status = [this]
        {
            return format_status(this->self, program_version,
                                 this->newest.view);
        };
        auto made = admin::listen(this->context, this->settings.admin, sources);
        if (!made)
        {
            return made.error();
        }
        this->operators = std::move(*made);
        return {};
    }

    void send(core::outbox& out)
    {
        for (core::outgoing& item : out)
        {
            this->links->send(std::move(item));
        }
    }

    // Membership and configuration are handled here, all else by the decisions.
    void receive(const core::instance_id& from, core::message&& incoming)
    {
        const core::time_point now = core::boot_clock::now();
        core::outbox out;
        log::write(log::level::debug, "peer_message",
                   {log::kv("peer", from.name),
                    log::kv("type", type_name(incoming.index()))});
        std::visit(
            core::overloaded{
                [&](const core::hello& item)
                {
                    out = this->distribution.receive(from, item, now);
                },
                [&](const core::document_pull& item)
                {
                    out = this->distribution.receive(from, item, now);
                },
                [&](const core::document_part& item)
                {
                    out = this->distribution.receive(from, item, now);
                },
                [&](const core::list_copy& item)
                {
                    out = this->distribution.receive(from, item, now);
                },
                [&](const auto&)
                {
                    this->post_proxy(peer_message{from, std::move(incoming)});
                }},
            incoming);
        this->send(out);
        this->take_arrivals();
    }

    void take_arrivals()
    {
        if (const auto copy = this->distribution.take_document())
        {
            const auto read = read_published(copy->values);
            if (read)
            {
                this->accept_document(*read);
            }
            else
            {
                log::write(log::level::warning, "document_refused",
                           {log::kv("source", "peer"),
                            log::kv("error", read.error())});
                this->distribution.reject_document(core::boot_clock::now());
            }
        }
        if (const auto list = this->distribution.take_list())
        {
            this->put_list_in_force(*list);
        }
    }

    void accept_document(const published_document& next)
    {
        core::outbox out;
        const std::error_code refused = this->distribution.accept_document(
            std::make_shared<core::raw_document>(
                core::raw_document{next.version, next.values}),
            core::boot_clock::now(), out);
        this->send(out);
        if (refused)
        {
            log::write(
                log::level::info, "document_refused",
                {log::kv("version", next.version), log::kv("error", refused)});
            return;
        }
        this->client->set_document(next);
        this->post_proxy(std::shared_ptr<const core::document>(next.document));
        log::write(log::level::info, "document_in_force",
                   {log::kv("version", next.version)});
    }

    void put_list_in_force(const core::instance_list& list)
    {
        this->links->set_instances(list);
        this->client->set_list_version(list.version);
        this->post_proxy(core::instance_list(list));
        log::write(log::level::info, "list_in_force",
                   {log::kv("version", list.version),
                    log::kv("instances", list.instances.size())});
    }

    void handle(control_event& event)
    {
        std::visit(core::overloaded{[this](core::outgoing& item)
                                    {
                                        if (this->links)
                                        {
                                            this->links->send(std::move(item));
                                        }
                                    },
                                    [this](snapshot& item)
                                    {
                                        this->publish(std::move(item));
                                    },
                                    [this](all_requests_finished&)
                                    {
                                        this->finished = true;
                                        this->end_after(farewell_time);
                                    }},
                   event);
    }

    void publish(snapshot&& next)
    {
        this->newest = std::move(next);
        for (const core::detection_event& event : this->newest.events)
        {
            this->count_ejection(event.kind);
            log::write(log::level::warning, name_of(event.kind),
                       {log::kv("service", event.service),
                        log::kv("server", event.server),
                        log::kv("reporter", event.reporter),
                        log::kv("reason", event.reason)});
        }
    }

    void tick()
    {
        if (this->links)
        {
            const core::time_point now = core::boot_clock::now();
            core::outbox out = this->distribution.tick(now);
            this->send(out);
            this->take_arrivals();
            this->client->watch(this->distribution.should_watch(now));
        }
        this->tick_timer.expires_after(control_period);
        this->tick_timer.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                {
                    this->tick();
                }
            });
    }

    void await_signal()
    {
        this->signals.async_wait(
            [this](const boost::system::error_code& failed, int signal)
            {
                if (!failed)
                {
                    this->on_signal(signal);
                }
            });
    }

    // The first signal starts the graceful end, the second one ends at once.
    void on_signal(int signal)
    {
        log::write(
            log::level::info, "signal",
            {log::kv("number", signal), log::kv("graceful", !this->leaving)});
        if (this->leaving)
        {
            this->context.stop();
            return;
        }
        this->leaving = true;
        this->distribution.set_leaving();
        this->post_proxy(stop_serving{});
        this->end_after(this->settings.shutdown_limit);
        this->await_signal();
    }

    void end_after(std::chrono::milliseconds period)
    {
        this->end_timer.expires_after(period);
        this->end_timer.async_wait(
            [this](const boost::system::error_code& failed)
            {
                if (!failed)
                {
                    this->context.stop();
                }
            });
    }

    config::settings settings;
    core::instance_id self;
    boost::asio::io_context context{1};
    post_function post_proxy;
    core::spread distribution;
    mailbox<control_event> events;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer end_timer;
    std::unique_ptr<peers> links;
    std::unique_ptr<platform> client;
    std::unique_ptr<admin> operators;
    metrics counts;
    peer_counters counted_traffic;
    std::uint64_t counted_lines = 0;
    snapshot newest;
    bool leaving = false;
    bool finished = false;
};

} // namespace

struct instance::state
{
    state(const config::settings& settings,
          const core::instance_id& identity,
          core::node decisions)
        : proxy(std::move(decisions),
                [this](control_event&& event)
                {
                    this->control.push(std::move(event));
                }),
          control(settings,
                  identity,
                  [this](proxy_event&& event)
                  {
                      this->proxy.push(std::move(event));
                  })
    {
    }

    proxy_side proxy;
    control_side control;
};

core::result<std::unique_ptr<instance>>
instance::create(const config::settings& settings)
{
    const core::instance_id identity = identify(settings);
    core::node_settings own{identity, settings.data_centre, settings.region,
                            identity.incarnation};
    auto decisions = core::node::create(own, core::boot_clock::now());
    if (!decisions)
    {
        return decisions.error();
    }
    auto made =
        std::make_unique<state>(settings, identity, std::move(*decisions));
    if (const std::error_code failed = made->control.open())
    {
        return failed;
    }
    if (!settings.document_file.empty())
    {
        auto source = read_document_file(settings.document_file);
        if (!source)
        {
            return source.error();
        }
        made->control.apply_file(std::move(*source));
    }
    if (const std::error_code failed =
            made->proxy.listen(settings, made->control.counters()))
    {
        return failed;
    }
    return std::unique_ptr<instance>(new instance(std::move(made)));
}

instance::instance(std::unique_ptr<state> initial) : self(std::move(initial)) {}

instance::~instance() = default;

bool instance::run()
{
    std::thread proxy(
        [this]
        {
            this->self->proxy.run();
        });
    const bool finished = this->self->control.run();
    this->self->proxy.stop();
    proxy.join();
    return finished;
}

} // namespace medlarbarrow::net
