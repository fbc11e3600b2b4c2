#pragma once

/// How far a send to a target got, and what may follow from it.
///
/// Load pattern: targets that crash, refuse or lose answers while requests that must not run twice
/// are on their way to them.

#include "core/Guard.h"

namespace limpetpond {

/// How far one send to one target got.
enum class SendProgress {
    NothingWritten, ///< Not one byte of the request left this process.
    Written, ///< Some or all bytes left: the target may have run the request.
    AnsweredNotRun, ///< The target said that it did not and will not run the request.
};

/// What is known of a request that a further send is asked for.
struct RetryInput {
    SendProgress progress { SendProgress::Written };
    bool mayRunAgain { false }; ///< The kind of request allows a second run.
    int targetsSent { 0 }; ///< Targets to which bytes were sent so far.
    int maxTargets { 1 };
};

/// True where the request may be sent to a further target, the retry budget apart.
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

/// What a caller is told in the end where no target's answer can be passed on.
enum class FailureAnswer {
    NotRun, ///< 503: has not run and will not.
    MayHaveRun, ///< 502
    TimedOut, ///< 504: may have run.
};

/// What is known of a request for which no target's answer can be passed on.
struct FailureCase {
    bool mayHaveRun { false }; ///< Some send may have made a target run the request.
    bool timedOut { false };
};

/// What its caller is truthfully told.
///
///     failureAnswer({ .mayHaveRun = false, .timedOut = true }) == FailureAnswer::NotRun;
inline FailureAnswer failureAnswer(const FailureCase& failure)
{
    if (!failure.mayHaveRun || isGuardDisabled(GuardId::RefusalIsTrue))
        return FailureAnswer::NotRun;
    return failure.timedOut ? FailureAnswer::TimedOut : FailureAnswer::MayHaveRun;
}

} // namespace limpetpond
