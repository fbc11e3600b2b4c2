/// Connections between processes break, and events arrive late, repeated, out of order or from another stream.

#include "test/process/Site.h"
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(Links)
{
    std::vector<std::string> streams { "--keys=" + plainKey, "--stream_share=0.8", "--requests=60", "--concurrency=12", "--max_tokens=40" };
};

TEST(Links, interruptedStreamsAreResumedCompletely)
{
    Site site;
    site.setEngine(0, { { "cut_after", 7 }, { "cuts", 20 } });
    LoadResult result = LoadGenerator(site.callerPorts(), streams).finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(60, result.count("completed"));
}

TEST(Links, lateRepeatedAndForeignPiecesReachNoCaller)
{
    Site site;
    for (std::size_t i = 0; i < 2; ++i)
        site.setEngine(i, { { "repeat_every", 3 }, { "foreign_every", 4 }, { "swap_every", 5 } });
    LoadResult result = LoadGenerator(site.callerPorts(), streams).finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(60, result.count("completed"));
}

TEST(Links, resetLinkToAnEngineLosesNoAnswer)
{
    Site site({ .relaysTargets = true });
    LoadGenerator load(site.callerPorts(), streams);
    load.waitForRecords(5);
    site.setTargetLink(0, { { "open", false } });
    std::this_thread::sleep_for(150ms);
    site.setTargetLink(0, { { "open", true } });
    LoadResult result = load.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    CHECK(result.count("completed") > 40);
}

TEST(Links, delayedStoreAnswersCauseNoSecondRun)
{
    Site site({ .relaysTable = true });
    LoadGenerator load(site.callerPorts(), { "--keys=" + urgentKey, "--service=fees", "--service_share=1", "--requests=80" });
    load.waitForRecords(10);
    site.setTableLink({ { "to_client", false } });
    std::this_thread::sleep_for(2500ms);
    site.setTableLink({ { "to_client", true } });
    LoadResult result = load.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
}
