#include "core/Rollout.h"

#include <algorithm>
#include <functional>
#include <tuple>

namespace limpetpond {

bool isSameOrder(const RolloutOrder& a, const RolloutOrder& b) { return a.id.number == b.id.number && a.to == b.to && a.time == b.time; }

RolloutPosition laterPosition(const RolloutPosition& a, const RolloutPosition& b)
{
    auto order = [](const RolloutPosition& position) { return std::tuple(isFinal(position.phase), position.generation, position.phase); };
    RolloutPosition later = order(a) < order(b) ? b : a;
    // In `Switch`, only the holder of that generation stops the rollout: it also decides on the old targets' end, to which nobody may return.
    if (later.phase < RolloutPhase::Switch || order(a) == order(b))
        later.isStopped = a.isStopped || b.isStopped;
    return later;
}

void advancePosition(Rollout& rollout, const RolloutPosition& position, SteadyTime now)
{
    if (position.generation > rollout.position.generation)
        rollout.generationAt = now;
    rollout.position = laterPosition(rollout.position, position);
}

bool isMajority(const Rollout& rollout, int liveInstances) { return 2 * liveInstances > rollout.members; }

void holdRollout(Rollout& rollout, std::vector<SteadyTime> othersHeardAt, SteadyTime now)
{
    std::sort(othersHeardAt.begin(), othersHeardAt.end(), std::greater());
    auto others = static_cast<std::size_t>(rollout.members / 2);
    if (othersHeardAt.size() < others)
        return;
    SteadyTime majorityHeardAt = others ? othersHeardAt[others - 1] : now;
    std::uint64_t last = rollout.beatGeneration == rollout.position.generation ? rollout.beat : 0;
    if (majorityHeardAt > rollout.heardAt)
        recordBeat(rollout, rollout.position.generation, last + 1, now - majorityHeardAt, now);
}

void recordBeat(Rollout& rollout, std::uint64_t generation, std::uint64_t beat, Duration age, SteadyTime now)
{
    if (generation < rollout.position.generation || std::tuple(generation, beat) <= std::tuple(rollout.beatGeneration, rollout.beat))
        return;
    rollout.beatGeneration = generation;
    rollout.beat = beat;
    rollout.heardAt = std::max(rollout.heardAt, now - age);
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
    return isMajority(rollout, liveInstances);
}

} // namespace limpetpond
