#include "peer/PeerConversion.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(PeerConversion) {};

TEST(PeerConversion, roundTripKeepsEveryField)
{
    Heartbeat heartbeat { .instance = InstanceId { "i1" }, .incarnation = Incarnation { 7 }, .sequence = 9, .settingsVersion = SettingsVersion { 12 }, .storeConfirmedAge = std::chrono::milliseconds(40), .leaving = true };
    heartbeat.pools = { { .pool = PoolId { "p" }, .floor = TierLevel { 1 }, .wantedFloor = TierLevel { 2 }, .lowestServed = TierLevel { 0 }, .waitingTokensByTier = { TokenCount { 3 }, TokenCount { 4 } } } };
    heartbeat.targets = { { .target = TargetId { "t" }, .tokensInProgress = TokenCount { 5 }, .requestsInProgress = 6, .leavingMarkVersion = SettingsVersion { 11 } } };
    heartbeat.members = { { .instance = InstanceId { "i2" }, .incarnation = Incarnation { 8 }, .state = MemberState::Departed, .sequence = 10 } };
    Heartbeat converted = fromThrift(toThrift(heartbeat));
    CHECK(converted.instance == heartbeat.instance && converted.incarnation == heartbeat.incarnation && converted.sequence == 9);
    CHECK(converted.settingsVersion == heartbeat.settingsVersion && converted.storeConfirmedAge == heartbeat.storeConfirmedAge && converted.leaving);
    CHECK(converted.pools[0].floor == TierLevel { 1 } && converted.pools[0].wantedFloor == TierLevel { 2 } && converted.pools[0].lowestServed == TierLevel { 0 });
    CHECK(converted.pools[0].waitingTokensByTier == heartbeat.pools[0].waitingTokensByTier);
    CHECK(converted.targets[0].target == TargetId { "t" } && converted.targets[0].tokensInProgress == TokenCount { 5 });
    CHECK(converted.targets[0].requestsInProgress == 6 && converted.targets[0].leavingMarkVersion == SettingsVersion { 11 });
    CHECK(converted.members[0].instance == InstanceId { "i2" } && converted.members[0].state == MemberState::Departed && converted.members[0].sequence == 10);
}

TEST(PeerConversion, ageIsRoundedUp)
{
    Heartbeat heartbeat { .storeConfirmedAge = std::chrono::microseconds(1) };
    LONGS_EQUAL(1, toThrift(heartbeat).storeConfirmedAgeMs);
}

TEST(PeerConversion, absentValuesStayAbsent)
{
    Heartbeat heartbeat;
    heartbeat.pools = { { .pool = PoolId { "p" } } };
    Heartbeat converted = fromThrift(toThrift(heartbeat));
    CHECK_FALSE(converted.storeConfirmedAge.has_value());
    CHECK_FALSE(converted.pools[0].lowestServed.has_value());
}

TEST(PeerConversion, numbersOutOfRangeAreClamped)
{
    rpc::Heartbeat wire;
    wire.settingsVersion = -5;
    wire.storeConfirmedAgeMs = INT64_MAX;
    wire.members.emplace_back();
    wire.members[0].state = 99;
    Heartbeat heartbeat = fromThrift(wire);
    CHECK(heartbeat.settingsVersion.isNone());
    CHECK_FALSE(heartbeat.storeConfirmedAge.has_value());
    CHECK(heartbeat.members[0].state == MemberState::Suspected);
}
