#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>
#include <medlarbarrow/config/log_trace.hpp>
#include <optional>

namespace medlarbarrow::config
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds context_window{10'000};

/// Events about the instance itself that may explain the outcome of a request.
constexpr std::array<std::string_view, 16> instance_events{
    "document_in_force",  "document_refused",     "document_problem",
    "servers_listed",     "store_lost",           "store_reached",
    "store_history_lost", "owner_unanswered",
    "home_unanswered", // of earlier releases
    "caught_up",          "peer_changes_refused", "started",
    "stopping",           "stop_ended",           "stop_signal_repeated",
    "settings_reloaded"};

/// Events about a server or a service.
constexpr std::array<std::string_view, 7> server_events{
    "server_suspected",  "server_trusted",   "server_leaving",
    "server_removed",    "server_announced", "servers_without_work",
    "server_turned_away"};

/// Parses the value at the start of `rest` and removes it from `rest`.
std::string consume_value(std::string_view& rest)
{
    std::string value;
    if (!rest.starts_with('"'))
    {
        const auto length = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, length);
        rest.remove_prefix(length);
        return value;
    }
    rest.remove_prefix(1);
    while (!rest.empty() && rest.front() != '"')
    {
        if (rest.front() == '\\' && rest.size() > 1)
        {
            rest.remove_prefix(1);
        }
        value += rest.front();
        rest.remove_prefix(1);
    }
    rest.remove_prefix(rest.empty() ? 0 : 1);
    return value;
}

/// Time of a log line in milliseconds since 1970, for example of
/// 2026-12-04T13:09:02.109Z.
std::optional<milliseconds> time_of(const log_line& line)
{
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int milli = 0;
    const std::string text(line.at("time"));
    // The format is fixed; text that does not match it completely is no time.
    // NOLINTNEXTLINE(cert-err34-c)
    if (std::sscanf(text.c_str(), "%d-%u-%uT%d:%d:%d.%dZ", &year, &month, &day,
                    &hour, &minute, &second, &milli) != 7)
    {
        return std::nullopt;
    }
    const std::chrono::sys_days date{std::chrono::year(year) /
                                     std::chrono::month(month) /
                                     std::chrono::day(day)};
    return date.time_since_epoch() + std::chrono::hours(hour) +
           std::chrono::minutes(minute) + std::chrono::seconds(second) +
           milliseconds(milli);
}

template <std::size_t Size>
bool contains(const std::array<std::string_view, Size>& events,
              std::string_view event)
{
    return std::find(events.begin(), events.end(), event) != events.end();
}

/// True if `line` concerns a server that the request with the end line `end`
/// was sent to, the suspicion of a server of its service, a lack of work at its
/// service, or the instance that logged `end`.
bool is_relevant(const log_line& line, const log_line& end)
{
    const std::string_view event = line.at("event");
    if (contains(server_events, event))
    {
        const std::string server = std::string(line.at("server")) + ":";
        const bool concerns_server =
            server.size() > 1 &&
            end.at("sends").find(server) != std::string_view::npos;
        const bool concerns_service = event == "server_suspected" ||
                                      event == "server_trusted" ||
                                      event == "servers_without_work";
        return concerns_server ||
               (concerns_service && !end.at("service").empty() &&
                line.at("service") == end.at("service"));
    }
    return line.file == end.file && contains(instance_events, event);
}

} // namespace

std::string_view log_line::at(std::string_view field) const
{
    const auto position = this->fields.find(field);
    return position == this->fields.end() ? std::string_view()
                                          : position->second;
}

log_line parse_log_line(std::string_view file, std::string_view text)
{
    log_line line;
    line.file = file;
    line.text = text;
    std::string_view rest = text;
    while (!rest.empty())
    {
        const auto equals = rest.find('=');
        const auto space = rest.find(' ');
        if (space < equals)
        {
            // Skips a word without a value, such as a prefix that a log
            // collector adds.
            rest.remove_prefix(space + 1);
            continue;
        }
        if (equals == std::string_view::npos)
        {
            break;
        }
        const std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields[name] = consume_value(rest);
    }
    return line;
}

request_trace trace_request(std::string_view id,
                            const std::vector<log_line>& lines)
{
    request_trace trace;
    for (const log_line& line : lines)
    {
        if (!id.empty() && line.at("event") == "request_ended" &&
            line.at("id") == id)
        {
            trace.end_lines.push_back(line);
        }
    }
    if (trace.end_lines.empty())
    {
        return trace;
    }
    const log_line& end = trace.end_lines.back();
    const auto end_time = time_of(end);
    for (const log_line& line : lines)
    {
        const auto line_time = time_of(line);
        const bool in_window = end_time && line_time &&
                               *line_time <= *end_time &&
                               *end_time - *line_time <= context_window;
        if (in_window && is_relevant(line, end))
        {
            trace.context_lines.push_back(line);
        }
    }
    std::stable_sort(trace.context_lines.begin(), trace.context_lines.end(),
                     [](const log_line& left, const log_line& right)
                     {
                         return left.at("time") < right.at("time");
                     });
    return trace;
}

} // namespace medlarbarrow::config
