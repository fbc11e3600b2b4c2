#pragma once

/// Which waiting requests of a pool go to which targets: tiers from the top, within a tier the accounts in fair turns.

#include "core/Scheduler.h"

namespace limpetpond::detail {

/// Dispatches what has room now, highest tier first; nothing below the floor in force.
void dispatchAll(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

} // namespace limpetpond::detail
