/// Calls of one instance to the owners of accounts: asks them to admit requests
/// under the accounts' limits. A call may be lost, so it is repeated; if the
/// owner does not answer, this instance decides with its own share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <medlarbarrow/core/fleet_messages.hpp>
#include <memory>
#include <optional>

namespace medlarbarrow::net
{

struct admit_call_counters
{
    std::uint64_t owners_passed_over = 0;
    std::uint64_t local_decisions = 0; ///< decided here as no owner answered
};

class admit_calls
{
public:
    using admit_handler = std::function<void(const core::quota_answer&)>;
    using message_sender = std::function<void(core::instance_address recipient,
                                              const core::fleet_message&)>;

    /// Parts of the instance that the calls use. They must outlive this object.
    struct environment
    {
        boost::asio::io_context& io;
        core::membership& members;
        core::instance_address own_address = 0;
        /// Limit of an account in the document in force; empty if the account
        /// is unknown.
        std::function<std::optional<core::quota_limit>(const std::string&)>
            account_limit;
        message_sender send;
    };

    explicit admit_calls(environment parts);

    /// Asks the account's owner to admit one request. The handler is called
    /// once, possibly before admit() returns.
    void admit(const std::string& account, admit_handler handler);

    /// Decides as the owner of an account and answers the caller.
    void on_call(core::instance_address sender,
                 const core::admit_call& message);
    void on_reply(core::instance_address sender,
                  const core::admit_reply& message);

    /// Ends all calls without an answer.
    void close();

    const admit_call_counters& counters() const noexcept
    {
        return this->counts;
    }

private:
    /// An admission that waits for the answer of the account's owner.
    struct call_state
    {
        std::string account;
        admit_handler handler;
        core::instance_address owner = 0;
        unsigned unanswered_calls = 0;
        std::unique_ptr<boost::asio::steady_timer> timer;
    };

    void call_owner(std::uint64_t number);
    void finish(std::uint64_t number, const core::quota_answer& answer);
    core::quota_answer decide(const std::string& account, double share);

    environment parts;
    core::time_point started;
    core::quota_owner quotas;
    std::uint64_t last_number = 0;
    std::map<std::uint64_t, call_state> calls;
    admit_call_counters counts;
};

} // namespace medlarbarrow::net
