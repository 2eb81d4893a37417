/// Real instances with servers in trouble: no client gets a broken answer as a
/// complete one.
#include "broken_answers.hpp"
#include "planned_work_fixture.hpp"

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using standin::connection_end;
using standin::raw_response;

namespace
{

/// What a client got back.
struct client_answer
{
    unsigned status = 0; ///< 0: no whole head
    bool complete = false;
    std::size_t body_bytes = 0;
};

/// Far more than the buffers between client and server hold.
constexpr std::size_t upload_bytes = 8U << 20U;

/// Sends the text of a request and reads the answer at the same time.
client_answer exchange(const tcp::endpoint& target,
                       const std::string& text,
                       bool head_only = false)
{
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect(target);
    std::thread writer(
        [&socket, &text]
        {
            error_code ignored;
            asio::write(socket, asio::buffer(text), ignored);
        });
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    parser.skip(head_only);
    error_code failure;
    http::read(socket, buffer, parser, failure);
    client_answer received;
    received.complete = !failure;
    if (parser.is_header_done())
    {
        received.status = parser.get().result_int();
        received.body_bytes = parser.get().body().size();
    }
    // Ends a write that still waits.
    socket.shutdown(tcp::socket::shutdown_both, failure);
    writer.join();
    return received;
}

} // namespace

/// Given an instance whose servers all answer in the same broken way.
class an_instance_with_broken_servers : public a_fleet_on_a_platform
{
protected:
    void TearDown() override
    {
        a_fleet_on_a_platform::TearDown();
        this->broken.clear();
    }

    void start(const raw_response& response)
    {
        constexpr unsigned slots = 4;
        for (const char* name : {"b-1", "b-2"})
        {
            this->broken.push_back(std::make_unique<standin::raw_server>(
                request_id_header, response));
            this->store.put(
                fmt::format("servers/{}", name),
                make_server_item(this->broken.back()->port(), slots));
        }
        this->start_fleet(1);
    }

    /// Uploads to the path. The request must reach a server.
    client_answer upload(const std::string& path, const std::string& id)
    {
        const client_answer received = exchange(
            this->endpoint_of(0),
            fmt::format("POST {} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        path, request_id_header, id, upload_bytes,
                        std::string(upload_bytes, 'u')));
        EXPECT_TRUE(this->has_arrived(id)) << path;
        return received;
    }

    bool has_arrived(const std::string& id) const
    {
        return std::any_of(this->broken.begin(), this->broken.end(),
                           [&id](const auto& server)
                           {
                               const auto ids = server->request_ids();
                               return std::find(ids.begin(), ids.end(), id) !=
                                      ids.end();
                           });
    }

    const answer_texts texts{platform::http_interface_names()};
    std::vector<std::unique_ptr<standin::raw_server>> broken;
};

/// An answer in whose head one line is malformed.
struct malformed_head
{
    const char* status;
    const char* lines;
};

class an_instance_with_servers_of_malformed_heads
    : public an_instance_with_broken_servers,
      public testing::WithParamInterface<malformed_head>
{
};

// Guards against a client that gets a malformed answer, or one with a body that
// is not the server's.
TEST_P(an_instance_with_servers_of_malformed_heads, tells_clients_of_the_fault)
{
    this->start(
        {this->texts.head(GetParam().status) + GetParam().lines + "\r\nabc", 0,
         false, connection_end::close});
    for (const char* path : {"/order/1", "/browse/1"})
    {
        const std::string id = path + 1;
        const client_answer received =
            exchange(this->endpoint_of(0),
                     fmt::format("GET {} HTTP/1.1\r\nHost: a.example\r\n"
                                 "{}: {}\r\n\r\n",
                                 path, request_id_header, id));
        EXPECT_TRUE(this->has_arrived(id));
        EXPECT_EQ(received.status, 502U) << path;
        EXPECT_TRUE(received.complete) << path;
    }
}

INSTANTIATE_TEST_SUITE_P(
    of_each_kind,
    an_instance_with_servers_of_malformed_heads,
    testing::Values(
        malformed_head{"000", "Content-Length: 3\r\n"},
        malformed_head{"000", ""},
        malformed_head{"200", "Two Words: 1\r\nContent-Length: 3\r\n"},
        malformed_head{"200", "Content-Length : 2\r\n"},
        malformed_head{"200", "Control\x01: 1\r\nContent-Length: 3\r\n"},
        malformed_head{"200", " folded\r\nContent-Length: 3\r\n"},
        malformed_head{"200", "A: b\r\n Content-Length: 2\r\n"}));

/// Given servers whose answers have the status 000, in each framing.
class an_instance_with_servers_of_status_000
    : public an_instance_with_broken_servers,
      public testing::WithParamInterface<framing>
{
protected:
    /// A whole answer of status 000 with a body of three bytes.
    std::string answer() const
    {
        std::string text = this->texts.whole(GetParam(), 3);
        text.replace(text.find("200"), 3, "000");
        return text;
    }

    /// How a server ends it.
    static connection_end ending()
    {
        return GetParam() == framing::until_close ? connection_end::close
                                                  : connection_end::none;
    }

    /// Sends one request of the method, with a short body if it has one.
    client_answer
    send(const std::string& method, const std::string& path, unsigned number)
    {
        const std::string body = method == "POST" ? "abc" : "";
        const std::string id = fmt::format("{}-{}", method, number);
        const client_answer received = exchange(
            this->endpoint_of(0),
            fmt::format("{} {} HTTP/1.1\r\nHost: a.example\r\n{}: {}\r\n"
                        "Content-Length: {}\r\n\r\n{}",
                        method, path, request_id_header, id, body.size(), body),
            method == "HEAD");
        EXPECT_TRUE(this->has_arrived(id)) << id;
        return received;
    }

    /// Sends requests of each method on each kind of route.
    void expect_all_are_told_of_the_fault()
    {
        unsigned number = 0;
        for (const char* path : {"/order/1", "/browse/1"})
        {
            for (const char* method : {"GET", "HEAD", "POST", "DELETE"})
            {
                SCOPED_TRACE(fmt::format("{} {}", method, path));
                const client_answer received =
                    this->send(method, path, ++number);
                EXPECT_EQ(received.status, 502U);
                EXPECT_TRUE(received.complete);
            }
        }
    }
};

