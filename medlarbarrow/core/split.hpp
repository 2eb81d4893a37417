/// Traffic splitting: chooses among the services that share a route's requests.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Smooth weighted round-robin over the services of a route: any sequence of
/// requests is split nearly in proportion to the weights. Each instance starts
/// with random credits, so that all instances together keep to the weights from
/// the first requests on.
class traffic_splitter
{
public:
    explicit traffic_splitter(std::uint64_t seed);

    /// Chooses the service of the next request. For a route without a split
    /// this is the service of the route.
    const std::string& choose_service(const route& route);

private:
    /// Credits by route name, in the order of the route's services.
    std::unordered_map<std::string, std::vector<double>> credits;
    std::mt19937_64 random;
};

} // namespace medlarbarrow::core
