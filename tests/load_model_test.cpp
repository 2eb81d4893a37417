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

// One service under some load; single tests add troubles.
bench::experiment small_experiment()
{
    bench::experiment made;
    made.name = "small";
    made.length = 30s;
    made.instances = 20;
    made.requests_per_second = 60;
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
    made.services = {service};
    return made;
}

bench::trouble
trouble_of(bench::trouble_kind kind, double servers, double share = 1.0)
{
    bench::trouble made;
    made.kind = kind;
    made.from = 10s;
    made.until = 20s;
    made.servers = servers;
    made.share = share;
    return made;
}

double part(std::uint64_t count, const bench::kind_report& kind)
{
    return static_cast<double>(count) / static_cast<double>(kind.requests);
}

std::vector<std::string> paths_of(std::string_view text)
{
    std::vector<std::string> paths;
    const auto read = bench::read_experiment(text);
    if (const auto* faults = std::get_if<config::problems>(&read))
    {
        for (const config::problem& item : faults->items)
        {
            paths.push_back(item.path);
        }
    }
    return paths;
}

} // namespace

// Guards against reports that cannot be compared with each other.
TEST(a_load_experiment, gives_the_same_report_for_the_same_seed)
{
    bench::experiment chosen = small_experiment();
    chosen.troubles = {trouble_of(bench::trouble_kind::hang, 0.2, 0.8)};
    const std::string first =
        bench::format_report(chosen, bench::run_load(chosen));
    EXPECT_EQ(bench::format_report(chosen, bench::run_load(chosen)), first);
    chosen.seed = 2;
    EXPECT_NE(bench::format_report(chosen, bench::run_load(chosen)), first);
}

// Guards against requests that the model loses or counts twice.
TEST(a_load_experiment, accounts_for_every_request)
{
    bench::experiment chosen = small_experiment();
    chosen.peak = 4.0;
    chosen.troubles = {trouble_of(bench::trouble_kind::hang, 0.3, 0.8),
                       trouble_of(bench::trouble_kind::fail, 0.1),
                       trouble_of(bench::trouble_kind::stop, 0.2),
                       trouble_of(bench::trouble_kind::owner, 0.0)};
    const bench::load_report report = bench::run_load(chosen);
    std::uint64_t all = 0;
    for (const bench::kind_report& kind : report.kinds)
    {
        all += kind.requests;
        EXPECT_EQ(kind.in_objective + kind.late + kind.refused + kind.failed,
                  kind.requests)
            << kind.name;
        EXPECT_EQ(kind.milliseconds.size(), kind.in_objective + kind.late);
    }
    std::uint64_t by_second = 0;
    for (const bench::second_report& row : report.seconds)
    {
        by_second += row.requests;
    }
    EXPECT_EQ(by_second, all);
    EXPECT_GT(all, 0U);
}

// Guards against an order that runs twice when servers hang, stop and fail
// and the placing instance falls silent.
TEST(a_fleet_under_load, runs_no_order_twice)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        bench::experiment chosen = small_experiment();
        chosen.seed = seed;
        chosen.peak = 3.0;
        chosen.troubles = {trouble_of(bench::trouble_kind::hang, 0.3, 0.8),
                           trouble_of(bench::trouble_kind::stop, 0.4),
                           trouble_of(bench::trouble_kind::owner, 0.0)};
        const bench::load_report placed_together = bench::run_load(chosen);
        EXPECT_EQ(placed_together.ran_twice, 0U) << seed;
        EXPECT_GT(placed_together.taken, 0U);
        // Servers shed work when nobody sees all of it.
        chosen.decided_by = bench::placing::own;
        const bench::load_report placed_apart = bench::run_load(chosen);
        EXPECT_EQ(placed_apart.ran_twice, 0U) << seed;
        EXPECT_LT(placed_apart.taken, placed_apart.sends);
    }
}

// Guards against placing that sees too little: with one instance placing for
// the service every server stays within its slots and one extra.
TEST(a_fleet_under_load, keeps_servers_within_their_slots)
{
    bench::experiment chosen = small_experiment();
    chosen.peak = 3.0;
    EXPECT_LE(bench::run_load(chosen).most_running,
              chosen.services[0].slots + 1U);
    chosen.decided_by = bench::placing::own;
    const std::uint64_t most = bench::run_load(chosen).most_running;
    EXPECT_GT(most, chosen.services[0].slots + 1U);
    EXPECT_LE(most, chosen.services[0].slots + chosen.services[0].queue);
}

// Guards the choice of one placing instance per service: with twice the load
// that the servers can take and some of them gray, it must serve more requests
// in time than instances that each see only their own.
TEST(a_fleet_under_load, serves_most_when_one_instance_places)
{
    std::map<bench::placing, std::uint64_t> served;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        bench::experiment chosen = small_experiment();
        chosen.seed = seed;
        chosen.peak = 4.0;
        chosen.troubles = {trouble_of(bench::trouble_kind::hang, 0.2, 0.8)};
        for (const auto way : {bench::placing::owner, bench::placing::own,
                               bench::placing::share})
        {
            chosen.decided_by = way;
            for (const bench::kind_report& kind : bench::run_load(chosen).kinds)
            {
                served[way] += kind.in_objective;
            }
        }
    }
    EXPECT_GT(served[bench::placing::owner], served[bench::placing::own]);
    EXPECT_GT(served[bench::placing::owner], served[bench::placing::share]);
}

// Guards against urgent requests that are served worse than others when the
// load is beyond what the servers can do.
TEST(a_fleet_under_load, serves_the_urgent_no_worse)
{
    bench::experiment chosen = small_experiment();
    chosen.peak = 4.0;
    const bench::load_report report = bench::run_load(chosen);
    const bench::kind_report& less_urgent = report.kinds[0];
    const bench::kind_report& urgent = report.kinds[1];
    EXPECT_GE(part(urgent.in_objective, urgent),
              part(less_urgent.in_objective, less_urgent));
    EXPECT_GT(less_urgent.refused, 0U);
}

// Guards against an experiment that is not the one its author had in mind.
TEST(an_experiment_file, is_refused_with_every_problem_and_its_path)
{
    EXPECT_EQ(paths_of("{").size(), 1U);
    const auto paths = paths_of(R"({
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

// Guards against shares that leave requests out or count some twice.
TEST(an_experiment_file, must_share_out_all_requests)
{
    const auto paths = paths_of(R"({
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

// Guards against experiments of the project that cannot be run.
TEST(an_experiment_file, of_the_project_can_be_read)
{
    std::size_t count = 0;
    const auto folder =
        std::filesystem::path(SOURCE_DIR) / "bench" / "experiments";
    for (const auto& item : std::filesystem::directory_iterator(folder))
    {
        std::ifstream source(item.path());
        const std::string text{std::istreambuf_iterator<char>(source), {}};
        EXPECT_EQ(paths_of(text), std::vector<std::string>()) << item.path();
        ++count;
    }
    EXPECT_GT(count, 0U);
}

// Guards against plots without their data.
TEST(a_load_experiment, draws_every_second_of_the_run)
{
    const bench::experiment chosen = small_experiment();
    const std::string image =
        bench::draw_report(chosen, bench::run_load(chosen));
    EXPECT_TRUE(image.starts_with("<svg "));
    EXPECT_TRUE(image.ends_with("</svg>\n"));
    const auto first = image.find("points=\"");
    const auto last = image.find('"', first + 8);
    const std::string points = image.substr(first, last - first);
    EXPECT_EQ(std::count(points.begin(), points.end(), ','),
              2 * static_cast<std::ptrdiff_t>(chosen.length / 1s));
}
