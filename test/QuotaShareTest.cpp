#include "core/QuotaShare.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(QuotaShare)
{
    SteadyTime now { std::chrono::hours(1) };
    QuotaFleet fleet;
    static constexpr int instances = 4;

    static InstanceId idOf(int i) { return InstanceId("instance-" + std::to_string(i)); }

    PeerHistory hear(int peer, std::uint64_t incarnation = 1, bool isLeaving = false)
    {
        return recordHeard(fleet, idOf(peer), { .incarnation = incarnation, .isLeaving = isLeaving }, now);
    }

    /// Hears the peers below `count` for some time.
    const QuotaShare& hearFor(Duration time, int count, bool isLastLeaving = false)
    {
        for (SteadyTime end = now + time; now < end; now += 100ms) {
            for (int peer = 1; peer < count; ++peer)
                hear(peer, 1, isLastLeaving && peer == count - 1);
            updateShare(fleet, now);
        }
        return updateShare(fleet, now);
    }
};

TEST(QuotaShare, aSingleFirstInstanceHasAllOfEachQuota)
{
    CHECK(updateShare(fleet, now).part == 1);
    CHECK_FALSE(fleet.share.isStarting);
}

// A process that starts among others doesn't know what they have used.
TEST(QuotaShare, anInstanceThatStartsAmongOthersHasOneEvenShareUntilItHasHeardThem)
{
    recordListed(fleet, { idOf(1), idOf(2), idOf(3) }, now);
    CHECK(updateShare(fleet, now).isStarting);
    DOUBLES_EQUAL(0.25, fleet.share.part, 1e-9);
    CHECK_FALSE(hearFor(500ms, instances).isStarting);
    DOUBLES_EQUAL(1, fleet.share.part, 1e-9);
}

TEST(QuotaShare, withoutTheStoresListAStartingInstanceHasASmallShare)
{
    fleet.expectedPeers = 2;
    CHECK(updateShare(fleet, now).isStarting);
    CHECK(fleet.share.part < 0.04);
}

// An instance that hears nobody could use the shares of all.
TEST(QuotaShare, anInstanceThatNeverHearsAnotherKeepsAnEvenShare)
{
    recordListed(fleet, { idOf(1), idOf(2), idOf(3) }, now);
    for (int i = 0; i < 20000; ++i) {
        now += 100ms;
        CHECK(updateShare(fleet, now).part <= 0.25);
    }
}

TEST(QuotaShare, silentPeersKeepTheirShares)
{
    hearFor(5s, instances);
    DOUBLES_EQUAL(0.5, hearFor(5s, 2).part, 1e-9);
    CHECK(fleet.share.known == 4);
    CHECK(fleet.share.heard == 2);
    DOUBLES_EQUAL(1, hearFor(1s, instances).part, 1e-9);
}

// The loss of single updates must not reduce a share.
TEST(QuotaShare, aPeerIsSilentOnlyAfterSeveralLostUpdates)
{
    hearFor(5s, instances);
    DOUBLES_EQUAL(1, hearFor(500ms, 2).part, 1e-9);
    CHECK(hearFor(300ms, 2).part < 1);
}

TEST(QuotaShare, aPeerThatStopsInOrderLeavesItsShareToTheOthers)
{
    hearFor(5s, instances);
    hearFor(3s, instances, true);
    DOUBLES_EQUAL(1, hearFor(3s, instances - 1).part, 1e-9);
    LONGS_EQUAL(3, fleet.share.known);
}

// A stopped instance that starts again with the same id has a share again.
TEST(QuotaShare, aPeerThatStartsAgainCountsAgain)
{
    hearFor(5s, instances);
    hearFor(3s, instances, true);
    hearFor(5s, instances - 1);
    hear(instances - 1, 2);
    LONGS_EQUAL(4, updateShare(fleet, now).known);
}

// Both the majority and the others would use a share at the same time.
TEST(QuotaShare, theMajorityTakesOverASilentShareOnlyAfterItsHolderHasGivenItUp)
{
    QuotaFleet minority;
    std::optional<SteadyTime> givenUpAt;
    std::optional<SteadyTime> takenOverAt;
    auto hearAll = [&] {
        for (int peer = 0; peer < 3; ++peer)
            recordHeard(minority, idOf(peer), { .incarnation = 1 }, now);
    };
    for (SteadyTime end = now + 5s; now < end; now += 100ms) {
        hearAll();
        updateShare(minority, now);
        hearFor(100ms, instances);
    }
    SteadyTime noticedAt = now + 1s;
    for (SteadyTime end = now + 15min; now < end && !takenOverAt; now += 1s) {
        double before = fleet.share.part;
        for (int peer = 1; peer < instances - 1; ++peer)
            hear(peer);
        if (updateShare(fleet, now).part == 1 && before < 1)
            takenOverAt = now;
        if (updateShare(minority, now).part < 0.02 && !givenUpAt)
            givenUpAt = now;
        CHECK(now < noticedAt || fleet.share.part + minority.share.part <= 1.0125 + 1e-9);
    }
    CHECK(givenUpAt && takenOverAt);
    CHECK(*takenOverAt - *givenUpAt >= 8s);
}

// Two halves that each take over the other's shares would use the quota twice.
TEST(QuotaShare, neitherHalfTakesOverTheOther)
{
    hearFor(5s, instances);
    DOUBLES_EQUAL(0.5, hearFor(20min, 2).part, 1e-9);
}

TEST(QuotaShare, theHistoryOfAPeerTellsItsLastSilence)
{
    hearFor(5s, instances);
    SteadyTime cutAt = now;
    CHECK(hear(1).silentUntil == SteadyTime());
    hearFor(5s, 1);
    PeerHistory history = hear(1);
    CHECK(history.silentUntil == now);
    CHECK(history.silentFrom >= cutAt);
    CHECK(history.silentFrom <= cutAt + 1s);
    CHECK(hear(1, 2).silentUntil == SteadyTime());
}
