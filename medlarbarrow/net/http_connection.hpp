/// HTTP client for one server, with one kept connection.
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

struct http_answer
{
    unsigned status = 0;
    std::string body;
};

/// Sends one request at a time.
class http_connection
{
public:
    http_connection(boost::asio::io_context& context,
                    boost::asio::ip::tcp::endpoint target,
                    std::string host_name);

    using answer_handler =
        std::function<void(core::result<http_answer> answer)>;

    /// Reads a path. A connection that the server has closed since the last
    /// request is opened again once. Errors: platform_unreachable,
    /// platform_bad_answer (no HTTP, or a body above `greatest`). The
    /// connection must exist until the handler has been called.
    void get(std::string path,
             std::chrono::milliseconds limit,
             std::size_t greatest,
             answer_handler done);

    /// Ends the request that is running, and refuses others until allow().
    void cancel();
    void allow();

private:
    boost::asio::awaitable<void> exchange(std::string path,
                                          std::chrono::milliseconds limit,
                                          std::size_t greatest,
                                          answer_handler done);
    http_answer
    take(boost::beast::http::response<boost::beast::http::string_body>&&
             message);
    void close();

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    boost::asio::ip::tcp::endpoint endpoint;
    std::string host;
    bool connected = false;
    bool cancelled = false;
};

} // namespace medlarbarrow::net
