#include <boost/asio/ip/address_v4.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/place_calls.hpp>
#include <medlarbarrow/net/timers.hpp>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

/// A call that gets no answer within this time is repeated, up to the limit of
/// calls to one owner.
constexpr milliseconds call_timeout{60};
constexpr unsigned max_calls_per_owner = 2;

/// The call of a queued request is repeated in this period, because the late
/// answer may be lost.
constexpr milliseconds queued_call_period{300};

constexpr milliseconds done_call_timeout{150};
constexpr unsigned max_done_repeats = 4;

core::time_point now()
{
    return core::boot_clock::now();
}

/// Whether another shard may have a place for a request that this answer
/// refuses. A blocked request is refused by all, and a repeat beyond the retry
/// budget must not run.
bool is_for_lack_of_room(const core::place_answer& answer)
{
    const auto* refused = std::get_if<core::place_refused>(&answer);
    return refused != nullptr &&
           (refused->code == core::result_code::queue_full ||
            refused->code == core::result_code::deadline_unreachable ||
            refused->code == core::result_code::no_healthy_server);
}

} // namespace

place_calls::place_calls(environment initial_parts)
    : parts(std::move(initial_parts))
{
}

// The targets of a call, in the order in which they are asked: the owners of
// two shards, or the first two in rank for a service with one shard. Callers
// that pass over an owner thus move to different ones.
std::vector<place_calls::target>
place_calls::choose_targets(const std::string& service)
{
    const auto shards = this->parts.shards.draw(service, now());
    const std::size_t owners_per_shard = shards.size() == 1 ? 2 : 1;
    std::vector<target> targets;
    for (const core::shard_id& shard : shards)
    {
        for (const core::instance_address owner : this->parts.members.owners(
                 core::owner_key(shard), owners_per_shard, now()))
        {
            targets.push_back({shard, owner});
        }
    }
    return targets;
}

core::grant_id place_calls::place(const std::string& service,
                                  core::place_request request,
                                  place_handler handler)
{
    const std::uint64_t number = ++this->last_number;
    request.grant = {this->parts.instance_id, number};
    call_state call;
    call.request = std::move(request);
    call.handler = std::move(handler);
    call.requested_at = now();
    call.targets = this->choose_targets(service);
    call.timer = std::make_unique<asio::steady_timer>(this->parts.io);
    call.second_timer = std::make_unique<asio::steady_timer>(this->parts.io);
    this->calls.emplace(number, std::move(call));
    this->ask_current(number);
    return {this->parts.instance_id, number};
}

// The request with the time that is left of its objective and deadline.
core::place_request place_calls::remaining_request(const call_state& call) const
{
    core::place_request request = call.request;
    const core::duration waited = now() - call.requested_at;
    request.time_to_deadline -= std::min(request.time_to_deadline, waited);
    request.time_to_objective -= std::min(request.time_to_objective, waited);
    return request;
}

// Asks the current target, or decides alone if none is left.
void place_calls::ask_current(std::uint64_t number)
{
    const auto position = this->calls.find(number);
    if (position == this->calls.end())
    {
        return;
    }
    call_state& call = position->second;
    if (this->remaining_request(call).time_to_deadline <= core::duration(0))
    {
        this->drop_second(number);
        this->finish(
            number, {},
            core::place_refused{core::result_code::deadline_unreachable, {}});
        return;
    }
    if (call.index >= call.targets.size())
    {
        this->decide_alone(number, call);
        return;
    }
    this->ask_owner(number, call);
}

void place_calls::ask_owner(std::uint64_t number, call_state& call)
{
    const target current = call.targets[call.index];
    const core::place_request request = this->remaining_request(call);
    if (current.owner == this->parts.own_address)
    {
        const core::place_answer answer = this->parts.owned.request(
            current.shard, decision_scope::fleet, request);
        this->on_answer(number, current, answer);
        return;
    }
    this->counts.calls_repeated += call.unanswered_calls > 0 ? 1 : 0;
    ++call.unanswered_calls;
    this->parts.send(current.owner, core::place_call{current.shard, request});
    run_after(*call.timer, call_timeout,
              [this, number]
              {
                  this->on_timeout(number);
              });
}

void place_calls::decide_alone(std::uint64_t number, call_state& call)
{
    ++this->counts.local_decisions;
    const core::shard_id shard = call.targets.front().shard;
    const core::place_answer answer = this->parts.owned.request(
        shard, decision_scope::alone, this->remaining_request(call));
    if (!std::holds_alternative<core::queued>(answer))
    {
        this->finish(number, {shard, this->parts.own_address}, answer);
    }
}

