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
    std::vector<std::uint64_t> document = std::vector<std::uint64_t>(40);

    void setup() override
    {
        settings.pools[PoolId("drafts")] = { .id = PoolId("drafts") };
        settings.tiers = { { .name = "only", .level = { 0 } } };
        for (const char* id : { "engine-1", "engine-2", "engine-3" })
            settings.targets[TargetId(id)] = { .id = TargetId(id), .pool = PoolId("drafts"), .maxRequestsInProgress = 1 };
        applySettings(pool, settings, now);
        updateTargetViews(pool);
        updateFreeCapacity(pool, 0);
        for (std::size_t i = 0; i < document.size(); ++i)
            document[i] = 1'000 + i;
    }

    WaitingRequest ask()
    {
        WaitingRequest waiting { .queued = { .request = RequestId("r"), .promptTokens = TokenCount(2'560), .answerTokens = TokenCount(100), .prefixBlocks = document, .arrivedAt = now }, .expiresAt = now + seconds(20) };
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

TEST(PolicyRouting, aPromptIsKnownFromItsSecondArrivalOn)
{
    CHECK(ask().queued.knownPrefixTokens == TokenCount(0));
    CHECK(ask().queued.knownPrefixTokens > TokenCount(2'000));
}

TEST(PolicyRouting, aBlockIsKnownFromACacheEventOfAnotherInstancesWork)
{
    cacheChanged(pool, { .target = TargetId("engine-1"), .added = document });
    CHECK(ask().queued.knownPrefixTokens > TokenCount(2'000));
}

TEST(PolicyRouting, instancesAgreeOnTheHomeOfAKnownPrompt)
{
    PoolScheduler other = makePoolScheduler(PoolId("drafts"), InstanceId("b"), 2);
    applySettings(other, settings, now);
    updateTargetViews(other);
    updateFreeCapacity(other, 0);
    ask();
    WaitingRequest known = ask();
    LONGS_EQUAL(pickTarget(pool, known.queued)->target, pickTarget(other, known.queued)->target);
}

TEST(PolicyRouting, waitsForABusyTargetThatHoldsThePrefixButNotForever)
{
    cacheChanged(pool, { .target = TargetId("engine-2"), .added = document });
    WaitingRequest waiting = ask();
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now));
    occupy("engine-2");
    CHECK(waitsForWarmTarget(pool, waiting, 0, now));
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now + seconds(15)));
}

TEST(PolicyRouting, aNewPromptWaitsForNoTarget)
{
    WaitingRequest waiting = ask();
    occupy("engine-1");
    occupy("engine-2");
    CHECK_FALSE(waitsForWarmTarget(pool, waiting, 0, now));
}

TEST(PolicyRouting, noTargetWithRoomMeansNoChoice)
{
    for (const char* id : { "engine-1", "engine-2", "engine-3" })
        occupy(id);
    CHECK_FALSE(pickTarget(pool, ask().queued).has_value());
}

TEST(PolicyRouting, theExcludedTargetIsTakenOnlyWhereNoOtherServes)
{
    WaitingRequest waiting = ask();
    waiting.queued.excludedTarget = TargetId("engine-1");
    CHECK(pickTarget(pool, waiting.queued)->target != pool.targetIndex.at(TargetId("engine-1")));
    for (const char* id : { "engine-2", "engine-3" })
        settings.targets[TargetId(id)].mark = TargetMark::Leaving;
    applySettings(pool, settings, now);
    updateTargetViews(pool);
    updateFreeCapacity(pool, 0);
    LONGS_EQUAL(pool.targetIndex.at(TargetId("engine-1")), pickTarget(pool, waiting.queued)->target);
}

TEST(PolicyRouting, anUnknownPolicyNameMeansOurs)
{
    CHECK(routingPolicyOf("nonsense") == RoutingPolicy::Limpetpond);
    CHECK(routingPolicyOf("two_choices") == RoutingPolicy::TwoChoices);
}
