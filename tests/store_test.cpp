#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/core/readers.hpp>
#include <medlarbarrow/net/published.hpp>
#include <platform/decode.hpp>
#include <platform/store.hpp>
#include <standin/store.hpp>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

const std::string config_text = R"({"version":"r7","routes":{"columns":["name",
"host","prefix","kind","timeout","targetLatency","priority","service",
"maxAttempts","authExempt","trafficSplit"],"rows":[["r1","a.example","/o/",
"unsafe","2500ms","800ms",1,"orders",2,false,null],["r2","a.example","/s/",
"safe","2s","0.5s",2,null,3,true,[{"service":"orders","weight":90},
{"service":"specs","weight":10}]]]},"services":{"columns":["name",
"healthCheck"],"rows":[["orders","/h"],["specs","/h"]]},"limits":{
"maxHeaderBytes":16384,"maxBodyBytes":1000,"headerTimeout":"3000ms",
"idleTimeout":"15000ms"},"tenants":{"columns":["name","apiKeys","priority",
"ratePerS","burst"],"rows":[["loft",["key-1","key-2"],1,58,60]]}})";

std::string server_text(const std::string& state, unsigned sequence = 1)
{
    return R"({"address":"10.0.0.9:8080","info":{"service":"orders",)"
           R"("version":"v1","zone":"suva","slots":3},"status":{"state":")" +
           state + R"(","sequence":)" + std::to_string(sequence) +
           R"(,"warmupLeft":"0ms"},"born":1700000000000})";
}

/// Time limit for a condition to become true. Only a failing test reaches it.
constexpr auto condition_timeout = 10s;

} // namespace

/// A store and the client of an instance that reads it.
class a_reader_of_the_store : public testing::Test
{
protected:
    void start()
    {
        auto created = platform::store::create(
            this->io, {"127.0.0.1", this->store.port()}, this->published);
        ASSERT_TRUE(created);
        this->reader = std::move(*created);
        this->reader->start();
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + condition_timeout;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->io.run_for(5ms);
            this->io.restart();
            this->published.servers().tick(core::boot_clock::now());
        }
        return condition();
    }

    bool has_version(std::uint64_t version)
    {
        return this->published.document() &&
               this->published.document()->version == version;
    }

    std::size_t usable_servers()
    {
        return this->published.servers().usable("orders").size();
    }

    standin::store store;
    boost::asio::io_context io;
    net::published published{platform::read_item, [] {}};
    std::unique_ptr<platform::store> reader;
};

// Guards against an instance that has only some of the items because it did not
// request every page of a listing.
TEST_F(a_reader_of_the_store, lists_all_pages)
{
    standin::store_faults faults;
    faults.page = 2;
    this->store.set_faults(faults);
    this->store.put("op/config", config_text);
    for (int index = 0; index < 7; ++index)
    {
        this->store.put("servers/i-" + std::to_string(index),
                        server_text("ready"));
    }
    this->start();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->has_version(7) && this->usable_servers() == 7;
        }));
    EXPECT_GE(this->store.counts().listings, 4U);
}

// Guards against changes that are missed, and against requests to a server that
// is draining or has been removed.
TEST_F(a_reader_of_the_store, follows_changes)
{
    this->store.put("op/config", config_text);
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->has_version(7);
        }));
    this->store.put("servers/i-1", server_text("ready"));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    this->store.put("servers/i-1", server_text("draining", 2));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 0;
        }));
    this->store.put("servers/i-2", server_text("ready"));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    this->store.remove("servers/i-2");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 0;
        }));
}

// Guards against a call that each instance of the fleet makes at its start,
// although others read the store for it.
TEST_F(a_reader_of_the_store, only_lists_when_it_is_soon_not_needed)
{
    this->store.put("op/config", config_text);
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->has_version(7);
        }));
    this->io.run_for(std::chrono::duration_cast<std::chrono::milliseconds>(
        core::source_update_period));
    this->io.restart();
    this->reader->set_reading_enabled(false);
    this->io.run_for(500ms);
    EXPECT_EQ(this->store.counts().watches, 0U);
}

// Guards against changes that are missed because the store has dropped the
// history from which the watch would have reported them.
TEST_F(a_reader_of_the_store, lists_again_when_the_history_is_lost)
{
    this->store.put("op/config", config_text);
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    this->store.remove("servers/i-1");
    this->store.put("servers/i-2", server_text("ready"));
    this->store.put("servers/i-3", server_text("ready"));
    this->store.drop_history();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->published.servers().find("i-1") == nullptr &&
                   this->usable_servers() == 2;
        }));
}

