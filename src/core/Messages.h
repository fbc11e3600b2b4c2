#pragma once

/// The events that the control thread takes in and the actions it asks for.
///
/// The decision core does no I/O: an adapter turns what happens outside into events,
/// hands each to `Control::handle`, and carries out the actions that come back. The
/// daemon and the randomised runs use the same core with different adapters.

#include "core/Lease.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Outcome.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace limpetpond {

// ---- Requests ----

/// A request that was parsed and whose client account is known.
struct RequestArrived {
    RequestId request;
    ClientAccountId account;
    PoolId pool;
    TierLevel tier;
    TokenCount promptTokens; ///< An estimate; 0 for a plain service.
    TokenCount answerTokens; ///< An estimate; 0 for a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's blocks, first block first.
    std::optional<SteadyTime> deadline;
    bool idempotent { true };
    IdempotencyKey key; ///< Required when not idempotent.
    std::uint64_t bodyHash { 0 };
    std::uint64_t retryToken { 0 }; ///< The generation that an earlier "not run" answer gave; 0 for none.
};

/// How a dispatch ended, as seen by the traffic thread that made it.
enum class DispatchEnd {
    Completed, ///< The whole answer was received and passed on.
    NotStarted, ///< No byte of the request reached the target, or the target refused it.
    Cancelled, ///< The target confirmed that it runs no longer; the answer is thrown away.
    Lost, ///< The answer broke off and could not be resumed.
    TargetError, ///< The target answered with a whole error of its own, which was passed on.
};

/// The first token, or the first byte, of an answer arrived.
struct AnswerStarted {
    RequestId request;
    AttemptId attempt;
    std::optional<TokenCount> cachedPromptTokens; ///< As the engine reports them.
};

/// A dispatch ended.
struct DispatchEnded {
    RequestId request;
    AttemptId attempt;
    DispatchEnd end { DispatchEnd::Completed };
    TokenCount answerTokens;
    bool answerPassedOn { false }; ///< Some of the answer has reached the caller.
    std::string storedAnswer; ///< Claimed calls: the answer to keep for a second arrival.
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request;
};

// ---- Claims ----

enum class ClaimState {
    Claimed, ///< An attempt owns the key and may dispatch once.
    Completed, ///< The answer is stored.
    Closed, ///< Ended as not run; a later attempt needs the next generation.
    Lost, ///< The attempt dispatched and its answer was lost: the outcome is unknown for good.
};

/// The row of a key in the table service.
struct ClaimRow {
    ClientAccountId account;
    IdempotencyKey key;
    std::uint64_t bodyHash { 0 };
    std::uint64_t generation { 1 }; ///< Raised by one for each attempt after a "not run".
    ClaimState state { ClaimState::Claimed };
    InstanceId owner;
    AttemptId attempt;
    std::string storedAnswer;
    std::int64_t expiresAt { 0 }; ///< Seconds since the epoch.
    bool operator==(const ClaimRow&) const = default;
};

/// What the condition of a claim write is.
enum class ClaimCondition {
    Absent, ///< No row for the key exists.
    OwnedByAttempt, ///< The row is in state Claimed and carries the attempt of `row`.
    ClosedAtGeneration, ///< The row is in state Closed at the generation before that of `row`.
};

/// How a claim write or read went.
enum class StoreAnswer {
    Done, ///< The write took effect, or the read succeeded.
    ConditionFailed, ///< The write had no effect; `row` is what stands there.
    NotSent, ///< The operation had no effect for sure.
    NoAnswer, ///< The write may have taken effect.
};

struct ClaimAnswered {
    RequestId request;
    AttemptId attempt;
    bool wasRead { false };
    StoreAnswer answer { StoreAnswer::Done };
    std::optional<ClaimRow> row; ///< The row that stands, when known.
};

// ---- Targets ----

/// A model engine's own report of its load; stale by the time it is read.
struct TargetReported {
    TargetId target;
    SteadyTime measuredAt; ///< The local time minus the lag that the report states.
    int runningRequests { 0 };
    int waitingRequests { 0 };
    TokenCount tokensInProgress;
    bool failed { false }; ///< The report could not be read.
};

/// A change of an engine's prefix cache.
struct CacheChanged {
    TargetId target;
    std::uint64_t sequence { 0 };
    bool gap { false }; ///< Events before this one were missed.
    std::vector<std::uint64_t> added;
    std::vector<std::uint64_t> evicted;
};

// ---- Settings ----

/// A read of the version row of the settings in the table service.
struct SettingsHeadRead {
    bool answered { false };
    SettingsVersion version;
    SteadyTime readStartedAt;
};

/// Settings of a version, resolved, from the table service or a peer; null when the fetch failed.
struct SettingsArrived {
    std::shared_ptr<const Settings> settings;
};

/// How a MarkTarget went.
struct MarkAnswered {
    ChangeId change;
    bool settled { false }; ///< Accepted, now or earlier; the step needs no further proposal.
};

// ---- Other instances ----

enum class MemberState {
    Live,
    Suspected,
    Departed,
};

struct PoolUpdate {
    PoolId pool;
    TierLevel floor; ///< No lower tier is served by the sender.
    TierLevel wantedFloor; ///< The floor that the sender asks all others to hold.
    std::optional<TierLevel> lowestServed; ///< The lowest tier in progress or waiting at the sender.
    std::vector<TokenCount> waitingTokensByTier;
};

struct TargetUpdate {
    TargetId target;
    TokenCount tokensInProgress;
    int requestsInProgress { 0 };
    SettingsVersion leavingMarkVersion; ///< The leaving mark in force at the sender; none for serving.
};

