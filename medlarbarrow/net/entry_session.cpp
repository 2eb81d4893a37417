#include <boost/asio/co_spawn.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/entry_state.hpp>
#include <medlarbarrow/net/log.hpp>
#include <nlohmann/json.hpp>

namespace medlarbarrow::net
{

namespace
{

using core::result_code;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Number of leading body bytes in the digest that identifies requests which
/// crash servers. They are read before the first attempt, so that the digest
/// does not depend on how the body is split into packets.
constexpr std::size_t digested_body_bytes = 4096;

core::instant now()
{
    return {core::boot_clock::now(), std::chrono::time_point_cast<milliseconds>(
                                         std::chrono::system_clock::now())};
}

std::string_view reason_phrase(unsigned status)
{
    return http::obsolete_reason(http::int_to_status(status));
}

/// JSON body of a refusal.
std::string refusal_body(const core::step_refuse& refusal)
{
    const nlohmann::json body{
        {"code", static_cast<int>(refusal.code)},
        {"name", core::name_of(refusal.code)},
        {"outcome", refusal.outcome_unknown ? "unknown" : "not-run"},
        {"message", core::make_error_code(refusal.code).message()}};
    return body.dump();
}

answer_head refusal_head(const core::step_refuse& refusal,
                         unsigned status,
                         std::size_t body_bytes)
{
    answer_head head;
    head.status = status;
    head.reason = reason_phrase(status);
    head.lines = fmt::format("Medlar-Outcome: {}\r\nMedlar-Code: {}\r\n"
                             "Content-Type: application/json\r\n",
                             refusal.outcome_unknown ? "unknown" : "not-run",
                             static_cast<int>(refusal.code));
    if (refusal.retry_after > milliseconds(0))
    {
        // Retry-After is in whole seconds, so the wait is rounded up.
        head.lines += fmt::format(
            "Retry-After: {}\r\n",
            std::chrono::ceil<seconds>(refusal.retry_after).count());
    }
    if (status == 401)
    {
        head.lines += "WWW-Authenticate: Bearer\r\n";
    }
    head.length = body_bytes;
    return head;
}

} // namespace

asio::awaitable<void> entry::state::session::run(std::shared_ptr<session> self)
{
    try
    {
        co_await self->serve_requests();
    }
    catch (const std::exception& failure)
    {
        log::write(log::level::error, "session_failed",
                   {log::kv("reason", failure.what())});
        self->abandon();
        self->caller->reset();
    }
    self->shared->remove(*self);
}

asio::awaitable<void> entry::state::session::serve_requests()
{
    if (!co_await this->caller->handshake())
    {
        this->caller->reset();
        co_return;
    }
    while (!this->caller->is_closing() && !this->caller->is_gone())
    {
        const head_status status = co_await this->caller->read_head();
        if (status != head_status::complete)
        {
            co_await this->refuse_header(status);
            break;
        }
        ++this->shared->counts.requests;
        this->start_time = core::boot_clock::now();
        this->summary = {};
        co_await this->serve_request();
        this->summary.elapsed = core::boot_clock::now() - this->start_time;
        this->shared->counts.latency.add(this->summary.elapsed);
        this->write_log();
        this->summary.attempts = this->hop.attempts;
        if (this->shared->observe_end)
        {
            this->shared->observe_end(this->summary);
        }
        if (!this->caller->is_answer_complete())
        {
            this->shared->counts.answers_cut_off +=
                this->caller->has_answer_started() ? 1 : 0;
            this->caller->reset();
        }
    }
    this->closing = true;
    this->shared->check_drained();
    co_await this->caller->close();
}

asio::awaitable<void> entry::state::session::refuse_header(head_status status)
{
    if (status == head_status::closed)
    {
        co_return;
    }
    ++this->shared->counts.requests;
    this->request = {};
    this->may_have_run = false;
    this->caller->close_after_answer();
    if (status == head_status::timed_out && this->shared->sending_stopped)
    {
        co_await this->refuse_for_shutdown();
        co_return;
    }
    if (status == head_status::no_memory)
    {
        co_await this->refuse_for_memory();
        co_return;
    }
    core::step_refuse refusal;
    refusal.code = result_code::bad_request;
    if (status == head_status::too_large)
    {
        refusal.code = result_code::header_too_large;
    }
    if (status == head_status::timed_out)
    {
        refusal.code = result_code::caller_gone;
    }
    co_await this->refuse(refusal);
}

// Checks and serves the request whose header read_head() has parsed.
asio::awaitable<void> entry::state::session::serve_request()
{
    this->hop = {};
    this->previous_result.reset();
    this->may_have_run = false;
    this->account.clear();
    this->route.clear();
    this->server.clear();
    core::result<checked_request> checked =
        check_request(this->caller->header());
    if (!checked)
    {
        this->request = {};
        this->span = trace::make_span(std::nullopt);
        this->caller->close_after_answer();
        co_await this->refuse({result_code::bad_request, false, {}});
        co_return;
    }
    this->request = std::move(*checked);
    this->span = trace::make_span(this->request.parent);
    if (this->request.close)
    {
        this->caller->close_after_answer();
    }
    if (co_await this->register_request())
    {
        co_await this->run_steps();
    }
}

// Reads the first part of the body and registers the request with the node.
// False when the request was refused.
asio::awaitable<bool> entry::state::session::register_request()
{
    if (this->request.expects_continue && this->request.has_body())
    {
        co_await this->caller->write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    if (!co_await this->caller->prefetch(digested_body_bytes))
    {
        if (this->caller->is_memory_refused())
        {
            co_await this->refuse_for_memory();
            co_return false;
        }
        if (this->shared->sending_stopped && !this->caller->is_body_malformed())
        {
            co_await this->refuse_for_shutdown();
            co_return false;
        }
        co_await this->refuse_body();
        co_return false;
    }
    if (this->shared->plan &&
        !this->shared->plan->takes(core::boot_clock::now()))
    {
        co_await this->refuse_for_shutdown();
        co_return false;
    }
    const std::string_view body =
        this->caller->buffered_body().substr(0, digested_body_bytes);
    this->request.facts.content_digest =
        core::hash_text(body, core::hash_text(this->request.method + " " +
                                              this->request.target));
    this->request.facts.body_arriving = !this->caller->is_body_complete();
    this->id = this->shared->node.begin_request(this->request.facts, now());
    this->account = this->shared->node.account_of(*this->id);
    this->route = this->shared->node.route_of(*this->id);
    const std::uint64_t limit = this->shared->body_limit_of(this->route);
    this->caller->limit_body(limit);
    if (this->request.content_length.value_or(0) > limit ||
        this->caller->is_body_too_large())
    {
        this->abandon();
        co_await this->refuse({result_code::body_too_large, false, {}});
        co_return false;
    }
    co_return true;
}

// Executes the steps that the node decides until the request has ended.
asio::awaitable<void> entry::state::session::run_steps()
{
    progress state = progress::next_step;
    while (state == progress::next_step)
    {
        core::outbox out;
        const core::step step =
            this->shared->node.next_step(*this->id, now(), out);
        this->shared->flush(out);
        state = co_await this->execute(step);
    }
    this->id.reset();
}

asio::awaitable<entry::state::session::progress>
entry::state::session::execute(const core::step& step)
{
    if (const auto* waiting = std::get_if<core::step_wait>(&step))
    {
        const progress state = co_await this->wait(waiting->until);
        co_return state;
    }
    if (const auto* sending = std::get_if<core::step_send>(&step))
    {
        const progress state = co_await this->attempt(*sending);
        co_return state;
    }
    if (const auto* refusal = std::get_if<core::step_refuse>(&step))
    {
        co_await this->refuse(*refusal);
    }
    if (const auto* stored = std::get_if<core::step_replay>(&step))
    {
        co_await this->replay(stored->answer);
    }
    co_return progress::ended;
}

// Waits until the node may have a next step. The request ends if the caller
// disconnects meanwhile, or if nothing is sent to servers any more.
asio::awaitable<entry::state::session::progress>
entry::state::session::wait(core::time_point until)
{
    if (this->shared->sending_stopped)
    {
        const progress state = co_await this->give_up_for_shutdown();
        co_return state;
    }
    // Wait at least 1 ms: a deadline in the past would make the loop busy.
    const core::time_point earliest = core::boot_clock::now() + milliseconds(1);
    this->shared->waiting_sessions.insert(this);
    co_await this->caller->wait_until(std::max(until, earliest));
    this->shared->waiting_sessions.erase(this);
    if (!this->caller->is_gone())
    {
        co_return progress::next_step;
    }
    ++this->shared->counts.callers_gone;
    this->abandon();
    co_return progress::ended;
}

void entry::state::session::finish_attempt(const core::attempt_result& result)
{
    core::outbox out;
    this->shared->node.attempt_finished(*this->id, result, now(), out);
    this->shared->flush(out);
}

// Sends the request to the server and tells the node how that ended.
asio::awaitable<core::attempt_result>
entry::state::session::run_attempt(const core::step_send& step)
{
    using core::attempt_end;
    ++this->hop.attempts;
    this->server = step.server.name;
    const core::time_point sent = core::boot_clock::now();
    this->channel = std::make_shared<attempt_channel>(this->caller);
    this->caller->on_disconnect =
        [weak = std::weak_ptr<attempt_channel>(this->channel)]
    {
        const auto current = weak.lock();
        if (current && current->on_disconnect)
        {
            current->on_disconnect();
        }
    };
    const core::attempt_result result = co_await this->shared->servers.attempt(
        step, this->request, this->span, *this->channel);
    this->caller->on_disconnect = nullptr;
    this->channel.reset();
    this->summary.attempt_time += core::boot_clock::now() - sent;
    this->previous_result = result;
    this->may_have_run |= result.end != attempt_end::not_sent &&
                          result.end != attempt_end::refused_not_run;
    this->finish_attempt(result);
    co_return result;
}

asio::awaitable<entry::state::session::progress>
entry::state::session::attempt(const core::step_send& step)
{
    using core::attempt_end;
    if (!this->caller->is_replayable() && this->previous_result)
    {
        // The buffer no longer holds the complete body, so no further attempt
        // is possible. The node is told that the request has ended.
        core::attempt_result abandoned;
        abandoned.end = attempt_end::caller_gone;
        this->finish_attempt(abandoned);
        const result_code code = this->may_have_run
                                     ? result_code::server_closed_early
                                     : result_code::server_shed;
        co_await this->refuse({code, this->may_have_run, {}});
        co_return progress::ended;
    }
    this->caller->pin_copy();
    const core::attempt_result result = co_await this->run_attempt(step);
    if (this->cut)
    {
        while (!this->cut_answered)
        {
            co_await this->cut_changed.wait();
        }
        this->abandon();
        co_return progress::ended;
    }
    if (result.withheld)
    {
        const progress state = co_await this->give_up_for_shutdown();
        co_return state;
    }
    if (this->caller->is_answer_complete())
    {
        ++this->shared->counts.answered;
    }
    if (result.end == attempt_end::caller_gone)
    {
        if (this->caller->is_gone())
        {
            ++this->shared->counts.callers_gone;
        }
        else
        {
            co_await this->refuse_body();
        }
    }
    co_return progress::next_step;
}

// Refuses a request whose body is malformed, too large or arrived too slowly.
asio::awaitable<void> entry::state::session::refuse_body()
{
    core::step_refuse refusal;
    refusal.code = result_code::caller_gone;
    if (this->caller->is_body_too_large())
    {
        refusal.code = result_code::body_too_large;
    }
    if (this->caller->is_body_malformed())
    {
        refusal.code = result_code::bad_request;
    }
    refusal.outcome_unknown = this->previous_result.has_value();
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

// Refuses a request that could not be served before the end of the shutdown.
// An order is not said to have "not run", because an earlier request with its
// key may have: only the owner of its record knows.
asio::awaitable<void> entry::state::session::refuse_for_shutdown()
{
    core::step_refuse refusal;
    refusal.code = result_code::shutting_down;
    refusal.outcome_unknown =
        this->may_have_run || !this->request.facts.idempotency_key.empty();
    refusal.retry_after = std::chrono::duration_cast<milliseconds>(
        this->shared->plan->retry_after());
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

// Refuses a request of which nothing has gone to a server, because all requests
// that are arriving hold too much memory. As above for an order.
asio::awaitable<void> entry::state::session::refuse_for_memory()
{
    core::step_refuse refusal;
    refusal.code = result_code::request_memory_exhausted;
    refusal.outcome_unknown = !this->request.facts.idempotency_key.empty();
    refusal.retry_after = memory_retry_after;
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

// Ends a request for which no server was found before the end of the shutdown.
asio::awaitable<entry::state::session::progress>
entry::state::session::give_up_for_shutdown()
{
    this->abandon();
    co_await this->refuse_for_shutdown();
    co_return progress::ended;
}

// The attempt may go on: an order that its server has completely is recorded
// if it is answered before the exit.
void entry::state::session::end_running()
{
    if (!this->channel || this->caller->has_answer_started())
    {
        return;
    }
    log::write(log::level::warning, "stop_cut",
               {log::kv("route", this->route), log::kv("server", this->server),
                log::kv("answer", "outcome_unknown")});
    this->cut = true;
    this->channel->detach();
    asio::co_spawn(this->shared->io, this->answer_outcome_unknown(),
                   [self = this->shared_from_this()](const std::exception_ptr&)
                   {
                       self->cut_answered = true;
                       self->cut_changed.notify();
                       self->shared->check_drained();
                   });
}

// Tells the caller that its request may have run.
asio::awaitable<void> entry::state::session::answer_outcome_unknown()
{
    const core::step_refuse refusal{result_code::server_timeout, true, {}};
    this->caller->close_after_answer();
    co_await this->refuse(refusal);
}

asio::awaitable<void>
entry::state::session::refuse(const core::step_refuse& refusal)
{
    // A refusal cannot be written after the start of another answer.
    if (this->caller->has_answer_started())
    {
        co_return;
    }
    this->summary.outcome = refusal.code;
    ++this->shared->counts.refusals[refusal.code];
    ++(refusal.outcome_unknown ? this->shared->counts.refused_outcome_unknown
                               : this->shared->counts.refused_not_run);
    const std::string body = refusal_body(refusal);
    answer_head head =
        refusal_head(refusal, status_of(refusal.code), body.size());
    const bool head_only = this->request.method == "HEAD";
    head.has_body = !head_only;
    co_await this->caller->write_head(
        head, head_only ? std::string_view() : std::string_view(body), true);
}

// Writes the stored first answer of an order.
asio::awaitable<void>
entry::state::session::replay(const core::stored_answer& answer)
{
    ++this->shared->counts.replayed;
    answer_head head;
    head.status = answer.status;
    head.reason = reason_phrase(answer.status);
    if (!answer.content_type.empty())
    {
        head.lines = "Content-Type: " + answer.content_type + "\r\n";
    }
    head.has_body = answer.status != 204 && answer.status != 304;
    if (head.has_body)
    {
        head.length = answer.body.size();
    }
    // Must be a named variable: g++ 12 destroys a string twice if a
    // conditional expression copies it inside co_await.
    const std::string_view body =
        head.has_body ? std::string_view(answer.body) : std::string_view();
    co_await this->caller->write_head(head, body, true);
}

// Tells the node that the request was abandoned, if the node still tracks it.
void entry::state::session::abandon()
{
    if (!this->id)
    {
        return;
    }
    core::outbox out;
    this->shared->node.abandon(*this->id, now(), out);
    this->shared->flush(out);
    this->id.reset();
}

// Writes the trace span of the request to the log.
void entry::state::session::write_log()
{
    this->hop.account = this->account;
    this->hop.route = this->route;
    this->hop.server = this->server;
    this->hop.status = this->caller->answer_status();
    this->hop.took = core::boot_clock::now() - this->start_time;
    trace::write_span(this->span, this->request.parent, this->hop);
}

} // namespace medlarbarrow::net
