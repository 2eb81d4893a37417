#include <algorithm>
#include <ctime>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <medlarbarrow/net/codec.hpp>
#include <standin/spread_fleet.hpp>

using namespace medlarbarrow;

namespace
{

struct load
{
    unsigned changes = 5;                   ///< of the document
    std::chrono::seconds interval{192};     ///< 450 changes a day
    std::chrono::seconds list_interval{22}; ///< 1,338 instances a day, each
                                            ///< leaving, gone and new
    std::size_t parts = 200;
    std::size_t part_bytes = 32'768;
};

struct traffic
{
    std::vector<std::uint64_t> messages;
    std::vector<std::uint64_t> bytes;
};

double processor_seconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

// Counts each message as the codec encodes it, and decodes it as the receiver
// would, so that the processor time covers both.
void count_message(traffic& sum, std::size_t from, const core::outgoing& item)
{
    const auto bytes =
        net::encode({"entry-" + std::to_string(1000 + from), 1}, item.message);
    if (bytes && net::decode(*bytes))
    {
        ++sum.messages[from];
        sum.bytes[from] += bytes->size();
    }
}

/// Passes one interval with list changes; the time until all had the document.
core::duration pass_interval(standin::spread_fleet& fleet, const load& given)
{
    const core::duration start = fleet.now();
    fleet.publish_document();
    fleet.run_until_equal(std::chrono::seconds(60));
    const core::duration spread_time = fleet.now() - start;
    std::size_t absent = 0;
    while (fleet.now() - start < given.interval)
    {
        absent = (absent + 1) % fleet.size();
        fleet.publish_list({absent});
        fleet.run(given.list_interval);
    }
    return spread_time;
}

void measure(std::size_t instances, const load& given)
{
    standin::spread_fleet::shape shape;
    shape.instances = instances;
    shape.data_centres = 4;
    shape.parts = given.parts;
    shape.index_bytes = 67; // a digest in quotes and a comma
    shape.changed_bytes = given.part_bytes;
    standin::spread_fleet fleet(shape);
    if (!fleet.run_until_equal(std::chrono::seconds(60)))
    {
        fmt::print("instances={} not settled\n", instances);
        return;
    }
    fleet.run(std::chrono::seconds(20));
    traffic sum{std::vector<std::uint64_t>(instances),
                std::vector<std::uint64_t>(instances)};
    fleet.on_send = [&sum](std::size_t from, const core::outgoing& item)
    {
        count_message(sum, from, item);
    };
    const std::uint64_t reads = fleet.platform_reads;
    const core::duration start = fleet.now();
    const double processor = processor_seconds();
    core::duration slowest{};
    for (unsigned change = 0; change < given.changes; ++change)
    {
        slowest = std::max(slowest, pass_interval(fleet, given));
    }
    const double seconds =
        std::chrono::duration<double>(fleet.now() - start).count();
    const double per_instance =
        1.0 / (seconds * static_cast<double>(instances));
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    for (std::size_t instance = 0; instance < instances; ++instance)
    {
        messages += sum.messages[instance];
        bytes += sum.bytes[instance];
    }
    fmt::print("instances={} sent_messages_s={:.2f} sent_bytes_s={:.0f} "
               "busiest_sent_bytes_s={:.0f} processor_us_s={:.0f} "
               "slowest_change_s={:.2f} fleet_platform_reads_s={:.2f} "
               "watchers={} reverted={}\n",
               instances, static_cast<double>(messages) * per_instance,
               static_cast<double>(bytes) * per_instance,
               static_cast<double>(*std::ranges::max_element(sum.bytes)) /
                   seconds,
               (processor_seconds() - processor) * 1e6 * per_instance,
               std::chrono::duration<double>(slowest).count(),
               static_cast<double>(fleet.platform_reads - reads) / seconds,
               fleet.watching(), fleet.has_reverted());
    std::fflush(stdout);
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("spread_slopes",
                             "Cost of spreading versions by fleet size; bytes "
                             "are encoded messages without frames");
    options.add_options()("changes", "changes of the document to measure",
                          cxxopts::value<unsigned>()->default_value("5"))(
        "instances", "fleet sizes",
        cxxopts::value<std::vector<std::size_t>>()->default_value(
            "40,100,200,400,830"))("help", "show this text");
    try
    {
        const auto given = options.parse(count, arguments);
        if (given.count("help") != 0)
        {
            fmt::print("{}", options.help());
            return 0;
        }
        load wanted;
        wanted.changes = given["changes"].as<unsigned>();
        for (const std::size_t size :
             given["instances"].as<std::vector<std::size_t>>())
        {
            measure(size, wanted);
        }
    }
    catch (const std::exception& error)
    {
        fmt::print(stderr, "{}\n", error.what());
        return 1;
    }
    return 0;
}
