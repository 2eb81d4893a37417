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

constexpr std::size_t piece_bytes = 32768;
constexpr std::size_t kept_body_bytes = 256;

/// Period at which a running request looks for cancellation.
constexpr milliseconds poll_period{5};

/// Value of a query member, or `fallback`.
std::uint64_t query_number(std::string_view target,
                           std::string_view name,
                           std::uint64_t fallback)
{
    const auto mark = target.find('?');
    std::string_view query =
        mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!query.empty())
    {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view member = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = member.find('=');
        if (equals == std::string_view::npos ||
            member.substr(0, equals) != name)
        {
            continue;
        }
        std::uint64_t value = fallback;
        const std::string_view text = member.substr(equals + 1);
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }
    return fallback;
}

std::string request_id_of(const execution& item)
{
    for (const auto& [name, value] : item.headers)
    {
        if (boost::beast::iequals(name, "Medlar-Request-Id"))
        {
            return value;
        }
    }
    return "";
}

bool peer_left(tcp::socket& socket)
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

nlohmann::json to_json(const execution& item)
{
    nlohmann::json headers = nlohmann::json::array();
    for (const auto& [name, value] : item.headers)
    {
        headers.push_back({name, value});
    }
    return {{"number", item.number},     {"id", item.id},
            {"method", item.method},     {"target", item.target},
            {"headers", headers},        {"body_bytes", item.body_bytes},
            {"finished", item.finished}, {"cancelled", item.cancelled}};
}

/// Body of an ordinary answer.
struct answer_plan
{
    unsigned status = 200;
    std::string body;        ///< start of the body
    std::uint64_t bytes = 0; ///< of the whole body; the rest is padding
    bool chunked = false;
    bool not_run = false;
    bool close = false;
    std::string request_id; ///< named in the answer unless empty
};

std::string head_text(const answer_plan& plan)
{
    std::string text = fmt::format(
        "HTTP/1.1 {} {}\r\nContent-Type: application/json\r\n", plan.status,
        std::string_view(
            http::obsolete_reason(http::int_to_status(plan.status))));
    text += plan.not_run ? "Medlar-Not-Run: 1\r\n" : "";
    if (!plan.request_id.empty())
    {
        text += fmt::format("Medlar-Request-Id: {}\r\n", plan.request_id);
    }
    text += plan.close ? "Connection: close\r\n" : "";
    text += plan.chunked ? "Transfer-Encoding: chunked\r\n"
                         : fmt::format("Content-Length: {}\r\n", plan.bytes);
    return text + "\r\n";
}

} // namespace

struct server::state : std::enable_shared_from_this<server::state>
{
    explicit state(server_options chosen)
        : options(std::move(chosen)), acceptor(io),
          started(std::chrono::steady_clock::now())
    {
        this->slot_freed.emplace(this->io.get_executor());
    }

    void listen();
    asio::awaitable<void> accept_all();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<bool> serve_one(tcp::socket& socket,
                                    boost::beast::flat_buffer& input);
    asio::awaitable<bool> read_body(tcp::socket& socket,
                                    boost::beast::flat_buffer& input,
                                    request_parser& parser,
                                    execution& item);
    asio::awaitable<bool> execute(tcp::socket& socket, execution& item);
    asio::awaitable<bool> pause(tcp::socket& socket, milliseconds time);
    asio::awaitable<bool>
    write_answer(tcp::socket& socket, const answer_plan& plan, bool head_only);
    asio::awaitable<bool> write_text(tcp::socket& socket,
                                     std::string_view text);
    bool answer_control(const execution& item,
                        const std::string& body,
                        answer_plan& plan);
    void control(const std::string& body, answer_plan& plan);
    bool healthy() const;
    std::uint64_t record(execution item);
    void close_record(const execution& item);

    server_options options;
    /// Outlives `io`, whose destructor ends coroutines that wait for it.
    std::optional<net::signal> slot_freed;
    asio::io_context io;
    tcp::acceptor acceptor;
    std::chrono::steady_clock::time_point started;
    std::thread thread;
    unsigned running = 0;
    unsigned queued = 0;
    unsigned open = 0;
    std::mt19937 random{1};
    std::uint16_t port = 0;

    mutable std::mutex mutex; ///< guards the members below
    server_modes modes;
    std::vector<execution> executions;
    std::atomic<std::uint64_t> accepted{0};
    std::atomic<std::uint64_t> sent{0};

