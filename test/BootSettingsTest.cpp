#include "platform/BootSettings.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

/// The YAML library makes its patterns at the first use and keeps them: done before a test counts its memory.
const bool patternsAreMade = [] {
    for (const char* text : { "a: [", "a: \"b\"\nc:\n  - 1\n", "just text" }) {
        try {
            platform::parseBootSettings(text);
        } catch (const platform::BootSettingsError&) {
            continue;
        }
    }
    return true;
}();

} // namespace

TEST_GROUP(BootSettings)
{
    const std::string good = "node: \"front-a-1\"\nzone: \"a\"\nip: \"10.1.0.25\"\nlisten:\n  front: \"10.1.0.25:8221\"\n  ready: \"10.1.0.25:8224\"\n"
                             "portRange:\n  - 7600\n  - 7615\nseeds:\n  - \"10.2.0.17:8229\"\nplatform:\n  addr: \"10.200.1.7:8225\"\n"
                             "bounds:\n  graceS: 9\n  budgetRatio: 0.3\n  budgetSlack: 56\nnewField: 3\n";

    std::string errorOf(const std::string& text)
    {
        try {
            platform::parseBootSettings(text);
            return "";
        } catch (const platform::BootSettingsError& error) {
            return error.what();
        }
    }

    std::string without(const std::string& line)
    {
        std::string text = good;
        text.erase(text.find(line), line.size());
        return text;
    }

    std::string with(const std::string& line, const std::string& other)
    {
        std::string text = good;
        text.replace(text.find(line), line.size(), other);
        return text;
    }
};

TEST(BootSettings, aGoodFileIsRead)
{
    platform::BootSettings boot = platform::parseBootSettings(good);
    STRCMP_EQUAL("front-a-1", boot.instance.value().c_str());
    LONGS_EQUAL(7600, boot.peerPort);
    CHECK(boot.shutdownGrace == std::chrono::seconds(9));
    DOUBLES_EQUAL(0.3, boot.retryRatio, 1e-9);
    STRCMP_EQUAL("10.2.0.17", boot.seedIps.at(0).c_str());
}

TEST(BootSettings, aMissingFieldIsNamed)
{
    STRCMP_CONTAINS("field node", errorOf(without("node: \"front-a-1\"\n")).c_str());
    STRCMP_CONTAINS("field zone", errorOf(without("zone: \"a\"\n")).c_str());
    STRCMP_CONTAINS("field ip", errorOf(without("ip: \"10.1.0.25\"\n")).c_str());
    STRCMP_CONTAINS("field listen.front", errorOf(without("  front: \"10.1.0.25:8221\"\n")).c_str());
    STRCMP_CONTAINS("field listen.ready", errorOf(without("  ready: \"10.1.0.25:8224\"\n")).c_str());
    STRCMP_CONTAINS("field platform.addr", errorOf(without("  addr: \"10.200.1.7:8225\"\n")).c_str());
    STRCMP_CONTAINS("field portRange", errorOf(without("portRange:\n  - 7600\n  - 7615\n")).c_str());
}

TEST(BootSettings, aBadValueIsNamedWithWhatIsAllowed)
{
    std::string error = errorOf(with("10.1.0.25:8221", "10.1.0.25:99999"));
    STRCMP_CONTAINS("listen.front", error.c_str());
    STRCMP_CONTAINS("10.1.0.25:99999", error.c_str());
    STRCMP_CONTAINS("1 to 65535", error.c_str());
    STRCMP_CONTAINS("graceS", errorOf(with("graceS: 9", "graceS: -1")).c_str());
    STRCMP_CONTAINS("budgetRatio", errorOf(with("budgetRatio: 0.3", "budgetRatio: many")).c_str());
    STRCMP_CONTAINS("portRange", errorOf(with("- 7615", "- 7600")).c_str());
    STRCMP_CONTAINS("not valid YAML", errorOf("a: [").c_str());
    STRCMP_CONTAINS("whole file", errorOf("just text").c_str());
}

TEST(BootSettings, aFileThatIsMissingIsNamed)
{
    try {
        platform::readBootFile("/nonexistent/boot.yaml");
        FAIL("no error");
    } catch (const platform::BootSettingsError& error) {
        STRCMP_CONTAINS("/nonexistent/boot.yaml", error.what());
    }
}
