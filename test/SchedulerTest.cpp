#include "core/Scheduler.h"
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;

TEST_GROUP(Scheduler)
{
    ManualClock clock;
    PoolScheduler pool = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
    Settings settings;
    std::vector<SchedulerDecision> decisions;

    void setup() override
    {
        settings.pools[PoolId("drafts")] = { .id = PoolId("drafts") };
        settings.tiers = { { .name = "low", .level = { 0 } }, { .name = "middle", .level = { 1 } }, { .name = "high", .level = { 2 } } };
        addTarget("engine-1");
        addTarget("engine-2");
        apply();
    }

    void addTarget(const char* id)
    {
        settings.targets[TargetId(id)] = { .id = TargetId(id), .pool = PoolId("drafts") };
    }

    void apply() { applySettings(pool, settings, clock.steadyNow()); }

    QueuedRequest request(const char* id, std::uint32_t tier = 0)
    {
        return { .request = RequestId(id),
            .account = ClientAccountId("account"),
            .tier = { tier },
            .promptTokens = TokenCount(100),
            .answerTokens = TokenCount(50),
            .arrivedAt = clock.steadyNow() };
    }

    void enqueueOne(const char* id, std::uint32_t tier = 0) { enqueue(pool, request(id, tier), clock.steadyNow()); }

    void decideNow()
    {
        decisions.clear();
        decide(pool, clock.steadyNow(), decisions);
    }

    template <typename Decision>
    std::vector<Decision> all() const
    {
        std::vector<Decision> found;
        for (const SchedulerDecision& decision : decisions) {
            if (const auto* match = std::get_if<Decision>(&decision))
                found.push_back(*match);
        }
        return found;
    }
};

TEST(Scheduler, dispatchesToTheLeastLoadedTarget)
{
    enqueueOne("r1");
    enqueueOne("r2");
    decideNow();
    auto dispatches = all<DispatchDecision>();
    LONGS_EQUAL(2, dispatches.size());
    CHECK(dispatches[0].target != dispatches[1].target);
}

TEST(Scheduler, dispatchesTheHigherTierFirst)
{
    enqueueOne("low", 0);
    enqueueOne("high", 2);
    decideNow();
    CHECK(all<DispatchDecision>().at(0).request == RequestId("high"));
}

TEST(Scheduler, dispatchesNothingToALeavingTarget)
{
    settings.targets[TargetId("engine-1")].mark = TargetMark::Leaving;
    apply();
    enqueueOne("r1");
    enqueueOne("r2");
    decideNow();
    for (const DispatchDecision& dispatch : all<DispatchDecision>())
        CHECK(dispatch.target == TargetId("engine-2"));
}

TEST(Scheduler, shedsTheLowestTierAfterItsLongestWait)
{
    settings.targets.clear();
    apply();
    enqueueOne("r1");
    clock.advance(std::chrono::seconds(30));
    decideNow();
    LONGS_EQUAL(1, all<ShedDecision>().size());
    CHECK_FALSE(isWaiting(pool, RequestId("r1")));
}

TEST(Scheduler, removesAWaitingRequestOnce)
{
    enqueueOne("r1");
    CHECK(removeWaiting(pool, RequestId("r1")));
    CHECK_FALSE(removeWaiting(pool, RequestId("r1")));
}

TEST(Scheduler, keepsATargetWithinItsTokenLimit)
{
    settings.targets[TargetId("engine-1")].maxTokensInProgress = TokenCount(400);
    settings.targets[TargetId("engine-2")].maxTokensInProgress = TokenCount(400);
    settings.tiers.clear();
    apply();
    for (int i = 0; i < 10; ++i)
        enqueueOne(("r" + std::to_string(i)).c_str());
    decideNow();
    LONGS_EQUAL(4, all<DispatchDecision>().size());
}