    server_modes current_modes() const
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

asio::awaitable<void> server::state::accept_all()
{
    while (this->acceptor.is_open())
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure || this->open >= this->options.connections)
        {
            continue;
        }
        ++this->accepted;
        ++this->open;
        asio::co_spawn(this->io, this->serve(std::move(socket)),
                       asio::detached);
    }
}

asio::awaitable<void> server::state::serve(tcp::socket socket)
{
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    boost::beast::flat_buffer input;
    while (co_await this->serve_one(socket, input))
    {
    }
    --this->open;
}

// Reads and answers one request; false when the connection ends.
asio::awaitable<bool> server::state::serve_one(tcp::socket& socket,
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
    execution item;
    item.method = header.method_string();
    item.target = header.target();
    for (const auto& line : header)
    {
        item.headers.emplace_back(line.name_string(), line.value());
    }
    item.id = header["Idempotency-Key"];
    const bool keep_alive = header.keep_alive();
    const bool is_control = item.target.starts_with("/_") ||
                            item.target.starts_with("/healthz") ||
                            item.target.starts_with("/load");
    const server_modes now = this->current_modes();
    const bool full = this->queued >= this->options.queue;
    answer_plan plan;
    if (!is_control && (now.shed || now.drain || full))
    {
        plan.status = 503;
        plan.not_run = true;
        plan.close = now.drain || !parser.is_done();
        co_await this->write_answer(socket, plan, item.method == "HEAD");
        co_return !plan.close && keep_alive;
    }
    if (!co_await this->read_body(socket, input, parser, item))
    {
        co_return false;
    }
    if (this->answer_control(item, item.body_start, plan))
    {
        co_return co_await this->write_answer(socket, plan, false) &&
            keep_alive;
    }
    co_return co_await this->execute(socket, item) && keep_alive;
}

asio::awaitable<bool> server::state::read_body(tcp::socket& socket,
                                               boost::beast::flat_buffer& input,
                                               request_parser& parser,
                                               execution& item)
{
    std::vector<char> piece(piece_bytes);
    while (!parser.is_done())
    {
        error_code failure;
        auto& body = parser.get().body();
        body.data = piece.data();
        body.size = piece.size();
        co_await http::async_read_some(
            socket, input, parser,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure && failure != http::error::need_buffer)
        {
            co_return false;
        }
        const std::size_t count = piece.size() - body.size;
        const std::size_t room = kept_body_bytes - item.body_start.size();
        item.body_start.append(piece.data(), std::min(room, count));
        item.body_bytes += count;
    }
    co_return true;
}

