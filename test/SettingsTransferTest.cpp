#include "peer/SettingsTransfer.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {

void adopt(SettingsHolder& holder, std::uint64_t version, const std::string& name, bool withChange = true)
{
    SettingsEdit edit { .path = "site", .field = "name", .value = boost::json::value(name) };
    AcceptedChange change { .version = SettingsVersion(version), .change = ChangeId(name), .author = "ana", .acceptedAtMs = 7, .edits = { edit } };
    holder.adopt(replayChange(*holder.tree(), change), withChange ? std::vector { change } : std::vector<AcceptedChange>());
}

} // namespace

TEST_GROUP(SettingsTransfer)
{
    SettingsHolder from;
    SettingsHolder to;
};

TEST(SettingsTransfer, changesUpdateAPeer)
{
    adopt(from, 1, "a");
    adopt(to, 1, "a");
    adopt(from, 2, "b");
    rpc::SettingsUpdate update = makeSettingsUpdate(from, to.tree()->version);
    CHECK_FALSE(update.__isset.snapshot);
    LONGS_EQUAL(2, applySettingsUpdate(to, update).value()->version.value());
    STRCMP_EQUAL(treeToJson(*from.tree()).c_str(), treeToJson(*to.tree()).c_str());
}

TEST(SettingsTransfer, snapshotUpdatesAPeerThatIsTooFarBehind)
{
    adopt(from, 1, "a", false);
    adopt(from, 2, "b");
    rpc::SettingsUpdate update = makeSettingsUpdate(from, SettingsVersion());
    CHECK(update.__isset.snapshot);
    LONGS_EQUAL(2, applySettingsUpdate(to, update).value()->version.value());
    STRCMP_EQUAL(treeToJson(*from.tree()).c_str(), treeToJson(*to.tree()).c_str());
}

TEST(SettingsTransfer, olderUpdateChangesNothing)
{
    adopt(from, 1, "a", false);
    adopt(to, 1, "a");
    adopt(to, 2, "b");
    LONGS_EQUAL(2, applySettingsUpdate(to, makeSettingsUpdate(from, SettingsVersion())).value()->version.value());
}

TEST(SettingsTransfer, gapsAndUnreadableUpdatesAreRefused)
{
    adopt(from, 1, "a");
    adopt(from, 2, "b");
    rpc::SettingsUpdate gap = makeSettingsUpdate(from, SettingsVersion(1));
    CHECK_FALSE(applySettingsUpdate(to, gap).has_value());
    gap.changes.front().version = 1;
    gap.changes.front().body = "{";
    CHECK_FALSE(applySettingsUpdate(to, gap).has_value());
    rpc::SettingsUpdate broken;
    broken.__set_snapshot({});
    CHECK_FALSE(applySettingsUpdate(to, broken).has_value());
}
