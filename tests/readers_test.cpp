#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/readers.hpp>
#include <memory>
#include <set>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};

/// Membership of `self` in which instances 1 to `count` are live.
core::membership membership_of(core::instance_address self, std::size_t count)
{
    core::membership members(self, 100, self);
    for (core::instance_address other = 1; other <= count; ++other)
    {
        members.record_message(other, 100, start);
    }
    return members;
}

} // namespace

/// 40 instances that all know each other as live.
class readers_of_40_instances : public testing::Test
{
protected:
    void SetUp() override
    {
        for (core::instance_address self = 1; self <= 40; ++self)
        {
            this->selections.emplace(self, core::reader_selection(self));
            this->selections.at(self).update(membership_of(self, 40), start);
            this->selections.at(self).record_confirmation(0ms, start);
        }
    }

    std::set<core::instance_address> reading(core::time_point now)
    {
        std::set<core::instance_address> reading_instances;
        for (auto& [address, selection] : this->selections)
        {
            if (selection.must_read(now))
            {
                reading_instances.insert(address);
            }
        }
        return reading_instances;
    }

    std::map<core::instance_address, core::reader_selection> selections;
};

// Guards against paying for source reads of every instance.
TEST_F(readers_of_40_instances, are_few)
{
    EXPECT_EQ(this->reading(start + 1s).size(), 3U);
}

// Guards against an instance that gets source updates from one reader only,
// whose failure would not be noticed in time.
TEST_F(readers_of_40_instances, are_assigned_two_to_each_instance)
{
    const auto readers = this->reading(start + 1s);
    for (const auto& [address, selection] : this->selections)
    {
        EXPECT_EQ(selection.readers().size(), 2U);
        for (const core::instance_address reader : selection.readers())
        {
            EXPECT_TRUE(readers.contains(reader));
            EXPECT_NE(reader, address);
        }
    }
}

// Guards against a change that is missed during a partition, or while the
// connections of the readers to the source are silent.
TEST_F(readers_of_40_instances, are_all_instances_when_nothing_is_confirmed)
{
    EXPECT_EQ(this->reading(start + 1600ms).size(), 40U);
}

// Guards against an instance that keeps reading the source although its source
// updates are recent again.
TEST_F(readers_of_40_instances, are_few_again_after_a_confirmation)
{
    for (auto& [address, selection] : this->selections)
    {
        selection.record_confirmation(500ms, start + 3s);
    }
    EXPECT_EQ(this->reading(start + 3900ms).size(), 3U);
    EXPECT_EQ(this->reading(start + 4100ms).size(), 40U);
}

// Guards against an instance whose selected reader does not consider itself a
// reader.
TEST_F(readers_of_40_instances, include_an_instance_with_a_subscriber)
{
    core::instance_address other = 1;
    while (this->selections.at(other).must_read(start + 1s))
    {
        ++other;
    }
    this->selections.at(other).add_subscriber(40, start);
    EXPECT_TRUE(this->selections.at(other).must_read(start + 1s));
    EXPECT_EQ(this->selections.at(other).active_subscribers(start + 1s),
              std::vector<core::instance_address>{40});
    EXPECT_TRUE(
        this->selections.at(other).active_subscribers(start + 4s).empty());
}

// Guards against an older confirmation that replaces a newer one.
TEST(a_reader_selection, keeps_the_newest_confirmation)
{
    core::reader_selection selection(1);
    EXPECT_FALSE(selection.confirmation_age(start));
    EXPECT_TRUE(selection.must_read(start));
    selection.record_confirmation(100ms, start);
    selection.record_confirmation(900ms, start);
    EXPECT_EQ(selection.confirmation_age(start), core::duration(100ms));
}
