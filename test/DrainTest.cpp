#include "core/Drain.h"
#include "core/Guard.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

// The instances are a (this one), b and c. The target e1 is marked as leaving at version 7. The view age limit is 3 s and the call timeout 60 s.
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

    TargetUpdate update(std::uint64_t mark, int requests) const
    {
        return { .target = target, .tokensInProgress = TokenCount(100L * requests), .requestsInProgress = requests, .leavingMarkVersion = SettingsVersion(mark) };
    }

    void reportOwn(std::uint64_t mark, int requests) { recordOwnWork(tracker, Incarnation(1), { update(mark, requests) }, now); }

    void receive(const std::string& peer, std::uint64_t mark, int requests, std::uint64_t incarnation = 1)
    {
        recordWork(tracker, { .instance = InstanceId(peer), .incarnation = Incarnation(incarnation), .sequence = ++sequence, .targets = { update(mark, requests) } }, now);
    }

    DrainStatus status()
    {
        updateDrains(tracker, settings, now);
        return drainStatus(tracker, settings, target, now);
    }

    /// a and b confirm; c last reports `requests` at `now` and then departs.
    void makeCDepart(int requests)
    {
        reportOwn(7, 0);
        receive("b", 7, 0);
        receive("c", 0, requests);
        status();
        recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    }
};

TEST(Drain, servingTargetIsServing)
{
    settings.targets[target].mark = TargetMark::Serving;
    reportOwn(0, 2);
    DrainStatus status = this->status();
    CHECK(status.state == DrainState::Serving);
    LONGS_EQUAL(2, status.requestsInProgress);
}

TEST(Drain, targetIsEmptyWhenEveryInstanceConfirmedWithoutRequests)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    CHECK(status().state == DrainState::Leaving);
    receive("c", 7, 0);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, requestsAtAnyInstanceKeepTheTargetLeaving)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 1);
    DrainStatus status = this->status();
    CHECK(status.state == DrainState::Leaving);
    LONGS_EQUAL(1, status.requestsInProgress);
    LONGS_EQUAL(100, status.tokensInProgress.count());
    CHECK(status.notConfirmed == std::vector { InstanceId("c") });
}

TEST(Drain, instanceWithoutTheMarkDoesNotConfirm)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 0, 0);
    CHECK(status().state == DrainState::Leaving);
    receive("c", 6, 0);
    CHECK(status().state == DrainState::Leaving);
    disableGuard(GuardId::EmptyIsProved);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, listedInstanceWithoutHeartbeatHasNotConfirmed)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    CHECK(status().notConfirmed == std::vector { InstanceId("c") });
}

TEST(Drain, departedInstanceDelaysByViewAgeLimitAndCallTimeout)
{
    makeCDepart(1);
    CHECK(status().unreachableWorkUntil == now + 63s);
    now += 63s;
    CHECK(status().state == DrainState::Leaving);
    now += 1ms;
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, idleReportOfTheTargetSkipsTheCallTimeout)
{
    makeCDepart(1);
    SteadyTime departedAt = now;
    now += 10s;
    recordTargetReport(tracker, { .target = target, .measuredAt = departedAt + 3s });
    CHECK(status().state == DrainState::Leaving);
    recordTargetReport(tracker, { .target = target, .measuredAt = departedAt + 3'001ms });
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, emptyTargetShowsNoRequestsOfADepartedInstance)
{
    makeCDepart(1);
    LONGS_EQUAL(1, status().requestsInProgress);
    now += 64s;
    LONGS_EQUAL(0, status().requestsInProgress);
    LONGS_EQUAL(0, status().tokensInProgress.count());
}

TEST(Drain, busyReportOfTheTargetDelaysPastTheCallTimeout)
{
    makeCDepart(1);
    now += 100s;
    recordTargetReport(tracker, { .target = target, .measuredAt = now, .runningRequests = 1 });
    CHECK(status().state == DrainState::Leaving);
    recordTargetReport(tracker, { .target = target, .measuredAt = now + 1s, .failed = true });
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, departedInstanceThatHadConfirmedCausesNoDelay)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 0);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, restartedInstanceMustConfirmAgain)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 0);
    recordWork(tracker, { .instance = InstanceId("c"), .incarnation = Incarnation(2), .sequence = 1 }, now);
    CHECK(status().state == DrainState::Leaving);
    receive("c", 7, 0, 1);
    CHECK(status().state == DrainState::Leaving);
    receive("c", 7, 0, 2);
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, requestsOfAnEarlierIncarnationDelayTheTarget)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 0, 1);
    receive("c", 7, 0, 2);
    CHECK(status().state == DrainState::Leaving);
    CHECK(status().unreachableWorkUntil == now + 63s);
    now += 64s;
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, startingInstanceWaitsForRequestsOfEarlierIncarnations)
{
    tracker = makeDrainTracker(InstanceId("a"), now);
    setup();
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 0);
    CHECK(status().unreachableWorkUntil == now + 63s);
    recordTargetReport(tracker, { .target = target, .measuredAt = now + 3'001ms });
    CHECK(status().state == DrainState::Empty);
}

TEST(Drain, delayStartsWhenAMajorityHoldsTheMark)
{
    reportOwn(7, 0);
    receive("b", 0, 0);
    receive("c", 0, 0);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    now += 100s;
    CHECK(status().state == DrainState::Leaving);
    receive("b", 7, 0);
    CHECK(status().unreachableWorkUntil == now + 63s);
}

TEST(Drain, targetStaysLeavingWithoutAMajority)
{
    reportOwn(7, 0);
    receive("b", 0, 0);
    receive("c", 0, 0);
    recordMemberState(tracker, InstanceId("b"), MemberState::Departed);
    recordMemberState(tracker, InstanceId("c"), MemberState::Departed);
    CHECK(status().state == DrainState::Leaving);
    now += 1000s;
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, largerEarlierViewAgeLimitAppliesToADepartedInstance)
{
    settings.site.viewAgeLimit = 60s;
    status();
    settings.site.viewAgeLimit = 3s;
    makeCDepart(1);
    CHECK(status().unreachableWorkUntil == now + 120s);
}

TEST(Drain, newMarkRequiresNewConfirmations)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 0);
    CHECK(status().state == DrainState::Empty);
    settings.targets[target].markVersion = SettingsVersion(9);
    CHECK(status().state == DrainState::Leaving);
}

TEST(Drain, olderHeartbeatIsIgnored)
{
    reportOwn(7, 0);
    receive("b", 7, 0);
    receive("c", 7, 1);
    recordWork(tracker, { .instance = InstanceId("c"), .incarnation = Incarnation(1), .sequence = 1, .targets = { update(7, 0) } }, now);
    CHECK(status().state == DrainState::Leaving);
}