// Repeats a call that got no answer in time, or passes over its owner after
// max_calls_per_owner calls.
void place_calls::on_timeout(std::uint64_t number)
{
    const auto position = this->calls.find(number);
    if (position == this->calls.end())
    {
        return;
    }
    call_state& call = position->second;
    if (call.unanswered_calls >= max_calls_per_owner)
    {
        const target silent = call.targets[call.index];
        // One line for each change of what this instance believes.
        if (this->parts.members.is_live(silent.owner, now()))
        {
            log::write(
                log::level::info, "owner_unanswered",
                {log::kv("service", silent.shard.service),
                 log::kv("shard", silent.shard.number),
                 log::kv("owner",
                         asio::ip::address_v4(silent.owner).to_string())});
        }
        this->parts.members.suspect(silent.owner, now());
        ++this->counts.owners_passed_over;
        ++call.index;
        call.unanswered_calls = 0;
    }
    this->ask_current(number);
}

void place_calls::on_reply(core::instance_address sender,
                           const core::place_reply& message)
{
    const auto position = this->calls.find(message.number);
    if (position == this->calls.end())
    {
        // The request has ended, or another owner has placed it. Report the
        // unused grant, so that the server's slot is freed.
        const auto grant = this->grants.find(message.number);
        const bool in_use = grant != this->grants.end() &&
                            grant->second.owner == sender &&
                            grant->second.shard.number == message.shard;
        if (!in_use && std::holds_alternative<core::placed>(message.answer))
        {
            core::done_call unused;
            unused.shard.number = message.shard;
            unused.grant = {this->parts.instance_id, message.number};
            this->parts.send(sender, unused);
        }
        return;
    }
    for (const target& asked : position->second.targets)
    {
        if (asked.owner == sender && asked.shard.number == message.shard)
        {
            const target from = asked;
            this->parts.shards.record_load(from.shard, message.load, now());
            this->on_answer(message.number, from, message.answer);
            return;
        }
    }
}

void place_calls::on_own_answer(const core::grant_id& grant,
                                const core::shard_id& shard,
                                const core::place_answer& answer)
{
    this->on_answer(grant.number, {shard, this->parts.own_address}, answer);
}

// Handles the answer of the first target, of the second one or of one that has
// been passed over, whose grant is released.
void place_calls::on_answer(std::uint64_t number,
                            const target& from,
                            const core::place_answer& answer)
{
    const auto position = this->calls.find(number);
    if (position == this->calls.end())
    {
        return;
    }
    call_state& call = position->second;
    const bool decides_alone = call.index >= call.targets.size();
    if (call.second == from)
    {
        if (std::holds_alternative<core::placed>(answer))
        {
            call.second.reset();
            this->release(number, call.targets[call.index]);
            this->finish(number, from, answer);
            return;
        }
        this->drop_second(number);
        return;
    }
    if (decides_alone && from.owner == this->parts.own_address)
    {
        this->finish(number, from, answer);
        return;
    }
    if (decides_alone || call.targets[call.index] != from)
    {
        if (std::holds_alternative<core::placed>(answer))
        {
            this->release(number, from);
        }
        return;
    }
    this->on_first_answer(number, call, answer);
}

void place_calls::on_first_answer(std::uint64_t number,
                                  call_state& call,
                                  const core::place_answer& answer)
{
    const target from = call.targets[call.index];
    call.unanswered_calls = 0;
    if (std::holds_alternative<core::queued>(answer))
    {
        if (from.owner != this->parts.own_address)
        {
            run_after(*call.timer, queued_call_period,
                      [this, number]
                      {
                          this->ask_current(number);
                      });
        }
        if (this->may_ask_another(call))
        {
            this->ask_second(number, call);
        }
        return;
    }
    if (is_for_lack_of_room(answer) && this->may_ask_another(call))
    {
        call.asked_second = true;
        ++this->counts.second_shards_asked;
        ++call.index;
        this->ask_current(number);
        return;
    }
    this->drop_second(number);
    this->finish(number, from, answer);
}

// Whether the next target is another shard that may have a free slot.
bool place_calls::may_ask_another(const call_state& call) const
{
    const std::size_t next = call.index + 1;
    return !call.asked_second && next < call.targets.size() &&
           call.targets[next].shard != call.targets[call.index].shard &&
           !this->parts.shards.is_full(call.targets[next].shard, now());
}

// Asks the next shard for a free slot while the request keeps its place in the
// queue of the first one.
void place_calls::ask_second(std::uint64_t number, call_state& call)
{
    const target next = call.targets[call.index + 1];
    call.asked_second = true;
    call.second = next;
    ++this->counts.second_shards_asked;
    const core::place_request request = this->remaining_request(call);
    if (next.owner == this->parts.own_address)
    {
        this->on_answer(number, next,
                        this->parts.owned.request(
                            next.shard, decision_scope::fleet, request));
        return;
    }
    run_after(*call.second_timer, call_timeout,
              [this, number]
              {
                  this->drop_second(number);
              });
    this->parts.send(next.owner, core::place_call{next.shard, request});
}

