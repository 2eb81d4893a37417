/// Private state of core::node; only node.cpp and node_requests.cpp include it.
#pragma once

#include <map>
#include <medlarbarrow/core/accounts.hpp>
#include <medlarbarrow/core/admission.hpp>
#include <medlarbarrow/core/crashes.hpp>
#include <medlarbarrow/core/detection.hpp>
#include <medlarbarrow/core/limits.hpp>
#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/orders.hpp>
#include <medlarbarrow/core/ownership.hpp>
#include <medlarbarrow/core/retries.hpp>
#include <medlarbarrow/core/routes.hpp>
#include <medlarbarrow/core/routing.hpp>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace medlarbarrow::core
{

/// Phase of a request in progress; next_step() advances it.
enum class request_phase
{
    claim,      ///< an order waits for the verdict of its owner
    rate_limit, ///< waits for a token of its account
    admission,  ///< not yet in the queue of its service
    queued,
    ready,         ///< admitted: may be sent
    running,       ///< sent; attempt_finished() is called next
    attempt_ended, ///< the latest attempt has ended
    crash_verdict  ///< waits for permission to try another server
};

/// State of the claim that an order makes at the owner of its identity.
struct claim_state
{
    digest identity;
    wall_time created{};
    core::nonce nonce = 0;
    std::string owner; ///< receiver of the latest claim
    time_point resend_at{};
    std::optional<order_verdict> verdict;
    bool granted = false;
    bool result_sent = false; ///< the owner was told how the claim ended
};

/// A request in progress.
struct request_state
{
    request_facts facts;
    /// Keeps the document alive that `matched_route` points into.
    std::shared_ptr<const document> route_document;
    const route* matched_route = nullptr;
    std::string account;
    double weight = 1.0; ///< queue share: the account's rate
    /// When the request first asked for a token.
    std::optional<time_point> first_token_request;
    time_point deadline{};
    request_phase phase = request_phase::rate_limit;
    std::optional<step_refuse> refusal;
    claim_state claim;
    digest content;        ///< equal for requests with the same content
    bool admitted = false; ///< counts as running in the queue
    bool may_have_run = false;
    std::vector<std::string> tried_servers;
    std::string server;
    std::uint32_t attempts = 0;
    std::optional<attempt_result> last_attempt;
    time_point sent_at{};
    attempt_outcome last_outcome =
        attempt_outcome::abandoned;          ///< of last_attempt
    std::optional<bool> crash_retry_allowed; ///< verdict of the crash owner
    time_point crash_verdict_deadline{};
};

/// Owner and holder roles of this instance, and its requests in progress.
struct node::state
{
    state(node_settings initial, time_point started);

    // Requests (node_requests.cpp).
    std::optional<step_refuse> check_access(request_state& request) const;
    std::optional<step_refuse> check_order_key(request_state& request);
    void begin(request_state& request, instant now);
    step
    advance(request_id id, request_state& request, instant now, outbox& out);
    std::optional<step>
    take_token(request_state& request, instant now, outbox& out);
    std::optional<step>
    claim_order(request_state& request, instant now, outbox& out);
    std::optional<step> apply_claim_verdict(request_state& request,
                                            instant now);
    std::optional<step>
    enter_queue(request_id id, request_state& request, instant now);
    std::optional<step> wait_in_queue(request_state& request, instant now);
    std::optional<step> send(request_state& request, instant now);
    std::optional<step> finish_or_retry(request_state& request, instant now);
    std::optional<step> await_crash_verdict(request_state& request,
                                            instant now);
    step refuse(const request_state& request,
                result_code code,
                duration retry_after = {}) const;
    step refuse_failed_attempt(const request_state& request) const;
    void record_attempt(request_state& request,
                        const attempt_result& outcome,
                        instant now,
                        outbox& out);
    void report_crash(request_state& request, instant now, outbox& out);
    void report_order_result(request_state& request,
                             const attempt_result& outcome,
                             outbox& out);
    void release_claim(request_state& request, outbox& out);
    void release_resources(request_id id,
                           request_state& request,
                           instant now,
                           outbox& out);
    void dispatch_queue(const std::string& service, time_point now);
    admission_queue& queue_of(const std::string& service);

    // Messages and time (node.cpp).
    void receive(const instance_id& from,
                 const message& incoming,
                 instant now,
                 outbox& out);
    void deliver_local(outbox& out, instant now);
    void update_detectors(time_point now);
    void update_capacities(time_point now);
    void announce_blocks(time_point now, outbox& out);

    node_settings settings;
    ownership owners;
    limit_owner limits;
    entry_limiter tokens;
    order_owner orders;
    crash_owner crashes;
    crash_blocks blocks;
    observation_log observations;
    server_table servers;
    std::map<std::string, std::unique_ptr<detector>> detectors;
    std::map<std::string, admission_queue> queues;
    std::map<std::string, retry_budget> retry_budgets;
    std::vector<detection_event> detection_events;
    std::mt19937_64 random;

    std::shared_ptr<const document> active_document;
    std::optional<route_table> routes;
    std::optional<account_index> accounts;
    std::uint64_t list_version = 0;
    std::vector<std::string> live_instances;
    std::unordered_map<std::string, std::uint64_t> incarnations;
    std::unordered_map<request_id, request_state> requests;
    core::nonce last_nonce = 0;
    request_id last_request = 0;
    time_point next_announcement{};
    time_point next_capacity_update{};
    bool stopping = false;
};

} // namespace medlarbarrow::core
