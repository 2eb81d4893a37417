/// A fleet of gateways on their own thread in front of stand-in servers, and
/// callers that send requests to it over loopback.
#pragma once

#include <boost/asio/connect.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <future>
#include <gtest/gtest.h>
#include <medlarbarrow/net/gateway.hpp>
#include <standin/server.hpp>
#include <thread>

namespace medlarbarrow::tests
{

using namespace std::chrono_literals;
using tcp = boost::asio::ip::tcp;
namespace http = boost::beast::http;

inline constexpr const char* test_key = "a-key-of-the-loft-account";

inline core::route
route_to(const std::string& name, const std::string& service, bool repeatable)
{
    core::route route;
    route.name = name;
    route.host = "a.example";
    route.path_prefix = "/" + name + "/";
    route.service = service;
    route.split = {{service, 1}};
    route.repeatable = repeatable;
    route.deadline = 3s;
    route.latency_objective = 600ms;
    route.max_attempts = 2;
    return route;
}

/// Returns a UDP port that is free at the moment.
inline std::uint16_t free_port()
{
    boost::asio::io_context io;
    const boost::asio::ip::udp::socket probe(
        io, {boost::asio::ip::make_address("127.0.0.1"), 0});
    return probe.local_endpoint().port();
}

/// Callbacks of a fleet that follows no source and knows no accounts.
inline net::fleet_callbacks fleet_callbacks_without_source()
{
    net::fleet_callbacks callbacks;
    callbacks.account_limit = [](const std::string&)
    {
        return std::nullopt;
    };
    callbacks.position = []
    {
        return core::source_position(1);
    };
    callbacks.carried_digest = []
    {
        return std::uint64_t{0};
    };
    callbacks.on_news_at_peer = [](const std::string&,
                                   const core::source_position&) {};
    callbacks.changes_since = [](const core::source_position&)
    {
        return std::string();
    };
    callbacks.on_changes = [](const std::string&) {};
    callbacks.on_peer_confirmation = [] {};
    callbacks.set_reading_enabled = [](bool) {};
    return callbacks;
}

/// One instance: a fleet and a gateway on their own address.
struct test_instance
{
    test_instance(boost::asio::io_context& io,
                  const std::string& address,
                  std::uint16_t port,
                  const std::string& seed,
                  core::server_registry announced,
                  const net::http_interface& names)
        : servers(std::move(announced))
    {
        net::fleet_settings fleet_options;
        fleet_options.self = {address, port};
        fleet_options.seeds = {seed};
        fleet_options.incarnation = 1000;
        net::fleet_callbacks callbacks = fleet_callbacks_without_source();
        callbacks.account_limit = [this](const std::string& account)
        {
            return this->entry->account_limit(account);
        };
        this->peers =
            net::fleet::create(io, fleet_options, this->servers, callbacks)
                .value();
        net::gateway_settings settings;
        settings.caller_endpoint = {address, 0};
        settings.data_centre = "suva";
        settings.names = names;
        this->entry =
            net::gateway::create(io, settings, *this->peers, this->servers)
                .value();
        EXPECT_FALSE(this->entry->start());
        this->address = address;
        this->peers->start();
    }

    core::server_registry servers;
    std::unique_ptr<net::fleet> peers;
    std::unique_ptr<net::gateway> entry;
    std::string address;
};

struct test_answer
{
    unsigned status = 0;
    std::string body;
    std::string retry_after; ///< header; empty if there is none
    bool cut = false; ///< the connection ended before the end of the answer
};

/// A caller with a connection of its own. Its calls block.
struct test_caller
{
    explicit test_caller(const tcp::endpoint& gateway_endpoint)
    {
        this->socket.connect(gateway_endpoint);
    }

    void send(const std::string& text)
    {
        boost::asio::write(this->socket, boost::asio::buffer(text));
    }

    /// Reads the next answer and skips interim ones.
    test_answer read_answer()
    {
        http::response<http::string_body> response;
        boost::system::error_code failure;
        do
        {
            response = {};
            http::read(this->socket, this->buffer, response, failure);
        } while (!failure && response.result_int() == 100);
        return {response.result_int(), response.body(),
                response[http::field::retry_after], static_cast<bool>(failure)};
    }

    boost::asio::io_context io;
    tcp::socket socket{this->io};
    boost::beast::flat_buffer buffer;
};

/// Fixture: a fleet of three instances in front of four servers of one service.
class a_gateway_fleet : public testing::Test
{
protected:
    a_gateway_fleet()
    {
        this->names.account = "Medlar-Account";
    }

