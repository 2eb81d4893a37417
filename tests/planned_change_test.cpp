/// SIGHUP and new configuration documents at a real instance under load. A
/// request that the instance has read must not end without an answer.
#include "planned_work_fixture.hpp"

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

/// The operator changes the settings file or the configuration document.
class an_instance_under_load : public an_instance
{
protected:
    void SetUp() override
    {
        an_instance::SetUp();
        this->start_load(8, {"/order/x?delay_ms=30"});
        this->start_load(3, {"/browse/x?delay_ms=100"});
        this->start_load(2, {"/stream/x?bytes=900000&delay_ms=10"});
        this->start_load(2, {"/long/x?delay_ms=1500"});
    }
};

// Guards against requests that are cut when the instance reads its settings
// again, whether the file is sound or not.
TEST_F(an_instance_under_load, loses_nothing_when_it_reads_its_settings_again)
{
    for (int count = 0; count < 10; ++count)
    {
        std::this_thread::sleep_for(300ms);
        if (count % 3 == 2)
        {
            std::ofstream(this->settings_path(0)) << "{ not settings";
        }
        else
        {
            this->write_settings(
                0, fmt::format(R"("127.0.0.1:{}")", 9000 + count));
        }
        this->instances[0]->send(SIGHUP);
    }
    std::this_thread::sleep_for(500ms);
    const std::vector<call_record> all = this->end_load();
    EXPECT_GT(all.size(), 200U);
    for (const call_record& record : all)
    {
        this->expect_served(record);
    }
    const std::string log = this->instances[0]->log();
    EXPECT_NE(log.find("event=settings_reloaded"), std::string::npos) << log;
}

// Guards against requests that are cut when a new document comes into force,
// also one with a shorter idle timeout.
TEST_F(an_instance_under_load, loses_nothing_when_a_document_comes_into_force)
{
    for (unsigned version = 2; version < 14; ++version)
    {
        std::this_thread::sleep_for(300ms);
        this->store.put(
            "op/config",
            make_config(version, version % 2 == 0 ? "300ms" : "60000ms"));
    }
    std::this_thread::sleep_for(500ms);
    const std::vector<call_record> all = this->end_load();
    EXPECT_GT(all.size(), 200U);
    this->expect_none_lost(all);
}

/// A document whose idle timeout is much shorter than the one before.
class an_instance_with_a_shorter_idle_timeout : public an_instance
{
protected:
    void SetUp() override
    {
        an_instance::SetUp();
        this->open_before =
            std::make_unique<kept_connection>(0, this->endpoint_of(0));
        this->open_after =
            std::make_unique<kept_connection>(0, this->endpoint_of(0));
        ASSERT_TRUE(this->open_before->connect());
        this->store.put("op/config", make_config(2, "300ms"));
        ASSERT_TRUE(eventually(
            [this]
            {
                const auto page = this->fetch(0, this->metrics, "/metrics");
                return page.body().find("medlar_document_version 2") !=
                       std::string::npos;
            }));
        ASSERT_TRUE(this->open_after->connect());
    }

    std::unique_ptr<kept_connection> open_before;
    std::unique_ptr<kept_connection> open_after;
};

// Guards against answers that are cut because their caller reads no byte for
// longer than the idle timeout.
TEST_F(an_instance_with_a_shorter_idle_timeout, writes_answers_to_slow_callers)
{
    call_plan slow{"/stream/x?bytes=12000000"};
    slow.before_body = []
    {
        std::this_thread::sleep_for(1500ms);
    };
    call_record after;
    std::thread call(
        [this, &after, &slow]
        {
            after = this->open_after->call(slow);
        });
    const call_record before = this->open_before->call(slow);
    call.join();
    this->expect_served(before);
    this->expect_served(after);
}

// Guards against requests that are cut because they run for longer than the
// idle timeout.
TEST_F(an_instance_with_a_shorter_idle_timeout, waits_for_running_requests)
{
    this->expect_served(this->open_after->call({"/long/x?delay_ms=1200"}));
    this->expect_served(this->open_after->call({"/long/x?delay_ms=700"}));
}
