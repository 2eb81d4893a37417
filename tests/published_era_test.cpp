/// Instances that follow a source which comes back from an older copy, and that
/// pass on to each other what they have: one case for each row of the table in
/// docs/design.md, section 8.
#include "source_model.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/decode.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;
using namespace std::chrono_literals;

namespace
{

std::string
announcement(const std::string& state, unsigned sequence, unsigned born = 17)
{
    return fmt::format(
        R"({{"address":"10.0.0.9:8080","info":{{"service":"orders",)"
        R"("version":"v1","zone":"suva","slots":3}},"status":{{"state":"{}",)"
        R"("sequence":{},"warmupLeft":"0ms"}},"born":{}}})",
        state, sequence, born);
}

std::string document(unsigned version)
{
    return fmt::format(
        R"({{"version":"r{}","routes":{{"columns":["name"],"rows":[]}},)"
        R"("services":{{"columns":["name"],"rows":[]}},"limits":)"
        R"({{"maxHeaderBytes":2048,"maxBodyBytes":1000,"headerTimeout":"3s",)"
        R"("idleTimeout":"15s"}}}})",
        version);
}

/// Longer than the grace period of a server whose announcement has lapsed.
constexpr auto after_grace = 3s;

/// Longer than a server may be silent before the source removes it.
constexpr auto after_leases = 20s;

} // namespace

/// Given a source with a document and servers, a copy of it, and instances that
/// have read it.
class a_copied_source : public testing::Test
{
protected:
    void SetUp() override
    {
        this->source.era = 1;
        this->source.put("op/config", document(1));
        for (int number = 0; number < 4; ++number)
        {
            this->source.put(key_of(number), announcement("ready", 1));
        }
        this->read(this->first);
        this->read(this->second);
        this->source.make_copy();
    }

    /// Reads as an instance does: by a watch, or by a listing in a new era.
    void read(net::published& instance) const
    {
        const core::source_position known = instance.position();
        if (known.revision == 0 || known.era != this->source.era)
        {
            ASSERT_TRUE(
                instance.apply_listing(this->source.list(known), this->now));
            return;
        }
        instance.apply_changes(this->source.changes_after(known.revision),
                               this->source.position(), this->now);
    }

    void all_read()
    {
        this->read(this->first);
        this->read(this->second);
    }

    /// Passes on what the second one lacks.
    void pass_on(const net::published& from, net::published& to) const
    {
        ASSERT_FALSE(to.apply_text(from.text_since(to.position()), this->now));
    }

    bool uses(net::published& instance, int number) const
    {
        instance.servers().tick(this->now);
        const core::announced_server* server =
            instance.servers().find("i-" + std::to_string(number));
        return server != nullptr && !server->leaving;
    }

    static std::uint64_t version(const net::published& instance)
    {
        return instance.document() ? instance.document()->version : 0;
    }

    core::time_point now = start;
    source_model source;
    net::published first{platform::read_item, [] {}};
    net::published second{platform::read_item, [] {}};
    net::published starting{platform::read_item, [] {}};
};

// Guards against changes that are passed over because their revisions were
// given out before the source came back from the copy.
TEST_F(a_copied_source, is_followed_although_revisions_come_again)
{
    this->source.put("op/config", document(2));
    this->source.put(key_of(1), announcement("ready", 2));
    this->source.put(key_of(2), announcement("ready", 2));
    this->all_read();
    this->source.restore_copy();
    this->read(this->first);
    EXPECT_EQ(this->first.position(), this->source.position());
    this->source.put("op/config", document(3));
    this->source.put(key_of(1), announcement("draining", 3));
    this->source.remove(key_of(2));
    this->read(this->first);
    EXPECT_EQ(version(this->first), 3U);
    EXPECT_FALSE(this->uses(this->first, 1));
    EXPECT_FALSE(this->uses(this->first, 2));
    // The same at an instance that follows another one, and at a late reader.
    this->pass_on(this->first, this->second);
    EXPECT_EQ(this->second.position(), this->source.position());
    EXPECT_EQ(version(this->second), 3U);
    EXPECT_FALSE(this->uses(this->second, 1));
    EXPECT_FALSE(this->uses(this->second, 2));
    EXPECT_TRUE(this->uses(this->second, 3));
}

