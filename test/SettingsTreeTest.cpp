#include "core/SettingsTree.h"
#include <boost/json/parse.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

SettingsEdit edit(std::string path, std::string field, std::string_view json)
{
    return { .path = std::move(path), .field = std::move(field), .value = boost::json::parse(boost::json::string_view(json.data(), json.size())) };
}

SettingsEdit editAt(SettingsEdit edit, std::uint64_t readVersion)
{
    edit.readVersion = SettingsVersion(readVersion);
    return edit;
}

AcceptedChange change(const SettingsTree& tree, std::vector<SettingsEdit> edits, std::string author = "ana")
{
    return { .version = SettingsVersion(tree.version.value() + 1), .change = ChangeId("c"), .author = std::move(author), .acceptedAtMs = 5, .edits = std::move(edits) };
}

/// The tree after an accepted change; a refused change fails the test.
SettingsTree accept(const SettingsTree& tree, std::vector<SettingsEdit> edits, std::string author = "ana")
{
    return boost::leaf::try_handle_all([&] { return applyChange(tree, change(tree, std::move(edits), std::move(author))); },
        [](const InvalidSetting& error) -> SettingsTree { FAIL(("refused " + error.name + " " + error.value + " " + error.allowed).c_str()); return {}; },
        [](const SettingsConflict&) -> SettingsTree { FAIL("conflict"); return {}; },
        []() -> SettingsTree { FAIL("other"); return {}; });
}

/// "accepted", "conflict PATH", or the name of the refused setting.
std::string verdict(const SettingsTree& tree, std::vector<SettingsEdit> edits)
{
    return boost::leaf::try_handle_all([&]() -> Result<std::string> {
        BOOST_LEAF_CHECK(applyChange(tree, change(tree, std::move(edits))));
        return std::string("accepted"); },
        [](const InvalidSetting& error) { return error.name; },
        [](const SettingsConflict& conflict) { return "conflict " + conflict.path; },
        [] { return std::string("other"); });
}

SettingsEdit target(const std::string& name, int port, const std::string& pool = "drafts")
{
    return edit("target/" + name, "", R"({"pool":")" + pool + R"(","host":"10.0.0.1","port":)" + std::to_string(port) + "}");
}

SettingsTree smallTree()
{
    return accept({}, { edit("tier/urgent", "level", "2"), edit("tier/bulk", "level", "1"), edit("pool/drafts", "models", R"(["small"])"), target("e1", 1), target("e2", 2), edit("account/ana", "tier", "\"urgent\"") });
}

const std::string digest(64, 'a');

} // namespace

TEST_GROUP(SettingsTree) {};

