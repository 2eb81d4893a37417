/// Bounds the connections of callers and the memory that they hold together for
/// requests that are arriving. Decides which connection ends to make room.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <medlarbarrow/core/types.hpp>
#include <memory>
#include <string>
#include <string_view>

namespace medlarbarrow::core
{

/// One client is an address that connections come from. It gets at most half of
/// each limit: of the bytes always, of the connections while others want some.
struct body_limits
{
    std::size_t bytes = std::size_t{48} << 20U;
    std::size_t connections = 4096;
    /// A request counts as stopped when no byte of it has arrived for so long.
    duration stopped_after = std::chrono::milliseconds(500);
    /// Others are taken to want connections for so long after the limit of
    /// connections has met one of them.
    duration crowded_time = std::chrono::seconds(10);
};

/// Counters since the start.
struct body_counters
{
    std::uint64_t requests_refused = 0; ///< arriving ones, for lack of memory
    std::uint64_t stopped_ended = 0;    ///< stopped ones, to make room
    std::uint64_t copies_dropped = 0;   ///< of bodies, kept for a retry
    std::uint64_t connections_refused = 0;
};

/// The connection that an account belongs to.
class body_holder
{
public:
    body_holder() = default;
    body_holder(const body_holder&) = delete;
    body_holder& operator=(const body_holder&) = delete;
    virtual ~body_holder() = default;

    /// Whether really no byte of a next request has arrived.
    virtual bool is_idle() = 0;

    /// Closes the idle connection.
    virtual void evict() = 0;

    /// Ends a request that has not been sent. Gives its memory back at once.
    virtual void end_stopped() = 0;

    /// Gives back the copy of a body that is being sent.
    virtual void drop_copy() = 0;
};

/// Sum of the accounts of all connections of an entry instance. Must be used on
/// one thread.
class body_budget
{
public:
    using clock_function = std::function<time_point()>;

    explicit body_budget(const body_limits& initial,
                         clock_function time_source = &boot_clock::now);

    /// Whether one more connection of the client may be opened. Closes another
    /// one if that is necessary and possible.
    bool admit(const std::string& client);

    /// Closes the connection that has been idle for longest, or else ends the
    /// request that has been stopped for longest. False if there is none.
    bool free_connection();

    /// True once after the held bytes or the connections have fallen to a small
    /// part of what they were: free memory can be given back to the system.
    bool take_fall();

    std::size_t used() const noexcept
    {
        return this->used_bytes;
    }

    std::size_t connections() const noexcept
    {
        return this->open_connections;
    }

    const body_counters& counters() const noexcept
    {
        return this->counts;
    }

private:
    friend class body_account;

    /// What the accounts of one client hold together.
    struct client_use
    {
        std::size_t bytes = 0;
        std::size_t connections = 0; ///< without those that are being closed
        std::size_t accounts = 0;
    };

    using client_map = std::map<std::string, client_use>;

    enum class wait_state
    {
        idle,     ///< for the first byte of a request
        arriving, ///< for more bytes of a request that has not been sent
        none      ///< not for its client
    };

    struct account_state
    {
        body_holder* holder = nullptr;
        client_map::iterator client;
        std::size_t held = 0;
        std::size_t copy = 0; ///< part of `held` that can be dropped
        wait_state waiting = wait_state::none;
        time_point since{}; ///< last byte, or start of the wait for the first
        bool ended = false; ///< no longer counts as a connection
    };

    using account_list = std::list<account_state>;
    using condition = std::function<bool(const account_state&)>;

    account_list::iterator open(const std::string& client, body_holder& holder);
    void close(account_list::iterator account);
    bool is_over_share(std::size_t connections) const noexcept;
    bool fits(const account_state& account, std::size_t bytes) const noexcept;
    bool make_room(account_state& account, std::size_t bytes);
    bool drop_copy(const condition& eligible);
    bool end_stopped(const condition& eligible, duration stopped_for);
    bool close_idle(const condition& eligible);
    bool free_connection_of(const condition& eligible, duration stopped_for);
    account_state* find_longest(const condition& eligible);
    void mark_ended(account_state& account);

    body_limits limits;
    clock_function now;
    account_list accounts;
    client_map clients;
    std::size_t used_bytes = 0;
    std::size_t open_connections = 0;
    std::size_t peak_bytes = 0;       ///< since the last fall
    std::size_t peak_connections = 0; ///< since the last fall
    time_point crowded_until{};
    body_counters counts;
};

/// What one connection holds; gives it back at its end. Without a budget
/// everything is granted.
class body_account
{
public:
    body_account(std::shared_ptr<body_budget> total,
                 const std::string& client,
                 body_holder& holder);
    body_account(const body_account&) = delete;
    body_account& operator=(const body_account&) = delete;
    ~body_account();

    /// Changes what the connection holds to `bytes`. To make room for a growth,
    /// copies of others are dropped and stopped requests of others ended. If
    /// that does not suffice, returns false and changes nothing.
    bool hold(std::size_t bytes);

    /// The same without making room.
    bool hold_if_free(std::size_t bytes);

    /// Counts a request that is refused because hold() returned false.
    void count_refusal();

    /// Part of the held bytes that drop_copy() would give back; 0 while it is
    /// in use.
    void set_copy(std::size_t bytes);

    void wait_idle(time_point since);
    void wait_for_request(time_point since);
    void end_wait();

    /// Bytes have arrived.
    void record_progress();

    /// Address of the client; empty without a budget.
    std::string_view client() const;

private:
    void set_held(std::size_t bytes);

    std::shared_ptr<body_budget> budget;
    body_budget::account_list::iterator state;
};

} // namespace medlarbarrow::core
