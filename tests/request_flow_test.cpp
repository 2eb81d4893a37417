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
    core::flow_terms made;
    made.repeatable = repeatable;
    made.objective_at = start + 800ms;
    made.ends = start + 2500ms;
    return made;
}

core::placed server(const std::string& name)
{
    return {name, 200ms, 500ms};
}

/// What a server and the caller have seen of one request under an arbitrary
/// order of events. `ran` counts the servers that may have run it.
struct observer
{
    std::map<core::try_number, bool> sending;
    unsigned ran = 0;
    unsigned final_answers = 0;
    bool said_not_run = false;
    bool answered_by_cancelled = false;
    std::set<core::try_number> cancelled;
};

bool is_not_run_status(const core::action_refuse& refusal)
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

    /// Asks for a server, gets `name` and begins to send.
    core::try_number send_to(core::request_flow& flow, const std::string& name)
    {
        const auto place = this->next<core::action_place>(flow);
        flow.on_placed(place.number, server(name), this->now);
        const auto sent = this->next<core::action_send>(flow);
        EXPECT_EQ(sent.server, name);
        return sent.number;
    }

    core::time_point now = start;
};

class a_request_that_may_not_be_repeated : public a_request
{
protected:
    core::request_flow flow{terms(false)};
};

// Guards against a second run of an order whose first outcome is unknown.
TEST_F(a_request_that_may_not_be_repeated, is_not_sent_again_after_a_loss)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_sent(first, core::send_end::lost, this->now);
    const auto refusal = this->next<core::action_refuse>(this->flow);
    EXPECT_TRUE(refusal.outcome_unknown);
    EXPECT_TRUE(this->flow.is_over());
}

// Guards against giving up an order that no server has run.
TEST_F(a_request_that_may_not_be_repeated, goes_elsewhere_when_it_did_not_run)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_sent(first, core::send_end::not_run, this->now);
    const auto place = this->next<core::action_place>(this->flow);
    EXPECT_TRUE(place.repeat);
    EXPECT_EQ(place.excluded, std::vector<std::string>{"a"});
}

// Guards against counting a failed connection as a repeat of the request.
TEST_F(a_request_that_may_not_be_repeated, is_no_repeat_after_a_failed_connect)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_sent(first, core::send_end::not_sent, this->now);
    EXPECT_FALSE(this->next<core::action_place>(this->flow).repeat);
}

// Guards against a second send while the first still runs.
TEST_F(a_request_that_may_not_be_repeated, waits_for_its_one_send_to_the_end)
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

// Guards against hiding the server's own error from the caller.
TEST_F(a_request_that_may_not_be_repeated, passes_the_servers_error_on)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_sent(first, core::send_end::failed, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number, first);
}

class a_repeatable_request : public a_request
{
protected:
    core::request_flow flow{terms(true)};
};

// Guards against losing the objective to a server that hangs.
TEST_F(a_repeatable_request, is_sent_a_second_time_when_the_first_is_overdue)
{
    const auto first = this->send_to(this->flow, "a");
    const auto wait = this->next<core::action_wait>(this->flow);
    EXPECT_EQ(wait.until, start + 500ms);
    this->now = wait.until;
    const auto place = this->next<core::action_place>(this->flow);
    EXPECT_TRUE(place.repeat);
    this->flow.on_placed(place.number, server("b"), this->now);
    const auto second = this->next<core::action_send>(this->flow);
    this->flow.on_sent(second.number, core::send_end::answered, this->now);
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number,
              second.number);
}

// Guards against ending a request while its first send may still answer.
TEST_F(a_repeatable_request, keeps_its_first_send_when_no_second_is_to_be_had)
{
    const auto first = this->send_to(this->flow, "a");
    this->now += 500ms;
    const auto place = this->next<core::action_place>(this->flow);
    this->flow.on_placed(
        place.number, core::place_refused{core::result_code::server_shed, {}},
        this->now);
    this->next<core::action_wait>(this->flow);
    this->flow.on_sent(first, core::send_end::answered, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number, first);
}

// Guards against a processor that spins until the server answers, because the
// time for a second send has passed and none is allowed.
TEST_F(a_repeatable_request, sleeps_to_its_end_when_it_may_not_be_sent_again)
{
    core::flow_terms chosen = terms(true);
    chosen.max_attempts = 1;
    core::request_flow once(chosen);
    this->send_to(once, "a");
    this->now += 500ms;
    EXPECT_EQ(this->next<core::action_wait>(once).until, chosen.ends);

    this->now = start;
    chosen = terms(true);
    chosen.body_kept = false;
    core::request_flow large(chosen);
    this->send_to(large, "a");
    this->now += 500ms;
    EXPECT_EQ(this->next<core::action_wait>(large).until, chosen.ends);
}

