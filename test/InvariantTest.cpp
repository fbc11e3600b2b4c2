#include "core/Invariant.h"
#include <set>
#include <string_view>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

namespace {
int handledViolations = 0;
}

TEST_GROUP(Invariant) {
    void teardown() override {
        setInvariantHandler(nullptr);
}
}
;

TEST(Invariant, aTrueConditionIsNotCounted)
{
    std::uint64_t before = invariantViolations();
    checkInvariant(true, InvariantId::WholeAnswer);
    CHECK(invariantViolations() == before);
}

TEST(Invariant, aViolationIsCountedUnderItsId)
{
    std::uint64_t before = invariantViolations(InvariantId::WholeAnswer);
    std::uint64_t other = invariantViolations(InvariantId::NoTierInversion);
    checkInvariant(false, InvariantId::WholeAnswer);
    CHECK(invariantViolations(InvariantId::WholeAnswer) == before + 1);
    CHECK(invariantViolations(InvariantId::NoTierInversion) == other);
}

TEST(Invariant, aViolationIsPassedToTheHandler)
{
    handledViolations = 0;
    setInvariantHandler([](InvariantId id) { handledViolations += id == InvariantId::NotRunNeverRan; });
    checkInvariant(false, InvariantId::NotRunNeverRan);
    LONGS_EQUAL(1, handledViolations);
}

TEST(Invariant, everyInvariantHasAUniqueName)
{
    std::set<std::string_view> names;
    for (int i = 0; i < invariantCount; ++i)
        names.insert(toString(static_cast<InvariantId>(i)));
    LONGS_EQUAL(invariantCount, names.size());
}
