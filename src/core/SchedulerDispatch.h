#pragma once

/// Dispatch of a pool's waiting requests: the highest tier first, client accounts in fair order within a tier.

#include "core/Scheduler.h"

namespace limpetpond::detail {

/// Dispatches the waiting requests that fit a target now, highest tier first. Tiers below the admission floor
/// in force are not dispatched, nor are tiers below one that still has a request that fits no target.
void dispatchAll(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

} // namespace limpetpond::detail