// Guards against cutting an answer that is on its way to the caller.
TEST_F(a_repeatable_request, ends_other_sends_once_an_answer_passes)
{
    const auto first = this->send_to(this->flow, "a");
    this->now += 500ms;
    const auto place = this->next<core::action_place>(this->flow);
    this->flow.on_placed(place.number, server("b"), this->now);
    const auto second = this->next<core::action_send>(this->flow);
    this->flow.on_answer_begun(second.number);
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    this->now = start + 10s;
    this->next<core::action_wait>(this->flow);
    this->flow.on_sent(second.number, core::send_end::answered, this->now);
    EXPECT_EQ(this->next<core::action_answer>(this->flow).number,
              second.number);
}

// Guards against work that goes on after its caller has left.
TEST_F(a_repeatable_request, ends_its_sends_when_the_caller_leaves)
{
    const auto first = this->send_to(this->flow, "a");
    this->flow.on_caller_gone();
    EXPECT_EQ(this->next<core::action_cancel>(this->flow).number, first);
    this->next<core::action_forget>(this->flow);
}

// Guards, over arbitrary orders of events, against a second run of a request
// that may not be repeated, more runs than allowed, a refusal that says "not
// run" of a request that may have run, more or fewer than one final answer, and
// waiting for a time that has passed.
RC_GTEST_PROP(any_request, keeps_its_promises, ())
{
    const bool repeatable = *rc::gen::arbitrary<bool>();
    core::flow_terms chosen = terms(repeatable);
    chosen.max_attempts = *rc::gen::inRange(1U, 4U);
    chosen.body_kept = *rc::gen::arbitrary<bool>();
    core::request_flow flow(chosen);
    core::time_point now = start;
    observer seen;
    std::set<core::try_number> placing;
    for (int step = 0; step < 200 && !flow.is_over(); ++step)
    {
        const core::flow_action action = flow.next(now);
        if (const auto* place = std::get_if<core::action_place>(&action))
        {
            placing.insert(place->number);
            continue;
        }
        if (const auto* sent = std::get_if<core::action_send>(&action))
        {
            seen.sending[sent->number] = true;
            ++seen.ran;
            RC_ASSERT(repeatable || seen.ran <= 1U);
            RC_ASSERT(seen.ran <= chosen.max_attempts);
            continue;
        }
        if (const auto* ended = std::get_if<core::action_cancel>(&action))
        {
            seen.sending.erase(ended->number);
            seen.cancelled.insert(ended->number);
            placing.erase(ended->number);
            continue;
        }
        if (const auto* answer = std::get_if<core::action_answer>(&action))
        {
            ++seen.final_answers;
            RC_ASSERT(!seen.cancelled.contains(answer->number));
            continue;
        }
        if (const auto* refusal = std::get_if<core::action_refuse>(&action))
        {
            ++seen.final_answers;
            RC_ASSERT(!is_not_run_status(*refusal) || seen.ran == 0U);
            continue;
        }
        if (std::holds_alternative<core::action_forget>(action))
        {
            continue;
        }
        RC_ASSERT(std::get<core::action_wait>(action).until > now);
        // Waiting: something happens.
        const int event = *rc::gen::inRange(0, 20);
        if (event < 4 && !placing.empty())
        {
            const core::try_number number = *placing.begin();
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
        else if (event < 10 && !seen.sending.empty())
        {
            const core::try_number number = seen.sending.begin()->first;
            const auto end =
                static_cast<core::send_end>(*rc::gen::inRange(0, 5));
            if (end == core::send_end::not_run ||
                end == core::send_end::not_sent)
            {
                --seen.ran;
            }
            seen.sending.erase(number);
            flow.on_sent(number, end, now);
        }
        else if (event == 10)
        {
            flow.on_caller_gone();
        }
        else
        {
            now += std::chrono::milliseconds(*rc::gen::inRange(1, 400));
        }
    }
    for (int step = 0; step < 20 && !flow.is_over(); ++step)
    {
        now = chosen.ends;
        const core::flow_action action = flow.next(now);
        seen.final_answers +=
            std::holds_alternative<core::action_answer>(action) ||
            std::holds_alternative<core::action_refuse>(action);
        if (const auto* refusal = std::get_if<core::action_refuse>(&action))
        {
            RC_ASSERT(!is_not_run_status(*refusal) || seen.ran == 0U);
        }
    }
    RC_ASSERT(flow.is_over());
    RC_ASSERT(seen.final_answers <= 1U);
}
