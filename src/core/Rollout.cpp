#include "core/Rollout.h"

#include <algorithm>
#include <tuple>

namespace limpetpond {

RolloutPosition laterPosition(const RolloutPosition& a, const RolloutPosition& b)
{
    auto order = [](const RolloutPosition& position) { return std::tuple(isFinal(position.phase), position.generation, position.phase); };
    RolloutPosition later = order(a) < order(b) ? b : a;
    // In `Switch`, only the holder of that generation stops the rollout: it also decides on the old targets' end, to which nobody may return.
    if (later.phase < RolloutPhase::Switch || order(a) == order(b))
        later.isStopped = a.isStopped || b.isStopped;
    return later;
}

void recordBeat(Rollout& rollout, std::uint64_t generation, Duration age, SteadyTime now)
{
    if (generation >= rollout.position.generation)
        rollout.heardAt = std::max(rollout.heardAt, now - age);
}

bool mayUsePool(const Rollout& rollout, int liveInstances, SteadyTime now)
{
    bool isRunning = rollout.position.generation > 0 && !isFinal(rollout.position.phase) && now < rollout.deadline();
    if (!isRunning || now - rollout.heardAt < rolloutLease)
        return true;
    return 2 * liveInstances > rollout.members;
}

} // namespace limpetpond
