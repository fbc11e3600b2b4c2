#include "core/PeerNumbers.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(PeerNumbers)
{
    SteadyTime now { std::chrono::hours(1) };
    PeerNumbers numbers;
};

TEST(PeerNumbers, eachPeerKeepsItsNumber)
{
    LONGS_EQUAL(0, numbers.numberOf(InstanceId("a"), now));
    LONGS_EQUAL(1, numbers.numberOf(InstanceId("b"), now));
    LONGS_EQUAL(0, numbers.numberOf(InstanceId("a"), now));
}

// Vectors by number would grow with every instance that was ever heard.
TEST(PeerNumbers, numbersOfPeersThatAreLongGoneAreUsedAgain)
{
    for (int i = 0; i < 1000; ++i) {
        now += 10s;
        CHECK(numbers.numberOf(InstanceId("instance-" + std::to_string(i)), now) < 8);
        LONGS_EQUAL(0, numbers.numberOf(InstanceId("instance-0"), now));
    }
}

TEST(PeerNumbers, aPeerThatIsSilentForAMomentKeepsItsNumber)
{
    numbers.numberOf(InstanceId("a"), now);
    now += 30s;
    LONGS_EQUAL(1, numbers.numberOf(InstanceId("b"), now));
    LONGS_EQUAL(0, numbers.numberOf(InstanceId("a"), now));
}
