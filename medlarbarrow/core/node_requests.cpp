#include <algorithm>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/core/node_state.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Time after which an unanswered claim is sent again, and after which the
/// answer to a crash report is no longer awaited.
constexpr duration owner_answer_timeout = std::chrono::milliseconds(250);

/// Delay before a claim is repeated after a peer answered not_owner.
constexpr duration not_owner_delay = std::chrono::milliseconds(100);

/// Longest time between two checks of the queue.
constexpr duration queue_poll_period = std::chrono::milliseconds(50);

constexpr std::chrono::milliseconds default_retry_after(1000);

constexpr unsigned status_server_error = 500;
constexpr unsigned status_unavailable = 503;

/// Classifies an attempt for the statistics of its server.
attempt_outcome outcome_of(const attempt_result& result,
                           duration time_allowed,
                           duration typical_latency)
{
    switch (result.end)
    {
    case attempt_end::answered:
        if (result.status == status_unavailable)
        {
            return attempt_outcome::shed;
        }
        return result.status >= status_server_error
                   ? attempt_outcome::failed
                   : attempt_outcome::succeeded;
    case attempt_end::refused_not_run:
        return attempt_outcome::shed;
    case attempt_end::timed_out:
        return classify_timeout(time_allowed, typical_latency);
    case attempt_end::caller_gone:
    case attempt_end::body_stalled:
        return attempt_outcome::abandoned;
    case attempt_end::not_sent:
        return result.withheld ? attempt_outcome::abandoned
                               : attempt_outcome::failed;
    case attempt_end::closed_early:
    case attempt_end::answer_cut_off:
        return attempt_outcome::failed;
    }
    return attempt_outcome::abandoned;
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

// Refuses the request. The answer states "not run" for this request alone, and
// only while none of its attempts can have reached a server.
step node::state::refuse(const request_state& request,
                         result_code code,
                         duration retry_after) const
{
    return step_refuse{code, request.may_have_run,
                       to_milliseconds(retry_after)};
}

// Finds the route and checks the key. This runs for each request, also on an
// open connection, so that a withdrawn key is refused at once.
std::optional<step_refuse>
node::state::check_access(request_state& request) const
{
    const request_facts& facts = request.facts;
    request.route_document = this->active_document;
    request.matched_route =
        this->routes->match(facts.method, facts.host, facts.path);
    if (request.matched_route == nullptr)
    {
        return step_refuse{result_code::no_route, false, {}};
    }
    if (request.matched_route->access == route_access::open)
    {
        return std::nullopt;
    }
    if (!facts.key)
    {
        return step_refuse{result_code::key_missing, false, {}};
    }
    const account_index::match key_match = this->accounts->find(*facts.key);
    if (key_match.account == nullptr)
    {
        return step_refuse{result_code::key_unknown, false, {}};
    }
    if (key_match.withdrawn)
    {
        return step_refuse{result_code::key_withdrawn, false, {}};
    }
    const std::vector<std::string>& allowed_accounts =
        request.matched_route->accounts;
    if (!allowed_accounts.empty() &&
        std::find(allowed_accounts.begin(), allowed_accounts.end(),
                  key_match.account->name) == allowed_accounts.end())
    {
        return step_refuse{result_code::account_not_allowed, false, {}};
    }
    request.account = key_match.account->name;
    request.weight = std::max(key_match.account->rate_per_second, 1.0);
    return std::nullopt;
}

// Checks the idempotency key of an order and derives the order's identity.
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
        order_identity(request.account, request.matched_route->service, key);
    request.claim.created = *created;
    return std::nullopt;
}

void node::state::begin(request_state& request, instant now)
{
    if (!this->active_document)
    {
        request.refusal =
            step_refuse{result_code::not_ready, false, default_retry_after};
        return;
    }
    request.refusal = this->check_access(request);
    if (request.refusal)
    {
        return;
    }
    if (!request.matched_route->repeatable)
    {
        // Claim the order before any check that may refuse it: only its owner
        // knows whether an earlier request with the same key has run.
        request.phase = request_phase::claim;
        request.refusal = this->check_order_key(request);
    }
    const std::chrono::milliseconds route_deadline =
        request.matched_route->deadline;
    request.deadline =
        now.monotonic +
        std::min(route_deadline,
                 request.facts.caller_deadline.value_or(route_deadline));
    const request_facts& facts = request.facts;
    request.content =
        digest_text(request.matched_route->service + '\n' + facts.method +
                        '\n' + facts.path + '\n' + request.account,
                    facts.content_digest);
}

