/// Test server that answers each request in the way the next entry of its
/// script says, including malformed and truncated responses.
#pragma once

#include <mutex>
#include <standin/thread_per_connection.hpp>
#include <vector>

namespace medlarbarrow::standin
{

/// How one request is answered. The first five are valid successful responses;
/// all others report a failure or break the protocol.
enum class response_kind : std::uint8_t
{
    with_length,
    chunked,
    in_pieces,          ///< a few bytes at a time
    until_close,        ///< without a length: ends when the connection closes
    after_continue,     ///< preceded by a 100 Continue response
    failure,            ///< status 500
    shed,               ///< status 503 that says the request has not run
    cut_length,         ///< closes before Content-Length bytes were sent
    cut_chunks,         ///< closes before the last chunk
    reset_until_close,  ///< without a length, and a reset in the middle
    twice,              ///< sends the complete response twice
    with_stray,         ///< followed by a response to another request
    stray_first,        ///< preceded by a response to another request
    two_lengths,        ///< two different Content-Length headers
    noise,              ///< bytes that are not an HTTP response
    silence_then_end,   ///< closes without a response
    without_id,         ///< a success without a request id, then closes
    without_signature,  ///< a success that lacks the header of all successes
    failure_without_id, ///< status 500 without a request id, then closes
    cut_head_end,     ///< the head ends before its framing, then the connection
    shed_twice,       ///< a refusal and at once the same refusal again
    shed_again_soon,  ///< a refusal, and again before the next request
    shed_again_later, ///< a refusal, and again before the next response
    shed_again_without_id,    ///< as shed_again_later, the copy without id
    shed_again_in_pieces,     ///< as shed_again_later, in several segments
    success_again_without_id, ///< a success, and again before the next response
    cut_anywhere,             ///< closes or resets as set by cut_at()
    last = cut_anywhere,      ///< of those that end by themselves
    // The others send bytes until the client closes the connection.
    endless_line,        ///< a first line without an end
    endless_fields,      ///< header fields without an end
    endless_interim,     ///< interim responses
    endless_strays,      ///< responses to other requests
    endless_stray_body,  ///< a response to another request, in chunks
    endless_chunks,      ///< chunks without a last one
    endless_chunk_line,  ///< the extension in the line before a chunk
    endless_chunk_size,  ///< digits of the size in the line before a chunk
    endless_trailer,     ///< fields after the last chunk
    endless_until_close, ///< a body without a length
    endless_length,      ///< a body whose stated length is never reached
    endless_surplus      ///< bytes after a whole response
};

/// Names of the headers that the server reads and writes.
struct scripted_header_names
{
    std::string request_id;
    std::string not_run;
    std::string signature; ///< of every success; empty: none is sent
};

/// Where the response cut_anywhere ends.
struct response_cut
{
    response_kind response = response_kind::with_length;
    std::size_t bytes = 0;   ///< sent before the end
    bool blank_line = false; ///< an empty line, which ends a head, follows
    bool reset = false;      ///< ends with a TCP reset
};

/// Clients must close their connections before it is destroyed.
class scripted_server
{
public:
    explicit scripted_server(scripted_header_names names);

    /// Replaces the script. Requests after its end are answered with_length.
    void play(std::vector<response_kind> new_script);

    /// Sets where the responses of the kind cut_anywhere end.
    void cut_at(const response_cut& new_cut);

    /// Ids of the requests that this server has run, in order. A request that
    /// it has refused as not run is not among them.
    std::vector<std::string> run_ids() const;

    /// Connections that are open now.
    int open_connections() const noexcept
    {
        return this->connections_open;
    }

    /// Complete response to a request with this id, as written to the
    /// connection. For kinds that consist of one valid response.
    std::string response_text(response_kind kind, const std::string& id) const;

    std::uint16_t port() const noexcept
    {
        return this->listener.port();
    }

    /// Body of the response to a request with this id.
    static std::string body_of(std::string_view id);

private:
    void serve_connection(boost::asio::ip::tcp::socket& socket);
    response_kind next_manner();
    bool answer_cut(boost::asio::ip::tcp::socket& socket,
                    const std::string& id);
    bool answer_repeatedly(boost::asio::ip::tcp::socket& socket,
                           response_kind manner,
                           const std::string& id,
                           std::vector<std::string>& repeated);
    bool answer(boost::asio::ip::tcp::socket& socket,
                response_kind manner,
                const std::string& id,
                std::vector<std::string>& repeated);
    bool answer_without_end(boost::asio::ip::tcp::socket& socket,
                            response_kind manner,
                            const std::string& id);
    std::string response_head(const std::string& id,
                              unsigned status,
                              std::string_view framing) const;
    std::string complete_response(const std::string& id, unsigned status) const;
    std::string refusal(const std::string& id) const;

    scripted_header_names names;
    mutable std::mutex mutex; ///< guards the members below
    std::vector<response_kind> script;
    std::size_t position = 0;
    std::vector<std::string> executed_ids;
    response_cut cut;
    std::atomic<int> connections_open{0};
    thread_per_connection listener; ///< last, as its threads use the others
};

} // namespace medlarbarrow::standin
