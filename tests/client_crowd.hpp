/// Many clients at once, each with a connection of its own: they send the start
/// of a request, stop, and keep the connection open.
#pragma once

#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace medlarbarrow::tests
{

/// What one client of a crowd sends.
struct crowd_request
{
    std::string id;
    std::string beginning;                       ///< the head
    std::shared_ptr<const std::string> repeated; ///< a part of the body
    std::size_t times = 0;                       ///< how often it is sent
    /// Sent when the crowd is told to go on, and not before.
    std::string ending;
};

/// What one client of a crowd saw.
struct crowd_response
{
    std::string id;
    unsigned status = 0; ///< 0: no whole answer so far
};

/// How the clients of a crowd connect.
struct crowd_connections
{
    boost::asio::ip::address source{}; ///< of all of them; unspecified: any
    /// Room in the system for what is sent; 0: the system's default. With
    /// little room, what is sent lies with the reader.
    int send_buffer_bytes = 32768;
};

/// Clients that start shortly after each other, on a thread of their own. Their
/// connections stay open until the crowd is destroyed.
class client_crowd
{
public:
    using endpoint = boost::asio::ip::tcp::endpoint;

    client_crowd(endpoint wanted_target,
                 std::vector<crowd_request> requests,
                 crowd_connections wanted_connections = {})
        : target(std::move(wanted_target)),
          options(std::move(wanted_connections))
    {
        for (crowd_request& request : requests)
        {
            this->clients.push_back(
                std::make_unique<client>(this->io, std::move(request)));
        }
        boost::asio::co_spawn(this->io, this->start_all(),
                              boost::asio::detached);
        this->thread = std::thread(
            [this]
            {
                const auto work = boost::asio::make_work_guard(this->io);
                this->io.run();
            });
    }

    client_crowd(const client_crowd&) = delete;
    client_crowd& operator=(const client_crowd&) = delete;

    ~client_crowd()
    {
        this->io.stop();
        this->thread.join();
    }

    /// Waits until no client has made progress for `quiet_time`: they have
    /// stopped, are refused or wait until more is read from them. Calls the
    /// observer meanwhile.
    void wait_until_quiet(const std::function<void()>& observer) const
    {
        using clock = std::chrono::steady_clock;
        const auto end = clock::now() + max_wait;
        auto last_change = clock::now();
        std::uint64_t last_steps = this->steps;
        while (clock::now() < end && clock::now() - last_change < quiet_time)
        {
            std::this_thread::sleep_for(poll_period);
            observer();
            if (const std::uint64_t now = this->steps; now != last_steps)
            {
                last_steps = now;
                last_change = clock::now();
            }
        }
    }

    /// Lets all clients send the end of their requests.
    void go_on()
    {
        boost::asio::post(this->io,
                          [this]
                          {
                              for (const auto& member : this->clients)
                              {
                                  member->may_end = true;
                                  member->resumed.cancel();
                              }
                          });
    }

    std::vector<crowd_response> responses() const
    {
        const std::lock_guard guard(this->mutex);
        std::vector<crowd_response> all;
        for (const auto& member : this->clients)
        {
            all.push_back({member->request.id, member->status});
        }
        return all;
    }

    /// Clients whose connection was accepted.
    std::size_t connected() const
    {
        return this->connections;
    }

    /// Clients that have sent all but the end of their requests.
    std::size_t stopped() const
    {
        return this->stops;
    }

private:
    static constexpr std::chrono::milliseconds poll_period{20};
    static constexpr std::chrono::milliseconds quiet_time{1000};
    static constexpr std::chrono::seconds max_wait{8};
    /// Connections that are all opened at the same moment count as idle at the
    /// instance, which closes them; so a few are opened at a time.
    static constexpr std::size_t clients_per_step = 10;
    static constexpr std::chrono::milliseconds step_period{5};

    struct client
    {
        client(boost::asio::io_context& io, crowd_request wanted)
            : request(std::move(wanted)), socket(io),
              resumed(io, std::chrono::steady_clock::time_point::max())
        {
        }

        crowd_request request;
        boost::asio::ip::tcp::socket socket;
        boost::asio::steady_timer resumed;
        bool may_end = false;
        unsigned status = 0;
    };

    boost::asio::awaitable<void> start_all()
    {
        boost::asio::steady_timer pause(this->io);
        std::size_t started = 0;
        for (const auto& member : this->clients)
        {
            boost::asio::co_spawn(this->io, this->run(*member),
                                  boost::asio::detached);
            if (++started % clients_per_step == 0)
            {
                pause.expires_after(step_period);
                co_await pause.async_wait(boost::asio::use_awaitable);
            }
        }
    }

    boost::asio::awaitable<void> run(client& member)
    {
        boost::system::error_code failure;
        member.socket.open(this->target.protocol(), failure);
        if (this->options.send_buffer_bytes > 0)
        {
            member.socket.set_option(boost::asio::socket_base::send_buffer_size(
                                         this->options.send_buffer_bytes),
                                     failure);
        }
        if (!this->options.source.is_unspecified())
        {
            member.socket.bind({this->options.source, 0}, failure);
        }
        failure = {};
        co_await member.socket.async_connect(
            target,
            boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (failure)
        {
            co_return;
        }
        ++this->connections;
        ++this->steps;
        boost::asio::co_spawn(this->io, this->read(member),
                              boost::asio::detached);
        bool sent = co_await this->write(member, member.request.beginning);
        for (std::size_t count = 0; sent && count < member.request.times;
             ++count)
        {
            sent = co_await this->write(member, *member.request.repeated);
        }
        if (!sent)
        {
            co_return;
        }
        ++this->stops;
        while (!member.may_end)
        {
            co_await member.resumed.async_wait(boost::asio::redirect_error(
                boost::asio::use_awaitable, failure));
        }
        co_await this->write(member, member.request.ending);
    }

    boost::asio::awaitable<bool> write(client& member, const std::string& text)
    {
        boost::system::error_code failure;
        std::size_t sent = 0;
        while (!failure && sent < text.size())
        {
            sent += co_await member.socket.async_write_some(
                boost::asio::buffer(text.data() + sent, text.size() - sent),
                boost::asio::redirect_error(boost::asio::use_awaitable,
                                            failure));
            ++this->steps;
        }
        co_return !failure;
    }

    boost::asio::awaitable<void> read(client& member)
    {
        namespace http = boost::beast::http;
        boost::system::error_code failure;
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        co_await http::async_read(
            member.socket, buffer, response,
            boost::asio::redirect_error(boost::asio::use_awaitable, failure));
        if (!failure)
        {
            const std::lock_guard guard(this->mutex);
            member.status = response.result_int();
        }
        ++this->steps;
    }

    endpoint target;
    crowd_connections options;
    boost::asio::io_context io;
    std::vector<std::unique_ptr<client>> clients;
    std::atomic<std::uint64_t> steps = 0;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> stops = 0;
    mutable std::mutex mutex; ///< guards `status` of all clients
    std::thread thread;
};

} // namespace medlarbarrow::tests
