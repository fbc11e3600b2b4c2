#pragma once

/// The budget of second dispatches and the times at which callers are asked to come back.

#include "limpetpond/Clock.h"
#include <chrono>

namespace limpetpond {

/// Second dispatches are paid for by first ones, so that retries can't multiply a load.
struct RetryCreditBudget {
    double credit { 1 }; ///< Second dispatches that may be made now.
    double share { 0.1 }; ///< Credit that a first dispatch adds.
};

/// Adds the credit of a first dispatch.
///
///     earnRetryCredit(budget);
///     if (spendRetryCredit(budget)) dispatchAgain();
void earnRetryCredit(RetryCreditBudget&);

/// Takes one second dispatch out of the budget; false where none is left.
///
///     if (!spendRetryCredit(budget))
///         answer(Reason::TargetFailed);
bool spendRetryCredit(RetryCreditBudget&);

/// Gives each caller that is turned away its own time to come back, one service time after
/// the last one's, so that a crowd doesn't return as one burst.
struct RetryAfterSchedule {
    double completionsPerSecond { 1 }; ///< Learned, of this instance.
    SteadyTime lastCompletion;
    SteadyTime lastRetryAt; ///< The time given to the last caller.
    std::uint64_t random { 1 }; ///< State of the generator that spreads callers past the longest wait.
};

/// Learns the rate at which requests are completed.
///
///     recordCompletion(schedule, now);
///     schedule.completionsPerSecond;
void recordCompletion(RetryAfterSchedule&, SteadyTime now);

/// The time after which the next caller that is turned away should come back, when `waiting` requests stand before it.
///
///     shed.retryAfter = nextRetryAfter(schedule, queue.waiting, now);
///     shed.retryAfter >= std::chrono::seconds(1);
std::chrono::seconds nextRetryAfter(RetryAfterSchedule&, int waiting, SteadyTime now);

} // namespace limpetpond
