#include "platform/WireFields.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond::platform;

TEST_GROUP(WireFields) {};

TEST(WireFields, namesAreCaseInsensitive)
{
    CHECK(classifyField("x-request-id") == Field::RequestId);
    CHECK(classifyField("X-DEADLINE-MS") == Field::TimeLeft);
    CHECK(classifyField("X-Anything") == Field::Other);
}

TEST(WireFields, fieldsSetBySystemAreReserved)
{
    for (const char* name : { "X-Tenant", "X-Expect-Instance", "X-Hold", "X-Pin-Ms", "X-Kv-Backup", "Kv-From", "Kv-Fetch" })
        CHECK(classifyField(name) == Field::Reserved);
}

TEST(WireFields, extractsApiKeyOfTokenScheme)
{
    STRCMP_EQUAL("abc", std::string(apiKeyFromAuthorization("Token abc")).c_str());
    STRCMP_EQUAL("abc", std::string(apiKeyFromAuthorization("token  abc")).c_str());
    CHECK(apiKeyFromAuthorization("Bearer abc").empty());
    CHECK(apiKeyFromAuthorization("").empty());
}
