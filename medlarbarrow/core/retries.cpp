#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/retries.hpp>

namespace medlarbarrow::core
{

namespace
{

/// Counted first attempts lose 63% of their weight in this time, so that saved
/// tokens don't allow a burst of retries after a quiet hour.
constexpr double first_attempt_age_seconds = 10.0;

/// Minimum time that an attempt is assumed to need, also while the service's
/// latency is unknown.
constexpr duration min_attempt_time = std::chrono::milliseconds(1);

double seconds(duration value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

retry_budget::retry_budget(double retry_fraction) : fraction(retry_fraction) {}

void retry_budget::set_fraction(double retry_fraction)
{
    this->fraction = std::max(0.0, retry_fraction);
}

void retry_budget::add_first_attempt(time_point now)
{
    this->decay_to(now);
    this->recent_first_attempts += 1.0;
    this->available_tokens =
        std::min(this->available_tokens + this->fraction,
                 this->fraction * this->recent_first_attempts);
}

bool retry_budget::take_token(time_point now)
{
    this->decay_to(now);
    if (this->available_tokens < 1.0)
    {
        return false;
    }
    this->available_tokens -= 1.0;
    return true;
}

double retry_budget::tokens(time_point now)
{
    this->decay_to(now);
    return this->available_tokens;
}

void retry_budget::decay_to(time_point now)
{
    const double elapsed = std::max(0.0, seconds(now - this->updated));
    this->recent_first_attempts *=
        std::exp(-elapsed / first_attempt_age_seconds);
    this->available_tokens = std::min(
        this->available_tokens, this->fraction * this->recent_first_attempts);
    this->updated = std::max(this->updated, now);
}

// Checks without side effects come first. The crash owner is asked only if a
// token is available, and the token is taken last.
retry_decision
decide_retry(const retry_context& facts, retry_budget& budget, time_point now)
{
    if (facts.end == attempt_end::answered ||
        facts.end == attempt_end::caller_gone)
    {
        return retry_decision::not_needed;
    }
    if (facts.end == attempt_end::answer_cut_off)
    {
        return retry_decision::answer_begun;
    }
    // The rest of the body would be lacking again.
    if (!facts.repeatable || facts.end == attempt_end::body_stalled)
    {
        return retry_decision::not_repeatable;
    }
    if (facts.attempt >= attempt_limit)
    {
        return retry_decision::no_attempts_left;
    }
    if (now + std::max(facts.typical_latency, min_attempt_time) >
        facts.deadline)
    {
        return retry_decision::no_time;
    }
    if (budget.tokens(now) < 1.0)
    {
        return retry_decision::no_budget;
    }
    if (facts.end == attempt_end::closed_early && !facts.crash_permitted)
    {
        return retry_decision::ask_crash_owner;
    }
    return budget.take_token(now) ? retry_decision::retry
                                  : retry_decision::no_budget;
}

} // namespace medlarbarrow::core
