/// Selects the instances that read the source of the published data. Every call
/// to the source is charged for, so a few instances read it for the whole
/// fleet. Each instance gets source updates from two of them, and reads the
/// source itself as soon as its latest confirmation is too old.
#pragma once

#include <map>
#include <medlarbarrow/core/membership.hpp>
#include <optional>
#include <vector>

namespace medlarbarrow::core
{

/// Time between two source updates of a reader.
constexpr duration source_update_period = std::chrono::milliseconds(400);

/// Decides whether this instance reads the source, and tracks its readers, its
/// subscribers and the latest confirmation.
class reader_selection
{
public:
    /// A starting instance reads the source until the first confirmation.
    explicit reader_selection(instance_address self);

    /// Selects the readers again from the current members.
    void update(const membership& members, time_point now);

    /// True while this instance must read the source.
    bool must_read(time_point now) const;

    /// The readers that send source updates to this instance. A reader has such
    /// readers too, because the source may refuse this one instance only.
    const std::vector<instance_address>& readers() const noexcept
    {
        return this->assigned_readers;
    }

    /// Records that another instance asks for source updates.
    void add_subscriber(instance_address subscriber, time_point now);

    /// Returns the instances to send source updates to; drops expired
    /// subscriptions.
    std::vector<instance_address> active_subscribers(time_point now);

    /// Records that a reader saw the source confirm the known state `age` ago.
    void record_confirmation(duration age, time_point now);

    /// Time since the source last confirmed the state known here; empty before
    /// the first confirmation.
    std::optional<duration> confirmation_age(time_point now) const;

private:
    instance_address self;
    bool is_reader = false;
    std::vector<instance_address> assigned_readers;
    std::map<instance_address, time_point> subscription_times;
    std::optional<time_point> last_confirmed;
};

} // namespace medlarbarrow::core
