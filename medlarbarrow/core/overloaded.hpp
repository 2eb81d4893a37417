/// Handlers for std::visit, one for each alternative.
#pragma once

namespace medlarbarrow::core
{

/// A handler that takes `const auto&` must not compete with one that takes the
/// exact alternative by a less qualified reference: it would be preferred.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

// Needed by clang-tidy 14, which does not deduce aggregates.
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace medlarbarrow::core
