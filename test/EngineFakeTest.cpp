#include "bench/policies/EngineFake.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace limpetpond::bench;

TEST_GROUP(EngineFake)
{
    EngineFake engine;

    Sequence sequence(std::uint64_t request, int prompt, int answer, std::vector<std::uint64_t> blocks = {})
    {
        return { .request = request, .promptTokens = prompt, .answerTokens = answer, .blocks = std::move(blocks) };
    }

    StepResult step()
    {
        beginStep(engine);
        return endStep(engine);
    }
};

TEST(EngineFake, generatesOneTokenPerStepAfterThePrompt)
{
    submit(engine, sequence(1, 600, 2));
    CHECK(step().tokens.empty());
    LONGS_EQUAL(1, step().tokens.size());
    LONGS_EQUAL(1, step().ended.size());
    CHECK(beginStep(engine) == Duration(0));
}

TEST(EngineFake, stepDurationGrowsWithItsTokens)
{
    submit(engine, sequence(1, 100, 2));
    Duration small = beginStep(engine);
    endStep(engine);
    submit(engine, sequence(2, 400, 2));
    CHECK(beginStep(engine) > small);
}

TEST(EngineFake, skipsThePrefillOfTheCachedPrefix)
{
    submit(engine, sequence(1, 130, 1, { 7, 8 }));
    step();
    submit(engine, sequence(2, 130, 1, { 7, 8 }));
    LONGS_EQUAL(128, step().promptCompleted.at(0).cachedTokens);
}

TEST(EngineFake, evictsTheLeastRecentlyUsedBlock)
{
    engine.options.cacheBlocks = 2;
    submit(engine, sequence(1, 130, 1, { 7, 8 }));
    step();
    submit(engine, sequence(2, 66, 1, { 9 }));
    step();
    LONGS_EQUAL(0, cachedTokens(engine, { 7, 8 }));
    LONGS_EQUAL(64, cachedTokens(engine, { 9 }));
    CHECK(engine.delta.evicted == std::vector<std::uint64_t> { 7 });
}

TEST(EngineFake, cancelledSequenceEndsBeforeItsAnswerIsComplete)
{
    submit(engine, sequence(1, 100, 50));
    step();
    cancelSequence(engine, 1);
    StepResult result = step();
    LONGS_EQUAL(1, result.ended.size());
    CHECK(result.ended.at(0).answerLeft > 0);
    LONGS_EQUAL(0, engine.memoryInUse);
}