// Guards against the loss of all servers after an outage of the store, during
// which their entries lapsed.
TEST_F(a_reader_of_the_store,
       keeps_lapsed_servers_for_a_grace_period_after_an_outage)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->store.set_faults(faults);
    // Long enough for announcements to lapse.
    this->io.run_for(2500ms);
    this->io.restart();
    ASSERT_FALSE(this->reader->is_reachable());
    EXPECT_EQ(this->usable_servers(), 1U);
    this->store.remove("servers/i-1");
    this->store.set_faults({});
    const std::uint64_t revision_before = this->published.revision();
    ASSERT_TRUE(this->run_until(
        [this, revision_before]
        {
            return this->published.revision() > revision_before;
        }));
    EXPECT_EQ(this->usable_servers(), 1U);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 0;
        }));
}

// Guards against requests to a server that has left. The store refuses the
// calls of this reader but answers those of other instances, so this is no
// outage and the server has been removed.
TEST_F(a_reader_of_the_store,
       treats_a_removal_as_certain_if_the_store_answered_other_instances)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.status = 503;
    this->store.set_faults(faults);
    for (int count = 0; count < 13; ++count)
    {
        this->io.run_for(std::chrono::milliseconds(200));
        this->io.restart();
        this->reader->record_peer_confirmation();
    }
    this->store.remove("servers/i-1");
    this->store.set_faults({});
    const std::uint64_t revision_before = this->published.revision();
    ASSERT_TRUE(this->run_until(
        [this, revision_before]
        {
            return this->published.revision() > revision_before;
        }));
    EXPECT_EQ(this->usable_servers(), 0U);
}

// Guards against requests to a server that has left. After an outage the store
// answers this reader later than other instances, which have already passed on
// news from it. A server that is removed after that has not lapsed.
TEST_F(a_reader_of_the_store,
       treats_a_removal_as_certain_if_other_instances_had_changes)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->store.set_faults(faults);
    this->io.run_for(2500ms);
    this->io.restart();
    this->store.put("servers/i-2", server_text("draining"));
    core::source_position next = this->published.position();
    ++next.revision;
    this->published.apply_changes(
        {{"servers/i-2", server_text("draining"), next}}, next,
        core::boot_clock::now());
    this->store.remove("servers/i-1");
    this->store.set_faults({});
    const std::uint64_t revision_before = this->published.revision();
    ASSERT_TRUE(this->run_until(
        [this, revision_before]
        {
            return this->published.revision() > revision_before;
        }));
    EXPECT_EQ(this->usable_servers(), 0U);
}

// Guards against requests to a server that left some time after an outage: only
// entries that are missing when the store is reachable again may have lapsed.
TEST_F(a_reader_of_the_store, treats_a_removal_as_certain_soon_after_an_outage)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->store.set_faults(faults);
    this->io.run_for(2500ms);
    this->io.restart();
    this->store.set_faults({});
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->reader->is_reachable();
        }));
    this->io.run_for(1500ms);
    this->io.restart();
    this->store.remove("servers/i-1");
    const std::uint64_t revision_before = this->published.revision();
    ASSERT_TRUE(this->run_until(
        [this, revision_before]
        {
            return this->published.revision() > revision_before;
        }));
    EXPECT_EQ(this->usable_servers(), 0U);
}

// Guards against requests to a server that has left: a single failed call to
// the store shortly before the removal is not an outage.
TEST_F(a_reader_of_the_store, treats_a_removal_as_certain_after_one_failed_call)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.status = 429;
    this->store.set_faults(faults);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->reader->counters().failed_calls > 0;
        }));
    this->store.remove("servers/i-1");
    this->store.set_faults({});
    const std::uint64_t revision_before = this->published.revision();
    ASSERT_TRUE(this->run_until(
        [this, revision_before]
        {
            return this->published.revision() > revision_before;
        }));
    EXPECT_EQ(this->usable_servers(), 0U);
}

// Guards against an instance that waits forever on a connection on which the
// store accepts calls but does not answer.
TEST_F(a_reader_of_the_store, closes_a_silent_connection)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    standin::store_faults faults;
    faults.silent = true;
    this->store.set_faults(faults);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->reader->is_reachable();
        }));
    this->store.set_faults({});
    this->store.put("servers/i-2", server_text("ready"));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 2;
        }));
}