// Runs phases until one of them has to wait, sends the request or ends it.
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
        std::optional<step> next_step;
        switch (request.phase)
        {
        case request_phase::rate_limit:
            next_step = this->take_token(request, now, out);
            break;
        case request_phase::claim:
            next_step = this->claim_order(request, now, out);
            break;
        case request_phase::admission:
            next_step = this->enter_queue(id, request, now);
            break;
        case request_phase::queued:
            next_step = this->wait_in_queue(request, now);
            break;
        case request_phase::ready:
            next_step = this->send(request, now);
            break;
        case request_phase::running:
            return step_wait{request.deadline};
        case request_phase::attempt_ended:
            next_step = this->finish_or_retry(request, now);
            break;
        case request_phase::crash_verdict:
            next_step = this->await_crash_verdict(request, now);
            break;
        }
        if (next_step)
        {
            return *next_step;
        }
    }
}

// Spends a token of the account, or waits for one.
std::optional<step>
node::state::take_token(request_state& request, instant now, outbox& out)
{
    if (request.account.empty())
    {
        request.phase = request_phase::admission;
        return std::nullopt;
    }
    if (!request.first_token_request)
    {
        request.first_token_request = now.monotonic;
    }
    const spend_result spent =
        this->tokens.spend(request.account, *request.first_token_request,
                           this->limits, this->owners, now.monotonic, out);
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
        return step_wait{std::min(spent.wait_until, request.deadline)};
    case spend_kind::refused:
        break;
    }
    return this->refuse(request,
                        spent.owner_unreachable
                            ? result_code::limit_home_unreachable
                            : result_code::rate_exceeded,
                        spent.retry_after);
}

// Sends the claim to the owner of the order's identity until it answers. Every
// repeat carries the same nonce, so that it gets the same verdict. Without an
// answer by the deadline the outcome is unknown: an earlier request with the
// same key may have run.
std::optional<step>
node::state::claim_order(request_state& request, instant now, outbox& out)
{
    claim_state& claim = request.claim;
    if (claim.granted)
    {
        request.phase = request_phase::rate_limit;
        return std::nullopt;
    }
    if (claim.verdict)
    {
        return this->apply_claim_verdict(request, now);
    }
    if (now.monotonic >= request.deadline)
    {
        return step_refuse{result_code::order_home_unreachable, true,
                           default_retry_after};
    }
    const std::string& owner = this->owners.owner_of(bucket_of(claim.identity));
    if (!owner.empty() &&
        (now.monotonic >= claim.resend_at || owner != claim.owner))
    {
        if (claim.nonce == 0)
        {
            claim.nonce = ++this->last_nonce;
        }
        claim.owner = owner;
        claim.resend_at = now.monotonic + owner_answer_timeout;
        out.push_back(
            {owner,
             order_claim{claim.nonce, claim.identity, claim.created,
                         to_milliseconds(request.deadline - now.monotonic)}});
    }
    return step_wait{
        std::min(request.deadline,
                 std::max(claim.resend_at, now.monotonic + queue_poll_period))};
}

