#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/request_flow.hpp>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};

core::flow_terms terms(bool repeatable)
{
    core::flow_terms request_terms;
    request_terms.repeatable = repeatable;
    request_terms.objective_at = start + 800ms;
    request_terms.deadline = start + 2500ms;
    return request_terms;
}

/// Grant of this server: typical duration 200 ms, overdue after 500 ms.
core::placed server(const std::string& name)
{
    return {name, 200ms, 500ms};
}

/// What the servers and the caller have observed of one request. `ran` counts
/// the servers that may have run it.
struct observations
{
    std::map<core::attempt_number, bool> sending;
    unsigned ran = 0;
    unsigned final_answers = 0;
    bool said_not_run = false;
    bool answered_by_cancelled = false;
    std::set<core::attempt_number> cancelled;
};

/// Whether the refusal says that no server has run the request.
bool says_not_run(const core::action_refuse& refusal)
{
    return !refusal.outcome_unknown;
}

} // namespace

class a_request : public testing::Test
{
protected:
    template <class Action>
    Action next(core::request_flow& flow)
    {
        const core::flow_action action = flow.next(this->now);
        const auto* expected = std::get_if<Action>(&action);
        EXPECT_NE(expected, nullptr) << "action " << action.index();
        return expected == nullptr ? Action{} : *expected;
    }

    /// Places the request on server `name` and begins to send it.
    core::attempt_number send_to(core::request_flow& flow,
                                 const std::string& name)
    {
        const auto place = this->next<core::action_place>(flow);
        flow.on_placed(place.number, server(name), this->now);
        const auto send = this->next<core::action_send>(flow);
        EXPECT_EQ(send.server, name);
        return send.number;
    }

    core::time_point now = start;
};

class a_request_that_may_not_be_repeated : public a_request
{
protected:
    core::request_flow flow{terms(false)};
};

// Guards against a second run of an order whose first send has an unknown
// outcome.
TEST_F(a_request_that_may_not_be_repeated,
       is_not_sent_again_after_an_unknown_outcome)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_send_ended(first, core::send_result::lost, this->now);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_TRUE(refusal.outcome_unknown);
    EXPECT_TRUE(this->flow.is_over());
}

// Guards against refusing an order that no server has run yet: the server says
// that it did not run it, so another server may.
TEST_F(a_request_that_may_not_be_repeated,
       is_sent_to_another_server_when_it_did_not_run)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_send_ended(first, core::send_result::not_run, this->now);
    const auto place = this->next<core::action_place>(this->flow);
    EXPECT_TRUE(place.repeat);
    EXPECT_EQ(place.excluded_servers, std::vector<std::string>{"a"});
}

// Guards against charging the retry budget for a send whose connection failed.
TEST_F(a_request_that_may_not_be_repeated,
       is_no_repeat_after_a_failed_connection)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_send_ended(first, core::send_result::not_sent, this->now);
    EXPECT_FALSE(this->next<core::action_place>(this->flow).repeat);
}

// Guards against a second send of an order while the first may still run.
TEST_F(a_request_that_may_not_be_repeated,
       waits_for_its_only_send_until_the_deadline)
{
    this->send_to(this->flow, "a");
    this->now += 2s;
    EXPECT_EQ(this->next<core::action_wait>(this->flow).until, start + 2500ms);
    this->now = start + 2500ms;
    this->next<core::action_cancel>(this->flow);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_EQ(refusal.code, core::result_code::server_timeout);
    EXPECT_TRUE(refusal.outcome_unknown);
}

// Guards against replacing the server's own error by a refusal.
TEST_F(a_request_that_may_not_be_repeated,
       passes_the_servers_error_to_its_caller)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_send_ended(first, core::send_result::failed, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number, first);
}

// Guards against a request that waits for a server until its instance has ended
// and gets no answer.
TEST_F(a_request_that_may_not_be_repeated,
       is_refused_when_sending_stops_before_it_has_a_server)
{
    const auto place = this->next<core::action_place>(this->flow);
    this->flow.stop_sending({core::result_code::shutting_down, false, 50ms});
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, place.number);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_EQ(refusal.code, core::result_code::shutting_down);
    EXPECT_EQ(refusal.retry_after, 50ms);
    EXPECT_FALSE(refusal.outcome_unknown);
}

