#include "store/InstanceList.h"

#include "test/CallFailures.h"
#include "test/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

std::string sliceWith(const std::string& conditions)
{
    return R"({"kind":"EndpointSlice","endpoints":[{"addresses":["10.0.0.7"],"conditions":)" + conditions
        + R"(,"zone":"north","targetRef":{"name":"i1"}}],"ports":[{"name":"http","port":80},{"name":"peer","port":9090}]})";
}

bool isLeaving(const std::string& conditions)
{
    return parseInstanceList(sliceWith(conditions), "peer")->instances.at(0).leaving;
}

bool isMalformed(const std::string& text)
{
    return failsAs(CallFailure::Malformed, [&] { return parseInstanceList(text, "peer"); });
}

} // namespace

TEST_GROUP(InstanceList) {};

TEST(InstanceList, endpointBecomesAnInstance)
{
    auto list = parseInstanceList(sliceWith(R"({"ready":true})"), "peer");
    CHECK(list.has_value());
    const ListedInstance& instance = list->instances.at(0);
    STRCMP_EQUAL("i1", instance.instance.value().c_str());
    STRCMP_EQUAL("10.0.0.7", instance.host.c_str());
    LONGS_EQUAL(9090, instance.port);
    STRCMP_EQUAL("north", instance.failureDomain.value().c_str());
}

TEST(InstanceList, terminatingOrUnreadyIsLeaving)
{
    CHECK_FALSE(isLeaving(R"({"ready":true,"terminating":false})"));
    CHECK_FALSE(isLeaving("{}"));
    CHECK(isLeaving(R"({"ready":false})"));
    CHECK(isLeaving(R"({"ready":true,"terminating":true})"));
}

TEST(InstanceList, slicesOfAListAreMerged)
{
    std::string slice = sliceWith("{}");
    auto list = parseInstanceList(R"({"kind":"EndpointSliceList","items":[)" + slice + ',' + slice + "]}", "peer");
    CHECK(list.has_value());
    LONGS_EQUAL(2, list->instances.size());
}

TEST(InstanceList, emptyListIsValid)
{
    auto list = parseInstanceList(R"({"kind":"EndpointSliceList","items":[]})", "peer");
    CHECK(list.has_value());
    CHECK(list->instances.empty());
}

TEST(InstanceList, malformedListsAreErrors)
{
    CHECK(isMalformed("nothing"));
    CHECK(isMalformed("{}"));
    CHECK(isMalformed(R"({"kind":"EndpointSlice","endpoints":[{"addresses":["10.0.0.7"]}],"ports":[{"name":"peer","port":1}]})"));
    CHECK(isMalformed(R"({"kind":"EndpointSlice","endpoints":[{"addresses":["10.0.0.7"],"targetRef":{"name":"a"}}],"ports":[{"name":"http","port":1}]})"));
    CHECK(isMalformed(R"({"kind":"EndpointSlice","endpoints":[{"addresses":["10.0.0.7"],"targetRef":{"name":"a"}}],"ports":[{"name":"peer","port":70000}]})"));
}

TEST(InstanceList, errorAnswerIsRefused)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) { response.status = 403; });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    CHECK(failsAs(CallFailure::Refused, [&] { return readInstanceList(pool, {}); }));
}
