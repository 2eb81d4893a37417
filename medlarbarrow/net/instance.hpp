/// One running instance: the proxy thread (callers, backend servers,
/// decisions) and the control thread (peers, platform, operators), joined by
/// bounded mailboxes.
#pragma once

#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/types.hpp>
#include <memory>
#include <string>

namespace medlarbarrow::net
{

/// Version of the program, as in /status.
inline constexpr const char* program_version = "0.1.0";

class instance
{
public:
    /// Opens all listeners. Errors: settings_invalid, file_unreadable,
    /// document_invalid (document_file), or those of the system.
    static core::result<std::unique_ptr<instance>>
    create(const config::settings& settings);

    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves until SIGTERM or SIGINT and the end of all requests, a second
    /// signal, or the shutdown limit. True when every request has finished.
    bool run();

private:
    struct state;
    explicit instance(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
