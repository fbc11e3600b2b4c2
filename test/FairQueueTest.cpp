#include "core/FairQueue.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(FairQueue)
{
    WaitingStore store;
    FairQueue queue;
    SteadyTime start { std::chrono::hours(1) };
    int added { 0 };

    WaitingIndex add(const char* account, std::int64_t tokens = 100, double weight = 1)
    {
        added += 1;
        QueuedRequest request { .request = RequestId("r" + std::to_string(added)),
            .account = ClientAccountId(account),
            .promptTokens = TokenCount(tokens) };
        return push(store, queue, request, { .weight = weight }, start + std::chrono::seconds(added));
    }

    std::string dispatchNext()
    {
        WaitingIndex next = selectNext(queue, {});
        charge(queue, store.slots[next]);
        return removeRequest(store, queue, next).account.value();
    }
};

TEST(FairQueue, aLargeAccountDoesNotStarveSmallOnes)
{
    for (int i = 0; i < 100; ++i)
        add("large");
    for (const char* small : { "s1", "s2", "s3", "s4" })
        add(small);
    std::map<std::string, int> dispatched;
    for (int i = 0; i < 6; ++i)
        dispatched[dispatchNext()] += 1;
    for (const char* small : { "s1", "s2", "s3", "s4" })
        LONGS_EQUAL(1, dispatched[small]);
}

TEST(FairQueue, sharesTokensByWeight)
{
    for (int i = 0; i < 100; ++i) {
        add("heavy", 300, 3);
        add("light", 100, 1);
    }
    std::map<std::string, int> dispatched;
    for (int i = 0; i < 40; ++i)
        dispatched[dispatchNext()] += 1;
    LONGS_EQUAL(20, dispatched["heavy"]);
}

TEST(FairQueue, anIdleAccountAccumulatesNoCredit)
{
    for (int i = 0; i < 20; ++i)
        add("busy");
    for (int i = 0; i < 10; ++i)
        dispatchNext();
    for (int i = 0; i < 10; ++i)
        add("late");
    std::map<std::string, int> dispatched;
    for (int i = 0; i < 10; ++i)
        dispatched[dispatchNext()] += 1;
    LONGS_EQUAL(5, dispatched["late"]);
}

TEST(FairQueue, keepsTheOrderInsideAnAccount)
{
    add("a");
    add("a");
    CHECK(store.slots[selectNext(queue, {})].queued.request == RequestId("r1"));
}

TEST(FairQueue, removesARequestFromTheMiddleOfAnAccount)
{
    add("a");
    WaitingIndex middle = add("a");
    add("a");
    CHECK(removeRequest(store, queue, middle).request == RequestId("r2"));
    dispatchNext();
    CHECK(store.slots[selectNext(queue, {})].queued.request == RequestId("r3"));
    LONGS_EQUAL(1, queue.waiting);
}

TEST(FairQueue, findsTheNewestRequestOfTheLargestAccount)
{
    add("small");
    add("large");
    WaitingIndex newest = add("large");
    LONGS_EQUAL(newest, newestOfLargestAccount(queue));
}

TEST(FairQueue, skipsTheExpiryOfARemovedRequest)
{
    WaitingIndex first = add("a");
    WaitingIndex second = add("a");
    removeRequest(store, queue, first);
    LONGS_EQUAL(second, nextExpiry(store, queue)->index);
    removeRequest(store, queue, second);
    CHECK_FALSE(nextExpiry(store, queue).has_value());
}

TEST(FairQueue, aReusedSlotHasNoOldExpiry)
{
    WaitingIndex first = add("a");
    removeRequest(store, queue, first);
    WaitingIndex again = add("a");
    LONGS_EQUAL(first, again);
    CHECK(nextExpiry(store, queue)->at == start + std::chrono::seconds(2));
}

TEST(FairQueue, aRequestMarkedForSheddingIsNotSelectedButCounts)
{
    WaitingIndex only = add("a");
    markForShedding(store, queue, only, Reason::Overloaded);
    LONGS_EQUAL(noWaitingIndex, selectNext(queue, {}));
    LONGS_EQUAL(1, queue.waiting);
    removeRequest(store, queue, only);
    LONGS_EQUAL(0, queue.waiting);
    CHECK(queue.pendingShed.empty());
}
