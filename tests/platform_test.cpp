#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/platform.hpp>
#include <standin/platform.hpp>

using namespace medlarbarrow;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds patience{30};

core::document document(std::uint64_t version, double rate = 10.0)
{
    core::document made;
    made.version = version;
    made.data_centres = {{"suva", "viti-levu"}};
    core::service logbook;
    logbook.name = "logbook";
    logbook.servers = {{"s-1", "127.0.0.1", 9000, "suva", 2, 330,
                        core::operator_command::none}};
    made.services = {logbook};
    core::route route;
    route.name = "salinity";
    route.path_prefix = "/salinity";
    route.service = "logbook";
    made.routes = {route};
    core::client_account account;
    account.name = "hotel-1";
    account.rate_per_second = rate;
    account.burst = 20.0;
    made.accounts = {account};
    return made;
}

core::instance_list list(std::uint64_t version)
{
    return {version,
            {{"entry-1", "127.0.0.1", 7000, "suva", "viti-levu", false}}};
}

/// A client of a stand-in that has published version 10 of both.
class platform_client : public testing::Test
{
protected:
    void SetUp() override
    {
        auto made = standin::platform::create(this->context, {"127.0.0.1", 0});
        ASSERT_TRUE(made);
        this->service = std::move(*made);
        this->service->publish(document(10));
        this->service->set_list(list(10));
        this->start();
    }

    void start()
    {
        config::settings settings;
        settings.name = "entry-1";
        settings.platform = {"127.0.0.1", this->service->port()};
        auto made =
            net::platform::create(this->context, settings,
                                  {[this](const net::published_document& next)
                                   {
                                       this->documents.push_back(next);
                                   },
                                   [this](const core::instance_list& next)
                                   {
                                       this->lists.push_back(next);
                                   }});
        ASSERT_TRUE(made);
        this->client = std::move(*made);
    }

    template <class Condition>
    bool wait_for(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + patience;
        while (!done() && std::chrono::steady_clock::now() < end)
        {
            this->context.run_for(std::chrono::milliseconds(20));
            this->context.restart();
        }
        return done();
    }

    bool wait_for_versions(std::uint64_t version)
    {
        return this->wait_for(
            [this, version]
            {
                return !this->documents.empty() && !this->lists.empty() &&
                       this->documents.back().version == version &&
                       this->lists.back().version == version;
            });
    }

    /// Lets the client meet a fault at least three times.
    bool wait_for_refusals(const std::uint64_t net::platform_counters::*kind)
    {
        return this->wait_for(
            [this, kind]
            {
                return this->client->counters().*kind >= 3;
            });
    }

    void publish(std::uint64_t version)
    {
        this->service->publish(document(version, 11.0));
        this->service->set_list(list(version));
    }

    asio::io_context context;
    std::unique_ptr<standin::platform> service;
    std::unique_ptr<net::platform> client;
    std::vector<net::published_document> documents;
    std::vector<core::instance_list> lists;
};

/// The same client, watching, with version 10 accepted.
class watching_client : public platform_client
{
protected:
    void SetUp() override
    {
        platform_client::SetUp();
        this->client->watch(true);
        ASSERT_TRUE(this->wait_for_versions(10));
    }

    /// Nothing but version 10 was accepted; 12 is once the fault is over.
    void expect_recovery()
    {
        EXPECT_EQ(this->documents.size(), 1U);
        EXPECT_EQ(this->lists.size(), 1U);
        this->service->set_faults({});
        this->publish(12);
        EXPECT_TRUE(this->wait_for_versions(12));
    }
};

} // namespace

// Guards against an instance that reads the platform although others do.
TEST_F(platform_client, reads_only_when_told_to)
{
    this->context.run_for(std::chrono::milliseconds(50));
    this->context.restart();
    EXPECT_EQ(this->service->counts().reads, 0U);
    this->client->read_once();
    ASSERT_TRUE(this->wait_for_versions(10));
    EXPECT_EQ(this->service->counts().watches, 0U);
    EXPECT_EQ(this->documents[0].document->accounts.at(0).name, "hotel-1");
    EXPECT_EQ(this->lists[0].instances.at(0).name, "entry-1");
}

