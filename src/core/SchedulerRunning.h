#pragma once

/// Bookkeeping of the requests of a pool that are in progress at targets.

#include "core/PolicyRouting.h"
#include "core/SchedulerState.h"

namespace limpetpond::detail {

/// Finds a request in progress; null if there is none with this id. The pointer is valid until the next `addRunning`.
RunningRequest* findRunning(PoolScheduler&, const RequestId&);

/// Adds a request that is dispatched now to its target's and its tier's work.
void addRunning(PoolScheduler&, QueuedRequest, const RouteChoice&, SteadyTime now);

/// Removes a request's prompt from the target's work that has produced no first token yet.
void removeUnstartedWork(TargetModel&, const RunningRequest&);

} // namespace limpetpond::detail
