#include <algorithm>
#include <boost/asio/steady_timer.hpp>
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

/// Time that a watch waits at the platform for a newer version. The platform
/// counts one watch as one read.
constexpr std::chrono::milliseconds watch_duration{30'000};

/// Additional time, after the wait, in which the platform must answer.
constexpr std::chrono::milliseconds answer_timeout{5000};

constexpr std::chrono::milliseconds min_retry_delay{200};
constexpr std::chrono::milliseconds max_retry_delay{10'000};

/// Pause between two reads of the list, so that a rolling replacement of many
/// instances causes a few list versions and not one for each instance.
constexpr std::chrono::milliseconds list_pause{500};

/// The same for documents. The pause also limits the read rate when the
/// platform answers watches immediately with a version that the client already
/// has.
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
        const config::problem unspecified{"", "no detail"};
        const auto& first =
            faults->items.empty() ? unspecified : faults->items.front();
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

/// Implementation of platform. Running reads share its ownership.
struct platform::state : std::enable_shared_from_this<platform::state>
{
    using read_function = void (state::*)();

    /// State of the reads of one value, the document or the list. Each value
    /// has its own connection.
    struct channel
    {
        channel(asio::io_context& context,
                const tcp::endpoint& endpoint,
                const std::string& host,
                std::uint64_t seed,
                read_function start_read,
                std::chrono::milliseconds after_success)
            : connection(context, endpoint, host), timer(context),
              retry(min_retry_delay, max_retry_delay, seed), read(start_read),
              pause(after_success)
        {
        }

        http_connection connection;
        asio::steady_timer timer; ///< pause before the next read
        backoff retry;
        read_function read;
        std::chrono::milliseconds pause; ///< after a successful read
        bool read_requested = false;     ///< one read without a watch
        bool idle = true;
        bool started_as_watch = false; ///< the running read is a watch
    };

    /// A document whose parts are being read.
    struct pending_document
    {
        config::document_index index;
        std::string index_text;
        std::size_t next_part = 0;
    };

    state(asio::io_context& context,
          const tcp::endpoint& endpoint,
          const std::string& host,
          std::uint64_t seed,
          platform_handlers value_handlers)
        : handlers(std::move(value_handlers)), document(context,
                                                        endpoint,
                                                        host,
                                                        seed,
                                                        &state::read_document,
                                                        document_pause),
          list(context, endpoint, host, seed + 1, &state::read_list, list_pause)
    {
    }

    void start_read(channel& value_channel);
    void finish_read(channel& value_channel, std::error_code error);
    void fetch(channel& value_channel,
               std::string path,
               std::size_t max_bytes,
               void (state::*on_response)(http_answer&&));
    static core::result<http_answer>
    check_status(core::result<http_answer> received);
    std::chrono::milliseconds time_limit() const;
    void read_document();
    void on_index(http_answer&& received);
    void read_parts();
    void on_part(http_answer&& received);
    std::optional<std::error_code>
    check_index(const config::checked<config::document_index>& index);
    std::error_code join(const config::document_index& index,
                         const std::string& index_text);
    void read_list();
    void on_list_received(http_answer&& received);
    std::error_code
    check_list(const config::checked<core::instance_list>& parsed) const;
    std::chrono::milliseconds wait_time() const;
    void store_parts(const config::document_index& index,
                     const std::vector<std::string>& values);
    void start_if_idle(channel& value_channel);

    platform_handlers handlers;
    platform_counters counters;
    channel document;
    pending_document pending;
    channel list;
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    /// Parts of the newest document and of a document being read, by digest.
    std::map<std::string, std::string> parts;
    bool watching = false;
    bool closed = false;
};

// Starts a read or a watch; marks the channel idle if none is requested.
void platform::state::start_read(channel& value_channel)
{
    if (this->closed)
    {
        return;
    }
    value_channel.idle = !this->watching && !value_channel.read_requested;
    if (value_channel.idle)
    {
        return;
    }
    value_channel.read_requested = false;
    value_channel.started_as_watch = this->watching;
    value_channel.connection.allow();
    (this->*value_channel.read)();
}

// Ends a read and schedules the next one, after a pause that depends on the
// result.
void platform::state::finish_read(channel& value_channel, std::error_code error)
{
    if (this->closed)
    {
        return;
    }
    if (value_channel.started_as_watch && !this->watching)
    {
        this->start_read(value_channel); // watch(false) cancelled the watch
        return;
    }
    std::chrono::milliseconds pause = value_channel.pause;
    if (error)
    {
        ++this->counters.failed_reads;
        pause = value_channel.retry.next();
        log::write(
            log::level::warning, "platform_read_failed",
            {log::kv("value",
                     &value_channel == &this->list ? "instances" : "document"),
             log::kv("code", error), log::kv("retry_ms", pause.count())});
    }
    else
    {
        value_channel.retry.reset();
    }
    value_channel.timer.expires_after(pause);
    value_channel.timer.async_wait(
        [self = this->shared_from_this(),
         &value_channel](const boost::system::error_code&)
        {
            self->start_read(value_channel);
        });
}

// Sends a GET request and passes a valid response to `on_response`. An error
// ends the read.
void platform::state::fetch(channel& value_channel,
                            std::string path,
                            std::size_t max_bytes,
                            void (state::*on_response)(http_answer&&))
{
    ++this->counters.reads;
    value_channel.connection.get(
        std::move(path), this->time_limit(), max_bytes,
        [self = this->shared_from_this(), &value_channel,
         on_response](core::result<http_answer> received)
        {
            received = check_status(std::move(received));
            if (!received || self->closed)
            {
                self->finish_read(value_channel, received ? std::error_code()
                                                          : received.error());
                return;
            }
            (self.get()->*on_response)(std::move(*received));
        });
}

// Time limit of one request.
std::chrono::milliseconds platform::state::time_limit() const
{
    return this->wait_time() + answer_timeout;
}

// Time that the platform may delay an answer until a newer version exists.
std::chrono::milliseconds platform::state::wait_time() const
{
    return this->watching ? watch_duration : std::chrono::milliseconds(0);
}

// Converts an unexpected status code into an error.
core::result<http_answer>
platform::state::check_status(core::result<http_answer> received)
{
    if (received && received->status != status_ok &&
        received->status != status_nothing_newer)
    {
        return make_error_code(result_code::platform_bad_answer);
    }
    return received;
}

// Reads the index, then the parts that are not stored yet.
void platform::state::read_document()
{
    this->fetch(this->document,
                fmt::format("/v1/config/index?after={}&wait_ms={}",
                            this->document_version, this->wait_time().count()),
                config::max_part_bytes, &state::on_index);
}

void platform::state::on_index(http_answer&& received)
{
    if (received.status == status_nothing_newer)
    {
        this->finish_read(this->document, {});
        return;
    }
    auto index = config::parse_index(received.body);
    if (const auto result = this->check_index(index))
    {
        this->finish_read(this->document, *result);
        return;
    }
    this->pending = {std::get<config::document_index>(std::move(index)),
                     std::move(received.body), 0};
    this->read_parts();
}

// Reads the next missing part, or joins the document if none is missing.
void platform::state::read_parts()
{
    const config::document_index& index = this->pending.index;
    std::size_t& part = this->pending.next_part;
    while (part < index.part_digests.size() &&
           this->parts.contains(index.part_digests[part]))
    {
        ++part;
    }
    if (part == index.part_digests.size())
    {
        this->finish_read(this->document,
                          this->join(index, this->pending.index_text));
        return;
    }
    this->fetch(this->document, "/v1/config/" + index.part_names[part],
                config::max_part_bytes, &state::on_part);
}

void platform::state::on_part(http_answer&& received)
{
    const std::string& digest =
        this->pending.index.part_digests[this->pending.next_part];
    if (config::to_hex(config::sha256(received.body)) != digest)
    {
        ++this->counters.refused_documents;
        this->finish_read(this->document,
                          make_error_code(result_code::document_torn));
        return;
    }
    this->parts.emplace(digest, std::move(received.body));
    ++this->pending.next_part;
    this->read_parts();
}

// Returns nothing if the index describes a newer document, otherwise the result
// of the read.
std::optional<std::error_code> platform::state::check_index(
    const config::checked<config::document_index>& index)
{
    if (const auto* faults = std::get_if<config::problems>(&index))
    {
        ++this->counters.refused_documents;
        return faults->code;
    }
    const auto& parsed = std::get<config::document_index>(index);
    if (parsed.version > this->document_version)
    {
        // Parts of earlier attempts are removed, so that they do not
        // accumulate.
        std::erase_if(this->parts,
                      [&parsed](const auto& part)
                      {
                          return std::ranges::find(parsed.part_digests,
                                                   part.first) ==
                                 parsed.part_digests.end();
                      });
        return std::nullopt;
    }
    // The same version is not a fault: a copy from a peer may have arrived
    // first.
    const bool same = parsed.version == this->document_version;
    this->counters.refused_documents += same ? 0 : 1;
    return same ? std::error_code()
                : make_error_code(result_code::document_older);
}

// Joins the parts of a document and passes it to the handler, unless a copy
// from a peer is as new.
std::error_code platform::state::join(const config::document_index& index,
                                      const std::string& index_text)
{
    std::vector<std::string> values{index_text};
    for (const std::string& digest : index.part_digests)
    {
        const auto part = this->parts.find(digest);
        if (part == this->parts.end())
        {
            return {}; // replaced by a newer document from a peer
        }
        values.push_back(part->second);
    }
    auto published = read_published(std::move(values));
    if (!published)
    {
        ++this->counters.refused_documents;
        return published.error();
    }
    if (published->version <= this->document_version)
    {
        return {}; // a peer's copy arrived while the parts were read
    }
    this->document_version = published->version;
    this->store_parts(index, published->values);
    this->handlers.on_document(*published);
    return {};
}

// Replaces the stored parts by those of the newest document.
void platform::state::store_parts(const config::document_index& index,
                                  const std::vector<std::string>& values)
{
    this->parts.clear();
    for (std::size_t part = 0; part < index.part_digests.size(); ++part)
    {
        this->parts.emplace(index.part_digests[part], values[part + 1]);
    }
}

void platform::state::read_list()
{
    this->fetch(this->list,
                fmt::format("/v1/instances?after={}&wait_ms={}",
                            this->list_version, this->wait_time().count()),
                max_list_bytes, &state::on_list_received);
}

void platform::state::on_list_received(http_answer&& received)
{
    if (received.status == status_nothing_newer)
    {
        this->finish_read(this->list, {});
        return;
    }
    const auto parsed = config::parse_instance_list(received.body);
    if (const auto error = this->check_list(parsed))
    {
        ++this->counters.refused_lists;
        this->finish_read(this->list, error);
        return;
    }
    const auto& list = std::get<core::instance_list>(parsed);
    if (list.version > this->list_version)
    {
        this->list_version = list.version;
        this->handlers.on_list(list);
    }
    this->finish_read(this->list, {});
}

std::error_code platform::state::check_list(
    const config::checked<core::instance_list>& parsed) const
{
    if (const auto* faults = std::get_if<config::problems>(&parsed))
    {
        return faults->code;
    }
    const auto& list = std::get<core::instance_list>(parsed);
    if (list.instances.empty())
    {
        return result_code::list_empty;
    }
    return list.version < this->list_version
               ? make_error_code(result_code::list_older)
               : std::error_code();
}

// Starts a read if the channel is idle.
void platform::state::start_if_idle(channel& value_channel)
{
    if (value_channel.idle)
    {
        this->start_read(value_channel);
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
    return std::unique_ptr<platform>(new platform(std::move(initial)));
}

void platform::watch(bool enabled)
{
    state& impl = *this->self;
    if (impl.watching == enabled)
    {
        return;
    }
    impl.watching = enabled;
    for (state::channel* value_channel : {&impl.document, &impl.list})
    {
        if (enabled)
        {
            impl.start_if_idle(*value_channel);
        }
        else
        {
            value_channel->connection.cancel();
        }
    }
}

void platform::read_once()
{
    for (state::channel* value_channel :
         {&this->self->document, &this->self->list})
    {
        value_channel->read_requested = true;
        this->self->start_if_idle(*value_channel);
    }
}

void platform::set_document(const published_document& current)
{
    state& impl = *this->self;
    if (current.version <= impl.document_version || current.values.empty())
    {
        return;
    }
    const auto index = config::parse_index(current.values.front());
    const auto* parsed = std::get_if<config::document_index>(&index);
    if (parsed != nullptr &&
        parsed->part_digests.size() + 1 == current.values.size())
    {
        impl.document_version = current.version;
        impl.store_parts(*parsed, current.values);
    }
}

void platform::set_list_version(std::uint64_t version)
{
    this->self->list_version = std::max(this->self->list_version, version);
}

void platform::close()
{
    state& impl = *this->self;
    impl.closed = true;
    for (state::channel* value_channel : {&impl.document, &impl.list})
    {
        value_channel->connection.cancel();
        value_channel->timer.cancel();
    }
}

const platform_counters& platform::counters() const
{
    return this->self->counters;
}

} // namespace medlarbarrow::net
