#include "tool/StatusView.h"
#include "tool/TimelineView.h"
#include <boost/json/parse.hpp>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace limpetpond::tool;

namespace {

rpc::TimelineEvent event(std::int64_t logicalTime, std::int64_t micros, const std::string& process, const std::string& kind)
{
    rpc::TimelineEvent event;
    event.logicalTime = logicalTime;
    event.systemMicros = micros;
    event.process = process;
    event.kind = kind;
    event.request = "r-1";
    return event;
}

} // namespace

TEST_GROUP(ToolViews) {};

TEST(ToolViews, statusFitsEightyColumns)
{
    std::string name(90, 'n');
    std::string status = R"({"instance":")" + name + R"(","ready":true,"version":5,"majorityVersion":5,"confirmedAgeMs":3,"instances":[{"instance":")" + name + R"(","state":"suspected","lastHeardMs":7}],"pools":[{"pool":")" + name + R"(","waiting":1,"inProgress":2,"floor":0,"waitingByTier":{"0":1}}],"targets":[{"target":")" + name + R"(","pool":"p","mark":"leaving","requestsInProgress":1,"tokensInProgress":5,"notConfirmed":["b"]}],"alarms":[{"alarm":"cut_off","subject":")" + name + "\"}]}";
    std::string text = statusText({ { .address = "127.0.0.1:9090", .status = status }, { .address = "127.0.0.1:9091", .failure = "not reachable" } });
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);)
        CHECK(line.size() <= screenColumns);
    for (const char* part : { "ready", "not reachable", "suspected", "leaving", "waits for 1", "ALARM" })
        STRCMP_CONTAINS(part, text.c_str());
}

TEST(ToolViews, malformedStatusIsShownWithoutValues)
{
    STRCMP_CONTAINS("stale", statusText({ { .address = "a:1", .status = "{" } }).c_str());
    STRCMP_EQUAL(R"({"a:1":{},"b:2":null})", statusJson({ { .address = "a:1", .status = "{" }, { .address = "b:2" } }).c_str());
}

TEST(ToolViews, eventsAreSortedByLogicalTimeBeforeSystemTime)
{
    std::vector<rpc::TimelineEvent> events { event(3, 10, "i2", "answered"), event(1, 50, "i1", "sent"), event(2, 20, "i2", "received") };
    sortCausally(events);
    STRCMP_EQUAL("00:00:00.000050 i1 sent request=r-1\n00:00:00.000020 i2 received request=r-1\n00:00:00.000010 i2 answered request=r-1\n", timelineText(events).c_str());
}

TEST(ToolViews, pageEscapesMarkupInEventsAndLoadsNoResources)
{
    rpc::TimelineEvent markup = event(1, 1, "i1", "x");
    markup.request = "</script><script>alert(1)</script>";
    std::string page = timelineHtml({ markup });
    CHECK(page.find("<script>alert") == std::string::npos);
    STRCMP_CONTAINS("\\u003c/script>", page.c_str());
    CHECK(page.find("http://www.w3.org") != std::string::npos && page.find("src=") == std::string::npos);
}

TEST(ToolViews, chromeTraceHasOneSpanForEachRequestAndInstance)
{
    auto trace = boost::json::parse(timelineChromeTrace({ event(1, 10, "i1", "a"), event(2, 30, "i1", "b"), event(3, 40, "i2", "c") })).at("traceEvents").as_array();
    int spans = 0;
    for (const boost::json::value& item : trace)
        spans += item.at("ph") == boost::json::value("b") ? 1 : 0;
    LONGS_EQUAL(2, spans);
    LONGS_EQUAL(9, trace.size());
}
