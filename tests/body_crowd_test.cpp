/// Real instances among crowds of clients that announce or begin requests and
/// do not end them: the process lives, its memory and its descriptors stay
/// under a bound, and an ordinary request is answered meanwhile.
#include "client_crowd.hpp"
#include "planned_work_fixture.hpp"

#include <boost/asio/read.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <sys/resource.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Half of what the users' machines have.
constexpr std::size_t max_peak_kib = sanitizer_memory_factor * (130U << 10U);

/// Descriptors of the users' machines, and of a smaller one.
constexpr unsigned machine_files = 4100;
constexpr unsigned few_files = 1400;

/// Clients of a crowd: more than a third of a machine's descriptors.
constexpr std::size_t crowd_size = 1500;
/// More than the smaller machine has descriptors.
constexpr std::size_t large_crowd_size = 2400;

constexpr std::size_t mebibyte = 1U << 20U;
constexpr std::size_t full_body_bytes = 64 * mebibyte;
constexpr std::size_t piece_bytes = 65536;
constexpr std::size_t unread_answer_bytes = 30'000'000;
/// Of a client's socket for what it receives.
constexpr int small_buffer_bytes = 4096;
constexpr int usual_buffer_bytes = 131'072;
/// What a client withholds of its body.
constexpr std::size_t withheld_bytes = 10;

/// How long a client with an ordinary request waits for an answer, and goes on
/// trying. The timeouts of the instance are longer, so that what the crowd
/// occupies doesn't come free by itself meanwhile.
constexpr auto attempt_patience = 5s;
constexpr auto patience = 30s;
constexpr const char* long_timeout = "60s";

std::shared_ptr<const std::string> share(std::string text)
{
    return std::make_shared<const std::string>(std::move(text));
}

std::string repeat(const std::string& text, std::size_t times)
{
    std::string all;
    all.reserve(text.size() * times);
    for (std::size_t count = 0; count < times; ++count)
    {
        all += text;
    }
    return all;
}

std::string make_head(const std::string& target,
                      const std::string& id,
                      const std::string& framing)
{
    return fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                       "{}\r\n\r\n",
                       target, request_id_header, id, framing);
}

std::string make_chunk(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'c'));
}

using request_maker =
    std::function<crowd_request(const std::string& target, std::size_t index)>;

/// Requests with an announced body.
request_maker announced(std::size_t body_bytes)
{
    const auto piece =
        share(std::string(std::min(piece_bytes, body_bytes), 'b'));
    return [=](const std::string& target, std::size_t index)
    {
        const std::size_t times = (body_bytes - withheld_bytes) / piece->size();
        const std::size_t rest =
            body_bytes - withheld_bytes - times * piece->size();
        crowd_request request;
        request.id = fmt::format("crowd-{}", index);
        request.beginning =
            make_head(target, request.id,
                      fmt::format("Content-Length: {}", body_bytes)) +
            std::string(rest, 'b');
        request.repeated = piece;
        request.times = times;
        request.ending = std::string(withheld_bytes, 'e');
        return request;
    };
}

/// Requests with headers below the limit of 16 KiB, of as many lines as fit,
/// and with bodies whose end is withheld.
request_maker many_header_lines()
{
    constexpr std::size_t max_head_bytes = 16'000;
    constexpr std::string_view line = "a:\r\n";
    constexpr std::size_t body_bytes = 10;
    return [=](const std::string& target, std::size_t index)
    {
        crowd_request request;
        request.id = fmt::format("crowd-{}", index);
        const std::string framing =
            fmt::format("Content-Length: {}", body_bytes);
        std::string lines;
        lines.reserve(max_head_bytes);
        const std::size_t bare_bytes =
            make_head(target, request.id, framing).size();
        while (bare_bytes + lines.size() + line.size() <= max_head_bytes)
        {
            lines += line;
        }
        request.beginning = make_head(target, request.id, lines + framing);
        request.repeated = share("");
        request.ending = std::string(body_bytes, 'e');
        return request;
    };
}

