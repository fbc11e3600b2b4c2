#include "core/TargetSelection.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(TargetSelection)
{
    SteadyTime now { std::chrono::hours(1) };
    std::vector<TargetState> targets;
    TargetSelectionInput wanted { .ownFailureDomain = FailureDomainId("here"), .work = 20 };

    void add(const char* id, const char* domain, double millisecondsPerUnit)
    {
        targets.push_back({ .entry = { .id = TargetId(id), .failureDomain = FailureDomainId(domain), .slots = 6 }, .millisecondsPerUnit = millisecondsPerUnit });
    }

    std::string place()
    {
        std::optional<std::size_t> found = chooseTarget(targets, wanted, now);
        return found ? targets[*found].entry.id.value() : "";
    }
};

TEST(TargetSelection, theOwnFailureDomainGoesFirstAmongLikes)
{
    add("far", "there", 10);
    add("near", "here", 10);
    STRCMP_EQUAL("near", place().c_str());
}

// Load: a third of the targets work three to four times as slowly as the others.
TEST(TargetSelection, slowTargetsGetWhatTheFastOnesHaveNoRoomFor)
{
    add("slow", "here", 44);
    add("fast", "there", 10);
    for (int i = 0; i < 6; ++i) {
        STRCMP_EQUAL("fast", place().c_str());
        ++targets[1].ownInProgress;
    }
    STRCMP_EQUAL("slow", place().c_str());
}

TEST(TargetSelection, noTargetGetsMoreThanItsSlotsWithPeersCounted)
{
    add("a", "here", 10);
    targets[0].ownInProgress = 2;
    targets[0].peersInProgress = 4;
    STRCMP_EQUAL("", place().c_str());
}

TEST(TargetSelection, drainingTargetsGetNothing)
{
    add("a", "here", 10);
    targets[0].entry.isDraining = true;
    STRCMP_EQUAL("", place().c_str());
    CHECK_FALSE(hasUsableTarget(targets));
}

TEST(TargetSelection, aTargetThatBreaksConnectionsIsClosedAndTriedAgain)
{
    add("bad", "here", 10);
    add("good", "there", 10);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    STRCMP_EQUAL("good", place().c_str());
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("", place().c_str());
    now += 600ms;
    STRCMP_EQUAL("bad", place().c_str());
    targets[0].probeInProgress = true;
    STRCMP_EQUAL("", place().c_str());
    targets[0].probeInProgress = false;
    recordAnswer(targets[0], 10.0, now);
    STRCMP_EQUAL("bad", place().c_str());
}

// Load: one target answers with errors to half of its requests while its health checks are good.
TEST(TargetSelection, aTargetThatFailsHalfOfItsRequestsGetsFewer)
{
    add("grey", "here", 10);
    add("good", "there", 10);
    for (int i = 0; i < 10; ++i) {
        recordFailedAnswer(targets[0], now);
        recordAnswer(targets[0], 10.0, now);
    }
    STRCMP_EQUAL("good", place().c_str());
    now += 30s;
    STRCMP_EQUAL("grey", place().c_str());
}

TEST(TargetSelection, aTargetThatWasTriedIsAvoided)
{
    add("a", "here", 10);
    add("b", "there", 10);
    std::vector<TargetId> tried { TargetId("a") };
    wanted.avoid = &tried;
    STRCMP_EQUAL("b", place().c_str());
}

TEST(TargetSelection, longPromptsAheadCountAsTime)
{
    add("a", "here", 10);
    add("b", "here", 10);
    targets[0].ownPromptTokens = 40000;
    STRCMP_EQUAL("b", place().c_str());
}

// Load: 26 instances learn in the same moment that a target came back empty.
TEST(TargetSelection, aFreePlaceIsTakenByOneOfTheInstancesThatWait)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 26; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId(i % 3 ? "here" : "there") });
    for (std::uint64_t target = 1; target <= 50; ++target) {
        int nearest = 0;
        for (const DispatchingInstance& instance : instances)
            nearest += rendezvousDistance(FailureDomainId("here"), target, instance, instances) == 0;
        LONGS_EQUAL(1, nearest);
    }
}

TEST(TargetSelection, targetsAreSharedEvenlyAmongInstances)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 5; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId("here") });
    int nearest = 0;
    for (std::uint64_t target = 1; target <= 500; ++target)
        nearest += rendezvousDistance(FailureDomainId("here"), target * 104729, instances[2], instances) == 0;
    CHECK(nearest > 60);
    CHECK(nearest < 140);
}

TEST(TargetSelection, aTargetWithoutInstancesInItsDomainBelongsToOneOfAll)
{
    std::vector<DispatchingInstance> instances { { .hash = 1, .failureDomain = FailureDomainId("a") }, { .hash = 2, .failureDomain = FailureDomainId("b") } };
    double first = rendezvousDistance(FailureDomainId("c"), 5, instances[0], instances);
    double second = rendezvousDistance(FailureDomainId("c"), 5, instances[1], instances);
    DOUBLES_EQUAL(1, first + second, 0);
    DOUBLES_EQUAL(1, rendezvousDistance(FailureDomainId("a"), 5, instances[1], instances), 0);
}

