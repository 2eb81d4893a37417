/// Attempts at servers in trouble: an answer that breaks off or is malformed
/// never counts as an answer, whatever the upload is doing at that moment.
#include "broken_answers.hpp"
#include "recording_caller.hpp"

#include <boost/asio/steady_timer.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/admin.hpp>
#include <medlarbarrow/net/http_connection.hpp>
#include <platform/names.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using core::attempt_end;
using standin::connection_end;
using standin::raw_response;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr std::array framings{framing::length, framing::chunks,
                              framing::until_close};

/// Parts of an answer's body: none, one that the instance holds back and one
/// that it streams.
constexpr std::array part_sizes{std::size_t{0}, std::size_t{8000},
                                std::size_t{300000}};

/// Far more than the buffers of the connection to a server hold.
constexpr std::size_t upload_bytes = 16U << 20U;

/// Bytes of an upload that a server reads before it answers.
constexpr std::array read_sizes{std::size_t{0}, std::size_t{65536}};

/// Longer than a server takes to see that the buffers are full.
constexpr milliseconds slow_write{250};

/// A caller that uploads a body, and may take its time to accept the answer.
class uploading_caller : public recording_caller
{
public:
    uploading_caller(std::size_t bytes,
                     milliseconds time_per_read,
                     milliseconds time_per_write)
        : upload(bytes, 'u'), read_time(time_per_read),
          write_time(time_per_write)
    {
    }

    asio::awaitable<net::body_part> read_body(std::uint64_t position,
                                              const bool& /*stopped*/) override
    {
        co_await pause(this->read_time);
        const std::string_view rest =
            std::string_view(this->upload).substr(position);
        const std::string_view data = rest.substr(0, part_bytes);
        this->bytes_read = position + data.size();
        co_return net::body_part{data, data.size() == rest.size(), false};
    }

    asio::awaitable<bool> write_part(std::string_view part, bool last) override
    {
        co_await pause(this->write_time);
        const bool written =
            co_await this->recording_caller::write_part(part, last);
        co_return written;
    }

    /// True if a part of the upload has never been taken to be sent.
    bool has_unsent_part() const
    {
        return this->bytes_read < this->upload.size();
    }

private:
    static constexpr std::size_t part_bytes = 16384;

    static asio::awaitable<void> pause(milliseconds time)
    {
        const auto executor = co_await asio::this_coro::executor;
        asio::steady_timer timer(executor, time);
        co_await timer.async_wait(asio::use_awaitable);
    }

    std::string upload;
    milliseconds read_time;  ///< for each part of the upload
    milliseconds write_time; ///< for each part of the answer
    std::size_t bytes_read = 0;
};

/// Given a server in trouble and an instance that sends it requests.
class an_attempt : public testing::Test
{
protected:
    an_attempt()
    {
        this->step.service = "logbook";
        this->step.server.name = "logbook-1";
        this->step.server.address = "127.0.0.1";
        this->step.server.connections = 4;
        this->request.method = "GET";
        this->request.target = "/a";
        this->request.id = "request-1";
        this->request.lines = "Host: reef.example\r\n";
    }

    answer_texts texts() const
    {
        return answer_texts(this->names);
    }

    /// Sends the request to a new server that answers in this way.
    core::attempt_result run(const raw_response& response)
    {
        standin::raw_server server(this->names.request_id, response);
        asio::io_context io;
        net::upstream servers(io.get_executor(), config::entry_bounds{},
                              this->names);
        this->step.server.port = server.port();
        this->step.deadline = core::boot_clock::now() + seconds(20);
        this->caller = std::make_shared<uploading_caller>(
            this->upload_size, this->read_time, this->write_time);
        const running_attempt attempt(io, servers, this->step, this->request,
                                      this->caller);
        while (!attempt.result && io.run_one() > 0)
        {
        }
        EXPECT_EQ(server.request_ids(), std::vector{this->request.id});
        // An upload is too long to be sent before the connection ends.
        EXPECT_TRUE(this->upload_size == 0 || this->caller->has_unsent_part());
        this->damaged = servers.counters().answers_damaged;
        return attempt.result.value_or(core::attempt_result{});
    }