// Guards against breaking off a request that its server works on because
// sending stops.
TEST_F(a_request_that_may_not_be_repeated, goes_on_when_sending_stops)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.stop_sending({core::result_code::shutting_down, false, 50ms});
    this->next<core::action_wait>(this->flow);
    this->flow.on_send_ended(first, core::send_result::answered, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number, first);
}

// Guards against another server that gets the request after sending has
// stopped, and against a refusal that says "not run" for other reasons than the
// true one.
TEST_F(a_request_that_may_not_be_repeated,
       is_refused_when_its_send_does_not_start_after_sending_stops)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.stop_sending({core::result_code::shutting_down, false, 50ms});
    this->flow.on_send_ended(first, core::send_result::not_sent, this->now);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_EQ(refusal.code, core::result_code::shutting_down);
    EXPECT_FALSE(refusal.outcome_unknown);
}

// Guards against a caller that gets no answer at the end of a shutdown, and
// against one that is told "not run" about a request that runs.
TEST_F(a_request_that_may_not_be_repeated,
       ends_with_unknown_outcome_at_a_shortened_deadline)
{
    this->send_to(this->flow, "a");
    this->flow.shorten_deadline(this->now);
    this->next<core::action_cancel>(this->flow);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_EQ(refusal.code, core::result_code::server_timeout);
    EXPECT_TRUE(refusal.outcome_unknown);
}

class a_repeatable_request : public a_request
{
protected:
    core::request_flow flow{terms(true)};
};

// Guards against missing the objective because the first server hangs: a hedged
// request goes to a second server.
TEST_F(a_repeatable_request, is_hedged_when_the_first_send_is_overdue)
{
    const auto first = this->send_to(this->flow, "a");
    const auto wait = this->next<core::action_wait>(this->flow);
    EXPECT_EQ(wait.until, start + 500ms);
    this->now = wait.until;
    const auto place = this->next<core::action_place>(this->flow);
    EXPECT_TRUE(place.repeat);
    this->flow.on_placed(place.number, server("b"), this->now);
    const auto second = this->next<core::action_send>(this->flow);
    this->flow.on_send_ended(second.number, core::send_result::answered,
                             this->now);
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number,
              second.number);
}

// Guards against ending a request while its first send may still be answered,
// because the owner refuses a server for the hedged request.
TEST_F(a_repeatable_request,
       keeps_its_first_send_when_a_second_server_is_refused)
{
    const auto first = this->send_to(this->flow, "a");
    this->now += 500ms;
    const auto place = this->next<core::action_place>(this->flow);
    this->flow.on_placed(
        place.number, core::place_refused{core::result_code::server_shed, {}},
        this->now);
    this->next<core::action_wait>(this->flow);
    this->flow.on_send_ended(first, core::send_result::answered, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number, first);
}

// Guards against a busy loop until the server answers: the time for a hedged
// request has passed, no second send is allowed, and next() returns a wait time
// in the past.
TEST_F(a_repeatable_request,
       waits_until_the_deadline_when_it_may_not_be_sent_again)
{
    core::flow_terms request_terms = terms(true);
    request_terms.max_attempts = 1;
    core::request_flow one_attempt(request_terms);
    this->send_to(one_attempt, "a");
    this->now += 500ms;
    EXPECT_EQ(this->next<core::action_wait>(one_attempt).until,
              request_terms.deadline);

    this->now = start;
    request_terms = terms(true);
    request_terms.body_replayable = false;
    core::request_flow body_not_kept(request_terms);
    this->send_to(body_not_kept, "a");
    this->now += 500ms;
    EXPECT_EQ(this->next<core::action_wait>(body_not_kept).until,
              request_terms.deadline);
}

// Guards against cutting off an answer that is being streamed to the caller, by
// the deadline or by another send.
TEST_F(a_repeatable_request, cancels_other_sends_once_an_answer_is_streamed)
{
    const auto first = this->send_to(this->flow, "a");
    this->now += 500ms;
    const auto place = this->next<core::action_place>(this->flow);
    this->flow.on_placed(place.number, server("b"), this->now);
    const auto second = this->next<core::action_send>(this->flow);
    this->flow.on_answer_started(second.number);
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    this->now = start + 10s;
    this->next<core::action_wait>(this->flow);
    this->flow.on_send_ended(second.number, core::send_result::answered,
                             this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number,
              second.number);
}

