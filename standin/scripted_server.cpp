#include <boost/asio/connect.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>
#include <standin/scripted_server.hpp>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t body_repeats = 40;
constexpr std::string_view stray_id = "an-earlier-request";

bool write(tcp::socket& socket, std::string_view text)
{
    error_code failure;
    asio::write(socket, asio::buffer(text), failure);
    return !failure;
}

// Ends the connection with a reset in place of its regular end.
void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

std::string value_of(std::string_view request, const std::string& name)
{
    const std::size_t at = request.find(name + ": ");
    if (at == std::string_view::npos)
    {
        return {};
    }
    const std::size_t begin = at + name.size() + 2;
    return std::string(
        request.substr(begin, request.find("\r\n", begin) - begin));
}

} // namespace

scripted_server::scripted_server(scripted_names chosen)
    : names(std::move(chosen)),
      acceptor(this->context, {asio::ip::make_address("127.0.0.1"), 0}),
      listens_on(this->acceptor.local_endpoint().port()), thread(
                                                              [this]
                                                              {
                                                                  this->serve();
                                                              })
{
}

// The waiting accept is ended by a connection.
scripted_server::~scripted_server()
{
    this->stopping = true;
    asio::io_context own;
    tcp::socket last(own);
    error_code ignored;
    last.connect({asio::ip::make_address("127.0.0.1"), this->listens_on},
                 ignored);
    last.close(ignored);
    this->thread.join();
}

void scripted_server::play(std::vector<answer_manner> next)
{
    const std::lock_guard guard(this->mutex);
    this->script = std::move(next);
    this->position = 0;
}

std::uint16_t scripted_server::port() const noexcept
{
    return this->listens_on;
}

std::string scripted_server::body_of(std::string_view id)
{
    std::string body;
    for (std::size_t count = 0; count < body_repeats; ++count)
    {
        body += fmt::format("[{}:{}]", id, count);
    }
    return body;
}

answer_manner scripted_server::next_manner()
{
    const std::lock_guard guard(this->mutex);
    return this->position < this->script.size() ? this->script[this->position++]
                                                : answer_manner::with_length;
}

// A connection ends at the latest with the caller's end of it.
void scripted_server::serve()
{
    std::vector<std::thread> connections;
    while (!this->stopping)
    {
        error_code failure;
        auto socket = std::make_unique<tcp::socket>(this->context);
        this->acceptor.accept(*socket, failure);
        if (!failure && !this->stopping)
        {
            connections.emplace_back(
                [this, own = std::move(socket)]
                {
                    this->serve_connection(*own);
                });
        }
    }
    for (std::thread& connection : connections)
    {
        connection.join();
    }
}

void scripted_server::serve_connection(tcp::socket& socket)
{
    std::string input;
    bool open = true;
    while (open)
    {
        error_code failure;
        const std::size_t length = asio::read_until(
            socket, asio::dynamic_buffer(input), "\r\n\r\n", failure);
        if (failure)
        {
            return;
        }
        const std::string id =
            value_of(input.substr(0, length), this->names.request_id);
        input.erase(0, length);
        open = this->answer(socket, this->next_manner(), id);
    }
}

std::string scripted_server::head(const std::string& id,
                                  unsigned status,
                                  std::string_view framing) const
{
    return fmt::format("HTTP/1.1 {} Status\r\n{}: {}\r\n{}\r\n", status,
                       this->names.request_id, id, framing);
}

std::string scripted_server::whole(const std::string& id, unsigned status) const
{
    const std::string body = body_of(id);
    return this->head(id, status,
                      fmt::format("Content-Length: {}\r\n", body.size())) +
           body;
}

// False when the connection has ended.
bool scripted_server::answer(tcp::socket& socket,
                             answer_manner manner,
                             const std::string& id)
{
    constexpr std::string_view chunks = "Transfer-Encoding: chunked\r\n";
    constexpr std::string_view closing = "Connection: close\r\n";
    const std::string body = body_of(id);
    const std::string half = body.substr(0, body.size() / 2);
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    const std::string plain = this->whole(id, 200);
    const std::string stray = this->whole(std::string(stray_id), 200);
    switch (manner)
    {
    case answer_manner::with_length:
        return write(socket, plain);
    case answer_manner::chunked:
        return write(socket, this->head(id, 200, chunks) + chunk + "0\r\n\r\n");
    case answer_manner::in_pieces:
    {
        constexpr std::size_t piece = 61;
        for (std::size_t at = 0; at < plain.size(); at += piece)
        {
            if (!write(socket, std::string_view(plain).substr(at, piece)))
            {
                return false;
            }
        }
        return true;
    }
    case answer_manner::until_close:
        write(socket, this->head(id, 200, closing) + body);
        return false;
    case answer_manner::after_continue:
        return write(socket, "HTTP/1.1 100 Continue\r\n\r\n" + plain);
    case answer_manner::failure:
        return write(socket, this->whole(id, 500));
    case answer_manner::shed:
        return write(socket,
                     this->head(id, 503,
                                fmt::format("{}: 1\r\nContent-Length: 0\r\n",
                                            this->names.not_run)));
    case answer_manner::cut_length:
        write(socket, plain.substr(0, plain.size() - half.size()));
        return false;
    case answer_manner::cut_chunks:
        write(socket, this->head(id, 200, chunks) + chunk);
        return false;
    case answer_manner::reset_until_close:
        write(socket, this->head(id, 200, closing) + half);
        // The bytes must arrive before the reset discards them.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        reset(socket);
        return false;
    case answer_manner::twice:
        return write(socket, plain + plain);
    case answer_manner::with_stray:
        return write(socket, plain + stray);
    case answer_manner::stray_first:
        return write(socket, stray + plain);
    case answer_manner::two_lengths:
        return write(socket, this->head(id, 200,
                                        fmt::format("Content-Length: {}\r\n"
                                                    "Content-Length: {}\r\n",
                                                    half.size(), body.size())) +
                                 body);
    case answer_manner::noise:
        write(socket, "\x16\x03\x01 no answer " + body);
        return false;
    case answer_manner::silence_then_end:
        return false;
    }
    return false;
}

} // namespace medlarbarrow::standin
