/// The platform's store is down or slow, or the answers to successful writes are lost.

#include "test/process/Site.h"
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

// Longer than the limit on the age of the settings view.
constexpr auto longOutage = 3s;

} // namespace

TEST_GROUP(Store) {
    LoadResult drafts(const Site& site, int requests, const std::string& tag) {
        return LoadGenerator(site.callerPorts(), { "--keys=" + plainKey, "--requests=" + std::to_string(requests), "--tag=" + tag }).finish();
}

LoadResult fees(const Site& site, int requests, const std::string& tag)
{
    return LoadGenerator(site.callerPorts(), { "--keys=" + urgentKey, "--service=fees", "--service_share=1", "--requests=" + std::to_string(requests), "--tag=" + tag }).finish();
}
}
;

TEST(Store, longOutageServesDraftsAndRejectsFees)
{
    Site site;
    site.setStore({ { "listening", false } });
    std::this_thread::sleep_for(longOutage);
    LoadResult served = drafts(site, 40, "down");
    LoadResult refused = fees(site, 12, "down");
    STRCMP_EQUAL("", site.promiseViolations(served).c_str());
    STRCMP_EQUAL("", site.promiseViolations(refused).c_str());
    LONGS_EQUAL(40, served.count("completed"));
    LONGS_EQUAL(0, refused.count("completed"));

    site.setStore({ { "listening", true } });
    CHECK(eventually(10s, [&] { return fees(site, 1, "up").count("completed") == 1 || fees(site, 1, "up2").count("completed") == 1; }));
}

TEST(Store, slowStoreDelaysFeesWithoutSecondRuns)
{
    Site site;
    site.setStore({ { "delay_ms", 400 } });
    LoadResult result = fees(site, 24, "slow");
    LoadResult served = drafts(site, 24, "slow");
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(24, result.count("completed"));
    LONGS_EQUAL(24, served.count("completed"));
}

TEST(Store, lostWriteAnswersCauseNoSecondRun)
{
    Site site;
    site.setStore({ { "lose_writes", 20 } });
    LoadResult result = fees(site, 60, "lost");
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    CHECK(result.count("completed") >= 40);
}

TEST(Store, lostWriteAnswersAndAKilledProcessCauseNoSecondRun)
{
    Site site;
    site.setStore({ { "lose_writes", 20 } });
    LoadGenerator load(site.callerPorts(), { "--keys=" + urgentKey, "--service=fees", "--service_share=0.8", "--requests=160" });
    load.waitForRecords(10);
    site.daemon(2).kill();
    LoadResult result = load.finish();
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    CHECK(result.count("completed") > 60);
}
