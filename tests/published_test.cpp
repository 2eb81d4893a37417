#include <gtest/gtest.h>
#include <medlarbarrow/net/published.hpp>
#include <nlohmann/json.hpp>
#include <platform/decode.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace std::chrono_literals;
using nlohmann::json;

namespace
{

constexpr core::time_point start{1000s};

json config(std::uint64_t version)
{
    json document =
        json::parse(R"({"version":"","routes":{"columns":["name","host",
"prefix","kind","timeout","targetLatency","priority","service","maxAttempts",
"authExempt","trafficSplit"],"rows":[["r1","a.example","/o/","unsafe","2500ms",
"800ms",1,"orders",2,false,null],["r2","a.example","/s/","safe","2s","0.5s",2,
null,3,true,[{"service":"orders","weight":90},{"service":"specs","weight":10}]]]
},"services":{"columns":["name"],"rows":[["orders"],["specs"]]},"limits":{
"maxHeaderBytes":2048,"maxBodyBytes":1000,"headerTimeout":"3000ms",
"idleTimeout":"15s"},"tenants":{"columns":["name","apiKeys","priority",
"ratePerS","burst"],"rows":[["loft",["key-1","key-2"],1,58,60]]}})");
    document["version"] = "r" + std::to_string(version);
    return document;
}

json server()
{
    return json::parse(R"({"address":"10.0.0.9:8080","info":{"service":"orders",
"version":"v1","zone":"suva","slots":3},"status":{"state":"ready","sequence":4,
"warmupLeft":"1500ms"},"born":1700000000000,"later":"field"})");
}

net::parsed_item read(const std::string& key, const std::string& value)
{
    return platform::read_item({key, value, 1, false}, start);
}

bool is_refused(const json& value, const std::string& key = "op/config")
{
    return std::holds_alternative<net::unreadable_item>(
        read(key, value.dump()));
}

std::shared_ptr<const core::document> document_of(const json& value)
{
    const auto meaning = read("op/config", value.dump());
    const auto* document = std::get_if<net::parsed_document>(&meaning);
    return document == nullptr ? nullptr : document->document;
}

} // namespace

// Guards against a field of the platform's configuration that is read into the
// wrong member.
TEST(a_configuration, is_read_member_by_member)
{
    const auto document = document_of(config(12));
    ASSERT_NE(document, nullptr);
    EXPECT_EQ(document->version, 12U);
    ASSERT_EQ(document->routes.size(), 2U);
    const core::route& order_route = document->routes[0];
    EXPECT_EQ(order_route.host, "a.example");
    EXPECT_EQ(order_route.path_prefix, "/o/");
    EXPECT_FALSE(order_route.repeatable);
    EXPECT_EQ(order_route.deadline, 2500ms);
    EXPECT_EQ(order_route.latency_objective, 800ms);
    EXPECT_EQ(order_route.rank, 1U);
    EXPECT_EQ(order_route.max_attempts, 2U);
    EXPECT_EQ(order_route.access, core::route_access::keyed);
    EXPECT_EQ(order_route.service, "orders");
    const core::route& specs_route = document->routes[1];
    EXPECT_TRUE(specs_route.repeatable);
    EXPECT_EQ(specs_route.access, core::route_access::open);
    ASSERT_EQ(specs_route.split.size(), 2U);
    EXPECT_EQ(specs_route.split[1].service, "specs");
    EXPECT_EQ(specs_route.split[1].weight, 10U);
    ASSERT_EQ(document->accounts.size(), 1U);
    EXPECT_EQ(document->accounts[0].keys.size(), 2U);
    EXPECT_EQ(document->accounts[0].rank, 1U);
    EXPECT_DOUBLE_EQ(document->accounts[0].rate_per_second, 58);
    EXPECT_DOUBLE_EQ(document->accounts[0].burst, 60);
    ASSERT_TRUE(document->limits);
    EXPECT_EQ(document->limits->max_header_bytes, 2048U);
    EXPECT_EQ(document->limits->idle_timeout, 15s);
}

