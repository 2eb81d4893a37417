#include <algorithm>
#include <cmath>
#include <medlarbarrow/core/retries.hpp>

namespace medlarbarrow::core
{

namespace
{

/// First attempts lose 63% of their weight in this time, so that a quiet hour
/// doesn't save tokens for a burst of retries.
constexpr double attempts_age_seconds = 10.0;

/// Assumed time of an attempt while the service's latency is unknown.
constexpr duration least_attempt_time = std::chrono::milliseconds(1);

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

void retry_budget::first_attempt(time_point now)
{
    this->decay_to(now);
    this->recent_attempts += 1.0;
    this->held = std::min(this->held + this->fraction,
                          this->fraction * this->recent_attempts);
}

bool retry_budget::take(time_point now)
{
    this->decay_to(now);
    if (this->held < 1.0)
    {
        return false;
    }
    this->held -= 1.0;
    return true;
}

double retry_budget::tokens(time_point now)
{
    this->decay_to(now);
    return this->held;
}

void retry_budget::decay_to(time_point now)
{
    const double elapsed = std::max(0.0, seconds(now - this->updated));
    this->recent_attempts *= std::exp(-elapsed / attempts_age_seconds);
    this->held = std::min(this->held, this->fraction * this->recent_attempts);
    this->updated = std::max(this->updated, now);
}

// The checks that cost nothing come first; the owner is asked only if a token
// is there, and the token is taken last.
retry_decision
decide_retry(const retry_facts& facts, retry_budget& budget, time_point now)
{
    if (facts.end == attempt_end::answered ||
        facts.end == attempt_end::caller_gone)
    {
        return retry_decision::not_needed;
    }
    if (facts.end == attempt_end::answered_partly)
    {
        return retry_decision::answer_begun;
    }
    if (!facts.repeatable)
    {
        return retry_decision::not_repeatable;
    }
    if (facts.attempt >= attempt_limit)
    {
        return retry_decision::no_attempts_left;
    }
    if (now + std::max(facts.typical_latency, least_attempt_time) >
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
    return budget.take(now) ? retry_decision::retry : retry_decision::no_budget;
}

} // namespace medlarbarrow::core
