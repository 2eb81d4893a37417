/// Real instances whose store comes back from an older copy: what was written
/// since the copy is gone, and its revisions are given out again.
#pragma once

#include "planned_work_fixture.hpp"

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
        return eventually(
            [this, &target, status]
            {
                for (std::size_t index = 0; index < this->instances.size();
                     ++index)
                {
                    if (this->status_of(index, target) != status)
                    {
                        return false;
                    }
                }
                return true;
            },
            follow_limit);
    }

    /// State in which an instance has the server: healthy, draining, or empty
    /// if it doesn't know it.
    std::string state_of(std::size_t instance, unsigned server) const
    {
        const std::string status =
            this->fetch(instance, this->peers, "/status").body();
        const auto name = status.find(fmt::format("\"s-{}\"", server));
        if (name == std::string::npos)
        {
            return "";
        }
        const auto begin = status.rfind('{', name);
        const auto end = status.find('}', name);
        const std::string entry = status.substr(begin, end - begin);
        return entry.find("\"draining\"") == std::string::npos ? "healthy"
                                                               : "draining";
    }

    /// Waits until all the instances have the server in this state.
    bool all_have(unsigned server, const std::string& state)
    {
        return eventually(
            [this, server, &state]
            {
                for (std::size_t index = 0; index < this->instances.size();
                     ++index)
                {
                    if (this->state_of(index, server) != state)
                    {
                        return false;
                    }
                }
                return true;
            },
            follow_limit);
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
