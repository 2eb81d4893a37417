#include <memory>
#include <standin/thread_per_connection.hpp>
#include <vector>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;

} // namespace

thread_per_connection::thread_per_connection(connection_handler handler,
                                             int receive_buffer_bytes)
    : serve(std::move(handler)), acceptor(this->context)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), 0);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    if (receive_buffer_bytes > 0)
    {
        // Connections inherit it, and announce no more than it.
        this->acceptor.set_option(
            asio::socket_base::receive_buffer_size(receive_buffer_bytes));
    }
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->listen_port = this->acceptor.local_endpoint().port();
    this->thread = std::thread(
        [this]
        {
            this->accept_all();
        });
}

// The last connection wakes the thread that blocks in accept().
thread_per_connection::~thread_per_connection()
{
    this->stopping = true;
    asio::io_context wake_context;
    tcp::socket wake_connection(wake_context);
    error_code ignored;
    wake_connection.connect(
        {asio::ip::address_v4::loopback(), this->listen_port}, ignored);
    wake_connection.close(ignored);
    this->thread.join();
}

void thread_per_connection::accept_all()
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
                [this, socket = std::move(socket)]
                {
                    this->serve(*socket);
                });
        }
    }
    for (std::thread& connection : connections)
    {
        connection.join();
    }
}

std::string header_value(std::string_view request, const std::string& name)
{
    const std::string label = "\r\n" + name + ": ";
    const std::size_t line = request.find(label);
    if (line == std::string_view::npos)
    {
        return {};
    }
    const std::size_t start = line + label.size();
    return std::string(
        request.substr(start, request.find("\r\n", start) - start));
}

} // namespace medlarbarrow::standin