/// Requests with chunked bodies whose last chunk is withheld.
request_maker chunked(std::size_t chunk_bytes, std::size_t body_bytes)
{
    const std::size_t chunks_per_piece =
        std::max<std::size_t>(1, piece_bytes / (chunk_bytes + 5));
    const std::size_t chunks = body_bytes / chunk_bytes;
    const auto piece = share(repeat(make_chunk(chunk_bytes), chunks_per_piece));
    return [=](const std::string& target, std::size_t index)
    {
        crowd_request request;
        request.id = fmt::format("crowd-{}", index);
        request.beginning =
            make_head(target, request.id, "Transfer-Encoding: chunked") +
            repeat(make_chunk(chunk_bytes), chunks % chunks_per_piece);
        request.repeated = piece;
        request.times = chunks / chunks_per_piece;
        request.ending = "0\r\n\r\n";
        return request;
    };
}

/// Heads of some length without their end.
request_maker unfinished_heads()
{
    constexpr std::size_t field_bytes = 8000;
    const auto field =
        share(fmt::format("X-A: {}\r\n", std::string(field_bytes, 'h')));
    return [=](const std::string& target, std::size_t index)
    {
        crowd_request request;
        request.id = fmt::format("crowd-{}", index);
        request.beginning =
            fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                        "Content-Length: 0\r\n",
                        target, request_id_header, request.id);
        request.repeated = field;
        request.times = 1;
        request.ending = "\r\n";
        return request;
    };
}

std::vector<crowd_request> make_requests(std::size_t count,
                                         const std::string& target,
                                         const request_maker& make)
{
    std::vector<crowd_request> requests;
    for (std::size_t index = 0; index < count; ++index)
    {
        requests.push_back(make(target, index));
    }
    return requests;
}

asio::awaitable<unsigned> exchange(tcp::endpoint target,
                                   const std::string& text,
                                   asio::ip::address source)
{
    boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
    error_code failure;
    stream.socket().open(target.protocol(), failure);
    if (!source.is_unspecified())
    {
        stream.socket().bind({source, 0}, failure);
    }
    stream.expires_after(attempt_patience);
    co_await stream.async_connect(
        target, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return 0;
    }
    // A failed write is left to the read: the answer may have come before.
    co_await asio::async_write(
        stream, asio::buffer(text),
        asio::redirect_error(asio::use_awaitable, failure));
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    failure = {};
    co_await http::async_read(
        stream, buffer, response,
        asio::redirect_error(asio::use_awaitable, failure));
    co_return failure ? 0 : response.result_int();
}

/// Sends a request on a connection of its own; returns the status, or 0 if no
/// whole answer came while its client waited.
unsigned send_ordinary(const tcp::endpoint& target,
                       const std::string& text,
                       const asio::ip::address& source)
{
    asio::io_context io;
    auto status =
        asio::co_spawn(io, exchange(target, text, source), asio::use_future);
    io.run();
    return status.get();
}

/// Repeats a request as its client would until it is served.
void expect_answer(const tcp::endpoint& target,
                   const std::string& text,
                   const asio::ip::address& source = {})
{
    std::map<unsigned, unsigned> statuses;
    const auto start = steady::now();
    EXPECT_TRUE(eventually(
        [&]
        {
            const unsigned status = send_ordinary(target, text, source);
            ++statuses[status];
            return status == 200;
        },
        patience));
    std::cout << "ordinary request, " << seconds_between(start, steady::now())
              << " s:";
    for (const auto& [status, count] : statuses)
    {
        std::cout << " status " << status << " " << count << " times;";
    }
    std::cout << "\n";
}

/// The descriptors that this process needs for its side of all connections.
bool has_descriptors()
{
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 &&
           limit.rlim_cur >= machine_files;
}

/// Bounds that hold for a process whatever its clients do.
class process_watch
{
public:
    process_watch(const process& program, std::size_t file_limit)
        : watched(program), max_files(file_limit)
    {
    }

    void observe()
    {
        this->most_files =
            std::max(this->most_files, this->watched.open_files());
    }

