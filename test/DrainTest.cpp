#include "core/Drain.h"
#include "core/Guard.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

// Instances a (this one), b and c. The target e1 is marked at version 7; the view's age limit is 3 s, the call timeout 60 s.
TEST_GROUP(Drain)
{
    SteadyTime now { SteadyTime(1h) };
    DrainTracker tracker { .self = InstanceId("a") };
    Settings settings;
    TargetId target { "e1" };
    std::uint64_t sequence { 0 };

    void setup() override
    {
        settings.pools[PoolId("p")].id = PoolId("p");
        settings.targets[target] = { .id = target, .pool = PoolId("p"), .mark = TargetMark::Leaving, .markVersion = SettingsVersion(7) };
        handleInstanceListRead(tracker, { .instances = { { .instance = InstanceId("a") }, { .instance = InstanceId("b") }, { .instance = InstanceId("c") } } }, now);
    }
    void teardown() override { disableGuard(GuardId::None); }

    TargetUpdate news(std::uint64_t mark, int requests) const
    {
        return { .target = target, .tokensInProgress = TokenCount(100L * requests), .requestsInProgress = requests, .leavingMarkVersion = SettingsVersion(mark) };
    }

    void own(std::uint64_t mark, int requests) { recordOwnWork(tracker, Incarnation(1), { news(mark, requests) }, now); }

    void hear(const std::string& peer, std::uint64_t mark, int requests, std::uint64_t incarnation = 1)
    {
        recordWork(tracker, { .instance = InstanceId(peer), .incarnation = Incarnation(incarnation), .sequence = ++sequence, .targets = { news(mark, requests) } }, now);
    }

    DrainStatus status()
    {
        updateDrains(tracker, settings, now);
        return drainStatus(tracker, settings, target, now);
    }

    /// a and b confirm; c is last heard at `now` with work and then lost.
    void loseC(int requests)
    {
        own(7, 0);
        hear("b", 7, 0);
        hear("c", 0, requests);
        status();
        recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    }
};

TEST(Drain, servingTargetIsServing)
{
    settings.targets[target].mark = TargetMark::Serving;
    own(0, 2);
    DrainStatus status = this->status();
    CHECK(status.state == DrainState::Serving);
    LONGS_EQUAL(2, status.requestsInProgress);
}

TEST(Drain, emptyWhenEveryInstanceConfirmedAndHasNothing)
{
    own(7, 0);
    hear("b", 7, 0);
    CHECK(status().state == DrainState::Leaving);
    hear("c", 7, 0);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, workInProgressAnywhereKeepsItLeaving)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 1);
    DrainStatus status = this->status();
    CHECK(status.state == DrainState::Leaving);
    LONGS_EQUAL(1, status.requestsInProgress);
    LONGS_EQUAL(100, status.tokensInProgress.count());
    CHECK(status.notConfirmed == std::vector { InstanceId("c") });
}

TEST(Drain, nothingInProgressWithoutTheMarkIsNoProof)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 0, 0);
    CHECK(status().state == DrainState::Leaving);
    hear("c", 6, 0);
    CHECK(status().state == DrainState::Leaving);
    disableGuard(GuardId::EmptyIsProved);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, listedInstanceThatWasNeverHeardIsMissing)
{
    own(7, 0);
    hear("b", 7, 0);
    CHECK(status().notConfirmed == std::vector { InstanceId("c") });
}

TEST(Drain, departedInstanceIsWaitedOutForItsViewAndItsCalls)
{
    loseC(1);
    CHECK(status().unreachableWorkUntil == now + 63s);
    now += 63s;
    CHECK(status().state == DrainState::Leaving);
    now += 1ms;
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, idleReportOfTheTargetSparesTheCallTimeout)
{
    loseC(1);
    SteadyTime lost = now;
    now += 10s;
    recordTargetReport(tracker, { .target = target, .measuredAt = lost + 3s });
    CHECK(status().state == DrainState::Leaving);
    recordTargetReport(tracker, { .target = target, .measuredAt = lost + 3'001ms });
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, emptyTargetShowsNoWorkOfADepartedInstance)
{
    loseC(1);
    LONGS_EQUAL(1, status().requestsInProgress);
    now += 64s;
    LONGS_EQUAL(0, status().requestsInProgress);
    LONGS_EQUAL(0, status().tokensInProgress.count());
}

TEST(Drain, busyReportOfTheTargetHoldsBackPastTheCallTimeout)
{
    loseC(1);
    now += 100s;
    recordTargetReport(tracker, { .target = target, .measuredAt = now, .runningRequests = 1 });
    CHECK(status().state == DrainState::Leaving);
    recordTargetReport(tracker, { .target = target, .measuredAt = now + 1s, .failed = true });
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, departedInstanceThatHadConfirmedNeedsNoWait)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 0);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, restartedInstanceMustConfirmAgain)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 0);
    recordWork(tracker, { .instance = InstanceId("c"), .incarnation = Incarnation(2), .sequence = 1 }, now);
    CHECK(status().state == DrainState::Leaving);
    hear("c", 7, 0, 1);
    CHECK(status().state == DrainState::Leaving);
    hear("c", 7, 0, 2);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, callsOfAnEarlierStartAreWaitedOut)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 0, 1);
    hear("c", 7, 0, 2);
    CHECK(status().state == DrainState::Leaving);
    CHECK(status().unreachableWorkUntil == now + 63s);
    now += 64s;
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, instanceThatJustStartedWaitsOutWhatItCannotKnow)
{
    tracker = makeDrainTracker(InstanceId("a"), now);
    setup();
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 0);
    CHECK(status().unreachableWorkUntil == now + 63s);
    recordTargetReport(tracker, { .target = target, .measuredAt = now + 3'001ms });
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, waitStartsWhenAMajorityHoldsTheMark)
{
    own(7, 0);
    hear("b", 0, 0);
    hear("c", 0, 0);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    now += 100s;
    CHECK(status().state == DrainState::Leaving);
    hear("b", 7, 0);
    CHECK(status().unreachableWorkUntil == now + 63s);
}

TEST(Drain, withoutAMajorityNothingIsProved)
{
    own(7, 0);
    hear("b", 0, 0);
    hear("c", 0, 0);
    recordMemberState(tracker, InstanceId("b"), MemberState::Departed);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    CHECK(status().state == DrainState::Leaving);
    now += 1000s;
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, loweredAgeLimitStillCountsForASilentInstance)
{
    settings.site.viewAgeLimit = 60s;
    status();
    settings.site.viewAgeLimit = 3s;
    loseC(1);
    CHECK(status().unreachableWorkUntil == now + 120s);
}

TEST(Drain, newMarkNeedsNewConfirmations)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 0);
    CHECK(status().state == DrainState::Empty);
    settings.targets[target].markVersion = SettingsVersion(9);
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, olderHeartbeatIsIgnored)
{
    own(7, 0);
    hear("b", 7, 0);
    hear("c", 7, 1);
    recordWork(tracker, { .instance = InstanceId("c"), .incarnation = Incarnation(1), .sequence = 1, .targets = { news(7, 0) } }, now);
    CHECK(status().state == DrainState::Leaving);
}