// Guards against polling: a waiting watch counts as one read.
TEST_F(watching_client, waits_at_the_platform_and_gets_each_change)
{
    ASSERT_TRUE(this->wait_for(
        [this]
        {
            return this->service->counts().waiting == 2;
        }));
    const auto reads = this->service->counts().reads;
    this->publish(11);
    ASSERT_TRUE(this->wait_for_versions(11));
    EXPECT_EQ(this->documents.back().document->accounts[0].rate_per_second,
              11.0);
    // The index, the one part that changed, the list, and two new watches.
    EXPECT_LE(this->service->counts().reads, reads + 5);
}

// Guards against a watch that goes on after another instance took over.
TEST_F(watching_client, ends_its_watches_when_told_to)
{
    this->client->watch(false);
    EXPECT_TRUE(this->wait_for(
        [this]
        {
            const auto reads = this->service->counts().reads;
            this->publish(11);
            this->context.run_for(std::chrono::milliseconds(50));
            this->context.restart();
            return this->service->counts().reads == reads;
        }));
    this->client->watch(true);
    EXPECT_TRUE(this->wait_for_versions(11));
}

// Guards against a client that does not return after an outage.
TEST_F(watching_client, goes_on_after_the_platform_was_away)
{
    standin::platform_faults away;
    away.away = true;
    this->service->set_faults(away);
    ASSERT_TRUE(this->wait_for_refusals(&net::platform_counters::failed_reads));
    this->expect_recovery();
}

// Guards against a revert when the platform returns an old version.
TEST_F(watching_client, keeps_the_newest_when_older_ones_are_shown)
{
    this->publish(11);
    ASSERT_TRUE(this->wait_for_versions(11));
    this->documents.resize(1);
    this->lists.resize(1);
    standin::platform_faults old;
    old.old_version = true;
    this->service->set_faults(old);
    ASSERT_TRUE(
        this->wait_for_refusals(&net::platform_counters::refused_documents));
    ASSERT_TRUE(
        this->wait_for_refusals(&net::platform_counters::refused_lists));
    this->expect_recovery();
}

// Guards against parts of two publications that are joined, and against
// values that are no document at all.
TEST_F(watching_client, refuses_torn_and_damaged_documents)
{
    standin::platform_faults torn;
    torn.torn = true;
    this->service->set_faults(torn);
    this->service->publish(document(11, 11.0));
    ASSERT_TRUE(
        this->wait_for_refusals(&net::platform_counters::refused_documents));
    this->service->set_value("index", R"({"version":11,"parts":[]})");
    this->context.run_for(std::chrono::milliseconds(300));
    this->context.restart();
    this->expect_recovery();
}

// Guards against an empty list that would end all links between instances.
TEST_F(watching_client, keeps_its_list_when_an_empty_one_is_shown)
{
    standin::platform_faults empty;
    empty.empty_list = true;
    this->service->set_faults(empty);
    ASSERT_TRUE(
        this->wait_for_refusals(&net::platform_counters::refused_lists));
    this->expect_recovery();
}

// Guards against the client's old version overtaking one from a peer.
TEST_F(watching_client, asks_only_for_versions_newer_than_those_of_peers)
{
    auto values = config::split_document(document(20));
    std::vector<std::string> texts;
    for (auto& value : values)
    {
        texts.push_back(std::move(value.text));
    }
    const auto current = net::read_published(texts);
    ASSERT_TRUE(current);
    this->client->set_document(*current);
    this->client->set_list_version(20);
    this->publish(19);
    this->publish(21);
    ASSERT_TRUE(this->wait_for_versions(21));
    EXPECT_EQ(this->documents.size(), 2U);
    EXPECT_EQ(this->lists.size(), 2U);
    texts.back() += " ";
    const auto damaged = net::read_published(texts);
    ASSERT_FALSE(damaged);
    EXPECT_EQ(damaged.error(), core::result_code::document_torn);
}

// Guards against lists of the stand-in that show without their lag.
TEST_F(watching_client, sees_a_lagging_list_later)
{
    standin::platform_faults lag;
    lag.list_lag = std::chrono::milliseconds(300);
    this->service->set_faults(lag);
    const auto start = std::chrono::steady_clock::now();
    this->publish(11);
    ASSERT_TRUE(this->wait_for_versions(11));
    EXPECT_GE(std::chrono::steady_clock::now() - start, lag.list_lag);
}
