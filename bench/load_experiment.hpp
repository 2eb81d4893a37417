/// Reads experiments of the load model from JSON with comments, as described in
/// docs/LOAD_MODEL.md.
#pragma once

#include <bench/load_model.hpp>
#include <medlarbarrow/config/problems.hpp>
#include <string_view>

namespace medlarbarrow::bench
{

/// Parses and validates an experiment. Absent members keep the defaults of
/// `experiment`. Fails with a list of all problems, each with its JSON path.
config::checked<experiment> read_experiment(std::string_view text);

} // namespace medlarbarrow::bench
