#include "platform/BootSettings.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

/// yaml-cpp allocates its static patterns on first use and keeps them. They are allocated here, before CppUTest checks tests for leaks.
const bool isYamlInitialized = [] {
    for (const char* text : { "a: [", "a: \"b\"\nc:\n  - 1\n", "just text", "a: [1, b]\nc: { d: 1 }\n" }) {
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
    const std::string valid = "node: \"front-a-1\"\nzone: \"a\"\nip: \"10.1.0.25\"\nlisten:\n  front: \"10.1.0.25:8221\"\n  ready: \"10.1.0.25:8224\"\n"
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

    std::string withoutLine(const std::string& line)
    {
        std::string text = valid;
        text.erase(text.find(line), line.size());
        return text;
    }

    std::string withReplaced(const std::string& line, const std::string& replacement)
    {
        std::string text = valid;
        text.replace(text.find(line), line.size(), replacement);
        return text;
    }
};

TEST(BootSettings, parsesValidFile)
{
    platform::BootSettings boot = platform::parseBootSettings(valid);
    STRCMP_EQUAL("front-a-1", boot.instance.value().c_str());
    LONGS_EQUAL(7600, boot.peerPort);
    CHECK(boot.shutdownGrace == std::chrono::seconds(9));
    DOUBLES_EQUAL(0.3, boot.retryRatio, 1e-9);
    STRCMP_EQUAL("10.2.0.17", boot.seedIps.at(0).c_str());
}

TEST(BootSettings, errorNamesMissingField)
{
    STRCMP_CONTAINS("field node", errorOf(withoutLine("node: \"front-a-1\"\n")).c_str());
    STRCMP_CONTAINS("field zone", errorOf(withoutLine("zone: \"a\"\n")).c_str());
    STRCMP_CONTAINS("field ip", errorOf(withoutLine("ip: \"10.1.0.25\"\n")).c_str());
    STRCMP_CONTAINS("field listen.front", errorOf(withoutLine("  front: \"10.1.0.25:8221\"\n")).c_str());
    STRCMP_CONTAINS("field listen.ready", errorOf(withoutLine("  ready: \"10.1.0.25:8224\"\n")).c_str());
    STRCMP_CONTAINS("field platform.addr", errorOf(withoutLine("  addr: \"10.200.1.7:8225\"\n")).c_str());
    STRCMP_CONTAINS("field portRange", errorOf(withoutLine("portRange:\n  - 7600\n  - 7615\n")).c_str());
}

TEST(BootSettings, errorStatesInvalidValueAndAllowedValues)
{
    std::string error = errorOf(withReplaced("10.1.0.25:8221", "10.1.0.25:99999"));
    STRCMP_CONTAINS("listen.front", error.c_str());
    STRCMP_CONTAINS("10.1.0.25:99999", error.c_str());
    STRCMP_CONTAINS("1 to 65535", error.c_str());
    STRCMP_CONTAINS("graceS", errorOf(withReplaced("graceS: 9", "graceS: -1")).c_str());
    STRCMP_CONTAINS("budgetRatio", errorOf(withReplaced("budgetRatio: 0.3", "budgetRatio: many")).c_str());
    STRCMP_CONTAINS("portRange", errorOf(withReplaced("- 7615", "- 7600")).c_str());
    STRCMP_CONTAINS("not valid YAML", errorOf("a: [").c_str());
    STRCMP_CONTAINS("whole file", errorOf("just text").c_str());
}

TEST(BootSettings, errorNamesMissingFile)
{
    try {
        platform::readBootFile("/nonexistent/boot.yaml");
        FAIL("no error");
    } catch (const platform::BootSettingsError& error) {
        STRCMP_CONTAINS("/nonexistent/boot.yaml", error.what());
    }
}

TEST(BootSettings, errorNamesFieldOfInvalidValue)
{
    struct InvalidValue {
        const char* line;
        const char* replacement;
        const char* field;
    };
    const InvalidValue invalidValues[] = {
        { "node: \"front-a-1\"", "node: \"\"", "node" },
        { "node: \"front-a-1\"", "node: [a]", "node" },
        { "node: \"front-a-1\"", "node: { a: 1 }", "node" },
        { "zone: \"a\"", "zone: \"\"", "zone" },
        { "zone: \"a\"", "zone: []", "zone" },
        { "ip: \"10.1.0.25\"\n", "ip: \"\"\n", "ip" },
        { "ip: \"10.1.0.25\"\n", "ip: \"10.1.0.256\"\n", "ip" },
        { "ip: \"10.1.0.25\"\n", "ip: \"front\"\n", "ip" },
        { "ip: \"10.1.0.25\"\n", "ip: [1]\n", "ip" },
        { "front: \"10.1.0.25:8221\"", "front: \"10.1.0.25\"", "listen.front" },
        { "front: \"10.1.0.25:8221\"", "front: \"10.1.0.25:0\"", "listen.front" },
        { "front: \"10.1.0.25:8221\"", "front: \"10.1.0.25:65536\"", "listen.front" },
        { "front: \"10.1.0.25:8221\"", "front: \"host:8221\"", "listen.front" },
        { "front: \"10.1.0.25:8221\"", "front: \":8221\"", "listen.front" },
        { "ready: \"10.1.0.25:8224\"", "ready: \"10.1.0.25:8224x\"", "listen.ready" },
        { "ready: \"10.1.0.25:8224\"", "ready: [ ]", "listen.ready" },
        { "  - 7600\n  - 7615\n", "  - 7615\n  - 7600\n", "portRange" },
        { "  - 7600\n  - 7615\n", "  - 7600\n", "portRange" },
        { "  - 7600\n  - 7615\n", "  - 0\n  - 7615\n", "portRange" },
        { "  - 7600\n  - 7615\n", "  - 7600\n  - 70000\n", "portRange" },
        { "  - 7600\n  - 7615\n", "  - a\n  - b\n", "portRange" },
        { "addr: \"10.200.1.7:8225\"", "addr: \"store\"", "platform.addr" },
        { "addr: \"10.200.1.7:8225\"", "addr: \"10.200.1:8225\"", "platform.addr" },
        { "graceS: 9", "graceS: -1", "bounds.graceS" },
        { "graceS: 9", "graceS: soon", "bounds.graceS" },
        { "budgetRatio: 0.3", "budgetRatio: [1]", "bounds.budgetRatio" },
        { "budgetSlack: 56", "budgetSlack: 1e12", "bounds.budgetSlack" },
    };
    for (const InvalidValue& invalid : invalidValues) {
        std::string error = errorOf(withReplaced(invalid.line, invalid.replacement));
        STRCMP_CONTAINS((std::string("field ") + invalid.field).c_str(), error.c_str());
        STRCMP_CONTAINS("allowed", error.c_str());
    }
}

TEST(BootSettings, keepsFractionsOfSeconds)
{
    CHECK(platform::parseBootSettings(withReplaced("graceS: 9", "graceS: 2.5")).shutdownGrace == std::chrono::milliseconds(2500));
}

TEST(BootSettings, theMemoryOfTheProcessIsRead)
{
    LONGS_EQUAL(256'000'000, platform::parseBootSettings(valid).memoryBytes);
    LONGS_EQUAL(520'000'000, platform::parseBootSettings(valid + "limits:\n  ramMb: 520\n").memoryBytes);
    STRCMP_CONTAINS("limits.ramMb", errorOf(valid + "limits:\n  ramMb: much\n").c_str());
}

TEST(BootSettings, rolloutsAreFollowedWhereTheContractsSaySo)
{
    CHECK_FALSE(platform::parseBootSettings(valid).followsRollouts);
    CHECK_FALSE(platform::parseBootSettings(valid + "contracts: [\"other\"]\n").followsRollouts);
    CHECK_FALSE(platform::parseBootSettings(valid + "contracts: rollout\n").followsRollouts);
    platform::BootSettings boot = platform::parseBootSettings(
        withReplaced("graceS: 9", "graceS: 9\n  exposeShare: 0.2\n  exposeSlack: 30\n  rollbackMs: 4000") + "contracts: [\"other\", \"rollout\"]\n");
    CHECK(boot.followsRollouts);
    DOUBLES_EQUAL(0.2, boot.exposedShare, 1e-9);
    DOUBLES_EQUAL(30, boot.exposedSlack, 1e-9);
    CHECK(boot.rollbackTime == std::chrono::milliseconds(4000));
}

// Settings files without the contract may hold any value in these fields.
TEST(BootSettings, boundsOfRolloutsAreIgnoredWithoutTheContract)
{
    std::string withOddBound = withReplaced("graceS: 9", "graceS: 9\n  exposeShare: odd");
    CHECK_FALSE(platform::parseBootSettings(withOddBound).followsRollouts);
    STRCMP_CONTAINS("bounds.exposeShare", errorOf(withOddBound + "contracts: [\"rollout\"]\n").c_str());
}
