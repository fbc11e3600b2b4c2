#include "core/PolicyRouting.h"
#include "core/Scheduler.h"

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using std::chrono::seconds;

TEST_GROUP(PolicyRouting)
{
    SteadyTime now { seconds(3600) };
    Settings settings;
    PoolScheduler pool = makePoolScheduler(PoolId("drafts"), InstanceId("a"), 1);
    std::vector<std::uint64_t> promptBlocks = std::vector<std::uint64_t>(40);

    void setup() override
    {
        settings.pools[PoolId("drafts")] = { .id = PoolId("drafts") };
        settings.tiers = { { .name = "only", .level = { 0 } } };
        for (const char* id : { "engine-1", "engine-2", "engine-3" })
            settings.targets[TargetId(id)] = { .id = TargetId(id), .pool = PoolId("drafts"), .maxRequestsInProgress = 1 };
        applySettings(pool, settings, now);
        updateTargetViews(pool);
        updateFreeCapacity(pool, 0);
        for (std::size_t i = 0; i < promptBlocks.size(); ++i)
            promptBlocks[i] = 1'000 + i;
    }

    WaitingRequest makeWaiting()
    {
        WaitingRequest waiting { .queued = { .request = RequestId("r"), .promptTokens = TokenCount(2'560), .answerTokens = TokenCount(100), .prefixBlocks = promptBlocks, .arrivedAt = now }, .expiresAt = now + seconds(20) };
        findKnownPrefix(pool, waiting.queued);
        return waiting;
    }

    void occupy(const char* id)
    {
        std::size_t index = pool.targetIndex.at(TargetId(id));
        addOwnWork(pool.targets[index], TokenCount(100), 1, now);
        updateTargetView(pool, index);
    }
};

TEST(PolicyRouting, aPrefixIsKnownFromItsSecondRequestOn)
{
    CHECK(makeWaiting().queued.knownPrefixTokens == TokenCount(0));
    CHECK(makeWaiting().queued.knownPrefixTokens > TokenCount(2'000));
}

TEST(PolicyRouting, aPrefixIsKnownFromACacheEvent)
{
    cacheChanged(pool, { .target = TargetId("engine-1"), .added = promptBlocks });
    CHECK(makeWaiting().queued.knownPrefixTokens > TokenCount(2'000));
}

TEST(PolicyRouting, instancesSelectTheSameTargetForAKnownPrefix)
{
    PoolScheduler other = makePoolScheduler(PoolId("drafts"), InstanceId("b"), 2);
    applySettings(other, settings, now);
    updateTargetViews(other);
    updateFreeCapacity(other, 0);
    makeWaiting();
    WaitingRequest known = makeWaiting();
    LONGS_EQUAL(pickTarget(pool, known.queued)->target, pickTarget(other, known.queued)->target);
}

TEST(PolicyRouting, waitsForABusyWarmTargetForALimitedTime)
{
    cacheChanged(pool, { .target = TargetId("engine-2"), .added = promptBlocks });
    WaitingRequest waiting = makeWaiting();
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now));
    occupy("engine-2");
    CHECK(waitsForWarmTarget(pool, waiting, 0, now));
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now + seconds(15)));
}

TEST(PolicyRouting, aNewPromptDoesNotWait)
{
    WaitingRequest waiting = makeWaiting();
    occupy("engine-1");
    occupy("engine-2");
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now));
}

TEST(PolicyRouting, selectsNoTargetWithoutFreeCapacity)
{
    for (const char* id : { "engine-1", "engine-2", "engine-3" })
        occupy(id);
    CHECK_FALSE(pickTarget(pool, makeWaiting().queued).has_value());
}

TEST(PolicyRouting, selectsTheExcludedTargetOnlyIfNoOtherServes)
{
    WaitingRequest waiting = makeWaiting();
    waiting.queued.excludedTarget = TargetId("engine-1");
    CHECK(pickTarget(pool, waiting.queued)->target != pool.targetIndex.at(TargetId("engine-1")));
    for (const char* id : { "engine-2", "engine-3" })
        settings.targets[TargetId(id)].mark = TargetMark::Leaving;
    applySettings(pool, settings, now);
    updateTargetViews(pool);
    updateFreeCapacity(pool, 0);
    LONGS_EQUAL(pool.targetIndex.at(TargetId("engine-1")), pickTarget(pool, waiting.queued)->target);
}

TEST(PolicyRouting, anUnknownPolicyNameSelectsLimpetpond)
{
    CHECK(routingPolicyOf("nonsense") == RoutingPolicy::Limpetpond);
    CHECK(routingPolicyOf("two_choices") == RoutingPolicy::TwoChoices);
}
