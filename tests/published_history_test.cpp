/// Instances that follow a source whose answers come late, twice or not at all,
/// and that pass on to each other what they have.
#include "source_model.hpp"

#include <gtest/gtest.h>
#include <platform/decode.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using namespace std::chrono_literals;

/// Given a source and two instances that read it.
class a_followed_source : public testing::Test
{
protected:
    void SetUp() override
    {
        for (int number = 0; number < 4; ++number)
        {
            this->source.put(key_of(number));
        }
    }

    net::source_listing ask(const net::published& instance) const
    {
        return this->source.list(instance.revision());
    }

    void list(net::published& instance) const
    {
        ASSERT_TRUE(instance.apply_listing(this->ask(instance), start));
    }

    void watch(net::published& instance) const
    {
        instance.apply_changes(this->source.changes_after(instance.revision()),
                               this->source.revision, start);
    }

    /// Passes on what the second one lacks.
    static void pass_on(const net::published& from, net::published& to)
    {
        ASSERT_FALSE(to.apply_text(from.text_since(to.revision()), start));
    }

    static bool uses(const net::published& instance, int number)
    {
        return instance.servers().find("i-" + std::to_string(number)) !=
               nullptr;
    }

    source_model source;
    net::published first{platform::read_item, [] {}};
    net::published second{platform::read_item, [] {}};
};

/// And the second instance starts, its listing comes late and a server leaves
/// meanwhile.
class a_listing_that_comes_late : public a_followed_source
{
protected:
    void SetUp() override
    {
        a_followed_source::SetUp();
        this->list(this->first);
        this->late = this->ask(this->second);
        this->source.remove(key_of(0));
        this->watch(this->first);
    }

    net::source_listing late;
};

// Guards against a server that has left and is used again by an instance that
// has started: another instance's complete list, which names no removals, comes
// before the instance's own, older listing.
TEST_F(a_listing_that_comes_late, brings_no_server_back_that_a_peer_lacks)
{
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->second.apply_listing(this->late, start));
    EXPECT_FALSE(this->uses(this->second, 0));
    EXPECT_TRUE(this->uses(this->second, 1));
    EXPECT_EQ(this->second.counters().listings_outdated, 1U);
    // It is asked for again.
    this->list(this->second);
    EXPECT_FALSE(this->uses(this->second, 0));
    // The server starts again.
    this->source.put(key_of(0));
    this->watch(this->second);
    EXPECT_TRUE(this->uses(this->second, 0));
}

// Guards against a sound server that is not used because the instance that
// passed its list on lacks it: the source, asked again, still has it.
TEST_F(a_listing_that_comes_late, is_asked_for_again_if_a_peer_lacks_a_server)
{
    net::published lacking{platform::read_item, [] {}};
    net::source_listing part = this->source.list(0);
    std::erase_if(part.items,
                  [](const published_item& item)
                  {
                      return item.key == key_of(1);
                  });
    ASSERT_TRUE(lacking.apply_listing(part, start));
    this->pass_on(lacking, this->second);
    EXPECT_FALSE(this->uses(this->second, 1));
    EXPECT_FALSE(this->second.apply_listing(this->late, start));
    this->list(this->second);
    EXPECT_TRUE(this->uses(this->second, 1));
}

// Guards against a listing that is refused for good: after the source has come
// back from an older copy, all its listings have lower revisions than what the
// instance knew when it asked.
TEST_F(a_listing_that_comes_late, counts_when_the_source_has_gone_back)
{
    this->pass_on(this->first, this->second);
    this->source.revision = 5;
    this->source.put(key_of(7));
    this->list(this->second);
    EXPECT_TRUE(this->uses(this->second, 7));
}

// Guards against the same at an instance that starts just then: its first
// listing is asked for before it hears of the higher revision.
TEST_F(a_listing_that_comes_late, is_asked_for_again_if_the_source_went_back)
{
    this->source.revision = 5;
    this->source.put(key_of(7));
    const net::source_listing early = this->ask(this->second);
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->second.apply_listing(early, start));
    this->list(this->second);
    EXPECT_TRUE(this->uses(this->second, 7));
    // Once the source is past the revision of before, its changes count too.
    this->source.revision = 40;
    this->source.put(key_of(9));
    this->watch(this->second);
    EXPECT_TRUE(this->uses(this->second, 9));
}

