#include "core/TargetModel.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(TargetModel)
{
    TargetModel target;
    SteadyTime now { std::chrono::hours(1) };

    void setup() override { applyTargetSettings(target, { .id = TargetId("engine-1"), .prefillRate = { 8000 } }); }

    void failOnce()
    {
        if (recordFailure(target))
            eject(target, now);
    }
};

TEST(TargetModel, addsOwnWorkSinceAReport)
{
    addOwnWork(target, TokenCount(1000), 1, now);
    addOwnWork(target, TokenCount(500), 1, now + seconds(2));
    applyReport(target, { .target = TargetId("engine-1"), .measuredAt = now + seconds(1), .tokensInProgress = TokenCount(3000) });
    LONGS_EQUAL(2000, target.reportedOthers.count());
    LONGS_EQUAL(3500, tokensInProgress(target).count());
}

TEST(TargetModel, ignoresOlderAndFailedReports)
{
    applyReport(target, { .measuredAt = now, .tokensInProgress = TokenCount(3000) });
    applyReport(target, { .measuredAt = now - seconds(1), .tokensInProgress = TokenCount(9000) });
    applyReport(target, { .measuredAt = now + seconds(1), .failed = true });
    LONGS_EQUAL(3000, target.reportedOthers.count());
}

TEST(TargetModel, lowersThePrefillRateAfterSlowFirstTokens)
{
    for (int i = 0; i < 40; ++i)
        learnFirstToken(target, 4000, seconds(2), now);
    CHECK(target.prefillRate < 2200);
}

TEST(TargetModel, anOverdueFirstTokenOnlyLowersThePrefillRate)
{
    learnOverdue(target, 4000, milliseconds(100), now);
    DOUBLES_EQUAL(8000, target.prefillRate, 0.1);
    learnOverdue(target, 4000, seconds(4), now);
    CHECK(target.prefillRate < 8000);
}

// An empty answer within the clock's resolution made the rate zero divided by zero, which no later answer repairs.
TEST(TargetModel, answersThatTookNoTimeKeepTheRatesNumbers)
{
    learnDecode(target, TokenCount(0), Duration::zero(), now);
    learnFirstToken(target, 4000, Duration::zero(), now);
    learnOverdue(target, 4000, Duration::zero(), now);
    CHECK(target.decodeRate >= 0);
    CHECK(target.prefillRate > 0);
}

TEST(TargetModel, aSlowRateDecaysWhenNothingIsLearned)
{
    for (int i = 0; i < 40; ++i)
        learnFirstToken(target, 4000, seconds(4), now);
    now += seconds(21);
    for (int i = 0; i < 100; ++i)
        decayLearnedRates(target, seconds(1), now);
    CHECK(target.prefillRate > 7500);
}

TEST(TargetModel, isEjectedOnlyAfterConsecutiveFailures)
{
    failOnce();
    recordSuccess(target);
    failOnce();
    CHECK_FALSE(target.isEjected);
    failOnce();
    CHECK(target.isEjected);
    DOUBLES_EQUAL(0, target.weight, 0);
}

TEST(TargetModel, weightGrowsGraduallyAfterAnEjection)
{
    failOnce();
    failOnce();
    now += seconds(1);
    updateWeight(target, now);
    CHECK(target.weight > 0 && target.weight < 0.2);
    recordSuccess(target);
    now += seconds(5);
    updateWeight(target, now);
    CHECK(target.weight > 0.4 && target.weight < 0.6);
    now += seconds(6);
    updateWeight(target, now);
    DOUBLES_EQUAL(1, target.weight, 0);
}

TEST(TargetModel, aFailureAfterReadmissionEjectsForLonger)
{
    failOnce();
    failOnce();
    now += seconds(1);
    updateWeight(target, now);
    failOnce();
    CHECK(target.isEjected);
    CHECK(target.ejectedUntil - now == seconds(2));
}
