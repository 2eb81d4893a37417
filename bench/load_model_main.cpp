#include <bench/load_experiment.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <iterator>

using namespace medlarbarrow;

namespace
{

// Runs one experiment file and prints its report; false if it failed.
bool run_file(const std::string& file,
              const cxxopts::ParseResult& parsed_options)
{
    std::ifstream source(file);
    if (!source)
    {
        std::cerr << fmt::format("cannot read {}\n", file);
        return false;
    }
    const std::string text{std::istreambuf_iterator<char>(source), {}};
    const auto result = bench::read_experiment(text);
    if (const auto* problems = std::get_if<config::problems>(&result))
    {
        for (const config::problem& problem : problems->items)
        {
            std::cerr << fmt::format("{}: {}: {}\n", file, problem.path,
                                     problem.message);
        }
        return false;
    }
    bench::experiment experiment = std::get<bench::experiment>(result);
    if (parsed_options.count("seed") > 0)
    {
        experiment.seed = parsed_options["seed"].as<std::uint64_t>();
    }
    const bench::load_report report = bench::run_load(experiment);
    std::cout << bench::format_report(experiment, report);
    if (parsed_options.count("svg") > 0)
    {
        const auto name = parsed_options["svg"].as<std::string>();
        std::ofstream image(name);
        image << bench::draw_report(experiment, report);
        if (!image.flush())
        {
            std::cerr << fmt::format("cannot write {}\n", name);
            return false;
        }
    }
    return true;
}

} // namespace

int main(int count, char** arguments)
{
    cxxopts::Options options("load_model",
                             "Runs experiments of the load model.");
    options.add_options()("svg", "Write a plot of the single experiment",
                          cxxopts::value<std::string>(), "FILE")(
        "seed", "Use this seed instead of the one in the files",
        cxxopts::value<std::uint64_t>(), "NUMBER")("help", "Print this help")(
        "files", "Experiment files",
        cxxopts::value<std::vector<std::string>>());
    options.positional_help("EXPERIMENT...");
    options.parse_positional("files");
    try
    {
        const cxxopts::ParseResult parsed_options =
            options.parse(count, arguments);
        if (parsed_options.count("help") > 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (parsed_options.count("files") == 0 ||
            (parsed_options.count("svg") > 0 &&
             parsed_options["files"].as<std::vector<std::string>>().size() > 1))
        {
            std::cerr << options.help();
            return EXIT_FAILURE;
        }
        bool succeeded = true;
        for (const std::string& file :
             parsed_options["files"].as<std::vector<std::string>>())
        {
            succeeded = run_file(file, parsed_options) && succeeded;
        }
        return succeeded ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    catch (const cxxopts::exceptions::exception& error)
    {
        std::cerr << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