struct MemberUpdate {
    InstanceId instance;
    Incarnation incarnation;
    MemberState state { MemberState::Live };
    std::uint64_t sequence { 0 };
};

/// What an instance tells another; the same in both directions.
struct Heartbeat {
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    SettingsVersion settingsVersion; ///< None until it was confirmed since the start; see `versionToReport`.
    std::optional<Duration> storeConfirmedAge; ///< Since the start of the last read that confirmed the version.
    bool leaving { false };
    std::vector<PoolUpdate> pools;
    std::vector<TargetUpdate> targets; ///< Those that are leaving or have work of the sender.
    std::vector<MemberUpdate> members;
};

/// A heartbeat came in; the AnswerHeartbeat action carries its answer.
struct HeartbeatReceived {
    Heartbeat heartbeat;
};

/// A heartbeat of ours was answered.
struct HeartbeatAnswered {
    Heartbeat heartbeat;
    SteadyTime sentAt;
};

/// A heartbeat of ours was not answered.
struct HeartbeatLost {
    InstanceId instance;
};

/// One entry of the platform's lagging instance list.
struct ListedInstance {
    InstanceId instance;
    std::string host;
    int port { 0 };
    FailureDomainId failureDomain;
    bool leaving { false };
};

struct InstanceListRead {
    std::vector<ListedInstance> instances;
};

// ---- Orders to engines ----

enum class EngineCommandProgress {
    Reached, ///< The engine is in the desired state.
    InProgress, ///< The engine took the order and is on its way.
    RefusedOldFencing, ///< The engine saw a higher fencing number.
    Failed, ///< No answer: the order may have taken effect.
};

struct EngineCommandAnswered {
    TargetId target;
    EngineDesiredState desired;
    EngineCommandProgress progress { EngineCommandProgress::Failed };
};

/// An operation on the row of a lease ended.
struct LeaseAnswered {
    LeaseId lease;
    LeaseOperation operation { LeaseOperation::None };
    LeaseAnswer answer { LeaseAnswer::Done };
    std::optional<LeaseRow> row; ///< What stands, when known.
};

// ---- Time and shutdown ----

/// Sent at least every 100 ms.
struct Tick {
    SystemTime systemNow; ///< For cleaning windows.
};

struct ShutdownRequested {
};

using ControlEvent = std::variant<RequestArrived, AnswerStarted, DispatchEnded, CallerDisconnected, ClaimAnswered, TargetReported,
    CacheChanged, SettingsHeadRead, SettingsArrived, MarkAnswered, HeartbeatReceived, HeartbeatAnswered, HeartbeatLost, InstanceListRead,
    EngineCommandAnswered, LeaseAnswered, Tick, ShutdownRequested>;

// ---- Actions ----

/// Send the request to the target, once. A claimed call is dispatched only after its claim was won.
struct Dispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
    SteadyTime notAfter; ///< The traffic thread must not start the dispatch later, by its own clock.
};

/// Cancel a dispatch at its target and report DispatchEnded when that is confirmed.
struct CancelDispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
};

/// Give the caller its final answer. A completed answer was already passed on or is in `storedAnswer`.
struct FinalAnswer {
    RequestId request;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::optional<std::chrono::seconds> retryAfter;
    std::uint64_t retryToken { 0 };
    std::string storedAnswer; ///< A second arrival: the first one's answer.
};

/// Write a row of the claim table under a condition; reported by ClaimAnswered.
struct WriteClaim {
    RequestId request;
    ClaimCondition condition { ClaimCondition::Absent };
    ClaimRow row;
};

/// Read the row of a key; reported by ClaimAnswered.
struct ReadClaim {
    RequestId request;
    AttemptId attempt;
    ClientAccountId account;
    IdempotencyKey key;
};

/// Read the version row; reported by SettingsHeadRead.
struct ReadSettingsHead {
};

/// Fetch the settings of at least `version`; reported by SettingsArrived.
struct FetchSettings {
    SettingsVersion version;
    InstanceId peer; ///< The peer that holds it; empty for the table service.
};

struct SendHeartbeat {
    InstanceId to;
    Heartbeat heartbeat;
};

/// The answer to a HeartbeatReceived; appended while that event is handled.
struct AnswerHeartbeat {
    InstanceId to;
    Heartbeat heartbeat;
};

/// Propose a mark of the cleaning schedule as a settings change; reported by MarkAnswered.
struct MarkTarget {
    ChangeId change; ///< The same from every instance that proposes the step.
    TargetId target;
    bool cleaning { false }; ///< True to empty the target for cleaning, false to return it.
    SettingsVersion branchVersion; ///< The version of the target's branch that the step is based on.
};

/// Read or write the row of a lease; reported by LeaseAnswered.
struct AccessLease {
    LeaseId lease;
    LeaseStep step;
};

/// Order an engine to reach a state; reported by EngineCommandAnswered.
struct SendEngineCommand {
    TargetId target;
    EngineDesiredState desired;
    CommandFence fence;
};

/// A condition that operators must hear of.
enum class AlarmKind {
    SettingsWentBack, ///< The store showed an older version than the one in force.
    CutOff, ///< Neither the store nor enough peers can be reached.
    StoreUnavailable,
    CleaningWindowMissed,
    InvariantViolated,
};

struct RaiseAlarm {
    AlarmKind kind;
    std::string subject;
};

using ControlAction = std::variant<Dispatch, CancelDispatch, FinalAnswer, WriteClaim, ReadClaim, ReadSettingsHead,
    FetchSettings, MarkTarget, SendHeartbeat, AnswerHeartbeat, AccessLease, SendEngineCommand, RaiseAlarm>;

using ControlActions = std::vector<ControlAction>;

} // namespace limpetpond