/// And since the copy version 2 was written, a server has left, one says that
/// it leaves, one has started again under its name and one has joined; then the
/// source comes back from the copy.
class a_source_back_from_its_copy : public a_copied_source
{
protected:
    static constexpr int left = 0;
    static constexpr int leaving = 1;
    static constexpr int restarted = 2;
    static constexpr int joined = 7;

    void SetUp() override
    {
        a_copied_source::SetUp();
        this->source.put("op/config", document(2));
        this->source.remove(key_of(left));
        this->source.put(key_of(leaving), announcement("draining", 2));
        this->source.put(key_of(restarted), announcement("ready", 1, 40));
        this->source.put(key_of(joined), announcement("ready", 1));
        this->all_read();
        this->source.restore_copy();
    }

    void expect_kept(net::published& instance)
    {
        EXPECT_EQ(version(instance), 2U);
        EXPECT_FALSE(this->uses(instance, left));
        EXPECT_FALSE(this->uses(instance, leaving));
        EXPECT_TRUE(this->uses(instance, restarted));
        EXPECT_EQ(instance.servers().find("i-2")->started, 40U);
        EXPECT_TRUE(this->uses(instance, 3));
    }
};

// Guards against a configuration, a withdrawn key or a server's leaving that
// the copy undoes.
TEST_F(a_source_back_from_its_copy, undoes_nothing_that_is_held)
{
    this->read(this->first);
    this->expect_kept(this->first);
    this->pass_on(this->first, this->second);
    this->expect_kept(this->second);
    EXPECT_EQ(this->first.carried_digest(), this->second.carried_digest());
    EXPECT_NE(this->first.carried_digest(), 0U);
}

