/// Prints what the mechanisms of a fleet without a list of members cost: bytes
/// of each message, and processor time of a placement and of an exchange of
/// gossip, at the sizes of today and of the design.
#include <chrono>
#include <ctime>
#include <fmt/format.h>
#include <medlarbarrow/core/placement.hpp>
#include <medlarbarrow/net/fleet_codec.hpp>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

constexpr core::time_point start{1000s};

core::membership view_of(std::size_t count)
{
    core::membership view(1, 1'700'000'000'000, 1);
    for (core::instance_address other = 2; other <= count; ++other)
    {
        view.record_message(0x0a010000U + other, 1'700'000'000'000, start);
    }
    return view;
}

void print_size(std::string_view name, const core::fleet_message& message)
{
    fmt::print("{:<28}{:>8} bytes\n", name,
               net::encode_message(message).size());
}

core::gossip gossip_of(core::membership& view, std::size_t entries)
{
    core::gossip message;
    message.incarnation = 1'700'000'000'000;
    message.revision = 5000;
    message.members = view.make_reports(entries, start + 500ms);
    return message;
}

core::place_request request_of(std::uint64_t number)
{
    core::place_request asked;
    asked.grant = {0x0a010005'12345678, number};
    asked.data_centre = "haiphong-a";
    asked.work_kind = 0x12345678;
    asked.repeatable = number % 4 == 0;
    asked.rank = 1;
    asked.time_to_objective = 800ms;
    asked.time_to_deadline = 2500ms;
    asked.content_digest = 0x1234567812345678 + number;
    return asked;
}

/// Microseconds of processor time for each call of `work`.
template <class Work>
double microseconds_each(unsigned count, Work work)
{
    const std::clock_t begin = std::clock();
    for (unsigned index = 0; index < count; ++index)
    {
        work(index);
    }
    const double passed =
        static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    return passed * 1e6 / count;
}

void print_placement(std::size_t servers)
{
    core::placement owner({}, 1);
    std::vector<core::announced_server> all(servers);
    std::vector<const core::announced_server*> usable;
    for (std::size_t index = 0; index < servers; ++index)
    {
        all[index].server.name = "i-" + std::to_string(index);
        all[index].server.slots = 3;
        all[index].server.data_centre = "haiphong-a";
        usable.push_back(&all[index]);
    }
    core::time_point now = start;
    owner.set_servers(usable, now);
    // A third of all slots is busy.
    const std::uint64_t busy = servers;
    const double cost = microseconds_each(
        20'000,
        [&](unsigned index)
        {
            owner.request(request_of(index), now);
            if (index >= busy)
            {
                owner.on_send_ended(request_of(index - busy).grant,
                                    core::send_outcome::succeeded, 200ms, now);
            }
            now += 1ms;
        });
    fmt::print("placement, {:>4} servers     {:>8.1f} us a request\n", servers,
               cost);
}

void print_gossip(std::size_t instances)
{
    core::membership view = view_of(instances);
    const double cost = microseconds_each(
        2'000,
        [&](unsigned)
        {
            const auto bytes = net::encode_message(gossip_of(view, 16));
            const auto read = net::decode_message(bytes);
            view.merge(std::get<core::gossip>(read.value()).members,
                       start + 600ms);
        });
    const double owners = microseconds_each(
        2'000,
        [&](unsigned index)
        {
            view.owners(index % 2 == 0 ? "service a" : "account b", 2, start);
        });
    fmt::print("gossip, {:>4} instances      {:>8.1f} us a message\n",
               instances, cost);
    fmt::print("home of a key, {:>4} instances {:>6.1f} us\n", instances,
               owners);
}

} // namespace

int main()
{
    core::membership view = view_of(830);
    print_size("gossip, 16 entries", gossip_of(view, 16));
    print_size("gossip, 64 entries", gossip_of(view, 64));
    print_size("subscribe", core::subscribe{1'700'000'000'000});
    print_size("beacon without changes",
               core::source_update{5000, 200ms, 5000, ""});
    print_size("place_call", core::place_call{"specbook", request_of(100'000)});
    print_size(
        "place_reply",
        core::place_reply{100'000, core::placed{"i-0123456789", 200ms, 500ms}});
    print_size("done_call",
               core::done_call{"specbook", request_of(100'000).grant,
                               core::send_outcome::succeeded, 200ms});
    print_size("done_reply", core::done_reply{100'000});
    print_size("admit_call", core::admit_call{100'000, "account-17"});
    print_size("admit_reply", core::admit_reply{100'000, true, {true, 0ms}});
    for (const std::size_t servers : {6, 25, 27, 340})
    {
        print_placement(servers);
    }
    for (const std::size_t instances : {40, 135, 830})
    {
        print_gossip(instances);
    }
}