// Guards against a faulty configuration that is accepted and replaces the one
// in force.
TEST(a_configuration, is_refused_when_it_is_faulty)
{
    EXPECT_FALSE(is_refused(config(1)));
    const std::string cut_text = config(1).dump().substr(0, 200);
    EXPECT_TRUE(std::holds_alternative<net::unreadable_item>(
        read("op/config", cut_text)));
    const auto with_cell = [](std::size_t column, const json& value)
    {
        json changed = config(1);
        changed["routes"]["rows"][0][column] = value;
        return changed;
    };
    EXPECT_TRUE(is_refused(with_cell(7, "unknown-service")));
    EXPECT_TRUE(is_refused(with_cell(4, nullptr)));
    EXPECT_TRUE(is_refused(with_cell(4, "-5ms")));
    EXPECT_TRUE(is_refused(with_cell(4, "5 minutes")));
    EXPECT_TRUE(is_refused(with_cell(8, nullptr)));
    EXPECT_TRUE(is_refused(with_cell(8, 0)));
    EXPECT_TRUE(is_refused(with_cell(3, 7)));
    json shared_key = config(1);
    shared_key["tenants"]["rows"].push_back({"other", {"key-1"}, 1, 5, 5});
    EXPECT_TRUE(is_refused(shared_key));
    json negative_rate = config(1);
    negative_rate["tenants"]["rows"][0][3] = -1;
    EXPECT_TRUE(is_refused(negative_rate));
    json invalid_version = config(1);
    invalid_version["version"] = "7";
    EXPECT_TRUE(is_refused(invalid_version));
}

// Guards against a fleet that serves nobody because one route has a kind that
// it does not know, against a repeat of such a request, and against a kind that
// is read as another one.
TEST(a_configuration, is_used_with_any_kind_of_route)
{
    const auto read_with_kind = [](const std::string& kind)
    {
        json changed = config(1);
        changed["routes"]["rows"][1][3] = kind;
        return read("op/config", changed.dump());
    };
    const auto download = read_with_kind("download");
    const auto* known = std::get_if<net::parsed_document>(&download);
    ASSERT_NE(known, nullptr);
    EXPECT_TRUE(known->document->routes[1].repeatable);
    EXPECT_TRUE(known->problems.empty());
    const auto odd = read_with_kind("odd");
    const auto* unknown = std::get_if<net::parsed_document>(&odd);
    ASSERT_NE(unknown, nullptr);
    EXPECT_FALSE(unknown->document->routes[1].repeatable);
    ASSERT_EQ(unknown->problems.size(), 1U);
    EXPECT_EQ(unknown->problems[0].part, "route r2");
    EXPECT_EQ(unknown->problems[0].member, "kind");
    EXPECT_EQ(unknown->problems[0].value, "odd");
}

// Guards against a field of an announcement that is read into the wrong member,
// and against unknown fields that are treated as faults.
TEST(an_announcement, is_read_member_by_member)
{
    const auto meaning = read("servers/i-7", server().dump());
    const auto* announced = std::get_if<core::announced_server>(&meaning);
    ASSERT_NE(announced, nullptr);
    EXPECT_EQ(announced->server.name, "i-7");
    EXPECT_EQ(announced->server.address, "10.0.0.9");
    EXPECT_EQ(announced->server.port, 8080);
    EXPECT_EQ(announced->server.data_centre, "suva");
    EXPECT_EQ(announced->server.slots, 3U);
    EXPECT_EQ(announced->service, "orders");
    EXPECT_EQ(announced->started, 1'700'000'000'000U);
    EXPECT_EQ(announced->sequence, 4U);
    EXPECT_EQ(announced->warmed_up_at, start + 1500ms);
    EXPECT_FALSE(announced->leaving);
}

