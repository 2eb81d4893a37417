#include "order_key.hpp"

#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/node.hpp>

using namespace medlarbarrow::core;
using namespace std::chrono_literals;

namespace
{

constexpr key_digest shop_key{1};
constexpr wall_time wall_start{std::chrono::milliseconds(1'800'000'000'000)};

std::shared_ptr<document> make_document()
{
    auto made = std::make_shared<document>();
    made->version = 1;
    made->fleet.max_instances = 3;
    made->data_centres = {{"suva", "viti-levu"}};
    service logbook;
    logbook.name = "logbook";
    for (const char* name : {"log-1", "log-2", "log-3", "log-4"})
    {
        backend_server server;
        server.name = name;
        server.data_centre = "suva";
        server.slots = 2;
        logbook.servers.push_back(server);
    }
    made->services = {logbook};
    route reports;
    reports.name = "reports";
    reports.path_prefix = "/reports";
    reports.service = "logbook";
    route orders = reports;
    orders.name = "orders";
    orders.path_prefix = "/orders";
    orders.repeatable = false;
    made->routes = {reports, orders};
    made->accounts = {{"shop", 100.0, 50.0, {{shop_key, false}}}};
    return made;
}

} // namespace

/// Given three instances that have been running for a while, with fake time
/// and messages that arrive at once unless a link is cut.
class small_fleet : public testing::Test
{
protected:
    small_fleet()
    {
        this->source = make_document();
        for (const char* name : {"entry-1", "entry-2", "entry-3"})
        {
            this->list.instances.push_back({name, "", 0, "suva", "viti-levu"});
        }
        this->list.version = 1;
        for (const listed_instance& item : this->list.instances)
        {
            this->start(item.name, 1);
        }
        // Leases of earlier processes, a refresh period and twice the skew.
        this->run(20s);
    }

    void start(const std::string& name, std::uint64_t incarnation)
    {
        this->ids[name] = {name, incarnation};
        node_settings own{this->ids[name], "suva", "viti-levu", incarnation};
        auto made = node::create(own, this->now.monotonic);
        this->nodes.insert_or_assign(name,
                                     std::make_unique<node>(std::move(*made)));
        this->nodes.at(name)->apply_document(this->source, this->now);
        this->nodes.at(name)->apply_list(this->list, this->now);
    }

    void stop(const std::string& name)
    {
        this->nodes.erase(name);
    }

    void deliver(const std::string& from, const outbox& out)
    {
        for (const outgoing& item : out)
        {
            const auto target = this->nodes.find(item.to);
            if (target == this->nodes.end() ||
                this->cut.contains({from, item.to}))
            {
                continue;
            }
            const auto answer = target->second->receive(
                this->ids.at(from), item.message, this->now);
            if (answer)
            {
                this->deliver(item.to, *answer);
            }
        }
    }

    void run(duration period)
    {
        const time_point end = this->now.monotonic + period;
        while (this->now.monotonic < end)
        {
            this->now.monotonic += 20ms;
            this->now.wall += 20ms;
            for (auto& [name, item] : this->nodes)
            {
                this->deliver(name, item->tick(this->now));
            }
        }
    }

    /// Advances a request until it is to be sent or ends.
    step advance(const std::string& at, request_id request)
    {
        for (int round = 0; round < 1000; ++round)
        {
            outbox out;
            const step following =
                this->nodes.at(at)->next(request, this->now, out);
            this->deliver(at, out);
            if (!std::holds_alternative<step_wait>(following))
            {
                return following;
            }
            this->run(20ms);
        }
        return step_done{};
    }

    request_id begin(const std::string& at, request_facts facts)
    {
        // Like the adapter, which reads the clock again for the first step.
        const request_id id = this->nodes.at(at)->begin(facts, this->now);
        this->now.monotonic += 10us;
        return id;
    }

    step finish(const std::string& at,
                request_id request,
                const attempt_result& outcome)
    {
        outbox out;
        this->nodes.at(at)->finished(request, outcome, this->now, out);
        this->deliver(at, out);
        return this->advance(at, request);
    }

    static request_facts get(std::string path)
    {
        request_facts facts;
        facts.method = "GET";
        facts.path = std::move(path);
        facts.key = shop_key;
        return facts;
    }

    request_facts order(unsigned number) const
    {
        request_facts facts = get("/orders");
        facts.method = "POST";
        facts.idempotency_key =
            medlarbarrow::tests::order_key(this->now.wall, number);
        return facts;
    }

    static attempt_result answered()
    {
        return {attempt_end::answered, 200, 1ms,
                stored_answer{200, "text/plain", "net 7"}};
    }

    static result_code refusal(const step& from)
    {
        const auto* refused = std::get_if<step_refuse>(&from);
        return refused == nullptr ? result_code::ok : refused->code;
    }

    instant now{time_point(1h), wall_start};
    std::shared_ptr<document> source;
    instance_list list;
    std::map<std::string, std::unique_ptr<node>> nodes;
    std::map<std::string, instance_id> ids;
    std::set<std::pair<std::string, std::string>> cut;
};

// Guards against a request for tokens that asks for none because the clock
// was read again between begin() and next(): every instance but the owner then
// refused all keyed requests with 207.
TEST_F(small_fleet, every_instance_serves_an_account_within_its_rate)
{
    for (const char* at : {"entry-1", "entry-2", "entry-3"})
    {
        for (int count = 0; count < 10; ++count)
        {
            const request_id id = this->begin(at, get("/reports/today"));
            const step sent = this->advance(at, id);
            ASSERT_TRUE(std::holds_alternative<step_send>(sent))
                << at << " " << name_of(refusal(sent));
            this->finish(at, id, answered());
            this->run(100ms);
        }
    }
}

