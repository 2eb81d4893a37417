#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/gateway_state.hpp>
#include <medlarbarrow/net/log.hpp>
#include <nlohmann/json.hpp>

namespace medlarbarrow::net
{

namespace
{

using core::result_code;
using std::chrono::milliseconds;

/// Time after which a caller may retry while no configuration document is
/// present.
constexpr milliseconds not_ready_retry_after{100};

/// Upper limit of a request's duration, whatever its route says.
constexpr milliseconds max_request_duration{60000};

core::time_point now()
{
    return core::boot_clock::now();
}

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

void log_failure(const std::exception_ptr& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (const std::exception& thrown)
    {
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", thrown.what())});
    }
}

} // namespace

asio::awaitable<void>
gateway::state::session::run(std::shared_ptr<session> self)
{
    try
    {
        co_await self->serve_requests();
    }
    catch (const std::exception&)
    {
        self->caller->reset();
        log_failure(std::current_exception());
    }
    self->caller->on_disconnect = nullptr;
    self->shared->on_session_end(*self);
}

/// Counts the request in progress for as long as it exists.
class gateway::state::session::request_scope
{
public:
    explicit request_scope(session& current) : owner(current)
    {
        ++this->owner.shared->counts.requests;
        ++this->owner.shared->running_requests;
        this->owner.serving = true;
    }

    request_scope(const request_scope&) = delete;
    request_scope& operator=(const request_scope&) = delete;

    ~request_scope()
    {
        --this->owner.shared->running_requests;
        this->owner.serving = false;
    }

private:
    session& owner;
};

asio::awaitable<void> gateway::state::session::serve_requests()
{
    bool served = true;
    while (served && !this->caller->is_closing() && !this->caller->is_gone())
    {
        served = co_await this->serve_next();
    }
    co_await this->caller->close();
}

// Reads a request and serves it; false if none came. A request that an
// exception ends gives back what it holds, and its caller is told whether it
// may have run.
asio::awaitable<bool> gateway::state::session::serve_next()
{
    this->clear_request();
    std::optional<request_scope> scope;
    std::exception_ptr failure;
    bool may_have_run = false;
    try
    {
        const head_status status = co_await this->caller->read_head();
        this->started_at = now();
        if (status == head_status::closed)
        {
            co_return false;
        }
        scope.emplace(*this);
        co_await this->serve_head(status);
    }
    catch (const std::exception&)
    {
        failure = std::current_exception();
        may_have_run = this->release_attempts();
    }
    if (failure)
    {
        if (!scope && this->caller->idle_since())
        {
            std::rethrow_exception(failure);
        }
        if (!scope)
        {
            scope.emplace(*this);
        }
        co_await this->answer_failure(failure, may_have_run);
    }
    scope.reset();
    this->summary.elapsed = now() - this->started_at;
    this->log_request();
    if (this->shared->request_observer)
    {
        this->shared->request_observer(this->summary);
    }
    if (!this->caller->is_answer_complete())
    {
        this->caller->reset();
    }
    co_return true;
}

// Forgets the previous request and its late events.
void gateway::state::session::clear_request()
{
    this->started_at = now();
    this->request = {};
    this->summary = {};
    this->attempts.clear();
    this->flow.reset();
    this->route = nullptr;
    this->account = nullptr;
    this->body_stalled = false;
    this->checks_without_progress = 0;
    this->reported_unread = false;
    ++this->request_number;
}

// Serves the request if its header is whole, else refuses it.
asio::awaitable<void> gateway::state::session::serve_head(head_status status)
{
    if (status == head_status::complete)
    {
        co_await this->serve_request();
        co_return;
    }
    this->caller->close_after_answer();
    if (status == head_status::no_memory)
    {
        co_await this->refuse_for_memory();
        co_return;
    }
    result_code code = result_code::bad_request;
    if (status == head_status::too_large)
    {
        code = result_code::header_too_large;
    }
    if (status == head_status::timed_out)
    {
        code = result_code::caller_gone;
    }
    if (code == result_code::caller_gone && this->shared->sending_stopped)
    {
        co_await this->refuse_for_shutdown(true);
        co_return;
    }
    co_await this->refuse(code, false, {});
}

// Cancels the sends of the request and gives back its grants after an
// exception. Returns whether a server may have run the request. No destructor
// does this: one would also run when the event loop is destroyed, after the
// fleet.
bool gateway::state::session::release_attempts()
{
    const bool may_have_run = this->flow && this->flow->sends() > 0;
    this->flow.reset();
    this->caller->on_disconnect = nullptr;
    for (std::size_t number = 0; number < this->attempts.size(); ++number)
    {
        if (!this->attempts[number].grant)
        {
            continue;
        }
        try
        {
            this->cancel(number);
        }
        catch (const std::exception&)
        {
            // The others must still be given back.
            log_failure(std::current_exception());
        }
    }
    return may_have_run;
}

// Answers a request that an exception has ended, unless an answer has begun.
asio::awaitable<void>
gateway::state::session::answer_failure(std::exception_ptr failure,
                                        bool may_have_run)
{
    log_failure(failure);
    this->caller->close_after_answer();
    co_await this->refuse(result_code::instance_failed, may_have_run, {});
}

asio::awaitable<void> gateway::state::session::serve_request()
{
    const bool header_accepted = co_await this->check_header();
    if (!header_accepted)
    {
        co_return;
    }
    // A caller that waits for "100 Continue" need not send the body.
    if (this->request.expects_continue && this->comes_too_late())
    {
        co_await this->refuse_for_shutdown(false);
        co_return;
    }
    const bool body_accepted = co_await this->read_body();
    if (!body_accepted)
    {
        co_return;
    }
    if (this->comes_too_late())
    {
        co_await this->refuse_for_shutdown(false);
        co_return;
    }
    const bool admitted = co_await this->admit();
    if (!admitted)
    {
        co_return;
    }
    co_await this->run_flow();
}

// Checks the header and finds the route and the account; false if the request
// was refused.
asio::awaitable<bool> gateway::state::session::check_header()
{
    core::result<checked_request> checked =
        check_request(this->caller->header(), this->shared->settings.names);
    this->view = this->shared->view;
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
        co_await this->refuse(result_code::not_ready, false,
                              not_ready_retry_after);
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
        const std::string& name = this->shared->settings.names.account;
        if (!name.empty())
        {
            this->request.lines +=
                fmt::format("{}: {}\r\n", name, this->account->name);
        }
    }
    const milliseconds time_limit =
        facts.caller_deadline.value_or(max_request_duration);
    this->deadline =
        this->started_at + std::min(time_limit, this->route->deadline);
    co_return true;
}

