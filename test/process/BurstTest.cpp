/// A burst arrives without warning.

#include "test/process/Site.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Burst) {};

TEST(Burst, urgentRequestsAreServedWhileTheRestIsShed)
{
    Site site({ .engines = 1, .engineFlags = { "--max_batch=4" }, .draftPool = { { "maxWait", "4s" } }, .targets = { { "maxRequestsInProgress", 4 } } });
    std::vector<std::string> shape { "--max_tokens=24", "--max_prompt_tokens=200", "--concurrency=64" };
    auto with = [&](std::vector<std::string> more) {
        more.insert(more.end(), shape.begin(), shape.end());
        return more;
    };
    Load plain(site.callerPorts(), with({ "--keys=" + plainKey, "--requests=300", "--tag=plain" }));
    plain.waitForRecords(4);
    Load urgent(site.callerPorts(), with({ "--keys=" + urgentKey, "--requests=40", "--tag=urgent" }));
    LoadResult urgentResult = urgent.finish();
    LoadResult plainResult = plain.finish();
    STRCMP_EQUAL("", site.faultsOf(urgentResult).c_str());
    STRCMP_EQUAL("", site.faultsOf(plainResult).c_str());
    LONGS_EQUAL(40, urgentResult.count("completed"));
    CHECK(plainResult.count("not_run") > 0);
}
