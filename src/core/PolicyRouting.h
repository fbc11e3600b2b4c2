#pragma once

/// Target selection of the daemon, by the pool's routing policy and the prefix caches.
/// The gateway selects targets by expected time instead, in `core/TargetSelection.h`.
///
/// Load pattern: many prompts share long prefixes. A target that has a prefix cached computes only the
/// rest of the prompt, so a request prefers such a target and may wait for it for a bounded time.

#include "core/SchedulerState.h"
#include <cstddef>
#include <optional>

namespace limpetpond {

/// The target selected for a request, with estimates for the request at this target.
struct RouteChoice {
    std::size_t target { 0 }; ///< Index in `PoolScheduler::targets`.
    TokenCount expectedCached; ///< Prompt tokens that the target is expected to have cached.
    TokenCount longestCachedPrefix; ///< The longest prefix that any target is expected to have cached.
    double workToFirstToken { 0 }; ///< Prompt tokens that the target has to compute before the request's first token.
    double secondsToEnd { 0 }; ///< Expected time from dispatch to the last token.
};

/// Fills the views of all targets. Each decision starts with it.
///
///     updateTargetViews(pool);
///     updateFreeCapacity(pool, 0);
void updateTargetViews(PoolScheduler&);

/// Computes the free capacity of all targets for a tier that has `tiersAbove` tiers above it. Each tier leaves
/// a share of each limit free for the tiers above.
///
///     updateFreeCapacity(pool, 2);
///     std::optional<RouteChoice> choice = pickTarget(pool, request);
void updateFreeCapacity(PoolScheduler&, int tiersAbove);

/// Updates the view and the free capacity of one target after its work changed.
///
///     updateTargetView(pool, choice.target);
void updateTargetView(PoolScheduler&, std::size_t target);

/// Finds the longest prefix that an earlier prompt had, and marks the prompt's blocks as seen.
/// Only blocks whose depth is a power of two are looked up and marked.
///
///     findKnownPrefix(pool, request);
///     request.knownPrefixTokens;
void findKnownPrefix(PoolScheduler&, QueuedRequest&);

/// Selects a target with free capacity by the pool's policy; none if the request fits no target.
/// Reads the views that `updateTargetViews` and `updateFreeCapacity` filled.
///
///     std::optional<RouteChoice> choice = pickTarget(pool, request);
///     if (choice) dispatch(pool.targets[choice->target].settings.id);
std::optional<RouteChoice> pickTarget(PoolScheduler&, const QueuedRequest&);

/// True if some target has enough free capacity for the request.
///
///     if (!fitsAnyTarget(pool, request))
///         return;
bool fitsAnyTarget(const PoolScheduler&, const QueuedRequest&);

/// True if the request should wait for a target that has its prefix cached, because none of these has free capacity
/// now, instead of having the prefix computed again at another target. Also true if this decision has no search for
/// warm targets left. `meanWait` is the mean wait of the request's tier, in seconds.
///
///     if (waitsForWarmTarget(pool, waiting, queue.meanWait, now))
///         continue;
bool waitsForWarmTarget(PoolScheduler&, WaitingRequest&, double meanWait, SteadyTime now);

/// The shortest time in which a target that accepts work could complete the request if it had no other work;
/// 0 for a plain service or if no target accepts work.
///
///     if (now + minCompletionTime(pool, request) > *request.deadline)
///         shed(request);
Duration minCompletionTime(PoolScheduler&, const QueuedRequest&);

/// True if the target accepts new requests: listed, not leaving and not ejected.
///
///     bool any = std::any_of(pool.targets.begin(), pool.targets.end(), acceptsWork);
bool acceptsWork(const TargetModel&);

} // namespace limpetpond
