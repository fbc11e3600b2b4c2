#pragma once

/// The events that the control thread handles and the actions that it requests.
///
/// The decision core does no I/O. An adapter turns external input into events, passes
/// each one to `Control::handle` and executes the resulting actions. The daemon and the
/// randomised tests use the same core with different adapters.

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

/// A parsed request from a known client account.
struct RequestArrived {
    RequestId request;
    ClientAccountId account;
    PoolId pool;
    TierLevel tier;
    TokenCount promptTokens; ///< An estimate; 0 for a plain service.
    TokenCount answerTokens; ///< An estimate; 0 for a plain service.
    std::vector<std::uint64_t> prefixBlocks; ///< Chained hashes of the prompt's blocks, in prompt order.
    std::optional<SteadyTime> deadline;
    bool idempotent { true };
    IdempotencyKey key; ///< Required when not idempotent.
    std::uint64_t bodyHash { 0 };
    std::uint64_t retryToken { 0 }; ///< The generation from an earlier "not run" answer; 0 for none.
};

/// How a dispatch ended, as the traffic thread that sent it reports.
enum class DispatchEnd {
    Completed, ///< The whole answer was received and forwarded.
    NotStarted, ///< No byte of the request reached the target, or the target refused it.
    Cancelled, ///< The target confirmed that the request no longer runs; the answer is discarded.
    Lost, ///< The answer was interrupted and could not be resumed.
    TargetError, ///< The target returned a complete error answer, which was forwarded.
};

/// The first token or byte of an answer arrived.
struct AnswerStarted {
    RequestId request;
    AttemptId attempt;
    std::optional<TokenCount> cachedPromptTokens; ///< As reported by the engine.
};

/// A dispatch ended.
struct DispatchEnded {
    RequestId request;
    AttemptId attempt;
    DispatchEnd end { DispatchEnd::Completed };
    TokenCount answerTokens;
    bool answerForwarded { false }; ///< Part of the answer was forwarded to the caller.
    std::string storedAnswer; ///< Claimed calls: the answer to store for repeated calls with the same key.
};

/// The caller closed its connection.
struct CallerDisconnected {
    RequestId request;
};

// ---- Claims ----

/// The state of an idempotency key.
enum class ClaimState {
    Claimed, ///< An attempt owns the key and may dispatch once.
    Completed, ///< The answer is stored.
    Closed, ///< Ended as not run; a new attempt needs the next generation.
    Lost, ///< The attempt dispatched and its answer was lost; the outcome stays unknown.
};

/// The row of an idempotency key in the table service.
struct ClaimRow {
    ClientAccountId account;
    IdempotencyKey key;
    std::uint64_t bodyHash { 0 };
    std::uint64_t generation { 1 }; ///< Raised by one for each attempt that follows a "not run" answer.
    ClaimState state { ClaimState::Claimed };
    InstanceId owner;
    AttemptId attempt;
    std::string storedAnswer;
    std::int64_t expiresAt { 0 }; ///< Seconds since the epoch.
    bool operator==(const ClaimRow&) const = default;
};

/// The condition of a claim write.
enum class ClaimCondition {
    Absent, ///< The key has no row.
    OwnedByAttempt, ///< The row is in state Claimed and has the attempt of `row`.
    ClosedAtGeneration, ///< The row is in state Closed at the generation before that of `row`.
};

/// The result of a claim write or read.
enum class StoreAnswer {
    Done, ///< The write took effect, or the read succeeded.
    ConditionFailed, ///< The write had no effect; `row` is the stored row.
    NotSent, ///< The operation certainly had no effect.
    NoAnswer, ///< The write may have taken effect.
};

/// A claim write or read ended.
struct ClaimAnswered {
    RequestId request;
    AttemptId attempt;
    bool wasRead { false };
    StoreAnswer answer { StoreAnswer::Done };
    std::optional<ClaimRow> row; ///< The stored row, when known.
};

// ---- Targets ----