// Guards against a balancer that sends callers to an instance whose peers do
// not know it yet and grant it no tokens.
TEST_F(small_fleet, an_instance_is_ready_only_when_it_is_listed)
{
    EXPECT_TRUE(this->nodes.at("entry-1")->ready(this->now.monotonic));
    this->start("entry-4", 1);
    EXPECT_FALSE(this->nodes.at("entry-4")->ready(this->now.monotonic));
}

// Guards against a key that still works after its withdrawal, also for a
// request that was waiting at that moment.
TEST_F(small_fleet, a_withdrawn_key_stops_with_the_next_document)
{
    auto next = std::make_shared<document>(*this->source);
    next->version = 2;
    next->accounts[0].keys[0].withdrawn = true;
    const request_id waiting = this->begin("entry-1", get("/reports"));
    this->nodes.at("entry-1")->apply_document(next, this->now);
    EXPECT_EQ(refusal(this->advance("entry-1", waiting)),
              result_code::key_withdrawn);
    const request_id later = this->begin("entry-1", get("/reports"));
    EXPECT_EQ(refusal(this->advance("entry-1", later)),
              result_code::key_withdrawn);
    EXPECT_EQ(
        this->nodes.at("entry-1")->apply_document(this->source, this->now),
        make_error_code(result_code::document_older));
}

class an_order_has_been_answered : public small_fleet
{
protected:
    an_order_has_been_answered() : facts(this->order(1))
    {
        const request_id id = this->begin("entry-1", this->facts);
        const step sent = this->advance("entry-1", id);
        EXPECT_TRUE(std::holds_alternative<step_send>(sent))
            << name_of(refusal(sent));
        this->finish("entry-1", id, answered());
    }

    request_facts facts;
};

// Guards against a doubled order when the caller repeats it elsewhere.
TEST_F(an_order_has_been_answered, a_repeat_elsewhere_gets_the_first_answer)
{
    const request_id id = this->begin("entry-2", this->facts);
    const step repeated = this->advance("entry-2", id);
    ASSERT_TRUE(std::holds_alternative<step_replay>(repeated))
        << name_of(refusal(repeated));
    EXPECT_EQ(std::get<step_replay>(repeated).answer.body, "net 7");
}

// Guards against a doubled order when the records are lost with instances.
TEST_F(an_order_has_been_answered,
       a_repeat_after_the_loss_of_any_one_is_not_run)
{
    for (const char* lost : {"entry-1", "entry-2", "entry-3"})
    {
        this->stop(lost);
        this->run(20s);
        const char* at = std::string(lost) == "entry-1" ? "entry-2" : "entry-1";
        const request_id id = this->begin(at, this->facts);
        EXPECT_FALSE(std::holds_alternative<step_send>(this->advance(at, id)));
        this->start(lost, ++this->ids[lost].incarnation);
        this->run(20s);
    }
}

class an_order_ended_without_an_answer : public small_fleet
{
protected:
    an_order_ended_without_an_answer() : facts(this->order(2))
    {
        this->id = this->begin("entry-1", this->facts);
        this->advance("entry-1", this->id);
    }

    request_facts facts;
    request_id id = 0;
};

// Guards against a retry of an order, and against a refusal that claims the
// order was not run.
TEST_F(an_order_ended_without_an_answer, it_is_unknown_here_and_elsewhere)
{
    const step ended = this->finish("entry-1", this->id,
                                    {attempt_end::closed_early, 0, 1ms, {}});
    ASSERT_TRUE(std::holds_alternative<step_refuse>(ended));
    EXPECT_TRUE(std::get<step_refuse>(ended).outcome_unknown);
    const request_id again = this->begin("entry-3", this->facts);
    EXPECT_EQ(refusal(this->advance("entry-3", again)),
              result_code::order_outcome_unknown);
}

// Guards against an order that nobody can run because its first try found no
// server.
TEST_F(an_order_ended_without_an_answer, it_may_run_when_nothing_was_sent)
{
    step ended =
        this->finish("entry-1", this->id, {attempt_end::not_sent, 0, 1ms, {}});
    if (std::holds_alternative<step_send>(ended))
    {
        ended = this->finish("entry-1", this->id, answered());
        EXPECT_TRUE(std::holds_alternative<step_done>(ended));
        return;
    }
    EXPECT_FALSE(std::get<step_refuse>(ended).outcome_unknown);
    const request_id again = this->begin("entry-3", this->facts);
    EXPECT_TRUE(
        std::holds_alternative<step_send>(this->advance("entry-3", again)));
}

// Guards against orders on both sides of a partition.
TEST_F(small_fleet, an_order_runs_only_on_the_side_with_the_majority)
{
    for (const char* other : {"entry-2", "entry-3"})
    {
        this->cut.insert({"entry-1", other});
        this->cut.insert({other, "entry-1"});
    }
    this->run(30s);
    const request_facts facts = this->order(3);
    const request_id minority = this->begin("entry-1", facts);
    EXPECT_FALSE(
        std::holds_alternative<step_send>(this->advance("entry-1", minority)));
    const request_id majority = this->begin("entry-2", facts);
    EXPECT_TRUE(
        std::holds_alternative<step_send>(this->advance("entry-2", majority)));
}
