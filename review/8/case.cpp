// The machines that the seeds name stay down while the others start again. Each
// of these takes itself for the only owner of every account, also once its
// settings file names machines that are up.
#include "../6/rig.hpp"

namespace
{

using namespace rig;

constexpr int instance_count = 6;
constexpr int seed_count = 3;
constexpr int server_count = 4;
/// Quota of the tenant, as in the examples of `fleetbench wire`.
constexpr int rate_per_s = 47;
constexpr int burst = 47;
/// quotaWindow, quotaOverage and quotaSlack of the settings.
constexpr long window_ms = 5000;
constexpr double overage = 0.25;
constexpr double slack = 20;

const std::string key = "keyofthetenantthatispressed";

std::string config()
{
    return "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
           "\"prefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
           "\"service\",\"maxAttempts\",\"authExempt\"],\"rows\":["
           "[\"r-main\",\"shop.example\",\"/main/\",\"safe\",\"1500ms\","
           "\"500ms\",1,\"catalogue\",2,false]]},\"services\":{\"columns\":["
           "\"name\",\"healthCheck\",\"maxConns\",\"protocol\",\"tls\"],"
           "\"rows\":[[\"catalogue\",\"/healthz\",360,\"h1\",false]]},"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"},"
           "\"tenants\":{\"columns\":[\"name\",\"apiKeys\",\"priority\","
           "\"ratePerS\",\"burst\"],\"rows\":[[\"pressed\",[\"" +
           key + "\"],1," + std::to_string(rate_per_s) + "," +
           std::to_string(burst) + "]]}}";
}

std::mutex mutex;
std::vector<std::pair<long, long>> runs; ///< sent, arrived

/// Sends requests one after the other and records those that a server ran.
void press(const instance& at, const std::atomic<bool>& stop)
{
    client caller;
    while (!stop)
    {
        const long sent = now_ms();
        const answer got = caller.ask(at, "GET", "/main/x", key, new_id());
        if (got.status == 200 && !got.signature.empty())
        {
            const std::lock_guard guard(mutex);
            runs.emplace_back(sent, now_ms());
        }
        else
        {
            sleep_ms(10);
        }
    }
}

} // namespace

int main()
{
    std::string folder;
    const bool disrupted = begin("review/8/record.txt", folder);
    const network addresses = network::choose(40);
    store platform;
    platform.start(addresses.ip(10));
    platform.put("op/config", config());
    std::vector<std::unique_ptr<server>> servers;
    for (int number = 0; number < server_count; ++number)
    {
        servers.push_back(std::make_unique<server>());
        servers.back()->start(platform, addresses.ip(20 + number),
                              "i-" + std::to_string(number), "catalogue");
    }
    std::vector<instance> instances(instance_count);
    std::vector<std::string> seeds;
    for (int host = 1; host <= seed_count; ++host)
    {
        seeds.push_back(addresses.ip(host));
    }
    for (int host = 1; host <= instance_count; ++host)
    {
        instances[host - 1].configure(addresses, host, platform.endpoint, seeds,
                                      folder);
        all_instances.push_back(&instances[host - 1]);
    }
    for (instance& each : instances)
    {
        each.start();
    }
    for (const instance& each : instances)
    {
        each.wait_ready(10000);
    }
    sleep_ms(8000);

    record.line("all processes are killed at the same moment");
    const long killed = now_ms();
    for (instance& each : instances)
    {
        each.end(SIGKILL);
    }
    sleep_ms(2000);
    // With the disruption, the machines that the seeds name stay down.
    const int first = disrupted ? seed_count : 0;
    record.line("the machines %d to %d start again", first + 1, instance_count);
    for (int index = first; index < instance_count; ++index)
    {
        instances[index].start();
    }
    for (int index = first; index < instance_count; ++index)
    {
        instances[index].wait_ready(10000);
    }
    // Within seedLag the settings files name machines that are up, without a
    // signal.
    seeds.clear();
    for (int host = seed_count + 1; host <= instance_count; ++host)
    {
        seeds.push_back(addresses.ip(host));
    }
    for (int host = 1; host <= instance_count; ++host)
    {
        instances[host - 1].configure(addresses, host, platform.endpoint, seeds,
                                      folder);
    }
    record.line("%ld ms after the kill, all settings files name the machines "
                "%d to %d as seeds",
                now_ms() - killed, seed_count + 1, instance_count);
    sleep_ms(5000);

    // The same clients in both cases, at the last three machines.
    record.line("clients of one tenant press; its quota: %d a second, burst "
                "%d",
                rate_per_s, burst);
    std::atomic<bool> stop{false};
    std::vector<std::thread> clients;
    for (int index = seed_count; index < instance_count; ++index)
    {
        for (int number = 0; number < 4; ++number)
        {
            clients.emplace_back(press, std::cref(instances[index]),
                                 std::cref(stop));
        }
    }
    sleep_ms(15000);
    stop = true;
    for (std::thread& each : clients)
    {
        each.join();
    }

    const double allowed =
        (rate_per_s * window_ms / 1000.0 + burst) * (1 + overage) + slack;
    std::size_t most = 0;
    long most_at = 0;
    for (const auto& from : runs)
    {
        std::size_t count = 0;
        for (const auto& run : runs)
        {
            count +=
                run.first >= from.first && run.second <= from.first + window_ms
                    ? 1
                    : 0;
        }
        if (count > most)
        {
            most = count;
            most_at = from.first;
        }
    }
    record.line("requests run in all: %zu", runs.size());
    record.line("most in a window of %ld ms, both sent and answered in it: "
                "%zu, from %ld ms; allowed: %.0f",
                window_ms, most, most_at, allowed);
    finish(static_cast<double>(most) > allowed, folder);
}
