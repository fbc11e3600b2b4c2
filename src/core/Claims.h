#pragma once

/// At-most-once claims of non-idempotent calls, as a state machine for each request.
///
/// Before a call with an idempotency key is dispatched, it must own a row in the table service. The row is written under
/// a condition and never taken over: only the attempt that the row names may dispatch, once. "Not run" is answered only
/// after the row is known to be in state Closed, so that no earlier attempt of the key can run. When the store doesn't
/// answer in time, the caller receives "unknown", and the claim is closed in the background. See docs/design/claims.md.
///
/// The functions append actions (claim writes and reads, the final answer) to `out`; the caller passes each
/// `ClaimAnswered` to `handleClaimAnswered`. At most one store operation is outstanding for a request.
/// `ClaimRow::expiresAt` stays 0: the adapter sets it from its system clock and the retention.

#include "core/Messages.h"
#include <chrono>
#include <optional>

namespace limpetpond {

/// Time limits and bounds of claims. `dispatchWindow` must be far shorter than the retention of the rows.
struct ClaimOptions {
    Duration storeTimeout { std::chrono::seconds(3) }; ///< From the start to a confirmed claim, or from giving up to a confirmed close.
    Duration dispatchWindow { std::chrono::minutes(5) }; ///< From the start to the last moment of a dispatch.
    Duration attachTimeout { std::chrono::seconds(20) }; ///< Time that a second request with the key waits for the first one's answer.
    Duration firstDelay { std::chrono::milliseconds(50) }; ///< Delay before the first repetition of a store operation or poll.
    Duration maxDelay { std::chrono::seconds(2) }; ///< Upper bound of the delay, which doubles with each repetition.
    int maxNotSentWrites { 2 }; ///< Claim writes known to have had no effect, after which the store counts as unavailable.
    Duration maxBackgroundDelay { std::chrono::seconds(60) }; ///< Upper bound of the delay after the caller was answered.
    int maxBackgroundFailures { 80 }; ///< Operations without a usable answer, after which the row is left unchanged.
    ByteCount maxStoredAnswer { 256L * 1024 }; ///< A larger answer is recorded as completed, without its content.
};

/// The phase of a request's claim.
enum class ClaimPhase {
    Claiming, ///< The claim write, or the read that follows a lost answer, is outstanding.
    Attached, ///< Another attempt owns the key; this one waits for its answer.
    Owned, ///< The row names this attempt; it may dispatch.
    Dispatched, ///< The request was passed to a traffic thread.
    Closing, ///< The request was given up; the key is being closed.
    Recording, ///< The dispatch ended and the caller was answered; the result is being written to the row.
    Ended, ///< Nothing is left to do.
};

/// What the caller of a function below has to do next.
enum class ClaimVerdict {
    Pending, ///< Wait for the store or the next tick.
    MayDispatch, ///< The claim succeeded; queue or dispatch the request.
    Answered, ///< The final answer was appended to the actions.
};

/// The claim of one request. Changed only by the functions below.
struct ClaimProgress {
    RequestId request;
    ClaimRow row; ///< The row that this attempt writes.
    std::uint64_t retryToken { 0 };
    ClaimPhase phase { ClaimPhase::Claiming };
    bool isAnswered { false }; ///< The caller received the final answer.
    bool isGivenUp { false }; ///< The request is to end as not run if the key can be closed.
    bool mayHaveWritten { false }; ///< A write of this attempt may have taken effect, or may still do so.
    bool isOperationOutstanding { false };
    bool isReadNext { false }; ///< The next operation reads the row.
    Reason giveUpReason { Reason::None };
    std::optional<std::chrono::seconds> retryAfter;
    SteadyTime startedAt;
    SteadyTime answerBefore; ///< The caller is answered with "unknown" at this time at the latest.
    std::optional<SteadyTime> nextOperationAt; ///< When a repetition or a poll is due.
    int failures { 0 }; ///< Operations without a usable answer, or polls, in this phase.
    ClaimState writtenState { ClaimState::Claimed }; ///< State of the row in the outstanding write.
};

/// Starts the claim of a request with its first claim write, under the condition Absent, or ClosedAtGeneration when the
/// caller sent a retry token.
///
///     ClaimProgress claim = startClaim(arrived, attempt, self, options, now, out);
///     claims.emplace(arrived.request, claim);
ClaimProgress startClaim(const RequestArrived&, AttemptId, InstanceId owner, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Like `startClaim`, for a request that is rejected at once: closes the key without claiming it first, and answers
/// "not run" for `reason` when that succeeds.
///
///     ClaimProgress claim = startClosingClaim(arrived, attempt, self, Reason::Overloaded, retryAfter, options, now, out);
ClaimProgress startClosingClaim(const RequestArrived&, AttemptId, InstanceId owner, Reason, std::optional<std::chrono::seconds> retryAfter,
    const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Handles the result of a store operation of this attempt; results of other attempts are ignored.
///
///     if (handleClaimAnswered(claim, answered, options, now, out) == ClaimVerdict::MayDispatch)
///         enqueue(request);
ClaimVerdict handleClaimAnswered(ClaimProgress&, const ClaimAnswered&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Repeats due operations and stops waiting for the store after its timeout. To be called at each tick.
///
///     tickClaim(claim, options, now, out);
///     if (isClaimEnded(claim)) claims.erase(request);
ClaimVerdict tickClaim(ClaimProgress&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Whether the request may be passed to a traffic thread at `now`.
///
///     if (mayDispatchClaim(claim, options, now)) { markClaimDispatched(claim); out.push_back(dispatch); }
bool mayDispatchClaim(const ClaimProgress&, const ClaimOptions&, SteadyTime now);

/// The latest time of a dispatch, an upper bound for `Dispatch::notAfter`.
SteadyTime claimDispatchBefore(const ClaimProgress&, const ClaimOptions&);

/// Records that the request was passed to a traffic thread.
void markClaimDispatched(ClaimProgress&);

/// Handles the end of the dispatch. After NotStarted the request may be dispatched again (MayDispatch), or the key is
/// closed if the request was given up meanwhile. After any other end, the caller is answered and the row records the end.
///
///     handleClaimDispatchEnded(claim, ended, options, now, out);
ClaimVerdict handleClaimDispatchEnded(ClaimProgress&, const DispatchEnded&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Gives up a request: closes the key if this attempt owns it or may still come to own it, and answers "not run" once
/// that succeeds. A dispatched request continues to its end, since it can't be recalled.
///
///     giveUpClaim(claim, Reason::Overloaded, std::chrono::seconds(3), options, now, out);
ClaimVerdict giveUpClaim(ClaimProgress&, Reason, std::optional<std::chrono::seconds> retryAfter, const ClaimOptions&, SteadyTime now,
    ControlActions& out);

/// Whether nothing is left to do, so that the progress can be erased.
bool isClaimEnded(const ClaimProgress&);

/// When `tickClaim` has work to do next; none while the claim waits for an event.
std::optional<SteadyTime> nextClaimTick(const ClaimProgress&);

} // namespace limpetpond
