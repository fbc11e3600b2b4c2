/// A burst of lower-tier requests exceeds the capacity while higher-tier requests arrive.

#include "test/process/Site.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Burst) {};

TEST(Burst, higherTierIsServedWhileLowerTierIsShed)
{
    Site site({ .engines = 1, .engineFlags = { "--max_batch=4" }, .draftPool = { { "maxWait", "4s" } }, .targets = { { "maxRequestsInProgress", 4 } } });
    std::vector<std::string> shape { "--max_tokens=24", "--max_prompt_tokens=200", "--concurrency=64" };
    auto with = [&](std::vector<std::string> more) {
        more.insert(more.end(), shape.begin(), shape.end());
        return more;
    };
    LoadGenerator plain(site.callerPorts(), with({ "--keys=" + plainKey, "--requests=300", "--tag=plain" }));
    plain.waitForRecords(4);
    LoadGenerator urgent(site.callerPorts(), with({ "--keys=" + urgentKey, "--requests=40", "--tag=urgent" }));
    LoadResult urgentResult = urgent.finish();
    LoadResult plainResult = plain.finish();
    STRCMP_EQUAL("", site.promiseViolations(urgentResult).c_str());
    STRCMP_EQUAL("", site.promiseViolations(plainResult).c_str());
    LONGS_EQUAL(40, urgentResult.count("completed"));
    CHECK(plainResult.count("not_run") > 0);
}