// Guards against a listing that each instance asks for again without end while
// changes with their removals are passed on.
TEST_F(a_listing_that_comes_late, counts_when_only_changes_have_come_meanwhile)
{
    this->pass_on(this->first, this->second);
    const net::source_listing next = this->ask(this->second);
    this->source.put(key_of(8));
    this->source.remove(key_of(1));
    this->watch(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_TRUE(this->second.apply_listing(next, start));
    EXPECT_FALSE(this->uses(this->second, 1));
    EXPECT_TRUE(this->uses(this->second, 8));
}

// Guards against a withdrawn key or route that is in force again: the late
// listing has an older document than the one that was passed on.
TEST_F(a_listing_that_comes_late, brings_no_older_document_back)
{
    const auto document_text = [](const std::string& version)
    {
        return R"({"version":")" + version +
               R"(","routes":{"columns":["name"],"rows":[]},"services":)"
               R"({"columns":["name"],"rows":[]},"limits":{"maxHeaderBytes":)"
               R"(2048,"maxBodyBytes":1000,"headerTimeout":"3s",)"
               R"("idleTimeout":"15s"}})";
    };
    const auto listing_of =
        [&](const std::string& version, std::uint64_t revision)
    {
        net::source_listing listing;
        listing.position = revision;
        listing.items = {{"op/config", document_text(version), revision}};
        return listing;
    };
    ASSERT_TRUE(this->first.apply_listing(listing_of("r2", 30), start));
    this->pass_on(this->first, this->second);
    ASSERT_NE(this->second.document(), nullptr);
    EXPECT_FALSE(this->second.apply_listing(listing_of("r1", 20), start));
    EXPECT_EQ(this->second.document()->version, 2U);
    // Nor does one that is listed anew.
    EXPECT_TRUE(this->second.apply_listing(listing_of("r1", 40), start));
    EXPECT_EQ(this->second.document()->version, 2U);
}

/// And the second instance gets a complete list while an answer to its watch,
/// with a server that has left meanwhile, is on the way.
class a_watch_answered_late : public a_followed_source
{
protected:
    void SetUp() override
    {
        a_followed_source::SetUp();
        this->list(this->second);
        this->source.put(key_of(5));
        this->late = this->source.changes_after(this->second.revision());
        this->late_revision = this->source.revision;
        this->source.remove(key_of(5));
        this->list(this->first);
        this->pass_on(this->first, this->second);
    }

    std::vector<published_item> late;
    std::uint64_t late_revision = 0;
};

// Guards against a server that has left and is used again: the answer to a
// watch comes late, or a second time, after a complete list without the server.
// It may come so after a freeze or a cut.
TEST_F(a_watch_answered_late, brings_no_server_back_that_has_left)
{
    for (int count = 0; count < 2; ++count)
    {
        this->second.apply_changes(this->late, this->late_revision, start);
        EXPECT_FALSE(this->uses(this->second, 5));
    }
    EXPECT_EQ(this->second.revision(), this->source.revision);
    // The server starts again.
    this->source.put(key_of(5));
    this->watch(this->second);
    EXPECT_TRUE(this->uses(this->second, 5));
}

// Guards against a sound server that is not used because the instance that
// passed its list on lacks it: the answer to the watch covers that list.
TEST_F(a_watch_answered_late, brings_a_server_that_a_peer_lacks)
{
    net::published third{platform::read_item, [] {}};
    this->list(third);
    const std::uint64_t after = third.revision();
    this->source.put(key_of(5));
    net::source_listing part = this->source.list(0);
    std::erase_if(part.items,
                  [](const published_item& item)
                  {
                      return item.key == key_of(5);
                  });
    net::published lacking{platform::read_item, [] {}};
    ASSERT_TRUE(lacking.apply_listing(part, start));
    this->pass_on(lacking, third);
    EXPECT_FALSE(this->uses(third, 5));
    this->source.put(key_of(8));
    third.apply_changes(this->source.changes_after(after),
                        this->source.revision, start);
    EXPECT_TRUE(this->uses(third, 5));
}

