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

constexpr milliseconds context_time{10'000};

/// Events about the instance itself that may explain a request.
constexpr std::array<std::string_view, 11> instance_events{
    "document_in_force", "document_refused",     "store_lost",
    "store_reached",     "store_history_lost",   "home_unanswered",
    "caught_up",         "peer_changes_refused", "started",
    "stopping",          "settings_reloaded"};

/// Events about a server or a service.
constexpr std::array<std::string_view, 5> server_events{
    "server_suspected", "server_trusted", "server_leaving", "server_removed",
    "server_announced"};

/// Reads one value from `rest` and removes it.
std::string take_value(std::string_view& rest)
{
    std::string value;
    if (!rest.starts_with('"'))
    {
        const auto end = std::min(rest.find(' '), rest.size());
        value = rest.substr(0, end);
        rest.remove_prefix(end);
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

/// Milliseconds since 1970 of a log time, for example
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
    // The format is fixed; a shorter match is no time.
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
bool contains(const std::array<std::string_view, Size>& all,
              std::string_view one)
{
    return std::find(all.begin(), all.end(), one) != all.end();
}

/// True for a line about a server that the request was sent to or about its
/// service, or about the instance that served it.
bool explains(const log_line& line, const log_line& end)
{
    const std::string_view event = line.at("event");
    if (contains(server_events, event))
    {
        const std::string server = std::string(line.at("server")) + ":";
        const bool named = server.size() > 1 && end.at("sends").find(server) !=
                                                    std::string_view::npos;
        const bool suspicion =
            event == "server_suspected" || event == "server_trusted";
        return named || (suspicion && !end.at("service").empty() &&
                         line.at("service") == end.at("service"));
    }
    return line.source == end.source && contains(instance_events, event);
}

} // namespace

std::string_view log_line::at(std::string_view field) const
{
    const auto found = this->fields.find(field);
    return found == this->fields.end() ? std::string_view() : found->second;
}

log_line parse_log_line(std::string_view source, std::string_view text)
{
    log_line line;
    line.source = source;
    line.text = text;
    std::string_view rest = text;
    while (!rest.empty())
    {
        const auto equals = rest.find('=');
        const auto space = rest.find(' ');
        if (space < equals)
        {
            // A word without a value, such as a prefix of the collector.
            rest.remove_prefix(space + 1);
            continue;
        }
        if (equals == std::string_view::npos)
        {
            break;
        }
        const std::string name(rest.substr(0, equals));
        rest.remove_prefix(equals + 1);
        line.fields[name] = take_value(rest);
    }
    return line;
}

request_trace trace_request(std::string_view id,
                            const std::vector<log_line>& lines)
{
    request_trace found;
    for (const log_line& line : lines)
    {
        if (!id.empty() && line.at("event") == "request_ended" &&
            line.at("id") == id)
        {
            found.ends.push_back(line);
        }
    }
    if (found.ends.empty())
    {
        return found;
    }
    const log_line& end = found.ends.back();
    const auto ended = time_of(end);
    for (const log_line& line : lines)
    {
        const auto at = time_of(line);
        const bool before =
            ended && at && *at <= *ended && *ended - *at <= context_time;
        if (before && explains(line, end))
        {
            found.context.push_back(line);
        }
    }
    std::stable_sort(found.context.begin(), found.context.end(),
                     [](const log_line& left, const log_line& right)
                     {
                         return left.at("time") < right.at("time");
                     });
    return found;
}

} // namespace medlarbarrow::config
