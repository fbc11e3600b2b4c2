#pragma once

/// A pool's targets at one instance: their places in its list, this instance's share of their limits, their health.

#include "core/SchedulerState.h"

namespace limpetpond::detail {

/// Takes over the targets that the settings list for the pool; a known target keeps its index.
void applyTargets(PoolScheduler&, const Settings&);

/// Adds up, for each target, what the peers have in progress there.
void sumPeerLoads(PoolScheduler&);

/// Notes a failed dispatch or report, and ejects the target where enough others are left.
void recordTargetFailure(PoolScheduler&, TargetModel&, SteadyTime now);

/// Brings weights, learned speeds and this instance's share of the limits up to date, a few times a second.
void refreshTargets(PoolScheduler&, SteadyTime now);

} // namespace limpetpond::detail
