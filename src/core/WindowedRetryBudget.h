#pragma once

/// This instance's part of the retry budget that all instances share for each pool.
///
/// Load pattern: a third of the targets fail at once, and every instance would send again. Each instance
/// allows second sends as a ratio of the requests that it saw itself, so the sum over all instances keeps
/// to the ratio without a message; the fixed slack is divided by the number of instances.

#include "limpetpond/Clock.h"
#include <deque>

namespace limpetpond {

struct WindowedRetryBudgetOptions {
    double ratio { 0.2 }; ///< Second sends for each request.
    double slack { 0 }; ///< Second sends in each window besides, over all instances.
    Duration window { std::chrono::seconds(10) };
};

/// Requests and second sends of one pool in the sliding window.
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

/// True where a second send is left in the budget.
bool hasRetryLeft(WindowedRetryBudget&, int instances, SteadyTime now);

/// Takes one second send out of the budget; false where none is left.
///
///     if (!spendRetry(budget, instances, now))
///         answerWithFailure();
bool spendRetry(WindowedRetryBudget&, int instances, SteadyTime now);

} // namespace limpetpond
