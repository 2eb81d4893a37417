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
constexpr std::size_t max_list_items = 64;
constexpr std::size_t max_faults = 256;
constexpr std::uint64_t max_run_ms = 3'600'000;
constexpr std::uint64_t max_count = 100'000;
constexpr double max_requests_per_second = 1e6;
/// Shares are decimal numbers, so that their sum may differ this much from 1.
constexpr double share_tolerance = 1e-6;

constexpr std::array<config::choice<placement_mode>, 3> placement_modes{
    {{"home", placement_mode::owner},
     {"own", placement_mode::every_instance},
     {"share", placement_mode::server_subset}}};

constexpr std::array<config::choice<fault_kind>, 5> fault_kinds{
    {{"hang", fault_kind::hang},
     {"fail", fault_kind::fail},
     {"slow", fault_kind::slow},
     {"stop", fault_kind::stop},
     {"home", fault_kind::owner}}};

void read_microseconds(object_reader& object,
                       std::string_view name,
                       std::chrono::microseconds& microseconds)
{
    auto count = static_cast<std::uint64_t>(microseconds.count());
    object.unsigned_integer(name, count, 0, 1'000'000, presence::optional);
    microseconds = std::chrono::microseconds(count);
}

work_kind read_kind(object_reader& object)
{
    work_kind result;
    object.text("name", result.name, config::name_rule, presence::required);
    object.real("share", result.share, 0.0, 1.0, presence::required);
    object.flag("repeatable", result.repeatable, presence::required);
    object.unsigned_integer("rank", result.rank, 0, 100, presence::optional);
    object.milliseconds("median_ms", result.median_duration, 1, max_run_ms,
                        presence::required);
    object.real("spread", result.duration_deviation, 0.0, 3.0,
                presence::optional);
    object.milliseconds("objective_ms", result.objective, 1, max_run_ms,
                        presence::required);
    object.milliseconds("deadline_ms", result.deadline, 1, max_run_ms,
                        presence::required);
    return result;
}

service_kind read_service(object_reader& object)
{
    service_kind result;
    object.text("name", result.name, config::name_rule, presence::required);
    object.unsigned_integer("copies", result.copies, 1, max_count,
                            presence::optional);
    object.real("share", result.share, 0.0, 1.0, presence::optional);
    object.unsigned_integer("servers", result.servers, 1, max_count,
                            presence::required);
    object.unsigned_integer("slots", result.slots, 1, 10'000,
                            presence::required);
    object.unsigned_integer("queue", result.queue, 0, 10'000,
                            presence::required);
    object.objects(
        "work", max_list_items,
        [&result](object_reader& work_object)
        {
            result.work.push_back(read_kind(work_object));
        },
        presence::required);
    return result;
}

fault read_fault(object_reader& object)
{
    fault result;
    object.one_of<fault_kind>("kind", result.kind, fault_kinds,
                              presence::required);
    object.milliseconds("from_ms", result.begin, 0, max_run_ms,
                        presence::required);
    object.milliseconds("until_ms", result.end, 0, max_run_ms,
                        presence::required);
    object.milliseconds("moves_ms", result.move_interval, 0, max_run_ms,
                        presence::optional);
    object.real("servers", result.server_fraction, 0.0, 1.0,
                presence::optional);
    object.real("share", result.request_fraction, 0.0, 1.0, presence::optional);
    object.real("factor", result.slowdown, 1.0, 1000.0, presence::optional);
    return result;
}

void read_members(object_reader& root, experiment& target)
{
    root.text("name", target.name, config::name_rule, presence::required);
    root.unsigned_integer("seed", target.seed, 0,
                          std::numeric_limits<std::uint64_t>::max(),
                          presence::optional);
    root.milliseconds("length_ms", target.length, 1000, max_run_ms,
                      presence::optional);
    root.one_of<placement_mode>("placing", target.placement, placement_modes,
                                presence::optional);
    root.unsigned_integer("instances", target.instances, 1, max_count,
                          presence::optional);
    root.unsigned_integer("data_centres", target.data_centres, 1, 100,
                          presence::optional);
    root.real("requests_per_second", target.requests_per_second, 0.1,
              max_requests_per_second, presence::optional);
    root.real("peak", target.peak_factor, 0.01, 100.0, presence::optional);
    read_microseconds(root, "near_link_us", target.near_link_delay);
    read_microseconds(root, "far_link_us", target.far_link_delay);
    root.objects(
        "services", max_list_items,
        [&target](object_reader& object)
        {
            target.services.push_back(read_service(object));
        },
        presence::required);
    root.objects(
        "troubles", max_faults,
        [&target](object_reader& object)
        {
            target.faults.push_back(read_fault(object));
        },
        presence::optional);
    root.finish();
}

// Adds a problem if the shares do not add up to 1.
void check_shares(double sum, const std::string& path, problem_list& problems)
{
    if (std::abs(sum - 1.0) > share_tolerance)
    {
        problems.add(path,
                     fmt::format("the shares add up to {}, not to 1", sum));
    }
}

void check_service(const service_kind& service,
                   const std::string& path,
                   problem_list& problems)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < service.work.size(); ++index)
    {
        sum += service.work[index].share;
        if (service.work[index].deadline < service.work[index].objective)
        {
            problems.add(fmt::format("{}/work/{}/deadline_ms", path, index),
                         "is earlier than objective_ms");
        }
    }
    check_shares(sum, path + "/work", problems);
}

// Checks the conditions that involve several members.
void check(const experiment& checked, problem_list& problems)
{
    double sum = 0.0;
    for (std::size_t index = 0; index < checked.services.size(); ++index)
    {
        sum += checked.services[index].share;
        check_service(checked.services[index],
                      fmt::format("/services/{}", index), problems);
    }
    check_shares(sum, "/services", problems);
    for (std::size_t index = 0; index < checked.faults.size(); ++index)
    {
        if (checked.faults[index].end <= checked.faults[index].begin)
        {
            problems.add(fmt::format("/troubles/{}/until_ms", index),
                         "is not later than from_ms");
        }
    }
}

} // namespace

config::checked<experiment> read_experiment(std::string_view text)
{
    problem_list problems;
    experiment read;
    const auto parsed =
        config::parse_json(text, max_experiment_bytes, problems);
    if (parsed)
    {
        object_reader root(*parsed, "", problems);
        read_members(root, read);
    }
    if (problems.empty())
    {
        check(read, problems);
    }
    if (!problems.empty())
    {
        return problems.take(
            make_error_code(core::result_code::settings_invalid));
    }
    return read;
}

} // namespace medlarbarrow::bench
