#include "base/ProcessSettings.h"
#include <cstdio>
#include <fstream>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

using TextMap = std::map<std::string, std::string>;

const TextMap requiredFlags { { "instance_id", "i1" }, { "table_endpoint", "127.0.0.1:8000" } };

TextMap requiredFlagsWith(const std::string& flag, const std::string& value)
{
    TextMap flags = requiredFlags;
    flags[flag] = value;
    return flags;
}

InvalidSetting resolveError(const TextMap& flags, const TextMap& variables = {})
{
    return boost::leaf::try_handle_all(
        [&]() -> Result<InvalidSetting> {
            BOOST_LEAF_CHECK(resolveProcessSettings(flags, variables));
            return InvalidSetting {};
        },
        [](const InvalidSetting& invalid) { return invalid; },
        [] { return InvalidSetting { "untyped", "", "" }; });
}

InvalidSetting commandLineError(std::vector<std::string> arguments)
{
    arguments.insert(arguments.begin(), "limpetpondd");
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    return boost::leaf::try_handle_all(
        [&]() -> Result<InvalidSetting> {
            BOOST_LEAF_CHECK(parseCommandLine(static_cast<int>(pointers.size()), pointers.data()));
            return InvalidSetting {};
        },
        [](const InvalidSetting& invalid) { return invalid; },
        [] { return InvalidSetting { "untyped", "", "" }; });
}

} // namespace

TEST_GROUP(ProcessSettings) {};

TEST(ProcessSettings, defaultsAreValid)
{
    STRCMP_EQUAL("", resolveError(requiredFlags).name.c_str());
}

TEST(ProcessSettings, flagTakesPrecedenceOverVariable)
{
    auto settings = resolveProcessSettings(requiredFlagsWith("caller_port", "8081"), { { "LIMPETPOND_CALLER_PORT", "8082" }, { "LIMPETPOND_PEER_PORT", "9099" } });
    LONGS_EQUAL(8081, settings->callerPort);
    LONGS_EQUAL(9099, settings->peerPort);
}

TEST(ProcessSettings, unitsAreParsed)
{
    auto settings = resolveProcessSettings(requiredFlagsWith("read_timeout", "2m"), { { "LIMPETPOND_MAX_BODY", "64KiB" } });
    LONGS_EQUAL(120'000, settings->readTimeout.count());
    LONGS_EQUAL(65'536, settings->maxBody.count());
}

TEST(ProcessSettings, errorNamesSettingValueAndRule)
{
    InvalidSetting error = resolveError(requiredFlagsWith("read_timeout", "5"));
    STRCMP_EQUAL("--read_timeout", error.name.c_str());
    STRCMP_EQUAL("5", error.value.c_str());
    STRCMP_CONTAINS("unit", error.allowed.c_str());
}

TEST(ProcessSettings, invalidValuesAreRejected)
{
    const std::vector<std::pair<std::string, std::string>> invalidValues {
        { "instance_id", "" }, { "instance_id", "a b" }, { "caller_host", "localhost" }, { "caller_port", "0" },
        { "caller_port", "65536" }, { "caller_port", "80x" }, { "peer_host", "" }, { "peers", "i2" }, { "peers", "i2=host:1" },
        { "peers", "i2=127.0.0.1:0" }, { "table_endpoint", "" }, { "table_endpoint", "127.0.0.1" },
        { "object_store_endpoint", "store:80" }, { "traffic_threads", "1" }, { "traffic_threads", "-8" },
        { "max_body", "4MB" }, { "max_body", "1B" }, { "max_body", "99999999999999999999GiB" }, { "read_timeout", "5 s" },
        { "read_timeout", "2h" }, { "tick_period", "200ms" }, { "log_level", "loud" }, { "max_open_streams", "5000" }
    };
    for (const auto& [flag, value] : invalidValues)
        STRCMP_EQUAL_TEXT(("--" + flag).c_str(), resolveError(requiredFlagsWith(flag, value)).name.c_str(), value.c_str());
}

TEST(ProcessSettings, unknownVariableIsRejected)
{
    STRCMP_EQUAL("LIMPETPOND_CALER_PORT", resolveError(requiredFlags, { { "LIMPETPOND_CALER_PORT", "1" } }).name.c_str());
}

TEST(ProcessSettings, variablesOfTheToolAreIgnored)
{
    STRCMP_EQUAL("", resolveError(requiredFlags, { { "LIMPETPOND_INSTANCES", "127.0.0.1:9090" } }).name.c_str());
}

TEST(ProcessSettings, unknownFlagIsRejected)
{
    STRCMP_EQUAL("--caler_port", commandLineError({ "--caler_port=1" }).name.c_str());
    STRCMP_EQUAL("stray", commandLineError({ "stray" }).name.c_str());
    STRCMP_EQUAL("--flagfile", commandLineError({ "--flagfile=x" }).name.c_str());
    STRCMP_EQUAL("--caller_port", commandLineError({ "--caller_port" }).name.c_str());
}

TEST(ProcessSettings, secretIsNotAFlagAndIsNeverShown)
{
    InvalidSetting error = commandLineError({ "--peer_secret=sesame-sesame-sesame" });
    STRCMP_EQUAL("--peer_secret", error.name.c_str());
    STRCMP_EQUAL("(hidden)", error.value.c_str());
    STRCMP_EQUAL("(hidden)", resolveError(requiredFlags, { { "LIMPETPOND_PEER_SECRET", "short" } }).value.c_str());
    auto settings = resolveProcessSettings(requiredFlags, { { "LIMPETPOND_PEER_SECRET", "sesame-sesame-sesame" } });
    for (const EffectiveSetting& setting : effectiveSettings(*settings))
        CHECK(setting.value.find("sesame") == std::string::npos);
}

TEST(ProcessSettings, secretIsReadFromAFile)
{
    std::string path = "/tmp/limpetpond-secret-" + std::to_string(getpid());
    std::ofstream(path) << "sesame-sesame-sesame\n";
    auto settings = resolveProcessSettings(requiredFlagsWith("peer_secret_file", path), {});
    std::remove(path.c_str());
    STRCMP_EQUAL("sesame-sesame-sesame", settings->peerSecret.reveal().c_str());
    STRCMP_EQUAL("--peer_secret_file", resolveError(requiredFlagsWith("peer_secret_file", path)).name.c_str());
}

TEST(ProcessSettings, helpListsEverySettingWithItsRangeAndDefault)
{
    std::string help = processSettingsHelp();
    auto settings = resolveProcessSettings(requiredFlags, {});
    for (const EffectiveSetting& setting : effectiveSettings(*settings)) {
        bool isSecret = setting.value == "(not set)";
        CHECK_TEXT(help.find(isSecret ? "--" + setting.name + "_file=" : "--" + setting.name + "=") != std::string::npos, setting.name.c_str());
    }
    STRCMP_CONTAINS("from 10ms to 10m; default 15s", help.c_str());
}