TEST(SettingsTree, emptyTreeResolvesToDefaults)
{
    Settings settings = resolve({});
    CHECK(settings.version.isNone());
    LONGS_EQUAL(3'000, settings.site.viewAgeLimit.count());
    CHECK(settings.targets.empty());
}

TEST(SettingsTree, schemaDefaultsEqualStructDefaults)
{
    SettingsTree bare = smallTree();
    std::vector<SettingsEdit> edits { edit("window/w", "", "{}") };
    SettingsTree withWindow = accept(bare, { edit("window/w", "", "{}"), edit("target/e1", "window", "\"w\"") });
    std::vector<SettingsEdit> all;
    for (const std::string path : { "site", "pool/drafts", "account/ana", "target/e1", "window/w" }) {
        for (const FieldSchema& field : settingsSchema()) {
            bool isOwn = findField(*kindOfPath(path), field.name) == &field && field.settableAt.front() == *kindOfPath(path);
            if (isOwn && !field.defaultValue.empty() && field.name != "models" && field.name != "window")
                all.push_back(edit(path, std::string(field.name), field.defaultValue));
        }
    }
    Settings a = resolve(withWindow);
    Settings b = resolve(accept(withWindow, all));
    const TargetSettings& t = a.targets.at(TargetId("e1"));
    const TargetSettings& u = b.targets.at(TargetId("e1"));
    CHECK(t.maxTokensInProgress == u.maxTokensInProgress && t.maxRequestsInProgress == u.maxRequestsInProgress && t.prefillRate == u.prefillRate);
    CHECK(t.decodeRate == u.decodeRate && t.cacheCapacity == u.cacheCapacity && t.cleaningTime == u.cleaningTime && t.mark == u.mark);
    CHECK(t.cleaningWindow->timeZone == u.cleaningWindow->timeZone && t.cleaningWindow->length == u.cleaningWindow->length);
    CHECK(t.cleaningWindow->day == u.cleaningWindow->day && t.cleaningWindow->startOfDay == u.cleaningWindow->startOfDay);
    const PoolSettings& p = a.pools.at(PoolId("drafts"));
    const PoolSettings& q = b.pools.at(PoolId("drafts"));
    CHECK(p.maxWaiting == q.maxWaiting && p.maxWait == q.maxWait && p.callTimeout == q.callTimeout && p.maxDispatches == q.maxDispatches);
    CHECK(p.retryBudget == q.retryBudget && p.policy == q.policy && p.maxLeavingShare == q.maxLeavingShare && p.kind == q.kind);
    CHECK(a.site.viewAgeLimit == b.site.viewAgeLimit && a.site.heartbeatPeriod == b.site.heartbeatPeriod && a.site.suspectAfter == b.site.suspectAfter);
    CHECK(a.site.headReadPeriod == b.site.headReadPeriod && a.site.claimRetention == b.site.claimRetention && a.site.name == b.site.name);
    CHECK(a.site.maxBody == b.site.maxBody && a.site.maxStoredAnswer == b.site.maxStoredAnswer);
    const ClientAccountSettings& c = a.accounts.at(ClientAccountId("ana"));
    const ClientAccountSettings& d = b.accounts.at(ClientAccountId("ana"));
    CHECK(c.weight == d.weight && c.maxWaiting == d.maxWaiting && c.keyHashes == d.keyHashes);
}

TEST(SettingsTree, targetValueOverridesPoolAndSite)
{
    SettingsTree tree = accept(smallTree(), { edit("site", "maxRequestsInProgress", "10") });
    LONGS_EQUAL(10, resolve(tree).targets.at(TargetId("e1")).maxRequestsInProgress);
    tree = accept(tree, { edit("pool/drafts", "maxRequestsInProgress", "20") });
    LONGS_EQUAL(20, resolve(tree).targets.at(TargetId("e1")).maxRequestsInProgress);
    tree = accept(tree, { edit("target/e1", "maxRequestsInProgress", "30") });
    LONGS_EQUAL(30, resolve(tree).targets.at(TargetId("e1")).maxRequestsInProgress);
    LONGS_EQUAL(20, resolve(tree).targets.at(TargetId("e2")).maxRequestsInProgress);
}

TEST(SettingsTree, removedValueIsReplacedByTheInheritedOne)
{
    SettingsTree tree = accept(smallTree(), { edit("site", "maxRequestsInProgress", "10"), edit("target/e1", "maxRequestsInProgress", "30") });
    tree = accept(tree, { { .path = "target/e1", .field = "maxRequestsInProgress" } });
    LONGS_EQUAL(10, resolve(tree).targets.at(TargetId("e1")).maxRequestsInProgress);
}

TEST(SettingsTree, windowIsInheritedAndNoneOverridesIt)
{
    SettingsTree tree = accept(smallTree(), { edit("window/w", "", R"({"day":"monday","start":"02:30","length":"4h"})"), edit("site", "window", "\"w\""), edit("target/e2", "window", "\"none\"") });
    Settings settings = resolve(tree);
    const auto& window = settings.targets.at(TargetId("e1")).cleaningWindow;
    CHECK(window && window->day == std::chrono::Monday);
    LONGS_EQUAL(150, window->startOfDay.count());
    LONGS_EQUAL(240, window->length.count());
    CHECK_FALSE(settings.targets.at(TargetId("e2")).cleaningWindow.has_value());
}

TEST(SettingsTree, accountGetsTheLevelOfItsTier)
{
    LONGS_EQUAL(2, resolve(smallTree()).accounts.at(ClientAccountId("ana")).tier.level);
}

TEST(SettingsTree, markHasTheVersionThatSetIt)
{
    SettingsTree tree = accept(smallTree(), { edit("target/e1", "mark", "\"leaving\"") });
    tree = accept(tree, { edit("target/e1", "maxRequestsInProgress", "5") });
    const Settings settings = resolve(tree);
    const TargetSettings& target = settings.targets.at(TargetId("e1"));
    CHECK(target.mark == TargetMark::Leaving);
    LONGS_EQUAL(2, target.markVersion.value());
    LONGS_EQUAL(3, target.branchVersion.value());
    CHECK_FALSE(target.markedForCleaning);
}

TEST(SettingsTree, cleaningIsALeavingMarkSetByTheSchedule)
{
    Settings settings = resolve(accept(smallTree(), { edit("target/e1", "mark", "\"cleaning\"") }));
    CHECK(settings.targets.at(TargetId("e1")).mark == TargetMark::Leaving);
    CHECK(settings.targets.at(TargetId("e1")).markedForCleaning);
}

TEST(SettingsTree, modelAndServiceNamesDefaultToThePoolName)
{
    Settings settings = resolve(accept({}, { edit("pool/chat", "", "{}"), edit("pool/fees", "kind", "\"plain_service\"") }));
    CHECK(settings.pools.at(PoolId("chat")).models == std::vector { ModelId("chat") });
    STRCMP_EQUAL("fees", settings.pools.at(PoolId("fees")).service.c_str());
}

TEST(SettingsTree, unknownFieldsAndPathsAreRefused)
{
    STRCMP_EQUAL("site speed", verdict({}, { edit("site", "speed", "1") }).c_str());
    STRCMP_EQUAL("site port", verdict({}, { edit("site", "port", "1") }).c_str());
    STRCMP_EQUAL("pool", verdict({}, { edit("pool", "maxWait", "\"3s\"") }).c_str());
    STRCMP_EQUAL("site speed", verdict({}, { { .path = "site", .field = "speed" } }).c_str());
    STRCMP_EQUAL("pool/x", verdict({}, { edit("pool/x", "", "3") }).c_str());
    STRCMP_EQUAL("edits", verdict({}, {}).c_str());
}

TEST(SettingsTree, requiredFieldsMustBeSet)
{
    STRCMP_EQUAL("tier/urgent level", verdict({}, { edit("tier/urgent", "", "{}") }).c_str());
    STRCMP_EQUAL("target/e1 host", verdict(smallTree(), { { .path = "target/e1", .field = "host" } }).c_str());
}

TEST(SettingsTree, referencedBranchesMustExist)
{
    STRCMP_EQUAL("target/e3 pool", verdict(smallTree(), { target("e3", 3, "other") }).c_str());
    STRCMP_EQUAL("account/ana tier", verdict(smallTree(), { edit("account/ana", "tier", "\"gold\"") }).c_str());
    STRCMP_EQUAL("site tier", verdict(smallTree(), { edit("site", "tier", "\"gold\"") }).c_str());
    STRCMP_EQUAL("pool/drafts window", verdict(smallTree(), { edit("pool/drafts", "window", "\"w\"") }).c_str());
    STRCMP_EQUAL("target/e1 pool", verdict(smallTree(), { { .path = "pool/drafts" } }).c_str());
}

TEST(SettingsTree, duplicateUniqueValuesAreRefused)
{
    STRCMP_EQUAL("target/e3 port", verdict(smallTree(), { target("e3", 1) }).c_str());
    STRCMP_EQUAL("tier/urgent level", verdict(smallTree(), { edit("tier/middle", "level", "2") }).c_str());
    STRCMP_EQUAL("pool/other models", verdict(smallTree(), { edit("pool/other", "models", R"(["small"])") }).c_str());
    STRCMP_EQUAL("account/b keyHashes", verdict({}, { edit("account/a", "keyHashes", "[\"" + digest + "\"]"), edit("account/b", "keyHashes", "[\"" + digest + "\"]") }).c_str());
    STRCMP_EQUAL("pool/b service", verdict({}, { edit("pool/a", "", R"({"kind":"plain_service","service":"fees"})"), edit("pool/b", "", R"({"kind":"plain_service","service":"fees"})") }).c_str());
}

TEST(SettingsTree, dependentDurationsAreChecked)
{
    STRCMP_EQUAL("site viewAgeLimit", verdict({}, { edit("site", "headReadPeriod", "\"2s\"") }).c_str());
    STRCMP_EQUAL("site viewAgeLimit", verdict({}, { edit("site", "heartbeatPeriod", "\"2s\""), edit("site", "suspectAfter", "\"4s\"") }).c_str());
    STRCMP_EQUAL("site suspectAfter", verdict({}, { edit("site", "suspectAfter", "\"900ms\"") }).c_str());
    STRCMP_EQUAL("pool/drafts maxWait", verdict(smallTree(), { edit("pool/drafts", "maxWait", "\"1s\"") }).c_str());
    STRCMP_EQUAL("pool/drafts maxWait", verdict(smallTree(), { edit("site", "suspectAfter", "\"30s\"") }).c_str());
}

TEST(SettingsTree, editOfAnUnchangedBranchIsAcceptedAfterOtherChanges)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "maxWaiting", "7") });
    STRCMP_EQUAL("accepted", verdict(tree, { editAt(edit("target/e1", "mark", "\"leaving\""), 1) }).c_str());
}

