#include <algorithm>
#include <medlarbarrow/core/request_flow.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Sends that servers did not take, beyond which a request is refused: each
/// costs time, and the fault is then wider than one server.
constexpr std::uint32_t untaken_limit = 4;

/// A second send starts no sooner than this multiple of the typical time.
constexpr int patience_percent = 130;

} // namespace

const char* name_of(send_end end) noexcept
{
    switch (end)
    {
    case send_end::answered:
        return "answered";
    case send_end::failed:
        return "failed";
    case send_end::not_run:
        return "not_run";
    case send_end::not_sent:
        return "not_sent";
    case send_end::lost:
        break;
    }
    return "lost";
}

request_flow::request_flow(const flow_terms& chosen) : terms(chosen)
{
    this->attempts.emplace_back();
}

std::uint32_t request_flow::sends() const noexcept
{
    return static_cast<std::uint32_t>(std::count_if(
        this->attempts.begin(), this->attempts.end(),
        [](const attempt& item)
        {
            const bool harmless =
                item.end == send_end::not_run || item.end == send_end::not_sent;
            return item.at == phase::sending ||
                   (item.at == phase::ended && item.end && !harmless);
        }));
}

bool request_flow::may_send_again(time_point now) const
{
    const std::uint32_t run = this->sends();
    return (run == 0 || this->terms.repeatable) &&
           run < this->terms.max_attempts && !this->no_more && !this->passing &&
           this->terms.body_kept && this->untaken < untaken_limit &&
           now + this->typical / 2 < this->terms.ends;
}

std::optional<try_number> request_flow::find(phase at) const
{
    for (try_number index = 0; index < this->attempts.size(); ++index)
    {
        if (this->attempts[index].at == at)
        {
            return index;
        }
    }
    return std::nullopt;
}

std::optional<try_number> request_flow::answer_of(send_end end) const
{
    for (try_number index = 0; index < this->attempts.size(); ++index)
    {
        if (this->attempts[index].end == end &&
            !this->attempts[index].cancelled)
        {
            return index;
        }
    }
    return std::nullopt;
}

bool request_flow::is_busy() const
{
    return std::any_of(this->attempts.begin(), this->attempts.end(),
                       [](const attempt& item)
                       {
                           return item.at != phase::ended;
                       });
}

void request_flow::want_another()
{
    attempt next;
    next.repeat = this->sends() > 0 ||
                  std::any_of(this->attempts.begin(), this->attempts.end(),
                              [](const attempt& item)
                              {
                                  return item.end == send_end::not_run;
                              });
    this->attempts.push_back(std::move(next));
}

// Ends the tries that still run, one action at a time, but the one whose
// answer goes to the caller.
std::optional<flow_action> request_flow::cancel_others()
{
    for (try_number index = 0; index < this->attempts.size(); ++index)
    {
        attempt& item = this->attempts[index];
        if (item.at == phase::ended || this->passing == index)
        {
            continue;
        }
        const phase was = item.at;
        item.cancelled = true;
        item.end = was == phase::sending ? send_end::lost : send_end::not_sent;
        item.at = phase::ended;
        if (was != phase::wanted)
        {
            return action_cancel{index};
        }
    }
    return std::nullopt;
}

flow_action request_flow::finish(flow_action last)
{
    if (const auto cancel = this->cancel_others())
    {
        return *cancel;
    }
    this->over = true;
    return last;
}

// While an answer passes to the caller as it arrives, nothing else may run.
flow_action request_flow::next_while_passing()
{
    if (this->attempts[*this->passing].at == phase::ended)
    {
        return this->finish(action_answer{*this->passing});
    }
    if (const auto cancel = this->cancel_others())
    {
        return *cancel;
    }
    return action_wait{time_point::max()};
}

