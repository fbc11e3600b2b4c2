#include "platform/WireFields.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond::platform;

TEST_GROUP(WireFields) {};

TEST(WireFields, namesAreCaseInsensitive)
{
    CHECK(classifyField("x-request-id") == Field::RequestId);
    CHECK(classifyField("X-DEADLINE-MS") == Field::TimeLeft);
    CHECK(classifyField("X-Anything") == Field::Other);
    CHECK(classifyField("store-era") == Field::StoreEpoch);
}

TEST(WireFields, fieldsSetBySystemAreReserved)
{
    for (const char* name : { "X-Tenant", "X-Expect-Instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch" })
        CHECK(classifyField(name) == Field::Reserved);
}

TEST(WireFields, onlyOneStatesThatTheTargetLeaves)
{
    CHECK(classifyField("server-leaving") == Field::Leaving);
    CHECK(statesLeaving("1"));
    for (const char* other : { "", "0", "2", "11", "1.0", "yes", "true", "1 1" })
        CHECK_FALSE(statesLeaving(other));
}

TEST(WireFields, retryAfterIsANumberOfSecondsWithOrWithoutAFraction)
{
    CHECK(classifyField("retry-after") == Field::RetryAfter);
    DOUBLES_EQUAL(0, *retryAfterSeconds("0"), 0);
    DOUBLES_EQUAL(7, *retryAfterSeconds("7"), 0);
    DOUBLES_EQUAL(2.5, *retryAfterSeconds("2.5"), 0);
    DOUBLES_EQUAL(0.25, *retryAfterSeconds("00.250"), 0);
    CHECK(*retryAfterSeconds(std::string(400, '9')) > 1e300);
    for (const char* other : { "", " ", "-1", "+1", ".5", "5.", "1.2.3", "1,5", "1e3", "0x10", "inf", "nan", "3 s", "3, 4", "Fri, 31 Dec 2027 23:59:59 GMT" })
        CHECK_FALSE(retryAfterSeconds(other).has_value());
}

TEST(WireFields, promptPartsAreListedInOrder)
{
    std::vector<PromptPartEntry> entries = promptPartEntries("5c1e:800, 91bd:410,e440");
    LONGS_EQUAL(3, entries.size());
    CHECK(entries[0].id == "5c1e");
    DOUBLES_EQUAL(800, entries[0].tokens, 0);
    CHECK(entries[1].id == "91bd");
    DOUBLES_EQUAL(410, entries[1].tokens, 0);
    CHECK(entries[2].id == "e440");
    DOUBLES_EQUAL(0, entries[2].tokens, 0);
    DOUBLES_EQUAL(0, promptPartEntries("a:-5")[0].tokens, 0);
    CHECK(promptPartEntries("").empty());
    CHECK(promptPartEntries(",,:5,").empty());
}

// A part behind the first 64 was never seen, so that it could crash targets for ever.
TEST(WireFields, noPromptPartOfALongListIsLeftOut)
{
    std::string many;
    for (int i = 0; i < 4000; ++i)
        many += std::to_string(i) + ":1,";
    std::vector<PromptPartEntry> entries = promptPartEntries(many);
    LONGS_EQUAL(4000, entries.size());
    CHECK(entries.back().id == "3999");
}

TEST(WireFields, extractsApiKeyOfTokenScheme)
{
    STRCMP_EQUAL("abc", std::string(apiKeyFromAuthorization("Token abc")).c_str());
    STRCMP_EQUAL("abc", std::string(apiKeyFromAuthorization("token  abc")).c_str());
    CHECK(apiKeyFromAuthorization("Bearer abc").empty());
    CHECK(apiKeyFromAuthorization("").empty());
}
