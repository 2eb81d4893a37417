/// Real instances among servers, stores and clients that send without end: the
/// memory of an instance stays under a bound, the requests of others go on, and
/// nobody is told that a request has succeeded or has not run if that is
/// untrue.
#include "planned_work_fixture.hpp"

#include <poll.h>
#include <standin/scripted_server.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using standin::response_kind;

namespace
{

/// Half of what the users' machines have.
constexpr std::size_t max_peak_kib = sanitizer_memory_factor * (130U << 10U);

/// A client gives up after this time; the routes' timeout is two seconds.
constexpr auto patience = 6s;
constexpr std::size_t clients_per_server = 12;

/// Responses with bytes that are none, in all their parts.
constexpr std::array head_kinds{
    response_kind::endless_line, response_kind::endless_fields,
    response_kind::endless_interim, response_kind::endless_strays,
    response_kind::endless_stray_body};
constexpr std::array body_kinds{
    response_kind::endless_chunks, response_kind::endless_chunk_line,
    response_kind::endless_chunk_size, response_kind::endless_trailer,
    response_kind::endless_until_close};

/// How fast a client reads.
enum class reading
{
    fast,
    slow,
    never
};

/// What a client saw of a response that it did not keep.
struct seen_response
{
    std::string id;
    unsigned status = 0; ///< 0: no whole head
    bool complete = false;
};

/// Sends a request on a connection of its own and drops what comes back.
seen_response send_and_drop(const tcp::endpoint& target,
                            const std::string& id,
                            const std::string& body,
                            reading speed)
{
    constexpr std::size_t read_bytes = 16384;
    seen_response seen;
    seen.id = id;
    asio::io_context io;
    tcp::socket socket(io);
    error_code failure;
    socket.open(target.protocol(), failure);
    socket.set_option(asio::socket_base::receive_buffer_size(read_bytes),
                      failure);
    socket.connect(target, failure);
    const std::string text =
        fmt::format("{} /bad/{} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                    "Content-Length: {}\r\n\r\n{}",
                    body.empty() ? "GET" : "POST", id, request_id_header, id,
                    body.size(), body);
    asio::write(socket, asio::buffer(text), failure);
    const auto end = steady::now() + patience;
    if (speed == reading::never)
    {
        std::this_thread::sleep_until(end);
        return seen;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::buffer_body> parser;
    parser.body_limit(boost::none);
    std::vector<char> dropped(read_bytes);
    failure = {};
    while (steady::now() < end && !parser.is_done())
    {
        pollfd readable{socket.native_handle(), POLLIN, 0};
        if (buffer.size() == 0 && ::poll(&readable, 1, 100) == 0)
        {
            continue;
        }
        parser.get().body().data = dropped.data();
        parser.get().body().size = dropped.size();
        failure = {};
        http::read_some(socket, buffer, parser, failure);
        if (parser.is_header_done())
        {
            seen.status = parser.get().result_int();
        }
        if (failure && failure != http::error::need_buffer)
        {
            break;
        }
        if (speed == reading::slow)
        {
            std::this_thread::sleep_for(50ms);
        }
    }
    seen.complete = parser.is_done();
    return seen;
}

void expect_all_served(const std::vector<call_record>& records)
{
    for (const call_record& record : records)
    {
        EXPECT_TRUE(record.status == 200 && record.complete)
            << record.id << ": status " << record.status << ", "
            << record.ending << " after "
            << seconds_between(record.sent, record.ended) << " s";
    }
}

std::string make_two_service_config()
{
    std::string text = make_config(1);
    const std::string last_route = R"(["browse","a.example","/browse/")";
    text.insert(
        text.find(last_route),
        R"(["bad","a.example","/bad/","unsafe","2s","800ms",1,"faulty",)"
        R"(2,true],)");
    const std::string first_service = R"(["desk","/healthz"])";
    text.insert(text.find(first_service), R"(["faulty","/healthz"],)");
    return text;
}

} // namespace

/// Given an instance with sound servers of one service and servers of another
/// that send without end.
class an_instance_with_endless_servers : public an_instance
{
protected:
    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        this->max_files = 4100;
        this->store.put("op/config", make_two_service_config());
        this->add_servers(4, 8);
    }

    void TearDown() override
    {
        an_instance::TearDown();
        this->faulty.clear();
    }

