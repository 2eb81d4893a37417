/// Checks the header of a caller's request, takes the caller's key out of it
/// and decides which header lines travel on.
#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/net/trace.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::net
{

namespace http = boost::beast::http;

/// Header lines that are passed on, each "Name: value\r\n".
using header_text = std::string;

/// Names and rules of the HTTP interface that differ between deployments. The
/// defaults are the project's own interface.
struct interface_names
{
    std::string request_id = "Medlar-Request-Id"; ///< a server may repeat it
    std::string deadline = "Medlar-Deadline-Ms";  ///< milliseconds left
    std::string not_run = "Medlar-Not-Run";       ///< "1": it did not run
    std::string account;         ///< name of the account; empty: not sent
    std::string expected_server; ///< name of the server; empty: not sent
    std::string own_prefix = "medlar-"; ///< names that callers may not set
    std::string key_scheme = "Bearer";  ///< of Authorization
    /// Keys come in Authorization only; path and query pass unchanged.
    bool plain_target = false;
    bool caller_names_requests = false; ///< the caller's id is passed on
    /// Answers without a stated length end with their connection.
    bool answers_until_close = false;
};

/// A request whose header has passed all checks. No member but the digest in
/// `facts` is derived from the caller's key.
struct checked_request
{
    core::request_facts facts; ///< without content_digest
    std::string method;
    std::string target; ///< as sent to a server
    std::string id;     ///< the caller's; empty: made for each attempt
    header_text lines;  ///< without framing, trace and deadline
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    bool expects_continue = false;
    bool close = false; ///< the caller asked to close the connection
    std::optional<trace::context> parent;

    bool has_body() const noexcept
    {
        return this->chunked || this->content_length.value_or(0) > 0;
    }
};

/// Checks the header text before it is parsed: complete lines, no folded
/// lines, no control characters. Lenient parsers differ in these, which
/// request smuggling exploits.
bool is_plain_header(std::string_view head);

/// Checks a parsed header and builds what is passed on. Error: bad_request.
core::result<checked_request>
check_request(const http::request_header<>& header,
              const interface_names& names = {});

/// SHA-256 of a key.
core::key_digest digest_key(std::string_view key);

/// True when the framing of a server's answer is unambiguous: either one
/// Content-Length or exactly "Transfer-Encoding: chunked".
bool has_clear_framing(const http::response_header<>& header);

/// Header lines of a server's answer for the caller: without framing,
/// hop-by-hop lines and the names that only the fleet may state.
header_text answer_lines(const http::response_header<>& header);

} // namespace medlarbarrow::net
