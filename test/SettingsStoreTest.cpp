#include "store/SettingsStore.h"
#include "test/TableFake.h"
#include <boost/leaf/handle_errors.hpp>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

ProposedChange propose(std::string id, std::string path, std::string field, boost::json::value value, std::optional<std::uint64_t> readVersion = {})
{
    SettingsEdit edit { .path = std::move(path), .field = std::move(field), .value = std::move(value) };
    if (readVersion)
        edit.readVersion = SettingsVersion(*readVersion);
    return { .change = ChangeId(std::move(id)), .author = "ana", .edits = { std::move(edit) } };
}

} // namespace

TEST_GROUP(SettingsStore)
{
    TableFake table;
    int waits { 0 };
    SettingsStoreOptions options()
    {
        return { .table = table.access(), .snapshotEvery = 4, .snapshotPieceBytes = 100, .maxAttempts = 6, .sleep = [this](std::chrono::milliseconds) { ++waits; } };
    }

    /// The result as text: "N" for the accepted version, "earlier N" when an earlier attempt was accepted, or the kind of failure.
    std::string accept(const ProposedChange& proposed, const SettingsTree& held = {})
    {
        SettingsStore store(options());
        return boost::leaf::try_handle_all([&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(stored, store.accept(held, proposed, SystemTime()));
            return (stored.acceptedEarlier ? "earlier " : "") + std::to_string(stored.change.version.value()); },
            [](const InvalidSetting& error) { return "invalid " + error.name; },
            [](const SettingsConflict& conflict) { return "conflict " + conflict.path; },
            [](const StoreRolledBack& rollback) { return "rolled back " + std::to_string(rollback.storeVersion.value()) + "<" + std::to_string(rollback.heldVersion.value()); },
            [](const UnknownOutcome& unknown) { return "unknown " + unknown.change.value(); },
            [](const CallError& error) { return "call error " + std::to_string(static_cast<int>(error.failure)); },
            [] { return std::string("other"); });
    }

    SettingsTree newest()
    {
        SettingsStore store(options());
        return store.catchUp({}).value().tree;
    }
};

TEST(SettingsStore, firstChangeMakesVersionOne)
{
    STRCMP_EQUAL("1", accept(propose("a", "site", "name", "x")).c_str());
    LONGS_EQUAL(1, SettingsStore(options()).readHead().value().value());
    STRCMP_EQUAL("x", resolve(newest()).site.name.c_str());
}

TEST(SettingsStore, emptyStoreIsAtVersionZero)
{
    CHECK(SettingsStore(options()).readHead().value().isNone());
    CHECK(newest().version.isNone());
}

TEST(SettingsStore, sameChangeIdIsAcceptedOnce)
{
    accept(propose("a", "site", "name", "x"));
    accept(propose("b", "site", "name", "y"));
    STRCMP_EQUAL("earlier 1", accept(propose("a", "site", "name", "x")).c_str());
    STRCMP_EQUAL("y", resolve(newest()).site.name.c_str());
}

TEST(SettingsStore, changeIdOfAnotherChangeIsRefused)
{
    accept(propose("a", "site", "name", "x"));
    STRCMP_EQUAL("invalid change id", accept(propose("a", "site", "name", "y")).c_str());
    STRCMP_EQUAL("invalid change id", accept(propose("", "site", "name", "y")).c_str());
    STRCMP_EQUAL("invalid change id", accept(propose("a b", "site", "name", "y")).c_str());
}

TEST(SettingsStore, lostAnswerIsResolvedByChangeId)
{
    table.lostAnswers = 1;
    STRCMP_EQUAL("earlier 1", accept(propose("a", "site", "name", "x")).c_str());
    LONGS_EQUAL(1, table.transactions);
}

TEST(SettingsStore, lostRequestIsRetried)
{
    table.lostRequests = 1;
    STRCMP_EQUAL("1", accept(propose("a", "site", "name", "x")).c_str());
}

