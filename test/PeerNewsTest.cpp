#include "gateway/PeerNews.h"
#include <sys/resource.h>

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

// Found by the fuzzer: forty bytes claimed a list of two billion numbers, and room was made for all of them.
TEST(PeerNews, aMessageThatClaimsALongListTakesNoMemory)
{
    const std::string bytes = "\x69\xf7\xf7\xf7\xf7\xf7\xf7\xf7\x64\x3a\x20\x31\x0a\x64\x61\x0a\x0a\x0d\x0aid: 3\ndatata: b\r 3\ndata: c";
    constexpr long mostGrowth = 65536; // KiB
    auto peak = [] {
        rusage usage {};
        getrusage(RUSAGE_SELF, &usage);
        return usage.ru_maxrss;
    };
    const long before = peak();
    CHECK_FALSE(decodeNews(bytes).has_value());
    CHECK(peak() - before < mostGrowth);
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
