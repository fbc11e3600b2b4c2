#include "core/TargetSelection.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(TargetSelection)
{
    SteadyTime now { std::chrono::hours(1) };
    std::vector<TargetState> targets;
    TargetSelectionInput input { .ownFailureDomain = FailureDomainId("here"), .work = 20 };

    void add(const char* id, const char* domain, double millisecondsPerUnit)
    {
        targets.push_back({ .entry = { .id = TargetId(id), .failureDomain = FailureDomainId(domain), .slots = 6 }, .millisecondsPerUnit = millisecondsPerUnit });
    }

    std::string chosen()
    {
        std::optional<std::size_t> index = chooseTarget(targets, input, now);
        return index ? targets[*index].entry.id.value() : "";
    }
};

TEST(TargetSelection, prefersTheOwnFailureDomainAmongEqualTargets)
{
    add("far", "there", 10);
    add("near", "here", 10);
    STRCMP_EQUAL("near", chosen().c_str());
}

// Load: a third of the targets are three to four times slower than the others.
TEST(TargetSelection, slowTargetIsChosenWhenFastOnesAreFull)
{
    add("slow", "here", 44);
    add("fast", "there", 10);
    for (int i = 0; i < 6; ++i) {
        STRCMP_EQUAL("fast", chosen().c_str());
        ++targets[1].ownInProgress;
    }
    STRCMP_EQUAL("slow", chosen().c_str());
}

TEST(TargetSelection, requestsOfPeersCountAgainstTheSlots)
{
    add("a", "here", 10);
    targets[0].ownInProgress = 2;
    targets[0].peersInProgress = 4;
    STRCMP_EQUAL("", chosen().c_str());
}

TEST(TargetSelection, drainingTargetIsNotChosen)
{
    add("a", "here", 10);
    targets[0].entry.isDraining = true;
    STRCMP_EQUAL("", chosen().c_str());
    CHECK_FALSE(hasUsableTarget(targets));
}

TEST(TargetSelection, targetThatSaidThatItLeavesIsNotChosen)
{
    add("a", "here", 10);
    targets[0].notice.isLeaving = true;
    STRCMP_EQUAL("", chosen().c_str());
    CHECK_FALSE(hasUsableTarget(targets));
    add("b", "there", 10);
    STRCMP_EQUAL("b", chosen().c_str());
    CHECK(hasUsableTarget(targets));
}

TEST(TargetSelection, pausedTargetIsNotChosenAndReturnsGradually)
{
    add("a", "here", 10);
    targets[0].notice.pausedUntil = now + 2s;
    STRCMP_EQUAL("", chosen().c_str());
    CHECK(hasUsableTarget(targets));
    now += 2s;
    STRCMP_EQUAL("a", chosen().c_str());
    targets[0].ownInProgress = 1;
    STRCMP_EQUAL("", chosen().c_str());
    now += 500ms;
    targets[0].ownInProgress = 3;
    STRCMP_EQUAL("a", chosen().c_str());
    targets[0].ownInProgress = 4;
    STRCMP_EQUAL("", chosen().c_str());
}

