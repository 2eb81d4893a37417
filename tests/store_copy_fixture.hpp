/// Real instances whose store comes back from an older copy: what was written
/// since the copy is gone, and its revisions are given out again.
#pragma once

#include "planned_work_fixture.hpp"

#include <nlohmann/json.hpp>

namespace medlarbarrow::tests
{

/// Configuration with the route "next" under another name.
inline std::string make_config_with_route(unsigned version,
                                          const std::string& route)
{
    std::string text = make_config(version);
    const auto replace_all =
        [&text](const std::string& from, const std::string& to)
    {
        for (std::size_t position = text.find(from);
             position != std::string::npos;
             position = text.find(from, position + to.size()))
        {
            text.replace(position, from.size(), to);
        }
    };
    replace_all(R"("next")", fmt::format(R"("{}")", route));
    replace_all("/next/", fmt::format("/{}/", route));
    return text;
}

/// Announcement of a server that runs, with its number within the run.
inline std::string make_announcement(std::uint16_t port,
                                     const std::string& state,
                                     unsigned sequence,
                                     const std::string& born = "1700000000000")
{
    return fmt::format(
        R"({{"address":"127.0.0.1:{}","info":{{"service":"desk","version":)"
        R"("v1","zone":"suva","slots":4}},"status":{{"state":"{}",)"
        R"("sequence":{},"warmupLeft":"0ms"}},"born":{}}})",
        port, state, sequence, born);
}

/// Given instances that follow a store, servers, and a copy of the store.
class a_fleet_with_a_copied_store : public a_fleet_on_a_platform
{
protected:
    static constexpr std::size_t instance_count = 3;
    static constexpr unsigned server_count = 6;
    /// How long a change may take until all follow it. A test that passes does
    /// not wait for it.
    static constexpr auto follow_limit = 20s;

    void SetUp() override
    {
        a_fleet_on_a_platform::SetUp();
        this->add_servers(server_count, 4);
        this->start_fleet(instance_count);
        this->store.make_copy();
    }

    void announce(unsigned server,
                  const std::string& state,
                  unsigned sequence,
                  const std::string& born = "1700000000000")
    {
        this->store.put(fmt::format("servers/s-{}", server),
                        make_announcement(this->servers[server - 1]->port(),
                                          state, sequence, born));
    }

    /// Writes what no instance uses, which takes revisions.
    void take_revisions(unsigned count)
    {
        for (unsigned index = 0; index < count; ++index)
        {
            this->store.put("op/note", std::to_string(index));
        }
    }

    /// The store is away for half a second and comes back from the copy.
    void restore_store()
    {
        standin::store_faults faults;
        faults.away = true;
        this->store.set_faults(faults);
        std::this_thread::sleep_for(500ms);
        this->store.restore_copy();
        this->store.set_faults({});
    }

    unsigned status_of(std::size_t instance, const std::string& target)
    {
        kept_connection connection = this->connection_to(instance);
        if (!connection.connect())
        {
            return 0;
        }
        return connection.call({target}).status;
    }

    /// Waits until all the instances answer requests for the target with the
    /// status.
    bool all_answer(const std::string& target, unsigned status)
    {
        return this->eventually_at_all(
            [this, &target, status](std::size_t index)
            {
                return this->status_of(index, target) == status;
            });
    }

    /// The status page of an instance; null if it doesn't answer.
    nlohmann::json status_page(std::size_t instance) const
    {
        const auto answer = this->fetch(instance, this->peers, "/status");
        if (answer.result_int() != 200)
        {
            return {};
        }
        return nlohmann::json::parse(answer.body(), nullptr, false);
    }

    /// State in which an instance has the server: healthy, draining, empty if
    /// it doesn't know it, or "no answer".
    std::string state_of(std::size_t instance, unsigned server) const
    {
        const nlohmann::json page = this->status_page(instance);
        if (!page.is_object())
        {
            return "no answer";
        }
        const std::string name = fmt::format("s-{}", server);
        for (const nlohmann::json& entry : page.at("servers"))
        {
            if (entry.at("server") == name)
            {
                return entry.at("state");
            }
        }
        return "";
    }

    /// Waits until the condition, a function of the number of an instance,
    /// holds at all of them at once.
    template <class Condition>
    bool eventually_at_all(Condition condition) const
    {
        return eventually(
            [this, &condition]
            {
                for (std::size_t index = 0; index < this->instances.size();
                     ++index)
                {
                    if (!condition(index))
                    {
                        return false;
                    }
                }
                return true;
            },
            follow_limit);
    }

    /// Waits until all the instances have the server in this state.
    bool all_have(unsigned server, const std::string& state) const
    {
        return this->eventually_at_all(
            [this, server, &state](std::size_t index)
            {
                return this->state_of(index, server) == state;
            });
    }

    /// True if the instance has read the store, or has heard of it, since its
    /// last return.
    bool is_in_present_era(std::size_t instance) const
    {
        const nlohmann::json page = this->status_page(instance);
        return page.is_object() &&
               page.value("list_era", std::uint64_t{0}) == this->store.era();
    }

    bool all_are_in_present_era() const
    {
        return this->eventually_at_all(
            [this](std::size_t index)
            {
                return this->is_in_present_era(index);
            });
    }

    /// Version of the configuration that an instance has; 0 if it has none or
    /// doesn't answer.
    std::uint64_t version_at(std::size_t instance) const
    {
        const nlohmann::json page = this->status_page(instance);
        return page.is_object()
                   ? page.value("document_version", std::uint64_t{0})
                   : 0;
    }

    /// Ends an instance without notice.
    void kill_instance(std::size_t index)
    {
        this->instances[index]->send(SIGKILL);
        this->instances[index]->wait();
    }

    std::string logs() const
    {
        std::string text;
        for (const auto& instance : this->instances)
        {
            text += instance->log() + "\n";
        }
        return text;
    }
};

} // namespace medlarbarrow::tests
