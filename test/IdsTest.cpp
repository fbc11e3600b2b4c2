#include "limpetpond/Ids.h"
#include "limpetpond/Units.h"
#include <unordered_set>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Ids) {};

TEST(Ids, equalValuesCompareEqual)
{
    CHECK(TargetId("a") == TargetId("a"));
    CHECK(TargetId("a") != TargetId("b"));
}

TEST(Ids, defaultIdsAreEmptyOrNone)
{
    CHECK(TargetId().isEmpty());
    CHECK(SettingsVersion().isNone());
    CHECK_FALSE(SettingsVersion(1).isNone());
}

TEST(Ids, idsAreHashable)
{
    std::unordered_set<TargetId> set { TargetId("a"), TargetId("a"), TargetId("b") };
    LONGS_EQUAL(2, set.size());
}

TEST(Ids, higherTierLevelIsMoreUrgent)
{
    CHECK(TierLevel { 2 } > TierLevel { 1 });
}

TEST(Ids, quantitiesOfTheSameUnitAdd)
{
    LONGS_EQUAL(120, (TokenCount(100) + TokenCount(20)).count());
}
