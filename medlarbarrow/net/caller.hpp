/// Connection of one caller. Reads into a bounded input buffer whenever that
/// has room, decodes request bodies from it, and writes answers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <medlarbarrow/core/body_budget.hpp>
#include <medlarbarrow/net/upstream.hpp>
#include <variant>

namespace medlarbarrow::net
{

/// Time after which a caller may send a request again that was refused for lack
/// of memory.
constexpr std::chrono::milliseconds memory_retry_after{1000};

/// Socket with or without TLS that has the stream interface of Asio.
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
                    [&](auto& active_stream)
                    {
                        active_stream.async_read_some(
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
                    [&](auto& active_stream)
                    {
                        active_stream.async_write_some(
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

/// Outcome of reading a request header.
enum class head_status
{
    complete,
    closed, ///< no request: caller gone, idle for too long, or draining
    too_large,
    timed_out, ///< only part of the header arrived in time
    malformed,
    no_memory ///< refused or ended by the budget of all connections
};

/// Reads one caller's requests and writes the answers, one after the other.
/// Must be owned by a shared pointer, since a read may be outstanding at any
/// time.
class caller_connection : public caller_channel, private core::body_holder
{
public:
    /// `client` is the address whose share of the budget the connection uses.
    /// Without a budget the memory is not limited.
    caller_connection(caller_stream&& accepted,
                      const config::entry_bounds& limits,
                      std::shared_ptr<core::body_budget> budget = nullptr,
                      const std::string& client = {});

    /// Does the TLS handshake, if TLS is used, within the header timeout. False
    /// when it failed.
    asio::awaitable<bool> handshake();

    /// Waits for the next request and parses its header.
    asio::awaitable<head_status> read_head();

    const http::request_header<>& header() const;

    /// Reads the first `count` bytes of the body, or all of a shorter one.
    /// False when the body is malformed, too slow, refused for lack of memory
    /// or cut off by a caller that left.
    asio::awaitable<bool> prefetch(std::size_t count);

    /// Leading part of the body that is buffered for another attempt.
    std::string_view buffered_body() const
    {
        return this->replay_body;
    }

    /// The copy of the body must stay until it has been read again: another
    /// attempt will send it.
    void pin_copy();

    /// From now on nothing of the body is kept that has been sent.
    void keep_no_copy()
    {
        this->keeps_copy = false;
    }

    /// Makes a body of more than `bytes` bytes a failure.
    void limit_body(std::uint64_t bytes)
    {
        this->body_limit = bytes;
    }

    bool is_body_complete() const;

    /// True while the body can be sent again from its start.
    bool is_replayable() const
    {
        return this->replayable;
    }

    bool is_body_too_large() const
    {
        return this->body_bytes_received > this->body_limit;
    }

    bool is_body_malformed() const
    {
        return this->body_failed;
    }

    /// True when the budget of all connections has refused or ended the
    /// request.
    bool is_memory_refused() const
    {
        return this->memory_refused;
    }

    /// Writes `text` unchanged. False when the caller is gone.
    asio::awaitable<bool> write(std::string_view text);

    /// Makes the next answer to be written the last one on this connection.
    void close_after_answer()
    {
        this->closes_after_answer = true;
    }

    bool is_closing() const
    {
        return this->closes_after_answer;
    }

    /// Closes the connection once it has been idle for the grace time. Answers
    /// from now on carry "Connection: close".
    void drain();

    /// From now on a request that has arrived only in part counts as timed out.
    void expire_reading();

    /// True after part of an answer has been written.
    bool has_answer_started() const
    {
        return this->answer_started;
    }

    bool is_answer_complete() const
    {
        return this->answer_complete;
    }

    bool is_writing() const
    {
        return this->writing;
    }

    /// Bytes of answers that the caller's machine has acknowledged. Without TLS
    /// only.
    std::uint64_t bytes_taken();

    unsigned answer_status() const
    {
        return this->status;
    }

    /// Ends the connection with a TCP reset, so that the caller cannot take an
    /// incomplete answer for a complete one.
    void reset();

    /// Ends the connection. Gives the caller time to read what was written.
    asio::awaitable<void> close();

    /// Waits until bytes arrive, the caller disconnects, wake() is called or
    /// `deadline` passes.
    asio::awaitable<void> wait_until(core::time_point deadline)
    {
        return this->changed.wait_until(deadline);
    }

    /// Time when the latest request ended or the connection was opened. Empty
    /// during a request and when bytes of the next request have arrived.
    std::optional<core::time_point> idle_since();

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

    static constexpr std::size_t read_buffer_bytes = 8192;

    /// Input that is buffered while the body is decoded from it: one part to
    /// decode while the next one is read.
    static constexpr std::size_t body_input_bytes = 2 * read_buffer_bytes;

    bool is_idle() override;
    void evict() override;
    void end_stopped() override;
    void drop_copy() override;
    std::size_t buffer_bytes() const;
    bool hold_memory();
    bool hold_memory(std::size_t more_bytes);
    bool hold_header(std::string_view text);
    void refuse_for_memory();
    void release_buffers();
    void release_request_buffers();
    bool reserve_streaming_buffers();
    std::size_t max_decode_bytes() const;
    bool grow_decode_buffer(std::size_t bytes);
    bool grow_replay_body(std::size_t bytes);
    bool store_input(std::size_t count);
    std::size_t input_limit() const;
    std::shared_ptr<caller_connection> shared_self();
    bool has_room_to_read() const;
    void start_read();
    void on_read(boost::system::error_code failure, std::size_t count);
    core::time_point idle_deadline() const;
    std::string_view buffered() const;
    head_status parse_head(std::size_t length);
    std::string_view decode();
    bool decode_input();
    asio::awaitable<bool> wait_for_body();
    void store_for_replay(std::string_view part);
    asio::awaitable<bool>
    write_buffers(const std::array<asio::const_buffer, 4>& buffers);
    std::string format_header(const answer_head& head);
    void start_operation_timer(core::duration limit);
    void stop_operation_timer();
    void close_socket();

    config::entry_bounds bounds;
    core::body_account account;
    caller_stream stream;
    signal changed;
    asio::steady_timer operation_timer;
    std::uint64_t operation_number = 0;

    boost::beast::flat_buffer input;
    /// Buffer of the outstanding read. Reading directly into `input` is unsafe:
    /// consuming from it meanwhile would move the prepared memory.
    std::vector<char> read_buffer;
    bool reading = false;
    bool read_ended = false; ///< end of stream or an error
    bool closed = false;
    bool draining = false;
    bool reading_expired = false;
    bool closes_after_answer = false;
    std::optional<core::time_point> idle_start;

    std::optional<parser_type> parser;
    std::string replay_body; ///< body from its start while `replayable`
    std::unique_ptr<char[]> decode_buffer;
    std::size_t decode_buffer_bytes = 0;
    std::size_t header_bytes = 0; ///< that the parsed header takes
    bool replayable = true;
    bool keeps_copy = true;          ///< of a body that is being sent
    bool is_streaming = false;       ///< part of the body has gone to a server
    bool needs_longer_input = false; ///< the parser cannot use what there is
    bool memory_refused = false;
    bool ended_by_budget = false;    ///< while it had stopped
    bool in_handshake = false;       ///< of TLS
    std::size_t discarded_bytes = 0; ///< arrived after a refusal
    bool body_failed = false;
    std::uint64_t body_bytes_received = 0;
    std::uint64_t body_limit = 0;
    /// Time spent waiting for the body since `body_bytes_at_wait` bytes of it
    /// had arrived.
    core::duration body_wait{};
    std::uint64_t body_bytes_at_wait = 0;

    bool answer_started = false;
    bool answer_complete = false;
    bool answer_chunked = false;
    unsigned status = 0;
    bool writing = false;
    std::uint64_t written_bytes = 0;
};

} // namespace medlarbarrow::net
