#include "core/TargetVersions.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

namespace {

constexpr SteadyTime start { std::chrono::hours(1) };
const TargetVersion v1("v1");
const TargetVersion v2("v2");
const TargetVersion v3("v3");

} // namespace

TEST_GROUP(TargetVersions)
{
    TargetVersions versions;
};

// Targets of a new version are listed before the order: without a row, an instance that starts then must not use them.
TEST(TargetVersions, theVersionOfTheTargetThatHasRunLongestIsEstablishedFirst)
{
    CHECK(updateVersions(versions, { { v2, 200 }, { v1, 100 }, { v2, 300 } }, start));
    CHECK(mayGetRequests(versions, v1));
    CHECK_FALSE(mayGetRequests(versions, v2));
    CHECK_FALSE(updateVersions(versions, { { v2, 200 }, { v1, 100 } }, start + 1s));
}

TEST(TargetVersions, targetsWithoutAVersionAreAVersion)
{
    CHECK(updateVersions(versions, { { TargetVersion(), 100 }, { v2, 200 } }, start));
    CHECK(mayGetRequests(versions, TargetVersion()));
    CHECK_FALSE(mayGetRequests(versions, v2));
}

TEST(TargetVersions, noTargetsEstablishNothing)
{
    CHECK_FALSE(updateVersions(versions, {}, start));
    CHECK(versions.established.empty());
}

// A pool whose targets were all replaced without an order would be without targets for good.
TEST(TargetVersions, whereNoEstablishedVersionIsListedForSecondsThoseListedAreEstablished)
{
    versions.established = { v1 };
    CHECK_FALSE(updateVersions(versions, { { v2, 1 } }, start));
    CHECK_FALSE(updateVersions(versions, { { v2, 1 } }, start + 4s));
    CHECK(updateVersions(versions, { { v2, 1 } }, start + 5s));
    CHECK(mayGetRequests(versions, v2));
}

TEST(TargetVersions, theAbsenceHasToBeInOnePiece)
{
    versions.established = { v1 };
    updateVersions(versions, { { v2, 1 } }, start);
    updateVersions(versions, { { v2, 1 }, { v1, 1 } }, start + 3s);
    CHECK_FALSE(updateVersions(versions, { { v2, 1 } }, start + 6s));
    CHECK_FALSE(mayGetRequests(versions, v2));
}

// An outage of the store in which no entry is known says nothing about versions.
TEST(TargetVersions, anEmptyListIsNoAbsence)
{
    versions.established = { v1 };
    updateVersions(versions, {}, start);
    CHECK_FALSE(updateVersions(versions, { { v2, 1 } }, start + 6s));
}

TEST(TargetVersions, neitherACandidateNorAnExcludedVersionIsEstablishedByAbsence)
{
    versions = { .established = { v1 }, .candidate = v2, .excluded = { v3 } };
    updateVersions(versions, { { v2, 1 }, { v3, 1 } }, start);
    CHECK_FALSE(updateVersions(versions, { { v2, 1 }, { v3, 1 } }, start + 10s));
    CHECK_FALSE(mayGetRequests(versions, v3));
}

TEST(TargetVersions, aRolledBackVersionGetsNothingUntilANewOrder)
{
    versions.established = { v1 };
    beginRollout(versions, v2);
    CHECK(mayGetRequests(versions, v2));
    excludeCandidate(versions, v2);
    CHECK_FALSE(mayGetRequests(versions, v2));
    CHECK(mayGetRequests(versions, v1));
    beginRollout(versions, v2);
    CHECK(mayGetRequests(versions, v2));
}

TEST(TargetVersions, afterSuccessOnlyTheNewVersionGetsRequests)
{
    versions.established = { v1, v3 };
    beginRollout(versions, v2);
    establishCandidate(versions, v2);
    CHECK(mayGetRequests(versions, v2));
    CHECK_FALSE(mayGetRequests(versions, v1));
    CHECK_FALSE(mayGetRequests(versions, v3));
}

// A version that an earlier order exposed may be bad.
TEST(TargetVersions, anOrderOnTopOfAnotherExcludesTheEarlierCandidateUnlessItNamesItAgain)
{
    versions.established = { v1 };
    beginRollout(versions, v2);
    beginRollout(versions, v2);
    CHECK(mayGetRequests(versions, v2));
    beginRollout(versions, v3);
    CHECK_FALSE(mayGetRequests(versions, v2));
    CHECK(mayGetRequests(versions, v3));
}

// `rolled_back` stops the new targets: an established version that an order names again must not be among those used.
TEST(TargetVersions, anEstablishedVersionThatIsRolledBackIsExcludedToo)
{
    versions.established = { v1, v2 };
    beginRollout(versions, v2);
    excludeCandidate(versions, v2);
    CHECK(mayGetRequests(versions, v1));
    CHECK_FALSE(mayGetRequests(versions, v2));
}
