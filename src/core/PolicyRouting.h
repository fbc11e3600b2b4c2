#pragma once

/// Picks the target of a request.

#include "core/SchedulerState.h"
#include <cstddef>
#include <optional>

namespace limpetpond {

/// The target picked for a request and what is expected of it there.
struct RouteChoice {
    std::size_t target { 0 }; ///< Its place in the pool's list.
    TokenCount expectedCached; ///< Prompt tokens that its cache probably holds.
    TokenCount longestCachedPrefix; ///< The longest prefix that any target probably holds.
    double workToFirstToken { 0 }; ///< Prompt tokens to compute before the first token of the request.
    double secondsToEnd { 0 }; ///< Expected time from dispatch to the last token.
};

/// Works out what routing reads of all targets; each decision begins with it.
///
///     updateTargetViews(pool);
///     updateFreeCapacity(pool, 0);
void updateTargetViews(PoolScheduler&);

/// Works out what room the targets have for a tier: lower tiers leave a part of each limit free for those above.
///
///     updateFreeCapacity(pool, 2);
///     std::optional<RouteChoice> choice = pickTarget(pool, request);
void updateFreeCapacity(PoolScheduler&, int tiersAbove);

/// Works out again what `updateTargetViews` and `updateFreeCapacity` did, for a target whose work changed.
///
///     updateTargetView(pool, choice.target);
void updateTargetView(PoolScheduler&, std::size_t target);

/// Finds the part of the prompt that was asked for before, and notes the prompt.
///
///     findKnownPrefix(pool, request);
///     request.knownPrefixTokens;
void findKnownPrefix(PoolScheduler&, QueuedRequest&);

/// Picks by the pool's policy among the targets that have room; none where no target has room.
/// Reads what `updateTargetViews` and `updateFreeCapacity` worked out.
///
///     std::optional<RouteChoice> choice = pickTarget(pool, request);
///     if (choice) dispatch(pool.targets[choice->target].settings.id);
std::optional<RouteChoice> pickTarget(PoolScheduler&, const QueuedRequest&);

/// True where some target has room for the request.
///
///     if (!fitsAnyTarget(pool, request))
///         return;
bool fitsAnyTarget(const PoolScheduler&, const QueuedRequest&);

/// True where the request should rather wait for a target that holds its prefix, none of which has room now,
/// than have its prompt computed again elsewhere. `meanWait` is what requests of its tier wait lately, in seconds.
///
///     if (waitsForWarmTarget(pool, waiting, queue.meanWait, now))
///         continue;
bool waitsForWarmTarget(PoolScheduler&, WaitingRequest&, double meanWait, SteadyTime now);

/// The shortest time in which any target that serves could complete the request if it had no other work.
///
///     if (now + minCompletionTime(pool, request) > *request.deadline)
///         shed(request);
Duration minCompletionTime(PoolScheduler&, const QueuedRequest&);

/// True where the target takes new work.
///
///     bool any = std::any_of(pool.targets.begin(), pool.targets.end(), acceptsWork);
bool acceptsWork(const TargetModel&);

} // namespace limpetpond
