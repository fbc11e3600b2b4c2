#include "weightstore/WeightStore.h"

#include "test/CallFailures.h"
#include "test/ScriptedServer.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(WeightStore) {};

TEST(WeightStore, readsARange)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) { response.set_content("0123456789", "application/octet-stream"); });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    auto part = readWeights(pool, "/weights/a", { ByteCount(2), ByteCount(3) });
    CHECK(part.has_value());
    STRCMP_EQUAL("234", part->data.c_str());
    LONGS_EQUAL(10, part->total.count());
}

TEST(WeightStore, rateLimitGivesTheRetryDelay)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) {
        response.status = 429;
        response.set_header("Retry-After", "7");
    });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    auto seconds = boost::leaf::try_handle_all(
        [&]() -> Result<std::int64_t> {
            BOOST_LEAF_CHECK(readWeights(pool, "/weights/a", { ByteCount(0), ByteCount(1) }));
            return 0;
        },
        [](const WeightStoreBusy& busy) { return busy.retryAfter.count(); },
        [] { return std::int64_t { -1 }; });
    LONGS_EQUAL(7, seconds);
}

TEST(WeightStore, missingObjectIsRefused)
{
    ScriptedServer server([](const httplib::Request&, httplib::Response& response) { response.status = 404; });
    HttpConnectionPool pool({ "127.0.0.1", server.port() }, {});
    CHECK(failsAs(CallFailure::Refused, [&] { return readWeights(pool, "/weights/a", { ByteCount(0), ByteCount(1) }); }));
}
