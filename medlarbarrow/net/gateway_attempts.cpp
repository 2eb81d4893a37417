#include <boost/asio/co_spawn.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/gateway_state.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/timers.hpp>

/// The attempts to serve a request: place calls to owners, sends to servers,
/// and what servers state about themselves in their answers.
namespace medlarbarrow::net
{

namespace
{

using core::result_code;

/// Names of held servers in a place call take at most so many bytes, so that
/// the call fits a datagram.
constexpr std::size_t max_excluded_bytes = 400;

/// Added to the name of a route for the kind of work of its requests whose
/// bodies are still arriving: their durations depend on their callers.
constexpr std::string_view arriving_kind_suffix = " (body arriving)";

/// A caller that takes fewer bytes of an answer than these in so many checks
/// has stopped reading. Checks are counted, not the time: a pause of this
/// instance is no fault of the caller.
constexpr std::uint64_t min_read_progress_bytes = 16U << 10U;
constexpr std::chrono::milliseconds reading_check_period{100};
constexpr unsigned max_checks_without_progress = 5;

/// The owner hears of an answer that is passed on and read once in so many
/// checks.
constexpr unsigned checks_per_report = 10;

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

core::flow_terms gateway::state::session::make_flow_terms()
{
    core::flow_terms terms;
    terms.repeatable = this->route->repeatable;
    terms.body_replayable =
        this->caller->is_body_complete() && this->caller->is_replayable();
    terms.max_attempts = this->route->max_attempts;
    terms.objective_at = this->started_at + this->route->latency_objective;
    terms.deadline = this->deadline;
    return terms;
}

core::place_request
gateway::state::session::make_place_request(const core::action_place& action)
{
    const core::time_point current_time = now();
    const core::time_point objective =
        this->started_at + this->route->latency_objective;
    core::place_request request;
    request.data_centre = this->shared->settings.data_centre;
    request.body_arriving = !this->caller->is_body_complete();
    std::string kind = this->route->name;
    kind += request.body_arriving ? arriving_kind_suffix : "";
    request.work_kind = static_cast<std::uint32_t>(core::hash_text(kind));
    request.repeatable = this->route->repeatable;
    request.rank = this->route->rank;
    if (this->account != nullptr && this->account->rank)
    {
        request.rank = *this->account->rank;
    }
    request.repeat = action.repeat;
    request.time_to_objective =
        std::max(objective - current_time, core::duration(0));
    request.time_to_deadline =
        std::max(this->deadline - current_time, core::duration(0));
    request.excluded_servers = action.excluded_servers;
    for (std::string& name :
         this->shared->held_servers(this->service, request.time_to_objective))
    {
        request.excluded_servers.push_back(std::move(name));
    }
    request.content_digest = this->content_digest;
    return request;
}

void gateway::state::session::start_place(const core::action_place& action)
{
    this->attempts.resize(std::max(this->attempts.size(), action.number + 1));
    if (const auto wait = this->shared->time_until_wanted(this->service))
    {
        this->flow->on_placed(
            action.number,
            core::place_refused{result_code::no_healthy_server, *wait}, now());
        return;
    }
    this->shared->counts.second_sends += action.repeat ? 1 : 0;
    const std::uint64_t number_at_start = this->request_number;
    const auto answered = std::make_shared<bool>(false);
    const core::grant_id grant = this->shared->peers.place(
        this->service, this->make_place_request(action),
        [self = this->shared_from_this(), number_at_start, answered,
         number = action.number](const core::place_answer& answer)
        {
            *answered = true;
            if (self->request_number == number_at_start && self->flow)
            {
                if (const auto* placed = std::get_if<core::placed>(&answer))
                {
                    self->attempts[number].server = placed->server;
                    self->attempts[number].typical = placed->typical_duration;
                }
                self->flow->on_placed(number, answer, now());
                self->progress.notify();
            }
        });
    this->attempts[action.number].grant = grant;
}

// Whether this run of the server is announced here and accepts requests. The
// owner's list of servers may be newer or older than that of this instance.
bool gateway::state::accepts_requests(const core::leaving_run& run,
                                      const std::string& service) const
{
    const core::announced_server* announced = this->servers.find(run.server);
    return announced != nullptr && !announced->leaving &&
           announced->started == run.started && announced->service == service &&
           this->holds.remaining(run.server, run.started, now()) ==
               core::duration(0);
}

// Takes in what a run of a server states about itself in an answer, at once and
// whatever becomes of the request.
void gateway::state::record_answer_header(const core::leaving_run& run,
                                          const core::attempt_result& result)
{
    if (result.leaving)
    {
        this->peers.record_leaving(run, leaving_source::answer);
    }
    if (!result.retry_after)
    {
        return;
    }
    this->holds.hold(run.server, run.started, *result.retry_after, now());
    ++this->counts.turned_away;
    const std::chrono::duration<double> wait = *result.retry_after;
    log::write(log::level::info, "server_turned_away",
               {log::kv("server", run.server), log::kv("started", run.started),
                log::kv("seconds", fmt::format("{:.3f}", wait.count()))});
}

// If every usable server of the service has turned this instance away, returns
// the time until the first of them wants work again.
std::optional<core::duration>
gateway::state::time_until_wanted(const std::string& service)
{
    if (this->holds.drop_ended(now()))
    {
        return std::nullopt;
    }
    core::duration shortest = core::max_hold;
    const auto usable = this->peers.usable_servers(service);
    for (const core::announced_server* announced : usable)
    {
        shortest = std::min(shortest,
                            this->holds.remaining(announced->server.name,
                                                  announced->started, now()));
    }
    const bool all_held = !usable.empty() && shortest > core::duration(0);
    return all_held ? std::optional(shortest) : std::nullopt;
}

// Servers of the service that want nothing from this instance for longer than
// the given time. An owner that does not know it yet, such as a new one, must
// not choose them: after a few grants that are not sent, a request is refused.
// Those that are free sooner may still get the request if it has to wait.
std::vector<std::string>
gateway::state::held_servers(const std::string& service, core::duration time)
{
    std::vector<std::string> held;
    if (this->holds.drop_ended(now()))
    {
        return held;
    }
    std::size_t bytes = 0;
    for (const core::announced_server* announced :
         this->peers.usable_servers(service))
    {
        const std::string& name = announced->server.name;
        if (this->holds.remaining(name, announced->started, now()) > time &&
            bytes + name.size() <= max_excluded_bytes)
        {
            bytes += name.size();
            held.push_back(name);
        }
    }
    return held;
}

// Reports the end of the attempt's send with what is known of its server; an
// end without an outcome gives the grant back.
void gateway::state::session::report_end(attempt& current, core::send_end end)
{
    if (!current.grant)
    {
        return;
    }
    core::server_notice& notice = current.notice;
    notice.leaving = notice.leaving || this->shared->servers.is_marked_leaving(
                                           {notice.server, notice.started});
    notice.retry_after =
        this->shared->holds.remaining(notice.server, notice.started, now());
    end.grant = *current.grant;
    this->shared->peers.report_send_end(end, notice);
    current.grant.reset();
}

// Sends the request to the server if it may still be sent there.
void gateway::state::session::start_send(const core::action_send& action)
{
    attempt& current = this->attempts[action.number];
    if (!this->can_end(current))
    {
        this->shared->peers.report_send_end({*current.grant});
        current.grant.reset();
        this->flow->stop_sending(this->shutdown_refusal());
        this->flow->on_send_ended(action.number, core::send_result::not_sent,
                                  now());
        return;
    }
    const core::announced_server* announced =
        this->shared->servers.find(action.server);
    const core::leaving_run run{action.server,
                                announced == nullptr ? 0 : announced->started};
    current.notice.server = run.server;
    current.notice.started = run.started;
    if (!this->shared->accepts_requests(run, this->service))
    {
        // No fault of the server. The owner learns from the report whether the
        // server leaves or wants no work, or that it is not known here yet.
        if (announced == nullptr || announced->service != this->service)
        {
            this->shared->holds.hold(run.server, run.started,
                                     core::unknown_run_hold, now());
        }
        current.ending = "not_usable_here";
        current.ended_at = now();
        this->report_end(current, {});
        this->flow->on_send_ended(action.number, core::send_result::not_sent,
                                  now());
        return;
    }
    core::step_send step;
    step.service = this->service;
    step.server = announced->server;
    step.server_started = run.started;
    step.deadline = this->deadline;
    step.expected_server = action.server;
    current.active_send =
        std::make_shared<send>(this->caller, this->shared->buffered_answers,
                               this->make_send_callbacks(action.number, run));
    ++this->summary.attempts;
    asio::co_spawn(this->shared->io,
                   current.active_send->run(this->shared->connections, step,
                                            this->request, this->span),
                   [self = this->shared_from_this(), number = action.number,
                    number_at_start =
                        this->request_number](const std::exception_ptr& failure,
                                              core::attempt_result result)
                   {
                       if (failure)
                       {
                           result.end = core::attempt_end::closed_early;
                       }
                       if (self->request_number == number_at_start)
                       {
                           self->on_send_end(number, result);
                       }
                   });
}

send_callbacks
gateway::state::session::make_send_callbacks(std::size_t number,
                                             const core::leaving_run& run)
{
    // Weak pointers, because the session owns the send.
    const auto current_session =
        [weak = this->weak_from_this(), number_at_start = this->request_number]
    {
        const auto self = weak.lock();
        const bool is_current =
            self && self->request_number == number_at_start && self->flow;
        return is_current ? self : nullptr;
    };
    send_callbacks callbacks;
    callbacks.claim = [current_session, number]
    {
        const auto self = current_session();
        if (!self)
        {
            return false;
        }
        self->flow->on_answer_started(number);
        self->progress.notify();
        self->report_reading(number, false);
        self->watch_reading(number);
        return true;
    };
    // The wait for a connection may take so long that the send can no longer
    // end in a shutdown.
    callbacks.may_send = [shared = this->shared, run,
                          requested_service = this->service, current_session,
                          number]
    {
        const auto self = current_session();
        return self && self->can_end(self->attempts[number]) &&
               shared->accepts_requests(run, requested_service);
    };
    callbacks.on_answer_header = [shared = this->shared, current_session,
                                  number,
                                  run](const core::attempt_result& result)
    {
        shared->record_answer_header(run, result);
        if (const auto self = current_session())
        {
            self->on_answer_header(number, result);
        }
    };
    return callbacks;
}

// Keeps what the server stated for the report to the owner, which is made even
// if the send is cancelled before its answer is complete.
void gateway::state::session::on_answer_header(
    std::size_t number, const core::attempt_result& result)
{
    this->attempts[number].notice.leaving = result.leaving;
}

void gateway::state::session::on_send_end(std::size_t number,
                                          const core::attempt_result& result)
{
    attempt& current = this->attempts[number];
    const auto [end, outcome] = classify_send(result);
    current.ending = core::name_of(end);
    if (result.end == core::attempt_end::body_stalled)
    {
        this->body_stalled = true;
        current.ending = core::name_of(result_code::body_stalled);
    }
    current.ended_at = now();
    core::send_end report;
    report.outcome = outcome;
    report.latency = result.latency;
    report.connection_age = result.connection_age;
    this->report_end(current, report);
    if (this->flow)
    {
        if (result.withheld && !this->can_end(current))
        {
            this->flow->stop_sending(this->shutdown_refusal());
        }
        this->flow->on_send_ended(number, end, now());
        this->progress.notify();
    }
}

// Checks from now on whether the caller reads the answer, which is too long to
// be buffered: the server waits with it.
void gateway::state::session::watch_reading(std::size_t number)
{
    const auto check = [number](session& current)
    {
        current.check_reading(number);
    };
    run_after(this->reading_timer, reading_check_period,
              this->during_request(check));
}

void gateway::state::session::check_reading(std::size_t number)
{
    if (!this->attempts[number].grant)
    {
        return;
    }
    this->watch_reading(number);
    const std::uint64_t taken = this->caller->bytes_taken();
    ++this->checks_without_progress;
    if (!this->caller->is_writing() ||
        taken - this->bytes_at_progress >= min_read_progress_bytes)
    {
        this->bytes_at_progress = taken;
        this->checks_without_progress = 0;
    }
    const bool unread = this->is_answer_unread();
    if (unread || this->reported_unread ||
        ++this->checks_since_report >= checks_per_report)
    {
        this->report_reading(number, unread);
    }
}

bool gateway::state::session::is_answer_unread() const
{
    return this->caller->is_writing() &&
           this->checks_without_progress >= max_checks_without_progress &&
           this->caller->bytes_taken() - this->bytes_at_progress <
               min_read_progress_bytes;
}

// Tells the owner how the caller reads. Its reply may come late, when the
// caller reads again.
void gateway::state::session::report_reading(std::size_t number, bool unread)
{
    this->checks_since_report = 0;
    this->reported_unread = unread;
    const std::optional<core::grant_id> grant = this->attempts[number].grant;
    if (!grant)
    {
        return;
    }
    const auto end_if_unread = [number](session& current)
    {
        if (current.is_answer_unread())
        {
            current.end_unread_answer(number);
        }
    };
    this->shared->peers.report_stream(*grant, unread,
                                      this->during_request(end_if_unread));
}

// Ends the answer with a reset, so that the caller cannot take it for whole,
// and with it the send.
void gateway::state::session::end_unread_answer(std::size_t number)
{
    ++this->shared->counts.unread_answers_ended;
    log::write(log::level::warning, "unread_answer_ended",
               {log::kv("id", this->request.id),
                log::kv("service", this->service),
                log::kv("server", this->attempts[number].server)});
    this->caller->reset();
}

// Cancels an attempt: ends its send, or withdraws its place call.
void gateway::state::session::cancel(std::size_t number)
{
    attempt& current = this->attempts[number];
    if (current.active_send)
    {
        current.active_send->cancel();
        current.ending = "cancelled";
        current.ended_at = now();
    }
    if (current.grant && !current.active_send)
    {
        this->shared->peers.withdraw(*current.grant);
    }
    this->report_end(current, {});
}

} // namespace medlarbarrow::net
