#include <gtest/gtest.h>
#include <medlarbarrow/core/result_codes.hpp>
#include <rapidcheck.h>
#include <standin/spread_fleet.hpp>

using namespace medlarbarrow;
using namespace std::chrono_literals;
using standin::spread_fleet;

namespace
{

/// Applies one random fault or change, then lets some time pass.
void apply_random_event(spread_fleet& fleet)
{
    const auto random_instance = [&fleet]
    {
        return *rc::gen::inRange<std::size_t>(0, fleet.size());
    };
    switch (*rc::gen::inRange(0, 10))
    {
    case 0:
        fleet.publish_document();
        break;
    case 1:
        fleet.publish_list({random_instance(), random_instance()},
                           {random_instance()});
        break;
    case 2:
        fleet.restart(random_instance());
        break;
    case 3:
        fleet.stop(random_instance(), true);
        break;
    case 4:
        fleet.faults.cuts.insert({random_instance(), random_instance()});
        break;
    case 5:
        fleet.faults.loss = *rc::gen::inRange(0, 50) / 100.0;
        fleet.faults.repeat = *rc::gen::inRange(0, 50) / 100.0;
        fleet.faults.damage = *rc::gen::inRange(0, 30) / 100.0;
        break;
    case 6:
        fleet.faults.max_delay =
            std::chrono::milliseconds(*rc::gen::inRange(1, 4000));
        break;
    case 7:
        fleet.faults.platform_unavailable = !fleet.faults.platform_unavailable;
        break;
    case 8:
        fleet.faults.platform_stale = !fleet.faults.platform_stale;
        break;
    default:
        break;
    }
    fleet.run(std::chrono::milliseconds(*rc::gen::inRange(50, 8000)));
}

void end_faults(spread_fleet& fleet)
{
    fleet.faults = {};
    for (std::size_t instance = 0; instance < fleet.size(); ++instance)
    {
        fleet.stop(instance, false);
    }
    fleet.publish_list();
}

/// 60 instances in four data centres that have converged.
class a_converged_fleet : public testing::Test
{
protected:
    void SetUp() override
    {
        ASSERT_TRUE(this->fleet.run_until_converged(20s));
        this->fleet.run(10s);
    }

    /// Instances that watch the platform now: those whose stop lowers the
    /// count.
    std::set<std::size_t> watchers()
    {
        std::set<std::size_t> watching_instances;
        for (std::size_t instance = 0; instance < this->fleet.size();
             ++instance)
        {
            const std::size_t watching_before = this->fleet.watching();
            this->fleet.stop(instance, true);
            if (this->fleet.watching() < watching_before)
            {
                watching_instances.insert(instance);
            }
            this->fleet.stop(instance, false);
        }
        return watching_instances;
    }

    spread_fleet fleet{{60, 4, 8, 64, 7}};
};

} // namespace

// Guards against sequences of faults after which an instance goes back to an
// older version, or does not get the newest one after the faults have ended.
TEST(spread, versions_only_rise_and_all_converge_after_the_faults)
{
    const bool holds = rc::check(
        "versions rise and converge",
        []
        {
            spread_fleet fleet({*rc::gen::inRange<std::size_t>(2, 20),
                                *rc::gen::inRange<std::size_t>(1, 4), 4, 16,
                                *rc::gen::arbitrary<std::uint64_t>()});
            // Use the full size from the first case on, because short runs have
            // few faults.
            const int event_count =
                *rc::gen::resize(100, rc::gen::inRange(1, 25));
            for (int count = 0; count < event_count; ++count)
            {
                apply_random_event(fleet);
                RC_ASSERT(!fleet.has_reverted());
            }
            end_faults(fleet);
            RC_ASSERT(fleet.run_until_converged(60s));
            fleet.publish_document();
            RC_ASSERT(fleet.run_until_converged(12s));
            RC_ASSERT(!fleet.has_reverted());
        });
    EXPECT_TRUE(holds);
}

