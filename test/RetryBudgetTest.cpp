#include "core/RetryBudget.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(RetryBudget)
{
    SteadyTime now { std::chrono::hours(1) };
};

TEST(RetryBudget, retriesArePaidForByFirstDispatches)
{
    RetryBudget budget { .credit = 0, .share = 0.25 };
    CHECK_FALSE(spendRetry(budget));
    for (int i = 0; i < 4; ++i)
        earnRetry(budget);
    CHECK(spendRetry(budget));
    CHECK_FALSE(spendRetry(budget));
}

TEST(RetryBudget, creditIsBounded)
{
    RetryBudget budget;
    for (int i = 0; i < 1000; ++i)
        earnRetry(budget);
    int spent = 0;
    while (spendRetry(budget))
        spent += 1;
    LONGS_EQUAL(10, spent);
}

TEST(RetryBudget, aCrowdIsSpreadAtTheRateOfService)
{
    ReturnSchedule schedule { .completionsPerSecond = 5 };
    std::map<long, int> returns;
    for (int i = 0; i < 100; ++i)
        returns[nextReturn(schedule, 10, now).count()] += 1;
    for (const auto& [second, callers] : returns)
        CHECK(callers <= 6);
}

TEST(RetryBudget, callersPastTheLongestWaitAreSpreadAtRandom)
{
    ReturnSchedule schedule { .completionsPerSecond = 1 };
    std::map<long, int> returns;
    for (int i = 0; i < 1000; ++i)
        returns[nextReturn(schedule, 10, now).count()] += 1;
    for (const auto& [second, callers] : returns)
        CHECK(second <= 60 && callers < 70);
}

TEST(RetryBudget, theWaitFollowsTheQueueAndTheLearnedRate)
{
    ReturnSchedule schedule;
    for (int i = 0; i < 200; ++i)
        noteCompletion(schedule, now + std::chrono::milliseconds(100 * i));
    DOUBLES_EQUAL(10, schedule.completionsPerSecond, 0.5);
    now += seconds(20);
    LONGS_EQUAL(10, nextReturn(schedule, 95, now).count());
}
