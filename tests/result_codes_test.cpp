#include <fmt/format.h>
#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/core/result_codes.hpp>
#include <sstream>

using namespace medlarbarrow;

namespace
{

/// The published table of result codes.
std::string read_published_table()
{
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/RESULT-CODES.md");
    std::stringstream contents;
    contents << file.rdbuf();
    return contents.str();
}

} // namespace

// Guards against a code that appears in logs but not in the table that is
// published for operators.
TEST(result_codes, every_code_is_in_the_published_table)
{
    const std::string table = read_published_table();
    int checked_codes = 0;
    for (int value = 0; value < 1000; ++value)
    {
        const auto code = static_cast<core::result_code>(value);
        const std::string name = core::name_of(code);
        if (name == "unknown")
        {
            continue;
        }
        ++checked_codes;
        const std::string row =
            fmt::format("| {} | `{}` | {} |", value, name,
                        core::make_error_code(code).message());
        EXPECT_NE(table.find(row), std::string::npos) << row;
    }
    EXPECT_GT(checked_codes, 40);
}
