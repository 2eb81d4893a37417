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
                             "Serves a test double of the configuration "
                             "service and of the instance list.");
    options.add_options()(
        "address", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port to listen on; 0 picks a free one, which is printed",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "folder",
        "Folder to read, with one file for each value and a file "
        "\"instances\"",
        cxxopts::value<std::string>())("help", "Print this help");
    const auto parsed_options = options.parse(count, arguments);
    if (parsed_options.count("help") != 0)
    {
        fmt::print("{}", options.help());
        return 0;
    }
    boost::asio::io_context context;
    auto service = standin::platform::create(
        context, {parsed_options["address"].as<std::string>(),
                  parsed_options["port"].as<std::uint16_t>()});
    if (!service)
    {
        fmt::print(stderr, "cannot listen on the address and port: {}\n",
                   service.error().message());
        return 1;
    }
    if (parsed_options.count("folder") != 0)
    {
        (*service)->follow_folder(parsed_options["folder"].as<std::string>());
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
