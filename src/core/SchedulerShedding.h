#pragma once

/// Which requests of a pool are turned away or cancelled.
///
/// Load pattern: more is asked than the targets carry. The lowest tier pays first: nothing of a tier is turned away while
/// a lower one is served by any instance, which the floors of `core/Floors.h` make sure of.

#include "core/Scheduler.h"

namespace limpetpond::detail {

/// Takes one waiting request out of its queue and turns it away, with the time to come back.
void shed(PoolScheduler&, TierState&, WaitingIndex, Reason, SteadyTime now, std::vector<SchedulerDecision>&);

/// Marks what has waited to its end as given up.
void markExpired(PoolScheduler&, SteadyTime now);

/// Marks everything that waits below the floor in force as given up.
void markBelowFloor(PoolScheduler&);

/// Turns away what was given up, tier by tier, as far as the floors allow.
void shedMarked(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Turns away what is over the pool's bound, lowest tier first and there from the account that has the most waiting.
void shedOverflow(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Turns away what an account has waiting over its own bound.
void shedOverAccountLimit(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Notes which tiers run short of time or room, so that lower floors rise.
void recordPressures(PoolScheduler&, SteadyTime now);

/// Cancels work below the floor in force that has not ended by itself for a while.
void preemptBelowFloor(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

} // namespace limpetpond::detail
