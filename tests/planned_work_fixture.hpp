/// Real instances with a store and backend servers, clients that keep their
/// connections, and checks that no request ended without an answer.
#pragma once

#include "process.hpp"

#include <atomic>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <filesystem>
#include <fmt/format.h>
#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <mutex>
#include <optional>
#include <platform/names.hpp>
#include <set>
#include <standin/server.hpp>
#include <standin/store.hpp>

namespace medlarbarrow::tests
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using namespace std::chrono_literals;
using asio::ip::tcp;
using error_code = boost::system::error_code;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// The platform kills an instance this long after SIGTERM.
inline constexpr milliseconds grace{6000};
/// A request that runs in the last sixth of the grace may be broken off if it
/// was sent no later than this after SIGTERM.
inline constexpr milliseconds excused_send_time{3000};
inline constexpr milliseconds excused_end_time = grace - grace / 6;
/// A request that the instance has not passed on may cross the close of its
/// connection within this time.
inline constexpr milliseconds crossing_time{200};
/// Timeout of the routes; no request of these tests reaches it.
inline constexpr const char* route_timeout = "30s";

inline const std::string request_id_header =
    platform::http_interface_names().request_id;

/// One request as its client sends it.
struct call_plan
{
    std::string target;
    std::string body{};
    milliseconds pause_in_head{0};
    milliseconds pause_in_body{0};
    /// Runs after the head of the answer has been read and before its body.
    std::function<void()> before_body{};
};

/// One request as its client has seen it.
struct call_record
{
    std::string id;
    std::string target;
    std::size_t instance = 0;
    steady::time_point sent;  ///< when its last byte was written
    steady::time_point ended; ///< of the answer or of the connection
    unsigned status = 0;      ///< 0: no answer
    bool complete = false;
    bool closes = false; ///< the answer says "Connection: close"
    std::string retry_after;
    std::string body_start;
    std::string ending; ///< how the connection ended, if it did
};

inline std::string make_config(unsigned version,
                               const std::string& idle_timeout = "60000ms")
{
    std::string rows;
    for (const char* name : {"order", "wait", "long", "stream", "next"})
    {
        // Only the requests that wait must be of use after a long time.
        const bool waits = std::string_view(name) == "wait";
        rows += fmt::format(R"(["{0}","a.example","/{0}/","unsafe","{1}",)"
                            R"("{2}",1,"desk",2,true],)",
                            name, route_timeout, waits ? "20s" : "800ms");
    }
    rows += fmt::format(R"(["browse","a.example","/browse/","safe","{}",)"
                        R"("800ms",2,"desk",2,true])",
                        route_timeout);
    return fmt::format(
        R"({{"version":"r{}","routes":{{"columns":["name","host","prefix",)"
        R"("kind","timeout","targetLatency","priority","service",)"
        R"("maxAttempts","authExempt"],"rows":[{}]}},"services":{{"columns":)"
        R"(["name","healthCheck"],"rows":[["desk","/healthz"]]}},"limits":)"
        R"({{"maxHeaderBytes":16384,"maxBodyBytes":10000000,)"
        R"("headerTimeout":"20000ms","idleTimeout":"{}"}}}})",
        version, rows, idle_timeout);
}

inline std::string make_server_item(std::uint16_t port, unsigned slots)
{
    return fmt::format(
        R"({{"address":"127.0.0.1:{}","info":{{"service":"desk","version":)"
        R"("v1","zone":"suva","slots":{}}},"status":{{"state":"ready",)"
        R"("sequence":1,"warmupLeft":"0ms"}},"born":1700000000000}})",
        port, slots);
}

/// A connection that its client keeps and uses again until it ends.
class kept_connection
{
public:
    kept_connection(std::size_t number, tcp::endpoint endpoint)
        : instance(number), target(std::move(endpoint)), socket(this->io)
    {
    }

    bool is_open() const
    {
        return this->socket.is_open();
    }