TEST(TargetSelection, aPlaceLeftToANearerInstanceIsNotTaken)
{
    add("a", "here", 10);
    targets[0].isAssignedToPeer = true;
    STRCMP_EQUAL("", place().c_str());
}

// Load: a pool of two targets is asked for more than it carries by instances that can't see each other's calls in time.
TEST(TargetSelection, aTargetWithoutRoomGetsFewerAtOnceAndThenMoreAgain)
{
    add("a", "here", 10);
    targets[0].ownInProgress = 5;
    recordTargetFull(targets[0]);
    targets[0].ownInProgress = 3;
    STRCMP_EQUAL("", place().c_str());
    for (int i = 0; i < 100; ++i)
        recordAnswer(targets[0], 10.0, now);
    STRCMP_EQUAL("a", place().c_str());
}

TEST(TargetSelection, whatWouldNotEndInTimeWaitsForAFasterTarget)
{
    add("slow", "here", 100);
    add("fast", "here", 10);
    wanted.timeLeft = 2s;
    targets[1].ownInProgress = 6;
    STRCMP_EQUAL("", place().c_str());
    wanted.timeLeft = 10s;
    STRCMP_EQUAL("slow", place().c_str());
}

TEST(TargetSelection, wherePlacesAreKnownTooLateMoreIsSentAndOldDifferencesAreNotBelieved)
{
    DOUBLES_EQUAL(1, requestsPerSlot(Duration::zero(), 100ms), 0);
    DOUBLES_EQUAL(2, requestsPerSlot(100ms, 100ms), 0.01);
    DOUBLES_EQUAL(2.5, requestsPerSlot(10ms, 100ms), 0.01);
    DOUBLES_EQUAL(1, peerUpdateWeight(600ms, 100ms), 0);
    CHECK(peerUpdateWeight(30ms, 100ms) < 0.2);
    add("seems-full", "here", 10);
    add("seems-empty", "here", 10);
    targets[0].peersInProgress = 6;
    wanted.peerUpdateWeight = 0;
    STRCMP_EQUAL("seems-full", place().c_str());
}

TEST(TargetSelection, whatPeersCannotReachGoesLast)
{
    add("lost", "here", 10);
    add("good", "there", 10);
    targets[0].ejectedByPeers = 1;
    STRCMP_EQUAL("good", place().c_str());
}

// Load: instances whose callers are unevenly spread all have requests waiting.
TEST(TargetSelection, freePlacesGoToWaitingInstancesInProportionToTheirDemand)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 8; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId("here"), .demand = i == 1 ? 30.0 : 10.0 });
    std::map<std::uint64_t, int> owned;
    for (std::uint64_t target = 1; target <= 2000; ++target) {
        int owners = 0;
        for (const DispatchingInstance& instance : instances) {
            std::vector<DispatchingInstance> others = instances;
            std::erase_if(others, [&](const DispatchingInstance& other) { return other.hash == instance.hash; });
            if (isAssignedToPeer(FailureDomainId("here"), target, instance, others))
                continue;
            ++owners;
            ++owned[instance.hash];
        }
        LONGS_EQUAL(1, owners);
    }
    DOUBLES_EQUAL(0.3, owned[7919] / 2000.0, 0.05);
    DOUBLES_EQUAL(0.1, owned[std::uint64_t { 3 } * 7919] / 2000.0, 0.04);
}

TEST(TargetSelection, urgentRequestsCountMore)
{
    CHECK(demandOf(0) > 2 * demandOf(1));
    CHECK(demandOf(1) > demandOf(2));
    CHECK(demandOf(9) >= 1);
}

// Load: 26 instances in front of two plain targets, all with requests waiting.
TEST(TargetSelection, aFewTargetsAreNotSharedOutAmongManyInstances)
{
    CHECK(canPartitionTargets(140, 26, 1));
    CHECK(canPartitionTargets(9, 4, 1));
    CHECK_FALSE(canPartitionTargets(2, 26, 1));
    CHECK_FALSE(canPartitionTargets(140, 26, 0.1));
}

// Load: a target resets four in ten requests at once while all others are full, so that its places are always free.
TEST(TargetSelection, aTargetThatBreaksAtOnceDrawsInNoFurtherRequests)
{
    add("resets", "here", 10);
    recordAnswer(targets[0], 10.0, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Immediate, now);
    STRCMP_EQUAL("", place().c_str());
    now += 600ms;
    STRCMP_EQUAL("resets", place().c_str());
    recordAnswer(targets[0], 10.0, now);
    recordConnectionFailure(targets[0], ConnectionFailure::Late, now);
    STRCMP_EQUAL("resets", place().c_str());
}

TEST(TargetSelection, whatPeersCannotReachIsTriedByTheNearestAndByThoseThatItAnswers)
{
    add("lost", "here", 10);
    targets[0].ejectedByPeers = 2;
    targets[0].distance = 0.5;
    STRCMP_EQUAL("", place().c_str());
    targets[0].distance = 0;
    STRCMP_EQUAL("lost", place().c_str());
    targets[0].distance = 0.5;
    targets[0].lastAnswerAt = now - 300ms;
    STRCMP_EQUAL("lost", place().c_str());
}
