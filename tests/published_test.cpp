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
    json made = json::parse(R"({"version":"","routes":{"columns":["name","host",
"prefix","kind","timeout","targetLatency","priority","service","maxAttempts",
"authExempt","trafficSplit"],"rows":[["r1","a.example","/o/","unsafe","2500ms",
"800ms",1,"orders",2,false,null],["r2","a.example","/s/","safe","2s","0.5s",2,
null,3,true,[{"service":"orders","weight":90},{"service":"specs","weight":10}]]]
},"services":{"columns":["name"],"rows":[["orders"],["specs"]]},"limits":{
"maxHeaderBytes":2048,"maxBodyBytes":1000,"headerTimeout":"3000ms",
"idleTimeout":"15s"},"tenants":{"columns":["name","apiKeys","priority",
"ratePerS","burst"],"rows":[["loft",["key-1","key-2"],1,58,60]]}})");
    made["version"] = "r" + std::to_string(version);
    return made;
}

json server()
{
    return json::parse(R"({"address":"10.0.0.9:8080","info":{"service":"orders",
"version":"v1","zone":"suva","slots":3},"status":{"state":"ready","sequence":4,
"warmupLeft":"1500ms"},"born":1700000000000,"later":"field"})");
}

net::item_meaning read(const std::string& key, const std::string& value)
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
    const auto* found =
        std::get_if<std::shared_ptr<const core::document>>(&meaning);
    return found == nullptr ? nullptr : *found;
}

} // namespace

// Guards against a field of the platform that lands in the wrong member.
TEST(a_configuration, is_read_member_by_member)
{
    const auto document = document_of(config(12));
    ASSERT_NE(document, nullptr);
    EXPECT_EQ(document->version, 12U);
    ASSERT_EQ(document->routes.size(), 2U);
    const core::route& order = document->routes[0];
    EXPECT_EQ(order.host, "a.example");
    EXPECT_EQ(order.path_prefix, "/o/");
    EXPECT_FALSE(order.repeatable);
    EXPECT_EQ(order.deadline, 2500ms);
    EXPECT_EQ(order.latency_objective, 800ms);
    EXPECT_EQ(order.rank, 1U);
    EXPECT_EQ(order.max_attempts, 2U);
    EXPECT_EQ(order.access, core::route_access::keyed);
    EXPECT_EQ(order.service, "orders");
    const core::route& specs = document->routes[1];
    EXPECT_TRUE(specs.repeatable);
    EXPECT_EQ(specs.access, core::route_access::open);
    ASSERT_EQ(specs.split.size(), 2U);
    EXPECT_EQ(specs.split[1].service, "specs");
    EXPECT_EQ(specs.split[1].weight, 10U);
    ASSERT_EQ(document->accounts.size(), 1U);
    EXPECT_EQ(document->accounts[0].keys.size(), 2U);
    EXPECT_EQ(document->accounts[0].rank, 1U);
    EXPECT_DOUBLE_EQ(document->accounts[0].rate_per_second, 58);
    EXPECT_DOUBLE_EQ(document->accounts[0].burst, 60);
    ASSERT_TRUE(document->limits);
    EXPECT_EQ(document->limits->max_header_bytes, 2048U);
    EXPECT_EQ(document->limits->idle_timeout, 15s);
}

// Guards against a faulty configuration that replaces the one in force.
TEST(a_configuration, is_refused_when_it_is_faulty)
{
    EXPECT_FALSE(is_refused(config(1)));
    const std::string cut = config(1).dump().substr(0, 200);
    EXPECT_TRUE(
        std::holds_alternative<net::unreadable_item>(read("op/config", cut)));
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
    EXPECT_TRUE(is_refused(with_cell(3, "odd")));
    json shared = config(1);
    shared["tenants"]["rows"].push_back({"other", {"key-1"}, 1, 5, 5});
    EXPECT_TRUE(is_refused(shared));
    json negative = config(1);
    negative["tenants"]["rows"][0][3] = -1;
    EXPECT_TRUE(is_refused(negative));
    json version = config(1);
    version["version"] = "7";
    EXPECT_TRUE(is_refused(version));
}

