#include <bench/load_experiment.hpp>
#include <bench/load_model.hpp>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <iterator>
#include <map>

using namespace medlarbarrow;
using namespace std::chrono_literals;

namespace
{

// An experiment with one service under moderate load; the tests add faults.
bench::experiment small_experiment()
{
    bench::experiment experiment;
    experiment.name = "small";
    experiment.length = 30s;
    experiment.instances = 20;
    experiment.requests_per_second = 60;
    bench::service_kind service;
    service.name = "desk";
    service.servers = 10;
    bench::work_kind read;
    read.name = "read";
    read.share = 0.6;
    read.repeatable = true;
    read.rank = 1;
    bench::work_kind order;
    order.name = "order";
    order.share = 0.4;
    service.work = {read, order};
    experiment.services = {service};
    return experiment;
}

bench::fault make_fault(bench::fault_kind kind,
                        double server_fraction,
                        double request_fraction = 1.0)
{
    bench::fault fault;
    fault.kind = kind;
    fault.begin = 10s;
    fault.end = 20s;
    fault.server_fraction = server_fraction;
    fault.request_fraction = request_fraction;
    return fault;
}

double fraction_of(std::uint64_t count, const bench::kind_report& kind)
{
    return static_cast<double>(count) / static_cast<double>(kind.requests);
}

std::vector<std::string> problem_paths(std::string_view text)
{
    std::vector<std::string> paths;
    const auto result = bench::read_experiment(text);
    if (const auto* problems = std::get_if<config::problems>(&result))
    {
        for (const config::problem& problem : problems->items)
        {
            paths.push_back(problem.path);
        }
    }
    return paths;
}

} // namespace

// Guards against random behaviour beyond the seed, which would make reports
// impossible to compare.
TEST(a_load_experiment, gives_the_same_report_for_the_same_seed)
{
    bench::experiment experiment = small_experiment();
    experiment.faults = {make_fault(bench::fault_kind::hang, 0.2, 0.8)};
    const std::string first =
        bench::format_report(experiment, bench::run_load(experiment));
    EXPECT_EQ(bench::format_report(experiment, bench::run_load(experiment)),
              first);
    experiment.seed = 2;
    EXPECT_NE(bench::format_report(experiment, bench::run_load(experiment)),
              first);
}

// Guards against requests that the simulation loses or counts twice, under
// overload and with several kinds of faults.
TEST(a_load_experiment, accounts_for_every_request)
{
    bench::experiment experiment = small_experiment();
    experiment.peak_factor = 4.0;
    experiment.faults = {make_fault(bench::fault_kind::hang, 0.3, 0.8),
                         make_fault(bench::fault_kind::fail, 0.1),
                         make_fault(bench::fault_kind::stop, 0.2),
                         make_fault(bench::fault_kind::owner, 0.0)};
    const bench::load_report report = bench::run_load(experiment);
    std::uint64_t request_count = 0;
    for (const bench::kind_report& kind : report.kinds)
    {
        request_count += kind.requests;
        EXPECT_EQ(kind.in_objective + kind.late + kind.refused + kind.failed,
                  kind.requests)
            << kind.name;
        EXPECT_EQ(kind.latencies_ms.size(), kind.in_objective + kind.late);
    }
    std::uint64_t request_count_by_second = 0;
    for (const bench::second_report& second : report.seconds)
    {
        request_count_by_second += second.requests;
    }
    EXPECT_EQ(request_count_by_second, request_count);
    EXPECT_GT(request_count, 0U);
}

// Guards against an order that runs twice when servers hang and stop and the
// owner of the service does not respond.
TEST(a_fleet_under_load, runs_no_order_twice)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        bench::experiment experiment = small_experiment();
        experiment.seed = seed;
        experiment.peak_factor = 3.0;
        experiment.faults = {make_fault(bench::fault_kind::hang, 0.3, 0.8),
                             make_fault(bench::fault_kind::stop, 0.4),
                             make_fault(bench::fault_kind::owner, 0.0)};
        const bench::load_report placed_by_owner = bench::run_load(experiment);
        EXPECT_EQ(placed_by_owner.ran_twice, 0U) << seed;
        EXPECT_GT(placed_by_owner.accepted_sends, 0U);
        // Servers shed requests when no instance sees their full load.
        experiment.placement = bench::placement_mode::every_instance;
        const bench::load_report placed_by_every_instance =
            bench::run_load(experiment);
        EXPECT_EQ(placed_by_every_instance.ran_twice, 0U) << seed;
        EXPECT_LT(placed_by_every_instance.accepted_sends,
                  placed_by_every_instance.sends);
    }
}

// Guards against an owner that does not know the load of its servers: when it
// places all requests of the service, no server has more requests than its
// slots and one extra.
TEST(a_fleet_under_load, keeps_servers_within_their_slots)
{
    bench::experiment experiment = small_experiment();
    experiment.peak_factor = 3.0;
    EXPECT_LE(bench::run_load(experiment).max_at_one_server,
              experiment.services[0].slots + 1U);
    experiment.placement = bench::placement_mode::every_instance;
    const std::uint64_t max_at_one_server =
        bench::run_load(experiment).max_at_one_server;
    EXPECT_GT(max_at_one_server, experiment.services[0].slots + 1U);
    EXPECT_LE(max_at_one_server,
              experiment.services[0].slots + experiment.services[0].queue);
}

