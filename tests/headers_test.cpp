#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/headers.hpp>

using namespace medlarbarrow;
using net::checked_request;

namespace
{

const std::string key = "lagoon-hotel-key-0123456789";

/// The request as the entry sees it; an error when any check refuses it.
core::result<checked_request> check(const std::string& text)
{
    const auto bad = core::make_error_code(core::result_code::bad_request);
    if (!net::is_plain_header(text))
    {
        return bad;
    }
    net::http::request_parser<net::http::empty_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    parser.put(boost::asio::buffer(text), failure);
    if (failure || !parser.is_header_done())
    {
        return bad;
    }
    return net::check_request(parser.get().base());
}

core::result<checked_request> check(const std::string& target,
                                    const std::string& lines)
{
    return check("GET " + target + " HTTP/1.1\r\nHost: reef.example\r\n" +
                 lines + "\r\n");
}

bool refused(const std::string& target, const std::string& lines)
{
    return !check(target, lines).has_value();
}

} // namespace

// Guards against a server that sees a key which came in an unusual form.
TEST(caller_key, is_found_in_and_removed_from_every_place)
{
    const std::vector<std::pair<std::string, std::string>> places{
        {"/a", "Authorization: Bearer " + key + "\r\n"},
        {"/a", "authorization: bEaReR   " + key + " \r\n"},
        {"/a", "x-api-KEY: " + key + "\r\n"},
        {"/a?api_key=" + key, ""},
        {"/a?x=1&api%5fkey=" + key + "&y=2", ""},
        {"/a?api_key=%6cagoon-hotel-key-0123456789", ""},
        {"/a", "Cookie: a=b; api_key=" + key + "; c=d\r\n"},
        {"/a", "Cookie: api_key=\"" + key + "\"\r\n"},
        {"/a?api_key=" + key, "Cookie: api_key=" + key +
                                  "\r\nX-Api-Key: " + key +
                                  "\r\nAuthorization: Bearer " + key + "\r\n"},
    };
    for (const auto& [target, lines] : places)
    {
        const auto request = check(target, lines);
        ASSERT_TRUE(request) << target << lines;
        EXPECT_EQ(request->facts.key, net::digest_key(key)) << target << lines;
        const std::string sent = request->target + request->lines;
        EXPECT_EQ(sent.find("0123456789"), std::string::npos) << sent;
    }
}

// Guards against damage to what stands next to the key.
TEST(caller_key, leaves_other_members_and_cookies_alone)
{
    const auto request = check("/a?x=1&api_key=" + key + "&y=%20",
                               "Cookie: a=b; api_key=" + key + "; c=d\r\n");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->target, "/a?x=1&y=%20");
    EXPECT_NE(request->lines.find("Cookie: a=b; c=d\r\n"), std::string::npos);
}

// Guards against two accounts in one request, and against keys that travel on
// in a line that no one thinks of.
TEST(caller_key, conflicts_and_copies_are_not_passed_on)
{
    EXPECT_TRUE(refused("/a?api_key=other", "X-Api-Key: " + key + "\r\n"));
    EXPECT_TRUE(refused("/a?api_key=one&api_key=two", ""));
    EXPECT_TRUE(refused("/a", "Authorization: Bearer a\r\n"
                              "Authorization: Bearer a\r\n"));
    EXPECT_TRUE(refused("/a/" + key, "X-Api-Key: " + key + "\r\n"));
    const auto request =
        check("/a", "X-Api-Key: " + key +
                        "\r\nReferer: http://reef.example/?api_key=" + key +
                        "\r\nAuthorization: Basic " + key + "\r\n");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->lines.find(key), std::string::npos);
}

// Guards against headers of one hop that reach the next.
TEST(passed_on_lines, hold_no_hop_by_hop_header)
{
    const auto request =
        check("/a", "Connection: keep-alive, X-Private\r\nX-Private: 1\r\n"
                    "Keep-Alive: 5\r\nUpgrade: websocket\r\nTE: trailers\r\n"
                    "Proxy-Authorization: x\r\nMedlar-Deadline-Ms: 70\r\n"
                    "Accept: */*\r\n");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->lines, "Host: reef.example\r\nAccept: */*\r\n");
    EXPECT_EQ(request->facts.caller_deadline, std::chrono::milliseconds(70));
}

// Guards against requests that this proxy and a server would split apart
// differently, and against paths that a server would resolve to another route.
TEST(ambiguous_requests, are_refused)
{
    const std::string start = "POST /a HTTP/1.1\r\n";
    const std::string host = "Host: reef.example\r\n";
    const std::vector<std::string> texts{
        start + host +
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        start + host +
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
        start + host + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        start + host + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        start + host + "Content-Length: +5\r\n\r\n",
        start + host + "Content-Length: 5, 5\r\n\r\n",
        start + host + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        start + host + "Transfer-Encoding: xchunked\r\n\r\n",
        start + host + "Transfer-Encoding : chunked\r\n\r\n",
        start + host + "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n",
        start + host + "X-A: 1\nContent-Length: 5\r\n\r\n",
        start + host + "Connection: Content-Length\r\n\r\n",
        start + "\r\n",
        start + host + host + "\r\n",
        start + "Host: reef.example/evil\r\n\r\n",
        start + "Host: \r\n\r\n",
        "POST /a HTTP/1.0\r\n" + host + "\r\n",
        "TRACE /a HTTP/1.1\r\n" + host + "\r\n",
        "CONNECT a:1 HTTP/1.1\r\n" + host + "\r\n",
        "GET http://other/a HTTP/1.1\r\n" + host + "\r\n"};
    for (const std::string& text : texts)
    {
        EXPECT_FALSE(check(text)) << text;
    }
    for (const std::string target :
         {"/guides/../reports", "/guides/%2e%2E/reports",
          "/guides/..%2freports", "/a/.", "/a%00", "/a%zz", "/a%", "/a\\b",
          "/a%5cb", "/a#b"})
    {
        EXPECT_TRUE(refused(target, "")) << target;
    }
}

// Guards against an escape or a repeated slash that leads around a route.
TEST(routing_path, is_decoded_once)
{
    EXPECT_EQ(check("/%72eports//1", "")->facts.path, "/reports/1");
    EXPECT_EQ(check("/%72eports//1", "")->target, "/%72eports//1");
    EXPECT_EQ(check("/a", "")->facts.host, "reef.example");
}

// Guards against broken traces: the standard demands a new one.
TEST(trace_context, is_parsed_strictly_and_continued)
{
    const std::string given =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto parent = net::trace::parse(given);
    ASSERT_TRUE(parent);
    EXPECT_EQ(net::trace::format(*parent), given);
    const net::trace::context child = net::trace::make_span(parent);
    EXPECT_EQ(child.trace_id, parent->trace_id);
    EXPECT_NE(child.span_id, parent->span_id);
    for (const std::string bad :
         {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
          "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"})
    {
        EXPECT_FALSE(net::trace::parse(bad)) << bad;
    }
}
