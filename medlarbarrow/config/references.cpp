#include <map>
#include <medlarbarrow/config/references.hpp>
#include <set>

namespace medlarbarrow::config
{

namespace
{

/// Checks one document; the names it collects point into it.
class reference_check
{
public:
    reference_check(const core::document& subject, problem_list& target)
        : source(subject), found(target)
    {
    }

    void run()
    {
        this->centres = this->names("data_centres", this->source.data_centres);
        this->services = this->names("services", this->source.services);
        this->accounts = this->names("accounts", this->source.accounts);
        this->names("routes", this->source.routes);
        for (std::size_t index = 0; index < this->source.services.size();
             ++index)
        {
            this->check_servers(index);
        }
        for (std::size_t index = 0; index < this->source.routes.size(); ++index)
        {
            this->check_route(index);
        }
        for (std::size_t index = 0; index < this->source.accounts.size();
             ++index)
        {
            this->check_account(index);
        }
    }

private:
    using name_set = std::set<std::string_view>;

    // An empty name has been reported by the reader.
    template <class Item>
    name_set names(std::string_view section, const std::vector<Item>& items)
    {
        name_set seen;
        for (std::size_t index = 0; index < items.size(); ++index)
        {
            const std::string& name = items[index].name;
            if (!name.empty() && !seen.insert(name).second)
            {
                this->found.add(fmt::format("/{}/{}/name", section, index),
                                fmt::format("the name {} is used twice", name));
            }
        }
        return seen;
    }

    void check_reference(const name_set& known,
                         const std::string& name,
                         std::string_view kind,
                         const std::string& path)
    {
        if (!name.empty() && !known.contains(name))
        {
            this->found.add(path, fmt::format("there is no {} {}", kind, name));
        }
    }

    void check_servers(std::size_t service)
    {
        const auto& servers = this->source.services[service].servers;
        const std::string section = fmt::format("services/{}/servers", service);
        this->names(section, servers);
        std::set<std::pair<std::string_view, std::uint16_t>> endpoints;
        for (std::size_t index = 0; index < servers.size(); ++index)
        {
            const core::backend_server& server = servers[index];
            const std::string path = fmt::format("/{}/{}", section, index);
            this->check_reference(this->centres, server.data_centre,
                                  "data centre", path + "/data_centre");
            const bool given = !server.address.empty() && server.port != 0;
            if (given && !endpoints.emplace(server.address, server.port).second)
            {
                this->found.add(path, "another server of the service has this "
                                      "address and port");
            }
        }
    }

    void check_route(std::size_t index)
    {
        const core::route& route = this->source.routes[index];
        const std::string path = fmt::format("/routes/{}", index);
        this->check_reference(this->services, route.service, "service",
                              path + "/service");
        for (std::size_t item = 0; item < route.accounts.size(); ++item)
        {
            this->check_reference(this->accounts, route.accounts[item],
                                  "account",
                                  fmt::format("{}/accounts/{}", path, item));
        }
        if (route.access == core::route_access::open && !route.accounts.empty())
        {
            this->found.add(path + "/accounts",
                            "an open route asks for no key, so it cannot be "
                            "limited to accounts");
        }
        if (!route.path_prefix.empty())
        {
            this->check_overlap(route, path);
        }
    }

    // A route without methods takes what the routes with methods leave. Two
    // routes that name the same method would both apply.
    void check_overlap(const core::route& route, const std::string& path)
    {
        // "/specs/" and "/specs" match the same paths.
        std::string_view prefix = route.path_prefix;
        if (prefix.ends_with('/'))
        {
            prefix.remove_suffix(1);
        }
        auto& taken = this->taken_methods[{route.host, prefix}];
        std::vector<std::string_view> methods(route.methods.begin(),
                                              route.methods.end());
        if (methods.empty())
        {
            methods.emplace_back();
        }
        for (const std::string_view method : methods)
        {
            const auto [position, added] = taken.emplace(method, route.name);
            if (!added)
            {
                this->found.add(
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
        const core::client_account& account = this->source.accounts[index];
        const std::string path = fmt::format("/accounts/{}", index);
        if (account.rate_per_second > 0.0 && account.burst < 1.0)
        {
            this->found.add(path + "/burst",
                            "expected at least 1, or no request can pass");
        }
        for (std::size_t item = 0; item < account.keys.size(); ++item)
        {
            this->check_key(account, item,
                            fmt::format("{}/keys/{}/sha256", path, item));
        }
    }

    // A digest at two accounts would make the account of a request depend on
    // the order of the search. Withdrawn at both, it is refused either way.
    void check_key(const core::client_account& account,
                   std::size_t item,
                   const std::string& path)
    {
        const core::account_key& key = account.keys[item];
        if (key.digest == core::key_digest{})
        {
            return;
        }
        const auto [position, added] =
            this->keys.emplace(key.digest, key_owner{&account, key.withdrawn});
        if (added)
        {
            return;
        }
        const key_owner& first = position->second;
        if (first.account == &account)
        {
            this->found.add(path, "the key is given twice at this account");
        }
        else if (!first.withdrawn || !key.withdrawn)
        {
            this->found.add(path,
                            fmt::format("account {} has the same key and it is "
                                        "not withdrawn at both",
                                        first.account->name));
        }
    }

    struct key_owner
    {
        const core::client_account* account;
        bool withdrawn;
    };

    const core::document& source;
    problem_list& found;
    name_set centres;
    name_set services;
    name_set accounts;
    std::map<std::pair<std::string_view, std::string_view>,
             std::map<std::string_view, std::string_view>>
        taken_methods;
    std::map<core::key_digest, key_owner> keys;
};

} // namespace

void check_references(const core::document& source, problem_list& found)
{
    reference_check(source, found).run();
}

} // namespace medlarbarrow::config
