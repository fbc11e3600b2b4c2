#pragma once

/// Shedding and preemption of a pool's requests.
///
/// Load pattern: requests exceed the capacity of the targets. The lowest tier is shed first. No request of a tier is shed
/// while any instance serves a lower tier; the admission floors of `core/Floors.h` ensure this.

#include "core/Scheduler.h"

namespace limpetpond::detail {

/// Removes one waiting request from its queue and rejects it with a Retry-After time.
void shed(PoolScheduler&, TierState&, WaitingIndex, Reason, SteadyTime now, std::vector<SchedulerDecision>&);

/// Marks for shedding the requests whose deadline or longest wait has passed.
void markExpired(PoolScheduler&, SteadyTime now);

/// Marks for shedding all waiting requests below the admission floor in force.
void markBelowFloor(PoolScheduler&);

/// Sheds the marked requests, lowest tier first, as far as the admission floors allow.
void shedMarked(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Sheds the requests over the pool's waiting limit: the lowest tier first, and in a tier the newest request of the
/// account that has the most waiting.
void shedOverflow(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Sheds the requests that an account has waiting over its own limit.
void shedOverAccountLimit(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

/// Records pressure for the tiers that are close to their queue limit or to the end of a request's wait, so that the
/// wanted admission floor rises before they have to be shed.
void recordPressures(PoolScheduler&, SteadyTime now);

/// Cancels requests in progress below the admission floor in force that didn't end within a grace period.
void preemptBelowFloor(PoolScheduler&, SteadyTime now, std::vector<SchedulerDecision>&);

} // namespace limpetpond::detail
