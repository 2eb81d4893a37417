/// Property: instances follow a source that comes back from older copies, and
/// each other, with answers that come late, more than once or not at all.
#include "source_model.hpp"

#include <deque>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <platform/decode.hpp>
#include <rapidcheck/gtest.h>
#include <set>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Longer than the grace period of a server whose announcement has lapsed.
constexpr std::chrono::seconds after_grace{3};

/// Draws from [0, end), with the whole range in small cases too.
int draw(int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

/// A backend server as it is in truth, whatever the source has.
struct true_server
{
    bool present = true;
    bool leaving = false;
    unsigned born = 1;
    unsigned sequence = 1;
};

/// The writers of the source, which write again what a return has undone.
class writers
{
public:
    static constexpr int server_count = 4;

    writers()
    {
        this->source.era = 1;
        this->write_document();
        for (int number = 0; number < server_count; ++number)
        {
            this->announce(number);
        }
        this->source.make_copy();
    }

    void raise_version()
    {
        ++this->version;
        this->write_document();
    }

    /// The server goes on: it announces itself, says that it leaves, goes, or
    /// starts again.
    void advance(int number)
    {
        true_server& server = this->servers[static_cast<std::size_t>(number)];
        if (!server.present)
        {
            server = {true, false, server.born + 1, 1};
            this->announce(number);
            return;
        }
        if (server.leaving)
        {
            server.present = false;
            this->source.remove(key_of(number));
            return;
        }
        server.leaving = draw(3) == 0;
        ++server.sequence;
        this->announce(number);
    }

    void write_all_again()
    {
        this->write_document();
        for (int number = 0; number < server_count; ++number)
        {
            true_server& server =
                this->servers[static_cast<std::size_t>(number)];
            if (server.present)
            {
                ++server.sequence;
                this->announce(number);
            }
            else
            {
                this->source.remove(key_of(number));
            }
        }
    }

    bool accepts_requests(int number) const
    {
        const true_server& server =
            this->servers[static_cast<std::size_t>(number)];
        return server.present && !server.leaving;
    }

    source_model source;
    unsigned version = 1;

private:
    void write_document()
    {
        this->source.put(
            "op/config",
            fmt::format(
                R"({{"version":"r{}","routes":{{"columns":["name"],"rows":[]}},)"
                R"("services":{{"columns":["name"],"rows":[]}},"limits":)"
                R"({{"maxHeaderBytes":2048,"maxBodyBytes":1000,)"
                R"("headerTimeout":"3s","idleTimeout":"15s"}}}})",
                this->version));
    }

    void announce(int number)
    {
        const true_server& server =
            this->servers[static_cast<std::size_t>(number)];
        this->source.put(
            key_of(number),
            fmt::format(
                R"({{"address":"10.0.0.9:8080","info":{{"service":"orders",)"
                R"("version":"v1","zone":"suva","slots":3}},"status":)"
                R"({{"state":"{}","sequence":{},"warmupLeft":"0ms"}},)"
                R"("born":{}}})",
                server.leaving ? "draining" : "ready", server.sequence,
                server.born));
    }

    std::vector<true_server> servers = std::vector<true_server>(server_count);
};

/// One instance, and what it may not undo.
struct member
{
    using answer = std::function<void(net::published&)>;

    std::unique_ptr<net::published> data;
    std::deque<answer> pending;
    std::uint64_t highest_version = 0;
    /// Runs of servers, as name and start, that have said that they leave.
    std::set<std::pair<std::string, std::uint64_t>> ended_runs;
};

class fleet_over_returns
{
public:
    fleet_over_returns()
    {
        for (member& one : this->members)
        {
            this->restart(one);
        }
    }

    void step()
    {
        member& one = this->draw_member();
        switch (draw(20))
        {
        case 0:
        case 1:
            this->world.raise_version();
            break;
        case 2:
        case 3:
        case 4:
            this->world.advance(draw(writers::server_count));
            break;
        case 5:
            this->world.source.make_copy();
            break;
        case 6:
            this->world.source.restore_copy();
            break;
        case 7:
            this->world.write_all_again();
            break;
        case 8:
            this->restart(one);
            break;
        case 9:
        case 10:
        case 11:
            this->ask_source(one);
            break;
        case 12:
        case 13:
            this->ask_peer(one);
            break;
        default:
            deliver(one);
            break;
        }
        this->check_nothing_undone();
    }

    /// The writers write all again; then the instances deliver and read all.
    void settle()
    {
        this->world.write_all_again();
        for (member& one : this->members)
        {
            while (!one.pending.empty())
            {
                deliver(one);
            }
            this->ask_source(one);
            while (!one.pending.empty())
            {
                deliver(one);
            }
            // A listing that came late may have been refused.
            this->ask_source(one);
            while (!one.pending.empty())
            {
                deliver(one);
            }
        }
        this->check_nothing_undone();
    }

    void check_all_equal() const
    {
        for (const member& one : this->members)
        {
            one.data->servers().tick(start + after_grace);
            RC_ASSERT(one.data->position() == this->world.source.position());
            RC_ASSERT(one.data->document()->version == this->world.version);
            RC_ASSERT(one.data->carried_digest() == 0U);
            for (int number = 0; number < writers::server_count; ++number)
            {
                const core::announced_server* server =
                    one.data->servers().find("i-" + std::to_string(number));
                const bool used = server != nullptr && !server->leaving;
                RC_ASSERT(used == this->world.accepts_requests(number));
            }
        }
    }

private:
    member& draw_member()
    {
        const int index = draw(static_cast<int>(this->members.size()));
        return this->members[static_cast<std::size_t>(index)];
    }

    void restart(member& one)
    {
        one = {};
        one.data = std::make_unique<net::published>(platform::read_item, [] {});
    }

    // As an instance does: it watches in the era that it knows, else it lists.
    void ask_source(member& one)
    {
        const source_model& source = this->world.source;
        const core::source_position known = one.data->position();
        if (known.revision == 0 || known.era != source.era)
        {
            const net::source_listing listing = source.list(known);
            one.pending.emplace_back(
                [listing](net::published& data)
                {
                    static_cast<void>(data.apply_listing(listing, start));
                });
            return;
        }
        const auto changes = source.changes_after(known.revision);
        const core::source_position last = source.position();
        one.pending.emplace_back(
            [changes, last](net::published& data)
            {
                data.apply_changes(changes, last, start);
            });
    }

    void ask_peer(member& one)
    {
        const std::string text =
            this->draw_member().data->text_since(one.data->position_to_ask());
        one.pending.emplace_back(
            [text](net::published& data)
            {
                RC_ASSERT(!data.apply_text(text, start));
            });
    }

    static void deliver(member& one)
    {
        if (one.pending.empty())
        {
            return;
        }
        const int position = draw(static_cast<int>(one.pending.size()));
        const member::answer taken =
            one.pending[static_cast<std::size_t>(position)];
        taken(*one.data);
        if (draw(4) != 0)
        {
            one.pending.erase(one.pending.begin() + position);
        }
    }

    void check_nothing_undone()
    {
        for (member& one : this->members)
        {
            if (const auto& document = one.data->document())
            {
                RC_ASSERT(document->version >= one.highest_version);
                one.highest_version = document->version;
            }
            for (const core::announced_server* server :
                 one.data->servers().all())
            {
                const std::pair run{server->server.name, server->started};
                if (server->leaving)
                {
                    one.ended_runs.insert(run);
                }
                RC_ASSERT(server->leaving || !one.ended_runs.contains(run));
            }
        }
    }

    writers world;
    std::vector<member> members = std::vector<member>(3);
};

} // namespace

// Guards against any order of writes, returns from copies, restarts, late and
// repeated answers and exchanges after which an instance goes back to an older
// configuration, uses a server that has said that it leaves, or does not follow
// what is written next.
RC_GTEST_PROP(a_fleet_over_returns_of_its_source, follows_what_is_written, ())
{
    fleet_over_returns fleet;
    const int steps = 20 + draw(180);
    for (int count = 0; count < steps; ++count)
    {
        fleet.step();
    }
    fleet.settle();
    fleet.check_all_equal();
}
