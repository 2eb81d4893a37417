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

constexpr std::chrono::milliseconds folder_poll_period{200};
constexpr std::chrono::milliseconds max_wait{60'000};
constexpr std::size_t max_body_bytes = 4'000'000;

/// One published version of the index or of the instance list.
struct published_text
{
    std::uint64_t version = 0;
    std::string text;
    clock::time_point published_at;
};

std::uint64_t parse_version(const std::string& text)
{
    const json parsed = json::parse(text, nullptr, false);
    return parsed.is_object() ? parsed.value("version", std::uint64_t{0}) : 0;
}

/// Value of a numeric query parameter; 0 if it is absent or not a number.
std::uint64_t query_number(std::string_view target, std::string_view name)
{
    const std::size_t query_start = target.find('?');
    const std::string prefix = std::string(name) + "=";
    const std::size_t key_position = query_start == std::string_view::npos
                                         ? query_start
                                         : target.find(prefix, query_start);
    std::uint64_t value = 0;
    if (key_position != std::string_view::npos)
    {
        const std::string_view digits =
            target.substr(key_position + prefix.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), value);
    }
    return value;
}

std::string to_json(const core::instance_list& list)
{
    json instances = json::array();
    for (const core::listed_instance& instance : list.instances)
    {
        instances.push_back({{"name", instance.name},
                             {"address", instance.address},
                             {"peer_port", instance.peer_port},
                             {"data_centre", instance.data_centre},
                             {"region", instance.region},
                             {"leaving", instance.leaving}});
    }
    return json{{"version", list.version}, {"instances", instances}}.dump();
}

response_type make_response(http::status status, std::string body = {})
{
    response_type response(status, 11);
    response.body() = std::move(body);
    response.prepare_payload();
    return response;
}

} // namespace

/// Connections, published versions and faults. Coroutines share its ownership.
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
    asio::awaitable<void>
    wait_for_newer_version(const std::deque<published_text>& versions,
                           std::string_view target);
    response_type control(const request_type& request);
    response_type value(const std::string& name) const;
    const published_text*
    newest_visible(const std::deque<published_text>& versions) const;
    void publish(std::deque<published_text>& versions, std::string text);
    void set_value(const std::string& name, std::string text);
    void set_faults(const platform_faults& new_faults);
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

platform::platform(std::shared_ptr<state> initial_state)
    : self(std::move(initial_state))
{
}

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
    auto initial_state = std::make_shared<state>(context);
    boost::system::error_code error;
    const auto address = asio::ip::make_address(listen.address, error);
    const tcp::endpoint endpoint(address, listen.port);
    if (!error)
    {
        initial_state->acceptor.open(endpoint.protocol(), error);
    }
    if (!error)
    {
        initial_state->acceptor.set_option(tcp::acceptor::reuse_address(true),
                                           error);
    }
    if (!error)
    {
        initial_state->acceptor.bind(endpoint, error);
    }
    if (!error)
    {
        initial_state->acceptor.listen(tcp::acceptor::max_listen_connections,
                                       error);
    }
    if (error)
    {
        return std::error_code(error);
    }
    asio::co_spawn(context, state::accept(initial_state), asio::detached);
    return std::unique_ptr<platform>(new platform(std::move(initial_state)));
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
        // The control paths work even while the platform is away; otherwise
        // that fault could not be switched off.
        const bool is_control = request.target().starts_with("/control/");
        if (self->faults.away && !is_control)
        {
            break;
        }
        response_type response = co_await self->handle(request);
        if (self->closed || (self->faults.away && !is_control))
        {
            break;
        }
        response.keep_alive(request.keep_alive());
        co_await http::async_write(socket, response, token);
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
        co_return make_response(http::status::method_not_allowed);
    }
    ++this->counts.reads;
    const bool is_index = path == values_path + "index";
    if (!is_index && path != "/v1/instances")
    {
        co_return path.starts_with(values_path)
            ? this->value(path.substr(values_path.size()))
            : make_response(http::status::not_found);
    }
    const auto& versions = is_index ? this->indexes : this->lists;
    co_await this->wait_for_newer_version(versions, target);
    if (!is_index && this->faults.empty_list)
    {
        co_return make_response(http::status::ok,
                                R"({"version":9000000,"instances":[]})");
    }
    const published_text* newest = this->newest_visible(versions);
    if (newest == nullptr)
    {
        co_return make_response(is_index ? http::status::not_found
                                         : http::status::no_content);
    }
    const bool newer = newest->version > query_number(target, "after") ||
                       this->faults.old_version;
    co_return newer ? make_response(http::status::ok, newest->text)
                    : make_response(http::status::no_content);
}

