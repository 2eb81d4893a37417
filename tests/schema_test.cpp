#include <fstream>
#include <gtest/gtest.h>
#include <medlarbarrow/config/document.hpp>
#include <nlohmann/json.hpp>

using namespace medlarbarrow;
using nlohmann::json;

namespace
{

// The published schema of the document.
json schema()
{
    std::ifstream file(SOURCE_DIR "/docs/document.schema.json");
    return json::parse(file);
}

// A document that contains each kind of object of the schema at index 0.
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

// The concatenated messages of the problems with exactly this path.
std::string problems_at(const json& document, const json::json_pointer& path)
{
    const auto parsed = config::parse_document(document.dump());
    std::string text;
    if (const auto* failure = std::get_if<config::problems>(&parsed))
    {
        for (const config::problem& fault : failure->items)
        {
            text += fault.path == path.to_string() ? fault.message : "";
        }
    }
    return text;
}

// The sample with another value at `path`.
json sample_with(const json::json_pointer& path, const json& value)
{
    json document = sample();
    document[path] = value;
    return document;
}

/// Compares each object and member of the schema with the parser, by changing
/// the sample at the same path.
class schema_walk
{
public:
    void check_object(const json& schema_object, const json::json_pointer& path)
    {
        this->check_members(schema_object, path);
        for (const auto& [name, member_schema] :
             schema_object["properties"].items())
        {
            this->check_required(schema_object["required"], path, name);
            this->check_value(member_schema, path / name);
        }
    }

    int checks = 0;

private:
    // Compares the members; the parser lists those it accepts when it reports
    // an unknown one.
    void check_members(const json& schema_object,
                       const json::json_pointer& path)
    {
        const auto unknown = path / "colour";
        std::string message = problems_at(sample_with(unknown, 1), unknown);
        const std::string prefix = "unknown member; accepted are ";
        ASSERT_TRUE(message.starts_with(prefix)) << unknown.to_string();
        std::set<std::string> accepted;
        std::istringstream names(message.substr(prefix.size()));
        for (std::string name; names >> name;)
        {
            accepted.insert(name.substr(0, name.find(',')));
        }
        std::set<std::string> described;
        for (const auto& [name, member_schema] :
             schema_object["properties"].items())
        {
            described.insert(name);
        }
        EXPECT_EQ(accepted, described) << path.to_string();
        EXPECT_EQ(schema_object["additionalProperties"], false)
            << path.to_string();
        ++this->checks;
    }

    // Checks that the parser requires a member exactly if the schema does.
    void check_required(const json& names,
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

    // Checks type, range and size of a value.
    void check_value(const json& member_schema, const json::json_pointer& path)
    {
        if (member_schema["type"] == "object")
        {
            this->check_object(member_schema, path);
        }
        else if (member_schema["type"] == "array")
        {
            this->check_accepted(path, json::array(), true);
            this->check_accepted(
                path,
                std::vector<json>(member_schema["maxItems"].get<int>() + 1),
                false);
            if (member_schema["items"]["type"] == "object")
            {
                this->check_object(member_schema["items"], path / 0);
            }
        }
        else if (member_schema.contains("minimum"))
        {
            this->check_accepted(path, member_schema["minimum"], true);
            this->check_accepted(path, member_schema["maximum"], true);
            this->check_accepted(
                path, member_schema["minimum"].get<std::int64_t>() - 1, false);
            this->check_accepted(
                path, member_schema["maximum"].get<std::int64_t>() + 1, false);
            this->check_accepted(path, 1.5,
                                 member_schema["type"] == "number" &&
                                     member_schema["maximum"].get<double>() >
                                         1);
        }
        else if (member_schema.contains("enum"))
        {
            this->check_enumeration(member_schema["enum"], path);
        }
        this->check_accepted(path, nullptr, false);
    }

    // Checks that the parser accepts exactly these names.
    void check_enumeration(const json& names, const json::json_pointer& path)
    {
        std::string listed;
        for (const json& name : names)
        {
            this->check_accepted(path, name, true);
            listed += (listed.empty() ? "" : ", ") + name.get<std::string>();
        }
        EXPECT_EQ(problems_at(sample_with(path, "other"), path),
                  "expected one of " + listed);
    }

    void check_accepted(const json::json_pointer& path,
                        const json& value,
                        bool expected)
    {
        // The minimum burst 0 is only valid with a rate of 0.
        json document = sample_with(path, value);
        if (path.back() == "burst" && value == 0)
        {
            document["/accounts/0/rate_per_second"_json_pointer] = 0;
        }
        const std::string message = problems_at(document, path);
        EXPECT_EQ(message.empty(), expected)
            << path.to_string() << ": " << message;
        ++this->checks;
    }
};

} // namespace

// Guards against a schema whose members, ranges or enumerator names differ from
// those that the parser accepts.
TEST(the_schema, agrees_with_the_parser)
{
    schema_walk walk;
    walk.check_object(schema(), json::json_pointer());
    EXPECT_GT(walk.checks, 150);
}

// Guards against a schema whose defaults differ from those of the parser.
TEST(the_schema, states_the_defaults_of_the_parser)
{
    const json document_schema = schema();
    const auto parsed = config::parse_document(sample().dump());
    const json formatted =
        json::parse(config::format_document(std::get<core::document>(parsed)));
    const json flat_schema = document_schema.flatten();
    int defaults = 0;
    for (const auto& [pointer, value] : flat_schema.items())
    {
        const json::json_pointer default_pointer(pointer);
        if (default_pointer.back() != "default")
        {
            continue;
        }
        // The path in the sample: omits "properties" and replaces "items" by
        // index 0.
        std::string path = default_pointer.parent_pointer().to_string();
        for (std::size_t position = 0;
             (position = path.find("/properties")) != std::string::npos;)
        {
            path.erase(position, 11);
        }
        for (std::size_t position = 0;
             (position = path.find("/items")) != std::string::npos;)
        {
            path.replace(position, 6, "/0");
        }
        const json::json_pointer member(path);
        // A formatted document may omit members with their default.
        if (formatted.contains(member))
        {
            EXPECT_EQ(formatted[member], value) << path;
            ++defaults;
        }
    }
    EXPECT_GE(defaults, 11);
}
