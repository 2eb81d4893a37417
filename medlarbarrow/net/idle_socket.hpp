/// Check of a connection that is idle between two exchanges.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <sys/socket.h>

namespace medlarbarrow::net
{

/// False when the server has closed the connection or has sent bytes that
/// belong to no request. Such bytes must never be taken for the next answer.
inline bool is_open_without_input(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace medlarbarrow::net
