/// Case 5: instances are stopped and started in turn, and a request that is
/// known to crash servers reaches servers again.
#include <review/rig/rig.hpp>

namespace
{

using namespace rig;
using std::chrono::seconds;

constexpr unsigned instances = 12;
constexpr unsigned server_count = 12;
constexpr unsigned usual_callers = 16;
constexpr unsigned crashes_before_block = 3;
constexpr unsigned allowed_retries = 3;
constexpr milliseconds stable{3000};
constexpr milliseconds grace{6000};
constexpr milliseconds gap{1300}; // roll_term of sites/luoixanh-gw
constexpr milliseconds server_down_time{4000};
constexpr milliseconds deadline{2500};
constexpr milliseconds poison_period{300};
const std::string key = "2b9wu3fexd9dnn2ctnfz";

/// An instance and what the clients and the balancer know of it.
struct machine
{
    std::unique_ptr<instance> process;
    std::atomic<bool> in_rotation{true};
    /// Since when its process has run without a disruption.
    std::atomic<std::int64_t> calm_since{0};
};

struct crash
{
    std::int64_t time = 0;
    std::string server;
    bool sender_in_touch = false;
};

using fleet = std::vector<std::unique_ptr<machine>>;

/// What the servers and the clients share.
struct events
{
    std::mutex mutex;
    std::map<std::string, bool> sender_in_touch; ///< by request id
    std::vector<crash> crashes;
};

work plan_work(events& seen, const std::string& name, const message& request)
{
    work planned{milliseconds(60), "done"};
    const std::string id = request.header("x-medlarbarrow-request-id");
    if (request.word(1) == "/jobs/poison")
    {
        planned.crashes = true;
        planned.down_time = server_down_time;
        const std::lock_guard guard(seen.mutex);
        seen.crashes.push_back({elapsed_ms(), name, seen.sender_in_touch[id]});
    }
    return planned;
}

/// The caller whose request crashes servers sends it again and again, each
/// time through the next instance.
void send_poison(const fleet& machines,
                 events& seen,
                 recorder& record,
                 const std::atomic<bool>& over)
{
    for (unsigned number = 0; !over; ++number)
    {
        const machine& home = *machines[number % machines.size()];
        client caller;
        if (!home.in_rotation || !caller.connect(home.process->address,
                                                 home.process->port("callers")))
        {
            continue;
        }
        const std::string id = make_id("poison");
        const bool in_touch = elapsed_ms() >= home.calm_since + stable.count();
        {
            const std::lock_guard guard(seen.mutex);
            seen.sender_in_touch[id] = in_touch;
        }
        record.line("client sends POST /jobs/poison " + id + " to " +
                    home.process->address +
                    (in_touch ? ", in touch" : ", not in touch"));
        const outcome got = caller.ask(
            request_text("POST", "/jobs/poison", id, key, deadline, "crash"),
            deadline + seconds(1));
        record.line("client gets " + id + ": status " +
                    std::to_string(got.status) + " " + got.failure);
        pause(poison_period);
    }
}

void send_usual(const fleet& machines,
                unsigned first,
                recorder& record,
                const std::atomic<bool>& over)
{
    client caller;
    for (unsigned number = first; !over; ++number)
    {
        const machine& home = *machines[number % machines.size()];
        if (!home.in_rotation || !caller.connect(home.process->address,
                                                 home.process->port("callers")))
        {
            continue;
        }
        const std::string id = make_id("order");
        const outcome got = caller.ask(
            request_text("POST", "/jobs/" + id, id, key, deadline, "order"),
            deadline + seconds(1));
        if (got.status != 200)
        {
            record.line("client gets " + id + ": status " +
                        std::to_string(got.status) + " " + got.failure);
        }
        pause(milliseconds(100));
    }
}

/// Stops an instance and starts it again. The balancer sends it no new
/// connections from two misses, a second apart, until it is ready again.
void restart(machine& target, recorder& record)
{
    record.line("SIGTERM to " + target.process->address);
    target.calm_since = std::numeric_limits<std::int64_t>::max() / 2;
    target.process->signal(SIGTERM);
    const auto kill_time = steady::now() + grace;
    pause(milliseconds(1500));
    target.in_rotation = false;
    while (!target.process->has_ended() && steady::now() < kill_time)
    {
        pause(milliseconds(10));
    }
    target.process->end(SIGKILL);
    pause(milliseconds(300));
    target.process->start();
    target.calm_since = elapsed_ms();
    while (!target.process->is_ready())
    {
        pause(milliseconds(50));
    }
    target.in_rotation = true;
    record.line("instance " + target.process->address + " is back");
}

/// Retries of machines in touch that reached servers later than `stable` after
/// the third crash.
unsigned count_late_retries(const events& seen, recorder& record)
{
    std::set<std::string> crashed;
    std::optional<std::int64_t> third_crash;
    unsigned late = 0;
    for (const crash& current : seen.crashes)
    {
        if (third_crash && current.sender_in_touch &&
            current.time > *third_crash + stable.count())
        {
            ++late;
            record.line("BUDGET: late retry at server " + current.server +
                        " at " + std::to_string(current.time) + " ms");
        }
        crashed.insert(current.server);
        if (!third_crash && crashed.size() >= crashes_before_block)
        {
            third_crash = current.time;
        }
    }
    return late;
}

bool run(const std::string& folder, bool trouble, recorder& record)
{
    store& source = *new store;
    events& seen = *new events;
    source.put("op/config", make_configuration("orderdesk", "unsafe", "2500ms",
                                               "800ms", key, 580, 580));
    for (unsigned number = 1; number <= server_count; ++number)
    {
        const std::string name = "i-desk" + std::to_string(number);
        const server& added =
            *new server(name, "orderdesk", 3, record,
                        [&seen, name](const message& request)
                        {
                            return plan_work(seen, name, request);
                        });
        source.put("servers/" + name,
                   added.entry("ready", 1, 1700000000000 + number));
    }
    fleet machines;
    for (auto& process : make_fleet(instances, folder, source))
    {
        machines.push_back(std::make_unique<machine>());
        machines.back()->process = std::move(process);
        machines.back()->process->start();
    }
    for (const auto& current : machines)
    {
        wait_until_ready(*current->process);
        current->calm_since = elapsed_ms();
    }
    pause(seconds(4));
    std::atomic<bool> over{false};
    std::vector<std::thread> callers;
    for (unsigned number = 0; number < usual_callers; ++number)
    {
        callers.emplace_back(
            [&, number]
            {
                send_usual(machines, number, record, over);
            });
    }
    callers.emplace_back(
        [&]
        {
            send_poison(machines, seen, record, over);
        });
    pause(seconds(10));
    for (const auto& current : machines)
    {
        if (trouble)
        {
            restart(*current, record);
        }
        pause(trouble ? gap : milliseconds(3500));
    }
    pause(seconds(3));
    over = true;
    for (std::thread& caller : callers)
    {
        caller.join();
    }
    const std::lock_guard guard(seen.mutex);
    return count_late_retries(seen, record) <= allowed_retries;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