    void SetUp() override
    {
        this->add_servers(4);
        auto new_document = std::make_shared<core::document>();
        new_document->version = 1;
        new_document->routes = {route_to("browse", "desk", true),
                                route_to("order", "desk", false)};
        core::client_account account;
        account.name = "loft";
        account.keys = {{net::digest_key(test_key), false}};
        account.rate_per_second = this->rate;
        account.burst = this->rate;
        new_document->accounts = {account};
        this->document = new_document;
        const std::uint16_t port = free_port();
        this->fleet_port = port;
        for (int index = 0; index < 3; ++index)
        {
            const std::string address = "127.0.7." + std::to_string(index + 1);
            this->fleet.push_back(std::make_unique<test_instance>(
                *this->io, address, port, "127.0.7.1", this->servers,
                this->names));
            this->fleet.back()->entry->apply_document(this->document);
        }
        this->thread = std::thread(
            [this]
            {
                this->io->run();
            });
        this->wait_until_joined();
    }

    void TearDown() override
    {
        this->end_fleet();
    }

    /// Stops the event loop and destroys everything that runs on it.
    void end_fleet()
    {
        if (this->thread.joinable())
        {
            this->io->stop();
            this->thread.join();
            this->fleet.clear();
            this->io.reset();
        }
    }

    virtual void add_servers(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index)
        {
            standin::server_options options;
            options.name = "s" + std::to_string(index);
            this->started_servers.push_back(
                std::make_unique<standin::server>(options));
            this->announce(options.name, this->started_servers.back()->port());
        }
    }

    void announce(const std::string& name, std::uint16_t port)
    {
        core::announced_server announced;
        announced.service = "desk";
        announced.started = 1;
        announced.server.name = name;
        announced.server.address = "127.0.0.1";
        announced.server.port = port;
        announced.server.data_centre = "suva";
        announced.server.slots = 3;
        announced.server.connections = this->connections;
        this->servers.put(announced);
    }

    /// Runs `read` on the thread of the fleet and returns its result.
    template <class Read>
    auto on_thread(Read read)
    {
        std::promise<decltype(read())> done;
        boost::asio::post(*this->io,
                          [&]
                          {
                              done.set_value(read());
                          });
        return done.get_future().get();
    }

    void wait_until_joined()
    {
        const auto end = std::chrono::steady_clock::now() + 20s;
        while (std::chrono::steady_clock::now() < end)
        {
            const bool joined = this->on_thread(
                [this]
                {
                    return std::all_of(
                        this->fleet.begin(), this->fleet.end(),
                        [this](const auto& instance)
                        {
                            return instance->peers->live_count() ==
                                   this->fleet.size();
                        });
                });
            if (joined)
            {
                return;
            }
            std::this_thread::sleep_for(10ms);
        }
        FAIL() << "the instances did not find each other";
    }

    void set_modes(const standin::server_faults& modes)
    {
        for (const auto& server : this->started_servers)
        {
            server->set_modes(modes);
        }
    }

    tcp::endpoint endpoint_of(std::size_t instance)
    {
        const std::uint16_t port = this->on_thread(
            [this, instance]
            {
                return this->fleet[instance]->entry->port();
            });
        return {boost::asio::ip::make_address(this->fleet[instance]->address),
                port};
    }

    test_answer call(std::size_t instance,
                     const std::string& target,
                     const std::string& key = test_key,
                     const std::string& body = "",
                     const std::string& id = "")
    {
        test_caller caller(this->endpoint_of(instance));
        http::request<http::string_body> request(
            body.empty() ? http::verb::get : http::verb::post, target, 11);
        request.set(http::field::host, "a.example");
        if (!key.empty())
        {
            request.set(http::field::authorization,
                        this->names.key_scheme + " " + key);
        }
        if (!id.empty())
        {
            request.set(this->names.request_id, id);
        }
        request.body() = body;
        request.prepare_payload();
        http::write(caller.socket, request);
        return caller.read_answer();
    }

    std::size_t executions() const
    {
        std::size_t count = 0;
        for (const auto& server : this->started_servers)
        {
            count += server->journal().size();
        }
        return count;
    }

    double rate = 1000.0;
    std::uint32_t connections = 360; ///< of each server, for all instances
    net::http_interface names;
    std::uint16_t fleet_port = 0;
    std::unique_ptr<boost::asio::io_context> io =
        std::make_unique<boost::asio::io_context>(1);
    core::server_registry servers;
    std::vector<std::unique_ptr<standin::server>> started_servers;
    std::shared_ptr<const core::document> document;
    std::vector<std::unique_ptr<test_instance>> fleet;
    std::thread thread;
};

} // namespace medlarbarrow::tests
