/// The instance's part in the fleet: membership by gossip, calls to the owners
/// of services and accounts, and the owner duties of this instance. All over
/// one UDP socket, whose datagrams may be lost: calls are repeated, and an
/// owner that does not answer is passed over.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <medlarbarrow/config/settings.hpp>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <medlarbarrow/core/registry.hpp>
#include <memory>
#include <optional>

namespace medlarbarrow::net
{

struct fleet_settings
{
    config::endpoint self;          ///< address and UDP port
    std::vector<std::string> seeds; ///< addresses of some instances
    core::retry_limits repeats;
    std::uint64_t incarnation = 0; ///< Unix milliseconds of the start
};

/// What the fleet asks of the rest of the instance.
struct fleet_sources
{
    /// Limit of an account by the document in force; nothing when unknown.
    std::function<std::optional<core::quota_limit>(const std::string&)> terms;
    /// Newest revision of what is published, as known here.
    std::function<std::uint64_t()> revision;
    /// Another instance knows a newer revision.
    std::function<void(const std::string& address, std::uint64_t revision)>
        on_newer;
    /// Changes after a revision as text, and their taking.
    std::function<std::string(std::uint64_t since)> changes;
    std::function<void(const std::string& changes)> on_changes;
    /// Another instance has just had an answer of the source.
    std::function<void()> peer_confirmed;
    /// This instance must read the source, or need not any more.
    std::function<void(bool wanted)> read;
};

struct fleet_counters
{
    std::uint64_t datagrams_sent = 0;
    std::uint64_t datagrams_received = 0;
    std::uint64_t datagrams_invalid = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t calls_repeated = 0;
    std::uint64_t owners_passed_over = 0;
    std::uint64_t local_decisions = 0; ///< no owner answered
};

class fleet
{
public:
    using place_handler = std::function<void(const core::place_answer&)>;
    using admit_handler = std::function<void(const core::quota_answer&)>;

    /// Errors: settings_invalid (an address is not IPv4), or the system's.
    static core::result<std::unique_ptr<fleet>>
    create(boost::asio::io_context& io,
           const fleet_settings& settings,
           const core::server_registry& servers,
           fleet_sources sources);

    ~fleet();
    fleet(const fleet&) = delete;
    fleet& operator=(const fleet&) = delete;

    /// Replaces the seeds; addresses that are not IPv4 are left out.
    void set_seeds(const std::vector<std::string>& addresses);

    /// Begins to exchange gossip.
    void start();

    /// Asks the account's owner for one request. The handler is called once,
    /// possibly before admit() returns.
    void admit(const std::string& account, admit_handler done);

    /// Asks the service's owner for a server; `asked.grant` is set here and
    /// returned. The handler gets `placed` or `place_refused`, once, unless
    /// the grant is withdrawn before.
    core::grant_id place(const std::string& service,
                         core::place_request asked,
                         place_handler done);

    /// Gives up a place that has not been answered.
    void withdraw(const core::grant_id& grant);

    /// Tells the owner how the send of a grant ended.
    void done(const core::grant_id& grant,
              core::send_outcome outcome,
              core::duration took);

    /// The source has confirmed what is known here.
    void confirmed();

    /// Something newer is published here: tells those at once that hear of the
    /// source from this instance, and some others.
    void announce();

    /// Tells the others that this instance stops; calls still work.
    void leave();

    /// Ends all exchange; calls that wait get no answer.
    void close();

    std::size_t live() const;
    const fleet_counters& counters() const noexcept;

private:
    struct state;
    explicit fleet(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::net
