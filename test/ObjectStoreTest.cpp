#include "store/ObjectStore.h"

#include "test/CallFailures.h"
#include "test/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(ObjectStore) {};

TEST(ObjectStore, putAndGetUseBucketAndKeyAsPath)
{
    ScriptedServer server([](const httplib::Request& request, httplib::Response& response) { response.set_content("seen " + request.path, "text/plain"); });
    ObjectStore store({ "127.0.0.1", server.port() }, "pond");
    CHECK(static_cast<bool>(store.put("a/b.json", "{}")));
    auto body = store.get("a/b.json");
    CHECK(body.has_value());
    STRCMP_EQUAL("seen /pond/a/b.json", body->value().c_str());
    STRCMP_EQUAL("PUT", server.requests()[0].method.c_str());
    STRCMP_EQUAL("{}", server.requests()[0].body.c_str());
}

TEST(ObjectStore, absentObjectHasNoValue)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) { response.status = 404; });
    ObjectStore store({ "127.0.0.1", server.port() }, "pond");
    auto body = store.get("a");
    CHECK(body.has_value());
    CHECK_FALSE(body->has_value());
}

TEST(ObjectStore, errorStatusesAreMapped)
{
    int status = 403;
    ScriptedServer server([&](const httplib::Request&, httplib::Response& response) { response.status = status; });
    ObjectStore store({ "127.0.0.1", server.port() }, "pond");
    CHECK(failsAs(CallFailure::Refused, [&] { return store.get("a"); }));
    status = 503;
    CHECK(failsAs(CallFailure::Throttled, [&] { return store.put("a", "b"); }));
    status = 500;
    CHECK(failsAs(CallFailure::NoAnswer, [&] { return store.put("a", "b"); }));
}