// A target whose connections fail is probed again after its ejection, but not in a pause.
TEST(TargetSelection, ejectedTargetIsNotProbedWhileItIsPaused)
{
    add("a", "here", 10);
    recordConnectionFailure(targets[0], ConnectionFailure::Immediate, now);
    targets[0].notice.pausedUntil = now + 2s;
    now += 1s;
    STRCMP_EQUAL("", chosen().c_str());
    now += 1s;
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(TargetSelection, aPoolIsPausedUntilItsFirstUsableTargetReturns)
{
    add("a", "here", 10);
    add("b", "here", 10);
    add("leaving", "here", 10);
    targets[2].notice.isLeaving = true;
    targets[0].notice.pausedUntil = now + 3s;
    CHECK_FALSE(poolPausedUntil(targets, now).has_value());
    targets[1].notice.pausedUntil = now + 2s;
    CHECK(poolPausedUntil(targets, now) == now + 2s);
    CHECK_FALSE(poolPausedUntil(targets, now + 2s).has_value());
    CHECK_FALSE(poolPausedUntil({}, now).has_value());
}

TEST(TargetSelection, targetIsEjectedAfterConnectionFailuresAndProbedLater)
{
    add("bad", "here", 10);
    add("good", "there", 10);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    STRCMP_EQUAL("good", chosen().c_str());
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("", chosen().c_str());
    now += 600ms;
    STRCMP_EQUAL("bad", chosen().c_str());
    targets[0].probeInProgress = true;
    STRCMP_EQUAL("", chosen().c_str());
    targets[0].probeInProgress = false;
    recordAnswer(targets[0], 10.0, now);
    STRCMP_EQUAL("bad", chosen().c_str());
}

// Load: one target answers half of its requests with errors while its health checks succeed.
TEST(TargetSelection, targetWithAHighFailureRateIsChosenLast)
{
    add("failing", "here", 10);
    add("good", "there", 10);
    for (int i = 0; i < 10; ++i) {
        recordFailedAnswer(targets[0], now);
        recordAnswer(targets[0], 10.0, now);
    }
    STRCMP_EQUAL("good", chosen().c_str());
    now += 30s;
    STRCMP_EQUAL("failing", chosen().c_str());
}

TEST(TargetSelection, triedTargetIsAvoided)
{
    add("a", "here", 10);
    add("b", "there", 10);
    std::vector<TargetId> tried { TargetId("a") };
    input.avoid = &tried;
    STRCMP_EQUAL("b", chosen().c_str());
}

TEST(TargetSelection, promptTokensInProgressCountAsTime)
{
    add("a", "here", 10);
    add("b", "here", 10);
    targets[0].ownPromptTokens = 40000;
    STRCMP_EQUAL("b", chosen().c_str());
}

TEST(TargetSelection, targetAssignedToAPeerIsNotChosen)
{
    add("a", "here", 10);
    targets[0].assignedSlots = 0;
    STRCMP_EQUAL("", chosen().c_str());
}

// Load: instances overload a pool of two targets, because updates arrive too late to show each other's calls.
TEST(TargetSelection, concurrencyLimitFallsOnRejectionAndRecovers)
{
    add("a", "here", 10);
    targets[0].ownInProgress = 5;
    recordTargetFull(targets[0]);
    targets[0].ownInProgress = 3;
    STRCMP_EQUAL("", chosen().c_str());
    for (int i = 0; i < 100; ++i)
        recordAnswer(targets[0], 10.0, now);
    STRCMP_EQUAL("a", chosen().c_str());
}

TEST(TargetSelection, requestWaitsForAFastTargetWhenASlowOneWouldExceedItsDeadline)
{
    add("slow", "here", 100);
    add("fast", "here", 10);
    input.timeLeft = 2s;
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("", chosen().c_str());
    input.timeLeft = 10s;
    STRCMP_EQUAL("slow", chosen().c_str());
}

TEST(TargetSelection, shortCallsAllowMoreRequestsPerSlotAndIgnoreOutdatedUpdates)
{
    DOUBLES_EQUAL(1, requestsPerSlot(Duration::zero(), 100ms), 0);
    DOUBLES_EQUAL(2, requestsPerSlot(100ms, 100ms), 0.01);
    DOUBLES_EQUAL(2.5, requestsPerSlot(10ms, 100ms), 0.01);
    DOUBLES_EQUAL(1, peerUpdateWeight(600ms, 100ms), 0);
    CHECK(peerUpdateWeight(30ms, 100ms) < 0.2);
    add("seems-full", "here", 10);
    add("seems-empty", "here", 10);
    targets[0].peersInProgress = 6;
    input.peerUpdateWeight = 0;
    STRCMP_EQUAL("seems-full", chosen().c_str());
}

TEST(TargetSelection, targetEjectedByPeersIsChosenLast)
{
    add("ejected", "here", 10);
    add("good", "there", 10);
    targets[0].ejectedByPeers = 1;
    STRCMP_EQUAL("good", chosen().c_str());
}

// Load: all fast targets are busy for a moment, and a slow one is free on which the first event would come too late.
TEST(TargetSelection, requestWaitsForAFastTargetWhenASlowOneWouldMissItsObjective)
{
    add("fast", "here", 10);
    add("slow", "here", 100);
    targets[0].ownInProgress = 6;
    input.timeToObjective = 200ms;
    input.firstEventFactor = 2;
    STRCMP_EQUAL("", chosen().c_str());
    input.timeToObjective = 2s;
    STRCMP_EQUAL("slow", chosen().c_str());
    input.timeToObjective = 10ms; // Too late at every target.
    STRCMP_EQUAL("slow", chosen().c_str());
}

TEST(TargetSelection, firstEventFactorFollowsMeasuredTimes)
{
    double factor = 1;
    for (int i = 0; i < 200; ++i)
        updateFirstEventFactor(factor, 240, 100);
    DOUBLES_EQUAL(2.4, factor, 0.05);
    updateFirstEventFactor(factor, 1e6, 100);
    CHECK(factor < 2.6);
}

// Load: calls that end before peers receive an update, at instances with unequal demand.
TEST(TargetSelection, requestsAllowedInAPoolFollowDemandAndAreNeverZero)
{
    add("a", "here", 10);
    add("b", "here", 10);
    std::vector<DispatchingInstance> peers(5, { .demand = 10 });
    LONGS_EQUAL(9, countAllowedRequests(12, { .demand = 50 }, peers));
    LONGS_EQUAL(1, countAllowedRequests(12, { .demand = 1 }, peers));
    input.ownRequestsAllowed = 1;
    targets[0].ownInProgress = 1;
    STRCMP_EQUAL("", chosen().c_str());
}

TEST(TargetSelection, targetWithAllAssignedSlotsInUseIsNotChosen)
{
    add("a", "here", 10);
    targets[0].assignedSlots = 2;
    targets[0].ownInProgress = 1;
    STRCMP_EQUAL("a", chosen().c_str());
    targets[0].ownInProgress = 2;
    STRCMP_EQUAL("", chosen().c_str());
}

// Load: a target resets four in ten connections at once while all others are full. Its slots are always free, so it
// would receive most of the requests.
TEST(TargetSelection, targetIsEjectedAfterOneImmediateConnectionFailure)
{
    add("resets", "here", 10);
    recordAnswer(targets[0], 10.0, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Immediate, now);
    STRCMP_EQUAL("", chosen().c_str());
    now += 600ms;
    STRCMP_EQUAL("resets", chosen().c_str());
    recordAnswer(targets[0], 10.0, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    STRCMP_EQUAL("resets", chosen().c_str());
}

TEST(TargetSelection, targetEjectedByPeersIsUsedByTheNearestInstanceAndThoseItAnswers)
{
    add("ejected", "here", 10);
    targets[0].ejectedByPeers = 2;
    targets[0].distance = 0.5;
    STRCMP_EQUAL("", chosen().c_str());
    targets[0].distance = 0;
    STRCMP_EQUAL("ejected", chosen().c_str());
    targets[0].distance = 0.5;
    targets[0].lastAnswerAt = now - 300ms;
    STRCMP_EQUAL("ejected", chosen().c_str());
}

// Load: many requests share a long part of their prompts, and one target has read it.
TEST(TargetSelection, aTargetThatHasTheSharedPartsIsPreferredAlsoWhereOtherInstancesAreNearer)
{
    add("near", "here", 20);
    add("cached", "there", 20);
    targets[1].distance = 1;
    input.promptTokens = 8000;
    STRCMP_EQUAL("near", chosen().c_str());
    input.cachedTokens = { 0, 7000 };
    STRCMP_EQUAL("cached", chosen().c_str());
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("near", chosen().c_str());
}

TEST(TargetSelection, aCacheDoesNotMakeASlowTargetMeetTheObjective)
{
    add("fast", "here", 10);
    add("slow", "here", 80);
    input.promptTokens = 10000;
    input.timeToObjective = 600ms;
    input.cachedTokens = { 0, 10000 };
    STRCMP_EQUAL("fast", chosen().c_str());
}

// A target reads a long prompt in between the tokens of the requests that run there.
TEST(TargetSelection, aLongPromptGoesWhereItDelaysFewerOthers)
{
    add("idle", "there", 20);
    add("busy", "here", 20);
    targets[1].ownInProgress = 2;
    targets[0].distance = 0.1;
    input.work = 10;
    STRCMP_EQUAL("busy", chosen().c_str());
    input.promptTokens = 20000;
    STRCMP_EQUAL("idle", chosen().c_str());
}

// A version that may be bad gets no request beyond its share, also where only its targets have free slots.
TEST(TargetSelection, sampleTargetsGetOnlyTheRequestsOfTheirShare)
{
    add("old", "there", 50);
    add("sample", "here", 10);
    add("unknown", "here", 10);
    targets[1].isSample = true;
    targets[2].isVersionAllowed = false;
    STRCMP_EQUAL("old", chosen().c_str());
    targets[0].ownInProgress = 6;
    STRCMP_EQUAL("", chosen().c_str());
    input.usesSamples = true;
    STRCMP_EQUAL("sample", chosen().c_str());
}

TEST(TargetSelection, targetsOfAVersionThatIsNotAllowedAreNotUsable)
{
    add("unknown", "here", 10);
    targets[0].isVersionAllowed = false;
    CHECK_FALSE(hasUsableTarget(targets));
    CHECK_FALSE(isLeaving(targets[0]));
}
