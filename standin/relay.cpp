#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <set>
#include <standin/relay.hpp>
#include <vector>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t buffer_bytes = 16'384;

/// Forwarding state of one direction of a connection.
struct direction
{
    tcp::socket* source = nullptr;
    tcp::socket* destination = nullptr;
    const bool* cut = nullptr;
    std::uint64_t* forwarded_bytes = nullptr;
    std::array<char, buffer_bytes> buffer{};
    std::size_t held_bytes = 0;     ///< read but not forwarded during a cut
    bool closed_during_cut = false; ///< by the source
};

/// A client's connection and the matching connection to the target.
struct connection
{
    explicit connection(tcp::socket accepted)
        : client(std::move(accepted)), target(client.get_executor())
    {
    }

    tcp::socket client;
    tcp::socket target;
    direction to_target;
    direction to_client;
};

} // namespace

struct relay::state : std::enable_shared_from_this<relay::state>
{
    using connection_ptr = std::shared_ptr<connection>;

    state(asio::io_context& context, tcp::endpoint endpoint)
        : acceptor(context), target(std::move(endpoint))
    {
    }

    void accept();
    void open_target(const connection_ptr& pair);
    void read(const connection_ptr& pair, direction& flow);
    void write(const connection_ptr& pair, direction& flow);
    void close(const connection_ptr& pair, bool reset);
    void close_all(bool reset);

    tcp::acceptor acceptor;
    tcp::endpoint target;
    relay_cut cut;
    relay_counts counts;
    std::set<connection_ptr> pairs;
};

relay::relay(std::shared_ptr<state> initial_state)
    : self(std::move(initial_state))
{
}

relay::~relay()
{
    boost::system::error_code ignored;
    this->self->acceptor.close(ignored);
    this->self->close_all(false);
}

core::result<std::unique_ptr<relay>>
relay::create(asio::io_context& context,
              const config::endpoint& listen,
              const config::endpoint& target)
{
    boost::system::error_code error;
    const auto listen_address = asio::ip::make_address(listen.address, error);
    boost::system::error_code target_error;
    const auto target_address =
        asio::ip::make_address(target.address, target_error);
    if (error || target_error)
    {
        return make_error_code(core::result_code::settings_invalid);
    }
    auto initial_state = std::make_shared<state>(
        context, tcp::endpoint(target_address, target.port));
    const tcp::endpoint listen_endpoint(listen_address, listen.port);
    initial_state->acceptor.open(listen_endpoint.protocol(), error);
    if (!error)
    {
        initial_state->acceptor.set_option(tcp::acceptor::reuse_address(true),
                                           error);
    }
    if (!error)
    {
        initial_state->acceptor.bind(listen_endpoint, error);
    }
    if (!error)
    {
        initial_state->acceptor.listen(tcp::acceptor::max_listen_connections,
                                       error);
    }
    if (error)
    {
        return std::error_code(error);
    }
    initial_state->accept();
    return std::unique_ptr<relay>(new relay(std::move(initial_state)));
}

void relay::state::accept()
{
    this->acceptor.async_accept(
        [self = this->shared_from_this()](
            const boost::system::error_code& error, tcp::socket socket)
        {
            if (!self->acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                self->open_target(
                    std::make_shared<connection>(std::move(socket)));
            }
            self->accept();
        });
}

void relay::state::open_target(const connection_ptr& pair)
{
    ++this->counts.connections;
    ++this->counts.open;
    this->pairs.insert(pair);
    pair->to_target.source = &pair->client;
    pair->to_target.destination = &pair->target;
    pair->to_target.cut = &this->cut.to_target;
    pair->to_target.forwarded_bytes = &this->counts.bytes_to_target;
    pair->to_client.source = &pair->target;
    pair->to_client.destination = &pair->client;
    pair->to_client.cut = &this->cut.to_client;
    pair->to_client.forwarded_bytes = &this->counts.bytes_to_client;
    pair->target.async_connect(this->target,
                               [self = this->shared_from_this(),
                                pair](const boost::system::error_code& error)
                               {
                                   if (error)
                                   {
                                       self->close(pair, true);
                                       return;
                                   }
                                   self->read(pair, pair->to_target);
                                   self->read(pair, pair->to_client);
                               });
}

void relay::state::read(const connection_ptr& pair, direction& flow)
{
    flow.source->async_read_some(
        asio::buffer(flow.buffer),
        [self = this->shared_from_this(), pair,
         &flow](const boost::system::error_code& error, std::size_t length)
        {
            if (error)
            {
                // During a cut, the end of the connection is held back too.
                flow.closed_during_cut = *flow.cut;
                if (!flow.closed_during_cut)
                {
                    self->close(pair, false);
                }
                return;
            }
            flow.held_bytes = length;
            if (!*flow.cut)
            {
                self->write(pair, flow);
            }
        });
}

void relay::state::write(const connection_ptr& pair, direction& flow)
{
    const std::size_t length = std::exchange(flow.held_bytes, 0);
    *flow.forwarded_bytes += length;
    asio::async_write(*flow.destination,
                      asio::buffer(flow.buffer.data(), length),
                      [self = this->shared_from_this(), pair, &flow](
                          const boost::system::error_code& error, std::size_t)
                      {
                          if (error)
                          {
                              self->close(pair, false);
                              return;
                          }
                          self->read(pair, flow);
                      });
}

void relay::state::close(const connection_ptr& pair, bool reset)
{
    if (this->pairs.erase(pair) == 0)
    {
        return;
    }
    --this->counts.open;
    for (tcp::socket* socket : {&pair->client, &pair->target})
    {
        boost::system::error_code ignored;
        if (reset)
        {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket->close(ignored);
    }
}

void relay::state::close_all(bool reset)
{
    const auto open_pairs = this->pairs;
    for (const connection_ptr& pair : open_pairs)
    {
        this->close(pair, reset);
    }
}

void relay::set_cut(relay_cut new_cut)
{
    this->self->cut = new_cut;
    const auto open_pairs = this->self->pairs;
    for (const auto& pair : open_pairs)
    {
        for (direction* flow : {&pair->to_target, &pair->to_client})
        {
            if (*flow->cut)
            {
                continue;
            }
            if (flow->closed_during_cut)
            {
                this->self->close(pair, false);
            }
            else if (flow->held_bytes != 0)
            {
                this->self->write(pair, *flow);
            }
        }
    }
}

void relay::reset_connections()
{
    this->self->close_all(true);
}

const relay_counts& relay::counts() const
{
    return this->self->counts;
}

std::uint16_t relay::port() const
{
    boost::system::error_code ignored;
    return this->self->acceptor.local_endpoint(ignored).port();
}

} // namespace medlarbarrow::standin
