#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/core/result_codes.hpp>
#include <sstream>

using namespace medlarbarrow;

namespace
{

std::string read_table()
{
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/RESULT-CODES.md");
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

// Guards against a code that operators meet in a log and find in no table.
TEST(result_codes, every_code_stands_in_the_published_table)
{
    const std::string table = read_table();
    int checked = 0;
    for (int value = 0; value < 1000; ++value)
    {
        const auto code = static_cast<core::result_code>(value);
        const std::string name = core::name_of(code);
        if (name == "unknown")
        {
            continue;
        }
        ++checked;
        const std::string row =
            fmt::format("| {} | `{}` | {} |", value, name,
                        core::make_error_code(code).message());
        EXPECT_NE(table.find(row), std::string::npos) << row;
    }
    EXPECT_GT(checked, 40);
}
