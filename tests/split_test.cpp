#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/split.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;

namespace
{

core::route make_route(const std::vector<std::uint32_t>& weights)
{
    core::route route;
    route.name = "r";
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        route.split.push_back({std::to_string(index), weights[index]});
    }
    return route;
}

} // namespace

// Guards against a service whose count of requests differs from its weight's
// share by more than one request per service, plus one, and against requests
// for a service of weight 0.
RC_GTEST_PROP(a_split, keeps_to_its_weights, ())
{
    const auto weights = *rc::gen::suchThat(
        rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 100)),
        [](const std::vector<std::uint32_t>& candidates)
        {
            return candidates.size() > 1 &&
                   std::count(candidates.begin(), candidates.end(), 0U) <
                       static_cast<std::ptrdiff_t>(candidates.size());
        });
    core::traffic_splitter counter(*rc::gen::arbitrary<std::uint64_t>());
    const core::route route = make_route(weights);
    double total = 0;
    for (const std::uint32_t weight : weights)
    {
        total += weight;
    }
    std::map<std::string, double> counts;
    constexpr double requests = 1000;
    for (int index = 0; index < static_cast<int>(requests); ++index)
    {
        ++counts[counter.choose_service(route)];
    }
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        const double expected = requests * weights[index] / total;
        const double actual = counts[std::to_string(index)];
        RC_ASSERT(std::abs(actual - expected) <=
                  1.0 + static_cast<double>(weights.size()));
        RC_ASSERT(weights[index] > 0 || actual == 0);
    }
}
