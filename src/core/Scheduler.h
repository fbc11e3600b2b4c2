#pragma once

/// Queues, tiers, fair shares and routing of one pool at one instance.
///
/// `PoolScheduler` is the whole state; the control thread owns one for each pool and
/// calls the functions below with the events it takes in, then `decide`. Nothing here
/// does I/O, keeps a clock or iterates in hash order, so one sequence of calls gives
/// one sequence of decisions.

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

/// Dispatch the waiting request to the target; it is in progress from now on.
struct DispatchDecision {
    RequestId request;
    TargetId target;
};

/// Give the waiting request up; it is no longer queued.
struct ShedDecision {
    RequestId request;
    Reason reason { Reason::Overloaded };
    std::chrono::seconds retryAfter { 1 };
};

/// Cancel a request in progress to make room for a higher tier. It counts as served
/// until `dispatchEnded` reports its end; its caller is answered with `retryAfter`.
struct CancelDecision {
    RequestId request;
    TargetId target;
    std::chrono::seconds retryAfter { 1 };
};

using SchedulerDecision = std::variant<DispatchDecision, ShedDecision, CancelDecision>;

/// Makes the state of one pool; `seed` feeds its random choices.
///
///     PoolScheduler pool = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
///     applySettings(pool, settings, now);
PoolScheduler makePoolScheduler(PoolId, InstanceId, std::uint64_t seed);

/// Takes over targets, marks, limits, accounts and tiers. What is in progress at a
/// target that left the settings stays counted until it ends.
///
///     applySettings(pool, *settings, now);
///     decide(pool, now, decisions);
void applySettings(PoolScheduler&, const Settings&, SteadyTime now);

/// Queues a request. Limits are applied by `decide`, which may shed it or a lower one.
///
///     enqueue(pool, { .request = id, .account = account, .tier = tier, .arrivedAt = now }, now);
///     decide(pool, now, decisions);
void enqueue(PoolScheduler&, QueuedRequest, SteadyTime now);

/// Removes a waiting request, for example because its caller is gone; false where it isn't waiting.
///
///     if (!removeWaiting(pool, request))
///         cancelAtTarget(request);
bool removeWaiting(PoolScheduler&, const RequestId&);

/// Notes the first token of an answer and what the engine reported as cached.
///
///     answerStarted(pool, request, TokenCount(512), now);
///     decide(pool, now, decisions);
void answerStarted(PoolScheduler&, const RequestId&, std::optional<TokenCount> cachedPromptTokens, SteadyTime now);

/// Ends a dispatch; the request is no longer in progress. Unknown requests are ignored.
///
///     dispatchEnded(pool, request, DispatchEnd::Completed, TokenCount(200), now);
///     decide(pool, now, decisions);
void dispatchEnded(PoolScheduler&, const RequestId&, DispatchEnd, TokenCount answerTokens, SteadyTime now);

/// Takes a second dispatch of an idempotent request out of the pool's retry budget; false where it is used up.
///
///     if (acquireRetry(pool, now))
///         enqueue(pool, again, now);
bool acquireRetry(PoolScheduler&, SteadyTime now);

/// Takes in a target's own, lagging report of its load.
///
///     targetReported(pool, report, now);
///     decide(pool, now, decisions);
void targetReported(PoolScheduler&, const TargetReported&, SteadyTime now);

/// Takes in a change of an engine's prefix cache; late and gappy, so only a hint.
///
///     cacheChanged(pool, change);
void cacheChanged(PoolScheduler&, const CacheChanged&);

/// Takes in what a live peer says of this pool and its targets; each call replaces the peer's earlier update.
/// The caller drops update that is older, by the sender's incarnation and sequence, than what it passed before.
/// `answersSentAt` is set for the answer to a heartbeat of ours and is when that heartbeat was sent: the sender
/// had then taken in our wanted floor. Only such update confirms a floor.
///
///     peerUpdateReceived(pool, peer, update, heartbeat.targets, event.sentAt, now);
///     decide(pool, now, decisions);
void peerUpdateReceived(PoolScheduler&, const InstanceId&, const PoolUpdate&, const std::vector<TargetUpdate>&,
    std::optional<SteadyTime> answersSentAt, SteadyTime now);

/// Notes a live peer from which no update has come yet, or a new incarnation of one. Until it
/// answers or departs, only the highest tier is dispatched here, since it may hold a floor,
/// and no request above the lowest tier is shed.
///
///     peerListed(pool, InstanceId("b"));
void peerListed(PoolScheduler&, const InstanceId&);

/// Forgets a peer that can no longer serve anything.
///
///     peerDeparted(pool, InstanceId("b"));
void peerDeparted(PoolScheduler&, const InstanceId&);

/// Appends what is to be done now; the state already counts it as done. To be called after every event and tick.
///
///     std::vector<SchedulerDecision> decisions;
///     decide(pool, now, decisions);
void decide(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// What this instance tells its peers of the pool.
///
///     heartbeat.pools.push_back(makePoolUpdate(pool));
PoolUpdate makePoolUpdate(const PoolScheduler&);

/// What this instance tells its peers of the pool's targets, in the order of their ids.
///
///     for (TargetUpdate& update : makeTargetUpdates(pool))
///         heartbeat.targets.push_back(std::move(update));
std::vector<TargetUpdate> makeTargetUpdates(const PoolScheduler&);

/// Queue and work of one tier, for status and metrics.
struct TierSnapshot {
    TierLevel tier;
    int waiting { 0 };
    TokenCount waitingTokens;
    int inProgress { 0 };
};

/// What is known of one target, for status and metrics.
struct TargetSnapshot {
    TargetId target;
    TargetMark mark { TargetMark::Serving };
    int requestsInProgress { 0 }; ///< Of this instance.
    TokenCount tokensInProgress; ///< Of this instance.
    TokenRate prefillRate; ///< Learned.
    TokenRate decodeRate; ///< Learned, of one stream.
    double weight { 1 }; ///< 1 for healthy; lower while slow, ejected or returning.
};

struct SchedulerSnapshot {
    PoolId pool;
    TierLevel floor;
    TierLevel wantedFloor;
    std::vector<TierSnapshot> tiers; ///< Lowest tier first.
    std::vector<TargetSnapshot> targets; ///< In the order of their ids.
    TokenCount computedPrefill; ///< Prompt tokens computed for completed answers.
    TokenCount wastedPrefill; ///< Prompt tokens computed and thrown away, or computed again.
    std::uint64_t shed { 0 };
    std::uint64_t preempted { 0 };
};

/// The state as operators see it.
///
///     for (const TierSnapshot& tier : snapshot(pool).tiers)
///         print(tier.waiting);
SchedulerSnapshot snapshot(const PoolScheduler&);

/// True while the request waits in the queue.
///
///     CHECK(isWaiting(pool, request));
bool isWaiting(const PoolScheduler&, const RequestId&);

/// The lowest tier that this instance serves in the pool, waiting or in progress; none where it serves nothing.
///
///     std::optional<TierLevel> lowest = lowestServed(pool);
std::optional<TierLevel> lowestServed(const PoolScheduler&);

} // namespace limpetpond
