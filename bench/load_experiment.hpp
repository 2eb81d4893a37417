/// Reads the experiments of the load model: JSON with comments, as described
/// in docs/LOAD_MODEL.md.
#pragma once

#include <bench/load_model.hpp>
#include <medlarbarrow/config/problems.hpp>
#include <string_view>

namespace medlarbarrow::bench
{

/// Members without a value keep the defaults of `experiment`. Fails with every
/// problem of the text, each with its path.
config::checked<experiment> read_experiment(std::string_view text);

} // namespace medlarbarrow::bench
