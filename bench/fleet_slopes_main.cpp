/// Prints the cost of running a fleet without a member list: the size of each
/// message, and the processor time of a placement and of a gossip exchange, for
/// present fleet sizes and the sizes in the design.
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

core::membership make_membership(std::size_t count)
{
    core::membership view(1, 1'700'000'000'000, 1);
    for (core::instance_address address = 2; address <= count; ++address)
    {
        view.record_message(0x0a010000U + address, 1'700'000'000'000, start);
    }
    return view;
}

void print_size(std::string_view name, const core::fleet_message& message)
{
    fmt::print("{:<28}{:>8} bytes\n", name,
               net::encode_message(message).size());
}

core::gossip make_gossip(core::membership& view, std::size_t entries)
{
    core::gossip message;
    message.incarnation = 1'700'000'000'000;
    message.position = 5000;
    message.members = view.make_reports(entries, start + 500ms);
    return message;
}

core::place_request make_place_request(std::uint64_t number)
{
    core::place_request request;
    request.grant = {0x0a010005'12345678, number};
    request.data_centre = "haiphong-a";
    request.work_kind = 0x12345678;
    request.repeatable = number % 4 == 0;
    request.rank = 1;
    request.time_to_objective = 800ms;
    request.time_to_deadline = 2500ms;
    request.content_digest = 0x1234567812345678 + number;
    return request;
}

/// Microseconds of processor time that each call of `work` takes.
template <class Work>
double microseconds_per_call(unsigned count, Work work)
{
    const std::clock_t start_clock = std::clock();
    for (unsigned index = 0; index < count; ++index)
    {
        work(index);
    }
    const double seconds =
        static_cast<double>(std::clock() - start_clock) / CLOCKS_PER_SEC;
    return seconds * 1e6 / count;
}

void print_placement(std::size_t servers)
{
    core::placement owner({}, 1);
    std::vector<core::announced_server> announced(servers);
    std::vector<const core::announced_server*> usable;
    for (std::size_t index = 0; index < servers; ++index)
    {
        announced[index].server.name = "i-" + std::to_string(index);
        announced[index].server.slots = 3;
        announced[index].server.data_centre = "haiphong-a";
        usable.push_back(&announced[index]);
    }
    core::time_point now = start;
    owner.set_servers(usable, now);
    // Requests run until `busy` later ones have started, so that a third of all
    // slots is busy.
    const std::uint64_t busy = servers;
    const double request_us = microseconds_per_call(
        20'000,
        [&](unsigned index)
        {
            owner.request(make_place_request(index), now);
            if (index >= busy)
            {
                owner.on_send_ended(make_place_request(index - busy).grant,
                                    core::send_outcome::succeeded, 200ms, now);
            }
            now += 1ms;
        });
    fmt::print("placement, {:>4} servers     {:>8.1f} us a request\n", servers,
               request_us);
}

void print_gossip(std::size_t instances)
{
    core::membership view = make_membership(instances);
    const double message_us = microseconds_per_call(
        2'000,
        [&](unsigned)
        {
            const auto bytes = net::encode_message(make_gossip(view, 16));
            const auto decoded = net::decode_message(bytes);
            view.merge(std::get<core::gossip>(decoded.value()).members,
                       start + 600ms);
        });
    const double owners_us = microseconds_per_call(
        2'000,
        [&](unsigned index)
        {
            view.owners(index % 2 == 0 ? "service a" : "account b", 2, start);
        });
    fmt::print("gossip, {:>4} instances      {:>8.1f} us a message\n",
               instances, message_us);
    fmt::print("owner of a key, {:>4} instances {:>6.1f} us\n", instances,
               owners_us);
}

} // namespace

int main()
{
    core::membership view = make_membership(830);
    print_size("gossip, 16 entries", make_gossip(view, 16));
    print_size("gossip, 64 entries", make_gossip(view, 64));
    print_size("subscribe", core::subscribe{1'700'000'000'000});
    print_size("beacon without changes",
               core::source_update{5000, 200ms, 5000, ""});
    print_size("place_call",
               core::place_call{{"specbook", 0}, make_place_request(100'000)});
    print_size(
        "place_reply",
        core::place_reply{100'000, core::placed{"i-0123456789", 200ms, 500ms}});
    print_size("done_call", core::done_call{{"specbook", 0},
                                            make_place_request(100'000).grant,
                                            core::send_outcome::succeeded,
                                            200ms});
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
