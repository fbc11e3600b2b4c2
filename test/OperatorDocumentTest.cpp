#include "platform/OperatorDocument.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(OperatorDocument)
{
    std::string reason;

    std::optional<TargetEntry> entry(const std::string& text) { return platform::decodeTargetEntry(TargetId("i-1"), text, reason); }
};

TEST(OperatorDocument, decodesDocument)
{
    const char* document = R"({"version":7,"routes":[
      {"name":"r1","host":"a.example","prefix":"/p/","kind":"streaming","timeoutMs":8000,"goalMs":600,"priority":1,
       "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"attempts":2,"public":false,"sticky":true,"resumable":true,"gapTargetMs":400}],
      "services":[{"name":"s","healthPath":"/healthz","maxConns":620,"proto":"h1","tls":false,"engine":{"slots":6}}],
      "limits":{"headerBytes":16384,"bodyBytes":4194304,"headerMs":3000,"idleTimeoutMs":15000},
      "tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"unit":"tokens","uncachedTokens":200,"perS":285095,"burst":1000}]})";
    std::optional<ServingSettings> settings = platform::decodeServingSettings(document, reason);
    STRCMP_EQUAL("", reason.c_str());
    CHECK(settings.has_value());
    CHECK(settings->version == SettingsVersion(7));
    const RouteSettings& route = settings->routes.at(0);
    CHECK(route.kind == CallKind::Streaming);
    CHECK(route.timeout == Milliseconds(8000));
    CHECK(route.maxEventGap == Milliseconds(400));
    LONGS_EQUAL(2, route.pools.size());
    LONGS_EQUAL(10, route.pools[1].weight);
    CHECK(route.isResumable);
    LONGS_EQUAL(6, settings->pools.at(0).engineSlots);
    CHECK(settings->accounts.at(0).countsTokens);
    LONGS_EQUAL(1, *settings->accounts.at(0).rank);
    DOUBLES_EQUAL(200, settings->accounts.at(0).defaultTokens, 0);
}

TEST(OperatorDocument, unknownKindOrMissingFieldIsNamedInReason)
{
    CHECK_FALSE(platform::decodeServingSettings(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","kind":"odd","service":"s"}],"services":[]})", reason).has_value());
    STRCMP_CONTAINS("kind", reason.c_str());
    CHECK_FALSE(platform::decodeServingSettings(R"({"routes":[],"services":[]})", reason).has_value());
    STRCMP_CONTAINS("version", reason.c_str());
    CHECK_FALSE(platform::decodeServingSettings("\x01\x02", reason).has_value());
}

TEST(OperatorDocument, prefixThatNoPathCanMatchIsRejected)
{
    auto decode = [this](const std::string& prefix) {
        return platform::decodeServingSettings(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":")" + prefix + R"(","kind":"idempotent","service":"s"}],"services":[]})", reason);
    };
    CHECK(decode("/").has_value());
    CHECK(decode("/a/b/").has_value());
    for (const char* prefix : { "/read+", "read/", "/a?/", "" }) {
        reason.clear();
        CHECK_FALSE(decode(prefix).has_value());
        STRCMP_CONTAINS("prefix", reason.c_str());
    }
}

TEST(OperatorDocument, routeWithoutAttemptsIsRejected)
{
    CHECK_FALSE(platform::decodeServingSettings(R"({"version":1,"routes":[{"name":"r","host":"h","prefix":"/","kind":"idempotent","service":"s","attempts":0}],"services":[]})", reason).has_value());
    STRCMP_CONTAINS("attempts", reason.c_str());
}

TEST(OperatorDocument, decodesTargetEntry)
{
    std::optional<TargetEntry> found = entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","version":"v1","slots":6,"state":"draining","coldLeftMs":20,"seq":4,"born":1700000000000})");
    CHECK(found.has_value());
    CHECK(found->isDraining);
    LONGS_EQUAL(4, found->sequence);
    CHECK(found->startedAt == 1700000000000);
}

