#include <gtest/gtest.h>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

using namespace medlarbarrow;
using nlohmann::json;

namespace
{

// Valid settings without optional members.
json minimal_settings()
{
    const auto endpoint = [](int port)
    {
        return json{{"address", "127.0.0.1"}, {"port", port}};
    };
    return {{"name", "entry-1"},          {"data_centre", "suva"},
            {"region", "viti-levu"},      {"callers", endpoint(8080)},
            {"peers", endpoint(7001)},    {"admin", endpoint(9100)},
            {"platform", endpoint(6000)}, {"fleet_secret_file", "secret"}};
}

std::string problems_in(const json& source)
{
    const auto parsed = config::parse_settings(source.dump());
    std::string text;
    if (const auto* failure = std::get_if<config::problems>(&parsed))
    {
        for (const config::problem& fault : failure->items)
        {
            text += fault.path + ": " + fault.message + "\n";
        }
    }
    return text;
}

} // namespace

/// Given valid settings of one instance.
class settings_of_an_instance : public testing::Test
{
protected:
    json source = minimal_settings();

    // Expects `problem` in the reported problems and restores the settings.
    void expect_problem(const std::string& problem)
    {
        const std::string reported = problems_in(this->source);
        EXPECT_NE(reported.find(problem), std::string::npos) << problem << "\n"
                                                             << reported;
        this->source = minimal_settings();
    }
};

// Guards against defaults that differ from docs/CONFIGURATION.md.
TEST_F(settings_of_an_instance, are_read_with_their_defaults)
{
    ASSERT_EQ(problems_in(this->source), "");
    const auto parsed = std::get<config::settings>(
        config::parse_settings("// entry\n" + this->source.dump()));
    EXPECT_EQ(parsed.name, "entry-1");
    EXPECT_EQ(parsed.platform->port, 6000);
    EXPECT_EQ(parsed.bounds.max_connections, 4096U);
    EXPECT_EQ(parsed.bounds.idle_timeout, std::chrono::minutes(1));
    EXPECT_EQ(parsed.shutdown_limit, std::chrono::seconds(30));
    EXPECT_EQ(parsed.log_level, "info");
    EXPECT_FALSE(parsed.caller_tls);
}

// Guards against an optional member that is rejected or not read.
TEST_F(settings_of_an_instance, may_set_every_member)
{
    this->source["bounds"] = {
        {"max_connections", 10},  {"max_header_bytes", 2048},
        {"buffer_bytes", 8192},   {"max_arriving_bytes", 2097152},
        {"idle_timeout_ms", 500}, {"header_timeout_ms", 400}};
    this->source["caller_tls"] = {{"certificate_file", "c"}, {"key_file", "k"}};
    this->source["peer_tls"] = {
        {"certificate_file", "c"}, {"key_file", "k"}, {"authority_file", "a"}};
    this->source["seeds"] = {{{"address", "::1"}, {"port", 7002}}};
    this->source["log_level"] = "debug";
    this->source["shutdown_limit_ms"] = 0;
    ASSERT_EQ(problems_in(this->source), "");
    const auto parsed =
        std::get<config::settings>(config::parse_settings(this->source.dump()));
    EXPECT_EQ(parsed.bounds.buffer_bytes, 8192U);
    EXPECT_EQ(parsed.bounds.max_arriving_bytes, 2097152U);
    EXPECT_EQ(parsed.bounds.header_timeout, std::chrono::milliseconds(400));
    EXPECT_EQ(parsed.peer_tls->authority_file, "a");
    EXPECT_EQ(parsed.seeds.at(0).address, "::1");
    EXPECT_EQ(parsed.log_level, "debug");
}

// Guards against an instance that starts with a misspelt or invalid setting.
TEST_F(settings_of_an_instance, are_rejected_with_the_path_of_each_problem)
{
    this->source["colour"] = 1;
    this->expect_problem("/colour: unknown member; accepted are name, ");
    this->source.erase("name");
    this->expect_problem("/name: the member is required");
    this->source["admin"]["port"] = 70000;
    this->expect_problem(
        "/admin/port: expected a whole number from 0 to 65535");
    this->source["platform"]["port"] = 0;
    this->expect_problem("/platform/port: expected a whole number from 1");
    this->source["callers"]["address"] = "localhost";
    this->expect_problem("/callers/address: expected an IPv4 or IPv6 address");
    this->source["log_level"] = "loud";
    this->expect_problem("/log_level: expected one of debug, info, warning");
    this->source["bounds"]["idle_timeout_ms"] = "1s";
    this->expect_problem("/bounds/idle_timeout_ms: expected a whole number");
    this->source["document_file"] = "document.json";
    this->expect_problem(": exactly one of platform and document_file");
    this->source.erase("platform");
    this->expect_problem(": exactly one of platform and document_file");
    this->source.erase("fleet_secret_file");
    this->expect_problem("/fleet_secret_file: the member is required");
    this->source["peers"] = this->source["admin"];
    this->expect_problem(": callers, peers and admin need different endpoints");
    this->source["peer_tls"] = {{"certificate_file", "c"}, {"key_file", "k"}};
    this->expect_problem("/peer_tls/authority_file: the member is required");
}

// Guards against a missing file that is reported as invalid settings.
TEST(a_settings_file, that_cannot_be_read_is_reported)
{
    const auto parsed = config::load_settings("no/such/file");
    EXPECT_EQ(std::get<config::problems>(parsed).code,
              core::result_code::file_unreadable);
}

// Guards against a crash at start when the settings file is damaged.
TEST(a_settings_file, with_changed_bytes_gives_a_value_or_problems)
{
    EXPECT_TRUE(rc::check(
        []
        {
            std::string text = minimal_settings().dump();
            const int change_count = *rc::gen::inRange(1, 5);
            for (int change = 0; change < change_count; ++change)
            {
                const auto position =
                    *rc::gen::inRange<std::size_t>(0, text.size());
                text[position] = *rc::gen::arbitrary<char>();
            }
            const auto parsed = config::parse_settings(text);
            const auto* failure = std::get_if<config::problems>(&parsed);
            RC_ASSERT(failure == nullptr || !failure->items.empty());
        }));
}
