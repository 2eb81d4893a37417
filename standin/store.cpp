#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>
#include <sstream>
#include <standin/store.hpp>
#include <thread>
#include <vector>

namespace medlarbarrow::standin
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using nlohmann::json;
using error_code = boost::system::error_code;

/// How often a waiting watch checks for changes.
constexpr std::chrono::milliseconds watch_poll_interval{5};

/// Header of all answers with the number of the era.
constexpr const char* era_header = "Store-Era";

/// A write or a removal of a key.
struct change
{
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

std::string encode_base64(const std::string& bytes)
{
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length =
        EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                        reinterpret_cast<const unsigned char*>(bytes.data()),
                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

json to_json(const change& change)
{
    if (change.removed)
    {
        return {{"key", change.key},
                {"revision", change.revision},
                {"tombstone", true}};
    }
    return {{"key", change.key},
            {"value", encode_base64(change.value)},
            {"revision", change.revision},
            {"createRev", change.revision},
            {"lease", 0}};
}

/// Value of a query parameter without URL decoding; empty if it is absent.
std::string query_parameter(const std::string& target, const std::string& name)
{
    const auto query_start = target.find('?');
    std::string query = query_start == std::string::npos
                            ? ""
                            : "&" + target.substr(query_start + 1);
    const auto key_position = query.find("&" + name + "=");
    if (key_position == std::string::npos)
    {
        return "";
    }
    query = query.substr(key_position + name.size() + 2);
    return query.substr(0, query.find('&'));
}

std::uint64_t query_number(const std::string& target, const std::string& name)
{
    const std::string text = query_parameter(target, name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

std::string to_text(http::response<http::string_body> response, bool unframed)
{
    if (unframed)
    {
        response.erase(http::field::content_length);
    }
    std::ostringstream text;
    text << response;
    return text.str();
}

} // namespace

/// Items and their history, shared by the server thread and the users of the
/// class.
struct store::state
{
    asio::awaitable<void> accept();
    asio::awaitable<void> serve(tcp::socket socket);
    asio::awaitable<http::response<http::string_body>>
    respond(std::string target);
    json list(const std::string& target);
    std::chrono::milliseconds lateness_of(const std::string& target) const;
    bool has_changes(const std::string& prefix, std::uint64_t after);
    json changes_after(const std::string& prefix, std::uint64_t after);
    bool is_watchable(std::uint64_t after) const;
    void go_back(std::uint64_t to_revision);
    void add_era(http::response<http::string_body>& response) const;

    asio::io_context io{1};
    tcp::acceptor acceptor{io};
    std::thread thread;
    mutable std::mutex mutex; ///< guards the members below
    std::map<std::string, change> items;
    std::vector<change> history;
    /// Oldest revision that a watch may start at.
    std::uint64_t first_watchable_revision = 0;
    std::uint64_t revision = 1;
    std::uint64_t era = 1;
    std::uint64_t copied_revision = 1; ///< of the last copy
    store_faults faults;
    store_counts counts;
};

json store::state::list(const std::string& target)
{
    const std::lock_guard guard(this->mutex);
    ++this->counts.listings;
    const std::string prefix = query_parameter(target, "prefix");
    const std::string after = query_parameter(target, "after");
    json page = json::array();
    bool has_more = false;
    for (const auto& [key, item] : this->items)
    {
        if (!key.starts_with(prefix) || key <= after)
        {
            continue;
        }
        if (page.size() == this->faults.page)
        {
            has_more = true;
            break;
        }
        page.push_back(to_json(item));
    }
    return {
        {"items", page}, {"hasMore", has_more}, {"currentRev", this->revision}};
}

std::chrono::milliseconds
store::state::lateness_of(const std::string& target) const
{
    const std::lock_guard guard(this->mutex);
    const bool late =
        query_parameter(target, "prefix") == this->faults.late_prefix;
    return late ? this->faults.lateness : std::chrono::milliseconds(0);
}

// Whether the history has all changes after the revision.
bool store::state::is_watchable(std::uint64_t after) const
{
    return after >= this->first_watchable_revision && after <= this->revision;
}

// Keeps the content as it was at the revision. The caller holds the mutex.
void store::state::go_back(std::uint64_t to_revision)
{
    std::erase_if(this->history,
                  [to_revision](const change& written)
                  {
                      return written.revision > to_revision;
                  });
    this->items.clear();
    for (const change& written : this->history)
    {
        if (written.removed)
        {
            this->items.erase(written.key);
        }
        else
        {
            this->items[written.key] = written;
        }
    }
    this->revision = to_revision;
}

void store::state::add_era(http::response<http::string_body>& response) const
{
    const std::lock_guard guard(this->mutex);
    if (!this->faults.era_headers)
    {
        response.set(era_header, std::to_string(this->era));
        return;
    }
    for (const std::string& value : *this->faults.era_headers)
    {
        response.insert(era_header, value);
    }
}

bool store::state::has_changes(const std::string& prefix, std::uint64_t after)
{
    const std::lock_guard guard(this->mutex);
    return !this->is_watchable(after) || this->faults.away ||
           std::any_of(this->history.begin(), this->history.end(),
                       [&](const change& change)
                       {
                           return change.revision > after &&
                                  change.key.starts_with(prefix);
                       });
}

json store::state::changes_after(const std::string& prefix, std::uint64_t after)
{
    const std::lock_guard guard(this->mutex);
    json events = json::array();
    for (const change& change : this->history)
    {
        if (change.revision > after && change.key.starts_with(prefix))
        {
            events.push_back(to_json(change));
        }
    }
    return {{"events", events}, {"currentRev", this->revision}};
}

asio::awaitable<http::response<http::string_body>>
store::state::respond(std::string target)
{
    http::response<http::string_body> response(http::status::ok, 11);
    unsigned status = 0;
    {
        const std::lock_guard guard(this->mutex);
        status = this->faults.status;
    }
    if (status != 0)
    {
        response.result(status);
    }
    else if (target.starts_with("/v1/kv-range"))
    {
        response.body() = this->list(target).dump();
        asio::steady_timer timer(this->io, this->lateness_of(target));
        co_await timer.async_wait(asio::use_awaitable);
    }
    else if (target.starts_with("/v1/kv-watch"))
    {
        const std::string prefix = query_parameter(target, "prefix");
        const std::uint64_t after = query_number(target, "after");
        const auto deadline =
            std::chrono::steady_clock::now() +
            std::chrono::milliseconds(query_number(target, "waitMs"));
        {
            const std::lock_guard guard(this->mutex);
            ++this->counts.watches;
        }
        asio::steady_timer timer(this->io);
        while (!this->has_changes(prefix, after) &&
               std::chrono::steady_clock::now() < deadline)
        {
            timer.expires_after(watch_poll_interval);
            co_await timer.async_wait(asio::use_awaitable);
        }
        response.body() = this->changes_after(prefix, after).dump();
        const std::lock_guard guard(this->mutex);
        if (!this->is_watchable(after))
        {
            response.result(http::status::gone);
            response.body().clear();
        }
    }
    else
    {
        response.result(http::status::not_found);
    }
    response.prepare_payload();
    co_return response;
}

asio::awaitable<void> store::state::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    error_code failure;
    std::string previous; ///< answer that is written again
    while (!failure)
    {
        http::request<http::empty_body> request;
        co_await http::async_read(
            socket, buffer, request,
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            break;
        }
        http::response<http::string_body> response =
            co_await this->respond(std::string(request.target()));
        this->add_era(response);
        store_faults current_faults;
        {
            const std::lock_guard guard(this->mutex);
            current_faults = this->faults;
        }
        if (current_faults.away)
        {
            break;
        }
        if (current_faults.silent)
        {
            asio::steady_timer forever(this->io, std::chrono::hours(1));
            co_await forever.async_wait(asio::use_awaitable);
        }
        const std::string text = to_text(response, current_faults.unframed);
        std::string output = previous;
        output += text;
        if (current_faults.twice)
        {
            output += text;
        }
        if (current_faults.cut)
        {
            output.resize(std::min(output.size(), *current_faults.cut));
        }
        previous = current_faults.again_later ? text : std::string();
        co_await asio::async_write(
            socket, asio::buffer(output),
            asio::redirect_error(asio::use_awaitable, failure));
        if (current_faults.cut || current_faults.unframed)
        {
            break;
        }
    }
}

asio::awaitable<void> store::state::accept()
{
    while (true)
    {
        error_code failure;
        tcp::socket socket = co_await this->acceptor.async_accept(
            asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
        {
            co_return;
        }
        asio::co_spawn(this->io, this->serve(std::move(socket)),
                       asio::detached);
    }
}

store::store() : self(std::make_unique<state>())
{
    const tcp::endpoint any_port(asio::ip::make_address("127.0.0.1"), 0);
    this->self->acceptor.open(any_port.protocol());
    this->self->acceptor.bind(any_port);
    this->self->acceptor.listen();
    asio::co_spawn(this->self->io, this->self->accept(), asio::detached);
    this->self->thread = std::thread(
        [this]
        {
            this->self->io.run();
        });
}

store::~store()
{
    this->self->io.stop();
    this->self->thread.join();
}

std::uint16_t store::port() const
{
    return this->self->acceptor.local_endpoint().port();
}

void store::put(const std::string& key, const std::string& value)
{
    const std::lock_guard guard(this->self->mutex);
    const change written{key, value, ++this->self->revision, false};
    this->self->items[key] = written;
    this->self->history.push_back(written);
}

void store::remove(const std::string& key)
{
    const std::lock_guard guard(this->self->mutex);
    this->self->items.erase(key);
    this->self->history.push_back({key, "", ++this->self->revision, true});
}

void store::drop_history()
{
    const std::lock_guard guard(this->self->mutex);
    this->self->history.clear();
    this->self->first_watchable_revision = ++this->self->revision;
}

void store::go_back(std::uint64_t to_revision)
{
    const std::lock_guard guard(this->self->mutex);
    this->self->go_back(to_revision);
}

void store::make_copy()
{
    const std::lock_guard guard(this->self->mutex);
    this->self->copied_revision = this->self->revision;
}

void store::restore_copy()
{
    const std::lock_guard guard(this->self->mutex);
    this->self->go_back(this->self->copied_revision);
    ++this->self->era;
}

std::uint64_t store::revision() const
{
    const std::lock_guard guard(this->self->mutex);
    return this->self->revision;
}

std::uint64_t store::era() const
{
    const std::lock_guard guard(this->self->mutex);
    return this->self->era;
}

void store::set_faults(const store_faults& faults)
{
    const std::lock_guard guard(this->self->mutex);
    this->self->faults = faults;
}

store_counts store::counts() const
{
    const std::lock_guard guard(this->self->mutex);
    return this->self->counts;
}

} // namespace medlarbarrow::standin
