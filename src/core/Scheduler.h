#pragma once

/// Scheduler of one pool at one instance: queues, tiers, fair sharing and target selection.
///
/// `PoolScheduler` holds the whole state. The control thread owns one per pool, calls the
/// functions below for each event and then `decide`. No function does I/O, reads a clock or
/// iterates in hash order, so the same sequence of calls gives the same decisions.

#include "core/Messages.h"
#include "core/SchedulerState.h"
#include "limpetpond/Clock.h"
#include "limpetpond/Ids.h"
#include "limpetpond/Outcome.h"
#include "limpetpond/Settings.h"
#include "limpetpond/Units.h"
#include <chrono>
#include <optional>
#include <variant>
#include <vector>

namespace limpetpond {

/// Dispatch a waiting request to the target. The scheduler already counts it as in progress.
struct DispatchDecision {
    RequestId request;
    TargetId target;
};

/// Reject a waiting request. The scheduler has already removed it from its queue.
struct ShedDecision {
    RequestId request;
    Reason reason { Reason::Overloaded };
    std::chrono::seconds retryAfter { 1 };
};

/// Cancel a request in progress to free capacity for a higher tier. It counts as in progress
/// until `dispatchEnded` is called for it. The answer to its caller carries `retryAfter`.
struct CancelDecision {
    RequestId request;
    TargetId target;
    std::chrono::seconds retryAfter { 1 };
};

using SchedulerDecision = std::variant<DispatchDecision, ShedDecision, CancelDecision>;

/// Creates the state of one pool; `seed` initializes its random generators.
///
///     PoolScheduler pool = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
///     applySettings(pool, settings, now);
PoolScheduler makePoolScheduler(PoolId, InstanceId, std::uint64_t seed);

/// Applies targets, marks, limits, accounts and tiers from the settings. Requests in progress
/// at a target that the settings no longer list stay counted until they end.
///
///     applySettings(pool, *settings, now);
///     decide(pool, now, decisions);
void applySettings(PoolScheduler&, const Settings&, SteadyTime now);

/// Queues a request. `decide` applies the limits and may shed this request or one of a lower tier.
///
///     enqueue(pool, { .request = id, .account = account, .tier = tier, .arrivedAt = now }, now);
///     decide(pool, now, decisions);
void enqueue(PoolScheduler&, QueuedRequest, SteadyTime now);

/// Removes a waiting request, for example after its caller disconnected; false if it isn't waiting.
///
///     if (!removeWaiting(pool, request))
///         cancelAtTarget(request);
bool removeWaiting(PoolScheduler&, const RequestId&);

/// Records the first token of an answer and the cached prompt tokens that the engine reported, if any.
///
///     answerStarted(pool, request, TokenCount(512), now);
///     decide(pool, now, decisions);
void answerStarted(PoolScheduler&, const RequestId&, std::optional<TokenCount> cachedPromptTokens, SteadyTime now);

/// Records the end of a dispatch; the request is no longer in progress. Unknown requests are ignored.
///
///     dispatchEnded(pool, request, DispatchEnd::Completed, TokenCount(200), now);
///     decide(pool, now, decisions);
void dispatchEnded(PoolScheduler&, const RequestId&, DispatchEnd, TokenCount answerTokens, SteadyTime now);

/// Charges a retry of an idempotent request to the pool's retry budget; false if the budget is exhausted.
///
///     if (acquireRetry(pool, now))
///         enqueue(pool, retry, now);
bool acquireRetry(PoolScheduler&, SteadyTime now);

/// Applies a target's report of its own load, which lags behind, or a failed attempt to fetch it.
///
///     targetReported(pool, report, now);
///     decide(pool, now, decisions);
void targetReported(PoolScheduler&, const TargetReported&, SteadyTime now);

/// Applies a change of an engine's prefix cache. Changes may be late or missing, so they are only hints.
///
///     cacheChanged(pool, change);
void cacheChanged(PoolScheduler&, const CacheChanged&);

/// Applies a live peer's update for this pool and its targets; it replaces the peer's previous update.
/// The caller drops updates that are older, by the sender's incarnation and sequence, than one it has passed.
/// `answersSentAt` is set if the update answers a heartbeat of this instance, to the time when that heartbeat
/// was sent; the peer had then applied this instance's wanted floor. Only such an update confirms a floor.
///
///     peerUpdateReceived(pool, peer, update, heartbeat.targets, event.sentAt, now);
///     decide(pool, now, decisions);
void peerUpdateReceived(PoolScheduler&, const InstanceId&, const PoolUpdate&, const std::vector<TargetUpdate>&,
    std::optional<SteadyTime> answersSentAt, SteadyTime now);

/// Adds a live peer, or a new incarnation of one, that has sent no update yet. Until it answers
/// or departs, this instance dispatches only the highest tier, since the peer may hold an
/// admission floor, and sheds no request above the lowest tier.
///
///     peerListed(pool, InstanceId("b"));
void peerListed(PoolScheduler&, const InstanceId&);

/// Removes a peer that can no longer serve any request.
///
///     peerDeparted(pool, InstanceId("b"));
void peerDeparted(PoolScheduler&, const InstanceId&);

/// Appends the decisions that are due now and counts them as carried out. Call it after every event and tick.
///
///     std::vector<SchedulerDecision> decisions;
///     decide(pool, now, decisions);
void decide(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// The pool's state that this instance sends to its peers.
///
///     heartbeat.pools.push_back(makePoolUpdate(pool));
PoolUpdate makePoolUpdate(const PoolScheduler&);

/// The load of the pool's targets that this instance sends to its peers, ordered by target id.
///
///     for (TargetUpdate& update : makeTargetUpdates(pool))
///         heartbeat.targets.push_back(std::move(update));
std::vector<TargetUpdate> makeTargetUpdates(const PoolScheduler&);

/// Waiting and running requests of one tier, for status and metrics.
struct TierSnapshot {
    TierLevel tier;
    int waiting { 0 };
    TokenCount waitingTokens;
    int inProgress { 0 };
};

/// State of one target as this instance sees it, for status and metrics.
struct TargetSnapshot {
    TargetId target;
    TargetMark mark { TargetMark::Serving };
    int requestsInProgress { 0 }; ///< Dispatched by this instance.
    TokenCount tokensInProgress; ///< Of requests that this instance dispatched.
    TokenRate prefillRate; ///< Learned.
    TokenRate decodeRate; ///< Learned, per stream.
    double weight { 1 }; ///< Share of its limits in use: 1 if healthy, 0 while ejected, growing after readmission.
};

/// State and counters of one pool at this instance, for status and metrics.
struct SchedulerSnapshot {
    PoolId pool;
    TierLevel floor;
    TierLevel wantedFloor;
    std::vector<TierSnapshot> tiers; ///< Lowest tier first.
    std::vector<TargetSnapshot> targets; ///< Ordered by target id.
    TokenCount computedPrefill; ///< Prompt tokens computed for completed answers.
    TokenCount wastedPrefill; ///< Prompt tokens computed for answers that didn't complete, or although another target had them cached.
    std::uint64_t shed { 0 };
    std::uint64_t preempted { 0 };
};

/// Copies the state for status and metrics.
///
///     for (const TierSnapshot& tier : snapshot(pool).tiers)
///         print(tier.waiting);
SchedulerSnapshot snapshot(const PoolScheduler&);

/// True while the request is queued.
///
///     CHECK(isWaiting(pool, request));
bool isWaiting(const PoolScheduler&, const RequestId&);

/// The lowest tier with a request waiting or in progress at this instance; none if there is no request.
///
///     std::optional<TierLevel> lowest = lowestServed(pool);
std::optional<TierLevel> lowestServed(const PoolScheduler&);

} // namespace limpetpond
