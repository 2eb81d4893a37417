#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
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

/// Enough turns of the loop for any of these tests; a failure ends it.
constexpr auto patience = 10s;

} // namespace

/// Given a store and an instance that reads it.
class a_reader_of_the_store : public testing::Test
{
protected:
    void start()
    {
        auto made = platform::store::create(
            this->io, {"127.0.0.1", this->source.port()}, this->known);
        ASSERT_TRUE(made);
        this->reader = std::move(*made);
        this->reader->start();
    }

    template <class Condition>
    bool run_until(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!condition() && std::chrono::steady_clock::now() < end)
        {
            this->io.run_for(5ms);
            this->io.restart();
            this->known.servers().tick(core::boot_clock::now());
        }
        return condition();
    }

    bool has_version(std::uint64_t version)
    {
        return this->known.document() &&
               this->known.document()->version == version;
    }

    std::size_t usable()
    {
        return this->known.servers().usable("orders").size();
    }

    standin::store source;
    boost::asio::io_context io;
    net::published known{platform::read_item, [] {}};
    std::unique_ptr<platform::store> reader;
};

// Guards against an instance that has only part of a listing.
TEST_F(a_reader_of_the_store, lists_all_pages)
{
    standin::store_faults faults;
    faults.page = 2;
    this->source.set_faults(faults);
    this->source.put("op/config", config_text);
    for (int index = 0; index < 7; ++index)
    {
        this->source.put("servers/i-" + std::to_string(index),
                         server_text("ready"));
    }
    this->start();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->has_version(7) && this->usable() == 7;
        }));
    EXPECT_GE(this->source.counts().listings, 4U);
}

// Guards against changes that are not seen, and against work for a server that
// leaves.
TEST_F(a_reader_of_the_store, follows_changes)
{
    this->source.put("op/config", config_text);
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->has_version(7);
        }));
    this->source.put("servers/i-1", server_text("ready"));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    this->source.put("servers/i-1", server_text("draining", 2));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 0;
        }));
    this->source.put("servers/i-2", server_text("ready"));
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    this->source.remove("servers/i-2");
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 0;
        }));
}

// Guards against changes that are lost with the store's history.
TEST_F(a_reader_of_the_store, lists_again_when_the_history_is_lost)
{
    this->source.put("op/config", config_text);
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    this->source.remove("servers/i-1");
    this->source.put("servers/i-2", server_text("ready"));
    this->source.put("servers/i-3", server_text("ready"));
    this->source.drop_history();
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->known.servers().find("i-1") == nullptr &&
                   this->usable() == 2;
        }));
}

// Guards against giving up all servers because the store was away and their
// entries lapsed meanwhile.
TEST_F(a_reader_of_the_store, keeps_lapsed_servers_for_a_while_after_an_outage)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->source.set_faults(faults);
    // Long enough for announcements to lapse.
    this->io.run_for(2500ms);
    this->io.restart();
    ASSERT_FALSE(this->reader->is_reachable());
    EXPECT_EQ(this->usable(), 1U);
    this->source.remove("servers/i-1");
    this->source.set_faults({});
    const std::uint64_t before = this->known.revision();
    ASSERT_TRUE(this->run_until(
        [this, before]
        {
            return this->known.revision() > before;
        }));
    EXPECT_EQ(this->usable(), 1U);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 0;
        }));
}

// Guards against work for a server that has left, told by a reader that the
// store had refused while it served the others.
TEST_F(a_reader_of_the_store,
       takes_a_removal_as_certain_when_others_had_answers)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.status = 503;
    this->source.set_faults(faults);
    for (int count = 0; count < 13; ++count)
    {
        this->io.run_for(std::chrono::milliseconds(200));
        this->io.restart();
        this->reader->confirmed_by_peer();
    }
    this->source.remove("servers/i-1");
    this->source.set_faults({});
    const std::uint64_t before = this->known.revision();
    ASSERT_TRUE(this->run_until(
        [this, before]
        {
            return this->known.revision() > before;
        }));
    EXPECT_EQ(this->usable(), 0U);
}

