#include "recording_caller.hpp"

#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <medlarbarrow/net/upstream.hpp>
#include <platform/names.hpp>
#include <rapidcheck/gtest.h>
#include <standin/scripted_server.hpp>
#include <thread>

using namespace medlarbarrow;
using core::attempt_end;
using standin::response_kind;
using tests::recording_caller;

namespace
{

namespace asio = boost::asio;

/// Far beyond the deadline of every attempt.
constexpr std::chrono::seconds test_timeout{60};

/// Idle time after which a connection is certainly reused.
constexpr std::chrono::milliseconds settled{4};

/// Sends requests one after the other over persistent connections.
class sender
{
public:
    explicit sender(std::uint16_t port)
    {
        this->step.service = "logbook";
        this->step.server.name = "logbook-1";
        this->step.server.address = "127.0.0.1";
        this->step.server.port = port;
        this->step.server.connections = 2;
        this->request.method = "GET";
        this->request.target = "/a";
        this->request.lines = "Host: reef.example\r\n";
    }

    core::attempt_result
    send(const std::string& id,
         std::chrono::milliseconds deadline = std::chrono::seconds(20))
    {
        this->request.id = id;
        this->step.deadline = core::boot_clock::now() + deadline;
        this->caller = std::make_shared<recording_caller>();
        tests::running_attempt attempt(this->io, this->servers, this->step,
                                       this->request, this->caller);
        this->io.restart();
        const auto give_up = std::chrono::steady_clock::now() + test_timeout;
        while (!attempt.result && std::chrono::steady_clock::now() < give_up &&
               this->io.run_one_for(test_timeout) > 0)
        {
        }
        EXPECT_TRUE(attempt.result) << "the attempt goes on without end";
        this->caller->fails_writes = !attempt.result;
        while (!attempt.result && this->io.run_one() > 0)
        {
        }
        return attempt.result.value_or(core::attempt_result{});
    }

    asio::io_context io;
    net::upstream servers{this->io.get_executor(), config::entry_bounds{},
                          platform::http_interface_names()};
    core::step_send step;
    net::checked_request request;
    std::shared_ptr<recording_caller> caller;
};

/// True when the server sends a complete answer to the request.
bool sends_complete_answer(response_kind manner)
{
    return manner <= response_kind::failure || manner == response_kind::twice ||
           manner == response_kind::stray_first ||
           manner == response_kind::with_stray ||
           manner == response_kind::success_again_without_id;
}

/// True when the server answers that it has not run the request.
bool is_refusal(response_kind manner)
{
    return manner == response_kind::shed ||
           (manner >= response_kind::shed_twice &&
            manner <= response_kind::shed_again_in_pieces);
}

standin::scripted_header_names names()
{
    const net::http_interface interface = platform::http_interface_names();
    return {interface.request_id, interface.not_run, interface.success_mark};
}

/// Checks the result of one request. Any request may fail, since an earlier
/// answer can leave bytes on the connection. But an answer that is forwarded
/// must be complete and belong to this request.
void check(const sender& client,
           const core::attempt_result& result,
           const std::string& id,
           response_kind manner)
{
    if (result.end == attempt_end::answered)
    {
        RC_ASSERT(client.caller->complete);
        RC_ASSERT(client.caller->body == standin::scripted_server::body_of(id));
        RC_LOG() << "manner " << static_cast<int>(manner);
        RC_ASSERT(sends_complete_answer(manner));
        RC_ASSERT(result.status ==
                  (manner == response_kind::failure ? 500U : 200U));
    }
    if (result.end == attempt_end::refused_not_run)
    {
        RC_ASSERT(is_refusal(manner));
    }
    // The server reads every request that is sent.
    RC_ASSERT(result.end != attempt_end::not_sent);
    RC_ASSERT(result.end != attempt_end::timed_out);
}

} // namespace

// Guards against forwarding an answer that is cut off, malformed, duplicated or
// meant for another request, and against a wrong result "not run". The server
// answers each request in a random manner.
RC_GTEST_PROP(answers_of_a_faulty_server,
              reach_only_their_own_caller_and_only_complete,
              ())
{
    static standin::scripted_server server(names());
    const auto script =
        *rc::gen::container<std::vector<response_kind>>(rc::gen::map(
            rc::gen::inRange(0, static_cast<int>(response_kind::last) + 1),
            [](int number)
            {
                return static_cast<response_kind>(number);
            }));
    // Callers may send several requests with the same id.
    const bool same_id = *rc::gen::arbitrary<bool>();
    standin::response_cut cut;
    cut.bytes = *rc::gen::inRange<std::size_t>(0, 200);
    cut.reset = *rc::gen::arbitrary<bool>();
    server.cut_at(cut);
    server.play(script);
    sender client(server.port());
    std::size_t number = 0;
    for (const response_kind manner : script)
    {
        number += same_id ? 0 : 1;
        const std::string id = fmt::format("request-{}", number);
        check(client, client.send(id), id, manner);
    }
}

