/// Exchanges with other instances what is known of requests that crash servers.
/// The record of such a request must outlive the instance that owns the shard:
/// it may be killed, freeze, be cut off or be stopped at any moment, and an
/// earlier owner may come back without any record.
#pragma once

#include <functional>
#include <medlarbarrow/core/fleet_messages.hpp>

namespace medlarbarrow::net
{

class crash_exchange
{
public:
    using message_sender = std::function<void(core::instance_address recipient,
                                              const core::fleet_message&)>;

    /// Parts of the instance that the exchange uses. They must outlive this
    /// object.
    struct environment
    {
        core::membership& members;
        core::shard_directory& shards;
        core::crash_records& records;
        core::instance_address own_address = 0;
        message_sender send;
    };

    explicit crash_exchange(environment parts);

    /// Takes in that a send of this instance ended without an answer. The
    /// instance that granted it gets the end of the send; the one that owns the
    /// shard if that one fails is told here.
    void on_lost_send(const core::shard_id& shard,
                      const core::crash_event& crash,
                      core::instance_address granted_by);

    /// Tells the owners of the other shards of a service what happened in one
    /// that this instance owns, so that the request is blocked in all of them.
    void report_to_other_shards(const core::shard_id& shard,
                                const core::crash_event& crash);

    /// Sends what gossip spreads: the requests that may have crashed several
    /// servers. Sends nothing if there are none.
    void gossip_to(core::instance_address peer);

    /// Sends all that is known; for a planned stop.
    void hand_over_to(core::instance_address peer);

    void on_message(const core::shard_crash_report& message);
    void on_message(const core::crash_suspects& message);

private:
    void send_suspects(core::instance_address peer, std::size_t min_servers);

    environment parts;
};

} // namespace medlarbarrow::net
