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

std::optional<endpoint> read_endpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
    {
        return std::nullopt;
    }
    endpoint read;
    const char* last = text.data() + text.size();
    const auto parsed =
        std::from_chars(text.data() + colon + 1, last, read.port);
    boost::system::error_code failure;
    read.address = text.substr(0, colon);
    boost::asio::ip::make_address(read.address, failure);
    if (failure || parsed.ec != std::errc() || parsed.ptr != last)
    {
        return std::nullopt;
    }
    return read;
}

const text_rule endpoint_rule{[](std::string_view text)
                              {
                                  return read_endpoint(text).has_value();
                              },
                              "an endpoint of the form IP:port"};

const text_rule bound_rule{[](std::string_view text)
                           {
                               return text.find('=') != std::string_view::npos;
                           },
                           "a text of the form name=value"};

void read_member(object_reader& from,
                 std::string_view member,
                 endpoint& target,
                 presence needed)
{
    std::string text;
    from.text(member, text, endpoint_rule, needed);
    if (const auto read = read_endpoint(text))
    {
        target = *read;
    }
}

void read_settings(object_reader& from, fleet_settings& target)
{
    from.text("name", target.name, name_rule, presence::required);
    from.text("data_centre", target.data_centre, name_rule, presence::required);
    from.text("region", target.region, name_rule, presence::required);
    read_member(from, "callers", target.callers, presence::required);
    read_member(from, "ready", target.ready, presence::required);
    read_member(from, "peers", target.peers, presence::required);
    read_member(from, "fleet", target.fleet, presence::required);
    read_member(from, "source", target.source, presence::required);
    if (from.has("metrics"))
    {
        target.metrics.emplace();
        read_member(from, "metrics", *target.metrics, presence::required);
    }
    std::vector<std::string> seeds;
    from.texts("seeds", seeds, max_seeds, endpoint_rule);
    for (const std::string& seed : seeds)
    {
        if (const auto read = read_endpoint(seed))
        {
            target.seeds.push_back(*read);
        }
    }
    from.texts("bounds", target.bounds, max_bounds, bound_rule);
    from.whole("max_files", target.max_files, 64, 10'000'000,
               presence::optional);
    constexpr std::array<choice<std::string_view>, 4> log_levels{
        {{"debug", "debug"},
         {"info", "info"},
         {"warning", "warning"},
         {"error", "error"}}};
    std::string_view level = target.log_level;
    from.one_of<std::string_view>("log_level", level, log_levels,
                                  presence::optional);
    target.log_level = std::string(level);
    from.finish();
}

} // namespace

checked<fleet_settings> parse_fleet_settings(std::string_view text)
{
    problem_list found;
    fleet_settings target;
    if (const auto parsed = parse_json(text, max_settings_bytes, found))
    {
        object_reader root(*parsed, "", found);
        read_settings(root, target);
    }
    if (!found.empty())
    {
        return found.take(make_error_code(core::result_code::settings_invalid));
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
