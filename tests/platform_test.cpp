#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>
#include <medlarbarrow/net/platform.hpp>
#include <standin/platform.hpp>

using namespace medlarbarrow;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::seconds wait_timeout{30};

core::document document(std::uint64_t version, double rate = 10.0)
{
    core::document result;
    result.version = version;
    result.data_centres = {{"suva", "viti-levu"}};
    core::service logbook;
    logbook.name = "logbook";
    logbook.servers = {{"s-1", "127.0.0.1", 9000, "suva", 2, 330,
                        core::operator_command::none}};
    result.services = {logbook};
    core::route route;
    route.name = "salinity";
    route.path_prefix = "/salinity";
    route.service = "logbook";
    result.routes = {route};
    core::client_account account;
    account.name = "hotel-1";
    account.rate_per_second = rate;
    account.burst = 20.0;
    result.accounts = {account};
    return result;
}

core::instance_list list(std::uint64_t version)
{
    return {version,
            {{"entry-1", "127.0.0.1", 7000, "suva", "viti-levu", false}}};
}

/// Given a client of a stand-in platform that has published version 10 of the
/// document and the list.
class platform_client : public testing::Test
{
protected:
    void SetUp() override
    {
        auto created =
            standin::platform::create(this->context, {"127.0.0.1", 0});
        ASSERT_TRUE(created);
        this->service = std::move(*created);
        this->service->publish(document(10));
        this->service->set_list(list(10));
        this->start();
    }

    void start()
    {
        config::settings settings;
        settings.name = "entry-1";
        settings.platform = {"127.0.0.1", this->service->port()};
        auto created = net::platform::create(
            this->context, settings,
            {[this](const net::published_document& published)
             {
                 this->documents.push_back(published);
             },
             [this](const core::instance_list& published)
             {
                 this->lists.push_back(published);
             }});
        ASSERT_TRUE(created);
        this->client = std::move(*created);
    }

    template <class Condition>
    bool wait_for(Condition done)
    {
        const auto end = std::chrono::steady_clock::now() + wait_timeout;
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

    /// Waits until a counter of the client shows at least three faults.
    bool wait_for_faults(const std::uint64_t net::platform_counters::*kind)
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

/// Given the same client with running watches that has accepted version 10.
class watching_client : public platform_client
{
protected:
    void SetUp() override
    {
        platform_client::SetUp();
        this->client->watch(true);
        ASSERT_TRUE(this->wait_for_versions(10));
    }

    /// Expects that only version 10 was accepted, and that version 12 is
    /// accepted after the end of the fault.
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

// Guards against an instance that reads the platform although other instances
// read it.
TEST_F(platform_client, reads_only_on_request)
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

// Guards against frequent polling: a watch that waits at the platform counts as
// one read.
TEST_F(watching_client, receives_each_change_through_a_waiting_watch)
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
    // Reads of the index, the changed part and the list, and two new watches.
    EXPECT_LE(this->service->counts().reads, reads + 5);
}

// Guards against a watch that continues after another instance has taken over
// the watches.
TEST_F(watching_client, ends_its_watches_on_request)
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

// Guards against a client that does not resume after an outage of the platform.
TEST_F(watching_client, resumes_after_a_platform_outage)
{
    standin::platform_faults outage;
    outage.away = true;
    this->service->set_faults(outage);
    ASSERT_TRUE(this->wait_for_faults(&net::platform_counters::failed_reads));
    this->expect_recovery();
}

// Guards against a return to an old version if the platform returns one.
TEST_F(watching_client,
       keeps_the_newest_versions_when_the_platform_returns_older_ones)
{
    this->publish(11);
    ASSERT_TRUE(this->wait_for_versions(11));
    this->documents.resize(1);
    this->lists.resize(1);
    standin::platform_faults old;
    old.old_version = true;
    this->service->set_faults(old);
    ASSERT_TRUE(
        this->wait_for_faults(&net::platform_counters::refused_documents));
    ASSERT_TRUE(this->wait_for_faults(&net::platform_counters::refused_lists));
    this->expect_recovery();
}

// Guards against a document joined from parts of two publications, and against
// values that are not a document.
TEST_F(watching_client, refuses_torn_and_damaged_documents)
{
    standin::platform_faults torn;
    torn.torn = true;
    this->service->set_faults(torn);
    this->service->publish(document(11, 11.0));
    ASSERT_TRUE(
        this->wait_for_faults(&net::platform_counters::refused_documents));
    this->service->set_value("index", R"({"version":11,"parts":[]})");
    this->context.run_for(std::chrono::milliseconds(300));
    this->context.restart();
    this->expect_recovery();
}

// Guards against an empty list that would close all links between instances.
TEST_F(watching_client, keeps_its_list_when_the_platform_returns_an_empty_one)
{
    standin::platform_faults empty;
    empty.empty_list = true;
    this->service->set_faults(empty);
    ASSERT_TRUE(this->wait_for_faults(&net::platform_counters::refused_lists));
    this->expect_recovery();
}

// Guards against an older version from the platform that replaces a newer one
// from a peer.
TEST_F(watching_client, requests_only_versions_newer_than_those_of_peers)
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

// Guards against a stand-in platform that ignores the configured lag of lists.
TEST_F(watching_client, receives_a_lagging_list_after_the_lag)
{
    standin::platform_faults lag;
    lag.list_lag = std::chrono::milliseconds(300);
    this->service->set_faults(lag);
    const auto start = std::chrono::steady_clock::now();
    this->publish(11);
    ASSERT_TRUE(this->wait_for_versions(11));
    EXPECT_GE(std::chrono::steady_clock::now() - start, lag.list_lag);
}
