// An instance starts again; the answer to its listing of the servers comes
// late. Meanwhile a server leaves.
#include "../6/rig.hpp"

namespace
{

using namespace rig;

constexpr int instance_count = 3;
constexpr int server_count = 8;
constexpr int client_count = 12;
/// The listing of the starting instance comes so much later.
constexpr long delay_ms = 600;
/// The server leaves so long after that listing was asked for.
constexpr long leaves_after_ms = 60;
/// `drain` of the settings, and `stable`: the instance is in touch so long
/// after the link has lost its last packet.
constexpr long drain_ms = 2000;
constexpr long stable_ms = 3000;
constexpr long observed_ms = 8000;

std::string config()
{
    return "{\"version\":\"r1\",\"routes\":{\"columns\":[\"name\",\"host\","
           "\"prefix\",\"kind\",\"timeout\",\"targetLatency\",\"priority\","
           "\"service\",\"maxAttempts\",\"authExempt\"],\"rows\":["
           "[\"r-main\",\"shop.example\",\"/main/\",\"safe\",\"1500ms\","
           "\"500ms\",1,\"catalogue\",2,true]]},\"services\":{\"columns\":["
           "\"name\",\"healthCheck\",\"maxConns\",\"protocol\",\"tls\"],"
           "\"rows\":[[\"catalogue\",\"/healthz\",360,\"h1\",false]]},"
           "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
           "\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15000ms\"}}";
}

/// Whether the instance places the requests of the service, by its metrics.
bool places(const instance& each)
{
    const int fd = connect_to(each.ip, 9464, 500);
    message got;
    const bool answered =
        fd >= 0 && write_all(fd, "GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n") &&
        reader(fd).read(got, 1000);
    if (fd >= 0)
    {
        ::close(fd);
    }
    return answered && got.body.find("shard_servers{service=\"catalogue\"") !=
                           std::string::npos;
}

} // namespace

int main()
{
    std::string folder;
    const bool disrupted = begin("review/7/record.txt", folder);
    const network addresses = network::choose(60);
    store platform;
    platform.start(addresses.ip(10));
    platform.put("op/config", config());
    std::mutex mutex;
    std::map<std::string, std::string> ran_at;
    std::vector<std::unique_ptr<server>> servers;
    for (int number = 0; number < server_count; ++number)
    {
        servers.push_back(std::make_unique<server>());
        servers.back()->work = [&](server& self, const message& request)
        {
            {
                const std::lock_guard guard(mutex);
                ran_at[request.header("x-medlarbarrow-request-id")] = self.id;
            }
            sleep_ms(20);
            return true;
        };
        servers.back()->slots = 2;
        servers.back()->start(platform, addresses.ip(20 + number),
                              "i-" + std::to_string(number), "catalogue");
    }
    std::vector<proxy> proxies(instance_count);
    std::vector<instance> instances(instance_count);
    std::vector<std::string> seeds;
    for (int host = 1; host <= instance_count; ++host)
    {
        seeds.push_back(addresses.ip(host));
    }
    for (int host = 1; host <= instance_count; ++host)
    {
        proxies[host - 1].start(addresses.ip(50 + host), platform.endpoint);
        instances[host - 1].configure(
            addresses, host, proxies[host - 1].endpoint, seeds, folder);
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

    int owner = -1;
    for (int attempt = 0; attempt < 20 && owner < 0; ++attempt)
    {
        client caller;
        for (const instance& each : instances)
        {
            caller.ask(each, "GET", "/main/x", "", new_id());
            caller.close();
        }
        for (int index = 0; index < instance_count; ++index)
        {
            owner = places(instances[index]) ? index : owner;
        }
    }
    if (owner < 0)
    {
        give_up("no instance places the service's requests");
    }
    instance& restarted = instances[owner];
    proxy& link = proxies[owner];
    record.line("%s places the service's requests; it is killed and starts "
                "again",
                restarted.name.c_str());
    restarted.end(SIGKILL);
    sleep_ms(500);
    link.listing_delay_ms = disrupted ? delay_ms : 0;
    link.listed_at = 0;
    restarted.start();
    while (link.listed_at == 0)
    {
        sleep_ms(1);
    }
    sleep_ms(leaves_after_ms);
    servers[0]->gone = true;
    servers[0]->announcing = false;
    platform.remove("servers/i-0");
    const long acknowledged = now_ms();
    record.line("%ld ms after its listing was asked for, the store "
                "acknowledges that i-0 is gone; it goes on serving",
                acknowledged - link.listed_at);
    sleep_ms(std::max(drain_ms, stable_ms) + delay_ms + 300);

    std::atomic<int> late{0};
    std::atomic<int> sent_in_all{0};
    std::vector<std::thread> clients;
    for (int number = 0; number < client_count; ++number)
    {
        clients.emplace_back(
            [&, number]
            {
                const instance& at = instances[number % instance_count];
                while (now_ms() < acknowledged + observed_ms)
                {
                    const std::string id = new_id();
                    const long sent = now_ms() - acknowledged;
                    client caller;
                    const answer got = caller.ask(at, "GET", "/main/x", "", id);
                    ++sent_in_all;
                    const std::lock_guard guard(mutex);
                    const auto ran = ran_at.find(id);
                    if (ran != ran_at.end() && ran->second == "i-0")
                    {
                        ++late;
                        record.line("sent %ld ms after it: %s at %s: answer "
                                    "%d, run by i-0",
                                    sent, id.c_str(), at.name.c_str(),
                                    got.status);
                    }
                }
            });
    }
    for (std::thread& each : clients)
    {
        each.join();
    }
    record.line("requests sent: %d; of these, sent later than %ld ms after the "
                "acknowledgement and run by i-0: %d",
                sent_in_all.load(), drain_ms, late.load());
    finish(late > 0, folder);
}
