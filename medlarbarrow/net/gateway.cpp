#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/gateway.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/send.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace medlarbarrow::net
{

namespace
{

using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using core::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Body bytes that are read before a server is asked for: a request whose
/// body fits can be sent again.
constexpr std::size_t kept_body_bytes = 128U << 10U;

/// Decoded parts of answers and bodies are twice this size at most.
constexpr std::uint32_t buffer_bytes = 2 * kept_body_bytes;

constexpr milliseconds accept_pause{100};
constexpr seconds sweep_period{1};

/// Servers close connections that have been idle for ten seconds.
constexpr milliseconds server_idle_age{8500};
constexpr milliseconds server_connect_limit{250};

/// A request is over by then whatever its route says.
constexpr milliseconds longest_request{60000};

core::time_point now()
{
    return core::boot_clock::now();
}

/// What is derived from one document.
struct document_view
{
    explicit document_view(std::shared_ptr<const core::document> chosen)
        : document(std::move(chosen)), routes(this->document),
          accounts(this->document)
    {
        for (const core::client_account& account : this->document->accounts)
        {
            this->by_name[account.name] = &account;
        }
    }

    std::shared_ptr<const core::document> document;
    core::route_table routes;
    core::account_index accounts;
    std::unordered_map<std::string, const core::client_account*> by_name;
};

/// Chooses among the services of a route so that any run of requests comes
/// close to the weights.
class split_counter
{
public:
    const std::string& next(const core::route& route)
    {
        if (route.split.size() < 2)
        {
            return route.split.empty() ? route.service
                                       : route.split.front().service;
        }
        std::vector<double>& credit = this->credits[route.name];
        double total = 0.0;
        for (const core::weighted_service& part : route.split)
        {
            total += part.weight;
        }
        if (credit.size() != route.split.size())
        {
            // Instances start at different points: together they keep to the
            // weights from the first requests on.
            credit.assign(route.split.size(), 0.0);
            std::uniform_real_distribution<double> offset(0.0, total);
            for (double& part : credit)
            {
                part = offset(this->random);
            }
        }
        std::size_t best = 0;
        for (std::size_t index = 0; index < credit.size(); ++index)
        {
            credit[index] += route.split[index].weight;
            if (route.split[index].weight > 0 &&
                (route.split[best].weight == 0 || credit[index] > credit[best]))
            {
                best = index;
            }
        }
        credit[best] -= total;
        return route.split[best].service;
    }

private:
    std::unordered_map<std::string, std::vector<double>> credits;
    std::minstd_rand random{std::random_device{}()};
};

answer_head refusal_head(unsigned status,
                         core::duration retry_after,
                         std::size_t body_bytes)
{
    answer_head head;
    head.status = status;
    head.reason = http::obsolete_reason(http::int_to_status(status));
    head.lines = "Content-Type: application/json\r\n";
    if (retry_after > core::duration(0))
    {
        const std::chrono::duration<double> wait = retry_after;
        head.lines += fmt::format("Retry-After: {:.3f}\r\n", wait.count());
    }
    head.length = body_bytes;
    return head;
}

std::string refusal_body(result_code code)
{
    const nlohmann::json body{{"code", static_cast<int>(code)},
                              {"name", core::name_of(code)}};
    return body.dump();
}

} // namespace

/// Everything the sessions of one gateway share.
struct gateway::state : std::enable_shared_from_this<gateway::state>
{
    class session;

    state(asio::io_context& context,
          const gateway_settings& chosen,
          fleet& others,
          const core::server_registry& known)
        : io(context), settings(chosen), peers(others), servers(known),
          acceptor(context), sweep_timer(context), room(context.get_executor()),
          bounds(make_bounds(chosen)),
          connections(context.get_executor(),
                      this->bounds,
                      chosen.names,
                      {server_idle_age, server_connect_limit})
    {
    }

    static config::entry_bounds make_bounds(const gateway_settings& settings)
    {
        config::entry_bounds bounds;
        bounds.max_connections = settings.max_connections;
        bounds.buffer_bytes = buffer_bytes;
        return bounds;
    }

    asio::awaitable<void> accept_callers();
    void open(tcp::socket&& socket);
    bool evict_one();
    void ended(session& gone);
    void sweep();
    void check_drained();

    asio::io_context& io;
    gateway_settings settings;
    fleet& peers;
    const core::server_registry& servers;
    tcp::acceptor acceptor;
    tcp::endpoint local;
    asio::steady_timer sweep_timer;
    signal room;
    config::entry_bounds bounds;
    upstream connections;
    std::shared_ptr<const document_view> view;
    split_counter splits;
    gateway_counters counts;
    std::function<void(const request_summary&)> observe;
    std::set<session*> sessions;
    std::size_t running = 0; ///< requests
    bool draining = false;
    bool stopping = false;
    std::function<void()> drained;
};

/// One caller's connection and its requests, one after the other.
class gateway::state::session
    : public std::enable_shared_from_this<gateway::state::session>
{
public:
    session(std::shared_ptr<state> shared, tcp::socket&& socket)
        : owner(std::move(shared)),
          caller(std::make_shared<caller_connection>(
              caller_stream(std::move(socket), nullptr), this->owner->bounds)),
          changed(this->owner->io.get_executor())
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<session> self);

    caller_connection& connection()
    {
        return *this->caller;
    }

private:
    /// One try of the request: its place and its send.
    struct attempt
    {
        std::optional<core::grant_id> grant;
        std::string server;
        std::shared_ptr<send> sent;
    };

    asio::awaitable<void> serve_all();
    asio::awaitable<void> serve();
    asio::awaitable<bool> check();
    asio::awaitable<bool> read_body();
    asio::awaitable<bool> admit();
    asio::awaitable<void> run_flow();
    core::flow_terms flow_terms();
    core::place_request place_terms(const core::action_place& action);
    void start_place(const core::action_place& action);
    void start_send(const core::action_send& action);
    void on_send_end(std::size_t number, const core::attempt_result& result);
    void cancel(std::size_t number);
    asio::awaitable<void> deliver(std::size_t number);
    asio::awaitable<void>
    refuse(result_code code, bool unknown, core::duration retry_after);
    void write_log();

    std::shared_ptr<state> owner;
    std::shared_ptr<caller_connection> caller;
    signal changed;

    // The request in progress.
    std::shared_ptr<const document_view> view;
    checked_request request;
    const core::route* route = nullptr;
    const core::client_account* account = nullptr;
    std::string service;
    trace::context span;
    core::time_point began{};
    core::time_point ends{};
    std::uint64_t content = 0;
    std::optional<core::request_flow> flow;
    std::vector<attempt> attempts;
    request_summary summary;
    std::string reason;       ///< of the newest decision, for the log
    std::uint64_t serial = 0; ///< of the request; late events name theirs
};

