#include <medlarbarrow/core/split.hpp>

namespace medlarbarrow::core
{

split_counter::split_counter(std::uint64_t seed) : random(seed) {}

// Each service earns its weight with every request; the one with the most
// credit serves and pays the sum of all weights.
const std::string& split_counter::next(const route& route)
{
    if (route.split.empty())
    {
        return route.service;
    }
    double total = 0.0;
    for (const weighted_service& part : route.split)
    {
        total += part.weight;
    }
    std::vector<double>& credit = this->credits[route.name];
    if (credit.size() != route.split.size())
    {
        credit.assign(route.split.size(), 0.0);
        std::uniform_real_distribution<double> offset(0.0, total);
        for (double& part : credit)
        {
            part = offset(this->random);
        }
    }
    std::size_t best = 0;
    for (std::size_t index = 0; index < credit.size(); ++index)
    {
        credit[index] += route.split[index].weight;
        const bool replaces =
            route.split[best].weight == 0 || credit[index] > credit[best];
        if (route.split[index].weight > 0 && replaces)
        {
            best = index;
        }
    }
    credit[best] -= total;
    return route.split[best].service;
}

} // namespace medlarbarrow::core
