/// HTTP client for one server over one persistent connection.
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/core/types.hpp>
#include <string>

namespace medlarbarrow::net
{

/// Status, body and header fields of an HTTP answer.
struct http_answer
{
    unsigned status = 0;
    std::string body;
    boost::beast::http::fields fields{};
};

/// Sends GET requests, one at a time, and opens the connection when needed.
class http_connection
{
public:
    http_connection(boost::asio::io_context& context,
                    boost::asio::ip::tcp::endpoint target,
                    std::string host_name);

    using answer_handler =
        std::function<void(core::result<http_answer> answer)>;

    /// Requests `path` within the time `limit`. If the server has closed the
    /// connection since the last request, it is opened again once. Errors:
    /// platform_unreachable, and platform_bad_answer for an answer that is not
    /// HTTP or has a body above `max_body_bytes`. This object must exist until
    /// the handler has been called.
    void get(std::string path,
             std::chrono::milliseconds limit,
             std::size_t max_body_bytes,
             answer_handler on_answer);

    /// Ends the running request and makes others fail until allow().
    void cancel();

    /// Closes the connection, so that the next request is sent over a new one,
    /// on which no earlier answer can arrive. No request may be running.
    void close();

    /// Permits requests again after cancel().
    void allow();

private:
    boost::asio::awaitable<void> exchange(std::string path,
                                          std::chrono::milliseconds limit,
                                          std::size_t max_body_bytes,
                                          answer_handler on_answer);
    http_answer
    take_answer(boost::beast::http::response<boost::beast::http::string_body>&&
                    message);
    void close_unless_silent();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string host;
    bool connected = false;
    bool cancelled = false;
};

} // namespace medlarbarrow::net
