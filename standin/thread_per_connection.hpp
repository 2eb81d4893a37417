/// Listener of the test servers that block: each connection has its own thread.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <thread>

namespace medlarbarrow::standin
{

/// Accepts connections on a free port of the loopback address and serves each
/// on its own thread.
class thread_per_connection
{
public:
    /// Serves one connection until it ends.
    using connection_handler =
        std::function<void(boost::asio::ip::tcp::socket& socket)>;

    /// Starts to listen. Connections get a receive buffer of the given size in
    /// bytes; 0: the system's default.
    explicit thread_per_connection(connection_handler handler,
                                   int receive_buffer_bytes = 0);

    /// Waits for the threads, so clients must close their connections first.
    ~thread_per_connection();

    thread_per_connection(const thread_per_connection&) = delete;
    thread_per_connection& operator=(const thread_per_connection&) = delete;

    std::uint16_t port() const noexcept
    {
        return this->listen_port;
    }

    /// True once the destructor has begun.
    bool is_stopping() const noexcept
    {
        return this->stopping;
    }

private:
    void accept_all();

    connection_handler serve;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t listen_port = 0;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

/// Value of a header in the text of a request; empty if it is missing.
std::string header_value(std::string_view request, const std::string& name);

} // namespace medlarbarrow::standin
