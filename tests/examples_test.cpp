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
    const auto read = config::parse_document(
        read_file(std::filesystem::path(SOURCE_DIR) / "examples" / name));
    return std::get<core::document>(read);
}

std::size_t servers_of(const core::document& source, const std::string& service)
{
    for (const core::service& item : source.services)
    {
        if (item.name == service)
        {
            return item.servers.size();
        }
    }
    return 0;
}

} // namespace

// Guards against examples that the present release refuses.
TEST(the_examples, are_all_valid)
{
    int files = 0;
    for (const auto& item :
         std::filesystem::directory_iterator(SOURCE_DIR "/examples"))
    {
        const std::string name = item.path().filename().string();
        const std::string text = read_file(item.path());
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

// Guards against examples that drift from section 1 of the design.
TEST(the_examples, have_the_shape_of_both_deployments)
{
    const core::document nets = read_example("luoi-xanh.json");
    EXPECT_EQ(servers_of(nets, "specbook"), 25U);
    EXPECT_EQ(servers_of(nets, "orderdesk"), 6U);
    EXPECT_EQ(nets.accounts.size(), 8U);
    const core::document reefs = read_example("reefwater.json");
    EXPECT_EQ(servers_of(reefs, "logbook"), 20U);
    EXPECT_EQ(servers_of(reefs, "dispatch"), 6U);
    EXPECT_EQ(reefs.accounts.size(), 8U);
}

// Guards against refusals that the runbook does not explain.
TEST(the_runbook, names_every_code_that_callers_see)
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

// Guards against a step that names a command that does not exist.
TEST(the_runbook, names_only_documented_commands)
{
    const std::string page = read_file(SOURCE_DIR "/docs/RUNBOOK.md");
    const std::string commands = read_file(SOURCE_DIR "/docs/COMMANDS.md");
    const std::string program = "medlarctl ";
    int found = 0;
    for (std::size_t at = 0; (at = page.find(program, at)) != std::string::npos;
         ++found)
    {
        at += program.size();
        const std::string name =
            page.substr(at, page.find_first_of(" `", at) - at);
        EXPECT_NE(commands.find("| `" + name), std::string::npos) << name;
    }
    EXPECT_GT(found, 20);
}
