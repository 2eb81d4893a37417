#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/headers.hpp>

using namespace medlarbarrow;
using net::checked_request;

namespace
{

const std::string key = "lagoon-hotel-key-0123456789";

/// Checks a request like the entry does. An error when any check refuses it.
core::result<checked_request> check(const std::string& text)
{
    const auto error = core::make_error_code(core::result_code::bad_request);
    if (!net::is_well_formed_header(text))
    {
        return error;
    }
    net::http::request_parser<net::http::empty_body> parser;
    parser.body_limit(boost::none);
    boost::system::error_code failure;
    parser.put(boost::asio::buffer(text), failure);
    if (failure || !parser.is_header_done())
    {
        return error;
    }
    return net::check_request(parser.get().base());
}

core::result<checked_request> check(const std::string& target,
                                    const std::string& lines)
{
    return check("GET " + target + " HTTP/1.1\r\nHost: reef.example\r\n" +
                 lines + "\r\n");
}

bool is_refused(const std::string& target, const std::string& lines)
{
    return !check(target, lines).has_value();
}

} // namespace

// Guards against a key that is forwarded to a server because the caller wrote
// it in an unusual form.
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

// Guards against removing or changing the query members and cookies next to the
// key.
TEST(caller_key, removal_keeps_other_members_and_cookies)
{
    const auto request = check("/a?x=1&api_key=" + key + "&y=%20",
                               "Cookie: a=b; api_key=" + key + "; c=d\r\n");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->target, "/a?x=1&y=%20");
    EXPECT_NE(request->lines.find("Cookie: a=b; c=d\r\n"), std::string::npos);
}

// Guards against requests with the keys of two accounts, and against keys that
// are forwarded in other header lines such as Referer.
TEST(caller_key, conflicts_and_copies_are_not_forwarded)
{
    EXPECT_TRUE(is_refused("/a?api_key=other", "X-Api-Key: " + key + "\r\n"));
    EXPECT_TRUE(is_refused("/a?api_key=one&api_key=two", ""));
    EXPECT_TRUE(is_refused("/a", "Authorization: Bearer a\r\n"
                                 "Authorization: Bearer a\r\n"));
    EXPECT_TRUE(is_refused("/a/" + key, "X-Api-Key: " + key + "\r\n"));
    const auto request =
        check("/a", "X-Api-Key: " + key +
                        "\r\nReferer: http://reef.example/?api_key=" + key +
                        "\r\nAuthorization: Basic " + key + "\r\n");
    ASSERT_TRUE(request);
    EXPECT_EQ(request->lines.find(key), std::string::npos);
}

// Guards against hop-by-hop headers that are forwarded to the next hop.
TEST(forwarded_lines, contain_no_hop_by_hop_header)
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

// Guards against request smuggling: requests whose boundaries this proxy and a
// server would determine differently. Guards also against paths that a server
// would resolve to another route.
TEST(ambiguous_requests, are_refused)
{
    const std::string request_line = "POST /a HTTP/1.1\r\n";
    const std::string host_line = "Host: reef.example\r\n";
    const std::vector<std::string> texts{
        request_line + host_line +
            "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
        request_line + host_line +
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n",
        request_line + host_line +
            "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
        request_line + host_line +
            "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
        request_line + host_line + "Content-Length: +5\r\n\r\n",
        request_line + host_line + "Content-Length: 5, 5\r\n\r\n",
        request_line + host_line + "Transfer-Encoding: gzip, chunked\r\n\r\n",
        request_line + host_line + "Transfer-Encoding: xchunked\r\n\r\n",
        request_line + host_line + "Transfer-Encoding : chunked\r\n\r\n",
        request_line + host_line +
            "X-A: 1\r\n Transfer-Encoding: chunked\r\n\r\n",
        request_line + host_line + "X-A: 1\nContent-Length: 5\r\n\r\n",
        request_line + host_line + "Connection: Content-Length\r\n\r\n",
        request_line + "\r\n",
        request_line + host_line + host_line + "\r\n",
        request_line + "Host: reef.example/evil\r\n\r\n",
        request_line + "Host: \r\n\r\n",
        "POST /a HTTP/1.0\r\n" + host_line + "\r\n",
        "TRACE /a HTTP/1.1\r\n" + host_line + "\r\n",
        "CONNECT a:1 HTTP/1.1\r\n" + host_line + "\r\n",
        "GET http://other/a HTTP/1.1\r\n" + host_line + "\r\n"};
    for (const std::string& text : texts)
    {
        EXPECT_FALSE(check(text)) << text;
    }
    for (const std::string target :
         {"/guides/../reports", "/guides/%2e%2E/reports",
          "/guides/..%2freports", "/a/.", "/a%00", "/a%zz", "/a%", "/a\\b",
          "/a%5cb", "/a#b"})
    {
        EXPECT_TRUE(is_refused(target, "")) << target;
    }
}

// Guards against a percent escape or a repeated slash that makes a path miss
// its route.
TEST(routing_path, is_decoded_once)
{
    EXPECT_EQ(check("/%72eports//1", "")->facts.path, "/reports/1");
    EXPECT_EQ(check("/%72eports//1", "")->target, "/%72eports//1");
    EXPECT_EQ(check("/a", "")->facts.host, "reef.example");
}

// Guards against accepting a malformed trace context: the standard requires a
// new trace instead.
TEST(trace_context, is_parsed_strictly_and_continued)
{
    const std::string header =
        "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";
    const auto parent = net::trace::parse(header);
    ASSERT_TRUE(parent);
    EXPECT_EQ(net::trace::format(*parent), header);
    const net::trace::context child = net::trace::make_span(parent);
    EXPECT_EQ(child.trace_id, parent->trace_id);
    EXPECT_NE(child.span_id, parent->span_id);
    for (const std::string malformed :
         {"", "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331",
          "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0AF7651916CD43DD8448EB211C80319C-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x"})
    {
        EXPECT_FALSE(net::trace::parse(malformed)) << malformed;
    }
}

// Guards against a header that is refused because only part of it has arrived,
// and against a line that is joined to the one above it when the rest comes.
TEST(unparsed_header, is_checked_up_to_its_end)
{
    const std::string sound =
        "HTTP/1.1 200 OK\r\nA: b c\r\nB:\r\n\r\n \r\n \x01";
    for (std::size_t size = 0; size <= sound.size(); ++size)
    {
        EXPECT_TRUE(net::is_well_formed_beginning(sound.substr(0, size)))
            << size;
    }
    // The lines above it have been parsed already.
    EXPECT_TRUE(net::is_well_formed_beginning("\r\n \r\n"));
    EXPECT_FALSE(net::is_well_formed_beginning("A: b\r\n c"));
    EXPECT_FALSE(net::is_well_formed_beginning("A: b\r\n\tc\r\n\r\n"));
    EXPECT_FALSE(net::is_well_formed_beginning(" A: b\r\n"));
    EXPECT_FALSE(net::is_well_formed_beginning("A: b\nC: d\r\n"));
    EXPECT_FALSE(net::is_well_formed_beginning("A: \x01"));
}
