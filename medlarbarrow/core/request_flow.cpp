#include <algorithm>
#include <medlarbarrow/core/request_flow.hpp>

namespace medlarbarrow::core
{

namespace
{

/// A request is refused after this many sends that did not run: each costs
/// time, and the fault then affects more than one server.
constexpr std::uint32_t max_sends_not_run = 4;

/// A hedged request starts no sooner than this percentage of the typical
/// duration after the first server was granted.
constexpr int hedge_delay_percent = 130;

} // namespace

const char* name_of(send_result end) noexcept
{
    switch (end)
    {
    case send_result::answered:
        return "answered";
    case send_result::failed:
        return "failed";
    case send_result::not_run:
        return "not_run";
    case send_result::not_sent:
        return "not_sent";
    case send_result::lost:
        break;
    }
    return "lost";
}

request_flow::request_flow(const flow_terms& request_terms)
    : terms(request_terms)
{
    this->attempts.emplace_back();
}

std::uint32_t request_flow::sends() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(
        this->attempts.begin(), this->attempts.end(),
        [](const attempt& current)
        {
            const bool did_not_run = current.result == send_result::not_run ||
                                     current.result == send_result::not_sent;
            return current.state == attempt_state::sending ||
                   (current.state == attempt_state::ended && current.result &&
                    !did_not_run);
        }));
}

bool request_flow::may_send_again(time_point now) const
{
    const std::uint32_t sends = this->sends();
    return (sends == 0 || this->terms.repeatable) &&
           sends < this->terms.max_attempts && !this->placement_refused &&
           !this->streaming && this->terms.body_replayable &&
           this->sends_not_run < max_sends_not_run &&
           now + this->typical / 2 < this->terms.deadline;
}

