#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <sstream>

using namespace medlarbarrow;

namespace
{

std::string read_file(const std::filesystem::path& path)
{
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

core::document read_example(const std::string& name)
{
    const auto parsed = config::parse_document(
        read_file(std::filesystem::path(SOURCE_DIR) / "examples" / name));
    return std::get<core::document>(parsed);
}

std::size_t count_servers(const core::document& document,
                          const std::string& service)
{
    for (const core::service& candidate : document.services)
    {
        if (candidate.name == service)
        {
            return candidate.servers.size();
        }
    }
    return 0;
}

} // namespace

// Guards against examples that this release rejects.
TEST(the_examples, are_all_valid)
{
    int files = 0;
    for (const auto& entry :
         std::filesystem::directory_iterator(SOURCE_DIR "/examples"))
    {
        const std::string name = entry.path().filename().string();
        const std::string text = read_file(entry.path());
        if (name.ends_with(".settings.json"))
        {
            EXPECT_EQ(config::parse_settings(text).index(), 0U) << name;
        }
        else
        {
            EXPECT_EQ(config::parse_document(text).index(), 0U) << name;
        }
        ++files;
    }
    EXPECT_GE(files, 5);
}

// Guards against examples whose numbers of servers and accounts differ from
// section 1 of docs/design.md.
TEST(the_examples, have_the_sizes_of_both_deployments)
{
    const core::document luoi_xanh = read_example("luoi-xanh.json");
    EXPECT_EQ(count_servers(luoi_xanh, "specbook"), 25U);
    EXPECT_EQ(count_servers(luoi_xanh, "orderdesk"), 6U);
    EXPECT_EQ(luoi_xanh.accounts.size(), 8U);
    const core::document reefwater = read_example("reefwater.json");
    EXPECT_EQ(count_servers(reefwater, "logbook"), 20U);
    EXPECT_EQ(count_servers(reefwater, "dispatch"), 6U);
    EXPECT_EQ(reefwater.accounts.size(), 8U);
}

// Guards against a result code for callers that the runbook does not explain.
TEST(the_runbook, explains_every_result_code_of_callers)
{
    const std::string page = read_file(SOURCE_DIR "/docs/RUNBOOK.md");
    int codes = 0;
    for (int number = 100; number < 500; ++number)
    {
        const std::string name =
            core::name_of(static_cast<core::result_code>(number));
        if (name != "unknown")
        {
            EXPECT_NE(page.find("`" + name + "`"), std::string::npos) << name;
            ++codes;
        }
    }
    EXPECT_GE(codes, 28);
}

// Guards against a step of the runbook that uses a command which does not
// exist.
TEST(the_runbook, uses_only_documented_commands)
{
    const std::string page = read_file(SOURCE_DIR "/docs/RUNBOOK.md");
    const std::string commands = read_file(SOURCE_DIR "/docs/COMMANDS.md");
    const std::string program = "medlarctl ";
    int names = 0;
    for (std::size_t position = 0;
         (position = page.find(program, position)) != std::string::npos;
         ++names)
    {
        position += program.size();
        const std::string name = page.substr(
            position, page.find_first_of(" `", position) - position);
        EXPECT_NE(commands.find("| `" + name), std::string::npos) << name;
    }
    EXPECT_GT(names, 20);
}
