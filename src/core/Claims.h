#pragma once

/// At-most-once claims of non-idempotent calls, as a state machine for each request.
///
/// A call with an idempotency key owns a row in the table service before it is dispatched.
/// The row is written under a condition and never taken over: only the attempt that the row
/// names may dispatch, once. "Not run" is answered only after the row is known to be in state
/// Closed, so that no earlier attempt of the key can run. A claim that was given up goes on being
/// closed in the background after its caller was answered as unknown. See docs/design/claims.md.
///
/// The functions append actions (claim writes and reads, the final answer) to `out`; the caller
/// hands each `ClaimAnswered` back. At most one store operation is outstanding for a request.
/// `ClaimRow::expiresAt` is left at 0: the adapter adds the retention to its system clock.

#include "core/Messages.h"
#include <chrono>
#include <optional>

namespace limpetpond {

/// The bounds of claims. `dispatchWindow` must be far shorter than the retention of the rows.
struct ClaimOptions {
    Duration storeTimeout { std::chrono::seconds(3) }; ///< From the start to a known claim, or from giving up to a known close.
    Duration dispatchWindow { std::chrono::minutes(5) }; ///< From the start to the last moment of a dispatch.
    Duration attachTimeout { std::chrono::seconds(20) }; ///< How long a second arrival waits for the first one's answer.
    Duration firstDelay { std::chrono::milliseconds(50) }; ///< Before the first repetition of a store operation or poll.
    Duration maxDelay { std::chrono::seconds(2) }; ///< The delay doubles up to this.
    int maxNotSentWrites { 2 }; ///< Claim writes that provably had no effect before the store counts as unavailable.
    Duration maxBackgroundDelay { std::chrono::seconds(60) }; ///< The same once the caller was answered.
    int maxBackgroundFailures { 80 }; ///< Operations without a usable answer after which the row is left as it stands.
    ByteCount maxStoredAnswer { 256L * 1024 }; ///< A larger answer is recorded as completed but not kept.
};

enum class ClaimPhase {
    Claiming, ///< The claim write, or the read that follows a lost answer, is outstanding.
    Attached, ///< Another attempt owns the key: waits for its answer.
    Owned, ///< The row names this attempt; it may dispatch.
    Dispatched, ///< Handed to a traffic thread.
    Closing, ///< Gave up: the key is being closed.
    Recording, ///< The dispatch ended and the caller was answered; the end is being written into the row.
    Ended,
};

/// What the owner of the progress has to do now.
enum class ClaimVerdict {
    Pending, ///< Nothing: wait for the store or the next tick.
    MayDispatch, ///< The claim is won: queue or dispatch the request.
    Answered, ///< The final answer was appended to the actions.
};

/// The claim of one request. Plain data; changed only by the functions below.
struct ClaimProgress {
    RequestId request;
    ClaimRow row; ///< What this attempt writes.
    std::uint64_t retryToken { 0 };
    ClaimPhase phase { ClaimPhase::Claiming };
    bool isAnswered { false }; ///< The final answer was given.
    bool isGivenUp { false }; ///< The request is to end as not run if that can be won.
    bool mayHaveWritten { false }; ///< A write of this attempt may have taken or may yet take effect.
    bool isOperationOutstanding { false };
    bool isReadNext { false }; ///< The next operation reads the row back.
    Reason giveUpReason { Reason::None };
    std::optional<std::chrono::seconds> retryAfter;
    SteadyTime startedAt;
    SteadyTime answerBefore; ///< The caller is answered as unknown at the latest then.
    std::optional<SteadyTime> nextOperationAt; ///< A repetition or a poll is due then.
    int failures { 0 }; ///< Operations without a usable answer, or polls, in this phase.
    ClaimState writtenState { ClaimState::Claimed }; ///< Of the row in the outstanding write.
};

/// Makes the progress of a request and asks for its first claim write: under the condition Absent, or
/// ClosedAtGeneration when the caller gave a retry token.
///
///     ClaimProgress claim = startClaim(arrived, attempt, self, options, now, out);
///     claims.emplace(arrived.request, claim);
ClaimProgress startClaim(const RequestArrived&, AttemptId, InstanceId owner, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Like `startClaim`, for a request that is refused at once: closes the key without claiming it first,
/// and answers "not run" for `reason` when that is won.
///
///     ClaimProgress claim = startClosingClaim(arrived, attempt, self, Reason::Overloaded, retryAfter, options, now, out);
ClaimProgress startClosingClaim(const RequestArrived&, AttemptId, InstanceId owner, Reason, std::optional<std::chrono::seconds> retryAfter,
    const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Takes in the end of a store operation of this attempt; others are ignored.
///
///     if (handleClaimAnswered(claim, answered, options, now, out) == ClaimVerdict::MayDispatch)
///         enqueue(request);
ClaimVerdict handleClaimAnswered(ClaimProgress&, const ClaimAnswered&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Repeats due operations and gives up on the store when the time is over. Call it at each tick.
///
///     tickClaim(claim, options, now, out);
///     if (isClaimEnded(claim)) claims.erase(request);
ClaimVerdict tickClaim(ClaimProgress&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Whether the request may be handed to a traffic thread at `now`.
///
///     if (mayDispatchClaim(claim, options, now)) { markClaimDispatched(claim); out.push_back(dispatch); }
bool mayDispatchClaim(const ClaimProgress&, const ClaimOptions&, SteadyTime now);

/// The latest moment of a dispatch; the owner bounds `Dispatch::notAfter` by it.
SteadyTime claimDispatchBefore(const ClaimProgress&, const ClaimOptions&);

/// Records that the request was handed to a traffic thread.
void markClaimDispatched(ClaimProgress&);

/// Takes in the end of the dispatch. NotStarted makes it dispatchable again (MayDispatch), or closes the
/// key if the request was given up meanwhile; any other end answers the caller and records the end in the row.
///
///     handleClaimDispatchEnded(claim, ended, options, now, out);
ClaimVerdict handleClaimDispatchEnded(ClaimProgress&, const DispatchEnded&, const ClaimOptions&, SteadyTime now, ControlActions& out);

/// Gives up on a request: closes the key if this attempt owns it or may come to own it, and answers "not run"
/// once that is won. A request that was dispatched goes on to its end, since it can't be taken back.
///
///     giveUpClaim(claim, Reason::Overloaded, std::chrono::seconds(3), options, now, out);
ClaimVerdict giveUpClaim(ClaimProgress&, Reason, std::optional<std::chrono::seconds> retryAfter, const ClaimOptions&, SteadyTime now,
    ControlActions& out);

/// Whether nothing is left to do, so that the progress can be forgotten.
bool isClaimEnded(const ClaimProgress&);

/// When `tickClaim` has work to do next; none while only an event can help.
std::optional<SteadyTime> nextClaimTick(const ClaimProgress&);

} // namespace limpetpond