// Reads the body up to replay_buffer_bytes and computes the digest of the
// request; false if the request was refused.
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
    const bool read = co_await this->caller->prefetch(replay_buffer_bytes);
    if (this->caller->is_memory_refused())
    {
        co_await this->refuse_for_memory();
        co_return false;
    }
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
        if (code == result_code::caller_gone && this->shared->sending_stopped)
        {
            co_await this->refuse_for_shutdown(true);
            co_return false;
        }
        co_await this->refuse(code, false, {});
        co_return false;
    }
    const std::uint64_t head_digest = core::hash_text(
        this->request.method + " " + this->request.target,
        core::hash_text(this->account ? this->account->name : std::string()));
    this->content_digest =
        core::hash_text(this->caller->buffered_body(), head_digest);
    co_return true;
}

// Asks the owner of the account to admit the request; false if it was refused.
asio::awaitable<bool> gateway::state::session::admit()
{
    if (this->account == nullptr || this->account->rate_per_second <= 0)
    {
        co_return true;
    }
    const auto answer = std::make_shared<std::optional<core::quota_answer>>();
    this->shared->peers.admit(this->account->name,
                              [self = this->shared_from_this(),
                               answer](const core::quota_answer& quota)
                              {
                                  *answer = quota;
                                  self->progress.notify();
                              });
    while (!*answer && now() < this->deadline && !this->shared->sending_stopped)
    {
        co_await this->progress.wait_until(this->deadline);
    }
    if (*answer && (*answer)->granted)
    {
        co_return true;
    }
    if (!*answer && this->shared->sending_stopped)
    {
        co_await this->refuse_for_shutdown(true);
        co_return false;
    }
    co_await this->refuse(result_code::rate_exceeded, false,
                          *answer ? (*answer)->retry_after : core::duration{});
    co_return false;
}

