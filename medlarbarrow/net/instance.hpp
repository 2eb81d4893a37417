/// One running instance. The proxy thread serves callers and backend servers
/// and runs the decision logic. The control thread serves peers, the platform
/// and operators. The threads exchange events through bounded mailboxes.
#pragma once

#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/types.hpp>
#include <memory>
#include <string>

namespace medlarbarrow::net
{

/// Version of the program, as reported by /status.
inline constexpr const char* program_version = "0.1.0";

/// Owns the two threads of an instance from start to shutdown.
class instance
{
public:
    /// Opens all listeners. Errors: settings_invalid, file_unreadable,
    /// document_invalid for settings.document_file, or a system error.
    static core::result<std::unique_ptr<instance>>
    create(const config::settings& settings);

    ~instance();
    instance(const instance&) = delete;
    instance& operator=(const instance&) = delete;

    /// Serves requests until shutdown. After SIGTERM or SIGINT, it returns when
    /// all requests have finished, on a second signal, or when the shutdown
    /// limit expires. True if all requests have finished.
    bool run();

private:
    struct state;
    explicit instance(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
