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
    auto created = std::make_shared<document>();
    created->version = 1;
    created->fleet.max_instances = 3;
    created->data_centres = {{"suva", "viti-levu"}};
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
    created->services = {logbook};
    route reports;
    reports.name = "reports";
    reports.path_prefix = "/reports";
    reports.service = "logbook";
    route orders = reports;
    orders.name = "orders";
    orders.path_prefix = "/orders";
    orders.repeatable = false;
    created->routes = {reports, orders};
    created->accounts = {{"shop", 100.0, 50.0, {{shop_key, false}}}};
    return created;
}

} // namespace

/// Three instances that have been running for a while. Time is simulated, and
/// messages arrive at once unless a link is cut.
class small_fleet : public testing::Test
{
protected:
    small_fleet()
    {
        this->active_document = make_document();
        for (const char* name : {"entry-1", "entry-2", "entry-3"})
        {
            this->list.instances.push_back({name, "", 0, "suva", "viti-levu"});
        }
        this->list.version = 1;
        for (const listed_instance& listed : this->list.instances)
        {
            this->start(listed.name, 1);
        }
        // Longer than leases of earlier processes, a refresh period and twice
        // the clock skew.
        this->run(20s);
    }

    void start(const std::string& name, std::uint64_t incarnation)
    {
        this->ids[name] = {name, incarnation};
        node_settings settings{this->ids[name], "suva", "viti-levu",
                               incarnation};
        auto created = node::create(settings, this->now.monotonic);
        this->nodes.insert_or_assign(
            name, std::make_unique<node>(std::move(*created)));
        this->nodes.at(name)->apply_document(this->active_document, this->now);
        this->nodes.at(name)->apply_list(this->list, this->now);
    }

    void stop(const std::string& name)
    {
        this->nodes.erase(name);
    }

    void deliver(const std::string& from, const outbox& out)
    {
        for (const outgoing& sent : out)
        {
            const auto target = this->nodes.find(sent.to);
            if (target == this->nodes.end() ||
                this->cut_links.contains({from, sent.to}))
            {
                continue;
            }
            const auto replies = target->second->receive(
                this->ids.at(from), sent.message, this->now);
            if (replies)
            {
                this->deliver(sent.to, *replies);
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
            for (auto& [name, instance] : this->nodes)
            {
                this->deliver(name, instance->tick(this->now));
            }
        }
    }

    /// Advances a request until it must be sent or has ended.
    step advance(const std::string& entry, request_id request)
    {
        for (int round = 0; round < 1000; ++round)
        {
            outbox out;
            const step next_step =
                this->nodes.at(entry)->next_step(request, this->now, out);
            this->deliver(entry, out);
            if (!std::holds_alternative<step_wait>(next_step))
            {
                return next_step;
            }
            this->run(20ms);
        }
        return step_done{};
    }

    request_id begin(const std::string& at, request_facts facts)
    {
        // The network layer too reads the clock again before the first step.
        const request_id id =
            this->nodes.at(at)->begin_request(facts, this->now);
        this->now.monotonic += 10us;
        return id;
    }

    step finish(const std::string& at,
                request_id request,
                const attempt_result& outcome)
    {
        outbox out;
        this->nodes.at(at)->attempt_finished(request, outcome, this->now, out);
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

    static result_code refusal(const step& ended)
    {
        const auto* refusal_step = std::get_if<step_refuse>(&ended);
        return refusal_step == nullptr ? result_code::ok : refusal_step->code;
    }

    instant now{time_point(1h), wall_start};
    std::shared_ptr<document> active_document;
    instance_list list;
    std::map<std::string, std::unique_ptr<node>> nodes;
    std::map<std::string, instance_id> ids;
    std::set<std::pair<std::string, std::string>> cut_links;
};

// Guards against a token request that asks for zero tokens. It happened because
// the clock was read again between begin_request() and next_step(); every
// instance except the owner then refused all keyed requests with code 207.
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

// Guards against a load balancer that sends callers to an instance whose peers
// do not know it yet and therefore grant it no tokens.
TEST_F(small_fleet, an_instance_is_ready_only_when_it_is_listed)
{
    EXPECT_TRUE(this->nodes.at("entry-1")->ready(this->now.monotonic));
    this->start("entry-4", 1);
    EXPECT_FALSE(this->nodes.at("entry-4")->ready(this->now.monotonic));
}

// Guards against a key that is still accepted after its withdrawal, also for a
// request that was already waiting at that time.
TEST_F(small_fleet, a_withdrawn_key_stops_with_the_next_document)
{
    auto newer = std::make_shared<document>(*this->active_document);
    newer->version = 2;
    newer->accounts[0].keys[0].withdrawn = true;
    const request_id waiting = this->begin("entry-1", get("/reports"));
    this->nodes.at("entry-1")->apply_document(newer, this->now);
    EXPECT_EQ(refusal(this->advance("entry-1", waiting)),
              result_code::key_withdrawn);
    const request_id later = this->begin("entry-1", get("/reports"));
    EXPECT_EQ(refusal(this->advance("entry-1", later)),
              result_code::key_withdrawn);
    EXPECT_EQ(this->nodes.at("entry-1")->apply_document(this->active_document,
                                                        this->now),
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

// Guards against an order that runs twice because the caller repeats it at
// another instance.
TEST_F(an_order_has_been_answered,
       a_repeat_at_another_instance_gets_the_first_answer)
{
    const request_id id = this->begin("entry-2", this->facts);
    const step repeated = this->advance("entry-2", id);
    ASSERT_TRUE(std::holds_alternative<step_replay>(repeated))
        << name_of(refusal(repeated));
    EXPECT_EQ(std::get<step_replay>(repeated).answer.body, "net 7");
}

// Guards against an order that runs twice because its records were lost when
// instances stopped.
TEST_F(an_order_has_been_answered,
       a_repeat_after_the_loss_of_any_instance_is_not_run)
{
    for (const char* stopped : {"entry-1", "entry-2", "entry-3"})
    {
        this->stop(stopped);
        this->run(20s);
        const char* at =
            std::string(stopped) == "entry-1" ? "entry-2" : "entry-1";
        const request_id id = this->begin(at, this->facts);
        EXPECT_FALSE(std::holds_alternative<step_send>(this->advance(at, id)));
        this->start(stopped, ++this->ids[stopped].incarnation);
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

// Guards against a retry of an order that may have run, and against a refusal
// which states that it was not run.
TEST_F(an_order_ended_without_an_answer,
       its_outcome_is_unknown_at_every_instance)
{
    const step ended = this->finish("entry-1", this->id,
                                    {attempt_end::closed_early, 0, 1ms, {}});
    ASSERT_TRUE(std::holds_alternative<step_refuse>(ended));
    EXPECT_TRUE(std::get<step_refuse>(ended).outcome_unknown);
    const request_id again = this->begin("entry-3", this->facts);
    EXPECT_EQ(refusal(this->advance("entry-3", again)),
              result_code::order_outcome_unknown);
}

// Guards against an order that can never run because its first attempt reached
// no server.
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

// Guards against an order that runs on both sides of a partition.
TEST_F(small_fleet, an_order_runs_only_on_the_side_with_the_majority)
{
    for (const char* other : {"entry-2", "entry-3"})
    {
        this->cut_links.insert({"entry-1", other});
        this->cut_links.insert({other, "entry-1"});
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
