/// Command-line tool for operators; docs/COMMANDS.md describes it.
#include <iostream>
#include <medlarbarrow/config/commands.hpp>
#include <medlarbarrow/net/admin.hpp>

int main(int argc, char** argv)
{
    using namespace medlarbarrow;
    const config::command_environment environment{std::cin, std::cout,
                                                  std::cerr, net::fetch_status};
    const config::exit_status status =
        config::run_command({argv + 1, argv + argc}, environment);
    std::cout.flush();
    return std::cout ? static_cast<int>(status)
                     : static_cast<int>(config::exit_status::failed);
}