    void expect_in_bounds()
    {
        this->observe();
        EXPECT_TRUE(this->watched.is_running());
        const std::size_t peak = this->watched.peak_memory_kib();
        std::cout << "peak memory: " << peak
                  << " KiB, descriptors: " << this->most_files << "\n";
        EXPECT_GT(peak, 0U);
        EXPECT_LT(peak, max_peak_kib);
        EXPECT_GT(this->most_files, 0U);
        EXPECT_LE(this->most_files, this->max_files);
    }

private:
    const process& watched;
    std::size_t max_files;
    std::size_t most_files = 0;
};

void replace_all(std::string& text,
                 const std::string& from,
                 const std::string& to)
{
    std::size_t at = text.find(from);
    ASSERT_NE(at, std::string::npos) << from;
    while (at != std::string::npos)
    {
        text.replace(at, from.size(), to);
        at = text.find(from, at + to.size());
    }
}

/// A server that accepts connections and reads nothing from them.
class server_without_reads
{
public:
    server_without_reads() : acceptor(this->io, {tcp::v4(), 0})
    {
        this->thread = std::thread(
            [this]
            {
                this->accept_next();
                this->io.run();
            });
    }

    server_without_reads(const server_without_reads&) = delete;
    server_without_reads& operator=(const server_without_reads&) = delete;

    ~server_without_reads()
    {
        this->io.stop();
        this->thread.join();
    }

    std::uint16_t port() const
    {
        return this->acceptor.local_endpoint().port();
    }

private:
    void accept_next()
    {
        this->acceptor.async_accept(
            [this](error_code failure, tcp::socket socket)
            {
                if (!failure)
                {
                    this->open.push_back(std::move(socket));
                    this->accept_next();
                }
            });
    }

    asio::io_context io;
    tcp::acceptor acceptor;
    std::vector<tcp::socket> open;
    std::thread thread;
};

} // namespace

