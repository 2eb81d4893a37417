#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/node_state.hpp>

namespace medlarbarrow::core
{

namespace
{

/// A claim or crash report without an answer is repeated or given up then.
constexpr duration owner_answer_time = std::chrono::milliseconds(250);

/// Pause before an owner without a majority is asked again.
constexpr duration not_owner_pause = std::chrono::milliseconds(100);

/// Longest time between two looks at the queue.
constexpr duration queue_poll = std::chrono::milliseconds(50);

constexpr std::chrono::milliseconds retry_later(1000);

constexpr unsigned status_server_error = 500;
constexpr unsigned status_unavailable = 503;

/// What an attempt says about its server.
work_outcome outcome_of(const attempt_result& result,
                        duration allowed,
                        duration typical_latency)
{
    switch (result.end)
    {
    case attempt_end::answered:
        if (result.status == status_unavailable)
        {
            return work_outcome::shed;
        }
        return result.status >= status_server_error ? work_outcome::failed
                                                    : work_outcome::succeeded;
    case attempt_end::refused_not_run:
        return work_outcome::shed;
    case attempt_end::timed_out:
        return outcome_of_timeout(allowed, typical_latency);
    case attempt_end::caller_gone:
        return work_outcome::abandoned;
    case attempt_end::not_sent:
    case attempt_end::closed_early:
    case attempt_end::answered_partly:
        return work_outcome::failed;
    }
    return work_outcome::abandoned;
}

bool cannot_have_run(attempt_end end)
{
    return end == attempt_end::not_sent || end == attempt_end::refused_not_run;
}

std::chrono::milliseconds to_milliseconds(duration value)
{
    return std::chrono::ceil<std::chrono::milliseconds>(value);
}

} // namespace

// "Not run" is said of this request only: true as long as no attempt of it can
// have reached a server.
step node::state::refuse(const request_state& request,
                         result_code code,
                         duration retry_after) const
{
    return step_refuse{code, request.may_have_run,
                       to_milliseconds(retry_after)};
}

// Finds the route and checks the key; called for each request, also on a
// connection that is already open, so that a withdrawn key stops at once.
std::optional<step_refuse>
node::state::check_access(request_state& request) const
{
    const request_facts& facts = request.facts;
    request.source = this->in_force;
    request.matched = this->routes->match(facts.method, facts.host, facts.path);
    if (request.matched == nullptr)
    {
        return step_refuse{result_code::no_route, false, {}};
    }
    if (request.matched->access == route_access::open)
    {
        return std::nullopt;
    }
    if (!facts.key)
    {
        return step_refuse{result_code::key_missing, false, {}};
    }
    const account_index::match found = this->accounts->find(*facts.key);
    if (found.account == nullptr)
    {
        return step_refuse{result_code::key_unknown, false, {}};
    }
    if (found.withdrawn)
    {
        return step_refuse{result_code::key_withdrawn, false, {}};
    }
    const std::vector<std::string>& allowed = request.matched->accounts;
    if (!allowed.empty() && std::find(allowed.begin(), allowed.end(),
                                      found.account->name) == allowed.end())
    {
        return step_refuse{result_code::account_not_allowed, false, {}};
    }
    request.account = found.account->name;
    request.weight = std::max(found.account->rate_per_second, 1.0);
    return std::nullopt;
}

std::optional<step_refuse> node::state::check_order_key(request_state& request)
{
    const std::string& key = request.facts.idempotency_key;
    const result<wall_time> created = creation_time(key);
    if (!created)
    {
        const auto code = static_cast<result_code>(created.error().value());
        return step_refuse{code, false, {}};
    }
    request.claim.identity =
        order_identity(request.account, request.matched->service, key);
    request.claim.created = *created;
    return std::nullopt;
}

void node::state::begin(request_state& request, instant now)
{
    if (!this->in_force)
    {
        request.refusal =
            step_refuse{result_code::not_ready, false, retry_later};
        return;
    }
    request.refusal = this->check_access(request);
    if (request.refusal)
    {
        return;
    }
    if (!request.matched->repeatable)
    {
        // The claim comes before all that may refuse the order: only its owner
        // knows whether an earlier request with the same key has run.
        request.phase = request_phase::claim;
        request.refusal = this->check_order_key(request);
    }
    const std::chrono::milliseconds limit = request.matched->deadline;
    request.deadline =
        now.monotonic +
        std::min(limit, request.facts.caller_deadline.value_or(limit));
    const request_facts& facts = request.facts;
    request.content =
        digest_text(request.matched->service + '\n' + facts.method + '\n' +
                        facts.path + '\n' + request.account,
                    facts.content_digest);
}

// Runs the phases until one of them needs to wait or ends the request.
step node::state::advance(request_id id,
                          request_state& request,
                          instant now,
                          outbox& out)
{
    for (;;)
    {
        if (request.refusal)
        {
            return *request.refusal;
        }
        std::optional<step> following;
        switch (request.phase)
        {
        case request_phase::limit:
            following = this->take_token(request, now, out);
            break;
        case request_phase::claim:
            following = this->claim_order(request, now, out);
            break;
        case request_phase::admission:
            following = this->enter_queue(id, request, now);
            break;
        case request_phase::queued:
            following = this->wait_in_queue(request, now);
            break;
        case request_phase::ready:
            following = this->send(request, now);
            break;
        case request_phase::running:
            return step_wait{request.deadline};
        case request_phase::ended:
            following = this->after_attempt(request, now);
            break;
        case request_phase::crash:
            following = this->wait_for_crash_owner(request, now);
            break;
        }
        if (following)
        {
            return *following;
        }
    }
}

std::optional<step>
node::state::take_token(request_state& request, instant now, outbox& out)
{
    if (request.account.empty())
    {
        request.phase = request_phase::admission;
        return std::nullopt;
    }
    if (!request.token_asked)
    {
        request.token_asked = now.monotonic;
    }
    const spend_result spent =
        this->tokens.spend(request.account, *request.token_asked, this->limits,
                           this->owners, now.monotonic, out);
    switch (spent.kind)
    {
    case spend_kind::granted:
        request.phase = request_phase::admission;
        return std::nullopt;
    case spend_kind::wait:
        if (now.monotonic >= request.deadline)
        {
            return this->refuse(request, result_code::deadline_unreachable);
        }
        return step_wait{std::min(spent.until, request.deadline)};
    case spend_kind::refused:
        break;
    }
    return this->refuse(request,
                        spent.unreachable ? result_code::limit_home_unreachable
                                          : result_code::rate_exceeded,
                        spent.retry_after);
}

// Asks the owner of the order's identity until it answers. The nonce stays the
// same, so that a repeated claim gets the same verdict. Without an answer the
// outcome is unknown: an earlier request with the same key may have run.
std::optional<step>
node::state::claim_order(request_state& request, instant now, outbox& out)
{
    claim_state& claim = request.claim;
    if (claim.granted)
    {
        request.phase = request_phase::limit;
        return std::nullopt;
    }
    if (claim.verdict)
    {
        return this->judge_claim(request, now);
    }
    if (now.monotonic >= request.deadline)
    {
        return step_refuse{result_code::order_home_unreachable, true,
                           retry_later};
    }
    const std::string& owner = this->owners.owner_of(bucket_of(claim.identity));
    if (!owner.empty() &&
        (now.monotonic >= claim.resend || owner != claim.owner))
    {
        if (claim.nonce == 0)
        {
            claim.nonce = ++this->last_nonce;
        }
        claim.owner = owner;
        claim.resend = now.monotonic + owner_answer_time;
        out.push_back(
            {owner,
             order_claim{claim.nonce, claim.identity, claim.created,
                         to_milliseconds(request.deadline - now.monotonic)}});
    }
    return step_wait{std::min(
        request.deadline, std::max(claim.resend, now.monotonic + queue_poll))};
}

std::optional<step> node::state::judge_claim(request_state& request,
                                             instant now)
{
    claim_state& claim = request.claim;
    const order_verdict verdict = *claim.verdict;
    switch (verdict.kind)
    {
    case order_verdict_kind::run:
        claim.granted = true;
        return std::nullopt;
    case order_verdict_kind::answered:
        return step_replay{verdict.answer.value_or(stored_answer{})};
    case order_verdict_kind::in_progress:
        return step_refuse{result_code::order_in_progress, true, retry_later};
    case order_verdict_kind::in_future:
        return this->refuse(request, result_code::order_key_in_future);
    case order_verdict_kind::not_owner:
        claim.verdict.reset();
        claim.resend = now.monotonic + not_owner_pause;
        return std::nullopt;
    case order_verdict_kind::unknown:
        break;
    }
    return step_refuse{result_code::order_outcome_unknown, true, {}};
}

admission_queue& node::state::queue_of(const std::string& service)
{
    return this->queues[service];
}

// Marks the requests that the queue starts or gives up.
void node::state::start_ready(const std::string& service, time_point now)
{
    const popped_requests popped = this->queue_of(service).pop_ready(now);
    for (const request_id id : popped.start)
    {
        const auto found = this->requests.find(id);
        if (found == this->requests.end())
        {
            this->queue_of(service).completed(work_outcome::abandoned, {}, now);
            continue;
        }
        found->second.phase = request_phase::ready;
        found->second.admitted = true;
    }
    for (const request_id id : popped.expired)
    {
        const auto found = this->requests.find(id);
        if (found != this->requests.end())
        {
            found->second.refusal = step_refuse{
                result_code::deadline_unreachable, false, retry_later};
        }
    }
}

std::optional<step>
node::state::enter_queue(request_id id, request_state& request, instant now)
{
    if (this->blocks.is_blocked(request.content, now.monotonic))
    {
        return this->refuse(request, result_code::request_blocked);
    }
    const std::string& service = request.matched->service;
    admission_queue& queue = this->queue_of(service);
    const push_result pushed =
        queue.push({id, request.account, request.matched->priority,
                    request.deadline, request.weight},
                   now.monotonic);
    if (pushed.code != result_code::ok)
    {
        return this->refuse(request, pushed.code,
                            queue.expected_wait(request.account));
    }
    if (pushed.evicted)
    {
        const auto evicted = this->requests.find(*pushed.evicted);
        if (evicted != this->requests.end())
        {
            evicted->second.refusal =
                step_refuse{result_code::queue_full, false, retry_later};
        }
    }
    request.phase = request_phase::queued;
    this->start_ready(service, now.monotonic);
    return std::nullopt;
}

std::optional<step> node::state::wait_in_queue(request_state& request,
                                               instant now)
{
    this->start_ready(request.matched->service, now.monotonic);
    if (request.phase != request_phase::queued || request.refusal)
    {
        return std::nullopt;
    }
    return step_wait{std::min(request.deadline, now.monotonic + queue_poll)};
}

// Chooses the server. The key is checked again when the document changed while
// the request waited, so that a key withdrawn meanwhile stops here.
std::optional<step> node::state::send(request_state& request, instant now)
{
    if (request.source != this->in_force && request.facts.key)
    {
        const account_index::match found =
            this->accounts->find(*request.facts.key);
        if (!request.account.empty() &&
            (found.account == nullptr || found.withdrawn))
        {
            return this->refuse(request, result_code::key_withdrawn);
        }
    }
    if (now.monotonic >= request.deadline)
    {
        return this->refuse(request, result_code::deadline_unreachable);
    }
    const route& matched = *request.matched;
    std::optional<server_choice> choice = this->servers.choose(
        matched.service, request.tried, this->random, now.monotonic);
    if (!choice)
    {
        return this->refuse(request, result_code::no_healthy_server,
                            retry_later);
    }
    if (request.attempts == 0)
    {
        this->budgets[matched.service].first_attempt(now.monotonic);
    }
    ++request.attempts;
    request.server = choice->server.name;
    request.sent = now.monotonic;
    request.newest_result.reset();
    request.crash_permitted.reset();
    request.phase = request_phase::running;
    this->servers.started(matched.service, request.server);
    return step_send{matched.service,     choice->server,      choice->via,
                     !matched.repeatable, !matched.repeatable, request.deadline,
                     request.attempts};
}

// Learns from an attempt: statistics of the server, the report to the
// service's owner, the order's outcome, crash suspects.
void node::state::attempt_finished(request_state& request,
                                   const attempt_result& outcome,
                                   instant now,
                                   outbox& out)
{
    const std::string& service = request.matched->service;
    const work_outcome work =
        outcome_of(outcome, request.deadline - request.sent,
                   this->servers.typical_latency(service));
    request.work = work;
    request.newest_result = outcome;
    request.phase = request_phase::ended;
    request.tried.push_back(request.server);
    request.may_have_run =
        request.may_have_run || !cannot_have_run(outcome.end);
    this->servers.finished(service, request.server, work, outcome.latency,
                           now.monotonic);
    if (outcome.end == attempt_end::closed_early)
    {
        this->observations.note_closed(service, request.server,
                                       request.content);
        this->report_crash(request, now, out);
    }
    else
    {
        this->observations.note(service, request.server, work, outcome.latency);
    }
    if (!cannot_have_run(outcome.end))
    {
        this->report_order(request, outcome, out);
    }
}

void node::state::report_crash(request_state& request, instant now, outbox& out)
{
    request.crash_answer_until = now.monotonic + owner_answer_time;
    const std::string& owner =
        this->owners.owner_of(bucket_of(request.content));
    if (!owner.empty())
    {
        out.push_back({owner, this->blocks.report(
                                  request.content, request.matched->service,
                                  request.server, now.monotonic)});
    }
}

void node::state::report_order(request_state& request,
                               const attempt_result& outcome,
                               outbox& out)
{
    claim_state& claim = request.claim;
    const std::string& owner = this->owners.owner_of(bucket_of(claim.identity));
    if (!claim.granted || claim.reported || owner.empty())
    {
        return;
    }
    order_result report{claim.identity, order_outcome::unknown, std::nullopt,
                        claim.nonce};
    if (outcome.end == attempt_end::answered)
    {
        report.outcome = order_outcome::answered;
        report.answer = outcome.answer;
    }
    claim.reported = true;
    out.push_back({owner, report});
}

// Gives a claim back that was granted, or may have been, and was not used.
void node::state::release_claim(request_state& request, outbox& out)
{
    claim_state& claim = request.claim;
    if (claim.nonce == 0 || claim.reported || request.may_have_run ||
        request.phase == request_phase::running)
    {
        return;
    }
    claim.reported = true;
    out.push_back(
        {claim.owner, order_result{claim.identity, order_outcome::not_sent,
                                   std::nullopt, claim.nonce}});
}

std::optional<step> node::state::after_attempt(request_state& request,
                                               instant now)
{
    const attempt_result& outcome = *request.newest_result;
    const std::string& service = request.matched->service;
    retry_facts facts;
    // An order that cannot have run may go to another server.
    facts.repeatable =
        request.matched->repeatable || cannot_have_run(outcome.end);
    facts.end = outcome.end;
    facts.attempt = request.attempts;
    facts.crash_permitted = request.crash_permitted.value_or(false);
    facts.deadline = request.deadline;
    facts.typical_latency = this->servers.typical_latency(service);
    switch (decide_retry(facts, this->budgets[service], now.monotonic))
    {
    case retry_decision::retry:
        this->queue_of(service).attempt_ended(request.work, outcome.latency,
                                              now.monotonic);
        request.phase = request_phase::ready;
        return std::nullopt;
    case retry_decision::ask_crash_owner:
        request.phase = request_phase::crash;
        return std::nullopt;
    case retry_decision::not_needed:
    case retry_decision::answer_begun:
        return step_done{};
    case retry_decision::not_repeatable:
    case retry_decision::no_time:
    case retry_decision::no_attempts_left:
    case retry_decision::no_budget:
        break;
    }
    return this->refuse_after_attempt(request);
}

std::optional<step> node::state::wait_for_crash_owner(request_state& request,
                                                      instant now)
{
    if (request.crash_permitted.value_or(false))
    {
        request.phase = request_phase::ended;
        return std::nullopt;
    }
    const bool denied = request.crash_permitted.has_value();
    if (denied || now.monotonic >= request.crash_answer_until)
    {
        return this->refuse_after_attempt(request);
    }
    return step_wait{request.crash_answer_until};
}

step node::state::refuse_after_attempt(const request_state& request) const
{
    switch (request.newest_result->end)
    {
    case attempt_end::not_sent:
        return this->refuse(request, result_code::server_connect_failed,
                            retry_later);
    case attempt_end::refused_not_run:
        return this->refuse(request, result_code::server_shed, retry_later);
    case attempt_end::timed_out:
        return this->refuse(request, result_code::server_timeout);
    case attempt_end::closed_early:
        return this->refuse(request, request.crash_permitted == false
                                         ? result_code::request_blocked
                                         : result_code::server_closed_early);
    case attempt_end::answered:
    case attempt_end::answered_partly:
    case attempt_end::caller_gone:
        break;
    }
    return step_done{};
}

// Frees everything the request holds; called once, when it ends.
void node::state::leave(request_id id,
                        request_state& request,
                        instant now,
                        outbox& out)
{
    if (request.matched == nullptr)
    {
        return;
    }
    const std::string& service = request.matched->service;
    if (request.phase == request_phase::running)
    {
        const attempt_result gone{attempt_end::caller_gone, 0, {}, {}};
        this->attempt_finished(request, gone, now, out);
    }
    if (request.admitted)
    {
        const duration latency =
            request.newest_result ? request.newest_result->latency : duration{};
        this->queue_of(service).completed(request.work, latency, now.monotonic);
    }
    else if (request.phase == request_phase::queued)
    {
        this->queue_of(service).cancel(id);
    }
    this->release_claim(request, out);
    this->start_ready(service, now.monotonic);
}

} // namespace medlarbarrow::core