std::optional<attempt_number>
request_flow::find_in_state(attempt_state state) const
{
    for (attempt_number index = 0; index < this->attempts.size(); ++index)
    {
        if (this->attempts[index].state == state)
        {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<attempt_number>
request_flow::find_with_result(send_result result) const
{
    for (attempt_number index = 0; index < this->attempts.size(); ++index)
    {
        if (this->attempts[index].result == result &&
            !this->attempts[index].cancelled)
        {
            return index;
        }
    }
    return std::nullopt;
}

bool request_flow::has_open_attempt() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [](const attempt& current)
                       {
                           return current.state != attempt_state::ended;
                       });
}

// Adds an attempt without a server. It counts as a repeat if a server has
// received the request, even if that server says it did not run it; a failed
// connection does not count.
void request_flow::add_attempt()
{
    attempt added;
    added.repeat =
        this->sends() > 0 ||
        std::any_of(this->attempts.begin(), this->attempts.end(),
                    [](const attempt& current)
                    {
                        return current.result == send_result::not_run;
                    });
    this->attempts.push_back(std::move(added));
}

// Ends the open attempts, except the one whose answer is streamed to the
// caller. Returns at the first whose placement or send must be cancelled, so
// that each call cancels one; returns nullopt when none is left.
std::optional<flow_action> request_flow::cancel_other_attempts()
{
    for (attempt_number index = 0; index < this->attempts.size(); ++index)
    {
        attempt& current = this->attempts[index];
        if (current.state == attempt_state::ended || this->streaming == index)
        {
            continue;
        }
        const attempt_state previous = current.state;
        current.cancelled = true;
        current.result = previous == attempt_state::sending
                             ? send_result::lost
                             : send_result::not_sent;
        current.state = attempt_state::ended;
        if (previous != attempt_state::unplaced)
        {
            return action_cancel{index};
        }
    }
    return std::nullopt;
}

// Ends the attempts that no server has got, one per call, like
// cancel_other_attempts().
std::optional<flow_action> request_flow::cancel_unsent_attempts()
{
    for (attempt_number index = 0; index < this->attempts.size(); ++index)
    {
        attempt& current = this->attempts[index];
        if (current.state == attempt_state::ended ||
            current.state == attempt_state::sending)
        {
            continue;
        }
        const bool has_placement = current.state != attempt_state::unplaced;
        current.cancelled = true;
        current.result = send_result::not_sent;
        current.state = attempt_state::ended;
        if (has_placement)
        {
            return action_cancel{index};
        }
    }
    return std::nullopt;
}

// Cancels the other attempts, one per call, before the request ends with the
// final action.
flow_action request_flow::finish(flow_action final_action)
{
    if (const auto cancel = this->cancel_other_attempts())
    {
        return *cancel;
    }
    this->over = true;
    return final_action;
}

// While an answer is streamed to the caller, no other attempt may run.
flow_action request_flow::next_while_streaming()
{
    if (this->attempts[*this->streaming].state == attempt_state::ended)
    {
        return this->finish(action_answer{*this->streaming});
    }
    if (const auto cancel = this->cancel_other_attempts())
    {
        return *cancel;
    }
    return action_wait{time_point::max()};
}

// Adds a hedged request for repeatable work when the first server takes
// suspiciously long, early enough for the second answer to meet the objective.
void request_flow::hedge_if_due(time_point now)
{
    const auto first = this->find_in_state(attempt_state::sending);
    const bool only_send =
        first && !this->find_in_state(attempt_state::unplaced) &&
        !this->find_in_state(attempt_state::placing) &&
        !this->find_in_state(attempt_state::placed) && this->sends() == 1;
    if (only_send && this->terms.repeatable &&
        now >= this->attempts[*first].hedge_at && this->may_send_again(now))
    {
        this->add_attempt();
    }
}

// Returns the time at which a hedged request becomes due, or else the deadline.
// A time in the past would make the caller of next() spin.
time_point request_flow::wake_up_time(time_point now) const
{
    const auto first = this->find_in_state(attempt_state::sending);
    if (first && this->terms.repeatable && !this->placement_refused &&
        this->sends() == 1 && !this->find_in_state(attempt_state::placing))
    {
        const time_point hedge_at = this->attempts[*first].hedge_at;
        if (hedge_at > now)
        {
            return std::min(this->terms.deadline, hedge_at);
        }
    }
    return this->terms.deadline;
}

// Asks for a server or starts a send, if an attempt is ready for it.
std::optional<flow_action> request_flow::next_step(time_point now)
{
    this->hedge_if_due(now);
    if (const auto unplaced = this->find_in_state(attempt_state::unplaced))
    {
        attempt& current = this->attempts[*unplaced];
        current.state = attempt_state::placing;
        return action_place{*unplaced, current.repeat, this->excluded};
    }
    if (const auto ready = this->find_in_state(attempt_state::placed))
    {
        attempt& current = this->attempts[*ready];
        current.state = attempt_state::sending;
        return action_send{*ready, current.server};
    }
    return std::nullopt;
}

// Returns the final action when no attempt is left: the server's own error, or
// else a refusal that says whether the request may have run.
flow_action request_flow::outcome_of_attempts()
{
    if (const auto failed = this->find_with_result(send_result::failed))
    {
        return action_answer{*failed};
    }
    if (this->sends() > 0)
    {
        return action_refuse{result_code::server_closed_early, true, {}};
    }
    return this->refusal.value_or(
        action_refuse{result_code::server_shed, false, {}});
}

flow_action request_flow::next(time_point now)
{
    if (this->caller_gone)
    {
        return this->finish(action_abandon{});
    }
    if (this->streaming)
    {
        return this->next_while_streaming();
    }
    if (const auto answered = this->find_with_result(send_result::answered))
    {
        return this->finish(action_answer{*answered});
    }
    if (now >= this->terms.deadline)
    {
        if (this->find_with_result(send_result::failed))
        {
            return this->finish(this->outcome_of_attempts());
        }
        const bool may_have_run = this->sends() > 0;
        return this->finish(
            action_refuse{may_have_run ? result_code::server_timeout
                                       : result_code::deadline_unreachable,
                          may_have_run,
                          {}});
    }
    if (this->sending_stopped)
    {
        if (const auto cancel = this->cancel_unsent_attempts())
        {
            return *cancel;
        }
    }
    if (const auto step = this->next_step(now))
    {
        return *step;
    }
    if (!this->has_open_attempt())
    {
        return this->finish(this->outcome_of_attempts());
    }
    return action_wait{this->wake_up_time(now)};
}

void request_flow::on_placed(attempt_number number,
                             const place_answer& answer,
                             time_point now)
{
    attempt& current = this->attempts.at(number);
    if (current.state != attempt_state::placing)
    {
        return;
    }
    if (const auto* grant = std::get_if<placed>(&answer))
    {
        current.state = attempt_state::placed;
        current.server = grant->server;
        current.typical = grant->typical_duration;
        this->typical = grant->typical_duration;
        const time_point overdue_at = now + grant->overdue_after;
        const time_point latest_useful =
            this->terms.objective_at -
            grant->typical_duration * hedge_delay_percent / 100;
        const time_point earliest =
            now + grant->typical_duration * hedge_delay_percent / 100;
        current.hedge_at =
            std::max(std::min(overdue_at, latest_useful), earliest);
        return;
    }
    if (const auto* refused = std::get_if<place_refused>(&answer))
    {
        current.state = attempt_state::ended;
        this->placement_refused = true;
        this->refusal = {refused->code, false, refused->retry_after};
    }
}

void request_flow::on_send_ended(attempt_number number,
                                 send_result end,
                                 time_point now)
{
    attempt& current = this->attempts.at(number);
    if (current.state != attempt_state::sending)
    {
        return;
    }
    current.state = attempt_state::ended;
    current.result = end;
    this->excluded.push_back(current.server);
    if (this->streaming == number)
    {
        return;
    }
    if (end == send_result::not_run || end == send_result::not_sent)
    {
        ++this->sends_not_run;
    }
    const bool needs_attempt =
        end != send_result::answered && !this->has_open_attempt();
    if (needs_attempt && this->may_send_again(now))
    {
        this->add_attempt();
    }
}

void request_flow::on_answer_started(attempt_number number)
{
    if (!this->streaming)
    {
        this->streaming = number;
    }
}

void request_flow::stop_sending(const action_refuse& reason)
{
    this->sending_stopped = true;
    this->placement_refused = true;
    this->refusal = reason;
}

void request_flow::shorten_deadline(time_point deadline)
{
    this->terms.deadline = std::min(this->terms.deadline, deadline);
}

void request_flow::on_caller_gone()
{
    this->caller_gone = true;
}

} // namespace medlarbarrow::core
