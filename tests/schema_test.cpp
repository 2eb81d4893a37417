#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/config/document.hpp>
#include <nlohmann/json.hpp>

using namespace medlarbarrow;
using nlohmann::json;

namespace
{

json schema()
{
    std::ifstream file(SOURCE_DIR "/docs/document.schema.json");
    return json::parse(file);
}

// A document in which each object of the schema occurs at index 0.
json sample()
{
    return json::parse(R"({
      "version": 1,
      "fleet": {"max_instances": 4},
      "data_centres": [{"name": "suva", "region": "viti-levu"}],
      "services": [{"name": "logbook", "policy": {}, "servers": [
        {"name": "l1", "address": "127.0.0.1", "port": 9001,
         "data_centre": "suva"}]}],
      "routes": [{"name": "salinity", "path_prefix": "/salinity",
                  "service": "logbook"}],
      "accounts": [{"name": "shop", "rate_per_second": 5, "burst": 5, "keys": [
        {"sha256":
"aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"}]}]
    })");
}

// Messages of the problems at exactly this path.
std::string problems_at(const json& document, const json::json_pointer& path)
{
    const auto read = config::parse_document(document.dump());
    std::string text;
    if (const auto* found = std::get_if<config::problems>(&read))
    {
        for (const config::problem& item : found->items)
        {
            text += item.path == path.to_string() ? item.message : "";
        }
    }
    return text;
}

json with(const json::json_pointer& path, const json& value)
{
    json document = sample();
    document[path] = value;
    return document;
}

/// Walks the schema and the sample together.
class schema_walk
{
public:
    void object(const json& rules, const json::json_pointer& path)
    {
        this->members(rules, path);
        for (const auto& [name, rule] : rules["properties"].items())
        {
            this->required(rules["required"], path, name);
            this->value(rule, path / name);
        }
    }

    int checks = 0;

private:
    // The parser names its members when it meets an unknown one.
    void members(const json& rules, const json::json_pointer& path)
    {
        const auto unknown = path / "colour";
        std::string message = problems_at(with(unknown, 1), unknown);
        const std::string start = "unknown member; accepted are ";
        ASSERT_TRUE(message.starts_with(start)) << unknown.to_string();
        std::set<std::string> accepted;
        std::istringstream names(message.substr(start.size()));
        for (std::string name; names >> name;)
        {
            accepted.insert(name.substr(0, name.find(',')));
        }
        std::set<std::string> described;
        for (const auto& [name, rule] : rules["properties"].items())
        {
            described.insert(name);
        }
        EXPECT_EQ(accepted, described) << path.to_string();
        EXPECT_EQ(rules["additionalProperties"], false) << path.to_string();
        ++this->checks;
    }

    void required(const json& names,
                  const json::json_pointer& path,
                  const std::string& name)
    {
        json document = sample();
        document[path].erase(name);
        const bool described =
            std::find(names.begin(), names.end(), name) != names.end();
        const std::string message = problems_at(document, path / name);
        EXPECT_EQ(message == "the member is required", described)
            << (path / name).to_string();
        ++this->checks;
    }

    void value(const json& rule, const json::json_pointer& path)
    {
        if (rule["type"] == "object")
        {
            this->object(rule, path);
        }
        else if (rule["type"] == "array")
        {
            this->accepts(path, json::array(), true);
            this->accepts(path,
                          std::vector<json>(rule["maxItems"].get<int>() + 1),
                          false);
            if (rule["items"]["type"] == "object")
            {
                this->object(rule["items"], path / 0);
            }
        }
        else if (rule.contains("minimum"))
        {
            this->accepts(path, rule["minimum"], true);
            this->accepts(path, rule["maximum"], true);
            this->accepts(path, rule["minimum"].get<std::int64_t>() - 1, false);
            this->accepts(path, rule["maximum"].get<std::int64_t>() + 1, false);
            this->accepts(path, 1.5,
                          rule["type"] == "number" &&
                              rule["maximum"].get<double>() > 1);
        }
        else if (rule.contains("enum"))
        {
            this->enumeration(rule["enum"], path);
        }
        this->accepts(path, nullptr, false);
    }

    void enumeration(const json& names, const json::json_pointer& path)
    {
        std::string listed;
        for (const json& name : names)
        {
            this->accepts(path, name, true);
            listed += (listed.empty() ? "" : ", ") + name.get<std::string>();
        }
        EXPECT_EQ(problems_at(with(path, "other"), path),
                  "expected one of " + listed);
    }

    void accepts(const json::json_pointer& path, const json& value, bool wanted)
    {
        // The smallest burst contradicts a positive rate; both are valid by
        // themselves.
        json document = with(path, value);
        if (path.back() == "burst" && value == 0)
        {
            document["/accounts/0/rate_per_second"_json_pointer] = 0;
        }
        const std::string message = problems_at(document, path);
        EXPECT_EQ(message.empty(), wanted)
            << path.to_string() << ": " << message;
        ++this->checks;
    }
};

} // namespace

// Guards against a schema whose members, ranges or names differ from what the
// parser accepts.
TEST(the_schema, agrees_with_the_parser)
{
    schema_walk walk;
    walk.object(schema(), json::json_pointer());
    EXPECT_GT(walk.checks, 150);
}

// Guards against defaults that differ from those of the parser.
TEST(the_schema, states_the_defaults_of_the_parser)
{
    const json rules = schema();
    const auto read = config::parse_document(sample().dump());
    const json written =
        json::parse(config::format_document(std::get<core::document>(read)));
    const json flat = rules.flatten();
    int defaults = 0;
    for (const auto& [pointer, value] : flat.items())
    {
        const json::json_pointer at(pointer);
        if (at.back() != "default")
        {
            continue;
        }
        // The path of the sample: without "properties", items are index 0.
        std::string path = at.parent_pointer().to_string();
        for (std::size_t found = 0;
             (found = path.find("/properties")) != std::string::npos;)
        {
            path.erase(found, 11);
        }
        for (std::size_t found = 0;
             (found = path.find("/items")) != std::string::npos;)
        {
            path.replace(found, 6, "/0");
        }
        const json::json_pointer member(path);
        // Members at their default may be left out of the written form.
        if (written.contains(member))
        {
            EXPECT_EQ(written[member], value) << path;
            ++defaults;
        }
    }
    EXPECT_GE(defaults, 11);
}
