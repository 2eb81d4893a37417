#include <algorithm>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/overloaded.hpp>
#include <medlarbarrow/core/spread.hpp>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/codec.hpp>
#include <medlarbarrow/net/document_file.hpp>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/instance.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/mailbox.hpp>
#include <medlarbarrow/net/metrics.hpp>
#include <medlarbarrow/net/peers.hpp>
#include <medlarbarrow/net/platform.hpp>
#include <thread>
#include <variant>

namespace medlarbarrow::net
{

namespace
{

/// Tick period of the decision logic. Admission from a queue and lease renewals
/// are delayed by at most this time.
constexpr std::chrono::milliseconds decision_tick_period{20};

/// Tick period of the control thread.
constexpr std::chrono::milliseconds control_tick_period{50};

/// Period of the state snapshots for operators and metrics.
constexpr std::chrono::milliseconds snapshot_period{500};

/// Time to send the last messages before the links close.
constexpr std::chrono::milliseconds final_send_time{300};

constexpr std::size_t mailbox_capacity = 8192;

/// A message from a peer for the decision logic.
struct peer_message
{
    core::instance_id sender;
    core::message message;
};

/// Tells the proxy thread to drain its requests.
struct stop_serving
{
};

/// Events from the control thread to the proxy thread.
using proxy_event = std::variant<peer_message,
                                 std::shared_ptr<const core::document>,
                                 core::instance_list,
                                 stop_serving>;

/// Copy of the proxy thread's state for operators and metrics.
struct snapshot
{
    core::node_view view;
    entry_counters counters;
    std::vector<core::detection_event> events;
};

/// Tells the control thread that the drain of the requests is complete.
struct all_requests_finished
{
};

/// Events from the proxy thread to the control thread.
using control_event =
    std::variant<core::outgoing, snapshot, all_requests_finished>;

core::instant read_clocks()
{
    return {core::boot_clock::now(),
            std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now())};
}

/// Identity of this process. Its incarnation is the start time in milliseconds
/// since 1970.
core::instance_id make_instance_id(const config::settings& settings)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now);
    return {settings.name, static_cast<std::uint64_t>(milliseconds.count())};
}

/// Event name of a detection event in the log.
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

/// State of the proxy thread: serves callers and backend servers and runs the
/// decision logic. push() may be called from any thread.
class proxy_thread
{
public:
    using post_function = std::function<void(control_event&&)>;

    proxy_thread(core::node decisions, post_function post)
        : node(std::move(decisions)), post_to_control(std::move(post)),
          events(this->context,
                 mailbox_capacity,
                 [this](proxy_event&& event)
                 {
                     this->handle(event);
                 }),
          tick_timer(this->context), snapshot_timer(this->context)
    {
    }

    /// Listens for callers and counts each ended request in `instance_metrics`.
    std::error_code listen(const config::settings& settings,
                           metrics& instance_metrics)
    {
        auto created = entry::create(this->context, settings, this->node,
                                     [this](core::outbox&& out)
                                     {
                                         this->send(out);
                                     });
        if (!created)
        {
            return created.error();
        }
        this->entry_point = std::move(*created);
        this->shutdown_limit = settings.shutdown_limit;
        this->entry_point->on_request_end(
            [&instance_metrics](const request_summary& ended)
            {
                instance_metrics.request_ended(ended.outcome, ended.elapsed,
                                               ended.elapsed -
                                                   ended.attempt_time);
                instance_metrics.retries(ended.attempts > 1 ? ended.attempts - 1
                                                            : 0);
                if (ended.outcome == core::result_code::rate_exceeded ||
                    ended.outcome == core::result_code::limit_home_unreachable)
                {
                    instance_metrics.count_limit_refusal(ended.outcome);
                }
            });
        return this->entry_point->start();
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
        for (core::outgoing& message : out)
        {
            this->post_to_control(std::move(message));
        }
    }

    void handle(proxy_event& event)
    {
        const core::instant now = read_clocks();
        std::visit(
            core::overloaded{
                [&](peer_message& incoming)
                {
                    auto out = this->node.receive(incoming.sender,
                                                  incoming.message, now);
                    if (out)
                    {
                        this->send(*out);
                    }
                },
                [&](std::shared_ptr<const core::document>& document)
                {
                    this->entry_point->apply_document(*document);
                    this->node.apply_document(std::move(document), now);
                },
                [&](core::instance_list& list)
                {
                    this->node.apply_list(list, now);
                },
                [&](stop_serving&)
                {
                    this->drain(now);
                }},
            event);
        this->entry_point->notify_changed();
    }

