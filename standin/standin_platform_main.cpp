#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <standin/platform.hpp>

using namespace medlarbarrow;

namespace
{

int run(int count, const char* const* arguments)
{
    cxxopts::Options options("standin_platform",
                             "Stand-in of the configuration service and of "
                             "the instance list");
    options.add_options()(
        "address", "IP number to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port, 0 for a free one",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "folder", "folder with one file for each value, and \"instances\"",
        cxxopts::value<std::string>())("help", "show this text");
    const auto given = options.parse(count, arguments);
    if (given.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return 0;
    }
    boost::asio::io_context context;
    auto service =
        standin::platform::create(context, {given["address"].as<std::string>(),
                                            given["port"].as<std::uint16_t>()});
    if (!service)
    {
        fmt::print(stderr, "cannot listen: {}\n", service.error().message());
        return 1;
    }
    if (given.count("folder") != 0)
    {
        (*service)->follow_folder(given["folder"].as<std::string>());
    }
    fmt::print("port={}\n", (*service)->port());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait(
        [&context](const boost::system::error_code&, int)
        {
            context.stop();
        });
    context.run();
    return 0;
}

} // namespace

int main(int count, char** arguments)
{
    try
    {
        return run(count, arguments);
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
}