// Guards against a server read wrongly, and against new fields that are taken
// for faults.
TEST(an_announcement, is_read_member_by_member)
{
    const auto meaning = read("servers/i-7", server().dump());
    const auto* found = std::get_if<core::announced_server>(&meaning);
    ASSERT_NE(found, nullptr);
    EXPECT_EQ(found->server.name, "i-7");
    EXPECT_EQ(found->server.address, "10.0.0.9");
    EXPECT_EQ(found->server.port, 8080);
    EXPECT_EQ(found->server.data_centre, "suva");
    EXPECT_EQ(found->server.slots, 3U);
    EXPECT_EQ(found->service, "orders");
    EXPECT_EQ(found->started, 1'700'000'000'000U);
    EXPECT_EQ(found->warmed_up_at, start + 1500ms);
    EXPECT_FALSE(found->leaving);
}

// Guards against sending work to what another writer has put into the store.
TEST(an_announcement, names_no_server_when_it_is_faulty)
{
    for (const char* path :
         {"/address", "/info/service", "/info/slots", "/status/state",
          "/status/sequence", "/status/warmupLeft", "/info/zone"})
    {
        json missing = server();
        const json::json_pointer at(path);
        missing.at(at.parent_pointer()).erase(at.back());
        EXPECT_TRUE(is_refused(missing, "servers/i-7")) << path;
        json typed = server();
        typed[at] = json::array();
        EXPECT_TRUE(is_refused(typed, "servers/i-7")) << path;
    }
    json state = server();
    state["status"]["state"] = "sleeping";
    EXPECT_TRUE(is_refused(state, "servers/i-7"));
    json born = server();
    born["born"] = 1.5;
    EXPECT_TRUE(is_refused(born, "servers/i-7"));
    EXPECT_TRUE(std::holds_alternative<net::unreadable_item>(
        read("servers/i-7", "\xff\xfe")));
}

// Guards against times that are read in the wrong unit.
TEST(a_time, has_a_unit)
{
    EXPECT_EQ(platform::parse_duration("1500ms").value(), 1500ms);
    EXPECT_EQ(platform::parse_duration("2.5s").value(), 2500ms);
    for (const char* text : {"", "5", "ms", "5m", "-1s", "1e30s", "5 ms"})
    {
        EXPECT_FALSE(platform::parse_duration(text)) << text;
    }
}

// Guards against bounds that are ignored or misread without a word.
TEST(bounds, are_read_by_name)
{
    const auto read_ones = platform::parse_bounds(
        {"retryBudgetRatio=0.3", "budgetSlack=56", "budgetWindow=12s",
         "grace=7s", "laterBound=x"});
    ASSERT_TRUE(read_ones);
    EXPECT_DOUBLE_EQ(read_ones->repeats.ratio, 0.3);
    EXPECT_DOUBLE_EQ(read_ones->repeats.allowance, 56);
    EXPECT_EQ(read_ones->repeats.window, 12s);
    EXPECT_EQ(read_ones->shutdown_grace, 7s);
    EXPECT_FALSE(platform::parse_bounds({"budgetSlack=many"}));
}

/// Given what one instance knows, and another that lags behind.
class published_items : public testing::Test
{
protected:
    net::published_item
    item(const std::string& key, const json& value, std::uint64_t revision)
    {
        return {key, value.dump(), revision, false};
    }

    net::published_item gone(const std::string& key, std::uint64_t revision)
    {
        return {key, "", revision, true};
    }

    net::published first{platform::read_item, [] {}};
    net::published second{platform::read_item, [] {}};
};

