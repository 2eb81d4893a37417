#include <boost/asio/read.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <tests/entry_fixture.hpp>
#include <tests/order_key.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using std::chrono::milliseconds;

namespace
{

class entry_with_a_healthy_server : public entry_fixture
{
protected:
    void SetUp() override
    {
        this->start();
    }

    void set_mode(bool standin::server_faults::*mode)
    {
        standin::server_faults modes;
        modes.*mode = true;
        this->backend->set_modes(modes);
    }

    std::string make_order(std::string_view target)
    {
        return post(target, "drums",
                    "Idempotency-Key: " +
                        order_key(now().wall, ++this->last_order_number) +
                        "\r\n");
    }

    /// Orders are accepted from a short time after the start.
    void wait_for_orders()
    {
        ASSERT_TRUE(eventually(
            [this]
            {
                return caller(this->port())
                           .request(this->make_order("/orders/first"))
                           .status() == 200U;
            }));
    }

    /// Checks everything that a refusal must contain.
    static void expect_refusal(const answer& received,
                               unsigned status,
                               core::result_code code,
                               std::string_view outcome)
    {
        EXPECT_FALSE(received.failure);
        EXPECT_EQ(received.status(), status);
        EXPECT_EQ(received["Medlar-Outcome"], outcome);
        EXPECT_EQ(received["Medlar-Code"],
                  std::to_string(static_cast<int>(code)));
        const auto body =
            nlohmann::json::parse(received.message.body(), nullptr, false);
        ASSERT_TRUE(body.is_object()) << received.message.body();
        EXPECT_EQ(body.value("code", 0), static_cast<int>(code));
        EXPECT_EQ(body.value("name", ""), core::name_of(code));
        EXPECT_EQ(body.value("outcome", ""), outcome);
        EXPECT_EQ(body.value("message", ""),
                  core::make_error_code(code).message());
    }

    unsigned last_order_number = 0;
};

/// Its route has a deadline far beyond the time that a large body takes in any
/// build, for tests about bodies and not about time.
class entry_with_a_long_deadline : public entry_with_a_healthy_server
{
protected:
    void SetUp() override
    {
        this->document->routes.at(0).deadline = std::chrono::minutes(5);
        this->start();
    }
};

/// Its route has a short deadline, for tests with a server that hangs.
class entry_with_a_short_deadline : public entry_with_a_healthy_server
{
protected:
    void SetUp() override
    {
        this->document->routes.at(0).deadline = milliseconds(150);
        this->start();
    }
};

/// Its limits are small, so that tests can exceed them.
class entry_with_small_limits : public entry_with_a_healthy_server
{
protected:
    void SetUp() override
    {
        this->settings.bounds.header_timeout = milliseconds(200);
        this->settings.bounds.idle_timeout = milliseconds(300);
        this->settings.bounds.max_header_bytes = 2048;
        this->settings.bounds.max_connections = 2;
        this->document->routes.at(0).max_body_bytes = 100000;
        this->start();
    }
};

class entry_that_drains : public entry_with_a_healthy_server
{
protected:
    void drain(std::chrono::seconds limit = std::chrono::seconds(30),
               milliseconds exit_margin = milliseconds(0))
    {
        this->on_thread(
            [this, limit, exit_margin]
            {
                this->entry->drain(core::shutdown_plan(core::boot_clock::now(),
                                                       limit, exit_margin),
                                   [this]
                                   {
                                       this->drained = true;
                                   });
                return 0;
            });
    }

    /// A request on its way. The target tells its runs at the server apart.
    std::unique_ptr<caller> start_request(std::string_view text)
    {
        auto connection = std::make_unique<caller>(this->port());
        connection->send(text);
        return connection;
    }

    bool has_reached_the_server(std::string_view target)
    {
        for (const standin::execution& run : this->backend->journal())
        {
            if (run.target == target)
            {
                return true;
            }
        }
        return false;
    }

