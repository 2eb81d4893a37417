#include <array>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <medlarbarrow/config/fleet_settings.hpp>
#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/core/result_codes.hpp>

namespace medlarbarrow::config
{

namespace
{

constexpr std::size_t max_settings_bytes = 1U << 20U;
constexpr std::size_t max_seeds = 1024;
constexpr std::size_t max_bounds = 1024;

// Parses "IP:port"; an IPv6 address has no brackets.
std::optional<endpoint> parse_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint result;
    const char* end = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, end, result.port);
    boost::system::error_code address_error;
    result.address = text.substr(0, colon);
    boost::asio::ip::make_address(result.address, address_error);
    if (address_error || parsed.ec != std::errc() || parsed.ptr != end)
    {
        return std::nullopt;
    }
    return result;
}

const text_rule endpoint_rule{[](std::string_view text)
                              {
                                  return parse_endpoint(text).has_value();
                              },
                              "an endpoint of the form IP:port"};

const text_rule bound_rule{[](std::string_view text)
                           {
                               return text.find('=') != std::string_view::npos;
                           },
                           "a string of the form name=value"};

void read_endpoint_member(object_reader& reader,
                          std::string_view member,
                          endpoint& target,
                          presence requirement)
{
    std::string text;
    reader.text(member, text, endpoint_rule, requirement);
    if (const auto endpoint_value = parse_endpoint(text))
    {
        target = *endpoint_value;
    }
}

void read_settings(object_reader& reader, fleet_settings& target)
{
    reader.text("name", target.name, name_rule, presence::required);
    reader.text("data_centre", target.data_centre, name_rule,
                presence::required);
    reader.text("region", target.region, name_rule, presence::required);
    read_endpoint_member(reader, "callers", target.callers, presence::required);
    read_endpoint_member(reader, "ready", target.ready, presence::required);
    read_endpoint_member(reader, "peers", target.peers, presence::required);
    read_endpoint_member(reader, "fleet", target.fleet, presence::required);
    read_endpoint_member(reader, "source", target.source, presence::required);
    if (reader.has("metrics"))
    {
        target.metrics.emplace();
        read_endpoint_member(reader, "metrics", *target.metrics,
                             presence::required);
    }
    std::vector<std::string> seeds;
    reader.texts("seeds", seeds, max_seeds, endpoint_rule);
    for (const std::string& seed : seeds)
    {
        if (const auto endpoint_value = parse_endpoint(seed))
        {
            target.seeds.push_back(*endpoint_value);
        }
    }
    reader.texts("bounds", target.bounds, max_bounds, bound_rule);
    reader.unsigned_integer("max_files", target.max_files, 64, 10'000'000,
                            presence::optional);
    constexpr std::array<choice<std::string_view>, 4> log_levels{
        {{"debug", "debug"},
         {"info", "info"},
         {"warning", "warning"},
         {"error", "error"}}};
    std::string_view level = target.log_level;
    reader.one_of<std::string_view>("log_level", level, log_levels,
                                    presence::optional);
    target.log_level = std::string(level);
    reader.finish();
}

} // namespace

checked<fleet_settings> parse_fleet_settings(std::string_view text)
{
    problem_list diagnostics;
    fleet_settings target;
    if (const auto parsed = parse_json(text, max_settings_bytes, diagnostics))
    {
        object_reader root(*parsed, "", diagnostics);
        read_settings(root, target);
    }
    if (!diagnostics.empty())
    {
        return diagnostics.take(
            make_error_code(core::result_code::settings_invalid));
    }
    return target;
}

checked<fleet_settings> load_fleet_settings(const std::string& path)
{
    const auto text = read_file(path);
    if (!text)
    {
        return problems{make_error_code(core::result_code::file_unreadable),
                        {{"", path + " cannot be read"}}};
    }
    return parse_fleet_settings(*text);
}

} // namespace medlarbarrow::config
