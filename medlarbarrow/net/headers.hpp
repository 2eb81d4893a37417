/// Checks the header of a caller's request, extracts the caller's key from it
/// and selects the header lines that are forwarded.
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

/// Header lines to forward, each "Name: value\r\n".
using header_lines = std::string;

/// Names and rules of the HTTP interface that differ between deployments. The
/// defaults are the project's own interface.
struct http_interface
{
    std::string request_id = "Medlar-Request-Id"; ///< servers may echo it
    /// Servers echo the request id in each answer. One without it is then never
    /// taken for the answer to the current request.
    bool answers_bear_request_id = false;
    /// Header that each complete success (2xx) of a server bears; empty: none.
    /// A success without it is a damaged answer.
    std::string success_mark;
    std::string deadline = "Medlar-Deadline-Ms"; ///< remaining milliseconds
    std::string not_run = "Medlar-Not-Run"; ///< "1": the request did not run
    /// "1": the server leaves and wants no new requests; empty: not read.
    std::string leaving = "Server-Leaving";
    std::string account; ///< carries the account's name; empty: not sent
    std::string expected_server; ///< carries the server's name; empty: not sent
    std::string reserved_prefix =
        "medlar-";                     ///< of names that callers may not set
    std::string key_scheme = "Bearer"; ///< scheme of Authorization for keys
    /// Keys are accepted in Authorization only; path and query are forwarded
    /// unchanged.
    bool forward_target_unchanged = false;
    bool forward_request_id = false; ///< forwards the caller's request id
    /// An answer without a framing header ends where its connection ends. Then
    /// a success whose head is ended before its framing header, but after the
    /// request id and the success mark, cannot be told from one with an empty
    /// body: both are valid.
    bool answers_until_close = false;
    /// Time after the deadline for which an answer of unknown length may go on.
    /// Without such a limit, a server that sends without end would hold the
    /// request until the caller leaves.
    std::chrono::milliseconds unsized_answer_overtime{10000};
};

/// A request whose header has passed all checks. Only the digest in `facts` is
/// derived from the caller's key.
struct checked_request
{
    core::request_facts facts; ///< without content_digest
    std::string method;
    std::string target; ///< as sent to a server
    std::string id;     ///< from the caller; empty: a new one per attempt
    header_lines lines; ///< without framing, trace and deadline headers
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    bool expects_continue = false;
    bool close = false; ///< the caller requested "Connection: close"
    std::optional<trace::context> parent;

    bool has_body() const noexcept
    {
        return this->chunked || this->content_length.value_or(0) > 0;
    }
};

/// Checks the header text before it is parsed: every line ends in CRLF, no
/// line is folded and there are no control characters. Lenient parsers treat
/// these differently, which request smuggling exploits.
bool is_well_formed_header(std::string_view head);

/// The same for the lines of a header that have arrived but are not parsed yet,
/// up to the end of the header. The last of them may be incomplete.
bool is_well_formed_beginning(std::string_view input);

/// Checks a parsed header and builds the request to forward. Error:
/// bad_request.
core::result<checked_request>
check_request(const http::request_header<>& header,
              const http_interface& names = {});

/// SHA-256 of a key.
core::key_digest digest_key(std::string_view key);

/// True when the framing of a server's answer is unambiguous: either one
/// Content-Length or exactly "Transfer-Encoding: chunked".
bool has_unambiguous_framing(const http::response_header<>& header);

/// Header lines of a server's answer that are forwarded to the caller. Leaves
/// out framing, hop-by-hop headers and the names that only the fleet may set.
header_lines forwarded_answer_lines(const http::response_header<>& header);

} // namespace medlarbarrow::net