TEST(Scheduler, anEndedDispatchFreesCapacity)
{
    settings.targets.erase(TargetId("engine-2"));
    settings.targets[TargetId("engine-1")].maxRequestsInProgress = 1;
    apply();
    enqueueOne("r1", 2);
    enqueueOne("r2", 2);
    decideNow();
    LONGS_EQUAL(1, all<DispatchDecision>().size());
    dispatchEnded(pool, RequestId("r1"), DispatchEnd::Completed, TokenCount(50), clock.steadyNow());
    decideNow();
    CHECK(all<DispatchDecision>().at(0).request == RequestId("r2"));
}

TEST(Scheduler, prefersTheTargetThatHasThePrefixCached)
{
    std::vector<std::uint64_t> blocks(60);
    for (std::size_t i = 0; i < blocks.size(); ++i)
        blocks[i] = i + 1;
    for (const char* cachedAt : { "engine-1", "engine-2" }) {
        PoolScheduler fresh = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
        applySettings(fresh, settings, clock.steadyNow());
        cacheChanged(fresh, { .target = TargetId(cachedAt), .added = blocks });
        QueuedRequest longPrompt = request("r1");
        longPrompt.promptTokens = TokenCount(4000);
        longPrompt.prefixBlocks = blocks;
        enqueue(fresh, longPrompt, clock.steadyNow());
        decisions.clear();
        decide(fresh, clock.steadyNow(), decisions);
        CHECK(all<DispatchDecision>().at(0).target == TargetId(cachedAt));
    }
}

TEST(Scheduler, aHigherTierIsNotShedWhileAPeerMayServeALowerOne)
{
    peerListed(pool, InstanceId("b"));
    settings.targets.clear();
    apply();
    enqueueOne("high", 2);
    clock.advance(std::chrono::seconds(30));
    decideNow();
    decideNow();
    LONGS_EQUAL(0, all<ShedDecision>().size());
    CHECK(makePoolUpdate(pool).wantedFloor == TierLevel { 2 });
    PoolUpdate confirmed { .pool = PoolId("drafts"), .floor = { 2 } };
    peerUpdateReceived(pool, InstanceId("b"), confirmed, {}, clock.steadyNow(), clock.steadyNow());
    decideNow();
    LONGS_EQUAL(1, all<ShedDecision>().size());
}

TEST(Scheduler, aPeersWantedFloorShedsAndCancelsLowerTiers)
{
    settings.targets.erase(TargetId("engine-2"));
    settings.targets[TargetId("engine-1")].maxRequestsInProgress = 1;
    apply();
    enqueueOne("running", 0);
    enqueueOne("waiting", 0);
    decideNow();
    PoolUpdate wants { .pool = PoolId("drafts"), .floor = { 1 }, .wantedFloor = { 1 } };
    peerUpdateReceived(pool, InstanceId("b"), wants, {}, clock.steadyNow(), clock.steadyNow());
    decideNow();
    CHECK(all<ShedDecision>().at(0).request == RequestId("waiting"));
    CHECK(lowestServed(pool) == TierLevel { 0 });
    clock.advance(std::chrono::seconds(2));
    decideNow();
    CHECK(all<CancelDecision>().at(0).request == RequestId("running"));
    decideNow();
    LONGS_EQUAL(0, all<CancelDecision>().size());
    dispatchEnded(pool, RequestId("running"), DispatchEnd::Cancelled, {}, clock.steadyNow());
    CHECK_FALSE(lowestServed(pool).has_value());
}

TEST(Scheduler, neverCancelsANonIdempotentCallOrOneAtALeavingTarget)
{
    QueuedRequest nonIdempotent = request("non-idempotent");
    nonIdempotent.cancellable = false;
    enqueue(pool, nonIdempotent, clock.steadyNow());
    decideNow();
    settings.targets[TargetId("engine-1")].mark = TargetMark::Leaving;
    settings.targets[TargetId("engine-2")].mark = TargetMark::Leaving;
    apply();
    PoolUpdate wants { .pool = PoolId("drafts"), .floor = { 1 }, .wantedFloor = { 1 } };
    peerUpdateReceived(pool, InstanceId("b"), wants, {}, clock.steadyNow(), clock.steadyNow());
    decideNow();
    clock.advance(std::chrono::seconds(5));
    decideNow();
    LONGS_EQUAL(0, all<CancelDecision>().size());
}

