#include "core/AccountQuota.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(AccountQuota)
{
    SteadyTime now { std::chrono::hours(1) };
    AccountQuota quota;

    void setup() override { setQuota(quota, 1000, 2000, now); }

    double admitAll(double units, int rank)
    {
        double admitted = 0;
        while (admit(quota, { .units = units, .rank = rank }, now))
            admitted += units;
        return admitted;
    }
};

TEST(AccountQuota, admitsTheBurstThenTheRate)
{
    DOUBLES_EQUAL(2000, admitAll(100, 0), 0.1);
    now += 500ms;
    DOUBLES_EQUAL(500, admitAll(100, 0), 0.1);
}

TEST(AccountQuota, noLimitAdmitsEverything)
{
    AccountQuota unlimited;
    setQuota(unlimited, 0, 0, now);
    for (int i = 0; i < 1000; ++i)
        CHECK(admit(unlimited, { .units = 1e6 }, now));
}

TEST(AccountQuota, fullBucketAdmitsARequestLargerThanTheBurst)
{
    CHECK(admit(quota, { .units = 5000 }, now));
    CHECK_FALSE(admit(quota, { .units = 1 }, now));
}

TEST(AccountQuota, unitsAdmittedByPeersAreCharged)
{
    recordPeerAdmitted(quota, InstanceId("b"), 1, 0, now);
    recordPeerAdmitted(quota, InstanceId("b"), 1, 1500, now);
    DOUBLES_EQUAL(500, admitAll(100, 0), 0.1);
}

TEST(AccountQuota, restartedPeerIsCountedFromItsFirstReport)
{
    recordPeerAdmitted(quota, InstanceId("b"), 1, 90000, now);
    recordPeerAdmitted(quota, InstanceId("b"), 2, 10, now);
    DOUBLES_EQUAL(2000, admitAll(100, 0), 0.1);
}

// Load: one account sends many times its usual load at two instances that stop receiving each other's updates.
TEST(AccountQuota, peerWithoutUpdatesIsChargedAtItsLastRate)
{
    double admittedByPeer = 0;
    for (int i = 0; i < 40; ++i) {
        now += 100ms;
        admittedByPeer += 60;
        recordPeerAdmitted(quota, InstanceId("b"), 1, admittedByPeer, now);
        admitAll(40, 0);
    }
    double before = quota.admittedHere;
    for (int i = 0; i < 40; ++i) {
        now += 100ms;
        admitAll(40, 0);
    }
    double admitted = quota.admittedHere - before;
    CHECK(admitted <= 4 * 1000 - 4 * 600 + 600 + 100);
    CHECK(admitted >= 4 * 1000 - 4 * 600 - 200);
}

// Load: an account's quota was lowered far below its load; two thirds of its requests are less urgent.
TEST(AccountQuota, urgentRequestsOfAnAccountOverItsQuotaGoFirst)
{
    double urgent = 0;
    double other = 0;
    for (int i = 0; i < 400; ++i) {
        now += 25ms;
        other += admit(quota, { .units = 50, .rank = 2 }, now) ? 50 : 0;
        other += admit(quota, { .units = 50, .rank = 2 }, now) ? 50 : 0;
        urgent += admit(quota, { .units = 20, .rank = 0 }, now) ? 20 : 0;
    }
    DOUBLES_EQUAL(400 * 20, urgent, 0.1);
    CHECK(other > 0);
}

TEST(AccountQuota, lowerQuotaBoundsWhatIsLeft)
{
    setQuota(quota, 100, 200, now);
    DOUBLES_EQUAL(200, admitAll(10, 0), 0.1);
    CHECK(timeUntil(quota, 10, now) == 100ms);
}

TEST(AccountQuota, refundedUnitsAreAdmittedAgain)
{
    admitAll(100, 0);
    refund(quota, 300);
    DOUBLES_EQUAL(300, admitAll(100, 0), 0.1);
}