// Guards against sending requests to a server whose entry in the store is not a
// valid announcement, for example one that another program has written.
TEST(an_announcement, is_refused_when_it_is_faulty)
{
    for (const char* path :
         {"/address", "/info/service", "/info/slots", "/status/state",
          "/status/sequence", "/status/warmupLeft", "/info/zone"})
    {
        json missing = server();
        const json::json_pointer pointer(path);
        missing.at(pointer.parent_pointer()).erase(pointer.back());
        EXPECT_TRUE(is_refused(missing, "servers/i-7")) << path;
        json wrong_type = server();
        wrong_type[pointer] = json::array();
        EXPECT_TRUE(is_refused(wrong_type, "servers/i-7")) << path;
    }
    json invalid_state = server();
    invalid_state["status"]["state"] = "sleeping";
    EXPECT_TRUE(is_refused(invalid_state, "servers/i-7"));
    json invalid_start = server();
    invalid_start["born"] = 1.5;
    EXPECT_TRUE(is_refused(invalid_start, "servers/i-7"));
    EXPECT_TRUE(std::holds_alternative<net::unreadable_item>(
        read("servers/i-7", "\xff\xfe")));
}

// Guards against durations that are read in the wrong unit.
TEST(a_duration, has_a_unit)
{
    EXPECT_EQ(platform::parse_duration("1500ms").value(), 1500ms);
    EXPECT_EQ(platform::parse_duration("2.5s").value(), 2500ms);
    for (const char* text :
         {"", "5", "ms", "5m", "-1s", "1e30s", "5 ms", "nanms", "infs"})
    {
        EXPECT_FALSE(platform::parse_duration(text)) << text;
    }
}

// Guards against bounds that are ignored or misread without an error.
TEST(bounds, are_read_by_name)
{
    const auto bounds = platform::parse_bounds(
        {"retryBudgetRatio=0.3", "budgetSlack=56", "budgetWindow=12s",
         "floorShare=0.6", "grace=7s", "laterBound=x"});
    ASSERT_TRUE(bounds);
    EXPECT_DOUBLE_EQ(bounds->repeats.ratio, 0.3);
    EXPECT_DOUBLE_EQ(bounds->repeats.allowance, 56);
    EXPECT_EQ(bounds->repeats.window, 12s);
    EXPECT_DOUBLE_EQ(bounds->floor_share, 0.6);
    EXPECT_EQ(bounds->shutdown_grace, 7s);
    EXPECT_FALSE(platform::parse_bounds({"budgetSlack=many"}));
    EXPECT_FALSE(platform::parse_bounds({"floorShare=1.2"}));
}

/// Fixture: the published items of two instances, of which the second lags
/// behind.
class published_items : public testing::Test
{
protected:
    net::published_item listed_item(const std::string& key,
                                    const json& value,
                                    std::uint64_t revision)
    {
        return {key, value.dump(), revision, false};
    }

    net::published_item removed_item(const std::string& key,
                                     std::uint64_t revision)
    {
        return {key, "", revision, true};
    }

    /// Applies a listing that the instance asked for before it had anything.
    static void list(net::published& instance,
                     const std::vector<net::published_item>& items,
                     std::uint64_t revision)
    {
        EXPECT_TRUE(instance.apply_listing({items, revision}, start));
    }

    net::published current{platform::read_item, [] {}};
    net::published lagging{platform::read_item, [] {}};
};

