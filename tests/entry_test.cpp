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

    void set_mode(bool standin::server_modes::*mode)
    {
        standin::server_modes modes;
        modes.*mode = true;
        this->backend->set_modes(modes);
    }

    /// Checks all that a refusal must carry.
    static void expect_refusal(const answer& got,
                               unsigned status,
                               core::result_code code,
                               std::string_view outcome)
    {
        EXPECT_FALSE(got.failure);
        EXPECT_EQ(got.status(), status);
        EXPECT_EQ(got["Medlar-Outcome"], outcome);
        EXPECT_EQ(got["Medlar-Code"], std::to_string(static_cast<int>(code)));
        const auto body =
            nlohmann::json::parse(got.message.body(), nullptr, false);
        ASSERT_TRUE(body.is_object()) << got.message.body();
        EXPECT_EQ(body.value("code", 0), static_cast<int>(code));
        EXPECT_EQ(body.value("name", ""), core::name_of(code));
        EXPECT_EQ(body.value("outcome", ""), outcome);
        EXPECT_EQ(body.value("message", ""),
                  core::make_error_code(code).message());
    }
};

/// Its deadline is short, since its server will not answer.
class entry_with_a_short_deadline : public entry_with_a_healthy_server
{
protected:
    void SetUp() override
    {
        this->document->routes.at(0).deadline = milliseconds(150);
        this->start();
    }
};

class entry_with_tight_bounds : public entry_with_a_healthy_server
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
    void drain()
    {
        this->on_thread(
            [this]
            {
                this->entry->drain(
                    [this]
                    {
                        this->drained = true;
                    });
                return 0;
            });
    }

    std::atomic<bool> drained{false};
};

constexpr std::uint64_t large = 50'000'000;

// A sanitizer's own function; absent from a plain build.
extern "C" __attribute__((weak)) std::size_t
__sanitizer_get_current_allocated_bytes(); // NOLINT

/// The memory of the process in bytes. Under a sanitizer that of its heap: the
/// sanitizer's records of accesses are resident too.
std::uint64_t bytes_in_use()
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

// Guards the plain path from a caller to a server and back.
TEST_F(entry_with_a_healthy_server, passes_requests_on_over_one_connection)
{
    caller hotel(this->port());
    for (int count = 1; count <= 3; ++count)
    {
        const answer got = hotel.ask(get("/reports/1"));
        EXPECT_FALSE(got.failure);
        EXPECT_EQ(got.status(), 200U);
        EXPECT_NE(
            got.message.body().find("\"execution\":" + std::to_string(count)),
            std::string::npos);
    }
    EXPECT_LE(this->backend->connections_accepted(), 3U);
    // The third is counted after its last byte has left.
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->counters().answered == 3;
        }));
}

// Guards against answers out of order, and against the loss of a request that
// arrives together with another one.
TEST_F(entry_with_a_healthy_server, answers_pipelined_requests_in_order)
{
    caller hotel(this->port());
    hotel.send(get("/reports/1?delay_ms=50") + get("/reports/2") +
               post("/reports/3", "abc"));
    EXPECT_NE(hotel.receive().message.body().find("\"execution\":1"),
              std::string::npos);
    EXPECT_NE(hotel.receive().message.body().find("\"execution\":2"),
              std::string::npos);
    EXPECT_NE(hotel.receive().message.body().find("\"body_bytes\":3"),
              std::string::npos);
}

// Guards against framing faults in answers without a body.
TEST_F(entry_with_a_healthy_server, answers_head_requests_without_a_body)
{
    caller hotel(this->port());
    const std::string head = "HEAD" + get("/reports/1?bytes=5000").substr(3);
    EXPECT_EQ(hotel.ask(head)["Content-Length"], "5000");
    EXPECT_EQ(hotel.ask(get("/reports/1")).status(), 200U);
}

