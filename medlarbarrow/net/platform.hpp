/// HTTP client for the platform's configuration service and instance list.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <string>
#include <vector>

namespace medlarbarrow::net
{

/// A document together with its published values: the index, then the parts in
/// the order of the index.
struct published_document
{
    std::uint64_t version = 0;
    std::vector<std::string> values; ///< values[0] is the index
    std::shared_ptr<const core::document> document;
};

/// Checks and parses values received from the platform or from a peer. Errors:
/// document_invalid, document_torn, document_too_large.
core::result<published_document>
read_published(std::vector<std::string> values);

/// Handlers of the values that the client accepts.
struct platform_handlers
{
    /// Receives a valid document that is newer than all versions the client
    /// knows.
    std::function<void(const published_document&)> on_document;
    /// Receives a list that is not empty and newer than all versions the client
    /// knows.
    std::function<void(const core::instance_list&)> on_list;
};

/// Totals since the start of the process.
struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t failed_reads = 0;
    std::uint64_t refused_documents = 0; ///< older, torn, invalid
    std::uint64_t refused_lists = 0;     ///< older, empty, invalid
};

/// Reads and watches the document and the instance list of the platform. All
/// members must be called on the thread that runs the io_context; the handlers
/// are called on the same thread.
class platform
{
public:
    /// Creates a client that reads nothing yet. Errors: settings_invalid if
    /// settings.platform is absent or its address is not an IP address.
    static core::result<std::unique_ptr<platform>>
    create(boost::asio::io_context& context,
           const config::settings& settings,
           platform_handlers handlers);

    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    /// Starts or ends the long-polling watches of the index and the list.
    void watch(bool enabled);

    /// Requests one read of the index and of the list, without a wait at the
    /// platform unless watches are enabled. A running read is finished first.
    void read_once();

    /// Sets the newest versions accepted from peers, so that the watches
    /// request only newer ones. Lower versions are ignored. Unchanged parts of
    /// a newer document are reused from `current` and not read again.
    void set_document(const published_document& current);
    void set_list_version(std::uint64_t version);

    /// Ends all reads. No handler is called afterwards.
    void close();

    const platform_counters& counters() const;

private:
    struct state;
    explicit platform(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
