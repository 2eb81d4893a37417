/// Callbacks for tests of owners that answer at once.
#pragma once

#include <medlarbarrow/net/service_owners.hpp>

namespace medlarbarrow::tests
{

/// Callbacks that ignore late answers and crashes. `instance_fraction` is the
/// fraction that one instance makes up of the fleet.
inline net::service_owners::handlers owner_handlers(double instance_fraction)
{
    net::service_owners::handlers handlers;
    handlers.on_answer = [](const core::grant_id&, const core::shard_id&,
                            const core::place_answer&) {};
    handlers.on_crash = [](const core::shard_id&, const core::crash_event&) {};
    handlers.instance_fraction = [instance_fraction]
    {
        return instance_fraction;
    };
    return handlers;
}

} // namespace medlarbarrow::tests