// Guards against an older configuration that comes late.
TEST_F(published_items, never_return_to_an_older_document)
{
    this->first.take_changes({this->item("op/config", config(9), 5)}, 5, start);
    this->first.take_changes({this->item("op/config", config(8), 6)}, 6, start);
    EXPECT_EQ(this->first.document()->version, 9U);
}

// Guards against a faulty entry that leaves the server it replaced in use, and
// against one that takes other servers with it.
TEST_F(published_items, drop_a_server_whose_entry_cannot_be_read)
{
    this->first.take_listing({this->item("servers/a", server(), 2),
                              this->item("servers/b", server(), 3)},
                             3, core::removal_kind::certain, start);
    this->first.take_changes({this->item("servers/a", "spoiled", 4)}, 4, start);
    EXPECT_EQ(this->first.servers().find("a"), nullptr);
    EXPECT_NE(this->first.servers().find("b"), nullptr);
}

// Guards against an earlier start of a server that replaces a later one.
TEST_F(published_items, keep_the_newest_start_of_a_server)
{
    json later = server();
    later["born"] = 1'800'000'000'000;
    this->first.take_changes({this->item("servers/a", later, 2)}, 2, start);
    this->first.take_changes({this->item("servers/a", server(), 3)}, 3, start);
    EXPECT_EQ(this->first.servers().find("a")->started, 1'800'000'000'000U);
}

// Guards against instances that differ after they have told each other.
TEST_F(published_items, reach_another_instance_as_they_are)
{
    this->first.take_listing({this->item("op/config", config(3), 2),
                              this->item("servers/a", server(), 3),
                              this->item("servers/b", server(), 4)},
                             4, core::removal_kind::certain, start);
    EXPECT_FALSE(this->second.take_text(this->first.text_since(0), start));
    EXPECT_EQ(this->second.revision(), 4U);
    EXPECT_EQ(this->second.document()->version, 3U);
    EXPECT_EQ(this->second.servers().usable("orders").size(), 2U);
    this->first.take_changes({this->gone("servers/a", 5)}, 5, start);
    EXPECT_FALSE(this->second.take_text(
        this->first.text_since(this->second.revision()), start));
    EXPECT_EQ(this->second.servers().find("a"), nullptr);
    EXPECT_NE(this->second.servers().find("b"), nullptr);
}

// Guards against a lapse that a peer passes on as a departure.
TEST_F(published_items, pass_on_that_a_server_may_only_have_lapsed)
{
    this->first.take_listing({this->item("servers/a", server(), 2)}, 2,
                             core::removal_kind::certain, start);
    this->second.take_text(this->first.text_since(0), start);
    net::published_item lapsed = this->gone("servers/a", 3);
    lapsed.removal = core::removal_kind::lapsed;
    this->first.take_changes({lapsed}, 3, start);
    this->second.take_text(this->first.text_since(2), start);
    EXPECT_NE(this->second.servers().find("a"), nullptr);
    this->second.servers().tick(start + 3s);
    EXPECT_EQ(this->second.servers().find("a"), nullptr);
}

// Guards against a listing from before a change that takes the change back.
TEST_F(published_items, are_not_undone_by_an_older_listing)
{
    this->first.take_changes({this->item("servers/a", server(), 9)}, 9, start);
    this->first.take_listing({}, 5, core::removal_kind::certain, start);
    EXPECT_NE(this->first.servers().find("a"), nullptr);
}

// Guards against a peer's damaged text that changes what is known.
RC_GTEST_PROP(a_peers_text, changes_nothing_when_it_is_damaged, ())
{
    net::published known(platform::read_item, [] {});
    known.take_listing({{"servers/a", server().dump(), 2, false, {}}}, 2,
                       core::removal_kind::certain, start);
    std::string text = known.text_since(0);
    const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
    text.resize(at);
    RC_ASSERT(known.take_text(text, start));
    RC_ASSERT(known.revision() == 2U);
    RC_ASSERT(known.servers().find("a") != nullptr);
}
