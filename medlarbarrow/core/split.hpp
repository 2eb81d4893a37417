/// Choice among the services that share a route's requests.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Chooses so that any run of requests comes close to the weights. Instances
/// start at different points: together they keep to the weights from the first
/// requests on.
class split_counter
{
public:
    explicit split_counter(std::uint64_t seed);

    const std::string& next(const route& route);

private:
    std::unordered_map<std::string, std::vector<double>> credits;
    std::mt19937_64 random;
};

} // namespace medlarbarrow::core