// Long poll: waits until a newer version is visible, a fault ends the wait, or
// the requested time has passed.
asio::awaitable<void> platform::state::wait_for_newer_version(
    const std::deque<published_text>& versions, std::string_view target)
{
    const std::uint64_t after = query_number(target, "after");
    const auto wait = std::min(
        std::chrono::milliseconds(query_number(target, "wait_ms")), max_wait);
    const auto deadline = clock::now() + wait;
    if (wait.count() == 0)
    {
        co_return;
    }
    ++this->counts.watches;
    ++this->counts.waiting;
    asio::steady_timer timer(this->context);
    this->waiters.insert(&timer);
    const auto can_respond = [this, &versions, after]
    {
        const published_text* newest = this->newest_visible(versions);
        return this->closed || this->faults.away || this->faults.old_version ||
               (this->faults.empty_list && &versions == &this->lists) ||
               (newest != nullptr && newest->version > after);
    };
    while (!can_respond() && clock::now() < deadline)
    {
        auto wake_time = deadline;
        if (this->faults.list_lag.count() != 0)
        {
            wake_time = std::min(deadline,
                                 clock::now() + std::chrono::milliseconds(10));
        }
        boost::system::error_code ignored;
        timer.expires_at(wake_time);
        co_await timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
    this->waiters.erase(&timer);
    --this->counts.waiting;
}

// The newest version that the current faults do not hide; null if there is
// none.
const published_text* platform::state::newest_visible(
    const std::deque<published_text>& versions) const
{
    const auto now = clock::now();
    const auto delay = &versions == &this->lists ? this->faults.list_lag
                                                 : std::chrono::milliseconds(0);
    std::size_t to_skip = this->faults.old_version ? 1 : 0;
    for (auto version = versions.rbegin(); version != versions.rend();
         ++version)
    {
        const bool is_stale =
            this->faults.stale && version->published_at > this->stale_since;
        if (is_stale || version->published_at + delay > now)
        {
            continue;
        }
        if (to_skip == 0)
        {
            return &*version;
        }
        --to_skip;
    }
    return nullptr;
}

response_type platform::state::value(const std::string& name) const
{
    const auto entry = this->values.find(name);
    if (entry == this->values.end())
    {
        return make_response(http::status::not_found);
    }
    // Half of the value and a newline, which does not match the index: as if
    // parts of two publications were mixed.
    return make_response(
        http::status::ok,
        this->faults.torn
            ? entry->second.substr(0, entry->second.size() / 2) + "\n"
            : entry->second);
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
        return make_response(http::status::ok, counts.dump());
    }
    if (request.method() != http::verb::post)
    {
        return make_response(http::status::method_not_allowed);
    }
    if (path == "/control/instances")
    {
        this->publish(this->lists, request.body());
        return make_response(http::status::no_content);
    }
    if (path.starts_with(values_path))
    {
        this->set_value(path.substr(values_path.size()), request.body());
        return make_response(http::status::no_content);
    }
    const json body = json::parse(request.body(), nullptr, false);
    if (path != "/control/faults" || !body.is_object())
    {
        return make_response(http::status::bad_request);
    }
    platform_faults new_faults;
    new_faults.away = body.value("away", false);
    new_faults.stale = body.value("stale", false);
    new_faults.old_version = body.value("old_version", false);
    new_faults.torn = body.value("torn", false);
    new_faults.empty_list = body.value("empty_list", false);
    new_faults.list_lag = std::chrono::milliseconds(body.value("list_lag", 0));
    // The response must be written before the new faults close connections.
    asio::post(this->context,
               [this, new_faults]
               {
                   this->set_faults(new_faults);
               });
    return make_response(http::status::no_content);
}

void platform::state::publish(std::deque<published_text>& versions,
                              std::string text)
{
    constexpr std::size_t kept_versions = 64;
    const std::uint64_t version = parse_version(text);
    versions.push_back({version, std::move(text), clock::now()});
    if (versions.size() > kept_versions)
    {
        versions.pop_front();
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

void platform::state::set_faults(const platform_faults& new_faults)
{
    if (new_faults.stale && !this->faults.stale)
    {
        this->stale_since = clock::now();
    }
    this->faults = new_faults;
    if (new_faults.away)
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
    std::map<std::string, std::string> changed_values;
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
        changed_values[name] = text.str();
    }
    for (const auto& [name, text] : changed_values)
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
    if (const auto index = changed_values.find("index");
        index != changed_values.end())
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
        self->folder_timer.expires_after(folder_poll_period);
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
