/// A server that misbehaves as told: it answers each request in the manner
/// that its script names next.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace medlarbarrow::standin
{

/// How one request is answered. In all but the first five something is wrong.
enum class answer_manner : std::uint8_t
{
    with_length,
    chunked,
    in_pieces,         ///< a few bytes at a time
    until_close,       ///< no length: ends with the connection
    after_continue,    ///< a 100 answer first
    failure,           ///< status 500
    shed,              ///< says that it has not run the request
    cut_length,        ///< fewer bytes than announced, then the end
    cut_chunks,        ///< the last chunk is missing, then the end
    reset_until_close, ///< no length, and a reset in the middle
    twice,             ///< the whole answer again
    with_stray,        ///< an answer to another request follows
    stray_first,       ///< an answer to another request comes before it
    two_lengths,
    noise, ///< bytes that are no answer
    silence_then_end,
    last = silence_then_end
};

/// Header names of the interface, as the server echoes them.
struct scripted_names
{
    std::string request_id;
    std::string not_run;
};

/// Serves each connection on a thread of its own. Callers close their
/// connections before the server ends.
class scripted_server
{
public:
    explicit scripted_server(scripted_names names);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    /// Replaces the script; when it is used up, requests get whole answers.
    void play(std::vector<answer_manner> script);

    std::uint16_t port() const noexcept;

    /// The body that answers a request with this id.
    static std::string body_of(std::string_view id);

private:
    void serve();
    void serve_connection(boost::asio::ip::tcp::socket& socket);
    answer_manner next_manner();
    bool answer(boost::asio::ip::tcp::socket& socket,
                answer_manner manner,
                const std::string& id);
    std::string head(const std::string& id,
                     unsigned status,
                     std::string_view framing) const;
    std::string whole(const std::string& id, unsigned status) const;

    scripted_names names;
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor acceptor;
    std::uint16_t listens_on = 0;
    std::mutex mutex;
    std::vector<answer_manner> script;
    std::size_t position = 0;
    std::atomic<bool> stopping{false};
    std::thread thread;
};

} // namespace medlarbarrow::standin