namespace
{

/// Responses that the server writes again on the same connection.
constexpr std::array repeated_responses{response_kind::shed_twice,
                                        response_kind::shed_again_soon,
                                        response_kind::shed_again_later,
                                        response_kind::shed_again_without_id,
                                        response_kind::shed_again_in_pieces,
                                        response_kind::success_again_without_id,
                                        response_kind::twice,
                                        response_kind::with_stray};

/// A server, and a client that keeps one connection to it open and always
/// reuses it.
class a_kept_connection : public ::testing::TestWithParam<response_kind>
{
protected:
    /// Sends a request that gets the repeated response, then one that the
    /// server runs and answers. The second must be told neither that it did not
    /// run nor the first one's answer.
    void send_both(const std::string& first_id, const std::string& second_id)
    {
        const auto first = this->client.send(first_id);
        EXPECT_EQ(first.end, is_refusal(GetParam())
                                 ? attempt_end::refused_not_run
                                 : attempt_end::answered);
        std::this_thread::sleep_for(settled);
        const auto second = this->client.send(second_id);
        EXPECT_EQ(second.end, attempt_end::answered);
        EXPECT_EQ(second.status, 500U);
        EXPECT_EQ(this->client.caller->body,
                  standin::scripted_server::body_of(second_id));
        EXPECT_EQ(this->server.run_ids().back(), second_id);
    }

    standin::scripted_server server{names()};
    sender client{this->server.port()};
};

} // namespace

// Guards against a refusal or success that a server writes twice and that is
// taken for the answer to the next request: its caller would be told that it
// did not run although it has, or get another request's answer.
TEST_P(a_kept_connection, gives_no_answer_of_an_earlier_request_to_the_next)
{
    this->server.play({GetParam(), response_kind::failure});
    this->send_both("request-1", "request-2");
}

// Guards against the same for a caller that sends a refused request again with
// the same id: the id cannot tell the answers apart.
TEST_P(a_kept_connection, gives_no_earlier_answer_to_a_request_of_the_same_id)
{
    this->server.play({GetParam(), response_kind::failure});
    this->send_both("request-1", "request-1");
}

INSTANTIATE_TEST_SUITE_P(of_a_server_that_repeats,
                         a_kept_connection,
                         ::testing::ValuesIn(repeated_responses));

// Guards against an answer without the request's id, or a success without the
// header that each success bears, on a connection that served nothing before:
// nothing shows that it belongs to the request or that it is complete.
TEST(damaged_answers, are_neither_an_answer_nor_a_refusal)
{
    for (const response_kind manner :
         {response_kind::without_id, response_kind::without_signature,
          response_kind::failure_without_id, response_kind::cut_head_end})
    {
        standin::scripted_server server(names());
        server.play({manner});
        sender client(server.port());
        const auto result = client.send("request-1");
        EXPECT_EQ(result.end, attempt_end::closed_early)
            << "manner " << static_cast<int>(manner);
        EXPECT_EQ(client.caller->status, 0U);
        EXPECT_EQ(client.send("request-2").end, attempt_end::answered);
    }
}

namespace
{

/// Where a connection ends, and what it served before.
struct cut_situation
{
    response_kind response;
    bool reset;
    bool kept;
    bool blank_line;
};

/// Sends one request for each byte at which its answer can end early. If the
/// connection closes regularly, an answer that ends with its connection can be
/// cut in its head only: each part of its body is a complete one.
void cut_at_each_byte(const cut_situation& situation)
{
    standin::scripted_server server(names());
    const std::string id = "request-cut";
    const std::string text = server.response_text(situation.response, id);
    const std::size_t head_bytes = text.find("\r\n\r\n", 30) + 4;
    std::size_t end = text.size();
    if (situation.blank_line)
    {
        // A shortened value of the last header cannot be detected.
        end = text.find(": valid");
    }
    else if (situation.response == response_kind::until_close &&
             !situation.reset)
    {
        end = head_bytes;
    }
    for (std::size_t bytes = 0; bytes < end; ++bytes)
    {
        // The body consists of equal parts; cuts at its start and end suffice.
        if (bytes == head_bytes + 40)
        {
            bytes = std::max(bytes, end - 10);
        }
        server.play(situation.kept ? std::vector{response_kind::with_length,
                                                 response_kind::cut_anywhere}
                                   : std::vector{response_kind::cut_anywhere});
        server.cut_at(
            {situation.response, bytes, situation.blank_line, situation.reset});
        sender client(server.port());
        if (situation.kept)
        {
            ASSERT_EQ(client.send("request-0").end, attempt_end::answered);
            std::this_thread::sleep_for(settled);
        }
        const auto result = client.send(id);
        EXPECT_TRUE(result.end == attempt_end::closed_early ||
                    result.end == attempt_end::answer_cut_off)
            << "end " << static_cast<int>(result.end) << " after " << bytes
            << " bytes: " << text.substr(0, bytes);
        EXPECT_FALSE(client.caller->complete) << "after " << bytes << " bytes";
        EXPECT_EQ(server.run_ids().back(), id);
        EXPECT_EQ(client.servers.counters().connections_reused,
                  situation.kept ? 1U : 0U);
    }
}

class a_cut_answer : public ::testing::TestWithParam<response_kind>
{
};

} // namespace

