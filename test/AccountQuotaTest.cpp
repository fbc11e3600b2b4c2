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

TEST(AccountQuota, aReducedShareDividesRateAndBucket)
{
    setShare(quota, { .known = 4, .heard = 1, .part = 0.25, .unheardTime = 600ms }, now);
    DOUBLES_EQUAL(500, admitAll(100, 0), 0.1);
    now += 400ms;
    DOUBLES_EQUAL(100, admitAll(100, 0), 0.1);
    CHECK(timeUntil(quota, 100, now) == 400ms);
}

// A reserve in proportion to the whole burst would turn less urgent requests away unless the reduced bucket is full.
TEST(AccountQuota, aReducedShareReducesTheReserveForUrgentRequests)
{
    setShare(quota, { .known = 4, .heard = 1, .part = 0.25, .unheardTime = 600ms }, now);
    DOUBLES_EQUAL(300, admitAll(100, 1), 0.1);
}

// What was left to a silent peer would be lost although the peer has not used it.
TEST(AccountQuota, unitsLeftToASilentPeerReturnWithIt)
{
    setShare(quota, { .known = 4, .heard = 3, .part = 0.75, .unheardTime = 600ms }, now);
    DOUBLES_EQUAL(1500, quota.left, 0.1);
    setShare(quota, { .known = 4, .heard = 4, .part = 1, .unheardTime = 600ms }, now);
    DOUBLES_EQUAL(2000, quota.left, 0.1);
}

// Both sides of a partition would pay for what each used by its own share.
TEST(AccountQuota, useInASilenceIsChargedOnlyBeyondThePeersShare)
{
    recordPeerAdmitted(quota, peer, 1, 0, now);
    QuotaShare whole { .known = 2, .heard = 2, .part = 1, .unheardTime = 600ms };
    setShare(quota, { .known = 2, .heard = 1, .part = 0.5, .unheardTime = 600ms }, now);
    SteadyTime from = now;
    now += 10s;
    PeerHistory history { .heardSince = now, .silentFrom = from, .silentUntil = now };
    recordPeerAdmitted(quota, peer, 1, 5000, now, history);
    setShare(quota, whole, now);
    DOUBLES_EQUAL(2000, quota.left, 0.1);
    recordPeerAdmitted(quota, peer, 1, 5700, now, history);
    DOUBLES_EQUAL(1300, quota.left, 0.1);
}

// The first use of each of many peers was never charged.
TEST(AccountQuota, theFirstUseOfAPeerThatHasBeenHeardForLongIsCharged)
{
    recordPeerAdmitted(quota, peer, 1, 500, now, { .heardSince = now - 10s });
    DOUBLES_EQUAL(1500, quota.left, 0.1);
    recordPeerAdmitted(quota, peer + 1, 1, 500, now, { .heardSince = now - 100ms });
    DOUBLES_EQUAL(1500, quota.left, 0.1);
}

// A process that starts while others run had a full bucket.
TEST(AccountQuota, anInstanceThatStartsAmongOthersBeginsWithFewUnits)
{
    AccountQuota starting;
    setShare(starting, { .known = 4, .heard = 1, .part = 0.25, .isStarting = true }, now);
    setQuota(starting, 1e6, 1e6, now);
    CHECK(starting.left < 1000);
    AccountQuota small;
    setShare(small, starting.share, now);
    setQuota(small, 1, 2, now);
    CHECK(admit(small, {}, now));
}

// Instances that haven't heard of each other yet could each use the whole bucket.
TEST(AccountQuota, instancesTogetherUseTheBucketOnceBeforeTheyHearOfEachOther)
{
    constexpr int instances = 26;
    constexpr double perSecond = 1e6;
    double admitted = 0;
    for (int i = 0; i < instances; ++i) {
        AccountQuota own;
        setQuota(own, perSecond, perSecond, now);
        setShare(own, { .known = instances, .heard = instances, .part = 1, .unheardTime = 600ms }, now);
        while (admit(own, { .units = 1000 }, now))
            admitted += 1000;
    }
    CHECK(admitted <= perSecond + 0.1 * 9 * perSecond + 190000);
    CHECK(admitted >= perSecond);
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
