/// One caller's connection: a bounded input buffer that is filled whenever it
/// has room, the request body decoded from it, and answers written to it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <variant>

namespace medlarbarrow::net
{

/// Socket with or without TLS, behind the stream interface of Asio.
class caller_stream
{
public:
    using socket_type = asio::ip::tcp::socket;
    using tls_type = asio::ssl::stream<socket_type>;
    using executor_type = socket_type::executor_type;

    caller_stream(socket_type&& socket, asio::ssl::context* tls);

    executor_type get_executor()
    {
        return this->socket().get_executor();
    }

    socket_type& socket();

    /// Null without TLS.
    tls_type* tls()
    {
        return std::get_if<tls_type>(&this->stream);
    }

    template <class Buffers, class Token>
    auto async_read_some(const Buffers& buffers, Token&& token)
    {
        return asio::async_initiate<Token, signature>(
            [this](auto&& handler, const Buffers& target)
            {
                std::visit(
                    [&](auto& chosen)
                    {
                        chosen.async_read_some(
                            target, std::forward<decltype(handler)>(handler));
                    },
                    this->stream);
            },
            token, buffers);
    }

    template <class Buffers, class Token>
    auto async_write_some(const Buffers& buffers, Token&& token)
    {
        return asio::async_initiate<Token, signature>(
            [this](auto&& handler, const Buffers& source)
            {
                std::visit(
                    [&](auto& chosen)
                    {
                        chosen.async_write_some(
                            source, std::forward<decltype(handler)>(handler));
                    },
                    this->stream);
            },
            token, buffers);
    }

private:
    using signature = void(boost::system::error_code, std::size_t);
    std::variant<socket_type, tls_type> stream;
};

enum class head_status
{
    complete,
    closed, ///< no request: the caller left, was idle too long, or is drained
    too_large,
    timed_out, ///< part of a header came, the rest did not in time
    malformed
};

/// Must be owned by a shared pointer: a read may be outstanding at any time.
class caller_connection : public caller_port
{
public:
    caller_connection(caller_stream&& accepted,
                      const config::entry_bounds& limits);

    /// TLS handshake, when there is TLS, within the header timeout.
    asio::awaitable<bool> handshake();

    /// Waits for the next request and parses its header.
    asio::awaitable<head_status> read_head();

    const http::request_header<>& header() const;

    /// Reads the first `count` bytes of the body, or all of it. False when it
    /// is malformed or does not come in time.
    asio::awaitable<bool> prefetch(std::size_t count);

    /// What is buffered of the body from its start.
    std::string_view buffered_body() const
    {
        return this->kept;
    }

    /// A body beyond this many bytes is a failure.
    void limit_body(std::uint64_t bytes)
    {
        this->body_limit = bytes;
    }

    bool is_body_whole() const;

    /// True while the body can be sent again from its start.
    bool is_replayable() const
    {
        return this->keeping;
    }

    bool is_body_too_large() const
    {
        return this->received > this->body_limit;
    }

    bool is_body_malformed() const
    {
        return this->body_failed;
    }

    /// Writes bytes as they are. False when the caller is gone.
    asio::awaitable<bool> write(std::string_view text);

    /// The answer about to be written is the last on this connection.
    void close_after_answer()
    {
        this->closing = true;
    }

    bool is_closing() const
    {
        return this->closing;
    }

    /// From now on idle connections end and answers say so.
    void drain();

    /// True after part of an answer has been written.
    bool has_answer_begun() const
    {
        return this->answer_begun;
    }

    bool is_answer_whole() const
    {
        return this->answer_ended;
    }

    unsigned answered_status() const
    {
        return this->status;
    }

    /// Ends the connection with a reset, so that an answer that is not whole
    /// cannot be taken for a whole one.
    void reset();

    /// Ends the connection after what has been written is delivered.
    asio::awaitable<void> close();

    /// Waits until something arrives, the caller goes or `deadline` passes.
    asio::awaitable<void> wait_until(core::time_point deadline)
    {
        return this->changed.wait_until(deadline);
    }

    /// Idle since the end of the newest request; nothing during a request and
    /// when bytes of the next one have arrived.
    std::optional<core::time_point> idle_since();

    /// Ends an idle connection to make room for another one.
    void evict();

    asio::awaitable<body_part> read_body(std::uint64_t position,
                                         const bool& stopped) override;
    void wake() override;
    asio::awaitable<bool> write_head(const answer_head& head,
                                     std::string_view part,
                                     bool last) override;
    asio::awaitable<bool> write_part(std::string_view part, bool last) override;
    bool is_gone() const override;

private:
    using parser_type = http::request_parser<http::buffer_body>;

    std::shared_ptr<caller_connection> shared_self();
    void fill();
    void on_read(boost::system::error_code failure, std::size_t count);
    core::time_point idle_deadline() const;
    std::string_view buffered() const;
    head_status parse_head(std::size_t length);
    std::string_view decode();
    void keep(std::string_view part);
    asio::awaitable<bool>
    write_buffers(const std::array<asio::const_buffer, 4>& buffers);
    std::string head_text(const answer_head& head);
    void guard(core::duration limit);
    void end_guard();
    void close_socket();

    config::entry_bounds bounds;
    caller_stream stream;
    signal changed;
    asio::steady_timer guard_timer;
    std::uint64_t guard_number = 0;

    boost::beast::flat_buffer input;
    /// Target of the outstanding read. `input` may be consumed meanwhile,
    /// which would move memory that it has prepared.
    std::vector<char> landing;
    bool reading = false;
    bool read_ended = false; ///< end of stream or an error
    bool closed = false;
    bool draining = false;
    bool closing = false;
    std::optional<core::time_point> idle;

    std::optional<parser_type> parser;
    std::string kept; ///< body from its start while `keeping`
    std::vector<char> chunk;
    bool keeping = true;
    bool body_failed = false;
    std::uint64_t received = 0;
    std::uint64_t body_limit = 0;

    bool answer_begun = false;
    bool answer_ended = false;
    bool answer_chunked = false;
    unsigned status = 0;
};

} // namespace medlarbarrow::net