TEST(SettingsTree, editOfAChangedBranchIsAConflictWithBothValues)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "maxWaiting", "7") }, "boris");
    bool seen = boost::leaf::try_handle_all([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(applyChange(tree, change(tree, { editAt(edit("pool/drafts", "maxWaiting", "9"), 1) })));
        return false; },
        [](const SettingsConflict& conflict) {
            LONGS_EQUAL(1, conflict.readVersion.value());
            LONGS_EQUAL(2, conflict.currentVersion.value());
            STRCMP_EQUAL(R"({"maxWaiting":7,"models":["small"]})", conflict.currentValue.c_str());
            STRCMP_EQUAL(R"({"maxWaiting":9})", conflict.refusedValue.c_str());
            return true;
        },
        [] { return false; });
    CHECK(seen);
}

TEST(SettingsTree, creatingAnExistingBranchIsAConflict)
{
    STRCMP_EQUAL("conflict target/e1", verdict(smallTree(), { editAt(target("e1", 9), 0) }).c_str());
    STRCMP_EQUAL("accepted", verdict(smallTree(), { editAt(target("e3", 9), 0) }).c_str());
}

TEST(SettingsTree, editOfARemovedBranchIsAConflict)
{
    SettingsTree tree = accept(smallTree(), { { .path = "target/e1" } });
    STRCMP_EQUAL("conflict target/e1", verdict(tree, { editAt(edit("target/e1", "mark", "\"leaving\""), 1) }).c_str());
}

