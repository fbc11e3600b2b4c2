#include "base/Log.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Log) {};

TEST(Log, linesOverTheRateLimitAreSuppressedAndCounted)
{
    LogRateLimiter limiter(2);
    LONGS_EQUAL(0, limiter.admit("a", 1));
    LONGS_EQUAL(0, limiter.admit("a", 1));
    LONGS_EQUAL(-1, limiter.admit("a", 1));
    LONGS_EQUAL(0, limiter.admit("b", 1));
    LONGS_EQUAL(1, limiter.admit("a", 2));
    LONGS_EQUAL(0, limiter.admit("a", 2));
}

TEST(Log, levelsAreParsedByName)
{
    CHECK(logLevelFromText("warning") == LogLevel::Warning);
    CHECK(logLevelFromText("other") == LogLevel::Info);
}