// Guards against a server that sees a key, in whatever place it came.
TEST_F(entry_with_a_healthy_server, shows_no_key_to_the_server)
{
    const std::string key(hotel_key);
    caller hotel(this->port());
    const answer got =
        hotel.ask("GET /reports/1?a=1&api_key=" + key +
                  " HTTP/1.1\r\nHost: reef.example\r\nAuthorization: Bearer " +
                  key + "\r\nX-Api-Key: " + key + "\r\nCookie: api_key=" + key +
                  "; b=2\r\n" + "Referer: /?api_key=" + key + "\r\n\r\n");
    EXPECT_EQ(got.status(), 200U);
    const auto journal = this->backend->journal();
    ASSERT_EQ(journal.size(), 1U);
    EXPECT_EQ(journal[0].target, "/reports/1?a=1");
    for (const auto& [name, value] : journal[0].headers)
    {
        EXPECT_EQ((name + value).find(key), std::string::npos) << name;
    }
}

// Guards against refusals that callers cannot tell apart or rely on.
TEST_F(entry_with_a_healthy_server, explains_its_refusals)
{
    using core::result_code;
    caller hotel(this->port());
    const std::string host = " HTTP/1.1\r\nHost: reef.example\r\n";
    expect_refusal(hotel.ask("GET /reports/1" + host + "\r\n"), 401,
                   result_code::key_missing, "not-run");
    expect_refusal(
        hotel.ask("GET /reports/1" + host + "X-Api-Key: other\r\n\r\n"), 401,
        result_code::key_unknown, "not-run");
    expect_refusal(hotel.ask("GET /unknown" + host + "\r\n"), 404,
                   result_code::no_route, "not-run");
    EXPECT_EQ(hotel.ask("GET /guides/1" + host + "\r\n").status(), 200U);
    EXPECT_EQ(this->backend->journal().size(), 1U);
    EXPECT_EQ(this->counters().refused_not_run, 3U);
}

// Guards against request smuggling: the rest of the connection is not read.
TEST_F(entry_with_a_healthy_server, closes_after_an_ambiguous_request)
{
    caller hotel(this->port());
    const answer got = hotel.ask(
        post("/reports/1", "0\r\n\r\n", "Transfer-Encoding: chunked\r\n") +
        get("/reports/smuggled"));
    expect_refusal(got, 400, core::result_code::bad_request, "not-run");
    EXPECT_EQ(got["Connection"], "close");
    EXPECT_TRUE(hotel.is_closed());
    EXPECT_TRUE(this->backend->journal().empty());
}

// Guards against an unfinished answer that looks finished.
TEST_F(entry_with_a_healthy_server, never_presents_a_cut_answer_as_whole)
{
    this->set_mode(&standin::server_modes::close_mid_answer);
    for (const std::string target :
         {"/reports/1?bytes=900000", "/reports/1?bytes=900000&chunked=1",
          "/reports/1?bytes=900&chunked=1"})
    {
        caller hotel(this->port());
        const answer got = hotel.ask(get(target));
        EXPECT_TRUE(got.failure || got.status() == 502) << target;
        EXPECT_TRUE(got.status() != 502 || got["Medlar-Outcome"] == "unknown");
    }
    caller hotel(this->port());
    expect_refusal(hotel.ask(get("/reports/1?bytes=900")), 502,
                   core::result_code::server_closed_early, "unknown");
}

// Guards against "not run" where the server may have run the request.
TEST_F(entry_with_a_healthy_server, says_not_run_only_when_it_is_true)
{
    caller hotel(this->port());
    this->set_mode(&standin::server_modes::shed);
    expect_refusal(hotel.ask(get("/reports/1")), 503,
                   core::result_code::server_shed, "not-run");
    const std::string body(300000, 'b');
    expect_refusal(caller(this->port()).ask(post("/reports/1", body)), 503,
                   core::result_code::server_shed, "not-run");
    EXPECT_TRUE(this->backend->journal().empty());
    this->set_mode(&standin::server_modes::close_before_answer);
    expect_refusal(hotel.ask(get("/reports/1")), 502,
                   core::result_code::server_closed_early, "unknown");
    EXPECT_FALSE(this->backend->journal().empty());
    this->backend.reset();
    expect_refusal(hotel.ask(get("/reports/1")), 502,
                   core::result_code::server_connect_failed, "not-run");
}

