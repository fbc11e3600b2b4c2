#include "core/Floors.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Floors)
{
    FloorState floors;
    SteadyTime now { std::chrono::hours(1) };
    Duration hold { std::chrono::seconds(5) };
    TierLevel high { 2 };
    InstanceId peer { "b" };

    void wantHighFloor()
    {
        recordPressure(floors, high, now);
        updateFloors(floors, hold, now);
    }

    void receiveAnswer(TierLevel floor, std::optional<TierLevel> lowest, SteadyTime sentAt)
    {
        PeerState& state = floors.peers[peer];
        state.hasAnswered = true;
        state.update = { .floor = floor, .lowestServed = lowest };
        state.confirmedUpTo = sentAt;
    }

    bool mayShedHigh(std::optional<TierLevel> ownLowest = std::nullopt) { return mayShed(floors, { .lowest = ownLowest, .lowestKnown = TierLevel {} }, high); }
};

TEST(Floors, theLowestTierIsShedWithoutConfirmation)
{
    floors.peers[peer] = {};
    CHECK(mayShed(floors, { .lowestKnown = TierLevel { 1 } }, TierLevel { 1 }));
}

TEST(Floors, aHigherTierIsShedOnlyAfterEveryPeerConfirms)
{
    floors.peers[peer] = {};
    wantHighFloor();
    CHECK_FALSE(mayShedHigh());
    receiveAnswer(high, std::nullopt, now);
    CHECK(mayShedHigh());
    floors.peers[InstanceId("c")] = {};
    CHECK_FALSE(mayShedHigh());
}

TEST(Floors, aDepartedPeerNeedNotConfirm)
{
    floors.peers[peer] = {};
    wantHighFloor();
    floors.peers.erase(peer);
    CHECK(mayShedHigh());
}

TEST(Floors, aHigherTierIsNotShedWhileALowerOneIsServedHere)
{
    wantHighFloor();
    CHECK_FALSE(mayShedHigh(TierLevel { 1 }));
    CHECK(mayShedHigh(high));
}

TEST(Floors, aPeerThatServesALowerTierHasNotConfirmed)
{
    wantHighFloor();
    receiveAnswer(high, TierLevel { 1 }, now);
    CHECK_FALSE(mayShedHigh());
}

TEST(Floors, aPeerWithALowerFloorHasNotConfirmed)
{
    wantHighFloor();
    receiveAnswer(TierLevel { 1 }, std::nullopt, now);
    CHECK_FALSE(mayShedHigh());
}

TEST(Floors, anAnswerSentBeforeTheFloorWasWantedDoesNotConfirm)
{
    receiveAnswer(high, std::nullopt, now - std::chrono::milliseconds(1));
    wantHighFloor();
    CHECK_FALSE(mayShedHigh());
}

TEST(Floors, aFloorThatIsRaisedAgainNeedsANewConfirmation)
{
    wantHighFloor();
    receiveAnswer(high, std::nullopt, now);
    now += hold;
    updateFloors(floors, hold, now);
    CHECK(floors.wanted == TierLevel {});
    now += std::chrono::milliseconds(1);
    wantHighFloor();
    CHECK_FALSE(mayShedHigh());
}

TEST(Floors, theFloorIsHeldAfterRecentPressure)
{
    wantHighFloor();
    now += hold / 2;
    updateFloors(floors, hold, now);
    CHECK(floors.wanted == high);
}

TEST(Floors, aPeersWantedFloorIsInForce)
{
    floors.peers[peer].update.wantedFloor = high;
    updateFloors(floors, hold, now);
    CHECK(floors.inForce == high);
    CHECK(floors.wanted == TierLevel {});
}
