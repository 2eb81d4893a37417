/// One send of a request to one server. The answer is held back until it is
/// whole, so that a spoiled one can be replaced; one too large for that passes
/// to the caller while it arrives.
#pragma once

#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/upstream.hpp>

namespace medlarbarrow::net
{

/// What the end of an attempt means for the request and for its server.
struct send_verdict
{
    core::send_result end = core::send_result::lost;
    core::send_outcome outcome = core::send_outcome::cancelled;
};

send_verdict judge_send(const core::attempt_result& result);

class send : public caller_port
{
public:
    /// `claim` is called before an answer passes to the caller early; when it
    /// returns false the answer is dropped.
    send(std::shared_ptr<caller_connection> caller,
         std::function<bool()> claim);

    asio::awaitable<core::attempt_result> run(upstream& servers,
                                              core::step_send step,
                                              checked_request request,
                                              trace::context span);

    /// Ends the send; the server's connection is closed.
    void cancel();

    /// Writes the answer that is held, if it has not been passed on.
    asio::awaitable<bool> deliver();

    asio::awaitable<body_part> read_body(std::uint64_t position,
                                         const bool& stopped) override;
    void wake() override;
    asio::awaitable<bool> write_head(const answer_head& head,
                                     std::string_view part,
                                     bool last) override;
    asio::awaitable<bool> write_part(std::string_view part, bool last) override;
    bool is_gone() const override;

private:
    asio::awaitable<bool> keep(std::string_view part, bool last);

    std::shared_ptr<caller_connection> caller;
    std::function<bool()> claim;
    answer_head head;
    std::string body;
    bool passing = false;
    bool cancelled = false;
};

} // namespace medlarbarrow::net