// Carries out the decisions of the request flow until the request is over.
asio::awaitable<void> gateway::state::session::run_flow()
{
    this->service = this->shared->splitter.choose_service(*this->route);
    const core::flow_terms terms = this->make_flow_terms();
    if (!terms.body_replayable)
    {
        this->caller->keep_no_copy();
    }
    this->flow.emplace(terms);
    if (this->shared->sending_stopped)
    {
        this->flow->stop_sending(this->shutdown_refusal());
    }
    this->caller->on_disconnect = [weak = this->weak_from_this()]
    {
        const auto self = weak.lock();
        if (self && self->flow)
        {
            self->flow->on_caller_gone();
            self->progress.notify();
        }
    };
    if (this->caller->is_gone())
    {
        this->flow->on_caller_gone();
    }
    while (!this->flow->is_over())
    {
        const core::flow_action action = this->flow->next(now());
        if (const auto* place_action = std::get_if<core::action_place>(&action))
        {
            this->start_place(*place_action);
        }
        else if (const auto* send_action =
                     std::get_if<core::action_send>(&action))
        {
            this->start_send(*send_action);
        }
        else if (const auto* cancel_action =
                     std::get_if<core::action_cancel>(&action))
        {
            this->cancel(cancel_action->number);
        }
        else if (const auto* wait_action =
                     std::get_if<core::action_wait>(&action))
        {
            const core::time_point wait_limit = now() + max_request_duration;
            co_await this->progress.wait_until(
                std::min(wait_action->until, wait_limit));
        }
        else if (const auto* answer = std::get_if<core::action_answer>(&action))
        {
            co_await this->deliver(answer->number);
        }
        else if (const auto* refusal =
                     std::get_if<core::action_refuse>(&action))
        {
            core::duration retry_after = refusal->retry_after;
            if (refusal->code == result_code::shutting_down)
            {
                this->count_shutdown_refusal(this->shared->sending_stopped);
            }
            else if (!refusal->outcome_unknown)
            {
                retry_after = this->shared->time_until_wanted(this->service)
                                  .value_or(retry_after);
            }
            const bool stalled = this->body_stalled && refusal->outcome_unknown;
            co_await this->refuse(stalled ? result_code::body_stalled
                                          : refusal->code,
                                  refusal->outcome_unknown, retry_after);
        }
        else
        {
            ++this->shared->counts.callers_gone;
            this->summary.outcome = result_code::caller_gone;
        }
    }
    this->caller->on_disconnect = nullptr;
}

// Passes the answer on. The outcome is what the caller got: an answer that was
// being streamed may have ended early.
asio::awaitable<void> gateway::state::session::deliver(std::size_t number)
{
    const std::shared_ptr<send> answered_send =
        this->attempts[number].active_send;
    const bool complete = co_await answered_send->deliver();
    ++this->shared->counts.answered;
    this->summary.outcome = result_code::ok;
    if (!complete)
    {
        this->summary.outcome = this->caller->is_gone()
                                    ? result_code::caller_gone
                                    : result_code::server_closed_early;
        if (this->body_stalled && !this->caller->is_gone())
        {
            this->summary.outcome = result_code::body_stalled;
        }
    }
}

asio::awaitable<void> gateway::state::session::refuse(
    result_code code, bool outcome_unknown, core::duration retry_after)
{
    this->summary.outcome = code;
    ++this->shared->counts.refusals[code];
    // After the start of another answer nothing more may be written.
    if (this->caller->has_answer_started())
    {
        co_return;
    }
    unsigned status = status_of(code);
    if (code == result_code::request_blocked && retry_after > core::duration(0))
    {
        // Not settled: the request may be proper.
        status = status_of(result_code::no_healthy_server);
    }
    if (outcome_unknown && status != 504)
    {
        // The request may have run, so the status must promise nothing about
        // that.
        status = 502;
    }
    const std::string body = refusal_body(code);
    answer_head head = refusal_head(status, retry_after, body.size());
    const bool head_only = this->request.method == "HEAD";
    head.has_body = !head_only;
    co_await this->caller->write_head(
        head, head_only ? std::string_view() : std::string_view(body), true);
}

