/// Checks what concerns more than one object of a document.
#pragma once

#include <medlarbarrow/config/reader.hpp>
#include <medlarbarrow/core/model.hpp>

namespace medlarbarrow::config
{

/// Reports names used twice, references to objects that do not exist, routes
/// that overlap, servers with one endpoint, and keys at two accounts.
void check_references(const core::document& source, problem_list& found);

} // namespace medlarbarrow::config