    /// Sends more requests than the server takes at once. Those that have
    /// reached it may have run, the others must be refused as not run.
    void expect_that_waiting_requests_are_refused()
    {
        std::vector<std::unique_ptr<caller>> callers;
        for (int count = 0; count < 5; ++count)
        {
            callers.push_back(
                this->start_request(get("/reports/" + std::to_string(count))));
        }
        ASSERT_TRUE(eventually(
            [this]
            {
                return !this->backend->journal().empty() &&
                       this->counters().requests == 5;
            }));
        this->drain(std::chrono::seconds(1));
        std::size_t waited = 0;
        for (std::size_t count = 0; count < callers.size(); ++count)
        {
            const answer received = callers[count]->receive();
            if (this->has_reached_the_server("/reports/" +
                                             std::to_string(count)))
            {
                expect_refusal(received, 504, core::result_code::server_timeout,
                               "unknown");
                continue;
            }
            ++waited;
            expect_refusal(received, 503, core::result_code::shutting_down,
                           "not-run");
            EXPECT_EQ(received["Connection"], "close");
            EXPECT_FALSE(received["Retry-After"].empty());
        }
        EXPECT_GE(waited, 3U);
        EXPECT_TRUE(eventually(
            [this]
            {
                return this->drained.load();
            }));
    }

    std::atomic<bool> drained{false};
};

/// Its server has one slot, so that further requests wait.
class entry_that_drains_with_one_slot : public entry_that_drains
{
protected:
    void SetUp() override
    {
        this->options.slots = 1;
        this->start();
        this->set_mode(&standin::server_faults::hang);
    }
};

/// Its server takes two connections, so that further requests wait for one.
class entry_that_drains_with_few_connections : public entry_that_drains
{
protected:
    void SetUp() override
    {
        this->options.slots = 8;
        this->connections = 2;
        this->start();
        this->set_mode(&standin::server_faults::hang);
    }
};

/// The test itself answers in place of the servers. The service may repeat each
/// request.
class entry_with_a_scripted_server : public entry_with_a_healthy_server
{
protected:
    void SetUp() override
    {
        this->document->fleet.retry_fraction = 1.0;
        this->start();
        // A request whose server closed the connection is sent again only by
        // an instance that takes orders too.
        this->wait_for_orders();
        // The retries that a service may make grow with its requests.
        for (int count = 0; count < 10; ++count)
        {
            caller(this->port()).request(get("/reports/1"));
        }
        auto changed = std::make_shared<core::document>(*this->document);
        ++changed->version;
        // A request is sent to each server once. All have the same port.
        auto& servers = changed->services.at(0).servers;
        servers.at(0).name = "logbook-2";
        servers.at(0).port = this->acceptor.local_endpoint().port();
        for (const char* name : {"logbook-3", "logbook-4"})
        {
            servers.push_back(servers.at(0));
            servers.back().name = name;
        }
        this->on_thread(
            [&]
            {
                this->entry->apply_document(*changed);
                return this->node->apply_document(changed, now());
            });
    }

    /// Accepts a connection and reads at least `count` bytes from it.
    tcp::socket accept_and_read(std::size_t count)
    {
        tcp::socket connection(this->server_io);
        bool accepted = false;
        this->acceptor.async_accept(connection,
                                    [&](boost::system::error_code failure)
                                    {
                                        accepted = !failure;
                                    });
        this->server_io.restart();
        this->server_io.run_for(event_timeout);
        EXPECT_TRUE(accepted);
        read(connection, count);
        return connection;
    }

