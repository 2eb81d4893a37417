/// Faults found in a settings file or a configuration document.
#pragma once

#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace medlarbarrow::config
{

/// One fault: where it is, what is wrong, and what would be accepted.
struct problem
{
    std::string path; ///< JSON pointer, for example /routes/3/deadline_ms
    std::string message;
};

/// Every fault found in one reading, with the code of the whole.
struct problems
{
    std::error_code code;
    std::vector<problem> items;
};

/// A value, or all the faults that prevent it.
template <class Value>
using checked = std::variant<Value, problems>;

} // namespace medlarbarrow::config
