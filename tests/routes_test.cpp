#include <gtest/gtest.h>
#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/routes.hpp>

using namespace medlarbarrow::core;

namespace
{

route make_route(std::string name, std::string host, std::string prefix)
{
    route made;
    made.name = std::move(name);
    made.host = std::move(host);
    made.path_prefix = std::move(prefix);
    return made;
}

} // namespace

/// Given a document with overlapping routes.
class routes_overlap : public testing::Test
{
protected:
    routes_overlap()
    {
        auto source = std::make_shared<document>();
        source->routes = {make_route("all", "", "/"),
                          make_route("specs", "", "/specs"),
                          make_route("nets", "Nets.Example", "/specs")};
        route orders = make_route("orders", "", "/specs");
        orders.methods = {"POST"};
        source->routes.push_back(orders);
        this->table.emplace(source);
    }

    std::string match(std::string_view method,
                      std::string_view host,
                      std::string_view path) const
    {
        const route* found = this->table->match(method, host, path);
        return found == nullptr ? "" : found->name;
    }

    std::optional<route_table> table;
};

// Guards against a keyed route being bypassed through a similar path.
TEST_F(routes_overlap, prefixes_match_whole_segments)
{
    EXPECT_EQ(this->match("GET", "a", "/specs"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specs/"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specs/7/x"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specsheet"), "all");
}

TEST_F(routes_overlap, the_host_and_the_method_narrow_the_choice)
{
    EXPECT_EQ(this->match("POST", "a", "/specs/7"), "orders");
    EXPECT_EQ(this->match("POST", "nets.example:80", "/specs/7"), "nets");
    EXPECT_EQ(this->match("GET", "nets.example", "/other"), "all");
}

/// Given one key that has moved from one account to another.
// Guards against a withdrawn key that keeps working, and against a moved key
// that stops working.
TEST(keys, a_withdrawn_key_is_found_as_withdrawn_unless_it_moved)
{
    auto source = std::make_shared<document>();
    const key_digest moved{1};
    const key_digest withdrawn{2};
    source->accounts = {{"old", 1, 1, {{moved, true}, {withdrawn, true}}},
                        {"new", 1, 1, {{moved, false}}}};
    const account_index index(source);
    EXPECT_EQ(index.find(moved).account->name, "new");
    EXPECT_FALSE(index.find(moved).withdrawn);
    EXPECT_TRUE(index.find(withdrawn).withdrawn);
    EXPECT_EQ(index.find(key_digest{3}).account, nullptr);
}
