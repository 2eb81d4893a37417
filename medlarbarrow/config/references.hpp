/// Checks the rules that involve more than one object of a document.
#pragma once

#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/core/model.hpp>

namespace medlarbarrow::config
{

/// Reports duplicate names, references to objects that do not exist, routes
/// that overlap, servers of a service with the same endpoint, keys that an
/// account lists twice or that two accounts share, and a burst below 1 with a
/// positive rate.
void check_references(const core::document& document,
                      problem_list& diagnostics);

} // namespace medlarbarrow::config
