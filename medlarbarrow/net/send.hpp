/// One send of a request to one server. The answer is buffered until it is
/// complete, so that an incomplete one can be replaced by that of another send.
/// An answer too large to buffer is streamed to the caller.
#pragma once

#include <medlarbarrow/core/request_flow.hpp>
#include <medlarbarrow/net/answer_memory.hpp>
#include <medlarbarrow/net/caller.hpp>
#include <medlarbarrow/net/upstream.hpp>

namespace medlarbarrow::net
{

/// What the result of an attempt means for the request and for its server.
struct send_classification
{
    core::send_result end = core::send_result::lost;
    core::send_outcome outcome = core::send_outcome::cancelled;
};

/// Classifies the result of an attempt.
send_classification classify_send(const core::attempt_result& result);

/// Functions that a send calls. All are required.
struct send_callbacks
{
    /// Called before an answer is streamed to the caller. If it returns false,
    /// the answer is dropped.
    std::function<bool()> claim;
    /// Whether the server may still get the request.
    std::function<bool()> may_send;
    /// Called with the result up to the header of the answer.
    std::function<void(const core::attempt_result&)> on_answer_header;
};

/// Runs one attempt at a server and buffers its answer.
class send : public caller_channel
{
public:
    send(std::shared_ptr<caller_connection> caller,
         std::shared_ptr<answer_memory> memory,
         send_callbacks callbacks);

    asio::awaitable<core::attempt_result> run(upstream& servers,
                                              core::step_send step,
                                              checked_request request,
                                              trace::context span);

    /// Ends the send and closes the connection to the server.
    void cancel();

    /// Writes the buffered answer, unless it was streamed. False when the
    /// caller did not get a complete answer.
    asio::awaitable<bool> deliver();

    asio::awaitable<body_part> read_body(std::uint64_t position,
                                         const bool& stopped) override;
    void wake() override;
    asio::awaitable<bool> write_head(const answer_head& head,
                                     std::string_view part,
                                     bool last) override;
    asio::awaitable<bool> write_part(std::string_view part, bool last) override;
    bool is_gone() const override;
    bool may_send() const override;
    void on_answer_header(const core::attempt_result& result) override;

private:
    asio::awaitable<bool> buffer_part(std::string_view part, bool last);

    std::shared_ptr<caller_connection> caller;
    send_callbacks callbacks;
    answer_head head;
    std::string body;
    held_bytes held;
    bool streaming = false;
    bool cancelled = false;
};

} // namespace medlarbarrow::net
