#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <fmt/format.h>
#include <medlarbarrow/net/signal.hpp>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>
#include <standin/server.hpp>
#include <sys/socket.h>
#include <thread>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using error_code = boost::system::error_code;
using request_parser = http::request_parser<http::buffer_body>;
using std::chrono::milliseconds;

constexpr std::size_t chunk_bytes = 32768;
constexpr std::size_t recorded_body_bytes = 256;

/// How often a running request checks whether the client has disconnected.
constexpr milliseconds cancellation_poll_period{5};

/// Value of a numeric query parameter, or `fallback` if it is absent.
std::uint64_t query_number(std::string_view target,
                           std::string_view name,
                           std::uint64_t fallback)
{
    const auto query_start = target.find('?');
    std::string_view query = query_start == std::string_view::npos
                                 ? ""
                                 : target.substr(query_start + 1);
    while (!query.empty())
    {
        const auto separator = std::min(query.find('&'), query.size());
        const std::string_view parameter = query.substr(0, separator);
        query.remove_prefix(std::min(separator + 1, query.size()));
        const auto equals = parameter.find('=');
        if (equals == std::string_view::npos ||
            parameter.substr(0, equals) != name)
        {
            continue;
        }
        std::uint64_t value = fallback;
        const std::string_view text = parameter.substr(equals + 1);
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }
    return fallback;
}

std::string request_id_of(const execution& record,
                          const server_header_names& names)
{
    for (const auto& [name, value] : record.headers)
    {
        if (boost::beast::iequals(name, names.request_id))
        {
            return value;
        }
    }
    return "";
}

bool client_disconnected(tcp::socket& socket)
{
    char byte = 0;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) ==
           0;
}

void reset(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

nlohmann::json to_json(const execution& record)
{
    nlohmann::json headers = nlohmann::json::array();
    for (const auto& [name, value] : record.headers)
    {
        headers.push_back({name, value});
    }
    return {{"number", record.number},     {"id", record.id},
            {"method", record.method},     {"target", record.target},
            {"headers", headers},          {"body_bytes", record.body_bytes},
            {"finished", record.finished}, {"cancelled", record.cancelled}};
}

/// Status, headers and body of a response.
struct response_plan
{
    unsigned status = 200;
    std::string body;        ///< start of the body, padded up to `bytes`
    std::uint64_t bytes = 0; ///< size of the complete body
    bool chunked = false;
    bool not_run = false;
    bool close = false;
    bool leaving = false;
    milliseconds retry_after{0}; ///< Retry-After header; none if 0
    std::string request_id;      ///< echoed request id; none if empty
};

std::string format_head(const response_plan& plan,
                        const server_header_names& names)
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n", plan.status,
        std::string_view(
            http::obsolete_reason(http::int_to_status(plan.status))));
    if (plan.not_run)
    {
        text += fmt::format("{}: 1\r\n", names.not_run);
    }
    if (plan.status == 200 && !names.success_mark.empty())
    {
        text += fmt::format("{}: whole\r\n", names.success_mark);
    }
    text += plan.leaving ? "Server-Leaving: 1\r\n" : "";
    if (plan.retry_after > milliseconds(0))
    {
        const std::chrono::duration<double> wait = plan.retry_after;
        text += fmt::format("Retry-After: {:.3f}\r\n", wait.count());
    }
    if (!plan.request_id.empty())
    {
        text += fmt::format("{}: {}\r\n", names.request_id, plan.request_id);
    }
    text += plan.close ? "Connection: close\r\n" : "";
    text += plan.chunked ? "Transfer-Encoding: chunked\r\n"
                         : fmt::format("Content-Length: {}\r\n", plan.bytes);
    return text + "\r\n";
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state>
{
    explicit state(server_options initial_options)
        : options(std::move(initial_options)), acceptor(io),
          started(std::chrono::steady_clock::now())
    {
        this->slot_freed.emplace(this->io.get_executor());
    }

    void listen();
    asio::awaitable<void> accept_connections();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> serve_request(tcp::socket& socket,
                                        boost::beast::flat_buffer& input);
    asio::awaitable<bool> read_body(tcp::socket& socket,
                                    boost::beast::flat_buffer& input,
                                    request_parser& parser,
                                    execution& record);
    asio::awaitable<bool> execute(tcp::socket& socket, execution& record);
    asio::awaitable<bool> wait_or_cancel(tcp::socket& socket,
                                         milliseconds duration);
    asio::awaitable<bool> write_response(tcp::socket& socket,
                                         const response_plan& plan,
                                         bool head_only);
    asio::awaitable<bool> write_text(tcp::socket& socket,
                                     std::string_view text);
    bool make_control_response(const execution& record,
                               const std::string& body,
                               response_plan& plan);
    void apply_control(const std::string& body, response_plan& plan);
    bool healthy() const;
    std::uint64_t add_record(execution record);
    void finish_record(const execution& record);

    server_options options;
    /// Outlives `io`, whose destructor ends coroutines that wait for it.
    std::optional<net::signal> slot_freed;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::chrono::steady_clock::time_point started;
    std::thread thread;
    unsigned running_requests = 0;
    unsigned queued_requests = 0;
    unsigned open_connections = 0;
    std::mt19937 random{1};
    std::uint16_t port = 0;

    mutable std::mutex mutex; ///< guards the members below
    server_faults modes;
    std::vector<execution> executions;
    std::atomic<std::uint64_t> connections_accepted{0};
    std::atomic<std::uint64_t> requests_received{0};
    std::atomic<std::uint64_t> body_bytes_sent{0};

    server_faults current_modes() const
    {
        const std::lock_guard guard(this->mutex);
        return this->modes;
    }
};