    static void read(tcp::socket& connection, std::size_t count)
    {
        std::string received(count, '\0');
        boost::system::error_code failure;
        asio::read(connection, asio::buffer(received), failure);
        EXPECT_FALSE(failure) << failure.message();
    }

private:
    asio::io_context server_io;

protected:
    tcp::acceptor acceptor{this->server_io,
                           tcp::endpoint(asio::ip::address_v4::loopback(), 0)};
};

constexpr std::uint64_t large_body_bytes = 50'000'000;

// Defined by the sanitizer's runtime; null in a build without sanitizer.
extern "C" __attribute__((weak)) std::size_t
__sanitizer_get_current_allocated_bytes(); // NOLINT

/// Resident memory of the process in bytes. Under a sanitizer, the size of the
/// heap, because the sanitizer's records of accesses are resident as well.
std::uint64_t memory_in_use()
{
    if (__sanitizer_get_current_allocated_bytes != nullptr)
    {
        return __sanitizer_get_current_allocated_bytes();
    }
    std::ifstream file("/proc/self/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return resident * 4096;
}

} // namespace

// Guards against requests or answers that are lost between caller and server
// when one connection carries several requests.
TEST_F(entry_with_a_healthy_server, passes_requests_on_over_one_connection)
{
    caller connection(this->port());
    for (int count = 1; count <= 3; ++count)
    {
        const answer received = connection.request(get("/reports/1"));
        EXPECT_FALSE(received.failure);
        EXPECT_EQ(received.status(), 200U);
        EXPECT_NE(received.message.body().find("\"execution\":" +
                                               std::to_string(count)),
                  std::string::npos);
    }
    EXPECT_LE(this->backend->connections_accepted(), 3U);
    // The last answer is counted only after its last byte was sent.
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->counters().answered == 3;
        }));
}

// Guards against answers in the wrong order, and against the loss of a request
// that arrives in the same read as another one.
TEST_F(entry_with_a_healthy_server, answers_pipelined_requests_in_order)
{
    caller connection(this->port());
    connection.send(get("/reports/1?delay_ms=50") + get("/reports/2") +
                    post("/reports/3", "abc"));
    EXPECT_NE(connection.receive().message.body().find("\"execution\":1"),
              std::string::npos);
    EXPECT_NE(connection.receive().message.body().find("\"execution\":2"),
              std::string::npos);
    EXPECT_NE(connection.receive().message.body().find("\"body_bytes\":3"),
              std::string::npos);
}

// Guards against wrong framing of answers without a body: the next answer on
// the connection would be misread.
TEST_F(entry_with_a_healthy_server, answers_head_requests_without_a_body)
{
    caller connection(this->port());
    const std::string head = "HEAD" + get("/reports/1?bytes=5000").substr(3);
    EXPECT_EQ(connection.request(head)["Content-Length"], "5000");
    EXPECT_EQ(connection.request(get("/reports/1")).status(), 200U);
}

// Guards against a key that is forwarded to a server, wherever in the request
// the caller put it.
TEST_F(entry_with_a_healthy_server, forwards_no_key_to_the_server)
{
    const std::string key(account_key);
    caller connection(this->port());
    const answer received = connection.request(
        "GET /reports/1?a=1&api_key=" + key +
        " HTTP/1.1\r\nHost: reef.example\r\nAuthorization: Bearer " + key +
        "\r\nX-Api-Key: " + key + "\r\nCookie: api_key=" + key + "; b=2\r\n" +
        "Referer: /?api_key=" + key + "\r\n\r\n");
    EXPECT_EQ(received.status(), 200U);
    const auto journal = this->backend->journal();
    ASSERT_EQ(journal.size(), 1U);
    EXPECT_EQ(journal[0].target, "/reports/1?a=1");
    for (const auto& [name, value] : journal[0].headers)
    {
        EXPECT_EQ((name + value).find(key), std::string::npos) << name;
    }
}

// Guards against refusals without a correct status, result code and outcome:
// callers could not tell them apart or know whether the request ran.
TEST_F(entry_with_a_healthy_server, states_code_and_outcome_of_refusals)
{
    using core::result_code;
    caller connection(this->port());
    const std::string host = " HTTP/1.1\r\nHost: reef.example\r\n";
    expect_refusal(connection.request("GET /reports/1" + host + "\r\n"), 401,
                   result_code::key_missing, "not-run");
    expect_refusal(connection.request("GET /reports/1" + host +
                                      "X-Api-Key: other\r\n\r\n"),
                   401, result_code::key_unknown, "not-run");
    expect_refusal(connection.request("GET /unknown" + host + "\r\n"), 404,
                   result_code::no_route, "not-run");
    EXPECT_EQ(connection.request("GET /guides/1" + host + "\r\n").status(),
              200U);
    EXPECT_EQ(this->backend->journal().size(), 1U);
    EXPECT_EQ(this->counters().refused_not_run, 3U);
}

