/// Test double of a backend server with slots, a connection limit, a cold
/// start, draining and load shedding, and with faults that can be switched on
/// and off while it runs.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace medlarbarrow::standin
{

/// Names of the headers that the server reads and writes.
struct server_header_names
{
    std::string request_id = "Medlar-Request-Id"; ///< echoed in answers
    std::string not_run = "Medlar-Not-Run";
    std::string success_mark; ///< in each success; empty: none
};

struct server_options
{
    std::string name = "server";
    server_header_names headers;
    std::string address = "127.0.0.1";
    std::uint16_t port = 0;     ///< 0: any free port
    unsigned slots = 3;         ///< requests that run at the same time
    unsigned queue = 64;        ///< requests that may wait for a slot
    unsigned connections = 360; ///< open at once; closes further ones
    std::chrono::milliseconds service_time{0};
    std::chrono::milliseconds cold_start{0}; ///< time unhealthy after the start
};

/// Faults and operating states. `POST /_control` changes the members that its
/// JSON body names.
struct server_faults
{
    double error_fraction = 0.0; ///< fraction of requests answered with 500
    std::chrono::milliseconds extra_latency{0};
    bool hang = false;                ///< runs requests but never answers
    bool close_before_answer = false; ///< runs requests, then resets
    bool close_mid_answer = false;    ///< closes after half of the body
    bool stray_answer = false; ///< sends a second response after each one
    bool health_lies = false;  ///< /healthz reports healthy, /load no load
    bool shed = false;         ///< answers 503 with Medlar-Not-Run: 1
    bool drain = false;        ///< sheds requests, then closes; unhealthy
    bool leaving = false;      ///< all answers carry Server-Leaving: 1
    /// Sheds requests with this Retry-After; 0: no such refusals.
    std::chrono::milliseconds turn_away{0};
};

/// Record of one execution of a request.
struct execution
{
    std::uint64_t number = 0;
    std::string id; ///< Idempotency-Key; empty if the request has none
    std::string method;
    std::string target;
    std::vector<std::pair<std::string, std::string>> headers;
    std::uint64_t body_bytes = 0;
    std::string body_start; ///< first bytes of the body
    bool finished = false;  ///< the response was written
    bool cancelled = false; ///< the client disconnected while it ran
};

/// Serves requests for any target. Query parameters shape the response:
/// `bytes=N` (size of its body), `chunked=1` and `delay_ms=N`. The control
/// paths are /healthz, /load, /_journal and /_control.
class server
{
public:
    /// Listens and serves on its own thread. Throws
    /// boost::system::system_error if it cannot listen.
    explicit server(server_options options);
    server(const server&) = delete;
    server& operator=(const server&) = delete;
    ~server();

    std::uint16_t port() const;
    void set_modes(const server_faults& modes);
    /// All executions, in the order in which they started.
    std::vector<execution> journal() const;
    /// Requests received, control requests left out, also those that were shed.
    std::uint64_t requests_received() const;
    std::uint64_t connections_accepted() const;

    /// Bytes of response bodies written to the sockets.
    std::uint64_t body_bytes_sent() const;

private:
    struct state;
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
