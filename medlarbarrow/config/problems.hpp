/// Problems found in a settings file or a configuration document.
#pragma once

#include <string>
#include <system_error>
#include <variant>
#include <vector>

namespace medlarbarrow::config
{

/// One problem: where it is, what is wrong, and what is accepted.
struct problem
{
    std::string path; ///< JSON pointer, for example /routes/3/deadline_ms
    std::string message;
};

/// All problems of one input, and the result code of the input.
struct problems
{
    std::error_code code;
    std::vector<problem> items;
};

/// A valid value, or all problems of the input.
template <class Value>
using checked = std::variant<Value, problems>;

} // namespace medlarbarrow::config
