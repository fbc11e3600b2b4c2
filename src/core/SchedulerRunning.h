#pragma once

/// The requests of a pool that are in progress at targets.

#include "core/PolicyRouting.h"
#include "core/SchedulerState.h"

namespace limpetpond::detail {

/// The request in progress; null where there is none of that id. Valid until another one starts.
RunningRequest* findRunning(PoolScheduler&, const RequestId&);

/// Counts a request that is dispatched now as work of its target.
void addRunning(PoolScheduler&, QueuedRequest, const RouteChoice&, SteadyTime now);

/// Takes a request's prompt off the work that its target has not begun.
void removeUnstartedWork(TargetModel&, const RunningRequest&);

} // namespace limpetpond::detail
