/// Output of commands: JSON for programs, text for people.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

namespace medlarbarrow::config
{

/// Members of an object as "name: value" lines, arrays of objects as tables
/// with aligned columns. Control characters are replaced, since values may
/// come from another host.
std::string format_text(const nlohmann::ordered_json& body);

} // namespace medlarbarrow::config
