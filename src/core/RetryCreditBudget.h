#pragma once

/// The daemon's retry budget and the Retry-After times of rejected requests.
///
/// Load pattern: failing targets and overload make the daemon and its callers retry, which adds to the load.
/// The budget bounds retries to a share of the first dispatches, and the Retry-After times spread the callers'
/// retries at the rate at which requests complete.

#include "limpetpond/Clock.h"
#include <chrono>

namespace limpetpond {

/// Retry budget of one pool at one instance: first dispatches earn credit and each retry spends 1, so that retries
/// can't multiply the load. The gateway's `WindowedRetryBudget` counts over a sliding window and is shared by all instances.
struct RetryCreditBudget {
    double credit { 1 }; ///< Retries that may be made now.
    double share { 0.1 }; ///< Credit that each first dispatch adds.
};

/// Adds the credit of one first dispatch, up to a maximum.
///
///     earnRetryCredit(budget);
///     if (spendRetryCredit(budget)) retry();
void earnRetryCredit(RetryCreditBudget&);

/// Spends the credit for one retry; false if there is not enough.
///
///     if (!spendRetryCredit(budget))
///         answer(Reason::TargetFailed);
bool spendRetryCredit(RetryCreditBudget&);

/// Assigns Retry-After times to rejected requests: each is one service time later than the previous one,
/// so that many callers that were rejected at once don't retry in one burst.
struct RetryAfterSchedule {
    double completionsPerSecond { 1 }; ///< Moving average, for this instance.
    SteadyTime lastCompletion;
    SteadyTime lastRetryAt; ///< The retry time assigned last.
    std::uint64_t random { 1 }; ///< State of the generator that spreads the retries past the maximum.
};

/// Updates the completion rate with a request that completed now.
///
///     recordCompletion(schedule, now);
///     schedule.completionsPerSecond;
void recordCompletion(RetryAfterSchedule&, SteadyTime now);

/// The Retry-After time of the next rejected request, when `waiting` requests are queued; at least 1 s, at most 60 s.
///
///     shed.retryAfter = nextRetryAfter(schedule, queue.waiting, now);
///     shed.retryAfter >= std::chrono::seconds(1);
std::chrono::seconds nextRetryAfter(RetryAfterSchedule&, int waiting, SteadyTime now);

} // namespace limpetpond