// Guards against request smuggling: after an ambiguous request, the rest of the
// connection must not be read as another request.
TEST_F(entry_with_a_healthy_server, closes_after_an_ambiguous_request)
{
    caller connection(this->port());
    const answer received = connection.request(
        post("/reports/1", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n") +
        get("/reports/smuggled"));
    expect_refusal(received, 400, core::result_code::bad_request, "not-run");
    EXPECT_EQ(received["Connection"], "close");
    EXPECT_TRUE(connection.is_closed());
    EXPECT_TRUE(this->backend->journal().empty());
}

// Guards against an incomplete answer that looks complete to the caller, when
// the server closes the connection inside the body.
TEST_F(entry_with_a_healthy_server,
       never_presents_an_incomplete_answer_as_complete)
{
    this->set_mode(&standin::server_faults::close_mid_answer);
    for (const std::string target :
         {"/reports/1?bytes=900000", "/reports/1?bytes=900000&chunked=1",
          "/reports/1?bytes=900&chunked=1"})
    {
        caller connection(this->port());
        const answer received = connection.request(get(target));
        EXPECT_TRUE(received.failure || received.status() == 502) << target;
        EXPECT_TRUE(received.status() != 502 ||
                    received["Medlar-Outcome"] == "unknown");
    }
    caller connection(this->port());
    expect_refusal(connection.request(get("/reports/1?bytes=900")), 502,
                   core::result_code::server_closed_early, "unknown");
}

// Guards against the outcome "not run" for a request that the server may have
// run.
TEST_F(entry_with_a_healthy_server, says_not_run_only_when_it_is_true)
{
    caller connection(this->port());
    this->set_mode(&standin::server_faults::shed);
    expect_refusal(connection.request(get("/reports/1")), 503,
                   core::result_code::server_shed, "not-run");
    const std::string body(300000, 'b');
    expect_refusal(caller(this->port()).request(post("/reports/1", body)), 503,
                   core::result_code::server_shed, "not-run");
    EXPECT_TRUE(this->backend->journal().empty());
    this->set_mode(&standin::server_faults::close_before_answer);
    expect_refusal(connection.request(get("/reports/1")), 502,
                   core::result_code::server_closed_early, "unknown");
    EXPECT_FALSE(this->backend->journal().empty());
    this->backend.reset();
    expect_refusal(connection.request(get("/reports/1")), 502,
                   core::result_code::server_connect_failed, "not-run");
}

// Guards against the outcome "not run" on the evidence of the last attempt
// alone: an earlier one may have run at its server, and the body is too large
// to be sent a third time.
TEST_F(entry_with_a_scripted_server,
       says_not_run_only_when_no_attempt_can_have_run)
{
    constexpr std::size_t first_bytes = 10'000;
    constexpr std::size_t unrepeatable_bytes = 200'000;
    const std::string upload = post("/reports/1", std::string(400'000, 'b'));
    caller connection(this->port());
    connection.send(upload.substr(0, first_bytes));
    this->accept_and_read(first_bytes / 2).close();
    tcp::socket second = this->accept_and_read(first_bytes / 2);
    connection.send(upload.substr(first_bytes, unrepeatable_bytes));
    read(second, unrepeatable_bytes / 2);
    asio::write(second, asio::buffer(std::string_view(
                            "HTTP/1.1 503 Service Unavailable\r\n"
                            "Medlar-Not-Run: 1\r\nContent-Length: 0\r\n"
                            "Connection: close\r\n\r\n")));
    expect_refusal(connection.receive(), 502,
                   core::result_code::server_closed_early, "unknown");
}

// Guards against an answer that reaches the wrong caller when many connections
// to the server end late, early or with surplus bytes.
TEST_F(entry_with_a_healthy_server, never_sends_an_answer_to_another_caller)
{
    standin::server_faults modes;
    modes.stray_answer = true;
    this->backend->set_modes(modes);
    std::vector<std::thread> threads;
    for (int number = 0; number < 8; ++number)
    {
        threads.emplace_back(
            [this, number]
            {
                for (int count = 0; count < 40; ++count)
                {
                    caller connection(this->port());
                    const std::string body(
                        static_cast<std::size_t>(number * 100 + count), 'x');
                    const answer received =
                        connection.request(post("/reports/1", body));
                    const std::string expected =
                        "\"body_bytes\":" + std::to_string(body.size()) + "}";
                    EXPECT_TRUE(received.status() != 200 ||
                                received.message.body().find(expected) !=
                                    std::string::npos)
                        << received.message.body();
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

// Guards against memory use that grows with the size of an answer when the
// caller reads slowly.
TEST_F(entry_with_a_healthy_server,
       applies_back_pressure_to_the_server_of_a_slow_caller)
{
    caller connection(this->port());
    connection.raw_socket().set_option(
        asio::socket_base::receive_buffer_size(65536));
    const std::uint64_t before = memory_in_use();
    connection.send(
        get("/reports/1?bytes=" + std::to_string(large_body_bytes)));
    std::uint64_t sent = 0;
    int unchanged_reads = 0;
    while (unchanged_reads < 20)
    {
        std::this_thread::sleep_for(milliseconds(20));
        const std::uint64_t now = this->backend->body_bytes_sent();
        unchanged_reads = now == sent && now > 0 ? unchanged_reads + 1 : 0;
        sent = now;
    }
    // Bytes that were sent but not received yet are in the system's socket
    // buffers, which are bounded as well.
    EXPECT_LT(sent, large_body_bytes / 2);
    EXPECT_LT(memory_in_use(), before + 4'000'000);
    const answer received = connection.receive();
    EXPECT_FALSE(received.failure);
    EXPECT_EQ(received.message.body().size(), large_body_bytes);
}

// Guards against losing bytes of a large request body, and against buffering it
// instead of streaming it, with a Content-Length and chunked.
TEST_F(entry_with_a_long_deadline, streams_large_bodies_to_the_server)
{
    const std::string body(large_body_bytes, 'b');
    const std::uint64_t before = memory_in_use();
    caller connection(this->port());
    const std::string expected =
        "\"body_bytes\":" + std::to_string(large_body_bytes) + "}";
    EXPECT_NE(connection.request(post("/reports/1", body))
                  .message.body()
                  .find(expected),
              std::string::npos);
    std::string chunked =
        "POST /reports/1 HTTP/1.1\r\nHost: a\r\nX-Api-Key: " +
        std::string(account_key) +
        "\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n";
    connection.send(chunked);
    EXPECT_EQ(connection.receive().status(), 100U);
    for (int count = 0; count < 100; ++count)
    {
        connection.send("7a120\r\n" + body.substr(0, 500000) + "\r\n");
    }
    EXPECT_LT(memory_in_use(), before + 4'000'000);
    EXPECT_NE(connection.request("0\r\nX-Trailer: 1\r\n\r\n")
                  .message.body()
                  .find(expected),
              std::string::npos);
}

// Guards against servers that keep working on requests of callers that have
// disconnected.
TEST_F(entry_with_a_healthy_server, cancels_when_the_caller_disconnects)
{
    this->set_mode(&standin::server_faults::hang);
    {
        caller connection(this->port());
        connection.send(get("/reports/1"));
        ASSERT_TRUE(eventually(
            [this]
            {
                return this->backend->journal().size() == 1;
            }));
    }
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->backend->journal().at(0).cancelled;
        }));
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->counters().callers_gone == 1;
        }));
}

// Guards against callers that wait beyond the deadline for a server that does
// not answer.
TEST_F(entry_with_a_short_deadline, forwards_the_deadline_and_enforces_it)
{
    this->set_mode(&standin::server_faults::hang);
    caller connection(this->port());
    expect_refusal(connection.request(get("/reports/1")), 504,
                   core::result_code::server_timeout, "unknown");
    int deadline_ms = 0;
    const auto journal = this->backend->journal();
    for (const auto& [name, value] : journal.at(0).headers)
    {
        deadline_ms =
            name == "Medlar-Deadline-Ms" ? std::stoi(value) : deadline_ms;
    }
    EXPECT_GT(deadline_ms, 0);
    EXPECT_LE(deadline_ms, 150);
}

// Guards against a header that never ends, a header that is too large, and a
// body above its route's limit, with or without Content-Length.
TEST_F(entry_with_small_limits, refuses_requests_that_exceed_them)
{
    using core::result_code;
    expect_refusal(caller(this->port()).request("GET /reports/1 HTTP/1.1\r\n"),
                   408, result_code::caller_gone, "not-run");
    const std::string line = "X-A: " + std::string(3000, 'a') + "\r\n";
    expect_refusal(caller(this->port()).request(get("/reports/1", line)), 431,
                   result_code::header_too_large, "not-run");
    const std::string body(200000, 'b');
    expect_refusal(caller(this->port()).request(post("/reports/1", body)), 413,
                   result_code::body_too_large, "not-run");
    EXPECT_TRUE(this->backend->journal().empty());
    const std::string chunked =
        "POST /reports/1 HTTP/1.1\r\nHost: a\r\nX-Api-Key: " +
        std::string(account_key) +
        "\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + body +
        "\r\n0\r\n\r\n";
    expect_refusal(caller(this->port()).request(chunked), 413,
                   result_code::body_too_large, "unknown");
}

// Guards against idle connections that use up the connection limit and so block
// new ones.
TEST_F(entry_with_small_limits, makes_room_by_closing_idle_connections)
{
    caller first(this->port());
    EXPECT_EQ(first.request(get("/reports/1")).status(), 200U);
    caller second(this->port());
    EXPECT_EQ(second.request(get("/reports/1")).status(), 200U);
    caller third(this->port());
    EXPECT_EQ(third.request(get("/reports/1")).status(), 200U);
    EXPECT_TRUE(first.is_closed());
    EXPECT_TRUE(second.is_closed()); // by the idle timeout
}

// Guards against a double free of a stored answer, which crashed instances when
// they repeated an order's answer.
TEST_F(entry_with_a_healthy_server, repeats_the_first_answer_of_an_order)
{
    std::string key;
    unsigned number = 0;
    ASSERT_TRUE(eventually(
        [&]
        {
            key = order_key(now().wall, ++number);
            return caller(this->port())
                       .request(post("/orders", "drums",
                                     "Idempotency-Key: " + key + "\r\n"))
                       .status() == 200U;
        }));
    const std::size_t executions = this->backend->journal().size();
    for (int round = 0; round < 3; ++round)
    {
        const answer repeated =
            caller(this->port())
                .request(post("/orders", "drums",
                              "Idempotency-Key: " + key + "\r\n"));
        EXPECT_EQ(repeated.status(), 200U);
        EXPECT_FALSE(repeated.message.body().empty());
    }
    EXPECT_EQ(this->backend->journal().size(), executions);
}

// Guards against a drain that interrupts downloads, uploads or requests that
// wait for their server.
TEST_F(entry_that_drains, finishes_every_request)
{
    caller idle(this->port());
    EXPECT_EQ(idle.request(get("/reports/1")).status(), 200U);
    caller downloading(this->port());
    downloading.send(
        get("/reports/1?bytes=" + std::to_string(large_body_bytes)));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->backend->body_bytes_sent() > 100000;
        }));
    this->set_mode(&standin::server_faults::hang);
    caller slow(this->port());
    slow.send(get("/reports/1"));
    caller uploading(this->port());
    const std::string upload = post("/reports/1", std::string(500000, 'b'));
    uploading.send(upload.substr(0, 250000));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->backend->journal().size() == 3;
        }));
    const std::uint16_t port = this->port();
    this->drain();
    EXPECT_FALSE(this->drained);
    EXPECT_THROW(caller late(port), boost::system::system_error);
    this->backend->set_modes({});
    uploading.send(upload.substr(250000));
    const answer uploaded = uploading.receive();
    EXPECT_EQ(uploaded.status(), 200U);
    EXPECT_NE(uploaded.message.body().find("\"body_bytes\":500000}"),
              std::string::npos);
    const answer waited = slow.receive();
    EXPECT_EQ(waited.status(), 200U);
    EXPECT_EQ(waited["Connection"], "close");
    const answer downloaded = downloading.receive();
    EXPECT_FALSE(downloaded.failure);
    EXPECT_EQ(downloaded.message.body().size(), large_body_bytes);
    EXPECT_TRUE(idle.is_closed());
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
    EXPECT_EQ(this->counters().connections_open, 0U);
    EXPECT_EQ(this->counters().answers_cut_off, 0U);
}

