/// Stand-in of the platform: configuration service and instance list.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <string>

namespace medlarbarrow::standin
{

/// Faults that the stand-in can be told to show.
struct platform_faults
{
    bool away = false;        ///< ends every connection without an answer
    bool stale = false;       ///< shows nothing published since this was set
    bool old_version = false; ///< answers with the version before the newest
    bool torn = false;        ///< the parts do not match the index
    bool empty_list = false;  ///< answers with a list without instances
    std::chrono::milliseconds list_lag{0}; ///< from a change to its showing
};

struct platform_counts
{
    std::uint64_t reads = 0;   ///< requests, a waiting watch counts as one
    std::uint64_t watches = 0; ///< requests that waited
    std::uint64_t waiting = 0; ///< watches that wait now
};

/// Serves HTTP on the thread of the io_context; every call comes from there.
///
/// GET /v1/config/<name>, /v1/config/index?after=&wait_ms= and
/// /v1/instances?after=&wait_ms= are the platform's. Only the stand-in has
/// POST /control/value/<name> (body: the value), POST /control/instances
/// (body: the list), POST /control/faults (body: the members of
/// platform_faults as JSON) and GET /control/counts.
class platform
{
public:
    /// Error: the system's error of listening.
    static core::result<std::unique_ptr<platform>>
    create(boost::asio::io_context& context, const config::endpoint& listen);

    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    /// Publishes a document: all parts, then the index.
    void publish(const core::document& source);

    /// Sets one value; the name "index" publishes the version it states.
    void set_value(const std::string& name, std::string text);

    /// Publishes a list of instances; its version is not checked.
    void set_list(const core::instance_list& list);

    /// Takes the values and the list ("instances") from the files of a folder,
    /// the index last, and again whenever a file changes.
    void follow_folder(const std::string& path);

    void set_faults(const platform_faults& faults);

    const platform_counts& counts() const;
    std::uint16_t port() const;

private:
    struct state;
    explicit platform(std::shared_ptr<state> initial);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
