#include <gtest/gtest.h>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <nlohmann/json.hpp>

namespace
{

using namespace medlarbarrow;
using nlohmann::json;

json small_document()
{
    return json::parse(R"({
      "version": 3,
      "fleet": {"max_instances": 4},
      "data_centres": [{"name": "suva", "region": "viti-levu"}],
      "services": [{"name": "logbook", "servers": [
        {"name": "l1", "address": "127.0.0.1", "port": 9001,
         "data_centre": "suva", "slots": 2, "connections": 330}]}],
      "routes": [{"name": "salinity", "path_prefix": "/salinity",
                  "methods": ["GET"], "service": "logbook",
                  "accounts": ["shop"]}],
      "accounts": [{"name": "shop", "rate_per_second": 5, "keys": [
        {"sha256": "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}]
    })");
}

std::string problems_of(const json& document)
{
    const auto read = config::parse_document(document.dump());
    std::string text;
    if (const auto* found = std::get_if<config::problems>(&read))
    {
        for (const config::problem& item : found->items)
        {
            text += item.path + ": " + item.message + "\n";
        }
    }
    return text;
}

struct a_small_document : testing::Test
{
    json source = small_document();
};

TEST_F(a_small_document, is_read_with_its_defaults)
{
    EXPECT_EQ(problems_of(source), "");
    const auto read =
        std::get<core::document>(config::parse_document(source.dump()));
    EXPECT_EQ(read.version, 3U);
    EXPECT_EQ(read.routes.at(0).deadline, std::chrono::milliseconds(5000));
    EXPECT_EQ(read.accounts.at(0).burst, 5.0);
}

TEST_F(a_small_document, is_written_and_read_back_unchanged)
{
    const auto read =
        std::get<core::document>(config::parse_document(source.dump()));
    const std::string text = config::format_document(read);
    const auto again = config::parse_document(text);
    EXPECT_EQ(config::format_document(std::get<core::document>(again)), text);
}

TEST_F(a_small_document, is_split_and_joined_unchanged)
{
    const auto read =
        std::get<core::document>(config::parse_document(source.dump()));
    const auto values = config::split_document(read);
    const auto index =
        std::get<config::document_index>(config::parse_index(values[0].text));
    std::vector<std::string> parts;
    for (std::size_t number = 1; number < values.size(); ++number)
    {
        EXPECT_EQ(values[number].name, index.part_names[number - 1]);
        parts.push_back(values[number].text);
    }
    const auto joined =
        std::get<core::document>(config::join_document(index, parts));
    EXPECT_EQ(config::format_document(joined), config::format_document(read));
}

} // namespace
