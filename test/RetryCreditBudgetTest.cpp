#include "core/RetryCreditBudget.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(RetryCreditBudget)
{
    SteadyTime now { std::chrono::hours(1) };
};

TEST(RetryCreditBudget, firstDispatchesEarnCreditForRetries)
{
    RetryCreditBudget budget { .credit = 0, .share = 0.25 };
    CHECK_FALSE(spendRetryCredit(budget));
    for (int i = 0; i < 4; ++i)
        earnRetryCredit(budget);
    CHECK(spendRetryCredit(budget));
    CHECK_FALSE(spendRetryCredit(budget));
}

TEST(RetryCreditBudget, creditIsBounded)
{
    RetryCreditBudget budget;
    for (int i = 0; i < 1000; ++i)
        earnRetryCredit(budget);
    int spent = 0;
    while (spendRetryCredit(budget))
        spent += 1;
    LONGS_EQUAL(10, spent);
}

TEST(RetryCreditBudget, retryTimesAreSpreadAtTheCompletionRate)
{
    RetryAfterSchedule schedule { .completionsPerSecond = 5 };
    std::map<long, int> callersBySecond;
    for (int i = 0; i < 100; ++i)
        callersBySecond[nextRetryAfter(schedule, 10, now).count()] += 1;
    for (const auto& [second, callers] : callersBySecond)
        CHECK(callers <= 6);
}

TEST(RetryCreditBudget, retryTimesPastTheMaximumAreSpreadAtRandom)
{
    RetryAfterSchedule schedule { .completionsPerSecond = 1 };
    std::map<long, int> callersBySecond;
    for (int i = 0; i < 1000; ++i)
        callersBySecond[nextRetryAfter(schedule, 10, now).count()] += 1;
    for (const auto& [second, callers] : callersBySecond)
        CHECK(second <= 60 && callers < 70);
}

TEST(RetryCreditBudget, theRetryTimeFollowsTheQueueAndTheCompletionRate)
{
    RetryAfterSchedule schedule;
    for (int i = 0; i < 200; ++i)
        recordCompletion(schedule, now + std::chrono::milliseconds(100 * i));
    DOUBLES_EQUAL(10, schedule.completionsPerSecond, 0.5);
    now += seconds(20);
    LONGS_EQUAL(10, nextRetryAfter(schedule, 95, now).count());
}