// Guards against sends that continue after their caller has left.
TEST_F(a_repeatable_request, cancels_its_sends_when_the_caller_leaves)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_caller_gone();
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    this->next<core::action_abandon>(this->flow);
}

// Guards, over arbitrary sequences of events, against a second run of a request
// that may not be repeated, more runs than allowed, a refusal that says "not
// run" of a request that may have run, an answer of a cancelled attempt, more
// than one final answer, a request that never ends, and waiting for a time that
// has passed.
RC_GTEST_PROP(any_request, runs_within_its_limits_and_ends_once, ())
{
    const bool repeatable = *rc::gen::arbitrary<bool>();
    core::flow_terms request_terms = terms(repeatable);
    request_terms.max_attempts = *rc::gen::inRange(1U, 4U);
    request_terms.body_replayable = *rc::gen::arbitrary<bool>();
    core::request_flow flow(request_terms);
    core::time_point now = start;
    observations observed;
    std::set<core::attempt_number> placing;
    bool sending_stopped = false;
    for (int step = 0; step < 200 && !flow.is_over(); ++step)
    {
        const core::flow_action action = flow.next(now);
        RC_ASSERT(!sending_stopped ||
                  (!std::holds_alternative<core::action_place>(action) &&
                   !std::holds_alternative<core::action_send>(action)));
        if (const auto* place = std::get_if<core::action_place>(&action))
        {
            placing.insert(place->number);
            continue;
        }
        if (const auto* send = std::get_if<core::action_send>(&action))
        {
            observed.sending[send->number] = true;
            ++observed.ran;
            RC_ASSERT(repeatable || observed.ran <= 1U);
            RC_ASSERT(observed.ran <= request_terms.max_attempts);
            continue;
        }
        if (const auto* cancel = std::get_if<core::action_cancel>(&action))
        {
            observed.sending.erase(cancel->number);
            observed.cancelled.insert(cancel->number);
            placing.erase(cancel->number);
            continue;
        }
        if (const auto* answer = std::get_if<core::action_answer>(&action))
        {
            ++observed.final_answers;
            RC_ASSERT(!observed.cancelled.contains(answer->number));
            continue;
        }
        if (const auto* refusal = std::get_if<core::action_refuse>(&action))
        {
            ++observed.final_answers;
            RC_ASSERT(!says_not_run(*refusal) || observed.ran == 0U);
            continue;
        }
        if (std::holds_alternative<core::action_abandon>(action))
        {
            continue;
        }
        RC_ASSERT(std::get<core::action_wait>(action).until > now);
        // The request waits, so one event or the passing of time follows.
        const int event = *rc::gen::inRange(0, 20);
        if (event < 4 && !placing.empty())
        {
            const core::attempt_number number = *placing.begin();
            core::place_answer answer = server("s" + std::to_string(step));
            if (event == 0)
            {
                answer = core::place_refused{core::result_code::queue_full, {}};
            }
            if (event == 1)
            {
                answer = core::queued{};
            }
            else
            {
                placing.erase(number);
            }
            flow.on_placed(number, answer, now);
        }
        else if (event < 10 && !observed.sending.empty())
        {
            const core::attempt_number number = observed.sending.begin()->first;
            const auto end =
                static_cast<core::send_result>(*rc::gen::inRange(0, 5));
            if (end == core::send_result::not_run ||
                end == core::send_result::not_sent)
            {
                --observed.ran;
            }
            observed.sending.erase(number);
            flow.on_send_ended(number, end, now);
        }
        else if (event == 10)
        {
            flow.on_caller_gone();
        }
        else if (event == 11)
        {
            flow.stop_sending({core::result_code::shutting_down, false, {}});
            sending_stopped = true;
        }
        else
        {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 400));
        }
    }
    for (int step = 0; step < 20 && !flow.is_over(); ++step)
    {
        now = request_terms.deadline;
        const core::flow_action action = flow.next(now);
        observed.final_answers +=
            std::holds_alternative<core::action_answer>(action) ||
            std::holds_alternative<core::action_refuse>(action);
        if (const auto* refusal = std::get_if<core::action_refuse>(&action))
        {
            RC_ASSERT(!says_not_run(*refusal) || observed.ran == 0U);
        }
    }
    RC_ASSERT(flow.is_over());
    RC_ASSERT(observed.final_answers <= 1U);
}
