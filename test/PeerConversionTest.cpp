#include "peer/PeerConversion.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(PeerConversion) {};

TEST(PeerConversion, heartbeatSurvivesTheRoundTrip)
{
    Heartbeat news { .instance = InstanceId { "i1" }, .incarnation = Incarnation { 7 }, .sequence = 9, .settingsVersion = SettingsVersion { 12 }, .storeConfirmedAge = std::chrono::milliseconds(40), .leaving = true };
    news.pools = { { .pool = PoolId { "p" }, .floor = TierLevel { 1 }, .wantedFloor = TierLevel { 2 }, .lowestServed = TierLevel { 0 }, .waitingTokensByTier = { TokenCount { 3 }, TokenCount { 4 } } } };
    news.targets = { { .target = TargetId { "t" }, .tokensInProgress = TokenCount { 5 }, .requestsInProgress = 6, .leavingMarkVersion = SettingsVersion { 11 } } };
    news.members = { { .instance = InstanceId { "i2" }, .incarnation = Incarnation { 8 }, .state = MemberState::Departed, .sequence = 10 } };
    Heartbeat back = fromThrift(toThrift(news));
    CHECK(back.instance == news.instance && back.incarnation == news.incarnation && back.sequence == 9);
    CHECK(back.settingsVersion == news.settingsVersion && back.storeConfirmedAge == news.storeConfirmedAge && back.leaving);
    CHECK(back.pools[0].floor == TierLevel { 1 } && back.pools[0].wantedFloor == TierLevel { 2 } && back.pools[0].lowestServed == TierLevel { 0 });
    CHECK(back.pools[0].waitingTokensByTier == news.pools[0].waitingTokensByTier);
    CHECK(back.targets[0].target == TargetId { "t" } && back.targets[0].tokensInProgress == TokenCount { 5 });
    CHECK(back.targets[0].requestsInProgress == 6 && back.targets[0].leavingMarkVersion == SettingsVersion { 11 });
    CHECK(back.members[0].instance == InstanceId { "i2" } && back.members[0].state == MemberState::Departed && back.members[0].sequence == 10);
}

TEST(PeerConversion, ageIsRoundedUp)
{
    Heartbeat news { .storeConfirmedAge = std::chrono::microseconds(1) };
    LONGS_EQUAL(1, toThrift(news).storeConfirmedAgeMs);
}

TEST(PeerConversion, noneStaysNone)
{
    Heartbeat news;
    news.pools = { { .pool = PoolId { "p" } } };
    Heartbeat back = fromThrift(toThrift(news));
    CHECK_FALSE(back.storeConfirmedAge.has_value());
    CHECK_FALSE(back.pools[0].lowestServed.has_value());
}

TEST(PeerConversion, numbersOutOfRangeAreBounded)
{
    rpc::Heartbeat wire;
    wire.settingsVersion = -5;
    wire.storeConfirmedAgeMs = INT64_MAX;
    wire.members.emplace_back();
    wire.members[0].state = 99;
    Heartbeat news = fromThrift(wire);
    CHECK(news.settingsVersion.isNone());
    CHECK_FALSE(news.storeConfirmedAge.has_value());
    CHECK(news.members[0].state == MemberState::Suspected);
}
