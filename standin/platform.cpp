#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <filesystem>
#include <fstream>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <standin/platform.hpp>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using clock = std::chrono::steady_clock;
using json = nlohmann::json;
using request_type = http::request<http::string_body>;
using response_type = http::response<http::string_body>;

constexpr std::chrono::milliseconds folder_period{200};
constexpr std::chrono::milliseconds greatest_wait{60'000};
constexpr std::size_t max_body_bytes = 4'000'000;

/// A version of something, and when it was published.
struct published_text
{
    std::uint64_t version = 0;
    std::string text;
    clock::time_point since;
};

std::uint64_t version_of(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed.value("version", std::uint64_t{0}) : 0;
}

/// Value of a query parameter; 0 when it is absent or no number.
std::uint64_t parameter(std::string_view target, std::string_view name)
{
    const std::size_t query = target.find('?');
    const std::string key = std::string(name) + "=";
    const std::size_t found =
        query == std::string_view::npos ? query : target.find(key, query);
    std::uint64_t value = 0;
    if (found != std::string_view::npos)
    {
        const std::string_view digits = target.substr(found + key.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    }
    return value;
}

std::string to_json(const core::instance_list& list)
{
    json items = json::array();
    for (const core::listed_instance& item : list.instances)
    {
        items.push_back({{"name", item.name},
                         {"address", item.address},
                         {"peer_port", item.peer_port},
                         {"data_centre", item.data_centre},
                         {"region", item.region},
                         {"leaving", item.leaving}});
    }
    return json{{"version", list.version}, {"instances", items}}.dump();
}

response_type respond(http::status status, std::string body = {})
{
    response_type answer(status, 11);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

} // namespace

struct platform::state
{
    explicit state(asio::io_context& io)
        : context(io), acceptor(io), folder_timer(io)
    {
    }

    static asio::awaitable<void> accept(std::shared_ptr<state> self);
    static asio::awaitable<void> serve(std::shared_ptr<state> self,
                                       tcp::socket socket);
    static asio::awaitable<void> follow(std::shared_ptr<state> self,
                                        std::string path);
    asio::awaitable<response_type> handle(const request_type& request);
    asio::awaitable<void> wait_for_newer(const std::deque<published_text>& kind,
                                         std::string_view target);
    response_type control(const request_type& request);
    response_type value(const std::string& name) const;
    const published_text* shown(const std::deque<published_text>& kind) const;
    void publish(std::deque<published_text>& kind, std::string text);
    void set_value(const std::string& name, std::string text);
    void set_faults(const platform_faults& next);
    void read_folder(const std::string& path);
    void notify();

    asio::io_context& context;
    tcp::acceptor acceptor;
    asio::steady_timer folder_timer;
    std::map<std::string, std::string> values;
    std::deque<published_text> indexes;
    std::deque<published_text> lists;
    std::map<std::string, std::filesystem::file_time_type> file_times;
    std::set<asio::steady_timer*> waiters;
    std::set<tcp::socket*> sockets;
    platform_faults faults;
    clock::time_point stale_since;
    platform_counts counts;
    bool closed = false;
};

platform::platform(std::shared_ptr<state> initial) : self(std::move(initial)) {}

platform::~platform()
{
    this->self->closed = true;
    boost::system::error_code ignored;
    this->self->acceptor.close(ignored);
    this->self->folder_timer.cancel();
    for (tcp::socket* socket : this->self->sockets)
    {
        socket->close(ignored);
    }
    this->self->notify();
}

core::result<std::unique_ptr<platform>>
platform::create(asio::io_context& context, const config::endpoint& listen)
{
    auto initial = std::make_shared<state>(context);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(listen.address, error);
    const tcp::endpoint endpoint(address, listen.port);
    if (!error)
    {
        initial->acceptor.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        initial->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error)
    {
        initial->acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        initial->acceptor.listen(tcp::acceptor::max_listen_connections, error);
    }
    if (error)
    {
        return std::error_code(error);
    }
    asio::co_spawn(context, state::accept(initial), asio::detached);
    return std::unique_ptr<platform>(new platform(std::move(initial)));
}

asio::awaitable<void> platform::state::accept(std::shared_ptr<state> self)
{
    while (!self->closed)
    {
        boost::system::error_code error;
        tcp::socket socket = co_await self->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, error));
        if (!error && !self->closed)
        {
            asio::co_spawn(self->context, serve(self, std::move(socket)),
                           asio::detached);
        }
    }
}

