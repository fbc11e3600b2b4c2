#pragma once

/// A pool's targets at one instance: their indexes, their health and this instance's share of their limits.

#include "core/SchedulerState.h"

namespace limpetpond::detail {

/// Applies the targets that the settings list for the pool; a known target keeps its index.
void applyTargets(PoolScheduler&, const Settings&);

/// Sums, for each target, the requests and tokens that the peers have in progress there.
void sumPeerLoads(PoolScheduler&);

/// Records a failed dispatch or load report, and ejects the target after repeated failures if enough others are left.
void recordTargetFailure(PoolScheduler&, TargetModel&, SteadyTime now);

/// Updates weights, learned rates and this instance's share of the limits, at most once per refresh period.
void refreshTargets(PoolScheduler&, SteadyTime now);

} // namespace limpetpond::detail