// Guards against a server that is lost although it lives, and against one that
// stays in use although it has gone: the copy lacks it.
TEST_F(a_source_back_from_its_copy, keeps_a_server_that_it_lacks_for_a_while)
{
    this->read(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_TRUE(this->uses(this->first, joined));
    EXPECT_TRUE(this->uses(this->second, joined));
    this->now += 1s;
    this->source.put(key_of(joined), announcement("ready", 2));
    this->read(this->first);
    this->now += after_grace;
    EXPECT_TRUE(this->uses(this->first, joined));
    EXPECT_FALSE(this->uses(this->second, joined));
    this->pass_on(this->first, this->second);
    EXPECT_TRUE(this->uses(this->second, joined));
}

// Guards against an instance that starts in the gap and serves what the copy
// has: it learns from the others what the source has lost.
TEST_F(a_source_back_from_its_copy, is_completed_for_an_instance_that_starts)
{
    this->read(this->first);
    this->read(this->starting);
    EXPECT_EQ(version(this->starting), 1U);
    EXPECT_EQ(this->starting.position(), this->first.position());
    EXPECT_NE(this->starting.carried_digest(), this->first.carried_digest());
    this->pass_on(this->first, this->starting);
    this->expect_kept(this->starting);
    EXPECT_EQ(this->starting.carried_digest(), this->first.carried_digest());
    // Also if it has heard of the others before it has read anything.
    net::published next{platform::read_item, [] {}};
    this->pass_on(this->first, next);
    this->expect_kept(next);
}

// Guards against the same at instances that have not heard the same: each one
// knows something that the other one lacks.
TEST_F(a_source_back_from_its_copy, is_completed_for_instances_that_missed_part)
{
    net::published third{platform::read_item, [] {}};
    ASSERT_TRUE(third.apply_listing(this->source.list({}), this->now));
    this->pass_on(this->first, third); // of the earlier era: changes nothing
    EXPECT_EQ(version(third), 1U);
    this->pass_on(third, this->first);
    this->expect_kept(this->first);
    this->pass_on(this->first, third);
    this->expect_kept(third);
    this->pass_on(third, this->second);
    this->expect_kept(this->second);
}

// Guards against what is kept for good although it was written again: a
// document and removals of the new era count, whatever their revision.
TEST_F(a_source_back_from_its_copy, is_written_again)
{
    this->read(this->first);
    this->read(this->starting);
    this->pass_on(this->first, this->starting);
    this->source.put("op/config", document(2));
    this->source.remove(key_of(left));
    this->source.put(key_of(leaving), announcement("draining", 2));
    this->source.put(key_of(restarted), announcement("ready", 1, 40));
    this->read(this->first);
    this->read(this->starting);
    this->pass_on(this->first, this->second);
    for (net::published* instance :
         {&this->first, &this->second, &this->starting})
    {
        this->expect_kept(*instance);
        EXPECT_EQ(instance->carried_digest(), 0U);
    }
    this->source.remove(key_of(restarted));
    this->source.put("op/config", document(4));
    this->read(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->uses(this->second, restarted));
    EXPECT_EQ(version(this->second), 4U);
}

// Guards against a server that has left and is in use again because its removal
// is not written again, and against one that is never used again: a server that
// starts again under its name, or one that had only lapsed, announces itself.
TEST_F(a_source_back_from_its_copy, lists_a_server_whose_removal_it_has_lost)
{
    this->read(this->first);
    this->now += after_grace;
    this->read(this->first);
    ASSERT_TRUE(this->first.apply_listing(
        this->source.list(this->first.position()), this->now));
    EXPECT_FALSE(this->uses(this->first, left));
    this->source.put(key_of(left), announcement("ready", 1, 50));
    this->read(this->first);
    EXPECT_TRUE(this->uses(this->first, left));
    this->source.remove(key_of(left));
    this->source.put(key_of(left), announcement("ready", 2, 50));
    this->read(this->first);
    EXPECT_TRUE(this->uses(this->first, left));
}

// Guards against a sound server that is lost for good: its entry had expired
// before the return, and it goes on without a change of its entry. A server
// that had said that it leaves stays out of use.
TEST_F(a_source_back_from_its_copy, lists_a_server_that_had_only_expired)
{
    this->source.restore_copy();
    this->read(this->first);
    this->read(this->starting);
    this->pass_on(this->first, this->starting);
    this->pass_on(this->first, this->second);
    for (net::published* instance :
         {&this->first, &this->second, &this->starting})
    {
        instance->tick(this->now);
        EXPECT_FALSE(this->uses(*instance, left));
    }
    this->now += after_leases;
    for (net::published* instance :
         {&this->first, &this->second, &this->starting})
    {
        instance->tick(this->now);
        EXPECT_TRUE(this->uses(*instance, left));
        EXPECT_FALSE(this->uses(*instance, leaving));
    }
}

// Guards against a server that is taken out of use again and again: instances
// that have heard of the return later carry its removal for longer.
TEST_F(a_source_back_from_its_copy, ends_a_removal_at_each_instance_by_itself)
{
    this->read(this->first);
    this->now += after_leases;
    this->pass_on(this->first, this->second);
    this->first.tick(this->now);
    this->second.tick(this->now);
    EXPECT_TRUE(this->uses(this->first, left));
    EXPECT_FALSE(this->uses(this->second, left));
    this->pass_on(this->second, this->first);
    EXPECT_TRUE(this->uses(this->first, left));
    this->now += after_leases;
    this->second.tick(this->now);
    EXPECT_TRUE(this->uses(this->second, left));
    EXPECT_EQ(this->first.carried_digest(), this->second.carried_digest());
}

// Guards against a server that leaves, whose entry ends before the return, and
// that is used again since the source lists it as ready.
TEST_F(a_copied_source, lists_a_server_that_had_said_that_it_leaves)
{
    this->source.put(key_of(1), announcement("draining", 2));
    this->all_read();
    this->source.remove(key_of(1));
    this->all_read();
    this->source.restore_copy();
    this->read(this->first);
    this->pass_on(this->first, this->second);
    this->now += after_leases;
    for (net::published* instance : {&this->first, &this->second})
    {
        instance->tick(this->now);
        EXPECT_FALSE(this->uses(*instance, 1));
    }
}

/// And one server's entry has ended in a way that may only be a lapse.
class a_source_with_a_lapsed_server : public a_copied_source
{
protected:
    static constexpr int lapsed = 1;

    void SetUp() override
    {
        a_copied_source::SetUp();
        const std::uint64_t before = this->source.revision;
        this->source.remove(key_of(lapsed));
        this->changes = this->source.changes_after(before);
        this->changes.front().removal = core::removal_kind::lapsed;
        this->first.apply_changes(this->changes, this->source.position(),
                                  this->now);
    }

    std::vector<published_item> changes;
};

// Guards against a server that has left, right after a return, and is used
// again after the next one: its removal counted as a lapse for good.
TEST_F(a_source_with_a_lapsed_server, returns_after_the_grace_period)
{
    this->now += after_grace;
    ASSERT_FALSE(this->uses(this->first, lapsed));
    this->source.restore_copy();
    this->read(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->uses(this->first, lapsed));
    EXPECT_FALSE(this->uses(this->second, lapsed));
    this->source.put(key_of(lapsed), announcement("ready", 2));
    this->read(this->first);
    EXPECT_TRUE(this->uses(this->first, lapsed));
}

// Guards against a live server that is out of use since its announcements were
// lost just before the return.
TEST_F(a_source_with_a_lapsed_server, returns_within_the_grace_period)
{
    this->now += 1s;
    this->source.restore_copy();
    this->read(this->first);
    EXPECT_TRUE(this->uses(this->first, lapsed));
    this->now += after_grace;
    EXPECT_TRUE(this->uses(this->first, lapsed));
}

// Guards against the same if the instance hears of the lapse once more, from
// one that takes it for a removal.
TEST_F(a_source_with_a_lapsed_server, returns_after_a_second_word_of_the_lapse)
{
    this->changes.front().removal = core::removal_kind::certain;
    this->first.apply_changes(this->changes, this->source.position(),
                              this->now);
    this->source.restore_copy();
    this->read(this->first);
    this->now += after_grace;
    EXPECT_TRUE(this->uses(this->first, lapsed));
}

// Guards against a sound server that is dropped at once because the instance
// that passes the new era on has never had it.
TEST_F(a_source_back_from_its_copy, is_passed_on_by_an_instance_that_starts)
{
    this->read(this->starting);
    this->pass_on(this->starting, this->first);
    EXPECT_TRUE(this->uses(this->first, joined));
    this->now += after_grace;
    EXPECT_FALSE(this->uses(this->first, joined));
    this->expect_kept(this->first);
}

// Guards against a server that has left since the return and stays in use at an
// instance that hears of the return later.
TEST_F(a_source_back_from_its_copy, has_removed_a_server_in_the_new_era)
{
    this->read(this->first);
    this->source.remove(key_of(3));
    this->read(this->first);
    this->pass_on(this->first, this->second);
    EXPECT_FALSE(this->uses(this->second, 3));
    EXPECT_TRUE(this->uses(this->second, joined));
}

// Guards against the removals that are carried over being forgotten first.
TEST_F(a_source_back_from_its_copy, removes_many_servers)
{
    constexpr int many = 300;
    this->read(this->first);
    for (int number = 100; number < 100 + many; ++number)
    {
        this->source.put(key_of(number), announcement("ready", 1));
        this->source.remove(key_of(number));
    }
    this->read(this->first);
    ASSERT_TRUE(this->first.apply_listing(
        this->source.list(this->first.position()), this->now));
    EXPECT_FALSE(this->uses(this->first, left));
}

// Guards against an upgrade that is taken for a return: instances of an earlier
// release pass on what they have without an era.
TEST_F(a_copied_source, is_no_return_when_the_first_era_is_learned)
{
    source_model without_era = this->source;
    without_era.era = 0;
    for (auto& [key, item] : without_era.items)
    {
        item.position.era = 0;
    }
    ASSERT_TRUE(this->starting.apply_listing(without_era.list({}), this->now));
    this->source.remove(key_of(2));
    this->read(this->starting);
    EXPECT_EQ(this->starting.counters().eras_begun, 0U);
    EXPECT_FALSE(this->uses(this->starting, 2));
    EXPECT_TRUE(this->uses(this->starting, 3));
}

// Guards against answers of the earlier era that come late, from the source or
// from an instance that has not heard of the new one.
TEST_F(a_source_back_from_its_copy, makes_answers_of_before_count_for_nothing)
{
    const std::string text = this->second.text_since({});
    net::source_listing late = this->source.list({});
    late.position = this->second.position();
    for (published_item& item : late.items)
    {
        item.position.era = 1;
    }
    this->read(this->first);
    this->source.put("op/config", document(3));
    this->source.remove(key_of(3));
    this->read(this->first);
    EXPECT_FALSE(this->first.apply_text(text, this->now));
    EXPECT_FALSE(this->first.apply_listing(late, this->now));
    this->first.apply_changes(late.items, late.position, this->now);
    EXPECT_EQ(this->first.position(), this->source.position());
    EXPECT_EQ(version(this->first), 3U);
    EXPECT_FALSE(this->uses(this->first, 3));
    EXPECT_FALSE(this->uses(this->first, left));
}

// Guards against an instance that was frozen or cut off over two returns of the
// source, and against peers that are two eras behind.
TEST_F(a_source_back_from_its_copy, is_followed_over_two_returns)
{
    this->read(this->first);
    this->source.make_copy();
    this->source.put("op/config", document(3));
    this->source.remove(key_of(3));
    this->read(this->first);
    this->source.restore_copy();
    this->source.put(key_of(5), announcement("ready", 1));
    this->read(this->first);
    this->pass_on(this->first, this->second);
    this->read(this->starting);
    this->pass_on(this->first, this->starting);
    for (net::published* instance :
         {&this->first, &this->second, &this->starting})
    {
        EXPECT_EQ(instance->position(), this->source.position());
        EXPECT_EQ(version(*instance), 3U);
        EXPECT_FALSE(this->uses(*instance, left));
        EXPECT_FALSE(this->uses(*instance, leaving));
        EXPECT_FALSE(this->uses(*instance, 3));
        EXPECT_TRUE(this->uses(*instance, 5));
        EXPECT_TRUE(this->uses(*instance, restarted));
    }
}

// Guards against an era that a damaged message claims: nothing of it is taken,
// and what follows counts.
TEST_F(a_source_back_from_its_copy, is_not_replaced_by_a_damaged_era)
{
    const std::string text =
        R"({"at":5,"era":4000000000,"complete":true,"changes":[]})";
    EXPECT_TRUE(this->first.apply_text(text, this->now));
    this->read(this->first);
    this->expect_kept(this->first);
}

// Guards against a configuration that is lost because the copy is older than
// the first one.
TEST_F(a_copied_source, has_a_copy_without_a_configuration)
{
    source_model empty;
    empty.era = 2;
    empty.put(key_of(0), announcement("ready", 1));
    ASSERT_TRUE(
        this->first.apply_listing(empty.list(this->first.position()), start));
    EXPECT_EQ(version(this->first), 1U);
    ASSERT_TRUE(this->starting.apply_listing(empty.list({}), start));
    this->pass_on(this->first, this->starting);
    EXPECT_EQ(version(this->starting), 1U);
}
