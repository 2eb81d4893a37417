/// The daemon of an instance on a user's platform. docs/CONFIGURATION.md
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
    requests_aborted = 1, ///< the shutdown grace period ended running requests
    usage = 2,
    failed = 3
};

// Connects the instance with the HTTP interface and the store of the platform.
net::platform_adapter make_adapter(const platform::fleet_bounds& bounds)
{
    net::platform_adapter adapter;
    adapter.names = platform::http_interface_names();
    adapter.ready_path = platform::ready_path;
    adapter.read = platform::read_item;
    adapter.open_source =
        [](boost::asio::io_context& io, const config::endpoint& endpoint,
           net::published& target) -> core::result<std::unique_ptr<net::source>>
    {
        auto created = platform::store::create(io, endpoint, target);
        if (!created)
        {
            return created.error();
        }
        return std::unique_ptr<net::source>(std::move(*created));
    };
    adapter.repeats = bounds.repeats;
    adapter.floor_share = bounds.floor_share;
    adapter.shutdown_grace = bounds.shutdown_grace;
    return adapter;
}

exit_status serve(const config::fleet_settings& settings,
                  const std::string& path,
                  const platform::fleet_bounds& bounds)
{
    net::log::level min_level = net::log::level::info;
    net::log::parse_level(settings.log_level, min_level);
    net::log::start(min_level);
    auto created =
        net::fleet_instance::create(settings, path, make_adapter(bounds));
    if (!created)
    {
        net::log::write(net::log::level::error, "start_failed",
                        {net::log::kv("error", created.error())});
        net::log::stop();
        return exit_status::failed;
    }
    net::log::write(net::log::level::info, "started",
                    {net::log::kv("name", settings.name),
                     net::log::kv("data_centre", settings.data_centre)});
    const bool finished = (*created)->run();
    net::log::write(net::log::level::info, "ended",
                    {net::log::kv("all_requests_finished", finished)});
    net::log::stop();
    return finished ? exit_status::ok : exit_status::requests_aborted;
}

exit_status run(int argc, const char* const* argv)
{
    cxxopts::Options options("medlarfleetd",
                             "Instance of medlarbarrow on a platform");
    options.add_options()(
        "settings", "settings file; default: the path in MEDLARBARROW_CONFIG",
        cxxopts::value<std::string>())(
        "check", "check the settings file and exit")("h,help",
                                                     "print this help");
    options.parse_positional({"settings"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return exit_status::ok;
    }
    const char* path_from_environment = std::getenv(settings_variable);
    std::string path =
        path_from_environment == nullptr ? "" : path_from_environment;
    if (parsed.count("settings") != 0)
    {
        path = parsed["settings"].as<std::string>();
    }
    if (path.empty())
    {
        fmt::print(stderr, "{}", options.help());
        return exit_status::usage;
    }
    const auto loaded = config::load_fleet_settings(path);
    if (const auto* failure = std::get_if<config::problems>(&loaded))
    {
        for (const config::problem& fault : failure->items)
        {
            fmt::print(stderr, "{}{}: {}\n", path, fault.path, fault.message);
        }
        return exit_status::failed;
    }
    const auto& settings = std::get<config::fleet_settings>(loaded);
    const auto bounds = platform::parse_bounds(settings.bounds);
    if (!bounds)
    {
        fmt::print(stderr,
                   "{}/bounds: a value is invalid; expected a number, or a "
                   "duration with the unit ms or s\n",
                   path);
        return exit_status::failed;
    }
    if (parsed.count("check") != 0)
    {
        fmt::print("the settings are valid\n");
        return exit_status::ok;
    }
    return serve(settings, path, *bounds);
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    try
    {
        return static_cast<int>(run(argc, argv));
    }
    catch (const std::exception& fault)
    {
        fmt::print(stderr, "medlarfleetd: {}\n", fault.what());
        return static_cast<int>(exit_status::usage);
    }
}
