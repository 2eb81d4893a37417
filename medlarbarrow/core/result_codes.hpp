/// Numbered result codes. docs/RESULT-CODES.md publishes the same table.
#pragma once

#include <system_error>

namespace medlarbarrow::core
{

/// Result of an operation. The first digit gives the subject: 1xx caller, 2xx
/// limits and capacity, 3xx backend servers, 4xx orders, 5xx peers, 6xx
/// configuration, 7xx platform.
enum class result_code
{
    ok = 0,
    no_route = 101,
    key_missing = 102,
    key_unknown = 103,
    key_withdrawn = 104,
    account_not_allowed = 105,
    bad_request = 106,
    body_too_large = 107,
    header_too_large = 108,
    body_stalled = 109,
    rate_exceeded = 201,
    queue_full = 202,
    deadline_unreachable = 203,
    no_healthy_server = 204,
    shutting_down = 205,
    not_ready = 206,
    limit_home_unreachable = 207,
    instance_failed = 208,
    request_memory_exhausted = 209,
    server_connect_failed = 301,
    server_timeout = 302,
    server_closed_early = 303,
    server_shed = 304,
    server_bad_answer = 305,
    request_blocked = 306,
    caller_gone = 307,
    order_key_missing = 401,
    order_key_invalid = 402,
    order_key_in_future = 403,
    order_outcome_unknown = 404,
    order_in_progress = 405,
    order_home_unreachable = 406,
    peer_unknown = 501,
    peer_older_incarnation = 502,
    peer_newer_format = 503,
    peer_message_invalid = 504,
    peer_message_too_large = 505,
    peer_queue_full = 506,
    peer_unauthenticated = 507,
    settings_invalid = 601,
    document_invalid = 602,
    document_older = 603,
    document_torn = 604,
    document_too_large = 605,
    file_unreadable = 606,
    platform_unreachable = 701,
    platform_bad_answer = 702,
    list_older = 703,
    list_empty = 704,
};

/// Error category of result_code. Its messages are the texts of the table.
const std::error_category& result_category() noexcept;

std::error_code make_error_code(result_code code) noexcept;

/// Name of the code in the table, for example "rate_exceeded"; "unknown" for a
/// number that is not a code.
const char* name_of(result_code code) noexcept;

} // namespace medlarbarrow::core

template <>
struct std::is_error_code_enum<medlarbarrow::core::result_code> : std::true_type
{
};
