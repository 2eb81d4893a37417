/// The daemon of an instance on the users' platform. docs/CONFIGURATION.md
/// describes its settings.
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <medlarbarrow/net/fleet_instance.hpp>
#include <medlarbarrow/net/log.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <platform/store.hpp>

using namespace medlarbarrow;

namespace
{

constexpr const char* settings_variable = "MEDLARBARROW_CONFIG";

enum class exit_status
{
    ok = 0,
    requests_cut = 1, ///< the shutdown grace ended first
    usage = 2,
    failed = 3
};

net::platform_adapter make_adapter(const platform::fleet_bounds& bounds)
{
    net::platform_adapter adapter;
    adapter.names = platform::http_interface_names();
    adapter.ready_path = platform::ready_path;
    adapter.read = platform::read_item;
    adapter.open_source =
        [](boost::asio::io_context& io, const config::endpoint& where,
           net::published& target) -> core::result<std::unique_ptr<net::source>>
    {
        auto made = platform::store::create(io, where, target);
        if (!made)
        {
            return made.error();
        }
        return std::unique_ptr<net::source>(std::move(*made));
    };
    adapter.repeats = bounds.repeats;
    adapter.shutdown_grace = bounds.shutdown_grace;
    return adapter;
}

exit_status serve(const config::fleet_settings& settings,
                  const std::string& path,
                  const platform::fleet_bounds& bounds)
{
    net::log::level least = net::log::level::info;
    net::log::parse_level(settings.log_level, least);
    net::log::start(least);
    auto made =
        net::fleet_instance::create(settings, path, make_adapter(bounds));
    if (!made)
    {
        net::log::write(net::log::level::error, "start_failed",
                        {net::log::kv("error", made.error())});
        net::log::stop();
        return exit_status::failed;
    }
    net::log::write(net::log::level::info, "started",
                    {net::log::kv("name", settings.name),
                     net::log::kv("data_centre", settings.data_centre)});
    const bool finished = (*made)->run();
    net::log::write(net::log::level::info, "ended",
                    {net::log::kv("all_requests_finished", finished)});
    net::log::stop();
    return finished ? exit_status::ok : exit_status::requests_cut;
}

exit_status run(int count, const char* const* words)
{
    cxxopts::Options options("medlarfleetd",
                             "Instance of medlarbarrow on a platform");
    options.add_options()(
        "settings", "settings file; default: the path in MEDLARBARROW_CONFIG",
        cxxopts::value<std::string>())(
        "check", "check the settings file and end")("h,help",
                                                    "print this help");
    options.parse_positional({"settings"});
    const auto given = options.parse(count, words);
    if (given.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return exit_status::ok;
    }
    const char* variable = std::getenv(settings_variable);
    std::string path = variable == nullptr ? "" : variable;
    if (given.count("settings") != 0)
    {
        path = given["settings"].as<std::string>();
    }
    if (path.empty())
    {
        fmt::print(stderr, "{}", options.help());
        return exit_status::usage;
    }
    const auto loaded = config::load_fleet_settings(path);
    if (const auto* faults = std::get_if<config::problems>(&loaded))
    {
        for (const config::problem& fault : faults->items)
        {
            fmt::print(stderr, "{}{}: {}\n", path, fault.path, fault.message);
        }
        return exit_status::failed;
    }
    const auto& settings = std::get<config::fleet_settings>(loaded);
    const auto bounds = platform::parse_bounds(settings.bounds);
    if (!bounds)
    {
        fmt::print(stderr, "{}/bounds: a value is malformed\n", path);
        return exit_status::failed;
    }
    if (given.count("check") != 0)
    {
        fmt::print("the settings are valid\n");
        return exit_status::ok;
    }
    return serve(settings, path, *bounds);
}

} // namespace

int main(int count, char** words)
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return static_cast<int>(run(count, words));
    }
    catch (const std::exception& fault)
    {
        fmt::print(stderr, "medlarfleetd: {}\n", fault.what());
        return static_cast<int>(exit_status::usage);
    }
}
