#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/log.hpp>
#include <nlohmann/json.hpp>
#include <set>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

// Failures are returned instead of thrown, because closed connections are
// normal here.
constexpr auto return_errors = asio::as_tuple(asio::use_awaitable);

/// Delay after a failed accept, so that a shortage of file descriptors does not
/// cause a busy loop.
constexpr std::chrono::milliseconds accept_retry_delay{100};

/// Enough for 12,000 servers at about 200 bytes each, with a margin.
constexpr std::uint64_t max_status_bytes = 16U << 20U;

using request = http::request<http::empty_body>;
using response = http::response<http::string_body>;

/// Builds a response; for HEAD without its body.
response make_response(http::status code,
                       const char* type,
                       std::string body,
                       const request& incoming)
{
    response reply(code, incoming.version());
    reply.set(http::field::content_type, type);
    reply.set(http::field::cache_control, "no-store");
    reply.keep_alive(incoming.keep_alive());
    reply.body() = std::move(body);
    reply.prepare_payload();
    if (incoming.method() == http::verb::head)
    {
        // The header keeps the length of the body.
        reply.body().clear();
    }
    return reply;
}

} // namespace

/// Implementation of admin. The coroutines share its ownership, so that it
/// outlives their last step.
struct admin::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& io, admin_sources functions, admin_bounds limits)
        : context(io), acceptor(io), sources(std::move(functions)),
          bounds(limits)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> serve_requests(beast::tcp_stream& stream);
    response respond(const request& incoming) const;

    asio::io_context& context;
    tcp::acceptor acceptor;
    admin_sources sources;
    admin_bounds bounds;
    std::set<beast::tcp_stream*> connections;
    bool closed = false;
};

// Selects the response by method and path.
response admin::state::respond(const request& incoming) const
{
    const auto text = "text/plain; charset=utf-8";
    if (incoming.method() != http::verb::get &&
        incoming.method() != http::verb::head)
    {
        response not_allowed =
            make_response(http::status::method_not_allowed, text,
                          "method not allowed: use GET or HEAD\n", incoming);
        not_allowed.set(http::field::allow, "GET, HEAD");
        return not_allowed;
    }
    const std::string_view target = incoming.target();
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/metrics" && this->sources.metrics)
    {
        return make_response(http::status::ok,
                             "text/plain; version=0.0.4; charset=utf-8",
                             this->sources.metrics(), incoming);
    }
    if (path == this->sources.ready_path)
    {
        const bool ready = this->sources.ready();
        return make_response(ready ? http::status::ok
                                   : http::status::service_unavailable,
                             text, ready ? "ready\n" : "not ready\n", incoming);
    }
    if (path == "/status" && this->sources.status)
    {
        return make_response(http::status::ok, "application/json",
                             this->sources.status(), incoming);
    }
    if (this->sources.other)
    {
        if (auto body = this->sources.other(target))
        {
            return make_response(http::status::ok, "application/json",
                                 std::move(*body), incoming);
        }
    }
    return make_response(http::status::not_found, text,
                         "unknown path; available: /metrics, /ready, /status\n",
                         incoming);
}

