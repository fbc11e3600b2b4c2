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

    void want()
    {
        recordPressure(floors, high, now);
        updateFloors(floors, hold, now);
    }

    void answer(TierLevel floor, std::optional<TierLevel> lowest, SteadyTime sentAt)
    {
        PeerState& state = floors.peers[peer];
        state.hasAnswered = true;
        state.update = { .floor = floor, .lowestServed = lowest };
        state.confirmedUpTo = sentAt;
    }

    bool may(std::optional<TierLevel> ownLowest = std::nullopt) { return mayShed(floors, { .lowest = ownLowest, .lowestKnown = TierLevel {} }, high); }
};

TEST(Floors, theLowestTierIsShedWithoutConfirmation)
{
    floors.peers[peer] = {};
    CHECK(mayShed(floors, { .lowestKnown = TierLevel { 1 } }, TierLevel { 1 }));
}

TEST(Floors, aHigherTierWaitsForEveryPeer)
{
    floors.peers[peer] = {};
    want();
    CHECK_FALSE(may());
    answer(high, std::nullopt, now);
    CHECK(may());
    floors.peers[InstanceId("c")] = {};
    CHECK_FALSE(may());
}

TEST(Floors, aDepartedPeerNeedNotConfirm)
{
    floors.peers[peer] = {};
    want();
    floors.peers.erase(peer);
    CHECK(may());
}

TEST(Floors, ownLowerWorkKeepsTheHigherFromBeingShed)
{
    want();
    CHECK_FALSE(may(TierLevel { 1 }));
    CHECK(may(high));
}

TEST(Floors, aPeerThatServesLowerWorkHasNotConfirmed)
{
    want();
    answer(high, TierLevel { 1 }, now);
    CHECK_FALSE(may());
}

TEST(Floors, aPeerWithALowerFloorHasNotConfirmed)
{
    want();
    answer(TierLevel { 1 }, std::nullopt, now);
    CHECK_FALSE(may());
}

TEST(Floors, anAnswerFromBeforeTheFloorWasWantedConfirmsNothing)
{
    answer(high, std::nullopt, now - std::chrono::milliseconds(1));
    want();
    CHECK_FALSE(may());
}

TEST(Floors, aFloorThatWasLoweredMustBeConfirmedAgain)
{
    want();
    answer(high, std::nullopt, now);
    now += hold;
    updateFloors(floors, hold, now);
    CHECK(floors.wanted == TierLevel {});
    now += std::chrono::milliseconds(1);
    want();
    CHECK_FALSE(may());
}

TEST(Floors, theFloorIsHeldWhileThePressureIsRecent)
{
    want();
    now += hold / 2;
    updateFloors(floors, hold, now);
    CHECK(floors.wanted == high);
}

TEST(Floors, aPeersWantedFloorIsInForceHere)
{
    floors.peers[peer].update.wantedFloor = high;
    updateFloors(floors, hold, now);
    CHECK(floors.inForce == high);
    CHECK(floors.wanted == TierLevel {});
}
