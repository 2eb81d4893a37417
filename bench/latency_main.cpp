/// Latency that an instance adds: requests over kept connections alternate
/// between a backend server directly and the instance in front of it, so that
/// both meet the same load of the machine. Prints median and 99th percentile.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <thread>
#include <vector>

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using microseconds = std::chrono::duration<double, std::micro>;

/// One kept connection.
class connection
{
public:
    connection(std::uint16_t port, std::string text)
        : socket(this->context), request(std::move(text))
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        this->socket.set_option(asio::ip::tcp::no_delay(true));
    }

    /// Time from the first byte sent to the whole answer; throws unless 200.
    double ask()
    {
        const auto began = std::chrono::steady_clock::now();
        asio::write(this->socket, asio::buffer(this->request));
        http::response<http::string_body> answer;
        http::read(this->socket, this->buffer, answer);
        const auto took = std::chrono::steady_clock::now() - began;
        if (answer.result_int() != 200)
        {
            throw std::runtime_error(
                fmt::format("answer {}", answer.result_int()));
        }
        return microseconds(took).count();
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string request;
    boost::beast::flat_buffer buffer;
};

double quantile(std::vector<double>& values, double part)
{
    const auto index =
        static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

int run(int count, const char* const* words)
{
    cxxopts::Options options("latency", "Latency that an instance adds");
    options.add_options()("direct", "port of the backend server",
                          cxxopts::value<std::uint16_t>())(
        "through", "callers' port of the instance",
        cxxopts::value<std::uint16_t>())(
        "target", "request target",
        cxxopts::value<std::string>()->default_value("/salinity/today"))(
        "key", "key of the client account",
        cxxopts::value<std::string>()->default_value("example-key-shop"))(
        "requests", "requests each way",
        cxxopts::value<unsigned>()->default_value("2000"))(
        "pause-us", "pause after each pair of requests",
        cxxopts::value<unsigned>()->default_value("5000"));
    const auto given = options.parse(count, words);
    const std::string text = fmt::format(
        "GET {} HTTP/1.1\r\nHost: bench\r\nX-Api-Key: {}\r\n\r\n",
        given["target"].as<std::string>(), given["key"].as<std::string>());
    connection direct(given["direct"].as<std::uint16_t>(), text);
    connection through(given["through"].as<std::uint16_t>(), text);
    std::vector<double> direct_times;
    std::vector<double> through_times;
    const std::chrono::microseconds pause(given["pause-us"].as<unsigned>());
    for (unsigned round = 0; round < given["requests"].as<unsigned>(); ++round)
    {
        direct_times.push_back(direct.ask());
        through_times.push_back(through.ask());
        std::this_thread::sleep_for(pause);
    }
    for (const double part : {0.5, 0.99})
    {
        const double without = quantile(direct_times, part);
        const double with = quantile(through_times, part);
        fmt::print("quantile={} direct_us={:.0f} through_us={:.0f} "
                   "added_us={:.0f}\n",
                   part, without, with, with - without);
    }
    return 0;
}

} // namespace

int main(int count, char** words)
{
    try
    {
        return run(count, words);
    }
    catch (const std::exception& fault)
    {
        fmt::print(stderr, "latency: {}\n", fault.what());
        return 1;
    }
}
