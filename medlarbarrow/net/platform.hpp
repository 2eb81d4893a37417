/// HTTP client of the platform: configuration service and instance list.
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

/// A document as its values were published: the index and the parts in the
/// order of the index.
struct published_document
{
    std::uint64_t version = 0;
    std::vector<std::string> values; ///< values[0] is the index
    std::shared_ptr<const core::document> document;
};

/// Checks values that came from the platform or from a peer. Errors:
/// document_invalid, document_torn, document_too_large.
core::result<published_document>
read_published(std::vector<std::string> values);

struct platform_handlers
{
    /// A valid document, newer than all versions the client knows of.
    std::function<void(const published_document&)> on_document;
    /// A list that is not empty and newer than all versions it knows of.
    std::function<void(const core::instance_list&)> on_list;
};

struct platform_counters
{
    std::uint64_t reads = 0;
    std::uint64_t failed_reads = 0;
    std::uint64_t refused_documents = 0; ///< older, torn, invalid
    std::uint64_t refused_lists = 0;     ///< older, empty, invalid
};

/// Reads and watches the platform. Every call comes from the thread that runs
/// the io_context, which also calls the handlers.
class platform
{
public:
    /// Errors: settings_invalid when settings.platform is absent or its
    /// address is not an IP number.
    static core::result<std::unique_ptr<platform>>
    create(boost::asio::io_context& context,
           const config::settings& settings,
           platform_handlers handlers);

    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    /// Starts or ends the waiting watches of the index and of the list.
    void watch(bool wanted);

    /// Reads index and list once, without waiting, if nothing is being read.
    void read_once();

    /// Raises the newest versions accepted from elsewhere: the watches ask
    /// only for newer ones. Unchanged parts are taken from `current` instead
    /// of the platform.
    void set_document(const published_document& current);
    void set_list_version(std::uint64_t version);

    /// Ends all reads; no handler is called afterwards.
    void close();

    const platform_counters& counters() const;

private:
    struct state;
    explicit platform(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::net
