/// The commands of medlarctl. docs/COMMANDS.md holds the same table.
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
    negative = 1, ///< invalid, differs, refused or not ready
    usage = 2,
    failed = 3 ///< a file or the network
};

/// What the commands reach outside the process.
struct command_environment
{
    std::istream& input;
    std::ostream& output;
    std::ostream& messages;

    /// GET /status of an admin listener: the body of the answer.
    std::function<core::result<std::string>(const endpoint&,
                                            std::chrono::milliseconds)>
        read_status;
};

/// Runs one command; `arguments` are those after the program's name.
exit_status run_command(const std::vector<std::string>& arguments,
                        const command_environment& environment);

} // namespace medlarbarrow::config
