#include <medlarbarrow/net/admit_calls.hpp>
#include <medlarbarrow/net/timers.hpp>

namespace medlarbarrow::net
{

namespace
{

/// A call that gets no answer within this time is repeated, up to the limit of
/// calls to one owner.
constexpr std::chrono::milliseconds call_timeout{60};
constexpr unsigned max_calls_per_owner = 2;
/// For settle_duration after its start, an owner grants an account only this
/// part of its burst, because other instances may not know this owner yet.
constexpr std::chrono::seconds settle_duration{3};
constexpr double settling_bucket_fill = 0.15;

core::time_point now()
{
    return core::boot_clock::now();
}

} // namespace

admit_calls::admit_calls(environment initial_parts)
    : parts(std::move(initial_parts)), started(now())
{
}

// Decides about an admission on this instance. `share` is the part of the
// account's limit that this instance may grant.
core::quota_answer admit_calls::decide(const std::string& account, double share)
{
    auto limit = this->parts.account_limit(account);
    if (!limit)
    {
        return {true, {}};
    }
    limit->owner_share = share;
    if (now() - this->started < settle_duration)
    {
        limit->initial_fill = settling_bucket_fill;
    }
    return this->quotas.take(account, *limit, now());
}

void admit_calls::on_call(core::instance_address sender,
                          const core::admit_call& message)
{
    core::admit_reply reply;
    reply.number = message.number;
    reply.account_exists =
        this->parts.account_limit(message.account).has_value();
    if (reply.account_exists)
    {
        reply.answer = this->decide(message.account,
                                    this->parts.members.live_fraction(now()));
    }
    this->parts.send(sender, reply);
}

void admit_calls::on_reply(core::instance_address sender,
                           const core::admit_reply& message)
{
    const auto it = this->calls.find(message.number);
    if (it == this->calls.end() || it->second.owner != sender)
    {
        return;
    }
    core::quota_answer answer = message.answer;
    if (!message.account_exists)
    {
        answer = this->decide(it->second.account,
                              this->parts.members.instance_fraction());
    }
    this->finish(message.number, answer);
}

// Sends the admit call to the account's owner. After max_calls_per_owner calls
// without an answer, decides here with this instance's share of the limit.
void admit_calls::call_owner(std::uint64_t number)
{
    const auto it = this->calls.find(number);
    if (it == this->calls.end())
    {
        return;
    }
    call_state& call = it->second;
    if (call.unanswered_calls >= max_calls_per_owner)
    {
        this->parts.members.suspect(call.owner, now());
        ++this->counts.owners_passed_over;
        ++this->counts.local_decisions;
        this->finish(number,
                     this->decide(call.account,
                                  this->parts.members.instance_fraction()));
        return;
    }
    ++call.unanswered_calls;
    this->parts.send(call.owner, core::admit_call{number, call.account});
    run_after(*call.timer, call_timeout,
              [this, number]
              {
                  this->call_owner(number);
              });
}

void admit_calls::finish(std::uint64_t number, const core::quota_answer& answer)
{
    const auto it = this->calls.find(number);
    if (it == this->calls.end())
    {
        return;
    }
    call_state call = std::move(it->second);
    this->calls.erase(it);
    call.timer->cancel();
    call.handler(answer);
}

void admit_calls::admit(const std::string& account, admit_handler handler)
{
    const auto owners =
        this->parts.members.owners("account " + account, 1, now());
    if (owners.front() == this->parts.own_address)
    {
        handler(
            this->decide(account, this->parts.members.live_fraction(now())));
        return;
    }
    const std::uint64_t number = ++this->last_number;
    call_state call;
    call.account = account;
    call.handler = std::move(handler);
    call.owner = owners.front();
    call.timer = std::make_unique<boost::asio::steady_timer>(this->parts.io);
    this->calls.emplace(number, std::move(call));
    this->call_owner(number);
}

void admit_calls::close()
{
    this->calls.clear();
}

} // namespace medlarbarrow::net
