#include "store/SettingsHolder.h"
#include "test/TableFake.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

AcceptedChange change(std::uint64_t version, const std::string& name)
{
    SettingsEdit edit { .path = "site", .field = "name", .value = boost::json::value(name) };
    return { .version = SettingsVersion(version), .change = ChangeId(name), .edits = { edit } };
}

} // namespace

TEST_GROUP(SettingsHolder)
{
    SettingsHolder holder;

    void adopt(std::uint64_t version, const std::string& name)
    {
        AcceptedChange next = change(version, name);
        holder.adopt(replayChange(*holder.tree(), next), { next });
    }
};

TEST(SettingsHolder, holdsNoSettingsInitially)
{
    POINTERS_EQUAL(nullptr, holder.settings().get());
    CHECK(holder.tree()->version.isNone());
}

TEST(SettingsHolder, emptyTreeIsAdopted)
{
    CHECK(holder.adopt({}) != nullptr);
    CHECK(holder.settings()->version.isNone());
}

TEST(SettingsHolder, versionNeverDecreases)
{
    adopt(1, "a");
    SettingsTree old = *holder.tree();
    adopt(2, "b");
    STRCMP_EQUAL("b", holder.adopt(old)->site.name.c_str());
    LONGS_EQUAL(2, holder.tree()->version.value());
}

TEST(SettingsHolder, returnsTheChangesThatItHolds)
{
    adopt(1, "a");
    adopt(2, "b");
    LONGS_EQUAL(1, holder.changesAfter(SettingsVersion(1))->size());
    LONGS_EQUAL(2, holder.changesAfter(SettingsVersion())->size());
    LONGS_EQUAL(0, holder.changesAfter(SettingsVersion(2))->size());
}

TEST(SettingsHolder, returnsNoChangesAcrossAGap)
{
    adopt(1, "a");
    AcceptedChange third = change(3, "c");
    holder.adopt(replayChange(*holder.tree(), third), { third });
    CHECK_FALSE(holder.changesAfter(SettingsVersion(1)).has_value());
    CHECK(holder.changesAfter(SettingsVersion(2)).has_value());
    SettingsTree fourth = *holder.tree();
    fourth.version = SettingsVersion(4);
    holder.adopt(fourth);
    CHECK_FALSE(holder.changesAfter(SettingsVersion(3)).has_value());
}

TEST(SettingsHolder, fetchesAndAcceptsThroughTheStore)
{
    TableFake table;
    SettingsStore store({ .table = table.access() });
    SettingsHolder other;
    SettingsEdit edit { .path = "site", .field = "name", .value = "x" };
    CHECK(acceptAndAdopt(other, store, { .change = ChangeId("a"), .edits = { edit } }, SystemTime()).has_value());
    LONGS_EQUAL(1, other.settings()->version.value());
    STRCMP_EQUAL("x", fetchFromStore(holder, store).value()->site.name.c_str());
    CHECK(holder.changesAfter(SettingsVersion()).has_value());
}

TEST(SettingsHolder, changeForMarkCarriesTheBranchVersionOfTheStep)
{
    ProposedChange proposed = changeForMark({ .change = ChangeId("clean-e1"), .target = TargetId("e1"), .cleaning = true, .branchVersion = SettingsVersion(7) });
    STRCMP_EQUAL(R"([{"path":"target/e1","field":"mark","value":"cleaning","readVersion":7}])", editsToJson(proposed.edits).c_str());
    CHECK(changeForMark({ .cleaning = false }).edits.front().value == boost::json::value("serving"));
}
