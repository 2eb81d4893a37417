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
constexpr std::string_view chunked_header = "Transfer-Encoding: chunked\r\n";
constexpr std::string_view close_header = "Connection: close\r\n";

/// Time between the segments of a response, long enough that they are read
/// separately.
constexpr std::chrono::milliseconds segment_gap{2};

/// Time between a whole response and the bytes of endless_surplus.
constexpr std::chrono::milliseconds surplus_delay{100};

bool write(tcp::socket& socket, std::string_view text)
{
    error_code failure;
    asio::write(socket, asio::buffer(text), failure);
    return !failure;
}

// Closes the connection with a TCP reset instead of a regular close.
void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

/// True for a response that states that the request has not run.
bool is_refusal(response_kind kind)
{
    return kind == response_kind::shed ||
           (kind >= response_kind::shed_twice &&
            kind <= response_kind::shed_again_in_pieces);
}

std::vector<std::string> split_into_pieces(std::string_view text)
{
    constexpr std::size_t piece = 17;
    std::vector<std::string> pieces;
    for (std::size_t position = 0; position < text.size(); position += piece)
    {
        pieces.emplace_back(text.substr(position, piece));
    }
    return pieces;
}

// Writes each part in a segment of its own.
bool write_parts(tcp::socket& socket, const std::vector<std::string>& parts)
{
    bool open = true;
    for (const std::string& part : parts)
    {
        open = open && write(socket, part);
        std::this_thread::sleep_for(segment_gap);
    }
    return open;
}

} // namespace

scripted_server::scripted_server(scripted_header_names header_names)
    : names(std::move(header_names)), listener(
                                          [this](tcp::socket& socket)
                                          {
                                              ++this->connections_open;
                                              this->serve_connection(socket);
                                              --this->connections_open;
                                          })
{
}

void scripted_server::play(std::vector<response_kind> new_script)
{
    const std::lock_guard guard(this->mutex);
    this->script = std::move(new_script);
    this->position = 0;
}

void scripted_server::cut_at(const response_cut& new_cut)
{
    const std::lock_guard guard(this->mutex);
    this->cut = new_cut;
}

std::vector<std::string> scripted_server::run_ids() const
{
    const std::lock_guard guard(this->mutex);
    return this->executed_ids;
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

response_kind scripted_server::next_manner()
{
    const std::lock_guard guard(this->mutex);
    return this->position < this->script.size() ? this->script[this->position++]
                                                : response_kind::with_length;
}

void scripted_server::serve_connection(tcp::socket& socket)
{
    std::string input;
    std::vector<std::string> repeated; ///< written before the next response
    bool open = true;
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
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
            header_value(input.substr(0, length), this->names.request_id);
        input.erase(0, length);
        const response_kind manner = this->next_manner();
        if (!is_refusal(manner))
        {
            const std::lock_guard guard(this->mutex);
            this->executed_ids.push_back(id);
        }
        write_parts(socket, repeated);
        repeated.clear();
        open = this->answer(socket, manner, id, repeated);
    }
}

std::string scripted_server::response_head(const std::string& id,
                                           unsigned status,
                                           std::string_view framing) const
{
    std::string head = fmt::format("HTTP/1.1 {} Status\r\n", status);
    if (!id.empty())
    {
        head += fmt::format("{}: {}\r\n", this->names.request_id, id);
    }
    head += framing;
    if (status < 300 && !this->names.signature.empty())
    {
        head += this->names.signature + ": valid\r\n";
    }
    return head + "\r\n";
}

std::string scripted_server::refusal(const std::string& id) const
{
    return this->response_head(
        id, 503,
        fmt::format("{}: 1\r\nContent-Length: 0\r\n", this->names.not_run));
}

std::string scripted_server::response_text(response_kind kind,
                                           const std::string& id) const
{
    const std::string body = body_of(id);
    switch (kind)
    {
    case response_kind::chunked:
        return this->response_head(id, 200, chunked_header) +
               fmt::format("{:x}\r\n{}\r\n0\r\n\r\n", body.size(), body);
    case response_kind::until_close:
        return this->response_head(id, 200, close_header) + body;
    case response_kind::after_continue:
        return "HTTP/1.1 100 Continue\r\n\r\n" +
               this->complete_response(id, 200);
    case response_kind::shed:
        return this->refusal(id);
    case response_kind::failure:
        return this->complete_response(id, 500);
    default:
        return this->complete_response(id, 200);
    }
}

