/// Finds the route of a request among all routes of a document.
#pragma once

#include <medlarbarrow/core/model.hpp>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Index over the routes of one document. A prefix matches whole path
/// segments: "/specs" matches "/specs" and "/specs/7" but not "/specsheet".
/// The longest prefix wins; a route with a host goes before one without.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const document> source);

    /// Null when no route matches. The cost grows with the segments of the
    /// path, not with the count of routes.
    const route* match(std::string_view method,
                       std::string_view host,
                       std::string_view path) const;

private:
    using routes_by_prefix =
        std::unordered_map<std::string, std::vector<const route*>>;

    static const route* match_in(const routes_by_prefix& routes,
                                 std::string_view method,
                                 std::string_view path);

    std::shared_ptr<const document> source;
    std::unordered_map<std::string, routes_by_prefix> by_host;
};

} // namespace medlarbarrow::core
