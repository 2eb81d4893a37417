/// The entry of the project's own daemon with servers whose answers have the
/// status 000: no caller gets one.
#include "broken_answers.hpp"

#include <tests/entry_fixture.hpp>
#include <tests/order_key.hpp>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Given an entry that takes orders, whose servers all answer in the same way.
class an_entry_with_broken_servers : public entry_fixture
{
protected:
    void start_with(const standin::raw_response& response)
    {
        this->start();
        ASSERT_TRUE(eventually(
            [this]
            {
                return this->request(this->make_order("/orders/first"))
                           .status() == 200U;
            }));
        this->broken = std::make_unique<standin::raw_server>(
            "Medlar-Request-Id", response);
        auto changed = std::make_shared<core::document>(*this->document);
        ++changed->version;
        core::backend_server& server = changed->services.at(0).servers.at(0);
        server.name = "logbook-2";
        server.port = this->broken->port();
        this->on_thread(
            [&]
            {
                this->entry->apply_document(*changed);
                return this->node->apply_document(changed, now());
            });
    }

    std::string make_order(std::string_view target)
    {
        return post(target, "drums",
                    "Idempotency-Key: " +
                        order_key(now().wall, ++this->last_order_number) +
                        "\r\n");
    }

    answer request(const std::string& text)
    {
        return caller(this->port()).request(text);
    }

    void expect_failure(const std::string& text)
    {
        const std::size_t arrived = this->broken->request_ids().size();
        const answer received = this->request(text);
        EXPECT_FALSE(received.failure);
        EXPECT_EQ(received.status(), 502U);
        EXPECT_NE(received.message.body(), "abc");
        EXPECT_GT(this->broken->request_ids().size(), arrived);
    }

    std::uint64_t last_order_number = 0;
    std::unique_ptr<standin::raw_server> broken;
};

} // namespace

// Guards against a caller that gets an answer whose status is none, and against
// an order that keeps one for its repeats.
TEST_F(an_entry_with_broken_servers, gives_no_caller_the_status_000)
{
    this->start_with({"HTTP/1.1 000 Status\r\nContent-Length: 3\r\n\r\nabc", 0,
                      false, standin::connection_end::close});
    for (const char* target : {"/reports/1", "/guides/1"})
    {
        this->expect_failure(get(target));
        this->expect_failure(post(target, "drums"));
    }
    const std::string order = this->make_order("/orders/1");
    this->expect_failure(order);
    // The repeat is told the same; it isn't sent again.
    const std::size_t arrived = this->broken->request_ids().size();
    const answer repeated = this->request(order);
    EXPECT_FALSE(repeated.failure);
    EXPECT_EQ(repeated.status() / 100, 5U);
    EXPECT_NE(repeated.message.body(), "abc");
    EXPECT_EQ(this->broken->request_ids().size(), arrived);
}

// Guards against the same after an interim answer.
TEST_F(an_entry_with_broken_servers, gives_none_the_status_000_after_an_interim)
{
    this->start_with({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Status\r\n"
                      "Content-Length: 3\r\n\r\nabc",
                      0, false, standin::connection_end::close});
    this->expect_failure(get("/reports/1"));
    this->expect_failure(this->make_order("/orders/1"));
}
