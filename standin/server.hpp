/// Stand-in for a backend server: slots, a connection limit, a cold start,
/// draining, shedding, and faults that can be switched while it runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarbarrow::standin
{

struct server_options
{
    std::string name = "server";
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;     ///< 0: any free port
    unsigned slots = 3;         ///< requests it runs at once
    unsigned queue = 64;        ///< requests that wait for a slot
    unsigned connections = 360; ///< further ones are closed at once
    std::chrono::milliseconds service_time{0};
    std::chrono::milliseconds cold_start{0}; ///< unhealthy after the start
};

/// Faults and states; `POST /_control` sets the members its JSON names.
struct server_modes
{
    double error_fraction = 0.0; ///< of requests answered with 500
    std::chrono::milliseconds extra_latency{0};
    bool hang = false; ///< runs requests, answers nothing
    bool close_before_answer = false;
    bool close_mid_answer = false; ///< half the body, then the end
    bool stray_answer = false;     ///< a second answer after each one
    bool health_lies = false;      ///< /healthz and /load say all is well
    bool shed = false;             ///< 503 with Medlar-Not-Run: 1
    bool drain = false;            ///< sheds new work, closes after each answer
};

/// One execution of a request.
struct execution
{
    std::uint64_t number = 0;
    std::string id; ///< Idempotency-Key, empty without one
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_bytes = 0;
    std::string body_start; ///< first bytes of the body
    bool finished = false;  ///< the answer was written
    bool cancelled = false; ///< the caller left while it ran
};

/// Request targets understood besides the control paths: query members
/// `bytes=N` (size of the answer body), `chunked=1` and `delay_ms=N`.
class server
{
public:
    /// Listens and serves on a thread of its own. Throws
    /// boost::system::system_error when it cannot listen.
    explicit server(server_options options);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;
    void set_modes(const server_modes& modes);
    std::vector<execution> journal() const;
    std::uint64_t connections_accepted() const;

    /// Bytes of answer bodies that the sockets have taken.
    std::uint64_t body_bytes_sent() const;

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