// Guards against an answer that ends early, at any byte, and is taken for a
// complete one or for a refusal, on a new connection and on a reused one.
TEST_P(a_cut_answer, is_never_complete_on_a_closed_connection)
{
    for (const bool kept : {false, true})
    {
        cut_at_each_byte({GetParam(), false, kept, false});
    }
}

// Guards against the same when the server's machine resets the connection.
TEST_P(a_cut_answer, is_never_complete_on_a_reset_connection)
{
    for (const bool kept : {false, true})
    {
        cut_at_each_byte({GetParam(), true, kept, false});
    }
}

// Guards against a server that stops in its answer's head and ends the head as
// it closes: without its framing line the answer would look complete and empty.
TEST_P(a_cut_answer, is_never_complete_when_only_its_head_was_ended)
{
    for (const bool kept : {false, true})
    {
        cut_at_each_byte({GetParam(), false, kept, true});
    }
}

INSTANTIATE_TEST_SUITE_P(of_each_framing,
                         a_cut_answer,
                         ::testing::Values(response_kind::with_length,
                                           response_kind::chunked,
                                           response_kind::until_close,
                                           response_kind::after_continue));

// Guards against the property above holding only because no request is ever
// answered.
TEST(answers_of_a_correct_server, all_arrive)
{
    standin::scripted_server server(names());
    const std::vector<response_kind> script{
        response_kind::with_length, response_kind::chunked,
        response_kind::in_pieces,   response_kind::after_continue,
        response_kind::failure,     response_kind::until_close,
        response_kind::with_length};
    server.play(script);
    sender client(server.port());
    for (const response_kind manner : script)
    {
        const std::string id =
            fmt::format("request-{}", static_cast<int>(manner));
        const core::attempt_result result = client.send(id);
        EXPECT_EQ(result.end, attempt_end::answered) << id;
        EXPECT_EQ(client.caller->body, standin::scripted_server::body_of(id));
    }
}

// Guards against bytes without end from a server: a request that never ends, a
// caller that takes them for a complete answer, and an instance that stops
// serving while it reads them.
TEST(answers_without_end, end_soon_after_the_deadline)
{
    constexpr std::chrono::milliseconds deadline{500};
    constexpr std::chrono::seconds max_duration{5};
    for (int number = static_cast<int>(response_kind::endless_line);
         number <= static_cast<int>(response_kind::endless_until_close);
         ++number)
    {
        standin::scripted_server server(names());
        server.play({static_cast<response_kind>(number)});
        sender client(server.port());
        const auto start = std::chrono::steady_clock::now();
        const core::attempt_result result = client.send("request-1", deadline);
        EXPECT_LT(std::chrono::steady_clock::now() - start, max_duration)
            << "manner " << number;
        EXPECT_NE(result.end, attempt_end::answered) << "manner " << number;
        EXPECT_NE(result.end, attempt_end::not_sent) << "manner " << number;
        EXPECT_FALSE(client.caller->complete) << "manner " << number;
        // The server is sound again afterwards.
        EXPECT_EQ(client.send("request-2").end, attempt_end::answered)
            << "manner " << number;
    }
}

// Guards against an instance that is kept busy, without any progress, by a line
// between two chunks that is longer than its buffer.
TEST(answers_without_end, end_at_once_in_a_line_that_is_too_long)
{
    constexpr std::chrono::seconds deadline{20};
    constexpr std::chrono::seconds max_duration{5};
    for (const response_kind manner :
         {response_kind::endless_chunk_line, response_kind::endless_chunk_size})
    {
        standin::scripted_server server(names());
        server.play({manner});
        sender client(server.port());
        const auto start = std::chrono::steady_clock::now();
        const core::attempt_result result = client.send("request-1", deadline);
        EXPECT_LT(std::chrono::steady_clock::now() - start, max_duration);
        EXPECT_EQ(result.end, attempt_end::closed_early);
        // The server lives: that is no crash by the request.
        EXPECT_GT(result.connection_age, core::duration(0));
    }
}
