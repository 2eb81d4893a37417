#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <map>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/backoff.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/platform.hpp>
#include <optional>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using core::result_code;

/// Length of a waiting watch; one watch counts as one read at the platform.
constexpr std::chrono::milliseconds watch_time{30'000};

/// Time beyond the wait in which the platform must have answered.
constexpr std::chrono::milliseconds answer_limit{5000};

constexpr std::chrono::milliseconds first_retry{200};
constexpr std::chrono::milliseconds last_retry{10'000};

/// Pause between two reads of the list, so that a rolling replacement of many
/// instances gives a few versions and not one for each.
constexpr std::chrono::milliseconds list_pause{500};

constexpr std::size_t max_list_bytes = 4'000'000;

struct answer
{
    unsigned status = 0;
    std::string body;
};

/// One kept connection to the platform; one request at a time.
class http_connection
{
public:
    http_connection(asio::io_context& context,
                    tcp::endpoint target,
                    std::string host_name)
        : stream(context), endpoint(std::move(target)),
          host(std::move(host_name))
    {
    }

    /// A connection that the server has closed since the last request is
    /// opened again once.
    asio::awaitable<core::result<answer>>
    get(std::string path, std::chrono::milliseconds limit, std::size_t greatest)
    {
        const bool reused = this->connected;
        auto first = co_await this->attempt(path, limit, greatest);
        if (first || !reused || this->cancelled)
        {
            co_return first;
        }
        co_return co_await this->attempt(path, limit, greatest);
    }

    /// Ends the request that is running.
    void cancel()
    {
        this->cancelled = true;
        this->close();
    }

    void allow()
    {
        this->cancelled = false;
    }

private:
    void close()
    {
        this->connected = false;
        this->stream.close();
    }

    core::result<answer> failed()
    {
        this->close();
        return make_error_code(result_code::platform_unreachable);
    }

    asio::awaitable<core::result<answer>> attempt(
        std::string path, std::chrono::milliseconds limit, std::size_t greatest)
    {
        boost::system::error_code error;
        auto token = asio::redirect_error(asio::use_awaitable, error);
        this->stream.expires_after(limit);
        if (!this->connected)
        {
            this->buffer.clear();
            co_await this->stream.async_connect(this->endpoint, token);
            if (error || this->cancelled)
            {
                co_return this->failed();
            }
            this->connected = true;
        }
        http::request<http::empty_body> request(http::verb::get, path, 11);
        request.set(http::field::host, this->host);
        co_await http::async_write(this->stream, request, token);
        if (error || this->cancelled)
        {
            co_return this->failed();
        }
        http::response_parser<http::string_body> parser;
        parser.body_limit(greatest);
        co_await http::async_read(this->stream, this->buffer, parser, token);
        if (error || this->cancelled)
        {
            const bool invalid = error == http::error::body_limit ||
                                 error == http::error::bad_version ||
                                 error == http::error::bad_status;
            auto unreachable = this->failed();
            if (invalid)
            {
                co_return make_error_code(result_code::platform_bad_answer);
            }
            co_return unreachable;
        }
        auto message = parser.release();
        if (!message.keep_alive())
        {
            this->close();
        }
        co_return answer{message.result_int(), std::move(message.body())};
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    tcp::endpoint endpoint;
    std::string host;
    bool connected = false;
    bool cancelled = false;
};

constexpr unsigned status_ok = 200;
constexpr unsigned status_nothing_newer = 204;

} // namespace

core::result<published_document> read_published(std::vector<std::string> values)
{
    if (values.empty())
    {
        return make_error_code(result_code::document_torn);
    }
    const auto index = config::parse_index(values.front());
    if (const auto* faults = std::get_if<config::problems>(&index))
    {
        return faults->code;
    }
    const std::vector<std::string> parts(values.begin() + 1, values.end());
    auto joined =
        config::join_document(std::get<config::document_index>(index), parts);
    if (const auto* faults = std::get_if<config::problems>(&joined))
    {
        const config::problem none{"", "no detail"};
        const auto& first =
            faults->items.empty() ? none : faults->items.front();
        log::write(log::level::warning, "document_refused",
                   {log::kv("code", faults->code), log::kv("at", first.path),
                    log::kv("reason", first.message),
                    log::kv("faults", faults->items.size())});
        return faults->code;
    }
    auto document = std::make_shared<core::document>(
        std::get<core::document>(std::move(joined)));
    const std::uint64_t version = document->version;
    return published_document{version, std::move(values), std::move(document)};
}

struct platform::state
{
    /// A value that is read or watched, on its own connection.
    struct channel
    {
        channel(asio::io_context& context,
                const tcp::endpoint& endpoint,
                const std::string& host,
                std::uint64_t seed)
            : connection(context, endpoint, host), wake(context),
              retry(first_retry, last_retry, seed)
        {
        }

        http_connection connection;
        asio::steady_timer wake; ///< cancelled to wake the idle loop
        backoff retry;
        bool read_wanted = false;
        bool idle = false;
    };

    using reader = asio::awaitable<std::error_code> (state::*)();

    state(asio::io_context& context,
          const tcp::endpoint& endpoint,
          const std::string& host,
          std::uint64_t seed,
          platform_handlers given)
        : handlers(std::move(given)), document(context, endpoint, host, seed),
          list(context, endpoint, host, seed + 1)
    {
    }

    static asio::awaitable<void> run(std::shared_ptr<state> self,
                                     channel& source,
                                     reader read,
                                     std::chrono::milliseconds pause);
    asio::awaitable<void> sleep(channel& source,
                                std::chrono::milliseconds time);
    asio::awaitable<core::result<answer>>
    get(channel& source, std::string path, std::size_t greatest);
    asio::awaitable<std::error_code> read_document();
    asio::awaitable<std::error_code>
    read_parts(const config::document_index& index,
               std::vector<std::string>& values);
    asio::awaitable<std::error_code> read_list();
    std::chrono::milliseconds wait_time() const;
    void keep_parts(const config::document_index& index,
                    const std::vector<std::string>& values);
    void wake(channel& source);

    platform_handlers handlers;
    platform_counters counters;
    channel document;
    channel list;
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    /// Parts of the newest document, and of one being read, by digest.
    std::map<std::string, std::string> parts;
    bool watching = false;
    bool closed = false;
};

// Reads or watches one value until the client is closed.
asio::awaitable<void> platform::state::run(std::shared_ptr<state> self,
                                           channel& source,
                                           reader read,
                                           std::chrono::milliseconds pause)
{
    while (!self->closed)
    {
        if (!self->watching && !source.read_wanted)
        {
            source.idle = true;
            co_await self->sleep(source, std::chrono::hours(1));
            source.idle = false;
            continue;
        }
        source.read_wanted = false;
        source.connection.allow();
        const bool was_watching = self->watching;
        const std::error_code error = co_await (self.get()->*read)();
        if (self->closed || (was_watching && !self->watching))
        {
            continue; // the watch was ended on purpose
        }
        if (!error)
        {
            source.retry.reset();
            co_await self->sleep(source, pause);
            continue;
        }
        ++self->counters.failed_reads;
        const auto delay = source.retry.next();
        log::write(log::level::warning, "platform_read_failed",
                   {log::kv("value",
                            &source == &self->list ? "instances" : "document"),
                    log::kv("code", error),
                    log::kv("retry_ms", delay.count())});
        co_await self->sleep(source, delay);
    }
}

asio::awaitable<void> platform::state::sleep(channel& source,
                                             std::chrono::milliseconds time)
{
    boost::system::error_code ignored;
    source.wake.expires_after(time);
    co_await source.wake.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
}

std::chrono::milliseconds platform::state::wait_time() const
{
    return this->watching ? watch_time : std::chrono::milliseconds(0);
}

asio::awaitable<core::result<answer>>
platform::state::get(channel& source, std::string path, std::size_t greatest)
{
    ++this->counters.reads;
    auto received = co_await source.connection.get(
        std::move(path), this->wait_time() + answer_limit, greatest);
    if (received && received->status != status_ok &&
        received->status != status_nothing_newer)
    {
        co_return make_error_code(result_code::platform_bad_answer);
    }
    co_return received;
}

// Reads the index, then the parts that are not known yet.
asio::awaitable<std::error_code> platform::state::read_document()
{
    const auto received = co_await this->get(
        this->document,
        fmt::format("/v1/config/index?after={}&wait_ms={}",
                    this->document_version, this->wait_time().count()),
        config::max_part_bytes);
    if (!received)
    {
        co_return received.error();
    }
    if (received->status == status_nothing_newer)
    {
        co_return std::error_code();
    }
    const auto index = config::parse_index(received->body);
    if (const auto* faults = std::get_if<config::problems>(&index))
    {
        ++this->counters.refused_documents;
        co_return faults->code;
    }
    const auto& head = std::get<config::document_index>(index);
    if (head.version <= this->document_version)
    {
        // The same version is no fault: a peer's copy may have overtaken it.
        const bool same = head.version == this->document_version;
        this->counters.refused_documents += same ? 0 : 1;
        co_await this->sleep(this->document, first_retry);
        co_return same ? std::error_code()
                       : make_error_code(result_code::document_older);
    }
    std::vector<std::string> values{received->body};
    if (const auto error = co_await this->read_parts(head, values))
    {
        ++this->counters.refused_documents;
        co_return error;
    }
    auto published = read_published(std::move(values));
    if (!published)
    {
        ++this->counters.refused_documents;
        co_return published.error();
    }
    if (published->version <= this->document_version || this->closed)
    {
        co_return std::error_code(); // overtaken while the parts were read
    }
    this->document_version = published->version;
    this->keep_parts(head, published->values);
    this->handlers.on_document(*published);
    co_return std::error_code();
}

asio::awaitable<std::error_code>
platform::state::read_parts(const config::document_index& index,
                            std::vector<std::string>& values)
{
    for (std::size_t part = 0; part < index.part_names.size(); ++part)
    {
        const std::string& digest = index.part_digests[part];
        if (const auto known = this->parts.find(digest);
            known != this->parts.end())
        {
            values.push_back(known->second);
            continue;
        }
        auto received = co_await this->get(
            this->document, "/v1/config/" + index.part_names[part],
            config::max_part_bytes);
        if (!received)
        {
            co_return received.error();
        }
        if (config::to_hex(config::sha256(received->body)) != digest)
        {
            co_return make_error_code(result_code::document_torn);
        }
        this->parts.emplace(digest, received->body);
        values.push_back(std::move(received->body));
    }
    co_return std::error_code();
}

void platform::state::keep_parts(const config::document_index& index,
                                 const std::vector<std::string>& values)
{
    this->parts.clear();
    for (std::size_t part = 0; part < index.part_digests.size(); ++part)
    {
        this->parts.emplace(index.part_digests[part], values[part + 1]);
    }
}

asio::awaitable<std::error_code> platform::state::read_list()
{
    const auto received = co_await this->get(
        this->list,
        fmt::format("/v1/instances?after={}&wait_ms={}", this->list_version,
                    this->wait_time().count()),
        max_list_bytes);
    if (!received)
    {
        co_return received.error();
    }
    if (received->status == status_nothing_newer)
    {
        co_return std::error_code();
    }
    const auto parsed = config::parse_instance_list(received->body);
    std::error_code error;
    if (const auto* faults = std::get_if<config::problems>(&parsed))
    {
        error = faults->code;
    }
    else if (std::get<core::instance_list>(parsed).instances.empty())
    {
        error = result_code::list_empty;
    }
    else if (std::get<core::instance_list>(parsed).version < this->list_version)
    {
        error = result_code::list_older;
    }
    if (error)
    {
        ++this->counters.refused_lists;
        co_return error;
    }
    const auto& next = std::get<core::instance_list>(parsed);
    if (next.version > this->list_version && !this->closed)
    {
        this->list_version = next.version;
        this->handlers.on_list(next);
    }
    co_return std::error_code();
}

void platform::state::wake(channel& source)
{
    if (source.idle)
    {
        source.wake.cancel();
    }
}

platform::platform(std::shared_ptr<state> initial) : self(std::move(initial)) {}

platform::~platform()
{
    this->close();
}

core::result<std::unique_ptr<platform>>
platform::create(asio::io_context& context,
                 const config::settings& settings,
                 platform_handlers handlers)
{
    if (!settings.platform)
    {
        return make_error_code(result_code::settings_invalid);
    }
    boost::system::error_code error;
    const auto address =
        asio::ip::make_address(settings.platform->address, error);
    if (error)
    {
        return make_error_code(result_code::settings_invalid);
    }
    const tcp::endpoint endpoint(address, settings.platform->port);
    auto initial = std::make_shared<state>(
        context, endpoint,
        fmt::format("{}:{}", settings.platform->address,
                    settings.platform->port),
        core::hash_text(settings.name), std::move(handlers));
    asio::co_spawn(context,
                   state::run(initial, initial->document, &state::read_document,
                              std::chrono::milliseconds(0)),
                   asio::detached);
    asio::co_spawn(
        context,
        state::run(initial, initial->list, &state::read_list, list_pause),
        asio::detached);
    return std::unique_ptr<platform>(new platform(std::move(initial)));
}

void platform::watch(bool wanted)
{
    state& own = *this->self;
    if (own.watching == wanted)
    {
        return;
    }
    own.watching = wanted;
    for (state::channel* source : {&own.document, &own.list})
    {
        if (wanted)
        {
            own.wake(*source);
        }
        else
        {
            source->connection.cancel();
        }
    }
}

void platform::read_once()
{
    for (state::channel* source : {&this->self->document, &this->self->list})
    {
        source->read_wanted = true;
        this->self->wake(*source);
    }
}

void platform::set_document(const published_document& current)
{
    state& own = *this->self;
    if (current.version <= own.document_version || current.values.empty())
    {
        return;
    }
    const auto index = config::parse_index(current.values.front());
    const auto* head = std::get_if<config::document_index>(&index);
    if (head != nullptr &&
        head->part_digests.size() + 1 == current.values.size())
    {
        own.document_version = current.version;
        own.keep_parts(*head, current.values);
    }
}

void platform::set_list_version(std::uint64_t version)
{
    this->self->list_version = std::max(this->self->list_version, version);
}

void platform::close()
{
    state& own = *this->self;
    own.closed = true;
    for (state::channel* source : {&own.document, &own.list})
    {
        source->connection.cancel();
        source->wake.cancel();
    }
}

const platform_counters& platform::counters() const
{
    return this->self->counters;
}

} // namespace medlarbarrow::net
