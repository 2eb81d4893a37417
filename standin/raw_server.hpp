/// Test server that writes its responses byte for byte as a test gives them,
/// and ends its connections as the test says.
#pragma once

#include <chrono>
#include <mutex>
#include <optional>
#include <standin/thread_per_connection.hpp>
#include <vector>

namespace medlarbarrow::standin
{

/// What the server does with a connection after a response.
enum class connection_end : std::uint8_t
{
    none,           ///< serves the next request on it
    close,          ///< closes it regularly, or with a reset if input is unread
    reset,          ///< closes it with a TCP reset
    end_then_reset, ///< ends its own direction in order, then resets it
    end_then_ignore, ///< ends its own direction in order and reads no more
    ignore           ///< reads and writes no more, but leaves it open
};

/// One response and the behaviour around it.
struct raw_response
{
    /// Written as it is, but for `request_id_mark`.
    std::string text;
    /// Bytes of the request's body that are read before the response.
    std::size_t body_bytes_read = 0;
    /// Whether the connection ends only once the client cannot send any more,
    /// since the buffers of both sides are full.
    bool waits_for_full_buffers = false;
    connection_end end = connection_end::none;
    /// Time before a reset.
    std::chrono::milliseconds reset_delay{0};
    /// Bytes that are written at once, each in a segment of its own; 0: all.
    std::size_t segment_bytes = 0;
    /// Response to the first request on each connection, if not `text`.
    std::optional<std::string> first_text = std::nullopt;
};

/// Answers each request with the same response. Clients must close their
/// connections before it is destroyed.
class raw_server
{
public:
    /// Stands for the id of the request in the text of a response.
    static constexpr std::string_view request_id_mark = "{id}";

    /// `request_id_name` is the header that carries a request's id.
    raw_server(std::string request_id_name, raw_response response);

    std::uint16_t port() const noexcept
    {
        return this->listener.port();
    }

    /// Ids of the requests that have arrived, in order.
    std::vector<std::string> request_ids() const;

private:
    using tcp = boost::asio::ip::tcp;

    void serve_connection(tcp::socket& socket);
    bool answer(tcp::socket& socket, std::string& input, bool first);
    void write(tcp::socket& socket, std::string_view text) const;
    void end(tcp::socket& socket);
    void wait_for_full_buffers(tcp::socket& socket) const;
    void wait_until_stopped() const;

    std::string request_id_name;
    raw_response response;
    mutable std::mutex mutex; ///< guards `ids`
    std::vector<std::string> ids;
    thread_per_connection listener; ///< last, as its threads use the others
};

} // namespace medlarbarrow::standin
