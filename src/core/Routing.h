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
    TokenCount cachedSomewhere; ///< The longest prefix that any target probably holds.
    double workBefore { 0 }; ///< Prompt tokens to compute before the first token of the request.
    double secondsToEnd { 0 }; ///< Expected time from dispatch to the last token.
};

/// Picks by the pool's policy among the targets that have room; none where no target has room.
/// `tiersAbove` counts the tiers above the request's: lower tiers leave a part of each limit free for them.
///
///     std::optional<RouteChoice> choice = pickTarget(pool, request, 0);
///     if (choice) dispatch(pool.targets[choice->target].settings.id);
std::optional<RouteChoice> pickTarget(PoolScheduler&, const QueuedRequest&, int tiersAbove);

/// The shortest time in which any target that serves could complete the request if it had no other work.
///
///     if (now + shortestTime(pool, request) > *request.deadline)
///         shed(request);
Duration shortestTime(PoolScheduler&, const QueuedRequest&);

/// True where the target takes new work.
///
///     bool any = std::any_of(pool.targets.begin(), pool.targets.end(), takesWork);
bool takesWork(const TargetModel&);

} // namespace limpetpond