// Accepts connections until close(). A connection beyond the limit is closed by
// the destructor of its socket.
asio::awaitable<void> admin::state::accept()
{
    const auto self = this->shared_from_this();
    asio::steady_timer pause(this->context);
    while (!this->closed)
    {
        auto [failure, socket] =
            co_await this->acceptor.async_accept(return_errors);
        if (this->closed)
        {
            break;
        }
        if (failure)
        {
            log::write(log::level::warning, "admin_accept_failed",
                       {log::kv("reason", failure.message())});
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(return_errors);
            continue;
        }
        if (this->connections.size() >= this->bounds.max_connections)
        {
            log::write(log::level::warning, "admin_connections_full",
                       {log::kv("limit", this->bounds.max_connections)});
            continue;
        }
        asio::co_spawn(this->context, self->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> admin::state::serve(tcp::socket socket)
{
    const auto self = this->shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    // The destructor also removes the connection if a source function throws or
    // the io_context is destroyed.
    struct registration
    {
        registration(std::set<beast::tcp_stream*>& open,
                     beast::tcp_stream& added)
            : connections(open), stream(added)
        {
            this->connections.insert(&this->stream);
        }
        ~registration()
        {
            this->connections.erase(&this->stream);
        }
        std::set<beast::tcp_stream*>& connections;
        beast::tcp_stream& stream;
    };
    const registration registered(this->connections, stream);
    co_await this->serve_requests(stream);
}

// Answers requests until the client closes the connection, an error occurs or
// the timeout expires.
asio::awaitable<void> admin::state::serve_requests(beast::tcp_stream& stream)
{
    beast::flat_buffer buffer(this->bounds.max_header_bytes);
    bool open = true;
    while (open && !this->closed)
    {
        http::request_parser<http::empty_body> parser;
        parser.header_limit(this->bounds.max_header_bytes);
        stream.expires_after(this->bounds.timeout);
        const auto [failure, read] =
            co_await http::async_read(stream, buffer, parser, return_errors);
        if (failure && failure != http::error::header_limit &&
            failure != http::error::buffer_overflow)
        {
            break;
        }
        const bool too_large = static_cast<bool>(failure);
        response reply =
            too_large
                ? make_response(http::status::request_header_fields_too_large,
                                "text/plain", "request header too large\n",
                                request())
                : this->respond(parser.get());
        reply.keep_alive(!too_large && reply.keep_alive());
        stream.expires_after(this->bounds.timeout);
        const auto [write_failure, written] =
            co_await http::async_write(stream, reply, return_errors);
        open = !write_failure && reply.keep_alive();
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

core::result<std::unique_ptr<admin>>
admin::listen(asio::io_context& context,
              const config::endpoint& endpoint,
              admin_sources sources,
              admin_bounds bounds)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
    {
        return make_error_code(core::result_code::settings_invalid);
    }
    const tcp::endpoint listen_endpoint(address, endpoint.port);
    auto initial = std::make_shared<state>(context, std::move(sources), bounds);
    initial->acceptor.open(listen_endpoint.protocol(), failure);
    if (!failure)
    {
        initial->acceptor.set_option(tcp::acceptor::reuse_address(true),
                                     failure);
    }
    if (!failure)
    {
        initial->acceptor.bind(listen_endpoint, failure);
    }
    if (!failure)
    {
        initial->acceptor.listen(asio::socket_base::max_listen_connections,
                                 failure);
    }
    if (failure)
    {
        return std::error_code(failure);
    }
    asio::co_spawn(context, initial->accept(), asio::detached);
    return std::unique_ptr<admin>(new admin(std::move(initial)));
}

admin::admin(std::shared_ptr<state> initial) : self(std::move(initial)) {}

admin::~admin()
{
    this->close();
}

std::uint16_t admin::port() const
{
    boost::system::error_code ignored;
    return this->self->acceptor.local_endpoint(ignored).port();
}

void admin::close()
{
    this->self->closed = true;
    boost::system::error_code ignored;
    this->self->acceptor.close(ignored);
    for (beast::tcp_stream* stream : this->self->connections)
    {
        stream->close();
    }
}

std::string format_status(const core::instance_id& self,
                          const std::string& version,
                          const core::node_view& view)
{
    using nlohmann::ordered_json;
    ordered_json servers = ordered_json::array();
    for (const core::server_view& server : view.servers)
    {
        const std::chrono::duration<double, std::milli> latency =
            server.mean_latency;
        servers.push_back({{"service", server.service},
                           {"server", server.server},
                           {"data_centre", server.data_centre},
                           {"state", server.state},
                           {"in_flight", server.in_flight},
                           {"mean_latency_ms", latency.count()},
                           {"error_fraction", server.error_fraction}});
    }
    const ordered_json body{{"name", self.name},
                            {"incarnation", self.incarnation},
                            {"version", version},
                            {"document_version", view.document_version},
                            {"list_version", view.list_version},
                            {"list_era", view.list_era},
                            {"ready", view.ready},
                            {"live_instances", view.live_instances},
                            {"home_buckets", view.owned_buckets},
                            {"majority_buckets", view.majority_buckets},
                            {"active_accounts", view.active_accounts},
                            {"order_records", view.order_records},
                            {"waiting_requests", view.waiting_requests},
                            {"running_requests", view.running_requests},
                            {"servers", std::move(servers)}};
    return body.dump(-1, ' ', false, ordered_json::error_handler_t::replace) +
           "\n";
}

core::result<std::string> fetch_status(const config::endpoint& endpoint,
                                       std::chrono::milliseconds timeout)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(endpoint.address, failure);
    if (failure)
    {
        return std::error_code(failure);
    }
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_status_bytes);
    const auto exchange = [&]() -> asio::awaitable<boost::system::error_code>
    {
        stream.expires_after(timeout);
        const auto [connect_failure] = co_await stream.async_connect(
            tcp::endpoint(address, endpoint.port), return_errors);
        if (connect_failure)
        {
            co_return connect_failure;
        }
        http::request<http::empty_body> status_request(http::verb::get,
                                                       "/status", 11);
        status_request.set(http::field::host, endpoint.address);
        status_request.keep_alive(false);
        const auto [write_failure, written] =
            co_await http::async_write(stream, status_request, return_errors);
        if (write_failure)
        {
            co_return write_failure;
        }
        beast::flat_buffer buffer(max_status_bytes);
        const auto [read_failure, read] =
            co_await http::async_read(stream, buffer, parser, return_errors);
        co_return read_failure;
    };
    asio::co_spawn(context, exchange(),
                   [&failure](const std::exception_ptr& /*unused*/,
                              boost::system::error_code result)
                   {
                       failure = result;
                   });
    context.run();
    if (failure)
    {
        return std::error_code(failure);
    }
    if (parser.get().result() != http::status::ok)
    {
        return std::make_error_code(std::errc::protocol_error);
    }
    return std::move(parser.get().body());
}

} // namespace medlarbarrow::net
