/// Real instances go on following a store that has come back from an older
/// copy: what was in force stays in force, and what is written next is taken.
#include "store_copy_fixture.hpp"

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

/// And since the copy a server has left, version 2 was written and other
/// writes have taken revisions; then the store comes back from the copy, and
/// the operator and the servers write again.
class a_fleet_after_a_store_copy : public a_fleet_with_a_copied_store
{
protected:
    void SetUp() override
    {
        a_fleet_with_a_copied_store::SetUp();
        this->store.remove("servers/s-1");
        this->take_revisions(4);
        this->store.put("op/config", make_config_with_route(2, "second"));
        this->announce(2, "ready", 2);
        ASSERT_TRUE(this->all_answer("/second/1", 200)) << this->logs();
        ASSERT_TRUE(this->all_have(1, "")) << this->logs();
        this->restore_store();
        this->store.put("op/config", make_config_with_route(2, "second"));
        this->store.remove("servers/s-1");
    }
};

// Guards against a configuration that is never taken because its revision was
// given out before: a dropped route is served and an added one is refused.
TEST_F(a_fleet_after_a_store_copy, follows_the_next_version)
{
    this->store.put("op/config", make_config_with_route(3, "third"));
    EXPECT_TRUE(this->all_answer("/third/1", 200)) << this->logs();
    EXPECT_TRUE(this->all_answer("/second/1", 404)) << this->logs();
}

// Guards against requests to a server that leaves and whose announcement is
// passed over because its revision was given out before.
TEST_F(a_fleet_after_a_store_copy, uses_no_server_that_leaves)
{
    this->announce(2, "draining", 3);
    EXPECT_TRUE(this->all_have(2, "draining")) << this->logs();
}

// Guards against calls without end: a watch from a revision that the store
// doesn't have, a listing, and the same watch again.
TEST_F(a_fleet_after_a_store_copy, lists_once)
{
    constexpr auto observed_time = 3s;
    std::this_thread::sleep_for(observed_time);
    const std::uint64_t before = this->store.counts().listings;
    std::this_thread::sleep_for(observed_time);
    EXPECT_EQ(this->store.counts().listings, before) << this->logs();
}
