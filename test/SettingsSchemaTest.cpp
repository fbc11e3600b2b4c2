#include "core/SettingsSchema.h"
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <fstream>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

/// The canonical value as JSON, or "refused: NAME".
std::string check(BranchKind kind, std::string_view field, std::string_view json)
{
    return boost::leaf::try_handle_all([&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(value, checkValue(*findField(kind, field), "somewhere", boost::json::parse(boost::json::string_view(json.data(), json.size()))));
        return valueToJson(value); },
        [](const InvalidSetting& error) { return "refused: " + error.name; },
        [] { return std::string("other"); });
}

std::string refusal(std::string_view field) { return "refused: somewhere " + std::string(field); }

} // namespace

TEST_GROUP(SettingsSchema) {};

TEST(SettingsSchema, durationsAreWrittenInTheLargestUnit)
{
    STRCMP_EQUAL("\"3s\"", check(BranchKind::Site, "viewAgeLimit", "\"3000ms\"").c_str());
    STRCMP_EQUAL("\"1500ms\"", check(BranchKind::Site, "viewAgeLimit", "\"1.5 s\"").c_str());
}

TEST(SettingsSchema, durationWithoutUnitIsRefused)
{
    STRCMP_EQUAL(refusal("viewAgeLimit").c_str(), check(BranchKind::Site, "viewAgeLimit", "3").c_str());
    STRCMP_EQUAL(refusal("viewAgeLimit").c_str(), check(BranchKind::Site, "viewAgeLimit", "\"3\"").c_str());
}

TEST(SettingsSchema, wrongUnitIsRefused)
{
    STRCMP_EQUAL(refusal("viewAgeLimit").c_str(), check(BranchKind::Site, "viewAgeLimit", "\"3 tokens\"").c_str());
    STRCMP_EQUAL(refusal("maxBody").c_str(), check(BranchKind::Site, "maxBody", "\"3s\"").c_str());
    STRCMP_EQUAL(refusal("prefillRate").c_str(), check(BranchKind::Target, "prefillRate", "\"300 tokens\"").c_str());
}

TEST(SettingsSchema, rangeLimitsAreAllowedAndValuesOutsideAreRefused)
{
    STRCMP_EQUAL("\"200ms\"", check(BranchKind::Site, "viewAgeLimit", "\"200ms\"").c_str());
    STRCMP_EQUAL("\"1m\"", check(BranchKind::Site, "viewAgeLimit", "\"60s\"").c_str());
    STRCMP_EQUAL(refusal("viewAgeLimit").c_str(), check(BranchKind::Site, "viewAgeLimit", "\"199ms\"").c_str());
    STRCMP_EQUAL(refusal("viewAgeLimit").c_str(), check(BranchKind::Site, "viewAgeLimit", "\"60001ms\"").c_str());
}

TEST(SettingsSchema, countsAreWholeNumbers)
{
    STRCMP_EQUAL("65535", check(BranchKind::Target, "port", "65535").c_str());
    STRCMP_EQUAL(refusal("port").c_str(), check(BranchKind::Target, "port", "80.5").c_str());
    STRCMP_EQUAL(refusal("port").c_str(), check(BranchKind::Target, "port", "0").c_str());
    STRCMP_EQUAL(refusal("port").c_str(), check(BranchKind::Target, "port", "-1").c_str());
    STRCMP_EQUAL(refusal("port").c_str(), check(BranchKind::Target, "port", "\"80\"").c_str());
}

TEST(SettingsSchema, sharesAreWrittenInShortForm)
{
    STRCMP_EQUAL("0.25", check(BranchKind::Pool, "retryBudget", "0.25").c_str());
    STRCMP_EQUAL("1", check(BranchKind::Pool, "retryBudget", "1.0").c_str());
    STRCMP_EQUAL(refusal("retryBudget").c_str(), check(BranchKind::Pool, "retryBudget", "1.01").c_str());
}

TEST(SettingsSchema, tokensAcceptThousands)
{
    STRCMP_EQUAL("\"64000 tokens\"", check(BranchKind::Target, "maxTokensInProgress", "\"64k tokens\"").c_str());
    STRCMP_EQUAL(refusal("maxTokensInProgress").c_str(), check(BranchKind::Target, "maxTokensInProgress", "\"1e9 tokens\"").c_str());
}

TEST(SettingsSchema, ipAddressesMustBeComplete)
{
    STRCMP_EQUAL("\"10.0.0.7\"", check(BranchKind::Target, "host", "\"10.0.0.7\"").c_str());
    for (const char* invalid : { "\"10.0.0\"", "\"10.0.0.256\"", "\"10.0.0.7.1\"", "\"engine.local\"", "\"10.0.0.07\"", "\"\"", "7" })
        STRCMP_EQUAL(refusal("host").c_str(), check(BranchKind::Target, "host", invalid).c_str());
}

