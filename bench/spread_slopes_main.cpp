#include <algorithm>
#include <ctime>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <medlarbarrow/net/codec.hpp>
#include <standin/spread_fleet.hpp>

using namespace medlarbarrow;

namespace
{

/// Rate and size of the changes.
struct load
{
    unsigned changes = 5;               ///< changes of the document to measure
    std::chrono::seconds interval{192}; ///< between document changes: 450 a day
    /// Between list changes: 1,338 instances a day, each with three changes
    /// (it leaves, it is gone, a new one appears).
    std::chrono::seconds list_interval{22};
    std::size_t parts = 200;
    std::size_t part_bytes = 32'768;
};

/// Messages and bytes sent, by instance.
struct traffic
{
    std::vector<std::uint64_t> messages;
    std::vector<std::uint64_t> bytes;
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Counts a message with its encoded size. Also decodes it, as the receiver
// would, so that the measured processor time covers both.
void count_message(traffic& traffic,
                   std::size_t sender,
                   const core::outgoing& outgoing)
{
    const auto bytes = net::encode(
        {"entry-" + std::to_string(1000 + sender), 1}, outgoing.message);
    if (bytes && net::decode(*bytes))
    {
        ++traffic.messages[sender];
        traffic.bytes[sender] += bytes->size();
    }
}

/// Simulates one interval with a change of the document and several of the
/// list. Returns the time until all instances had the document.
core::duration run_interval(standin::spread_fleet& fleet, const load& load)
{
    const core::duration start = fleet.now();
    fleet.publish_document();
    fleet.run_until_converged(std::chrono::seconds(60));
    const core::duration convergence_time = fleet.now() - start;
    std::size_t absent = 0;
    while (fleet.now() - start < load.interval)
    {
        absent = (absent + 1) % fleet.size();
        fleet.publish_list({absent});
        fleet.run(load.list_interval);
    }
    return convergence_time;
}

void measure(std::size_t instances, const load& load)
{
    standin::spread_fleet::options options;
    options.instances = instances;
    options.data_centres = 4;
    options.parts = load.parts;
    options.index_bytes = 67; // a digest in quotation marks and a comma
    options.changed_bytes = load.part_bytes;
    standin::spread_fleet fleet(options);
    if (!fleet.run_until_converged(std::chrono::seconds(60)))
    {
        fmt::print("instances={} not converged within 60 s\n", instances);
        return;
    }
    fleet.run(std::chrono::seconds(20));
    traffic traffic{std::vector<std::uint64_t>(instances),
                    std::vector<std::uint64_t>(instances)};
    fleet.on_send =
        [&traffic](std::size_t sender, const core::outgoing& outgoing)
    {
        count_message(traffic, sender, outgoing);
    };
    const std::uint64_t reads_before = fleet.platform_reads;
    const core::duration start = fleet.now();
    const double processor_before = processor_seconds();
    core::duration slowest{};
    for (unsigned change = 0; change < load.changes; ++change)
    {
        slowest = std::max(slowest, run_interval(fleet, load));
    }
    const double seconds =
        std::chrono::duration<double>(fleet.now() - start).count();
    const double per_instance =
        1.0 / (seconds * static_cast<double>(instances));
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (std::size_t instance = 0; instance < instances; ++instance)
    {
        messages += traffic.messages[instance];
        bytes += traffic.bytes[instance];
    }
    fmt::print(
        "instances={} sent_messages_s={:.2f} sent_bytes_s={:.0f} "
        "busiest_sent_bytes_s={:.0f} processor_us_s={:.0f} "
        "slowest_change_s={:.2f} fleet_platform_reads_s={:.2f} "
        "watchers={} reverted={}\n",
        instances, static_cast<double>(messages) * per_instance,
        static_cast<double>(bytes) * per_instance,
        static_cast<double>(*std::ranges::max_element(traffic.bytes)) / seconds,
        (processor_seconds() - processor_before) * 1e6 * per_instance,
        std::chrono::duration<double>(slowest).count(),
        static_cast<double>(fleet.platform_reads - reads_before) / seconds,
        fleet.watching(), fleet.has_reverted());
    std::fflush(stdout);
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("spread_slopes",
                             "Measures the cost of spreading versions by fleet "
                             "size; bytes are encoded messages without frames");
    options.add_options()("changes", "Changes of the document to measure",
                          cxxopts::value<unsigned>()->default_value("5"))(
        "instances", "Fleet sizes to measure",
        cxxopts::value<std::vector<std::size_t>>()->default_value(
            "40,100,200,400,830"))("help", "Print this help");
    try
    {
        const auto parsed_options = options.parse(count, arguments);
        if (parsed_options.count("help") != 0)
        {
            fmt::print("{}", options.help());
            return 0;
        }
        load requested_load;
        requested_load.changes = parsed_options["changes"].as<unsigned>();
        for (const std::size_t size :
             parsed_options["instances"].as<std::vector<std::size_t>>())
        {
            measure(size, requested_load);
        }
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
