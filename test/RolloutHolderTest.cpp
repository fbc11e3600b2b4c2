#include "core/RolloutHolder.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };

} // namespace

TEST_GROUP(RolloutHolder)
{
    Rollout rollout { .order = { .time = 12s }, .orderedAt = start, .heardAt = start, .members = 3 };
    RolloutHolderInput input { .rollout = &rollout, .isStoreReachable = true, .newSlots = 40, .oldSlots = 40 };

    /// This instance holds the rollout in the phase, and two others act upon it.
    void hold(RolloutPhase phase, SteadyTime now)
    {
        rollout.position = { .generation = 1, .phase = phase };
        rollout.heardAt = now;
        input.isHolder = true;
        input.members = { { .hash = 1, .heardAt = now, .position = rollout.position }, { .hash = 2, .heardAt = now, .position = rollout.position } };
    }

    void expect(RolloutAction action, SteadyTime now)
    {
        RolloutStep step = nextStep(input, now);
        LONGS_EQUAL(static_cast<int>(action), static_cast<int>(step.action));
        CHECK_EQUAL(action == RolloutAction::None, step.reason.empty());
    }
};

TEST(RolloutHolder, theFirstInTurnTakesTheOrderUpAndOthersLater)
{
    expect(RolloutAction::TakeOver, start + 1ms);
    input.turn = 2;
    expect(RolloutAction::None, start + 600ms);
    expect(RolloutAction::TakeOver, start + 601ms);
}

TEST(RolloutHolder, aSilentHolderIsReplacedInTurn)
{
    rollout.position = { .generation = 1, .phase = RolloutPhase::Load };
    rollout.heardAt = start + 3s;
    expect(RolloutAction::None, start + 4500ms);
    expect(RolloutAction::TakeOver, start + 4501ms);
    input.turn = 1;
    expect(RolloutAction::None, start + 4800ms);
    expect(RolloutAction::TakeOver, start + 4801ms);
}

// Instances that learn of a new holder by the row, and haven't heard it yet, would replace it at once, and each other without end.
TEST(RolloutHolder, aNewHolderGetsTimeToBeHeard)
{
    rollout.position = { .generation = 1, .phase = RolloutPhase::Load };
    advancePosition(rollout, { .generation = 2, .phase = RolloutPhase::Load }, start + 5s);
    advancePosition(rollout, { .generation = 1, .phase = RolloutPhase::Switch }, start + 6s);
    expect(RolloutAction::None, start + 6500ms);
    expect(RolloutAction::TakeOver, start + 6501ms);
}

TEST(RolloutHolder, anOrderIsTakenUpAndRolledBackAfterItsDeadlineToo)
{
    expect(RolloutAction::TakeOver, start + 60s);
    hold(RolloutPhase::Sample, start + 60s);
    expect(RolloutAction::RollBack, start + 60s);
}

TEST(RolloutHolder, thePhasesFollowTheOrdersTime)
{
    hold(RolloutPhase::Sample, start + 4s);
    expect(RolloutAction::None, start + 4s);
    expect(RolloutAction::BeginLoad, start + 4200ms);
    hold(RolloutPhase::Load, start + 7s);
    input.verdict = RolloutVerdict::Sound;
    expect(RolloutAction::None, start + 7s);
    expect(RolloutAction::BeginSwitch, start + 7800ms);
    CHECK(decisionTime(rollout) == start + 10200ms);
}

TEST(RolloutHolder, aShortOrderWorks)
{
    rollout.order.time = 2s;
    expect(RolloutAction::TakeOver, start + 50ms);
    hold(RolloutPhase::Sample, start + 700ms);
    expect(RolloutAction::BeginLoad, start + 700ms);
    hold(RolloutPhase::Load, start + 1400ms);
    input.verdict = RolloutVerdict::Sound;
    expect(RolloutAction::BeginSwitch, start + 1400ms);
    hold(RolloutPhase::Switch, start + 1500ms);
    expect(RolloutAction::Succeed, start + 1500ms);
}

// The store may come back late: what has not run under load, or would end after the deadline, is not completed.
TEST(RolloutHolder, beforeTheSwitchItIsRolledBackAtTheDeadlineAlsoIfItIsSound)
{
    input.verdict = RolloutVerdict::Sound;
    hold(RolloutPhase::Sample, start + 10200ms);
    expect(RolloutAction::RollBack, start + 10200ms);
    hold(RolloutPhase::Load, start + 11s);
    expect(RolloutAction::BeginSwitch, start + 11s);
    expect(RolloutAction::RollBack, start + 12s);
}

// Without evidence, a bad version would replace a good one.
TEST(RolloutHolder, withTooLittleEvidenceItIsRolledBackAtTheDecisionTime)
{
    hold(RolloutPhase::Load, start + 10s);
    expect(RolloutAction::None, start + 10s);
    expect(RolloutAction::RollBack, start + 10200ms);
}

TEST(RolloutHolder, withoutEnoughNewTargetsItIsRolledBackAtTheDecisionTime)
{
    hold(RolloutPhase::Load, start + 9s);
    input.verdict = RolloutVerdict::Sound;
    for (int slots : { 0, 19 }) {
        input.newSlots = slots;
        expect(RolloutAction::None, start + 9s);
        expect(RolloutAction::RollBack, start + 10200ms);
    }
    input.newSlots = 20;
    expect(RolloutAction::BeginSwitch, start + 9s);
}

TEST(RolloutHolder, aBadVersionIsStoppedAtOnceAndThenRolledBack)
{
    hold(RolloutPhase::Sample, start + 1s);
    input.verdict = RolloutVerdict::Bad;
    expect(RolloutAction::Stop, start + 1s);
    rollout.position.isStopped = true;
    expect(RolloutAction::RollBack, start + 1s);
}

