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

/// A view in which instances 1 to `count` live.
core::membership view_of(core::instance_address self, std::size_t count)
{
    core::membership view(self, 100, self);
    for (core::instance_address other = 1; other <= count; ++other)
    {
        view.heard(other, 100, start);
    }
    return view;
}

} // namespace

/// Given 40 instances that see each other.
class readers_of_forty : public testing::Test
{
protected:
    void SetUp() override
    {
        for (core::instance_address self = 1; self <= 40; ++self)
        {
            this->duties.emplace(self, core::reader_selection(self));
            this->duties.at(self).update(view_of(self, 40), start);
            this->duties.at(self).confirmed(0ms, start);
        }
    }

    std::set<core::instance_address> reading(core::time_point now)
    {
        std::set<core::instance_address> found;
        for (auto& [address, duty] : this->duties)
        {
            if (duty.must_read(now))
            {
                found.insert(address);
            }
        }
        return found;
    }

    std::map<core::instance_address, core::reader_selection> duties;
};

// Guards against paying for calls of every instance.
TEST_F(readers_of_forty, are_few)
{
    EXPECT_EQ(this->reading(start + 1s).size(), 3U);
}

// Guards against an instance that hears from one reader only, whose death
// nobody would notice in time.
TEST_F(readers_of_forty, are_heard_by_each_instance_twice)
{
    const auto readers = this->reading(start + 1s);
    for (const auto& [address, duty] : this->duties)
    {
        EXPECT_EQ(duty.chosen().size(), 2U);
        for (const core::instance_address reader : duty.chosen())
        {
            EXPECT_TRUE(readers.contains(reader));
            EXPECT_NE(reader, address);
        }
    }
}

// Guards against a change that is missed in a partition, or while the readers'
// own connection to the source is silent.
TEST_F(readers_of_forty, are_replaced_by_all_when_nothing_is_confirmed)
{
    EXPECT_EQ(this->reading(start + 1600ms).size(), 40U);
}

// Guards against an instance that reads on although source updates are fresh
// again.
TEST_F(readers_of_forty, read_alone_again_after_a_confirmation)
{
    for (auto& [address, duty] : this->duties)
    {
        duty.confirmed(500ms, start + 3s);
    }
    EXPECT_EQ(this->reading(start + 3900ms).size(), 3U);
    EXPECT_EQ(this->reading(start + 4100ms).size(), 40U);
}

// Guards against an instance whose chosen reader does not see itself as one.
TEST_F(readers_of_forty, include_who_is_asked_for_beacons)
{
    core::instance_address other = 1;
    while (this->duties.at(other).must_read(start + 1s))
    {
        ++other;
    }
    this->duties.at(other).subscribed(40, start);
    EXPECT_TRUE(this->duties.at(other).must_read(start + 1s));
    EXPECT_EQ(this->duties.at(other).subscribers(start + 1s),
              std::vector<core::instance_address>{40});
    EXPECT_TRUE(this->duties.at(other).subscribers(start + 4s).empty());
}

// Guards against an old confirmation that passes for a fresh one.
TEST(a_reader_duty, keeps_the_newest_confirmation)
{
    core::reader_selection duty(1);
    EXPECT_FALSE(duty.age(start));
    EXPECT_TRUE(duty.must_read(start));
    duty.confirmed(100ms, start);
    duty.confirmed(900ms, start);
    EXPECT_EQ(duty.age(start), core::duration(100ms));
}
