#include <gtest/gtest.h>
#include <map>
#include <medlarbarrow/core/split.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;

namespace
{

core::route route_of(const std::vector<std::uint32_t>& weights)
{
    core::route made;
    made.name = "r";
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        made.split.push_back({std::to_string(index), weights[index]});
    }
    return made;
}

} // namespace

// Guards against shares that lie off their weights by more than one request
// for each service, and against work for a service of weight 0.
RC_GTEST_PROP(a_split, keeps_to_its_weights, ())
{
    const auto weights = *rc::gen::suchThat(
        rc::gen::container<std::vector<std::uint32_t>>(
            rc::gen::inRange<std::uint32_t>(0, 100)),
        [](const std::vector<std::uint32_t>& all)
        {
            return all.size() > 1 &&
                   std::count(all.begin(), all.end(), 0U) <
                       static_cast<std::ptrdiff_t>(all.size());
        });
    core::split_counter counter(*rc::gen::arbitrary<std::uint64_t>());
    const core::route route = route_of(weights);
    double total = 0;
    for (const std::uint32_t weight : weights)
    {
        total += weight;
    }
    std::map<std::string, double> counts;
    constexpr double requests = 1000;
    for (int index = 0; index < static_cast<int>(requests); ++index)
    {
        ++counts[counter.next(route)];
    }
    for (std::size_t index = 0; index < weights.size(); ++index)
    {
        const double expected = requests * weights[index] / total;
        const double found = counts[std::to_string(index)];
        RC_ASSERT(std::abs(found - expected) <=
                  1.0 + static_cast<double>(weights.size()));
        RC_ASSERT(weights[index] > 0 || found == 0);
    }
}
