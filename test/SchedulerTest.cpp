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
            if (const auto* one = std::get_if<Decision>(&decision))
                found.push_back(*one);
        }
        return found;
    }
};

TEST(Scheduler, dispatchesToTheTargetWithLeastWork)
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

TEST(Scheduler, sendsNothingToALeavingTarget)
{
    settings.targets[TargetId("engine-1")].mark = TargetMark::Leaving;
    apply();
    enqueueOne("r1");
    enqueueOne("r2");
    decideNow();
    for (const DispatchDecision& dispatch : all<DispatchDecision>())
        CHECK(dispatch.target == TargetId("engine-2"));
}

TEST(Scheduler, shedsTheLowestTierAtTheEndOfItsWait)
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