TEST(SettingsTree, refusedChangeLeavesTheTreeUnchanged)
{
    SettingsTree tree = smallTree();
    std::string before = treeToJson(tree);
    verdict(tree, { edit("pool/drafts", "maxWaiting", "7"), edit("site", "speed", "1") });
    STRCMP_EQUAL(before.c_str(), treeToJson(tree).c_str());
}

TEST(SettingsTree, versionMustRise)
{
    SettingsTree tree = smallTree();
    AcceptedChange same = change(tree, { edit("pool/drafts", "maxWaiting", "7") });
    same.version = tree.version;
    bool refused = boost::leaf::try_handle_all([&]() -> Result<bool> {
        BOOST_LEAF_CHECK(applyChange(tree, same));
        return false; }, [](const InvalidSetting& error) { return error.name == "version"; }, [] { return false; });
    CHECK(refused);
}

TEST(SettingsTree, equalValueKeepsAuthorAndBranchVersion)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "models", R"(["small"])") }, "boris");
    STRCMP_EQUAL("ana", tree.branches.at("pool/drafts").fields.at("models").author.c_str());
    LONGS_EQUAL(1, tree.branches.at("pool/drafts").version.value());
}

TEST(SettingsTree, wholeBranchEditReplacesTheFields)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "", R"({"maxWaiting":7})") });
    LONGS_EQUAL(1, tree.branches.at("pool/drafts").fields.size());
}

TEST(SettingsTree, explainReturnsBranchAuthorAndVersion)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "maxRequestsInProgress", "20") }, "boris");
    std::vector<ExplainedField> fields = explain(tree, "target/e1").value();
    auto field = std::find_if(fields.begin(), fields.end(), [](const ExplainedField& f) { return f.field == "maxRequestsInProgress"; });
    STRCMP_EQUAL("pool/drafts", field->inheritedFrom.c_str());
    STRCMP_EQUAL("boris", field->author.c_str());
    LONGS_EQUAL(2, field->version.value());
    LONGS_EQUAL(20, field->value.to_number<int>());
}

TEST(SettingsTree, explainReturnsDefaultsAndRefusesUnknownBranches)
{
    std::vector<ExplainedField> fields = explain({}, "site").value();
    auto field = std::find_if(fields.begin(), fields.end(), [](const ExplainedField& f) { return f.field == "viewAgeLimit"; });
    STRCMP_EQUAL("", field->inheritedFrom.c_str());
    STRCMP_EQUAL("\"3s\"", valueToJson(field->value).c_str());
    CHECK_FALSE(explain({}, "pool/x").has_value());
}

