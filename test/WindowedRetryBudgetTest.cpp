#include "core/WindowedRetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(WindowedRetryBudget)
{
    SteadyTime now { std::chrono::hours(1) };
    WindowedRetryBudget budget { .options = { .ratio = 0.2, .slack = 40, .window = seconds(10) } };

    int takeAll(int instances)
    {
        int taken = 0;
        while (spendRetry(budget, instances, now))
            ++taken;
        return taken;
    }
};

// Load: half of a pool's answers fail at each of four instances, all of which would send again.
TEST(WindowedRetryBudget, fourInstancesTogetherKeepToTheRatioAndTheSlack)
{
    for (int i = 0; i < 100; ++i)
        recordRequest(budget, now);
    int taken = takeAll(4);
    CHECK(taken > 0);
    CHECK(4 * taken <= 0.2 * 400 + 40);
}

TEST(WindowedRetryBudget, aSlidingWindowForgetsOldRequestsAndOldSends)
{
    for (int i = 0; i < 100; ++i)
        recordRequest(budget, now);
    int first = takeAll(4);
    now += seconds(5);
    LONGS_EQUAL(0, takeAll(4));
    now += seconds(6);
    int withoutRequests = takeAll(4);
    CHECK(withoutRequests > 0);
    CHECK(withoutRequests < first);
}