// Guards against work for a server that has left, told by a reader that the
// store answers late after an outage: others have had its news in between, so
// what is removed now has not lapsed.
TEST_F(a_reader_of_the_store, takes_a_removal_as_certain_when_others_had_news)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->source.set_faults(faults);
    this->io.run_for(2500ms);
    this->io.restart();
    this->source.put("servers/i-2", server_text("draining"));
    this->known.take_changes(
        {{"servers/i-2", server_text("draining"), this->known.revision() + 1}},
        this->known.revision() + 1, core::boot_clock::now());
    this->source.remove("servers/i-1");
    this->source.set_faults({});
    const std::uint64_t before = this->known.revision();
    ASSERT_TRUE(this->run_until(
        [this, before]
        {
            return this->known.revision() > before;
        }));
    EXPECT_EQ(this->usable(), 0U);
}

// Guards against work for a server that left a while after an outage: only what
// is missing at the store's return may have lapsed.
TEST_F(a_reader_of_the_store, takes_a_removal_as_certain_soon_after_an_outage)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.away = true;
    this->source.set_faults(faults);
    this->io.run_for(2500ms);
    this->io.restart();
    this->source.set_faults({});
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->reader->is_reachable();
        }));
    this->io.run_for(1500ms);
    this->io.restart();
    this->source.remove("servers/i-1");
    const std::uint64_t before = this->known.revision();
    ASSERT_TRUE(this->run_until(
        [this, before]
        {
            return this->known.revision() > before;
        }));
    EXPECT_EQ(this->usable(), 0U);
}

// Guards against work for a server that has left, because one call to the store
// failed shortly before.
TEST_F(a_reader_of_the_store, takes_a_removal_as_certain_after_one_failed_call)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.status = 429;
    this->source.set_faults(faults);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->reader->counters().failed_calls > 0;
        }));
    this->source.remove("servers/i-1");
    this->source.set_faults({});
    const std::uint64_t before = this->known.revision();
    ASSERT_TRUE(this->run_until(
        [this, before]
        {
            return this->known.revision() > before;
        }));
    EXPECT_EQ(this->usable(), 0U);
}

// Guards against an instance that waits for good on a silent connection.
TEST_F(a_reader_of_the_store, gives_up_a_silent_connection)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    standin::store_faults faults;
    faults.silent = true;
    this->source.set_faults(faults);
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return !this->reader->is_reachable();
        }));
    this->source.set_faults({});
    this->source.put("servers/i-2", server_text("ready"));
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 2;
        }));
}

// Guards against a store that refuses calls being taken for an empty one.
TEST_F(a_reader_of_the_store, keeps_what_it_knows_while_it_is_refused)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    for (const unsigned status : {429U, 503U})
    {
        standin::store_faults faults;
        faults.status = status;
        this->source.set_faults(faults);
        const auto failed = this->reader->counters().failed_calls;
        ASSERT_TRUE(this->run_until(
            [this, failed]
            {
                return this->reader->counters().failed_calls > failed;
            }));
        EXPECT_EQ(this->usable(), 1U);
    }
}

// Guards against calls of an instance that need not read.
TEST_F(a_reader_of_the_store, calls_nothing_while_it_is_not_wanted)
{
    this->source.put("servers/i-1", server_text("ready"));
    this->start();
    ASSERT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 1;
        }));
    this->reader->set_wanted(false);
    this->io.run_for(1s);
    this->io.restart();
    const auto calls = this->reader->counters().calls;
    this->source.put("servers/i-2", server_text("ready"));
    this->io.run_for(1500ms);
    this->io.restart();
    EXPECT_EQ(this->reader->counters().calls, calls);
    this->reader->set_wanted(true);
    EXPECT_TRUE(this->run_until(
        [this]
        {
            return this->usable() == 2;
        }));
}