// Guards against the loss of all servers when the store refuses calls: a
// refusal must not be treated as an empty listing.
TEST_F(a_reader_of_the_store, keeps_its_servers_while_its_calls_are_refused)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    for (const unsigned status : {429U, 503U})
    {
        standin::store_faults faults;
        faults.status = status;
        this->store.set_faults(faults);
        const auto failed_before = this->reader->counters().failed_calls;
        ASSERT_TRUE(this->run_until(
            [this, failed_before]
            {
                return this->reader->counters().failed_calls > failed_before;
            }));
        EXPECT_EQ(this->usable_servers(), 1U);
    }
}

// Guards against needless load on the store by an instance that is not to read
// it, and against one that misses the changes in between when it reads again.
TEST_F(a_reader_of_the_store, makes_no_calls_while_reading_is_disabled)
{
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1;
        }));
    this->reader->set_reading_enabled(false);
    this->io.run_for(1s);
    this->io.restart();
    const auto calls_before = this->reader->counters().calls;
    this->store.put("servers/i-2", server_text("ready"));
    this->io.run_for(1500ms);
    this->io.restart();
    EXPECT_EQ(this->reader->counters().calls, calls_before);
    this->reader->set_reading_enabled(true);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 2;
        }));
}

namespace
{

/// A store that writes each answer a second time, at once or before the next.
class a_reader_of_a_store_that_repeats
    : public a_reader_of_the_store,
      public testing::WithParamInterface<bool>
{
};

} // namespace

// Guards against a repeated answer that is taken for the answer to the next
// call: the page of another prefix names no server, which removes all servers.
TEST_P(a_reader_of_a_store_that_repeats, keeps_its_servers)
{
    this->store.put("op/config", config_text);
    this->store.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 1 && this->has_version(7);
        }));
    standin::store_faults faults;
    faults.twice = GetParam();
    faults.again_later = !GetParam();
    this->store.set_faults(faults);
    for (int count = 0; count < 3; ++count)
    {
        const std::uint64_t listings = this->store.counts().listings;
        this->store.drop_history();
        ASSERT_TRUE(this->run_until(
            [this, listings]
            {
                return this->usable_servers() == 0 ||
                       this->store.counts().listings >= listings + 2;
            }));
        const auto end = std::chrono::steady_clock::now() + 300ms;
        while (std::chrono::steady_clock::now() < end &&
               this->usable_servers() == 1)
        {
            this->io.run_for(5ms);
            this->io.restart();
        }
        ASSERT_EQ(this->usable_servers(), 1U);
    }
}

INSTANTIATE_TEST_SUITE_P(at_once_or_later,
                         a_reader_of_a_store_that_repeats,
                         testing::Bool());

// Guards against a listing that ends early and is taken for a complete one,
// which would lack servers, at each byte of its head and of its body.
TEST_F(a_reader_of_the_store, believes_no_listing_that_ends_early)
{
    this->store.put("op/config", config_text);
    this->store.put("servers/i-1", server_text("ready"));
    for (const bool unframed : {false, true})
    {
        // The head of an answer and the start of its body.
        for (std::size_t bytes = 0; bytes < 120; ++bytes)
        {
            standin::store_faults faults;
            faults.unframed = unframed;
            faults.cut = bytes;
            this->store.set_faults(faults);
            const std::uint64_t listings = this->store.counts().listings;
            this->start();
            ASSERT_TRUE(this->run_until(
                [this, listings]
                {
                    return this->store.counts().listings > listings &&
                           this->reader->counters().failed_calls > 0;
                }))
                << "cut after " << bytes << " bytes";
            EXPECT_EQ(this->published.revision(), 0U)
                << "cut after " << bytes << " bytes";
        }
    }
}

