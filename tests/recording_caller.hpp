/// A caller for tests of attempts to send requests to servers.
#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <string>

namespace medlarbarrow::tests
{

namespace asio = boost::asio;

/// A caller whose request has no body. Records the answer that it receives.
class recording_caller : public net::caller_channel
{
public:
    asio::awaitable<net::body_part> read_body(std::uint64_t,
                                              const bool&) override
    {
        co_return net::body_part{{}, true, false};
    }

    void wake() override {}

    asio::awaitable<bool> write_head(const net::answer_head& head,
                                     std::string_view part,
                                     bool last) override
    {
        this->status = head.status;
        this->lines = head.lines;
        const bool written = co_await this->write_part(part, last);
        co_return written;
    }

    asio::awaitable<bool> write_part(std::string_view part, bool last) override
    {
        if (this->body.size() < max_recorded_bytes)
        {
            this->body += part;
        }
        this->complete = last;
        co_return !this->fails_writes;
    }

    bool is_gone() const override
    {
        return false;
    }

    bool may_send() const override
    {
        return this->sending_allowed;
    }

    void on_answer_header(const core::attempt_result& result) override
    {
        this->stated = result;
        this->stated_first = this->status == 0;
    }

    /// Tells the attempt that the caller has disconnected.
    void disconnect()
    {
        if (const auto callback = this->on_disconnect)
        {
            callback();
        }
    }

    /// Later parts of an answer are not kept.
    static constexpr std::size_t max_recorded_bytes = 1U << 20U;

    unsigned status = 0;
    net::header_lines lines;
    std::string body;
    bool complete = false;
    bool fails_writes = false; ///< every write reports a gone caller
    bool sending_allowed = true;
    std::optional<core::attempt_result> stated; ///< by the answer's header
    bool stated_first = false; ///< before anything was passed on
};

/// An attempt that runs on an event loop. Must exist until it has ended.
class running_attempt
{
public:
    running_attempt(asio::io_context& io,
                    net::upstream& servers,
                    const core::step_send& attempt_step,
                    const net::checked_request& attempt_request,
                    std::shared_ptr<recording_caller> attempt_caller =
                        std::make_shared<recording_caller>())
        : caller(std::move(attempt_caller)), step(attempt_step),
          request(attempt_request)
    {
        asio::co_spawn(io, this->run(servers), asio::detached);
    }

    running_attempt(const running_attempt&) = delete;
    running_attempt& operator=(const running_attempt&) = delete;

    std::shared_ptr<recording_caller> caller;
    std::optional<core::attempt_result> result; ///< once it has ended

private:
    asio::awaitable<void> run(net::upstream& servers)
    {
        // An attempt that a failed test leaves behind still refers to it.
        const std::shared_ptr<recording_caller> held = this->caller;
        this->result = co_await servers.attempt(this->step, this->request,
                                                net::trace::context{}, *held);
    }

    core::step_send step;
    net::checked_request request;
};

} // namespace medlarbarrow::tests
