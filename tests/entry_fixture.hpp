/// An entry on a thread of its own in front of stand-in servers, and callers
/// that speak to it over loopback.
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

inline constexpr std::string_view hotel_key = "lagoon-hotel-key-0123456789";

/// Generous limit for events that have no other bound.
inline constexpr std::chrono::seconds patience{20};

/// Answer as one caller read it.
struct answer
{
    boost::system::error_code failure; ///< set when it was not whole
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

/// A caller with one connection and blocking calls.
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
        answer got;
        http::read(this->socket, this->input, parser, got.failure);
        got.message = parser.release();
        return got;
    }

    /// True when the entry closes the connection within the test's patience.
    bool is_closed()
    {
        boost::system::error_code failure;
        char byte = 0;
        this->socket.read_some(asio::buffer(&byte, 1), failure);
        return failure.failed();
    }

    answer ask(std::string_view text)
    {
        this->send(text);
        return this->receive(text.starts_with("HEAD"));
    }

    tcp::socket& raw()
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
           std::string(hotel_key) + "\r\n" + std::string(lines) + "\r\n";
}

inline std::string post(std::string_view target,
                        std::string_view body,
                        std::string_view lines = "")
{
    return "POST " + std::string(target) +
           " HTTP/1.1\r\nHost: reef.example\r\nX-Api-Key: " +
           std::string(hotel_key) +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" +
           std::string(lines) + "\r\n" + std::string(body);
}

/// Waits until `condition` holds; false when it does not within `patience`.
template <class Condition>
bool eventually(Condition&& condition)
{
    const auto limit = std::chrono::steady_clock::now() + patience;
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

/// One service with one server; derived fixtures change the members before
/// they call start().
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
        core::client_account hotel;
        hotel.name = "lagoon-hotel";
        hotel.rate_per_second = 100000;
        hotel.burst = 100000;
        hotel.keys.push_back({net::digest_key(hotel_key), false});
        this->document->accounts = {hotel};
        core::route reports;
        reports.name = "reports";
        reports.path_prefix = "/reports";
        reports.service = "logbook";
        reports.deadline = std::chrono::milliseconds(10000);
        core::route open = reports;
        open.name = "guides";
        open.path_prefix = "/guides";
        open.access = core::route_access::open;
        core::route orders = reports;
        orders.name = "orders";
        orders.path_prefix = "/orders";
        orders.repeatable = false;
        this->document->routes = {reports, open, orders};
        // Orders are taken twice this time after the first majority.
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

    void start()
    {
        this->backend = std::make_unique<standin::server>(this->options);
        core::backend_server server;
        server.name = "logbook-1";
        server.address = "127.0.0.1";
        server.port = this->backend->port();
        server.data_centre = "suva";
        server.slots = this->options.slots;
        server.connections = 360;
        this->document->services = {{"logbook", {}, {server}}};
        core::node_settings own;
        own.self = {"entry-1", 1};
        own.data_centre = "suva";
        own.region = "viti-levu";
        // A process delegates nothing, and so grants no tokens, until the
        // leases of its predecessor have ended: let it have started earlier.
        this->document->fleet.max_instances = 1;
        const auto started = core::boot_clock::now() - std::chrono::minutes(1);
        this->node =
            std::make_unique<core::node>(*core::node::create(own, started));
        ASSERT_FALSE(this->node->apply_document(this->document, now()));
        core::listed_instance itself;
        itself.name = "entry-1";
        ASSERT_FALSE(this->node->apply_list({1, {itself}}, now()));
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

    /// Runs `work` on the entry's thread and waits for its value.
    template <class Work>
    auto on_thread(Work&& work)
    {
        std::packaged_task<decltype(work())()> task(std::forward<Work>(work));
        auto future = task.get_future();
        // As a function: Boost.Asio takes the future out of a task given to it.
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
    std::unique_ptr<standin::server> backend;
    std::unique_ptr<core::node> node;
    asio::io_context io;
    std::unique_ptr<net::entry> entry;

private:
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
