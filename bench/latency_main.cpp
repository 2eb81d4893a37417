/// Measures the latency that an instance adds. Requests over keep-alive
/// connections alternate between a backend server and the instance in front of
/// it, so that both see the same load of the machine. Prints the median and the
/// 99th percentile.
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

/// A keep-alive connection that sends the same request again and again.
class connection
{
public:
    connection(std::uint16_t port, std::string text)
        : socket(this->context), request(std::move(text))
    {
        this->socket.connect({asio::ip::make_address("127.0.0.1"), port});
        this->socket.set_option(asio::ip::tcp::no_delay(true));
    }

    /// Sends the request and returns the microseconds until the response is
    /// complete. Throws if its status is not 200.
    double measure_request()
    {
        const auto started = std::chrono::steady_clock::now();
        asio::write(this->socket, asio::buffer(this->request));
        http::response<http::string_body> response;
        http::read(this->socket, this->buffer, response);
        const auto latency = std::chrono::steady_clock::now() - started;
        if (response.result_int() != 200)
        {
            throw std::runtime_error(
                fmt::format("status {} instead of 200", response.result_int()));
        }
        return microseconds(latency).count();
    }

private:
    asio::io_context context;
    asio::ip::tcp::socket socket;
    std::string request;
    boost::beast::flat_buffer buffer;
};

double quantile(std::vector<double>& values, double fraction)
{
    const auto index = static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(),
                     values.begin() + static_cast<std::ptrdiff_t>(index),
                     values.end());
    return values[index];
}

/// Measures and prints the latencies.
int run(int count, const char* const* arguments)
{
    cxxopts::Options options("latency",
                             "Measures the latency that an instance adds");
    options.add_options()("direct", "Port of the backend server",
                          cxxopts::value<std::uint16_t>())(
        "through", "Port of the instance for callers",
        cxxopts::value<std::uint16_t>())(
        "target", "Request target",
        cxxopts::value<std::string>()->default_value("/salinity/today"))(
        "key", "Key of the client account",
        cxxopts::value<std::string>()->default_value("example-key-shop"))(
        "requests", "Requests to send on each of the two connections",
        cxxopts::value<unsigned>()->default_value("2000"))(
        "pause-us", "Microseconds to wait after each pair of requests",
        cxxopts::value<unsigned>()->default_value("5000"));
    const auto parsed_options = options.parse(count, arguments);
    const std::string request_text =
        fmt::format("GET {} HTTP/1.1\r\nHost: bench\r\nX-Api-Key: {}\r\n\r\n",
                    parsed_options["target"].as<std::string>(),
                    parsed_options["key"].as<std::string>());
    connection direct_connection(parsed_options["direct"].as<std::uint16_t>(),
                                 request_text);
    connection instance_connection(
        parsed_options["through"].as<std::uint16_t>(), request_text);
    std::vector<double> direct_latencies;
    std::vector<double> instance_latencies;
    const std::chrono::microseconds pause(
        parsed_options["pause-us"].as<unsigned>());
    for (unsigned round = 0; round < parsed_options["requests"].as<unsigned>();
         ++round)
    {
        direct_latencies.push_back(direct_connection.measure_request());
        instance_latencies.push_back(instance_connection.measure_request());
        std::this_thread::sleep_for(pause);
    }
    for (const double fraction : {0.5, 0.99})
    {
        const double direct_latency = quantile(direct_latencies, fraction);
        const double instance_latency = quantile(instance_latencies, fraction);
        fmt::print("quantile={} direct_us={:.0f} through_us={:.0f} "
                   "added_us={:.0f}\n",
                   fraction, direct_latency, instance_latency,
                   instance_latency - direct_latency);
    }
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
        fmt::print(stderr, "latency: {}\n", error.what());
        return 1;
    }
}
