/// Property: a few instances follow a source and each other, with all answers
/// held back until they are delivered, in any order and more than once.
#include "source_model.hpp"

#include <deque>
#include <gtest/gtest.h>
#include <platform/decode.hpp>
#include <rapidcheck/gtest.h>

using namespace medlarbarrow;
using namespace medlarbarrow::tests;

namespace
{

/// Draws from [0, end), with the whole range in small cases too.
int draw(int end)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, end));
}

/// Instances that read a source and each other, with all answers held back
/// until they are delivered, in any order and more than once.
class delayed_fleet
{
public:
    delayed_fleet()
    {
        for (int number = 0; number < key_count; ++number)
        {
            this->source.put(key_of(number));
        }
        for (int index = 0; index < instance_count; ++index)
        {
            this->restart(index);
        }
    }

    /// Does one of the things that can happen, drawn at random.
    void step()
    {
        const int index = draw(instance_count);
        const int number = draw(key_count);
        member& one = this->members[static_cast<std::size_t>(index)];
        switch (draw(24))
        {
        case 0:
        case 1:
        case 2:
            this->source.put(key_of(number));
            break;
        case 3:
        case 4:
        case 5:
            this->source.remove(key_of(number));
            break;
        case 6:
            this->restart(index);
            break;
        case 7:
        case 8:
            this->ask_listing(one);
            break;
        case 9:
        case 10:
            this->ask_watch(one);
            break;
        case 11:
        case 12:
            this->ask_peer(one);
            break;
        case 13:
        case 14:
            this->announce(one);
            break;
        default:
            this->deliver(one);
            break;
        }
    }

    /// Delivers everything, then lets each instance read the rest: by a watch,
    /// which brings nothing again that it should have.
    void settle()
    {
        for (member& one : this->members)
        {
            while (!one.pending.empty())
            {
                this->deliver(one);
            }
            net::published& data = *one.data;
            if (data.revision() == 0)
            {
                RC_ASSERT(data.apply_listing(this->source.list(0), start));
            }
            data.apply_changes(this->source.changes_after(data.revision()),
                               this->source.revision, start);
        }
    }

    /// No instance uses a server whose removal its revision covers.
    void check_removals() const
    {
        for (const member& one : this->members)
        {
            const std::uint64_t revision = one.data->revision();
            for (int number = 0; number < key_count; ++number)
            {
                const bool used = one.data->servers().find(
                                      "i-" + std::to_string(number)) != nullptr;
                if (used &&
                    this->source.is_removed_at(key_of(number), revision))
                {
                    // Single items may be newer than the revision.
                    RC_ASSERT(this->is_written_after(number, revision));
                }
            }
        }
    }

    void check_all_equal() const
    {
        for (const member& one : this->members)
        {
            for (int number = 0; number < key_count; ++number)
            {
                const bool used = one.data->servers().find(
                                      "i-" + std::to_string(number)) != nullptr;
                RC_ASSERT(used == this->source.items.contains(key_of(number)));
            }
        }
    }

private:
    static constexpr int key_count = 5;
    static constexpr int instance_count = 3;

    using answer = std::function<void(net::published&)>;

    struct member
    {
        std::unique_ptr<net::published> data;
        std::deque<answer> pending;
    };

    void restart(int index)
    {
        member& one = this->members[static_cast<std::size_t>(index)];
        one.data = std::make_unique<net::published>(platform::read_item, [] {});
        one.pending.clear();
    }

    void ask_listing(member& one)
    {
        const net::source_listing listing =
            this->source.list(one.data->revision());
        one.pending.emplace_back(
            [listing](net::published& data)
            {
                // One that is refused is asked for again, or comes later.
                static_cast<void>(data.apply_listing(listing, start));
            });
    }

    // An instance watches only what it has listed, or has from a peer.
    void ask_watch(member& one)
    {
        if (one.data->revision() == 0)
        {
            return;
        }
        const auto changes = this->source.changes_after(one.data->revision());
        const std::uint64_t revision = this->source.revision;
        one.pending.emplace_back(
            [changes, revision](net::published& data)
            {
                data.apply_changes(changes, revision, start);
            });
    }

    void ask_peer(member& one)
    {
        const member& peer =
            this->members[static_cast<std::size_t>(draw(instance_count))];
        const std::uint64_t since = one.data->revision();
        const std::string text = peer.data->text_since(since);
        one.pending.emplace_back(
            [text](net::published& data)
            {
                RC_ASSERT(!data.apply_text(text, start));
            });
    }

    // As a reader sends its changes to others: they take them only if they have
    // the revision at which the changes begin.
    void announce(member& one)
    {
        const std::uint64_t base = one.data->revision();
        const auto changes = this->source.changes_after(base);
        if (base == 0)
        {
            return;
        }
        if (draw(2) == 0)
        {
            one.data->apply_changes(changes, this->source.revision, start);
        }
        else
        {
            static_cast<void>(
                one.data->apply_listing(this->source.list(base), start));
        }
        const std::string text = one.data->text_since(base);
        for (member& other : this->members)
        {
            other.pending.emplace_back(
                [text, base](net::published& data)
                {
                    if (data.revision() >= base)
                    {
                        RC_ASSERT(!data.apply_text(text, start));
                    }
                });
        }
    }

    void deliver(member& one)
    {
        if (one.pending.empty())
        {
            return;
        }
        const int position = draw(static_cast<int>(one.pending.size()));
        const answer taken = one.pending[static_cast<std::size_t>(position)];
        taken(*one.data);
        if (draw(4) == 0)
        {
            return; // it comes once more
        }
        one.pending.erase(one.pending.begin() + position);
    }

    bool is_written_after(int number, std::uint64_t revision) const
    {
        return std::any_of(this->source.history.begin(),
                           this->source.history.end(),
                           [&](const published_item& change)
                           {
                               return change.key == key_of(number) &&
                                      change.position.revision > revision &&
                                      !change.removed;
                           });
    }

    source_model source;
    std::vector<member> members = std::vector<member>(instance_count);
};

} // namespace

// Guards against any order of late and repeated answers, of restarts and of
// exchanges between instances that brings a server back that has left, or that
// loses a sound one for good.
RC_GTEST_PROP(a_fleet_with_late_answers, follows_the_source, ())
{
    delayed_fleet fleet;
    const int steps = 20 + draw(180);
    for (int count = 0; count < steps; ++count)
    {
        fleet.step();
        fleet.check_removals();
    }
    fleet.settle();
    fleet.check_all_equal();
}