// Continues, replays or refuses an order as its owner decided.
std::optional<step> node::state::apply_claim_verdict(request_state& request,
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
        return step_refuse{result_code::order_in_progress, true,
                           default_retry_after};
    case order_verdict_kind::in_future:
        return this->refuse(request, result_code::order_key_in_future);
    case order_verdict_kind::not_owner:
        claim.verdict.reset();
        claim.resend_at = now.monotonic + not_owner_delay;
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

// Marks the requests that the queue admits, and refuses those that can no
// longer meet their deadline.
void node::state::dispatch_queue(const std::string& service, time_point now)
{
    const popped_requests popped = this->queue_of(service).pop_ready(now);
    for (const request_id id : popped.ready)
    {
        const auto it = this->requests.find(id);
        if (it == this->requests.end())
        {
            this->queue_of(service).completed(attempt_outcome::abandoned, {},
                                              now);
            continue;
        }
        it->second.phase = request_phase::ready;
        it->second.admitted = true;
    }
    for (const request_id id : popped.expired)
    {
        const auto it = this->requests.find(id);
        if (it != this->requests.end())
        {
            it->second.refusal = step_refuse{result_code::deadline_unreachable,
                                             false, default_retry_after};
        }
    }
}

// Puts the request into the queue of its service, unless it is blocked.
std::optional<step>
node::state::enter_queue(request_id id, request_state& request, instant now)
{
    if (this->blocks.is_blocked(request.content, now.monotonic))
    {
        return this->refuse(request, result_code::request_blocked);
    }
    const std::string& service = request.matched_route->service;
    admission_queue& queue = this->queue_of(service);
    const push_result pushed = queue.push(
        {id, request.account, request.matched_route->priority, request.deadline,
         request.weight, request.facts.body_arriving},
        now.monotonic);
    if (pushed.code != result_code::ok)
    {
        return this->refuse(request, pushed.code,
                            queue.expected_wait(request.account, 1.0,
                                                request.facts.body_arriving));
    }
    if (pushed.evicted)
    {
        const auto evicted = this->requests.find(*pushed.evicted);
        if (evicted != this->requests.end())
        {
            evicted->second.refusal = step_refuse{result_code::queue_full,
                                                  false, default_retry_after};
        }
    }
    request.phase = request_phase::queued;
    this->dispatch_queue(service, now.monotonic);
    return std::nullopt;
}

std::optional<step> node::state::wait_in_queue(request_state& request,
                                               instant now)
{
    this->dispatch_queue(request.matched_route->service, now.monotonic);
    if (request.phase != request_phase::queued || request.refusal)
    {
        return std::nullopt;
    }
    return step_wait{
        std::min(request.deadline, now.monotonic + queue_poll_period)};
}

// Chooses the server. The key is checked again if the document changed while
// the request waited, so that a key withdrawn in the meantime is refused.
std::optional<step> node::state::send(request_state& request, instant now)
{
    if (request.route_document != this->active_document && request.facts.key)
    {
        const account_index::match key_match =
            this->accounts->find(*request.facts.key);
        if (!request.account.empty() &&
            (key_match.account == nullptr || key_match.withdrawn))
        {
            return this->refuse(request, result_code::key_withdrawn);
        }
    }
    if (now.monotonic >= request.deadline)
    {
        return this->refuse(request, result_code::deadline_unreachable);
    }
    const route& matched_route = *request.matched_route;
    std::optional<server_choice> choice =
        this->servers.choose(matched_route.service, request.tried_servers,
                             this->random, now.monotonic);
    if (!choice)
    {
        return this->refuse(request, result_code::no_healthy_server,
                            default_retry_after);
    }
    if (request.attempts == 0)
    {
        this->retry_budgets[matched_route.service].add_first_attempt(
            now.monotonic);
    }
    ++request.attempts;
    request.server = choice->server.name;
    request.sent_at = now.monotonic;
    request.last_attempt.reset();
    request.crash_retry_allowed.reset();
    request.phase = request_phase::running;
    this->servers.attempt_started(matched_route.service, request.server);
    return step_send{matched_route.service,
                     choice->server,
                     choice->via,
                     !matched_route.repeatable,
                     !matched_route.repeatable,
                     request.deadline,
                     request.attempts};
}

// Records an attempt in the server's statistics and in the observations for the
// service's owner, and reports a possible crash and the order's outcome.
void node::state::record_attempt(request_state& request,
                                 const attempt_result& outcome,
                                 instant now,
                                 outbox& out)
{
    const std::string& service = request.matched_route->service;
    const attempt_outcome work =
        outcome_of(outcome, request.deadline - request.sent_at,
                   this->servers.typical_latency(service));
    request.last_outcome = work;
    request.last_attempt = outcome;
    request.phase = request_phase::attempt_ended;
    request.tried_servers.push_back(request.server);
    request.may_have_run =
        request.may_have_run || !cannot_have_run(outcome.end);
    this->servers.attempt_finished(service, request.server, work,
                                   outcome.latency, now.monotonic);
    if (outcome.end == attempt_end::closed_early)
    {
        this->observations.record_closed_connection(service, request.server,
                                                    request.content);
        this->report_crash(request, now, out);
    }
    else
    {
        this->observations.record_outcome(service, request.server, work,
                                          outcome.latency);
    }
    if (!cannot_have_run(outcome.end))
    {
        this->report_order_result(request, outcome, out);
    }
}

// Reports to the owner of the request's content that a server closed its
// connection while it ran the request.
void node::state::report_crash(request_state& request, instant now, outbox& out)
{
    request.crash_verdict_deadline = now.monotonic + owner_answer_timeout;
    const std::string& owner =
        this->owners.owner_of(bucket_of(request.content));
    if (!owner.empty())
    {
        out.push_back(
            {owner, this->blocks.report(request.content,
                                        request.matched_route->service,
                                        request.server, now.monotonic)});
    }
}

// Reports the outcome of an order that may have run to the owner of its claim.
void node::state::report_order_result(request_state& request,
                                      const attempt_result& outcome,
                                      outbox& out)
{
    claim_state& claim = request.claim;
    const std::string& owner = this->owners.owner_of(bucket_of(claim.identity));
    if (!claim.granted || claim.result_sent || owner.empty())
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
    claim.result_sent = true;
    out.push_back({owner, report});
}

// Releases a claim that was, or may have been, granted for an order that was
// not sent.
void node::state::release_claim(request_state& request, outbox& out)
{
    claim_state& claim = request.claim;
    if (claim.nonce == 0 || claim.result_sent || request.may_have_run ||
        request.phase == request_phase::running)
    {
        return;
    }
    claim.result_sent = true;
    out.push_back(
        {claim.owner, order_result{claim.identity, order_outcome::not_sent,
                                   std::nullopt, claim.nonce}});
}

// Decides what follows an attempt: a retry, a wait for the crash verdict, or
// the end of the request.
std::optional<step> node::state::finish_or_retry(request_state& request,
                                                 instant now)
{
    const attempt_result& attempt = *request.last_attempt;
    const std::string& service = request.matched_route->service;
    retry_context facts;
    // An order that cannot have run may be sent to another server.
    facts.repeatable =
        request.matched_route->repeatable || cannot_have_run(attempt.end);
    facts.end = attempt.end;
    facts.attempt = request.attempts;
    facts.crash_permitted = request.crash_retry_allowed.value_or(false);
    facts.deadline = request.deadline;
    facts.typical_latency = this->servers.typical_latency(service);
    switch (decide_retry(facts, this->retry_budgets[service], now.monotonic))
    {
    case retry_decision::retry:
        this->queue_of(service).attempt_ended(request.last_outcome,
                                              attempt.latency, now.monotonic);
        request.phase = request_phase::ready;
        return std::nullopt;
    case retry_decision::ask_crash_owner:
        request.phase = request_phase::crash_verdict;
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
    return this->refuse_failed_attempt(request);
}

// Retries after a crash only once the owner permits it.
std::optional<step> node::state::await_crash_verdict(request_state& request,
                                                     instant now)
{
    if (request.crash_retry_allowed.value_or(false))
    {
        request.phase = request_phase::attempt_ended;
        return std::nullopt;
    }
    const bool denied = request.crash_retry_allowed.has_value();
    if (denied || now.monotonic >= request.crash_verdict_deadline)
    {
        return this->refuse_failed_attempt(request);
    }
    return step_wait{request.crash_verdict_deadline};
}

step node::state::refuse_failed_attempt(const request_state& request) const
{
    switch (request.last_attempt->end)
    {
    case attempt_end::not_sent:
        return this->refuse(request, result_code::server_connect_failed,
                            default_retry_after);
    case attempt_end::refused_not_run:
        return this->refuse(request, result_code::server_shed,
                            default_retry_after);
    case attempt_end::timed_out:
        return this->refuse(request, result_code::server_timeout);
    case attempt_end::closed_early:
        return this->refuse(request, request.crash_retry_allowed == false
                                         ? result_code::request_blocked
                                         : result_code::server_closed_early);
    case attempt_end::body_stalled:
        return this->refuse(request, result_code::body_stalled);
    case attempt_end::answered:
    case attempt_end::answer_cut_off:
    case attempt_end::caller_gone:
        break;
    }
    return step_done{};
}

// Frees all resources of the request; called once, when it ends.
void node::state::release_resources(request_id id,
                                    request_state& request,
                                    instant now,
                                    outbox& out)
{
    if (request.matched_route == nullptr)
    {
        return;
    }
    const std::string& service = request.matched_route->service;
    if (request.phase == request_phase::running)
    {
        const attempt_result abandoned{attempt_end::caller_gone, 0, {}, {}};
        this->record_attempt(request, abandoned, now, out);
    }
    if (request.admitted)
    {
        const duration latency =
            request.last_attempt ? request.last_attempt->latency : duration{};
        this->queue_of(service).completed(request.last_outcome, latency,
                                          now.monotonic,
                                          request.facts.body_arriving);
    }
    else if (request.phase == request_phase::queued)
    {
        this->queue_of(service).cancel(id);
    }
    this->release_claim(request, out);
    this->dispatch_queue(service, now.monotonic);
}

} // namespace medlarbarrow::core
