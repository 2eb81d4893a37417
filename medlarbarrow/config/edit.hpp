/// Changes of a document by operators. Each gives the next version, checked
/// like any document, for the console to publish.
#pragma once

#include <medlarbarrow/config/problems.hpp>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::config
{

/// Name of an operator's order as it stands in the document.
std::string_view name_of(core::operator_command command);

/// The next version with this order of a server. `none` removes drain and
/// readmit; eject and hold are ended by readmit, so that nobody undoes them by
/// mistake for a drain. Problems: there is no such server, the order cannot be
/// removed.
checked<core::document> with_order(core::document source,
                                   std::string_view service,
                                   std::string_view server,
                                   core::operator_command command);

/// The next version with the key withdrawn. Problems: there is no such account
/// or key, the key is withdrawn already.
checked<core::document> with_key_withdrawn(core::document source,
                                           std::string_view account,
                                           const core::key_digest& digest);

/// The next version with this rate, and this burst when it is given. Problems:
/// there is no such account, a number is out of range.
checked<core::document> with_rate(core::document source,
                                  std::string_view account,
                                  double rate_per_second,
                                  std::optional<double> burst);

/// Warns when an order leaves a service below its healthy floor; else empty.
std::string floor_warning(const core::document& source,
                          std::string_view service);

} // namespace medlarbarrow::config