// Guards against an answer of one caller that reaches another one when many
// connections end late, early or with surplus bytes.
TEST_F(entry_with_a_healthy_server, never_crosses_answers)
{
    standin::server_modes modes;
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
                    caller hotel(this->port());
                    const std::string body(
                        static_cast<std::size_t>(number * 100 + count), 'x');
                    const answer got = hotel.ask(post("/reports/1", body));
                    const std::string own =
                        "\"body_bytes\":" + std::to_string(body.size()) + "}";
                    EXPECT_TRUE(got.status() != 200 ||
                                got.message.body().find(own) !=
                                    std::string::npos)
                        << got.message.body();
                }
            });
    }
    for (std::thread& thread : threads)
    {
        thread.join();
    }
}

// Guards against memory that grows with the size of an answer.
TEST_F(entry_with_a_healthy_server, holds_a_server_back_for_a_slow_caller)
{
    caller hotel(this->port());
    hotel.raw().set_option(asio::socket_base::receive_buffer_size(65536));
    const std::uint64_t before = bytes_in_use();
    hotel.send(get("/reports/1?bytes=" + std::to_string(large)));
    std::uint64_t sent = 0;
    int unchanged = 0;
    while (unchanged < 20)
    {
        std::this_thread::sleep_for(milliseconds(20));
        const std::uint64_t now = this->backend->body_bytes_sent();
        unchanged = now == sent && now > 0 ? unchanged + 1 : 0;
        sent = now;
    }
    // The rest is in socket buffers of the system, which have bounds too.
    EXPECT_LT(sent, large / 2);
    EXPECT_LT(bytes_in_use(), before + 4'000'000);
    const answer got = hotel.receive();
    EXPECT_FALSE(got.failure);
    EXPECT_EQ(got.message.body().size(), large);
}

// Guards against loss and against buffering in the other direction.
TEST_F(entry_with_a_healthy_server, streams_large_bodies_to_the_server)
{
    const std::string body(large, 'b');
    caller hotel(this->port());
    const std::string counted = "\"body_bytes\":" + std::to_string(large) + "}";
    EXPECT_NE(hotel.ask(post("/reports/1", body)).message.body().find(counted),
              std::string::npos);
    std::string chunked =
        "POST /reports/1 HTTP/1.1\r\nHost: a\r\nX-Api-Key: " +
        std::string(hotel_key) +
        "\r\nTransfer-Encoding: chunked\r\nExpect: 100-continue\r\n\r\n";
    hotel.send(chunked);
    EXPECT_EQ(hotel.receive().status(), 100U);
    for (int count = 0; count < 100; ++count)
    {
        hotel.send("7a120\r\n" + body.substr(0, 500000) + "\r\n");
    }
    EXPECT_NE(
        hotel.ask("0\r\nX-Trailer: 1\r\n\r\n").message.body().find(counted),
        std::string::npos);
}

