/// One of two engines becomes ten times slower.

#include "test/process/Site.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(SlowEngine) {};

TEST(SlowEngine, getsFewerRequestsAndLosesNone)
{
    Site site({ .engines = 2 });
    site.setEngine(0, { { "slowdown", 10.0 } });
    LoadGenerator load(site.callerPorts(), { "--keys=" + plainKey, "--requests=60", "--concurrency=12" });
    LoadResult result = load.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(60, result.count("completed"));
    CHECK(2 * site.engineCount(0, "started") < site.engineCount(1, "started"));
}