// Guards against requests that are passed on shortly before the instance ends
// and are cut with it: the connection of a streamed answer is kept, so that its
// caller sends the next request late. An order is not said to have "not run".
TEST_F(entry_that_drains, refuses_requests_that_come_too_late)
{
    const std::string streamed =
        get("/reports/1?bytes=" + std::to_string(large_body_bytes));
    const std::string order =
        post("/orders", "drums",
             "Idempotency-Key: " + order_key(now().wall, 4711) + "\r\n");
    caller first(this->port());
    caller second(this->port());
    first.send(streamed);
    second.send(streamed);
    first.wait_for_input();
    second.wait_for_input();
    ASSERT_EQ(this->backend->journal().size(), 2U);
    this->drain(std::chrono::seconds(1));
    std::this_thread::sleep_for(milliseconds(600));
    EXPECT_EQ(first.receive().status(), 200U);
    const answer refused = first.request(get("/reports/1"));
    expect_refusal(refused, 503, core::result_code::shutting_down, "not-run");
    EXPECT_EQ(refused["Connection"], "close");
    EXPECT_FALSE(refused["Retry-After"].empty());
    EXPECT_EQ(second.receive().status(), 200U);
    expect_refusal(second.request(order), 503, core::result_code::shutting_down,
                   "unknown");
    EXPECT_EQ(this->backend->journal().size(), 2U);
}

