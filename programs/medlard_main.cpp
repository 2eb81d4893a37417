/// The daemon of an entry instance. docs/CONFIGURATION.md describes its
/// settings.
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/net/instance.hpp>
#include <medlarbarrow/net/log.hpp>

using namespace medlarbarrow;

namespace
{

enum class exit_status
{
    ok = 0,
    /// A repeated SIGINT or the shutdown limit ended running requests.
    requests_aborted = 1,
    usage = 2,
    failed = 3
};

void print_problems(const config::problems& faults)
{
    for (const config::problem& fault : faults.items)
    {
        fmt::print(stderr, "{}: {}\n", fault.path.empty() ? "/" : fault.path,
                   fault.message);
    }
}

exit_status serve(const config::settings& settings)
{
    net::log::level min_level = net::log::level::info;
    net::log::parse_level(settings.log_level, min_level);
    net::log::start(min_level);
    auto created = net::instance::create(settings);
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
    cxxopts::Options options("medlard", "Entry instance of medlarbarrow");
    options.add_options()("settings", "settings file (JSON with comments)",
                          cxxopts::value<std::string>())(
        "check", "check the settings file and exit")(
        "version", "print the version and exit")("h,help", "print this help");
    options.parse_positional({"settings"});
    const auto parsed = options.parse(argc, argv);
    if (parsed.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return exit_status::ok;
    }
    if (parsed.count("version") != 0)
    {
        fmt::print("medlard {}\n", net::program_version);
        return exit_status::ok;
    }
    if (parsed.count("settings") == 0)
    {
        fmt::print(stderr, "{}", options.help());
        return exit_status::usage;
    }
    const auto loaded =
        config::load_settings(parsed["settings"].as<std::string>());
    if (const auto* faults = std::get_if<config::problems>(&loaded))
    {
        print_problems(*faults);
        return exit_status::failed;
    }
    if (parsed.count("check") != 0)
    {
        fmt::print("the settings are valid\n");
        return exit_status::ok;
    }
    return serve(std::get<config::settings>(loaded));
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
        fmt::print(stderr, "medlard: {}\n", fault.what());
        return static_cast<int>(exit_status::usage);
    }
}