    // Shuts down the decision logic, sends its last messages and notifies the
    // control thread when no request is left.
    void drain(core::instant now)
    {
        core::outbox out = this->node.shut_down(now);
        this->send(out);
        this->entry_point->drain(
            core::shutdown_plan(now.monotonic, this->shutdown_limit,
                                final_send_time),
            [this]
            {
                this->post_to_control(all_requests_finished{});
            });
    }

    void tick()
    {
        core::outbox out = this->node.tick(read_clocks());
        this->send(out);
        this->entry_point->notify_changed();
        this->tick_timer.expires_after(decision_tick_period);
        this->tick_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->tick();
                }
            });
    }

    void take_snapshot()
    {
        this->post_to_control(snapshot{this->node.view(core::boot_clock::now()),
                                       this->entry_point->counters(),
                                       this->node.take_detection_events()});
        this->snapshot_timer.expires_after(snapshot_period);
        this->snapshot_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->take_snapshot();
                }
            });
    }

    boost::asio::io_context context{1};
    core::node node;
    post_function post_to_control;
    mailbox<proxy_event> events;
    std::unique_ptr<entry> entry_point;
    std::chrono::milliseconds shutdown_limit{0};
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer snapshot_timer;
};

/// State of the control thread: handles peers, the platform, operators and
/// signals. push() may be called from any thread.
class control_thread
{
public:
    using post_function = std::function<void(proxy_event&&)>;

    control_thread(const config::settings& source,
                   core::instance_id identity,
                   post_function post)
        : settings(source), self(std::move(identity)),
          post_to_proxy(std::move(post)),
          config_distribution(
              {this->self, source.data_centre, this->self.incarnation},
              core::boot_clock::now()),
          events(this->context,
                 mailbox_capacity,
                 [this](control_event&& event)
                 {
                     this->handle(event);
                 }),
          signals(this->context, SIGINT, SIGTERM), tick_timer(this->context),
          stop_timer(this->context)
    {
    }

    /// Opens the links and the platform client, unless the document comes from
    /// a file, and the listener for operators.
    std::error_code open()
    {
        if (!this->settings.document_file.empty())
        {
            return this->open_admin();
        }
        auto links = peers::create(
            this->context, this->settings, this->self,
            [this](const core::instance_id& sender, core::message&& incoming)
            {
                this->receive(sender, std::move(incoming));
            });
        if (!links)
        {
            return links.error();
        }
        this->links = std::move(*links);
        auto client =
            platform::create(this->context, this->settings,
                             {[this](const published_document& published)
                              {
                                  this->accept_document(published);
                              },
                              [this](const core::instance_list& list)
                              {
                                  core::outbox out;
                                  const std::error_code refused =
                                      this->config_distribution.accept_list(
                                          list, core::boot_clock::now(), out);
                                  // Applied first, so that the announcements
                                  // also reach new instances.
                                  if (!refused)
                                  {
                                      this->apply_list(list);
                                  }
                                  this->send(out);
                              }});
        if (!client)
        {
            return client.error();
        }
        this->platform_client = std::move(*client);
        return this->open_admin();
    }

    /// Serves a small site without a platform: the document comes from a file
    /// and the instance list contains only this instance.
    void apply_file(core::document source)
    {
        core::listed_instance this_instance;
        this_instance.name = this->self.name;
        this_instance.data_centre = this->settings.data_centre;
        this_instance.region = this->settings.region;
        this->post_to_proxy(core::instance_list{1, {this_instance}});
        this->post_to_proxy(
            std::make_shared<const core::document>(std::move(source)));
    }

    /// Runs until the end of the shutdown. True if all requests have finished.
    bool run()
    {
        this->await_signal();
        if (this->platform_client)
        {
            this->platform_client->read_once();
        }
        this->tick();
        this->context.run();
        return this->requests_finished;
    }

    bool push(control_event&& event)
    {
        return this->events.push(std::move(event));
    }

    metrics& metrics_of_instance()
    {
        return this->instance_metrics;
    }

private:
    // Adds the increase of the link and log counters since the last scrape to
    // the metrics.
    void count_traffic()
    {
        this->instance_metrics.log_lines_dropped(log::dropped_lines());
        if (!this->links)
        {
            return;
        }
        const peer_counters now = this->links->counters();
        const auto add = [this](peer_direction direction, const auto& current,
                                const auto& before)
        {
            for (std::size_t type = 0; type < message_type_count; ++type)
            {
                this->instance_metrics.count_peer_messages(
                    direction, type_name(type),
                    current[type].messages - before[type].messages,
                    current[type].bytes - before[type].bytes);
            }
        };
        add(peer_direction::sent, now.sent, this->reported_traffic.sent);
        add(peer_direction::received, now.received,
            this->reported_traffic.received);
        this->reported_traffic = now;
    }