// Writes the first bytes of a response, then closes or resets the connection.
bool scripted_server::answer_cut(tcp::socket& socket, const std::string& id)
{
    response_cut where;
    {
        const std::lock_guard guard(this->mutex);
        where = this->cut;
    }
    write(socket,
          this->response_text(where.response, id).substr(0, where.bytes) +
              (where.blank_line ? "\r\n\r\n" : ""));
    if (where.reset)
    {
        // A reset discards bytes that were not delivered yet.
        std::this_thread::sleep_for(segment_gap);
        reset(socket);
    }
    return false;
}

// Writes a response, and the same one a second time: at once, or as `repeated`
// before the next response.
bool scripted_server::answer_repeatedly(tcp::socket& socket,
                                        response_kind manner,
                                        const std::string& id,
                                        std::vector<std::string>& repeated)
{
    const std::string refused = this->refusal(id);
    switch (manner)
    {
    case response_kind::shed_twice:
        return write(socket, refused + refused);
    case response_kind::shed_again_soon:
    {
        const bool written = write(socket, refused);
        std::this_thread::sleep_for(segment_gap);
        return written && write(socket, refused);
    }
    case response_kind::shed_again_without_id:
        repeated = {this->refusal("")};
        return write(socket, refused);
    case response_kind::success_again_without_id:
        repeated = {this->response_head("", 200,
                                        fmt::format("Content-Length: {}\r\n",
                                                    body_of(id).size())) +
                    body_of(id)};
        return write(socket, this->complete_response(id, 200));
    case response_kind::shed_again_in_pieces:
        repeated = split_into_pieces(refused);
        return write(socket, refused);
    default:
        repeated = {refused};
        return write(socket, refused);
    }
}

std::string scripted_server::complete_response(const std::string& id,
                                               unsigned status) const
{
    const std::string body = body_of(id);
    return this->response_head(
               id, status, fmt::format("Content-Length: {}\r\n", body.size())) +
           body;
}

// Writes one response; false if the connection was closed or writing failed.
bool scripted_server::answer(tcp::socket& socket,
                             response_kind manner,
                             const std::string& id,
                             std::vector<std::string>& repeated)
{
    const std::string body = body_of(id);
    const std::string half_body = body.substr(0, body.size() / 2);
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", body.size(), body);
    const std::string valid = this->complete_response(id, 200);
    const std::string stray =
        this->complete_response(std::string(stray_id), 200);
    switch (manner)
    {
    case response_kind::with_length:
        return write(socket, valid);
    case response_kind::chunked:
        return write(socket, this->response_text(manner, id));
    case response_kind::in_pieces:
    {
        constexpr std::size_t piece = 61;
        for (std::size_t position = 0; position < valid.size();
             position += piece)
        {
            if (!write(socket, std::string_view(valid).substr(position, piece)))
            {
                return false;
            }
        }
        return true;
    }
    case response_kind::until_close:
        write(socket, this->response_head(id, 200, close_header) + body);
        return false;
    case response_kind::after_continue:
        return write(socket, "HTTP/1.1 100 Continue\r\n\r\n" + valid);
    case response_kind::failure:
        return write(socket, this->complete_response(id, 500));
    case response_kind::shed:
        return write(socket, this->refusal(id));
    case response_kind::cut_length:
        write(socket, valid.substr(0, valid.size() - half_body.size()));
        return false;
    case response_kind::cut_chunks:
        write(socket, this->response_head(id, 200, chunked_header) + chunk);
        return false;
    case response_kind::reset_until_close:
        write(socket, this->response_head(id, 200, close_header) + half_body);
        // A reset discards bytes that were not delivered yet, so wait until
        // they have arrived.
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
        reset(socket);
        return false;
    case response_kind::twice:
        return write(socket, valid + valid);
    case response_kind::with_stray:
        return write(socket, valid + stray);
    case response_kind::stray_first:
        return write(socket, stray + valid);
    case response_kind::two_lengths:
        return write(socket, this->response_head(
                                 id, 200,
                                 fmt::format("Content-Length: {}\r\n"
                                             "Content-Length: {}\r\n",
                                             half_body.size(), body.size())) +
                                 body);
    case response_kind::noise:
        write(socket, "\x16\x03\x01 no answer " + body);
        return false;
    case response_kind::silence_then_end:
        return false;
    case response_kind::without_id:
        write(socket,
              this->response_head(
                  "", 200, fmt::format("Content-Length: {}\r\n", body.size())) +
                  body);
        return false;
    case response_kind::failure_without_id:
        write(socket,
              this->response_head(
                  "", 500, fmt::format("Content-Length: {}\r\n", body.size())) +
                  body);
        return false;
    case response_kind::without_signature:
        return write(socket, fmt::format("HTTP/1.1 200 Status\r\n{}: {}\r\n"
                                         "Content-Length: {}\r\n\r\n{}",
                                         this->names.request_id, id,
                                         body.size(), body));
    case response_kind::cut_head_end:
        write(socket, fmt::format("HTTP/1.1 200 Status\r\n{}: {}\r\n\r\n",
                                  this->names.request_id, id));
        return false;
    case response_kind::cut_anywhere:
        return this->answer_cut(socket, id);
    case response_kind::shed_twice:
    case response_kind::shed_again_soon:
    case response_kind::shed_again_later:
    case response_kind::shed_again_without_id:
    case response_kind::shed_again_in_pieces:
    case response_kind::success_again_without_id:
        return this->answer_repeatedly(socket, manner, id, repeated);
    default:
        return this->answer_without_end(socket, manner, id);
    }
}