TEST(SettingsSchema, onlyListedChoicesAreAllowed)
{
    STRCMP_EQUAL("\"leaving\"", check(BranchKind::Target, "mark", "\"leaving\"").c_str());
    STRCMP_EQUAL(refusal("mark").c_str(), check(BranchKind::Target, "mark", "\"gone\"").c_str());
}

TEST(SettingsSchema, listsRefuseDuplicatesAndWrongElements)
{
    STRCMP_EQUAL("[\"a\",\"b\"]", check(BranchKind::Pool, "models", R"(["a","b"])").c_str());
    STRCMP_EQUAL(refusal("models").c_str(), check(BranchKind::Pool, "models", R"(["a","a"])").c_str());
    STRCMP_EQUAL(refusal("models").c_str(), check(BranchKind::Pool, "models", R"(["a b"])").c_str());
    STRCMP_EQUAL(refusal("models").c_str(), check(BranchKind::Pool, "models", R"("a")").c_str());
    STRCMP_EQUAL(refusal("nonIdempotentMethods").c_str(), check(BranchKind::Pool, "nonIdempotentMethods", R"(["post"])").c_str());
    STRCMP_EQUAL(refusal("nonIdempotentPaths").c_str(), check(BranchKind::Pool, "nonIdempotentPaths", R"(["fees"])").c_str());
    STRCMP_EQUAL(refusal("keyHashes").c_str(), check(BranchKind::Account, "keyHashes", R"(["abc"])").c_str());
}

TEST(SettingsSchema, windowFieldsAreChecked)
{
    STRCMP_EQUAL("\"02:30\"", check(BranchKind::Window, "start", "\"02:30\"").c_str());
    STRCMP_EQUAL(refusal("start").c_str(), check(BranchKind::Window, "start", "\"24:00\"").c_str());
    STRCMP_EQUAL(refusal("start").c_str(), check(BranchKind::Window, "start", "\"2:30\"").c_str());
    STRCMP_EQUAL(refusal("timeZone").c_str(), check(BranchKind::Window, "timeZone", "\"Sofia\"").c_str());
    STRCMP_EQUAL(refusal("length").c_str(), check(BranchKind::Window, "length", "\"301s\"").c_str());
    STRCMP_EQUAL(refusal("day").c_str(), check(BranchKind::Window, "day", "\"someday\"").c_str());
}

TEST(SettingsSchema, everyDefaultIsAllowedAndCanonical)
{
    for (const FieldSchema& field : settingsSchema()) {
        if (field.defaultValue.empty())
            continue;
        std::string defaultValue(field.defaultValue);
        STRCMP_EQUAL(defaultValue.c_str(), check(field.settableAt.front(), field.name, defaultValue).c_str());
    }
}

TEST(SettingsSchema, everyFieldRefusesAnObject)
{
    for (const FieldSchema& field : settingsSchema())
        STRCMP_EQUAL(refusal(field.name).c_str(), check(field.settableAt.front(), field.name, "{}").c_str());
}

TEST(SettingsSchema, everyCountAndShareRefusesValuesOutsideItsRange)
{
    for (const FieldSchema& field : settingsSchema()) {
        if (field.type != FieldType::Count && field.type != FieldType::Share)
            continue;
        STRCMP_EQUAL(refusal(field.name).c_str(), check(field.settableAt.front(), field.name, std::to_string(field.max + 1)).c_str());
        STRCMP_EQUAL(refusal(field.name).c_str(), check(field.settableAt.front(), field.name, std::to_string(field.min - 1)).c_str());
    }
}

TEST(SettingsSchema, pathsRequireAKnownKindAndAValidName)
{
    CHECK(kindOfPath("site") == BranchKind::Site);
    CHECK(kindOfPath("pool/drafts") == BranchKind::Pool);
    for (const char* invalid : { "", "pool", "pool/", "site/x", "pools/x", "pool/a b", "pool/a/b", "pool/.x", "pool/\xc3\xa4" })
        CHECK_FALSE(kindOfPath(invalid).has_value());
}

TEST(SettingsSchema, fieldsAreFoundOnlyAtTheirKinds)
{
    CHECK(findField(BranchKind::Site, "maxWait"));
    CHECK(findField(BranchKind::Pool, "maxWait"));
    POINTERS_EQUAL(nullptr, findField(BranchKind::Target, "maxWait"));
}

TEST(SettingsSchema, documentationPageMatchesTheSchema)
{
    std::ifstream file(LIMPETPOND_SOURCE_DIR "/docs/SETTINGS.md");
    std::stringstream page;
    page << file.rdbuf();
    CHECK(page.str() == schemaAsMarkdown());
}