/// A model engine's report of its load; already stale when it is read.
struct TargetReported {
    TargetId target;
    SteadyTime measuredAt; ///< The local time minus the lag that the report gives.
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

/// A read of the settings' version row in the table service ended.
struct SettingsHeadRead {
    bool answered { false };
    SettingsVersion version;
    SteadyTime readStartedAt;
};

/// The resolved settings of a version, from the table service or a peer; null when the fetch failed.
struct SettingsArrived {
    std::shared_ptr<const Settings> settings;
};

/// The result of a MarkTarget action.
struct MarkAnswered {
    ChangeId change;
    bool settled { false }; ///< The change was accepted, now or earlier, and need not be proposed again.
};

// ---- Other instances ----

/// The state of another instance, as the membership sees it.
enum class MemberState {
    Live,
    Suspected,
    Departed,
};

/// The state of a pool at the sender.
struct PoolUpdate {
    PoolId pool;
    TierLevel floor; ///< The sender serves no lower tier.
    TierLevel wantedFloor; ///< The floor that the sender requests from all instances.
    std::optional<TierLevel> lowestServed; ///< The lowest tier in progress or waiting at the sender.
    std::vector<TokenCount> waitingTokensByTier;
};

/// The sender's requests in progress at a target, and the leaving mark that it applies.
struct TargetUpdate {
    TargetId target;
    TokenCount tokensInProgress;
    int requestsInProgress { 0 };
    SettingsVersion leavingMarkVersion; ///< The version of the leaving mark in force at the sender; none while serving.
};

/// The state of a member, which the sender passes on.
struct MemberUpdate {
    InstanceId instance;
    Incarnation incarnation;
    MemberState state { MemberState::Live };
    std::uint64_t sequence { 0 };
};

/// The state that two instances exchange; request and answer have the same form.
struct Heartbeat {
    InstanceId instance;
    Incarnation incarnation;
    std::uint64_t sequence { 0 };
    SettingsVersion settingsVersion; ///< None until a version was confirmed since the start; see `versionToReport`.
    std::optional<Duration> storeConfirmedAge; ///< The time since the start of the last read that confirmed the version.
    bool leaving { false };
    std::vector<PoolUpdate> pools;
    std::vector<TargetUpdate> targets; ///< Leaving targets and targets with requests of the sender.
    std::vector<MemberUpdate> members;
};

/// A heartbeat of a peer was received; the AnswerHeartbeat action holds the answer.
struct HeartbeatReceived {
    Heartbeat heartbeat;
};

/// A peer answered a heartbeat of this instance.
struct HeartbeatAnswered {
    Heartbeat heartbeat;
    SteadyTime sentAt;
};

/// A heartbeat of this instance got no answer.
struct HeartbeatLost {
    InstanceId instance;
};

/// One entry of the platform's instance list, which lags behind.
struct ListedInstance {
    InstanceId instance;
    std::string host;
    int port { 0 };
    FailureDomainId failureDomain;
    bool leaving { false };
};

/// The platform's instance list was read.
struct InstanceListRead {
    std::vector<ListedInstance> instances;
};

// ---- Engine commands ----

/// The result of an engine command.
enum class EngineCommandProgress {
    Reached, ///< The engine is in the desired state.
    InProgress, ///< The engine accepted the command and has not reached the state yet.
    RefusedOldFencing, ///< The engine has received a higher fencing number.
    Failed, ///< No answer; the command may have taken effect.
};

/// An engine command ended.
struct EngineCommandAnswered {
    TargetId target;
    EngineDesiredState desired;
    EngineCommandProgress progress { EngineCommandProgress::Failed };
};

/// An operation on a lease's row ended.
struct LeaseAnswered {
    LeaseId lease;
    LeaseOperation operation { LeaseOperation::None };
    LeaseAnswer answer { LeaseAnswer::Done };
    std::optional<LeaseRow> row; ///< The stored row, when known.
};

// ---- Time and shutdown ----

/// Sent at least every 100 ms.
struct Tick {
    SystemTime systemNow; ///< For cleaning windows.
};

/// The process was asked to shut down.
struct ShutdownRequested {
};

using ControlEvent = std::variant<RequestArrived, AnswerStarted, DispatchEnded, CallerDisconnected, ClaimAnswered, TargetReported,
    CacheChanged, SettingsHeadRead, SettingsArrived, MarkAnswered, HeartbeatReceived, HeartbeatAnswered, HeartbeatLost, InstanceListRead,
    EngineCommandAnswered, LeaseAnswered, Tick, ShutdownRequested>;

// ---- Actions ----

/// Send the request to the target, once. A claimed call is dispatched only once this attempt owns its key.
struct Dispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
    SteadyTime notAfter; ///< The traffic thread must not start the dispatch after this time, by its own clock.
};

