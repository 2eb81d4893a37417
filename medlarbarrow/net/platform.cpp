#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <map>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/core/hash.hpp>
#include <medlarbarrow/net/backoff.hpp>
#include <medlarbarrow/net/http_connection.hpp>
#include <medlarbarrow/net/log.hpp>
#include <medlarbarrow/net/platform.hpp>
#include <optional>

namespace medlarbarrow::net
{

namespace
{

namespace asio = boost::asio;
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

/// The same for documents; it also bounds reads of a platform that answers
/// watches at once with a version that is known.
constexpr std::chrono::milliseconds document_pause{100};

constexpr std::size_t max_list_bytes = 4'000'000;

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
    static core::result<http_answer>
    checked(core::result<http_answer> received);
    std::chrono::milliseconds time_limit() const;
    asio::awaitable<std::error_code> read_document();
    std::optional<std::error_code>
    check_index(const config::checked<config::document_index>& index);
    std::error_code store_part(const std::string& digest,
                               const core::result<http_answer>& received);
    std::error_code join(const config::document_index& index,
                         const std::string& index_text);
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
    boost::system::error_code ignored;
    auto token = asio::redirect_error(asio::use_awaitable, ignored);
    while (!self->closed)
    {
        if (!self->watching && !source.read_wanted)
        {
            source.idle = true;
            source.wake.expires_after(std::chrono::hours(1));
            co_await source.wake.async_wait(token);
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
            source.wake.expires_after(pause);
            co_await source.wake.async_wait(token);
            continue;
        }
        ++self->counters.failed_reads;
        const auto delay = source.retry.next();
        log::write(log::level::warning, "platform_read_failed",
                   {log::kv("value",
                            &source == &self->list ? "instances" : "document"),
                    log::kv("code", error),
                    log::kv("retry_ms", delay.count())});
        source.wake.expires_after(delay);
        co_await source.wake.async_wait(token);
    }
}

std::chrono::milliseconds platform::state::time_limit() const
{
    return this->wait_time() + answer_limit;
}

std::chrono::milliseconds platform::state::wait_time() const
{
    return this->watching ? watch_time : std::chrono::milliseconds(0);
}

core::result<http_answer>
platform::state::checked(core::result<http_answer> received)
{
    if (received && received->status != status_ok &&
        received->status != status_nothing_newer)
    {
        return make_error_code(result_code::platform_bad_answer);
    }
    return received;
}

// Reads the index, then the parts that are not known yet.
asio::awaitable<std::error_code> platform::state::read_document()
{
    ++this->counters.reads;
    const auto received = checked(co_await this->document.connection.get(
        fmt::format("/v1/config/index?after={}&wait_ms={}",
                    this->document_version, this->wait_time().count()),
        this->time_limit(), config::max_part_bytes));
    if (!received || received->status == status_nothing_newer)
    {
        co_return received ? std::error_code() : received.error();
    }
    const auto index = config::parse_index(received->body);
    if (const auto result = this->check_index(index))
    {
        co_return *result;
    }
    const auto& head = std::get<config::document_index>(index);
    for (std::size_t part = 0; part < head.part_names.size(); ++part)
    {
        if (this->parts.contains(head.part_digests[part]))
        {
            continue;
        }
        ++this->counters.reads;
        const auto value = checked(co_await this->document.connection.get(
            "/v1/config/" + head.part_names[part], this->time_limit(),
            config::max_part_bytes));
        if (const auto error = this->store_part(head.part_digests[part], value))
        {
            ++this->counters.refused_documents;
            co_return error;
        }
    }
    co_return this->join(head, received->body);
}

// Nothing when the index names a newer document; else the result of the read.
std::optional<std::error_code> platform::state::check_index(
    const config::checked<config::document_index>& index)
{
    if (const auto* faults = std::get_if<config::problems>(&index))
    {
        ++this->counters.refused_documents;
        return faults->code;
    }
    const auto& head = std::get<config::document_index>(index);
    if (head.version > this->document_version)
    {
        // Parts of earlier attempts must not pile up.
        std::erase_if(this->parts,
                      [&head](const auto& part)
                      {
                          return std::ranges::find(head.part_digests,
                                                   part.first) ==
                                 head.part_digests.end();
                      });
        return std::nullopt;
    }
    // The same version is no fault: a peer's copy may have overtaken it.
    const bool same = head.version == this->document_version;
    this->counters.refused_documents += same ? 0 : 1;
    return same ? std::error_code()
                : make_error_code(result_code::document_older);
}

std::error_code
platform::state::store_part(const std::string& digest,
                            const core::result<http_answer>& received)
{
    if (!received)
    {
        return received.error();
    }
    if (config::to_hex(config::sha256(received->body)) != digest)
    {
        return result_code::document_torn;
    }
    this->parts.emplace(digest, received->body);
    return {};
}

std::error_code platform::state::join(const config::document_index& index,
                                      const std::string& index_text)
{
    std::vector<std::string> values{index_text};
    for (const std::string& digest : index.part_digests)
    {
        const auto found = this->parts.find(digest);
        if (found == this->parts.end())
        {
            return {}; // a peer's copy has taken the place of this document
        }
        values.push_back(found->second);
    }
    auto published = read_published(std::move(values));
    if (!published)
    {
        ++this->counters.refused_documents;
        return published.error();
    }
    if (published->version <= this->document_version || this->closed)
    {
        return {}; // overtaken while the parts were read
    }
    this->document_version = published->version;
    this->keep_parts(index, published->values);
    this->handlers.on_document(*published);
    return {};
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
    ++this->counters.reads;
    const auto received = checked(co_await this->list.connection.get(
        fmt::format("/v1/instances?after={}&wait_ms={}", this->list_version,
                    this->wait_time().count()),
        this->time_limit(), max_list_bytes));
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
                              document_pause),
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
