/// Decision whether a failed attempt is tried again on another server.
#pragma once

#include <medlarbarrow/core/node.hpp>
#include <medlarbarrow/core/types.hpp>

namespace medlarbarrow::core
{

/// Attempts of one request, the first one included.
constexpr std::uint32_t attempt_limit = 3;

/// Tokens for retries of one service on one instance. Each first attempt adds
/// `fraction` of a token and each retry takes one. The budget starts empty and
/// holds at most what the last seconds added, so that the retries of every
/// instance, and hence of the fleet, stay within the fraction.
class retry_budget
{
public:
    explicit retry_budget(double fraction = 0.1);

    void set_fraction(double fraction);
    void first_attempt(time_point now);

    /// Takes a token; false when there is none.
    bool take(time_point now);

    double tokens(time_point now);

private:
    void decay_to(time_point now);

    double fraction = 0.1;
    double held = 0.0;
    double recent_attempts = 0.0;
    time_point updated{};
};

enum class retry_decision
{
    retry,
    ask_crash_owner, ///< the owner of the request's digest must permit it first
    not_needed,      ///< it was answered, or the caller is gone
    not_repeatable,
    answer_begun, ///< bytes of an answer have gone to the caller
    no_time,
    no_attempts_left,
    no_budget,
};

struct retry_facts
{
    bool repeatable = false;
    attempt_end end = attempt_end::answered;
    std::uint32_t attempt = 1;    ///< number of the attempt that ended
    bool crash_permitted = false; ///< the owner has permitted another server
    time_point deadline{};
    duration typical_latency{}; ///< of the service; zero when unknown
};

/// Decides, and takes a token from `budget` only for `retry`. After
/// ask_crash_owner the caller asks again with `crash_permitted` set.
retry_decision
decide_retry(const retry_facts& facts, retry_budget& budget, time_point now);

} // namespace medlarbarrow::core