    void add_faulty_server(response_kind kind)
    {
        constexpr std::size_t script_length = 5000;
        const net::http_interface names = platform::http_interface_names();
        this->faulty.push_back(std::make_unique<standin::scripted_server>(
            standin::scripted_header_names{names.request_id, names.not_run,
                                           names.success_mark}));
        this->faulty.back()->play(
            std::vector<response_kind>(script_length, kind));
        std::string item =
            make_server_item(this->faulty.back()->port(), clients_per_server);
        const std::string service = R"("service":"desk")";
        item.replace(item.find(service), service.size(),
                     R"("service":"faulty")");
        this->store.put(fmt::format("servers/f-{}", this->faulty.size()), item);
    }

    /// Sends requests to the faulty servers from many clients at once, while
    /// other clients use the sound ones.
    std::vector<seen_response> call_faulty_servers(const std::string& body,
                                                   reading speed)
    {
        this->start_load(8, {"/order/1"});
        const std::size_t count = clients_per_server * this->faulty.size();
        std::vector<seen_response> seen(2 * count);
        std::vector<std::thread> clients;
        for (std::size_t index = 0; index < count; ++index)
        {
            clients.emplace_back(
                [&, index]
                {
                    for (const std::size_t turn : {index, count + index})
                    {
                        seen[turn] = send_and_drop(this->endpoint_of(0),
                                                   fmt::format("bad-{}", turn),
                                                   body, speed);
                    }
                });
        }
        for (std::thread& client : clients)
        {
            client.join();
        }
        return seen;
    }

    std::set<std::string> run_ids() const
    {
        std::set<std::string> ids;
        for (const auto& server : this->faulty)
        {
            for (const std::string& id : server->run_ids())
            {
                ids.insert(id);
            }
        }
        return ids;
    }

    /// No response is taken for a success, and "not run" is true.
    void expect_truthful(const std::vector<seen_response>& seen)
    {
        const std::set<std::string> ran = this->run_ids();
        EXPECT_GE(ran.size(), this->faulty.size());
        for (const seen_response& response : seen)
        {
            EXPECT_FALSE(response.complete && response.status / 100 == 2)
                << response.id;
            const bool says_not_run =
                response.status == 503 || response.status == 429;
            EXPECT_FALSE(says_not_run && ran.contains(response.id))
                << response.id << ": " << response.status;
        }
    }

    void expect_others_served()
    {
        const std::vector<call_record> others = this->end_load();
        EXPECT_GE(others.size(), 100U);
        expect_all_served(others);
    }

    void expect_bounded_memory()
    {
        EXPECT_TRUE(this->instances[0]->is_running());
        const std::size_t peak = this->instances[0]->peak_memory_kib();
        std::cout << "peak memory: " << peak << " KiB\n";
        EXPECT_GT(peak, 0U);
        EXPECT_LT(peak, max_peak_kib);
    }

    void expect_suspected()
    {
        const std::string log = this->instances[0]->log();
        for (std::size_t number = 1; number <= this->faulty.size(); ++number)
        {
            EXPECT_NE(log.find(fmt::format("event=server_suspected "
                                           "service=faulty shard=0 "
                                           "server=f-{} ",
                                           number)),
                      std::string::npos)
                << number;
        }
    }

    template <class Kinds>
    void play(const Kinds& kinds, const std::string& body, reading speed)
    {
        for (const response_kind kind : kinds)
        {
            this->add_faulty_server(kind);
            this->add_faulty_server(kind);
        }
        this->start_fleet(1);
        this->expect_truthful(this->call_faulty_servers(body, speed));
        this->expect_others_served();
        this->expect_bounded_memory();
    }

    std::vector<std::unique_ptr<standin::scripted_server>> faulty;
};

// Guards against an instance that keeps the heads of responses without end
// until it runs out of memory, and the requests of all clients with it.
TEST_F(an_instance_with_endless_servers, bounds_the_memory_for_their_heads)
{
    this->play(head_kinds, "", reading::fast);
    this->expect_suspected();
}

// Guards against the same in bodies, and against a line between two chunks that
// keeps the instance busy without any progress.
TEST_F(an_instance_with_endless_servers, bounds_the_memory_for_their_bodies)
{
    this->play(body_kinds, "", reading::fast);
    this->expect_suspected();
}

// Guards against responses that pile up for clients that read them slowly.
TEST_F(an_instance_with_endless_servers, bounds_the_memory_for_slow_readers)
{
    this->play(body_kinds, "", reading::slow);
}

// Guards against the same for clients that read nothing.
TEST_F(an_instance_with_endless_servers,
       bounds_the_memory_for_clients_that_wait)
{
    this->play(std::array{response_kind::endless_length,
                          response_kind::endless_chunks,
                          response_kind::endless_until_close},
               "", reading::never);
}

