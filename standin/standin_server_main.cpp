/// Runs one stand-in backend server until SIGINT or SIGTERM.
#include <csignal>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <iostream>
#include <standin/server.hpp>

namespace
{

using medlarbarrow::standin::server;
using medlarbarrow::standin::server_options;
using std::chrono::milliseconds;

cxxopts::Options describe()
{
    cxxopts::Options options("standin_server",
                             "Stand-in for a backend server.");
    options.add_options()("h,help", "Print this help")(
        "name", "Server name",
        cxxopts::value<std::string>()->default_value("server"))(
        "address", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "Port; 0 picks one, which is printed",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "slots", "Requests run at once",
        cxxopts::value<unsigned>()->default_value("3"))(
        "queue", "Requests that may wait for a slot",
        cxxopts::value<unsigned>()->default_value("64"))(
        "connections", "Connections accepted in all",
        cxxopts::value<unsigned>()->default_value("360"))(
        "service-ms", "Time each request takes",
        cxxopts::value<unsigned>()->default_value("0"))(
        "cold-start-ms", "Unhealthy for this time after the start",
        cxxopts::value<unsigned>()->default_value("0"));
    return options;
}

server_options read_options(const cxxopts::ParseResult& given)
{
    server_options chosen;
    chosen.name = given["name"].as<std::string>();
    chosen.address = given["address"].as<std::string>();
    chosen.port = given["port"].as<std::uint16_t>();
    chosen.slots = given["slots"].as<unsigned>();
    chosen.queue = given["queue"].as<unsigned>();
    chosen.connections = given["connections"].as<unsigned>();
    chosen.service_time = milliseconds(given["service-ms"].as<unsigned>());
    chosen.cold_start = milliseconds(given["cold-start-ms"].as<unsigned>());
    return chosen;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = describe();
        const cxxopts::ParseResult given = options.parse(argc, argv);
        if (given.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return 0;
        }
        // Blocked before the server starts its thread, so that only sigwait
        // receives them.
        sigset_t ends;
        sigemptyset(&ends);
        sigaddset(&ends, SIGINT);
        sigaddset(&ends, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &ends, nullptr);
        const server running(read_options(given));
        std::cout << fmt::format("port={}", running.port()) << '\n'
                  << std::flush;
        int received = 0;
        sigwait(&ends, &received);
        return 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "standin_server: " << failure.what() << '\n';
        return 1;
    }
}
