#include "base/Timeline.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Timeline)
{
    ManualClock clock;
    Timeline timeline { { .capacity = 3, .process = "i1" }, clock };
};

TEST(Timeline, keepsTheLatestEntriesInOrder)
{
    for (const char* kind : { "a", "b", "c", "d" })
        timeline.record({ .kind = kind });
    auto entries = timeline.entries(0, {});
    LONGS_EQUAL(3, entries.size());
    STRCMP_EQUAL("b", entries.front().entry.kind.c_str());
    LONGS_EQUAL(4, entries.back().sequence);
    LONGS_EQUAL(1, timeline.entries(3, {}).size());
}

TEST(Timeline, findsTheEntriesOfARequest)
{
    timeline.record({ .kind = "a", .request = RequestId { "r1" } });
    timeline.record({ .kind = "b", .request = RequestId { "r2" } });
    LONGS_EQUAL(1, timeline.entries(0, RequestId { "r2" }).size());
}

TEST(Timeline, logicalTimeAdvancesPastAReceivedOne)
{
    timeline.observeLogicalTime(100);
    timeline.record({ .kind = "a" });
    LONGS_EQUAL(101, timeline.entries(0, {}).front().logicalTime);
}
