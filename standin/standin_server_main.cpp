/// Runs a test double of a backend server until SIGINT or SIGTERM.
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

cxxopts::Options make_options()
{
    cxxopts::Options options("standin_server",
                             "Serves a test double of a backend server.");
    options.add_options()("h,help", "Print this help")(
        "name", "Server name",
        cxxopts::value<std::string>()->default_value("server"))(
        "address", "IP address to listen on",
        cxxopts::value<std::string>()->default_value("127.0.0.1"))(
        "port", "TCP port to listen on; 0 picks a free one, which is printed",
        cxxopts::value<std::uint16_t>()->default_value("0"))(
        "slots", "Requests that run at the same time",
        cxxopts::value<unsigned>()->default_value("3"))(
        "queue", "Requests that may wait for a slot",
        cxxopts::value<unsigned>()->default_value("64"))(
        "connections", "Connections open at the same time",
        cxxopts::value<unsigned>()->default_value("360"))(
        "service-ms", "Milliseconds that each request takes",
        cxxopts::value<unsigned>()->default_value("0"))(
        "cold-start-ms", "Milliseconds after the start that it is unhealthy",
        cxxopts::value<unsigned>()->default_value("0"));
    return options;
}

server_options read_options(const cxxopts::ParseResult& parsed_options)
{
    server_options options;
    options.name = parsed_options["name"].as<std::string>();
    options.address = parsed_options["address"].as<std::string>();
    options.port = parsed_options["port"].as<std::uint16_t>();
    options.slots = parsed_options["slots"].as<unsigned>();
    options.queue = parsed_options["queue"].as<unsigned>();
    options.connections = parsed_options["connections"].as<unsigned>();
    options.service_time =
        milliseconds(parsed_options["service-ms"].as<unsigned>());
    options.cold_start =
        milliseconds(parsed_options["cold-start-ms"].as<unsigned>());
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        cxxopts::Options options = make_options();
        const cxxopts::ParseResult parsed_options = options.parse(argc, argv);
        if (parsed_options.count("help") != 0)
        {
            std::cout << options.help() << '\n';
            return 0;
        }
        // Block the signals before the server starts its thread, so that only
        // sigwait() receives them.
        sigset_t stop_signals;
        sigemptyset(&stop_signals);
        sigaddset(&stop_signals, SIGINT);
        sigaddset(&stop_signals, SIGTERM);
        pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
        const server backend(read_options(parsed_options));
        std::cout << fmt::format("port={}", backend.port()) << '\n'
                  << std::flush;
        int received_signal = 0;
        sigwait(&stop_signals, &received_signal);
        return 0;
    }
    catch (const std::exception& failure)
    {
        std::cerr << "standin_server: " << failure.what() << '\n';
        return 1;
    }
}