/// Given an instance with two servers of few slots each.
class an_instance_with_few_slots : public a_fleet_on_a_platform
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(has_descriptors())
            << "the test needs " << machine_files << " file descriptors";
        a_fleet_on_a_platform::SetUp();
        this->max_files = machine_files;
        this->add_servers(2, 4);
    }

    void TearDown() override
    {
        this->crowd.reset();
        a_fleet_on_a_platform::TearDown();
    }

    void start(std::size_t max_body_bytes = full_body_bytes,
               const std::string& timeout = long_timeout,
               std::size_t instance_count = 1)
    {
        std::string text = make_config(1);
        replace_all(text, fmt::format("\"{}\"", route_timeout),
                    fmt::format("\"{}\"", timeout));
        replace_all(text, R"("headerTimeout":"20000ms")",
                    fmt::format(R"("headerTimeout":"{}")", long_timeout));
        replace_all(text, "10000000", std::to_string(max_body_bytes));
        replace_all(text, R"(["browse",)",
                    fmt::format(R"(["silent","a.example","/silent/","unsafe",)"
                                R"("{}","800ms",1,"silent",2,true],["browse",)",
                                timeout));
        replace_all(text, R"(["desk","/healthz"])",
                    R"(["silent","/healthz"],["desk","/healthz"])");
        this->store.put("op/config", text);
        this->start_fleet(instance_count);
        this->watch = std::make_unique<process_watch>(*this->instances[0],
                                                      this->max_files);
    }

    /// Starts the clients and waits until they do no more.
    void send_crowd(std::size_t count,
                    const std::string& target,
                    const request_maker& make,
                    const crowd_connections& connections = {})
    {
        this->crowd = std::make_unique<client_crowd>(
            this->endpoint_of(0), make_requests(count, target, make),
            connections);
        this->crowd->wait_until_quiet(
            [this]
            {
                this->watch->observe();
            });
        std::cout << count << " clients: " << this->crowd->connected()
                  << " connected, " << this->crowd->stopped() << " stopped\n";
        EXPECT_GT(this->crowd->connected(), 0U);
    }

    void expect_ordinary_served(const asio::ip::address& source = {})
    {
        expect_answer(this->endpoint_of(0),
                      fmt::format("GET /browse/1 HTTP/1.1\r\n"
                                  "Host: a.example\r\n{}: ordinary-1\r\n"
                                  "Connection: close\r\n\r\n",
                                  request_id_header),
                      source);
        // A second wait tells nothing more.
        if (!this->HasFailure())
        {
            expect_answer(this->endpoint_of(0),
                          make_head("/order/1", "ordinary-2",
                                    "Content-Length: 5\r\nConnection: close") +
                              "small",
                          source);
        }
    }

    void play(std::size_t count,
              const std::string& target,
              const request_maker& make)
    {
        this->send_crowd(count, target, make);
        this->expect_ordinary_served();
        this->watch->expect_in_bounds();
        this->expect_truthful();
    }

    /// What was answered with 408, 429 or 503 has not run; what has an end of
    /// its own withheld is no success. Returns the number of refusals.
    std::size_t expect_truthful()
    {
        const std::set<std::string> ran = this->passed_on();
        std::size_t refused = 0;
        for (const crowd_response& response : this->crowd->responses())
        {
            const bool says_not_run = response.status == 408 ||
                                      response.status == 429 ||
                                      response.status == 503;
            refused += says_not_run ? 1 : 0;
            EXPECT_FALSE(says_not_run && ran.contains(response.id))
                << response.id << ": " << response.status;
            EXPECT_FALSE(response.status == 200 && !ran.contains(response.id))
                << response.id;
        }
        std::cout << "refused as not run: " << refused << "\n";
        return refused;
    }

    /// Connects clients that ask for long answers and read nothing, and waits
    /// until these have come.
    std::vector<tcp::socket>
    ask_for_answers(asio::io_context& io,
                    std::size_t count,
                    int receive_buffer_bytes = small_buffer_bytes,
                    std::size_t instance = 0) const
    {
        std::vector<tcp::socket> readers;
        for (std::size_t index = 0; index < count; ++index)
        {
            tcp::socket& reader = readers.emplace_back(io);
            reader.open(tcp::v4());
            reader.set_option(
                asio::socket_base::receive_buffer_size(receive_buffer_bytes));
            reader.connect(this->endpoint_of(instance));
            asio::write(reader,
                        asio::buffer(fmt::format(
                            "GET /browse/1?bytes={} HTTP/1.1\r\n"
                            "Host: a.example\r\n{}: unread-{}\r\n\r\n",
                            unread_answer_bytes, request_id_header, index)));
        }
        std::this_thread::sleep_for(2s);
        return readers;
    }

    void expect_none_ran()
    {
        const std::set<std::string> ran = this->passed_on();
        for (const crowd_response& response : this->crowd->responses())
        {
            EXPECT_FALSE(ran.contains(response.id)) << response.id;
            EXPECT_NE(response.status / 100, 2U) << response.id;
        }
    }

    std::unique_ptr<process_watch> watch;
    std::unique_ptr<client_crowd> crowd;
};

// Guards against large announced bodies that stop just short of their end:
// their buffers fill the memory, and their requests hold the slots of the
// servers.
TEST_F(an_instance_with_few_slots, serves_others_beside_announced_bodies)
{
    this->start();
    this->play(crowd_size, "/order/1", announced(mebibyte));
}

// Guards against the same with chunked bodies, whose end is not announced.
TEST_F(an_instance_with_few_slots, serves_others_beside_large_chunks)
{
    constexpr std::size_t chunk_bytes = mebibyte / 4;
    this->start();
    this->play(crowd_size, "/order/1", chunked(chunk_bytes, mebibyte));
}

// Guards against chunks of one byte, which cost several bytes and more work
// each, and against the few clients that hold all slots with them. Every second
// body begins with a large chunk, since an instance may keep a short body to
// itself until it has all of it.
TEST_F(an_instance_with_few_slots, serves_others_beside_one_byte_chunks)
{
    constexpr std::size_t clients = 48;
    constexpr std::size_t body_bytes = 20'000;
    const request_maker make_small = chunked(1, body_bytes);
    const auto make = [make_small](const std::string& target, std::size_t index)
    {
        crowd_request request = make_small(target, index);
        request.beginning += index % 2 == 0 ? make_chunk(mebibyte / 4) : "";
        return request;
    };
    this->start();
    this->play(clients, "/order/1", make);
}

