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

struct platform::state : std::enable_shared_from_this<platform::state>
{
    using reader = void (state::*)();

    /// A value that is read or watched, on its own connection.
    struct channel
    {
        channel(asio::io_context& context,
                const tcp::endpoint& endpoint,
                const std::string& host,
                std::uint64_t seed,
                reader start,
                std::chrono::milliseconds after_success)
            : connection(context, endpoint, host), timer(context),
              retry(first_retry, last_retry, seed), read(start),
              pause(after_success)
        {
        }

        http_connection connection;
        asio::steady_timer timer; ///< pause before the next read
        backoff retry;
        reader read;
        std::chrono::milliseconds pause;
        bool read_wanted = false;
        bool idle = true;
        bool was_watching = false; ///< when the running read began
    };

    /// A document of which parts are being read.
    struct pending_document
    {
        config::document_index index;
        std::string index_text;
        std::size_t next = 0;
    };

    state(asio::io_context& context,
          const tcp::endpoint& endpoint,
          const std::string& host,
          std::uint64_t seed,
          platform_handlers given)
        : handlers(std::move(given)), document(context,
                                               endpoint,
                                               host,
                                               seed,
                                               &state::read_document,
                                               document_pause),
          list(context, endpoint, host, seed + 1, &state::read_list, list_pause)
    {
    }

    void next(channel& source);
    void finish(channel& source, std::error_code error);
    void fetch(channel& source,
               std::string path,
               std::size_t greatest,
               void (state::*done)(http_answer&&));
    static core::result<http_answer>
    checked(core::result<http_answer> received);
    std::chrono::milliseconds time_limit() const;
    void read_document();
    void take_index(http_answer&& received);
    void read_parts();
    void take_part(http_answer&& received);
    std::optional<std::error_code>
    check_index(const config::checked<config::document_index>& index);
    std::error_code join(const config::document_index& index,
                         const std::string& index_text);
    void read_list();
    void take_list(http_answer&& received);
    std::error_code
    check_list(const config::checked<core::instance_list>& parsed) const;
    std::chrono::milliseconds wait_time() const;
    void keep_parts(const config::document_index& index,
                    const std::vector<std::string>& values);
    void wake(channel& source);

    platform_handlers handlers;
    platform_counters counters;
    channel document;
    pending_document pending;
    channel list;
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    /// Parts of the newest document, and of one being read, by digest.
    std::map<std::string, std::string> parts;
    bool watching = false;
    bool closed = false;
};

// Starts a read or a watch, or waits until one is wanted.
void platform::state::next(channel& source)
{
    if (this->closed)
    {
        return;
    }
    source.idle = !this->watching && !source.read_wanted;
    if (source.idle)
    {
        return;
    }
    source.read_wanted = false;
    source.was_watching = this->watching;
    source.connection.allow();
    (this->*source.read)();
}

// Continues after a read, with a pause that depends on its result.
void platform::state::finish(channel& source, std::error_code error)
{
    if (this->closed)
    {
        return;
    }
    if (source.was_watching && !this->watching)
    {
        this->next(source); // the watch was ended on purpose
        return;
    }
    std::chrono::milliseconds pause = source.pause;
    if (error)
    {
        ++this->counters.failed_reads;
        pause = source.retry.next();
        log::write(log::level::warning, "platform_read_failed",
                   {log::kv("value",
                            &source == &this->list ? "instances" : "document"),
                    log::kv("code", error),
                    log::kv("retry_ms", pause.count())});
    }
    else
    {
        source.retry.reset();
    }
    source.timer.expires_after(pause);
    source.timer.async_wait(
        [own = this->shared_from_this(),
         &source](const boost::system::error_code&)
        {
            own->next(source);
        });
}

void platform::state::fetch(channel& source,
                            std::string path,
                            std::size_t greatest,
                            void (state::*done)(http_answer&&))
{
    ++this->counters.reads;
    source.connection.get(std::move(path), this->time_limit(), greatest,
                          [own = this->shared_from_this(), &source,
                           done](core::result<http_answer> received)
                          {
                              received = checked(std::move(received));
                              if (!received || own->closed)
                              {
                                  own->finish(source, received
                                                          ? std::error_code()
                                                          : received.error());
                                  return;
                              }
                              (own.get()->*done)(std::move(*received));
                          });
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
void platform::state::read_document()
{
    this->fetch(this->document,
                fmt::format("/v1/config/index?after={}&wait_ms={}",
                            this->document_version, this->wait_time().count()),
                config::max_part_bytes, &state::take_index);
}

void platform::state::take_index(http_answer&& received)
{
    if (received.status == status_nothing_newer)
    {
        this->finish(this->document, {});
        return;
    }
    auto index = config::parse_index(received.body);
    if (const auto result = this->check_index(index))
    {
        this->finish(this->document, *result);
        return;
    }
    this->pending = {std::get<config::document_index>(std::move(index)),
                     std::move(received.body), 0};
    this->read_parts();
}

void platform::state::read_parts()
{
    const config::document_index& index = this->pending.index;
    std::size_t& part = this->pending.next;
    while (part < index.part_digests.size() &&
           this->parts.contains(index.part_digests[part]))
    {
        ++part;
    }
    if (part == index.part_digests.size())
    {
        this->finish(this->document,
                     this->join(index, this->pending.index_text));
        return;
    }
    this->fetch(this->document, "/v1/config/" + index.part_names[part],
                config::max_part_bytes, &state::take_part);
}

void platform::state::take_part(http_answer&& received)
{
    const std::string& digest =
        this->pending.index.part_digests[this->pending.next];
    if (config::to_hex(config::sha256(received.body)) != digest)
    {
        ++this->counters.refused_documents;
        this->finish(this->document,
                     make_error_code(result_code::document_torn));
        return;
    }
    this->parts.emplace(digest, std::move(received.body));
    ++this->pending.next;
    this->read_parts();
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
    if (published->version <= this->document_version)
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

void platform::state::read_list()
{
    this->fetch(this->list,
                fmt::format("/v1/instances?after={}&wait_ms={}",
                            this->list_version, this->wait_time().count()),
                max_list_bytes, &state::take_list);
}

void platform::state::take_list(http_answer&& received)
{
    if (received.status == status_nothing_newer)
    {
        this->finish(this->list, {});
        return;
    }
    const auto parsed = config::parse_instance_list(received.body);
    if (const auto error = this->check_list(parsed))
    {
        ++this->counters.refused_lists;
        this->finish(this->list, error);
        return;
    }
    const auto& next = std::get<core::instance_list>(parsed);
    if (next.version > this->list_version)
    {
        this->list_version = next.version;
        this->handlers.on_list(next);
    }
    this->finish(this->list, {});
}

std::error_code platform::state::check_list(
    const config::checked<core::instance_list>& parsed) const
{
    if (const auto* faults = std::get_if<config::problems>(&parsed))
    {
        return faults->code;
    }
    const auto& next = std::get<core::instance_list>(parsed);
    if (next.instances.empty())
    {
        return result_code::list_empty;
    }
    return next.version < this->list_version
               ? make_error_code(result_code::list_older)
               : std::error_code();
}

void platform::state::wake(channel& source)
{
    if (source.idle)
    {
        this->next(source);
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
        source->timer.cancel();
    }
}

const platform_counters& platform::counters() const
{
    return this->self->counters;
}

} // namespace medlarbarrow::net
