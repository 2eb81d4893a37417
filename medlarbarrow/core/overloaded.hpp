/// Combines lambdas into one visitor for std::visit.
#pragma once

namespace medlarbarrow::core
{

/// Visitor with one handler for each alternative. When a handler takes `const
/// auto&`, a handler of an exact type must not take it by a less qualified
/// reference: the generic one would be preferred.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

// clang-tidy 14 does not deduce template arguments of aggregates.
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace medlarbarrow::core