// Guards against a server that has left and is used again, and without an end:
// its listing was asked for before it left and comes after another instance's
// list without it.
TEST_F(a_reader_of_the_store, lists_again_when_its_listing_is_outdated)
{
    this->store.put("op/config", config_text);
    this->store.put("servers/i-1", server_text("ready"));
    this->store.put("servers/i-2", server_text("ready"));
    standin::store_faults faults;
    faults.late_prefix = "servers/";
    faults.lateness = 300ms;
    this->store.set_faults(faults);
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->store.counts().listings == 2;
        }));
    this->store.remove("servers/i-1");
    net::published peer{platform::read_item, [] {}};
    auto reader_of_peer = platform::store::create(
        this->io, {"127.0.0.1", this->store.port()}, peer);
    ASSERT_TRUE(reader_of_peer);
    this->store.set_faults({});
    (*reader_of_peer)->start();
    ASSERT_TRUE(this->run_until(
        [&peer]
        {
            return peer.revision() > 0;
        }));
    EXPECT_EQ(this->published.revision(), 0U);
    ASSERT_FALSE(this->published.apply_text(peer.text_since(0),
                                            core::boot_clock::now()));
    // It lists again even if others read the store for it from now on.
    this->reader->set_reading_enabled(false);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->published.servers().find("i-1") != nullptr ||
                   this->published.counters().listings_outdated == 1;
        }));
    EXPECT_EQ(this->published.servers().find("i-1"), nullptr);
    const std::uint64_t listings = this->store.counts().listings;
    EXPECT_TRUE(this->run_until(
        [this, listings]
        {
            return this->store.counts().listings >= listings + 2;
        }));
    this->io.run_for(200ms);
    this->io.restart();
    EXPECT_EQ(this->published.servers().find("i-1"), nullptr);
    EXPECT_EQ(this->usable_servers(), 1U);
    EXPECT_EQ(this->published.counters().listings_outdated, 1U);
}

/// And the store has a copy, and was written since then.
class a_reader_of_a_copied_store : public a_reader_of_the_store
{
protected:
    void SetUp() override
    {
        this->store.put("op/config", config_text);
        this->store.put("servers/i-1", server_text("ready"));
        this->store.make_copy();
        for (unsigned sequence = 2; sequence < 12; ++sequence)
        {
            this->store.put("servers/i-1", server_text("ready", sequence));
        }
        this->start();
        ASSERT_TRUE(this->run_until(
            [this]
            {
                return this->reader->is_reachable();
            }));
    }

    bool follows_store()
    {
        return this->run_until(
            [this]
            {
                return this->published.position() ==
                       core::source_position{this->store.era(),
                                             this->store.revision()};
            });
    }

    /// The store states these eras in place of its own for a while. The reader
    /// takes nothing of it, keeps what it has and follows the store afterwards.
    void expect_refused(const std::vector<std::string>& eras)
    {
        const core::source_position before = this->published.position();
        const std::uint64_t failed_before =
            this->reader->counters().failed_calls;
        standin::store_faults faults;
        faults.era_headers = eras;
        this->store.set_faults(faults);
        this->store.put("servers/i-2", server_text("ready"));
        EXPECT_TRUE(this->run_until(
            [this, failed_before]
            {
                return this->reader->counters().failed_calls >=
                       failed_before + 2;
            }));
        EXPECT_FALSE(this->reader->is_reachable());
        EXPECT_EQ(this->published.position(), before);
        EXPECT_EQ(this->usable_servers(), 1U);
        this->store.set_faults({});
        EXPECT_TRUE(this->follows_store());
        EXPECT_EQ(this->usable_servers(), 2U);
    }
};

// Guards against a watch whose answer is taken although the store has come back
// from a copy: its revisions are past the one that the watch started from, so
// that it answers with events, and those before are never seen.
TEST_F(a_reader_of_a_copied_store, lists_when_a_watch_is_answered_in_a_new_era)
{
    const std::uint64_t held = this->store.revision();
    standin::store_faults faults;
    faults.away = true;
    this->store.set_faults(faults);
    this->store.restore_copy();
    this->store.put("servers/i-2", server_text("ready"));
    for (unsigned sequence = 2; this->store.revision() < held + 5; ++sequence)
    {
        this->store.put("op/note", std::to_string(sequence));
    }
    this->store.set_faults({});
    EXPECT_TRUE(this->follows_store());
    EXPECT_EQ(this->usable_servers(), 2U);
}

// Guards against a live server that is dropped after the return: its lease in
// the copy runs out before it has written again.
TEST_F(a_reader_of_a_copied_store, keeps_a_server_whose_lease_ends_at_once)
{
    this->store.restore_copy();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->published.position().era == this->store.era();
        }));
    this->store.remove("servers/i-1");
    EXPECT_TRUE(this->follows_store());
    EXPECT_EQ(this->usable_servers(), 1U);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 0;
        }));
}