TEST(Scheduler, onlyTheHighestTierIsDispatchedBeforeAPeerAnswers)
{
    peerListed(pool, InstanceId("b"));
    enqueueOne("low", 0);
    enqueueOne("high", 2);
    decideNow();
    LONGS_EQUAL(1, all<DispatchDecision>().size());
    peerUpdateReceived(pool, InstanceId("b"), { .pool = PoolId("drafts") }, {}, clock.steadyNow(), clock.steadyNow());
    decideNow();
    CHECK(all<DispatchDecision>().at(0).request == RequestId("low"));
}

TEST(Scheduler, neverEjectsAllTargetsOfAPool)
{
    for (int i = 0; i < 5; ++i) {
        targetReported(pool, { .target = TargetId("engine-1"), .failed = true }, clock.steadyNow());
        targetReported(pool, { .target = TargetId("engine-2"), .failed = true }, clock.steadyNow());
    }
    enqueueOne("r1");
    decideNow();
    CHECK(all<DispatchDecision>().at(0).target == TargetId("engine-2"));
}

TEST(Scheduler, overflowShedsTheLowestTierFirst)
{
    settings.targets.clear();
    settings.pools[PoolId("drafts")].maxWaiting = 2;
    apply();
    enqueueOne("low", 0);
    enqueueOne("high1", 2);
    enqueueOne("high2", 2);
    decideNow();
    CHECK(all<ShedDecision>().at(0).request == RequestId("low"));
    CHECK(isWaiting(pool, RequestId("high2")));
}

TEST(Scheduler, shedsTheNewestRequestOfAnAccountOverItsLimit)
{
    settings.targets.clear();
    settings.accounts[ClientAccountId("account")] = { .id = ClientAccountId("account"), .maxWaiting = 1 };
    apply();
    enqueueOne("r1");
    enqueueOne("r2");
    decideNow();
    CHECK(all<ShedDecision>().at(0).request == RequestId("r2"));
    CHECK(all<ShedDecision>().at(0).reason == Reason::AccountLimit);
}

TEST(Scheduler, anImpossibleDeadlineIsRejectedAtOnceAndRaisesNoFloor)
{
    QueuedRequest impossible = request("impossible", 2);
    impossible.answerTokens = TokenCount(4000);
    impossible.deadline = clock.steadyNow() + std::chrono::seconds(1);
    enqueue(pool, impossible, clock.steadyNow());
    decideNow();
    CHECK(all<ShedDecision>().at(0).reason == Reason::DeadlineExceeded);
    CHECK(makePoolUpdate(pool).wantedFloor == TierLevel {});
}

TEST(Scheduler, aRemovedTargetIsReportedUntilItsRequestsEnd)
{
    enqueueOne("r1");
    decideNow();
    TargetId target = all<DispatchDecision>().at(0).target;
    settings.targets.erase(target);
    apply();
    LONGS_EQUAL(2, makeTargetUpdates(pool).size());
    dispatchEnded(pool, RequestId("r1"), DispatchEnd::Completed, TokenCount(50), clock.steadyNow());
    LONGS_EQUAL(1, makeTargetUpdates(pool).size());
}

TEST(Scheduler, ignoresUnknownRequestsAndTargets)
{
    dispatchEnded(pool, RequestId("none"), DispatchEnd::Completed, {}, clock.steadyNow());
    answerStarted(pool, RequestId("none"), TokenCount(1), clock.steadyNow());
    cacheChanged(pool, { .target = TargetId("none"), .added = { 1 } });
    targetReported(pool, { .target = TargetId("none") }, clock.steadyNow());
    LONGS_EQUAL(2, snapshot(pool).targets.size());
}
