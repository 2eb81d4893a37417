/// Formats the results of medlarctl as text.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace medlarbarrow::config
{

/// Formats the members of an object as "name: value" lines and arrays of
/// objects as tables with aligned columns. Control characters are replaced,
/// because a value may come from another host and be shown on a terminal.
std::string format_text(const nlohmann::ordered_json& body);

} // namespace medlarbarrow::config
