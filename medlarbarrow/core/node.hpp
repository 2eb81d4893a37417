/// Decision logic of one instance, without sockets, clocks, threads or logs.
/// Daemons and test benches drive it the same way: they pass in the time,
/// request data and peer messages, carry out the steps it returns and send the
/// messages it returns.
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

/// Data of a request that is available once its header has been read.
struct request_facts
{
    std::string method;
    std::string host;
    std::string path;                 ///< without the query
    std::optional<key_digest> key;    ///< SHA-256 of the caller's key
    std::string idempotency_key;      ///< empty when absent
    std::uint64_t content_digest = 0; ///< of target and first body bytes
    std::optional<std::chrono::milliseconds> caller_deadline;
    bool body_arriving = false; ///< the whole body is not here yet
};

using request_id = std::uint64_t;

/// Call next_step() again at `until`, or earlier after receive() or tick().
struct step_wait
{
    time_point until{};
};

/// Refuse the request. `outcome_unknown` is false when it was certainly not
/// run.
struct step_refuse
{
    result_code code = result_code::ok;
    bool outcome_unknown = false;
    std::chrono::milliseconds retry_after{0}; ///< 0: no Retry-After
};

/// Answer with the stored first answer to the same order.
struct step_replay
{
    stored_answer answer;
};

/// Send the request to this server now.
struct step_send
{
    std::string service;
    backend_server server;
    std::string via;               ///< peer that forwards it; empty: direct
    bool fresh_connection = false; ///< orders: no reused connection
    /// Orders: pass a small answer to attempt_finished().
    bool keep_answer = false;
    time_point deadline{};
    std::uint32_t attempt = 1;
    /// Name of the only server that may run the request; a different server at
    /// the same address refuses it. Empty: any server may run it.
    std::string expected_server{};
    /// Start of the server's run in Unix milliseconds; 0: unknown. The request
    /// uses no connection that was opened to another run at the same address.
    std::uint64_t server_started = 0;
};

/// The request has ended and needs no refusal: its answer has been forwarded or
/// its caller has gone.
struct step_done
{
};

using step =
    std::variant<step_wait, step_refuse, step_replay, step_send, step_done>;

enum class attempt_end
{
    answered,        ///< complete answer
    not_sent,        ///< no byte of the request reached the server
    refused_not_run, ///< the server stated that it did not run it
    closed_early,    ///< connection ended before the answer was complete
    timed_out,
    answer_cut_off, ///< ended after bytes had gone to the caller
    caller_gone,
    body_stalled ///< the rest of the caller's body did not arrive in time
};

/// Outcome of sending a request to one server.
struct attempt_result
{
    attempt_end end = attempt_end::answered;
    unsigned status = 0; ///< HTTP status; 0 without an answer
    duration latency{};  ///< to the first byte of the answer
    std::optional<stored_answer> answer;
    bool leaving = false; ///< the server stated that it leaves
    /// For how long a server that refused the request as not run wants nothing
    /// from this instance.
    std::optional<duration> retry_after{};
    /// Age of the connection at the end if the server lived then, see send_end;
    /// zero otherwise.
    duration connection_age{};
    /// Not sent, because the caller's side withheld the request from the
    /// server; says nothing about the server.
    bool withheld = false;
};

/// State of one server for `explain` and the status pages.
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

/// State of the instance for the status pages and metrics.
struct node_view
{
    std::uint64_t document_version = 0;
    std::uint64_t list_version = 0;
    /// Era of the source in which the version counts; 0 if it states none.
    std::uint64_t list_era = 0;
    bool ready = false;
    std::size_t live_instances = 0;
    std::size_t owned_buckets = 0;    ///< with at least one delegation held
    std::size_t majority_buckets = 0; ///< whose orders it decides
    std::size_t active_accounts = 0;
    std::size_t order_records = 0;
    std::size_t waiting_requests = 0;
    std::size_t running_requests = 0;
    std::vector<server_view> servers;
};

/// One instance's part in routing, admission, limits, orders and failure
/// detection. A request goes through begin_request(), then next_step() and
/// attempt_finished() until it ends.
class node
{
public:
    /// Error: settings_invalid when the name or data centre is empty.
    static result<node> create(node_settings settings, time_point started);

    node(node&&) noexcept;
    node& operator=(node&&) noexcept;
    ~node();

    /// Replaces the active document by a newer one. Error: document_older; the
    /// active document is kept.
    std::error_code apply_document(std::shared_ptr<const document> newer,
                                   instant now);

    /// Replaces the instance list by a newer one. Errors: list_older,
    /// list_empty; the current list is kept.
    std::error_code apply_list(const instance_list& newer, instant now);

    /// Handles a peer's message and returns the replies. Error:
    /// peer_older_incarnation.
    result<outbox>
    receive(const instance_id& from, const message& incoming, instant now);

    /// Does all work that is due; call at least every 50 ms.
    outbox tick(instant now);

    /// Registers a request whose header is complete.
    request_id begin_request(const request_facts& facts, instant now);

    /// Returns the next step of the request. After step_refuse, step_replay and
    /// step_done the id is no longer valid. Appends messages for peers to
    /// `out`.
    step next_step(request_id request, instant now, outbox& out);

    /// Records the outcome of the latest step_send; call next_step()
    /// afterwards.
    void attempt_finished(request_id request,
                          const attempt_result& outcome,
                          instant now,
                          outbox& out);

    /// Drops a request whose caller has gone before the request ended.
    void abandon(request_id request, instant now, outbox& out);

    /// Starts the graceful shutdown: hands the buckets of this owner over.
    /// Requests that still arrive are served; the network layer stops accepting
    /// connections.
    outbox shut_down(instant now);

    /// Account and route of a request, for logs; empty when there is none.
    std::string account_of(request_id request) const;
    std::string route_of(request_id request) const;

    /// Readiness reported to the load balancer. True while a document is
    /// active, the list names this instance as live (peers grant tokens only to
    /// listed instances), no service owner reports that it is cut off from its
    /// servers, and it is not shutting down.
    bool ready(time_point now) const;

    node_view view(time_point now) const;

    /// Returns and clears the detection events of the services that this
    /// instance owns, for the log.
    std::vector<detection_event> take_detection_events();

private:
    struct state;
    explicit node(std::unique_ptr<state> initial);
    std::unique_ptr<state> impl;
};

} // namespace medlarbarrow::core