    void expect_no_answer(const raw_response& response)
    {
        const core::attempt_result result = this->run(response);
        EXPECT_TRUE(result.end == attempt_end::closed_early ||
                    result.end == attempt_end::answer_cut_off)
            << "end " << static_cast<int>(result.end);
        EXPECT_FALSE(this->caller->complete);
        EXPECT_FALSE(result.answer.has_value());
    }

    void expect_whole_answer(const raw_response& response,
                             std::size_t body_bytes)
    {
        const core::attempt_result result = this->run(response);
        EXPECT_EQ(result.end, attempt_end::answered);
        EXPECT_EQ(this->caller->status, 200U);
        EXPECT_TRUE(this->caller->complete);
        EXPECT_EQ(this->caller->body.size(), body_bytes);
        EXPECT_TRUE(this->caller->body == std::string(body_bytes, 'a'));
    }

    net::http_interface names = platform::http_interface_names();
    core::step_send step;
    net::checked_request request;
    std::size_t upload_size = 0;
    milliseconds read_time{0};
    milliseconds write_time{0};
    std::shared_ptr<uploading_caller> caller;
    std::uint64_t damaged = 0; ///< answers that the instance found damaged
};

/// Given requests without a body to servers whose heads are malformed.
class an_attempt_at_a_malformed_head : public an_attempt
{
protected:
    /// Plays each text with the names of both daemons.
    void expect_none_is_an_answer(
        std::vector<std::string> (answer_texts::*make_texts)() const)
    {
        for (const net::http_interface& interface :
             {platform::http_interface_names(), net::http_interface{}})
        {
            this->names = interface;
            for (const std::string& text : (this->texts().*make_texts)())
            {
                SCOPED_TRACE(text);
                this->expect_rejected({text, 0, false, connection_end::close});
            }
        }
    }

    void expect_rejected(const raw_response& response)
    {
        this->expect_no_answer(response);
        EXPECT_EQ(this->caller->status, 0U);
        EXPECT_EQ(this->damaged, 1U);
    }
};

/// Given a request that may not be repeated, whose answer is kept.
class an_order_at_a_malformed_head : public an_attempt_at_a_malformed_head
{
protected:
    an_order_at_a_malformed_head()
    {
        this->names = net::http_interface{};
        this->request.method = "POST";
        this->step.fresh_connection = true;
        this->step.keep_answer = true;
    }
};

/// Given an upload that fills the buffers, so that a write waits when the
/// connection ends.
class an_upload_that_waits : public an_attempt
{
protected:
    an_upload_that_waits()
    {
        this->request.method = "POST";
        this->upload_size = upload_bytes;
        this->request.content_length = upload_bytes;
    }

    /// Plays each beginning of an answer, after each part of the upload.
    void expect_no_answer_from(connection_end end)
    {
        for (const framing how : framings)
        {
            for (const std::size_t part : part_sizes)
            {
                this->expect_no_answer_to(this->texts().part(how, part), end);
            }
        }
    }

    void expect_no_answer_to(const std::string& text, connection_end end)
    {
        for (const std::size_t read : read_sizes)
        {
            SCOPED_TRACE(fmt::format("{} bytes read, {} answered: {}", read,
                                     text.size(), text.substr(0, 200)));
            this->expect_no_answer({text, read, true, end});
        }
    }

    void expect_whole_answers_from(connection_end end)
    {
        for (const framing how : framings)
        {
            for (const std::size_t size : part_sizes)
            {
                for (const milliseconds delay :
                     {milliseconds(0), milliseconds(50)})
                {
                    SCOPED_TRACE(fmt::format("framing {}, {} bytes, {} ms",
                                             static_cast<int>(how), size,
                                             delay.count()));
                    this->expect_whole_answer(
                        {this->texts().whole(how, size), 0, true, end, delay},
                        size);
                }
            }
        }
    }
};

/// Given, besides, a caller that is slow to accept the answer: the connection
/// ends while nobody reads from it.
class an_upload_of_a_slow_caller : public an_upload_that_waits
{
protected:
    an_upload_of_a_slow_caller()
    {
        this->write_time = slow_write;
    }
};

/// Given the interface of the project's own daemon, with which each answer must
/// say where it ends.
class an_upload_with_own_names : public an_upload_that_waits
{
protected:
    an_upload_with_own_names()
    {
        this->names = net::http_interface{};
    }
};