// Guards against servers that work for callers who have left.
TEST_F(entry_with_a_healthy_server, cancels_when_the_caller_leaves)
{
    this->set_mode(&standin::server_modes::hang);
    {
        caller hotel(this->port());
        hotel.send(get("/reports/1"));
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

// Guards against callers who wait for a server that does not answer.
TEST_F(entry_with_a_short_deadline, passes_the_deadline_on_and_enforces_it)
{
    this->set_mode(&standin::server_modes::hang);
    caller hotel(this->port());
    expect_refusal(hotel.ask(get("/reports/1")), 504,
                   core::result_code::server_timeout, "unknown");
    int left = 0;
    const auto journal = this->backend->journal();
    for (const auto& [name, value] : journal.at(0).headers)
    {
        left = name == "Medlar-Deadline-Ms" ? std::stoi(value) : left;
    }
    EXPECT_GT(left, 0);
    EXPECT_LE(left, 150);
}

// Guards against a header that never ends, one that is too large, and a body
// beyond its route's limit, stated or not.
TEST_F(entry_with_tight_bounds, refuses_what_exceeds_them)
{
    using core::result_code;
    expect_refusal(caller(this->port()).ask("GET /reports/1 HTTP/1.1\r\n"), 408,
                   result_code::caller_gone, "not-run");
    const std::string line = "X-A: " + std::string(3000, 'a') + "\r\n";
    expect_refusal(caller(this->port()).ask(get("/reports/1", line)), 431,
                   result_code::header_too_large, "not-run");
    const std::string body(200000, 'b');
    expect_refusal(caller(this->port()).ask(post("/reports/1", body)), 413,
                   result_code::body_too_large, "not-run");
    EXPECT_TRUE(this->backend->journal().empty());
    const std::string chunked =
        "POST /reports/1 HTTP/1.1\r\nHost: a\r\nX-Api-Key: " +
        std::string(hotel_key) +
        "\r\nTransfer-Encoding: chunked\r\n\r\n30d40\r\n" + body +
        "\r\n0\r\n\r\n";
    expect_refusal(caller(this->port()).ask(chunked), 413,
                   result_code::body_too_large, "unknown");
}

// Guards against idle connections that keep others out.
TEST_F(entry_with_tight_bounds, makes_room_by_closing_idle_connections)
{
    caller first(this->port());
    EXPECT_EQ(first.ask(get("/reports/1")).status(), 200U);
    caller second(this->port());
    EXPECT_EQ(second.ask(get("/reports/1")).status(), 200U);
    caller third(this->port());
    EXPECT_EQ(third.ask(get("/reports/1")).status(), 200U);
    EXPECT_TRUE(first.is_closed());
    EXPECT_TRUE(second.is_closed()); // by the idle timeout
}

// Guards against a stored answer that is freed twice, which ended instances
// that repeated an order's answer.
TEST_F(entry_with_a_healthy_server, repeats_the_first_answer_of_an_order)
{
    std::string key;
    unsigned number = 0;
    ASSERT_TRUE(eventually(
        [&]
        {
            key = order_key(now().wall, ++number);
            return caller(this->port())
                       .ask(post("/orders", "drums",
                                 "Idempotency-Key: " + key + "\r\n"))
                       .status() == 200U;
        }));
    const std::size_t executions = this->backend->journal().size();
    for (int round = 0; round < 3; ++round)
    {
        const answer again = caller(this->port())
                                 .ask(post("/orders", "drums",
                                           "Idempotency-Key: " + key + "\r\n"));
        EXPECT_EQ(again.status(), 200U);
        EXPECT_FALSE(again.message.body().empty());
    }
    EXPECT_EQ(this->backend->journal().size(), executions);
}

// Guards against requests that a graceful end interrupts.
TEST_F(entry_that_drains, finishes_every_request)
{
    caller idle(this->port());
    EXPECT_EQ(idle.ask(get("/reports/1")).status(), 200U);
    caller downloading(this->port());
    downloading.send(get("/reports/1?bytes=" + std::to_string(large)));
    ASSERT_TRUE(eventually(
        [this]
        {
            return this->backend->body_bytes_sent() > 100000;
        }));
    this->set_mode(&standin::server_modes::hang);
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
    EXPECT_EQ(downloaded.message.body().size(), large);
    EXPECT_TRUE(idle.is_closed());
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
    EXPECT_EQ(this->counters().connections_open, 0U);
    EXPECT_EQ(this->counters().answers_cut, 0U);
}

// Guards against the reset of connections that the system has accepted for
// the entry, and of a request that meets the beginning of the end.
TEST_F(entry_that_drains, serves_connections_opened_just_before)
{
    std::vector<std::unique_ptr<caller>> callers;
    for (int count = 0; count < 20; ++count)
    {
        callers.push_back(std::make_unique<caller>(this->port()));
    }
    this->drain();
    for (const auto& hotel : callers)
    {
        const answer got = hotel->ask(get("/reports/1"));
        EXPECT_FALSE(got.failure);
        EXPECT_EQ(got.status(), 200U);
        EXPECT_EQ(got["Connection"], "close");
    }
    EXPECT_TRUE(eventually(
        [this]
        {
            return this->drained.load();
        }));
}