TEST(OperatorDocument, invalidTargetEntriesAreRejected)
{
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"odd","seq":4})").has_value());
    CHECK_FALSE(entry(R"({"service":5,"addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4})").has_value());
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":"6","state":"ready","seq":4})").has_value());
    CHECK_FALSE(entry(R"({"service":"s","addr":"nowhere","zone":"z","slots":6,"state":"ready","seq":4})").has_value());
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4,"born":1.5})").has_value());
    CHECK_FALSE(entry("[1]").has_value());
    CHECK_FALSE(entry("").has_value());
}

TEST(OperatorDocument, anEntryWhoseAddressCantBeUsedIsRejected)
{
    for (const char* address : { "10.1.0.9:70000", "10.1.0.9:0", "10.1.0.9:-1", "10.1.0.9:80x", "10.1.0.9:", "10.1.0.9: 80", "10.1.0.9:99999999999999999999", ":8080",
             "10.1.0:8080", "10.1.0.999:8080", "node.example:8080", "[::1]:8080", "::1:8080", " 10.1.0.9:8080", "10.1.0.9\\u0000:8080" }) {
        reason.clear();
        CHECK_FALSE(entry(std::string(R"({"service":"s","addr":")") + address + R"(","zone":"z","slots":6,"state":"ready","seq":4})").has_value());
        STRCMP_CONTAINS("addr", reason.c_str());
    }
}

TEST(OperatorDocument, anEntryWithANumberThatIsTooLargeIsRejected)
{
    for (const char* field : { "slots", "coldLeftMs", "seq", "born" }) {
        for (const char* number : { "1e400", "1e308", "99999999999999999999", "18446744073709551615", "9223372036854775807", "1000000000000001", "-1", "-1e308", "1e99999999999" }) {
            reason.clear();
            // Of two fields with the same name the later one counts.
            CHECK_FALSE(entry(std::string(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4,")") + field + "\":" + number + "}").has_value());
            CHECK_FALSE(reason.empty());
        }
    }
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":3000000000,"state":"ready","seq":4})").has_value());
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4,"coldLeftMs":1e14})").has_value());
}

TEST(OperatorDocument, aDeeplyNestedEntryIsRejected)
{
    constexpr std::size_t depth = 30000;
    const std::string nested = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(entry(nested).has_value());
    CHECK_FALSE(entry(R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4,"more":)" + nested + "}").has_value());
    CHECK_FALSE(entry(std::string(depth, '{')).has_value());
}

// The id becomes a header field of each request to the target.
TEST(OperatorDocument, anEntryUnderAnIdThatNoHeaderCanHoldIsRejected)
{
    const std::string valid = R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4})";
    for (const std::string& id : { std::string(), std::string("i-1\r\nX-Other: 1"), std::string("i 1"), std::string("i\0", 2), std::string("i-\xff") }) {
        reason.clear();
        CHECK_FALSE(platform::decodeTargetEntry(TargetId(id), valid, reason).has_value());
        STRCMP_CONTAINS("id", reason.c_str());
    }
}

TEST(OperatorDocument, numbersOfTheDocumentThatAreTooLargeAreLimited)
{
    std::optional<ServingSettings> settings = platform::decodeServingSettings(R"({"version":1,"routes":[
      {"name":"r","host":"h","prefix":"/","kind":"idempotent","timeoutMs":1e15,"goalMs":1e15,"gapTargetMs":1e15,"priority":1e15,"split":[{"service":"s","weight":1e15}],"attempts":1e15}],
      "services":[{"name":"s","healthPath":"/h","maxConns":1e15,"engine":{"slots":1e15}}],
      "limits":{"headerBytes":1e15,"bodyBytes":1e15,"headerMs":1e15,"idleTimeoutMs":1e15},
      "tenants":[{"name":"t","priority":-1e300},{"name":"u","priority":1e300}]})",
        reason);
    CHECK(settings.has_value());
    constexpr Milliseconds maxTime = std::chrono::hours(24 * 365);
    const RouteSettings& route = settings->routes.at(0);
    CHECK(route.timeout > Milliseconds(0) && route.timeout <= maxTime);
    CHECK(route.latencyObjective > Milliseconds(0) && route.latencyObjective <= maxTime);
    CHECK(route.maxEventGap > Milliseconds(0) && route.maxEventGap <= maxTime);
    CHECK(settings->limits.idleTimeout > Milliseconds(0) && settings->limits.idleTimeout <= maxTime);
    CHECK(settings->limits.headerBytes.count() > 0 && settings->limits.headerBytes.count() <= std::numeric_limits<std::int32_t>::max());
    constexpr int maxNumber = 1'000'000;
    for (int number : { route.rank, route.pools.at(0).weight, route.maxTargets, settings->pools.at(0).maxConnections, settings->pools.at(0).engineSlots, *settings->accounts.at(1).rank })
        CHECK(number > 0 && number <= maxNumber);
    LONGS_EQUAL(0, *settings->accounts.at(0).rank);
}

