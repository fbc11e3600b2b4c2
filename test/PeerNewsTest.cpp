#include "gateway/PeerNews.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(PeerNews) {};

TEST(PeerNews, aMessageComesBackAsItWas)
{
    InstanceNews news { .instance = InstanceId("a"), .incarnation = 1770544563022, .sequence = 5, .settingsVersion = SettingsVersion(12), .isLeaving = true };
    news.targets.push_back({ .target = 0xfffffff0U, .inProgress = 6 });
    news.accounts.push_back({ .account = 7, .admitted = 123456 });
    news.failureDomain = FailureDomainId("z1");
    news.closedTargets = { 3, 0xfffffff1U };
    news.demands = { { .pool = 9, .demand = 17 } };
    std::optional<InstanceNews> read = decodeNews(encodeNews(news));
    CHECK(read.has_value());
    CHECK(read->instance == news.instance);
    CHECK(read->incarnation == news.incarnation);
    LONGS_EQUAL(5, read->sequence);
    CHECK(read->isLeaving);
    CHECK(read->targets.at(0).target == 0xfffffff0U);
    LONGS_EQUAL(6, read->targets.at(0).inProgress);
    CHECK(read->failureDomain == news.failureDomain);
    CHECK(read->closedTargets == news.closedTargets);
    CHECK(read->demands == news.demands);
    DOUBLES_EQUAL(123456, read->accounts.at(0).admitted, 0);
}

TEST(PeerNews, otherBytesAreNoMessage)
{
    CHECK_FALSE(decodeNews("").has_value());
    std::string whole = encodeNews({ .instance = InstanceId("a") });
    CHECK_FALSE(decodeNews(std::string_view(whole).substr(0, whole.size() / 2)).has_value());
}

TEST(PeerNews, twentyBusyTargetsFitInASmallDatagram)
{
    InstanceNews news { .instance = InstanceId("front-sj-norte-1") };
    for (std::uint32_t i = 0; i < 20; ++i)
        news.targets.push_back({ .target = i * 123456789U, .inProgress = 6 });
    CHECK(encodeNews(news).size() < 200);
}

TEST(PeerNews, aLaterMessageOfOneIncarnationIsNewer)
{
    HeardNews heard { .incarnation = 1000, .sequence = 5 };
    CHECK_FALSE(isNewer(heard, { .incarnation = 1000, .sequence = 5 }));
    CHECK(isNewer(heard, { .incarnation = 1000, .sequence = 6 }));
}

TEST(PeerNews, aRestartAfterTheClockWasSetBackIsHeard)
{
    HeardNews heard { .incarnation = 1000, .sequence = 5 };
    CHECK(isNewer(heard, { .incarnation = 900, .sequence = 1 }));
    heard = { .incarnation = 900, .earlierIncarnation = 1000, .sequence = 1 };
    CHECK_FALSE(isNewer(heard, { .incarnation = 1000, .sequence = 9 }));
}