// Guards against a client that gets an answer whose status is none.
TEST_P(an_instance_with_servers_of_status_000, gives_it_to_no_client)
{
    this->start({this->answer(), 0, false, ending()});
    this->expect_all_are_told_of_the_fault();
}

// Guards against the same after an interim answer.
TEST_P(an_instance_with_servers_of_status_000,
       gives_it_to_none_after_an_interim)
{
    this->start(
        {"HTTP/1.1 100 Continue\r\n\r\n" + this->answer(), 0, false, ending()});
    this->expect_all_are_told_of_the_fault();
}

// Guards against a client that is told that its request has not run: such an
// answer proves nothing.
TEST_P(an_instance_with_servers_of_status_000, does_not_believe_what_it_says)
{
    std::string text = this->answer();
    text.insert(text.find("\r\n") + 2,
                platform::http_interface_names().not_run + ": 1\r\n");
    this->start({text, 0, false, ending()});
    this->expect_all_are_told_of_the_fault();
}

// Guards against a client that gets it over a connection to the server that has
// served others.
TEST_P(an_instance_with_servers_of_status_000, gives_it_to_none_when_it_is_late)
{
    raw_response response{this->answer(), 0, false, ending()};
    response.first_text = this->texts.whole(framing::length, 5);
    // The first answer keeps the connection open.
    response.end = connection_end::none;
    if (GetParam() == framing::until_close)
    {
        response.text += "and more, without an end";
    }
    this->start(response);
    unsigned failed = 0;
    for (unsigned number = 1; number <= 24; ++number)
    {
        // Two orders in a row: by turns, each order could get a new connection
        // and each repeatable request a used one, after which it is repeated.
        const client_answer received = this->send(
            "GET", number % 3 == 0 ? "/browse/1" : "/order/1", number);
        EXPECT_TRUE(received.complete);
        failed += received.status == 502 ? 1 : 0;
        if (received.status != 502)
        {
            EXPECT_EQ(received.status, 200U);
            EXPECT_EQ(received.body_bytes, 5U);
        }
    }
    EXPECT_GT(failed, 0U);
}

// Guards against the same while the client still sends a long body.
TEST_P(an_instance_with_servers_of_status_000, gives_it_to_no_upload)
{
    this->start({this->answer(), 0, true, connection_end::close});
    for (const char* path : {"/order/1", "/browse/1"})
    {
        const client_answer received = this->upload(path, path + 1);
        EXPECT_EQ(received.status, 502U) << path;
    }
}

INSTANTIATE_TEST_SUITE_P(in_each_framing,
                         an_instance_with_servers_of_status_000,
                         testing::Values(framing::length,
                                         framing::chunks,
                                         framing::until_close));

/// One way to break off: bytes of the answer's body that come, and bytes of the
/// upload that the server reads before.
struct broken_off
{
    std::size_t answered = 0;
    std::size_t read = 0;
};

class an_instance_with_resetting_servers
    : public an_instance_with_broken_servers,
      public testing::WithParamInterface<broken_off>
{
};

// Guards against a client that gets part of an answer as a complete one: the
// server answers a long upload at once, without a length, and resets the
// connection while a write of the upload waits.
TEST_P(an_instance_with_resetting_servers, gives_clients_no_part_as_an_answer)
{
    const auto [answered, read] = GetParam();
    this->start({this->texts.part(framing::until_close, answered), read, true,
                 connection_end::reset});
    for (const char* path : {"/order/1", "/browse/1"})
    {
        const client_answer received = this->upload(path, path + 1);
        EXPECT_FALSE(received.complete && received.status / 100 == 2)
            << path << ": " << received.status << " with "
            << received.body_bytes << " bytes";
    }
}

INSTANTIATE_TEST_SUITE_P(of_each_part,
                         an_instance_with_resetting_servers,
                         testing::Values(broken_off{0, 0},
                                         broken_off{0, 65536},
                                         broken_off{8000, 0},
                                         broken_off{8000, 65536},
                                         broken_off{300000, 0},
                                         broken_off{300000, 65536}));

// Guards against a sound answer that clients lose: its server ended it in order
// and then reset the rest of the upload.
TEST_F(an_instance_with_broken_servers, gives_clients_what_ended_in_order)
{
    constexpr std::size_t body_bytes = 8000;
    this->start({this->texts.whole(framing::until_close, body_bytes), 0, true,
                 connection_end::end_then_reset});
    for (const char* path : {"/order/1", "/browse/1"})
    {
        const client_answer received = this->upload(path, path + 1);
        EXPECT_EQ(received.status, 200U) << path;
        EXPECT_TRUE(received.complete) << path;
        EXPECT_EQ(received.body_bytes, body_bytes) << path;
    }
}
