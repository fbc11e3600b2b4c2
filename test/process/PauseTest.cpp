/// An instance is paused for longer than the limit on the age of its settings view, and a target leaves meanwhile.

#include "test/process/Site.h"
#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(PausedInstance) {};

TEST(PausedInstance, resumesWithoutDispatchingToALeavingTarget)
{
    Site site({ .engines = 2, .engineFlags = { "--max_batch=2" }, .targets = { { "maxRequestsInProgress", 2 } } });
    // These requests wait in the instance that is paused.
    LoadGenerator waiting({ site.ports(3).caller }, { "--keys=" + plainKey, "--requests=24", "--concurrency=24", "--max_tokens=32", "--tag=waiting", "--timeout_ms=60000" });
    waiting.waitForRecords(2);
    site.daemon(3).sendSignal(SIGSTOP);
    std::this_thread::sleep_for(2s);
    site.change(0, "target/engine-1", "mark", "\"leaving\"");
    std::this_thread::sleep_for(500ms);
    std::int64_t before = site.engineCount(0, "started");
    site.daemon(3).sendSignal(SIGCONT);
    LoadResult result = waiting.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(before, site.engineCount(0, "started"));
    CHECK(site.engineCount(1, "started") > 0);
}
