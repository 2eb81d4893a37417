/// Finds the log lines of a fleet that explain the outcome of one request.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace medlarbarrow::config
{

/// One line of a structured log.
struct log_line
{
    std::string file; ///< file that contains the line
    std::string text;
    std::map<std::string, std::string, std::less<>> fields;

    /// Value of a field; empty if the line does not have it.
    std::string_view at(std::string_view field) const;
};

/// Parses a line of key=value pairs; values may be quoted.
log_line parse_log_line(std::string_view file, std::string_view text);

/// Log lines that concern one request.
struct request_trace
{
    std::vector<log_line> end_lines; ///< request_ended lines of it
    std::vector<log_line>
        context_lines; ///< about its servers, service, document,
                       ///< source and owners; oldest first
};

/// Searches complete logs for a request id. The context covers the 10 s before
/// the last request_ended line of the request.
request_trace trace_request(std::string_view id,
                            const std::vector<log_line>& lines);

} // namespace medlarbarrow::config
