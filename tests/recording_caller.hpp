/// A caller for tests of attempts to send requests to servers.
#pragma once

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

} // namespace medlarbarrow::tests
