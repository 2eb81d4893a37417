#include <boost/asio/co_spawn.hpp>
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

/// When a caller may come again while no configuration is known.
constexpr milliseconds not_ready_pause{100};

/// A request is over by then whatever its route says.
constexpr milliseconds longest_request{60000};

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

} // namespace

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
        co_await this->refuse(result_code::not_ready, false, not_ready_pause);
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

// Asks the owner of the account; false when refused.
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
    terms.body_replayable =
        this->caller->is_body_whole() && this->caller->is_replayable();
    terms.max_attempts = this->route->max_attempts;
    terms.objective_at = this->began + this->route->latency_objective;
    terms.deadline = this->ends;
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
    asked.work_kind =
        static_cast<std::uint32_t>(core::hash_text(this->route->name));
    asked.repeatable = this->route->repeatable;
    asked.rank = this->route->rank;
    if (this->account != nullptr && this->account->rank)
    {
        asked.rank = *this->account->rank;
    }
    asked.repeat = action.repeat;
    asked.time_to_objective = std::max(objective - at, core::duration(0));
    asked.time_to_deadline = std::max(this->ends - at, core::duration(0));
    asked.excluded_servers = action.excluded_servers;
    asked.content_digest = this->content;
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

// Sends to the server, if it is known here and takes work; the owner may know
// more or less than this instance.
void gateway::state::session::start_send(const core::action_send& action)
{
    attempt& item = this->attempts[action.number];
    const core::announced_server* known =
        this->owner->servers.find(action.server);
    if (known == nullptr || known->leaving || known->service != this->service)
    {
        item.ended = "not_usable_here";
        item.ended_at = now();
        this->owner->peers.done(*item.grant, core::send_outcome::unreachable,
                                {});
        item.grant.reset();
        this->flow->on_send_ended(action.number, core::send_result::not_sent,
                                  now());
        return;
    }
    core::step_send step;
    step.service = this->service;
    step.server = known->server;
    step.deadline = this->ends;
    step.expected_server = action.server;
    item.sent = std::make_shared<send>(
        this->caller,
        // Not an owner: the session owns the send.
        [weak = this->weak_from_this(), number = action.number,
         mine = this->serial]
        {
            const auto self = weak.lock();
            if (!self || self->serial != mine || !self->flow)
            {
                return false;
            }
            self->flow->on_answer_started(number);
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
    item.ended = core::name_of(end);
    item.ended_at = now();
    if (item.grant)
    {
        this->owner->peers.done(*item.grant, outcome, result.latency);
        item.grant.reset();
    }
    this->summary.outcome = result_code::ok;
    if (this->flow)
    {
        this->flow->on_send_ended(number, end, now());
        this->changed.notify();
    }
}

void gateway::state::session::cancel(std::size_t number)
{
    attempt& item = this->attempts[number];
    if (item.sent)
    {
        item.sent->cancel();
        item.ended = "cancelled";
        item.ended_at = now();
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
    this->service = this->owner->splits.choose_service(*this->route);
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

// For each server asked, in order: its name, how the send ended and when.
std::string gateway::state::session::sends_text() const
{
    std::string text;
    for (const attempt& item : this->attempts)
    {
        if (item.ended.empty())
        {
            continue;
        }
        const auto at = std::chrono::duration_cast<milliseconds>(item.ended_at -
                                                                 this->began);
        text += fmt::format("{}{}:{}/{}", text.empty() ? "" : ",", item.server,
                            item.ended, at.count());
    }
    return text;
}

void gateway::state::session::write_log()
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
         log::kv("sends", this->sends_text()),
         log::kv("status", this->caller->answered_status()),
         log::kv("outcome",
                 served ? "served" : core::name_of(this->summary.outcome)),
         log::kv("ms", elapsed.count())});
}

} // namespace medlarbarrow::net
