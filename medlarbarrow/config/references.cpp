#include <map>
#include <medlarbarrow/config/references.hpp>
#include <set>

namespace medlarbarrow::config
{

namespace
{

/// Checks one document. The names it collects are views into the document.
class reference_check
{
public:
    reference_check(const core::document& checked_document, problem_list& sink)
        : document(checked_document), diagnostics(sink)
    {
    }

    void run()
    {
        this->data_centres =
            this->collect_names("data_centres", this->document.data_centres);
        this->services =
            this->collect_names("services", this->document.services);
        this->accounts =
            this->collect_names("accounts", this->document.accounts);
        this->collect_names("routes", this->document.routes);
        for (std::size_t index = 0; index < this->document.services.size();
             ++index)
        {
            this->check_servers(index);
        }
        for (std::size_t index = 0; index < this->document.routes.size();
             ++index)
        {
            this->check_route(index);
        }
        for (std::size_t index = 0; index < this->document.accounts.size();
             ++index)
        {
            this->check_account(index);
        }
    }

private:
    using name_set = std::set<std::string_view>;

    // Reports duplicate names and returns all names. The reader has already
    // reported an empty name.
    template <class Item>
    name_set collect_names(std::string_view section,
                           const std::vector<Item>& items)
    {
        name_set seen;
        for (std::size_t index = 0; index < items.size(); ++index)
        {
            const std::string& name = items[index].name;
            if (!name.empty() && !seen.insert(name).second)
            {
                this->diagnostics.add(
                    fmt::format("/{}/{}/name", section, index),
                    fmt::format("the name {} is used twice", name));
            }
        }
        return seen;
    }

    void check_reference(const name_set& existing,
                         const std::string& name,
                         std::string_view kind,
                         const std::string& path)
    {
        if (!name.empty() && !existing.contains(name))
        {
            this->diagnostics.add(path,
                                  fmt::format("there is no {} {}", kind, name));
        }
    }

    void check_servers(std::size_t service)
    {
        const auto& servers = this->document.services[service].servers;
        const std::string section = fmt::format("services/{}/servers", service);
        this->collect_names(section, servers);
        std::set<std::pair<std::string_view, std::uint16_t>> endpoints;
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            const core::backend_server& server = servers[index];
            const std::string path = fmt::format("/{}/{}", section, index);
            this->check_reference(this->data_centres, server.data_centre,
                                  "data centre", path + "/data_centre");
            const bool has_endpoint =
                !server.address.empty() && server.port != 0;
            if (has_endpoint &&
                !endpoints.emplace(server.address, server.port).second)
            {
                this->diagnostics.add(path,
                                      "another server of the service has this "
                                      "address and port");
            }
        }
    }

    void check_route(std::size_t index)
    {
        const core::route& route = this->document.routes[index];
        const std::string path = fmt::format("/routes/{}", index);
        this->check_reference(this->services, route.service, "service",
                              path + "/service");
        for (std::size_t position = 0; position < route.accounts.size();
             ++position)
        {
            this->check_reference(
                this->accounts, route.accounts[position], "account",
                fmt::format("{}/accounts/{}", path, position));
        }
        if (route.access == core::route_access::open && !route.accounts.empty())
        {
            this->diagnostics.add(
                path + "/accounts",
                "an open route requires no key, so it cannot be "
                "restricted to accounts");
        }
        if (!route.path_prefix.empty())
        {
            this->check_overlap(route, path);
        }
    }

    // Reports a route that has host, path prefix and a method in common with
    // an earlier one, since both would match a request. A route without methods
    // matches those methods that no other route of the prefix lists.
    void check_overlap(const core::route& route, const std::string& path)
    {
        // "/specs/" and "/specs" match the same paths.
        std::string_view prefix = route.path_prefix;
        if (prefix.ends_with('/'))
        {
            prefix.remove_suffix(1);
        }
        auto& routes_by_method = this->routes_by_prefix[{route.host, prefix}];
        std::vector<std::string_view> methods(route.methods.begin(),
                                              route.methods.end());
        if (methods.empty())
        {
            methods.emplace_back();
        }
        for (const std::string_view method : methods)
        {
            const auto [position, added] =
                routes_by_method.emplace(method, route.name);
            if (!added)
            {
                this->diagnostics.add(
                    path,
                    fmt::format("route {} has the same host, path prefix and "
                                "method{}{}",
                                position->second, method.empty() ? "s" : " ",
                                method));
                return;
            }
        }
    }

    void check_account(std::size_t index)
    {
        const core::client_account& account = this->document.accounts[index];
        const std::string path = fmt::format("/accounts/{}", index);
        if (account.rate_per_second > 0.0 && account.burst < 1.0)
        {
            this->diagnostics.add(
                path + "/burst",
                "expected at least 1: a smaller burst admits no request");
        }
        for (std::size_t key_index = 0; key_index < account.keys.size();
             ++key_index)
        {
            this->check_key(account, key_index,
                            fmt::format("{}/keys/{}/sha256", path, key_index));
        }
    }

    // If two accounts had the same key, the account of a request would depend
    // on the search order. A key that is withdrawn in both is rejected in
    // either case and therefore allowed.
    void check_key(const core::client_account& account,
                   std::size_t key_index,
                   const std::string& path)
    {
        const core::account_key& key = account.keys[key_index];
        if (key.digest == core::key_digest{})
        {
            return;
        }
        const auto [position, added] =
            this->keys.emplace(key.digest, key_use{&account, key.withdrawn});
        if (added)
        {
            return;
        }
        const key_use& first = position->second;
        if (first.account == &account)
        {
            this->diagnostics.add(path,
                                  "the key is given twice in this account");
        }
        else if (!first.withdrawn || !key.withdrawn)
        {
            this->diagnostics.add(
                path, fmt::format("account {} has the same key and it is "
                                  "not withdrawn in both",
                                  first.account->name));
        }
    }

    struct key_use
    {
        const core::client_account* account;
        bool withdrawn;
    };

    const core::document& document;
    problem_list& diagnostics;
    name_set data_centres;
    name_set services;
    name_set accounts;
    std::map<std::pair<std::string_view, std::string_view>,
             std::map<std::string_view, std::string_view>>
        routes_by_prefix;
    std::map<core::key_digest, key_use> keys;
};

} // namespace

void check_references(const core::document& document, problem_list& diagnostics)
{
    reference_check(document, diagnostics).run();
}

} // namespace medlarbarrow::config
