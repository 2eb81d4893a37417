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

/// Bytes on their way in one direction of a connection.
struct direction
{
    tcp::socket* from = nullptr;
    tcp::socket* to = nullptr;
    const bool* cut = nullptr;
    std::uint64_t* count = nullptr;
    std::array<char, buffer_bytes> buffer{};
    std::size_t held = 0; ///< read but not forwarded because of a cut
    bool ended = false;   ///< the end was read during a cut
};

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
    void begin(const connection_ptr& link);
    void read(const connection_ptr& link, direction& way);
    void write(const connection_ptr& link, direction& way);
    void end(const connection_ptr& link, bool reset);
    void end_all(bool reset);

    tcp::acceptor acceptor;
    tcp::endpoint target;
    relay_cut cut;
    relay_counts counts;
    std::set<connection_ptr> links;
};

relay::relay(std::shared_ptr<state> initial) : self(std::move(initial)) {}

relay::~relay()
{
    boost::system::error_code ignored;
    this->self->acceptor.close(ignored);
    this->self->end_all(false);
}

core::result<std::unique_ptr<relay>>
relay::create(asio::io_context& context,
              const config::endpoint& listen,
              const config::endpoint& target)
{
    boost::system::error_code error;
    const auto own_address = asio::ip::make_address(listen.address, error);
    boost::system::error_code target_error;
    const auto target_address =
        asio::ip::make_address(target.address, target_error);
    if (error || target_error)
    {
        return make_error_code(core::result_code::settings_invalid);
    }
    auto initial = std::make_shared<state>(
        context, tcp::endpoint(target_address, target.port));
    const tcp::endpoint own(own_address, listen.port);
    initial->acceptor.open(own.protocol(), error);
    if (!error)
    {
        initial->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        initial->acceptor.bind(own, error);
    }
    if (!error)
    {
        initial->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error)
    {
        return std::error_code(error);
    }
    initial->accept();
    return std::unique_ptr<relay>(new relay(std::move(initial)));
}

void relay::state::accept()
{
    this->acceptor.async_accept(
        [own = this->shared_from_this()](const boost::system::error_code& error,
                                         tcp::socket socket)
        {
            if (!own->acceptor.is_open())
            {
                return;
            }
            if (!error)
            {
                own->begin(std::make_shared<connection>(std::move(socket)));
            }
            own->accept();
        });
}

void relay::state::begin(const connection_ptr& link)
{
    ++this->counts.connections;
    ++this->counts.open;
    this->links.insert(link);
    link->to_target.from = &link->client;
    link->to_target.to = &link->target;
    link->to_target.cut = &this->cut.to_target;
    link->to_target.count = &this->counts.bytes_to_target;
    link->to_client.from = &link->target;
    link->to_client.to = &link->client;
    link->to_client.cut = &this->cut.to_client;
    link->to_client.count = &this->counts.bytes_to_client;
    link->target.async_connect(this->target,
                               [own = this->shared_from_this(),
                                link](const boost::system::error_code& error)
                               {
                                   if (error)
                                   {
                                       own->end(link, true);
                                       return;
                                   }
                                   own->read(link, link->to_target);
                                   own->read(link, link->to_client);
                               });
}

void relay::state::read(const connection_ptr& link, direction& way)
{
    way.from->async_read_some(
        asio::buffer(way.buffer),
        [own = this->shared_from_this(), link,
         &way](const boost::system::error_code& error, std::size_t length)
        {
            if (error)
            {
                // During a cut not even the end of the connection passes.
                way.ended = *way.cut;
                if (!way.ended)
                {
                    own->end(link, false);
                }
                return;
            }
            way.held = length;
            if (!*way.cut)
            {
                own->write(link, way);
            }
        });
}

void relay::state::write(const connection_ptr& link, direction& way)
{
    const std::size_t length = std::exchange(way.held, 0);
    *way.count += length;
    asio::async_write(*way.to, asio::buffer(way.buffer.data(), length),
                      [own = this->shared_from_this(), link, &way](
                          const boost::system::error_code& error, std::size_t)
                      {
                          if (error)
                          {
                              own->end(link, false);
                              return;
                          }
                          own->read(link, way);
                      });
}

void relay::state::end(const connection_ptr& link, bool reset)
{
    if (this->links.erase(link) == 0)
    {
        return;
    }
    --this->counts.open;
    for (tcp::socket* socket : {&link->client, &link->target})
    {
        boost::system::error_code ignored;
        if (reset)
        {
            socket->set_option(asio::socket_base::linger(true, 0), ignored);
        }
        socket->close(ignored);
    }
}

void relay::state::end_all(bool reset)
{
    const auto all = this->links;
    for (const connection_ptr& link : all)
    {
        this->end(link, reset);
    }
}

void relay::set_cut(relay_cut next)
{
    this->self->cut = next;
    const auto all = this->self->links;
    for (const auto& link : all)
    {
        for (direction* way : {&link->to_target, &link->to_client})
        {
            if (*way->cut)
            {
                continue;
            }
            if (way->ended)
            {
                this->self->end(link, false);
            }
            else if (way->held != 0)
            {
                this->self->write(link, *way);
            }
        }
    }
}

void relay::reset_connections()
{
    this->self->end_all(true);
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