    void count_ejection(core::detection_event_kind kind)
    {
        switch (kind)
        {
        case core::detection_event_kind::ejected:
            this->instance_metrics.ejection(ejection_event::ejected);
            break;
        case core::detection_event_kind::kept_by_floor:
            this->instance_metrics.ejection(ejection_event::kept_by_floor);
            break;
        case core::detection_event_kind::readmitted:
        case core::detection_event_kind::replaced:
            this->instance_metrics.ejection(ejection_event::ended);
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
            this->instance_metrics.set_view(this->latest_snapshot.view);
            this->count_traffic();
            return this->instance_metrics.text() +
                   format_counters(this->latest_snapshot.counters.bodies);
        };
        sources.ready = [this]
        {
            return this->latest_snapshot.view.ready && !this->shutting_down;
        };
        sources.status = [this]
        {
            return format_status(this->self, program_version,
                                 this->latest_snapshot.view);
        };
        auto listener =
            admin::listen(this->context, this->settings.admin, sources);
        if (!listener)
        {
            return listener.error();
        }
        this->admin_listener = std::move(*listener);
        return {};
    }

    void send(core::outbox& out)
    {
        for (core::outgoing& message : out)
        {
            this->links->send(std::move(message));
        }
    }

    // Handles messages about membership and configuration. All others go to the
    // decision logic on the proxy thread.
    void receive(const core::instance_id& sender, core::message&& incoming)
    {
        const core::time_point now = core::boot_clock::now();
        core::outbox out;
        log::write(log::level::debug, "peer_message",
                   {log::kv("peer", sender.name),
                    log::kv("type", type_name(incoming.index()))});
        std::visit(core::overloaded{[&](const core::hello& message)
                                    {
                                        out = this->config_distribution.receive(
                                            sender, message, now);
                                    },
                                    [&](const core::document_pull& message)
                                    {
                                        out = this->config_distribution.receive(
                                            sender, message, now);
                                    },
                                    [&](const core::document_part& message)
                                    {
                                        out = this->config_distribution.receive(
                                            sender, message, now);
                                    },
                                    [&](const core::list_copy& message)
                                    {
                                        out = this->config_distribution.receive(
                                            sender, message, now);
                                    },
                                    [&](const auto&)
                                    {
                                        this->post_to_proxy(peer_message{
                                            sender, std::move(incoming)});
                                    }},
                   incoming);
        this->send(out);
        this->apply_received();
    }

    // Applies a document or list that the peers have completed.
    void apply_received()
    {
        if (const auto copy = this->config_distribution.take_document())
        {
            const auto published = read_published(copy->values);
            if (published)
            {
                this->accept_document(*published);
            }
            else
            {
                log::write(log::level::warning, "document_refused",
                           {log::kv("source", "peer"),
                            log::kv("error", published.error())});
                this->config_distribution.reject_document(
                    core::boot_clock::now());
            }
        }
        if (const auto list = this->config_distribution.take_list())
        {
            this->apply_list(*list);
        }
    }

    // Puts a document into force unless the distribution refuses it.
    void accept_document(const published_document& published)
    {
        core::outbox out;
        const std::error_code refused =
            this->config_distribution.accept_document(
                std::make_shared<core::raw_document>(
                    core::raw_document{published.version, published.values}),
                core::boot_clock::now(), out);
        this->send(out);
        if (refused)
        {
            log::write(log::level::info, "document_refused",
                       {log::kv("version", published.version),
                        log::kv("error", refused)});
            return;
        }
        this->platform_client->set_document(published);
        this->post_to_proxy(
            std::shared_ptr<const core::document>(published.document));
        log::write(log::level::info, "document_in_force",
                   {log::kv("version", published.version)});
    }

    void apply_list(const core::instance_list& list)
    {
        this->links->set_instances(list);
        this->platform_client->set_list_version(list.version);
        this->post_to_proxy(core::instance_list(list));
        log::write(log::level::info, "list_in_force",
                   {log::kv("version", list.version),
                    log::kv("instances", list.instances.size())});
    }