// Guards against the same at a reader that has learned of the return from
// another instance.
TEST_F(a_reader_of_a_copied_store, keeps_such_a_server_after_news_of_a_peer)
{
    this->reader->set_reading_enabled(false);
    this->io.run_for(2s);
    this->io.restart();
    this->store.restore_copy();
    net::published peer{platform::read_item, [] {}};
    auto peer_reader = platform::store::create(
        this->io, {"127.0.0.1", this->store.port()}, peer);
    ASSERT_TRUE(peer_reader);
    (*peer_reader)->start();
    ASSERT_TRUE(this->run_until(
        [&peer]
        {
            return peer.revision() > 0;
        }));
    ASSERT_EQ(this->published.position().era + 1, this->store.era());
    ASSERT_FALSE(this->published.apply_text(
        peer.text_since(this->published.position()), core::boot_clock::now()));
    this->reader->set_reading_enabled(true);
    this->store.remove("servers/i-1");
    EXPECT_TRUE(this->follows_store());
    EXPECT_EQ(this->usable_servers(), 1U);
}

// Guards against calls without end after the return, and against a listing of
// two eras, whose first pages are not in force any more.
TEST_F(a_reader_of_a_copied_store, lists_again_when_the_store_returns_meanwhile)
{
    standin::store_faults faults;
    faults.late_prefix = "servers/";
    faults.lateness = 300ms;
    this->store.set_faults(faults);
    const std::uint64_t listings = this->store.counts().listings;
    this->store.restore_copy();
    ASSERT_TRUE(this->run_until(
        [this, listings]
        {
            return this->store.counts().listings >= listings + 2;
        }));
    // The first part has been read, the second one is on its way.
    this->store.put("op/note", "1");
    this->store.restore_copy();
    this->store.put("servers/i-3", server_text("ready"));
    EXPECT_TRUE(this->follows_store());
    EXPECT_EQ(this->usable_servers(), 2U);
    const std::uint64_t settled = this->store.counts().listings;
    this->io.run_for(2s);
    this->io.restart();
    EXPECT_EQ(this->store.counts().listings, settled);
}

// Guards against a damaged era that moves an instance to one that the store
// never reaches, or back to an earlier one.
TEST_F(a_reader_of_a_copied_store, refuses_an_era_that_cannot_be_right)
{
    this->store.restore_copy();
    ASSERT_TRUE(this->follows_store());
    for (const std::vector<std::string>& eras :
         std::vector<std::vector<std::string>>{
             {"x"}, {""}, {"-1"}, {"2x"}, {"1000002"}, {"1"}, {"2", "2"}})
    {
        SCOPED_TRACE(eras.front());
        this->store.remove("servers/i-2");
        ASSERT_TRUE(this->follows_store());
        this->expect_refused(eras);
    }
}

// Guards against a store that is not followed because an answer lacks the era:
// it belongs to the one last seen.
TEST_F(a_reader_of_a_copied_store, takes_an_answer_without_an_era)
{
    this->store.restore_copy();
    ASSERT_TRUE(this->follows_store());
    standin::store_faults faults;
    faults.era_headers = std::vector<std::string>();
    this->store.set_faults(faults);
    this->store.put("servers/i-2", server_text("ready"));
    EXPECT_TRUE(this->follows_store());
    EXPECT_EQ(this->usable_servers(), 2U);
}

// Guards against an instance that never follows the store again after the store
// has come back from an older copy: all that it lists then has lower revisions
// than what the instance had.
TEST_F(a_reader_of_the_store, follows_a_store_that_has_gone_back)
{
    this->store.put("op/config", config_text);
    this->store.put("servers/i-1", server_text("ready"));
    const std::uint64_t copied = this->store.revision();
    for (unsigned sequence = 2; sequence < 12; ++sequence)
    {
        this->store.put("servers/i-1", server_text("ready", sequence));
    }
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->reader->is_reachable();
        }));
    this->store.go_back(copied);
    this->store.put("servers/i-2", server_text("ready"));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 2;
        }));
    // And when it is past the revision of before.
    for (unsigned sequence = 2; sequence < 20; ++sequence)
    {
        this->store.put("servers/i-1", server_text("ready", sequence));
    }
    this->store.put("servers/i-3", server_text("ready"));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 3;
        }));
    this->store.remove("servers/i-2");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable_servers() == 2;
        }));
}
