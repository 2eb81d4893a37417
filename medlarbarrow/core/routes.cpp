#include <algorithm>
#include <cctype>
#include <medlarbarrow/core/routes.hpp>

namespace medlarbarrow::core
{

namespace
{

// Host names compare without case, and without the port of the Host header.
std::string normalize_host(std::string_view host)
{
    const bool is_ipv6 = host.starts_with('[');
    const std::size_t port = is_ipv6 ? host.find("]:") : host.find(':');
    if (port != std::string_view::npos)
    {
        host = host.substr(0, is_ipv6 ? port + 1 : port);
    }
    std::string lower(host);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char letter)
                   {
                       return static_cast<char>(std::tolower(letter));
                   });
    return lower;
}

// "/specs/" and "/specs" are the same prefix; the root is the empty one.
std::string_view trim_slash(std::string_view path)
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

route_table::route_table(std::shared_ptr<const document> origin)
    : source(std::move(origin))
{
    for (const route& item : this->source->routes)
    {
        routes_by_prefix& prefixes = this->by_host[normalize_host(item.host)];
        prefixes[std::string(trim_slash(item.path_prefix))].push_back(&item);
    }
    // Among equal prefixes a route that names its methods goes first.
    for (auto& [host, prefixes] : this->by_host)
    {
        for (auto& [prefix, routes] : prefixes)
        {
            std::stable_partition(routes.begin(), routes.end(),
                                  [](const route* item)
                                  {
                                      return !item->methods.empty();
                                  });
        }
    }
}

const route* route_table::match(std::string_view method,
                                std::string_view host,
                                std::string_view path) const
{
    const auto own = this->by_host.find(normalize_host(host));
    if (own != this->by_host.end())
    {
        if (const route* found = match_in(own->second, method, path))
        {
            return found;
        }
    }
    const auto any = this->by_host.find("");
    return any == this->by_host.end() ? nullptr
                                      : match_in(any->second, method, path);
}

const route* route_table::match_in(const routes_by_prefix& routes,
                                   std::string_view method,
                                   std::string_view path)
{
    for (std::string_view prefix = trim_slash(path);;)
    {
        const auto found = routes.find(std::string(prefix));
        if (found != routes.end())
        {
            for (const route* candidate : found->second)
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
