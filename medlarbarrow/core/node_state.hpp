/// State behind core::node; only node.cpp and node_requests.cpp include it.
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

/// Where a request stands.
enum class request_phase
{
    claim,     ///< an order needs the verdict of its owner
    limit,     ///< needs a token of its account
    admission, ///< not yet in the queue of its service
    queued,
    ready,   ///< admitted: may be sent
    running, ///< sent; finished() comes next
    ended,   ///< the newest attempt is over
    crash    ///< waits for the owner's leave to try another server
};

/// Claim of an order at the owner of its identity.
struct claim_state
{
    digest identity;
    wall_time created{};
    core::nonce nonce = 0;
    std::string owner; ///< where the newest claim went
    time_point resend{};
    std::optional<order_verdict> verdict;
    bool granted = false;
    bool reported = false;
};

/// A request in progress.
struct request_state
{
    request_facts facts;
    /// Keeps the document alive that `matched` points into.
    std::shared_ptr<const document> source;
    const route* matched = nullptr;
    std::string account;
    double weight = 1.0;                   ///< in the queue: the account's rate
    std::optional<time_point> token_asked; ///< first call for a token
    time_point deadline{};
    request_phase phase = request_phase::limit;
    std::optional<step_refuse> refusal;
    claim_state claim;
    digest content;
    bool admitted = false; ///< counts as running in the queue
    bool may_have_run = false;
    std::vector<std::string> tried;
    std::string server;
    std::uint32_t attempts = 0;
    std::optional<attempt_result> newest_result;
    time_point sent{};
    work_outcome work = work_outcome::abandoned; ///< of the newest attempt
    std::optional<bool> crash_permitted;
    time_point crash_answer_until{};
};

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
    std::optional<step> judge_claim(request_state& request, instant now);
    std::optional<step>
    enter_queue(request_id id, request_state& request, instant now);
    std::optional<step> wait_in_queue(request_state& request, instant now);
    std::optional<step> send(request_state& request, instant now);
    std::optional<step> after_attempt(request_state& request, instant now);
    std::optional<step> wait_for_crash_owner(request_state& request,
                                             instant now);
    step refuse(const request_state& request,
                result_code code,
                duration retry_after = {}) const;
    step refuse_after_attempt(const request_state& request) const;
    void attempt_finished(request_state& request,
                          const attempt_result& outcome,
                          instant now,
                          outbox& out);
    void report_crash(request_state& request, instant now, outbox& out);
    void report_order(request_state& request,
                      const attempt_result& outcome,
                      outbox& out);
    void release_claim(request_state& request, outbox& out);
    void leave(request_id id, request_state& request, instant now, outbox& out);
    void start_ready(const std::string& service, time_point now);
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
    token_holder tokens;
    order_owner orders;
    crash_owner crashes;
    crash_blocks blocks;
    observation_log observations;
    server_table servers;
    std::map<std::string, std::unique_ptr<detector>> detectors;
    std::map<std::string, admission_queue> queues;
    std::map<std::string, retry_budget> budgets;
    std::vector<detection_event> events;
    std::mt19937_64 random;

    std::shared_ptr<const document> in_force;
    std::optional<route_table> routes;
    std::optional<account_index> accounts;
    std::uint64_t list_version = 0;
    std::vector<std::string> live;
    std::unordered_map<std::string, std::uint64_t> incarnations;
    std::unordered_map<request_id, request_state> requests;
    core::nonce last_nonce = 0;
    request_id last_request = 0;
    time_point next_announcement{};
    time_point next_capacity_update{};
    bool stopping = false;
};

} // namespace medlarbarrow::core