// Guards the decision to let one owner place all requests of a service: with
// twice the load that the servers can handle and gray failures at some of them,
// more requests must meet their objective than if each instance places its own.
TEST(a_fleet_under_load, serves_most_when_one_instance_places)
{
    std::map<bench::placement_mode, std::uint64_t> in_objective;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        bench::experiment experiment = small_experiment();
        experiment.seed = seed;
        experiment.peak_factor = 4.0;
        experiment.faults = {make_fault(bench::fault_kind::hang, 0.2, 0.8)};
        for (const auto mode : {bench::placement_mode::owner,
                                bench::placement_mode::every_instance,
                                bench::placement_mode::server_subset})
        {
            experiment.placement = mode;
            for (const bench::kind_report& kind :
                 bench::run_load(experiment).kinds)
            {
                in_objective[mode] += kind.in_objective;
            }
        }
    }
    EXPECT_GT(in_objective[bench::placement_mode::owner],
              in_objective[bench::placement_mode::every_instance]);
    EXPECT_GT(in_objective[bench::placement_mode::owner],
              in_objective[bench::placement_mode::server_subset]);
}

// Guards against urgent requests that miss their objective more often than
// others when the load exceeds the capacity of the servers.
TEST(a_fleet_under_load, serves_urgent_requests_at_least_as_well_as_others)
{
    bench::experiment experiment = small_experiment();
    experiment.peak_factor = 4.0;
    const bench::load_report report = bench::run_load(experiment);
    const bench::kind_report& less_urgent = report.kinds[0];
    const bench::kind_report& urgent = report.kinds[1];
    EXPECT_GE(fraction_of(urgent.in_objective, urgent),
              fraction_of(less_urgent.in_objective, less_urgent));
    EXPECT_GT(less_urgent.refused, 0U);
}

// Guards against invalid or misspelt members that are ignored, so that another
// experiment runs than its author meant, and against reports of only the first
// problem.
TEST(an_experiment_file, is_rejected_with_every_problem_and_its_path)
{
    EXPECT_EQ(problem_paths("{").size(), 1U);
    const auto paths = problem_paths(R"({
      "name": "x", "instances": 0, "surprise": 1,
      "services": [
        { "name": "a", "servers": 3, "slots": 2, "queue": 4,
          "work": [ { "name": "b", "share": 2, "repeatable": true,
                      "median_ms": 10, "objective_ms": 100,
                      "deadline_ms": 200 } ] } ] })");
    const std::vector<std::string> expected = {
        "/instances", "/services/0/work/0/share", "/surprise"};
    EXPECT_EQ(std::vector<std::string>(paths.begin(), paths.end()), expected);
}

// Guards against shares that do not add up to 1, which would omit requests or
// count some twice, and against times in the wrong order.
TEST(an_experiment_file, must_have_shares_that_add_up_to_one)
{
    const auto paths = problem_paths(R"({
      "name": "x",
      "services": [
        { "name": "a", "share": 0.9, "servers": 3, "slots": 2, "queue": 4,
          "work": [ { "name": "b", "share": 0.5, "repeatable": true,
                      "median_ms": 10, "objective_ms": 100,
                      "deadline_ms": 50 } ] } ],
      "troubles": [ { "kind": "hang", "from_ms": 5, "until_ms": 5 } ] })");
    const std::vector<std::string> expected = {"/services/0/work/0/deadline_ms",
                                               "/services/0/work", "/services",
                                               "/troubles/0/until_ms"};
    EXPECT_EQ(paths, expected);
}

// Guards against experiment files in the repository that no longer parse.
TEST(an_experiment_file, in_the_repository_can_be_read)
{
    std::size_t file_count = 0;
    const auto folder =
        std::filesystem::path(SOURCE_DIR) / "bench" / "experiments";
    for (const auto& file : std::filesystem::directory_iterator(folder))
    {
        std::ifstream source(file.path());
        const std::string text{std::istreambuf_iterator<char>(source), {}};
        EXPECT_EQ(problem_paths(text), std::vector<std::string>())
            << file.path();
        ++file_count;
    }
    EXPECT_GT(file_count, 0U);
}

// Guards against plots that omit seconds of the run.
TEST(a_load_experiment, draws_every_second_of_the_run)
{
    const bench::experiment experiment = small_experiment();
    const std::string image =
        bench::draw_report(experiment, bench::run_load(experiment));
    EXPECT_TRUE(image.starts_with("<svg "));
    EXPECT_TRUE(image.ends_with("</svg>\n"));
    const auto points_start = image.find("points=\"");
    const auto points_end = image.find('"', points_start + 8);
    const std::string points =
        image.substr(points_start, points_end - points_start);
    EXPECT_EQ(std::count(points.begin(), points.end(), ','),
              2 * static_cast<std::ptrdiff_t>(experiment.length / 1s));
}