// Guards against requests that are cut without an answer because their server
// does not answer before the limit, and against an answer that says that they
// have not run. An upload that the server has in part may have run as well.
TEST_F(entry_that_drains, tells_the_outcome_is_unknown_before_the_limit)
{
    this->wait_for_orders();
    this->set_mode(&standin::server_faults::hang);
    const auto reading = this->start_request(get("/reports/1"));
    const auto ordering = this->start_request(this->make_order("/orders/1"));
    const std::string upload = post("/reports/2", std::string(500000, 'b'));
    const auto uploading = this->start_request(upload.substr(0, 250000));
    ASSERT_TRUE(eventually(
        [this]
        {
            // The server records an upload when it has all of it.
            return this->has_reached_the_server("/reports/1") &&
                   this->has_reached_the_server("/orders/1") &&
                   this->counters().servers.bytes_to_servers > 200000;
        }));
    const std::uint64_t before = this->counters().refused_outcome_unknown;
    const auto start = std::chrono::steady_clock::now();
    this->drain(std::chrono::seconds(1));
    for (const auto* connection : {&reading, &ordering, &uploading})
    {
        const answer received = (*connection)->receive();
        expect_refusal(received, 504, core::result_code::server_timeout,
                       "unknown");
        EXPECT_EQ(received["Connection"], "close");
    }
    const auto elapsed = std::chrono::steady_clock::now() - start;
    EXPECT_GE(elapsed, milliseconds(800));
    EXPECT_LT(elapsed, this->document->routes.at(0).deadline / 2);
    EXPECT_EQ(this->counters().refused_outcome_unknown, before + 3);
}

