#include "core/AccountQuota.h"
#include <map>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(AccountQuota)
{
    SteadyTime now { std::chrono::hours(1) };
    AccountQuota quota;
    static constexpr PeerNumber peer = 1;

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
    recordPeerAdmitted(quota, peer, 1, 0, now);
    recordPeerAdmitted(quota, peer, 1, 1500, now);
    DOUBLES_EQUAL(500, admitAll(100, 0), 0.1);
}

TEST(AccountQuota, restartedPeerIsCountedFromItsFirstReport)
{
    recordPeerAdmitted(quota, peer, 1, 90000, now);
    recordPeerAdmitted(quota, peer, 2, 10, now);
    DOUBLES_EQUAL(2000, admitAll(100, 0), 0.1);
}

// Load: one account sends many times its usual load at two instances that stop receiving each other's updates.
TEST(AccountQuota, peerWithoutUpdatesIsChargedAtItsLastRate)
{
    double admittedByPeer = 0;
    for (int i = 0; i < 40; ++i) {
        now += 100ms;
        admittedByPeer += 60;
        recordPeerAdmitted(quota, peer, 1, admittedByPeer, now);
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

/// Charges silent peers by a look at each of them, as a reference.
struct ReferenceQuota {
    struct Peer {
        double admitted { 0 };
        double perSecond { 0 };
        SteadyTime reportedAt;
        SteadyTime chargedUntil;
        double estimated { 0 };
    };
    double left { 2000 };
    SteadyTime filledAt;
    std::map<PeerNumber, Peer> peers;

    void charge(double units) { left = std::max(left - units, -1000.0); }

    void refill(SteadyTime now)
    {
        if (now <= filledAt)
            return;
        left = std::min(2000.0, left + 1000 * toSeconds(now - filledAt));
        filledAt = now;
        for (auto& [number, peer] : peers) {
            SteadyTime from = std::max<SteadyTime>(peer.chargedUntil, peer.reportedAt + 600ms);
            SteadyTime until = std::min<SteadyTime>(now, peer.reportedAt + 6s);
            if (until <= from)
                continue;
            peer.chargedUntil = until;
            peer.estimated += peer.perSecond * toSeconds(until - from);
            charge(peer.perSecond * toSeconds(until - from));
        }
    }

    void record(PeerNumber number, double admitted, SteadyTime now)
    {
        refill(now);
        auto [found, isNew] = peers.try_emplace(number);
        Peer& peer = found->second;
        if (!isNew) {
            double units = admitted - peer.admitted;
            if (now > peer.reportedAt)
                peer.perSecond += 0.3 * (units / toSeconds(now - peer.reportedAt) - peer.perSecond);
            charge(units - std::min(peer.estimated, units));
        }
        peer = { .admitted = admitted, .perSecond = peer.perSecond, .reportedAt = now, .chargedUntil = now };
    }
};

// The sum of the silent peers' rates could differ from what a look at each of them gives.
TEST(AccountQuota, silentPeersAreChargedAsByALookAtEachOfThem)
{
    for (std::uint32_t seed = 1; seed <= 20; ++seed) {
        std::mt19937 random(seed);
        AccountQuota tested;
        setQuota(tested, 1000, 2000, now);
        ReferenceQuota reference { .filledAt = now };
        std::map<PeerNumber, double> admitted;
        for (int step = 0; step < 3000; ++step) {
            now += std::chrono::milliseconds(random() % 40);
            auto number = static_cast<PeerNumber>(random() % (step / 500 % 2 ? 3 : 12)); // At times most peers are silent.
            if (random() % 3 == 0) {
                reference.refill(now);
                if (admit(tested, { .units = 20 }, now))
                    reference.charge(20);
            } else {
                admitted[number] += static_cast<double>(random() % 10);
                recordPeerAdmitted(tested, number, 1, admitted[number], now);
                reference.record(number, admitted[number], now);
            }
            DOUBLES_EQUAL(reference.left, tested.left, 1e-6);
        }
    }
}
