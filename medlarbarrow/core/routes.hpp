/// Matches a request to a route of a document.
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
/// Routes of the request's host are tried first, then routes without a host. Of
/// each, the longest matching prefix wins.
class route_table
{
public:
    explicit route_table(std::shared_ptr<const document> source);

    /// Returns the route of a request, or null if none matches. The cost grows
    /// with the number of path segments, not with the number of routes.
    const route* match(std::string_view method,
                       std::string_view host,
                       std::string_view path) const;

private:
    using routes_by_prefix =
        std::unordered_map<std::string, std::vector<const route*>>;

    static const route* match_in(const routes_by_prefix& routes,
                                 std::string_view method,
                                 std::string_view path);

    std::shared_ptr<const document> route_document; ///< owns the routes
    std::unordered_map<std::string, routes_by_prefix> prefixes_by_host;
};

} // namespace medlarbarrow::core
