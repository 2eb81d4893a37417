#include <bench/load_experiment.hpp>
#include <cmath>
#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/core/result_codes.hpp>

namespace medlarbarrow::bench
{

namespace
{

using config::object_reader;
using config::presence;
using config::problem_list;

constexpr std::size_t max_experiment_bytes = 1U << 20U;
constexpr std::size_t max_kinds = 64;
constexpr std::size_t max_troubles = 256;
constexpr std::uint64_t max_run_ms = 3'600'000;
constexpr std::uint64_t max_machines = 100'000;
constexpr double max_requests_per_second = 1e6;
/// Shares that are given as decimal numbers add up to one within this.
constexpr double share_tolerance = 1e-6;

constexpr std::array<config::choice<placing>, 3> placings{
    {{"home", placing::owner},
     {"own", placing::own},
     {"share", placing::share}}};

constexpr std::array<config::choice<trouble_kind>, 5> trouble_kinds{
    {{"hang", trouble_kind::hang},
     {"fail", trouble_kind::fail},
     {"slow", trouble_kind::slow},
     {"stop", trouble_kind::stop},
     {"home", trouble_kind::owner}}};

void read_microseconds(object_reader& root,
                       std::string_view member,
                       std::chrono::microseconds& target)
{
    auto count = static_cast<std::uint64_t>(target.count());
    root.whole(member, count, 0, 1'000'000, presence::optional);
    target = std::chrono::microseconds(count);
}

work_kind read_kind(object_reader& item)
{
    work_kind read;
    item.text("name", read.name, config::name_rule, presence::required);
    item.real("share", read.share, 0.0, 1.0, presence::required);
    item.flag("repeatable", read.repeatable, presence::required);
    item.whole("rank", read.rank, 0, 100, presence::optional);
    item.milliseconds("median_ms", read.median, 1, max_run_ms,
                      presence::required);
    item.real("spread", read.spread, 0.0, 3.0, presence::optional);
    item.milliseconds("objective_ms", read.objective, 1, max_run_ms,
                      presence::required);
    item.milliseconds("deadline_ms", read.deadline, 1, max_run_ms,
                      presence::required);
    return read;
}

service_kind read_service(object_reader& item)
{
    service_kind read;
    item.text("name", read.name, config::name_rule, presence::required);
    item.whole("copies", read.copies, 1, max_machines, presence::optional);
    item.real("share", read.share, 0.0, 1.0, presence::optional);
    item.whole("servers", read.servers, 1, max_machines, presence::required);
    item.whole("slots", read.slots, 1, 10'000, presence::required);
    item.whole("queue", read.queue, 0, 10'000, presence::required);
    item.objects(
        "work", max_kinds,
        [&read](object_reader& kind)
        {
            read.work.push_back(read_kind(kind));
        },
        presence::required);
    return read;
}

trouble read_trouble(object_reader& item)
{
    trouble read;
    item.one_of<trouble_kind>("kind", read.kind, trouble_kinds,
                              presence::required);
    item.milliseconds("from_ms", read.from, 0, max_run_ms, presence::required);
    item.milliseconds("until_ms", read.until, 0, max_run_ms,
                      presence::required);
    item.milliseconds("moves_ms", read.moves, 0, max_run_ms,
                      presence::optional);
    item.real("servers", read.servers, 0.0, 1.0, presence::optional);
    item.real("share", read.share, 0.0, 1.0, presence::optional);
    item.real("factor", read.factor, 1.0, 1000.0, presence::optional);
    return read;
}

void read_members(object_reader& root, experiment& target)
{
    root.text("name", target.name, config::name_rule, presence::required);
    root.whole("seed", target.seed, 0,
               std::numeric_limits<std::uint64_t>::max(), presence::optional);
    root.milliseconds("length_ms", target.length, 1000, max_run_ms,
                      presence::optional);
    root.one_of<placing>("placing", target.decided_by, placings,
                         presence::optional);
    root.whole("instances", target.instances, 1, max_machines,
               presence::optional);
    root.whole("data_centres", target.data_centres, 1, 100, presence::optional);
    root.real("requests_per_second", target.requests_per_second, 0.1,
              max_requests_per_second, presence::optional);
    root.real("peak", target.peak, 0.01, 100.0, presence::optional);
    read_microseconds(root, "near_link_us", target.near_link);
    read_microseconds(root, "far_link_us", target.far_link);
    root.objects(
        "services", max_kinds,
        [&target](object_reader& item)
        {
            target.services.push_back(read_service(item));
        },
        presence::required);
    root.objects(
        "troubles", max_troubles,
        [&target](object_reader& item)
        {
            target.troubles.push_back(read_trouble(item));
        },
        presence::optional);
    root.finish();
}

// Reports shares that do not cover everything once.
void check_shares(double sum, const std::string& path, problem_list& found)
{
    if (std::abs(sum - 1.0) > share_tolerance)
    {
        found.add(path, fmt::format("the shares add up to {}, not to 1", sum));
    }
}

void check_service(const service_kind& service,
                   const std::string& path,
                   problem_list& found)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < service.work.size(); ++index)
    {
        sum += service.work[index].share;
        if (service.work[index].deadline < service.work[index].objective)
        {
            found.add(fmt::format("{}/work/{}/deadline_ms", path, index),
                      "is earlier than objective_ms");
        }
    }
    check_shares(sum, path + "/work", found);
}

// Checks what concerns several members.
void check(const experiment& read, problem_list& found)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < read.services.size(); ++index)
    {
        sum += read.services[index].share;
        check_service(read.services[index], fmt::format("/services/{}", index),
                      found);
    }
    check_shares(sum, "/services", found);
    for (std::size_t index = 0; index < read.troubles.size(); ++index)
    {
        if (read.troubles[index].until <= read.troubles[index].from)
        {
            found.add(fmt::format("/troubles/{}/until_ms", index),
                      "is not later than from_ms");
        }
    }
}

} // namespace

config::checked<experiment> read_experiment(std::string_view text)
{
    problem_list found;
    experiment read;
    const auto parsed = config::parse_json(text, max_experiment_bytes, found);
    if (parsed)
    {
        object_reader root(*parsed, "", found);
        read_members(root, read);
    }
    if (found.empty())
    {
        check(read, found);
    }
    if (!found.empty())
    {
        return found.take(make_error_code(core::result_code::settings_invalid));
    }
    return read;
}

} // namespace medlarbarrow::bench