/// Given a request that may not be repeated, whose answer is kept.
class an_upload_of_an_order : public an_upload_with_own_names
{
protected:
    an_upload_of_an_order()
    {
        this->step.fresh_connection = true;
        this->step.keep_answer = true;
    }
};

/// Given a server that is asked for a document: the store, another instance
/// that passes on what it has read there, or an instance that is asked for its
/// state.
class a_fetched_document : public testing::Test
{
protected:
    static constexpr milliseconds limit{2000};
    static constexpr std::size_t max_bytes = 1U << 20U;

    static core::result<net::http_answer> fetch(const raw_response& response)
    {
        standin::raw_server server("Store-Id", response);
        asio::io_context io;
        net::http_connection connection(
            io, {asio::ip::address_v4::loopback(), server.port()}, "store");
        core::result<net::http_answer> received =
            std::make_error_code(std::errc::timed_out);
        connection.get("/", limit, max_bytes,
                       [&received](core::result<net::http_answer> answer)
                       {
                           received = std::move(answer);
                       });
        io.run();
        connection.close();
        return received;
    }

    static core::result<std::string> fetch_status(const raw_response& response)
    {
        standin::raw_server server("Store-Id", response);
        return net::fetch_status({"127.0.0.1", server.port()}, limit);
    }

    /// Plays each text, followed by the end.
    static void expect_none(const std::vector<std::string>& texts,
                            connection_end end)
    {
        for (const std::string& text : texts)
        {
            SCOPED_TRACE(text);
            // A reset discards bytes that were not delivered yet.
            const raw_response response{text, 0, false, end, milliseconds(5)};
            const auto received = fetch(response);
            EXPECT_FALSE(received && received->status / 100 == 2);
            EXPECT_FALSE(fetch_status(response));
        }
    }

    const answer_texts texts{net::http_interface{}};
};

} // namespace

// Guards against part of a listing, of changes or of a state that is taken for
// all of it.
TEST_F(a_fetched_document, is_never_part_of_an_answer)
{
    std::vector<std::string> parts;
    for (const framing how : framings)
    {
        for (const std::size_t size : part_sizes)
        {
            parts.push_back(this->texts.part(how, size));
        }
    }
    this->expect_none(parts, connection_end::reset);
}

// Guards against a malformed head that is taken for that of a document.
TEST_F(a_fetched_document, never_has_a_malformed_head)
{
    this->expect_none(this->texts.with_bad_status(), connection_end::close);
    this->expect_none(this->texts.with_bad_name(), connection_end::close);
}

// Guards against the tests above holding only because nothing is fetched.
TEST_F(a_fetched_document, arrives_whole)
{
    constexpr std::size_t body_bytes = 8000;
    for (const framing how : framings)
    {
        const raw_response response{this->texts.whole(how, body_bytes), 0,
                                    false, connection_end::close};
        const auto received = fetch(response);
        ASSERT_TRUE(received);
        EXPECT_EQ(received->status, 200U);
        EXPECT_EQ(received->body.size(), body_bytes);
        const auto status = fetch_status(response);
        ASSERT_TRUE(status);
        EXPECT_EQ(status->size(), body_bytes);
    }
}

// Guards against a status that is none and that reaches the caller.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_with_a_bad_status)
{
    this->expect_none_is_an_answer(&answer_texts::with_bad_status);
}

// Guards against the same in the answer to a request without a body to come.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_with_a_bad_status_to_head)
{
    this->request.method = "HEAD";
    this->expect_none_is_an_answer(&answer_texts::with_bad_status);
}

// Guards against the same after interim answers.
TEST_F(an_attempt_at_a_malformed_head,
       gets_no_answer_with_a_bad_status_after_an_interim_one)
{
    for (const std::string& text : this->texts().with_bad_status())
    {
        SCOPED_TRACE(text);
        this->expect_rejected({"HTTP/1.1 100 Continue\r\n\r\n" + text, 0, false,
                               connection_end::close});
    }
}