// Guards against an answer of the server that follows the refusal on the same
// connection, and against the loss of the order's first answer: its server
// answers in the time that is left for the last answers.
TEST_F(entry_that_drains, writes_one_answer_when_the_server_answers_at_the_end)
{
    this->wait_for_orders();
    this->set_mode(&standin::server_faults::hang);
    const auto ordering = this->start_request(this->make_order("/orders/1"));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->has_reached_the_server("/orders/1");
        }));
    this->drain(std::chrono::seconds(1));
    expect_refusal(ordering->receive(), 504, core::result_code::server_timeout,
                   "unknown");
    this->backend->set_modes({});
    EXPECT_TRUE(ordering->is_closed());
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
    EXPECT_FALSE(this->backend->journal().back().cancelled);
}

// Guards against an instance that counts requests as cut at its limit, although
// it has answered them, because their callers keep their connections open or
// the server still runs an order.
TEST_F(entry_that_drains, ends_in_time_when_callers_keep_their_connections)
{
    constexpr std::chrono::seconds limit(2);
    constexpr milliseconds exit_margin(600);
    this->wait_for_orders();
    this->set_mode(&standin::server_faults::hang);
    const auto reading = this->start_request(get("/reports/1"));
    const auto ordering = this->start_request(this->make_order("/orders/1"));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->has_reached_the_server("/reports/1") &&
                   this->has_reached_the_server("/orders/1");
        }));
    const auto start = std::chrono::steady_clock::now();
    this->drain(limit, exit_margin);
    EXPECT_EQ(reading->receive().status(), 504U);
    EXPECT_FALSE(this->drained);
    EXPECT_EQ(ordering->receive().status(), 504U);
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
    EXPECT_LT(std::chrono::steady_clock::now() - start, limit);
}