asio::awaitable<void> platform::state::serve(std::shared_ptr<state> self,
                                             tcp::socket socket)
{
    self->sockets.insert(&socket);
    beast::flat_buffer buffer;
    while (!self->closed)
    {
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_body_bytes);
        co_await http::async_read(socket, buffer, parser, token);
        if (error)
        {
            break;
        }
        const request_type request = parser.release();
        // The control path works while the platform is away, to end that.
        const bool is_control = request.target().starts_with("/control/");
        if (self->faults.away && !is_control)
        {
            break;
        }
        response_type answer = co_await self->handle(request);
        if (self->closed || (self->faults.away && !is_control))
        {
            break;
        }
        answer.keep_alive(request.keep_alive());
        co_await http::async_write(socket, answer, token);
        if (error || !request.keep_alive())
        {
            break;
        }
    }
    self->sockets.erase(&socket);
}

asio::awaitable<response_type>
platform::state::handle(const request_type& request)
{
    const std::string target(request.target());
    const std::string path = target.substr(0, target.find('?'));
    const std::string values_path = "/v1/config/";
    if (path.starts_with("/control/"))
    {
        co_return this->control(request);
    }
    if (request.method() != http::verb::get)
    {
        co_return respond(http::status::method_not_allowed);
    }
    ++this->counts.reads;
    const bool is_index = path == values_path + "index";
    if (!is_index && path != "/v1/instances")
    {
        co_return path.starts_with(values_path)
            ? this->value(path.substr(values_path.size()))
            : respond(http::status::not_found);
    }
    const auto& kind = is_index ? this->indexes : this->lists;
    co_await this->wait_for_newer(kind, target);
    if (!is_index && this->faults.empty_list)
    {
        co_return respond(http::status::ok,
                          R"({"version":9000000,"instances":[]})");
    }
    const published_text* newest = this->shown(kind);
    if (newest == nullptr)
    {
        co_return respond(is_index ? http::status::not_found
                                   : http::status::no_content);
    }
    const bool newer = newest->version > parameter(target, "after") ||
                       this->faults.old_version;
    co_return newer ? respond(http::status::ok, newest->text)
                    : respond(http::status::no_content);
}

