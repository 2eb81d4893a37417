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

// Failures are returned, not thrown: a closed connection is ordinary here.
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

/// Pause after a failed accept, so that lack of descriptors does not spin.
constexpr std::chrono::milliseconds accept_pause{100};

/// 12,000 servers at about 200 bytes each, and room to spare.
constexpr std::uint64_t max_status_bytes = 16U << 20U;

using request = http::request<http::empty_body>;
using response = http::response<http::string_body>;

response make_response(http::status code,
                       const char* type,
                       std::string body,
                       const request& asked)
{
    response made(code, asked.version());
    made.set(http::field::content_type, type);
    made.set(http::field::cache_control, "no-store");
    made.keep_alive(asked.keep_alive());
    made.body() = std::move(body);
    made.prepare_payload();
    if (asked.method() == http::verb::head)
    {
        // The length of the body stays in the header.
        made.body().clear();
    }
    return made;
}

} // namespace

struct admin::state : std::enable_shared_from_this<state>
{
    state(asio::io_context& runs_on, admin_sources from, admin_bounds limits)
        : context(runs_on), acceptor(runs_on), sources(std::move(from)),
          bounds(limits)
    {
    }

    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<void> serve_requests(beast::tcp_stream& stream);
    response answer(const request& asked) const;

    asio::io_context& context;
    tcp::acceptor acceptor;
    admin_sources sources;
    admin_bounds bounds;
    std::set<beast::tcp_stream*> connections;
    bool closed = false;
};

response admin::state::answer(const request& asked) const
{
    const auto text = "text/plain; charset=utf-8";
    if (asked.method() != http::verb::get && asked.method() != http::verb::head)
    {
        response refused = make_response(http::status::method_not_allowed, text,
                                         "only GET and HEAD\n", asked);
        refused.set(http::field::allow, "GET, HEAD");
        return refused;
    }
    const std::string_view target = asked.target();
    const std::string_view path = target.substr(0, target.find('?'));
    if (path == "/metrics" && this->sources.metrics)
    {
        return make_response(http::status::ok,
                             "text/plain; version=0.0.4; charset=utf-8",
                             this->sources.metrics(), asked);
    }
    if (path == this->sources.ready_path)
    {
        const bool ready = this->sources.ready();
        return make_response(ready ? http::status::ok
                                   : http::status::service_unavailable,
                             text, ready ? "ready\n" : "not ready\n", asked);
    }
    if (path == "/status" && this->sources.status)
    {
        return make_response(http::status::ok, "application/json",
                             this->sources.status(), asked);
    }
    if (this->sources.other)
    {
        if (auto body = this->sources.other(target))
        {
            return make_response(http::status::ok, "application/json",
                                 std::move(*body), asked);
        }
    }
    return make_response(http::status::not_found, text,
                         "paths: /metrics, /ready, /status\n", asked);
}

asio::awaitable<void> admin::state::accept()
{
    const auto keep = this->shared_from_this();
    asio::steady_timer pause(this->context);
    while (!this->closed)
    {
        auto [failure, socket] =
            co_await this->acceptor.async_accept(as_result);
        if (this->closed)
        {
            break;
        }
        if (failure)
        {
            log::write(log::level::warning, "admin_accept_failed",
                       {log::kv("reason", failure.message())});
            pause.expires_after(accept_pause);
            co_await pause.async_wait(as_result);
            continue;
        }
        if (this->connections.size() >= this->bounds.max_connections)
        {
            log::write(log::level::warning, "admin_connections_full",
                       {log::kv("limit", this->bounds.max_connections)});
            continue;
        }
        asio::co_spawn(this->context, keep->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> admin::state::serve(tcp::socket socket)
{
    const auto keep = this->shared_from_this();
    beast::tcp_stream stream(std::move(socket));
    // Also removed when a source throws or the io_context is destroyed.
    struct registration
    {
        registration(std::set<beast::tcp_stream*>& in, beast::tcp_stream& item)
            : all(in), one(item)
        {
            this->all.insert(&this->one);
        }
        ~registration()
        {
            this->all.erase(&this->one);
        }
        std::set<beast::tcp_stream*>& all;
        beast::tcp_stream& one;
    };
    const registration registered(this->connections, stream);
    co_await this->serve_requests(stream);
}

// Answers requests until the peer closes, an error occurs or time runs out.
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
            co_await http::async_read(stream, buffer, parser, as_result);
        if (failure && failure != http::error::header_limit &&
            failure != http::error::buffer_overflow)
        {
            break;
        }
        const bool too_large = static_cast<bool>(failure);
        response answered =
            too_large
                ? make_response(http::status::request_header_fields_too_large,
                                "text/plain", "header too large\n", request())
                : this->answer(parser.get());
        answered.keep_alive(!too_large && answered.keep_alive());
        stream.expires_after(this->bounds.timeout);
        const auto [write_failure, written] =
            co_await http::async_write(stream, answered, as_result);
        open = !write_failure && answered.keep_alive();
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

core::result<std::unique_ptr<admin>>
admin::listen(asio::io_context& context,
              const config::endpoint& where,
              admin_sources sources,
              admin_bounds bounds)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(where.address, failure);
    if (failure)
    {
        return make_error_code(core::result_code::settings_invalid);
    }
    const tcp::endpoint target(address, where.port);
    auto made = std::make_shared<state>(context, std::move(sources), bounds);
    made->acceptor.open(target.protocol(), failure);
    if (!failure)
    {
        made->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    }
    if (!failure)
    {
        made->acceptor.bind(target, failure);
    }
    if (!failure)
    {
        made->acceptor.listen(asio::socket_base::max_listen_connections,
                              failure);
    }
    if (failure)
    {
        return std::error_code(failure);
    }
    asio::co_spawn(context, made->accept(), asio::detached);
    return std::unique_ptr<admin>(new admin(std::move(made)));
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
    for (const core::server_view& item : view.servers)
    {
        const std::chrono::duration<double, std::milli> latency =
            item.mean_latency;
        servers.push_back({{"service", item.service},
                           {"server", item.server},
                           {"data_centre", item.data_centre},
                           {"state", item.state},
                           {"in_flight", item.in_flight},
                           {"mean_latency_ms", latency.count()},
                           {"error_fraction", item.error_fraction}});
    }
    const ordered_json body{{"name", self.name},
                            {"incarnation", self.incarnation},
                            {"version", version},
                            {"document_version", view.document_version},
                            {"list_version", view.list_version},
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

core::result<std::string> fetch_status(const config::endpoint& from,
                                       std::chrono::milliseconds timeout)
{
    boost::system::error_code failure;
    const auto address = asio::ip::make_address(from.address, failure);
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
        const auto [refused] = co_await stream.async_connect(
            tcp::endpoint(address, from.port), as_result);
        if (refused)
        {
            co_return refused;
        }
        http::request<http::empty_body> asked(http::verb::get, "/status", 11);
        asked.set(http::field::host, from.address);
        asked.keep_alive(false);
        const auto [unsent, written] =
            co_await http::async_write(stream, asked, as_result);
        if (unsent)
        {
            co_return unsent;
        }
        beast::flat_buffer buffer;
        const auto [unread, read] =
            co_await http::async_read(stream, buffer, parser, as_result);
        co_return unread;
    };
    asio::co_spawn(context, exchange(),
                   [&failure](const std::exception_ptr& /*unused*/,
                              boost::system::error_code ended)
                   {
                       failure = ended;
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