    void handle(control_event& event)
    {
        std::visit(
            core::overloaded{[this](core::outgoing& message)
                             {
                                 if (this->links)
                                 {
                                     this->links->send(std::move(message));
                                 }
                             },
                             [this](snapshot& update)
                             {
                                 this->publish(std::move(update));
                             },
                             [this](all_requests_finished&)
                             {
                                 this->requests_finished = true;
                                 this->stop_after(std::min(
                                     final_send_time, this->time_to_limit()));
                             }},
            event);
    }

    // Stores a snapshot for operators, and logs and counts its events.
    void publish(snapshot&& update)
    {
        this->latest_snapshot = std::move(update);
        for (const core::detection_event& event : this->latest_snapshot.events)
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
            core::outbox out = this->config_distribution.tick(now);
            this->send(out);
            this->apply_received();
            this->platform_client->watch(
                this->config_distribution.should_watch(now));
        }
        this->tick_timer.expires_after(control_tick_period);
        this->tick_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->tick();
                }
            });
    }

    void await_signal()
    {
        this->signals.async_wait(
            [this](const boost::system::error_code& error, int signal)
            {
                if (!error)
                {
                    this->on_signal(signal);
                }
            });
    }

    // The first signal starts a graceful shutdown. The platform may repeat
    // SIGTERM; that must not end requests. An operator at a terminal may insist
    // with a further SIGINT, which stops the process immediately.
    void on_signal(int signal)
    {
        if (this->shutting_down && signal == SIGINT)
        {
            log::write(log::level::warning, "stop_forced", {});
            this->context.stop();
            return;
        }
        if (this->shutting_down)
        {
            log::write(log::level::info, "stop_signal_repeated", {});
        }
        else
        {
            this->begin_shutdown(signal);
        }
        this->await_signal();
    }

    void begin_shutdown(int signal)
    {
        log::write(log::level::info, "signal", {log::kv("number", signal)});
        this->shutting_down = true;
        this->config_distribution.set_leaving();
        this->post_to_proxy(stop_serving{});
        this->stop_after(this->settings.shutdown_limit);
    }

    // Time until the limit that begin_shutdown() has set.
    std::chrono::milliseconds time_to_limit() const
    {
        return std::chrono::floor<std::chrono::milliseconds>(
            this->stop_timer.expiry() - std::chrono::steady_clock::now());
    }

    // Ends run() of the control thread after `period`; replaces an earlier
    // limit.
    void stop_after(std::chrono::milliseconds period)
    {
        this->stop_timer.expires_after(period);
        this->stop_timer.async_wait(
            [this](const boost::system::error_code& error)
            {
                if (!error)
                {
                    this->context.stop();
                }
            });
    }

    config::settings settings;
    core::instance_id self;
    boost::asio::io_context context{1};
    post_function post_to_proxy;
    core::spread config_distribution;
    mailbox<control_event> events;
    boost::asio::signal_set signals;
    boost::asio::steady_timer tick_timer;
    boost::asio::steady_timer stop_timer;
    std::unique_ptr<peers> links;
    std::unique_ptr<platform> platform_client;
    std::unique_ptr<admin> admin_listener;
    metrics instance_metrics;
    peer_counters reported_traffic;
    snapshot latest_snapshot;
    bool shutting_down = false;
    bool requests_finished = false;
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

    proxy_thread proxy;
    control_thread control;
};

core::result<std::unique_ptr<instance>>
instance::create(const config::settings& settings)
{
    const core::instance_id identity = make_instance_id(settings);
    core::node_settings node_settings{identity, settings.data_centre,
                                      settings.region, identity.incarnation};
    auto decisions = core::node::create(node_settings, core::boot_clock::now());
    if (!decisions)
    {
        return decisions.error();
    }
    auto initial =
        std::make_unique<state>(settings, identity, std::move(*decisions));
    if (const std::error_code error = initial->control.open())
    {
        return error;
    }
    if (!settings.document_file.empty())
    {
        auto source = read_document_file(settings.document_file);
        if (!source)
        {
            return source.error();
        }
        initial->control.apply_file(std::move(*source));
    }
    if (const std::error_code error = initial->proxy.listen(
            settings, initial->control.metrics_of_instance()))
    {
        return error;
    }
    return std::unique_ptr<instance>(new instance(std::move(initial)));
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
    const bool requests_finished = this->self->control.run();
    this->self->proxy.stop();
    proxy.join();
    return requests_finished;
}

} // namespace medlarbarrow::net
