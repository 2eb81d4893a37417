#include <gtest/gtest.h>
#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/routes.hpp>

using namespace medlarbarrow::core;

namespace
{

route make_route(std::string name, std::string host, std::string prefix)
{
    route result;
    result.name = std::move(name);
    result.host = std::move(host);
    result.path_prefix = std::move(prefix);
    return result;
}

} // namespace

/// A document whose routes have overlapping prefixes, hosts and methods.
class overlapping_routes : public testing::Test
{
protected:
    overlapping_routes()
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
        const route* matched_route = this->table->match(method, host, path);
        return matched_route == nullptr ? "" : matched_route->name;
    }

    std::optional<route_table> table;
};

// Guards against bypassing a keyed route through a similar path. A prefix
// matches whole path segments, with or without a trailing slash.
TEST_F(overlapping_routes, match_whole_path_segments)
{
    EXPECT_EQ(this->match("GET", "a", "/specs"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specs/"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specs/7/x"), "specs");
    EXPECT_EQ(this->match("GET", "a", "/specsheet"), "all");
}

// Guards against a route with a host or a method that loses to a more general
// route of the same prefix.
TEST_F(overlapping_routes, are_selected_by_host_and_method)
{
    EXPECT_EQ(this->match("POST", "a", "/specs/7"), "orders");
    EXPECT_EQ(this->match("POST", "nets.example:80", "/specs/7"), "nets");
    EXPECT_EQ(this->match("GET", "nets.example", "/other"), "all");
}

// Guards against a withdrawn key that keeps working, and against a key that
// stops working because it was withdrawn from one account when it moved to
// another.
TEST(keys, are_withdrawn_unless_moved_to_another_account)
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