void gateway::state::open(tcp::socket&& socket)
{
    ++this->counts.connections_accepted;
    const auto made =
        std::make_shared<session>(this->shared_from_this(), std::move(socket));
    this->sessions.insert(made.get());
    if (this->draining)
    {
        made->connection().drain();
    }
    asio::co_spawn(this->io, session::run(made), asio::detached);
}

bool gateway::state::evict_one()
{
    session* oldest = nullptr;
    core::time_point least{};
    for (session* candidate : this->sessions)
    {
        const auto since = candidate->connection().idle_since();
        if (since && (oldest == nullptr || *since < least))
        {
            oldest = candidate;
            least = *since;
        }
    }
    if (oldest != nullptr)
    {
        oldest->connection().evict();
    }
    return oldest != nullptr;
}

asio::awaitable<void> gateway::state::accept_callers()
{
    const auto keep = this->shared_from_this();
    while (!this->stopping)
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
        {
            if (this->sessions.size() >= this->settings.max_connections)
            {
                this->evict_one();
            }
            this->open(std::move(socket));
        }
        else if (failure != asio::error::operation_aborted)
        {
            log::write(log::level::warning, "accept_failed",
                       {log::kv("reason", failure.message())});
            this->evict_one();
            co_await this->room.wait_until(now() + accept_pause);
        }
    }
}

void gateway::state::ended(session& gone)
{
    this->sessions.erase(&gone);
    this->room.notify();
    this->check_drained();
}

void gateway::state::check_drained()
{
    if (this->stopping && this->sessions.empty() && this->drained)
    {
        const auto callback = std::exchange(this->drained, nullptr);
        callback();
    }
}

void gateway::state::sweep()
{
    this->connections.close_aged();
    this->connections.set_max_instances(
        static_cast<std::uint32_t>(this->peers.live()));
    this->sweep_timer.expires_after(sweep_period);
    this->sweep_timer.async_wait(
        [weak = this->weak_from_this()](error_code failure)
        {
            const auto self = weak.lock();
            if (!failure && self)
            {
                self->sweep();
            }
        });
}

