/// A daemon is killed while requests wait in it.

#include "test/process/Site.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(ProcessKilled) {};

TEST(ProcessKilled, everyCallerHasOneOutcomeAndNothingRunsTwice)
{
    Site site({ .engines = 1, .engineFlags = { "--max_batch=4" }, .targets = { { "maxRequestsInProgress", 4 } } });
    LoadGenerator load(site.callerPorts(), { "--keys=" + urgentKey + ',' + plainKey, "--service=fees", "--requests=100", "--concurrency=40" });
    load.waitForRecords(20);
    site.daemon(1).kill();
    LoadResult result = load.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    CHECK(result.count("completed") > 50);
}
