#include <algorithm>
#include <array>
#include <bench/load_model.hpp>
#include <fmt/format.h>

namespace medlarbarrow::bench
{

namespace
{

/// Size of the plot and of the margin around it, in pixels.
constexpr double plot_width = 800.0;
constexpr double plot_height = 240.0;
constexpr double margin = 50.0;

/// One coloured area of the plot.
struct series
{
    const char* name;
    const char* colour;
    std::uint64_t second_report::*count;
};

/// The areas, stacked from the bottom of the plot to its top.
constexpr std::array<series, 4> all_series{
    {{"in objective", "#2a7f62", &second_report::in_objective},
     {"late", "#e0b040", &second_report::late},
     {"refused", "#8080a0", &second_report::refused},
     {"failed", "#c03a2b", &second_report::failed}}};

double percent(std::uint64_t part, std::uint64_t total)
{
    return total == 0
               ? 0.0
               : 100.0 * static_cast<double>(part) / static_cast<double>(total);
}

// Quantile of sorted values; 0 if there are none.
std::uint32_t quantile(const std::vector<std::uint32_t>& sorted,
                       double fraction)
{
    if (sorted.empty())
    {
        return 0;
    }
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(fraction * last)];
}

// Draws the area between two curves as a polygon: the upper curve from left to
// right, then the lower curve back.
std::string draw_area(const std::vector<double>& lower,
                      const std::vector<double>& upper,
                      const char* colour)
{
    std::string points;
    const double step =
        plot_width / static_cast<double>(std::max<std::size_t>(
                         lower.size() > 1 ? lower.size() - 1 : 1, 1));
    const auto add_point = [&points, step](std::size_t index, double share)
    {
        points += fmt::format("{:.1f},{:.1f} ",
                              margin + step * static_cast<double>(index),
                              margin + plot_height * (1.0 - share));
    };
    for (std::size_t index = 0; index < upper.size(); ++index)
    {
        add_point(index, upper[index]);
    }
    for (std::size_t index = lower.size(); index > 0; --index)
    {
        add_point(index - 1, lower[index - 1]);
    }
    return fmt::format("<polygon fill=\"{}\" points=\"{}\"/>\n", colour,
                       points);
}

} // namespace

std::string format_report(const experiment& experiment,
                          const load_report& report)
{
    std::uint64_t servers = 0;
    for (const service_kind& kind : experiment.services)
    {
        servers += std::uint64_t{kind.copies} * kind.servers;
    }
    std::string text = fmt::format(
        "experiment {}, seed {}, {} instances, {} servers\n", experiment.name,
        experiment.seed, experiment.instances, servers);
    text += fmt::format("{:<28}{:>10}{:>10}{:>8}{:>10}{:>9}{:>9}{:>9}\n",
                        "kind", "requests", "in obj %", "late %", "refused %",
                        "failed %", "p50 ms", "p99 ms");
    for (const kind_report& kind : report.kinds)
    {
        text += fmt::format(
            "{:<28}{:>10}{:>10.2f}{:>8.2f}{:>10.2f}{:>9.2f}{:>9}{:>9}\n",
            kind.name, kind.requests, percent(kind.in_objective, kind.requests),
            percent(kind.late, kind.requests),
            percent(kind.refused, kind.requests),
            percent(kind.failed, kind.requests),
            quantile(kind.latencies_ms, 0.5),
            quantile(kind.latencies_ms, 0.99));
    }
    text += fmt::format(
        "sends {}, accepted {}, repeated sends {}, caller retries {}, messages "
        "between instance and owner {}, ran twice {}, maximum at "
        "one server {}\n",
        report.sends, report.accepted_sends, report.repeated_sends,
        report.caller_retries, report.owner_messages, report.ran_twice,
        report.max_at_one_server);
    return text;
}

std::string draw_report(const experiment& experiment, const load_report& report)
{
    std::string image = fmt::format(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{0}\" "
        "height=\"{1}\" font-family=\"sans-serif\" font-size=\"12\">\n"
        "<rect width=\"{0}\" height=\"{1}\" fill=\"white\"/>\n"
        "<text x=\"{2}\" y=\"20\">{3}, seed {4}: requests by second of "
        "arrival, share of each outcome</text>\n",
        plot_width + 2 * margin, plot_height + 2 * margin, margin,
        experiment.name, experiment.seed);
    std::vector<double> lower(report.seconds.size(), 0.0);
    double label_x = margin;
    for (const series& area : all_series)
    {
        std::vector<double> upper = lower;
        for (std::size_t second = 0; second < upper.size(); ++second)
        {
            const second_report& outcomes = report.seconds[second];
            upper[second] +=
                percent(outcomes.*area.count, outcomes.requests) / 100.0;
        }
        image += draw_area(lower, upper, area.colour);
        image +=
            fmt::format("<rect x=\"{0}\" y=\"{1}\" width=\"10\" "
                        "height=\"10\" fill=\"{2}\"/>"
                        "<text x=\"{3}\" y=\"{4}\">{5}</text>\n",
                        label_x, margin + plot_height + 25, area.colour,
                        label_x + 15, margin + plot_height + 34, area.name);
        label_x += 120;
        lower = std::move(upper);
    }
    image += fmt::format(
        "<text x=\"{0}\" y=\"{1}\">0 s</text>"
        "<text x=\"{2}\" y=\"{1}\" text-anchor=\"end\">{3} s</text>"
        "<text x=\"{4}\" y=\"{5}\" text-anchor=\"end\">100 %</text>"
        "<text x=\"{4}\" y=\"{6}\" text-anchor=\"end\">0 %</text>\n</svg>\n",
        margin, margin + plot_height + 14, margin + plot_width,
        report.seconds.size(), margin - 4, margin + 10, margin + plot_height);
    return image;
}

} // namespace medlarbarrow::bench