core::action_refuse gateway::state::session::shutdown_refusal() const
{
    return {result_code::shutting_down, false,
            this->shared->plan->retry_after()};
}

// True if a request that is complete now could not be served before the end of
// the shutdown.
bool gateway::state::session::comes_too_late() const
{
    return this->shared->plan && !this->shared->plan->takes(now());
}

// False if the send would not end before the instance does.
bool gateway::state::session::can_end(const attempt& current) const
{
    return !this->shared->plan ||
           this->shared->plan->can_finish(
               {this->route->repeatable, current.typical, this->deadline},
               now());
}

asio::awaitable<void> gateway::state::session::refuse_for_shutdown(bool waited)
{
    this->count_shutdown_refusal(waited);
    this->caller->close_after_answer();
    const core::duration retry_after = this->shared->plan->retry_after();
    co_await this->refuse(result_code::shutting_down, false, retry_after);
}

// Refuses a request of which nothing has gone to a server, because all requests
// that are arriving hold too much memory.
asio::awaitable<void> gateway::state::session::refuse_for_memory()
{
    this->caller->close_after_answer();
    co_await this->refuse(result_code::request_memory_exhausted, false,
                          memory_retry_after);
}

// `waited`: at the end of the shutdown the request still waited for a server or
// had arrived only in part. Otherwise it came too late to be sent to a server.
void gateway::state::session::count_shutdown_refusal(bool waited)
{
    ++(waited ? this->shared->counts.stop_refused_waiting
              : this->shared->counts.stop_refused_late);
    log::write(log::level::info,
               waited ? "stop_refused_waiting" : "stop_refused_late",
               {log::kv("id", this->request.id)});
}

void gateway::state::session::stop_sending()
{
    this->caller->expire_reading();
    if (this->serving && this->flow)
    {
        this->flow->stop_sending(this->shutdown_refusal());
    }
    this->progress.notify();
}

void gateway::state::session::end_running()
{
    if (!this->serving || !this->flow || this->flow->is_over() ||
        this->caller->has_answer_started())
    {
        return;
    }
    this->count_cut("outcome_unknown");
    this->flow->shorten_deadline(now());
    this->progress.notify();
}

void gateway::state::session::log_if_cut()
{
    if (this->serving && !this->cut)
    {
        this->count_cut(this->caller->has_answer_started() ? "incomplete"
                                                           : "none");
    }
}

// `answer` is what the caller gets: none, incomplete or outcome_unknown.
void gateway::state::session::count_cut(std::string_view answer)
{
    this->cut = true;
    ++this->shared->counts.stop_cut;
    log::write(log::level::warning, "stop_cut",
               {log::kv("id", this->request.id),
                log::kv("route", this->route ? this->route->name : ""),
                log::kv("answer", answer),
                log::kv("sends", this->format_sends())});
}

// For each server tried, in order: its name, how the send ended and how many
// milliseconds after the start of the request.
std::string gateway::state::session::format_sends() const
{
    std::string text;
    for (const attempt& current : this->attempts)
    {
        if (current.ending.empty())
        {
            continue;
        }
        const auto ended_after = std::chrono::duration_cast<milliseconds>(
            current.ended_at - this->started_at);
        text +=
            fmt::format("{}{}:{}/{}", text.empty() ? "" : ",", current.server,
                        current.ending, ended_after.count());
    }
    return text;
}

void gateway::state::session::log_request()
{
    const auto elapsed =
        std::chrono::duration_cast<milliseconds>(this->summary.elapsed);
    const bool served = this->summary.outcome == result_code::ok;
    log::write(
        log::level::info, "request_ended",
        {log::kv("id", this->request.id),
         log::kv("route", this->route ? this->route->name : ""),
         log::kv("account", this->account ? this->account->name : ""),
         log::kv("document", this->view ? this->view->document->version : 0),
         log::kv("service", this->route ? this->service : ""),
         log::kv("sends", this->format_sends()),
         log::kv("status", this->caller->answer_status()),
         log::kv("outcome",
                 served ? "served" : core::name_of(this->summary.outcome)),
         log::kv("ms", elapsed.count())});
}

} // namespace medlarbarrow::net
