/// Changes that operators make to a document. Each function returns the next
/// version, validated like any document, for the console to publish.
#pragma once

#include <medlarbarrow/config/problems.hpp>
#include <medlarbarrow/core/model.hpp>
#include <optional>
#include <string>
#include <string_view>

namespace medlarbarrow::config
{

/// Name of an operator command as written in the document.
std::string_view name_of(core::operator_command command);

/// Sets the operator command of a server. `none` removes drain and readmit
/// only. Eject and hold are ended by readmit, so that an operator who wants to
/// undo a drain cannot end them by mistake. Problems: the server does not
/// exist, the command cannot be removed.
checked<core::document> with_operator_command(core::document document,
                                              std::string_view service,
                                              std::string_view server,
                                              core::operator_command command);

/// Withdraws a key of an account. Problems: the account or key does not exist,
/// the key is already withdrawn.
checked<core::document> with_key_withdrawn(core::document document,
                                           std::string_view account,
                                           const core::key_digest& digest);

/// Sets the rate of an account, and its burst if one is given. Problems: the
/// account does not exist, a number is out of range.
checked<core::document> with_rate(core::document document,
                                  std::string_view account,
                                  double rate_per_second,
                                  std::optional<double> burst);

/// Returns a warning if the operator commands leave a service fewer servers
/// than its healthy floor, else an empty string.
std::string floor_warning(const core::document& document,
                          std::string_view service);

} // namespace medlarbarrow::config