void server::state::listen()
{
    const tcp::endpoint endpoint(asio::ip::make_address(this->options.address),
                                 this->options.port);
    this->acceptor.open(endpoint.protocol());
    this->acceptor.set_option(tcp::acceptor::reuse_address(true));
    this->acceptor.bind(endpoint);
    this->acceptor.listen();
    this->port = this->acceptor.local_endpoint().port();
}

asio::awaitable<void> server::state::accept_connections()
{
    while (this->acceptor.is_open())
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure || this->open_connections >= this->options.connections)
        {
            continue;
        }
        ++this->connections_accepted;
        ++this->open_connections;
        asio::co_spawn(this->io, this->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> server::state::serve(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    boost::beast::flat_buffer input;
    while (co_await this->serve_request(socket, input))
    {
    }
    --this->open_connections;
}

// Reads and answers one request; false if the connection must be closed.
asio::awaitable<bool>
server::state::serve_request(tcp::socket& socket,
                             boost::beast::flat_buffer& input)
{
    error_code failure;
    request_parser parser;
    parser.body_limit(boost::none);
    parser.header_limit(64U * 1024U);
    co_await http::async_read_header(
        socket, input, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
    {
        co_return false;
    }
    const auto& header = parser.get();
    execution record;
    record.method = header.method_string();
    record.target = header.target();
    for (const auto& line : header)
    {
        record.headers.emplace_back(line.name_string(), line.value());
    }
    record.id = header["Idempotency-Key"];
    const bool keep_alive = header.keep_alive();
    const bool is_control = record.target.starts_with("/_") ||
                            record.target.starts_with("/healthz") ||
                            record.target.starts_with("/load");
    const server_faults modes = this->current_modes();
    const bool full = this->queued_requests >= this->options.queue;
    this->requests_received += is_control ? 0 : 1;
    response_plan plan;
    plan.leaving = modes.leaving;
    plan.retry_after = is_control ? milliseconds(0) : modes.turn_away;
    const bool refuses =
        modes.shed || modes.drain || full || plan.retry_after > milliseconds(0);
    if (!is_control && refuses)
    {
        plan.status = 503;
        plan.not_run = true;
        plan.close = modes.drain || !parser.is_done();
        co_await this->write_response(socket, plan, record.method == "HEAD");
        co_return !plan.close && keep_alive;
    }
    if (!co_await this->read_body(socket, input, parser, record))
    {
        co_return false;
    }
    if (this->make_control_response(record, record.body_start, plan))
    {
        co_return co_await this->write_response(socket, plan, false) &&
            keep_alive;
    }
    co_return co_await this->execute(socket, record) && keep_alive;
}

asio::awaitable<bool> server::state::read_body(tcp::socket& socket,
                                               boost::beast::flat_buffer& input,
                                               request_parser& parser,
                                               execution& record)
{
    std::vector<char> chunk(chunk_bytes);
    while (!parser.is_done())
    {
        error_code failure;
        auto& body = parser.get().body();
        body.data = chunk.data();
        body.size = chunk.size();
        co_await http::async_read_some(
            socket, input, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer)
        {
            co_return false;
        }
        const std::size_t count = chunk.size() - body.size;
        const std::size_t room = recorded_body_bytes - record.body_start.size();
        record.body_start.append(chunk.data(), std::min(room, count));
        record.body_bytes += count;
    }
    co_return true;
}

// Waits for the given time, and as long as the server is set to hang; false if
// the client disconnects meanwhile.
asio::awaitable<bool> server::state::wait_or_cancel(tcp::socket& socket,
                                                    milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (this->current_modes().hang || std::chrono::steady_clock::now() < end)
    {
        if (client_disconnected(socket))
        {
            co_return false;
        }
        asio::steady_timer timer(this->io, cancellation_poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return true;
}

// Waits for a slot, occupies it for the service time and answers.
asio::awaitable<bool> server::state::execute(tcp::socket& socket,
                                             execution& record)
{
    ++this->queued_requests;
    while (this->running_requests >= this->options.slots)
    {
        co_await this->slot_freed->wait();
    }
    --this->queued_requests;
    ++this->running_requests;
    record.number = this->add_record(record);
    const server_faults modes = this->current_modes();
    const milliseconds duration =
        this->options.service_time + modes.extra_latency +
        milliseconds(query_number(record.target, "delay_ms", 0));
    bool connection_open = co_await this->wait_or_cancel(socket, duration);
    record.cancelled = !connection_open;
    if (connection_open && modes.close_before_answer)
    {
        reset(socket);
        connection_open = false;
    }
    if (connection_open)
    {
        response_plan plan;
        plan.leaving = modes.leaving;
        std::uniform_real_distribution<double> uniform(0.0, 1.0);
        plan.status = uniform(this->random) < modes.error_fraction ? 500 : 200;
        plan.body =
            fmt::format(R"({{"server":"{}","execution":{},"body_bytes":{}}})",
                        this->options.name, record.number, record.body_bytes);
        plan.bytes = std::max<std::uint64_t>(
            plan.body.size(), query_number(record.target, "bytes", 0));
        plan.chunked = query_number(record.target, "chunked", 0) == 1;
        plan.request_id = request_id_of(record, this->options.headers);
        connection_open = co_await this->write_response(
            socket, plan, record.method == "HEAD");
        record.finished = connection_open;
    }
    this->finish_record(record);
    --this->running_requests;
    this->slot_freed->notify();
    if (connection_open && modes.stray_answer)
    {
        response_plan stray;
        stray.request_id = request_id_of(record, this->options.headers);
        stray.body = "stray";
        stray.bytes = stray.body.size();
        co_await this->write_response(socket, stray, false);
    }
    co_return connection_open;
}

asio::awaitable<bool> server::state::write_text(tcp::socket& socket,
                                                std::string_view text)
{
    error_code failure;
    co_await asio::async_write(
        socket, asio::buffer(text),
        asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

asio::awaitable<bool> server::state::write_response(tcp::socket& socket,
                                                    const response_plan& plan,
                                                    bool head_only)
{
    if (!co_await this->write_text(socket,
                                   format_head(plan, this->options.headers)))
    {
        co_return false;
    }
    const bool truncated = this->current_modes().close_mid_answer;
    const std::uint64_t end =
        head_only ? 0 : (truncated ? plan.bytes / 2 : plan.bytes);
    for (std::uint64_t position = 0; position < end;)
    {
        const auto count = static_cast<std::size_t>(
            std::min<std::uint64_t>(chunk_bytes, end - position));
        std::string chunk(count, 'x');
        if (position == 0)
        {
            std::copy_n(plan.body.begin(), std::min(count, plan.body.size()),
                        chunk.begin());
        }
        if (plan.chunked)
        {
            chunk = fmt::format("{:x}\r\n{}\r\n", count, chunk);
        }
        if (!co_await this->write_text(socket, chunk))
        {
            co_return false;
        }
        this->body_bytes_sent += count;
        position += count;
    }
    if (truncated)
    {
        co_return false;
    }
    if (plan.chunked && !head_only)
    {
        co_return co_await this->write_text(socket, "0\r\n\r\n");
    }
    co_return true;
}

bool server::state::healthy() const
{
    const server_faults modes = this->current_modes();
    const bool warm = std::chrono::steady_clock::now() >=
                      this->started + this->options.cold_start;
    return modes.health_lies || (warm && !modes.drain);
}

// Fills `plan` for the control paths; false for every other target.
bool server::state::make_control_response(const execution& record,
                                          const std::string& body,
                                          response_plan& plan)
{
    if (record.target == "/healthz")
    {
        plan.status = this->healthy() ? 200 : 503;
        plan.body = this->healthy() ? "ok" : "unavailable";
    }
    else if (record.target == "/load")
    {
        const bool hides_load = this->current_modes().health_lies;
        plan.body =
            nlohmann::json{{"running", hides_load ? 0 : this->running_requests},
                           {"queued", hides_load ? 0 : this->queued_requests},
                           {"slots", this->options.slots},
                           {"connections", this->open_connections}}
                .dump();
    }
    else if (record.target == "/_journal")
    {
        const std::lock_guard guard(this->mutex);
        nlohmann::json records = nlohmann::json::array();
        for (const execution& stored : this->executions)
        {
            records.push_back(to_json(stored));
        }
        plan.body = records.dump();
    }
    else if (record.target == "/_control")
    {
        this->apply_control(body, plan);
    }
    else
    {
        return false;
    }
    plan.bytes = plan.body.size();
    return true;
}

void server::state::apply_control(const std::string& body, response_plan& plan)
{
    const nlohmann::json requested =
        nlohmann::json::parse(body, nullptr, false);
    if (!requested.is_object())
    {
        plan.status = 400;
        plan.body = "expected a JSON object";
        return;
    }
    const std::lock_guard guard(this->mutex);
    server_faults& modes = this->modes;
    modes.error_fraction =
        requested.value("error_fraction", modes.error_fraction);
    modes.extra_latency = milliseconds(
        requested.value("extra_latency_ms", modes.extra_latency.count()));
    modes.hang = requested.value("hang", modes.hang);
    modes.close_before_answer =
        requested.value("close_before_answer", modes.close_before_answer);
    modes.close_mid_answer =
        requested.value("close_mid_answer", modes.close_mid_answer);
    modes.stray_answer = requested.value("stray_answer", modes.stray_answer);
    modes.health_lies = requested.value("health_lies", modes.health_lies);
    modes.shed = requested.value("shed", modes.shed);
    modes.drain = requested.value("drain", modes.drain);
    modes.leaving = requested.value("leaving", modes.leaving);
    modes.turn_away =
        milliseconds(requested.value("turn_away_ms", modes.turn_away.count()));
    plan.body = "ok";
}

std::uint64_t server::state::add_record(execution record)
{
    const std::lock_guard guard(this->mutex);
    record.number = this->executions.size() + 1;
    this->executions.push_back(std::move(record));
    return this->executions.size();
}

void server::state::finish_record(const execution& record)
{
    const std::lock_guard guard(this->mutex);
    execution& stored = this->executions.at(record.number - 1);
    stored.finished = record.finished;
    stored.cancelled = record.cancelled;
}

server::server(server_options options)
    : self(std::make_shared<state>(std::move(options)))
{
    this->self->listen();
    asio::co_spawn(this->self->io, this->self->accept_connections(),
                   asio::detached);
    this->self->thread = std::thread(
        [state = this->self.get()]
        {
            state->io.run();
        });
}

server::~server()
{
    this->self->io.stop();
    this->self->thread.join();
}

std::uint16_t server::port() const
{
    return this->self->port;
}

void server::set_modes(const server_faults& modes)
{
    const std::lock_guard guard(this->self->mutex);
    this->self->modes = modes;
}

std::vector<execution> server::journal() const
{
    const std::lock_guard guard(this->self->mutex);
    return this->self->executions;
}

std::uint64_t server::requests_received() const
{
    return this->self->requests_received;
}

std::uint64_t server::connections_accepted() const
{
    return this->self->connections_accepted;
}

std::uint64_t server::body_bytes_sent() const
{
    return this->self->body_bytes_sent;
}

} // namespace medlarbarrow::standin