// A holder that has just ended must not leave a bad version in use.
TEST(RolloutHolder, beforeTheSwitchAnyInstanceStopsABadVersion)
{
    rollout.position = { .generation = 1, .phase = RolloutPhase::Load };
    rollout.heardAt = start + 5s;
    input.verdict = RolloutVerdict::Bad;
    expect(RolloutAction::Stop, start + 5s);
    rollout.position.isStopped = true;
    expect(RolloutAction::None, start + 5s);
}

// A write of the success whose answer was lost may be performed later: nobody may return to old targets before the rollback is written.
TEST(RolloutHolder, inSwitchABadVersionIsRolledBackWithoutAStop)
{
    rollout.position = { .generation = 1, .phase = RolloutPhase::Switch };
    rollout.heardAt = start + 9s;
    input.verdict = RolloutVerdict::Bad;
    expect(RolloutAction::None, start + 9s);
    hold(RolloutPhase::Switch, start + 9s);
    expect(RolloutAction::RollBack, start + 9s);
    input.isStoreReachable = false;
    expect(RolloutAction::None, start + 9s);
}

TEST(RolloutHolder, withoutTheStoreOnlyAStopIsDecided)
{
    input.isStoreReachable = false;
    expect(RolloutAction::None, start + 5s);
    hold(RolloutPhase::Sample, start + 5s);
    expect(RolloutAction::None, start + 5s);
    expect(RolloutAction::None, start + 20s);
    hold(RolloutPhase::Switch, start + 9s);
    expect(RolloutAction::None, start + 9s);
    hold(RolloutPhase::Load, start + 5s);
    input.verdict = RolloutVerdict::Bad;
    expect(RolloutAction::Stop, start + 5s);
    rollout.position.isStopped = true;
    expect(RolloutAction::None, start + 5s);
    input.isStoreReachable = true;
    expect(RolloutAction::RollBack, start + 30s);
}

TEST(RolloutHolder, itSucceedsWhenAllHaveLeftTheOldTargets)
{
    hold(RolloutPhase::Switch, start + 9s);
    input.ownOldInProgress = 1;
    expect(RolloutAction::None, start + 9s);
    input.ownOldInProgress = 0;
    input.members[0].oldInProgress = 1;
    expect(RolloutAction::None, start + 9s);
    input.members[0].oldInProgress = 0;
    input.members[1].position.phase = RolloutPhase::Load;
    expect(RolloutAction::None, start + 9s);
    input.members[1].position.phase = RolloutPhase::Switch;
    expect(RolloutAction::Succeed, start + 9s);
}

// What an instance acknowledged to an earlier holder says nothing of a stop that it heard from that one since.
TEST(RolloutHolder, onlyAnAcknowledgementOfTheOwnGenerationCounts)
{
    hold(RolloutPhase::Switch, start + 9s);
    input.members[0].position.generation = 0;
    expect(RolloutAction::None, start + 9s);
    input.members[0].position = rollout.position;
    input.members[0].position.isStopped = true;
    expect(RolloutAction::None, start + 9s);
}

// A silent instance may still send until its lease is over.
TEST(RolloutHolder, theLeaseOfASilentInstanceIsWaitedOut)
{
    hold(RolloutPhase::Switch, start + 9s);
    input.members[0].heardAt = start + 9s - rolloutLease - 1ms;
    expect(RolloutAction::None, start + 9s);
    input.members[1].heardAt = start + 9400ms;
    expect(RolloutAction::None, start + 9400ms);
    expect(RolloutAction::Succeed, start + 9501ms);
}

// Without a majority, others may use old targets, and those in reach lose their leases: a rollback lets them go on.
TEST(RolloutHolder, withoutAMajorityItDoesNotSucceedAndIsRolledBack)
{
    for (RolloutPhase phase : { RolloutPhase::Sample, RolloutPhase::Load, RolloutPhase::Switch }) {
        hold(phase, start + 2s);
        rollout.members = 6;
        expect(RolloutAction::None, start + 4s);
        input.members[0].heardAt = input.members[1].heardAt = start + 4s;
        expect(RolloutAction::RollBack, start + 4001ms);
    }
}

TEST(RolloutHolder, requestsAtOldTargetsMayEndAfterTheDeadline)
{
    hold(RolloutPhase::Switch, start + 14s);
    input.members[0].oldInProgress = 1;
    expect(RolloutAction::None, start + 14s);
    input.members[0].oldInProgress = 0;
    expect(RolloutAction::Succeed, start + 14s);
}

TEST(RolloutHolder, inSwitchItIsRolledBackWithoutAnyNewTarget)
{
    hold(RolloutPhase::Switch, start + 9s);
    input.newSlots = 0;
    input.members[0].oldInProgress = 1;
    expect(RolloutAction::RollBack, start + 9s);
}

TEST(RolloutHolder, anOrderForTheOnlyEstablishedVersionSucceedsAtOnce)
{
    input.isOnlyEstablished = true;
    hold(RolloutPhase::Sample, start + 100ms);
    expect(RolloutAction::Succeed, start + 100ms);
}

TEST(RolloutHolder, nothingFollowsAFinalState)
{
    for (RolloutPhase phase : { RolloutPhase::Succeeded, RolloutPhase::RolledBack }) {
        hold(phase, start + 9s);
        input.verdict = RolloutVerdict::Bad;
        expect(RolloutAction::None, start + 60s);
        input.isHolder = false;
        expect(RolloutAction::None, start + 60s);
    }
}