// Guards against a response without end before the upload has been read.
TEST_F(an_instance_with_endless_servers, bounds_the_memory_during_uploads)
{
    constexpr std::size_t upload_bytes = 1U << 20U;
    this->play(std::array{response_kind::endless_line,
                          response_kind::endless_chunks,
                          response_kind::endless_chunk_line},
               std::string(upload_bytes, 'u'), reading::fast);
}

// Guards against bytes that nobody reads on connections that are kept.
TEST_F(an_instance_with_endless_servers, ends_idle_connections_that_bring_bytes)
{
    this->add_faulty_server(response_kind::endless_surplus);
    this->start_fleet(1);
    const seen_response seen =
        send_and_drop(this->endpoint_of(0), "bad-1", "", reading::fast);
    EXPECT_EQ(seen.status, 200U);
    EXPECT_TRUE(seen.complete);
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->faulty[0]->open_connections() == 0;
        },
        4s));
    this->expect_bounded_memory();
}

/// Given an instance whose store sends without end.
class an_instance_with_an_endless_store : public a_fleet_on_a_platform
{
protected:
    void play(response_kind kind)
    {
        constexpr std::size_t script_length = 5000;
        standin::scripted_server endless({"Store-Id", "Store-Not-Run", ""});
        endless.play(std::vector<response_kind>(script_length, kind));
        this->source = endless.port();
        this->write_settings(0, "");
        this->start_instance(0);
        EXPECT_TRUE(eventually(
            [&endless]
            {
                return endless.run_ids().size() >= 3;
            },
            20s));
        EXPECT_TRUE(this->instances[0]->is_running());
        // It answers, and knows no configuration.
        EXPECT_EQ(this->readiness(0), 503U);
        const std::size_t peak = this->instances[0]->peak_memory_kib();
        std::cout << "peak memory: " << peak << " KiB\n";
        EXPECT_GT(peak, 0U);
        EXPECT_LT(peak, max_peak_kib) << static_cast<int>(kind);
        this->instances.clear();
    }
};

// Guards against an instance that keeps what the store sends without end.
TEST_F(an_instance_with_an_endless_store, bounds_the_memory_for_its_heads)
{
    this->play(response_kind::endless_line);
    this->play(response_kind::endless_fields);
}

// Guards against the same in bodies; the lines between chunks have no limit of
// their own.
TEST_F(an_instance_with_an_endless_store, bounds_the_memory_for_its_bodies)
{
    this->play(response_kind::endless_chunks);
    this->play(response_kind::endless_chunk_line);
    this->play(response_kind::endless_trailer);
    this->play(response_kind::endless_until_close);
}

/// Given clients that send without end to an instance with sound servers.
class an_instance_with_endless_clients : public an_instance
{
protected:
    /// Sends the beginning, then the text again and again until the instance
    /// answers. Returns the status, or 0 for none.
    unsigned send_without_end(const std::string& beginning,
                              const std::string& repeated)
    {
        asio::io_context io;
        tcp::socket socket(io);
        error_code failure;
        socket.connect(this->endpoint_of(0), failure);
        asio::write(socket, asio::buffer(beginning), failure);
        const auto end = steady::now() + patience;
        while (!failure && steady::now() < end && socket.available() == 0)
        {
            asio::write(socket, asio::buffer(repeated), failure);
        }
        boost::beast::flat_buffer buffer;
        http::response<http::string_body> response;
        response.result(0U);
        failure = {};
        http::read(socket, buffer, response, failure);
        return failure ? 0 : response.result_int();
    }
};

// Guards against a request that is kept without end, and one that is neither
// refused nor answered.
TEST_F(an_instance_with_endless_clients,
       refuses_their_requests_and_serves_others)
{
    const std::string filler(4096, 'a');
    const std::string start =
        "POST /order/1 HTTP/1.1\r\nHost: a.example\r\n" + request_id_header;
    this->start_load(8, {"/order/1"});
    EXPECT_EQ(this->send_without_end("POST /order/", filler), 431U);
    EXPECT_EQ(this->send_without_end(start + ": e1\r\nA: ", filler), 431U);
    EXPECT_EQ(
        this->send_without_end(
            start + ": e2\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler),
        400U);
    constexpr std::size_t min_others = 20;
    EXPECT_TRUE(eventually(
        [this]
        {
            const std::lock_guard guard(this->mutex);
            return this->records.size() >= min_others;
        },
        10s));
    const std::vector<call_record> others = this->end_load();
    EXPECT_GE(others.size(), min_others);
    expect_all_served(others);
    EXPECT_TRUE(this->passed_on().empty() || !this->passed_on().contains("e2"));
    EXPECT_LT(this->instances[0]->peak_memory_kib(), max_peak_kib);
}
