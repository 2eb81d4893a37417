/// The instance's connection to the other instances of the fleet: gossip
/// membership, calls to the owners of services and accounts, and the owner
/// decisions that fall to this instance. All messages use one UDP socket and
/// may be lost, so calls are repeated, and an owner that does not answer is
/// passed over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/registry.hpp>
#include <medlarbarrow/net/service_owners.hpp>
#include <memory>
#include <optional>

namespace medlarbarrow::net
{

struct fleet_settings
{
    config::endpoint self;          ///< address and UDP port
    std::vector<std::string> seeds; ///< addresses of some instances
    core::retry_limits retry_limits;
    /// See core::placement::set_floor_share().
    double floor_share = core::default_floor_share;
    std::uint64_t incarnation = 0; ///< start time in Unix milliseconds
};

/// Functions of the rest of the instance that the fleet calls. All are
/// required.
struct fleet_callbacks
{
    /// Limit of an account in the document in force; empty if the account is
    /// unknown.
    std::function<std::optional<core::quota_limit>(const std::string&)>
        account_limit;
    /// Newest position in the source that this instance has.
    std::function<core::source_position()> position;
    /// Digest of what this instance carries over from earlier eras.
    std::function<std::uint64_t()> carried_digest;
    /// Called when another instance may know something that this one does not:
    /// it has a newer position, or carries over something else.
    std::function<void(const std::string& address,
                       const core::source_position& position)>
        on_news_at_peer;
    /// Returns the published changes after a position as text.
    std::function<std::string(const core::source_position& since)>
        changes_since;
    /// Applies the text that changes_since() of another instance returned.
    std::function<void(const std::string& changes)> on_changes;
    /// Called when another instance has just had an answer from the source.
    std::function<void()> on_peer_confirmation;
    /// Tells whether this instance must read the source.
    std::function<void(bool enabled)> set_reading_enabled;
};

struct fleet_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t datagrams_invalid = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t calls_repeated = 0;
    std::uint64_t owners_passed_over = 0;
    std::uint64_t local_decisions = 0; ///< decided here as no owner answered
    std::uint64_t second_shards_asked = 0;
    std::uint64_t leaving_runs_learned = 0; ///< not counting the source
};

/// From where an instance learns that a run of a server leaves.
enum class leaving_source : std::uint8_t
{
    answer,       ///< the header of an answer of the server
    owner_report, ///< the report of a send's end to this instance as owner
    gossip
};

/// Membership, calls to owners and owner decisions of one instance.
class fleet
{
public:
    using place_handler = std::function<void(const core::place_answer&)>;
    using admit_handler = std::function<void(const core::quota_answer&)>;

    /// Opens the UDP socket. Marks servers that leave in `servers`. Errors:
    /// settings_invalid (the own address is not IPv4), or a system error.
    static core::result<std::unique_ptr<fleet>>
    create(boost::asio::io_context& io,
           const fleet_settings& settings,
           core::server_registry& servers,
           fleet_callbacks callbacks);

    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Replaces the seeds. Addresses that are not IPv4 are ignored.
    void set_seeds(const std::vector<std::string>& addresses);

    /// Starts to receive messages and to exchange gossip and source updates.
    void start();

    /// Asks the account's owner to admit one request. The handler is called
    /// once, possibly before admit() returns.
    void admit(const std::string& account, admit_handler handler);

    /// Asks the owner of a shard of the service for a server. Sets
    /// `request.grant` and returns it. The handler is called once, with
    /// `placed` or `place_refused`, unless the grant is withdrawn before.
    core::grant_id place(const std::string& service,
                         core::place_request request,
                         place_handler handler);

    /// Servers of the service that may get new requests, as known here. Valid
    /// until the registry changes.
    std::vector<const core::announced_server*>
    usable_servers(const std::string& service);

    /// Withdraws a place request that has not been answered yet.
    void withdraw(const core::grant_id& grant);

    /// Reports to the owner how the send of a grant ended, and what the server
    /// stated about itself.
    void report_send_end(const core::send_end& end,
                         const core::server_notice& notice = {});

    /// Tells the owner of a grant that the answer is passed on to the caller as
    /// it comes, and whether the caller has stopped reading. Calls `end_send`
    /// if the send has to end, so that the server is free for others.
    void report_stream(const core::grant_id& grant,
                       bool unread,
                       std::function<void()> end_send);

    /// Marks a run of a server as leaving and passes that on to the other
    /// instances.
    void record_leaving(const core::leaving_run& run, leaving_source from);

    /// Records that the source has confirmed the state known here.
    void record_source_confirmation();

    /// Announces a newer published revision: sends a source update to the
    /// subscribers of this instance at once, and gossip to some other peers.
    void announce_revision();

    /// Tells the other instances that this one stops. Calls still work.
    void leave();

    /// Stops all communication. Pending calls get no answer.
    void close();

    /// Number of live instances, this one included.
    std::size_t live_count() const;
    fleet_counters counters() const;

    /// The shards that this instance owns and has decided about lately.
    std::vector<shard_spread> spreads() const;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
