#include "core/ResendBudget.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(ResendBudget)
{
    SteadyTime now { std::chrono::hours(1) };
    ResendBudget budget { .options = { .ratio = 0.2, .slack = 40, .window = seconds(10) } };

    int takeAll(int instances)
    {
        int taken = 0;
        while (takeResend(budget, instances, now))
            ++taken;
        return taken;
    }
};

// Load: half of a pool's answers fail at each of four instances, all of which would send again.
TEST(ResendBudget, fourInstancesTogetherKeepToTheRatioAndTheSlack)
{
    for (int i = 0; i < 100; ++i)
        noteRequest(budget, now);
    int taken = takeAll(4);
    CHECK(taken > 0);
    CHECK(4 * taken <= 0.2 * 400 + 40);
}

TEST(ResendBudget, aSlidingWindowForgetsOldRequestsAndOldSends)
{
    for (int i = 0; i < 100; ++i)
        noteRequest(budget, now);
    int first = takeAll(4);
    now += seconds(5);
    LONGS_EQUAL(0, takeAll(4));
    now += seconds(6);
    int withoutRequests = takeAll(4);
    CHECK(withoutRequests > 0);
    CHECK(withoutRequests < first);
}
