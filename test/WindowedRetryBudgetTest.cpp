#include "core/WindowedRetryBudget.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(WindowedRetryBudget)
{
    SteadyTime now { std::chrono::hours(1) };
    WindowedRetryBudget budget { .options = { .ratio = 0.2, .slack = 40, .window = seconds(10) } };

    int spendAll(int instances)
    {
        int spent = 0;
        while (spendRetry(budget, instances, now))
            ++spent;
        return spent;
    }
};

// Load: half of a pool's requests fail at each of four instances, and all of them would retry.
TEST(WindowedRetryBudget, fourInstancesStayWithinTheRatioAndTheSlack)
{
    for (int i = 0; i < 100; ++i)
        recordRequest(budget, now);
    int spent = spendAll(4);
    CHECK(spent > 0);
    CHECK(4 * spent <= 0.2 * 400 + 40);
}

TEST(WindowedRetryBudget, oldRequestsAndRetriesLeaveTheWindow)
{
    for (int i = 0; i < 100; ++i)
        recordRequest(budget, now);
    int first = spendAll(4);
    now += seconds(5);
    LONGS_EQUAL(0, spendAll(4));
    now += seconds(6);
    int withoutRequests = spendAll(4);
    CHECK(withoutRequests > 0);
    CHECK(withoutRequests < first);
}
