/// What happens to one request after it is admitted: which servers it is sent
/// to, when it is sent again, and which answer its caller gets. The state
/// machine tracks whether a server may have run the request. A refusal that
/// says "not run" is therefore true, and a request that may not be repeated
/// runs at most once.
#pragma once

#include <medlarbarrow/core/placement.hpp>
#include <variant>

namespace medlarbarrow::core
{

/// The rules and times of one request.
struct flow_terms
{
    bool repeatable = false;
    bool body_replayable = true;    ///< the body can be sent again
    std::uint32_t max_attempts = 2; ///< sends that may run it
    time_point objective_at{};
    time_point deadline{}; ///< the earlier deadline of the caller and the route
};

/// Index of an attempt of the request: one placement and its send.
using attempt_number = std::size_t;

/// Ask the owner for a server.
struct action_place
{
    attempt_number number = 0;
    bool repeat = false; ///< the request has been sent to a server before
    std::vector<std::string> excluded_servers;
};

/// Send the request to the server.
struct action_send
{
    attempt_number number = 0;
    std::string server;
};

/// Cancel the placement or the send of this attempt.
struct action_cancel
{
    attempt_number number = 0;
};

/// Pass this attempt's answer to the caller; the request is over.
struct action_answer
{
    attempt_number number = 0;
};

/// Refuse; the request is over.
struct action_refuse
{
    result_code code = result_code::queue_full;
    bool outcome_unknown = false; ///< a server may have run the request
    duration retry_after{};
};

/// The caller has disconnected; the request is over.
struct action_abandon
{
};

/// Nothing to do before this time or the next event.
struct action_wait
{
    time_point until{};
};

using flow_action = std::variant<action_place,
                                 action_send,
                                 action_cancel,
                                 action_answer,
                                 action_refuse,
                                 action_abandon,
                                 action_wait>;

/// How a send ended.
enum class send_result
{
    answered, ///< complete answer with success
    failed,   ///< complete answer with an error of the server
    not_run,  ///< the server says that it did not run the request
    not_sent, ///< no byte reached a server
    lost,     ///< may have run: reset, malformed answer or no answer
};

/// Name for logs, for example "not_run".
const char* name_of(send_result end) noexcept;

/// State machine of one request. It performs no I/O: the caller of next() does
/// what the returned action says and reports each event through the on_...()
/// functions. Repeatable work may have a hedged request: a second send while
/// the first is still unanswered. The first success becomes the answer and the
/// other attempts are cancelled.
class request_flow
{
public:
    explicit request_flow(const flow_terms& terms);

    /// Returns the next action; call it again until it returns action_wait or
    /// the request is over.
    flow_action next(time_point now);

    void on_placed(attempt_number number,
                   const place_answer& answer,
                   time_point now);
    void on_send_ended(attempt_number number, send_result end, time_point now);

    /// The answer of this attempt is streamed to the caller from here on; no
    /// other answer may be passed any more.
    void on_answer_started(attempt_number number);

    void on_caller_gone();

    /// No server may get the request any more. It is refused with `reason`,
    /// unless a server works on it already.
    void stop_sending(const action_refuse& reason);

    /// Moves the deadline forward to this time.
    void shorten_deadline(time_point deadline);

    bool is_over() const noexcept
    {
        return this->over;
    }

    /// Number of sends that may have run.
    std::uint32_t sends() const noexcept;

private:
    enum class attempt_state
    {
        unplaced, ///< the owner has not been asked for a server
        placing,  ///< the owner has been asked
        placed,   ///< a server has been granted, the send has not begun
        sending,
        ended
    };

    struct attempt
    {
        attempt_state state = attempt_state::unplaced;
        bool repeat = false;
        std::string server;
        duration typical{};
        time_point hedge_at{}; ///< when a hedged request is worth its cost
        std::optional<send_result> result;
        bool cancelled = false;
    };

    std::optional<flow_action> cancel_other_attempts();
    std::optional<flow_action> cancel_unsent_attempts();
    flow_action finish(flow_action final_action);
    flow_action next_while_streaming();
    bool may_send_again(time_point now) const;
    bool has_open_attempt() const;
    void add_attempt();
    std::optional<attempt_number> find_in_state(attempt_state state) const;
    std::optional<attempt_number> find_with_result(send_result result) const;
    std::optional<flow_action> next_step(time_point now);
    flow_action outcome_of_attempts();
    void hedge_if_due(time_point now);
    time_point wake_up_time(time_point now) const;

    flow_terms terms;
    std::vector<attempt> attempts;
    std::vector<std::string> excluded;
    std::optional<attempt_number> streaming; ///< its answer goes to the caller
    std::optional<action_refuse> refusal;
    duration typical{};
    bool caller_gone = false;
    bool placement_refused = false; ///< the owner grants no further server
    bool sending_stopped = false;   ///< no server may get the request
    bool over = false;
    std::uint32_t sends_not_run = 0;
};

} // namespace medlarbarrow::core
