/// Concurrent changes by operators, and the drain of a target under load.

#include "test/process/Site.h"
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

// Returns the error code of a rejected change, or "accepted".
std::string outcomeOf(const Site& site, std::size_t daemon, const std::string& value, std::int64_t readVersion)
{
    try {
        site.change(daemon, "pool/drafts", "maxDispatches", value, readVersion);
        return "accepted";
    } catch (const rpc::OperatorRefused& refused) {
        return refused.code;
    }
}

} // namespace

TEST_GROUP(Operators) {};

TEST(Operators, oneOfTwoConcurrentEditsIsAcceptedAndAppliedEverywhere)
{
    Site site;
    std::int64_t version = site.change(0, "pool/drafts", "maxDispatches", "2").version;
    CHECK(eventually(5s, [&] { return site.valueAt(3, "pool/drafts", "maxDispatches") == "2"; }));
    std::string first;
    std::string second;
    std::thread other([&] { second = outcomeOf(site, 3, "5", version); });
    first = outcomeOf(site, 0, "4", version);
    other.join();
    CHECK((first == "accepted") != (second == "accepted"));
    STRCMP_EQUAL("conflict", (first == "accepted" ? second : first).c_str());
    std::string winner = first == "accepted" ? "4" : "5";
    for (std::size_t i = 0; i < 4; ++i)
        CHECK(eventually(5s, [&] { return site.valueAt(i, "pool/drafts", "maxDispatches") == winner; }));
}

TEST(Operators, leavingTargetBecomesEmptyAndGetsNoNewWork)
{
    Site site;
    LoadGenerator load(site.callerPorts(), { "--keys=" + plainKey, "--requests=120", "--concurrency=12" });
    load.waitForRecords(20);
    site.change(1, "target/engine-1", "mark", "\"leaving\"");
    CHECK(eventually(10s, [&] { return site.targetStatus(2, "engine-1").mark == "empty"; }));
    std::int64_t before = site.engineCount(0, "started");
    LoadResult result = load.finish();
    LoadResult later = LoadGenerator(site.callerPorts(), { "--keys=" + plainKey, "--requests=24", "--tag=later" }).finish();
    LONGS_EQUAL(24, later.count("completed"));
    LONGS_EQUAL(before, site.engineCount(0, "started"));
    LONGS_EQUAL(0, site.engineCount(0, "cancelled"));
    STRCMP_EQUAL("", site.promiseViolations(result).c_str());
    LONGS_EQUAL(120, result.count("completed"));
}