TEST(SettingsStore, lostAnswerThatCannotBeResolvedIsAnUnknownOutcome)
{
    table.lostAnswers = 1;
    table.beforeTransaction = [this] { table.readsUntilOutage = 0; };
    STRCMP_EQUAL("unknown a", accept(propose("a", "site", "name", "x")).c_str());
}

TEST(SettingsStore, outageBeforeTheWriteIsACallErrorWithoutEffect)
{
    table.isDown = true;
    STRCMP_EQUAL("call error 0", accept(propose("a", "site", "name", "x")).c_str());
    LONGS_EQUAL(0, table.rows.size());
}

TEST(SettingsStore, concurrentEditOfAnotherBranchIsRebased)
{
    accept(propose("a", "site", "name", "x"));
    table.beforeTransaction = [this] { accept(propose("b", "pool/p", "maxWaiting", 5)); };
    STRCMP_EQUAL("3", accept(propose("c", "site", "name", "y", 1)).c_str());
    LONGS_EQUAL(5, resolve(newest()).pools.at(PoolId("p")).maxWaiting);
    STRCMP_EQUAL("y", resolve(newest()).site.name.c_str());
}

TEST(SettingsStore, concurrentEditOfTheSameBranchIsAConflict)
{
    accept(propose("a", "site", "name", "x"));
    table.beforeTransaction = [this] { accept(propose("b", "site", "name", "z")); };
    STRCMP_EQUAL("conflict site", accept(propose("c", "site", "name", "y", 1)).c_str());
    STRCMP_EQUAL("z", resolve(newest()).site.name.c_str());
}

TEST(SettingsStore, concurrentAttemptAtTheSameChangeIsNoConflict)
{
    accept(propose("a", "site", "name", "x"));
    table.beforeTransaction = [this] { accept(propose("c", "site", "name", "y", 1)); };
    STRCMP_EQUAL("earlier 2", accept(propose("c", "site", "name", "y", 1)).c_str());
}

TEST(SettingsStore, sameChangeCommittedBetweenTheReadsIsAcceptedOnce)
{
    table.beforeHeadRead = [this] { accept(propose("a", "site", "name", "x")); };
    STRCMP_EQUAL("earlier 1", accept(propose("a", "site", "name", "x")).c_str());
    LONGS_EQUAL(1, newest().version.value());
}

TEST(SettingsStore, changeConcurrentWithRaiseVersionDoesNotLowerTheVersion)
{
    accept(propose("a", "site", "name", "x"));
    auto old = table.rows;
    accept(propose("b", "site", "name", "y"));
    SettingsTree held = newest();
    table.rows = old;
    table.beforeTransaction = [this, &held] { (void)SettingsStore(options()).raiseVersion(held, { .change = ChangeId("r") }, SystemTime()); };
    STRCMP_EQUAL("1003", accept(propose("c", "pool/p", "maxWaiting", 5)).c_str());
    STRCMP_EQUAL("y", resolve(newest()).site.name.c_str());
}

TEST(SettingsStore, invalidChangeWritesNothing)
{
    STRCMP_EQUAL("invalid site speed", accept(propose("a", "site", "speed", 1)).c_str());
    LONGS_EQUAL(0, table.rows.size());
}