// Guards against a fleet in which every instance reads the platform, and
// against a data centre without a watcher.
TEST_F(a_converged_fleet, has_two_watchers_in_each_data_centre)
{
    EXPECT_EQ(this->fleet.watching(), 8U);
    std::map<std::size_t, int> by_data_centre;
    for (const std::size_t instance : this->watchers())
    {
        ++by_data_centre[instance % 4];
    }
    EXPECT_EQ(by_data_centre,
              (std::map<std::size_t, int>{{0, 2}, {1, 2}, {2, 2}, {3, 2}}));
}

// Guards against changes that are no longer distributed when all watchers stop
// at once while the list still names them.
TEST_F(a_converged_fleet, replaces_all_its_watchers_when_they_stop)
{
    for (const std::size_t instance : this->watchers())
    {
        this->fleet.stop(instance, true);
    }
    EXPECT_EQ(this->fleet.watching(), 0U);
    this->fleet.publish_document();
    EXPECT_TRUE(this->fleet.run_until_converged(12s));
    this->fleet.run(10s);
    EXPECT_EQ(this->fleet.watching(), 8U);
}

// Guards against an instance that cannot join while the platform is
// unavailable.
TEST_F(a_converged_fleet, lets_an_instance_join_without_the_platform)
{
    this->fleet.faults.platform_unavailable = true;
    this->fleet.restart(33);
    EXPECT_EQ(this->fleet.document_version(33), 0U);
    EXPECT_TRUE(this->fleet.run_until_converged(12s));
}

// Guards against one instance that sends the document to all other instances.
TEST_F(a_converged_fleet, relays_a_change_with_few_copies_from_each_instance)
{
    std::map<std::size_t, std::size_t> copies;
    std::size_t bytes = 0;
    this->fleet.on_send =
        [&copies, &bytes](std::size_t from, const core::outgoing& sent)
    {
        const auto* part = std::get_if<core::document_part>(&sent.message);
        if (part != nullptr)
        {
            copies[from] += part->index == 0 ? 1 : 0;
            bytes += part->text.size();
        }
    };
    this->fleet.publish_document();
    ASSERT_TRUE(this->fleet.run_until_converged(12s));
    std::size_t total_copies = 0;
    for (const auto& [instance, count] : copies)
    {
        EXPECT_LE(count, 10U) << instance;
        total_copies += count;
    }
    // 52 instances are not watchers; unchanged parts are sent as empty text.
    EXPECT_LE(total_copies, 60U);
    EXPECT_LE(bytes, total_copies * (64 + 64));
}

// Guards against instances with different lists, caused by a difference that is
// damaged or applied to another list than the one it was made from.
TEST(list_text, of_any_base_gives_the_list_or_nothing)
{
    const auto list = [](std::uint64_t version, std::vector<int> numbers)
    {
        core::instance_list created{version, {}};
        for (const int number : numbers)
        {
            created.instances.push_back({"entry-" + std::to_string(number),
                                         "10.0.0.1", 7000, "dc", "r",
                                         number % 3 == 0});
        }
        return created;
    };
    const auto first_list = list(1, {1, 2, 3});
    const auto second_list = list(2, {2, 3, 4});
    const auto third_list = list(3, {1, 2, 3, 4, 5});
    core::list_history history;
    history.add(first_list, second_list);
    history.add(second_list, third_list);
    const std::string difference = history.text_since(1, third_list);
    EXPECT_LT(difference.size(), history.text_since(9, third_list).size());
    const auto applied = core::read_list_text(3, difference, first_list);
    ASSERT_TRUE(applied);
    EXPECT_EQ(applied->instances.size(), 5U);
    EXPECT_FALSE(core::read_list_text(3, difference, list(1, {1, 2, 3, 7})));
    EXPECT_TRUE(core::read_list_text(3, history.text_since(0, third_list), {}));
    const bool holds =
        rc::check("damaged text",
                  [&difference, &first_list]
                  {
                      std::string text = difference;
                      const auto position =
                          *rc::gen::inRange<std::size_t>(0, text.size());
                      const char replacement = *rc::gen::arbitrary<char>();
                      RC_PRE(text[position] != replacement);
                      text[position] = replacement;
                      RC_ASSERT(!core::read_list_text(3, text, first_list));
                  });
    EXPECT_TRUE(holds);
}