// Stops to wait for the second target.
void place_calls::drop_second(std::uint64_t number)
{
    const auto position = this->calls.find(number);
    if (position == this->calls.end() || !position->second.second)
    {
        return;
    }
    const target second = *position->second.second;
    position->second.second.reset();
    position->second.second_timer->cancel();
    this->release(number, second);
}

void place_calls::finish(std::uint64_t number,
                         const target& from,
                         const core::place_answer& answer)
{
    const auto position = this->calls.find(number);
    if (position == this->calls.end())
    {
        return;
    }
    call_state call = std::move(position->second);
    this->calls.erase(position);
    call.timer->cancel();
    call.second_timer->cancel();
    if (const auto* placed = std::get_if<core::placed>(&answer))
    {
        this->grants[number] = {from.shard, from.owner, placed->server,
                                call.request.content_digest};
    }
    call.handler(answer);
}

void place_calls::withdraw(const core::grant_id& grant)
{
    this->drop_second(grant.number);
    const auto position = this->calls.find(grant.number);
    if (position == this->calls.end())
    {
        return;
    }
    const call_state call = std::move(position->second);
    this->calls.erase(position);
    const bool decided_here = call.index >= call.targets.size();
    this->release(grant.number, decided_here
                                    ? target{call.targets.front().shard,
                                             this->parts.own_address}
                                    : call.targets[call.index]);
}

void place_calls::report_send_end(const core::send_end& end,
                                  const core::server_notice& notice)
{
    const auto position = this->grants.find(end.grant.number);
    if (position == this->grants.end())
    {
        return;
    }
    const open_grant granted = std::move(position->second);
    this->grants.erase(position);
    if (end.may_be_crash())
    {
        this->parts.on_lost_send(granted.shard,
                                 {granted.content_digest, granted.server, {}},
                                 granted.owner);
    }
    this->report({granted.shard, end.grant, end.outcome, end.latency, notice,
                  end.connection_age},
                 granted.owner);
}

// The report may be lost: it is made again while the answer is passed on.
void place_calls::report_stream(const core::grant_id& grant,
                                bool unread,
                                std::function<void()> end_send)
{
    const auto position = this->grants.find(grant.number);
    if (position == this->grants.end())
    {
        return;
    }
    open_grant& granted = position->second;
    const core::stream_call call{granted.shard, grant, unread};
    if (granted.owner != this->parts.own_address)
    {
        granted.end_send = std::move(end_send);
        this->parts.send(granted.owner, call);
        return;
    }
    if (this->parts.owned.on_stream(call))
    {
        end_send();
    }
}

// Gives up a request that waits at the target, or a grant that is not used.
void place_calls::release(std::uint64_t number, const target& at)
{
    this->report({at.shard,
                  {this->parts.instance_id, number},
                  core::send_outcome::cancelled,
                  {},
                  {}},
                 at.owner);
}

void place_calls::report(const core::done_call& message,
                         core::instance_address owner)
{
    if (owner == this->parts.own_address)
    {
        this->parts.owned.on_send_ended(message);
        return;
    }
    const done_key key{message.grant.number, message.shard.number, owner};
    done_state state;
    state.message = message;
    state.owner = owner;
    state.reported_at = now();
    state.timer = std::make_unique<asio::steady_timer>(this->parts.io);
    this->done_calls.insert_or_assign(key, std::move(state));
    this->send_done(key);
}

// Sends a done call until it is acknowledged; gives up after max_done_repeats
// repeats.
void place_calls::send_done(const done_key& key)
{
    const auto position = this->done_calls.find(key);
    if (position == this->done_calls.end())
    {
        return;
    }
    done_state& state = position->second;
    if (state.unanswered_calls > max_done_repeats)
    {
        this->done_calls.erase(position);
        return;
    }
    ++state.unanswered_calls;
    core::done_call message = state.message;
    // The owner counts a hold from the arrival of the report.
    core::duration& hold = message.notice.retry_after;
    message.age = now() - state.reported_at;
    hold -= std::min(hold, message.age);
    this->parts.send(state.owner, message);
    run_after(*state.timer, done_call_timeout,
              [this, key]
              {
                  this->send_done(key);
              });
}

void place_calls::on_reply(core::instance_address sender,
                           const core::done_reply& message)
{
    this->done_calls.erase({message.number, message.shard, sender});
}

void place_calls::on_reply(core::instance_address sender,
                           const core::stream_reply& message)
{
    const auto position = this->grants.find(message.number);
    if (position == this->grants.end() || position->second.owner != sender)
    {
        return;
    }
    // The function may end the grant.
    if (const auto end_send = std::exchange(position->second.end_send, {}))
    {
        end_send();
    }
}

void place_calls::close()
{
    this->calls.clear();
    this->done_calls.clear();
}

} // namespace medlarbarrow::net
