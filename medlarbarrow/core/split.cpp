#include <medlarbarrow/core/split.hpp>

namespace medlarbarrow::core
{

traffic_splitter::traffic_splitter(std::uint64_t seed) : random(seed) {}

// With every request each service's credit grows by its weight. The service
// with the highest credit is chosen, and its credit is reduced by the sum of
// all weights. A service of weight 0 is never chosen.
const std::string& traffic_splitter::choose_service(const route& route)
{
    if (route.split.empty())
    {
        return route.service;
    }
    double total_weight = 0.0;
    for (const weighted_service& service : route.split)
    {
        total_weight += service.weight;
    }
    std::vector<double>& route_credits = this->credits[route.name];
    if (route_credits.size() != route.split.size())
    {
        route_credits.assign(route.split.size(), 0.0);
        std::uniform_real_distribution<double> initial_credit(0.0,
                                                              total_weight);
        for (double& service_credit : route_credits)
        {
            service_credit = initial_credit(this->random);
        }
    }
    std::size_t best = 0;
    for (std::size_t index = 0; index < route_credits.size(); ++index)
    {
        route_credits[index] += route.split[index].weight;
        const bool is_better = route.split[best].weight == 0 ||
                               route_credits[index] > route_credits[best];
        if (route.split[index].weight > 0 && is_better)
        {
            best = index;
        }
    }
    route_credits[best] -= total_weight;
    return route.split[best].service;
}

} // namespace medlarbarrow::core