// Guards against bodies far over the limit that are only announced.
TEST_F(an_instance_with_few_slots, refuses_announced_bodies_over_the_limit)
{
    constexpr std::size_t clients = 400;
    this->start(mebibyte);
    this->send_crowd(clients, "/order/1", announced(16 * mebibyte));
    this->expect_ordinary_served();
    this->expect_none_ran();
    this->watch->expect_in_bounds();
}

// Guards against bodies that are found to be over the limit while they arrive.
TEST_F(an_instance_with_few_slots, refuses_sent_bodies_over_the_limit)
{
    constexpr std::size_t clients = 100;
    this->start(mebibyte);
    this->send_crowd(clients, "/order/1", chunked(mebibyte / 4, 16 * mebibyte));
    this->expect_ordinary_served();
    this->expect_none_ran();
    this->watch->expect_in_bounds();
}

// Guards against limits for crowds that refuse or cut a single large body.
TEST_F(an_instance_with_few_slots, serves_a_full_body_in_calm)
{
    this->start();
    for (const request_maker& make :
         {announced(full_body_bytes), chunked(mebibyte, full_body_bytes)})
    {
        this->send_crowd(1, "/order/full", make, {{}, 0});
        this->crowd->go_on();
        EXPECT_TRUE(eventually(
            [this]
            {
                return this->crowd->responses()[0].status != 0;
            }));
        EXPECT_EQ(this->crowd->responses()[0].status, 200U);
    }
    std::vector<std::uint64_t> sizes;
    for (const auto& server : this->servers)
    {
        for (const standin::execution& run : server->journal())
        {
            sizes.push_back(run.body_bytes);
        }
    }
    EXPECT_EQ(sizes, std::vector<std::uint64_t>(2, full_body_bytes));
    this->watch->expect_in_bounds();
}

// Guards against a refusal of a request whose body reaches a server after all.
TEST_F(an_instance_with_few_slots, passes_on_no_body_that_it_has_refused)
{
    constexpr std::size_t clients = 400;
    // The servers run at most 80 of the requests in the route's timeout.
    this->start(full_body_bytes, "5s");
    this->send_crowd(clients, "/order/1?delay_ms=500", announced(mebibyte));
    this->crowd->go_on();
    EXPECT_TRUE(eventually(
        [this]
        {
            const auto all = this->crowd->responses();
            return std::all_of(all.begin(), all.end(),
                               [](const crowd_response& response)
                               {
                                   return response.status != 0;
                               });
        },
        12s));
    EXPECT_GT(this->expect_truthful(), 0U);
    this->expect_ordinary_served();
    this->watch->expect_in_bounds();
}

// Guards against headers that are legal in size and take much more memory once
// they are parsed, beside bodies that have stopped.
TEST_F(an_instance_with_few_slots, bounds_the_memory_for_headers_of_many_lines)
{
    this->start();
    this->play(crowd_size, "/order/1", many_header_lines());
}

// Guards against clients that take nothing of long answers: their servers wait,
// and ordinary requests find no slot.
TEST_F(an_instance_with_few_slots, serves_others_beside_unread_answers)
{
    constexpr std::size_t reader_count = 60;
    this->start();
    asio::io_context io;
    const auto readers = this->ask_for_answers(io, reader_count);
    this->expect_ordinary_served();
    this->watch->expect_in_bounds();
}

