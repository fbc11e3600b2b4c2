#include "bench/policies/PolicyRun.h"
#include "bench/policies/PolicyBench.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond::bench;
using std::chrono::seconds;

TEST_GROUP(PolicyRun)
{
    RunOptions options { .mix = rodopaMix(), .phases = { { seconds(10), 0.5 } }, .faultAt = seconds(5), .seed = 3 };

    static int endedCount(const RunResult& result)
    {
        int sum = 0;
        for (const TierResult& tier : result.tiers)
            sum += tier.useful + tier.late + tier.shed + tier.failed;
        return sum;
    }

    static int arrivedCount(const RunResult& result)
    {
        int sum = 0;
        for (const TierResult& tier : result.tiers)
            sum += tier.arrived;
        return sum;
    }
};

TEST(PolicyRun, sameSeedGivesTheSameResult)
{
    RunResult first = runPolicy(options);
    RunResult second = runPolicy(options);
    LONGS_EQUAL(first.computedPrefill, second.computedPrefill);
    LONGS_EQUAL(first.decisions, second.decisions);
    options.seed = 4;
    CHECK(runPolicy(options).computedPrefill != first.computedPrefill);
}

TEST(PolicyRun, everyRequestEndsOnceUnderEveryFault)
{
    options.phases = { { seconds(10), 1.5 } };
    for (Fault fault : { Fault::None, Fault::SlowEngine, Fault::DomainLost, Fault::Cleaning, Fault::InstanceRestart }) {
        options.fault = fault;
        RunResult result = runPolicy(options);
        LONGS_EQUAL(arrivedCount(result), endedCount(result));
        LONGS_EQUAL(0, result.inversions);
    }
}

TEST(PolicyRun, policyWithoutTiersShedsHigherTiersWhileLowerTiersRun)
{
    options.phases = { { seconds(30), 2.5 } };
    options.policy = "no_tiers";
    CHECK(runPolicy(options).inversions > 0);
}

TEST(PolicyRun, quantileIsWithinItsBucket)
{
    TimeHistogram histogram;
    for (int i = 1; i <= 100; ++i)
        add(histogram, std::chrono::milliseconds(i));
    DOUBLES_EQUAL(0.095, quantile(histogram, 0.95), 0.006);
    DOUBLES_EQUAL(0, quantile({}, 0.5), 0);
}

TEST(PolicyRun, unknownMixOrScenarioHasNoRuns)
{
    CHECK(countRuns({ .seeds = 1, .mix = "rodopa", .scenario = "calm" }) > 0);
    LONGS_EQUAL(0, countRuns({ .seeds = 1, .mix = "nowhere" }));
    LONGS_EQUAL(0, countRuns({ .seeds = 1, .scenario = "nothing" }));
}
