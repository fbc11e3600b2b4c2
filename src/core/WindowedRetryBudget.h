#pragma once

/// The gateway's retry budget of one pool: a sliding window, shared by all instances. The daemon's core/RetryCreditBudget.h
/// earns credit by first dispatches.
///
/// Load pattern: a third of the targets fail at once, and every instance would retry. Each instance allows retries in
/// proportion to the requests that it received, so that all instances together stay within the ratio without exchanging
/// messages. The fixed slack is divided by the number of instances.

#include "limpetpond/Clock.h"
#include <deque>

namespace limpetpond {

/// The bounds of a retry budget.
struct WindowedRetryBudgetOptions {
    double ratio { 0.2 }; ///< Retries for each request.
    double slack { 0 }; ///< Additional retries in each window, over all instances.
    Duration window { std::chrono::seconds(10) };
};

/// The requests and retries of one pool in the sliding window.
struct WindowedRetryBudget {
    WindowedRetryBudgetOptions options;
    std::deque<SteadyTime> requests;
    std::deque<SteadyTime> retries;
};

/// Counts a request of the pool.
///
///     recordRequest(budget, now);
///     spendRetry(budget, 4, now);
void recordRequest(WindowedRetryBudget&, SteadyTime now);

/// Whether the budget allows a retry. `instances` is the number of instances that share the slack.
bool hasRetryLeft(WindowedRetryBudget&, int instances, SteadyTime now);

/// Spends one retry of the budget; false when none is left.
///
///     if (!spendRetry(budget, instances, now))
///         answerWithFailure();
bool spendRetry(WindowedRetryBudget&, int instances, SteadyTime now);

} // namespace limpetpond