TEST(SettingsTree, effectsIncludeInheritedValues)
{
    SettingsTree before = smallTree();
    SettingsTree after = accept(before, { edit("site", "maxRequestsInProgress", "10"), { .path = "account/ana" } });
    std::vector<SettingsEffect> list = effects(before, after);
    std::string text;
    for (const SettingsEffect& effect : list) {
        if (effect.path != "account/ana")
            text += effect.path + " " + valueToJson(*effect.before) + ">" + valueToJson(*effect.after) + ";";
        else
            CHECK(effect.before && !effect.after);
    }
    STRCMP_EQUAL("pool/drafts 64>10;site 64>10;target/e1 64>10;target/e2 64>10;", text.c_str());
}

TEST(SettingsTree, effectsOfANewBranchAreItsOwnValues)
{
    SettingsTree before = smallTree();
    std::vector<SettingsEffect> list = effects(before, accept(before, { edit("pool/new", "maxWaiting", "7") }));
    LONGS_EQUAL(1, list.size());
    STRCMP_EQUAL("maxWaiting", list[0].field.c_str());
    CHECK_FALSE(list[0].before.has_value());
}

TEST(SettingsTree, jsonRoundTripGivesEqualBytes)
{
    SettingsTree tree = accept(smallTree(), { edit("pool/drafts", "retryBudget", "0.25"), edit("account/ana", "weight", "3") }, "bo\"ris");
    std::string text = treeToJson(tree);
    STRCMP_EQUAL(text.c_str(), treeToJson(treeFromJson(text).value()).c_str());
}

TEST(SettingsTree, brokenJsonIsRefused)
{
    for (const char* invalid : { "", "[]", "{", "{}", R"({"branches":{"site":3}})", R"({"branches":{"site":{"fields":{"x":1}}}})", "[[[[[[[[[[[[[]]]]]]]]]]]]]" })
        CHECK_FALSE(treeFromJson(invalid).has_value());
    for (const char* invalid : { "", "{}", "[1]", R"([{"field":"x"}])" })
        CHECK_FALSE(editsFromJson(invalid).has_value());
}

TEST(SettingsTree, editsRoundTripThroughJson)
{
    std::vector<SettingsEdit> edits { editAt(edit("pool/a", "retryBudget", "0.5"), 0), { .path = "pool/b" } };
    std::string text = editsToJson(edits);
    STRCMP_EQUAL(R"([{"path":"pool/a","field":"retryBudget","value":0.5,"readVersion":0},{"path":"pool/b","field":""}])", text.c_str());
    STRCMP_EQUAL(text.c_str(), editsToJson(editsFromJson(text).value()).c_str());
}

TEST(SettingsTree, replayGivesTheAcceptedTree)
{
    SettingsTree tree = smallTree();
    AcceptedChange next = change(tree, { edit("site", "viewAgeLimit", "\"4000ms\""), editAt(edit("pool/drafts", "maxWaiting", "7"), 1) });
    STRCMP_EQUAL(treeToJson(applyChange(tree, next).value()).c_str(), treeToJson(replayChange(tree, next)).c_str());
}

TEST(SettingsTree, replayKeepsFieldsOfANewerProgram)
{
    SettingsTree tree = replayChange(smallTree(), change(smallTree(), { edit("pool/drafts", "futureField", "7") }));
    CHECK(tree.branches.at("pool/drafts").fields.contains("futureField"));
    LONGS_EQUAL(1, resolve(tree).pools.size());
}

TEST(SettingsTree, importOfAnExportRestoresTheTree)
{
    SettingsTree tree = smallTree();
    std::string text = exportBranches(tree, "");
    SettingsTree changed = accept(tree, { edit("pool/drafts", "maxWaiting", "7"), target("e3", 3) });
    std::vector<SettingsEdit> edits = importEdits(changed, text, ImportScope::WholeTree).value();
    LONGS_EQUAL(2, edits.size());
    STRCMP_EQUAL(text.c_str(), exportBranches(accept(changed, edits), "").c_str());
}

TEST(SettingsTree, importOfListedBranchesKeepsTheOthers)
{
    SettingsTree tree = smallTree();
    std::vector<SettingsEdit> edits = importEdits(tree, R"({"site":{"name":"x"}})", ImportScope::ListedBranches).value();
    LONGS_EQUAL(1, edits.size());
    CHECK_FALSE(importEdits(tree, "[]", ImportScope::ListedBranches).has_value());
}

TEST(SettingsTree, exportOfAPathContainsOnlyItsBranches)
{
    STRCMP_EQUAL(R"({"tier/bulk":{"level":1},"tier/urgent":{"level":2}})", exportBranches(smallTree(), "tier").c_str());
    STRCMP_EQUAL(R"({"tier/bulk":{"level":1}})", exportBranches(smallTree(), "tier/bulk").c_str());
}
