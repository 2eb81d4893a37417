#include <algorithm>
#include <medlarbarrow/core/body_budget.hpp>

namespace medlarbarrow::core
{

namespace
{

/// One client gets at most this part of each limit.
constexpr std::size_t client_divisor = 2;

/// A fall is one to this part of the peak, if the peak was large.
constexpr std::size_t fall_divisor = 4;
constexpr std::size_t large_bytes = std::size_t{8} << 20U;
constexpr std::size_t large_connections = 512;

bool is_any_client(const auto& /*account*/)
{
    return true;
}

} // namespace

body_budget::body_budget(const body_limits& initial, clock_function time_source)
    : limits(initial), now(std::move(time_source))
{
}

body_budget::account_list::iterator body_budget::open(const std::string& client,
                                                      body_holder& holder)
{
    account_state account;
    account.holder = &holder;
    account.client = this->clients.try_emplace(client).first;
    account.since = this->now();
    const auto added = this->accounts.insert(this->accounts.end(), account);
    ++added->client->second.accounts;
    ++added->client->second.connections;
    ++this->open_connections;
    this->peak_connections =
        std::max(this->peak_connections, this->open_connections);
    return added;
}

void body_budget::close(account_list::iterator account)
{
    client_use& client = account->client->second;
    this->used_bytes -= account->held;
    client.bytes -= account->held;
    this->mark_ended(*account);
    --client.accounts;
    if (client.accounts == 0)
    {
        this->clients.erase(account->client);
    }
    this->accounts.erase(account);
}

// From now on the account does not count as a connection, although its session
// may still have to end.
void body_budget::mark_ended(account_state& account)
{
    if (!account.ended)
    {
        account.ended = true;
        --account.client->second.connections;
        --this->open_connections;
    }
}

// Whether a client with so many connections has its share of them.
bool body_budget::is_over_share(std::size_t connections) const noexcept
{
    return connections >=
           std::max<std::size_t>(this->limits.connections / client_divisor, 1);
}

bool body_budget::fits(const account_state& account,
                       std::size_t bytes) const noexcept
{
    const std::size_t client_bytes = account.client->second.bytes;
    return this->used_bytes + bytes <= this->limits.bytes &&
           client_bytes + bytes <= this->limits.bytes / client_divisor;
}

// Makes room for `bytes` more of the account. Only what its own client holds
// helps while that client has used up its share.
bool body_budget::make_room(account_state& account, std::size_t bytes)
{
    while (!this->fits(account, bytes))
    {
        const bool is_share_used = account.client->second.bytes + bytes >
                                   this->limits.bytes / client_divisor;
        const condition eligible =
            [&account, is_share_used](const account_state& other)
        {
            return &other != &account && other.held > 0 &&
                   (!is_share_used || other.client == account.client);
        };
        if (!this->drop_copy(eligible) &&
            !this->end_stopped(eligible, this->limits.stopped_after))
        {
            return false;
        }
    }
    return true;
}

// The eligible account that has waited for longest.
body_budget::account_state* body_budget::find_longest(const condition& eligible)
{
    account_state* longest = nullptr;
    for (account_state& account : this->accounts)
    {
        if (!account.ended && eligible(account) &&
            (longest == nullptr || account.since < longest->since))
        {
            longest = &account;
        }
    }
    return longest;
}

bool body_budget::drop_copy(const condition& eligible)
{
    account_state* account = this->find_longest(
        [&eligible](const account_state& candidate)
        {
            return candidate.copy > 0 && eligible(candidate);
        });
    if (account == nullptr)
    {
        return false;
    }
    account->copy = 0;
    ++this->counts.copies_dropped;
    account->holder->drop_copy();
    return true;
}

// Ends the request that has been stopped for longest, at least `stopped_for`.
bool body_budget::end_stopped(const condition& eligible, duration stopped_for)
{
    const time_point latest = this->now() - stopped_for;
    account_state* account = this->find_longest(
        [&eligible, latest](const account_state& candidate)
        {
            return candidate.waiting == wait_state::arriving &&
                   candidate.since <= latest && eligible(candidate);
        });
    if (account == nullptr)
    {
        return false;
    }
    this->mark_ended(*account);
    ++this->counts.stopped_ended;
    account->holder->end_stopped();
    return true;
}

// Closes the connection that has been idle for longest.
bool body_budget::close_idle(const condition& eligible)
{
    const condition is_idle = [&eligible](const account_state& candidate)
    {
        return candidate.waiting == wait_state::idle && eligible(candidate);
    };
    while (account_state* account = this->find_longest(is_idle))
    {
        if (account->holder->is_idle())
        {
            this->mark_ended(*account);
            account->holder->evict();
            return true;
        }
        // Bytes of a request wait at its socket.
        account->waiting = wait_state::arriving;
        account->since = this->now();
    }
    return false;
}

bool body_budget::free_connection_of(const condition& eligible,
                                     duration stopped_for)
{
    return this->close_idle(eligible) ||
           this->end_stopped(eligible, stopped_for);
}

bool body_budget::free_connection()
{
    return this->free_connection_of(is_any_client<account_state>,
                                    this->limits.stopped_after);
}

bool body_budget::take_fall()
{
    const bool bytes_fell = this->peak_bytes >= large_bytes &&
                            this->used_bytes < this->peak_bytes / fall_divisor;
    const bool connections_fell =
        this->peak_connections >= large_connections &&
        this->open_connections < this->peak_connections / fall_divisor;
    if (bytes_fell)
    {
        this->peak_bytes = this->used_bytes;
    }
    if (connections_fell)
    {
        this->peak_connections = this->open_connections;
    }
    return bytes_fell || connections_fell;
}

bool body_budget::admit(const std::string& client)
{
    const time_point current_time = this->now();
    const auto known = this->clients.find(client);
    const bool is_over = known != this->clients.end() &&
                         this->is_over_share(known->second.connections);
    const bool is_full = this->open_connections >= this->limits.connections;
    if (is_full && !is_over)
    {
        this->crowded_until = current_time + this->limits.crowded_time;
    }
    if (!is_full && (!is_over || current_time >= this->crowded_until))
    {
        return true;
    }
    bool freed = false;
    if (is_over)
    {
        freed = this->free_connection_of(
            [&known](const account_state& account)
            {
                return account.client == known;
            },
            this->limits.stopped_after);
    }
    else
    {
        // A client beyond its share gives way even if it has not stopped.
        freed = this->free_connection_of(
                    [this](const account_state& account)
                    {
                        return this->is_over_share(
                            account.client->second.connections);
                    },
                    duration(0)) ||
                this->free_connection();
    }
    this->counts.connections_refused += freed ? 0 : 1;
    return freed;
}

body_account::body_account(std::shared_ptr<body_budget> total,
                           const std::string& client,
                           body_holder& holder)
    : budget(std::move(total))
{
    if (this->budget)
    {
        this->state = this->budget->open(client, holder);
    }
}

body_account::~body_account()
{
    if (this->budget)
    {
        this->budget->close(this->state);
    }
}

bool body_account::hold(std::size_t bytes)
{
    if (!this->budget)
    {
        return true;
    }
    body_budget::account_state& account = *this->state;
    if (bytes > account.held &&
        !this->budget->make_room(account, bytes - account.held))
    {
        return false;
    }
    this->set_held(bytes);
    return true;
}

bool body_account::hold_if_free(std::size_t bytes)
{
    if (!this->budget)
    {
        return true;
    }
    const body_budget::account_state& account = *this->state;
    if (bytes > account.held &&
        !this->budget->fits(account, bytes - account.held))
    {
        return false;
    }
    this->set_held(bytes);
    return true;
}

void body_account::set_held(std::size_t bytes)
{
    body_budget::account_state& account = *this->state;
    std::size_t& client_bytes = account.client->second.bytes;
    client_bytes = client_bytes - account.held + bytes;
    this->budget->used_bytes = this->budget->used_bytes - account.held + bytes;
    account.held = bytes;
    this->budget->peak_bytes =
        std::max(this->budget->peak_bytes, this->budget->used_bytes);
}

void body_account::count_refusal()
{
    if (this->budget)
    {
        ++this->budget->counts.requests_refused;
    }
}

std::string_view body_account::client() const
{
    return this->budget ? std::string_view(this->state->client->first)
                        : std::string_view();
}

void body_account::set_copy(std::size_t bytes)
{
    if (this->budget)
    {
        this->state->copy = bytes;
    }
}

void body_account::wait_idle(time_point since)
{
    if (this->budget)
    {
        this->state->waiting = body_budget::wait_state::idle;
        this->state->since = since;
    }
}

void body_account::wait_for_request(time_point since)
{
    if (this->budget)
    {
        this->state->waiting = body_budget::wait_state::arriving;
        this->state->since = since;
    }
}

void body_account::end_wait()
{
    if (this->budget)
    {
        this->state->waiting = body_budget::wait_state::none;
    }
}

void body_account::record_progress()
{
    if (this->budget &&
        this->state->waiting == body_budget::wait_state::arriving)
    {
        this->state->since = this->budget->now();
    }
}

} // namespace medlarbarrow::core
