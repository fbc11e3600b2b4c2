#include "tool/CommandLine.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace limpetpond::tool;

TEST_GROUP(CommandLine) {};

TEST(CommandLine, addressesAreParsedAndChecked)
{
    std::vector<Address> addresses = parseAddresses("x", "127.0.0.1:80,10.0.0.1:90").value();
    LONGS_EQUAL(2, addresses.size());
    LONGS_EQUAL(90, addresses[1].port);
    for (const char* invalid : { "", "127.0.0.1", ":80", "127.0.0.1:0", "127.0.0.1:99999", "127.0.0.1:80x", "127.0.0.1:80,," })
        CHECK_FALSE(parseAddresses("x", invalid).has_value());
}

TEST(CommandLine, helpExistsAtEachLevel)
{
    STRCMP_CONTAINS("settings set", helpText({}).c_str());
    STRCMP_CONTAINS("settings set", helpText({ "settings" }).c_str());
    CHECK(helpText({ "settings" }).find("target leave") == std::string::npos);
    STRCMP_CONTAINS("--dry-run", helpText({ "settings", "set" }).c_str());
    STRCMP_EQUAL("", helpText({ "frob" }).c_str());
}