// Sends a beginning, then the same text again and again until the client closes
// the connection. Returns false, as the connection has ended.
bool scripted_server::answer_without_end(tcp::socket& socket,
                                         response_kind manner,
                                         const std::string& id)
{
    constexpr std::size_t repeated_bytes = 4096;
    const std::string filler(repeated_bytes, 'a');
    const std::string chunk =
        fmt::format("{:x}\r\n{}\r\n", filler.size(), filler);
    const std::string chunked_head =
        this->response_head(id, 200, chunked_header);
    std::string beginning;
    std::string repeated = filler;
    switch (manner)
    {
    case response_kind::endless_line:
        beginning = "HTTP/1.1 200 ";
        break;
    case response_kind::endless_fields:
        beginning = "HTTP/1.1 200 Status\r\n";
        repeated = "A: b\r\n";
        break;
    case response_kind::endless_interim:
        repeated = "HTTP/1.1 100 Continue\r\n\r\n";
        break;
    case response_kind::endless_strays:
        repeated = this->complete_response(std::string(stray_id), 200);
        break;
    case response_kind::endless_stray_body:
        beginning =
            this->response_head(std::string(stray_id), 200, chunked_header);
        repeated = chunk;
        break;
    case response_kind::endless_chunks:
        beginning = chunked_head;
        repeated = chunk;
        break;
    case response_kind::endless_chunk_line:
        beginning = chunked_head + "5;";
        break;
    case response_kind::endless_chunk_size:
        beginning = chunked_head;
        repeated = std::string(repeated_bytes, '0');
        break;
    case response_kind::endless_length:
        beginning = this->response_head(id, 200,
                                        "Content-Length: 1000000000000000\r\n");
        break;
    case response_kind::endless_surplus:
        beginning = this->complete_response(id, 200);
        break;
    case response_kind::endless_trailer:
        beginning = chunked_head + chunk + "0\r\n";
        repeated = "A: b\r\n";
        break;
    default:
        beginning = this->response_head(id, 200, "Connection: close\r\n");
        break;
    }
    bool open = write(socket, beginning);
    if (manner == response_kind::endless_surplus)
    {
        // The client has put the connection aside by then.
        std::this_thread::sleep_for(surplus_delay);
    }
    while (open)
    {
        open = write(socket, repeated);
    }
    return false;
}

} // namespace medlarbarrow::standin