// Guards against unread answers of which the owner of the service, another
// instance, is not told, or whose instance is not told that they have to end.
// Whichever of the two instances the owner is, the other one is told.
TEST_F(an_instance_with_few_slots, ends_unread_answers_of_another_instance)
{
    constexpr std::size_t reader_count = 30;
    this->start(full_body_bytes, long_timeout, 2);
    for (std::size_t index = 0; index < this->instances.size(); ++index)
    {
        asio::io_context io;
        const auto readers =
            this->ask_for_answers(io, reader_count, small_buffer_bytes, index);
        EXPECT_TRUE(eventually(
            [this, index]
            {
                return this->instances[index]->log().find(
                           "event=unread_answer_ended") != std::string::npos;
            }))
            << index;
    }
    this->expect_ordinary_served();
    this->watch->expect_in_bounds();
}

// Guards against an answer that is cut although nobody needs its server: its
// client only reads late.
TEST_F(an_instance_with_few_slots, cuts_no_answer_that_is_read_late)
{
    this->start();
    asio::io_context io;
    auto readers = this->ask_for_answers(io, 1);
    this->expect_ordinary_served();
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> response;
    response.body_limit(2 * unread_answer_bytes);
    http::read(readers[0], buffer, response);
    EXPECT_EQ(response.get().body().size(), unread_answer_bytes);
}

// Guards against a client that reads slowly and is taken for one that has
// stopped, among others that have, and against these others keeping all slots.
TEST_F(an_instance_with_few_slots, cuts_no_answer_that_is_read_slowly)
{
    constexpr std::size_t reader_count = 30;
    constexpr std::size_t bytes_per_step = 50'000;
    constexpr auto step = 50ms;
    this->start();
    asio::io_context io;
    auto readers = this->ask_for_answers(io, 1, usual_buffer_bytes);
    tcp::socket& slow = readers.front();
    std::atomic<bool> is_done = false;
    error_code failure;
    std::thread reading(
        [&]
        {
            std::vector<char> bytes(bytes_per_step);
            std::size_t received = 0;
            while (!is_done && !failure && received < unread_answer_bytes)
            {
                received += asio::read(slow, asio::buffer(bytes), failure);
                std::this_thread::sleep_for(step);
            }
        });
    const auto others = this->ask_for_answers(io, reader_count);
    this->expect_ordinary_served();
    is_done = true;
    reading.join();
    EXPECT_FALSE(failure) << failure.message();
    const std::string log = this->instances[0]->log();
    EXPECT_NE(log.find("event=unread_answer_ended id=unread-"),
              std::string::npos);
}

/// Given one more service, whose servers accept connections and read nothing.
class an_instance_with_silent_servers : public an_instance_with_few_slots
{
protected:
    static constexpr unsigned slots = 16;

    void SetUp() override
    {
        an_instance_with_few_slots::SetUp();
        for (const char* name : {"servers/silent-1", "servers/silent-2"})
        {
            this->silent.push_back(std::make_unique<server_without_reads>());
            std::string item =
                make_server_item(this->silent.back()->port(), slots);
            replace_all(item, R"("service":"desk")", R"("service":"silent")");
            this->store.put(name, item);
        }
    }

    void TearDown() override
    {
        an_instance_with_few_slots::TearDown();
        this->silent.clear();
    }

    std::vector<std::unique_ptr<server_without_reads>> silent;
};

// Guards against bodies that pile up in front of servers that read nothing.
TEST_F(an_instance_with_silent_servers, bounds_the_memory_for_bodies)
{
    this->start();
    this->play(crowd_size, "/silent/1", announced(mebibyte));
}

/// Given an instance with few descriptors, and more clients than these.
class an_instance_with_few_descriptors : public an_instance_with_few_slots
{
protected:
    static constexpr std::size_t small_body_bytes = 20'000;

    void SetUp() override
    {
        an_instance_with_few_slots::SetUp();
        this->max_files = few_files;
    }
};

// Guards against connections beyond the limit whose small bodies have stopped:
// none is idle, so none is closed for the next one.
TEST_F(an_instance_with_few_descriptors, bounds_the_connections_with_bodies)
{
    this->start();
    this->play(large_crowd_size, "/order/1", announced(small_body_bytes));
}

// Guards against the same with heads, on which no time limit helps soon enough.
TEST_F(an_instance_with_few_descriptors, bounds_the_connections_with_heads)
{
    this->start();
    this->play(large_crowd_size, "/order/1", unfinished_heads());
}

