/// Tests the share of quotas that gateways use while they don't hear each other.

#include "test/GatewayFixture.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP_BASE(GatewayQuota, GatewayFixture) {
    int sharePercent() const {
        std::string text = metricsText();
std::size_t at = text.find("\nlimpetpond_quota_share_percent ");
return at == std::string::npos ? -1 : std::atoi(text.c_str() + at + 32);
}

/// The status of a request of the account with a quota of one a second and two at once.
std::string callOfSmallAccount() const
{
    return statusOf(answerTo("POST /draft/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token k2\r\nContent-Length: 0\r\n\r\n"));
}
}
;

TEST(GatewayQuota, aSingleFirstGatewayHasAllOfEachQuota)
{
    addTarget([](fakes::TargetCall& request) { request.answer(200, "done"); });
    auto running = start();
    LONGS_EQUAL(100, sharePercent());
    STRCMP_EQUAL("200", callOfSmallAccount().c_str());
    STRCMP_EQUAL("200", callOfSmallAccount().c_str());
    STRCMP_EQUAL("429", callOfSmallAccount().c_str());
}

// A gateway that heard its peer no longer granted the whole quota after six seconds.
TEST(GatewayQuota, aGatewayThatNoLongerHearsItsPeerUsesHalfOfEachQuota)
{
    addTarget([](fakes::TargetCall& request) { request.answer(200, "done"); });
    auto running = start();
    auto peer = std::make_unique<RunningGateway>(store->port(),
        RunningGatewayOptions { .instance = "front-a-2", .ip = "127.0.0.2", .peerPort = gateway->peerPort(), .seedIps = { "127.0.0.1" } });
    CHECK(eventually([&] { return peer->readiness() == 200; }));
    std::this_thread::sleep_for(500ms);
    LONGS_EQUAL(100, sharePercent());
    peer.reset();
    std::this_thread::sleep_for(7s);
    LONGS_EQUAL(50, sharePercent());
}
