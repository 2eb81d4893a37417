/// State of a connected socket, without taking input from it.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cerrno>
#include <poll.h>
#include <sys/socket.h>

namespace medlarbarrow::net
{

/// For a connection that is idle between two exchanges. False when the server
/// has closed it or has sent bytes that belong to no request. Such bytes must
/// never be taken for the next answer. Takes an error of the connection, so it
/// is not for one in use.
inline bool is_open_without_input(boost::asio::ip::tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count =
        ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// True when the connection has ended in both directions, by a reset or a
/// timeout, also if its error has been taken. A peer that has ended its own
/// direction only can still be written to.
inline bool is_disconnected(boost::asio::ip::tcp::socket& socket)
{
    pollfd state{socket.native_handle(), 0, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & POLLHUP) != 0;
}

} // namespace medlarbarrow::net
