/// An entry that runs on its own thread in front of a stand-in server, and
/// callers that send requests to it over loopback.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <gtest/gtest.h>
#include <medlarbarrow/net/entry.hpp>
#include <medlarbarrow/net/log.hpp>
#include <standin/server.hpp>
#include <thread>

namespace medlarbarrow::tests
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

inline constexpr std::string_view account_key = "lagoon-hotel-key-0123456789";

/// Long time limit for events that have no other limit.
inline constexpr std::chrono::seconds event_timeout{20};

/// Answer as a caller received it.
struct answer
{
    boost::system::error_code failure; ///< set when it was not complete
    http::response<http::string_body> message;

    unsigned status() const
    {
        return this->message.result_int();
    }

    std::string operator[](std::string_view name) const
    {
        return std::string(this->message[name]);
    }
};

/// A caller with one connection. Its calls block.
class caller
{
public:
    explicit caller(std::uint16_t port) : socket(this->io)
    {
        this->socket.connect({asio::ip::address_v4::loopback(), port});
    }

    void send(std::string_view text)
    {
        boost::system::error_code ignored;
        asio::write(this->socket, asio::buffer(text), ignored);
    }

    answer receive(bool head_only = false)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        parser.skip(head_only);
        answer received;
        http::read(this->socket, this->input, parser, received.failure);
        received.message = parser.release();
        return received;
    }

    /// Waits for the first bytes of an answer, or for the end of the
    /// connection.
    void wait_for_input()
    {
        boost::system::error_code ignored;
        this->socket.wait(tcp::socket::wait_read, ignored);
    }

    /// Waits for the entry to close the connection. False when a byte arrives
    /// instead.
    bool is_closed()
    {
        boost::system::error_code failure;
        char byte = 0;
        this->socket.read_some(asio::buffer(&byte, 1), failure);
        return failure.failed();
    }

    answer request(std::string_view text)
    {
        this->send(text);
        return this->receive(text.starts_with("HEAD"));
    }

    tcp::socket& raw_socket()
    {
        return this->socket;
    }

private:
    asio::io_context io;
    tcp::socket socket;
    boost::beast::flat_buffer input;
};

inline std::string get(std::string_view target, std::string_view lines = "")
{
    return "GET " + std::string(target) +
           " HTTP/1.1\r\nHost: reef.example\r\nX-Api-Key: " +
           std::string(account_key) + "\r\n" + std::string(lines) + "\r\n";
}

inline std::string post(std::string_view target,
                        std::string_view body,
                        std::string_view lines = "")
{
    return "POST " + std::string(target) +
           " HTTP/1.1\r\nHost: reef.example\r\nX-Api-Key: " +
           std::string(account_key) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           std::string(lines) + "\r\n" + std::string(body);
}

/// Waits until `condition` holds. False when it does not hold within
/// `event_timeout`.
template <class Condition>
bool eventually(Condition&& condition)
{
    const auto limit = std::chrono::steady_clock::now() + event_timeout;
    while (!condition())
    {
        if (std::chrono::steady_clock::now() > limit)
        {
            return false;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return true;
}

inline core::instant now()
{
    return {core::boot_clock::now(),
            std::chrono::time_point_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now())};
}

/// An entry with one service that has one server. Derived fixtures change the
/// members before they call start().
class entry_fixture : public ::testing::Test
{
protected:
    entry_fixture()
    {
        net::log::start(net::log::level::error);
        this->settings.name = "entry-1";
        this->settings.data_centre = "suva";
        this->settings.region = "viti-levu";
        this->settings.callers = {"127.0.0.1", 0};
        this->document = std::make_shared<core::document>();
        this->document->version = 1;
        this->document->data_centres = {{"suva", "viti-levu"}};
        core::client_account account;
        account.name = "lagoon-hotel";
        account.rate_per_second = 100000;
        account.burst = 100000;
        account.keys.push_back({net::digest_key(account_key), false});
        this->document->accounts = {account};
        core::route reports;
        reports.name = "reports";
        reports.path_prefix = "/reports";
        reports.service = "logbook";
        reports.deadline = std::chrono::milliseconds(10000);
        core::route guides = reports;
        guides.name = "guides";
        guides.path_prefix = "/guides";
        guides.access = core::route_access::open;
        core::route orders = reports;
        orders.name = "orders";
        orders.path_prefix = "/orders";
        orders.repeatable = false;
        this->document->routes = {reports, guides, orders};
        // Orders are accepted from twice this time after the first majority.
        this->document->fleet.clock_skew = std::chrono::milliseconds(20);
    }

    ~entry_fixture() override
    {
        this->io.stop();
        if (this->thread.joinable())
        {
            this->thread.join();
        }
        net::log::stop();
    }

    /// Starts the stand-in server, the node and the entry.
    void start()
    {
        this->backend = std::make_unique<standin::server>(this->options);
        core::backend_server server;
        server.name = "logbook-1";
        server.address = "127.0.0.1";
        server.port = this->backend->port();
        server.data_centre = "suva";
        server.slots = this->options.slots;
        server.connections = this->connections;
        this->document->services = {{"logbook", {}, {server}}};
        core::node_settings own_settings;
        own_settings.self = {"entry-1", 1};
        own_settings.data_centre = "suva";
        own_settings.region = "viti-levu";
        // A process makes no delegations, and so grants no tokens, until the
        // leases of its predecessor have ended. The node is therefore given a
        // start time in the past.
        this->document->fleet.max_instances = 1;
        const auto started = core::boot_clock::now() - std::chrono::minutes(1);
        this->node = std::make_unique<core::node>(
            *core::node::create(own_settings, started));
        ASSERT_FALSE(this->node->apply_document(this->document, now()));
        core::listed_instance listed;
        listed.name = "entry-1";
        ASSERT_FALSE(this->node->apply_list({1, {listed}}, now()));
        this->entry = *net::entry::create(this->io, this->settings, *this->node,
                                          [](core::outbox&&) {});
        this->entry->apply_document(*this->document);
        ASSERT_FALSE(this->entry->start());
        this->schedule_tick();
        this->thread = std::thread(
            [this]
            {
                this->io.run();
            });
    }

    /// Runs `work` on the entry's thread and waits for its result.
    template <class Work>
    auto on_thread(Work&& work)
    {
        std::packaged_task<decltype(work())()> task(std::forward<Work>(work));
        auto future = task.get_future();
        // Posted inside a lambda, because Boost.Asio takes the future out of a
        // packaged_task that is posted directly.
        asio::post(this->io,
                   [&task]
                   {
                       task();
                   });
        return future.get();
    }

    net::entry_counters counters()
    {
        return this->on_thread(
            [this]
            {
                return this->entry->counters();
            });
    }

    std::uint16_t port() const
    {
        return this->entry->port();
    }

    config::settings settings;
    std::shared_ptr<core::document> document;
    standin::server_options options;
    std::uint32_t connections = 360; ///< limit of the server in the document
    std::unique_ptr<standin::server> backend;
    std::unique_ptr<core::node> node;
    asio::io_context io;
    std::unique_ptr<net::entry> entry;

private:
    /// Ticks the node every 20 ms on the entry's thread.
    void schedule_tick()
    {
        this->ticks.expires_after(std::chrono::milliseconds(20));
        this->ticks.async_wait(
            [this](boost::system::error_code failure)
            {
                if (!failure)
                {
                    this->node->tick(now());
                    this->entry->notify_changed();
                    this->schedule_tick();
                }
            });
    }

    asio::steady_timer ticks{this->io};
    std::thread thread;
};

} // namespace medlarbarrow::tests
