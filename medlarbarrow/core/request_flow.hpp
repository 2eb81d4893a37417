/// What happens to one request after it is admitted: to which servers it is
/// sent, when once more, and which answer its caller gets. It knows whether a
/// server may have run the request, so that a refusal which says "not run" is
/// true and a request that may not be repeated runs at most once.
#pragma once

#include <medlarbarrow/core/placement.hpp>
#include <variant>

namespace medlarbarrow::core
{

struct flow_terms
{
    bool repeatable = false;
    bool body_kept = true;          ///< the body can be sent again
    std::uint32_t max_attempts = 2; ///< servers that may run it
    time_point objective_at{};
    time_point ends{}; ///< of the caller's deadline and the route's
};

using try_number = std::size_t;

/// Ask for a server.
struct action_place
{
    try_number number = 0;
    bool repeat = false; ///< a server has been sent the request before
    std::vector<std::string> excluded;
};

/// Send the request to the server.
struct action_send
{
    try_number number = 0;
    std::string server;
};

/// End this try: its placement or its send.
struct action_cancel
{
    try_number number = 0;
};

/// Pass this try's answer to the caller; the request is over.
struct action_answer
{
    try_number number = 0;
};

/// Refuse; the request is over.
struct action_refuse
{
    result_code code = result_code::queue_full;
    bool outcome_unknown = false;
    duration retry_after{};
};

/// The caller is gone; the request is over.
struct action_forget
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
                                 action_forget,
                                 action_wait>;

/// How a send ended.
enum class send_end
{
    answered, ///< whole, with success
    failed,   ///< whole, with an error of the server
    not_run,  ///< the server says that it did not run it
    not_sent, ///< no byte reached a server
    lost,     ///< may have run: reset, spoiled or no answer
};

/// For logs, for example "not_run".
const char* name_of(send_end end) noexcept;

class request_flow
{
public:
    explicit request_flow(const flow_terms& terms);

    /// The next thing to do; ask again until action_wait or the end.
    flow_action next(time_point now);

    void
    on_placed(try_number number, const place_answer& answer, time_point now);
    void on_sent(try_number number, send_end end, time_point now);

    /// The server's answer goes to the caller while it arrives: no other may.
    void on_answer_begun(try_number number);

    void on_caller_gone();

    bool is_over() const noexcept
    {
        return this->over;
    }

    /// Sends that may have run.
    std::uint32_t sends() const noexcept;

private:
    enum class phase
    {
        wanted,  ///< a server is to be asked for
        placing, ///< asked for
        placed,  ///< a server is known, not sent yet
        sending,
        ended
    };

    struct attempt
    {
        phase at = phase::wanted;
        bool repeat = false;
        std::string server;
        duration typical{};
        time_point again_at{}; ///< when a second send is worth its cost
        std::optional<send_end> end;
        bool cancelled = false;
    };

    std::optional<flow_action> cancel_others();
    flow_action finish(flow_action last);
    flow_action next_while_passing();
    bool may_send_again(time_point now) const;
    bool is_busy() const;
    void want_another();
    std::optional<try_number> find(phase at) const;
    std::optional<try_number> answer_of(send_end end) const;
    std::optional<flow_action> next_step(time_point now);
    flow_action conclude();
    void consider_second_send(time_point now);
    time_point wake_at(time_point now) const;

    flow_terms terms;
    std::vector<attempt> attempts;
    std::vector<std::string> excluded;
    std::optional<try_number> passing; ///< its answer goes to the caller
    std::optional<action_refuse> refusal;
    duration typical{};
    bool caller_gone = false;
    bool no_more = false; ///< no further server is to be had
    bool over = false;
    std::uint32_t untaken = 0; ///< sends that did not run
};

} // namespace medlarbarrow::core