// Guards against an interim answer whose status is none and that is skipped:
// the bytes that follow cannot be trusted.
TEST_F(an_attempt_at_a_malformed_head,
       gets_no_answer_after_an_interim_one_with_a_bad_status)
{
    const std::string sound = this->texts().whole(framing::length, 3);
    for (const char* status : {"000", "001", "099", "1", "10", "1000", "1x0"})
    {
        SCOPED_TRACE(status);
        this->expect_no_answer(
            {fmt::format("HTTP/1.1 {} Interim\r\n\r\n{}", status, sound), 0,
             false, connection_end::close});
        this->expect_no_answer({this->texts().head(status) + "\r\n" + sound, 0,
                                false, connection_end::close});
    }
}

// Guards against an answer with a bad status that is kept, so that each repeat
// of its order would get it.
TEST_F(an_order_at_a_malformed_head, keeps_no_answer_with_a_bad_status)
{
    for (const std::string& text : this->texts().with_bad_status())
    {
        SCOPED_TRACE(text);
        this->expect_rejected({text, 0, false, connection_end::close});
        this->expect_rejected({"HTTP/1.1 100 Continue\r\n\r\n" + text, 0, false,
                               connection_end::close});
    }
}

// Guards against a malformed line that reaches the caller, and against a body
// that is not the server's because the line that frames it is malformed.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_with_a_bad_name)
{
    this->expect_none_is_an_answer(&answer_texts::with_bad_name);
}

// Guards against a line that begins with a blank and changes what the line
// above it says, such as the header of a success, or that is lost to it, such
// as the length of the body.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_with_a_folded_line)
{
    this->expect_none_is_an_answer(&answer_texts::with_folded_line);
}

// Guards against a folded line that is seen only if its bytes come together.
TEST_F(an_attempt_at_a_malformed_head, gets_no_folded_line_byte_by_byte)
{
    for (const std::string& text : this->texts().with_folded_line())
    {
        SCOPED_TRACE(text);
        raw_response response{text, 0, false, connection_end::close};
        response.segment_bytes = 1;
        this->expect_rejected(response);
    }
}

// Guards against a sound answer that is taken for a folded one because of how
// its bytes come, or because its body begins with blanks.
TEST_F(an_attempt_at_a_malformed_head, gets_a_sound_answer_byte_by_byte)
{
    for (const std::size_t segment_bytes : {1, 2, 3, 0})
    {
        const std::string body = " \r\n \t a";
        raw_response response{this->texts().head() + "A:\r\nB: \t\r\n\r\n" +
                                  body,
                              0, false, connection_end::close};
        response.segment_bytes = segment_bytes;
        EXPECT_EQ(this->run(response).end, attempt_end::answered);
        EXPECT_EQ(this->caller->body, body);
    }
}

// Guards against the same in an interim answer before a sound one: the bytes
// that follow cannot be trusted.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_after_a_bad_interim_one)
{
    const std::string sound = this->texts().whole(framing::length, 3);
    for (const char* line : {"Two Words: 1", "Blank : 1", "A: b\r\n folded"})
    {
        SCOPED_TRACE(line);
        this->expect_no_answer({"HTTP/1.1 103 Early Hints\r\n" +
                                std::string(line) + "\r\n\r\n" + sound});
    }
}

// Guards against the same in the lines after a body in chunks.
TEST_F(an_attempt_at_a_malformed_head, gets_no_answer_with_a_bad_trailer)
{
    const std::string chunks =
        this->texts().chunked_head() + answer_texts::chunk("aaaa") + "0\r\n";
    for (const char* line : {"Two Words: 1", "Blank : 1", "Control\x01: 1"})
    {
        SCOPED_TRACE(line);
        this->expect_no_answer({chunks + line + "\r\n\r\n"});
    }
}

// Guards against an answer without a length whose connection is reset while the
// upload goes on: the write that waits takes the error of the connection, and
// the read after it sees an end in order.
TEST_F(an_upload_that_waits, gets_no_answer_that_a_reset_broke_off)
{
    this->expect_no_answer_from(connection_end::reset);
}

// Guards against the same when the server's process ends or closes the
// connection with the upload unread.
TEST_F(an_upload_that_waits, gets_no_answer_from_a_server_that_leaves_it_unread)
{
    this->expect_no_answer_from(connection_end::close);
}

