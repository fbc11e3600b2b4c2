#include "base/Log.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Log) {};

TEST(Log, repeatsBeyondTheRateAreSuppressedAndCounted)
{
    LogRate rate(2);
    LONGS_EQUAL(0, rate.admit("a", 1));
    LONGS_EQUAL(0, rate.admit("a", 1));
    LONGS_EQUAL(-1, rate.admit("a", 1));
    LONGS_EQUAL(0, rate.admit("b", 1));
    LONGS_EQUAL(1, rate.admit("a", 2));
    LONGS_EQUAL(0, rate.admit("a", 2));
}

TEST(Log, levelsAreReadByName)
{
    CHECK(logLevelFromText("warning") == LogLevel::Warning);
    CHECK(logLevelFromText("other") == LogLevel::Info);
}