// Repeatable work is sent a second time when the first server takes
// suspiciously long, early enough for the second answer to meet the objective.
void request_flow::consider_second_send(time_point now)
{
    const auto running = this->find(phase::sending);
    const bool alone = running && !this->find(phase::wanted) &&
                       !this->find(phase::placing) &&
                       !this->find(phase::placed) && this->sends() == 1;
    if (alone && this->terms.repeatable &&
        now >= this->attempts[*running].again_at && this->may_send_again(now))
    {
        this->want_another();
    }
}

// When a second send comes into question, else the end. A time that has passed
// would have the caller of next() spin.
time_point request_flow::wake_at(time_point now) const
{
    const auto running = this->find(phase::sending);
    if (running && this->terms.repeatable && !this->no_more &&
        this->sends() == 1 && !this->find(phase::placing))
    {
        const time_point again = this->attempts[*running].again_at;
        if (again > now)
        {
            return std::min(this->terms.ends, again);
        }
    }
    return this->terms.ends;
}

std::optional<flow_action> request_flow::next_step(time_point now)
{
    this->consider_second_send(now);
    if (const auto wanted = this->find(phase::wanted))
    {
        attempt& item = this->attempts[*wanted];
        item.at = phase::placing;
        return action_place{*wanted, item.repeat, this->excluded};
    }
    if (const auto ready = this->find(phase::placed))
    {
        attempt& item = this->attempts[*ready];
        item.at = phase::sending;
        return action_send{*ready, item.server};
    }
    return std::nullopt;
}

// The final answer when no try is left: the server's own error, else a refusal
// that tells whether the request may have run.
flow_action request_flow::conclude()
{
    if (const auto failed = this->answer_of(send_end::failed))
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
        return this->finish(action_forget{});
    }
    if (this->passing)
    {
        return this->next_while_passing();
    }
    if (const auto answered = this->answer_of(send_end::answered))
    {
        return this->finish(action_answer{*answered});
    }
    if (now >= this->terms.ends)
    {
        if (this->answer_of(send_end::failed))
        {
            return this->finish(this->conclude());
        }
        const bool may_have_run = this->sends() > 0;
        return this->finish(
            action_refuse{may_have_run ? result_code::server_timeout
                                       : result_code::deadline_unreachable,
                          may_have_run,
                          {}});
    }
    if (const auto step = this->next_step(now))
    {
        return *step;
    }
    if (!this->is_busy())
    {
        return this->finish(this->conclude());
    }
    return action_wait{this->wake_at(now)};
}

void request_flow::on_placed(try_number number,
                             const place_answer& answer,
                             time_point now)
{
    attempt& item = this->attempts.at(number);
    if (item.at != phase::placing)
    {
        return;
    }
    if (const auto* chosen = std::get_if<placed>(&answer))
    {
        item.at = phase::placed;
        item.server = chosen->server;
        item.typical = chosen->typical;
        this->typical = chosen->typical;
        const time_point late = now + chosen->overdue;
        const time_point useful =
            this->terms.objective_at - chosen->typical * patience_percent / 100;
        const time_point earliest =
            now + chosen->typical * patience_percent / 100;
        item.again_at = std::max(std::min(late, useful), earliest);
        return;
    }
    if (const auto* refused = std::get_if<place_refused>(&answer))
    {
        item.at = phase::ended;
        this->no_more = true;
        this->refusal = {refused->code, false, refused->retry_after};
    }
}

void request_flow::on_sent(try_number number, send_end end, time_point now)
{
    attempt& item = this->attempts.at(number);
    if (item.at != phase::sending)
    {
        return;
    }
    item.at = phase::ended;
    item.end = end;
    this->excluded.push_back(item.server);
    if (this->passing == number)
    {
        return;
    }
    if (end == send_end::not_run || end == send_end::not_sent)
    {
        ++this->untaken;
    }
    const bool another = end != send_end::answered && !this->is_busy();
    if (another && this->may_send_again(now))
    {
        this->want_another();
    }
}

void request_flow::on_answer_begun(try_number number)
{
    if (!this->passing)
    {
        this->passing = number;
    }
}

void request_flow::on_caller_gone()
{
    this->caller_gone = true;
}

} // namespace medlarbarrow::core
