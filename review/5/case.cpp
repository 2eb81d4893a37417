/// Case 5: a server starts again while its machine's clock is behind, and its
/// later notice that it drains is ignored.
#include <review/rig/rig.hpp>

namespace
{

using namespace rig;
using std::chrono::seconds;

constexpr unsigned instances = 3;
constexpr unsigned other_servers = 3;
constexpr unsigned callers = 9;
constexpr milliseconds clock_step{2400}; // sites/luoixanh-gw
constexpr milliseconds time_up{700};     // srv_flap: a period of 1.4 s
constexpr milliseconds time_down{700};
constexpr milliseconds drain{2000};
/// The server serves on for `drain` after its report and some seconds longer.
constexpr milliseconds serves_on{6000};
constexpr milliseconds calm_time{6000}; // twice `stable`
constexpr milliseconds deadline{2500};
const std::string key = "2b9wu3fexd9dnn2ctnfz";

std::uint64_t unix_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(now).count());
}

/// When a request began to run at the server that drains.
struct run_log
{
    std::mutex mutex;
    std::vector<std::int64_t> runs;
};

void send_requests(const std::vector<std::unique_ptr<instance>>& fleet,
                   unsigned number,
                   recorder& record,
                   const std::atomic<bool>& over)
{
    const instance& home = *fleet[number % fleet.size()];
    client caller;
    while (!over)
    {
        if (!caller.is_connected() &&
            !caller.connect(home.address, home.port("callers")))
        {
            continue;
        }
        const std::string id = make_id("order");
        const outcome got = caller.ask(
            request_text("POST", "/work/" + id, id, key, deadline, "order"),
            deadline + seconds(1));
        record.line("client gets " + id + " from " + home.address +
                    ": status " + std::to_string(got.status) + " " +
                    got.failure);
        pause(milliseconds(40));
    }
}

bool run(const std::string& folder, bool trouble, recorder& record)
{
    store& source = *new store;
    run_log& log = *new run_log;
    source.put("op/config", make_configuration("orderdesk", "unsafe", "2500ms",
                                               "800ms", key, 580, 580));
    const auto plan = [](const message&)
    {
        return work{milliseconds(60), "done"};
    };
    for (unsigned number = 1; number <= other_servers; ++number)
    {
        const server& added = *new server("i-desk" + std::to_string(number),
                                          "orderdesk", 3, record, plan);
        source.put("servers/" + added.name, added.entry("ready", 1, unix_ms()));
    }
    server& leaving = *new server("i-leaves", "orderdesk", 3, record,
                                  [&log](const message&)
                                  {
                                      const std::lock_guard guard(log.mutex);
                                      log.runs.push_back(elapsed_ms());
                                      return work{milliseconds(60), "done"};
                                  });
    const auto fleet = make_fleet(instances, folder, source);
    for (const auto& current : fleet)
    {
        current->start();
    }
    for (const auto& current : fleet)
    {
        wait_until_ready(*current);
    }
    pause(seconds(4));
    std::atomic<bool> over{false};
    std::vector<std::thread> threads;
    for (unsigned number = 0; number < callers; ++number)
    {
        threads.emplace_back(
            [&, number]
            {
                send_requests(fleet, number, record, over);
            });
    }
    const std::string entry = "servers/" + leaving.name;
    std::uint64_t born = unix_ms();
    source.put(entry, leaving.entry("ready", 1, born));
    record.line("server i-leaves starts, born " + std::to_string(born));
    pause(time_up);
    if (trouble)
    {
        leaving.crash(time_down);
        record.line("server i-leaves crashes; its machine's clock steps back");
        pause(time_down);
        born = unix_ms() - static_cast<std::uint64_t>(clock_step.count());
        source.put(entry, leaving.entry("ready", 1, born));
        record.line("server i-leaves starts again, born " +
                    std::to_string(born));
    }
    pause(calm_time);
    source.put(entry, leaving.entry("draining", 6, born));
    const std::int64_t acknowledged = elapsed_ms();
    record.line("the store acknowledges that i-leaves is draining");
    pause(serves_on);
    source.remove(entry);
    leaving.crash(seconds(60));
    record.line("server i-leaves has left");
    pause(seconds(1));
    over = true;
    for (std::thread& thread : threads)
    {
        thread.join();
    }
    const std::lock_guard guard(log.mutex);
    const auto late =
        std::count_if(log.runs.begin(), log.runs.end(),
                      [acknowledged](std::int64_t time)
                      {
                          return time > acknowledged + drain.count();
                      });
    record.line("DRAIN: " + std::to_string(late) +
                " requests reached i-leaves later than 2 s after that");
    return late == 0;
}

} // namespace

int main(int argc, char** argv)
{
    return rig::run_case(argc, argv, run);
}
