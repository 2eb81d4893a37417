#include <algorithm>
#include <cctype>
#include <medlarbarrow/core/routes.hpp>

namespace medlarbarrow::core
{

namespace
{

// Host names are compared without regard to case and without the port of the
// Host header.
std::string normalize_host(std::string_view host)
{
    const bool is_ipv6 = host.starts_with('[');
    const std::size_t port_separator =
        is_ipv6 ? host.find("]:") : host.find(':');
    if (port_separator != std::string_view::npos)
    {
        host = host.substr(0, is_ipv6 ? port_separator + 1 : port_separator);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char character)
                   {
                       return static_cast<char>(std::tolower(character));
                   });
    return lower;
}

// "/specs/" and "/specs" are the same prefix. The prefix of the root is empty.
std::string_view trim_trailing_slash(std::string_view path)
{
    return path.ends_with('/') ? path.substr(0, path.size() - 1) : path;
}

bool accepts_method(const route& candidate, std::string_view method)
{
    return candidate.methods.empty() ||
           std::find(candidate.methods.begin(), candidate.methods.end(),
                     method) != candidate.methods.end();
}

} // namespace

route_table::route_table(std::shared_ptr<const document> source)
    : route_document(std::move(source))
{
    for (const route& route : this->route_document->routes)
    {
        routes_by_prefix& prefixes =
            this->prefixes_by_host[normalize_host(route.host)];
        prefixes[std::string(trim_trailing_slash(route.path_prefix))].push_back(
            &route);
    }
    // Among equal prefixes, routes that are limited to certain methods are
    // tried first.
    for (auto& [host, prefixes] : this->prefixes_by_host)
    {
        for (auto& [prefix, routes] : prefixes)
        {
            std::stable_partition(routes.begin(), routes.end(),
                                  [](const route* route)
                                  {
                                      return !route->methods.empty();
                                  });
        }
    }
}

const route* route_table::match(std::string_view method,
                                std::string_view host,
                                std::string_view path) const
{
    const auto host_routes = this->prefixes_by_host.find(normalize_host(host));
    if (host_routes != this->prefixes_by_host.end())
    {
        if (const route* matched = match_in(host_routes->second, method, path))
        {
            return matched;
        }
    }
    const auto general_routes = this->prefixes_by_host.find("");
    return general_routes == this->prefixes_by_host.end()
               ? nullptr
               : match_in(general_routes->second, method, path);
}

// Tries the path and then each shorter prefix of whole segments.
const route* route_table::match_in(const routes_by_prefix& routes,
                                   std::string_view method,
                                   std::string_view path)
{
    for (std::string_view prefix = trim_trailing_slash(path);;)
    {
        const auto prefix_routes = routes.find(std::string(prefix));
        if (prefix_routes != routes.end())
        {
            for (const route* candidate : prefix_routes->second)
            {
                if (accepts_method(*candidate, method))
                {
                    return candidate;
                }
            }
        }
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos)
        {
            return nullptr;
        }
        prefix = prefix.substr(0, slash);
    }
}

} // namespace medlarbarrow::core
