#include "core/PeerVersionLag.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(PeerVersionLag)
{
    PeerVersionLag lag;
    const SteadyTime now { 1h };
};

TEST(PeerVersionLag, shortLagIsTolerated)
{
    recordOwnVersion(lag, 10);
    recordPeerVersion(lag, 12, "b", now);
    CHECK_FALSE(isBehind(lag, now + 300ms, 400ms));
    recordOwnVersion(lag, 12);
    CHECK_FALSE(isBehind(lag, now + 500ms, 400ms));
}

TEST(PeerVersionLag, longLagNamesTheLastPeerAhead)
{
    recordOwnVersion(lag, 10);
    recordPeerVersion(lag, 12, "b", now);
    recordPeerVersion(lag, 13, "c", now + 300ms);
    CHECK_TRUE(isBehind(lag, now + 401ms, 400ms));
    STRCMP_EQUAL("c", lag.aheadPeer.c_str());
}

TEST(PeerVersionLag, instanceThatFollowsWithAShortDelayIsNotBehind)
{
    for (int i = 1; i < 100; ++i) {
        SteadyTime at = now + i * 100ms;
        recordPeerVersion(lag, static_cast<std::uint64_t>(i), "b", at);
        recordOwnVersion(lag, static_cast<std::uint64_t>(i > 2 ? i - 2 : 0));
        CHECK_FALSE(isBehind(lag, at, 400ms));
    }
}

TEST(PeerVersionLag, olderVersionOfAPeerIsIgnored)
{
    recordOwnVersion(lag, 10);
    recordPeerVersion(lag, 9, "b", now);
    CHECK_FALSE(isBehind(lag, now + 1h, 400ms));
    STRCMP_EQUAL("", lag.aheadPeer.c_str());
}