// Guards against the same in chunks: the upload has no length either.
TEST_F(an_upload_that_waits, gets_no_answer_that_broke_off_if_it_has_no_length)
{
    this->request.content_length = std::nullopt;
    this->request.chunked = true;
    this->expect_no_answer_from(connection_end::reset);
}

// Guards against the same wherever else an answer may break off: in its head,
// after interim answers, in an answer to another request and in the trailer.
TEST_F(an_upload_that_waits, gets_no_answer_that_broke_off_anywhere)
{
    const std::string whole = this->texts().whole(framing::until_close, 100);
    std::string foreign = whole;
    foreign.replace(foreign.find("{id}"), 4, "request-0");
    const std::string chunks =
        this->texts().chunked_head() + answer_texts::chunk("aaaa");
    for (const std::string& text :
         {std::string(), std::string("HTTP/1.1 200 Sta"), this->texts().head(),
          std::string("HTTP/1.1 100 Continue\r\n\r\n"),
          "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + whole, foreign,
          chunks + "0\r\n", chunks + "0\r\nExpires: never\r\n"})
    {
        this->expect_no_answer_to(text, connection_end::reset);
    }
}

// Guards against the same when the server's machine stops to take in bytes: the
// write that waits takes the timeout of the connection.
TEST_F(an_upload_that_waits, gets_no_answer_that_a_timeout_broke_off)
{
    const std::string text = this->texts().part(framing::until_close, 8000);
    this->expect_no_answer({text, 0, true, connection_end::ignore});
}

// Guards against a fix that drops sound answers too: the server ended its
// answer in order, and only then reset the rest of the upload.
TEST_F(an_upload_that_waits, gets_the_answer_that_ended_before_the_reset)
{
    this->expect_whole_answers_from(connection_end::end_then_reset);
}

// Guards against an answer that ended in order and waits for an upload that its
// server does not read.
TEST_F(an_upload_that_waits, gets_the_answer_of_a_server_that_reads_no_more)
{
    this->expect_whole_answers_from(connection_end::end_then_ignore);
}

// Guards against an answer that broke off while its caller took its time: the
// read begins only after the write has taken the error.
TEST_F(an_upload_of_a_slow_caller, gets_no_answer_that_a_reset_broke_off)
{
    this->expect_no_answer_to(this->texts().part(framing::until_close, 8000),
                              connection_end::reset);
    this->expect_no_answer_to(this->texts().part(framing::until_close, 8000),
                              connection_end::close);
}

// Guards against the same when no write waits, but the next one finds the reset
// before the read does.
TEST_F(an_upload_of_a_slow_caller, gets_no_answer_if_a_later_write_fails)
{
    this->read_time = slow_write / 5;
    raw_response response{this->texts().part(framing::until_close, 8000)};
    response.end = connection_end::reset;
    response.reset_delay = this->read_time / 2;
    this->expect_no_answer(response);
}

// Guards against the loss of an answer that ended in order: the write that
// waits finds a broken pipe before the read sees the end.
TEST_F(an_upload_of_a_slow_caller, gets_the_answer_that_ended_before_the_reset)
{
    this->expect_whole_answer({this->texts().whole(framing::until_close, 8000),
                               0, true, connection_end::end_then_reset},
                              8000);
}

// Guards against a whole answer that is dropped because of the reset after it:
// most of it is read only then.
TEST_F(an_upload_of_a_slow_caller, gets_the_framed_answer_that_came_whole)
{
    // The caller's side takes it in at once: a reset would discard the rest.
    constexpr std::size_t body_bytes = 40000;
    for (const framing how : {framing::length, framing::chunks})
    {
        this->expect_whole_answer({this->texts().whole(how, body_bytes), 0,
                                   true, connection_end::reset},
                                  body_bytes);
    }
}

// Guards against an answer that broke off and is complete for the callers of
// the project's own daemon.
TEST_F(an_upload_with_own_names, gets_no_answer_that_a_reset_broke_off)
{
    this->expect_no_answer_from(connection_end::reset);
}

// Guards against an answer that broke off and is kept for repeats of its order.
TEST_F(an_upload_of_an_order, keeps_no_answer_that_a_reset_broke_off)
{
    this->expect_no_answer_from(connection_end::reset);
}
