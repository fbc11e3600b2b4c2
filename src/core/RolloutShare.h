#pragma once

/// What this instance sends to the new version of a pool in a rollout.
///
/// Load pattern: requests that arrive unevenly at up to hundreds of instances, some of which start or are cut off meanwhile. Each
/// instance keeps the share of its own requests, so that the sum over all instances is within the limit without messages.
/// The share goes to few targets, which work as hard as those of the old versions, or harder in `RolloutPhase::Load`.

#include "core/Rollout.h"
#include <cstdint>
#include <vector>

namespace limpetpond {

/// Requests that this instance has sent to the pool's targets since the order, further attempts included.
struct RolloutShare {
    std::int64_t sent { 0 }; ///< To any version.
    std::int64_t sentToNew { 0 };
};

/// Which versions the next request may be sent to.
enum class RolloutChoice {
    OnlyOld,
    NewFirst, ///< A sample target, or an old one where no sample target has a free slot.
    OnlyNew,
};

/// The choice for the next request.
///
///     RolloutChoice choice = chooseVersions(rollout.position, share, limits);
RolloutChoice chooseVersions(const RolloutPosition&, const RolloutShare&, const RolloutLimits&);

/// Records that a request is sent.
void recordSend(RolloutShare&, bool isToNew);

/// A target with an entry, as far as the sample targets depend on it.
struct SampleCandidate {
    std::uint32_t hash { 0 }; ///< Of its id.
    bool isNew { false }; ///< Of the new version.
};

/// The positions in the list of the targets of the new version that get requests in the phases before `Switch`: the same ones at
/// each instance that knows the same targets.
///
///     std::vector<std::size_t> samples = sampleTargets(candidates, limits);
std::vector<std::size_t> sampleTargets(const std::vector<SampleCandidate>&, const RolloutLimits&);

} // namespace limpetpond