    /// False when the instance does not accept connections.
    bool connect()
    {
        error_code failure;
        this->buffer.clear();
        this->socket = tcp::socket(this->io);
        this->socket.open(this->target.protocol(), failure);
        this->socket.set_option(tcp::no_delay(true), failure);
        // Little room, so that an answer that is not read stops its writer.
        this->socket.set_option(asio::socket_base::receive_buffer_size(16384),
                                failure);
        // A request that hangs must end the test.
        const timeval limit{40, 0};
        ::setsockopt(this->socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO,
                     &limit, sizeof limit);
        failure = {};
        this->socket.connect(this->target, failure);
        if (failure)
        {
            this->socket.close();
        }
        return !failure;
    }

    call_record call(const call_plan& plan)
    {
        static std::atomic<unsigned> last_number{0};
        call_record record;
        record.id = fmt::format("q{}", ++last_number);
        record.target = plan.target;
        record.instance = this->instance;
        this->send(plan, record);
        record.sent = steady::now();
        this->receive(plan, record);
        record.ended = steady::now();
        if (!record.complete || record.closes)
        {
            this->socket.close();
        }
        return record;
    }

private:
    void send(const call_plan& plan, const call_record& record)
    {
        const std::string head =
            fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                        "Content-Length: {}\r\n\r\n",
                        plan.body.empty() ? "GET" : "POST", plan.target,
                        request_id_header, record.id, plan.body.size());
        const std::size_t half = head.size() / 2;
        this->write(head.substr(0, half), plan.pause_in_head);
        const std::string rest = head.substr(half) + plan.body;
        const std::size_t body_half = plan.body.size() / 2;
        this->write(rest.substr(0, rest.size() - body_half),
                    plan.pause_in_body);
        this->write(rest.substr(rest.size() - body_half), 0ms);
    }

    // A failed write is left to the read: the answer may have come before.
    void write(const std::string& text, milliseconds pause)
    {
        error_code ignored;
        asio::write(this->socket, asio::buffer(text), ignored);
        std::this_thread::sleep_for(pause);
    }

    void receive(const call_plan& plan, call_record& record)
    {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        error_code failure;
        http::read_header(this->socket, this->buffer, parser, failure);
        if (!failure)
        {
            const auto& header = parser.get();
            record.status = header.result_int();
            record.closes = !header.keep_alive();
            record.retry_after = std::string(header[http::field::retry_after]);
            if (plan.before_body)
            {
                plan.before_body();
            }
            http::read(this->socket, this->buffer, parser, failure);
            record.body_start = parser.get().body().substr(0, 80);
        }
        record.complete = !failure;
        record.ending = failure ? failure.message() : "answered";
    }

    std::size_t instance;
    tcp::endpoint target;
    asio::io_context io;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
};

