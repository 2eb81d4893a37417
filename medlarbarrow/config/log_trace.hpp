/// Finds the log lines that explain one request, in the logs of a fleet.
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
    std::string source; ///< file that it stands in
    std::string text;
    std::map<std::string, std::string, std::less<>> fields;

    /// Empty when the line has no such field.
    std::string_view at(std::string_view field) const;
};

/// Reads a line of key=value pairs; values may be quoted.
log_line parse_log_line(std::string_view source, std::string_view text);

/// What is known of one request.
struct request_trace
{
    std::vector<log_line> ends;    ///< its own lines
    std::vector<log_line> context; ///< about its servers, service, document,
                                   ///< the source and owners; oldest first
};

/// Looks through whole logs. The context is what was logged in the 10 s before
/// the newest end of the request.
request_trace trace_request(std::string_view id,
                            const std::vector<log_line>& lines);

} // namespace medlarbarrow::config
