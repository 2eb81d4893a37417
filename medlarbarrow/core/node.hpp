/// The decision logic of one instance. Daemons and test benches drive it the
/// same way: time, facts and messages go in; steps and messages come out. It
/// holds no socket, clock, thread or log.
#pragma once

#include <medlarbarrow/core/messages.hpp>
#include <medlarbarrow/core/model.hpp>
#include <medlarbarrow/core/result_codes.hpp>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace medlarbarrow::core
{

struct detection_event; // detection.hpp

struct node_settings
{
    instance_id self;
    std::string data_centre;
    std::string region;
    std::uint64_t random_seed = 1;
};

/// What the entry adapter knows of a request once its header is read.
struct request_facts
{
    std::string method;
    std::string host;
    std::string path;                 ///< without the query
    std::optional<key_digest> key;    ///< SHA-256 of the caller's key
    std::string idempotency_key;      ///< empty when absent
    std::uint64_t content_digest = 0; ///< of target and first body bytes
    std::optional<std::chrono::milliseconds> caller_deadline;
};

using request_id = std::uint64_t;

/// Nothing to do until `until` or until the node has received or ticked.
struct step_wait
{
    time_point until{};
};

/// Answer with a refusal. `outcome_unknown` false means: not run.
struct step_refuse
{
    result_code code = result_code::ok;
    bool outcome_unknown = false;
    std::chrono::milliseconds retry_after{0}; ///< 0: say nothing
};

/// Answer with the stored first answer to an order.
struct step_replay
{
    stored_answer answer;
};

/// Send the request to this server now.
struct step_send
{
    std::string service;
    backend_server server;
    std::string via;               ///< peer to forward through; empty: direct
    bool fresh_connection = false; ///< orders: never on a reused connection
    bool keep_answer = false;      ///< orders: pass a small answer to finish()
    time_point deadline{};
    std::uint32_t attempt = 1;
    /// Only the server of this name may run it; another one at the same address
    /// refuses. Empty: whichever answers.
    std::string expected_server{};
};

/// The answer has been passed on; forget the request.
struct step_done
{
};

using step =
    std::variant<step_wait, step_refuse, step_replay, step_send, step_done>;

enum class attempt_end
{
    answered,        ///< complete answer
    not_sent,        ///< no byte of the request reached the server
    refused_not_run, ///< the server said that it did not run it
    closed_early,    ///< connection ended before the answer was complete
    timed_out,
    answered_partly, ///< bytes had already gone to the caller
    caller_gone
};

struct attempt_result
{
    attempt_end end = attempt_end::answered;
    unsigned status = 0; ///< of the answer, 0 without one
    duration latency{};  ///< to the first byte of the answer
    std::optional<stored_answer> answer;
};

/// What `explain` and the status pages show.
struct server_view
{
    std::string service;
    std::string server;
    std::string data_centre;
    std::string state; ///< healthy, ejected, path_cut, draining, held
    std::uint32_t in_flight = 0;
    duration mean_latency{};
    double error_fraction = 0.0;
};

struct node_view
{
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    bool ready = false;
    std::size_t live_instances = 0;
    std::size_t owned_buckets = 0;    ///< buckets it holds any delegation of
    std::size_t majority_buckets = 0; ///< buckets it decides orders of
    std::size_t active_accounts = 0;
    std::size_t order_records = 0;
    std::size_t waiting_requests = 0;
    std::size_t running_requests = 0;
    std::vector<server_view> servers;
};

class node
{
public:
    /// Errors: settings_invalid when the name or data centre is empty.
    static result<node> create(node_settings settings, time_point started);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    ~node();

    /// Puts a newer document in force. Error: document_older; the one in
    /// force stays.
    std::error_code apply_document(std::shared_ptr<const document> next,
                                   instant now);

    /// Takes a newer list. Errors: list_older, list_empty; the one in force
    /// stays.
    std::error_code apply_list(const instance_list& next, instant now);

    /// A peer's message. Errors: peer_older_incarnation.
    result<outbox>
    receive(const instance_id& from, const message& incoming, instant now);

    /// Due work; call at least every 50 ms.
    outbox tick(instant now);

    /// Registers a request whose header is complete.
    request_id begin(const request_facts& facts, instant now);

    /// Next step of the request. After step_refuse, step_replay and step_done
    /// the id is gone. Messages for peers are appended to `out`.
    step next(request_id request, instant now, outbox& out);

    /// Outcome of the attempt of the newest step_send; call next() after it.
    void finished(request_id request,
                  const attempt_result& outcome,
                  instant now,
                  outbox& out);

    /// The caller is gone before an attempt ran; forgets the request.
    void abandon(request_id request, instant now, outbox& out);

    /// Starts the graceful end: hands over what this owner owns. Requests that
    /// still arrive are served; the adapter stops taking connections.
    outbox shut_down(instant now);

    /// Account and route of a request, for logs; empty when unknown.
    std::string account_of(request_id request) const;
    std::string route_of(request_id request) const;

    /// True while a document is in force, the list names this instance as live
    /// (peers grant tokens to listed instances only) and no owner says that it
    /// is cut off from its servers; the balancer is told.
    bool ready(time_point now) const;

    node_view view(time_point now) const;

    /// Decisions of this owner about servers since the last call, for the log.
    std::vector<detection_event> take_detection_events();

private:
    struct state;
    explicit node(std::unique_ptr<state> initial);
    std::unique_ptr<state> self;
};

} // namespace medlarbarrow::core
