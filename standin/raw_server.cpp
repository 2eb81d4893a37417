#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <standin/raw_server.hpp>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Small, so that a client soon cannot send any more.
constexpr int receive_buffer_bytes = 16384;

/// A client that has sent nothing for this long, while input is unread, is
/// taken to be unable to send.
constexpr milliseconds stall_time{100};

constexpr milliseconds check_period{5};

/// Time between segments, long enough that they are read separately.
constexpr milliseconds segment_gap{1};

/// Limit for waiting for a client that does not fill the buffers.
constexpr std::chrono::seconds max_stall_wait{10};

std::string with_request_id(std::string text, const std::string& id)
{
    const std::string_view mark = raw_server::request_id_mark;
    std::size_t position = text.find(mark);
    while (position != std::string::npos)
    {
        text.replace(position, mark.size(), id);
        position = text.find(mark, position + id.size());
    }
    return text;
}

} // namespace

raw_server::raw_server(std::string id_name, raw_response given_response)
    : request_id_name(std::move(id_name)), response(std::move(given_response)),
      listener(
          [this](tcp::socket& socket)
          {
              this->serve_connection(socket);
          },
          receive_buffer_bytes)
{
}

std::vector<std::string> raw_server::request_ids() const
{
    const std::lock_guard guard(this->mutex);
    return this->ids;
}

void raw_server::serve_connection(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    std::string input;
    bool first = true;
    while (this->answer(socket, input, first))
    {
        first = false;
    }
}

// Answers the next request. False when the connection has ended.
bool raw_server::answer(tcp::socket& socket, std::string& input, bool first)
{
    error_code failure;
    const std::size_t length = asio::read_until(
        socket, asio::dynamic_buffer(input), "\r\n\r\n", failure);
    if (failure)
    {
        return false;
    }
    const std::string id =
        header_value(input.substr(0, length), this->request_id_name);
    {
        const std::lock_guard guard(this->mutex);
        this->ids.push_back(id);
    }
    input.erase(0, length);
    if (input.size() < this->response.body_bytes_read)
    {
        asio::read(socket, asio::dynamic_buffer(input),
                   asio::transfer_exactly(this->response.body_bytes_read -
                                          input.size()),
                   failure);
    }
    const std::string& text = first && this->response.first_text
                                  ? *this->response.first_text
                                  : this->response.text;
    this->write(socket, with_request_id(text, id));
    if (this->response.waits_for_full_buffers)
    {
        this->wait_for_full_buffers(socket);
    }
    if (this->response.end == connection_end::none)
    {
        return !failure;
    }
    this->end(socket);
    return false;
}

// Errors are left to the next read.
void raw_server::write(tcp::socket& socket, std::string_view text) const
{
    error_code ignored;
    const std::size_t segment = this->response.segment_bytes;
    while (segment > 0 && text.size() > segment)
    {
        asio::write(socket, asio::buffer(text.substr(0, segment)), ignored);
        std::this_thread::sleep_for(segment_gap);
        text.remove_prefix(segment);
    }
    asio::write(socket, asio::buffer(text), ignored);
}

void raw_server::end(tcp::socket& socket)
{
    error_code ignored;
    const connection_end how = this->response.end;
    if (how == connection_end::end_then_reset ||
        how == connection_end::end_then_ignore)
    {
        socket.shutdown(tcp::socket::shutdown_send, ignored);
    }
    if (how == connection_end::end_then_ignore || how == connection_end::ignore)
    {
        this->wait_until_stopped();
    }
    if (how == connection_end::reset || how == connection_end::end_then_reset)
    {
        std::this_thread::sleep_for(this->response.reset_delay);
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
    }
    socket.close(ignored);
}

void raw_server::wait_for_full_buffers(tcp::socket& socket) const
{
    error_code failure;
    std::size_t unread = 0;
    steady::time_point changed = steady::now();
    const steady::time_point end = changed + max_stall_wait;
    while (!failure && !this->listener.is_stopping() && steady::now() < end &&
           (unread == 0 || steady::now() < changed + stall_time))
    {
        std::this_thread::sleep_for(check_period);
        const std::size_t count = socket.available(failure);
        if (count != unread)
        {
            unread = count;
            changed = steady::now();
        }
    }
}

void raw_server::wait_until_stopped() const
{
    while (!this->listener.is_stopping())
    {
        std::this_thread::sleep_for(check_period);
    }
}

} // namespace medlarbarrow::standin
