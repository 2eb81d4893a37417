/// Soak of planned work at real instances under load: restarts, SIGHUP and new
/// configuration documents in a seeded series. A request that an instance has
/// read must not end without an answer.
#include "planned_work_fixture.hpp"

#include <cstdlib>
#include <random>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

/// Three instances under mixed load while planned work of all kinds goes on.
class a_fleet_with_planned_work : public a_fleet_on_a_platform
{
protected:
    static constexpr std::size_t instance_count = 3;
    static constexpr std::size_t client_count = 36;
    static constexpr auto duration = 22s;

    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        const char* text = std::getenv("MEDLARBARROW_SOAK_SEED");
        this->seed = text == nullptr ? 25 : std::strtoul(text, nullptr, 10);
        // With few slots many requests wait for a server when a stop ends.
        this->add_servers(6, this->seed % 2 == 0 ? 2 : 8);
        this->start_fleet(instance_count);
    }

    static call_plan choose_plan(std::mt19937_64& random)
    {
        const auto between = [&random](unsigned low, unsigned high)
        {
            return std::uniform_int_distribution<unsigned>(low, high)(random);
        };
        const unsigned kind = between(0, 99);
        if (kind < 75)
        {
            return {fmt::format("/order/x?delay_ms={}", between(5, 120))};
        }
        if (kind < 85)
        {
            return {fmt::format("/browse/x?delay_ms={}", between(5, 300))};
        }
        if (kind < 91)
        {
            // Read late, so that the next request on the connection may come
            // late in a stop.
            call_plan streamed{fmt::format("/stream/x?chunked={}&bytes={}",
                                           between(0, 1),
                                           between(300'000, 9'000'000))};
            const milliseconds pause(between(0, 1) * between(0, 4000));
            streamed.before_body = [pause]
            {
                std::this_thread::sleep_for(pause);
            };
            return streamed;
        }
        if (kind < 95)
        {
            return {fmt::format("/long/x?delay_ms={}", between(300, 3500))};
        }
        call_plan slow{fmt::format("/next/x?delay_ms={}", between(5, 2500)),
                       std::string(between(100, 20'000), 'b')};
        (kind < 97 ? slow.pause_in_head : slow.pause_in_body) =
            milliseconds(between(50, 5500));
        return slow;
    }

    /// A client that turns to the next instance when its own accepts no
    /// connection.
    void run_client(std::size_t number)
    {
        std::mt19937_64 random(this->seed * 1000 + number);
        std::vector<std::unique_ptr<kept_connection>> connections;
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            connections.push_back(std::make_unique<kept_connection>(
                index, this->endpoint_of(index)));
        }
        std::size_t current = number % instance_count;
        while (!this->ended)
        {
            kept_connection& connection = *connections[current];
            if (!connection.is_open() && !connection.connect())
            {
                current = (current + 1) % instance_count;
                std::this_thread::sleep_for(10ms);
                continue;
            }
            const call_record record = connection.call(choose_plan(random));
            const std::lock_guard guard(this->mutex);
            this->records.push_back(record);
        }
    }

    /// Restarts the instances that have ended, and kills those whose grace is
    /// over.
    void restart_ended()
    {
        for (std::size_t index = 0; index < instance_count; ++index)
        {
            const auto stop = this->stop_before(index, steady::now());
            if (!this->stopping.contains(index))
            {
                continue;
            }
            const std::string state = this->instances[index]->state();
            if (state != "running")
            {
                EXPECT_TRUE(state.starts_with("exit status ")) << state;
                this->stopping.erase(index);
                this->start_instance(index);
            }
            else if (steady::now() > *stop + grace)
            {
                ADD_FAILURE() << "instance " << index << " did not end";
                this->instances[index]->send(SIGKILL);
            }
        }
    }

    void do_planned_work(std::mt19937_64& random)
    {
        const std::size_t index = random() % instance_count;
        const unsigned kind = random() % 10;
        if (kind < 4 && this->stopping.size() < 2 &&
            !this->stopping.contains(index) && this->readiness(index) == 200)
        {
            this->stopping.insert(index);
            this->stop_instance(index);
        }
        else if (kind < 7)
        {
            // A process that does not listen yet may not handle the signal.
            if (this->readiness(index) != 0)
            {
                this->instances[index]->send(SIGHUP);
            }
        }
        else
        {
            constexpr std::array idle_timeouts{"300ms", "2000ms", "60000ms"};
            this->store.put(
                "op/config",
                make_config(++this->version, idle_timeouts[random() % 3]));
        }
    }

    unsigned long seed = 0;
    unsigned version = 1;
    std::atomic<bool> ended = false;
    std::set<std::size_t> stopping;
    std::vector<call_record> records;
};

// Guards against requests that are lost when restarts, settings that are read
// again and new documents come one after the other or at once.
TEST_F(a_fleet_with_planned_work, loses_no_request)
{
    std::vector<std::thread> clients;
    for (std::size_t number = 0; number < client_count; ++number)
    {
        clients.emplace_back(
            [this, number]
            {
                this->run_client(number);
            });
    }
    std::mt19937_64 random(this->seed);
    const auto end = steady::now() + duration;
    while (steady::now() < end)
    {
        const auto next = steady::now() + milliseconds(100 + random() % 900);
        while (steady::now() < next)
        {
            this->restart_ended();
            std::this_thread::sleep_for(10ms);
        }
        this->do_planned_work(random);
    }
    this->ended = true;
    for (std::thread& client : clients)
    {
        client.join();
    }
    this->expect_none_lost(this->records);
    std::map<std::string, unsigned> runs;
    for (const auto& server : this->servers)
    {
        for (const standin::execution& run : server->journal())
        {
            const bool repeatable = run.target.starts_with("/browse/");
            for (const auto& [name, value] : run.headers)
            {
                const bool is_id =
                    boost::beast::iequals(name, request_id_header);
                if (is_id && !repeatable && ++runs[value] > 1)
                {
                    ADD_FAILURE() << value << " ran twice: " << run.target;
                }
            }
        }
    }
    std::size_t stop_count = 0;
    for (const auto& [index, times] : this->stops)
    {
        stop_count += times.size();
    }
    std::map<unsigned, unsigned> by_status;
    for (const call_record& record : this->records)
    {
        ++by_status[record.status];
    }
    std::string statuses;
    for (const auto& [status, count] : by_status)
    {
        statuses += fmt::format(" {}:{}", status, count);
    }
    fmt::print("seed {}: {} requests by status{}, {} stops, {} documents\n",
               this->seed, this->records.size(), statuses, stop_count,
               this->version - 1);
}
