/// Test double of the platform: the configuration service and the instance
/// list.
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

/// Faults that a test can switch on.
struct platform_faults
{
    bool away = false;        ///< closes every connection without a response
    bool stale = false;       ///< hides everything published since it was set
    bool old_version = false; ///< returns the version before the newest one
    bool torn = false;        ///< returns parts that do not match the index
    bool empty_list = false;  ///< returns a list without instances
    std::chrono::milliseconds list_lag{0}; ///< delay until a new list is served
};

struct platform_counts
{
    std::uint64_t reads = 0;   ///< GET requests; a long poll counts as one
    std::uint64_t watches = 0; ///< long polls received
    std::uint64_t waiting = 0; ///< long polls that wait at the moment
};

/// Serves HTTP on the thread of the io_context. Call every function on that
/// thread.
///
/// The platform's own paths are GET /v1/config/<name>,
/// /v1/config/index?after=&wait_ms= and /v1/instances?after=&wait_ms=. The
/// test double adds POST /control/value/<name> (body: the value), POST
/// /control/instances (body: the list), POST /control/faults (body: the
/// members of platform_faults as JSON) and GET /control/counts.
class platform
{
public:
    /// Fails with the system error if it cannot listen on the address.
    static core::result<std::unique_ptr<platform>>
    create(boost::asio::io_context& context, const config::endpoint& listen);

    ~platform();
    platform(const platform&) = delete;
    platform& operator=(const platform&) = delete;

    /// Publishes a document: first all parts, then the index.
    void publish(const core::document& source);

    /// Sets one value. Setting "index" publishes the version that the index
    /// states.
    void set_value(const std::string& name, std::string text);

    /// Publishes a list of instances without checking its version.
    void set_list(const core::instance_list& list);

    /// Reads the values and the list ("instances") from the files of a folder,
    /// the index last, and reads each file again when it changes.
    void follow_folder(const std::string& path);

    void set_faults(const platform_faults& faults);

    const platform_counts& counts() const;
    std::uint16_t port() const;

private:
    struct state;
    explicit platform(std::shared_ptr<state> initial_state);
    std::shared_ptr<state> self;
};

} // namespace medlarbarrow::standin
