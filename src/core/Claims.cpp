#include "core/Claims.h"

#include "core/Guard.h"
#include "core/Invariant.h"
#include <algorithm>
#include <utility>

namespace limpetpond {

constexpr int maxDelayDoublings = 16;

static Duration repetitionDelay(const ClaimProgress& claim, const ClaimOptions& options)
{
    Duration delay = options.firstDelay * (1 << std::min(claim.failures, maxDelayDoublings));
    return std::min(delay, claim.isAnswered ? options.maxBackgroundDelay : options.maxDelay);
}

static ClaimCondition firstCondition(const ClaimProgress& claim)
{
    return claim.retryToken ? ClaimCondition::ClosedAtGeneration : ClaimCondition::Absent;
}

static void beginOperation(ClaimProgress& claim)
{
    claim.isOperationOutstanding = true;
    claim.nextOperationAt.reset();
}

static void writeRow(ClaimProgress& claim, ClaimCondition condition, ClaimState state, ControlActions& out)
{
    beginOperation(claim);
    claim.writtenState = state;
    claim.row.state = state;
    out.push_back(WriteClaim { claim.request, condition, claim.row });
}

static void readRow(ClaimProgress& claim, ControlActions& out)
{
    beginOperation(claim);
    out.push_back(ReadClaim { claim.request, claim.row.attempt, claim.row.account, claim.row.key });
}

/// Sends the next operation of the phase.
static void sendNextOperation(ClaimProgress& claim, ControlActions& out)
{
    if (claim.isReadNext || claim.phase == ClaimPhase::Attached) {
        readRow(claim, out);
        return;
    }
    switch (claim.phase) {
    case ClaimPhase::Claiming:
        writeRow(claim, firstCondition(claim), claim.isGivenUp ? ClaimState::Closed : ClaimState::Claimed, out);
        return;
    case ClaimPhase::Closing:
        writeRow(claim, ClaimCondition::OwnedByAttempt, ClaimState::Closed, out);
        return;
    case ClaimPhase::Recording:
        writeRow(claim, ClaimCondition::OwnedByAttempt, claim.row.state, out);
        return;
    case ClaimPhase::Attached:
    case ClaimPhase::Owned:
    case ClaimPhase::Dispatched:
    case ClaimPhase::Ended:
        return;
    }
}

static void answerCaller(ClaimProgress& claim, FinalAnswer answer, ControlActions& out)
{
    checkInvariant(!claim.isAnswered, InvariantId::OneFinalAnswer);
    claim.isAnswered = true;
    answer.request = claim.request;
    out.push_back(std::move(answer));
}

static ClaimVerdict endWith(ClaimProgress& claim, FinalAnswer answer, ControlActions& out)
{
    claim.phase = ClaimPhase::Ended;
    claim.nextOperationAt.reset();
    if (claim.isAnswered)
        return ClaimVerdict::Pending;
    answerCaller(claim, std::move(answer), out);
    return ClaimVerdict::Answered;
}

static ClaimVerdict endUnknown(ClaimProgress& claim, Reason reason, ControlActions& out)
{
    return endWith(claim, { .outcome = Outcome::Unknown, .reason = reason }, out);
}

/// Whether the row of an earlier attempt may have expired while this process was suspended.
static bool mayRowsHaveExpired(const ClaimProgress& claim, const ClaimOptions& options, SteadyTime now)
{
    return now >= claimDispatchBefore(claim, options) && !isGuardDisabled(GuardId::ClaimWindowChecked);
}

/// Answers "not run", because the key is closed at `generation` or was used with another body.
static ClaimVerdict endNotRun(
    ClaimProgress& claim, Reason reason, std::uint64_t generation, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (mayRowsHaveExpired(claim, options, now))
        return endUnknown(claim, Reason::DeadlineExceeded, out);
    return endWith(claim, { .outcome = Outcome::NotRun, .reason = reason, .retryAfter = claim.retryAfter, .retryToken = generation }, out);
}

/// Answers "not run" after reading or writing a closed row.
static ClaimVerdict endClosed(ClaimProgress& claim, const ClaimRow& row, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    Reason reason = claim.isGivenUp ? claim.giveUpReason : Reason::KeyClosed;
    return endNotRun(claim, reason, row.generation, options, now, out);
}

/// Writes the end of the dispatch to the row after the caller was answered.
static void beginRecording(ClaimProgress& claim, ClaimState state, ControlActions& out)
{
    claim.phase = ClaimPhase::Recording;
    claim.row.state = state;
    claim.failures = 0;
    claim.isReadNext = false;
    sendNextOperation(claim, out);
}

/// Answers "unknown", because the store doesn't answer, and goes on closing a row that this attempt may have written.
static ClaimVerdict giveUpOnStore(ClaimProgress& claim, ControlActions& out)
{
    if (!claim.mayHaveWritten && !claim.isOperationOutstanding)
        return endUnknown(claim, Reason::StoreUnavailable, out);
    claim.isGivenUp = true;
    answerCaller(claim, { .outcome = Outcome::Unknown, .reason = Reason::StoreUnavailable }, out);
    return ClaimVerdict::Answered;
}

static ClaimVerdict repeatLater(ClaimProgress& claim, const ClaimOptions& options, SteadyTime now)
{
    if (claim.isAnswered && claim.failures >= options.maxBackgroundFailures) {
        claim.phase = ClaimPhase::Ended;
        return ClaimVerdict::Pending;
    }
    claim.nextOperationAt = now + repetitionDelay(claim, options);
    ++claim.failures;
    return ClaimVerdict::Pending;
}

static ClaimVerdict beginClosing(ClaimProgress& claim, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    claim.phase = ClaimPhase::Closing;
    claim.failures = 0;
    claim.isReadNext = false;
    claim.answerBefore = now + options.storeTimeout;
    sendNextOperation(claim, out);
    return ClaimVerdict::Pending;
}

static ClaimVerdict becomeOwner(ClaimProgress& claim, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    claim.phase = ClaimPhase::Owned;
    claim.failures = 0;
    if (!claim.isGivenUp && !mayDispatchClaim(claim, options, now))
        return giveUpClaim(claim, Reason::DeadlineExceeded, std::nullopt, options, now, out);
    if (claim.isGivenUp)
        return beginClosing(claim, options, now, out);
    return ClaimVerdict::MayDispatch;
}

static ClaimVerdict attach(ClaimProgress& claim, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (claim.isGivenUp)
        return endUnknown(claim, Reason::InProgress, out);
    if (claim.phase != ClaimPhase::Attached) {
        claim.phase = ClaimPhase::Attached;
        claim.failures = 0;
        claim.answerBefore = now + options.attachTimeout;
    }
    return repeatLater(claim, options, now);
}

/// Answers from the row of another attempt, or waits for that attempt's end.
static ClaimVerdict followOtherAttempt(ClaimProgress& claim, const ClaimRow& row, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (row.bodyHash != claim.row.bodyHash && !isGuardDisabled(GuardId::BodyHashCompared))
        return endNotRun(claim, Reason::KeyReused, 0, options, now, out);
    switch (row.state) {
    case ClaimState::Claimed:
        if (isGuardDisabled(GuardId::ClaimNeverStolen) && !claim.isGivenUp)
            return becomeOwner(claim, options, now, out);
        return attach(claim, options, now, out);
    case ClaimState::Completed:
        if (row.storedAnswer.empty())
            return endUnknown(claim, Reason::AnswerLost, out);
        return endWith(claim, { .outcome = Outcome::Completed, .storedAnswer = row.storedAnswer }, out);
    case ClaimState::Lost:
        return endUnknown(claim, Reason::AnswerLost, out);
    case ClaimState::Closed:
        return endClosed(claim, row, options, now, out);
    }
    return ClaimVerdict::Pending;
}

/// Whether the row is the closed one that the caller's retry token refers to.
static bool isOpenToRetry(const ClaimProgress& claim, const ClaimRow& row)
{
    return row.state == ClaimState::Closed && claim.retryToken && claim.retryToken == row.generation;
}

static ClaimVerdict resolveClaiming(
    ClaimProgress& claim, const std::optional<ClaimRow>& row, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (!row && claim.retryToken)
        return endUnknown(claim, Reason::NotFound, out);
    if (!row || isOpenToRetry(claim, *row)) {
        sendNextOperation(claim, out);
        return ClaimVerdict::Pending;
    }
    if (row->attempt != claim.row.attempt) {
        if (isGuardDisabled(GuardId::RetryTokenRequired) && row->state == ClaimState::Closed && !claim.isGivenUp) {
            claim.retryToken = row->generation;
            claim.row.generation = row->generation + 1;
            sendNextOperation(claim, out);
            return ClaimVerdict::Pending;
        }
        return followOtherAttempt(claim, *row, options, now, out);
    }
    claim.mayHaveWritten = true;
    if (row->state == ClaimState::Closed)
        return endClosed(claim, *row, options, now, out);
    return becomeOwner(claim, options, now, out);
}

static ClaimVerdict resolveClosing(
    ClaimProgress& claim, const std::optional<ClaimRow>& row, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (!row || row->attempt != claim.row.attempt)
        return endUnknown(claim, Reason::NotFound, out);
    if (row->state == ClaimState::Closed)
        return endClosed(claim, *row, options, now, out);
    return repeatLater(claim, options, now);
}

static ClaimVerdict resolveRecording(ClaimProgress& claim, const std::optional<ClaimRow>& row, const ClaimOptions& options, SteadyTime now)
{
    bool isStillClaimed = row && row->attempt == claim.row.attempt && row->state == ClaimState::Claimed;
    if (isStillClaimed)
        return repeatLater(claim, options, now);
    claim.phase = ClaimPhase::Ended;
    return ClaimVerdict::Pending;
}

static ClaimVerdict resolveRow(
    ClaimProgress& claim, const std::optional<ClaimRow>& row, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    switch (claim.phase) {
    case ClaimPhase::Claiming:
        return resolveClaiming(claim, row, options, now, out);
    case ClaimPhase::Attached:
        if (!row)
            return endUnknown(claim, Reason::NotFound, out);
        return followOtherAttempt(claim, *row, options, now, out);
    case ClaimPhase::Closing:
        return resolveClosing(claim, row, options, now, out);
    case ClaimPhase::Recording:
        return resolveRecording(claim, row, options, now);
    case ClaimPhase::Owned:
    case ClaimPhase::Dispatched:
    case ClaimPhase::Ended:
        return ClaimVerdict::Pending;
    }
    return ClaimVerdict::Pending;
}

/// Handles an operation whose result doesn't show the row in the store.
static ClaimVerdict handleUnknownRow(ClaimProgress& claim, const ClaimAnswered& answered, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    bool isLostWrite = answered.answer == StoreAnswer::NoAnswer && !answered.wasRead;
    if (isLostWrite) {
        claim.mayHaveWritten = true;
        claim.isReadNext = true;
    }
    if (claim.phase == ClaimPhase::Claiming) {
        if (isLostWrite && !claim.isGivenUp && isGuardDisabled(GuardId::ClaimKnownBeforeDispatch))
            return becomeOwner(claim, options, now, out);
        if (!claim.mayHaveWritten && claim.failures + 1 >= options.maxNotSentWrites)
            return giveUpOnStore(claim, out);
    }
    return repeatLater(claim, options, now);
}

static ClaimProgress makeProgress(const RequestArrived& arrived, AttemptId attempt, InstanceId owner, const ClaimOptions& options, SteadyTime now)
{
    ClaimProgress claim {
        .request = arrived.request,
        .retryToken = arrived.retryToken,
        .startedAt = now,
        .answerBefore = now + options.storeTimeout,
    };
    claim.row = {
        .account = arrived.account,
        .key = arrived.key,
        .bodyHash = arrived.bodyHash,
        .generation = arrived.retryToken + 1,
        .state = ClaimState::Claimed,
        .owner = std::move(owner),
        .attempt = std::move(attempt),
    };
    return claim;
}

static ClaimVerdict endDispatchUnknown(ClaimProgress& claim, ControlActions& out)
{
    answerCaller(claim, { .outcome = Outcome::Unknown, .reason = Reason::AnswerLost }, out);
    beginRecording(claim, ClaimState::Lost, out);
    return ClaimVerdict::Answered;
}

static ClaimVerdict endDispatchCompleted(ClaimProgress& claim, const DispatchEnded& ended, const ClaimOptions& options, ControlActions& out)
{
    answerCaller(claim, { .outcome = Outcome::Completed }, out);
    if (std::cmp_less_equal(ended.storedAnswer.size(), options.maxStoredAnswer.count()))
        claim.row.storedAnswer = ended.storedAnswer;
    beginRecording(claim, ClaimState::Completed, out);
    return ClaimVerdict::Answered;
}

ClaimProgress startClaim(
    const RequestArrived& arrived, AttemptId attempt, InstanceId owner, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    ClaimProgress claim = makeProgress(arrived, std::move(attempt), std::move(owner), options, now);
    sendNextOperation(claim, out);
    return claim;
}

ClaimProgress startClosingClaim(const RequestArrived& arrived, AttemptId attempt, InstanceId owner, Reason reason,
    std::optional<std::chrono::seconds> retryAfter, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    ClaimProgress claim = makeProgress(arrived, std::move(attempt), std::move(owner), options, now);
    claim.isGivenUp = true;
    claim.giveUpReason = reason;
    claim.retryAfter = retryAfter;
    if (isGuardDisabled(GuardId::NotRunIsWon)) {
        endClosed(claim, claim.row, options, now, out);
        return claim;
    }
    sendNextOperation(claim, out);
    return claim;
}

ClaimVerdict handleClaimAnswered(ClaimProgress& claim, const ClaimAnswered& answered, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (answered.attempt != claim.row.attempt || !claim.isOperationOutstanding)
        return ClaimVerdict::Pending;
    claim.isOperationOutstanding = false;
    bool isRowMissing = answered.answer == StoreAnswer::ConditionFailed && !answered.row;
    if (isRowMissing) {
        claim.isReadNext = true;
        return repeatLater(claim, options, now);
    }
    if (answered.answer == StoreAnswer::NotSent || answered.answer == StoreAnswer::NoAnswer)
        return handleUnknownRow(claim, answered, options, now, out);
    claim.isReadNext = false;
    bool isOwnWrite = answered.answer == StoreAnswer::Done && !answered.wasRead;
    if (!isOwnWrite)
        return resolveRow(claim, answered.row, options, now, out);
    ClaimRow written = claim.row;
    written.state = claim.writtenState;
    return resolveRow(claim, written, options, now, out);
}

ClaimVerdict tickClaim(ClaimProgress& claim, const ClaimOptions&, SteadyTime now, ControlActions& out)
{
    bool isStorePhase = claim.phase == ClaimPhase::Claiming || claim.phase == ClaimPhase::Closing;
    bool isOverdue = !claim.isAnswered && now >= claim.answerBefore;
    if (isStorePhase && isOverdue)
        return giveUpOnStore(claim, out);
    if (claim.phase == ClaimPhase::Attached && isOverdue)
        return endUnknown(claim, Reason::InProgress, out);
    if (claim.nextOperationAt && now >= *claim.nextOperationAt && !claim.isOperationOutstanding)
        sendNextOperation(claim, out);
    return ClaimVerdict::Pending;
}

bool mayDispatchClaim(const ClaimProgress& claim, const ClaimOptions& options, SteadyTime now)
{
    if (claim.phase != ClaimPhase::Owned)
        return false;
    return now < claimDispatchBefore(claim, options) || isGuardDisabled(GuardId::ClaimWindowChecked);
}

SteadyTime claimDispatchBefore(const ClaimProgress& claim, const ClaimOptions& options)
{
    return claim.startedAt + options.dispatchWindow;
}

void markClaimDispatched(ClaimProgress& claim)
{
    checkInvariant(claim.phase == ClaimPhase::Owned, InvariantId::ClaimedRunsOnce);
    claim.phase = ClaimPhase::Dispatched;
}

ClaimVerdict handleClaimDispatchEnded(
    ClaimProgress& claim, const DispatchEnded& ended, const ClaimOptions& options, SteadyTime now, ControlActions& out)
{
    if (ended.attempt != claim.row.attempt || claim.phase != ClaimPhase::Dispatched)
        return ClaimVerdict::Pending;
    switch (ended.end) {
    case DispatchEnd::Completed:
    case DispatchEnd::TargetError:
        return endDispatchCompleted(claim, ended, options, out);
    case DispatchEnd::Cancelled:
    case DispatchEnd::Lost:
        if (!isGuardDisabled(GuardId::LostAnswerIsUnknown))
            return endDispatchUnknown(claim, out);
        break;
    case DispatchEnd::NotStarted:
        break;
    }
    return becomeOwner(claim, options, now, out);
}

ClaimVerdict giveUpClaim(ClaimProgress& claim, Reason reason, std::optional<std::chrono::seconds> retryAfter, const ClaimOptions& options,
    SteadyTime now, ControlActions& out)
{
    bool isTooLate = claim.isGivenUp || claim.isAnswered;
    if (isTooLate)
        return ClaimVerdict::Pending;
    claim.isGivenUp = true;
    claim.giveUpReason = reason;
    claim.retryAfter = retryAfter;
    switch (claim.phase) {
    case ClaimPhase::Owned:
        return beginClosing(claim, options, now, out);
    case ClaimPhase::Attached:
        return endUnknown(claim, Reason::InProgress, out);
    case ClaimPhase::Claiming:
    case ClaimPhase::Dispatched:
    case ClaimPhase::Closing:
    case ClaimPhase::Recording:
    case ClaimPhase::Ended:
        return ClaimVerdict::Pending;
    }
    return ClaimVerdict::Pending;
}

bool isClaimEnded(const ClaimProgress& claim)
{
    return claim.phase == ClaimPhase::Ended;
}

std::optional<SteadyTime> nextClaimTick(const ClaimProgress& claim)
{
    if (claim.nextOperationAt && !claim.isOperationOutstanding)
        return claim.nextOperationAt;
    bool waitsForAnswer = !claim.isAnswered && (claim.phase == ClaimPhase::Claiming || claim.phase == ClaimPhase::Closing || claim.phase == ClaimPhase::Attached);
    if (waitsForAnswer)
        return claim.answerBefore;
    return std::nullopt;
}

} // namespace limpetpond