inline double seconds_between(steady::time_point from, steady::time_point to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Instances of the daemon with a store and backend servers.
class a_fleet_on_a_platform : public testing::Test
{
protected:
    void SetUp() override
    {
        this->folder = std::filesystem::temp_directory_path() /
                       fmt::format("medlarbarrow-stop-{}", ::getpid());
        std::filesystem::create_directories(this->folder);
        this->network = fmt::format("127.{}.{}", 20 + ::getpid() / 250 % 200,
                                    1 + ::getpid() % 250);
        for (std::uint16_t* port :
             {&this->callers, &this->ready, &this->peers, &this->metrics})
        {
            *port = free_port();
        }
        this->store.put("op/config", make_config(1));
    }

    void TearDown() override
    {
        this->instances.clear();
        std::filesystem::remove_all(this->folder);
    }

    void add_servers(unsigned count, unsigned slots)
    {
        for (unsigned index = 0; index < count; ++index)
        {
            const net::http_interface names = platform::http_interface_names();
            standin::server_options options;
            options.headers = {names.request_id, names.not_run,
                               names.success_mark};
            options.slots = slots;
            this->servers.push_back(std::make_unique<standin::server>(options));
            this->store.put(
                fmt::format("servers/s-{}", this->servers.size()),
                make_server_item(this->servers.back()->port(), slots));
        }
    }

    std::string address(std::size_t index) const
    {
        return fmt::format("{}.{}", this->network, index + 1);
    }

    std::filesystem::path settings_path(std::size_t index) const
    {
        return this->folder / fmt::format("entry-{}.json", index);
    }

    void write_settings(std::size_t index, const std::string& seeds)
    {
        const std::string own = this->address(index);
        std::ofstream(this->settings_path(index)) << fmt::format(
            R"({{"name":"entry-{0}","data_centre":"suva","region":"viti",)"
            R"("callers":"{1}:{2}","ready":"{1}:{3}","peers":"{1}:{4}",)"
            R"("metrics":"{1}:{5}","fleet":"{1}:{4}",)"
            R"("source":"127.0.0.1:{6}","seeds":[{7}],"bounds":["grace={8}ms"],)"
            R"("max_files":{9}}})",
            index, own, this->callers, this->ready, this->peers, this->metrics,
            this->source == 0 ? this->store.port() : this->source, seeds,
            grace.count(), this->max_files);
    }

    void start_instance(std::size_t index)
    {
        this->instances.resize(std::max(this->instances.size(), index + 1));
        this->instances[index] = std::make_unique<process>(
            PROGRAM_DIR "/medlarfleetd",
            std::vector<std::string>{this->settings_path(index)},
            this->folder / fmt::format("entry-{}.{}.log", index, ++this->runs));
    }

    void start_fleet(std::size_t count)
    {
        const std::string seeds =
            fmt::format(R"("{}:{}")", this->address(0), this->peers);
        for (std::size_t index = 0; index < count; ++index)
        {
            this->write_settings(index, seeds);
            this->start_instance(index);
        }
        for (std::size_t index = 0; index < count; ++index)
        {
            ASSERT_TRUE(eventually(
                [this, index]
                {
                    return this->readiness(index) == 200;
                }))
                << this->instances[index]->log();
        }
    }

    tcp::endpoint endpoint_of(std::size_t index) const
    {
        return {asio::ip::make_address(this->address(index)), this->callers};
    }

    kept_connection connection_to(std::size_t index) const
    {
        return {index, this->endpoint_of(index)};
    }

    /// Fetches a page of a listener; status 0 if that fails.
    http::response<http::string_body>
    fetch(std::size_t index, std::uint16_t port, const std::string& path) const
    {
        http::response<http::string_body> response;
        response.result(0U);
        asio::io_context io;
        tcp::socket socket(io);
        error_code failure;
        socket.connect({asio::ip::make_address(this->address(index)), port},
                       failure);
        if (!failure)
        {
            asio::write(socket,
                        asio::buffer("GET " + path +
                                     " HTTP/1.1\r\nHost: a.example\r\n\r\n"),
                        failure);
        }
        boost::beast::flat_buffer buffer;
        if (!failure)
        {
            http::read(socket, buffer, response, failure);
        }
        return response;
    }

    unsigned readiness(std::size_t index) const
    {
        return this->fetch(index, this->ready, platform::ready_path)
            .result_int();
    }

    /// Ids of the requests that have reached a server.
    std::set<std::string> passed_on() const
    {
        std::set<std::string> ids;
        for (const auto& server : this->servers)
        {
            for (const standin::execution& run : server->journal())
            {
                for (const auto& [name, value] : run.headers)
                {
                    if (boost::beast::iequals(name, request_id_header))
                    {
                        ids.insert(value);
                    }
                }
            }
        }
        return ids;
    }

    void stop_instance(std::size_t index)
    {
        {
            const std::lock_guard guard(this->mutex);
            this->stops[index].push_back(steady::now());
        }
        this->instances[index]->send(SIGTERM);
    }

    /// Time of the last SIGTERM before the time, if any.
    std::optional<steady::time_point> stop_before(std::size_t index,
                                                  steady::time_point time)
    {
        const std::lock_guard guard(this->mutex);
        std::optional<steady::time_point> last;
        for (const steady::time_point stop : this->stops[index])
        {
            if (stop <= time)
            {
                last = stop;
            }
        }
        return last;
    }

    std::string describe(const call_record& record, bool reached)
    {
        std::string text = fmt::format(
            "request {} {} at instance {}: passed on: {}, status {}, complete: "
            "{}, {} after {:.3f} s ({})",
            record.id, record.target, record.instance, reached, record.status,
            record.complete, record.ending,
            seconds_between(record.sent, record.ended), record.body_start);
        if (const auto stop = this->stop_before(record.instance, record.ended))
        {
            text += fmt::format("; sent {:.3f} s and ended {:.3f} s after the "
                                "last SIGTERM before its end",
                                seconds_between(*stop, record.sent),
                                seconds_between(*stop, record.ended));
        }
        return text;
    }

    /// True if a request that was passed on may be broken off.
    bool is_excused(const call_record& record)
    {
        const auto stop = this->stop_before(record.instance, record.ended);
        return stop && record.sent <= *stop + excused_send_time &&
               record.ended >= *stop + excused_end_time;
    }

    /// The backend servers answer 200. Every other end of a request that has
    /// reached one is a lost answer.
    bool is_lost(const call_record& record, bool reached)
    {
        if (reached)
        {
            const bool served = record.complete && record.status == 200;
            return !served && !this->is_excused(record);
        }
        return !record.complete && (record.status != 0 ||
                                    record.ended - record.sent > crossing_time);
    }

    void expect_none_lost(const std::vector<call_record>& records)
    {
        const std::set<std::string> reached = this->passed_on();
        std::size_t lost = 0;
        for (const call_record& record : records)
        {
            const bool passed = reached.contains(record.id);
            if (this->is_lost(record, passed))
            {
                ++lost;
                ADD_FAILURE() << this->describe(record, passed);
            }
        }
        EXPECT_EQ(lost, 0U) << "of " << records.size() << " requests";
    }

    void expect_refused(const call_record& record)
    {
        const bool reached = this->passed_on().contains(record.id);
        const std::string text = this->describe(record, reached);
        EXPECT_FALSE(reached) << text;
        EXPECT_EQ(record.status, 503U) << text;
        EXPECT_TRUE(record.complete) << text;
        EXPECT_TRUE(record.closes) << text;
        EXPECT_FALSE(record.retry_after.empty()) << text;
    }

    void expect_served(const call_record& record)
    {
        const std::string text =
            this->describe(record, this->passed_on().contains(record.id));
        EXPECT_EQ(record.status, 200U) << text;
        EXPECT_TRUE(record.complete) << text;
    }

    std::filesystem::path folder;
    std::string network;
    std::uint16_t callers = 0;
    std::uint16_t ready = 0;
    std::uint16_t peers = 0;
    std::uint16_t metrics = 0;
    unsigned max_files = 1024;
    std::uint16_t source = 0; ///< port of the store; 0: that of `store`
    unsigned runs = 0;
    standin::store store;
    std::vector<std::unique_ptr<standin::server>> servers;
    std::vector<std::unique_ptr<process>> instances;
    std::mutex mutex; ///< guards `stops`
    std::map<std::size_t, std::vector<steady::time_point>> stops;
};

/// One instance with enough servers for its load.
class an_instance : public a_fleet_on_a_platform
{
protected:
    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        this->add_servers(4, 8);
        this->start_fleet(1);
    }

    /// Uses kept connections until `ended` is set. A client whose connection
    /// ends opens the next one, for as long as the instance accepts it.
    void start_load(std::size_t clients, const call_plan& plan)
    {
        for (std::size_t index = 0; index < clients; ++index)
        {
            this->threads.emplace_back(
                [this, plan]
                {
                    this->run_client(plan);
                });
        }
    }

    void run_client(const call_plan& plan)
    {
        kept_connection connection = this->connection_to(0);
        while (!this->ended)
        {
            if (!connection.is_open() && !connection.connect())
            {
                std::this_thread::sleep_for(20ms);
                continue;
            }
            const call_record record = connection.call(plan);
            {
                const std::lock_guard guard(this->mutex);
                this->records.push_back(record);
            }
            std::this_thread::sleep_for(5ms);
        }
    }

    std::vector<call_record> end_load()
    {
        this->ended = true;
        for (std::thread& thread : this->threads)
        {
            thread.join();
        }
        this->threads.clear();
        return this->records;
    }

    void TearDown() override
    {
        this->end_load();
        a_fleet_on_a_platform::TearDown();
    }

    std::atomic<bool> ended = false;
    std::vector<std::thread> threads;
    std::vector<call_record> records;
};

} // namespace medlarbarrow::tests
