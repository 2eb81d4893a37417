/// The commands of medlarctl. docs/COMMANDS.md documents them.
#pragma once

#include <chrono>
#include <functional>
#include <iosfwd>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/types.hpp>
#include <string>
#include <vector>

namespace medlarbarrow::config
{

/// Exit statuses of medlarctl.
enum class exit_status
{
    ok = 0,
    negative = 1, ///< the result is: invalid, different, refused or not ready
    usage = 2,    ///< the command line is wrong
    failed = 3    ///< a file or the network failed
};

/// Streams and network access of the commands; tests replace them.
struct command_environment
{
    std::istream& input;
    std::ostream& output;
    std::ostream& messages;

    /// Sends GET /status to an admin listener and returns the body of the
    /// response.
    std::function<core::result<std::string>(const endpoint&,
                                            std::chrono::milliseconds)>
        read_status;
};

/// Runs one command; `arguments` are those after the program name.
exit_status run_command(const std::vector<std::string>& arguments,
                        const command_environment& environment);

} // namespace medlarbarrow::config
