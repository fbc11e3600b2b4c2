#include "core/FairQueue.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(FairQueue)
{
    WaitingStore store;
    FairQueue queue;
    SteadyTime start { std::chrono::hours(1) };
    int made { 0 };

    WaitingIndex add(const char* account, std::int64_t tokens = 100, double weight = 1)
    {
        made += 1;
        QueuedRequest request { .request = RequestId("r" + std::to_string(made)),
            .account = ClientAccountId(account),
            .promptTokens = TokenCount(tokens) };
        return push(store, queue, request, { .weight = weight }, start + std::chrono::seconds(made));
    }

    std::string takeNext()
    {
        WaitingIndex next = selectNext(queue, {});
        charge(queue, store.slots[next]);
        return removeRequest(store, queue, next).account.value();
    }
};

TEST(FairQueue, oneLargeAccountDoesNotStarveFourSmallOnes)
{
    for (int i = 0; i < 100; ++i)
        add("large");
    for (const char* small : { "s1", "s2", "s3", "s4" })
        add(small);
    std::map<std::string, int> taken;
    for (int i = 0; i < 6; ++i)
        taken[takeNext()] += 1;
    for (const char* small : { "s1", "s2", "s3", "s4" })
        LONGS_EQUAL(1, taken[small]);
}

TEST(FairQueue, sharesFollowWeightsInTokens)
{
    for (int i = 0; i < 100; ++i) {
        add("heavy", 300, 3);
        add("light", 100, 1);
    }
    std::map<std::string, int> taken;
    for (int i = 0; i < 40; ++i)
        taken[takeNext()] += 1;
    LONGS_EQUAL(20, taken["heavy"]);
}

TEST(FairQueue, anIdleAccountSavesUpNothing)
{
    for (int i = 0; i < 20; ++i)
        add("busy");
    for (int i = 0; i < 10; ++i)
        takeNext();
    for (int i = 0; i < 10; ++i)
        add("late");
    std::map<std::string, int> taken;
    for (int i = 0; i < 10; ++i)
        taken[takeNext()] += 1;
    LONGS_EQUAL(5, taken["late"]);
}

TEST(FairQueue, keepsTheOrderInsideAnAccount)
{
    add("a");
    add("a");
    CHECK(store.slots[selectNext(queue, {})].queued.request == RequestId("r1"));
}

TEST(FairQueue, takesFromTheMiddleOfAnAccount)
{
    add("a");
    WaitingIndex middle = add("a");
    add("a");
    CHECK(removeRequest(store, queue, middle).request == RequestId("r2"));
    takeNext();
    CHECK(store.slots[selectNext(queue, {})].queued.request == RequestId("r3"));
    LONGS_EQUAL(1, queue.waiting);
}

TEST(FairQueue, findsTheNewestOfTheLargestAccount)
{
    add("small");
    add("large");
    WaitingIndex newest = add("large");
    LONGS_EQUAL(newest, newestOfLargestAccount(queue));
}

TEST(FairQueue, anExpiryOfATakenRequestIsPassedOver)
{
    WaitingIndex first = add("a");
    WaitingIndex second = add("a");
    removeRequest(store, queue, first);
    LONGS_EQUAL(second, nextExpiry(store, queue)->index);
    removeRequest(store, queue, second);
    CHECK_FALSE(nextExpiry(store, queue).has_value());
}

TEST(FairQueue, aReusedSlotKeepsNoOldExpiry)
{
    WaitingIndex first = add("a");
    removeRequest(store, queue, first);
    WaitingIndex again = add("a");
    LONGS_EQUAL(first, again);
    CHECK(nextExpiry(store, queue)->at == start + std::chrono::seconds(2));
}

TEST(FairQueue, aRequestGivenUpHasNoTurnButStillCounts)
{
    WaitingIndex only = add("a");
    markForShedding(store, queue, only, Reason::Overloaded);
    LONGS_EQUAL(noWaitingIndex, selectNext(queue, {}));
    LONGS_EQUAL(1, queue.waiting);
    removeRequest(store, queue, only);
    LONGS_EQUAL(0, queue.waiting);
    CHECK(queue.pendingShed.empty());
}
