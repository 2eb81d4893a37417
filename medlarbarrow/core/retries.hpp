/// Retry policy: decides whether a failed attempt is retried on another server.
#pragma once

#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/types.hpp>

namespace medlarbarrow::core
{

/// Maximum number of attempts of one request, including the first.
constexpr std::uint32_t attempt_limit = 3;

/// Retry tokens of one service at one instance. Each first attempt adds
/// `fraction` of a token and each retry takes one. The budget starts empty and
/// is limited to the tokens that the first attempts of the last seconds added.
/// The retries of every instance, and hence of the whole fleet, therefore stay
/// within the fraction of the first attempts.
class retry_budget
{
public:
    explicit retry_budget(double fraction = 0.1);

    void set_fraction(double fraction);
    /// Counts the first attempt of a request and adds its fraction of a token.
    void add_first_attempt(time_point now);

    /// Takes a token; false if none is available.
    bool take_token(time_point now);

    /// Number of available tokens.
    double tokens(time_point now);

private:
    void decay_to(time_point now);

    double fraction = 0.1;
    double available_tokens = 0.0;
    double recent_first_attempts = 0.0; ///< count that decays with time
    time_point updated{};
};

/// Whether a failed attempt is retried, or the reason why not.
enum class retry_decision
{
    retry,
    ask_crash_owner, ///< the owner of the request's digest must permit it first
    not_needed,      ///< the request was answered, or the caller is gone
    not_repeatable,  ///< it may have run and must not run twice
    answer_begun,    ///< part of an answer has been sent to the caller
    no_time,         ///< too little time is left before the deadline
    no_attempts_left,
    no_budget, ///< no retry token is available
};

/// What decide_retry() needs to know about the attempt that ended.
struct retry_context
{
    bool repeatable = false; ///< running the request again does no harm
    attempt_end end = attempt_end::answered;
    std::uint32_t attempt = 1;    ///< number of the attempt that ended
    bool crash_permitted = false; ///< the crash owner has permitted a retry
    time_point deadline{};
    duration typical_latency{}; ///< of the service; zero when unknown
};

/// Decides whether to retry. Takes a token from `budget` only for `retry`.
/// After ask_crash_owner, once the owner has given permission, call it again
/// with `crash_permitted` set.
retry_decision
decide_retry(const retry_context& facts, retry_budget& budget, time_point now);

} // namespace medlarbarrow::core