asio::awaitable<void>
gateway::state::session::run(std::shared_ptr<session> self)
{
    try
    {
        co_await self->serve_all();
    }
    catch (const std::exception& failure)
    {
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", failure.what())});
        self->caller->reset();
    }
    self->caller->on_gone = nullptr;
    self->owner->ended(*self);
}

asio::awaitable<void> gateway::state::session::serve_all()
{
    while (!this->caller->is_closing() && !this->caller->is_gone())
    {
        const head_status status = co_await this->caller->read_head();
        this->began = now();
        this->request = {};
        if (status == head_status::closed)
        {
            break;
        }
        ++this->owner->counts.requests;
        ++this->owner->running;
        this->summary = {};
        this->attempts.clear();
        this->flow.reset();
        this->route = nullptr;
        this->account = nullptr;
        this->reason.clear();
        ++this->serial;
        if (status == head_status::complete)
        {
            co_await this->serve();
        }
        else
        {
            this->caller->close_after_answer();
            result_code code = result_code::bad_request;
            if (status == head_status::too_large)
            {
                code = result_code::header_too_large;
            }
            if (status == head_status::timed_out)
            {
                code = result_code::caller_gone;
            }
            co_await this->refuse(code, false, {});
        }
        --this->owner->running;
        this->summary.elapsed = now() - this->began;
        this->write_log();
        if (this->owner->observe)
        {
            this->owner->observe(this->summary);
        }
        if (!this->caller->is_answer_whole())
        {
            this->caller->reset();
        }
    }
    co_await this->caller->close();
}

asio::awaitable<void> gateway::state::session::serve()
{
    const bool proper = co_await this->check();
    if (!proper)
    {
        co_return;
    }
    const bool whole = co_await this->read_body();
    if (!whole)
    {
        co_return;
    }
    const bool admitted = co_await this->admit();
    if (!admitted)
    {
        co_return;
    }
    co_await this->run_flow();
}

// Checks the header and finds route and account; false when refused.
asio::awaitable<bool> gateway::state::session::check()
{
    core::result<checked_request> checked =
        check_request(this->caller->header(), this->owner->settings.names);
    this->view = this->owner->view;
    if (!checked)
    {
        this->span = trace::make_span(std::nullopt);
        this->caller->close_after_answer();
        co_await this->refuse(result_code::bad_request, false, {});
        co_return false;
    }
    this->request = std::move(*checked);
    this->span = trace::make_span(this->request.parent);
    if (this->request.close)
    {
        this->caller->close_after_answer();
    }
    if (!this->view)
    {
        co_await this->refuse(result_code::not_ready, false, accept_pause);
        co_return false;
    }
    const core::request_facts& facts = this->request.facts;
    this->route =
        this->view->routes.match(facts.method, facts.host, facts.path);
    if (this->route == nullptr ||
        !facts.path.starts_with(this->route->path_prefix))
    {
        this->route = nullptr;
        co_await this->refuse(result_code::no_route, false, {});
        co_return false;
    }
    if (this->route->access == core::route_access::keyed)
    {
        if (facts.key)
        {
            const auto match = this->view->accounts.find(*facts.key);
            this->account = match.withdrawn ? nullptr : match.account;
        }
        if (this->account == nullptr)
        {
            co_await this->refuse(facts.key ? result_code::key_unknown
                                            : result_code::key_missing,
                                  false, {});
            co_return false;
        }
        const std::string& name = this->owner->settings.names.account;
        if (!name.empty())
        {
            this->request.lines +=
                fmt::format("{}: {}\r\n", name, this->account->name);
        }
    }
    const milliseconds asked = facts.caller_deadline.value_or(longest_request);
    this->ends = this->began + std::min(asked, this->route->deadline);
    co_return true;
}

