#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>
#include <medlarbarrow/net/http_connection.hpp>
#include <medlarbarrow/net/socket_state.hpp>

namespace medlarbarrow::net
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using core::result_code;

namespace
{

constexpr unsigned http_version = 11;

/// Bytes of an answer that may wait to be parsed. The parser keeps a line until
/// its end has come, and has no limit for the lines between chunks.
constexpr std::size_t max_unparsed_bytes = 128U << 10U;

/// True when the server answered, but not with valid HTTP of allowed size.
bool is_bad_answer(const boost::system::error_code& error)
{
    return error == http::error::body_limit ||
           error == http::error::header_limit ||
           error == http::error::buffer_overflow ||
           error == http::error::bad_version ||
           error == http::error::bad_status;
}

} // namespace

http_connection::http_connection(asio::io_context& context,
                                 asio::ip::tcp::endpoint target,
                                 std::string host_name)
    : stream(context), buffer(max_unparsed_bytes), endpoint(std::move(target)),
      host(std::move(host_name))
{
}

void http_connection::get(std::string path,
                          std::chrono::milliseconds limit,
                          std::size_t max_body_bytes,
                          answer_handler on_answer)
{
    asio::co_spawn(this->stream.get_executor(),
                   this->exchange(std::move(path), limit, max_body_bytes,
                                  std::move(on_answer)),
                   asio::detached);
}

asio::awaitable<void> http_connection::exchange(std::string path,
                                                std::chrono::milliseconds limit,
                                                std::size_t max_body_bytes,
                                                answer_handler on_answer)
{
    boost::system::error_code error;
    auto token = asio::redirect_error(asio::use_awaitable, error);
    http::request<http::empty_body> request(http::verb::get, path,
                                            http_version);
    request.set(http::field::host, this->host);
    this->close_unless_silent();
    for (bool reused = this->connected;; reused = false)
    {
        error = {};
        this->stream.expires_after(limit);
        if (!this->connected)
        {
            this->buffer.clear();
            co_await this->stream.async_connect(this->endpoint, token);
            this->connected = !error;
        }
        if (!error)
        {
            co_await http::async_write(this->stream, request, token);
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        if (!error)
        {
            co_await http::async_read(this->stream, this->buffer, parser,
                                      token);
        }
        if (!error && !this->cancelled)
        {
            on_answer(this->take_answer(parser.release()));
            co_return;
        }
        this->close();
        if (is_bad_answer(error))
        {
            on_answer(make_error_code(result_code::platform_bad_answer));
            co_return;
        }
        if (!reused || this->cancelled)
        {
            on_answer(make_error_code(result_code::platform_unreachable));
            co_return;
        }
    }
}

// Converts the answer. Closes the connection if the server will do so.
http_answer
http_connection::take_answer(http::response<http::string_body>&& message)
{
    if (!message.keep_alive())
    {
        this->close();
    }
    return {message.result_int(), std::move(message.body()),
            std::move(message.base())};
}

void http_connection::cancel()
{
    this->cancelled = true;
    this->close();
}

void http_connection::allow()
{
    this->cancelled = false;
}

// Closes a connection on which the server has sent something after its last
// answer. It would be taken for the answer to the next request.
void http_connection::close_unless_silent()
{
    if (this->connected && (this->buffer.size() > 0 ||
                            !is_open_without_input(this->stream.socket())))
    {
        this->close();
    }
}

void http_connection::close()
{
    this->connected = false;
    this->stream.close();
}

} // namespace medlarbarrow::net