TEST(SettingsStore, tooLargeChangeIsRefused)
{
    STRCMP_EQUAL("invalid edits", accept(propose("a", "site", "name", boost::json::value(std::string(400'000, 'x')))).c_str());
}

TEST(SettingsStore, rolledBackStoreAcceptsNoChange)
{
    accept(propose("a", "site", "name", "x"));
    auto old = table.rows;
    accept(propose("b", "site", "name", "y"));
    SettingsTree held = newest();
    table.rows = old;
    STRCMP_EQUAL("rolled back 1<2", accept(propose("c", "site", "name", "z"), held).c_str());
    CHECK(table.rows == old);
    CHECK_FALSE(SettingsStore(options()).catchUp(held).has_value());
}

TEST(SettingsStore, rolledBackStoreIsRaisedAboveEveryAssignedVersion)
{
    accept(propose("a", "site", "name", "x"));
    auto old = table.rows;
    accept(propose("b", "site", "name", "y"));
    SettingsTree held = newest();
    table.rows = old;
    SettingsStore store(options());
    StoredChange raised = store.raiseVersion(held, { .change = ChangeId("r") }, SystemTime()).value();
    LONGS_EQUAL(1'002, raised.change.version.value());
    LONGS_EQUAL(1'002, newest().version.value());
    STRCMP_EQUAL("y", resolve(newest()).site.name.c_str());
    STRCMP_EQUAL(treeToJson(newest()).c_str(), treeToJson(store.catchUp(held).value().tree).c_str());
    STRCMP_EQUAL("1003", accept(propose("c", "site", "name", "z"), held).c_str());
}

TEST(SettingsStore, storeThatIsNotBehindIsNotRaised)
{
    accept(propose("a", "site", "name", "x"));
    SettingsTree held = newest();
    auto before = table.rows;
    CHECK_FALSE(SettingsStore(options()).raiseVersion(held, { .change = ChangeId("r") }, SystemTime()).has_value());
    CHECK(table.rows == before);
}

TEST(SettingsStore, changeFailsWithoutEffectWhenEveryAttemptLosesTheRace)
{
    std::function<void()> race = [this, &race] {
        TableItem head { .key = { "settings", "head" }, .attributes = { { "version", std::int64_t { 0 } } } };
        table.rows[head.key] = head;
        table.rows.erase(head.key);
        table.rows[{ "settings", "change#00000000000000000001" }] = head;
        table.beforeTransaction = race;
    };
    table.beforeTransaction = race;
    STRCMP_EQUAL("call error 3", accept(propose("a", "site", "name", "x")).c_str());
    LONGS_EQUAL(6, table.transactions);
    LONGS_EQUAL(5, waits);
}

TEST(SettingsStore, snapshotReplacesTheChangesBeforeIt)
{
    for (int i = 1; i <= 9; ++i)
        accept(propose("c" + std::to_string(i), "pool/p" + std::to_string(i), "maxWaiting", i), newest());
    std::string whole = treeToJson(newest());
    for (int i = 1; i <= 8; ++i)
        table.rows.erase({ "settings", "change#0000000000000000000" + std::to_string(i) });
    STRCMP_EQUAL(whole.c_str(), treeToJson(newest()).c_str());
}

TEST(SettingsStore, missingChangeIsAnError)
{
    for (int i = 1; i <= 3; ++i)
        accept(propose("c" + std::to_string(i), "site", "name", boost::json::value("x" + std::to_string(i))));
    table.rows.erase({ "settings", "change#00000000000000000002" });
    CHECK_FALSE(SettingsStore(options()).catchUp({}).has_value());
    table.rows.erase({ "settings", "change#00000000000000000003" });
    CHECK_FALSE(SettingsStore(options()).catchUp({}).has_value());
}

TEST(SettingsStore, missingPieceOfASnapshotIsAnError)
{
    for (int i = 1; i <= 5; ++i)
        accept(propose("c" + std::to_string(i), "site", "name", boost::json::value("x" + std::to_string(i))));
    std::erase_if(table.rows, [](const auto& row) { return row.first.sort.starts_with("snapshot#") && row.first.sort.ends_with("#00000000000000000000"); });
    CHECK_FALSE(SettingsStore(options()).catchUp({}).has_value());
}

TEST(SettingsStore, catchUpReturnsTheChangesSinceTheHeldTree)
{
    accept(propose("a", "site", "name", "x"));
    SettingsTree held = newest();
    accept(propose("b", "site", "name", "y"));
    SettingsCatchUp result = SettingsStore(options()).catchUp(held).value();
    LONGS_EQUAL(1, result.changes.size());
    STRCMP_EQUAL("b", result.changes.front().change.value().c_str());
    LONGS_EQUAL(2, result.tree.version.value());
}