// Reads the body as far as it is kept; false when refused.
asio::awaitable<bool> gateway::state::session::read_body()
{
    std::uint64_t limit = std::numeric_limits<std::uint64_t>::max();
    if (this->view->document->limits)
    {
        limit = this->view->document->limits->max_body_bytes;
    }
    this->caller->limit_body(limit);
    if (this->request.content_length.value_or(0) > limit)
    {
        this->caller->close_after_answer();
        co_await this->refuse(result_code::body_too_large, false, {});
        co_return false;
    }
    if (this->request.expects_continue && this->request.has_body())
    {
        co_await this->caller->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    const bool read = co_await this->caller->prefetch(kept_body_bytes);
    if (!read || this->caller->is_body_too_large())
    {
        result_code code = result_code::caller_gone;
        if (this->caller->is_body_too_large())
        {
            code = result_code::body_too_large;
        }
        if (this->caller->is_body_malformed())
        {
            code = result_code::bad_request;
        }
        this->caller->close_after_answer();
        co_await this->refuse(code, false, {});
        co_return false;
    }
    const std::uint64_t head = core::hash_text(
        this->request.method + " " + this->request.target,
        core::hash_text(this->account ? this->account->name : std::string()));
    this->content = core::hash_text(this->caller->buffered_body(), head);
    co_return true;
}

// Asks the home of the account; false when refused.
asio::awaitable<bool> gateway::state::session::admit()
{
    if (this->account == nullptr || this->account->rate_per_second <= 0)
    {
        co_return true;
    }
    const auto answer = std::make_shared<std::optional<core::quota_answer>>();
    this->owner->peers.admit(
        this->account->name,
        [self = this->shared_from_this(), answer](const core::quota_answer& got)
        {
            *answer = got;
            self->changed.notify();
        });
    while (!*answer && now() < this->ends)
    {
        co_await this->changed.wait_until(this->ends);
    }
    if (*answer && (*answer)->granted)
    {
        co_return true;
    }
    co_await this->refuse(result_code::rate_exceeded, false,
                          *answer ? (*answer)->retry_after : core::duration{});
    co_return false;
}

core::flow_terms gateway::state::session::flow_terms()
{
    core::flow_terms terms;
    terms.repeatable = this->route->repeatable;
    terms.body_kept =
        this->caller->is_body_whole() && this->caller->is_replayable();
    terms.max_attempts = this->route->max_attempts;
    terms.objective_at = this->began + this->route->latency_objective;
    terms.ends = this->ends;
    return terms;
}

core::place_request
gateway::state::session::place_terms(const core::action_place& action)
{
    const core::time_point at = now();
    const core::time_point objective =
        this->began + this->route->latency_objective;
    core::place_request asked;
    asked.data_centre = this->owner->settings.data_centre;
    asked.work = static_cast<std::uint32_t>(core::hash_text(this->route->name));
    asked.repeatable = this->route->repeatable;
    asked.rank = this->route->rank;
    if (this->account != nullptr && this->account->rank)
    {
        asked.rank = *this->account->rank;
    }
    asked.repeat = action.repeat;
    asked.objective = std::max(objective - at, core::duration(0));
    asked.left = std::max(this->ends - at, core::duration(0));
    asked.excluded = action.excluded;
    asked.content = this->content;
    return asked;
}

void gateway::state::session::start_place(const core::action_place& action)
{
    this->attempts.resize(std::max(this->attempts.size(), action.number + 1));
    this->owner->counts.second_sends += action.repeat ? 1 : 0;
    const std::uint64_t mine = this->serial;
    const auto answered = std::make_shared<bool>(false);
    const core::grant_id grant = this->owner->peers.place(
        this->service, this->place_terms(action),
        [self = this->shared_from_this(), mine, answered,
         number = action.number](const core::place_answer& answer)
        {
            *answered = true;
            if (self->serial == mine && self->flow)
            {
                if (const auto* chosen = std::get_if<core::placed>(&answer))
                {
                    self->attempts[number].server = chosen->server;
                }
                self->flow->on_placed(number, answer, now());
                self->changed.notify();
            }
        });
    this->attempts[action.number].grant = grant;
}

// Sends to the server, if it is known here and takes work; the home may know
// more or less than this instance.
void gateway::state::session::start_send(const core::action_send& action)
{
    attempt& item = this->attempts[action.number];
    const core::announced_server* known =
        this->owner->servers.find(action.server);
    if (known == nullptr || known->leaving || known->service != this->service)
    {
        this->reason = "server not usable here";
        this->owner->peers.done(*item.grant, core::send_outcome::unreachable,
                                {});
        item.grant.reset();
        this->flow->on_sent(action.number, core::send_end::not_sent, now());
        return;
    }
    core::step_send step;
    step.service = this->service;
    step.server = known->server;
    step.deadline = this->ends;
    step.expected_server = action.server;
    item.sent =
        std::make_shared<send>(this->caller,
                               [self = this->shared_from_this(),
                                number = action.number, mine = this->serial]
                               {
                                   if (self->serial != mine || !self->flow)
                                   {
                                       return false;
                                   }
                                   self->flow->on_answer_begun(number);
                                   self->changed.notify();
                                   return true;
                               });
    ++this->summary.attempts;
    asio::co_spawn(this->owner->io,
                   item.sent->run(this->owner->connections, step, this->request,
                                  this->span),
                   [self = this->shared_from_this(), number = action.number,
                    mine = this->serial](const std::exception_ptr& fault,
                                         core::attempt_result result)
                   {
                       if (fault)
                       {
                           result.end = core::attempt_end::closed_early;
                       }
                       if (self->serial == mine)
                       {
                           self->on_send_end(number, result);
                       }
                   });
}

void gateway::state::session::on_send_end(std::size_t number,
                                          const core::attempt_result& result)
{
    attempt& item = this->attempts[number];
    const auto [end, outcome] = judge_send(result);
    if (item.grant)
    {
        this->owner->peers.done(*item.grant, outcome, result.latency);
        item.grant.reset();
    }
    this->summary.outcome = result_code::ok;
    if (this->flow)
    {
        this->flow->on_sent(number, end, now());
        this->changed.notify();
    }
}

void gateway::state::session::cancel(std::size_t number)
{
    attempt& item = this->attempts[number];
    if (item.sent)
    {
        item.sent->cancel();
    }
    if (item.grant)
    {
        if (item.sent)
        {
            this->owner->peers.done(*item.grant, core::send_outcome::cancelled,
                                    {});
        }
        else
        {
            this->owner->peers.withdraw(*item.grant);
            this->owner->peers.done(*item.grant, core::send_outcome::cancelled,
                                    {});
        }
        item.grant.reset();
    }
}

// Follows the decisions about the request until it is over.
asio::awaitable<void> gateway::state::session::run_flow()
{
    this->service = this->owner->splits.next(*this->route);
    this->flow.emplace(this->flow_terms());
    this->caller->on_gone = [weak = this->weak_from_this()]
    {
        const auto self = weak.lock();
        if (self && self->flow)
        {
            self->flow->on_caller_gone();
            self->changed.notify();
        }
    };
    if (this->caller->is_gone())
    {
        this->flow->on_caller_gone();
    }
    while (!this->flow->is_over())
    {
        const core::flow_action action = this->flow->next(now());
        if (const auto* place = std::get_if<core::action_place>(&action))
        {
            this->start_place(*place);
        }
        else if (const auto* sending = std::get_if<core::action_send>(&action))
        {
            this->start_send(*sending);
        }
        else if (const auto* ended = std::get_if<core::action_cancel>(&action))
        {
            this->cancel(ended->number);
        }
        else if (const auto* waiting = std::get_if<core::action_wait>(&action))
        {
            const core::time_point longest = now() + longest_request;
            co_await this->changed.wait_until(
                std::min(waiting->until, longest));
        }
        else if (const auto* answer = std::get_if<core::action_answer>(&action))
        {
            co_await this->deliver(answer->number);
        }
        else if (const auto* refusal =
                     std::get_if<core::action_refuse>(&action))
        {
            co_await this->refuse(refusal->code, refusal->outcome_unknown,
                                  refusal->retry_after);
        }
        else
        {
            ++this->owner->counts.callers_gone;
            this->summary.outcome = result_code::caller_gone;
        }
    }
    this->caller->on_gone = nullptr;
}

asio::awaitable<void> gateway::state::session::deliver(std::size_t number)
{
    const std::shared_ptr<send> chosen = this->attempts[number].sent;
    co_await chosen->deliver();
    ++this->owner->counts.answered;
}

asio::awaitable<void> gateway::state::session::refuse(
    result_code code, bool unknown, core::duration retry_after)
{
    this->summary.outcome = code;
    ++this->owner->counts.refusals[code];
    // Nothing may follow the beginning of another answer.
    if (this->caller->has_answer_begun())
    {
        co_return;
    }
    unsigned status = status_of(code);
    if (unknown && status != 504)
    {
        // Only a status that promises nothing may end what may have run.
        status = 502;
    }
    const std::string body = refusal_body(code);
    answer_head head = refusal_head(status, retry_after, body.size());
    const bool head_only = this->request.method == "HEAD";
    head.has_body = !head_only;
    co_await this->caller->write_head(
        head, head_only ? std::string_view() : std::string_view(body), true);
}

void gateway::state::session::write_log()
{
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(this->summary.elapsed);
    std::string servers;
    for (const attempt& item : this->attempts)
    {
        servers += servers.empty() ? "" : ",";
        servers += item.server.empty() ? "-" : item.server;
    }
    const bool served = this->summary.outcome == result_code::ok;
    log::write(
        log::level::info, "request_ended",
        {log::kv("id", this->request.id),
         log::kv("route", this->route ? this->route->name : ""),
         log::kv("account", this->account ? this->account->name : ""),
         log::kv("document", this->view ? this->view->document->version : 0),
         log::kv("service", this->route ? this->service : ""),
         log::kv("servers", servers),
         log::kv("status", this->caller->answered_status()),
         log::kv("outcome",
                 served ? "served" : core::name_of(this->summary.outcome)),
         log::kv("ms", elapsed.count())});
}

core::result<std::unique_ptr<gateway>>
gateway::create(asio::io_context& io,
                const gateway_settings& settings,
                fleet& peers,
                const core::server_registry& servers)
{
    error_code failure;
    const auto address =
        asio::ip::make_address(settings.callers.address, failure);
    if (failure)
    {
        return core::make_error_code(result_code::settings_invalid);
    }
    auto made = std::make_shared<state>(io, settings, peers, servers);
    made->local = tcp::endpoint(address, settings.callers.port);
    return std::unique_ptr<gateway>(new gateway(std::move(made)));
}

gateway::gateway(std::shared_ptr<state> initial) : self(std::move(initial)) {}

gateway::~gateway() = default;

std::error_code gateway::start()
{
    error_code failure;
    tcp::acceptor& acceptor = this->self->acceptor;
    acceptor.open(this->self->local.protocol(), failure);
    if (!failure)
    {
        acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        acceptor.bind(this->self->local, failure);
    }
    if (!failure)
    {
        acceptor.listen(asio::socket_base::max_listen_connections, failure);
    }
    if (failure)
    {
        return failure;
    }
    this->self->local = acceptor.local_endpoint(failure);
    asio::co_spawn(this->self->io, this->self->accept_callers(),
                   asio::detached);
    this->self->sweep();
    return {};
}

std::uint16_t gateway::port() const
{
    return this->self->local.port();
}

void gateway::apply_document(std::shared_ptr<const core::document> next)
{
    if (next->limits)
    {
        this->self->bounds.max_header_bytes = next->limits->max_header_bytes;
        this->self->bounds.header_timeout = next->limits->header_timeout;
        this->self->bounds.idle_timeout = next->limits->idle_timeout;
    }
    this->self->view = std::make_shared<document_view>(std::move(next));
}

std::optional<core::quota_terms>
gateway::terms_of(const std::string& account) const
{
    if (!this->self->view)
    {
        return std::nullopt;
    }
    const auto found = this->self->view->by_name.find(account);
    if (found == this->self->view->by_name.end())
    {
        return std::nullopt;
    }
    return core::quota_terms{found->second->rate_per_second,
                             found->second->burst, 1.0};
}

void gateway::drain()
{
    this->self->draining = true;
    for (state::session* open : this->self->sessions)
    {
        open->connection().drain();
    }
}

// Connections that the system has already accepted would be reset by closing
// the listener, so they are taken first.
void gateway::stop(std::function<void()> drained)
{
    state& own = *this->self;
    own.stopping = true;
    own.drained = std::move(drained);
    error_code failure;
    own.acceptor.cancel(failure);
    own.acceptor.non_blocking(true, failure);
    while (!failure)
    {
        tcp::socket socket(own.io);
        own.acceptor.accept(socket, failure);
        if (!failure)
        {
            own.open(std::move(socket));
        }
    }
    own.acceptor.close(failure);
    own.room.notify();
    own.check_drained();
}

void gateway::on_request_end(
    std::function<void(const request_summary&)> observe)
{
    this->self->observe = std::move(observe);
}

gateway_counters gateway::counters() const
{
    gateway_counters copy = this->self->counts;
    copy.servers = this->self->connections.counters();
    return copy;
}

std::size_t gateway::running() const
{
    return this->self->running;
}

} // namespace medlarbarrow::net
