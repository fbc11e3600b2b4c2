#include "core/SlotDivision.h"
#include <map>

#include <CppUTest/TestHarness.h>

using namespace limpetpond;
using namespace std::chrono_literals;

TEST_GROUP(SlotDivision)
{
    SteadyTime now { std::chrono::hours(1) };

    static std::vector<DispatchingInstance> othersThan(const DispatchingInstance& instance, std::vector<DispatchingInstance> instances)
    {
        std::erase_if(instances, [&](const DispatchingInstance& other) { return other.hash == instance.hash; });
        return instances;
    }
};

// Load: 26 instances learn at the same time that a restarted target has free slots.
TEST(SlotDivision, eachTargetIsNearestToOneInstance)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 26; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId(i % 3 ? "here" : "there") });
    for (std::uint64_t target = 1; target <= 50; ++target) {
        int nearest = 0;
        for (const DispatchingInstance& instance : instances)
            nearest += rendezvousDistance(FailureDomainId("here"), target, instance, instances) == 0;
        LONGS_EQUAL(1, nearest);
    }
}

TEST(SlotDivision, targetsAreSpreadEvenlyOverInstances)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 5; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId("here") });
    int nearest = 0;
    for (std::uint64_t target = 1; target <= 500; ++target)
        nearest += rendezvousDistance(FailureDomainId("here"), target * 104729, instances[2], instances) == 0;
    CHECK(nearest > 60);
    CHECK(nearest < 140);
}

TEST(SlotDivision, targetWithoutInstancesInItsDomainIsNearestToOneOfAll)
{
    std::vector<DispatchingInstance> instances { { .hash = 1, .failureDomain = FailureDomainId("a") }, { .hash = 2, .failureDomain = FailureDomainId("b") } };
    double first = rendezvousDistance(FailureDomainId("c"), 5, instances[0], instances);
    double second = rendezvousDistance(FailureDomainId("c"), 5, instances[1], instances);
    DOUBLES_EQUAL(1, first + second, 0);
    DOUBLES_EQUAL(1, rendezvousDistance(FailureDomainId("a"), 5, instances[1], instances), 0);
}

// Load: callers are unevenly spread over instances, and requests wait at all of them.
TEST(SlotDivision, targetsAreAssignedInProportionToDemand)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 8; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId("here"), .demand = i == 1 ? 30.0 : 10.0 });
    std::map<std::uint64_t, int> owned;
    for (std::uint64_t target = 1; target <= 2000; ++target) {
        int owners = 0;
        for (const DispatchingInstance& instance : instances) {
            if (isAssignedToPeer(FailureDomainId("here"), target, instance, othersThan(instance, instances)))
                continue;
            ++owners;
            ++owned[instance.hash];
        }
        LONGS_EQUAL(1, owners);
    }
    DOUBLES_EQUAL(0.3, owned[7919] / 2000.0, 0.05);
    DOUBLES_EQUAL(0.1, owned[std::uint64_t { 3 } * 7919] / 2000.0, 0.04);
}

TEST(SlotDivision, demandGrowsWithUrgency)
{
    CHECK(demandOf(0) > 2 * demandOf(1));
    CHECK(demandOf(1) > demandOf(2));
    CHECK(demandOf(9) >= 1);
}

// Load: requests wait at all of 26 instances for two targets.
TEST(SlotDivision, fewTargetsAreNotAssignedAsAWholeToManyInstances)
{
    CHECK(slotDivision(140, 26, 1) == SlotDivision::WholeTargets);
    CHECK(slotDivision(9, 4, 1) == SlotDivision::WholeTargets);
    CHECK(slotDivision(2, 26, 1) == SlotDivision::SingleSlots);
    CHECK(slotDivision(140, 26, 0.1) == SlotDivision::ShareOfPool);
}

// Load: requests wait at 77 instances for 78 targets of 6 slots, urgent ones at a few of them.
TEST(SlotDivision, everySlotIsAssignedToOneInstanceInProportionToDemand)
{
    std::vector<DispatchingInstance> instances;
    for (std::uint64_t i = 1; i <= 77; ++i)
        instances.push_back({ .hash = i * 7919, .failureDomain = FailureDomainId("here"), .demand = i <= 7 ? demandOf(0) : demandOf(2) });
    int assigned = 0;
    int assignedToUrgent = 0;
    for (const DispatchingInstance& instance : instances) {
        const std::vector<DispatchingInstance> others = othersThan(instance, instances);
        for (std::uint64_t target = 1; target <= 78; ++target) {
            int slots = countAssignedSlots(FailureDomainId("here"), target, 6, instance, others);
            assigned += slots;
            assignedToUrgent += instance.demand > demandOf(2) ? slots : 0;
        }
    }
    LONGS_EQUAL(78 * 6, assigned);
    DOUBLES_EQUAL(7 * demandOf(0) / (7 * demandOf(0) + 70 * demandOf(2)), assignedToUrgent / (78 * 6.0), 0.05);
}

TEST(SlotDivision, arrivalRateFollowsDemandAndDecays)
{
    ArrivalRate rate;
    for (int i = 0; i < 300; ++i) {
        recordArrival(rate, 2, now);
        now += 10ms;
    }
    DOUBLES_EQUAL(200, arrivingDemand(rate, now), 10);
    CHECK(arrivingDemand(rate, now + 3s) < 2);
}
