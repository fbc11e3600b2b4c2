#pragma once

/// The progress of a send to a target, whether a retry is allowed, and what is reported to the caller after a failure.
///
/// Load pattern: targets crash, reject requests or lose answers while requests that must not run twice are in flight.
/// Such a request is retried only when it is certain that no target has run it.

#include "core/Guard.h"

namespace limpetpond {

/// The progress of one send to one target.
enum class SendProgress {
    NothingWritten, ///< No byte of the request was written to the connection.
    Written, ///< Some or all bytes were written; the target may have run the request.
    AnsweredNotRun, ///< The target answered that it has not run the request and won't.
};

/// What a retry of a request depends on.
struct RetryInput {
    SendProgress progress { SendProgress::Written };
    bool mayRunAgain { false }; ///< A request of this kind may run more than once.
    int targetsSent { 0 }; ///< Targets to which bytes were sent so far.
    int maxTargets { 1 };
};

/// Whether the request may be sent to a further target. The retry budget is checked separately.
///
///     mayRetry({ .progress = SendProgress::Written, .mayRunAgain = false }) == false;
inline bool mayRetry(const RetryInput& input)
{
    if (input.progress == SendProgress::NothingWritten)
        return input.targetsSent < input.maxTargets;
    if (input.targetsSent >= input.maxTargets)
        return false;
    return input.mayRunAgain || input.progress == SendProgress::AnsweredNotRun || isGuardDisabled(GuardId::WorkRunsOnce);
}

/// How often a request may return to targets that had it before. A target that refuses again and again is full.
inline constexpr int maxReturns = 3;

/// What a return of a request to a target that had it before depends on.
struct ReturnToTargetInput {
    SendProgress progress { SendProgress::Written }; ///< Of the last send.
    bool mayRunAgain { false }; ///< A request of this kind may run more than once.
    bool mayHaveRun { false }; ///< A target may have begun it before the last send.
    int returns { 0 }; ///< So far.
};

/// Whether a request for which no further target is allowed may return to one that was tried before. Its attempt there was
/// given up or lost, and the next target refused it or couldn't be reached; that must not end the request.
///
///     mayReturn({ .progress = SendProgress::AnsweredNotRun, .mayRunAgain = true, .mayHaveRun = true }) == true;
inline bool mayReturn(const ReturnToTargetInput& input)
{
    return input.progress != SendProgress::Written && input.mayRunAgain && input.mayHaveRun && input.returns < maxReturns;
}

/// The final answer to a caller when no target's answer can be passed on.
enum class FailureAnswer {
    NotRun, ///< 503: the request has not run and won't.
    MayHaveRun, ///< 502: the request may have run.
    TimedOut, ///< 504: the request timed out and may have run.
};

/// What the final answer to a failed request depends on.
struct FailureCase {
    bool mayHaveRun { false }; ///< A target may have run the request.
    bool timedOut { false };
};

/// The final answer to the caller of a failed request.
///
///     failureAnswer({ .mayHaveRun = false, .timedOut = true }) == FailureAnswer::NotRun;
inline FailureAnswer failureAnswer(const FailureCase& failure)
{
    if (!failure.mayHaveRun || isGuardDisabled(GuardId::RefusalIsTrue))
        return FailureAnswer::NotRun;
    return failure.timedOut ? FailureAnswer::TimedOut : FailureAnswer::MayHaveRun;
}

} // namespace limpetpond