namespace
{

/// Texts that another program may have written as the entry of a server.
std::vector<std::string> odd_entries()
{
    std::vector<std::string> entries{"", "[]", "null", "7", "\"text\"", "{}"};
    for (const std::size_t depth : {50, 100'000, 1'000'000})
    {
        entries.push_back(std::string(depth, '['));
        entries.push_back(std::string(depth, '[') + std::string(depth, ']'));
        std::string objects;
        for (std::size_t level = 0; level < depth / 10; ++level)
        {
            objects += R"({"info":)";
        }
        entries.push_back(objects);
    }
    const auto with = [&entries](const char* path, const json& value)
    {
        json changed = server();
        changed[json::json_pointer(path)] = value;
        entries.push_back(changed.dump());
    };
    for (const char* address :
         {"10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:-1", "10.0.0.9:", ":80",
          "10.0.0.9", "10.0.0.9:99999999999999999999", "10.0.0.999:80",
          "no-address:80", "10.0.0.9:80 ", "::1:80"})
    {
        with("/address", address);
    }
    for (const char* path : {"/info/slots", "/status/sequence", "/born"})
    {
        with(path, -1);
        with(path, 1e300);
        with(path, 0.5);
    }
    with("/info/slots", std::numeric_limits<std::uint64_t>::max());
    with("/born", std::numeric_limits<std::uint64_t>::max());
    for (const char* duration : {"nanms", "infs", "1e300s", "-1ms", "1e13ms"})
    {
        with("/status/warmupLeft", duration);
    }
    std::string huge = server().dump();
    huge.replace(huge.find("\"slots\":3"), 9, "\"slots\":1e999");
    entries.push_back(huge);
    huge.replace(huge.find("1e999"), 5, std::string(100'000, '9'));
    entries.push_back(huge);
    return entries;
}

} // namespace

// Guards against an entry of another writer that ends the process, hides the
// other servers or is used as a server.
TEST_F(published_items, hold_the_other_servers_beside_any_odd_entry)
{
    std::uint64_t revision = 1;
    this->current.apply_changes(
        {this->listed_item("servers/good", server(), revision)}, revision,
        start);
    for (const std::string& entry : odd_entries())
    {
        ++revision;
        this->current.apply_changes(
            {{"servers/odd", entry, revision, false, {}}}, revision, start);
        const std::string shown = entry.substr(0, 100);
        EXPECT_EQ(this->current.servers().find("odd"), nullptr) << shown;
        EXPECT_NE(this->current.servers().find("good"), nullptr) << shown;
        // A peer gets the entry as it is, and follows the list too.
        EXPECT_FALSE(this->lagging.apply_text(
            this->current.text_since(this->lagging.revision()), start))
            << shown;
        EXPECT_EQ(this->lagging.revision(), revision) << shown;
    }
    EXPECT_EQ(this->current.counters().items_unreadable, odd_entries().size());
    // The server itself announces itself again over the odd entry.
    ++revision;
    this->current.apply_changes(
        {this->listed_item("servers/odd", server(), revision)}, revision,
        start);
    EXPECT_NE(this->current.servers().find("odd"), nullptr);
}

// Guards against any change of one place of an entry that ends the process or
// names a server that cannot be called.
RC_GTEST_PROP(an_entry_of_another_writer, names_a_usable_server_or_none, ())
{
    std::string text = server().dump();
    const auto position = *rc::gen::inRange<std::size_t>(0, text.size());
    const auto replacement = *rc::gen::arbitrary<std::string>();
    const auto removed = *rc::gen::inRange<std::size_t>(0, 12);
    text.replace(position, removed, replacement);
    const auto meaning = read("servers/i-7", text);
    if (const auto* named = std::get_if<core::announced_server>(&meaning))
    {
        RC_ASSERT(named->server.port != 0);
        RC_ASSERT(named->server.slots > 0U);
        RC_ASSERT(named->warmed_up_at >= start);
    }
}

// Guards against an older configuration that arrives with a later revision and
// replaces the newer one.
TEST_F(published_items, never_go_back_to_an_older_document)
{
    this->current.apply_changes({this->listed_item("op/config", config(9), 5)},
                                5, start);
    this->current.apply_changes({this->listed_item("op/config", config(8), 6)},
                                6, start);
    EXPECT_EQ(this->current.document()->version, 9U);
}

// Guards against a server that stays in use after a faulty entry has replaced
// its announcement, and against the removal of other servers with it.
TEST_F(published_items, drop_a_server_whose_entry_cannot_be_read)
{
    this->list(this->current,
               {this->listed_item("servers/a", server(), 2),
                this->listed_item("servers/b", server(), 3)},
               3);
    this->current.apply_changes({this->listed_item("servers/a", "spoiled", 4)},
                                4, start);
    EXPECT_EQ(this->current.servers().find("a"), nullptr);
    EXPECT_NE(this->current.servers().find("b"), nullptr);
}

// Guards against the announcement of an earlier start of a server that arrives
// late and replaces that of the latest start.
TEST_F(published_items, keep_the_newest_start_of_a_server)
{
    json later_start = server();
    later_start["born"] = 1'800'000'000'000;
    this->current.apply_changes(
        {this->listed_item("servers/a", later_start, 2)}, 2, start);
    this->current.apply_changes({this->listed_item("servers/a", server(), 3)},
                                3, start);
    EXPECT_EQ(this->current.servers().find("a")->started, 1'800'000'000'000U);
}

// Guards against instances whose items differ after one has applied the changes
// of the other.
TEST_F(published_items, reach_another_instance_unchanged)
{
    this->list(this->current,
               {this->listed_item("op/config", config(3), 2),
                this->listed_item("servers/a", server(), 3),
                this->listed_item("servers/b", server(), 4)},
               4);
    EXPECT_FALSE(this->lagging.apply_text(this->current.text_since(0), start));
    EXPECT_EQ(this->lagging.revision(), 4U);
    EXPECT_EQ(this->lagging.document()->version, 3U);
    EXPECT_EQ(this->lagging.servers().usable("orders").size(), 2U);
    this->current.apply_changes({this->removed_item("servers/a", 5)}, 5, start);
    EXPECT_FALSE(this->lagging.apply_text(
        this->current.text_since(this->lagging.revision()), start));
    EXPECT_EQ(this->lagging.servers().find("a"), nullptr);
    EXPECT_NE(this->lagging.servers().find("b"), nullptr);
}

// Guards against a removal that may only be a lapse and that a peer passes on
// as a certain one: the server then gets no grace period.
TEST_F(published_items, pass_on_that_a_server_may_only_have_lapsed)
{
    this->list(this->current, {this->listed_item("servers/a", server(), 2)}, 2);
    this->lagging.apply_text(this->current.text_since(0), start);
    net::published_item lapsed = this->removed_item("servers/a", 3);
    lapsed.removal = core::removal_kind::lapsed;
    this->current.apply_changes({lapsed}, 3, start);
    this->lagging.apply_text(this->current.text_since(2), start);
    EXPECT_NE(this->lagging.servers().find("a"), nullptr);
    this->lagging.servers().tick(start + 3s);
    EXPECT_EQ(this->lagging.servers().find("a"), nullptr);
}

// Guards against a listing that is older than a change and undoes the change.
TEST_F(published_items, are_not_undone_by_an_older_listing)
{
    this->current.apply_changes({this->listed_item("servers/a", server(), 9)},
                                9, start);
    this->list(this->current, {}, 5);
    EXPECT_NE(this->current.servers().find("a"), nullptr);
}

// Guards against a server that is used again after its removal, and without an
// end: a listing that was begun before the removal became known still has it.
TEST_F(published_items, stay_removed_when_an_older_listing_has_them)
{
    const auto listed = this->listed_item("servers/i-7", server(), 95);
    this->current.apply_changes({listed}, 95, start);
    this->current.apply_changes({this->removed_item("servers/i-7", 100)}, 100,
                                start);
    this->list(this->current, {listed}, 98);
    EXPECT_EQ(this->current.servers().find("i-7"), nullptr);
    this->current.apply_changes(
        {this->listed_item("servers/i-7", server(), 101)}, 101, start);
    EXPECT_NE(this->current.servers().find("i-7"), nullptr);
}

// Guards against a text from a peer that is cut off and still changes the
// published items.
RC_GTEST_PROP(a_text_from_a_peer, changes_nothing_when_it_is_damaged, ())
{
    net::published published(platform::read_item, [] {});
    RC_ASSERT(published.apply_listing(
        {{{"servers/a", server().dump(), 2, false, {}}}, 2}, start));
    std::string text = published.text_since(0);
    const auto cut_length = *rc::gen::inRange<std::size_t>(0, text.size());
    text.resize(cut_length);
    RC_ASSERT(published.apply_text(text, start));
    RC_ASSERT(published.revision() == 2U);
    RC_ASSERT(published.servers().find("a") != nullptr);
}