// Waits until a newer version shows, a fault is set or the time is over.
asio::awaitable<void>
platform::state::wait_for_newer(const std::deque<published_text>& kind,
                                std::string_view target)
{
    const std::uint64_t after = parameter(target, "after");
    const auto wait = std::min(
        std::chrono::milliseconds(parameter(target, "wait_ms")), greatest_wait);
    const auto end = clock::now() + wait;
    if (wait.count() == 0)
    {
        co_return;
    }
    ++this->counts.watches;
    ++this->counts.waiting;
    asio::steady_timer timer(this->context);
    this->waiters.insert(&timer);
    const auto is_due = [this, &kind, after]
    {
        const published_text* newest = this->shown(kind);
        return this->closed || this->faults.away || this->faults.old_version ||
               (this->faults.empty_list && &kind == &this->lists) ||
               (newest != nullptr && newest->version > after);
    };
    while (!is_due() && clock::now() < end)
    {
        auto until = end;
        if (this->faults.list_lag.count() != 0)
        {
            until = std::min(end, clock::now() + std::chrono::milliseconds(10));
        }
        boost::system::error_code ignored;
        timer.expires_at(until);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->waiters.erase(&timer);
    --this->counts.waiting;
}

// The newest version that the faults let readers see.
const published_text*
platform::state::shown(const std::deque<published_text>& kind) const
{
    const auto now = clock::now();
    const auto lag = &kind == &this->lists ? this->faults.list_lag
                                           : std::chrono::milliseconds(0);
    std::size_t hidden = this->faults.old_version ? 1 : 0;
    for (auto item = kind.rbegin(); item != kind.rend(); ++item)
    {
        const bool stale =
            this->faults.stale && item->since > this->stale_since;
        if (stale || item->since + lag > now)
        {
            continue;
        }
        if (hidden == 0)
        {
            return &*item;
        }
        --hidden;
    }
    return nullptr;
}

response_type platform::state::value(const std::string& name) const
{
    const auto found = this->values.find(name);
    if (found == this->values.end())
    {
        return respond(http::status::not_found);
    }
    // Cut and marked, as if two publications had been mixed.
    return respond(http::status::ok,
                   this->faults.torn
                       ? found->second.substr(0, found->second.size() / 2) +
                             "\n"
                       : found->second);
}

response_type platform::state::control(const request_type& request)
{
    const std::string path(request.target());
    const std::string values_path = "/control/value/";
    if (path == "/control/counts")
    {
        const json counts{{"reads", this->counts.reads},
                          {"watches", this->counts.watches},
                          {"waiting", this->counts.waiting}};
        return respond(http::status::ok, counts.dump());
    }
    if (request.method() != http::verb::post)
    {
        return respond(http::status::method_not_allowed);
    }
    if (path == "/control/instances")
    {
        this->publish(this->lists, request.body());
        return respond(http::status::no_content);
    }
    if (path.starts_with(values_path))
    {
        this->set_value(path.substr(values_path.size()), request.body());
        return respond(http::status::no_content);
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (path != "/control/faults" || !body.is_object())
    {
        return respond(http::status::bad_request);
    }
    platform_faults next;
    next.away = body.value("away", false);
    next.stale = body.value("stale", false);
    next.old_version = body.value("old_version", false);
    next.torn = body.value("torn", false);
    next.empty_list = body.value("empty_list", false);
    next.list_lag = std::chrono::milliseconds(body.value("list_lag", 0));
    // The answer has to leave before the connections end.
    asio::post(this->context,
               [this, next]
               {
                   this->set_faults(next);
               });
    return respond(http::status::no_content);
}

void platform::state::publish(std::deque<published_text>& kind,
                              std::string text)
{
    constexpr std::size_t kept_versions = 64;
    const std::uint64_t version = version_of(text);
    kind.push_back({version, std::move(text), clock::now()});
    if (kind.size() > kept_versions)
    {
        kind.pop_front();
    }
    this->notify();
}

void platform::state::set_value(const std::string& name, std::string text)
{
    if (name == "index")
    {
        this->publish(this->indexes, std::move(text));
        return;
    }
    this->values[name] = std::move(text);
}

void platform::state::set_faults(const platform_faults& next)
{
    if (next.stale && !this->faults.stale)
    {
        this->stale_since = clock::now();
    }
    this->faults = next;
    if (next.away)
    {
        boost::system::error_code ignored;
        for (tcp::socket* socket : this->sockets)
        {
            socket->close(ignored);
        }
    }
    this->notify();
}

void platform::state::notify()
{
    for (asio::steady_timer* timer : this->waiters)
    {
        timer->cancel();
    }
}

void platform::state::read_folder(const std::string& path)
{
    std::map<std::string, std::string> changed;
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(path, error))
    {
        const std::string name = entry.path().filename().string();
        const auto time = entry.last_write_time(error);
        if (error || !entry.is_regular_file(error) ||
            this->file_times[name] == time)
        {
            continue;
        }
        this->file_times[name] = time;
        std::ifstream file(entry.path(), std::ios::binary);
        std::stringstream text;
        text << file.rdbuf();
        changed[name] = text.str();
    }
    for (const auto& [name, text] : changed)
    {
        if (name == "instances")
        {
            this->publish(this->lists, text);
        }
        else if (name != "index")
        {
            this->set_value(name, text);
        }
    }
    if (const auto index = changed.find("index"); index != changed.end())
    {
        this->set_value("index", index->second);
    }
}

asio::awaitable<void> platform::state::follow(std::shared_ptr<state> self,
                                              std::string path)
{
    while (!self->closed)
    {
        self->read_folder(path);
        boost::system::error_code ignored;
        self->folder_timer.expires_after(folder_period);
        co_await self->folder_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void platform::publish(const core::document& source)
{
    auto values = config::split_document(source);
    for (std::size_t part = 1; part < values.size(); ++part)
    {
        this->self->set_value(values[part].name, std::move(values[part].text));
    }
    this->self->set_value("index", std::move(values[0].text));
}

void platform::set_value(const std::string& name, std::string text)
{
    this->self->set_value(name, std::move(text));
}

void platform::set_list(const core::instance_list& list)
{
    this->self->publish(this->self->lists, to_json(list));
}

void platform::follow_folder(const std::string& path)
{
    this->self->read_folder(path);
    asio::co_spawn(this->self->context, state::follow(this->self, path),
                   asio::detached);
}

void platform::set_faults(const platform_faults& faults)
{
    this->self->set_faults(faults);
}

const platform_counts& platform::counts() const
{
    return this->self->counts;
}

std::uint16_t platform::port() const
{
    boost::system::error_code ignored;
    return this->self->acceptor.local_endpoint(ignored).port();
}

} // namespace medlarbarrow::standin
