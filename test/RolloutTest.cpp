#include "core/Rollout.h"
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

Rollout runningRollout()
{
    return { .order = { .time = 12s }, .orderedAt = start, .position = { .generation = 2, .phase = RolloutPhase::Load }, .heardAt = start, .members = 4 };
}

} // namespace

TEST_GROUP(Rollout) {};

// A position that goes back would send requests to versions that are no longer allowed.
TEST(Rollout, finalPhasesThenGenerationsThenPhasesAreLater)
{
    const std::vector<RolloutPosition> ascending {
        {},
        { .generation = 1, .phase = RolloutPhase::Sample },
        { .generation = 1, .phase = RolloutPhase::Switch },
        { .generation = 2, .phase = RolloutPhase::Sample },
        { .generation = 1, .phase = RolloutPhase::Succeeded },
        { .generation = 2, .phase = RolloutPhase::RolledBack },
    };
    for (std::size_t i = 0; i < ascending.size(); ++i) {
        for (std::size_t j = 0; j < ascending.size(); ++j) {
            CHECK(laterPosition(ascending[i], ascending[j]) == ascending[std::max(i, j)]);
        }
    }
}

TEST(Rollout, aStopByAnyInstanceCountsBeforeTheSwitch)
{
    RolloutPosition stopped { .generation = 1, .phase = RolloutPhase::Sample, .isStopped = true };
    RolloutPosition load { .generation = 2, .phase = RolloutPhase::Load };
    CHECK(laterPosition(stopped, load).isStopped);
    CHECK(laterPosition(load, stopped).isStopped);
}

// An instance that returned to old targets by an update of a replaced holder could send while the new one ends the rollout.
TEST(Rollout, inSwitchOnlyAStopInTheSameGenerationCounts)
{
    RolloutPosition current { .generation = 2, .phase = RolloutPhase::Switch };
    CHECK_FALSE(laterPosition(current, { .generation = 1, .phase = RolloutPhase::Switch, .isStopped = true }).isStopped);
    CHECK_FALSE(laterPosition({ .generation = 1, .phase = RolloutPhase::Load, .isStopped = true }, current).isStopped);
    CHECK_FALSE(laterPosition(current, { .generation = 2, .phase = RolloutPhase::Load, .isStopped = true }).isStopped);
    CHECK(laterPosition(current, { .generation = 2, .phase = RolloutPhase::Switch, .isStopped = true }).isStopped);
}

// With ages that each instance passes on, delays on the way would keep a holder that has ended alive for good.
TEST(Rollout, aBeatThatIsPassedOnForeverCountsOnce)
{
    Rollout holder = runningRollout();
    holdRollout(holder, { start + 1s, start + 1s, start }, start + 1s);
    Rollout other = runningRollout();
    recordBeat(other, holder.beatGeneration, holder.beat, 0s, start + 2s);
    CHECK(other.heardAt == start + 2s);
    recordBeat(other, holder.beatGeneration, holder.beat, 0s, start + 3s);
    CHECK(other.heardAt == start + 2s);
    holdRollout(holder, { start + 4s, start + 4s, start }, start + 4s);
    recordBeat(other, holder.beatGeneration, holder.beat, 0s, start + 4s);
    CHECK(other.heardAt == start + 4s);
}

// A holder that is cut off from all others would go on sending to old targets that a later one has ended.
TEST(Rollout, aHoldersOwnLeaseBeginsWhenAMajorityWasLastHeard)
{
    Rollout rollout = runningRollout();
    for (SteadyTime now = start; now < start + 6s; now += 200ms)
        holdRollout(rollout, { std::min(now, start + 2s), std::min(now, start + 1s), now }, now);
    CHECK(rollout.heardAt == start + 2s);
    CHECK(mayUsePool(rollout, 2, start + 4999ms));
    CHECK_FALSE(mayUsePool(rollout, 2, start + 5s));
}

TEST(Rollout, theOnlyInstanceIsAMajority)
{
    Rollout rollout = runningRollout();
    rollout.members = 1;
    holdRollout(rollout, {}, start + 5s);
    CHECK(rollout.heardAt == start + 5s);
}

TEST(Rollout, aNewHoldersBeatsBeginAgain)
{
    Rollout other = runningRollout();
    recordBeat(other, 2, 5, 0s, start + 1s);
    recordBeat(other, 3, 1, 500ms, start + 2s);
    CHECK(other.heardAt == start + 1500ms);
    recordBeat(other, 2, 99, 0s, start + 5s);
    CHECK(other.heardAt == start + 1500ms);
    Rollout holder = runningRollout();
    holder.beatGeneration = 1;
    holder.beat = 7;
    holdRollout(holder, { start + 1s, start + 1s }, start + 1s);
    LONGS_EQUAL(1, holder.beat);
}

// The updates of instances that still hear a replaced holder must not keep a lease alive.
TEST(Rollout, onlyTheCurrentHoldersBeatCounts)
{
    Rollout rollout = runningRollout();
    recordBeat(rollout, 1, 0s, start + 5s);
    CHECK(rollout.heardAt == start);
    recordBeat(rollout, 2, 1s, start + 5s);
    CHECK(rollout.heardAt == start + 4s);
    recordBeat(rollout, 2, 3s, start + 6s);
    CHECK(rollout.heardAt == start + 4s);
}

TEST(Rollout, aMinorityWithoutTheHoldersWordSendsNothingUntilTheDeadline)
{
    Rollout rollout = runningRollout();
    CHECK(mayUsePool(rollout, 1, start + rolloutLease - 1ms));
    CHECK_FALSE(mayUsePool(rollout, 1, start + rolloutLease));
    CHECK_FALSE(mayUsePool(rollout, 2, start + rolloutLease));
    CHECK(mayUsePool(rollout, 3, start + rolloutLease));
    CHECK(mayUsePool(rollout, 1, start + 12s));
}

TEST(Rollout, beforeItBeginsAndAfterItsEndAnInstanceMaySend)
{
    Rollout rollout = runningRollout();
    rollout.position = {};
    CHECK(mayUsePool(rollout, 1, start + 5s));
    rollout.position = { .generation = 1, .phase = RolloutPhase::RolledBack };
    CHECK(mayUsePool(rollout, 1, start + 5s));
}
