#include "core/RouteIndex.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(RouteIndex)
{
    ServingSettings settings {
        .version = SettingsVersion(7),
        .routes = {
            { .name = "all", .host = "a.example", .prefix = "/", .pools = { { .pool = PoolId("one") } } },
            { .name = "deep", .host = "a.example", .prefix = "/x/y/", .pools = { { .pool = PoolId("one"), .weight = 90 }, { .pool = PoolId("two"), .weight = 10 } } },
            { .name = "shallow", .host = "a.example", .prefix = "/x/", .pools = { { .pool = PoolId("two") } } },
        },
        .accounts = { { .id = ClientAccountId("herd"), .keys = { "k1", "k2" } } },
    };
    std::shared_ptr<const IndexedSettings> index { indexSettings(settings) };

    std::string routeOf(const char* host, const char* path)
    {
        const RouteSettings* route = findRoute(*index, host, path);
        return route ? route->name : "";
    }
};

TEST(RouteIndex, longestPrefixOfTheHostWins)
{
    STRCMP_EQUAL("deep", routeOf("a.example", "/x/y/z").c_str());
    STRCMP_EQUAL("deep", routeOf("a.example", "/x/y/").c_str());
    STRCMP_EQUAL("shallow", routeOf("a.example", "/x/y").c_str());
    STRCMP_EQUAL("all", routeOf("a.example", "/other").c_str());
}

TEST(RouteIndex, anotherHostHasNoRoute) { STRCMP_EQUAL("", routeOf("b.example", "/x/y/z").c_str()); }

TEST(RouteIndex, queryIsIgnored) { STRCMP_EQUAL("all", routeOf("a.example", "/q?p=/x/y/").c_str()); }

TEST(RouteIndex, accountIsFoundByEachOfItsKeys)
{
    STRCMP_EQUAL("herd", findAccount(*index, "k2")->id.value().c_str());
    POINTERS_EQUAL(nullptr, findAccount(*index, "k3"));
    POINTERS_EQUAL(nullptr, findAccount(*index, ""));
}

TEST(RouteIndex, poolsAreChosenByWeight)
{
    const RouteSettings& route = *findRoute(*index, "a.example", "/x/y/");
    int second = 0;
    for (std::uint64_t point = 0; point < 1000; ++point)
        second += choosePool(route, point) == PoolId("two");
    LONGS_EQUAL(100, second);
}

TEST(RouteIndex, onlyIdempotentCallsAndResumableStreamsMayRunAgain)
{
    CHECK_TRUE(mayRunAgain({ .kind = CallKind::Idempotent }));
    CHECK_TRUE(mayRunAgain({ .kind = CallKind::Streaming, .isResumable = true }));
    CHECK_FALSE(mayRunAgain({ .kind = CallKind::Streaming }));
    CHECK_FALSE(mayRunAgain({ .kind = CallKind::NonIdempotent, .isResumable = true }));
}
