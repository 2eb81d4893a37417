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

// Prints the report of one experiment file; false after a problem.
bool run_file(const std::string& file, const cxxopts::ParseResult& given)
{
    std::ifstream source(file);
    if (!source)
    {
        std::cerr << fmt::format("{}: cannot be read\n", file);
        return false;
    }
    const std::string text{std::istreambuf_iterator<char>(source), {}};
    const auto read = bench::read_experiment(text);
    if (const auto* faults = std::get_if<config::problems>(&read))
    {
        for (const config::problem& item : faults->items)
        {
            std::cerr << fmt::format("{}: {}: {}\n", file, item.path,
                                     item.message);
        }
        return false;
    }
    bench::experiment chosen = std::get<bench::experiment>(read);
    if (given.count("seed") > 0)
    {
        chosen.seed = given["seed"].as<std::uint64_t>();
    }
    const bench::load_report report = bench::run_load(chosen);
    std::cout << bench::format_report(chosen, report);
    if (given.count("svg") > 0)
    {
        const auto name = given["svg"].as<std::string>();
        std::ofstream image(name);
        image << bench::draw_report(chosen, report);
        if (!image.flush())
        {
            std::cerr << fmt::format("{}: cannot be written\n", name);
            return false;
        }
    }
    return true;
}

} // namespace

int main(int count, char** words)
{
    cxxopts::Options options("load_model",
                             "Runs experiments of the load model.");
    options.add_options()("svg", "writes a plot of the only experiment",
                          cxxopts::value<std::string>(), "FILE")(
        "seed", "replaces the seed of the files",
        cxxopts::value<std::uint64_t>(), "NUMBER")("help", "prints this text")(
        "files", "experiments", cxxopts::value<std::vector<std::string>>());
    options.positional_help("EXPERIMENT...");
    options.parse_positional("files");
    try
    {
        const cxxopts::ParseResult given = options.parse(count, words);
        if (given.count("help") > 0)
        {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        if (given.count("files") == 0 ||
            (given.count("svg") > 0 &&
             given["files"].as<std::vector<std::string>>().size() > 1))
        {
            std::cerr << options.help();
            return EXIT_FAILURE;
        }
        bool good = true;
        for (const std::string& file :
             given["files"].as<std::vector<std::string>>())
        {
            good = run_file(file, given) && good;
        }
        return good ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    catch (const cxxopts::exceptions::exception& wrong)
    {
        std::cerr << wrong.what() << '\n';
        return EXIT_FAILURE;
    }
}
