#include <gtest/gtest.h>
#include <medlarbarrow/config/digest.hpp>
#include <medlarbarrow/config/document.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <set>

using namespace medlarbarrow;
using core::result_code;
using nlohmann::json;

namespace
{

const std::string digest_a(64, 'a');
const std::string digest_b(64, 'b');

json small_document()
{
    return {{"version", 3},
            {"fleet", {{"max_instances", 4}}},
            {"data_centres", {{{"name", "suva"}, {"region", "viti-levu"}}}},
            {"services",
             {{{"name", "logbook"},
               {"policy", {{"healthy_floor", 0.6}}},
               {"servers",
                {{{"name", "l1"},
                  {"address", "127.0.0.1"},
                  {"port", 9001},
                  {"data_centre", "suva"},
                  {"slots", 2},
                  {"connections", 330}},
                 {{"name", "l2"},
                  {"address", "127.0.0.1"},
                  {"port", 9002},
                  {"data_centre", "suva"},
                  {"order", "drain"}}}}}}},
            {"routes",
             {{{"name", "salinity"},
               {"path_prefix", "/salinity"},
               {"methods", {"GET", "HEAD"}},
               {"service", "logbook"},
               {"accounts", {"shop"}}},
              {{"name", "guides"},
               {"host", "guides.example"},
               {"path_prefix", "/"},
               {"service", "logbook"},
               {"access", "open"}}}},
            {"accounts",
             {{{"name", "shop"},
               {"rate_per_second", 5},
               {"keys", {{{"sha256", digest_a}}}}},
              {{"name", "hotel"},
               {"rate_per_second", 0.5},
               {"keys", {{{"sha256", digest_b}, {"withdrawn", true}}}}}}}};
}

template <class Value>
std::string problems_of(const config::checked<Value>& read)
{
    std::string text;
    if (const auto* failure = std::get_if<config::problems>(&read))
    {
        for (const config::problem& fault : failure->items)
        {
            text += fault.path + ": " + fault.message + "\n";
        }
    }
    return text;
}

std::string problems_in(const json& document)
{
    return problems_of(config::parse_document(document.dump()));
}

template <class Value>
std::error_code code_of(const config::checked<Value>& read)
{
    const auto* failure = std::get_if<config::problems>(&read);
    return failure == nullptr ? std::error_code() : failure->code;
}

core::document parsed(const json& document)
{
    return std::get<core::document>(config::parse_document(document.dump()));
}

// The texts of the values that a document is split into.
std::vector<std::string> split_texts(const core::document& source)
{
    std::vector<std::string> texts;
    for (const config::document_value& value : config::split_document(source))
    {
        texts.push_back(value.text);
    }
    return texts;
}

// Joins values as an instance does: parses the index first, then the parts.
config::checked<core::document> joined(const std::vector<std::string>& values)
{
    auto index = config::parse_index(values.front());
    if (auto* failure = std::get_if<config::problems>(&index))
    {
        return *failure;
    }
    return config::join_document(std::get<config::document_index>(index),
                                 {values.begin() + 1, values.end()});
}

// Sorts the sections as join_document() does.
core::document sorted(core::document source)
{
    const auto by_name = [](const auto& left, const auto& right)
    {
        return left.name < right.name;
    };
    std::sort(source.services.begin(), source.services.end(), by_name);
    std::sort(source.routes.begin(), source.routes.end(), by_name);
    std::sort(source.accounts.begin(), source.accounts.end(), by_name);
    return source;
}

std::string unique_name(const char* kind, int number)
{
    return kind + std::to_string(number);
}

// A valid document whose members have arbitrary values in their ranges.
core::document arbitrary_document()
{
    const auto below = [](int limit)
    {
        return *rc::gen::inRange(0, limit);
    };
    core::document document;
    document.version = *rc::gen::inRange<std::uint64_t>(1, 1ULL << 53U);
    document.fleet.max_instances = 1 + below(1000);
    document.fleet.retry_fraction = below(101) / 100.0;
    document.data_centres = {{"suva", "viti-levu"}, {"nadi", "viti-levu"}};
    for (int number = 0; number < 1 + below(4); ++number)
    {
        core::service& service = document.services.emplace_back();
        service.name = unique_name("s", number);
        service.policy.healthy_floor = below(101) / 100.0;
        for (int server = 0; server < below(5); ++server)
        {
            core::backend_server& backend = service.servers.emplace_back();
            backend.name = unique_name("b", server);
            backend.address = "10.0.0.1";
            backend.port = static_cast<std::uint16_t>(1 + server);
            backend.data_centre = below(2) == 0 ? "suva" : "nadi";
            backend.slots = 1 + below(9);
            backend.command = static_cast<core::operator_command>(below(5));
        }
    }
    for (int number = 0; number < below(30); ++number)
    {
        core::client_account& account = document.accounts.emplace_back();
        account.name = unique_name("a", number);
        account.rate_per_second = below(100'000) / 7.0;
        account.burst = 1 + below(1000) / 3.0;
        account.keys.resize(below(3));
        for (std::size_t key = 0; key < account.keys.size(); ++key)
        {
            account.keys[key].digest =
                config::sha256(account.name + std::to_string(key));
            account.keys[key].withdrawn = below(2) == 0;
        }
    }
    for (int number = 0; number < below(30); ++number)
    {
        core::route& route = document.routes.emplace_back();
        route.name = unique_name("r", number);
        route.path_prefix = "/" + route.name;
        route.host = below(2) == 0 ? "" : "example.fj";
        route.service = document.services[below(document.services.size())].name;
        route.repeatable = below(2) == 0;
        route.priority = static_cast<core::route_priority>(below(3));
        route.deadline = std::chrono::milliseconds(1 + below(3'600'000));
        if (!document.accounts.empty() && below(2) == 0)
        {
            route.accounts = {document.accounts.front().name};
        }
    }
    return document;
}

/// A value that makes the small document invalid.
struct rejection
{
    const char* pointer; ///< member that gets the value
    json value;
    const char* problem; ///< path and start of the expected message
};

// Applies one change to the small document.
json changed(const rejection& rejected)
{
    json source = small_document();
    source[json::json_pointer(rejected.pointer)] = rejected.value;
    return source;
}

} // namespace

/// Given a small valid document.
class a_small_document : public testing::Test
{
protected:
    json source = small_document();
};

// Guards against defaults that differ from docs/CONFIGURATION.md.
TEST_F(a_small_document, is_read_with_its_defaults)
{
    ASSERT_EQ(problems_in(this->source), "");
    const core::document read = parsed(this->source);
    EXPECT_EQ(read.version, 3U);
    EXPECT_EQ(read.fleet.clock_skew, std::chrono::milliseconds(2000));
    EXPECT_EQ(read.routes.at(0).deadline, std::chrono::milliseconds(5000));
    EXPECT_EQ(read.routes.at(0).access, core::route_access::keyed);
    EXPECT_EQ(read.services.at(0).servers.at(1).command,
              core::operator_command::drain);
    EXPECT_EQ(read.accounts.at(0).burst, 5.0);
    EXPECT_EQ(read.accounts.at(1).burst, 1.0);
    EXPECT_TRUE(read.accounts.at(1).keys.at(0).withdrawn);
}

TEST_F(a_small_document, may_contain_comments)
{
    const std::string text = "// site\n" + this->source.dump() + "/* end */";
    EXPECT_EQ(problems_of(config::parse_document(text)), "");
}

// Guards against invalid documents that only an instance would detect.
TEST_F(a_small_document, is_rejected_with_the_path_of_each_problem)
{
    const json server = this->source["/services/0/servers/0"_json_pointer];
    const json route = this->source["/routes/0"_json_pointer];
    const std::vector<rejection> cases{
        {"/version", 0, "/version: expected a whole number from 1"},
        {"/version", 3.0, "/version: expected a whole number"},
        {"/version", -1, "/version: expected a whole number"},
        {"/colour", 1,
         "/colour: unknown member; accepted are version, fleet, data_centres, "
         "services, routes, accounts"},
        {"/fleet/max_instances", 0, "/fleet/max_instances: expected a whole"},
        {"/fleet/max_instances", 1e300, "/fleet/max_instances: expected"},
        {"/fleet", json::array(), "/fleet: expected an object, not array"},
        {"/routes", 5, "/routes: expected an array, not number"},
        {"/services/0/policy/healthy_floor", 1.01,
         "/services/0/policy/healthy_floor: expected a number from 0 to 1"},
        {"/services/0/policy/healthy_floor", -0.1,
         "/services/0/policy/healthy_floor: expected a number from 0 to 1"},
        {"/services/0/servers/0/data_centre", "labasa",
         "/services/0/servers/0/data_centre: there is no data centre labasa"},
        {"/services/0/servers/0/address", "host.example",
         "/services/0/servers/0/address: expected an IPv4 or IPv6 address"},
        {"/services/0/servers/0/port", 65536,
         "/services/0/servers/0/port: expected a whole number from 1 to 65535"},
        {"/services/0/servers/0/order", "stop",
         "/services/0/servers/0/order: expected one of none, drain, eject, "
         "hold, readmit"},
        {"/services/0/servers/1", server,
         "/services/0/servers/1/name: the name l1 is used twice"},
        {"/services/0/servers/1/port", 9001,
         "/services/0/servers/1: another server of the service has this"},
        {"/routes/0/service", "nothing",
         "/routes/0/service: there is no service nothing"},
        {"/routes/0/accounts/0", "nobody",
         "/routes/0/accounts/0: there is no account nobody"},
        {"/routes/1/accounts", {"shop"}, "/routes/1/accounts: an open route"},
        {"/routes/2", route, "/routes/2/name: the name salinity is used twice"},
        {"/routes/2", route, "/routes/2: route salinity has the same host"},
        {"/routes/0/methods/1", "get",
         "/routes/0/methods/1: expected a string"},
        {"/routes/0/path_prefix", "salinity",
         "/routes/0/path_prefix: expected"},
        {"/routes/0/deadline_ms", 0, "/routes/0/deadline_ms: expected"},
        {"/routes/0/repeatable", "no", "/routes/0/repeatable: expected true"},
        {"/accounts/0/rate_per_second", -1,
         "/accounts/0/rate_per_second: expected a number from 0"},
        {"/accounts/0/burst", 0.5, "/accounts/0/burst: expected at least 1"},
        {"/accounts/0/name", "a/b", "/accounts/0/name: expected 1 to 64"},
        {"/accounts/0/keys/0/sha256", "raw-key",
         "/accounts/0/keys/0/sha256: expected a SHA-256"},
        {"/accounts/1/keys/0/sha256", digest_a,
         "/accounts/1/keys/0/sha256: account shop has the same key"},
        {"/accounts/0/keys/1/sha256", digest_a,
         "/accounts/0/keys/1/sha256: the key is given twice"},
    };
    for (const rejection& rejected : cases)
    {
        const std::string reported = problems_in(changed(rejected));
        EXPECT_NE(reported.find(rejected.problem), std::string::npos)
            << rejected.problem << "\n"
            << reported;
    }
}

// Guards against output of an API key that was pasted in place of its digest.
TEST_F(a_small_document, never_quotes_a_string_in_a_problem)
{
    this->source["/accounts/0/keys/0/sha256"_json_pointer] = "secret-key";
    EXPECT_EQ(problems_in(this->source).find("secret-key"), std::string::npos);
}

// Guards against a parser that stops at the first problem.
TEST_F(a_small_document, reports_all_problems_at_once)
{
    this->source["version"] = 0;
    this->source["/routes/0/service"_json_pointer] = "nothing";
    this->source["/accounts/0"_json_pointer].erase("rate_per_second");
    const std::string reported = problems_in(this->source);
    EXPECT_EQ(std::count(reported.begin(), reported.end(), '\n'), 3)
        << reported;
}

// Guards against the rejection of a key that was withdrawn, moved to another
// account and withdrawn there.
TEST_F(a_small_document, may_contain_a_key_that_is_withdrawn_in_two_accounts)
{
    this->source["/accounts/0/keys/0/withdrawn"_json_pointer] = true;
    this->source["/accounts/1/keys/0/sha256"_json_pointer] = digest_a;
    EXPECT_EQ(problems_in(this->source), "");
}

// Guards against the rejection of routes that share host and prefix but no
// method, and against accepting prefixes that differ only in a final slash.
TEST_F(a_small_document, may_route_methods_of_one_prefix_differently)
{
    json route = this->source["/routes/0"_json_pointer];
    route["name"] = "salinity-post";
    route["methods"] = {"POST"};
    this->source["routes"].push_back(route);
    route["name"] = "salinity-rest";
    route.erase("methods");
    this->source["routes"].push_back(route);
    EXPECT_EQ(problems_in(this->source), "");
    route["name"] = "salinity-slash";
    route["path_prefix"] = "/salinity/";
    this->source["routes"].push_back(route);
    EXPECT_NE(problems_in(this->source).find("/routes/4: route salinity-rest"),
              std::string::npos);
}

// Guards against a parser that silently keeps the last of two members.
TEST_F(a_small_document, rejects_a_duplicate_member)
{
    const auto read = config::parse_document(R"({"version":1,"version":2})");
    EXPECT_EQ(problems_of(read), "/version: the member is given twice\n");
}

// Guards against a stack overflow by deep nesting and against unlimited memory
// for problems.
TEST(damaged_input, that_is_deeply_nested_or_too_large_gives_problems)
{
    const std::string deeply_nested(1'000'000, '[');
    EXPECT_EQ(code_of(config::parse_document(deeply_nested)),
              result_code::document_invalid);
    const std::string too_large(config::max_document_bytes + 1, ' ');
    EXPECT_EQ(code_of(config::parse_document(too_large)),
              result_code::document_too_large);
    std::string many_problems = R"({"version":1,"accounts":[)";
    for (int number = 0; number < 50'000; ++number)
    {
        many_problems += "0,";
    }
    many_problems += "0]}";
    const auto read = config::parse_document(many_problems);
    EXPECT_LE(std::get<config::problems>(read).items.size(), 1001U);
}

// Guards against a crash and against input that is accepted without being
// valid: an accepted document must be valid after formatting.
TEST(damaged_input, gives_a_value_or_problems)
{
    const auto check = [](const std::string& text)
    {
        const auto read = config::parse_document(text);
        if (const auto* value = std::get_if<core::document>(&read))
        {
            const std::string formatted = config::format_document(*value);
            RC_ASSERT(problems_of(config::parse_document(formatted)).empty());
        }
        else
        {
            RC_ASSERT(!std::get<config::problems>(read).items.empty());
        }
        RC_ASSERT(code_of(config::parse_index(text)));
        config::parse_instance_list(text);
    };
    EXPECT_TRUE(rc::check("arbitrary bytes",
                          [&](const std::string& text)
                          {
                              check(text);
                          }));
    EXPECT_TRUE(
        rc::check("changed bytes",
                  [&]
                  {
                      std::string text = small_document().dump();
                      const int change_count = *rc::gen::inRange(1, 5);
                      for (int change = 0; change < change_count; ++change)
                      {
                          const auto position =
                              *rc::gen::inRange<std::size_t>(0, text.size());
                          text[position] = *rc::gen::arbitrary<char>();
                      }
                      check(text);
                  }));
    EXPECT_TRUE(rc::check("changed values",
                          [&]
                          {
                              const json flat = small_document().flatten();
                              json members = flat;
                              const std::vector<json> values{
                                  nullptr,       -1,
                                  1e308,         "",
                                  json::array(), json::object(),
                                  true,          18446744073709551615ULL,
                                  digest_a,      json::array({nullptr})};
                              auto member = members.begin();
                              std::advance(member,
                                           *rc::gen::inRange<std::size_t>(
                                               0, flat.size()));
                              json source = small_document();
                              source[json::json_pointer(member.key())] =
                                  *rc::gen::elementOf(values);
                              check(source.dump());
                          }));
}

// Guards against members that are lost or changed when a document is formatted,
// split or joined.
TEST(any_document, is_unchanged_after_formatting_and_splitting)
{
    EXPECT_TRUE(rc::check(
        []
        {
            const core::document source = arbitrary_document();
            const std::string text = config::format_document(source);
            const auto read = config::parse_document(text);
            RC_ASSERT(problems_of(read) == "");
            RC_ASSERT(config::format_document(std::get<core::document>(read)) ==
                      text);
            const auto rejoined = joined(split_texts(source));
            RC_ASSERT(problems_of(rejoined) == "");
            RC_ASSERT(
                config::format_document(std::get<core::document>(rejoined)) ==
                config::format_document(sorted(source)));
        }));
}

/// Given the values of a document as the platform stores them.
class published_values : public testing::Test
{
protected:
    std::vector<std::string> values = split_texts(parsed(small_document()));
};

// Guards against a mixture of two versions that comes into force.
TEST_F(published_values, of_two_versions_are_torn)
{
    json newer_document = small_document();
    newer_document["/accounts/0/rate_per_second"_json_pointer] = 6;
    const std::vector<std::string> newer = split_texts(parsed(newer_document));
    ASSERT_EQ(newer.size(), this->values.size());
    this->values.back() = newer.back();
    EXPECT_EQ(code_of(joined(this->values)), result_code::document_torn);
}

// Guards against an incomplete document that comes into force.
TEST_F(published_values, without_a_part_are_torn)
{
    this->values.pop_back();
    EXPECT_EQ(code_of(joined(this->values)), result_code::document_torn);
}

// Guards against damaged values that come into force, above all against a
// damaged version: one that is too high would make an instance reject every
// later document.
TEST_F(published_values, are_rejected_with_any_changed_byte)
{
    EXPECT_TRUE(rc::check(
        [this]
        {
            std::vector<std::string> damaged = this->values;
            std::string& text =
                damaged[*rc::gen::inRange<std::size_t>(0, damaged.size())];
            const auto position =
                *rc::gen::inRange<std::size_t>(0, text.size());
            const char replacement = *rc::gen::arbitrary<char>();
            RC_PRE(text[position] != replacement);
            RC_PRE(!std::isspace(static_cast<unsigned char>(text[position])));
            text[position] = replacement;
            RC_ASSERT(code_of(joined(damaged)));
        }));
}

/// Given a document of the size in section 1.4 of docs/design.md.
class a_document_of_full_size : public testing::Test
{
protected:
    a_document_of_full_size()
    {
        this->source.version = 1;
        this->source.data_centres = {{"north-a", "north"}};
        for (int number = 0; number < 440; ++number)
        {
            this->add_service(number);
        }
        for (int number = 0; number < 15'000; ++number)
        {
            core::route& route = this->source.routes.emplace_back();
            route.name = unique_name("route-", number);
            route.host = unique_name("host-", number % 3000) + ".example";
            route.path_prefix = unique_name("/path/", number);
            route.service = unique_name("service-", number % 440);
        }
        for (int number = 0; number < 21'000; ++number)
        {
            core::client_account& account =
                this->source.accounts.emplace_back();
            account.name = unique_name("account-", number);
            account.rate_per_second = 10;
            account.burst = 20;
            account.keys = {{config::sha256(account.name), false}};
        }
    }

    void add_service(int number)
    {
        core::service& service = this->source.services.emplace_back();
        service.name = unique_name("service-", number);
        for (int server = 0; server < 27; ++server)
        {
            core::backend_server& backend = service.servers.emplace_back();
            backend.name = unique_name("server-", server);
            backend.address = "10.20.30.40";
            backend.port = static_cast<std::uint16_t>(1000 + server);
            backend.data_centre = "north-a";
        }
    }

    core::document source;
};

// Guards against values that are too large for the platform, and against a
// small change that transfers as many bytes to the fleet as the whole document.
// docs/CONFIGURATION.md states the figures that this test prints.
TEST_F(a_document_of_full_size, changes_one_part_for_a_change_of_one_account)
{
    const auto before = config::split_document(this->source);
    this->source.version = 2;
    this->source.accounts[777].rate_per_second = 11;
    const auto after = config::split_document(this->source);
    std::set<std::string> old_names;
    std::size_t total_bytes = 0;
    for (const config::document_value& value : before)
    {
        EXPECT_LE(value.text.size(), config::max_part_bytes);
        old_names.insert(value.name);
        total_bytes += value.text.size();
    }
    std::size_t new_parts = 0;
    std::size_t new_bytes = after.front().text.size();
    for (std::size_t number = 1; number < after.size(); ++number)
    {
        if (!old_names.contains(after[number].name))
        {
            ++new_parts;
            new_bytes += after[number].text.size();
        }
    }
    EXPECT_EQ(new_parts, 1U);
    EXPECT_LT(new_bytes, total_bytes / 50);
    std::printf("values=%zu whole_bytes=%zu index_bytes=%zu change_bytes=%zu\n",
                before.size(), total_bytes, before.front().text.size(),
                new_bytes);
}

// Guards against members that are lost or changed in a document with many
// parts.
TEST_F(a_document_of_full_size, is_unchanged_after_splitting_and_joining)
{
    const auto rejoined = joined(split_texts(this->source));
    ASSERT_EQ(problems_of(rejoined), "");
    EXPECT_EQ(config::format_document(std::get<core::document>(rejoined)),
              config::format_document(sorted(this->source)));
}

// Guards against a list that is rejected because the platform added members.
TEST(an_instance_list, is_parsed_and_unknown_members_are_ignored)
{
    const auto read = config::parse_instance_list(
        R"({"version":4,"generated":"now","instances":[{"name":"i1",
        "address":"10.0.0.1","peer_port":7001,"data_centre":"suva",
        "region":"viti-levu","leaving":true,"rack":3}]})");
    ASSERT_EQ(problems_of(read), "");
    const auto& list = std::get<core::instance_list>(read);
    EXPECT_EQ(list.version, 4U);
    EXPECT_TRUE(list.instances.at(0).leaving);
    EXPECT_EQ(code_of(config::parse_instance_list("{}")),
              result_code::platform_bad_answer);
}