// Guards against one client address that takes all connections and slots.
TEST_F(an_instance_with_few_descriptors, serves_another_client_address)
{
    constexpr std::size_t crowd_address = 200;
    constexpr std::size_t other_address = 201;
    this->start();
    this->send_crowd(crowd_size, "/order/1", announced(mebibyte),
                     {asio::ip::make_address(this->address(crowd_address))});
    this->expect_ordinary_served(
        asio::ip::make_address(this->address(other_address)));
    this->watch->expect_in_bounds();
    this->expect_truthful();
}

/// Given the other daemon, alone with a document on disk and one service.
class a_daemon_with_a_document : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(has_descriptors())
            << "the test needs " << machine_files << " file descriptors";
        this->folder = std::filesystem::temp_directory_path() /
                       fmt::format("medlarbarrow-crowd-{}", ::getpid());
        std::filesystem::create_directories(this->folder);
        standin::server_options options;
        options.slots = slots;
        this->server = std::make_unique<standin::server>(options);
        this->write_document();
        this->callers = free_port();
        std::ofstream(this->folder / "settings.json") << fmt::format(
            R"({{"name":"entry-1","data_centre":"suva","region":"viti-levu",
            "callers":{{"address":"127.0.0.1","port":{}}},
            "peers":{{"address":"127.0.0.1","port":{}}},
            "admin":{{"address":"127.0.0.1","port":{}}},
            "document_file":"{}","bounds":{{"max_connections":{},
            "header_timeout_ms":60000}},"log_level":"info"}})",
            this->callers, free_port(), free_port(),
            (this->folder / "document.json").string(), max_connections);
        this->daemon = std::make_unique<process>(
            PROGRAM_DIR "/medlard",
            std::vector<std::string>{this->folder / "settings.json"},
            this->folder / "entry-1.log");
        ASSERT_TRUE(eventually(
            [this]
            {
                return send_ordinary(this->target(), ordinary, {}) == 200;
            },
            20s))
            << this->daemon->log();
    }

    void TearDown() override
    {
        this->crowd.reset();
        this->daemon.reset();
        std::filesystem::remove_all(this->folder);
    }

    void write_document() const
    {
        std::ofstream(this->folder / "document.json") << fmt::format(
            R"({{"version":1,"fleet":{{"max_instances":1}},
            "data_centres":[{{"name":"suva","region":"viti-levu"}}],
            "services":[{{"name":"logbook","servers":[{{"name":"log-1",
            "address":"127.0.0.1","port":{},"data_centre":"suva",
            "slots":{},"connections":330}}]}}],
            "routes":[{{"name":"guides","path_prefix":"/guides",
            "methods":["GET","POST"],"service":"logbook","access":"open",
            "deadline_ms":60000}}],"accounts":[]}})",
            this->server->port(), slots);
    }

    tcp::endpoint target() const
    {
        return {asio::ip::make_address("127.0.0.1"), this->callers};
    }

    static constexpr unsigned slots = 8;
    static constexpr unsigned max_connections = 2000;
    static constexpr const char* ordinary =
        "GET /guides/1 HTTP/1.1\r\nHost: reef\r\nConnection: close\r\n\r\n";

    std::filesystem::path folder;
    std::unique_ptr<standin::server> server;
    std::uint16_t callers = 0;
    std::unique_ptr<process> daemon;
    std::unique_ptr<client_crowd> crowd;
};

// Guards against the same bodies at the daemon with published documents.
TEST_F(a_daemon_with_a_document, serves_others_beside_announced_bodies)
{
    process_watch watch(*this->daemon, machine_files);
    this->crowd = std::make_unique<client_crowd>(
        this->target(),
        make_requests(crowd_size, "/guides/2", announced(mebibyte)));
    this->crowd->wait_until_quiet(
        [&watch]
        {
            watch.observe();
        });
    expect_answer(this->target(), ordinary);
    watch.expect_in_bounds();
}