// Guards against servers that have left and are used again because more have
// left at once than removals are kept: by a late listing, or by an answer to a
// watch that comes again.
TEST_F(a_followed_source, refuses_late_answers_after_many_removals)
{
    constexpr int many = 700;
    for (int number = 0; number < many; ++number)
    {
        this->source.put(key_of(number));
    }
    this->list(this->first);
    this->list(this->second);
    const net::source_listing late = this->ask(this->second);
    const std::vector<published_item> repeated = this->source.changes_after(10);
    for (int number = 1; number < many; ++number)
    {
        this->source.remove(key_of(number));
    }
    this->watch(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_EQ(this->second.servers().all().size(), 1U);
    EXPECT_FALSE(this->second.apply_listing(late, start));
    EXPECT_EQ(this->second.servers().all().size(), 1U);
    for (net::published* instance : {&this->first, &this->second})
    {
        instance->apply_changes(repeated, late.position, start);
        EXPECT_EQ(instance->servers().all().size(), 1U);
    }
    this->list(this->second);
    EXPECT_EQ(this->second.servers().all().size(), 1U);
}

// Guards against a server that has left and is used again: the instance never
// had it when a peer told of its removal, but its own late listing has it.
TEST_F(a_followed_source, keeps_removals_of_servers_that_were_not_known)
{
    this->list(this->first);
    this->list(this->second);
    this->source.put(key_of(6));
    const net::source_listing late = this->ask(this->second);
    this->watch(this->first);
    this->source.remove(key_of(6));
    this->watch(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_TRUE(this->second.apply_listing(late, start));
    EXPECT_FALSE(this->uses(this->second, 6));
    // The server starts again.
    this->source.put(key_of(6));
    this->watch(this->second);
    EXPECT_TRUE(this->uses(this->second, 6));
}

// Guards against a sound server that is not used any more: the instance that
// passed its list on lacks it, and the source's later listing has it.
TEST_F(a_followed_source, uses_a_listed_server_again_that_a_peer_lacked)
{
    this->list(this->second);
    this->source.put(key_of(8));
    net::source_listing part = this->source.list(0);
    std::erase_if(part.items,
                  [](const published_item& item)
                  {
                      return item.key == key_of(1);
                  });
    ASSERT_TRUE(this->first.apply_listing(part, start));
    ASSERT_FALSE(this->second.apply_text(this->first.text_since(0), start));
    EXPECT_FALSE(this->uses(this->second, 1));
    this->list(this->second);
    EXPECT_TRUE(this->uses(this->second, 1));
}

/// And the first instance lists the source again, because the history was lost
/// in which a server has come and gone.
class a_list_after_lost_history : public a_followed_source
{
protected:
    void SetUp() override
    {
        a_followed_source::SetUp();
        this->list(this->first);
        this->list(this->second);
        this->base = this->first.revision();
        this->source.put(key_of(8));
        this->source.put(key_of(6));
        this->watch(this->second);
        ASSERT_TRUE(this->uses(this->second, 6));
        this->source.remove(key_of(6));
        this->source.put(key_of(7));
        this->list(this->first);
    }

    void expect_followed(const net::published& instance)
    {
        EXPECT_EQ(instance.revision(), this->source.revision);
        EXPECT_FALSE(this->uses(instance, 6));
        EXPECT_TRUE(this->uses(instance, 7));
        EXPECT_TRUE(this->uses(instance, 8));
        EXPECT_TRUE(this->uses(instance, 0));
    }

    std::uint64_t base = 0; ///< of the first instance, before it listed again
};

// Guards against a server that has left and stays in use for good: the instance
// that passes its changes on never knew the server, so it names no removal.
TEST_F(a_list_after_lost_history, removes_servers_that_only_peers_knew)
{
    // The changes since the last ones that the first instance passed on.
    ASSERT_FALSE(
        this->second.apply_text(this->first.text_since(this->base), start));
    this->expect_followed(this->second);
}

// Guards against the same when the instance that lags behind asks itself.
TEST_F(a_list_after_lost_history, removes_them_where_a_peer_asks)
{
    this->pass_on(this->first, this->second);
    this->expect_followed(this->second);
}

// Guards against the same at a third instance, over one that has the changes
// from the first.
TEST_F(a_list_after_lost_history, removes_them_where_it_is_passed_on)
{
    net::published third{platform::read_item, [] {}};
    ASSERT_FALSE(third.apply_text(this->second.text_since(0), start));
    net::published between{platform::read_item, [] {}};
    net::source_listing earlier = this->source.list(0);
    earlier.items.clear();
    for (int number = 0; number < 4; ++number)
    {
        earlier.items.push_back(this->source.items.at(key_of(number)));
    }
    earlier.position = this->base;
    ASSERT_TRUE(between.apply_listing(earlier, start));
    this->pass_on(this->first, between);
    this->pass_on(between, third);
    this->expect_followed(third);
}

// Guards against the same when the sender names an earlier removal of the
// server, which has come back and left again in the history that was lost.
TEST_F(a_followed_source, loses_a_server_that_came_back_in_a_lost_history)
{
    this->list(this->first);
    this->list(this->second);
    const std::uint64_t base = this->first.revision();
    this->source.remove(key_of(0));
    this->watch(this->first);
    this->source.put(key_of(0));
    this->watch(this->second);
    ASSERT_TRUE(this->uses(this->second, 0));
    this->source.remove(key_of(0));
    this->source.put(key_of(7));
    this->list(this->first);
    ASSERT_FALSE(this->second.apply_text(this->first.text_since(base), start));
    EXPECT_EQ(this->second.revision(), this->source.revision);
    EXPECT_FALSE(this->uses(this->second, 0));
}

// Guards against a complete list for each peer after a lost history: the
// changes suffice where a peer had what the instance had before.
TEST_F(a_list_after_lost_history, is_passed_on_as_changes)
{
    EXPECT_LT(this->first.text_since(this->base).size(),
              this->first.text_since(0).size());
}

// Guards against sound servers that get no grace period at an instance that
// lags far behind: their entries have lapsed while the source was away, and the
// complete list of another instance lacks them.
TEST_F(a_followed_source, passes_lapses_on_with_a_complete_list)
{
    this->list(this->first);
    this->list(this->second);
    this->source.remove(key_of(0));
    this->source.remove(key_of(1));
    std::vector<published_item> changes =
        this->source.changes_after(this->first.revision());
    changes.front().removal = core::removal_kind::lapsed;
    this->first.apply_changes(changes, this->source.revision, start);
    ASSERT_FALSE(this->second.apply_text(this->first.text_since(0), start));
    EXPECT_TRUE(this->uses(this->second, 0));
    EXPECT_FALSE(this->uses(this->second, 1));
    this->second.servers().tick(start + 3s);
    EXPECT_FALSE(this->uses(this->second, 0));
}

// Guards against a server that has left and is used again for a grace period:
// what lapsed long ago, and has not come back, has left.
TEST_F(a_followed_source, passes_old_lapses_on_as_removals)
{
    this->list(this->first);
    this->list(this->second);
    net::published third{platform::read_item, [] {}};
    this->list(third);
    this->source.remove(key_of(0));
    std::vector<published_item> changes =
        this->source.changes_after(this->first.revision());
    changes.front().removal = core::removal_kind::lapsed;
    this->first.apply_changes(changes, this->source.revision, start);
    this->first.servers().tick(start + 3s);
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->uses(this->second, 0));
    ASSERT_FALSE(third.apply_text(this->first.text_since(0), start));
    EXPECT_FALSE(this->uses(third, 0));
}