TEST(OperatorDocument, theVersionOfATargetIsReadAndMayBeMissing)
{
    auto versionIn = [&](const std::string& field) {
        return platform::decodeTargetEntry(TargetId("i-1"), R"({"service":"s","addr":"10.1.0.9:8080","zone":"z","slots":6,"state":"ready","seq":4)" + field + "}", reason)->version;
    };
    STRCMP_EQUAL("v2", versionIn(R"(,"version":"v2")").value().c_str());
    STRCMP_EQUAL("", versionIn("").value().c_str());
    STRCMP_EQUAL("", versionIn(R"(,"version":2)").value().c_str());
}

TEST(OperatorDocument, aRolloutOrderIsRead)
{
    std::optional<platform::RolloutRequest> request = platform::decodeRolloutRequest("rollout/huvo11a", R"({"service":"huvo11a","to":"v2","durationS":12.5})", reason);
    CHECK(request.has_value());
    STRCMP_EQUAL("huvo11a", request->pool.value().c_str());
    STRCMP_EQUAL("v2", request->to.value().c_str());
    CHECK(request->time == std::chrono::milliseconds(12500));
    STRCMP_EQUAL("rollout/huvo11a", platform::rolloutKey(request->pool).c_str());
}

// An order that can't be followed as it is must not move any traffic.
TEST(OperatorDocument, rolloutOrdersThatCantBeFollowedAreRejected)
{
    for (const char* text : { "", "[]", R"({"service":"s","durationS":5})", R"({"service":"s","to":"","durationS":5})", R"({"service":"s","to":2,"durationS":5})",
             R"({"service":"s","to":"v2"})", R"({"service":"s","to":"v2","durationS":"5"})", R"({"service":"s","to":"v2","durationS":0})",
             R"({"service":"s","to":"v2","durationS":-1})", R"({"service":"s","to":"v2","durationS":1e300})", R"({"service":"s","to":"v2","durationS":1e999})",
             R"({"service":"s","to":"v2","durationS":NaN})", R"({"service":"other","to":"v2","durationS":5})", R"({"to":"v2","durationS":5})" }) {
        reason.clear();
        CHECK_FALSE_TEXT(platform::decodeRolloutRequest("rollout/s", text, reason).has_value(), text);
        CHECK(!reason.empty());
    }
}

TEST(OperatorDocument, theStateOfARolloutIsWrittenAsTheOperatorReadsIt)
{
    STRCMP_EQUAL(R"({"state":"running","to":"v2"})", platform::encodeRolloutStatus({ .phase = RolloutPhase::Load, .to = TargetVersion("v2") }).c_str());
    for (RolloutPhase phase : { RolloutPhase::Sample, RolloutPhase::Succeeded, RolloutPhase::RolledBack }) {
        platform::RolloutStatus status { .phase = phase, .to = TargetVersion("v2") };
        CHECK(platform::decodeRolloutStatus(platform::encodeRolloutStatus(status), reason) == status);
    }
    CHECK_FALSE(platform::decodeRolloutStatus(R"({"state":"odd","to":"v2"})", reason).has_value());
}
