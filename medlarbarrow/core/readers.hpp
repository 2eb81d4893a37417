/// Which instances read the source of what is published. A few read it for
/// all, since every call to the source is paid for; each other instance hears
/// from two of them, and reads the source itself as soon as it hears nothing
/// fresh.
#pragma once

#include <map>
#include <medlarbarrow/core/membership.hpp>
#include <optional>
#include <vector>

namespace medlarbarrow::core
{

/// Time between two source updates of a reader.
constexpr duration source_update_period = std::chrono::milliseconds(400);

class reader_selection
{
public:
    /// An instance that starts reads until it hears from a reader.
    explicit reader_selection(instance_address self);

    /// Chooses the readers anew from the members of the moment.
    void update(const membership& members, time_point now);

    /// True while this instance must read the source.
    bool must_read(time_point now) const;

    /// The readers that this instance hears from; a reader hears from others,
    /// since the source may refuse it alone.
    const std::vector<instance_address>& chosen() const noexcept
    {
        return this->heard_from;
    }

    /// Another instance asks for source updates.
    void subscribed(instance_address who, time_point now);

    /// Instances to send source updates to.
    std::vector<instance_address> subscribers(time_point now);

    /// The source confirmed what is known, seen by a reader this long ago.
    void confirmed(duration age, time_point now);

    /// Since the source confirmed what is known here; nothing before the first
    /// time.
    std::optional<duration> age(time_point now) const;

private:
    instance_address self;
    bool is_reader = false;
    std::vector<instance_address> heard_from;
    std::map<instance_address, time_point> asking;
    std::optional<time_point> newest;
};

} // namespace medlarbarrow::core