// Waits; false when the peer has left or the server is set to hang for ever.
asio::awaitable<bool> server::state::pause(tcp::socket& socket,
                                           milliseconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    while (this->current_modes().hang || std::chrono::steady_clock::now() < end)
    {
        if (peer_left(socket))
        {
            co_return false;
        }
        asio::steady_timer timer(this->io, poll_period);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return true;
}

// Takes a slot, runs for the service time and answers.
asio::awaitable<bool> server::state::execute(tcp::socket& socket,
                                             execution& item)
{
    ++this->queued;
    while (this->running >= this->options.slots)
    {
        co_await this->slot_freed->wait();
    }
    --this->queued;
    ++this->running;
    item.number = this->record(item);
    const server_modes now = this->current_modes();
    const milliseconds time =
        this->options.service_time + now.extra_latency +
        milliseconds(query_number(item.target, "delay_ms", 0));
    bool stays = co_await this->pause(socket, time);
    item.cancelled = !stays;
    if (stays && now.close_before_answer)
    {
        reset(socket);
        stays = false;
    }
    if (stays)
    {
        answer_plan plan;
        std::uniform_real_distribution<double> chance(0.0, 1.0);
        plan.status = chance(this->random) < now.error_fraction ? 500 : 200;
        plan.body =
            fmt::format(R"({{"server":"{}","execution":{},"body_bytes":{}}})",
                        this->options.name, item.number, item.body_bytes);
        plan.bytes = std::max<std::uint64_t>(
            plan.body.size(), query_number(item.target, "bytes", 0));
        plan.chunked = query_number(item.target, "chunked", 0) == 1;
        plan.request_id = request_id_of(item);
        stays =
            co_await this->write_answer(socket, plan, item.method == "HEAD");
        item.finished = stays;
    }
    this->close_record(item);
    --this->running;
    this->slot_freed->notify();
    if (stays && now.stray_answer)
    {
        answer_plan stray;
        stray.request_id = request_id_of(item);
        stray.body = "stray";
        stray.bytes = stray.body.size();
        co_await this->write_answer(socket, stray, false);
    }
    co_return stays;
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

asio::awaitable<bool> server::state::write_answer(tcp::socket& socket,
                                                  const answer_plan& plan,
                                                  bool head_only)
{
    if (!co_await this->write_text(socket, head_text(plan)))
    {
        co_return false;
    }
    const bool cut = this->current_modes().close_mid_answer;
    const std::uint64_t end =
        head_only ? 0 : (cut ? plan.bytes / 2 : plan.bytes);
    for (std::uint64_t position = 0; position < end;)
    {
        const auto count = static_cast<std::size_t>(
            std::min<std::uint64_t>(piece_bytes, end - position));
        std::string piece(count, 'x');
        if (position == 0)
        {
            std::copy_n(plan.body.begin(), std::min(count, plan.body.size()),
                        piece.begin());
        }
        if (plan.chunked)
        {
            piece = fmt::format("{:x}\r\n{}\r\n", count, piece);
        }
        if (!co_await this->write_text(socket, piece))
        {
            co_return false;
        }
        this->sent += count;
        position += count;
    }
    if (cut)
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
    const server_modes now = this->current_modes();
    const bool warm = std::chrono::steady_clock::now() >=
                      this->started + this->options.cold_start;
    return now.health_lies || (warm && !now.drain);
}

// Fills `plan` for the control paths; false for every other target.
bool server::state::answer_control(const execution& item,
                                   const std::string& body,
                                   answer_plan& plan)
{
    if (item.target == "/healthz")
    {
        plan.status = this->healthy() ? 200 : 503;
        plan.body = this->healthy() ? "ok" : "unavailable";
    }
    else if (item.target == "/load")
    {
        const bool lies = this->current_modes().health_lies;
        plan.body = nlohmann::json{{"running", lies ? 0 : this->running},
                                   {"queued", lies ? 0 : this->queued},
                                   {"slots", this->options.slots},
                                   {"connections", this->open}}
                        .dump();
    }
    else if (item.target == "/_journal")
    {
        const std::lock_guard guard(this->mutex);
        nlohmann::json all = nlohmann::json::array();
        for (const execution& past : this->executions)
        {
            all.push_back(to_json(past));
        }
        plan.body = all.dump();
    }
    else if (item.target == "/_control")
    {
        this->control(body, plan);
    }
    else
    {
        return false;
    }
    plan.bytes = plan.body.size();
    return true;
}

void server::state::control(const std::string& body, answer_plan& plan)
{
    const nlohmann::json wanted = nlohmann::json::parse(body, nullptr, false);
    if (!wanted.is_object())
    {
        plan.status = 400;
        plan.body = "expected a JSON object";
        return;
    }
    const std::lock_guard guard(this->mutex);
    server_modes& now = this->modes;
    now.error_fraction = wanted.value("error_fraction", now.error_fraction);
    now.extra_latency = milliseconds(
        wanted.value("extra_latency_ms", now.extra_latency.count()));
    now.hang = wanted.value("hang", now.hang);
    now.close_before_answer =
        wanted.value("close_before_answer", now.close_before_answer);
    now.close_mid_answer =
        wanted.value("close_mid_answer", now.close_mid_answer);
    now.stray_answer = wanted.value("stray_answer", now.stray_answer);
    now.health_lies = wanted.value("health_lies", now.health_lies);
    now.shed = wanted.value("shed", now.shed);
    now.drain = wanted.value("drain", now.drain);
    plan.body = "ok";
}

std::uint64_t server::state::record(execution item)
{
    const std::lock_guard guard(this->mutex);
    item.number = this->executions.size() + 1;
    this->executions.push_back(std::move(item));
    return this->executions.size();
}

void server::state::close_record(const execution& item)
{
    const std::lock_guard guard(this->mutex);
    execution& kept = this->executions.at(item.number - 1);
    kept.finished = item.finished;
    kept.cancelled = item.cancelled;
}

server::server(server_options options)
    : self(std::make_shared<state>(std::move(options)))
{
    this->self->listen();
    asio::co_spawn(this->self->io, this->self->accept_all(), asio::detached);
    this->self->thread = std::thread(
        [target = this->self.get()]
        {
            target->io.run();
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

void server::set_modes(const server_modes& modes)
{
    const std::lock_guard guard(this->self->mutex);
    this->self->modes = modes;
}

std::vector<execution> server::journal() const
{
    const std::lock_guard guard(this->self->mutex);
    return this->self->executions;
}

std::uint64_t server::connections_accepted() const
{
    return this->self->accepted;
}

std::uint64_t server::body_bytes_sent() const
{
    return this->self->sent;
}

} // namespace medlarbarrow::standin