/// Cancel a dispatch at its target and report DispatchEnded once the target has confirmed.
struct CancelDispatch {
    RequestId request;
    AttemptId attempt;
    TargetId target;
};

/// Send the caller its final answer. A completed answer was already forwarded or is in `storedAnswer`.
struct FinalAnswer {
    RequestId request;
    Outcome outcome { Outcome::NotRun };
    Reason reason { Reason::None };
    std::optional<std::chrono::seconds> retryAfter;
    std::uint64_t retryToken { 0 };
    std::string storedAnswer; ///< A repeated call with the same key: the answer of the first call.
};

/// Write a row of the claim table under a condition; ends with ClaimAnswered.
struct WriteClaim {
    RequestId request;
    ClaimCondition condition { ClaimCondition::Absent };
    ClaimRow row;
};

/// Read the row of a key; ends with ClaimAnswered.
struct ReadClaim {
    RequestId request;
    AttemptId attempt;
    ClientAccountId account;
    IdempotencyKey key;
};

/// Read the version row; ends with SettingsHeadRead.
struct ReadSettingsHead {
};

/// Fetch settings of at least `version`; ends with SettingsArrived.
struct FetchSettings {
    SettingsVersion version;
    InstanceId peer; ///< The peer to fetch from; empty for the table service.
};

/// Send a heartbeat to a peer; ends with HeartbeatAnswered or HeartbeatLost.
struct SendHeartbeat {
    InstanceId to;
    Heartbeat heartbeat;
};

/// Answer a received heartbeat; appended while HeartbeatReceived is handled.
struct AnswerHeartbeat {
    InstanceId to;
    Heartbeat heartbeat;
};

/// Propose a mark of the cleaning schedule as a settings change; ends with MarkAnswered.
struct MarkTarget {
    ChangeId change; ///< The same at every instance that proposes this step.
    TargetId target;
    bool cleaning { false }; ///< True to empty the target for cleaning, false to return it to service.
    SettingsVersion branchVersion; ///< The version of the target's branch that the change is based on.
};

/// Read or write the row of a lease; ends with LeaseAnswered.
struct AccessLease {
    LeaseId lease;
    LeaseStep step;
};

/// Command an engine to reach a state; ends with EngineCommandAnswered.
struct SendEngineCommand {
    TargetId target;
    EngineDesiredState desired;
    CommandFence fence;
};

/// A condition that is reported to operators.
enum class AlarmKind {
    SettingsRolledBack, ///< The table service returned an older version than the one in force.
    CutOff, ///< Neither the table service nor a majority of peers confirms the settings.
    StoreUnavailable, ///< The table service has not answered for longer than the view's age limit.
    CleaningWindowMissed,
    InvariantViolated,
};

/// Report an alarm to operators.
struct RaiseAlarm {
    AlarmKind kind;
    std::string subject;
};

using ControlAction = std::variant<Dispatch, CancelDispatch, FinalAnswer, WriteClaim, ReadClaim, ReadSettingsHead,
    FetchSettings, MarkTarget, SendHeartbeat, AnswerHeartbeat, AccessLease, SendEngineCommand, RaiseAlarm>;

using ControlActions = std::vector<ControlAction>;

} // namespace limpetpond