// Guards against requests that wait for a server when the drain ends and are
// cut without an answer, and against one that reaches a server so late.
TEST_F(entry_that_drains_with_one_slot, refuses_the_requests_that_wait)
{
    this->expect_that_waiting_requests_are_refused();
}

// Guards against requests that wait for a connection to their server, which the
// decision logic counts as running, and against a server that is held liable
// for requests that it never got.
TEST_F(entry_that_drains_with_few_connections, refuses_the_requests_that_wait)
{
    this->expect_that_waiting_requests_are_refused();
    const core::node_view view = this->on_thread(
        [this]
        {
            return this->node->view(core::boot_clock::now());
        });
    EXPECT_EQ(view.servers.at(0).error_fraction, 0.0);
}

// Guards against callers that get no answer, or one that blames them, because
// their request is still incomplete when the drain ends.
TEST_F(entry_that_drains, refuses_requests_that_are_incomplete_at_the_end)
{
    const std::string request = post("/reports/1", "drums");
    const auto head = this->start_request(request.substr(0, 30));
    const auto body =
        this->start_request(request.substr(0, request.size() - 2));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->counters().requests == 1;
        }));
    this->drain(std::chrono::seconds(1));
    for (const auto* connection : {&head, &body})
    {
        expect_refusal((*connection)->receive(), 503,
                       core::result_code::shutting_down, "not-run");
    }
    EXPECT_TRUE(this->backend->journal().empty());
}

// Guards against the reset of connections that the system accepted before the
// drain, and of requests that arrive as it starts.
TEST_F(entry_that_drains, serves_connections_opened_just_before_the_drain)
{
    std::vector<std::unique_ptr<caller>> callers;
    for (int count = 0; count < 20; ++count)
    {
        callers.push_back(std::make_unique<caller>(this->port()));
    }
    this->drain();
    for (const auto& connection : callers)
    {
        const answer received = connection->request(get("/reports/1"));
        EXPECT_FALSE(received.failure);
        EXPECT_EQ(received.status(), 200U);
        EXPECT_EQ(received["Connection"], "close");
    }
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
}
